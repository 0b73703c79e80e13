#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "fleet_support.h"
#include "sas/traffic.h"

#define SERVERS 8
#define SERVICE_MS 400
#define KNOWN_MS 100
#define PROBE_RESULT_MS                                                       \
    (SasTraffic_PROBE_RESULT_MS + in_service_times(SasTraffic_PROBE_RESULT))

/* Converts service times to milliseconds. */
static int64_t
in_service_times(double count)
{
    return (int64_t)(count * SERVICE_MS);
}

static struct sas_fleet *
start(void)
{
    struct sas_fleet *fleet = new_fleet();
    add_servers(fleet, "forms", "a", SERVERS);
    struct sas_service_time *service_time =
        &SasFleet_GetService(fleet, 0)->service_time;
    service_time->uncached =
        (struct sas_service_time_estimate){.ms = SERVICE_MS, .samples = 9};
    service_time->cached =
        (struct sas_service_time_estimate){.ms = KNOWN_MS, .samples = 9};
    return fleet;
}

static enum sas_traffic_change
end_run(struct sas_fleet *fleet, int slot, double elapsed_ms, bool timed_out,
        int64_t now_ms)
{
    struct sas_attempt_result result = {
        .elapsed_ms = elapsed_ms,
        .cached = true,
        .timed_out = timed_out,
    };
    return SasTraffic_NoteResult(fleet, slot, &result, now_ms);
}

static void
test_others_load_decays_and_own_load_is_exact(void **state)
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
        fleet, 0, 1000 + in_service_times(SasTraffic_HALF_LIFE));
    assert_true(later > 4.9 && later < 5.1);
    SasFleet_Free(fleet);
}

/* A server restarts cold during a store outage, so no entry VM learns of it.
 * Requests would pile up there until the first of them are answered. */
static void
test_a_server_without_answers_is_unresponsive(void **state)
{
    (void)state;
    struct sas_fleet *fleet = start();
    struct sas_fleet_server *server = SasFleet_At(fleet, 0);
    int64_t unresponsive_ms = in_service_times(SasTraffic_UNRESPONSIVE);
    assert_false(SasTraffic_IsUnresponsive(fleet, 0, 5000));
    SasTraffic_NoteSent(server, 1000);
    SasTraffic_NoteSent(server, 1000 + unresponsive_ms - 1);
    assert_false(
        SasTraffic_IsUnresponsive(fleet, 0, 1000 + unresponsive_ms - 1));
    assert_true(SasTraffic_IsUnresponsive(fleet, 0, 1000 + unresponsive_ms));
    /* An answer resets the time for the requests still in flight. */
    SasTraffic_NoteEnded(server, true, 2000);
    assert_false(
        SasTraffic_IsUnresponsive(fleet, 0, 2000 + unresponsive_ms - 1));
    assert_true(SasTraffic_IsUnresponsive(fleet, 0, 2000 + unresponsive_ms));
    /* A canceled request doesn't: then one request at a time is sent. */
    SasTraffic_NoteEnded(server, false, 3000);
    assert_false(SasTraffic_IsUnresponsive(fleet, 0, 3000));
    SasTraffic_NoteSent(server, 3010);
    assert_true(SasTraffic_IsUnresponsive(fleet, 0, 3010));
    SasTraffic_NoteEnded(server, true, 3100);
    SasTraffic_NoteSent(server, 4000);
    assert_false(SasTraffic_IsUnresponsive(fleet, 0, 4000));
    SasFleet_Free(fleet);
}

/* On a server that has lost its cache, objects that were cached take as long
 * as uncached ones. */
