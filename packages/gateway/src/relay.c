/* Decisions on a request: its route, its service, its server, its end. */
#include "relay_call.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "sas/log.h"

/* A refusal by a server with free slots says nothing of the next try; the
 * caller may come back at once. */
#define EARLY_SHED_RETRY_MS 30
#define MAX_EARLY_SHEDS 3

/* Routes whose requests and answers are larger on average keep to the caller's
 * failure domain: an owner in each zone of a region makes every object new
 * once more, and spares half of the bytes between zones. */
#define NEAR_BYTES 3000.0
#define BYTES_SMOOTHING 0.05

/* What a caller is told where nothing is known of when it will be better. */
#define RETRY_AFTER_MS 200

/* Slots that stay free at a server that is given another one's objects: they
 * are new to it and take three times as long. */
#define SPARE_SLOTS 1

/* Half a request: what is left of a report when it has faded. */
#define IDLE_LOAD 0.5

static void on_request(struct sas_http_handler *handler,
                       struct sas_http_exchange *exchange);
static void note_bytes(struct relay_call *call, size_t answer_size);
static void on_abandoned(struct sas_http_handler *handler,
                         struct sas_http_exchange *exchange);

struct sas_relay *
SasRelay_New(const struct sas_relay_options *options)
{
    struct sas_relay *relay = g_new0(struct sas_relay, 1);
    relay->options = *options;
    relay->handler.on_request = on_request;
    relay->handler.on_abandoned = on_abandoned;
    relay->suspects =
        SasSuspects_New(options->loop, options->fleet, options->pool,
                        options->mesh, options->metrics);
    SasRelay_Listen(relay);
    relay->services = g_ptr_array_new_with_free_func(g_free);
    relay->slots = g_ptr_array_new_with_free_func(g_free);
    relay->routes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return relay;
}

void
SasRelay_Free(struct sas_relay *relay)
{
    SasSuspects_Free(relay->suspects);
    g_ptr_array_free(relay->services, TRUE);
    g_ptr_array_free(relay->slots, TRUE);
    g_hash_table_destroy(relay->routes);
    g_free(relay);
}

struct sas_http_handler *
SasRelay_GetHandler(struct sas_relay *relay)
{
    return &relay->handler;
}

void
SasRelay_Stop(struct sas_relay *relay)
{
    relay->stopping = true;
}

int64_t
SasRelay_Now(const struct sas_relay *relay)
{
    return (int64_t)uv_now(relay->options.loop);
}

struct service_state *
SasRelay_GetService(struct sas_relay *relay, int service)
{
    const struct sas_entry_bounds *bounds = &relay->options.settings->bounds;
    while ((int)relay->services->len <= service) {
        struct service_state *state = g_new0(struct service_state, 1);
        SasRepeat_Init(&state->repeats, bounds->retry_share,
                       bounds->retry_burst, bounds->retry_window_ms);
        g_ptr_array_add(relay->services, state);
    }
    return relay->services->pdata[service];
}

struct slot_state *
SasRelay_GetSlot(struct sas_relay *relay, int slot)
{
    while ((int)relay->slots->len <= slot) {
        g_ptr_array_add(relay->slots, g_new0(struct slot_state, 1));
    }
    struct slot_state *state = relay->slots->pdata[slot];
    uint32_t generation =
        SasFleet_GetRef(relay->options.fleet, slot).generation;
    if (state->generation != generation || state->cold_sends.bucket_ms == 0) {
        memset(state, 0, sizeof(*state));
        state->generation = generation;
        SasWindow_Init(&state->cold_sends, 1000);
        SasGrey_Init(&state->grey);
    }
    return state;
}

/* Ends of a request. */

static void
free_call(struct relay_call *call)
{
    SasSteering_End(call->relay->options.steering, &call->grant,
                    (double)call->answer_body->len, SasRelay_Now(call->relay));
    SasFleetConfig_Unref(call->config);
    g_ptr_array_free(call->answer_headers, TRUE);
    g_string_free(call->answer_body, TRUE);
    if (call->kept.status != 0) {
        g_ptr_array_free(call->kept.headers, TRUE);
        g_string_free(call->kept.body, TRUE);
    }
    g_free(call);
}

static void
log_end(const struct relay_call *call, const char *outcome, int status)
{
    const struct sas_relay *relay = call->relay;
    if (!SasLog_IsEnabled(SasLog_INFO)) {
        return;
    }
    int64_t now_ms = SasRelay_Now(relay);
    bool routed = call->route != NULL;
    const char *object = SasHttpExchange_FindHeader(
        call->exchange, relay->options.wire->object_key);
    object = object != NULL ? object : "";
    SasLog_WriteFields(
        SasLog_INFO, SasLog_REQUEST, call->server_id,
        "{s:s, s:s, s:i, s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:f, s:I, s:I, "
        "s:I}",
        "request", call->request_id, "outcome", outcome, "status", status,
        "object", object, "route", routed ? call->route->name : "", "service",
        routed ? SasFleet_GetService(relay->options.fleet, call->service)->name
               : "",
        "server_zone", call->server_zone, "tried", call->tried_count,
        "took_ms", (int)(now_ms - call->began_at), "left_ms",
        routed ? (int)(call->deadline_at - now_ms) : 0, "server_load",
        call->load_when_sent, "load_age_ms", (json_int_t)call->load_age_ms,
        "config",
        (json_int_t)(call->config != NULL ? call->config->version : 0),
        "config_age_ms",
        (json_int_t)(call->config != NULL ? now_ms - call->config->applied_at
                                          : 0));
}

