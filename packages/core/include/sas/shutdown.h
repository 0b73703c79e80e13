/* shutdown - the schedule of a graceful shutdown.
 *
 * From the order to stop, a process has a fixed time until it is killed, the
 * grace period. In its first part the process accepts all requests, since
 * callers still hold lookup answers that name it. Later it accepts only
 * requests that reach their own limit before the shutdown deadline; others
 * would be cut off, and are refused at once, so that their callers use another
 * entry VM.
 *
 * The process ends when no caller is connected, or a while later when no
 * answer is pending, at the latest at close_at. All deadlines lie in the last
 * sixth of the grace period.
 *
 * Times are milliseconds of one monotonic clock.
 */
#ifndef SAS_SHUTDOWN_H
#define SAS_SHUTDOWN_H

#include <stdbool.h>
#include <stdint.h>

struct sas_shutdown_plan {
    int64_t began_at;     /* the order to stop; 0: there is none */
    int64_t accept_until; /* requests with any limit are accepted until then */
    int64_t fail_pending_at; /* shutdown deadline: pending requests fail */
    int64_t close_at;        /* all connections of callers are closed */
    /* operators' calls that wait for the store end */
    int64_t change_calls_until;
};

/* Connections of callers. */
struct sas_shutdown_left {
    int connections;
    int unanswered; /* of these, the ones with a pending answer */
};

/* grace_ms: from the order to stop to the kill. */
struct sas_shutdown_plan SasShutdown_Plan(int64_t now_ms, int64_t grace_ms);

/* Whether to accept a request that reaches its own limit at limit_at; true
 * while there is no order to stop. */
bool SasShutdown_ShouldAccept(const struct sas_shutdown_plan *plan,
                              int64_t now_ms, int64_t limit_at);

/* Whether the shutdown deadline is over, so that pending requests fail. */
bool SasShutdown_MustFailPending(const struct sas_shutdown_plan *plan,
                                 int64_t now_ms);

/* Whether the process may end, and whether it has to (close_at). */
bool SasShutdown_IsDone(const struct sas_shutdown_plan *plan, int64_t now_ms,
                        const struct sas_shutdown_left *left);
bool SasShutdown_IsAtDeadline(const struct sas_shutdown_plan *plan,
                              int64_t now_ms);

#endif
