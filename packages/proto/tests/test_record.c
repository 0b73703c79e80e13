#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#include "sas/record.h"

#define LIMIT 100 /* bytes */

/* Two records, the second in two fragments. */
static const uint8_t stream[] = {0x80, 0,   0,    2, 'a', 'b', 0,   0,  0,
                                 1,    'c', 0x80, 0, 0,   2,   'd', 'e'};

/* Feeds the stream in pieces of `piece` bytes; checks and counts its
 * records. */
static int
feed_in_pieces(size_t piece)
{
    struct sas_record_reader reader;
    SasRecord_InitReader(&reader, LIMIT);
    int records = 0;
    size_t at = 0;
    while (at < sizeof(stream)) {
        size_t size = sizeof(stream) - at;
        size_t used = 0;
        size = size < piece ? size : piece;
        int result = SasRecord_Feed(&reader, stream + at, size, &used);
        assert_true(result >= 0);
        if (result > 0) {
            const char *expected = records == 0 ? "ab" : "cde";
            assert_int_equal(reader.size, strlen(expected));
            assert_memory_equal(reader.bytes, expected, reader.size);
            records++;
        }
        at += used;
    }
    SasRecord_CloseReader(&reader);
    return records;
}

static void
test_stream_split_at_any_size(void **state)
{
    (void)state;
    for (size_t piece = 1; piece <= sizeof(stream); piece++) {
        assert_int_equal(feed_in_pieces(piece), 2);
    }
}

static int
feed_mark(struct sas_record_reader *reader, size_t size, int last)
{
    uint8_t mark[SasRecord_MARK_SIZE];
    size_t used;
    SasRecord_PutMark(mark, size);
    mark[0] &= last ? 0xff : 0x7f;
    return SasRecord_Feed(reader, mark, sizeof(mark), &used);
}

static void
test_long_fragment_is_refused_at_the_mark(void **state)
{
    (void)state;
    struct sas_record_reader reader;
    SasRecord_InitReader(&reader, LIMIT);
    assert_int_equal(feed_mark(&reader, LIMIT, 1), 0);
    assert_null(reader.bytes);
    SasRecord_CloseReader(&reader);
    SasRecord_InitReader(&reader, LIMIT);
    assert_int_equal(feed_mark(&reader, LIMIT + 1, 1), -1);
    SasRecord_CloseReader(&reader);
    SasRecord_InitReader(&reader, LIMIT);
    assert_int_equal(feed_mark(&reader, 0x7fffffff, 1), -1);
    SasRecord_CloseReader(&reader);
}

static void
test_total_length_of_fragments_is_limited(void **state)
{
    (void)state;
    uint8_t bytes[60] = {0};
    size_t used;
    struct sas_record_reader reader;
    SasRecord_InitReader(&reader, LIMIT);
    assert_int_equal(feed_mark(&reader, 60, 0), 0);
    assert_int_equal(SasRecord_Feed(&reader, bytes, 60, &used), 0);
    assert_int_equal(feed_mark(&reader, 41, 1), -1);
    SasRecord_CloseReader(&reader);
}

static void
test_number_of_empty_fragments_is_limited(void **state)
{
    (void)state;
    struct sas_record_reader reader;
    SasRecord_InitReader(&reader, LIMIT);
    for (int i = 0; i < SasRecord_MAX_FRAGMENTS; i++) {
        assert_int_equal(feed_mark(&reader, 0, 0), 0);
    }
    assert_int_equal(feed_mark(&reader, 0, 0), -1);
    SasRecord_CloseReader(&reader);
}

static void
test_empty_record(void **state)
{
    (void)state;
    struct sas_record_reader reader;
    SasRecord_InitReader(&reader, LIMIT);
    assert_int_equal(feed_mark(&reader, 0, 1), 1);
    assert_int_equal(reader.size, 0);
    SasRecord_CloseReader(&reader);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_stream_split_at_any_size),
        cmocka_unit_test(test_long_fragment_is_refused_at_the_mark),
        cmocka_unit_test(test_total_length_of_fragments_is_limited),
        cmocka_unit_test(test_number_of_empty_fragments_is_limited),
        cmocka_unit_test(test_empty_record),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
