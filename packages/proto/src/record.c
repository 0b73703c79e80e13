#include "sas/record.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

#define LAST_FRAGMENT 0x80000000u
#define INITIAL_CAPACITY 512 /* bytes */

static int start_fragment(struct sas_record_reader *reader);
static void append(struct sas_record_reader *reader, const uint8_t *data,
                   size_t size);

void
SasRecord_InitReader(struct sas_record_reader *reader, size_t limit)
{
    memset(reader, 0, sizeof(*reader));
    reader->limit = limit;
}

void
SasRecord_CloseReader(struct sas_record_reader *reader)
{
    g_free(reader->bytes);
    memset(reader, 0, sizeof(*reader));
}

void
SasRecord_SetLimit(struct sas_record_reader *reader, size_t limit)
{
    reader->limit = limit;
}

int
SasRecord_Feed(struct sas_record_reader *reader, const uint8_t *data,
               size_t size, size_t *used)
{
    size_t at = 0;
    if (reader->complete) {
        reader->complete = 0;
        reader->size = 0;
        reader->fragment_count = 0;
    }
    while (at < size) {
        if (reader->mark_size < SasRecord_MARK_SIZE) {
            reader->mark[reader->mark_size++] = data[at++];
            if (reader->mark_size < SasRecord_MARK_SIZE) {
                continue;
            }
            if (start_fragment(reader) < 0) {
                *used = at;
                return -1;
            }
        }
        size_t part = MIN(reader->fragment_left, size - at);
        append(reader, data + at, part);
        at += part;
        reader->fragment_left -= part;
        if (reader->fragment_left > 0) {
            continue;
        }
        reader->mark_size = 0;
        if (reader->is_last_fragment) {
            reader->complete = 1;
            *used = at;
            return 1;
        }
    }
    *used = at;
    return 0;
}

void
SasRecord_PutMark(uint8_t mark[SasRecord_MARK_SIZE], size_t size)
{
    uint32_t word = htonl((uint32_t)size | LAST_FRAGMENT);
    memcpy(mark, &word, sizeof(word));
}

/* Refuses at the mark a claimed length that would exhaust memory, and too
 * many fragments: empty ones would cost CPU time and never complete a
 * record. */
static int
start_fragment(struct sas_record_reader *reader)
{
    uint32_t word;
    memcpy(&word, reader->mark, sizeof(word));
    word = ntohl(word);
    size_t length = word & ~LAST_FRAGMENT;
    if (length > reader->limit || reader->size > reader->limit - length) {
        return -1;
    }
    if (++reader->fragment_count > SasRecord_MAX_FRAGMENTS) {
        return -1;
    }
    reader->fragment_left = length;
    reader->is_last_fragment = (word & LAST_FRAGMENT) != 0;
    return 0;
}

static void
append(struct sas_record_reader *reader, const uint8_t *data, size_t size)
{
    if (size == 0) {
        return;
    }
    if (reader->size + size > reader->capacity) {
        size_t capacity = MAX(reader->capacity, INITIAL_CAPACITY);
        while (capacity < reader->size + size) {
            capacity *= 2;
        }
        reader->bytes = g_realloc(reader->bytes, capacity);
        reader->capacity = capacity;
    }
    memcpy(reader->bytes + reader->size, data, size);
    reader->size += size;
}