static void
test_consecutive_slow_runs_make_a_server_slow(void **state)
{
    (void)state;
    struct sas_fleet *fleet = start();
    const struct sas_fleet_server *server = SasFleet_At(fleet, 0);
    end_run(fleet, 0, SERVICE_MS + 1, false, 1000);
    assert_false(SasTraffic_IsSlow(server));
    end_run(fleet, 0, KNOWN_MS, false, 1100);
    end_run(fleet, 0, SERVICE_MS + 1, false, 1200);
    assert_false(SasTraffic_IsSlow(server));
    end_run(fleet, 0, SERVICE_MS + 1, false, 1300);
    assert_true(SasTraffic_IsSlow(server));
    struct sas_attempt_result new_object = {.elapsed_ms = SERVICE_MS + 1};
    SasTraffic_NoteResult(fleet, 0, &new_object, 1400);
    assert_false(SasTraffic_IsSlow(server));
    SasFleet_Free(fleet);
}

/* Sustained overload keeps the queue full. With nine requests waiting every
 * answer is late; with two, the same number of answers is in time. A short
 * burst may still fill the queue. */
static void
test_a_standing_queue_is_limited_and_a_burst_is_not(void **state)
{
    (void)state;
    struct sas_fleet *fleet = start();
    struct sas_server_traffic *traffic = &SasFleet_At(fleet, 0)->traffic;
    struct sas_traffic_report full = {.running = 3, .waiting = 5};
    struct sas_traffic_report free = {.running = 3, .waiting = 0};
    int64_t standing = in_service_times(SasTraffic_STANDING_AFTER);
    SasTraffic_NoteReport(fleet, 0, &full, 1000);
    SasTraffic_NoteReport(fleet, 0, &full, 1000 + standing - 100);
    SasTraffic_NoteReport(fleet, 0, &free, 1000 + standing - 50);
    SasTraffic_NoteReport(fleet, 0, &full, 1000 + standing);
    int64_t last = 1000 + 2 * standing;
    SasTraffic_NoteReport(fleet, 0, &full, last - 100);
    assert_true(traffic->short_queue_until <= last - 100);
    SasTraffic_NoteReport(fleet, 0, &full, last);
    assert_int_equal(traffic->short_queue_until,
                     last + in_service_times(SasTraffic_SHORT_QUEUE));
    SasFleet_Free(fleet);
}

/* Some servers turn twelve times slower, and every request to them waits for
 * its own timeout: a third of the requests hung for nine seconds. Consecutive
 * timeouts eject such a server, and one successful probe request ends it. */
static void
test_consecutive_timeouts_eject_until_a_probe_succeeds(void **state)
{
    (void)state;
    struct sas_fleet *fleet = start();
    const struct sas_fleet_server *server = SasFleet_At(fleet, 0);
    for (int i = 1; i < SasTraffic_MAX_TIMEOUTS; i++) {
        assert_int_equal(end_run(fleet, 0, 1000, true, 1000),
                         SAS_TRAFFIC_SAME);
    }
    assert_int_equal(end_run(fleet, 0, 1000, true, 1010), SAS_TRAFFIC_EJECTED);
    assert_true(SasTraffic_IsEjected(server, 1010));
    /* Timeouts of requests sent before the ejection change nothing. */
    assert_int_equal(end_run(fleet, 0, 1000, true, 1500), SAS_TRAFFIC_SAME);
    int64_t probe_at = 1010 + SasTraffic_EJECTION_MS;
    assert_false(SasTraffic_IsEjected(server, probe_at));
    SasTraffic_NoteSent(SasFleet_At(fleet, 0), 0);
    assert_true(SasTraffic_IsEjected(server, probe_at + 1)); /* one only */
    SasTraffic_NoteEnded(SasFleet_At(fleet, 0), true, 0);
    assert_int_equal(end_run(fleet, 0, 900, false, probe_at + 900),
                     SAS_TRAFFIC_EJECTED);
    int64_t again_at = probe_at + 900 + 2LL * SasTraffic_EJECTION_MS;
    assert_true(SasTraffic_IsEjected(server, again_at - 1));
    assert_int_equal(end_run(fleet, 0, 300, false, again_at),
                     SAS_TRAFFIC_RECOVERED);
    assert_false(SasTraffic_IsEjected(server, again_at));
    SasFleet_Free(fleet);
}

/* Uncached objects take three times as long as cached ones. A server with a
 * series of them is healthy, and its ejection would leave more objects
 * uncached. */
