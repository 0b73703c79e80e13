/* Selects the server for a request, or refuses it with a reason. */
#include "relay_call.h"

#include <string.h>

#include <jansson.h>

#include "sas/gateway.h"
#include "sas/log.h"

/* A server that refuses a request in spite of free execution slots may accept
 * the next one, so the caller may retry soon. */
#define SPURIOUS_REFUSAL_RETRY_MS 30
#define MAX_SPURIOUS_REFUSALS 3

/* Longest Retry-After for a server's named limit or pause: another entry VM,
 * to which the caller may come back, may send to the server before this one.
 */
#define MAX_LIMIT_RETRY_MS 1000

/* Callers that wait for the end of a pause come back spread over this part of
 * their Retry-After. */
#define PAUSE_SPREAD 0.25

/* Servers' rows that were confirmed longer ago are stale. The longest poll of
 * the store, and the way via a leader, take up to 3.3 s. */
#define STALE_ROWS_MS 3500

/* Below this load, in requests, a server counts as idle. Load reports decay
 * exponentially and never reach 0. */
#define IDLE_LOAD 0.5

/* Share of an upload route's objects that stays in the zone; 0 for other
 * routes: follows from the zone's execution slots. */
static double
get_zone_share(const struct relay_call *call, int64_t now_ms)
{
    struct sas_relay *relay = call->relay;
    if (call->route->kind != SAS_ROUTE_UPLOAD) {
        return 0;
    }
    return SasZoneShare_Update(
        &SasRelay_GetService(relay, call->service)->zone_share,
        relay->options.fleet, call->service,
        SasMesh_GetOwnZone(relay->options.mesh), now_ms);
}

static bool
prefers_zone(const struct relay_call *call)
{
    const struct route_state *state = SasRelay_GetRouteState(call);
    return call->route->kind == SAS_ROUTE_UPLOAD ||
           SasZoneShare_PrefersZone(&state->service_time, state->bytes);
}

/* The server. */

static bool
was_tried(const struct relay_call *call, int slot)
{
    /* A server that refuses requests in spite of free slots refuses only some
     * of them, and one that had dropped an idle connection accepts a new one.
     * The object may be cached there and not elsewhere. */
    if (call->retry_same_server && slot == call->server.slot &&
        call->tried_count < MAX_SPURIOUS_REFUSALS) {
        return false;
    }
    for (int i = 0; i < call->tried_count; i++) {
        if (call->tried[i] == slot) {
            return true;
        }
    }
    return false;
}

/* A server that has just started breaks down under more than a few requests/s,
 * and that looks like a crash. The entry VMs of its region share the rate that
 * it can handle; those of other regions send it nothing. */
static bool
is_too_cold(struct relay_call *call, int slot, int64_t now_ms)
{
    struct sas_relay *relay = call->relay;
    const struct sas_fleet *fleet = relay->options.fleet;
    const struct sas_fleet_server *server = SasFleet_At(fleet, slot);
    struct slot_state *state = SasRelay_GetSlot(relay, slot);
    const struct sas_fleet_service *service =
        SasFleet_GetService(fleet, server->service);
    if (MAX(server->facts.cold_until_ms, state->cold_until_ms) <= now_ms ||
        service->cold_per_s <= 0) {
        return false;
    }
    const struct sas_entry_bounds *bounds = &relay->options.settings->bounds;
    int region = SasFleet_GetServerRegion(fleet, slot);
    if (!SasMesh_IsOwnRegion(relay->options.mesh, region)) {
        return true;
    }
    struct sas_mesh_senders senders =
        SasMesh_GetSenders(relay->options.mesh, server->hash, region);
    if (!senders.has_share) {
        return true;
    }
    int share =
        SasColdLimit_GetShare(service->cold_per_s, bounds->cold_factor,
                              bounds->cold_slack, senders.count, senders.rank);
    return SasWindow_Count(&state->cold_sends, now_ms) >= share;
}

/* Acquires a retry of the service's shared budget. */
static bool
acquire_retry(struct relay_call *call, int64_t now_ms)
{
    struct sas_retry_budget *retries =
        &SasRelay_GetService(call->relay, call->service)->retries;
    const struct sas_relay_options *options = &call->relay->options;
    int vms = SasMesh_CountSharers(options->mesh,
                                   options->settings->bounds.retry_window_ms);
    double left = SasRetryBudget_GetLeft(retries, vms, now_ms);
    if (!SasRetryBudget_Acquire(retries, vms, now_ms)) {
        return false;
    }
    SasLog_WriteFields(SasLog_INFO, "retry", call->server_id,
                       "{s:s, s:f, s:i}", "request", call->request_id, "left",
                       left, "entry_vms", vms);
    return true;
}

