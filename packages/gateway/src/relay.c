/* Receives callers' requests, selects route and service, and ends requests. */
#include "relay_call.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "sas/gateway.h"
#include "sas/log.h"

/* Weight of the latest request in a route's mean size. */
#define BYTES_SMOOTHING 0.05

static void on_request(struct sas_http_handler *handler,
                       struct sas_http_exchange *exchange);
static void on_peer_request(struct sas_http_handler *handler,
                            struct sas_http_exchange *exchange);
static void on_peer_abandoned(struct sas_http_handler *handler,
                              struct sas_http_exchange *exchange,
                              enum sas_http_close_reason end);
static void on_peer_closed(struct sas_http_handler *handler,
                           const struct sas_http_close_stats *close_stats);
static void note_bytes(struct relay_call *call, size_t answer_size);
static void on_abandoned(struct sas_http_handler *handler,
                         struct sas_http_exchange *exchange,
                         enum sas_http_close_reason end);
static void on_closed(struct sas_http_handler *handler,
                      const struct sas_http_close_stats *close_stats);
static void register_ends(struct sas_relay *relay);

struct sas_relay *
SasRelay_New(const struct sas_relay_options *options)
{
    struct sas_relay *relay = g_new0(struct sas_relay, 1);
    relay->options = *options;
    relay->handler.on_request = on_request;
    relay->handler.on_abandoned = on_abandoned;
    relay->handler.on_closed = on_closed;
    relay->peer_handler.on_request = on_peer_request;
    relay->peer_handler.on_abandoned = on_peer_abandoned;
    relay->peer_handler.on_closed = on_peer_closed;
    register_ends(relay);
    relay->poison_requests =
        SasPoisonRequests_New(options->loop, options->fleet, options->pool,
                              options->mesh, options->metrics);
    SasRelay_Subscribe(relay);
    relay->objects = SasCachedObjects_New();
    relay->path_probes = g_ptr_array_new_with_free_func(g_free);
    relay->server_checks = g_ptr_array_new_with_free_func(g_free);
    relay->services = g_ptr_array_new_with_free_func(g_free);
    relay->slots = g_ptr_array_new_with_free_func(g_free);
    relay->routes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return relay;
}

