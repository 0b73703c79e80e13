/* Sends a request to a backend server and handles the answer. */
#include "relay_call.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <jansson.h>

#include "sas/log.h"

/* If the server had dropped an idle connection, its reset arrives within a
 * round trip. */
#define DROPPED_IDLE_RESET_MS 100

/* After such a reset, idle connections are avoided for this time. */
#define AVOID_IDLE_MS 30000

/* A longer buffer for bodies is freed before the next attempt, bytes. */
#define KEPT_BODY 65536

/* Part of the process's memory for answers that are being read. */
#define ANSWERS_SHARE 0.125

static void on_head(struct sas_http_listener *listener, int status,
                    const struct sas_http_header *headers, int header_count);
static void on_end(struct sas_http_listener *listener, bool whole,
                   bool reusable);
static void on_fail(struct sas_http_listener *listener,
                    const struct sas_http_failure *failure);

static const struct sas_http_listener_vtable listener_vtable = {
    .on_head = on_head,
    .on_body = SasRelay_OnBody,
    .on_end = on_end,
    .on_fail = on_fail,
};

/* Sending. */

/* Leaves out hop-by-hop fields, and those that are set for each attempt. */
int
SasRelay_CopyHeaders(const struct relay_call *call,
                     struct sas_http_header *headers)
{
    const struct sas_entry_wire *wire = call->relay->options.wire;
    int given_count = 0;
    const struct sas_http_header *from =
        SasHttpExchange_GetHeaders(call->exchange, &given_count);
    int count = 0;
    for (int i = 0; i < given_count; i++) {
        const char *name = from[i].name;
        if (SasHttp_IsHopByHopHeader(name) || strcasecmp(name, "Host") == 0 ||
            strcasecmp(name, "Expect") == 0 ||
            strcasecmp(name, wire->deadline_ms) == 0 ||
            strcasecmp(name, wire->target) == 0 ||
            SasRelay_IsInternalHeader(name)) {
            continue;
        }
        headers[count++] = from[i];
    }
    return count;
}

struct sas_http_request
SasRelay_MakeRequest(const struct relay_call *call,
                     const struct sas_http_header *headers, int count)
{
    struct sas_http_request request = {
        .method = SasHttpExchange_GetMethod(call->exchange),
        .target = SasHttpExchange_GetTarget(call->exchange),
        .host = SasHttpExchange_FindHeader(call->exchange, "Host"),
        .headers = headers,
        .header_count = count,
        .max_answer_bytes = SasRelay_MAX_ANSWER + SasHttp_MAX_HEADER_BYTES,
    };
    request.body = SasHttpExchange_GetBody(call->exchange, &request.body_size);
    return request;
}

/* The caller's header fields with the attempt's deadline and target. */
static int
fill_headers(const struct relay_call *call, struct sas_http_header *headers,
             const char *left_ms)
{
    const struct sas_entry_wire *wire = call->relay->options.wire;
    int count = SasRelay_CopyHeaders(call, headers);
    headers[count].name = wire->deadline_ms;
    headers[count++].value = left_ms;
    headers[count].name = wire->target;
    headers[count++].value = call->server_id;
    return count;
}

/* A server may drop an idle connection without notice and reset the next
 * request on it; nobody can tell then whether that ran. Once such a reset was
 * seen, requests that must not run twice avoid idle connections for a while.
 * Always opening a new one would cost a round trip, 40 ms to another region.
 */
static int64_t
get_max_idle(const struct relay_call *call, int64_t now_ms)
{
    const struct service_state *service =
        SasRelay_GetService(call->relay, call->service);
    bool avoid_idle = now_ms < service->avoid_idle_until;
    return avoid_idle && call->route->kind != SAS_ROUTE_SAFE
               ? SasPool_TRUSTED_IDLE_MS
               : INT64_MAX;
}

