#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <glib.h>

#include "sas/answer_pace.h"

#define PACKET 1460     /* bytes */
#define LONGEST_MS 1000 /* that bytes which are no answer may flow */
#define DRAWN_LINKS 2000

/* Feeds pieces of a size at intervals until the answer is given up or total
 * bytes have come. Returns the time at which it is given up; -1: never. */
static int64_t
feed(size_t size, int64_t interval_ms, size_t total, bool in_head)
{
    struct sas_answer_pace pace = {0};
    int64_t now_ms = 1000;
    for (size_t sent = 0; sent < total; sent += size) {
        if (SasAnswerPace_NoteBytes(&pace, size, in_head, now_ms)) {
            return now_ms - 1000;
        }
        now_ms += interval_ms;
    }
    return -1;
}

/* A server that sends a little now and then, without end, would hold its
 * callers to their time limits. */
static void
test_bytes_without_end_are_given_up_in_time(void **state)
{
    (void)state;
    for (int64_t interval_ms = 1; interval_ms <= 100; interval_ms++) {
        size_t size = (size_t)(50 * interval_ms); /* 50 kB/s */
        int64_t body_ms = feed(size, interval_ms, 1 << 20, false);
        assert_in_range(body_ms, SasAnswerPace_BODY_MS, LONGEST_MS);
        int64_t head_ms = feed(size, interval_ms, 1 << 20, true);
        assert_in_range(head_ms, SasAnswerPace_HEAD_MS, LONGEST_MS);
    }
}

static void
test_an_answer_at_the_least_rate_is_never_given_up(void **state)
{
    (void)state;
    for (int64_t interval_ms = 1; interval_ms <= 100; interval_ms++) {
        size_t size =
            (size_t)(SasAnswerPace_MIN_BYTES_PER_S * interval_ms / 1000);
        assert_int_equal(feed(size, interval_ms, 16 << 20, false), -1);
    }
}

/* A sound answer over a link that loses packets stands still again and again
 * until they are sent anew. */
static void
test_answers_over_links_that_lose_packets_are_whole(void **state)
{
    (void)state;
    g_autoptr(GRand) random = g_rand_new_with_seed(1);
    int given_up = 0;
    for (int i = 0; i < DRAWN_LINKS; i++) {
        struct sas_answer_pace pace = {0};
        int packets = g_rand_int_range(random, 1, 25);
        int64_t now_ms = 1000;
        bool endless = false;
        for (int sent = 0; sent < packets && !endless; sent++) {
            bool lost = g_rand_double(random) < 0.03;
            now_ms += lost ? g_rand_int_range(random, 200, 1000) : 1;
            now_ms += sent % 10 == 9 ? 40 : 0; /* the window is full */
            endless = SasAnswerPace_NoteBytes(&pace, PACKET, false, now_ms);
        }
        given_up += endless ? 1 : 0;
    }
    assert_int_equal(given_up, 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_bytes_without_end_are_given_up_in_time),
        cmocka_unit_test(test_an_answer_at_the_least_rate_is_never_given_up),
        cmocka_unit_test(test_answers_over_links_that_lose_packets_are_whole),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
