#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "sas/path.h"

#define SERVERS 9
#define REFUSED_MS 2 /* from the begin of a connection to its refusal */
#define HANG_MS 400

static bool
fail_connect(struct sas_path *path, int server, int64_t began_at,
             int64_t took_ms)
{
    return SasPath_NoteUnreachable(path, (uint64_t)server + 1, SERVERS,
                                   began_at, began_at + took_ms);
}

/* An entry VM that gives up on the path for one crashed server would send all
 * requests through others. */
static void
test_one_server_that_fails_does_not_lose_the_path(void **state)
{
    (void)state;
    struct sas_path path = {0};
    for (int64_t now_ms = 1000; now_ms < 9000; now_ms += 100) {
        assert_false(fail_connect(&path, 3, now_ms, REFUSED_MS));
    }
    assert_false(path.lost);
}

static void
test_servers_that_crash_together_do_not_lose_the_path(void **state)
{
    (void)state;
    struct sas_path path = {0};
    for (int64_t now_ms = 1000; now_ms < 9000; now_ms += 100) {
        assert_false(
            fail_connect(&path, (int)(now_ms / 100) % 4, now_ms, REFUSED_MS));
        if (now_ms % 300 == 0) {
            assert_false(SasPath_NoteReached(&path, 500));
        }
    }
}

static void
test_several_unreachable_servers_lose_the_path(void **state)
{
    (void)state;
    struct sas_path path = {0};
    assert_false(fail_connect(&path, 0, 1000, HANG_MS));
    assert_true(SasPath_IsFailing(&path, 1400));
    assert_true(fail_connect(&path, 1, 1010, HANG_MS));
    assert_false(fail_connect(&path, 2, 1020, HANG_MS));
    assert_true(path.lost);
    assert_true(SasPath_NoteReached(&path, 1500));
    assert_false(path.lost);
    assert_false(SasPath_IsFailing(&path, 2000));
}

static void
test_refusals_within_a_moment_do_not_lose_the_path(void **state)
{
    (void)state;
    struct sas_path path = {0};
    for (int server = 0; server < SERVERS; server++) {
        assert_false(fail_connect(&path, server, 1000, REFUSED_MS));
    }
    assert_false(SasPath_IsFailing(&path, 1000 + REFUSED_MS));
    assert_true(fail_connect(&path, 0, 1300, REFUSED_MS));
}

static void
test_the_only_server_may_lose_the_path(void **state)
{
    (void)state;
    struct sas_path path = {0};
    assert_true(SasPath_NoteUnreachable(&path, 7, 1, 1000, 1400));
}

/* A slow service must not look like a lost path: its requests would all be
 * sent a way round to the same slow servers. */
static void
test_requests_without_an_answer_are_probed_only(void **state)
{
    (void)state;
    struct sas_path path = {0};
    assert_false(SasPath_TakeProbe(&path, 1000));
    for (int i = 0; i < 50; i++) {
        SasPath_NoteUnanswered(&path);
    }
    assert_false(path.lost);
    assert_true(SasPath_IsInDoubt(&path));
    assert_true(SasPath_TakeProbe(&path, 1000));
    assert_false(SasPath_TakeProbe(&path, 1000 + SasPath_PROBE_MS - 1));
    assert_true(SasPath_TakeProbe(&path, 1000 + SasPath_PROBE_MS));
    SasPath_NoteReached(&path, 500);
    assert_false(SasPath_IsInDoubt(&path));
    assert_false(SasPath_TakeProbe(&path, 9000));
}

/* An entry VM whose new connections are refused must not have others take the
 * servers for dead, as those that are open still answer. */
static void
test_an_answer_on_an_old_connection_leaves_refusals_in_doubt(void **state)
{
    (void)state;
    struct sas_path path = {0};
    fail_connect(&path, 0, 1000, REFUSED_MS);
    assert_false(SasPath_NoteReached(&path, 900));
    assert_true(SasPath_IsInDoubt(&path));
    fail_connect(&path, 1, 1200, REFUSED_MS);
    assert_false(path.lost);
    assert_false(SasPath_IsFailing(&path, 1300));
    SasPath_NoteReached(&path, 1250);
    assert_false(SasPath_IsInDoubt(&path));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_one_server_that_fails_does_not_lose_the_path),
        cmocka_unit_test(
            test_servers_that_crash_together_do_not_lose_the_path),
        cmocka_unit_test(test_several_unreachable_servers_lose_the_path),
        cmocka_unit_test(test_refusals_within_a_moment_do_not_lose_the_path),
        cmocka_unit_test(test_the_only_server_may_lose_the_path),
        cmocka_unit_test(test_requests_without_an_answer_are_probed_only),
        cmocka_unit_test(
            test_an_answer_on_an_old_connection_leaves_refusals_in_doubt),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
