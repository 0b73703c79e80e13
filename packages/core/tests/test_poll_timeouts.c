#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "sas/poll_timeouts.h"

/* Guards against an unresponsive store or leader that is noticed after the
 * bound within which a change has to be in force, for any bound that operators
 * set. */
static void
test_unresponsive_side_is_noticed_within_any_bound(void **state)
{
    (void)state;
    for (int64_t bound_ms = SasPollTimeouts_MIN_BOUND_MS; bound_ms <= 60000;
         bound_ms += 7) {
        struct sas_poll_timeouts timeouts;
        SasPollTimeouts_Init(&timeouts, bound_ms);
        assert_true(SasPollTimeouts_GetMaxPropagationMs(&timeouts) <=
                    bound_ms);
    }
}

/* Guards against a silent store that is noticed late, since it was polled anew
 * shortly before the poll that was open would have told. */
static void
test_a_poll_anew_ends_within_any_bound(void **state)
{
    (void)state;
    for (int64_t bound_ms = SasPollTimeouts_MIN_BOUND_MS; bound_ms <= 60000;
         bound_ms += 7) {
        struct sas_poll_timeouts timeouts;
        SasPollTimeouts_Init(&timeouts, bound_ms);
        int64_t max_age_ms = SasPollTimeouts_GetMaxAgeMs(&timeouts);
        for (int64_t age_ms = 0; age_ms <= max_age_ms; age_ms++) {
            int64_t repoll_ms = SasPollTimeouts_GetRepollMs(&timeouts, age_ms);
            assert_true(repoll_ms >= timeouts.failover_ms / 2);
            assert_true(age_ms + repoll_ms < bound_ms);
        }
    }
}

/* Guards against timeouts that are shorter than an answer takes, and against a
 * store that is polled without a pause. */
static void
test_usual_bounds_leave_time_to_poll_and_to_answer(void **state)
{
    (void)state;
    for (int64_t bound_ms = 2000; bound_ms <= 15000; bound_ms += 250) {
        struct sas_poll_timeouts timeouts;
        SasPollTimeouts_Init(&timeouts, bound_ms);
        assert_true(timeouts.poll_ms >= 800);
        assert_true(timeouts.response_ms >= 500);
        assert_true(timeouts.vm_poll_ms >= 500);
        assert_true(timeouts.vm_response_ms >= 400);
        assert_true(timeouts.failover_ms >= 400);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_unresponsive_side_is_noticed_within_any_bound),
        cmocka_unit_test(test_a_poll_anew_ends_within_any_bound),
        cmocka_unit_test(test_usual_bounds_leave_time_to_poll_and_to_answer),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