void
SasRelay_Send(struct relay_call *call, int slot)
{
    struct sas_relay *relay = call->relay;
    struct sas_fleet_server *server = SasFleet_At(relay->options.fleet, slot);
    int64_t now_ms = SasRelay_Now(relay);
    int64_t left_ms = call->deadline_at - now_ms;
    SasRelay_ClearAnswer(call);
    call->peer.name[0] = '\0';
    call->server = SasFleet_GetRef(relay->options.fleet, slot);
    call->server_start = server->start;
    SasRelay_NoteServer(call, slot, now_ms);
    call->sent_at = now_ms;
    call->tried[call->tried_count++] = slot;
    SasTraffic_NoteSent(server, now_ms);
    struct slot_state *state = SasRelay_GetSlot(relay, slot);
    SasWindow_Add(&state->cold_sends, 1, now_ms);
    SasServerLimit_NoteSent(&state->limit, now_ms);
    SasServerNotice_NoteSent(&server->notice, now_ms);

    struct sas_http_header headers[SasHttp_MAX_HEADERS + 4];
    char left[24];
    snprintf(left, sizeof(left), "%d", (int)left_ms);
    int count = fill_headers(call, headers, left);
    struct sas_http_request request =
        SasRelay_MakeRequest(call, headers, count);
    call->listener.vtable = &listener_vtable;
    call->pooled = SasPool_Acquire(relay->options.pool, slot, call->request_id,
                                   get_max_idle(call, now_ms));
    call->conn = SasPool_GetFacts(call->pooled);
    call->conn_idle_ms = SasPool_GetIdleMs(call->pooled);
    call->conn_opened_at = SasHttp_GetOpenedAt(SasPool_GetConn(call->pooled));
    SasHttp_Send(SasPool_GetConn(call->pooled), &request, left_ms,
                 &call->listener);
}

void
SasRelay_NoteArrival(struct relay_call *call)
{
    call->arrivals++;
    call->has_retry = false;
}

void
SasRelay_NoteMayHaveRun(struct relay_call *call)
{
    call->attempts++;
    SasRelay_NoteArrival(call);
}

static void
end_attempt(struct relay_call *call, bool answered)
{
    struct sas_fleet_server *server =
        SasFleet_GetServer(call->relay->options.fleet, call->server);
    if (server != NULL) {
        SasTraffic_NoteEnded(server, answered, SasRelay_Now(call->relay));
    }
    call->pooled = NULL;
}

void
SasRelay_Cancel(struct relay_call *call)
{
    if (call->pooled != NULL) {
        struct sas_pooled *pooled = call->pooled;
        end_attempt(call, false);
        SasPool_Discard(pooled);
    }
    if (call->peer_conn != NULL) {
        SasPeerPool_Discard(call->peer_conn);
        call->peer_conn = NULL;
    }
}

/* The answer. */

void
SasRelay_ClearAnswer(struct relay_call *call)
{
    call->status = 0;
    call->named = false;
    call->sealed = false;
    call->limit_per_s = -1;
    call->names_limit = false;
    call->says_leaving = false;
    call->pause_ms = 0;
    call->not_run = false;
    call->unusable = false;
    call->keep_alive_ms = 0;
    call->report.running = -1;
    call->report.waiting = 0;
    g_ptr_array_set_size(call->answer_headers, 0);
    if (call->answer_body->allocated_len > KEPT_BODY) {
        g_string_free(call->answer_body, TRUE);
        call->answer_body = g_string_new(NULL);
    }
    g_string_truncate(call->answer_body, 0);
}

static void
read_report(struct relay_call *call, const char *text)
{
    int running = 0;
    int waiting = 0;
    if (sscanf(text, "%d,%d", &running, &waiting) == 2 && running >= 0 &&
        waiting >= 0) {
        call->report.running = running;
        call->report.waiting = waiting;
    }
}

/* Parses "timeout=5, max=100": seconds that the server keeps an idle
 * connection. Returns milliseconds; 0 if there is no timeout. */
static int64_t
read_keep_alive(const char *text)
{
    const char *found = strstr(text, "timeout=");
    return found == NULL
               ? 0
               : strtoll(found + strlen("timeout="), NULL, 10) * 1000;
}

static bool
is_limit(const struct sas_entry_wire *wire, const char *name)
{
    return (wire->limit != NULL && strcasecmp(name, wire->limit) == 0) ||
           (wire->limit_alias != NULL &&
            strcasecmp(name, wire->limit_alias) == 0);
}

static void
read_limit(struct relay_call *call, const char *text)
{
    char *end = NULL;
    call->names_limit = true;
    double per_s = g_ascii_strtod(text, &end);
    if (end == text || *end != '\0' || !isfinite(per_s) || per_s < 0) {
        SasLog_Write(SasLog_WARN, "server.limit", call->server_id,
                     "\"%.40s\" is not a rate", text);
        return;
    }
    call->limit_per_s = per_s;
}

