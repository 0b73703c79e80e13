#include "sas/stop.h"

#include <glib.h>

/* Under half of the grace, so that what is taken last has as long again. */
#define NOTICE_PART 0.45

/* Before the kill: the last answers go out, and the process closes. */
#define ANSWERS_MARGIN_MS 700
#define END_MARGIN_MS 300

/* Callers keep look-ups for some seconds: without a connection, and with
 * nothing owed, new ones may still come for so long. */
#define EMPTY_MS 2500
#define QUIET_MS 3500

struct sas_stop_plan
SasStop_Plan(int64_t grace_ms)
{
    return (struct sas_stop_plan){
        .notice_ms = (int64_t)((double)grace_ms * NOTICE_PART),
        .answers_ms = MAX(grace_ms - ANSWERS_MARGIN_MS, 0),
        .end_ms = MAX(grace_ms - END_MARGIN_MS, 0),
    };
}

bool
SasStop_MayTake(const struct sas_stop_plan *plan, int64_t since_ms,
                int64_t left_ms)
{
    return since_ms < plan->notice_ms ||
           since_ms + left_ms <= plan->answers_ms;
}

bool
SasStop_IsGivenUp(const struct sas_stop_plan *plan, int64_t since_ms)
{
    return since_ms >= plan->answers_ms;
}

bool
SasStop_IsOver(const struct sas_stop_plan *plan, int64_t since_ms,
               const struct sas_stop_left *left)
{
    return (left->connections == 0 && since_ms >= EMPTY_MS) ||
           (left->busy == 0 && since_ms >= QUIET_MS) ||
           since_ms >= plan->end_ms;
}
