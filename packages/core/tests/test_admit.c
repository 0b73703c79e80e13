#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "fleet_support.h"
#include "sas/admit.h"
#include "sas/traffic.h"

#define SERVERS 3
#define OWNER 1
#define NEXT 0
#define KEY 77
#define NEW_MS 300
#define KNOWN_MS 90
#define GOAL_MS 330

struct scene {
    int loads[SERVERS]; /* of slots 0, 1, 2; three slots each */
    bool known[SERVERS];
    bool brief; /* a queue has stood at the owner */
    bool urgent;
    bool in_doubt;
    double left_ms; /* 0: plenty */
    bool new_route; /* of a lenient objective, without an answer so far */
};

static struct sas_admit_verdict
judge(const struct scene *scene)
{
    struct sas_fleet *fleet = new_fleet();
    struct sas_objects *objects = SasObjects_New();
    struct sas_pace pace = {
        .fresh = {.ms = NEW_MS, .samples = 9},
        .known = {.ms = KNOWN_MS, .samples = 9},
        .mixed = {.ms = KNOWN_MS, .samples = 9},
    };
    add_servers(fleet, "forms", "a", SERVERS);
    SasFleet_GetService(fleet, 0)->pace = pace;
    for (int slot = 0; slot < SERVERS; slot++) {
        SasFleet_At(fleet, slot)->traffic.in_flight = scene->loads[slot];
        if (scene->known[slot]) {
            SasObjects_NoteAnswered(objects, 0, KEY,
                                    SasFleet_GetRef(fleet, slot));
        }
    }
    SasFleet_At(fleet, OWNER)->traffic.brief_until = scene->brief ? 2000 : 0;
    if (scene->new_route) {
        SasPace_Init(&pace, 5.0 * NEW_MS);
    }
    const int slots[SERVERS] = {OWNER, NEXT, 2};
    struct sas_admit_query query = {
        .slots = slots,
        .count = SERVERS,
        .objects = objects,
        .pace = &pace,
        .key = KEY,
        .goal_ms = GOAL_MS,
        .left_ms = scene->left_ms > 0 ? scene->left_ms : 10000,
        .urgent = scene->urgent,
        .in_doubt = scene->in_doubt,
    };
    struct sas_admit_verdict verdict = SasAdmit_Judge(fleet, &query, 1000);
    SasObjects_Free(objects);
    SasFleet_Free(fleet);
    return verdict;
}

/* Load: a burst. Its requests wait at their owner although others are idle,
 * as long as they are in time: at another server each would be new and take
 * three times as long. */
static void
test_a_burst_waits_at_the_owner(void **state)
{
    (void)state;
    struct scene idle = {.known = {[OWNER] = true}};
    assert_int_equal(judge(&idle).slot, OWNER);
    struct scene burst = {.loads = {[OWNER] = 9}, .known = {[OWNER] = true}};
    struct sas_admit_verdict verdict = judge(&burst);
    assert_int_equal(verdict.slot, OWNER);
    assert_true(verdict.known);
    assert_true(verdict.wait_ms == 7 * KNOWN_MS / 3.0);
}

/* Load: one object is asked for more than its owner bears. The next server
 * gets to know it while it has slots to spare, and is used from then on where
 * it ends the request sooner. */
static void
test_an_object_in_demand_gets_a_second_server(void **state)
{
    (void)state;
    struct scene scene = {.loads = {[OWNER] = 12}, .known = {[OWNER] = true}};
    struct sas_admit_verdict verdict = judge(&scene);
    assert_int_equal(verdict.slot, NEXT);
    assert_false(verdict.known);
    scene.loads[OWNER] = 5;
    scene.known[NEXT] = true;
    verdict = judge(&scene);
    assert_int_equal(verdict.slot, NEXT);
    assert_true(verdict.known);
    scene.loads[OWNER] = 0;
    assert_int_equal(judge(&scene).slot, OWNER);
}

/* Load: more than all bear, for seconds. What can't be in time is refused at
 * once, and told when the backlog will be gone; a server that has no slot to
 * spare gets no new object. */
