#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <glib.h>

#include "sas/grey_failure.h"

#define RATE 11 /* requests a second to one server */
#define VMS 9

/* Simulates requests of nine entry VMs to a server that is healthy for ten
 * seconds and then fails a share of them. Returns after how many ms the grey
 * failure was detected, or -1. */
static int64_t
simulate(double failure_share, int seconds, guint32 seed)
{
    GRand *random = g_rand_new_with_seed(seed);
    struct sas_grey_failure vms[VMS];
    int64_t detected_ms = -1;
    for (int i = 0; i < VMS; i++) {
        SasGreyFailure_Init(&vms[i]);
    }
    for (int i = 0; i < RATE * (10 + seconds) && detected_ms < 0; i++) {
        int64_t now_ms = 1000 + i * 1000 / RATE;
        int vm = g_rand_int_range(random, 0, VMS);
        if (i < RATE * 10 || g_rand_double(random) >= failure_share) {
            SasGreyFailure_NoteAnswered(&vms[vm], now_ms);
            continue;
        }
        int answered = SasGreyFailure_TakeUnreported(&vms[vm], now_ms);
        if (SasGreyFailure_AddReport(&vms[0], 1, answered, now_ms)) {
            detected_ms = now_ms - 11000;
        }
    }
    g_rand_free(random);
    return detected_ms;
}

/* One of 24 servers resets two of five requests and answers the others in the
 * usual time, so requests keep getting lost. It must be detected within 4 s,
 * for any order of the failures. */
static void
test_server_that_fails_two_of_five_is_detected(void **state)
{
    (void)state;
    for (guint32 seed = 0; seed < 100; seed++) {
        assert_in_range(simulate(0.4, 10, seed), 0, 4000);
    }
}

static void
test_few_lost_answers_are_no_grey_failure(void **state)
{
    (void)state;
    int false_alarms = 0;
    for (guint32 seed = 0; seed < 100; seed++) {
        false_alarms += simulate(0.03, 10, seed) >= 0;
    }
    assert_in_range(false_alarms, 0, 5);
}

static void
test_old_failures_do_not_count(void **state)
{
    (void)state;
    struct sas_grey_failure grey;
    SasGreyFailure_Init(&grey);
    assert_false(SasGreyFailure_AddReport(&grey, SasGreyFailure_MIN_FAILED - 1,
                                          0, 1000));
    assert_false(SasGreyFailure_AddReport(
        &grey, 1, 0, 1000 + 2 * SasGreyFailure_WINDOW_MS));
    assert_false(
        SasGreyFailure_AddReport(&grey, SasGreyFailure_MIN_FAILED - 2, 0,
                                 1001 + 2 * SasGreyFailure_WINDOW_MS));
    assert_true(SasGreyFailure_AddReport(&grey, 1, 0,
                                         1002 + 2 * SasGreyFailure_WINDOW_MS));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_server_that_fails_two_of_five_is_detected),
        cmocka_unit_test(test_few_lost_answers_are_no_grey_failure),
        cmocka_unit_test(test_old_failures_do_not_count),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
