#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "sas/server_notice.h"

static void
test_pauses_are_read_as_seconds(void **state)
{
    (void)state;
    assert_int_equal(SasServerNotice_ParsePause("3"), 3000);
    assert_int_equal(SasServerNotice_ParsePause("0.25"), 250);
    assert_int_equal(SasServerNotice_ParsePause("0.0001"), 1);
    assert_int_equal(SasServerNotice_ParsePause("0"), 0);
    assert_int_equal(SasServerNotice_ParsePause("1e9"),
                     SasServerNotice_MAX_PAUSE_MS);
    assert_int_equal(SasServerNotice_ParsePause("inf"),
                     SasServerNotice_MAX_PAUSE_MS);
}

/* A pause whose length can't be read must not become none. */
static void
test_what_is_no_number_of_seconds_is_told_apart_from_none(void **state)
{
    (void)state;
    const char *const texts[] = {
        "", "-1", "soon", "3s", "nan", "Wed, 21 Oct 2026 07:28:00 GMT",
    };
    for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
        assert_int_equal(SasServerNotice_ParsePause(texts[i]), -1);
    }
}

static void
test_a_pause_lasts_as_long_as_any_answer_has_asked_for(void **state)
{
    (void)state;
    struct sas_server_notice notice = {0};
    assert_int_equal(SasServerNotice_GetWaitMs(&notice, 100), 0);
    assert_true(SasServerNotice_NotePause(&notice, 3000, 100));
    assert_false(SasServerNotice_NotePause(&notice, 100, 200));
    assert_int_equal(SasServerNotice_GetWaitMs(&notice, 200), 2900);
    /* An answer to a request from before the pause. */
    assert_false(SasServerNotice_NoteAnswer(&notice, 300));
    assert_int_equal(SasServerNotice_GetWaitMs(&notice, 3099), 1);
}

/* All entry VMs come back to the server at about the same time. */
static void
test_after_a_pause_one_request_at_a_time_is_sent_until_an_answer(void **state)
{
    (void)state;
    struct sas_server_notice notice = {0};
    SasServerNotice_NotePause(&notice, 1000, 0);
    assert_int_equal(SasServerNotice_GetWaitMs(&notice, 1000), 0);
    SasServerNotice_NoteSent(&notice, 1000);
    assert_int_equal(SasServerNotice_GetWaitMs(&notice, 1001),
                     SasServerNotice_PROBE_MS - 1);
    assert_true(SasServerNotice_NoteAnswer(&notice, 1100));
    assert_int_equal(SasServerNotice_GetWaitMs(&notice, 1100), 0);
    SasServerNotice_NoteSent(&notice, 1100);
    assert_int_equal(SasServerNotice_GetWaitMs(&notice, 1100), 0);
}

static void
test_a_request_whose_answer_never_comes_is_followed_by_another(void **state)
{
    (void)state;
    struct sas_server_notice notice = {0};
    SasServerNotice_NotePause(&notice, 1000, 0);
    SasServerNotice_NoteSent(&notice, 1000);
    assert_int_equal(
        SasServerNotice_GetWaitMs(&notice, 1000 + SasServerNotice_PROBE_MS),
        0);
}

/* A server that is leaving can't change its mind; a later answer without the
 * field may be an older one. */
static void
test_a_server_that_is_leaving_stays_so(void **state)
{
    (void)state;
    struct sas_server_notice notice = {0};
    assert_true(SasServerNotice_SetLeaving(&notice));
    assert_false(SasServerNotice_SetLeaving(&notice));
    SasServerNotice_NoteAnswer(&notice, 100);
    assert_true(notice.leaving);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_pauses_are_read_as_seconds),
        cmocka_unit_test(
            test_what_is_no_number_of_seconds_is_told_apart_from_none),
        cmocka_unit_test(
            test_a_pause_lasts_as_long_as_any_answer_has_asked_for),
        cmocka_unit_test(
            test_after_a_pause_one_request_at_a_time_is_sent_until_an_answer),
        cmocka_unit_test(
            test_a_request_whose_answer_never_comes_is_followed_by_another),
        cmocka_unit_test(test_a_server_that_is_leaving_stays_so),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
