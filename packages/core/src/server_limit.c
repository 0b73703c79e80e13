#include "sas/server_limit.h"

#include <math.h>

#include <glib.h>

static double
get_held(double per_s)
{
    return per_s > 0
               ? per_s * SasServerLimit_HELD_S + SasServerLimit_HELD_REQUESTS
               : 0;
}

bool
SasServerLimit_Set(struct sas_server_limit *limit, double per_s,
                   int64_t now_ms)
{
    bool begins = !limit->named;
    if (begins) {
        limit->tokens = 0;
        limit->filled_at = now_ms;
    }
    limit->named = true;
    limit->per_s = per_s;
    limit->told_at = now_ms;
    return begins;
}

bool
SasServerLimit_Clear(struct sas_server_limit *limit)
{
    bool ends = limit->named;
    limit->named = false;
    return ends;
}

/* Number of entry VMs that share the rate. */
static int
count_senders(double per_s, int count)
{
    int most = (int)(get_held(per_s) / SasServerLimit_MIN_HELD);
    return CLAMP(most, 1, MAX(count, 1));
}

/* This entry VM's part of the rate and of what the buckets hold. */
static double
get_part(const struct sas_server_limit *limit,
         const struct sas_limit_senders *senders)
{
    int count = count_senders(limit->per_s, senders->count);
    return senders->has_share && senders->rank < count ? 1.0 / count : 0;
}

static void
fill(struct sas_server_limit *limit, double part, int64_t now_ms)
{
    double rate = SasServerLimit_USED_PART * limit->per_s * part;
    limit->tokens += rate * (double)(now_ms - limit->filled_at) / 1000;
    limit->tokens = MIN(limit->tokens, get_held(limit->per_s) * part);
    limit->filled_at = now_ms;
}

/* By rank, since all may have been told at the same time. */
static int64_t
get_retry_ms(const struct sas_server_limit *limit,
             const struct sas_limit_senders *senders, int64_t now_ms)
{
    int64_t pause_ms = SasServerLimit_MIN_RETRY_MS +
                       (int64_t)(senders->count + senders->rank) *
                           SasServerLimit_RETRY_MS_EACH;
    return MAX(limit->told_at + pause_ms - now_ms, 0);
}

int64_t
SasServerLimit_GetWaitMs(struct sas_server_limit *limit,
                         const struct sas_limit_senders *senders,
                         int64_t now_ms)
{
    if (!limit->named) {
        return 0;
    }
    double part = get_part(limit, senders);
    fill(limit, part, now_ms);
    if (limit->tokens >= 1) {
        return 0;
    }
    int64_t retry_ms = get_retry_ms(limit, senders, now_ms);
    double rate = SasServerLimit_USED_PART * limit->per_s * part;
    if (rate <= 0 || get_held(limit->per_s) * part < 1) {
        return retry_ms;
    }
    int64_t filled_ms = (int64_t)ceil((1 - limit->tokens) / rate * 1000);
    return MIN(filled_ms, retry_ms);
}

void
SasServerLimit_NoteSent(struct sas_server_limit *limit, int64_t now_ms)
{
    if (!limit->named) {
        return;
    }
    if (limit->tokens < 1) {
        limit->told_at = now_ms; /* the one request after a while */
        return;
    }
    limit->tokens -= 1;
}
