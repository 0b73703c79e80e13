#include "upstream.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sas/load_estimate.h"
#include "sas/log.h"
#include "sas/metrics.h"

/* Between the head of an answer, which has the report, and its end. */
#define MAX_REPORT_AGE_MS SasLoadEstimate_MIN_OVERLAP_MS

struct backend_state {
    struct sas_http_conn_listener owner; /* first: on_closed */
    struct sas_upstream *upstream;
    int backend;
    GQueue idle; /* of struct sas_http_conn, most recently used first */
    int open_connections;
    GList *calls;        /* of struct sas_upstream_call */
    struct probe *probe; /* in progress, or NULL */
    int last_reported;   /* requests running and queued there */
    int64_t last_report_at;
    int64_t reuse_disabled_until;
    int64_t newest_answered_opened_at; /* newest connection with an answer */
};

struct sas_upstream {
    uv_loop_t *loop;
    const struct sas_model *model;
    const struct sas_counters *counters;
    struct sas_upstream_listener *listener;
    struct backend_state *states;
    uv_timer_t sweep;
    bool closing;
};

struct probe {
    struct sas_http_listener http_listener; /* first: the vtable */
    struct sas_upstream *upstream;
    struct sas_http_conn *conn;
    int backend;
    int64_t opened_at;
    GString *body;
};

static const struct sas_http_listener_vtable call_vtable;
static const struct sas_http_listener_vtable probe_vtable;
static void on_conn_closed(struct sas_http_conn_listener *owner,
                           struct sas_http_conn *conn);
static void on_sweep(uv_timer_t *timer);
static void end_probe(struct probe *probe);

struct sas_upstream *
SasUpstream_Open(uv_loop_t *loop, const struct sas_model *model,
                 const struct sas_counters *counters,
                 struct sas_upstream_listener *listener)
{
    struct sas_upstream *upstream = g_new0(struct sas_upstream, 1);
    upstream->loop = loop;
    upstream->model = model;
    upstream->counters = counters;
    upstream->listener = listener;
    upstream->states = g_new0(struct backend_state, model->backend_count);
    for (int i = 0; i < model->backend_count; i++) {
        struct backend_state *state = &upstream->states[i];
        state->owner.on_closed = on_conn_closed;
        state->upstream = upstream;
        state->backend = i;
        g_queue_init(&state->idle);
    }
    uv_timer_init(loop, &upstream->sweep);
    upstream->sweep.data = upstream;
    uv_timer_start(&upstream->sweep, on_sweep, SasUpstream_CHECK_INTERVAL_MS,
                   SasUpstream_CHECK_INTERVAL_MS);
    return upstream;
}

static void
on_sweep_closed(uv_handle_t *handle)
{
    struct sas_upstream *upstream = handle->data;
    g_free(upstream->states);
    g_free(upstream);
}

void
SasUpstream_Close(struct sas_upstream *upstream)
{
    upstream->closing = true;
    for (int i = 0; i < upstream->model->backend_count; i++) {
        struct backend_state *state = &upstream->states[i];
        while (state->calls != NULL) {
            SasUpstream_Cancel(state->calls->data);
        }
        if (state->probe != NULL) {
            SasHttp_Close(state->probe->conn);
            end_probe(state->probe);
        }
        while (!g_queue_is_empty(&state->idle)) {
            SasHttp_Close(g_queue_peek_head(&state->idle));
        }
    }
    uv_close((uv_handle_t *)&upstream->sweep, on_sweep_closed);
}

static struct sas_http_conn *
open_connection(struct sas_upstream *upstream, int backend)
{
    struct backend_state *state = &upstream->states[backend];
    state->open_connections++;
    return SasHttp_Connect(upstream->loop,
                           &upstream->model->backends[backend].address,
                           SasUpstream_CONNECT_TIMEOUT_MS, &state->owner);
}

void
SasUpstream_Send(struct sas_upstream *upstream, int backend,
                 const struct sas_http_request *request, int64_t timeout_ms,
                 bool new_connection, const struct sas_upstream_vtable *vtable,
                 struct sas_upstream_call *call)
{
    struct backend_state *state = &upstream->states[backend];
    int64_t now = (int64_t)uv_now(upstream->loop);
    /* An idle connection may have stalled since it was last used, unnoticed by
     * both ends. A request that must not be retried pays a round trip for a
     * new one. */
    struct sas_http_conn *conn = NULL;
    if (!new_connection && now >= state->reuse_disabled_until) {
        conn = g_queue_pop_head(&state->idle);
    }
    call->http_listener.vtable = &call_vtable;
    call->vtable = vtable;
    call->upstream = upstream;
    call->backend = backend;
    call->reused = conn != NULL;
    call->head_seen = false;
    call->started_at = now;
    if (conn == NULL) {
        conn = open_connection(upstream, backend);
    }
    call->conn = conn;
    state->calls = g_list_prepend(state->calls, call);
    SasHttp_Send(conn, request, timeout_ms, &call->http_listener);
}

