#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "log_output.h"

#define SECOND_US 1000000

/* Whatever is in the pipe now. */
static size_t
drain(int fd, char *bytes, size_t size)
{
    ssize_t count = read(fd, bytes, size - 1);
    bytes[count > 0 ? count : 0] = '\0';
    return count > 0 ? (size_t)count : 0;
}

/* The log's reader hangs while the process goes on logging. Were writes to
 * wait for it, every request of the process would hang with it: lines are
 * dropped instead, whole ones, and their number is told. */
static void
test_a_reader_that_hangs_loses_whole_lines(void **state)
{
    (void)state;
    int ends[2];
    assert_int_equal(pipe(ends), 0);
    struct sas_log_output output;
    SasLogOutput_Open(&output, ends[1], true);
    char line[1000];
    memset(line, 'x', sizeof(line) - 1);
    line[sizeof(line) - 1] = '\0';
    for (int i = 0; i < 1000; i++) {
        SasLogOutput_Put(&output, line);
    }
    uint64_t dropped = SasLogOutput_TakeDropped(&output);
    assert_true(dropped > 0 && dropped < 1000);
    assert_int_equal(SasLogOutput_TakeDropped(&output), 0);
    size_t bytes = 0;
    char buffer[8192];
    for (size_t size = 1; size > 0;) {
        size = drain(ends[0], buffer, sizeof(buffer));
        bytes += size;
        if (size < sizeof(buffer) - 1) {
            SasLogOutput_Put(&output, "last");
            SasLogOutput_Close(&output);
            bytes += drain(ends[0], buffer, sizeof(buffer));
            while ((size = drain(ends[0], buffer, sizeof(buffer))) > 0) {
                bytes += size;
            }
            break;
        }
    }
    assert_int_equal(bytes, (1000 - dropped) * 1000 + strlen("last\n"));
    close(ends[0]);
}

/* A flood of requests writes a line each. Without a bound the log takes the
 * processor from the requests; without the reserve it hides that a server
 * was given up. */
static void
test_a_flood_of_requests_leaves_room_for_news(void **state)
{
    (void)state;
    struct sas_log_output output;
    SasLogOutput_Open(&output, open("/dev/null", O_WRONLY), true);
    SasLogOutput_SetRate(&output, 100, 0);
    int admitted = 0;
    for (int i = 0; i < 1000; i++) {
        admitted += SasLogOutput_Admit(&output, false, 0) ? 1 : 0;
    }
    assert_int_equal(admitted, 75);
    assert_true(SasLogOutput_Admit(&output, true, 0));
    assert_int_equal(SasLogOutput_TakeDropped(&output), 925);
    /* A second later as many fit again. */
    admitted = 0;
    for (int i = 0; i < 1000; i++) {
        admitted += SasLogOutput_Admit(&output, true, SECOND_US) ? 1 : 0;
    }
    assert_int_equal(admitted, 100);
    SasLogOutput_Close(&output);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_a_reader_that_hangs_loses_whole_lines),
        cmocka_unit_test(test_a_flood_of_requests_leaves_room_for_news),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