void
SasRelay_ApplyHeader(struct relay_call *call,
                     const struct sas_http_header *header)
{
    const struct sas_entry_wire *wire = call->relay->options.wire;
    if (strcasecmp(header->name, wire->load) == 0) {
        read_report(call, header->value);
        return;
    }
    if (is_limit(wire, header->name)) {
        read_limit(call, header->value);
        return;
    }
    if (strcasecmp(header->name, "Keep-Alive") == 0) {
        call->keep_alive_ms = read_keep_alive(header->value);
        return;
    }
    if (strcasecmp(header->name, wire->seal) == 0) {
        call->sealed = true;
    }
    else if (strcasecmp(header->name, wire->not_run) == 0) {
        call->not_run = true;
    }
    else if (strcasecmp(header->name, "Content-Encoding") == 0) {
        call->unusable = true;
    }
    if (!SasHttp_IsHopByHopHeader(header->name) &&
        !SasRelay_IsInternalHeader(header->name)) {
        g_ptr_array_add(call->answer_headers, g_strdup(header->name));
        g_ptr_array_add(call->answer_headers, g_strdup(header->value));
    }
}

static void
count_answer(const struct relay_call *call, const char *name,
             const char *label, const char *value, const char *help)
{
    struct sas_metrics *metrics = call->relay->options.metrics;
    SasMetrics_Add(
        metrics, SasMetrics_RegisterCounter(metrics, name, label, value, help),
        1);
}

/* answer_to: the id that the answer names, or NULL. */
static void
note_skipped(const struct relay_call *call, const char *answer_to, int status)
{
    count_answer(call, "sas_skipped_answers_total", "cause",
                 answer_to != NULL ? "another id" : "no id",
                 "Answers of servers that belong to no request that waits");
    SasLog_WriteFields(
        SasLog_WARN, "attempt.stray", call->server_id,
        "{s:s, s:s, s:s, s:i, s:I, s:i}", "request", call->request_id,
        "answer_to", answer_to != NULL ? answer_to : "", "outcome",
        "another request's answer is skipped", "status", status, "conn",
        (json_int_t)call->conn.number, "nth", call->conn.nth);
}

/* The server states that it hasn't run the request. Two of these lines for one
 * request on one connection, a round trip or less apart, are one refusal that
 * came twice. */
static void
note_refused(const struct relay_call *call)
{
    char status[12];
    snprintf(status, sizeof(status), "%d", call->status);
    count_answer(call, "sas_server_refusals_total", "status", status,
                 "Requests that servers have refused as not run");
    SasLog_WriteFields(
        SasLog_INFO, "attempt.refused", call->server_id,
        "{s:s, s:i, s:b, s:I, s:i, s:I}", "request", call->request_id,
        "status", call->status, "named", call->named, "conn",
        (json_int_t)call->conn.number, "nth", call->conn.nth, "took_ms",
        (json_int_t)(SasRelay_Now(call->relay) - call->sent_at));
}

/* What a server has sent is no answer, or too much of one. It may have run the
 * request. */
static void
give_up_answer(struct relay_call *call)
{
    SasRelay_NoteMayHaveRun(call);
    SasRelay_RetryOrFail(call, "spoiled answer");
}

static void
on_head(struct sas_http_listener *listener, int status,
        const struct sas_http_header *headers, int header_count)
{
    struct relay_call *call = (struct relay_call *)listener;
    const struct sas_entry_wire *wire = call->relay->options.wire;
    const char *id =
        SasHttp_FindHeader(headers, header_count, wire->request_id);
    /* With two ids it may be any of two requests'. */
    if (id != NULL &&
        SasHttp_HasOtherValue(headers, header_count, wire->request_id, id)) {
        note_skipped(call, id, status);
        SasRelay_Cancel(call);
        give_up_answer(call);
        return;
    }
    /* A second answer to an earlier request may arrive first, and a caller
     * could get another's data, or an attempt the refusal of the one before
     * it. The connection carries an id once, and only a request without one is
     * answered without. */
    if (strcmp(id != NULL ? id : "", call->request_id) != 0) {
        SasHttp_SkipAnswer(SasPool_GetConn(call->pooled));
        note_skipped(call, id, status);
        return;
    }
    SasRelay_ClearAnswer(call);
    call->status = status;
    call->named = id != NULL;
    for (int i = 0; i < header_count; i++) {
        SasRelay_ApplyHeader(call, &headers[i]);
    }
    SasRelay_ReadNotice(call, headers, header_count);
}

