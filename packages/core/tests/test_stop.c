#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <glib.h>

#include "sas/stop.h"

#define BEGAN_AT 1000000 /* any */
#define GRACE_MS 6000

/* A service that is slow to answer: its requests end by their limit alone. */
#define LONGEST_MS 30000

/* A cut is excused only for requests that were sent by then. */
#define FIRST_MS 3000

/* Guards against a request that is taken late in a stop and cut off: after
 * the first seconds, and the first half of any grace, only what its own limit
 * ends before the answers are due is taken. */
static void
test_what_is_taken_late_ends_before_the_answers_are_due(void **state)
{
    (void)state;
    for (int64_t grace = 1000; grace <= 60000; grace += 500) {
        struct sas_stop_plan plan = SasStop_Plan(BEGAN_AT, grace);
        for (int64_t since = 0; since <= grace; since += 50) {
            for (int64_t left = 0; left <= LONGEST_MS; left += 500) {
                int64_t now = BEGAN_AT + since;
                bool taken = SasStop_MayTake(&plan, now, now + left);
                bool in_time = now + left <= plan.answers_at;
                bool early = since < MIN(grace / 2, FIRST_MS);
                assert_true(taken || !in_time);
                assert_true(in_time || !taken || early);
            }
        }
    }
}

/* Guards against a request that is given up while there is time left, or in
 * the moment in which it is taken. */
static void
test_what_is_given_up_has_had_five_sixths_of_the_grace(void **state)
{
    (void)state;
    for (int64_t grace = 100; grace <= 60000; grace += 100) {
        struct sas_stop_plan plan = SasStop_Plan(BEGAN_AT, grace);
        assert_true(plan.answers_at >= BEGAN_AT + grace * 5 / 6);
        assert_true(plan.notice_at < plan.answers_at);
    }
}

static void
test_at_first_everything_is_taken(void **state)
{
    (void)state;
    struct sas_stop_plan plan = SasStop_Plan(BEGAN_AT, GRACE_MS);
    int64_t limit_at = BEGAN_AT + LONGEST_MS;
    assert_true(SasStop_MayTake(&plan, BEGAN_AT, limit_at));
    assert_true(SasStop_MayTake(&plan, BEGAN_AT + GRACE_MS / 3, limit_at));
    assert_false(SasStop_MayTake(&plan, BEGAN_AT + GRACE_MS / 2, limit_at));
}

static void
test_without_an_order_everything_is_taken(void **state)
{
    (void)state;
    const struct sas_stop_plan none = {0};
    assert_true(SasStop_MayTake(&none, BEGAN_AT, BEGAN_AT + LONGEST_MS));
}

static void
test_times_follow_the_grace_in_their_order(void **state)
{
    (void)state;
    for (int64_t grace = 0; grace <= 60000; grace += 100) {
        struct sas_stop_plan plan = SasStop_Plan(BEGAN_AT, grace);
        assert_true(plan.notice_at <= BEGAN_AT + grace / 2);
        assert_true(plan.answers_at <= plan.end_at);
        assert_true(plan.end_at <= plan.changes_at);
        assert_true(plan.changes_at <= BEGAN_AT + grace);
        assert_true(SasStop_IsGivenUp(&plan, plan.end_at));
    }
}

/* Guards against a process that ends while answers are on their way. */
static void
test_it_ends_when_nothing_is_owed_or_at_its_limit(void **state)
{
    (void)state;
    struct sas_stop_plan plan = SasStop_Plan(BEGAN_AT, GRACE_MS);
    const struct sas_stop_left none = {0, 0};
    const struct sas_stop_left idle = {3, 0};
    const struct sas_stop_left owed = {3, 1};
    assert_false(SasStop_IsOver(&plan, BEGAN_AT + 1000, &none));
    assert_true(SasStop_IsOver(&plan, BEGAN_AT + 2500, &none));
    assert_false(SasStop_IsOver(&plan, BEGAN_AT + 2500, &idle));
    assert_true(SasStop_IsOver(&plan, BEGAN_AT + 3500, &idle));
    assert_false(SasStop_IsOver(&plan, plan.end_at - 1, &owed));
    assert_true(SasStop_IsOver(&plan, plan.end_at, &owed));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(
            test_what_is_taken_late_ends_before_the_answers_are_due),
        cmocka_unit_test(
            test_what_is_given_up_has_had_five_sixths_of_the_grace),
        cmocka_unit_test(test_at_first_everything_is_taken),
        cmocka_unit_test(test_without_an_order_everything_is_taken),
        cmocka_unit_test(test_times_follow_the_grace_in_their_order),
        cmocka_unit_test(test_it_ends_when_nothing_is_owed_or_at_its_limit),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
