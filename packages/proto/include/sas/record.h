/* record - record marking on a byte stream (RFC 5531, section 11).
 *
 * Each fragment starts with four bytes: the top bit says "last of its
 * record", the others are its length. The reader collects fragments into one
 * record and refuses what exceeds its limit before it stores a byte of it.
 * Memory grows with the bytes that came in, never with the length claimed.
 */
#ifndef SAS_RECORD_H
#define SAS_RECORD_H

#include <stddef.h>
#include <stdint.h>

#define SasRecord_MARK_SIZE 4
#define SasRecord_MAX_FRAGMENTS 16

struct sas_record_reader {
    uint8_t *bytes; /* the record so far; belongs to the reader */
    size_t size;
    size_t capacity;
    size_t limit;
    uint8_t mark[SasRecord_MARK_SIZE];
    int mark_size;
    size_t fragment_left;
    int fragment_count;
    int last; /* the fragment being read ends its record */
    int complete;
};

/* Start and end of a reader; Close releases its memory. */
void SasRecord_InitReader(struct sas_record_reader *reader, size_t limit);
void SasRecord_CloseReader(struct sas_record_reader *reader);

/* The longest record accepted from the next fragment on. */
void SasRecord_SetLimit(struct sas_record_reader *reader, size_t limit);

/* Takes bytes up to the end of one record and says in *used how many. 1: a
 * whole record is in reader->bytes until the next call; 0: all bytes are
 * taken and more are needed; -1: a record is longer than the limit or has
 * too many fragments, and the stream can't be read on. */
int SasRecord_Feed(struct sas_record_reader *reader, const uint8_t *data,
                   size_t size, size_t *used);

/* Writes the mark of a record that is one fragment. */
void SasRecord_PutMark(uint8_t mark[SasRecord_MARK_SIZE], size_t size);

#endif
