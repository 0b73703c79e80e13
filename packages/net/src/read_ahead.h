/* read_ahead - what was read from a caller's connection and is not parsed yet.
 *
 * While a connection has too many pending requests, further ones must wait. If
 * they waited in the socket, the end of the connection behind them would not
 * be seen, and servers would go on working for a caller that has left.
 *
 * Bytes are kept in pieces with the time at which they were read, from which
 * the time limits of their requests count.
 */
#ifndef SAS_READ_AHEAD_H
#define SAS_READ_AHEAD_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

struct sas_read_ahead_piece {
    GByteArray *bytes;
    int64_t read_at;
};

/* Initially all zero. */
struct sas_read_ahead {
    GQueue pieces; /* struct sas_read_ahead_piece *, oldest first */
    size_t size;   /* of the memory that they take, bytes */
};

/* Take removes the oldest piece and returns it, to be freed with FreePiece;
 * NULL if there is none. Clear frees all. */
void SasReadAhead_Append(struct sas_read_ahead *ahead, const char *data,
                         size_t size, int64_t now_ms);
struct sas_read_ahead_piece *SasReadAhead_Take(struct sas_read_ahead *ahead);
void SasReadAhead_FreePiece(struct sas_read_ahead_piece *piece);
void SasReadAhead_Clear(struct sas_read_ahead *ahead);

#endif