static void
count_outcome(const struct relay_call *call, const char *outcome)
{
    const struct sas_relay *relay = call->relay;
    struct sas_metrics *metrics = relay->options.metrics;
    int counter =
        SasMetrics_Register(metrics, "sas_requests_total", "outcome", outcome,
                            "Requests of callers by how they ended");
    SasMetrics_Add(metrics, counter, 1);
    if (call->route == NULL) {
        return;
    }
    int histogram = SasMetrics_RegisterHistogram(
        metrics, "sas_request_duration_ms", "service",
        SasFleet_GetService(relay->options.fleet, call->service)->name,
        "From a request's first byte to its answer, milliseconds");
    SasMetrics_Observe(metrics, histogram,
                       (double)(SasRelay_Now(relay) - call->began_at));
}

void
SasRelay_Finish(struct relay_call *call, const char *outcome,
                const struct sas_http_reply *reply)
{
    log_end(call, outcome, reply->status);
    if (reply->status == 200 && call->route != NULL) {
        note_bytes(call, reply->body_size);
    }
    count_outcome(call, outcome);
    SasHttpExchange_Reply(call->exchange, reply);
    free_call(call);
}

void
SasRelay_Refuse(struct relay_call *call, const char *outcome,
                int64_t retry_after_ms)
{
    char seconds[32];
    snprintf(seconds, sizeof(seconds), "%.3f",
             (double)retry_after_ms / 1000.0);
    struct sas_http_header header = {"Retry-After", seconds};
    struct sas_http_reply reply = {
        .status = 503,
        .headers = &header,
        .header_count = 1,
        .body = "",
    };
    SasRelay_Finish(call, outcome, &reply);
}

void
SasRelay_Fail(struct relay_call *call, const char *outcome, int status)
{
    struct sas_http_reply reply = {.status = status, .body = ""};
    SasRelay_Finish(call, outcome, &reply);
}

/* Routes. */

static struct route_state *
get_route_state(const struct relay_call *call)
{
    GHashTable *routes = call->relay->routes;
    struct route_state *state = g_hash_table_lookup(routes, call->route->name);
    if (state == NULL) {
        state = g_new0(struct route_state, 1);
        g_hash_table_insert(routes, g_strdup(call->route->name), state);
    }
    return state;
}

/* What a request and its answer carry, to tell routes with large bodies. */
static void
note_bytes(struct relay_call *call, size_t answer_size)
{
    struct route_state *state = get_route_state(call);
    size_t request_size = 0;
    SasHttpExchange_GetBody(call->exchange, &request_size);
    double bytes = (double)(request_size + answer_size);
    if (state->bytes <= 0) {
        state->bytes = bytes;
    }
    state->bytes += BYTES_SMOOTHING * (bytes - state->bytes);
}

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
    return call->route->kind == SAS_ROUTE_UPLOAD ||
           get_route_state(call)->bytes >= NEAR_BYTES;
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
    call->load_when_sent = SasTraffic_EstimateLoad(server, now_ms);
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
        const struct sas_fleet_server *server =
            SasFleet_At(call->relay->options.fleet, slots[i]);
        if (SasTraffic_EstimateLoad(server, now_ms) < IDLE_LOAD) {
            slots[kept++] = slots[i];
        }
    }
    return kept;
}

/* What may not repeat is lost to its caller when its server fails it, while a
 * look-up goes on to the next one. So it leaves an owner that fails part of
 * its requests for the next server with a free slot and no queue lately;
 * where there is none the owner is still better than cold requests that take
 * slots from others. Filings lost on four days of ordinary load: 362 before,
 * 225 so, with the same worth. */
static void
avoid_grey(const struct relay_call *call, int *slots, int count,
           int64_t now_ms)
{
    const struct sas_fleet *fleet = call->relay->options.fleet;
    if (call->route->kind == SAS_ROUTE_SAFE || count == 0 ||
        !SasTraffic_IsGrey(SasFleet_At(fleet, slots[0]), now_ms)) {
        return;
    }
    for (int i = 1; i < count; i++) {
        const struct sas_fleet_server *server = SasFleet_At(fleet, slots[i]);
        if (!SasTraffic_IsGrey(server, now_ms) &&
            now_ms >= server->traffic.brief_until &&
            SasTraffic_HasRoom(server, -SPARE_SLOTS, now_ms)) {
            slots[0] = slots[i];
            return;
        }
    }
}

/* Leaves out the servers that were tried, that have just fallen silent and
 * that are too cold; reason says why the last of them was left out. */
