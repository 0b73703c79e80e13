#include "sas/poll_timeouts.h"

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
SasPollTimeouts_Init(struct sas_poll_timeouts *timeouts, int64_t bound_ms)
{
    timeouts->poll_pause_ms = PAUSE_MS;
    timeouts->response_ms =
        get_share(bound_ms, RESPONSE_FRACTION, MAX_RESPONSE_MS);
    timeouts->vm_response_ms =
        get_share(bound_ms, VM_RESPONSE_FRACTION, MAX_VM_RESPONSE_MS);
    timeouts->failover_ms =
        get_share(bound_ms, FAILOVER_FRACTION, MAX_FAILOVER_MS);
    int64_t remaining_ms = bound_ms - timeouts->failover_ms;
    timeouts->poll_ms =
        CLAMP(remaining_ms - timeouts->poll_pause_ms - timeouts->response_ms,
              0, MAX_POLL_MS);
    timeouts->vm_poll_ms =
        CLAMP(remaining_ms - timeouts->vm_response_ms, 0, MAX_VM_POLL_MS);
}

int64_t
SasPollTimeouts_GetMaxAgeMs(const struct sas_poll_timeouts *timeouts)
{
    return timeouts->poll_pause_ms + timeouts->poll_ms + timeouts->response_ms;
}

int64_t
SasPollTimeouts_GetRepollMs(const struct sas_poll_timeouts *timeouts,
                            int64_t age_ms)
{
    return MAX(SasPollTimeouts_GetMaxAgeMs(timeouts) - age_ms,
               timeouts->failover_ms / 2);
}

int64_t
SasPollTimeouts_GetMaxPropagationMs(const struct sas_poll_timeouts *timeouts)
{
    int64_t vm_ms = timeouts->vm_poll_ms + timeouts->vm_response_ms;
    return MAX(SasPollTimeouts_GetMaxAgeMs(timeouts), vm_ms) +
           timeouts->failover_ms;
}