void
SasRelay_Free(struct sas_relay *relay)
{
    SasPoisonRequests_Free(relay->poison_requests);
    SasCachedObjects_Free(relay->objects);
    g_ptr_array_free(relay->path_probes, TRUE);
    g_ptr_array_free(relay->server_checks, TRUE);
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

struct sas_http_handler *
SasRelay_GetPeerHandler(struct sas_relay *relay)
{
    return &relay->peer_handler;
}

int
SasRelay_CountRelayed(const struct sas_relay *relay)
{
    int count = 0;
    for (const GList *link = relay->calls.head; link != NULL;
         link = link->next) {
        count += ((const struct relay_call *)link->data)->relayed ? 1 : 0;
    }
    return count;
}

void
SasRelay_Stop(struct sas_relay *relay, const struct sas_shutdown_plan *plan)
{
    relay->stop = *plan;
}

void
SasRelay_FailPending(struct sas_relay *relay)
{
    while (!g_queue_is_empty(&relay->calls)) {
        struct relay_call *call = relay->calls.head->data;
        SasRelay_Cancel(call);
        SasRelay_FailUnlessAnswered(call, "given up", 502);
    }
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
        SasRetryBudget_Init(&state->retries, bounds->retry_share,
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
        SasGreyFailure_Init(&state->grey_failure);
    }
    return state;
}

/* The end of a request. */

static void
free_call(struct relay_call *call)
{
    g_queue_unlink(&call->relay->calls, &call->link);
    SasSteering_Release(call->relay->options.steering, &call->grant,
                        (double)call->answer_body->len,
                        SasRelay_Now(call->relay));
    SasFleetConfig_Unref(call->config);
    g_ptr_array_free(call->answer_headers, TRUE);
    g_string_free(call->answer_body, TRUE);
    if (call->fallback.status != 0) {
        g_ptr_array_free(call->fallback.headers, TRUE);
        g_string_free(call->fallback.body, TRUE);
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
        SasLog_INFO, SasLog_REQUEST_STEP, call->server_id,
        "{s:s, s:s, s:i, s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:f, s:I, s:b, "
        "s:i, s:i, s:I, s:I, s:b, s:s, s:s, s:b, s:I, s:i}",
        "request", call->request_id, "outcome", outcome, "status", status,
        "object", object, "route", routed ? call->route->name : "", "service",
        routed ? SasFleet_GetService(relay->options.fleet, call->service)->name
               : "",
        "server_zone", call->server_zone, "tried", call->tried_count,
        "took_ms", (int)(now_ms - call->began_at), "left_ms",
        routed ? (int)(call->deadline_at - now_ms) : 0, "server_load",
        call->load_when_sent, "load_age_ms", (json_int_t)call->load_age_ms,
        "known", call->cached, "wait_ms", (int)call->wait_ms, "work_ms",
        (int)call->work_ms, "config",
        (json_int_t)(call->config != NULL ? call->config->version : 0),
        "config_age_ms",
        (json_int_t)(call->config != NULL ? now_ms - call->config->applied_at
                                          : 0),
        "homes", routed && call->route->allowed_regions != 0, "split",
        call->split_by != NULL ? call->split_by : "", "via", call->peer.name,
        "relayed", call->relayed, "conn", (json_int_t)call->conn.number, "nth",
        call->conn.nth);
}

static void
count_outcome(const struct relay_call *call, const char *outcome)
{
    const struct sas_relay *relay = call->relay;
    struct sas_metrics *metrics = relay->options.metrics;
    int counter = SasMetrics_RegisterCounter(
        metrics, "sas_requests_total", "outcome", outcome,
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

/* Another entry VM is told whose reply it is. */
static void
send_reply(const struct relay_call *call, const struct sas_http_reply *reply)
{
    if (!call->relayed) {
        SasHttpExchange_Reply(call->exchange, reply);
        return;
    }
    struct sas_http_header headers[SasHttp_MAX_HEADERS + 1];
    struct sas_http_reply marked = *reply;
    if (reply->header_count > 0) {
        memcpy(headers, reply->headers,
               (size_t)reply->header_count * sizeof(headers[0]));
    }
    SasRelay_AddVerdict(call, &headers[marked.header_count++]);
    marked.headers = headers;
    SasHttpExchange_Reply(call->exchange, &marked);
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
    send_reply(call, reply);
    free_call(call);
}

static void
refuse(struct relay_call *call, const char *outcome, int64_t retry_after_ms,
       enum relay_verdict verdict)
{
    char seconds[32];
    snprintf(seconds, sizeof(seconds), "%.3f",
             (double)retry_after_ms / 1000.0);
    call->verdict = verdict;
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
SasRelay_Refuse(struct relay_call *call, const char *outcome,
                int64_t retry_after_ms)
{
    if (call->split_by != NULL) { /* a service was picked */
        SasSplit_NoteRefused(&SasRelay_GetRouteState(call)->split,
                             &call->split_pick);
    }
    refuse(call, outcome, retry_after_ms, RELAY_REFUSED);
}

void
SasRelay_RefuseElsewhere(struct relay_call *call, const char *outcome)
{
    refuse(call, outcome, SasRelay_RETRY_ELSEWHERE_MS, RELAY_ELSEWHERE);
}

void
SasRelay_Fail(struct relay_call *call, const char *outcome, int status)
{
    struct sas_http_reply reply = {.status = status, .body = ""};
    call->verdict = RELAY_FAILED;
    SasRelay_Finish(call, outcome, &reply);
}

/* Routes. */

struct route_state *
SasRelay_GetRouteState(const struct relay_call *call)
{
    GHashTable *routes = call->relay->routes;
    struct route_state *state = g_hash_table_lookup(routes, call->route->name);
    if (state == NULL) {
        state = g_new0(struct route_state, 1);
        SasServiceTime_Init(&state->service_time,
                            (double)call->route->target_latency_ms);
        g_hash_table_insert(routes, g_strdup(call->route->name), state);
    }
    return state;
}

/* Updates the route's mean bytes for a request and its answer, which shows
 * routes with large bodies. */
static void
note_bytes(struct relay_call *call, size_t answer_size)
{
    struct route_state *state = SasRelay_GetRouteState(call);
    size_t request_size = 0;
    SasHttpExchange_GetBody(call->exchange, &request_size);
    double bytes = (double)(request_size + answer_size);
    if (state->bytes <= 0) {
        state->bytes = bytes;
    }
    state->bytes += BYTES_SMOOTHING * (bytes - state->bytes);
}

/* The service. */

/* How the weights were kept that end with this configuration. */
static void
log_split_end(const struct relay_call *call, const struct sas_split *split)
{
    json_t *parts = json_array();
    for (int i = 0; i < split->count; i++) {
        const struct sas_fleet_service *service = SasFleet_GetService(
            call->relay->options.fleet, split->parts[i].service);
        json_array_append_new(
            parts, json_pack("{s:s, s:f, s:i, s:i}", "service", service->name,
                             "weight", split->parts[i].weight, "picked",
                             split->picked[i], "refused", split->refused[i]));
    }
    SasLog_WriteFields(SasLog_INFO, "split.end", "", "{s:s, s:I, s:o}",
                       "route", call->route->name, "config",
                       (json_int_t)call->config->version, "parts", parts);
}

static bool
has_available_server(const struct relay_call *call, int service)
{
    const struct sas_fleet *fleet = call->relay->options.fleet;
    const GArray *servers = SasFleet_GetService(fleet, service)->servers;
    int64_t now_ms = SasRelay_Now(call->relay);
    for (guint i = 0; i < servers->len; i++) {
        if (SasTraffic_IsAvailable(fleet, g_array_index(servers, int, i),
                                   now_ms)) {
            return true;
        }
    }
    return false;
}

/* The parts of the route that have an available server, one bit each. */
static uint32_t
find_usable_parts(const struct relay_call *call)
{
    const GArray *parts = call->route->parts;
    uint32_t usable = 0;
    for (guint i = 0; i < MIN(parts->len, SasSplit_MAX_PARTS); i++) {
        int service = g_array_index(parts, struct sas_route_part, i).service;
        usable |= has_available_server(call, service) ? 1U << i : 0;
    }
    return usable;
}

static int
pick_service(struct relay_call *call)
{
    struct sas_split *split = &SasRelay_GetRouteState(call)->split;
    if (split->count > 1 && SasLog_IsEnabled(SasLog_INFO) &&
        !SasSplit_IsCurrent(split, call->route)) {
        log_split_end(call, split);
    }
    uint32_t usable =
        call->route->parts->len > 1 ? find_usable_parts(call) : 1;
    struct sas_split_pick pick = SasSplit_Pick(
        split, call->route, call->key, usable, call->relay->options.random);
    call->split_pick = pick;
    call->split_by = call->route->parts->len == 1 ? ""
                     : pick.by_hash               ? "hash"
                                                  : "weights";
    return g_array_index(call->route->parts, struct sas_route_part, pick.part)
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

static bool
may_admit(const struct relay_call *call)
{
    const struct sas_relay *relay = call->relay;
    return SasShutdown_ShouldAccept(&relay->stop, SasRelay_Now(relay),
                                    call->deadline_at);
}

/* A request without an object key has an object of its own. */
static void
find_object(struct relay_call *call)
{
    const struct sas_entry_wire *wire = call->relay->options.wire;
    const char *key =
        SasHttpExchange_FindHeader(call->exchange, wire->object_key);
    call->keyed = key != NULL && call->route->sticky;
    call->key = SasOwner_HashKey(call->keyed ? key : call->request_id);
}

static struct relay_call *
new_call(struct sas_relay *relay, struct sas_http_exchange *exchange)
{
    struct relay_call *call = g_new0(struct relay_call, 1);
    call->relay = relay;
    call->exchange = exchange;
    call->began_at = SasHttpExchange_GetReceivedAt(exchange);
    call->answer_headers = g_ptr_array_new_with_free_func(g_free);
    call->answer_body = g_string_new(NULL);
    const char *id =
        SasHttpExchange_FindHeader(exchange, relay->options.wire->request_id);
    call->request_id = id != NULL ? id : "";
    SasHttpExchange_SetUser(exchange, call);
    call->link.data = call;
    g_queue_push_tail_link(&relay->calls, &call->link);
    return call;
}

/* If a newer configuration may have the route, refuses the request: callers
 * don't retry after a 404. */
static void
end_unrouted(struct relay_call *call)
{
    const struct sas_source *source = call->relay->options.source;
    if (source->is_behind != NULL && source->is_behind(source)) {
        SasRelay_RefuseElsewhere(call, "behind");
        return;
    }
    if (call->relayed) { /* the sender has a route */
        SasRelay_RefuseElsewhere(call, "no route");
        return;
    }
    SasRelay_Fail(call, "no route", 404);
}

/* config_version: the lowest that may handle the request. */
static void
begin_call(struct relay_call *call, int64_t config_version)
{
    struct sas_relay *relay = call->relay;
    struct sas_http_exchange *exchange = call->exchange;
    struct sas_fleet_config *config = SasFleet_GetConfig(relay->options.fleet);
    if (config == NULL) {
        if (call->relayed) {
            SasRelay_RefuseElsewhere(call, "no configuration");
            return;
        }
        SasRelay_Refuse(call, "no configuration", SasRelay_RETRY_AFTER_MS);
        return;
    }
    if (config->version < config_version) {
        SasRelay_RefuseElsewhere(call, "behind");
        return;
    }
    call->config = SasFleetConfig_Ref(config);
    const char *host = SasHttpExchange_FindHeader(exchange, "Host");
    call->route = SasFleetConfig_FindRoute(
        config, host != NULL ? host : "", SasHttpExchange_GetTarget(exchange));
    if (call->route == NULL) {
        end_unrouted(call);
        return;
    }
    call->deadline_at = get_deadline(call);
    if (!may_admit(call)) {
        SasRelay_RefuseElsewhere(call, "stopping");
        return;
    }
    find_object(call);
    call->service = SasRelay_FindRelayedService(call);
    if (call->service == SasModel_NONE) {
        call->service = pick_service(call);
    }
    if (!call->relayed) { /* the sender has counted it */
        SasRetryBudget_NoteRequest(
            &SasRelay_GetService(relay, call->service)->retries,
            SasRelay_Now(relay));
    }
    SasRelay_Choose(call);
}

static void
on_request(struct sas_http_handler *handler,
           struct sas_http_exchange *exchange)
{
    begin_call(new_call((struct sas_relay *)handler, exchange), 0);
}

/* Requests of other entry VMs. */

static struct sas_relay *
get_peer_relay(struct sas_http_handler *handler)
{
    return (struct sas_relay *)((char *)handler -
                                offsetof(struct sas_relay, peer_handler));
}

static void
on_peer_request(struct sas_http_handler *handler,
                struct sas_http_exchange *exchange)
{
    struct sas_relay *relay = get_peer_relay(handler);
    if (!SasRelay_IsRelayed(exchange)) {
        struct sas_http_handler *source = relay->options.source->peers;
        source->on_request(source, exchange);
        return;
    }
    struct relay_call *call = new_call(relay, exchange);
    int64_t config_version = 0;
    if (!SasRelay_ReadRelayed(call, &config_version)) {
        SasRelay_Fail(call, "malformed", 400);
        return;
    }
    begin_call(call, config_version);
}

static void
on_peer_abandoned(struct sas_http_handler *handler,
                  struct sas_http_exchange *exchange,
                  enum sas_http_close_reason end)
{
    struct sas_relay *relay = get_peer_relay(handler);
    struct sas_http_handler *source = relay->options.source->peers;
    if (SasRelay_IsRelayed(exchange)) {
        on_abandoned(&relay->handler, exchange, end);
    }
    else if (source->on_abandoned != NULL) {
        source->on_abandoned(source, exchange, end);
    }
}

static void
on_peer_closed(struct sas_http_handler *handler,
               const struct sas_http_close_stats *close_stats)
{
    struct sas_http_handler *source =
        get_peer_relay(handler)->options.source->peers;
    if (source->on_closed != NULL) {
        source->on_closed(source, close_stats);
    }
}

/* Callers' connections. */

static void
register_ends(struct sas_relay *relay)
{
    for (int end = 0; end < SAS_HTTP_CLOSE_COUNT; end++) {
        relay->end_counters[end] = SasMetrics_RegisterCounter(
            relay->options.metrics, "sas_connections_ended_total", "by",
            SasHttp_GetCloseReasonName((enum sas_http_close_reason)end),
            "Connections of callers by what ended them");
    }
}

/* Logs connections that this side has closed with something pending. If the
 * caller has closed it, that is the outcome of its requests. */
static void
on_closed(struct sas_http_handler *handler,
          const struct sas_http_close_stats *close_stats)
{
    struct sas_relay *relay = (struct sas_relay *)handler;
    SasMetrics_Add(relay->options.metrics,
                   relay->end_counters[close_stats->end], 1);
    if (close_stats->end == SAS_HTTP_CLOSE_CALLER ||
        (close_stats->unanswered == 0 && close_stats->unsent_bytes == 0 &&
         close_stats->unread_bytes == 0)) {
        return;
    }
    SasLog_WriteFields(SasLog_WARN, "caller.closed", "",
                       "{s:s, s:i, s:I, s:I, s:I}", "by",
                       SasHttp_GetCloseReasonName(close_stats->end),
                       "unanswered", close_stats->unanswered, "unsent_bytes",
                       (json_int_t)close_stats->unsent_bytes, "unread_bytes",
                       (json_int_t)close_stats->unread_bytes, "idle_ms",
                       (json_int_t)close_stats->idle_ms);
}

static void
on_abandoned(struct sas_http_handler *handler,
             struct sas_http_exchange *exchange,
             enum sas_http_close_reason end)
{
    (void)handler;
    struct relay_call *call = SasHttpExchange_GetUser(exchange);
    const char *outcome =
        end == SAS_HTTP_CLOSE_CALLER ? "caller left" : "cut off";
    SasRelay_Cancel(call);
    log_end(call, outcome, 0);
    count_outcome(call, outcome);
    free_call(call);
}
