#include "sas/admission.h"

#include "sas/traffic.h"

/* Bounds of retry_after_ms. */
#define MIN_RETRY_MS 50
#define MAX_RETRY_MS 1000

struct candidate {
    int slot;
    bool cached;
    bool warming; /* a request that caches the object is in flight */
    double wait_ms;
    double service_ms;
    double allowed_ms; /* longest wait */
};

/* The longest wait that still meets the deadline. Before the first answers a
 * route's service time derives from its objective, which may be far too long.
 * All its requests would be refused while the service is busy, and no answer
 * would ever correct it. So the service's service time bounds it until then.
 */
static double
get_deadline_wait(const struct sas_fleet *fleet,
                  const struct sas_admission_query *query, int service,
                  double service_ms)
{
    if (!SasServiceTime_IsLearned(query->service_time)) {
        service_ms =
            MIN(service_ms, SasTraffic_GetServiceTimeMs(fleet, service));
    }
    return SasAdmission_DEADLINE_SHARE * query->left_ms - service_ms;
}

/* The longest allowed wait for a request with this service time. */
static double
get_allowed_wait(const struct sas_fleet *fleet,
                 const struct sas_admission_query *query,
                 const struct sas_fleet_server *server, double service_ms,
                 int64_t now_ms)
{
    double least =
        SasAdmission_MIN_WAIT * SasServiceTime_Get(query->service_time, true);
    double allowed = MAX(query->objective_ms - service_ms, least);
    if (query->rows_stale || now_ms < server->traffic.short_queue_until) {
        allowed *= query->high_priority
                       ? SasAdmission_SHORT_QUEUE_HIGH_PRIORITY
                       : SasAdmission_SHORT_QUEUE;
    }
    return MIN(allowed,
               get_deadline_wait(fleet, query, server->service, service_ms));
}

/* Whether a request of this entry VM that caches the object is in flight. */
static bool
is_warming(const struct sas_fleet *fleet,
           const struct sas_admission_query *query, int slot, int64_t now_ms)
{
    if (query->objects == NULL) {
        return false;
    }
    int64_t sent_at = SasCachedObjects_GetLoadingSince(
        query->objects, SasFleet_At(fleet, slot)->service, query->key,
        SasFleet_GetRef(fleet, slot));
    double limit_ms =
        SasAdmission_WARMUP * SasServiceTime_Get(query->service_time, false);
    return sent_at > 0 && (double)(now_ms - sent_at) < limit_ms;
}

/* Only the owner is expected to have objects cached by other entry VMs'
 * requests. */
static double
get_service_ms(const struct sas_admission_query *query, int slot, bool cached)
{
    return !cached && slot == query->slots[0]
               ? SasServiceTime_GetUnseen(query->service_time)
               : SasServiceTime_Get(query->service_time, cached);
}

static struct candidate
evaluate(const struct sas_fleet *fleet,
         const struct sas_admission_query *query, int slot, int64_t now_ms)
{
    const struct sas_fleet_server *server = SasFleet_At(fleet, slot);
    struct candidate candidate = {.slot = slot};
    candidate.cached =
        query->objects != NULL &&
        SasCachedObjects_IsCached(query->objects, server->service, query->key,
                                  SasFleet_GetRef(fleet, slot));
    candidate.warming = is_warming(fleet, query, slot, now_ms);
    candidate.wait_ms = SasTraffic_EstimateWaitMs(fleet, slot, now_ms);
    candidate.service_ms = get_service_ms(query, slot, candidate.cached);
    candidate.allowed_ms =
        get_allowed_wait(fleet, query, server, candidate.service_ms, now_ms);
    return candidate;
}

static bool
is_in_time(const struct candidate *candidate)
{
    return candidate->wait_ms <= 0 ||
           candidate->wait_ms <= candidate->allowed_ms;
}

static double
get_completion_ms(const struct candidate *candidate)
{
    return candidate->wait_ms + candidate->service_ms;
}

static bool
is_owner_or_cached(const struct candidate *candidate, int rank)
{
    return rank == 0 || candidate->cached;
}

/* Among the owner and the servers with the object cached, the one that
 * completes the request first. */
static const struct candidate *
find_fastest(const struct candidate *candidates, int count)
{
    const struct candidate *best = NULL;
    for (int i = 0; i < count; i++) {
        const struct candidate *candidate = &candidates[i];
        if (is_owner_or_cached(candidate, i) && is_in_time(candidate) &&
            (best == NULL ||
             get_completion_ms(candidate) < get_completion_ms(best))) {
            best = candidate;
        }
    }
    return best;
}

/* The owner, if it neither has the object cached nor is about to and has spare
 * slots. It gets the request although another server may complete it sooner:
 * a server that has just joined or recovered would otherwise stay idle while
 * others handle its objects. */
static const struct candidate *
find_uncached_owner(const struct sas_fleet *fleet,
                    const struct candidate *candidates, int64_t now_ms)
{
    bool uncached = !candidates[0].cached && !candidates[0].warming;
    return uncached &&
                   SasTraffic_HasFreeSlots(fleet, candidates[0].slot,
                                           SasAdmission_SPARE_SLOTS, now_ms)
               ? &candidates[0]
               : NULL;
}

/* The first server with spare slots that doesn't have the object cached. */
static const struct candidate *
find_spare(const struct sas_fleet *fleet, const struct candidate *candidates,
           int count, int64_t now_ms)
{
    for (int i = 1; i < count; i++) {
        const struct candidate *candidate = &candidates[i];
        if (!candidate->cached && !candidate->warming &&
            is_in_time(candidate) &&
            SasTraffic_HasFreeSlots(fleet, candidate->slot,
                                    SasAdmission_SPARE_SLOTS, now_ms)) {
            return candidate;
        }
    }
    return NULL;
}

/* Time until the first of the object's servers has worked off enough of its
 * backlog. */
static int64_t
get_retry_after(const struct candidate *candidates, int count)
{
    double soonest = MAX_RETRY_MS;
    for (int i = 0; i < count; i++) {
        const struct candidate *candidate = &candidates[i];
        if (is_owner_or_cached(candidate, i)) {
            soonest = MIN(soonest,
                          candidate->wait_ms - MAX(candidate->allowed_ms, 0));
        }
    }
    return (int64_t)CLAMP(soonest, MIN_RETRY_MS, MAX_RETRY_MS);
}

struct sas_admission_decision
SasAdmission_Decide(const struct sas_fleet *fleet,
                    const struct sas_admission_query *query, int64_t now_ms)
{
    struct sas_admission_decision decision = {.slot = SasModel_NONE};
    struct candidate candidates[SasAdmission_MAX_OWNERS] = {0};
    int count = MIN(query->count, SasAdmission_MAX_OWNERS);
    if (count < 1) {
        return decision;
    }
    for (int i = 0; i < count; i++) {
        candidates[i] = evaluate(fleet, query, query->slots[i], now_ms);
    }
    const struct candidate *best =
        find_uncached_owner(fleet, candidates, now_ms);
    if (best == NULL) {
        best = find_fastest(candidates, count);
    }
    if (best == NULL) {
        best = find_spare(fleet, candidates, count, now_ms);
    }
    decision.wait_ms = candidates[0].wait_ms;
    if (best == NULL) {
        decision.retry_after_ms = get_retry_after(candidates, count);
        return decision;
    }
    decision.slot = best->slot;
    decision.cached = best->cached;
    decision.wait_ms = best->wait_ms;
    decision.service_ms = best->service_ms;
    return decision;
}