static struct relay_call *
find_largest(const struct sas_relay *relay, size_t *sum)
{
    struct relay_call *largest = NULL;
    *sum = 0;
    for (GList *link = relay->calls.head; link != NULL; link = link->next) {
        struct relay_call *call = link->data;
        size_t size = call->answer_body->allocated_len;
        *sum += size;
        if (largest == NULL || size > largest->answer_body->allocated_len) {
            largest = call;
        }
    }
    return largest;
}

/* Several servers in trouble may send long bodies at once. Before the buffer
 * of the call grows, the longest ones are given up, so that usual answers are
 * not affected. False if the call is among them. */
static bool
make_room(struct relay_call *call)
{
    struct sas_relay *relay = call->relay;
    double limit =
        (double)relay->options.settings->memory_bytes * ANSWERS_SHARE;
    double growth = (double)call->answer_body->allocated_len;
    size_t sum = 0;
    struct relay_call *largest = find_largest(relay, &sum);
    while (limit > 0 && (double)sum + growth > limit) {
        bool is_own = largest == call;
        SasLog_WriteFields(SasLog_WARN, "answers.memory", largest->server_id,
                           "{s:s, s:I, s:I}", "request", largest->request_id,
                           "bytes", (json_int_t)largest->answer_body->len,
                           "all_bytes", (json_int_t)sum);
        SasRelay_Cancel(largest);
        give_up_answer(largest);
        if (is_own) {
            return false;
        }
        largest = find_largest(relay, &sum);
    }
    return true;
}

void
SasRelay_OnBody(struct sas_http_listener *listener, const char *data,
                size_t size)
{
    struct relay_call *call = (struct relay_call *)listener;
    size_t needed = call->answer_body->len + size;
    if (needed > SasRelay_MAX_ANSWER) {
        call->unusable = true;
        return;
    }
    if (needed >= call->answer_body->allocated_len && needed > KEPT_BODY &&
        !make_room(call)) {
        return; /* the call may be gone */
    }
    g_string_append_len(call->answer_body, data, (gssize)size);
}

/* Whether the answer may be delivered unchanged. A 2xx answer needs the
 * server's seal. The statuses that promise "not run" are never passed on: here
 * the server has not stated that it didn't run the request. */
static bool
is_deliverable(const struct relay_call *call)
{
    if (call->unusable) {
        return false;
    }
    switch (call->status) {
    case 408:
    case 421:
    case 429:
    case 503:
        return false;
    default:
        return call->sealed || call->status / 100 != 2;
    }
}

void
SasRelay_Deliver(struct relay_call *call)
{
    call->verdict = RELAY_ANSWER;
    SasPoisonRequests_NoteCompleted(call->relay->poison_requests,
                                    SasRelay_GetFingerprint(call));
    int count = (int)call->answer_headers->len / 2;
    struct sas_http_header headers[SasHttp_MAX_HEADERS];
    count = MIN(count, SasHttp_MAX_HEADERS);
    for (int i = 0; i < count; i++) {
        headers[i].name = call->answer_headers->pdata[2 * i];
        headers[i].value = call->answer_headers->pdata[2 * i + 1];
    }
    struct sas_http_reply reply = {
        .status = call->status,
        .headers = headers,
        .header_count = count,
        .body = call->answer_body->str,
        .body_size = call->answer_body->len,
    };
    SasRelay_Finish(call, call->status / 100 == 2 ? "answered" : "failed",
                    &reply);
}

/* A safe request that got a server error is tried once more elsewhere. The
 * error is held back as the fallback answer. */
static bool
is_worth_retry(const struct relay_call *call)
{
    return call->route->kind == SAS_ROUTE_SAFE && call->fallback.status == 0 &&
           call->status >= 500 && call->status != 504;
}

static void
save_fallback(struct relay_call *call)
{
    call->fallback.status = call->status;
    call->fallback.headers = call->answer_headers;
    call->fallback.body = call->answer_body;
    call->answer_headers = g_ptr_array_new_with_free_func(g_free);
    call->answer_body = g_string_new(NULL);
}

bool
SasRelay_DeliverFallback(struct relay_call *call)
{
    if (call->fallback.status == 0) {
        return false;
    }
    g_ptr_array_free(call->answer_headers, TRUE);
    g_string_free(call->answer_body, TRUE);
    call->status = call->fallback.status;
    call->answer_headers = call->fallback.headers;
    call->answer_body = call->fallback.body;
    call->fallback.status = 0;
    SasRelay_Deliver(call);
    return true;
}

