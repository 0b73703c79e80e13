/* record - record marking on a byte stream (RFC 5531, section 11).
 *
 * Each fragment starts with a mark of four bytes: the top bit is set on the
 * last fragment of a record, the other bits are the fragment's length. The
 * reader joins fragments into one record and refuses a fragment that would
 * exceed its limit before it stores a byte of it. Its memory grows with the
 * bytes received, never with the length that a mark claims.
 */
#ifndef SAS_RECORD_H
#define SAS_RECORD_H

#include <stddef.h>
#include <stdint.h>

#define SasRecord_MARK_SIZE 4 /* bytes */
#define SasRecord_MAX_FRAGMENTS 16

struct sas_record_reader {
    uint8_t *bytes; /* the record so far; belongs to the reader */
    size_t size;
    size_t capacity;
    size_t limit; /* longest record, in bytes */
    uint8_t mark[SasRecord_MARK_SIZE];
    int mark_size; /* bytes of the mark read so far */
    size_t fragment_left;
    int fragment_count;
    int is_last_fragment;
    int complete; /* the last Feed returned 1 */
};

/* Initializes a reader with its limit in bytes; CloseReader releases its
 * memory. */
void SasRecord_InitReader(struct sas_record_reader *reader, size_t limit);
void SasRecord_CloseReader(struct sas_record_reader *reader);

/* Changes the limit, for fragments that begin after this call. */
void SasRecord_SetLimit(struct sas_record_reader *reader, size_t limit);

/* Reads bytes up to the end of one record and sets *used to their number.
 * 1: a whole record is in reader->bytes until the next call; 0: all bytes
 * were read and more are needed; -1: a record is longer than the limit or
 * has too many fragments, and the stream can't be read any further. */
int SasRecord_Feed(struct sas_record_reader *reader, const uint8_t *data,
                   size_t size, size_t *used);

/* Writes the mark of a record that is one fragment of `size` bytes. */
void SasRecord_PutMark(uint8_t mark[SasRecord_MARK_SIZE], size_t size);

#endif
