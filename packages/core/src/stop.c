#include "sas/stop.h"

#include <glib.h>

/* Whatever their limit, requests are taken for under half of the grace, and
 * for a few seconds at most: by then callers have newer look-ups. */
#define NOTICE_PART 0.45
#define MAX_NOTICE_MS 2700.0

/* The end of the plan lies in the last sixth of the grace, and in its last
 * second: what is given up has had all the time that there was. */
#define LAST_PART (1.0 / 6.0)
#define MAX_LAST_MS 1000.0
#define ANSWERS_BEFORE 0.85 /* parts of that time before the kill */
#define END_BEFORE 0.6
#define CHANGES_BEFORE 0.25

/* Callers keep look-ups for some seconds: without a connection, and with
 * nothing owed, new ones may still come for so long. */
#define EMPTY_MS 2500
#define QUIET_MS 3500

struct sas_stop_plan
SasStop_Plan(int64_t now_ms, int64_t grace_ms)
{
    double grace = (double)grace_ms;
    double last = MIN(grace * LAST_PART, MAX_LAST_MS);
    return (struct sas_stop_plan){
        .began_at = now_ms,
        .notice_at = now_ms + (int64_t)MIN(grace * NOTICE_PART, MAX_NOTICE_MS),
        .answers_at = now_ms + (int64_t)(grace - last * ANSWERS_BEFORE),
        .end_at = now_ms + (int64_t)(grace - last * END_BEFORE),
        .changes_at = now_ms + (int64_t)(grace - last * CHANGES_BEFORE),
    };
}

bool
SasStop_MayTake(const struct sas_stop_plan *plan, int64_t now_ms,
                int64_t limit_at)
{
    return plan->began_at == 0 || now_ms < plan->notice_at ||
           limit_at <= plan->answers_at;
}

bool
SasStop_IsGivenUp(const struct sas_stop_plan *plan, int64_t now_ms)
{
    return now_ms >= plan->answers_at;
}

bool
SasStop_IsOver(const struct sas_stop_plan *plan, int64_t now_ms,
               const struct sas_stop_left *left)
{
    int64_t since_ms = now_ms - plan->began_at;
    return (left->connections == 0 && since_ms >= EMPTY_MS) ||
           (left->busy == 0 && since_ms >= QUIET_MS) ||
           SasStop_IsAtLimit(plan, now_ms);
}

bool
SasStop_IsAtLimit(const struct sas_stop_plan *plan, int64_t now_ms)
{
    return now_ms >= plan->end_at;
}
