#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "fleet_support.h"
#include "sas/traffic.h"

#define SERVERS 8
#define PACE_MS 400
#define KNOWN_MS 100
#define VERDICT_MS (SasTraffic_VERDICT_MS + in_paces(SasTraffic_VERDICT))

/* A multiple of the pace, in milliseconds. */
static int64_t
in_paces(double paces)
{
    return (int64_t)(paces * PACE_MS);
}

static struct sas_fleet *
start(void)
{
    struct sas_fleet *fleet = new_fleet();
    add_servers(fleet, "forms", "a", SERVERS);
    struct sas_pace *pace = &SasFleet_GetService(fleet, 0)->pace;
    pace->fresh = (struct sas_pace_estimate){.ms = PACE_MS, .samples = 9};
    pace->known = (struct sas_pace_estimate){.ms = KNOWN_MS, .samples = 9};
    return fleet;
}

static enum sas_traffic_change
end_run(struct sas_fleet *fleet, int slot, double elapsed_ms, bool timed_out,
        int64_t now_ms)
{
    struct sas_traffic_end end = {
        .elapsed_ms = elapsed_ms,
        .known = true,
        .timed_out = timed_out,
    };
    return SasTraffic_NoteRun(fleet, slot, &end, now_ms);
}

static void
test_the_load_of_others_fades_and_the_own_is_exact(void **state)
{
    (void)state;
    struct sas_fleet *fleet = start();
    struct sas_fleet_server *server = SasFleet_At(fleet, 0);
    SasTraffic_NoteSent(server, 0);
    SasTraffic_NoteSent(server, 0);
    assert_true(SasTraffic_EstimateLoad(fleet, 0, 0) == 2);
    struct sas_traffic_report report = {.running = 3, .waiting = 3};
    SasTraffic_NoteReport(fleet, 0, &report, 1000);
    assert_true(SasTraffic_EstimateLoad(fleet, 0, 1000) == 6);
    SasTraffic_NoteSent(server, 0);
    assert_true(SasTraffic_EstimateLoad(fleet, 0, 1000) == 7);
    double later = SasTraffic_EstimateLoad(
        fleet, 0, 1000 + in_paces(SasTraffic_HALF_LIFE));
    assert_true(later > 4.9 && later < 5.1);
    SasFleet_Free(fleet);
}

/* A server turns cold while nobody can say so: requests would pile up there
 * until the first of them are back. */
static void
test_a_server_with_requests_and_no_answers_is_silent(void **state)
{
    (void)state;
    struct sas_fleet *fleet = start();
    struct sas_fleet_server *server = SasFleet_At(fleet, 0);
    int64_t silence = in_paces(SasTraffic_SILENCE);
    assert_false(SasTraffic_IsSilent(fleet, 0, 5000));
    SasTraffic_NoteSent(server, 1000);
    SasTraffic_NoteSent(server, 1000 + silence - 1);
    assert_false(SasTraffic_IsSilent(fleet, 0, 1000 + silence - 1));
    assert_true(SasTraffic_IsSilent(fleet, 0, 1000 + silence));
    /* An answer ends it, and begins a new time for those that are left. */
    SasTraffic_NoteEnded(server, true, 2000);
    assert_false(SasTraffic_IsSilent(fleet, 0, 2000 + silence - 1));
    assert_true(SasTraffic_IsSilent(fleet, 0, 2000 + silence));
    /* A request that is given up doesn't: the next is one at a time. */
    SasTraffic_NoteEnded(server, false, 3000);
    assert_false(SasTraffic_IsSilent(fleet, 0, 3000));
    SasTraffic_NoteSent(server, 3010);
    assert_true(SasTraffic_IsSilent(fleet, 0, 3010));
    SasTraffic_NoteEnded(server, true, 3100);
    SasTraffic_NoteSent(server, 4000);
    assert_false(SasTraffic_IsSilent(fleet, 0, 4000));
    SasFleet_Free(fleet);
}

/* Known objects take as long as new ones on a server that has lost its cache.
 */
static void
test_slow_runs_in_a_row_show_a_server_slow(void **state)
{
    (void)state;
    struct sas_fleet *fleet = start();
    const struct sas_fleet_server *server = SasFleet_At(fleet, 0);
    end_run(fleet, 0, PACE_MS + 1, false, 1000);
    assert_false(SasTraffic_IsSlow(server));
    end_run(fleet, 0, KNOWN_MS, false, 1100);
    end_run(fleet, 0, PACE_MS + 1, false, 1200);
    assert_false(SasTraffic_IsSlow(server));
    end_run(fleet, 0, PACE_MS + 1, false, 1300);
    assert_true(SasTraffic_IsSlow(server));
    struct sas_traffic_end new_object = {.elapsed_ms = PACE_MS + 1};
    SasTraffic_NoteRun(fleet, 0, &new_object, 1400);
    assert_false(SasTraffic_IsSlow(server));
    SasFleet_Free(fleet);
}

/* Load: the workers' queue is kept full by more callers than they serve. With
 * nine waiting every answer is late; with two the same number of answers is
 * in time. A short burst, in contrast, may fill the queue. */
