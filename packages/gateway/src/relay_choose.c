/* Which server a request is sent to, or why to none. */
#include "relay_call.h"

#include <string.h>

#include <jansson.h>

#include "sas/gateway.h"
#include "sas/log.h"

/* A refusal by a server with free slots says nothing of the next try; the
 * caller may come back at once. */
#define EARLY_SHED_RETRY_MS 30
#define MAX_EARLY_SHEDS 3

/* Servers' rows that were confirmed longer ago may be wrong. The store's
 * longest wait for a change, and the way by a leader, take up to 3.3 s. */
#define DOUBT_MS 3500

/* Half a request: what is left of a report when it has faded. */
#define IDLE_LOAD 0.5

/* The part of a route's objects that stays at home; 0: by its slots. */
static double
get_keep(const struct relay_call *call, int64_t now_ms)
{
    struct sas_relay *relay = call->relay;
    if (call->route->kind != SAS_ROUTE_UPLOAD) {
        return 0;
    }
    return SasKeep_Update(&SasRelay_GetService(relay, call->service)->keep,
                          relay->options.fleet, call->service,
                          SasMesh_GetOwnZone(relay->options.mesh), now_ms);
}

static bool
is_near(const struct relay_call *call)
{
    const struct route_state *state = SasRelay_GetRouteState(call);
    return call->route->kind == SAS_ROUTE_UPLOAD ||
           SasKeep_IsNear(&state->pace, state->bytes);
}

/* The server. */

static bool
was_tried(const struct relay_call *call, int slot)
{
    /* A server that refuses requests though it has free slots refuses some
     * of them, not all; one that had forgotten a connection takes a new one.
     * It knows the object and another one doesn't. */
    if (call->same_again && slot == call->server.slot &&
        call->tried_count < MAX_EARLY_SHEDS) {
        return false;
    }
    for (int i = 0; i < call->tried_count; i++) {
        if (call->tried[i] == slot) {
            return true;
        }
    }
    return false;
}

/* A server that has just started breaks down under more than a few requests a
 * second, and its failure looks like a crash. Its own region's entry VMs
 * share what it bears; the others leave it alone. */
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
    if (!senders.joined) {
        return true;
    }
    int share =
        SasCold_GetShare(service->cold_per_s, bounds->cold_factor,
                         bounds->cold_slack, senders.count, senders.rank);
    return SasWindow_Count(&state->cold_sends, now_ms) >= share;
}

/* Whether the request may go on to another server at all. */
static const char *
find_obstacle(struct relay_call *call, int64_t now_ms)
{
    if (call->deadline_at - now_ms < SasRelay_MIN_LEFT_MS) {
        return "no time left";
    }
    if (call->tried_count == 0) {
        return NULL;
    }
    if (call->attempts >= call->route->max_attempts ||
        call->tried_count >= SasRelay_MAX_TRIED) {
        return "no attempts left";
    }
    struct service_state *service =
        SasRelay_GetService(call->relay, call->service);
    if (!SasRepeat_Take(&service->repeats,
                        SasMesh_Count(call->relay->options.mesh), now_ms)) {
        return "no repeats left";
    }
    return NULL;
}

static void
give_up(struct relay_call *call, const char *outcome, int64_t retry_after_ms)
{
    if (SasRelay_DeliverKept(call)) {
        return;
    }
    if (call->attempts > 0) {
        SasRelay_Fail(call, outcome, 502);
        return;
    }
    SasRelay_Refuse(call, outcome, retry_after_ms);
}

/* Which server a decision is about, and the load that it rests on. */
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

/* Requests that crash servers. */

struct sas_fingerprint
SasRelay_GetFingerprint(struct relay_call *call)
{
    if (!call->named) {
        size_t size = 0;
        const char *body = SasHttpExchange_GetBody(call->exchange, &size);
        call->fingerprint = SasQuarantine_GetFingerprint(
            SasHttpExchange_GetMethod(call->exchange),
            SasHttpExchange_GetTarget(call->exchange), body, size);
        call->named = true;
    }
    return call->fingerprint;
}

static enum sas_quarantine_verdict
judge_suspect(struct relay_call *call)
{
    struct sas_suspects *suspects = call->relay->suspects;
    if (!SasSuspects_Any(suspects)) {
        return SAS_QUARANTINE_ALLOW;
    }
    return SasSuspects_Check(suspects, SasRelay_GetFingerprint(call));
}

/* Servers on which nothing else runs, as far as this entry VM knows. */
static int
keep_idle(struct relay_call *call, int *slots, int count, int64_t now_ms)
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

/* What may not repeat is lost to its caller when its server fails it, while a
 * look-up goes on to the next one. So it leaves an owner that fails part of
 * its requests for the next server with a free slot and no queue lately;
 * where there is none the owner is still better than cold requests that take
 * slots from others. How many servers are left to choose from. */
static int
avoid_grey(const struct relay_call *call, int *slots, int count,
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
            now_ms >= server->traffic.brief_until &&
            SasTraffic_HasRoom(fleet, slots[i], SasAdmit_SPARE_SLOTS,
                               now_ms)) {
            slots[0] = slots[i];
            return 1;
        }
    }
    return count;
}

/* A server that turns cold says so by its row, which can't come while the
 * store is away. It breaks down under what a warm one gets in the second that
 * follows. */
static void
update_doubt(struct sas_relay *relay)
{
    const struct sas_source *source = relay->options.source;
    int64_t age_ms =
        source->get_age_ms != NULL ? source->get_age_ms(source) : 0;
    bool in_doubt = age_ms > DOUBT_MS;
    if (in_doubt != relay->in_doubt) {
        relay->in_doubt = in_doubt;
        SasLog_WriteFields(SasLog_INFO, "servers.doubt", "", "{s:b, s:I}",
                           "in_doubt", in_doubt, "age_ms", (json_int_t)age_ms);
    }
}

