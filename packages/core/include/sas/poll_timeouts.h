/* poll_timeouts - timeouts of the long polls that bring changes from the
 * store.
 *
 * A change has to be in force at all entry VMs within a bound from the moment
 * at which the store accepted it. One entry VM of a failure domain, its
 * leader, polls the store; the others, its followers, poll the leader. A long
 * poll that waits for changes and one that will never be answered look alike
 * until the timeout, so the timeouts are part of the bound:
 *
 *   the store is unresponsive    poll_pause + poll + response + failover
 *   the leader is unresponsive   vm_poll + vm_response + failover
 *
 * Each sum is at most the bound, for any bound from
 * SasPollTimeouts_MIN_BOUND_MS on. The first sum has to hold without help from
 * other entry VMs: the store may stop answering all leaders at once, and then
 * no VM has the change.
 *
 * Times are milliseconds.
 */
#ifndef SAS_POLL_TIMEOUTS_H
#define SAS_POLL_TIMEOUTS_H

#include <stdint.h>

/* Smaller bounds leave a long poll no time to wait for a change. */
#define SasPollTimeouts_MIN_BOUND_MS 500

struct sas_poll_timeouts {
    int64_t poll_pause_ms; /* at most, from an answer to the next poll */
    int64_t poll_ms;       /* the store holds a poll open for a change */
    int64_t response_ms;   /* after that, until the answer has to begin */
    int64_t vm_poll_ms;    /* the same for a poll of the leader */
    int64_t vm_response_ms;
    int64_t failover_ms; /* to poll the store instead and apply the change */
};

void SasPollTimeouts_Init(struct sas_poll_timeouts *timeouts,
                          int64_t bound_ms);

/* Age of the store's last answer from which the store counts as unresponsive
 * and a leader's rows as stale. */
int64_t SasPollTimeouts_GetMaxAgeMs(const struct sas_poll_timeouts *timeouts);

/* How long a poll anew, which doesn't wait for changes, may take to be
 * answered while the store's last answer is age_ms old: what is left of the
 * greatest age, at least half the time for a failover. */
int64_t SasPollTimeouts_GetRepollMs(const struct sas_poll_timeouts *timeouts,
                                    int64_t age_ms);

/* Longest time from a change until it is in force at the entry VMs that the
 * store answers. */
int64_t
SasPollTimeouts_GetMaxPropagationMs(const struct sas_poll_timeouts *timeouts);

#endif