static void
test_uncached_objects_do_not_eject(void **state)
{
    (void)state;
    struct sas_fleet *fleet = start();
    for (int i = 0; i < 50; i++) {
        assert_int_equal(end_run(fleet, 0, 350, false, 1000 + i),
                         SAS_TRAFFIC_SAME);
    }
    SasFleet_Free(fleet);
}

/* A server hangs: its connections stay open and no answer comes. Consecutive
 * timeouts eject it; an answer in between shows that it is only busy. */
static void
test_a_hanging_server_is_ejected(void **state)
{
    (void)state;
    struct sas_fleet *fleet = start();
    for (int i = 1; i < SasTraffic_MAX_TIMEOUTS; i++) {
        assert_int_equal(end_run(fleet, 0, 15 * KNOWN_MS, true, 1000),
                         SAS_TRAFFIC_SAME);
    }
    end_run(fleet, 0, KNOWN_MS, false, 1000);
    for (int i = 1; i < SasTraffic_MAX_TIMEOUTS; i++) {
        assert_int_equal(end_run(fleet, 0, 15 * KNOWN_MS, true, 1000),
                         SAS_TRAFFIC_SAME);
    }
    assert_int_equal(end_run(fleet, 0, 15 * KNOWN_MS, true, 1000),
                     SAS_TRAFFIC_EJECTED);
    SasFleet_Free(fleet);
}

/* When an entry VM's own link fails, all servers look failed. It must not
 * eject most of them, or the rest is overloaded. */
static void
test_at_most_half_of_a_service_is_ejected(void **state)
{
    (void)state;
    struct sas_fleet *fleet = start();
    int ejected = 0;
    for (int slot = 0; slot < SERVERS; slot++) {
        for (int i = 0; i < SasTraffic_MAX_FAILURES; i++) {
            if (SasTraffic_NoteFailure(fleet, slot, false, 1000) ==
                SAS_TRAFFIC_EJECTED) {
                ejected++;
            }
        }
    }
    assert_int_equal(ejected, SERVERS / 2);
    SasFleet_Free(fleet);
}

/* A server that resets some connections still serves most callers, so three
 * consecutive resets are needed. Two refused connections show that no process
 * listens. */
static void
test_resets_count_less_than_refused_connections(void **state)
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
                     SAS_TRAFFIC_EJECTED);
    SasFleet_Free(fleet);
}

/* One entry VM has a bad link to a healthy server and reports an ejection. The
 * others ignore it where a recent answer shows that the server is healthy. */
static void
test_a_recent_answer_outweighs_a_peer_report(void **state)
{
    (void)state;
    struct sas_fleet *fleet = start();
    end_run(fleet, 0, 100, false, 1000);
    SasTraffic_ApplyPeerReport(fleet, 0, 1500, false, 1100);
    assert_false(SasTraffic_IsEjected(SasFleet_At(fleet, 0), 1100));
    SasTraffic_ApplyPeerReport(fleet, 1, 1500, false, 1100);
    assert_true(SasTraffic_IsEjected(SasFleet_At(fleet, 1), 1100));
    SasFleet_Free(fleet);
}

/* Guards against servers that stay ejected after one entry VM's report was
 * found wrong, and against an undone report that ends another ejection. */
static void
test_an_undone_peer_report_leaves_what_was_before(void **state)
{
    (void)state;
    struct sas_fleet *fleet = start();
    for (int slot = 0; slot < 2; slot++) {
        bool prober = slot == 0;
        struct sas_fleet_server *server = SasFleet_At(fleet, slot);
        struct sas_server_traffic before = server->traffic;
        SasTraffic_ApplyPeerReport(fleet, slot, 1500, prober, 1000);
        assert_true(SasTraffic_IsEjected(server, 1100));
        SasTraffic_UndoPeerReport(fleet, slot, &before);
        assert_false(SasTraffic_IsEjected(server, 1100));

        SasTraffic_ApplyPeerReport(fleet, slot, 1500, prober, 2000);
        before = server->traffic;
        SasTraffic_ApplyPeerReport(fleet, slot, 6000, prober, 2100);
        SasTraffic_UndoPeerReport(fleet, slot, &before);
        assert_true(SasTraffic_IsEjected(server, 3499));
        assert_false(
            SasTraffic_IsEjected(server, 2000 + 1500 + PROBE_RESULT_MS));
    }
    SasFleet_Free(fleet);
}

