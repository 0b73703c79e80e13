#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <glib.h>

#include "sas/grey.h"

#define RATE 11 /* requests a second to one server */
#define VMS 9

/* Plays requests of nine entry VMs to a server that is well for ten seconds
 * and then fails a part; when it was found grey, in ms since then, or -1. */
static int64_t
play(double failing, int seconds, guint32 seed)
{
    GRand *random = g_rand_new_with_seed(seed);
    struct sas_grey vms[VMS];
    int64_t found_at = -1;
    for (int i = 0; i < VMS; i++) {
        SasGrey_Init(&vms[i]);
    }
    for (int i = 0; i < RATE * (10 + seconds) && found_at < 0; i++) {
        int64_t now_ms = 1000 + i * 1000 / RATE;
        int vm = g_rand_int_range(random, 0, VMS);
        if (i < RATE * 10 || g_rand_double(random) >= failing) {
            SasGrey_NoteAnswered(&vms[vm], now_ms);
            continue;
        }
        int answered = SasGrey_TakeAnswered(&vms[vm], now_ms);
        if (SasGrey_Add(&vms[0], 1, answered, now_ms)) {
            found_at = now_ms - 11000;
        }
    }
    g_rand_free(random);
    return found_at;
}

/* A clerk's filings are lost again and again: one server of 24 resets two of
 * five requests, and answers the others in its usual time. It must be found
 * out within a few seconds, whatever the order of its failures. */
static void
test_a_server_that_fails_two_of_five_is_found_out(void **state)
{
    (void)state;
    for (guint32 seed = 0; seed < 100; seed++) {
        assert_in_range(play(0.4, 10, seed), 0, 4000);
    }
}

static void
test_a_few_lost_answers_make_no_server_grey(void **state)
{
    (void)state;
    int found_at = 0;
    for (guint32 seed = 0; seed < 100; seed++) {
        found_at += play(0.03, 10, seed) >= 0;
    }
    assert_in_range(found_at, 0, 5);
}

static void
test_old_failures_count_no_more(void **state)
{
    (void)state;
    struct sas_grey grey;
    SasGrey_Init(&grey);
    assert_false(SasGrey_Add(&grey, SasGrey_MIN_FAILED - 1, 0, 1000));
    assert_false(SasGrey_Add(&grey, 1, 0, 1000 + 2 * SasGrey_WINDOW_MS));
    assert_false(SasGrey_Add(&grey, SasGrey_MIN_FAILED - 2, 0,
                             1001 + 2 * SasGrey_WINDOW_MS));
    assert_true(SasGrey_Add(&grey, 1, 0, 1002 + 2 * SasGrey_WINDOW_MS));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_a_server_that_fails_two_of_five_is_found_out),
        cmocka_unit_test(test_a_few_lost_answers_make_no_server_grey),
        cmocka_unit_test(test_old_failures_count_no_more),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
