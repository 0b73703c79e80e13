#include "sas/retry.h"

#include <string.h>

#define ONE 1000 /* one attempt, in thousandths */

static const char *const DECISIONS[SAS_RETRY_DECISIONS] = {
    "yes", "no-repeat", "no-deadline", "no-tries", "no-backend", "no-budget",
};

static const char *const REASONS[SAS_RETRY_REASONS] = {
    "connect",
    "shed",
    "cut",
    "stall",
};

static void decay(struct sas_retry *r, int64_t now_ms);
static enum sas_retry_decision
decide(const struct sas_retry *r, bool idempotent,
       enum sas_retry_outcome outcome, int64_t deadline_left_ms,
       const int *tried, int tried_count, const int *candidates,
       int candidate_count);
static bool has_untried(const int *tried, int tried_count,
                        const int *candidates, int candidate_count);

void
SasRetry_Init(struct sas_retry *r, int64_t now_ms)
{
    memset(r, 0, sizeof(*r));
    r->decayed_ms = now_ms;
    r->share_percent = SasRetry_SHARE_PERCENT;
}

void
SasRetry_NoteFirst(struct sas_retry *r, int64_t now_ms)
{
    decay(r, now_ms);
    r->first_attempts += ONE;
}

enum sas_retry_decision
SasRetry_Decide(struct sas_retry *r, enum sas_retry_reason reason,
                bool idempotent, enum sas_retry_outcome outcome,
                int64_t deadline_left_ms, const int *tried, int tried_count,
                const int *candidates, int candidate_count, int64_t now_ms)
{
    decay(r, now_ms);
    enum sas_retry_decision decision =
        decide(r, idempotent, outcome, deadline_left_ms, tried, tried_count,
               candidates, candidate_count);
    r->decisions[decision]++;
    if (decision == SAS_RETRY_YES) {
        r->retries += ONE;
        r->reasons[reason]++;
    }
    return decision;
}

bool
SasRetry_WasTried(const int *tried, int tried_count, int backend)
{
    for (int i = 0; i < tried_count; i++) {
        if (tried[i] == backend) {
            return true;
        }
    }
    return false;
}

int
SasRetry_ChooseRetryAfter(int base_s, GRand *rand)
{
    int base = MAX(base_s, 1);
    return g_rand_int_range(rand, base, 2 * base + 1);
}

const char *
SasRetry_GetDecisionName(enum sas_retry_decision decision)
{
    return DECISIONS[decision];
}

const char *
SasRetry_GetReasonName(enum sas_retry_reason reason)
{
    return REASONS[reason];
}

/* Static helpers. */

/* Halves the counts for each half window that has passed. */
static void
decay(struct sas_retry *r, int64_t now_ms)
{
    int64_t half_life = SasRetry_WINDOW_MS / 2;
    while (now_ms - r->decayed_ms >= half_life &&
           r->first_attempts + r->retries > 0) {
        r->first_attempts /= 2;
        r->retries /= 2;
        r->decayed_ms += half_life;
    }
    if (now_ms - r->decayed_ms >= half_life) {
        r->decayed_ms = now_ms;
    }
}

static enum sas_retry_decision
decide(const struct sas_retry *r, bool idempotent,
       enum sas_retry_outcome outcome, int64_t deadline_left_ms,
       const int *tried, int tried_count, const int *candidates,
       int candidate_count)
{
    if (outcome != SAS_RETRY_NOT_RUN && !idempotent) {
        return SAS_RETRY_NO_REPEAT;
    }
    if (deadline_left_ms < SasRetry_MIN_LEFT_MS) {
        return SAS_RETRY_NO_DEADLINE;
    }
    if (tried_count >= SasRetry_MAX_ATTEMPTS) {
        return SAS_RETRY_NO_ATTEMPTS;
    }
    if (!has_untried(tried, tried_count, candidates, candidate_count)) {
        return SAS_RETRY_NO_BACKEND;
    }
    int64_t allowed = MAX(r->first_attempts * r->share_percent / 100,
                          (int64_t)SasRetry_MIN_RETRIES * ONE);
    return r->retries + ONE <= allowed ? SAS_RETRY_YES : SAS_RETRY_NO_BUDGET;
}

static bool
has_untried(const int *tried, int tried_count, const int *candidates,
            int candidate_count)
{
    for (int i = 0; i < candidate_count; i++) {
        if (!SasRetry_WasTried(tried, tried_count, candidates[i])) {
            return true;
        }
    }
    return false;
}