/* Whether another attempt is allowed; returns NULL or the reason against it.
 */
static const char *
find_refusal_reason(struct relay_call *call, int64_t now_ms)
{
    if (call->deadline_at - now_ms < SasRelay_MIN_ATTEMPT_MS) {
        return "no time left";
    }
    if (call->tried_count == 0 && call->arrivals == 0) {
        return NULL;
    }
    if (call->attempts >= call->route->max_attempts ||
        call->tried_count >= SasRelay_MAX_TRIED) {
        return "no attempts left";
    }
    /* What no server can have got is no retry. */
    if (call->arrivals == 0 || call->has_retry) {
        return NULL;
    }
    call->has_retry = acquire_retry(call, now_ms);
    return call->has_retry ? NULL : "no repeats left";
}

void
SasRelay_EndUnserved(struct relay_call *call, const char *outcome,
                     int64_t retry_after_ms)
{
    if (SasRelay_DeliverFallback(call)) {
        return;
    }
    if (call->attempts > 0) {
        SasRelay_Fail(call, outcome, 502);
        return;
    }
    if (call->relayed && call->arrivals == 0 && call->unsent > 0) {
        SasRelay_RefuseElsewhere(call, outcome);
        return;
    }
    SasRelay_Refuse(call, outcome, retry_after_ms);
}

void
SasRelay_NoteServer(struct relay_call *call, int slot, int64_t now_ms)
{
    const struct sas_fleet_server *server =
        SasFleet_At(call->relay->options.fleet, slot);
    g_strlcpy(call->server_id, server->facts.id, sizeof(call->server_id));
    g_strlcpy(call->server_zone, server->facts.zone,
              sizeof(call->server_zone));
    call->load_when_sent =
        SasTraffic_EstimateLoad(call->relay->options.fleet, slot, now_ms);
    call->load_age_ms = server->traffic.reported_at > 0
                            ? now_ms - server->traffic.reported_at
                            : -1;
}

/* Suspected poison requests. */

struct sas_fingerprint
SasRelay_GetFingerprint(struct relay_call *call)
{
    if (!call->has_fingerprint) {
        size_t size = 0;
        const char *body = SasHttpExchange_GetBody(call->exchange, &size);
        call->fingerprint = SasQuarantine_HashRequest(
            SasHttpExchange_GetMethod(call->exchange),
            SasHttpExchange_GetTarget(call->exchange), body, size);
        call->has_fingerprint = true;
    }
    return call->fingerprint;
}

static enum sas_quarantine_decision
check_poison(struct relay_call *call)
{
    struct sas_poison_requests *poison_requests = call->relay->poison_requests;
    if (!SasPoisonRequests_HasAny(poison_requests)) {
        return SAS_QUARANTINE_ALLOW;
    }
    return SasPoisonRequests_Check(poison_requests,
                                   SasRelay_GetFingerprint(call));
}

/* Keeps the servers on which, as far as this entry VM knows, nothing runs. */
static int
filter_idle(struct relay_call *call, int *slots, int count, int64_t now_ms)
{
    int kept = 0;
    for (int i = 0; i < count; i++) {
        if (SasTraffic_EstimateLoad(call->relay->options.fleet, slots[i],
                                    now_ms) < IDLE_LOAD) {
            slots[kept++] = slots[i];
        }
    }
    return kept;
}

/* If its server fails a request that must not run twice, the caller gets an
 * error; a safe one is retried elsewhere. So if the owner has a grey failure,
 * an unsafe request goes to the next server with spare execution slots and no
 * recent standing queue. If there is none it stays with the owner: as an
 * uncached request it would take slots from others. Returns the number of
 * remaining servers. */
static int
avoid_grey_failure(const struct relay_call *call, int *slots, int count,
                   int64_t now_ms)
{
    const struct sas_fleet *fleet = call->relay->options.fleet;
    if (call->route->kind == SAS_ROUTE_SAFE || count == 0 ||
        !SasTraffic_IsGrey(SasFleet_At(fleet, slots[0]), now_ms)) {
        return count;
    }
    for (int i = 1; i < count; i++) {
        const struct sas_fleet_server *server = SasFleet_At(fleet, slots[i]);
        if (!SasTraffic_IsGrey(server, now_ms) &&
            now_ms >= server->traffic.short_queue_until &&
            SasTraffic_HasFreeSlots(fleet, slots[i], SasAdmission_SPARE_SLOTS,
                                    now_ms)) {
            slots[0] = slots[i];
            return 1;
        }
    }
    return count;
}

