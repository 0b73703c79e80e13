#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "sas/retry.h"

static const int servers[] = {4, 5, 6, 7};

static enum sas_retry_decision
decide(struct sas_retry *r, bool idempotent, enum sas_retry_outcome outcome,
       int64_t left_ms, int tried)
{
    return SasRetry_Decide(r, SAS_RETRY_SHED, idempotent, outcome, left_ms,
                           servers, tried, servers, 4, 0);
}

static void
test_each_denial_has_its_reason(void **state)
{
    (void)state;
    struct sas_retry r;
    SasRetry_Init(&r, 0);
    assert_int_equal(decide(&r, false, SAS_RETRY_UNKNOWN, 1000, 1),
                     SAS_RETRY_NO_REPEAT);
    assert_int_equal(decide(&r, true, SAS_RETRY_UNKNOWN, 0, 1),
                     SAS_RETRY_NO_DEADLINE);
    assert_int_equal(decide(&r, true, SAS_RETRY_UNKNOWN, 1000, 3),
                     SAS_RETRY_NO_ATTEMPTS);
    assert_int_equal(SasRetry_Decide(&r, SAS_RETRY_RESET, true,
                                     SAS_RETRY_NOT_RUN, 1000, servers, 2,
                                     servers, 2, 0),
                     SAS_RETRY_NO_BACKEND);
    assert_int_equal(decide(&r, false, SAS_RETRY_NOT_RUN, 1000, 1),
                     SAS_RETRY_YES);
    assert_int_equal(decide(&r, true, SAS_RETRY_UNKNOWN, 1000, 2),
                     SAS_RETRY_YES);
    assert_int_equal(decide(&r, true, SAS_RETRY_RAN, 1000, 1), SAS_RETRY_YES);
    assert_int_equal(decide(&r, true, SAS_RETRY_NOT_RUN, 1000, 1),
                     SAS_RETRY_NO_BUDGET);
    assert_int_equal(r.decisions[SAS_RETRY_YES], 3);
    assert_int_equal(r.reasons[SAS_RETRY_SHED], 3);
    assert_string_equal(SasRetry_GetDecisionName(SAS_RETRY_NO_BUDGET),
                        "no-budget");
    assert_string_equal(SasRetry_GetReasonName(SAS_RETRY_STALL), "stall");
}

/* All backend servers shed load and every request fails. If each were retried,
 * overloaded servers would get three times the load; the retry budget limits
 * it to a tenth more. */
static void
test_shedding_causes_no_retry_storm(void **state)
{
    (void)state;
    struct sas_retry r;
    int granted = 0;
    SasRetry_Init(&r, 0);
    for (int64_t now = 0; now < 60000; now += 10) {
        SasRetry_NoteFirst(&r, now);
        granted +=
            SasRetry_Decide(&r, SAS_RETRY_SHED, true, SAS_RETRY_NOT_RUN, 1000,
                            servers, 1, servers, 4, now) == SAS_RETRY_YES;
    }
    print_message("%d retries for 6000 first attempts\n", granted);
    assert_true(granted >= 500);
    assert_true(granted <= 600 + SasRetry_MIN_RETRIES);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_each_denial_has_its_reason),
        cmocka_unit_test(test_shedding_causes_no_retry_storm),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