static void
remove_call(struct sas_upstream_call *call)
{
    struct backend_state *state = &call->upstream->states[call->backend];
    state->calls = g_list_remove(state->calls, call);
}

void
SasUpstream_Cancel(struct sas_upstream_call *call)
{
    remove_call(call);
    SasHttp_Close(call->conn);
}

void
SasUpstream_Pause(struct sas_upstream_call *call)
{
    SasHttp_Pause(call->conn);
}

void
SasUpstream_Resume(struct sas_upstream_call *call)
{
    SasHttp_Resume(call->conn);
}

/* Whether one more connection may stay idle: at most half of this entry VM's
 * share of the backend server's connections, at least one. */
static bool
may_keep(const struct sas_upstream *upstream, int backend)
{
    const struct backend_state *state = &upstream->states[backend];
    int share = upstream->model->backends[backend].connections /
                upstream->model->vm_count;
    return !upstream->closing && (int)state->idle.length < MAX(share / 2, 1) &&
           (int64_t)uv_now(upstream->loop) >= state->reuse_disabled_until;
}

/* Calls. */

/* Records a report for check_call() and passes it on. */
static void
apply_report(struct sas_upstream *upstream, int backend,
             const struct sas_load_report *report)
{
    struct backend_state *state = &upstream->states[backend];
    state->last_reported = report->running + report->queued;
    state->last_report_at = (int64_t)uv_now(upstream->loop);
    upstream->listener->on_load(upstream->listener, backend, report);
}

static int
parse_number(const char *text, const char *name, int fallback)
{
    const char *at = strstr(text, name);
    return at != NULL ? atoi(at + strlen(name)) : fallback;
}

static void
read_load_header(struct sas_upstream_call *call,
                 const struct sas_http_header *headers, int header_count)
{
    const char *value = SasHttp_FindHeader(headers, header_count, "sas-load");
    call->reported = value != NULL;
    if (value == NULL) {
        return;
    }
    call->report = (struct sas_load_report){
        .running = parse_number(value, "running=", 0),
        .queued = parse_number(value, "queued=", 0),
        .slots = parse_number(value, "slots=", 0),
        .leaving = parse_number(value, "leaving=", 0) != 0,
    };
}

/* Only now, at its end, is it known that the answer is none of a server in
 * trouble, whose report would be as wrong. A report that has become old
 * meanwhile is dropped, but for a leaving, which does not go by. */
static void
apply_load_header(const struct sas_upstream_call *call)
{
    int64_t age_ms = (int64_t)uv_now(call->upstream->loop) - call->head_at;
    if (call->reported &&
        (age_ms <= MAX_REPORT_AGE_MS || call->report.leaving)) {
        apply_report(call->upstream, call->backend, &call->report);
    }
}

/* Records an answer on a connection opened at opened_at. */
static void
note_answer(struct sas_upstream *upstream, int backend, int64_t opened_at)
{
    struct backend_state *state = &upstream->states[backend];
    if (opened_at > state->newest_answered_opened_at) {
        state->newest_answered_opened_at = opened_at;
    }
    upstream->listener->on_health(upstream->listener, backend, true);
}

/* Stops reusing connections to a backend server that answered late or twice:
 * on a reused connection those bytes would be read as the answer to another
 * caller's request. They are detected by a Sas-Request-Id of another request,
 * or by arriving while no request is in progress. For SasUpstream_NO_REUSE_MS
 * each request gets a new connection, on which no old bytes can arrive. */
static void
disable_reuse(struct sas_upstream *upstream, int backend)
{
    struct backend_state *state = &upstream->states[backend];
    state->reuse_disabled_until =
        (int64_t)uv_now(upstream->loop) + SasUpstream_NO_REUSE_MS;
    while (!g_queue_is_empty(&state->idle)) {
        SasHttp_Close(g_queue_peek_head(&state->idle));
    }
}

static bool
is_mismatched_answer(const struct sas_upstream_call *call,
                     const struct sas_http_header *headers, int header_count)
{
    return SasHttp_HasOtherValue(headers, header_count, "sas-request-id",
                                 call->request_id);
}

static void
fail_mismatched_answer(struct sas_upstream_call *call)
{
    struct sas_http_failure failure = {.sent = true, .written = true};
    SasError_Set(&failure.error, SAS_EIO, "upstream.answer",
                 call->upstream->model->backends[call->backend].name,
                 "the answer belongs to another request");
    SasLog_WriteError(SasLog_WARN, &failure.error);
    remove_call(call);
    SasHttp_Close(call->conn);
    disable_reuse(call->upstream, call->backend);
    call->vtable->on_fail(call, &failure);
}