/* A cold server is known by its row, which doesn't arrive while the store is
 * unavailable. Within a second it breaks down under the load of a warm one. */
static void
update_rows_stale(struct sas_relay *relay)
{
    const struct sas_source *source = relay->options.source;
    int64_t age_ms =
        source->get_age_ms != NULL ? source->get_age_ms(source) : 0;
    bool rows_stale = age_ms > STALE_ROWS_MS;
    if (rows_stale != relay->rows_stale) {
        relay->rows_stale = rows_stale;
        SasLog_WriteFields(SasLog_INFO, "servers.doubt", "", "{s:b, s:I}",
                           "in_doubt", rows_stale, "age_ms",
                           (json_int_t)age_ms);
    }
}

/* While rows are stale, leaves out unresponsive servers; not if all are, for
 * then the cause lies elsewhere. */
static int
avoid_unresponsive(const struct relay_call *call, int *slots, int count,
                   int64_t now_ms)
{
    const struct sas_fleet *fleet = call->relay->options.fleet;
    if (!call->relay->rows_stale) {
        return count;
    }
    int kept = 0;
    int responsive[SasOwner_MAX_CANDIDATES];
    for (int i = 0; i < count; i++) {
        if (!SasTraffic_IsUnresponsive(fleet, slots[i], now_ms)) {
            responsive[kept++] = slots[i];
        }
    }
    if (kept == 0) {
        return count;
    }
    memcpy(slots, responsive, sizeof(responsive[0]) * (size_t)kept);
    return kept;
}

/* The route's latency objective, or the request's time limit if it has none.
 */
static int64_t
get_objective(const struct relay_call *call)
{
    return call->route->target_latency_ms > 0
               ? call->route->target_latency_ms
               : call->deadline_at - call->began_at;
}

/* Why no server may be sent the request, and when to come back. */
struct refusal {
    const char *reason;
    int64_t retry_after_ms;
};

/* Of a service none of whose servers is available, where some have asked for a
 * pause. */
static struct refusal
refuse_paused(const struct relay_call *call, int64_t wait_ms)
{
    wait_ms = MIN(wait_ms, MAX_LIMIT_RETRY_MS);
    double spread = PAUSE_SPREAD * g_rand_double(call->relay->options.random);
    return (struct refusal){
        .reason = "server resting",
        .retry_after_ms = wait_ms + (int64_t)((double)wait_ms * spread),
    };
}

static struct refusal
get_unavailable_refusal(const struct relay_call *call, int64_t now_ms)
{
    int64_t wait_ms = SasRelay_GetPauseLeftMs(call, now_ms);
    return wait_ms > 0
               ? refuse_paused(call, wait_ms)
               : (struct refusal){"no server", SasRelay_RETRY_AFTER_MS};
}

/* Leaves out the servers that were tried, are too cold, or have got as much as
 * they take. If one is left out for what passes, that is the refusal. */
static int
filter_usable(struct relay_call *call, int *slots, int count, int64_t now_ms,
              struct refusal *refusal)
{
    int kept = 0;
    for (int i = 0; i < count; i++) {
        if (was_tried(call, slots[i])) {
            continue;
        }
        if (is_too_cold(call, slots[i], now_ms)) {
            refusal->reason = "server cold";
            continue;
        }
        int64_t wait_ms =
            SasRelay_GetLimitWaitMs(call->relay, slots[i], now_ms);
        if (wait_ms > 0) {
            bool first = strcmp(refusal->reason, "server limited") != 0;
            wait_ms = MIN(wait_ms, MAX_LIMIT_RETRY_MS);
            refusal->reason = "server limited";
            refusal->retry_after_ms =
                first ? wait_ms : MIN(refusal->retry_after_ms, wait_ms);
            continue;
        }
        slots[kept++] = slots[i];
    }
    return kept;
}

/* Applies the operators' sheet to the request, once for all its attempts. */
static void
acquire_steering(struct relay_call *call, int64_t now_ms)
{
    const struct sas_relay_options *options = &call->relay->options;
    if (call->steering_checked || !SasSteering_IsActive(options->steering)) {
        return;
    }
    call->steering_checked = true;
    int zone = SasMesh_GetOwnZone(options->mesh);
    int home = SasFleet_GetZone(options->fleet, zone)->region;
    /* Any number on which all agree will do: it only ranks the senders. */
    struct sas_mesh_senders senders =
        SasMesh_GetSenders(options->mesh, (uint64_t)call->service, home);
    size_t size = 0;
    SasHttpExchange_GetBody(call->exchange, &size);
    struct sas_steering_query query = {
        .service = call->service,
        .home = home,
        .key = call->key,
        .bytes = (double)size,
        .vms = senders.count,
        .rank = senders.rank,
        .joining = !senders.has_share,
    };
    SasSteering_Acquire(options->steering, &query, now_ms, &call->grant);
}

