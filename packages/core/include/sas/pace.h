/* pace - service times of requests, learned from answers.
 *
 * A backend server that handled an object recently (the object is cached
 * there) answers in a fraction of the time that another server takes, so the
 * two service times are estimated separately. Only requests that found a free
 * execution slot are samples: other times include the queue. A sample below
 * the estimate weighs in proportion to its length: long work holds the slots,
 * and a stream of trivial requests must not lower the estimate. Before the
 * first answer the estimates derive from the route's latency objective, which
 * operators choose close to the service time that they know.
 *
 * Constants that depend on a server's work are multiples of the service time,
 * so that work of 50 ms and of 3 s follows the same rules. Times are
 * milliseconds.
 */
#ifndef SAS_PACE_H
#define SAS_PACE_H

#include <stdbool.h>

/* Before the first answer: the service time of an uncached object as a
 * multiple of the route's objective, and that of a cached object as a part of
 * that of an uncached one. */
#define SasPace_START_NEW 1.3
#define SasPace_START_KNOWN 0.4

/* For a route without an objective. */
#define SasPace_DEFAULT_GOAL_MS 500.0

struct sas_pace_estimate {
    double ms;
    double samples; /* sum of the sample weights, up to a limit */
};

struct sas_pace {
    struct sas_pace_estimate known;
    struct sas_pace_estimate fresh; /* uncached objects */
    struct sas_pace_estimate mixed; /* all requests */
    double unseen_hit_rate; /* part of the objects that were expected to be
                               uncached and answered like cached ones */
};

/* objective_ms: the route's latency objective, 0 for none. */
void SasPace_Init(struct sas_pace *pace, double objective_ms);

/* Changes the objective. Estimates that already have samples stay. */
void SasPace_SetGoal(struct sas_pace *pace, double objective_ms);

/* Adds a sample: the answer to a request that found a free execution slot
 * took service_ms. cached: whether the server was expected to have the object
 * cached. */
void SasPace_Note(struct sas_pace *pace, bool cached, double service_ms);

/* Whether enough answers have come for the estimate to be independent of the
 * objective. */
bool SasPace_IsLearned(const struct sas_pace *pace);

/* Expected service time. */
double SasPace_Get(const struct sas_pace *pace, bool cached);

/* Expected service time of an object at its owner, where this process has not
 * seen the owner answer for it. Requests of other entry VMs may have cached
 * it, and after a restart this process remembers no object; so the result
 * follows the hit rate of such objects so far. */
double SasPace_GetUnseen(const struct sas_pace *pace);

#endif
