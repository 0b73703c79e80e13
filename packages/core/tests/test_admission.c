#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "fleet_support.h"
#include "sas/admission.h"
#include "sas/traffic.h"

#define SERVERS 3
#define OWNER 1
#define NEXT 0
#define KEY 77
#define UNCACHED_MS 300
#define CACHED_MS 90
#define OBJECTIVE_MS 330

struct scene {
    int loads[SERVERS]; /* requests at servers with three slots each */
    bool cached[SERVERS];
    bool short_queue; /* a queue has stood at the owner */
    bool high_priority;
    bool rows_stale;
    double left_ms; /* 0: ten seconds */
    bool new_route; /* a lenient objective, no answer yet */
};

static struct sas_admission_decision
decide(const struct scene *scene)
{
    struct sas_fleet *fleet = new_fleet();
    struct sas_cached_objects *objects = SasCachedObjects_New();
    struct sas_service_time service_time = {
        .uncached = {.ms = UNCACHED_MS, .samples = 9},
        .cached = {.ms = CACHED_MS, .samples = 9},
        .overall = {.ms = CACHED_MS, .samples = 9},
    };
    add_servers(fleet, "forms", "a", SERVERS);
    SasFleet_GetService(fleet, 0)->service_time = service_time;
    for (int slot = 0; slot < SERVERS; slot++) {
        SasFleet_At(fleet, slot)->traffic.in_flight = scene->loads[slot];
        if (scene->cached[slot]) {
            SasCachedObjects_NoteAnswered(objects, 0, KEY,
                                          SasFleet_GetRef(fleet, slot));
        }
    }
    SasFleet_At(fleet, OWNER)->traffic.short_queue_until =
        scene->short_queue ? 2000 : 0;
    if (scene->new_route) {
        SasServiceTime_Init(&service_time, 5.0 * UNCACHED_MS);
    }
    const int slots[SERVERS] = {OWNER, NEXT, 2};
    struct sas_admission_query query = {
        .slots = slots,
        .count = SERVERS,
        .objects = objects,
        .service_time = &service_time,
        .key = KEY,
        .objective_ms = OBJECTIVE_MS,
        .left_ms = scene->left_ms > 0 ? scene->left_ms : 10000,
        .high_priority = scene->high_priority,
        .rows_stale = scene->rows_stale,
    };
    struct sas_admission_decision decision =
        SasAdmission_Decide(fleet, &query, 1000);
    SasCachedObjects_Free(objects);
    SasFleet_Free(fleet);
    return decision;
}

/* A burst waits at its owner while that meets the objective, although other
 * servers are idle: there the object is uncached and takes three times as
 * long. */
static void
test_a_burst_waits_at_the_owner(void **state)
{
    (void)state;
    struct scene idle = {.cached = {[OWNER] = true}};
    assert_int_equal(decide(&idle).slot, OWNER);
    struct scene burst = {.loads = {[OWNER] = 9}, .cached = {[OWNER] = true}};
    struct sas_admission_decision decision = decide(&burst);
    assert_int_equal(decision.slot, OWNER);
    assert_true(decision.cached);
    assert_true(decision.wait_ms == 7 * CACHED_MS / 3.0);
}

/* A hot object has more requests than its owner can handle. The next server
 * gets one while it has spare slots. From then on it has the object cached and
 * is used where it completes a request sooner. */
static void
test_a_hot_object_gets_a_second_server(void **state)
{
    (void)state;
    struct scene scene = {.loads = {[OWNER] = 12}, .cached = {[OWNER] = true}};
    struct sas_admission_decision decision = decide(&scene);
    assert_int_equal(decision.slot, NEXT);
    assert_false(decision.cached);
    scene.loads[OWNER] = 5;
    scene.cached[NEXT] = true;
    decision = decide(&scene);
    assert_int_equal(decision.slot, NEXT);
    assert_true(decision.cached);
    scene.loads[OWNER] = 0;
    assert_int_equal(decide(&scene).slot, OWNER);
}

/* Overload for seconds. A request that can't be in time is refused at once,
 * with the time until the backlog is gone. A server without spare slots gets
 * no uncached object. */
