#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "log_output.h"

#define SECOND_US 1000000

/* Reads up to size - 1 bytes; returns how many. */
static size_t
read_bytes(int fd, char *bytes, size_t size)
{
    ssize_t count = read(fd, bytes, size - 1);
    bytes[count > 0 ? count : 0] = '\0';
    return count > 0 ? (size_t)count : 0;
}

/* The reader of the log stops while the process keeps logging. A write that
 * blocked would stall every request of the process, so whole lines are dropped
 * and counted instead. */
static void
test_stalled_reader_drops_whole_lines(void **state)
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
        SasLogOutput_WriteLine(&output, line);
    }
    uint64_t dropped = SasLogOutput_ResetDropped(&output);
    assert_true(dropped > 0 && dropped < 1000);
    assert_int_equal(SasLogOutput_ResetDropped(&output), 0);
    size_t bytes = 0;
    char buffer[8192];
    for (size_t size = 1; size > 0;) {
        size = read_bytes(ends[0], buffer, sizeof(buffer));
        bytes += size;
        if (size < sizeof(buffer) - 1) {
            SasLogOutput_WriteLine(&output, "last");
            SasLogOutput_Close(&output);
            bytes += read_bytes(ends[0], buffer, sizeof(buffer));
            while ((size = read_bytes(ends[0], buffer, sizeof(buffer))) > 0) {
                bytes += size;
            }
            break;
        }
    }
    assert_int_equal(bytes, (1000 - dropped) * 1000 + strlen("last\n"));
    close(ends[0]);
}

/* A flood of requests logs a line each. Without the rate limit logging uses
 * CPU time that the requests need; without the reserve the lines that report
 * an ejected server are dropped. */
static void
test_reserve_admits_high_priority_lines(void **state)
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
    assert_int_equal(SasLogOutput_ResetDropped(&output), 925);
    /* A second later the bucket is full again. */
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
        cmocka_unit_test(test_stalled_reader_drops_whole_lines),
        cmocka_unit_test(test_reserve_admits_high_priority_lines),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