static void
call_on_head(struct sas_http_listener *http_listener, int status,
             const struct sas_http_header *headers, int header_count)
{
    struct sas_upstream_call *call = (struct sas_upstream_call *)http_listener;
    if (is_mismatched_answer(call, headers, header_count)) {
        fail_mismatched_answer(call);
        return;
    }
    call->head_seen = true;
    call->head_at = (int64_t)uv_now(call->upstream->loop);
    note_answer(call->upstream, call->backend,
                SasHttp_GetOpenedAt(call->conn));
    read_load_header(call, headers, header_count);
    call->vtable->on_head(call, status, headers, header_count);
}

static void
call_on_body(struct sas_http_listener *http_listener, const char *data,
             size_t size)
{
    struct sas_upstream_call *call = (struct sas_upstream_call *)http_listener;
    call->vtable->on_body(call, data, size);
}

static void
call_on_end(struct sas_http_listener *http_listener, bool whole, bool reusable)
{
    struct sas_upstream_call *call = (struct sas_upstream_call *)http_listener;
    struct sas_upstream *upstream = call->upstream;
    apply_load_header(call);
    remove_call(call);
    if (reusable && may_keep(upstream, call->backend)) {
        g_queue_push_head(&upstream->states[call->backend].idle, call->conn);
    }
    else if (reusable) {
        SasHttp_Close(call->conn);
    }
    else {
        SasMetrics_Add(upstream->counters->metrics,
                       upstream->counters->connections_ended, 1);
    }
    call->vtable->on_end(call, whole);
}

static void
call_on_fail(struct sas_http_listener *http_listener,
             const struct sas_http_failure *failure)
{
    struct sas_upstream_call *call = (struct sas_upstream_call *)http_listener;
    struct sas_upstream *upstream = call->upstream;
    remove_call(call);
    if (!failure->sent) {
        upstream->listener->on_health(upstream->listener, call->backend,
                                      false);
    }
    call->vtable->on_fail(call, failure);
}

static const struct sas_http_listener_vtable call_vtable = {
    .on_head = call_on_head,
    .on_body = call_on_body,
    .on_end = call_on_end,
    .on_fail = call_on_fail,
};

static void
on_conn_closed(struct sas_http_conn_listener *owner,
               struct sas_http_conn *conn)
{
    struct backend_state *state = (struct backend_state *)owner;
    state->open_connections--;
    g_queue_remove(&state->idle, conn);
    if (SasHttp_HadUnexpectedBytes(conn) && !state->upstream->closing) {
        SasLog_Write(SasLog_WARN, "upstream.read",
                     state->upstream->model->backends[state->backend].name,
                     "bytes that belong to no request");
        disable_reuse(state->upstream, state->backend);
    }
}

/* Probes. */

static void
probe_on_head(struct sas_http_listener *http_listener, int status,
              const struct sas_http_header *headers, int header_count)
{
    struct probe *probe = (struct probe *)http_listener;
    (void)status;
    (void)headers;
    (void)header_count;
    g_string_truncate(probe->body, 0);
}

static void
probe_on_body(struct sas_http_listener *http_listener, const char *data,
              size_t size)
{
    struct probe *probe = (struct probe *)http_listener;
    if (probe->body->len + size < 4096) {
        g_string_append_len(probe->body, data, (gssize)size);
    }
}

static int
get_integer(const json_t *object, const char *name)
{
    return (int)json_integer_value(json_object_get(object, name));
}

static void
apply_probe_answer(struct probe *probe)
{
    json_t *object = json_loadb(probe->body->str, probe->body->len, 0, NULL);
    if (!json_is_object(object)) {
        json_decref(object);
        return;
    }
    struct sas_load_report report = {
        .running = get_integer(object, "running"),
        .queued = get_integer(object, "queued"),
        .slots = get_integer(object, "slots"),
        .leaving = json_is_true(json_object_get(object, "leaving")),
        .asked_at = probe->opened_at,
    };
    const char *incarnation =
        json_string_value(json_object_get(object, "incarnation"));
    snprintf(report.incarnation, sizeof(report.incarnation), "%s",
             incarnation != NULL ? incarnation : "");
    json_decref(object);
    apply_report(probe->upstream, probe->backend, &report);
}

static void
end_probe(struct probe *probe)
{
    probe->upstream->states[probe->backend].probe = NULL;
    g_string_free(probe->body, TRUE);
    g_free(probe);
}