static void
test_a_standing_queue_is_cut_short_and_a_burst_is_not(void **state)
{
    (void)state;
    struct sas_fleet *fleet = start();
    struct sas_server_traffic *traffic = &SasFleet_At(fleet, 0)->traffic;
    struct sas_traffic_report full = {.running = 3, .waiting = 5};
    struct sas_traffic_report free = {.running = 3, .waiting = 0};
    int64_t standing = in_paces(SasTraffic_STANDING);
    SasTraffic_NoteReport(fleet, 0, &full, 1000);
    SasTraffic_NoteReport(fleet, 0, &full, 1000 + standing - 100);
    SasTraffic_NoteReport(fleet, 0, &free, 1000 + standing - 50);
    SasTraffic_NoteReport(fleet, 0, &full, 1000 + standing);
    int64_t last = 1000 + 2 * standing;
    SasTraffic_NoteReport(fleet, 0, &full, last - 100);
    assert_true(traffic->brief_until <= last - 100);
    SasTraffic_NoteReport(fleet, 0, &full, last);
    assert_int_equal(traffic->brief_until, last + in_paces(SasTraffic_BRIEF));
    SasFleet_Free(fleet);
}

/* A third of the lookups hang for nine seconds: some servers take twelve
 * times as long, and each request to them waits for its own limit. Some such
 * limits in a row suffice to know it, and one trial to know that it is over.
 */
static void
test_requests_that_run_into_their_limits_trip_a_server(void **state)
{
    (void)state;
    struct sas_fleet *fleet = start();
    const struct sas_fleet_server *server = SasFleet_At(fleet, 0);
    for (int i = 1; i < SasTraffic_TIMEOUTS; i++) {
        assert_int_equal(end_run(fleet, 0, 1000, true, 1000),
                         SAS_TRAFFIC_SAME);
    }
    assert_int_equal(end_run(fleet, 0, 1000, true, 1010), SAS_TRAFFIC_TRIPPED);
    assert_true(SasTraffic_IsShunned(server, 1010));
    /* What had been sent before still comes back and changes nothing. */
    assert_int_equal(end_run(fleet, 0, 1000, true, 1500), SAS_TRAFFIC_SAME);
    int64_t trial_at = 1010 + SasTraffic_HOLD_MS;
    assert_false(SasTraffic_IsShunned(server, trial_at));
    SasTraffic_NoteSent(SasFleet_At(fleet, 0), 0);
    assert_true(SasTraffic_IsShunned(server, trial_at + 1)); /* one only */
    SasTraffic_NoteEnded(SasFleet_At(fleet, 0), true, 0);
    assert_int_equal(end_run(fleet, 0, 900, false, trial_at + 900),
                     SAS_TRAFFIC_TRIPPED);
    int64_t again_at = trial_at + 900 + 2LL * SasTraffic_HOLD_MS;
    assert_true(SasTraffic_IsShunned(server, again_at - 1));
    assert_int_equal(end_run(fleet, 0, 300, false, again_at),
                     SAS_TRAFFIC_WELL);
    assert_false(SasTraffic_IsShunned(server, again_at));
    SasFleet_Free(fleet);
}

/* New objects take three times as long as known ones; a server with a run of
 * them is not in trouble, and shunning it would make more objects new. */
static void
test_a_run_of_new_objects_trips_nothing(void **state)
{
    (void)state;
    struct sas_fleet *fleet = start();
    for (int i = 0; i < 50; i++) {
        assert_int_equal(end_run(fleet, 0, 350, false, 1000 + i),
                         SAS_TRAFFIC_SAME);
    }
    SasFleet_Free(fleet);
}

/* A server hangs: its connections stay open and nothing comes back. After a
 * few requests in a row that ran into their limits it gets none. An answer in
 * between shows that it only works. */
static void
test_a_server_that_hangs_is_given_up(void **state)
{
    (void)state;
    struct sas_fleet *fleet = start();
    for (int i = 1; i < SasTraffic_TIMEOUTS; i++) {
        assert_int_equal(end_run(fleet, 0, 15 * KNOWN_MS, true, 1000),
                         SAS_TRAFFIC_SAME);
    }
    end_run(fleet, 0, KNOWN_MS, false, 1000);
    for (int i = 1; i < SasTraffic_TIMEOUTS; i++) {
        assert_int_equal(end_run(fleet, 0, 15 * KNOWN_MS, true, 1000),
                         SAS_TRAFFIC_SAME);
    }
    assert_int_equal(end_run(fleet, 0, 15 * KNOWN_MS, true, 1000),
                     SAS_TRAFFIC_TRIPPED);
    SasFleet_Free(fleet);
}

/* An outage that one entry VM alone sees (its own link) looks as if all
 * servers had failed. It must not shun most of them: then the rest drowns. */