void
SasRelay_FailUnlessAnswered(struct relay_call *call, const char *outcome,
                            int status)
{
    if (!SasRelay_DeliverFallback(call)) {
        SasRelay_Fail(call, outcome, status);
    }
}

void
SasRelay_RetryOrFail(struct relay_call *call, const char *outcome)
{
    if (call->route->kind == SAS_ROUTE_SAFE) {
        SasRelay_Choose(call);
        return;
    }
    SasRelay_Fail(call, outcome, 502);
}

/* Records the service time, and that the object is cached at the server now.
 */
static void
note_service_time(struct relay_call *call, double elapsed_ms)
{
    struct sas_relay *relay = call->relay;
    const struct sas_fleet_server *server =
        SasFleet_At(relay->options.fleet, call->server.slot);
    if (SasTraffic_FoundSlot(server, call->load_when_sent)) {
        SasServiceTime_Note(&SasRelay_GetRouteState(call)->service_time,
                            call->cached, elapsed_ms);
    }
    if (call->keyed) {
        SasCachedObjects_NoteAnswered(relay->objects, server->service,
                                      call->key, call->server);
    }
}

static void
note_result(struct relay_call *call, bool timed_out)
{
    struct sas_relay *relay = call->relay;
    struct sas_fleet *fleet = relay->options.fleet;
    if (SasFleet_GetServer(fleet, call->server) == NULL) {
        return;
    }
    int64_t now_ms = SasRelay_Now(relay);
    struct sas_attempt_result result = {
        .elapsed_ms = (double)(now_ms - call->sent_at),
        .load_when_sent = call->load_when_sent,
        .cached = call->cached,
        .timed_out = timed_out,
        .failed = !timed_out && call->status / 100 != 2,
    };
    SasRelay_ReportChange(
        relay, call->server.slot,
        SasTraffic_NoteResult(fleet, call->server.slot, &result, now_ms),
        timed_out ? "timed out" : "slow");
    if (relay->rows_stale &&
        SasTraffic_IsSlow(SasFleet_At(fleet, call->server.slot))) {
        SasRelay_AssumeCold(relay, call->server.slot);
    }
    if (!timed_out && call->status / 100 == 2) {
        note_service_time(call, result.elapsed_ms);
        SasRelay_NoteAnswered(relay, call->server.slot);
    }
    else if (!timed_out && call->status >= 500) {
        SasRelay_NoteFailed(relay, call->server.slot);
    }
}

/* Whether the server hasn't run the request, by its own word. Of a success or
 * a server error, which a run ends with, it isn't believed: to send an unsafe
 * request once more for it might run that twice. */
static bool
is_refusal(const struct relay_call *call)
{
    bool follows_a_run = call->status / 100 != 4 && call->status != 503;
    return call->status == 421 || (call->not_run && !follows_a_run);
}

static void
on_end(struct sas_http_listener *listener, bool whole, bool reusable)
{
    struct relay_call *call = (struct relay_call *)listener;
    struct sas_relay *relay = call->relay;
    (void)whole; /* if framed by an orderly close, it counts as whole too */
    int64_t now_ms = SasRelay_Now(relay);
    struct sas_pooled *pooled = call->pooled;
    struct sas_fleet_server *server =
        SasFleet_GetServer(relay->options.fleet, call->server);
    end_attempt(call, true);
    SasRelay_NoteArrival(call);
    SasRelay_NoteAnswerOn(relay, call->service, call->conn_opened_at);
    if (reusable) {
        SasPool_Release(pooled, call->keep_alive_ms);
    }
    SasRelay_NoteNotice(call, now_ms);
    if (call->says_leaving && call->relayed && call->status != 421) {
        SasRelay_AddLeaving(call);
    }
    bool not_run = is_refusal(call);
    call->retry_same_server =
        not_run && call->status != 421 && call->pause_ms == 0 &&
        server != NULL && SasTraffic_FoundSlot(server, call->load_when_sent);
    if (server != NULL) {
        SasTraffic_NoteReport(relay->options.fleet, call->server.slot,
                              &call->report, now_ms);
        SasRelay_NoteLimit(call);
        if (!not_run) {
            note_result(call, false);
        }
        if (call->status == 421) {
            /* Another server has its address; its row is out of date. */
            SasRelay_ReportChange(relay, call->server.slot,
                                  SasTraffic_NoteReplaced(relay->options.fleet,
                                                          call->server.slot,
                                                          now_ms),
                                  "address is another server's");
        }
    }
    if (not_run) {
        note_refused(call);
        SasRelay_Choose(call);
        return;
    }
    call->attempts++;
    if (is_deliverable(call) && is_worth_retry(call)) {
        save_fallback(call);
        SasRelay_Choose(call);
        return;
    }
    if (is_deliverable(call)) {
        SasRelay_Deliver(call);
        return;
    }
    SasRelay_RetryOrFail(call, "spoiled answer");
}

