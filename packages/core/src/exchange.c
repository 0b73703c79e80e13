#include "sas/exchange.h"

#include <string.h>

void
SasExchange_Init(struct sas_exchanges *exchanges)
{
    memset(exchanges, 0, sizeof(*exchanges));
}

static int
find(const struct sas_exchanges *exchanges, int member_id)
{
    for (int i = 0; i < exchanges->count; i++) {
        if (exchanges->rows[i].seat == member_id) {
            return i;
        }
    }
    return -1;
}

static void
drop(struct sas_exchanges *exchanges, int i)
{
    exchanges->count--;
    exchanges->rows[i] = exchanges->rows[exchanges->count];
}

void
SasExchange_Begin(struct sas_exchanges *exchanges, int member_id,
                  int64_t now_ms)
{
    if (find(exchanges, member_id) >= 0 ||
        exchanges->count == SasExchange_MAX) {
        return;
    }
    exchanges->rows[exchanges->count++] = (struct sas_exchange){
        .seat = member_id,
        .tries = 1,
        .sent_at = now_ms,
    };
}

void
SasExchange_End(struct sas_exchanges *exchanges, int member_id)
{
    int i = find(exchanges, member_id);
    if (i >= 0) {
        drop(exchanges, i);
    }
}

bool
SasExchange_Next(struct sas_exchanges *exchanges, int64_t now_ms,
                 struct sas_exchange_due *due)
{
    for (int i = 0; i < exchanges->count; i++) {
        struct sas_exchange *row = &exchanges->rows[i];
        if (now_ms - row->sent_at < SasExchange_REPLY_MS) {
            continue;
        }
        due->seat = row->seat;
        due->silent = row->tries >= SasExchange_TRIES;
        row->tries++;
        row->sent_at = now_ms;
        if (due->silent) {
            drop(exchanges, i);
        }
        return true;
    }
    return false;
}
