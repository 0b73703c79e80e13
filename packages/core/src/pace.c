#include "sas/pace.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Samples that an estimate rests on at the most; the part of a new one in it
 * is never smaller than one in so many. */
#define MAX_SAMPLES 20.0

/* How far, as a logarithm, one sample may lie off an estimate that rests on
 * many, and on one: a few servers that have turned slow must not move it. */
#define REACH 0.4
#define FIRST_REACH 2.0

/* So many answers show more than an objective says. */
#define LEARNED_SAMPLES 2.0

/* How fast the luck follows what objects that seemed new turn out to be. */
#define LUCK_SMOOTHING 0.15

void
SasPace_Init(struct sas_pace *pace, double goal_ms)
{
    memset(pace, 0, sizeof(*pace));
    SasPace_SetGoal(pace, goal_ms);
}

static void
start_estimate(struct sas_pace_estimate *estimate, double ms)
{
    if (estimate->samples <= 0) {
        estimate->ms = ms;
    }
}

void
SasPace_SetGoal(struct sas_pace *pace, double goal_ms)
{
    double goal = goal_ms > 0 ? goal_ms : SasPace_DEFAULT_GOAL_MS;
    start_estimate(&pace->fresh, SasPace_START_NEW * goal);
    start_estimate(&pace->known, SasPace_START_KNOWN * pace->fresh.ms);
    start_estimate(&pace->mixed, pace->fresh.ms);
}

static void
add_sample(struct sas_pace_estimate *estimate, double work_ms)
{
    double ratio = MAX(work_ms, 1) / estimate->ms;
    double weight = MIN(ratio, 1);
    estimate->samples += weight;
    double reach = REACH + FIRST_REACH / MAX(estimate->samples, 1);
    double error = CLAMP(log(ratio), -reach, reach);
    estimate->ms *= exp(error * weight / MAX(estimate->samples, 1));
    estimate->samples = MIN(estimate->samples, MAX_SAMPLES);
}

static double
get_distance(const struct sas_pace_estimate *estimate, double work_ms)
{
    return fabs(log(MAX(work_ms, 1) / estimate->ms));
}

/* Another entry VM may have made the object known to the server, and the
 * server may have forgotten it: what looks like the other kind of work is
 * left out, or the two would become one. */
void
SasPace_Note(struct sas_pace *pace, bool known, double work_ms)
{
    struct sas_pace_estimate *own = known ? &pace->known : &pace->fresh;
    struct sas_pace_estimate *other = known ? &pace->fresh : &pace->known;
    bool apart = get_distance(own, work_ms) > get_distance(other, work_ms);
    if (!known) {
        pace->luck += LUCK_SMOOTHING * ((apart ? 1 : 0) - pace->luck);
    }
    if (own->samples < 1 || !apart) {
        add_sample(own, work_ms);
    }
    add_sample(&pace->mixed, work_ms);
    start_estimate(&pace->known, SasPace_START_KNOWN * pace->fresh.ms);
}

bool
SasPace_IsLearned(const struct sas_pace *pace)
{
    return pace->mixed.samples >= LEARNED_SAMPLES;
}

double
SasPace_Get(const struct sas_pace *pace, bool known)
{
    return known ? pace->known.ms : MAX(pace->fresh.ms, pace->known.ms);
}

double
SasPace_GetUnseen(const struct sas_pace *pace)
{
    return pace->luck * SasPace_Get(pace, true) +
           (1 - pace->luck) * SasPace_Get(pace, false);
}
