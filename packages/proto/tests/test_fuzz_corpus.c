/* Regression test: runs the committed inputs of the fuzzer through its target,
 * so that faults found once are caught without the fuzzer. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <glib.h>

#include "../fuzz/fuzz_proto.h"

#define MIN_INPUTS 42 /* the seeds: samples 0 to 13 in three forms each */

static void
test_committed_inputs(void **state)
{
    (void)state;
    GDir *folder = g_dir_open(SAS_CORPUS, 0, NULL);
    assert_non_null(folder);
    int count = 0;
    for (const char *name = g_dir_read_name(folder); name != NULL;
         name = g_dir_read_name(folder)) {
        g_autofree char *path = g_build_filename(SAS_CORPUS, name, NULL);
        g_autofree char *bytes = NULL;
        gsize size = 0;
        assert_true(g_file_get_contents(path, &bytes, &size, NULL));
        assert_int_equal(LLVMFuzzerTestOneInput((const uint8_t *)bytes, size),
                         0);
        count++;
    }
    g_dir_close(folder);
    assert_true(count >= MIN_INPUTS);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_committed_inputs),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
