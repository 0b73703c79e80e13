#include "sas/service_time.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Limit of an estimate's sample count, so that later samples keep moving it.
 */
#define MAX_SAMPLES 20.0

/* Samples are clamped to a distance from the estimate, as a natural logarithm:
 * MAX_DEVIATION, and with few samples FIRST_DEVIATION / samples more. A few
 * servers that have turned slow must not move the estimate far. */
#define MAX_DEVIATION 0.4
#define FIRST_DEVIATION 2.0

/* Samples that say more than the objective. */
#define LEARNED_SAMPLES 2.0

/* Weight of a new observation in unseen_hit_rate. */
#define HIT_RATE_SMOOTHING 0.15

void
SasServiceTime_Init(struct sas_service_time *service_time, double objective_ms)
{
    memset(service_time, 0, sizeof(*service_time));
    SasServiceTime_SetObjective(service_time, objective_ms);
}

static void
start_estimate(struct sas_service_time_estimate *estimate, double ms)
{
    if (estimate->samples <= 0) {
        estimate->ms = ms;
    }
}

void
SasServiceTime_SetObjective(struct sas_service_time *service_time,
                            double objective_ms)
{
    double objective =
        objective_ms > 0 ? objective_ms : SasServiceTime_DEFAULT_OBJECTIVE_MS;
    start_estimate(&service_time->uncached,
                   SasServiceTime_START_UNCACHED * objective);
    start_estimate(&service_time->cached,
                   SasServiceTime_START_CACHED * service_time->uncached.ms);
    start_estimate(&service_time->overall, service_time->uncached.ms);
}

static void
add_sample(struct sas_service_time_estimate *estimate, double service_ms)
{
    double ratio = MAX(service_ms, 1) / estimate->ms;
    double weight = MIN(ratio, 1);
    estimate->samples += weight;
    double limit = MAX_DEVIATION + FIRST_DEVIATION / MAX(estimate->samples, 1);
    double error = CLAMP(log(ratio), -limit, limit);
    estimate->ms *= exp(error * weight / MAX(estimate->samples, 1));
    estimate->samples = MIN(estimate->samples, MAX_SAMPLES);
}

static double
get_distance(const struct sas_service_time_estimate *estimate,
             double service_ms)
{
    return fabs(log(MAX(service_ms, 1) / estimate->ms));
}

/* Another entry VM's request may have cached the object at the server, and the
 * server may have evicted it. So a sample that is closer to the other estimate
 * is left out, or the two estimates would converge. */
void
SasServiceTime_Note(struct sas_service_time *service_time, bool cached,
                    double service_ms)
{
    struct sas_service_time_estimate *expected =
        cached ? &service_time->cached : &service_time->uncached;
    struct sas_service_time_estimate *other =
        cached ? &service_time->uncached : &service_time->cached;
    bool mismatch =
        get_distance(expected, service_ms) > get_distance(other, service_ms);
    if (!cached) {
        service_time->unseen_hit_rate +=
            HIT_RATE_SMOOTHING *
            ((mismatch ? 1 : 0) - service_time->unseen_hit_rate);
    }
    if (expected->samples < 1 || !mismatch) {
        add_sample(expected, service_ms);
    }
    add_sample(&service_time->overall, service_ms);
    start_estimate(&service_time->cached,
                   SasServiceTime_START_CACHED * service_time->uncached.ms);
}

bool
SasServiceTime_IsLearned(const struct sas_service_time *service_time)
{
    return service_time->overall.samples >= LEARNED_SAMPLES;
}

double
SasServiceTime_Get(const struct sas_service_time *service_time, bool cached)
{
    return cached ? service_time->cached.ms
                  : MAX(service_time->uncached.ms, service_time->cached.ms);
}

double
SasServiceTime_GetUnseen(const struct sas_service_time *service_time)
{
    return service_time->unseen_hit_rate *
               SasServiceTime_Get(service_time, true) +
           (1 - service_time->unseen_hit_rate) *
               SasServiceTime_Get(service_time, false);
}