/* In doubt, leaves out the servers that have fallen silent, unless all have:
 * then the cause is not theirs. */
static int
avoid_silent(const struct relay_call *call, int *slots, int count,
             int64_t now_ms)
{
    const struct sas_fleet *fleet = call->relay->options.fleet;
    if (!call->relay->in_doubt) {
        return count;
    }
    int kept = 0;
    int heard[SasOwner_MAX_CANDIDATES];
    for (int i = 0; i < count; i++) {
        if (!SasTraffic_IsSilent(fleet, slots[i], now_ms)) {
            heard[kept++] = slots[i];
        }
    }
    if (kept == 0) {
        return count;
    }
    memcpy(slots, heard, sizeof(heard[0]) * (size_t)kept);
    return kept;
}

/* Where a route states no objective, its requests are in time within their
 * limit. */
static int64_t
get_goal(const struct relay_call *call)
{
    return call->route->target_latency_ms > 0
               ? call->route->target_latency_ms
               : call->deadline_at - call->began_at;
}

/* Leaves out the servers that were tried and that are too cold; reason says
 * why the last of them was left out. */
static int
keep_usable(struct relay_call *call, int *slots, int count, int64_t now_ms,
            const char **reason)
{
    int kept = 0;
    for (int i = 0; i < count; i++) {
        if (was_tried(call, slots[i])) {
            continue;
        }
        if (is_too_cold(call, slots[i], now_ms)) {
            *reason = "server cold";
            continue;
        }
        slots[kept++] = slots[i];
    }
    return kept;
}

/* Where the operators' sheet sends the request, once for all its attempts. */
static void
take_orders(struct relay_call *call, int64_t now_ms)
{
    const struct sas_relay_options *options = &call->relay->options;
    if (call->steering_asked || !SasSteering_IsActive(options->steering)) {
        return;
    }
    call->steering_asked = true;
    int zone = SasMesh_GetOwnZone(options->mesh);
    int home = SasFleet_GetZone(options->fleet, zone)->region;
    /* Any number that all agree on: it only orders the sharers. */
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
        .newcomer = !senders.joined,
    };
    SasSteering_Take(options->steering, &query, now_ms, &call->grant);
}

static struct sas_admit_verdict
judge(struct relay_call *call, const int *slots, int count, int64_t now_ms)
{
    struct sas_admit_query query = {
        .slots = slots,
        .count = count,
        .objects = call->keyed ? call->relay->objects : NULL,
        .pace = &SasRelay_GetRouteState(call)->pace,
        .key = call->key,
        .goal_ms = (double)(call->began_at + get_goal(call) - now_ms),
        .left_ms = (double)(call->deadline_at - now_ms),
        .urgent = call->route->urgent,
        .in_doubt = call->relay->in_doubt,
    };
    return SasAdmit_Judge(call->relay->options.fleet, &query, now_ms);
}

/* Sends the request to the best server that is left, or ends it. */
void
SasRelay_Choose(struct relay_call *call)
{
    struct sas_relay *relay = call->relay;
    int64_t now_ms = SasRelay_Now(relay);
    const char *obstacle = find_obstacle(call, now_ms);
    if (obstacle != NULL) {
        give_up(call, obstacle,
                call->same_again ? EARLY_SHED_RETRY_MS
                                 : SasRelay_RETRY_AFTER_MS);
        return;
    }
    enum sas_quarantine_verdict suspicion = judge_suspect(call);
    if (suspicion == SAS_QUARANTINE_REFUSE) {
        give_up(call, "quarantined", SasRelay_RETRY_AFTER_MS);
        return;
    }
    take_orders(call, now_ms);
    update_doubt(relay);
    struct sas_fleet *fleet = relay->options.fleet;
    struct sas_owner_query query = {
        .service = call->service,
        .zone = SasMesh_GetOwnZone(relay->options.mesh),
        .near = is_near(call),
        .keep = get_keep(call, now_ms),
        .key = call->key,
        .homes = call->route->homes,
        .ordered = call->grant.steered,
        .to_region = call->grant.to,
    };
    int slots[SasOwner_MAX_CANDIDATES];
    int count =
        SasOwner_Rank(fleet, &query, now_ms, slots, SasOwner_MAX_CANDIDATES);
    const char *reason = "no server";
    count = keep_usable(call, slots, count, now_ms, &reason);
    count = avoid_silent(call, slots, count, now_ms);
    count = avoid_grey(call, slots, count, now_ms);
    call->alone = suspicion == SAS_QUARANTINE_ALONE;
    if (call->alone) {
        count = keep_idle(call, slots, count, now_ms);
        reason = "suspect";
    }
    struct sas_admit_verdict verdict = judge(call, slots, count, now_ms);
    call->wait_ms = verdict.wait_ms;
    if (verdict.slot != SasModel_NONE) {
        call->known = verdict.known;
        call->work_ms = verdict.work_ms;
        if (call->keyed && !call->known) {
            SasObjects_NoteSent(relay->objects, call->service, call->key,
                                SasFleet_GetRef(fleet, verdict.slot), now_ms);
        }
        SasRelay_Send(call, verdict.slot);
        return;
    }
    if (count > 0) {
        SasRelay_NoteServer(call, slots[0], now_ms);
        reason = "owner full";
    }
    give_up(call, reason,
            count > 0 ? verdict.retry_after_ms : SasRelay_RETRY_AFTER_MS);
}
