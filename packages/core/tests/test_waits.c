#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "sas/waits.h"

/* Guards against an unresponsive store or leader that is noticed after the
 * bound within which a change has to be in force, for any bound that operators
 * set. */
static void
test_unresponsive_side_is_noticed_within_any_bound(void **state)
{
    (void)state;
    for (int64_t bound_ms = SasWaits_LEAST_BOUND_MS; bound_ms <= 60000;
         bound_ms += 7) {
        struct sas_waits waits;
        SasWaits_Init(&waits, bound_ms);
        assert_true(SasWaits_GetLongestMs(&waits) <= bound_ms);
    }
}

/* Guards against timeouts that are shorter than an answer takes, and against a
 * store that is polled without a pause. */
static void
test_usual_bounds_leave_time_to_poll_and_to_answer(void **state)
{
    (void)state;
    for (int64_t bound_ms = 2000; bound_ms <= 15000; bound_ms += 250) {
        struct sas_waits waits;
        SasWaits_Init(&waits, bound_ms);
        assert_true(waits.question_ms >= 800);
        assert_true(waits.silence_ms >= 500);
        assert_true(waits.vm_question_ms >= 500);
        assert_true(waits.vm_silence_ms >= 400);
        assert_true(waits.hop_ms >= 400);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_unresponsive_side_is_noticed_within_any_bound),
        cmocka_unit_test(test_usual_bounds_leave_time_to_poll_and_to_answer),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
