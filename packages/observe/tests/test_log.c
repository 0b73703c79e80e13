#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <jansson.h>

#include "sas/log.h"

static int
setup(void **state)
{
    char *folder = g_dir_make_tmp("sas-log-XXXXXX", NULL);
    *state = g_build_filename(folder, "log", NULL);
    g_free(folder);
    return *state == NULL;
}

static int
teardown(void **state)
{
    SasLog_Close();
    g_autofree char *folder = g_path_get_dirname(*state);
    g_unlink(*state);
    g_rmdir(folder);
    g_free(*state);
    return 0;
}

/* The lines of the log, followed by an empty string. */
static char **
read_lines(const char *path)
{
    g_autofree char *text = NULL;
    assert_true(g_file_get_contents(path, &text, NULL, NULL));
    return g_strsplit(text, "\n", -1);
}

static void
assert_field(const char *line, const char *key, const char *expected)
{
    json_t *object = json_loads(line, 0, NULL);
    assert_non_null(object);
    assert_string_equal(json_string_value(json_object_get(object, key)),
                        expected);
    json_decref(object);
}

static void
test_line_is_one_json_object(void **state)
{
    struct sas_error error = {0};
    assert_int_equal(SasLog_Open("mtl-a-1", *state, "info", &error), 0);
    SasLog_Write(SasLog_WARN, "store.cas", "127.0.0.1:9", "%s \"%d\"\n", "a",
                 7);
    SasError_Set(&error, SAS_ETIMEOUT, "rpc.call", NULL, "no answer");
    SasLog_WriteError(SasLog_ERROR, &error);
    g_auto(GStrv) lines = read_lines(*state);
    assert_int_equal(g_strv_length(lines), 3);
    assert_field(lines[0], "level", "warn");
    assert_field(lines[0], "vm", "mtl-a-1");
    assert_field(lines[0], "step", "store.cas");
    assert_field(lines[0], "peer", "127.0.0.1:9");
    assert_field(lines[0], "text", "a \"7\"\n");
    assert_field(lines[1], "text", "timeout: no answer");
    assert_true(g_regex_match_simple(
        "^\\{\"time\":\"\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d\\.\\d{3}Z\"",
        lines[0], 0, 0));
}

static void
test_lines_below_the_level_are_not_written(void **state)
{
    assert_int_equal(SasLog_Open("v", *state, "warn", NULL), 0);
    SasLog_Write(SasLog_INFO, "s", "", "not written");
    SasLog_Write(SasLog_ERROR, "s", "", "written");
    g_auto(GStrv) lines = read_lines(*state);
    assert_int_equal(g_strv_length(lines), 2);
    assert_field(lines[0], "text", "written");
}

static void
test_invalid_utf8_is_replaced(void **state)
{
    assert_int_equal(SasLog_Open("v\xff", *state, "debug", NULL), 0);
    SasLog_Write(SasLog_DEBUG, NULL, NULL, "path %s", "/\xc3(");
    g_auto(GStrv) lines = read_lines(*state);
    assert_int_equal(g_strv_length(lines), 2);
    assert_field(lines[0], "text", "path /\xef\xbf\xbd(");
    assert_field(lines[0], "step", "");
}

static void
test_closed_log_ignores_lines(void **state)
{
    SasLog_Write(SasLog_ERROR, "s", "", "before");
    assert_int_equal(SasLog_Open("v", *state, "info", NULL), 0);
    SasLog_Close();
    SasLog_Write(SasLog_ERROR, "s", "", "after");
    assert_int_equal(SasLog_Open("v", *state, "info", NULL), 0);
    SasLog_Write(SasLog_ERROR, "s", "", "again");
    g_auto(GStrv) lines = read_lines(*state);
    assert_int_equal(g_strv_length(lines), 2);
    assert_field(lines[0], "text", "again");
}

static void
test_unknown_level_and_bad_path_are_errors(void **state)
{
    (void)state;
    struct sas_error error = {0};
    assert_int_equal(SasLog_Open("v", NULL, "loud", &error), -1);
    assert_int_equal(error.code, SAS_EINVAL);
    assert_int_equal(SasLog_Open("v", "/nowhere/x", "info", &error), -1);
    assert_int_equal(error.code, SAS_EIO);
    assert_non_null(strstr(error.text, "/nowhere/x"));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_line_is_one_json_object, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(
            test_lines_below_the_level_are_not_written, setup, teardown),
        cmocka_unit_test_setup_teardown(test_invalid_utf8_is_replaced, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_closed_log_ignores_lines, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(
            test_unknown_level_and_bad_path_are_errors, setup, teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
