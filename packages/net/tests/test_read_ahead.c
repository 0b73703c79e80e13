#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#include "read_ahead.h"

static void
expect_piece(struct sas_read_ahead *ahead, const char *text, int64_t read_at)
{
    struct sas_read_ahead_piece *piece = SasReadAhead_Take(ahead);
    assert_non_null(piece);
    assert_int_equal(piece->bytes->len, strlen(text));
    assert_memory_equal(piece->bytes->data, text, strlen(text));
    assert_int_equal(piece->read_at, read_at);
    SasReadAhead_FreePiece(piece);
}

/* Requests that wait would be mixed up, or get time that has passed anew. */
static void
test_pieces_keep_their_order_and_times(void **state)
{
    (void)state;
    struct sas_read_ahead ahead = {0};
    SasReadAhead_Append(&ahead, "ab", 2, 5);
    SasReadAhead_Append(&ahead, "cd", 2, 5);
    SasReadAhead_Append(&ahead, "e", 1, 6);
    expect_piece(&ahead, "abcd", 5);
    SasReadAhead_Append(&ahead, "f", 1, 9);
    expect_piece(&ahead, "e", 6);
    expect_piece(&ahead, "f", 9);
    assert_null(SasReadAhead_Take(&ahead));
    assert_int_equal(ahead.size, 0);
}

/* A caller that sends single bytes would fill the memory with small pieces
 * whose own size hardly counts. */
static void
test_the_memory_of_small_pieces_counts(void **state)
{
    (void)state;
    struct sas_read_ahead ahead = {0};
    for (int i = 0; i < 100; i++) {
        SasReadAhead_Append(&ahead, "x", 1, i);
    }
    size_t least = 100 * (sizeof(struct sas_read_ahead_piece) +
                          sizeof(GByteArray) + sizeof(GList));
    assert_true(ahead.size >= least);
    SasReadAhead_Clear(&ahead);
    assert_int_equal(ahead.size, 0);
    assert_null(SasReadAhead_Take(&ahead));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_pieces_keep_their_order_and_times),
        cmocka_unit_test(test_the_memory_of_small_pieces_counts),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
