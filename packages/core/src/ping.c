#include "sas/ping.h"

#include <string.h>

void
SasPing_Init(struct sas_pings *pings)
{
    memset(pings, 0, sizeof(*pings));
}

static int
find(const struct sas_pings *pings, int member_id)
{
    for (int i = 0; i < pings->count; i++) {
        if (pings->rows[i].member_id == member_id) {
            return i;
        }
    }
    return -1;
}

static void
drop(struct sas_pings *pings, int i)
{
    pings->count--;
    pings->rows[i] = pings->rows[pings->count];
}

void
SasPing_Add(struct sas_pings *pings, int member_id, int64_t now_ms)
{
    if (find(pings, member_id) >= 0 || pings->count == SasPing_MAX) {
        return;
    }
    pings->rows[pings->count++] = (struct sas_ping){
        .member_id = member_id,
        .attempts = 1,
        .sent_at = now_ms,
    };
}

void
SasPing_Remove(struct sas_pings *pings, int member_id)
{
    int i = find(pings, member_id);
    if (i >= 0) {
        drop(pings, i);
    }
}

bool
SasPing_NextDue(struct sas_pings *pings, int64_t now_ms,
                struct sas_ping_due *due)
{
    for (int i = 0; i < pings->count; i++) {
        struct sas_ping *row = &pings->rows[i];
        if (now_ms - row->sent_at < SasPing_TIMEOUT_MS) {
            continue;
        }
        due->member_id = row->member_id;
        due->timed_out = row->attempts >= SasPing_MAX_SENDS;
        row->attempts++;
        row->sent_at = now_ms;
        if (due->timed_out) {
            drop(pings, i);
        }
        return true;
    }
    return false;
}
