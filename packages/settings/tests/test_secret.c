#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>
#include <glib.h>
#include <glib/gstdio.h>

#include "sas/secret.h"

static int
setup(void **state)
{
    char *folder = g_dir_make_tmp("sas-secret-XXXXXX", NULL);
    *state = g_build_filename(folder, "secret", NULL);
    g_free(folder);
    return *state == NULL;
}

static int
teardown(void **state)
{
    g_autofree char *folder = g_path_get_dirname(*state);
    g_unlink(*state);
    g_rmdir(folder);
    g_free(*state);
    return 0;
}

static void
write_file(const char *path, const char *text, int mode)
{
    assert_true(g_file_set_contents_full(
        path, text, -1, G_FILE_SET_CONTENTS_NONE, 0600, NULL));
    assert_int_equal(g_chmod(path, mode), 0);
}

static void
assert_refused(const char *path, enum sas_error_code code)
{
    struct sas_error error = {0};
    assert_null(SasSecret_Load(path, &error));
    assert_int_equal(error.code, code);
    assert_non_null(strstr(error.text, path));
}

static void
test_line_end_is_stripped(void **state)
{
    write_file(*state, "0123456789abcdef\n", 0640);
    char *secret = SasSecret_Load(*state, NULL);
    assert_string_equal(secret, "0123456789abcdef");
    SasSecret_Free(secret);
}

static void
test_invalid_files_are_refused(void **state)
{
    char *path = *state;
    assert_refused(path, SAS_EIO);
    write_file(path, "0123456789abcdef\n", 0644);
    assert_refused(path, SAS_EAUTH);
    write_file(path, "0123456789abcde\n", 0600);
    assert_refused(path, SAS_EINVAL);
    write_file(path, "0123456789abcdef\nmore\n", 0600);
    assert_refused(path, SAS_EINVAL);
    g_autofree char *folder = g_path_get_dirname(path);
    assert_refused(folder, SAS_EIO);
}

static void
test_size_is_limited(void **state)
{
    g_autofree char *longest = g_strnfill(SasSecret_MAX_SIZE, 'a');
    write_file(*state, longest, 0600);
    char *secret = SasSecret_Load(*state, NULL);
    assert_int_equal(strlen(secret), SasSecret_MAX_SIZE);
    SasSecret_Free(secret);
    g_autofree char *too_long = g_strnfill(SasSecret_MAX_SIZE + 1, 'a');
    write_file(*state, too_long, 0600);
    assert_refused(*state, SAS_EINVAL);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_line_end_is_stripped, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_invalid_files_are_refused, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_size_is_limited, setup, teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
