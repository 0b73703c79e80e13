#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "sas/ping.h"

static void
test_ping_is_sent_three_times_before_it_times_out(void **state)
{
    (void)state;
    struct sas_pings pings;
    struct sas_ping_due due;
    SasPing_Init(&pings);
    SasPing_Add(&pings, 4, 1000);
    assert_false(SasPing_NextDue(&pings, 1299, &due));
    for (int try = 1; try < SasPing_MAX_SENDS; try++) {
        int64_t now_ms = 1000 + try * SasPing_TIMEOUT_MS;
        assert_true(SasPing_NextDue(&pings, now_ms, &due));
        assert_int_equal(due.member_id, 4);
        assert_false(due.timed_out);
        assert_false(SasPing_NextDue(&pings, now_ms, &due));
    }
    assert_true(SasPing_NextDue(
        &pings, 1000 + SasPing_MAX_SENDS * SasPing_TIMEOUT_MS, &due));
    assert_true(due.timed_out);
    assert_int_equal(pings.count, 0);
}

static void
test_answer_ends_ping(void **state)
{
    (void)state;
    struct sas_pings pings;
    struct sas_ping_due due;
    SasPing_Init(&pings);
    SasPing_Add(&pings, 4, 1000);
    SasPing_Add(&pings, 5, 1000);
    SasPing_Add(&pings, 4, 1200); /* already pending */
    assert_int_equal(pings.count, 2);
    SasPing_Remove(&pings, 4);
    SasPing_Remove(&pings, 9);
    assert_true(SasPing_NextDue(&pings, 1300, &due));
    assert_int_equal(due.member_id, 5);
    assert_false(SasPing_NextDue(&pings, 1300, &due));
}

static void
test_pending_pings_are_bounded(void **state)
{
    (void)state;
    struct sas_pings pings;
    SasPing_Init(&pings);
    for (int member_id = 0; member_id < 2 * SasPing_MAX; member_id++) {
        SasPing_Add(&pings, member_id, 0);
    }
    assert_int_equal(pings.count, SasPing_MAX);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_ping_is_sent_three_times_before_it_times_out),
        cmocka_unit_test(test_answer_ends_ping),
        cmocka_unit_test(test_pending_pings_are_bounded),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
