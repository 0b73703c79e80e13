/* stop - what a process that is to end still takes, and when it ends.
 *
 * From the order to stop, a process has a fixed time, its grace. It takes
 * requests for the first part of it, whatever their time limit, for callers
 * still hold older look-ups. Later it takes only what its own limit ends
 * before the last answers are due: everything else would be cut off, and is
 * better refused at once, so that its caller goes elsewhere.
 *
 * The process ends when nobody has a connection any more, or a while later
 * when nothing is owed to anybody, at the latest at the end of the plan. Its
 * last moments lie in the last sixth of the grace, before the kill.
 *
 * Times are milliseconds of one monotonic clock.
 */
#ifndef SAS_STOP_H
#define SAS_STOP_H

#include <stdbool.h>
#include <stdint.h>

struct sas_stop_plan {
    int64_t began_at;   /* the order to stop; 0: there is none */
    int64_t notice_at;  /* requests of any limit are taken until then */
    int64_t answers_at; /* what has no answer by then is given up */
    int64_t end_at;     /* callers' connections end, whatever is left */
    int64_t changes_at; /* operators' calls that the store has still: too */
};

/* What is left, by the callers' connections. */
struct sas_stop_left {
    int connections;
    int busy; /* of them, those on which something is owed */
};

/* grace_ms: from the order to stop to the kill. */
struct sas_stop_plan SasStop_Plan(int64_t now_ms, int64_t grace_ms);

/* Whether a request that reaches its own limit at limit_at is taken; true
 * while there is no order to stop. */
bool SasStop_MayTake(const struct sas_stop_plan *plan, int64_t now_ms,
                     int64_t limit_at);

/* Whether what has no answer is given up now. */
bool SasStop_IsGivenUp(const struct sas_stop_plan *plan, int64_t now_ms);

/* Whether the process may end; it has to at its limit. */
bool SasStop_IsOver(const struct sas_stop_plan *plan, int64_t now_ms,
                    const struct sas_stop_left *left);
bool SasStop_IsAtLimit(const struct sas_stop_plan *plan, int64_t now_ms);

#endif