static void
probe_on_end(struct sas_http_listener *http_listener, bool whole,
             bool reusable)
{
    struct probe *probe = (struct probe *)http_listener;
    struct sas_upstream *upstream = probe->upstream;
    if (reusable && may_keep(upstream, probe->backend)) {
        g_queue_push_head(&upstream->states[probe->backend].idle, probe->conn);
    }
    else if (reusable) {
        SasHttp_Close(probe->conn);
    }
    if (whole) {
        note_answer(upstream, probe->backend, probe->opened_at);
        apply_probe_answer(probe);
    }
    end_probe(probe);
}

static void
probe_on_fail(struct sas_http_listener *http_listener,
              const struct sas_http_failure *failure)
{
    (void)failure;
    struct probe *probe = (struct probe *)http_listener;
    struct sas_upstream_listener *listener = probe->upstream->listener;
    listener->on_health(listener, probe->backend, false);
    end_probe(probe);
}

static const struct sas_http_listener_vtable probe_vtable = {
    .on_head = probe_on_head,
    .on_body = probe_on_body,
    .on_end = probe_on_end,
    .on_fail = probe_on_fail,
};

/* A probe always opens a connection of its own: its answer also shows that new
 * connections work while a reused one is stalled. */
void
SasUpstream_Probe(struct sas_upstream *upstream, int backend)
{
    struct backend_state *state = &upstream->states[backend];
    if (state->probe != NULL || upstream->closing) {
        return;
    }
    struct probe *probe = g_new0(struct probe, 1);
    state->probe = probe;
    probe->http_listener.vtable = &probe_vtable;
    probe->upstream = upstream;
    probe->backend = backend;
    probe->opened_at = (int64_t)uv_now(upstream->loop);
    probe->body = g_string_new(NULL);
    probe->conn = open_connection(upstream, backend);
    struct sas_http_request request = {.method = "GET", .target = "/v1/load"};
    SasHttp_Send(probe->conn, &request, SasUpstream_PROBE_TIMEOUT_MS,
                 &probe->http_listener);
}

/* Stalled connections. */

/* Closes the idle connections that are as old as a stalled one, or older. */
static void
close_stale_idle(struct sas_upstream *upstream, struct backend_state *state,
                 int64_t opened_at)
{
    GList *link = state->idle.head;
    while (link != NULL) {
        struct sas_http_conn *conn = link->data;
        link = link->next;
        if (SasHttp_GetOpenedAt(conn) <= opened_at) {
            SasMetrics_Add(upstream->counters->metrics,
                           upstream->counters->closed_stale, 1);
            SasHttp_Close(conn); /* on_conn_closed() unlinks it */
        }
    }
}

/* A device on the way to a backend server may drop its state of old
 * connections: writes vanish, nothing is read, no error comes. A call that
 * waits SasUpstream_STALL_MS on a reused connection starts a probe over a new
 * one. Once that has answered, the call counts as stalled, and if the server
 * does not count the request either, the idle connections of that age are
 * closed. */
static void
check_call(struct sas_upstream *upstream, struct backend_state *state,
           struct sas_upstream_call *call, int64_t now)
{
    if (!call->reused || call->head_seen ||
        now - call->started_at < SasUpstream_STALL_MS) {
        return;
    }
    int64_t opened_at = SasHttp_GetOpenedAt(call->conn);
    bool newer_answered =
        state->newest_answered_opened_at >= call->started_at &&
        state->last_report_at >= call->started_at;
    if (!newer_answered) {
        SasUpstream_Probe(upstream, call->backend);
        return;
    }
    /* A long request looks the same, but the backend server reports it as
     * running or queued. */
    bool unknown_to_server =
        state->last_reported < (int)g_list_length(state->calls);
    if (unknown_to_server) {
        close_stale_idle(upstream, state, opened_at);
    }
    call->vtable->on_stall(call, unknown_to_server);
}

static void
sweep_backend(struct sas_upstream *upstream, struct backend_state *state,
              int64_t now)
{
    GList *link = state->calls;
    while (link != NULL) {
        GList *next = link->next;
        check_call(upstream, state, link->data, now);
        link = next;
    }
    struct sas_http_conn *oldest = g_queue_peek_tail(&state->idle);
    if (oldest != NULL &&
        now - SasHttp_GetLastReadAt(oldest) > SasUpstream_IDLE_TIMEOUT_MS) {
        SasHttp_Close(oldest);
    }
}

static void
on_sweep(uv_timer_t *timer)
{
    struct sas_upstream *upstream = timer->data;
    int64_t now = (int64_t)uv_now(upstream->loop);
    for (int i = 0; i < upstream->model->backend_count; i++) {
        sweep_backend(upstream, &upstream->states[i], now);
    }
}