/* Guards against a server that is ejected anew as the second of two reports is
 * undone after the first. */
static void
test_two_peer_reports_are_undone_in_any_order(void **state)
{
    (void)state;
    struct sas_fleet *fleet = start();
    for (int slot = 0; slot < 4; slot++) {
        bool prober = slot < 2;
        int first = slot % 2;
        struct sas_fleet_server *server = SasFleet_At(fleet, slot);
        struct sas_server_traffic before[2];
        for (int i = 0; i < 2; i++) {
            before[i] = server->traffic;
            SasTraffic_ApplyPeerReport(fleet, slot, 1500, prober,
                                       1000 + 10 * i);
        }
        SasTraffic_UndoPeerReport(fleet, slot, &before[first]);
        SasTraffic_UndoPeerReport(fleet, slot, &before[1 - first]);
        assert_false(SasTraffic_IsEjected(server, 1100));
    }
    SasFleet_Free(fleet);
}

/* When each of nine entry VMs probed the slow servers by itself, a tenth of
 * all requests were probes. So only the prober probes; the others wait for its
 * report, and use the server again when none comes. */
static void
test_only_the_prober_probes(void **state)
{
    (void)state;
    struct sas_fleet *fleet = start();
    struct sas_fleet_server *prober = SasFleet_At(fleet, 0);
    struct sas_fleet_server *other = SasFleet_At(fleet, 1);
    SasTraffic_ApplyPeerReport(fleet, 0, 1500, true, 1000);
    SasTraffic_ApplyPeerReport(fleet, 1, 1500, false, 1000);
    assert_true(SasTraffic_IsEjected(prober, 2499));
    assert_false(SasTraffic_IsEjected(prober, 2500));
    assert_true(SasTraffic_IsEjected(other, 2500));
    SasTraffic_ApplyPeerReport(fleet, 1, 0, false, 2600);
    assert_false(SasTraffic_IsEjected(other, 2600));
    SasTraffic_ApplyPeerReport(fleet, 1, 1500, false, 3000);
    assert_false(SasTraffic_IsEjected(other, 3000 + 1500 + PROBE_RESULT_MS));
    SasFleet_Free(fleet);
}

/* With more requests than execution slots, a new one waits for those ahead. */
static void
test_wait_grows_with_the_queue(void **state)
{
    (void)state;
    struct sas_fleet *fleet = start();
    struct sas_service_time *service_time =
        &SasFleet_GetService(fleet, 0)->service_time;
    service_time->overall =
        (struct sas_service_time_estimate){.ms = 120, .samples = 9};
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
        cmocka_unit_test(test_others_load_decays_and_own_load_is_exact),
        cmocka_unit_test(test_a_server_without_answers_is_unresponsive),
        cmocka_unit_test(test_consecutive_slow_runs_make_a_server_slow),
        cmocka_unit_test(test_a_standing_queue_is_limited_and_a_burst_is_not),
        cmocka_unit_test(
            test_consecutive_timeouts_eject_until_a_probe_succeeds),
        cmocka_unit_test(test_uncached_objects_do_not_eject),
        cmocka_unit_test(test_a_hanging_server_is_ejected),
        cmocka_unit_test(test_at_most_half_of_a_service_is_ejected),
        cmocka_unit_test(test_resets_count_less_than_refused_connections),
        cmocka_unit_test(test_a_recent_answer_outweighs_a_peer_report),
        cmocka_unit_test(test_an_undone_peer_report_leaves_what_was_before),
        cmocka_unit_test(test_two_peer_reports_are_undone_in_any_order),
        cmocka_unit_test(test_only_the_prober_probes),
        cmocka_unit_test(test_wait_grows_with_the_queue),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
