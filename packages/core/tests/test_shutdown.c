#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <glib.h>

#include "sas/shutdown.h"

#define BEGAN_AT 1000000 /* any */
#define GRACE_MS 6000

/* Limit of a request to a service that may take that long to answer. */
#define LONGEST_LIMIT_MS 30000

/* Requests that are sent later than this after the order to stop must never be
 * cut off. */
#define MAX_EXCUSED_MS 3000

/* Guards against a request that is accepted late in a shutdown and cut off:
 * after the first seconds, and after half of any grace period, only requests
 * that reach their own limit before the deadline are accepted. */
static void
test_late_requests_end_before_the_deadline(void **state)
{
    (void)state;
    for (int64_t grace = 1000; grace <= 60000; grace += 500) {
        struct sas_shutdown_plan plan = SasShutdown_Plan(BEGAN_AT, grace);
        for (int64_t since = 0; since <= grace; since += 50) {
            for (int64_t left = 0; left <= LONGEST_LIMIT_MS; left += 500) {
                int64_t now = BEGAN_AT + since;
                bool accepted =
                    SasShutdown_ShouldAccept(&plan, now, now + left);
                bool in_time = now + left <= plan.fail_pending_at;
                bool early = since < MIN(grace / 2, MAX_EXCUSED_MS);
                assert_true(accepted || !in_time);
                assert_true(in_time || !accepted || early);
            }
        }
    }
}

/* Guards against a request that fails while there is time left, or at the
 * moment at which it is accepted. */
static void
test_pending_requests_get_five_sixths_of_the_grace_period(void **state)
{
    (void)state;
    for (int64_t grace = 100; grace <= 60000; grace += 100) {
        struct sas_shutdown_plan plan = SasShutdown_Plan(BEGAN_AT, grace);
        assert_true(plan.fail_pending_at >= BEGAN_AT + grace * 5 / 6);
        assert_true(plan.accept_until < plan.fail_pending_at);
    }
}

static void
test_all_requests_are_accepted_at_first(void **state)
{
    (void)state;
    struct sas_shutdown_plan plan = SasShutdown_Plan(BEGAN_AT, GRACE_MS);
    int64_t limit_at = BEGAN_AT + LONGEST_LIMIT_MS;
    assert_true(SasShutdown_ShouldAccept(&plan, BEGAN_AT, limit_at));
    assert_true(
        SasShutdown_ShouldAccept(&plan, BEGAN_AT + GRACE_MS / 3, limit_at));
    assert_false(
        SasShutdown_ShouldAccept(&plan, BEGAN_AT + GRACE_MS / 2, limit_at));
}

static void
test_all_requests_are_accepted_without_an_order(void **state)
{
    (void)state;
    const struct sas_shutdown_plan none = {0};
    assert_true(SasShutdown_ShouldAccept(&none, BEGAN_AT,
                                         BEGAN_AT + LONGEST_LIMIT_MS));
}

static void
test_deadlines_are_ordered_within_the_grace_period(void **state)
{
    (void)state;
    for (int64_t grace = 0; grace <= 60000; grace += 100) {
        struct sas_shutdown_plan plan = SasShutdown_Plan(BEGAN_AT, grace);
        assert_true(plan.accept_until <= BEGAN_AT + grace / 2);
        assert_true(plan.fail_pending_at <= plan.close_at);
        assert_true(plan.close_at <= plan.change_calls_until);
        assert_true(plan.change_calls_until <= BEGAN_AT + grace);
        assert_true(SasShutdown_MustFailPending(&plan, plan.close_at));
    }
}

/* Guards against a process that ends while answers are pending. */
static void
test_process_ends_without_pending_answers_or_at_its_limit(void **state)
{
    (void)state;
    struct sas_shutdown_plan plan = SasShutdown_Plan(BEGAN_AT, GRACE_MS);
    const struct sas_shutdown_left none = {0, 0};
    const struct sas_shutdown_left idle = {3, 0};
    const struct sas_shutdown_left pending = {3, 1};
    assert_false(SasShutdown_IsDone(&plan, BEGAN_AT + 1000, &none));
    assert_true(SasShutdown_IsDone(&plan, BEGAN_AT + 2500, &none));
    assert_false(SasShutdown_IsDone(&plan, BEGAN_AT + 2500, &idle));
    assert_true(SasShutdown_IsDone(&plan, BEGAN_AT + 3500, &idle));
    assert_false(SasShutdown_IsDone(&plan, plan.close_at - 1, &pending));
    assert_true(SasShutdown_IsDone(&plan, plan.close_at, &pending));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_late_requests_end_before_the_deadline),
        cmocka_unit_test(
            test_pending_requests_get_five_sixths_of_the_grace_period),
        cmocka_unit_test(test_all_requests_are_accepted_at_first),
        cmocka_unit_test(test_all_requests_are_accepted_without_an_order),
        cmocka_unit_test(test_deadlines_are_ordered_within_the_grace_period),
        cmocka_unit_test(
            test_process_ends_without_pending_answers_or_at_its_limit),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
