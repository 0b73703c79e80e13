/* service_time - service times of requests, learned from answers.
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
#ifndef SAS_SERVICE_TIME_H
#define SAS_SERVICE_TIME_H

#include <stdbool.h>

/* Before the first answer: the service time of an uncached object as a
 * multiple of the route's objective, and that of a cached object as a part of
 * that of an uncached one. */
#define SasServiceTime_START_UNCACHED 1.3
#define SasServiceTime_START_CACHED 0.4

/* For a route without an objective. */
#define SasServiceTime_DEFAULT_OBJECTIVE_MS 500.0

struct sas_service_time_estimate {
    double ms;
    double samples; /* sum of the sample weights, up to a limit */
};

struct sas_service_time {
    struct sas_service_time_estimate cached;
    struct sas_service_time_estimate uncached; /* uncached objects */
    struct sas_service_time_estimate overall;  /* all requests */
    double unseen_hit_rate; /* part of the objects that were expected to be
                               uncached and answered like cached ones */
};

/* objective_ms: the route's latency objective, 0 for none. */
void SasServiceTime_Init(struct sas_service_time *service_time,
                         double objective_ms);

/* Changes the objective. Estimates that already have samples stay. */
void SasServiceTime_SetObjective(struct sas_service_time *service_time,
                                 double objective_ms);

/* Adds a sample: the answer to a request that found a free execution slot
 * took service_ms. cached: whether the server was expected to have the object
 * cached. */
void SasServiceTime_Note(struct sas_service_time *service_time, bool cached,
                         double service_ms);

/* Whether enough answers have come for the estimate to be independent of the
 * objective. */
bool SasServiceTime_IsLearned(const struct sas_service_time *service_time);

/* Expected service time. */
double SasServiceTime_Get(const struct sas_service_time *service_time,
                          bool cached);

/* Expected service time of an object at its owner, where this process has not
 * seen the owner answer for it. Requests of other entry VMs may have cached
 * it, and after a restart this process remembers no object; so the result
 * follows the hit rate of such objects so far. */
double SasServiceTime_GetUnseen(const struct sas_service_time *service_time);

#endif
