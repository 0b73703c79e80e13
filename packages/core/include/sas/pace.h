/* pace - how long the work of a request takes, learned from answers.
 *
 * A backend server that handled an object lately answers in a fraction of the
 * time that a new one takes, so the two are learned apart. Only requests that
 * found a free slot are samples: with a queue the answer's time is the
 * queue's. A sample weighs by its length where that is below the estimate:
 * slots are held by long work, and a stream of trivial requests must not make
 * it look short. Before the first answer the route's latency objective stands
 * in: operators choose it close to the work that they know.
 *
 * Every time of the policy that speaks of a server's work is a multiple of
 * these, so that work of 50 ms and of 3 s is decided alike. Times are
 * milliseconds.
 */
#ifndef SAS_PACE_H
#define SAS_PACE_H

#include <stdbool.h>

/* Before the first answer: work on a new object as a multiple of the route's
 * objective, and on a known one as a part of that on a new one. */
#define SasPace_START_NEW 1.3
#define SasPace_START_KNOWN 0.4

/* Where a route states no objective. */
#define SasPace_DEFAULT_GOAL_MS 500.0

struct sas_pace_estimate {
    double ms;
    double samples; /* how many it rests on, counted up to a limit */
};

struct sas_pace {
    struct sas_pace_estimate known;
    struct sas_pace_estimate fresh; /* objects new to the server */
    struct sas_pace_estimate mixed; /* as they come */
    double luck; /* part of the objects that seemed new and were known */
};

/* goal_ms: the latency objective, 0 where there is none. */
void SasPace_Init(struct sas_pace *pace, double goal_ms);

/* Another objective, for what no answer has shown yet. */
void SasPace_SetGoal(struct sas_pace *pace, double goal_ms);

/* The answer to a request that found a free slot took work_ms. */
void SasPace_Note(struct sas_pace *pace, bool known, double work_ms);

/* Whether it rests on answers and not on the objective alone. */
bool SasPace_IsLearned(const struct sas_pace *pace);

/* Expected work. */
double SasPace_Get(const struct sas_pace *pace, bool known);

/* Expected work on an object of which it is not known whether its owner knows
 * it. Other entry VMs' requests make objects known, and a process that has
 * started again remembers none: what its first answers show is believed. */
double SasPace_GetUnseen(const struct sas_pace *pace);

#endif