static void
test_no_more_than_half_of_a_service_is_shunned(void **state)
{
    (void)state;
    struct sas_fleet *fleet = start();
    int tripped = 0;
    for (int slot = 0; slot < SERVERS; slot++) {
        for (int i = 0; i < SasTraffic_FAILURES; i++) {
            if (SasTraffic_NoteFailure(fleet, slot, false, 1000) ==
                SAS_TRAFFIC_TRIPPED) {
                tripped++;
            }
        }
    }
    assert_int_equal(tripped, SERVERS / 2);
    SasFleet_Free(fleet);
}

/* A server that loses some answers still serves most callers: three cuts in a
 * row are needed where two refused connections show that nobody is there. */
static void
test_cuts_weigh_less_than_refused_connections(void **state)
{
    (void)state;
    struct sas_fleet *fleet = start();
    for (int i = 0; i < 10; i++) {
        assert_int_equal(SasTraffic_NoteFailure(fleet, 0, true, 1000),
                         SAS_TRAFFIC_SAME);
        assert_int_equal(SasTraffic_NoteFailure(fleet, 0, true, 1000),
                         SAS_TRAFFIC_SAME);
        end_run(fleet, 0, 100, false, 1000);
    }
    SasTraffic_NoteFailure(fleet, 1, false, 1000);
    assert_int_equal(SasTraffic_NoteFailure(fleet, 1, false, 1000),
                     SAS_TRAFFIC_TRIPPED);
    SasFleet_Free(fleet);
}

/* One entry VM has a bad link to a healthy server and tells all others that
 * it failed. Those that have an answer from just now know better. */
static void
test_an_own_fresh_answer_outweighs_anothers_word(void **state)
{
    (void)state;
    struct sas_fleet *fleet = start();
    end_run(fleet, 0, 100, false, 1000);
    SasTraffic_TakeWord(fleet, 0, 1500, false, 1100);
    assert_false(SasTraffic_IsShunned(SasFleet_At(fleet, 0), 1100));
    SasTraffic_TakeWord(fleet, 1, 1500, false, 1100);
    assert_true(SasTraffic_IsShunned(SasFleet_At(fleet, 1), 1100));
    SasFleet_Free(fleet);
}

/* Nine entry VMs would try each slow server again by themselves, and a tenth
 * of all requests went into such trials: the tester alone tries, the others
 * wait for its word, and go on by themselves when none comes. */
static void
test_only_the_tester_tries_again(void **state)
{
    (void)state;
    struct sas_fleet *fleet = start();
    struct sas_fleet_server *tester = SasFleet_At(fleet, 0);
    struct sas_fleet_server *other = SasFleet_At(fleet, 1);
    SasTraffic_TakeWord(fleet, 0, 1500, true, 1000);
    SasTraffic_TakeWord(fleet, 1, 1500, false, 1000);
    assert_true(SasTraffic_IsShunned(tester, 2499));
    assert_false(SasTraffic_IsShunned(tester, 2500));
    assert_true(SasTraffic_IsShunned(other, 2500));
    SasTraffic_TakeWord(fleet, 1, 0, false, 2600);
    assert_false(SasTraffic_IsShunned(other, 2600));
    SasTraffic_TakeWord(fleet, 1, 1500, false, 3000);
    assert_false(SasTraffic_IsShunned(other, 3000 + 1500 + VERDICT_MS));
    SasFleet_Free(fleet);
}

/* Load: more callers than slots. Who comes next waits for those ahead. */
static void
test_the_wait_grows_with_those_ahead(void **state)
{
    (void)state;
    struct sas_fleet *fleet = start();
    struct sas_pace *pace = &SasFleet_GetService(fleet, 0)->pace;
    pace->mixed = (struct sas_pace_estimate){.ms = 120, .samples = 9};
    struct sas_server_traffic *traffic = &SasFleet_At(fleet, 0)->traffic;
    traffic->in_flight = 2; /* of 3 slots */
    assert_true(SasTraffic_EstimateWaitMs(fleet, 0, 1000) == 0);
    traffic->in_flight = 3;
    assert_true(SasTraffic_EstimateWaitMs(fleet, 0, 1000) == 40);
    traffic->in_flight = 6;
    assert_true(SasTraffic_EstimateWaitMs(fleet, 0, 1000) == 160);
    SasFleet_Free(fleet);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_the_load_of_others_fades_and_the_own_is_exact),
        cmocka_unit_test(test_a_server_with_requests_and_no_answers_is_silent),
        cmocka_unit_test(test_slow_runs_in_a_row_show_a_server_slow),
        cmocka_unit_test(
            test_a_standing_queue_is_cut_short_and_a_burst_is_not),
        cmocka_unit_test(
            test_requests_that_run_into_their_limits_trip_a_server),
        cmocka_unit_test(test_a_run_of_new_objects_trips_nothing),
        cmocka_unit_test(test_a_server_that_hangs_is_given_up),
        cmocka_unit_test(test_no_more_than_half_of_a_service_is_shunned),
        cmocka_unit_test(test_cuts_weigh_less_than_refused_connections),
        cmocka_unit_test(test_an_own_fresh_answer_outweighs_anothers_word),
        cmocka_unit_test(test_only_the_tester_tries_again),
        cmocka_unit_test(test_the_wait_grows_with_those_ahead),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
