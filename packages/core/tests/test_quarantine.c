#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "sas/quarantine.h"

static struct sas_quarantine q;

static enum sas_quarantine_decision
check(struct sas_fingerprint fingerprint, int64_t now_ms)
{
    int retry_after_s;
    return SasQuarantine_Check(&q, fingerprint, now_ms, &retry_after_s);
}

static void
test_identifiers_differ(void **state)
{
    (void)state;
    struct sas_fingerprint a = SasQuarantine_HashRequest("GET", "/a", NULL, 0);
    struct sas_fingerprint b = SasQuarantine_HashRequest("GET", "/b", NULL, 0);
    struct sas_fingerprint c = SasQuarantine_HashRequest("GET", "/a", "x", 1);
    assert_true(a.low != b.low && a.low != c.low && b.low != c.low);
    assert_true(SasQuarantine_HashCrash("d1", "i1", 0) !=
                SasQuarantine_HashCrash("d1", "i2", 0));
    assert_true(SasQuarantine_HashCrash("d1", "i1", 0) !=
                SasQuarantine_HashCrash("d1", "i1", 1));
}

/* A popular request ran on two servers that crashed for other reasons, on the
 * second one in an isolated run, so it is quarantined. Then a run that began
 * before completes, and the request must be served again. */
static void
test_completed_run_ends_the_quarantine(void **state)
{
    (void)state;
    struct sas_fingerprint popular = {3, 3};
    SasQuarantine_Init(&q);
    SasQuarantine_Suspect(&q, popular, 100, false, 0);
    SasQuarantine_Suspect(&q, popular, 101, true, 0);
    SasQuarantine_Clear(&q, popular, 1);
    assert_int_equal(check(popular, 1), SAS_QUARANTINE_REFUSE);
    SasQuarantine_Trust(&q, popular, 2);
    assert_int_equal(check(popular, 2), SAS_QUARANTINE_ALLOW);
    assert_int_equal(SasQuarantine_CountCrashes(&q, popular, 2), 0);
}

/* A request crashes its server each time, and its caller keeps sending it. The
 * second crash, in an isolated run, must be the last one; an hour after the
 * last attempt the request may run once more. */
static void
test_second_crash_in_isolated_run_quarantines(void **state)
{
    (void)state;
    struct sas_fingerprint poison = {1, 1};
    struct sas_fingerprint harmless = {2, 2};
    int retry_after_s;
    SasQuarantine_Init(&q);
    SasQuarantine_Suspect(&q, poison, 100, false, 0);
    SasQuarantine_Suspect(&q, harmless, 100, false, 0);
    SasQuarantine_Suspect(&q, poison, 100, false, 0);
    assert_int_equal(check(poison, 1), SAS_QUARANTINE_ISOLATE);
    assert_true(SasQuarantine_BeginIsolatedRun(&q, poison, 5000, 1));
    assert_int_equal(check(poison, 2), SAS_QUARANTINE_WAIT);
    assert_false(SasQuarantine_BeginIsolatedRun(&q, poison, 5000, 2));
    SasQuarantine_Suspect(&q, poison, 101, true, 10);
    assert_int_equal(SasQuarantine_Check(&q, poison, 11, &retry_after_s),
                     SAS_QUARANTINE_REFUSE);
    assert_int_equal(retry_after_s, 3600);
    assert_int_equal(SasQuarantine_CountCrashes(&q, poison, 11), 2);
    assert_int_equal(SasQuarantine_GetCrashedAt(&q, poison, 11), 10);
    SasQuarantine_Clear(&q, harmless, 20);
    assert_int_equal(check(harmless, 21), SAS_QUARANTINE_ALLOW);
    int64_t renewed_ms = SasQuarantine_LIFE_MS - 1;
    assert_int_equal(check(poison, renewed_ms), SAS_QUARANTINE_REFUSE);
    assert_int_equal(check(poison, renewed_ms + SasQuarantine_LIFE_MS),
                     SAS_QUARANTINE_ALLOW);
}

