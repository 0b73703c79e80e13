#include "sas/pace.h"

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
SasPace_Init(struct sas_pace *pace, double objective_ms)
{
    memset(pace, 0, sizeof(*pace));
    SasPace_SetGoal(pace, objective_ms);
}

static void
start_estimate(struct sas_pace_estimate *estimate, double ms)
{
    if (estimate->samples <= 0) {
        estimate->ms = ms;
    }
}

void
SasPace_SetGoal(struct sas_pace *pace, double objective_ms)
{
    double objective =
        objective_ms > 0 ? objective_ms : SasPace_DEFAULT_GOAL_MS;
    start_estimate(&pace->fresh, SasPace_START_NEW * objective);
    start_estimate(&pace->known, SasPace_START_KNOWN * pace->fresh.ms);
    start_estimate(&pace->mixed, pace->fresh.ms);
}

static void
add_sample(struct sas_pace_estimate *estimate, double service_ms)
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
get_distance(const struct sas_pace_estimate *estimate, double service_ms)
{
    return fabs(log(MAX(service_ms, 1) / estimate->ms));
}

/* Another entry VM's request may have cached the object at the server, and the
 * server may have evicted it. So a sample that is closer to the other estimate
 * is left out, or the two estimates would converge. */
void
SasPace_Note(struct sas_pace *pace, bool cached, double service_ms)
{
    struct sas_pace_estimate *expected = cached ? &pace->known : &pace->fresh;
    struct sas_pace_estimate *other = cached ? &pace->fresh : &pace->known;
    bool mismatch =
        get_distance(expected, service_ms) > get_distance(other, service_ms);
    if (!cached) {
        pace->unseen_hit_rate +=
            HIT_RATE_SMOOTHING * ((mismatch ? 1 : 0) - pace->unseen_hit_rate);
    }
    if (expected->samples < 1 || !mismatch) {
        add_sample(expected, service_ms);
    }
    add_sample(&pace->mixed, service_ms);
    start_estimate(&pace->known, SasPace_START_KNOWN * pace->fresh.ms);
}

bool
SasPace_IsLearned(const struct sas_pace *pace)
{
    return pace->mixed.samples >= LEARNED_SAMPLES;
}

double
SasPace_Get(const struct sas_pace *pace, bool cached)
{
    return cached ? pace->known.ms : MAX(pace->fresh.ms, pace->known.ms);
}

double
SasPace_GetUnseen(const struct sas_pace *pace)
{
    return pace->unseen_hit_rate * SasPace_Get(pace, true) +
           (1 - pace->unseen_hit_rate) * SasPace_Get(pace, false);
}
