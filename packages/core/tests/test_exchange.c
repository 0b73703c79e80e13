#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "sas/exchange.h"

static void
test_ping_is_sent_three_times_before_it_times_out(void **state)
{
    (void)state;
    struct sas_exchanges exchanges;
    struct sas_exchange_due due;
    SasExchange_Init(&exchanges);
    SasExchange_Begin(&exchanges, 4, 1000);
    assert_false(SasExchange_Next(&exchanges, 1299, &due));
    for (int try = 1; try < SasExchange_TRIES; try++) {
        int64_t now_ms = 1000 + try * SasExchange_REPLY_MS;
        assert_true(SasExchange_Next(&exchanges, now_ms, &due));
        assert_int_equal(due.seat, 4);
        assert_false(due.silent);
        assert_false(SasExchange_Next(&exchanges, now_ms, &due));
    }
    assert_true(SasExchange_Next(
        &exchanges, 1000 + SasExchange_TRIES * SasExchange_REPLY_MS, &due));
    assert_true(due.silent);
    assert_int_equal(exchanges.count, 0);
}

static void
test_answer_ends_ping(void **state)
{
    (void)state;
    struct sas_exchanges exchanges;
    struct sas_exchange_due due;
    SasExchange_Init(&exchanges);
    SasExchange_Begin(&exchanges, 4, 1000);
    SasExchange_Begin(&exchanges, 5, 1000);
    SasExchange_Begin(&exchanges, 4, 1200); /* already pending */
    assert_int_equal(exchanges.count, 2);
    SasExchange_End(&exchanges, 4);
    SasExchange_End(&exchanges, 9);
    assert_true(SasExchange_Next(&exchanges, 1300, &due));
    assert_int_equal(due.seat, 5);
    assert_false(SasExchange_Next(&exchanges, 1300, &due));
}

static void
test_pending_pings_are_bounded(void **state)
{
    (void)state;
    struct sas_exchanges exchanges;
    SasExchange_Init(&exchanges);
    for (int member_id = 0; member_id < 2 * SasExchange_MAX; member_id++) {
        SasExchange_Begin(&exchanges, member_id, 0);
    }
    assert_int_equal(exchanges.count, SasExchange_MAX);
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
