#include "sas/shutdown.h"

#include <glib.h>

/* All requests are accepted for less than half of the grace period and for a
 * few seconds at most: by then callers have newer lookup answers. */
#define ACCEPT_FRACTION 0.45
#define MAX_ACCEPT_MS 2700.0

/* The deadlines lie in the last sixth of the grace period and in its last
 * second, so that pending requests get as much time as possible. */
#define FINAL_FRACTION (1.0 / 6.0)
#define MAX_FINAL_MS 1000.0
#define DEADLINE_BEFORE 0.85 /* fractions of that time, before the kill */
#define END_BEFORE 0.6
#define CHANGES_BEFORE 0.25

/* Callers keep lookup answers for some seconds, so new requests may still
 * arrive when no caller is connected, or when no answer is pending. */
#define MIN_UNCONNECTED_MS 2500
#define MIN_IDLE_MS 3500

struct sas_shutdown_plan
SasShutdown_Plan(int64_t now_ms, int64_t grace_ms)
{
    double grace = (double)grace_ms;
    double final_ms = MIN(grace * FINAL_FRACTION, MAX_FINAL_MS);
    return (struct sas_shutdown_plan){
        .began_at = now_ms,
        .accept_until =
            now_ms + (int64_t)MIN(grace * ACCEPT_FRACTION, MAX_ACCEPT_MS),
        .fail_pending_at =
            now_ms + (int64_t)(grace - final_ms * DEADLINE_BEFORE),
        .close_at = now_ms + (int64_t)(grace - final_ms * END_BEFORE),
        .change_calls_until =
            now_ms + (int64_t)(grace - final_ms * CHANGES_BEFORE),
    };
}

bool
SasShutdown_ShouldAccept(const struct sas_shutdown_plan *plan, int64_t now_ms,
                         int64_t limit_at)
{
    return plan->began_at == 0 || now_ms < plan->accept_until ||
           limit_at <= plan->fail_pending_at;
}

bool
SasShutdown_MustFailPending(const struct sas_shutdown_plan *plan,
                            int64_t now_ms)
{
    return now_ms >= plan->fail_pending_at;
}

bool
SasShutdown_IsDone(const struct sas_shutdown_plan *plan, int64_t now_ms,
                   const struct sas_shutdown_left *left)
{
    int64_t since_ms = now_ms - plan->began_at;
    return (left->connections == 0 && since_ms >= MIN_UNCONNECTED_MS) ||
           (left->unanswered == 0 && since_ms >= MIN_IDLE_MS) ||
           SasShutdown_IsAtDeadline(plan, now_ms);
}

bool
SasShutdown_IsAtDeadline(const struct sas_shutdown_plan *plan, int64_t now_ms)
{
    return now_ms >= plan->close_at;
}