static void
note_failure(struct relay_call *call, bool connected)
{
    struct sas_relay *relay = call->relay;
    struct sas_fleet *fleet = relay->options.fleet;
    if (SasFleet_GetServer(fleet, call->server) == NULL) {
        return;
    }
    SasRelay_ReportChange(relay, call->server.slot,
                          SasTraffic_NoteFailure(fleet, call->server.slot,
                                                 connected,
                                                 SasRelay_Now(relay)),
                          connected ? "connection lost" : "no connection");
    if (connected) {
        SasRelay_NoteFailed(relay, call->server.slot);
    }
}

/* The server had probably dropped the idle connection; that does not count as
 * a failure of the server. */
static bool
was_dropped_idle(const struct relay_call *call,
                 const struct sas_http_failure *failure)
{
    return failure->sent && !failure->begun &&
           call->conn_idle_ms >= SasPool_TRUSTED_IDLE_MS &&
           SasRelay_Now(call->relay) - call->sent_at < DROPPED_IDLE_RESET_MS;
}

/* Also called if the idle connection had probably been dropped: a crash right
 * after the first byte looks the same. */
static void
note_lost(struct relay_call *call)
{
    struct sas_relay *relay = call->relay;
    if (SasFleet_GetServer(relay->options.fleet, call->server) != NULL) {
        SasPoisonRequests_NoteLost(relay->poison_requests,
                                   SasRelay_GetFingerprint(call),
                                   call->server.slot, call->isolated);
    }
}

/* An attempt without an answer: the server may have failed, or the path to it.
 */
static void
note_path(const struct relay_call *call,
          const struct sas_http_failure *failure)
{
    struct sas_relay *relay = call->relay;
    const struct sas_fleet_server *server =
        SasFleet_GetServer(relay->options.fleet, call->server);
    if (failure->begun || server == NULL) {
        return;
    }
    if (failure->sent) {
        SasRelay_NoteNoAnswer(relay, call->service,
                              failure->error.code != SAS_ETIMEOUT);
        return;
    }
    SasRelay_NoteNoConnection(relay, call->service, server->hash,
                              call->sent_at);
}

static void
on_fail(struct sas_http_listener *listener,
        const struct sas_http_failure *failure)
{
    struct relay_call *call = (struct relay_call *)listener;
    end_attempt(call, false);
    if (failure->error.code == SAS_ETIMEOUT) {
        SasRelay_NoteMayHaveRun(call);
        note_path(call, failure);
        note_result(call, true);
        SasRelay_FailUnlessAnswered(call, "timed out", 504);
        return;
    }
    call->retry_same_server = was_dropped_idle(call, failure);
    if (call->retry_same_server) {
        SasRelay_GetService(call->relay, call->service)->avoid_idle_until =
            SasRelay_Now(call->relay) + AVOID_IDLE_MS;
    }
    else {
        note_path(call, failure);
        note_failure(call, failure->sent);
    }
    SasLog_WriteFields(
        SasLog_WARN, "attempt.failed", call->server_id,
        "{s:s, s:b, s:b, s:I, s:s, s:s, s:I, s:i}", "request",
        call->request_id, "sent", failure->sent, "begun", failure->begun,
        "rest_ms", (json_int_t)call->conn_idle_ms, "at", failure->error.step,
        "cause", failure->error.text, "conn", (json_int_t)call->conn.number,
        "nth", call->conn.nth);
    if (!failure->sent) {
        call->unsent++;
        SasRelay_Choose(call);
        return;
    }
    if (failure->error.code == SAS_ECAPACITY) {
        give_up_answer(call);
        return;
    }
    SasRelay_NoteMayHaveRun(call);
    note_lost(call);
    SasRelay_RetryOrFail(call, "connection lost");
}
