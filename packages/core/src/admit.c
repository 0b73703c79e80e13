#include "sas/admit.h"

#include "sas/traffic.h"

#define MIN_RETRY_MS 50
#define MAX_RETRY_MS 1000

struct option {
    int slot;
    bool known;
    bool learning; /* a request that makes the object known is there */
    double wait_ms;
    double work_ms;
    double allowed_ms; /* how long it may wait there */
};

/* How long it may wait and still end before its limit. A new route of a busy
 * service may have an objective far beyond its work; judged by that all its
 * requests would be refused while those of older routes are served, and no
 * answer would ever show better. Until one has, the service's pace bounds it.
 */
static double
get_latest_start(const struct sas_fleet *fleet,
                 const struct sas_admit_query *query, int service,
                 double work_ms)
{
    if (!SasPace_IsLearned(query->pace)) {
        work_ms = MIN(work_ms, SasTraffic_GetPaceMs(fleet, service));
    }
    return SasAdmit_SAFETY * query->left_ms - work_ms;
}

/* How long a request may wait where its work takes work_ms. */
static double
get_allowed_wait(const struct sas_fleet *fleet,
                 const struct sas_admit_query *query,
                 const struct sas_fleet_server *server, double work_ms,
                 int64_t now_ms)
{
    double least = SasAdmit_LEAST_WAIT * SasPace_Get(query->pace, true);
    double allowed = MAX(query->goal_ms - work_ms, least);
    if (query->in_doubt || now_ms < server->traffic.brief_until) {
        allowed *= query->urgent ? SasAdmit_BRIEF_URGENT : SasAdmit_BRIEF;
    }
    return MIN(allowed,
               get_latest_start(fleet, query, server->service, work_ms));
}

/* Whether a request from here that makes the object known is at the server. */
static bool
is_learning(const struct sas_fleet *fleet, const struct sas_admit_query *query,
            int slot, int64_t now_ms)
{
    if (query->objects == NULL) {
        return false;
    }
    int64_t sent_at =
        SasObjects_GetSentAt(query->objects, SasFleet_At(fleet, slot)->service,
                             query->key, SasFleet_GetRef(fleet, slot));
    double limit_ms = SasAdmit_LEARNING * SasPace_Get(query->pace, false);
    return sent_at > 0 && (double)(now_ms - sent_at) < limit_ms;
}

/* Only the owner may know what nobody here has seen it answer for. */
static double
get_work(const struct sas_admit_query *query, int slot, bool known)
{
    return !known && slot == query->slots[0] ? SasPace_GetUnseen(query->pace)
                                             : SasPace_Get(query->pace, known);
}

static struct option
weigh(const struct sas_fleet *fleet, const struct sas_admit_query *query,
      int slot, int64_t now_ms)
{
    const struct sas_fleet_server *server = SasFleet_At(fleet, slot);
    struct option option = {.slot = slot};
    option.known =
        query->objects != NULL &&
        SasObjects_IsKnown(query->objects, server->service, query->key,
                           SasFleet_GetRef(fleet, slot));
    option.learning = is_learning(fleet, query, slot, now_ms);
    option.wait_ms = SasTraffic_EstimateWaitMs(fleet, slot, now_ms);
    option.work_ms = get_work(query, slot, option.known);
    option.allowed_ms =
        get_allowed_wait(fleet, query, server, option.work_ms, now_ms);
    return option;
}

static bool
fits(const struct option *option)
{
    return option->wait_ms <= 0 || option->wait_ms <= option->allowed_ms;
}

static double
get_end(const struct option *option)
{
    return option->wait_ms + option->work_ms;
}

/* The object's servers: the owner and those that know it. */
static bool
is_own(const struct option *option, int place)
{
    return place == 0 || option->known;
}

/* Of the owner and those that know the object the one that ends it soonest. */
static const struct option *
find_soonest(const struct option *options, int count)
{
    const struct option *best = NULL;
    for (int i = 0; i < count; i++) {
        if (is_own(&options[i], i) && fits(&options[i]) &&
            (best == NULL || get_end(&options[i]) < get_end(best))) {
            best = &options[i];
        }
    }
    return best;
}

/* An owner with slots to spare that nobody is making acquainted with the
 * object gets the request, also where another server would end it sooner: it
 * is new, or back, and would stay idle while others have all of its objects.
 */
static const struct option *
find_new_owner(const struct sas_fleet *fleet, const struct option *options,
               int64_t now_ms)
{
    bool wanted = !options[0].known && !options[0].learning;
    return wanted && SasTraffic_HasRoom(fleet, options[0].slot,
                                        SasAdmit_SPARE_SLOTS, now_ms)
               ? &options[0]
               : NULL;
}

/* The first to which the object is new and that has slots to spare. */
static const struct option *
find_spare(const struct sas_fleet *fleet, const struct option *options,
           int count, int64_t now_ms)
{
    for (int i = 1; i < count; i++) {
        if (!options[i].known && !options[i].learning && fits(&options[i]) &&
            SasTraffic_HasRoom(fleet, options[i].slot, SasAdmit_SPARE_SLOTS,
                               now_ms)) {
            return &options[i];
        }
    }
    return NULL;
}

/* Until the first of them has worked off what stands in the way. */
static int64_t
get_retry_after(const struct option *options, int count)
{
    double soonest = MAX_RETRY_MS;
    for (int i = 0; i < count; i++) {
        if (is_own(&options[i], i)) {
            soonest = MIN(soonest,
                          options[i].wait_ms - MAX(options[i].allowed_ms, 0));
        }
    }
    return (int64_t)CLAMP(soonest, MIN_RETRY_MS, MAX_RETRY_MS);
}

struct sas_admit_verdict
SasAdmit_Judge(const struct sas_fleet *fleet,
               const struct sas_admit_query *query, int64_t now_ms)
{
    struct sas_admit_verdict verdict = {.slot = SasModel_NONE};
    struct option options[SasAdmit_MAX_OWNERS] = {0};
    int count = MIN(query->count, SasAdmit_MAX_OWNERS);
    if (count < 1) {
        return verdict;
    }
    for (int i = 0; i < count; i++) {
        options[i] = weigh(fleet, query, query->slots[i], now_ms);
    }
    const struct option *best = find_new_owner(fleet, options, now_ms);
    if (best == NULL) {
        best = find_soonest(options, count);
    }
    if (best == NULL) {
        best = find_spare(fleet, options, count, now_ms);
    }
    verdict.wait_ms = options[0].wait_ms;
    if (best == NULL) {
        verdict.retry_after_ms = get_retry_after(options, count);
        return verdict;
    }
    verdict.slot = best->slot;
    verdict.known = best->known;
    verdict.wait_ms = best->wait_ms;
    verdict.work_ms = best->work_ms;
    return verdict;
}