static int
keep_usable(struct relay_call *call, int *slots, int count, int64_t now_ms,
            const char **reason)
{
    struct sas_relay *relay = call->relay;
    int kept = 0;
    for (int i = 0; i < count; i++) {
        if (was_tried(call, slots[i])) {
            continue;
        }
        enum sas_traffic_change change =
            SasTraffic_CheckSilence(relay->options.fleet, slots[i], now_ms);
        if (change == SAS_TRAFFIC_TRIPPED) {
            SasRelay_TellChange(relay, slots[i], change, "silent");
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
    };
    SasSteering_Take(options->steering, &query, now_ms, &call->grant);
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
                call->same_again ? EARLY_SHED_RETRY_MS : RETRY_AFTER_MS);
        return;
    }
    enum sas_quarantine_verdict suspicion = judge_suspect(call);
    if (suspicion == SAS_QUARANTINE_REFUSE) {
        give_up(call, "quarantined", RETRY_AFTER_MS);
        return;
    }
    take_orders(call, now_ms);
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
    avoid_grey(call, slots, count, now_ms);
    call->alone = suspicion == SAS_QUARANTINE_ALONE;
    if (call->alone) {
        count = keep_idle(call, slots, count, now_ms);
        reason = "suspect";
    }
    struct sas_admit_verdict verdict =
        SasAdmit_Judge(fleet, slots, count, call->route->urgent, now_ms);
    if (verdict.slot != SasModel_NONE) {
        SasRelay_Send(call, verdict.slot);
        return;
    }
    if (count > 0) {
        SasRelay_NoteServer(call, slots[0], now_ms);
        reason = "owner full";
    }
    give_up(call, reason, count > 0 ? verdict.retry_after_ms : RETRY_AFTER_MS);
}

/* The service. */

static int
pick_service(struct relay_call *call)
{
    int part =
        SasSplit_Pick(&get_route_state(call)->split, call->route, call->key);
    return g_array_index(call->route->parts, struct sas_route_part, part)
        .service;
}

static int64_t
get_deadline(const struct relay_call *call)
{
    const char *text = SasHttpExchange_FindHeader(
        call->exchange, call->relay->options.wire->deadline_ms);
    int64_t limit_ms = SasRelay_DEFAULT_DEADLINE_MS;
    if (text != NULL && strtoll(text, NULL, 10) > 0) {
        limit_ms = MIN(limit_ms, strtoll(text, NULL, 10));
    }
    if (call->route->timeout_ms > 0) {
        limit_ms = MIN(limit_ms, call->route->timeout_ms);
    }
    return call->began_at + limit_ms;
}

static uint64_t
hash_object(const struct relay_call *call)
{
    const struct sas_entry_wire *wire = call->relay->options.wire;
    const char *key =
        SasHttpExchange_FindHeader(call->exchange, wire->object_key);
    if (key == NULL || !call->route->sticky) {
        key = call->request_id;
    }
    return SasOwner_HashKey(key);
}

static struct relay_call *
new_call(struct sas_relay *relay, struct sas_http_exchange *exchange)
{
    struct relay_call *call = g_new0(struct relay_call, 1);
    call->relay = relay;
    call->exchange = exchange;
    call->began_at = SasHttpExchange_GetBeganAt(exchange);
    call->answer_headers = g_ptr_array_new_with_free_func(g_free);
    call->answer_body = g_string_new(NULL);
    const char *id =
        SasHttpExchange_FindHeader(exchange, relay->options.wire->request_id);
    g_strlcpy(call->request_id, id != NULL ? id : "",
              sizeof(call->request_id));
    SasHttpExchange_SetUser(exchange, call);
    return call;
}

static void
on_request(struct sas_http_handler *handler,
           struct sas_http_exchange *exchange)
{
    struct sas_relay *relay = (struct sas_relay *)handler;
    struct relay_call *call = new_call(relay, exchange);
    struct sas_fleet_config *config = SasFleet_GetConfig(relay->options.fleet);
    if (relay->stopping) {
        SasRelay_Refuse(call, "stopping", RETRY_AFTER_MS);
        return;
    }
    if (config == NULL) {
        SasRelay_Refuse(call, "no configuration", RETRY_AFTER_MS);
        return;
    }
    call->config = SasFleetConfig_Ref(config);
    const char *host = SasHttpExchange_FindHeader(exchange, "Host");
    call->route = SasFleetConfig_FindRoute(
        config, host != NULL ? host : "", SasHttpExchange_GetTarget(exchange));
    if (call->route == NULL) {
        SasRelay_Fail(call, "no route", 404);
        return;
    }
    call->deadline_at = get_deadline(call);
    call->key = hash_object(call);
    call->service = pick_service(call);
    SasRepeat_NoteRequest(&SasRelay_GetService(relay, call->service)->repeats,
                          SasRelay_Now(relay));
    SasRelay_Choose(call);
}

static void
on_abandoned(struct sas_http_handler *handler,
             struct sas_http_exchange *exchange)
{
    (void)handler;
    struct relay_call *call = SasHttpExchange_GetUser(exchange);
    SasRelay_Cancel(call);
    log_end(call, "caller left", 0);
    count_outcome(call, "caller left");
    free_call(call);
}
