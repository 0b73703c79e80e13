#include "read_ahead.h"

#define PIECE_OVERHEAD 128 /* bytes of memory beside its own */

void
SasReadAhead_Append(struct sas_read_ahead *ahead, const char *data,
                    size_t size, int64_t now_ms)
{
    struct sas_read_ahead_piece *last = g_queue_peek_tail(&ahead->pieces);
    if (last == NULL || last->read_at != now_ms) {
        last = g_new0(struct sas_read_ahead_piece, 1);
        last->bytes = g_byte_array_new();
        last->read_at = now_ms;
        g_queue_push_tail(&ahead->pieces, last);
        ahead->size += PIECE_OVERHEAD;
    }
    g_byte_array_append(last->bytes, (const guint8 *)data, (guint)size);
    ahead->size += size;
}

struct sas_read_ahead_piece *
SasReadAhead_Take(struct sas_read_ahead *ahead)
{
    struct sas_read_ahead_piece *piece = g_queue_pop_head(&ahead->pieces);
    if (piece != NULL) {
        ahead->size -= piece->bytes->len + PIECE_OVERHEAD;
    }
    return piece;
}

void
SasReadAhead_FreePiece(struct sas_read_ahead_piece *piece)
{
    if (piece != NULL) {
        g_byte_array_unref(piece->bytes);
        g_free(piece);
    }
}

void
SasReadAhead_Clear(struct sas_read_ahead *ahead)
{
    struct sas_read_ahead_piece *piece = SasReadAhead_Take(ahead);
    while (piece != NULL) {
        SasReadAhead_FreePiece(piece);
        piece = SasReadAhead_Take(ahead);
    }
}
