#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "sas/shared_limits.h"

#define VMS 9

static void
test_window_counts_at_least_its_span(void **state)
{
    (void)state;
    struct sas_window window;
    SasWindow_Init(&window, 1000);
    for (int64_t t = 0; t < 5000; t += 10) {
        SasWindow_Add(&window, 1, t);
        double expected = t < 1000 ? (double)t / 10 + 1 : 100;
        double count = SasWindow_Count(&window, t);
        assert_true(count >= expected);
        assert_true(count <= expected + 6);
    }
    assert_true(SasWindow_Count(&window, 9000) == 0);
}

/* All servers refuse requests at peak load and every entry VM retries each
 * request. However callers spread over the entry VMs, the sum of the retries
 * must stay within the shared budget. */
static void
test_retries_of_all_entry_vms_stay_within_the_budget(void **state)
{
    (void)state;
    struct sas_retry_budget budgets[VMS];
    for (int vm = 0; vm < VMS; vm++) {
        SasRetryBudget_Init(&budgets[vm], 0.2, 58, 10000);
    }
    int requests = 0;
    int retries = 0;
    for (int64_t t = 0; t < 10000; t += 2) {
        int vm = t < 5000 ? 0 : (int)(t / 2) % VMS; /* first all at one */
        SasRetryBudget_NoteRequest(&budgets[vm], t);
        requests++;
        retries += SasRetryBudget_Acquire(&budgets[vm], VMS, t) ? 1 : 0;
    }
    assert_true(retries <= 0.2 * requests + 58);
    assert_true(retries >= 0.7 * 0.2 * requests);
}

/* A zone's servers restart cold together. Each can handle 9 requests a second
 * and fails above 18; all entry VMs of the region send to it. */
static void
test_cold_limit_shares_add_up_to_the_limit(void **state)
{
    (void)state;
    for (int vms = 1; vms <= 30; vms++) {
        int sum = 0;
        for (int rank = 0; rank < vms; rank++) {
            sum += SasColdLimit_GetShare(9, 1.5, 5, vms, rank);
        }
        assert_true(sum <= 18);
        assert_true(sum >= 15); /* most of the limit is used */
    }
    assert_int_equal(SasColdLimit_GetShare(9, 1.5, 5, 3, 0), 5);
    assert_int_equal(SasColdLimit_GetShare(9, 1.5, 5, 30, 0), 1);
    assert_int_equal(SasColdLimit_GetShare(9, 1.5, 5, 30, 29), 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_window_counts_at_least_its_span),
        cmocka_unit_test(test_retries_of_all_entry_vms_stay_within_the_budget),
        cmocka_unit_test(test_cold_limit_shares_add_up_to_the_limit),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