static void
test_more_than_they_bear_is_refused_at_once(void **state)
{
    (void)state;
    struct scene scene = {
        .loads = {[OWNER] = 15, [NEXT] = 3},
        .known = {[OWNER] = true},
    };
    struct sas_admit_verdict verdict = judge(&scene);
    assert_int_equal(verdict.slot, SasModel_NONE);
    /* 13 works of 90 ms in 3 slots, less the 240 ms that may be waited. */
    assert_in_range(verdict.retry_after_ms, 140, 160);
}

/* Load: a queue has stood for seconds. Only a short one is allowed until it
 * is gone, a longer one for what is more urgent. */
static void
test_where_a_queue_stood_the_more_urgent_wait_longer(void **state)
{
    (void)state;
    struct scene scene = {
        .loads = {[OWNER] = 7, [NEXT] = 3},
        .known = {[OWNER] = true},
    };
    assert_int_equal(judge(&scene).slot, OWNER);
    scene.brief = true;
    assert_int_equal(judge(&scene).slot, SasModel_NONE);
    scene.urgent = true;
    assert_int_equal(judge(&scene).slot, OWNER);
}

/* Load: an outage of the store. A server that turns cold unnoticed would have
 * a full queue before it has answered anything. */
static void
test_queues_are_short_while_servers_may_be_cold(void **state)
{
    (void)state;
    struct scene scene = {
        .loads = {[OWNER] = 7, [NEXT] = 3},
        .known = {[OWNER] = true},
    };
    assert_int_equal(judge(&scene).slot, OWNER);
    scene.in_doubt = true;
    assert_int_equal(judge(&scene).slot, SasModel_NONE);
    scene.loads[OWNER] = 3;
    assert_int_equal(judge(&scene).slot, OWNER);
}

/* Load: the first seconds. Work on a new object takes nearly all of the
 * route's time limit; behind others it runs into it, its work is thrown away,
 * and a registration that may not repeat is lost. */
static void
test_work_that_would_run_into_its_limit_is_not_queued(void **state)
{
    (void)state;
    struct scene scene = {
        .loads = {[OWNER] = 5, [NEXT] = 3},
        .left_ms = 1.3 * NEW_MS,
    };
    assert_int_equal(judge(&scene).slot, SasModel_NONE);
    scene.left_ms = 2.0 * NEW_MS;
    assert_int_equal(judge(&scene).slot, OWNER);
}

/* An operator adds a route with a lenient objective to a service that is busy.
 * Judged by that objective its requests seem to take longer than their limit
 * leaves, and all are refused while those of older routes are served. */
static void
test_a_new_route_of_a_busy_service_is_not_shut_out(void **state)
{
    (void)state;
    struct scene scene = {
        .loads = {[OWNER] = 5, [NEXT] = 3},
        .left_ms = 3.0 * NEW_MS,
    };
    assert_int_equal(judge(&scene).slot, OWNER);
    scene.new_route = true;
    assert_int_equal(judge(&scene).slot, OWNER);
    scene.left_ms = 1.3 * NEW_MS;
    assert_int_equal(judge(&scene).slot, SasModel_NONE);
}

/* An estimate alone, without anybody ahead, refuses nothing: it may be wrong,
 * and nothing else would ever show it. */
static void
test_a_free_slot_is_used_whatever_is_expected(void **state)
{
    (void)state;
    struct scene scene = {.left_ms = 0.5 * NEW_MS};
    assert_int_equal(judge(&scene).slot, OWNER);
}

static void
test_without_a_server_nothing_is_sent(void **state)
{
    (void)state;
    struct sas_admit_query query = {.count = 0};
    assert_int_equal(SasAdmit_Judge(NULL, &query, 0).slot, SasModel_NONE);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_a_burst_waits_at_the_owner),
        cmocka_unit_test(test_an_object_in_demand_gets_a_second_server),
        cmocka_unit_test(test_more_than_they_bear_is_refused_at_once),
        cmocka_unit_test(test_where_a_queue_stood_the_more_urgent_wait_longer),
        cmocka_unit_test(test_queues_are_short_while_servers_may_be_cold),
        cmocka_unit_test(
            test_work_that_would_run_into_its_limit_is_not_queued),
        cmocka_unit_test(test_a_new_route_of_a_busy_service_is_not_shut_out),
        cmocka_unit_test(test_a_free_slot_is_used_whatever_is_expected),
        cmocka_unit_test(test_without_a_server_nothing_is_sent),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