/* A network failure resets the connection of an isolated run, twice. The same
 * incarnation answers afterwards, so the request must not be quarantined, also
 * when a peer's report of the loss arrives late. */
static void
test_connection_reset_does_not_quarantine(void **state)
{
    (void)state;
    struct sas_fingerprint harmless = {3, 3};
    struct sas_quarantine_entry late_report;
    SasQuarantine_Init(&q);
    SasQuarantine_Suspect(&q, harmless, 200, true, 0);
    SasQuarantine_Suspect(&q, harmless, 201, true, 0);
    assert_int_equal(check(harmless, 1), SAS_QUARANTINE_REFUSE);
    assert_true(SasQuarantine_Export(&q, 0, 1, &late_report));
    SasQuarantine_Dismiss(&q, 200, 2);
    SasQuarantine_Dismiss(&q, 201, 2);
    assert_int_equal(check(harmless, 3), SAS_QUARANTINE_ALLOW);
    SasQuarantine_Merge(&q, &late_report, 4);
    assert_int_equal(check(harmless, 5), SAS_QUARANTINE_ALLOW);
    SasQuarantine_Init(&q);
    SasQuarantine_Dismiss(&q, 200, 2);
    SasQuarantine_Dismiss(&q, 201, 2);
    SasQuarantine_Merge(&q, &late_report, 4);
    assert_int_equal(check(harmless, 5), SAS_QUARANTINE_ALLOW);
}

/* Guards against a poison request that goes on crashing servers: one node had
 * dismissed a lost connection, and the crash that another one saw later got
 * the dismissed one's id. */
static void
test_a_crash_has_another_id_than_what_any_node_has_dismissed(void **state)
{
    (void)state;
    static struct sas_quarantine other;
    struct sas_fingerprint poison = {4, 4};
    struct sas_quarantine_entry report;
    SasQuarantine_Init(&q);
    SasQuarantine_Init(&other);
    uint64_t reset = SasQuarantine_ChooseCrash(&q, "d1", "i1", 0);
    assert_true(SasQuarantine_ChooseCrash(&other, "d1", "i1", 0) == reset);
    SasQuarantine_Suspect(&q, poison, reset, false, 0);
    SasQuarantine_Dismiss(&q, reset, 1);
    assert_true(SasQuarantine_Export(&q, 0, 2, &report));
    SasQuarantine_Merge(&other, &report, 2);
    uint64_t crash = SasQuarantine_ChooseCrash(&other, "d1", "i1", 3);
    assert_true(crash != reset);
    assert_true(SasQuarantine_ChooseCrash(&q, "d1", "i1", 3) == crash);
    SasQuarantine_Suspect(&other, poison, crash, false, 3);
    assert_int_equal(SasQuarantine_CountCrashes(&other, poison, 3), 1);
}

static void
test_full_table_keeps_the_quarantined(void **state)
{
    (void)state;
    struct sas_fingerprint poison = {9, 9};
    SasQuarantine_Init(&q);
    SasQuarantine_Suspect(&q, poison, 1, false, 0);
    SasQuarantine_Suspect(&q, poison, 2, true, 0);
    for (uint64_t i = 0; i < 3 * SasQuarantine_MAX_ENTRIES; i++) {
        struct sas_fingerprint other = {10, i};
        SasQuarantine_Suspect(&q, other, 3, false, 1);
    }
    assert_int_equal(q.count, SasQuarantine_MAX_ENTRIES);
    assert_int_equal(check(poison, 2), SAS_QUARANTINE_REFUSE);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_identifiers_differ),
        cmocka_unit_test(test_second_crash_in_isolated_run_quarantines),
        cmocka_unit_test(test_completed_run_ends_the_quarantine),
        cmocka_unit_test(test_connection_reset_does_not_quarantine),
        cmocka_unit_test(
            test_a_crash_has_another_id_than_what_any_node_has_dismissed),
        cmocka_unit_test(test_full_table_keeps_the_quarantined),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
