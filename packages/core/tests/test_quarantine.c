#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "sas/quarantine.h"

static struct sas_quarantine q;

static enum sas_quarantine_verdict
check(struct sas_fingerprint fingerprint, int64_t now_ms)
{
    int retry_after_s;
    return SasQuarantine_Check(&q, fingerprint, now_ms, &retry_after_s);
}

static void
test_names_tell_apart(void **state)
{
    (void)state;
    struct sas_fingerprint a =
        SasQuarantine_GetFingerprint("GET", "/a", NULL, 0);
    struct sas_fingerprint b =
        SasQuarantine_GetFingerprint("GET", "/b", NULL, 0);
    struct sas_fingerprint c =
        SasQuarantine_GetFingerprint("GET", "/a", "x", 1);
    assert_true(a.low != b.low && a.low != c.low && b.low != c.low);
    assert_true(SasQuarantine_GetCrash("d1", "i1", 0) !=
                SasQuarantine_GetCrash("d1", "i2", 0));
    assert_true(SasQuarantine_GetCrash("d1", "i1", 0) !=
                SasQuarantine_GetCrash("d1", "i1", 1));
}

/* A popular look-up was on two servers when they went down, and on a third one
 * alone, for reasons of theirs. It is refused; then one that had begun before
 * is answered whole, and all callers are served again. */
static void
test_a_whole_answer_releases_what_was_condemned(void **state)
{
    (void)state;
    struct sas_fingerprint popular = {3, 3};
    SasQuarantine_Init(&q);
    SasQuarantine_Suspect(&q, popular, 100, false, 0);
    SasQuarantine_Suspect(&q, popular, 101, true, 0);
    SasQuarantine_Clear(&q, popular, 1);
    assert_int_equal(check(popular, 1), SAS_QUARANTINE_REFUSE);
    SasQuarantine_Release(&q, popular, 2);
    assert_int_equal(check(popular, 2), SAS_QUARANTINE_ALLOW);
    assert_int_equal(SasQuarantine_CountCrashes(&q, popular, 2), 0);
}

/* One certificate's lookup kills the backend server each time. The inspector
 * sends it again and again. The second crash, alone on its server, is the
 * last; an hour after the last attempt it may try once more. */
static void
test_second_crash_alone_condemns(void **state)
{
    (void)state;
    struct sas_fingerprint bad = {1, 1};
    struct sas_fingerprint good = {2, 2};
    int retry_after_s;
    SasQuarantine_Init(&q);
    SasQuarantine_Suspect(&q, bad, 100, false, 0);
    SasQuarantine_Suspect(&q, good, 100, false, 0);
    SasQuarantine_Suspect(&q, bad, 100, false, 0);
    assert_int_equal(check(bad, 1), SAS_QUARANTINE_ALONE);
    assert_true(SasQuarantine_BeginTrial(&q, bad, 5000, 1));
    assert_int_equal(check(bad, 2), SAS_QUARANTINE_WAIT);
    assert_false(SasQuarantine_BeginTrial(&q, bad, 5000, 2));
    SasQuarantine_Suspect(&q, bad, 101, true, 10);
    assert_int_equal(SasQuarantine_Check(&q, bad, 11, &retry_after_s),
                     SAS_QUARANTINE_REFUSE);
    assert_int_equal(retry_after_s, 3600);
    assert_int_equal(SasQuarantine_CountCrashes(&q, bad, 11), 2);
    assert_int_equal(SasQuarantine_GetCrashedAt(&q, bad, 11), 10);
    SasQuarantine_Clear(&q, good, 20);
    assert_int_equal(check(good, 21), SAS_QUARANTINE_ALLOW);
    int64_t renewed = SasQuarantine_LIFE_MS - 1;
    assert_int_equal(check(bad, renewed), SAS_QUARANTINE_REFUSE);
    assert_int_equal(check(bad, renewed + SasQuarantine_LIFE_MS),
                     SAS_QUARANTINE_ALLOW);
}

/* A cut cable ends a request that was alone on its server, twice. The same
 * incarnation answers afterwards: nobody is condemned, also when a peer's
 * word of the loss comes late. */
static void
test_reset_does_not_condemn(void **state)
{
    (void)state;
    struct sas_fingerprint innocent = {3, 3};
    struct sas_quarantine_entry late;
    SasQuarantine_Init(&q);
    SasQuarantine_Suspect(&q, innocent, 200, true, 0);
    SasQuarantine_Suspect(&q, innocent, 201, true, 0);
    assert_int_equal(check(innocent, 1), SAS_QUARANTINE_REFUSE);
    assert_true(SasQuarantine_Export(&q, 0, 1, &late));
    SasQuarantine_Void(&q, 200, 2);
    SasQuarantine_Void(&q, 201, 2);
    assert_int_equal(check(innocent, 3), SAS_QUARANTINE_ALLOW);
    SasQuarantine_Merge(&q, &late, 4);
    assert_int_equal(check(innocent, 5), SAS_QUARANTINE_ALLOW);
    SasQuarantine_Init(&q);
    SasQuarantine_Void(&q, 200, 2);
    SasQuarantine_Void(&q, 201, 2);
    SasQuarantine_Merge(&q, &late, 4);
    assert_int_equal(check(innocent, 5), SAS_QUARANTINE_ALLOW);
}

static void
test_full_table_keeps_the_dangerous(void **state)
{
    (void)state;
    struct sas_fingerprint bad = {9, 9};
    SasQuarantine_Init(&q);
    SasQuarantine_Suspect(&q, bad, 1, false, 0);
    SasQuarantine_Suspect(&q, bad, 2, true, 0);
    for (uint64_t i = 0; i < 3 * SasQuarantine_MAX_ENTRIES; i++) {
        struct sas_fingerprint other = {10, i};
        SasQuarantine_Suspect(&q, other, 3, false, 1);
    }
    assert_int_equal(q.count, SasQuarantine_MAX_ENTRIES);
    assert_int_equal(check(bad, 2), SAS_QUARANTINE_REFUSE);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_names_tell_apart),
        cmocka_unit_test(test_second_crash_alone_condemns),
        cmocka_unit_test(test_a_whole_answer_releases_what_was_condemned),
        cmocka_unit_test(test_reset_does_not_condemn),
        cmocka_unit_test(test_full_table_keeps_the_dangerous),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