static struct sas_admission_decision
decide(struct relay_call *call, const int *slots, int count, int64_t now_ms)
{
    struct sas_admission_query query = {
        .slots = slots,
        .count = count,
        .objects = call->keyed ? call->relay->objects : NULL,
        .service_time = &SasRelay_GetRouteState(call)->service_time,
        .key = call->key,
        .objective_ms =
            (double)(call->began_at + get_objective(call) - now_ms),
        .left_ms = (double)(call->deadline_at - now_ms),
        .high_priority = call->route->high_priority,
        .rows_stale = call->relay->rows_stale,
    };
    return SasAdmission_Decide(call->relay->options.fleet, &query, now_ms);
}

/* Another entry VM has sent the request, and the own path to the service is
 * lost too. */
static bool
is_unreachable_for_another(const struct relay_call *call)
{
    return call->relayed && call->arrivals == 0 &&
           SasRelay_GetService(call->relay, call->service)->path.lost;
}

void
SasRelay_Choose(struct relay_call *call)
{
    struct sas_relay *relay = call->relay;
    int64_t now_ms = SasRelay_Now(relay);
    const char *forbidden = find_refusal_reason(call, now_ms);
    if (forbidden != NULL) {
        SasRelay_EndUnserved(call, forbidden,
                             call->retry_same_server
                                 ? SPURIOUS_REFUSAL_RETRY_MS
                                 : SasRelay_RETRY_AFTER_MS);
        return;
    }
    enum sas_quarantine_decision quarantine = check_poison(call);
    if (quarantine == SAS_QUARANTINE_REFUSE) {
        SasRelay_EndUnserved(call, "quarantined", SasRelay_RETRY_AFTER_MS);
        return;
    }
    if (SasRelay_ShouldSendVia(call, now_ms) && SasRelay_SendVia(call)) {
        return;
    }
    if (is_unreachable_for_another(call)) {
        SasRelay_RefuseElsewhere(call, "no path");
        return;
    }
    acquire_steering(call, now_ms);
    update_rows_stale(relay);
    struct sas_fleet *fleet = relay->options.fleet;
    struct sas_owner_query query = {
        .service = call->service,
        .zone = SasMesh_GetOwnZone(relay->options.mesh),
        .prefer_zone = prefers_zone(call),
        .zone_share = get_zone_share(call, now_ms),
        .key = call->key,
        .allowed_regions = call->route->allowed_regions,
        .steered = call->grant.steered,
        .steered_region = call->grant.to,
    };
    int slots[SasOwner_MAX_CANDIDATES];
    int count =
        SasOwner_Rank(fleet, &query, now_ms, slots, SasOwner_MAX_CANDIDATES);
    struct refusal unusable = {"no server", SasRelay_RETRY_AFTER_MS};
    if (count == 0) {
        unusable = get_unavailable_refusal(call, now_ms);
    }
    count = filter_usable(call, slots, count, now_ms, &unusable);
    count = avoid_unresponsive(call, slots, count, now_ms);
    count = avoid_grey_failure(call, slots, count, now_ms);
    call->isolated = quarantine == SAS_QUARANTINE_ISOLATE;
    if (call->isolated) {
        count = filter_idle(call, slots, count, now_ms);
        unusable.reason = "suspect";
    }
    struct sas_admission_decision decision =
        decide(call, slots, count, now_ms);
    call->wait_ms = decision.wait_ms;
    if (decision.slot != SasModel_NONE) {
        call->cached = decision.cached;
        call->work_ms = decision.service_ms;
        if (call->keyed && !call->cached) {
            SasCachedObjects_NoteLoading(
                relay->objects, call->service, call->key,
                SasFleet_GetRef(fleet, decision.slot), now_ms);
        }
        SasRelay_Send(call, decision.slot);
        return;
    }
    if (count > 0) {
        SasRelay_NoteServer(call, slots[0], now_ms);
        SasRelay_EndUnserved(call, "owner full", decision.retry_after_ms);
        return;
    }
    if (SasRelay_SendLastVia(call)) {
        return;
    }
    SasRelay_EndUnserved(call, unusable.reason, unusable.retry_after_ms);
}
