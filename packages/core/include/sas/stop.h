/* stop - the schedule of a graceful shutdown.
 *
 * From the order to stop, a process has a fixed time until it is killed, the
 * grace period. In its first part the process accepts all requests, since
 * callers still hold lookup answers that name it. Later it accepts only
 * requests that reach their own limit before the shutdown deadline; others
 * would be cut off, and are refused at once, so that their callers use another
 * entry VM.
 *
 * The process ends when no caller is connected, or a while later when no
 * answer is pending, at the latest at end_at. All deadlines lie in the last
 * sixth of the grace period.
 *
 * Times are milliseconds of one monotonic clock.
 */
#ifndef SAS_STOP_H
#define SAS_STOP_H

#include <stdbool.h>
#include <stdint.h>

struct sas_stop_plan {
    int64_t began_at;     /* the order to stop; 0: there is none */
    int64_t accept_until; /* requests with any limit are accepted until then */
    int64_t deadline_at;  /* shutdown deadline: pending requests fail */
    int64_t end_at;       /* all connections of callers are closed */
    int64_t changes_at;   /* operators' calls that wait for the store end */
};

/* Connections of callers. */
struct sas_stop_left {
    int connections;
    int busy; /* of these, the ones with a pending answer */
};

/* grace_ms: from the order to stop to the kill. */
struct sas_stop_plan SasStop_Plan(int64_t now_ms, int64_t grace_ms);

/* Whether to accept a request that reaches its own limit at limit_at; true
 * while there is no order to stop. */
bool SasStop_MayTake(const struct sas_stop_plan *plan, int64_t now_ms,
                     int64_t limit_at);

/* Whether the shutdown deadline is over, so that pending requests fail. */
bool SasStop_IsGivenUp(const struct sas_stop_plan *plan, int64_t now_ms);

/* Whether the process may end, and whether it has to (end_at). */
bool SasStop_IsOver(const struct sas_stop_plan *plan, int64_t now_ms,
                    const struct sas_stop_left *left);
bool SasStop_IsAtLimit(const struct sas_stop_plan *plan, int64_t now_ms);

#endif