static void
test_overload_is_refused_with_retry_after(void **state)
{
    (void)state;
    struct scene scene = {
        .loads = {[OWNER] = 15, [NEXT] = 3},
        .cached = {[OWNER] = true},
    };
    struct sas_admission_decision decision = decide(&scene);
    assert_int_equal(decision.slot, SasModel_NONE);
    /* 13 requests of 90 ms in 3 slots, less the allowed wait of 240 ms. */
    assert_in_range(decision.retry_after_ms, 140, 160);
}

/* After a standing queue only a short one is allowed, and a longer one for
 * requests of high priority. */
static void
test_high_priority_waits_longer_after_a_standing_queue(void **state)
{
    (void)state;
    struct scene scene = {
        .loads = {[OWNER] = 7, [NEXT] = 3},
        .cached = {[OWNER] = true},
    };
    assert_int_equal(decide(&scene).slot, OWNER);
    scene.short_queue = true;
    assert_int_equal(decide(&scene).slot, SasModel_NONE);
    scene.high_priority = true;
    assert_int_equal(decide(&scene).slot, OWNER);
}

/* During a store outage a server can restart cold without notice. It would
 * have a full queue before its first answer. */
static void
test_queues_are_short_while_rows_are_stale(void **state)
{
    (void)state;
    struct scene scene = {
        .loads = {[OWNER] = 7, [NEXT] = 3},
        .cached = {[OWNER] = true},
    };
    assert_int_equal(decide(&scene).slot, OWNER);
    scene.rows_stale = true;
    assert_int_equal(decide(&scene).slot, SasModel_NONE);
    scene.loads[OWNER] = 3;
    assert_int_equal(decide(&scene).slot, OWNER);
}

/* At the start all objects are uncached and a request takes nearly all of its
 * time limit. Behind others it would time out, its work would be wasted, and a
 * request that must not be retried would be lost. */
static void
test_requests_that_would_time_out_are_not_queued(void **state)
{
    (void)state;
    struct scene scene = {
        .loads = {[OWNER] = 5, [NEXT] = 3},
        .left_ms = 1.3 * UNCACHED_MS,
    };
    assert_int_equal(decide(&scene).slot, SasModel_NONE);
    scene.left_ms = 2.0 * UNCACHED_MS;
    assert_int_equal(decide(&scene).slot, OWNER);
}

/* Operators add a route with a lenient objective to a busy service. By that
 * objective its requests seem to take longer than their deadline allows, and
 * all were refused while those of older routes were served. */
static void
test_a_new_route_of_a_busy_service_is_admitted(void **state)
{
    (void)state;
    struct scene scene = {
        .loads = {[OWNER] = 5, [NEXT] = 3},
        .left_ms = 3.0 * UNCACHED_MS,
    };
    assert_int_equal(decide(&scene).slot, OWNER);
    scene.new_route = true;
    assert_int_equal(decide(&scene).slot, OWNER);
    scene.left_ms = 1.3 * UNCACHED_MS;
    assert_int_equal(decide(&scene).slot, SasModel_NONE);
}

/* With a free slot an estimate alone refuses nothing: it may be wrong, and
 * only an answer can correct it. */
static void
test_a_free_slot_is_used_despite_the_estimate(void **state)
{
    (void)state;
    struct scene scene = {.left_ms = 0.5 * UNCACHED_MS};
    assert_int_equal(decide(&scene).slot, OWNER);
}

static void
test_refuses_without_a_server(void **state)
{
    (void)state;
    struct sas_admission_query query = {.count = 0};
    assert_int_equal(SasAdmission_Decide(NULL, &query, 0).slot, SasModel_NONE);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_a_burst_waits_at_the_owner),
        cmocka_unit_test(test_a_hot_object_gets_a_second_server),
        cmocka_unit_test(test_overload_is_refused_with_retry_after),
        cmocka_unit_test(
            test_high_priority_waits_longer_after_a_standing_queue),
        cmocka_unit_test(test_queues_are_short_while_rows_are_stale),
        cmocka_unit_test(test_requests_that_would_time_out_are_not_queued),
        cmocka_unit_test(test_a_new_route_of_a_busy_service_is_admitted),
        cmocka_unit_test(test_a_free_slot_is_used_despite_the_estimate),
        cmocka_unit_test(test_refuses_without_a_server),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
