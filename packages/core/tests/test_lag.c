#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "sas/lag.h"

#define BOUND_MS 2000
#define POLL_MS 500
#define STALE_MS 800

static struct sas_lag
make_lag(int64_t applied)
{
    struct sas_lag lag;
    SasLag_Init(&lag, BOUND_MS);
    SasLag_NoteApplied(&lag, applied);
    return lag;
}

static void
test_applied_change_is_no_lag(void **state)
{
    (void)state;
    struct sas_lag lag = make_lag(12);
    assert_int_equal(SasLag_GetState(&lag, 0), SAS_LAG_NONE);
    SasLag_NotePeerVersion(&lag, 12, 100);
    SasLag_NotePeerVersion(&lag, 7, 100);
    assert_int_equal(SasLag_GetState(&lag, 90000), SAS_LAG_NONE);
    assert_int_equal(SasLag_GetBehindMs(&lag, 90000), 0);
}

/* Guards against an entry VM that serves an old configuration while its long
 * poll of the store is stalled. */
static void
test_missing_change_is_polled_elsewhere_then_stale(void **state)
{
    (void)state;
    struct sas_lag lag = make_lag(8);
    SasLag_NotePeerVersion(&lag, 12, 1000);
    assert_int_equal(SasLag_GetState(&lag, 1000), SAS_LAG_BEHIND);
    assert_int_equal(SasLag_GetMsUntil(&lag, SAS_LAG_FETCH, 1200),
                     POLL_MS - 200);
    assert_int_equal(SasLag_GetState(&lag, 1000 + POLL_MS), SAS_LAG_FETCH);
    assert_int_equal(SasLag_GetState(&lag, 1000 + STALE_MS), SAS_LAG_STALE);
    assert_int_equal(SasLag_GetMsUntil(&lag, SAS_LAG_STALE, 5000), 0);
    SasLag_NoteApplied(&lag, 12);
    assert_int_equal(SasLag_GetState(&lag, 5000), SAS_LAG_NONE);
}

/* Guards against an entry VM that never polls elsewhere because each report of
 * a newer change, or a repeated one, restarts its delay. */
static void
test_newer_changes_do_not_restart_the_delay(void **state)
{
    (void)state;
    struct sas_lag lag = make_lag(8);
    for (int64_t i = 0; i < 10; i++) {
        SasLag_NotePeerVersion(&lag, 12 + i, 1000 + i * 100);
        SasLag_NotePeerVersion(&lag, 12, 1000 + i * 100);
    }
    assert_int_equal(SasLag_GetBehindMs(&lag, 1900), 900);
    assert_int_equal(SasLag_GetState(&lag, 1900), SAS_LAG_STALE);
}

/* Changes arrive all the time and are applied after 300 ms: the entry VM must
 * not count as behind for longer than that. */
static void
test_usual_delay_needs_no_poll_elsewhere(void **state)
{
    (void)state;
    struct sas_lag lag = make_lag(0);
    for (int64_t now_ms = 0; now_ms < 60000; now_ms += 100) {
        SasLag_NotePeerVersion(&lag, now_ms + 1, now_ms);
        if (now_ms >= 300) {
            SasLag_NoteApplied(&lag, now_ms + 1 - 300);
        }
        assert_true(SasLag_GetState(&lag, now_ms) < SAS_LAG_FETCH);
    }
}

/* A reported version that no row has must not make the rows of an entry VM
 * stale for good. */
static void
test_store_version_overrides_reported_ones(void **state)
{
    (void)state;
    struct sas_lag lag = make_lag(8);
    SasLag_NotePeerVersion(&lag, INT64_MAX, 0);
    assert_int_equal(SasLag_GetState(&lag, 5000), SAS_LAG_STALE);
    SasLag_NoteStoreVersion(&lag, 9);
    assert_int_equal(SasLag_GetState(&lag, 5000), SAS_LAG_NONE);
    SasLag_NotePeerVersion(&lag, 10, 6000);
    assert_int_equal(SasLag_GetState(&lag, 6000), SAS_LAG_BEHIND);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_applied_change_is_no_lag),
        cmocka_unit_test(test_missing_change_is_polled_elsewhere_then_stale),
        cmocka_unit_test(test_newer_changes_do_not_restart_the_delay),
        cmocka_unit_test(test_usual_delay_needs_no_poll_elsewhere),
        cmocka_unit_test(test_store_version_overrides_reported_ones),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
