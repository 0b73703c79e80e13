#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "sas/lag.h"

#define BOUND_MS 2000
#define ASK_MS 500
#define UNSURE_MS 800

static struct sas_lag
make_lag(int64_t known)
{
    struct sas_lag lag;
    SasLag_Init(&lag, BOUND_MS);
    SasLag_NoteKnown(&lag, known);
    return lag;
}

static void
test_what_is_known_is_no_lag(void **state)
{
    (void)state;
    struct sas_lag lag = make_lag(12);
    assert_int_equal(SasLag_GetState(&lag, 0), SAS_LAG_NONE);
    SasLag_NoteExpected(&lag, 12, 100);
    SasLag_NoteExpected(&lag, 7, 100);
    assert_int_equal(SasLag_GetState(&lag, 90000), SAS_LAG_NONE);
    assert_int_equal(SasLag_GetMs(&lag, 90000), 0);
}

/* Guards against an entry VM that serves an old configuration for as long as
 * its question to the store hangs. */
static void
test_a_change_that_does_not_come_is_asked_for_elsewhere(void **state)
{
    (void)state;
    struct sas_lag lag = make_lag(8);
    SasLag_NoteExpected(&lag, 12, 1000);
    assert_int_equal(SasLag_GetState(&lag, 1000), SAS_LAG_WAIT);
    assert_int_equal(SasLag_GetWaitMs(&lag, SAS_LAG_ASK, 1200), ASK_MS - 200);
    assert_int_equal(SasLag_GetState(&lag, 1000 + ASK_MS), SAS_LAG_ASK);
    assert_int_equal(SasLag_GetState(&lag, 1000 + UNSURE_MS), SAS_LAG_UNSURE);
    assert_int_equal(SasLag_GetWaitMs(&lag, SAS_LAG_UNSURE, 5000), 0);
    SasLag_NoteKnown(&lag, 12);
    assert_int_equal(SasLag_GetState(&lag, 5000), SAS_LAG_NONE);
}

/* Guards against one that never asks since newer changes keep coming: each of
 * them is named again and again, by many. */
static void
test_later_changes_do_not_put_the_question_off(void **state)
{
    (void)state;
    struct sas_lag lag = make_lag(8);
    for (int64_t i = 0; i < 10; i++) {
        SasLag_NoteExpected(&lag, 12 + i, 1000 + i * 100);
        SasLag_NoteExpected(&lag, 12, 1000 + i * 100);
    }
    assert_int_equal(SasLag_GetMs(&lag, 1900), 900);
    assert_int_equal(SasLag_GetState(&lag, 1900), SAS_LAG_UNSURE);
}

/* One that follows with the usual delay while changes come all the time is
 * not behind for longer than that delay. */
static void
test_one_that_keeps_up_is_never_asked_to_look_elsewhere(void **state)
{
    (void)state;
    struct sas_lag lag = make_lag(0);
    for (int64_t at = 0; at < 60000; at += 100) {
        SasLag_NoteExpected(&lag, at + 1, at);
        if (at >= 300) {
            SasLag_NoteKnown(&lag, at + 1 - 300);
        }
        assert_true(SasLag_GetState(&lag, at) < SAS_LAG_ASK);
    }
}

/* A version that no row has, from whoever names it, must not make an entry VM
 * doubt its rows for ever. */
static void
test_the_store_knows_better_than_others(void **state)
{
    (void)state;
    struct sas_lag lag = make_lag(8);
    SasLag_NoteExpected(&lag, INT64_MAX, 0);
    assert_int_equal(SasLag_GetState(&lag, 5000), SAS_LAG_UNSURE);
    SasLag_NoteNewest(&lag, 9);
    assert_int_equal(SasLag_GetState(&lag, 5000), SAS_LAG_NONE);
    SasLag_NoteExpected(&lag, 10, 6000);
    assert_int_equal(SasLag_GetState(&lag, 6000), SAS_LAG_WAIT);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_what_is_known_is_no_lag),
        cmocka_unit_test(
            test_a_change_that_does_not_come_is_asked_for_elsewhere),
        cmocka_unit_test(test_later_changes_do_not_put_the_question_off),
        cmocka_unit_test(
            test_one_that_keeps_up_is_never_asked_to_look_elsewhere),
        cmocka_unit_test(test_the_store_knows_better_than_others),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
