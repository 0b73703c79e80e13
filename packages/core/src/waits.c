#include "sas/waits.h"

#include <glib.h>

/* More changes usually follow an answer with changes: when a platform starts,
 * hundreds of servers write their rows one after the other. */
#define PAUSE_MS 250

/* Each long poll is a call to the store, which costs money. */
#define MAX_POLL_MS 2500
#define MAX_VM_POLL_MS 500

/* An answer takes about 10 ms, between regions 50 ms, from a slow store
 * 300 ms; a lost packet adds 200 ms or more. */
#define MAX_RESPONSE_MS 600
#define MAX_VM_RESPONSE_MS 400

/* Connect to another region and get an answer, at a busy entry VM. */
#define MAX_FAILOVER_MS 500

/* Fractions of the bound. */
#define RESPONSE_FRACTION 0.25
#define VM_RESPONSE_FRACTION 0.2
#define FAILOVER_FRACTION 0.2

static int64_t
get_share(int64_t bound_ms, double fraction, int64_t max_ms)
{
    return MIN((int64_t)(fraction * (double)bound_ms), max_ms);
}

void
SasWaits_Init(struct sas_waits *waits, int64_t bound_ms)
{
    waits->pause_ms = PAUSE_MS;
    waits->silence_ms =
        get_share(bound_ms, RESPONSE_FRACTION, MAX_RESPONSE_MS);
    waits->vm_silence_ms =
        get_share(bound_ms, VM_RESPONSE_FRACTION, MAX_VM_RESPONSE_MS);
    waits->hop_ms = get_share(bound_ms, FAILOVER_FRACTION, MAX_FAILOVER_MS);
    int64_t remaining_ms = bound_ms - waits->hop_ms;
    waits->question_ms = CLAMP(
        remaining_ms - waits->pause_ms - waits->silence_ms, 0, MAX_POLL_MS);
    waits->vm_question_ms =
        CLAMP(remaining_ms - waits->vm_silence_ms, 0, MAX_VM_POLL_MS);
}

int64_t
SasWaits_GetVouchMs(const struct sas_waits *waits)
{
    return waits->pause_ms + waits->question_ms + waits->silence_ms;
}

int64_t
SasWaits_GetLongestMs(const struct sas_waits *waits)
{
    int64_t vm_ms = waits->vm_question_ms + waits->vm_silence_ms;
    return MAX(SasWaits_GetVouchMs(waits), vm_ms) + waits->hop_ms;
}
