/* Sends a request through another entry VM, which reaches the servers when
 * this one doesn't, and handles those that come from another one.
 *
 * The request goes to the other's interface for entry VMs with its method,
 * target, body and headers, less the time that has passed. That one handles it
 * as its own caller's, but never passes it on a second time. Its reply states
 * whose verdict it is (VERDICT_HEADER): a server's answer, which is delivered
 * unchanged; a refusal, which promises that the request has not run; a failure
 * after which it may have run; or that it can't serve, and another one may.
 */
#include "relay_call.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <jansson.h>

#include "sas/log.h"

/* Header fields between entry VMs. */
#define PREFIX "Sas-Relay-"
#define CONFIG_HEADER PREFIX "Config"     /* version in force at the sender */
#define ATTEMPTS_HEADER PREFIX "Attempts" /* that may have run */
#define SERVICE_HEADER PREFIX "Service"   /* that the sender has picked */
#define VERDICT_HEADER PREFIX "Verdict"
#define LEAVING_HEADER PREFIX "Leaving" /* start of the server's process */

/* Entry VMs that are asked to serve a request, one after the other. */
#define MAX_PEERS 3

/* Connections that fail before a request goes through another entry VM, where
 * others of its service still open: the next servers may be reached. */
#define MAX_UNSENT 2

/* How long an entry VM that couldn't serve or be reached is not asked. */
#define AVOID_MS 2000

static const char *const verdict_names[RELAY_VERDICTS] = {
    [RELAY_NONE] = "none",           [RELAY_ANSWER] = "answer",
    [RELAY_REFUSED] = "refused",     [RELAY_FAILED] = "failed",
    [RELAY_ELSEWHERE] = "elsewhere",
};

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

bool
SasRelay_IsInternalHeader(const char *name)
{
    return strncasecmp(name, PREFIX, strlen(PREFIX)) == 0;
}

/* Sending. */

static bool
may_ask_another(const struct relay_call *call)
{
    return !call->relayed && call->peers_asked < MAX_PEERS;
}

bool
SasRelay_ShouldSendVia(const struct relay_call *call, int64_t now_ms)
{
    if (!may_ask_another(call)) {
        return false;
    }
    const struct sas_path *path =
        &SasRelay_GetService(call->relay, call->service)->path;
    return path->lost || call->unsent >= MAX_UNSENT ||
           (call->unsent > 0 && SasPath_IsFailing(path, now_ms));
}

bool
SasRelay_SendVia(struct relay_call *call)
{
    struct sas_relay *relay = call->relay;
    const char *service =
        SasFleet_GetService(relay->options.fleet, call->service)->name;
    uint64_t service_hash = SasMesh_HashService(service);
    if (!SasMesh_PickPeerFor(relay->options.mesh, service_hash,
                             call->route->allowed_regions, &call->peer)) {
        return false;
    }
    int64_t left_ms = call->deadline_at - SasRelay_Now(relay);
    struct sas_http_header headers[SasHttp_MAX_HEADERS + 4];
    int count = SasRelay_CopyHeaders(call, headers);
    char left[24];
    char config[24];
    char attempts[12];
    snprintf(left, sizeof(left), "%d", (int)left_ms);
    snprintf(config, sizeof(config), "%" G_GINT64_FORMAT,
             call->config->version);
    snprintf(attempts, sizeof(attempts), "%d", call->attempts);
    headers[count++] =
        (struct sas_http_header){relay->options.wire->deadline_ms, left};
    headers[count++] = (struct sas_http_header){CONFIG_HEADER, config};
    headers[count++] = (struct sas_http_header){ATTEMPTS_HEADER, attempts};
    headers[count++] = (struct sas_http_header){SERVICE_HEADER, service};
    struct sas_http_request request =
        SasRelay_MakeRequest(call, headers, count);
    SasRelay_ClearAnswer(call);
    call->conn = (struct sas_pooled_facts){0};
    call->peers_asked++;
    call->sent_at = SasRelay_Now(relay);
    call->listener.vtable = &listener_vtable;
    call->peer_conn =
        SasPeerPool_Acquire(relay->options.peer_pool, &call->peer);
    SasHttp_Send(SasPeerPool_GetConn(call->peer_conn), &request, left_ms,
                 &call->listener);
    return true;
}

bool
SasRelay_SendLastVia(struct relay_call *call)
{
    return call->unsent > 0 && may_ask_another(call) && SasRelay_SendVia(call);
}

/* The reply. */

static enum relay_verdict
read_verdict(const char *text)
{
    for (int i = 0; i < RELAY_VERDICTS; i++) {
        if (strcmp(text, verdict_names[i]) == 0) {
            return (enum relay_verdict)i;
        }
    }
    return RELAY_NONE;
}

/* The answer comes from a server that is leaving. This entry VM passes it on,
 * and must not send the server anything either once its own path works. */
static void
read_leaving_start(struct relay_call *call, const char *text)
{
    call->server_start = g_ascii_strtoull(text, NULL, 16);
    call->says_leaving = call->server_start != 0;
}

static void
on_head(struct sas_http_listener *listener, int status,
        const struct sas_http_header *headers, int header_count)
{
    struct relay_call *call = (struct relay_call *)listener;
    SasRelay_ClearAnswer(call);
    call->status = status;
    call->verdict = RELAY_NONE;
    for (int i = 0; i < header_count; i++) {
        if (strcasecmp(headers[i].name, VERDICT_HEADER) == 0) {
            call->verdict = read_verdict(headers[i].value);
        }
        else if (strcasecmp(headers[i].name, LEAVING_HEADER) == 0) {
            read_leaving_start(call, headers[i].value);
        }
        else {
            SasRelay_ApplyHeader(call, &headers[i]);
        }
    }
}

static void
count_verdict(const struct relay_call *call, const char *verdict)
{
    struct sas_metrics *metrics = call->relay->options.metrics;
    int counter = SasMetrics_RegisterCounter(
        metrics, "sas_requests_via_total", "verdict", verdict,
        "Requests sent through another entry VM, by its verdict");
    SasMetrics_Add(metrics, counter, 1);
}

/* The entry VM got nothing of the request, or can't serve it: another one is
 * asked, or the own path is tried. */
static void
ask_next(struct relay_call *call, const char *cause)
{
    struct sas_relay *relay = call->relay;
    SasMesh_AvoidPeer(relay->options.mesh, call->peer.member_id,
                      SasRelay_Now(relay) + AVOID_MS);
    SasLog_WriteFields(SasLog_INFO, "via.failed", call->peer.name,
                       "{s:s, s:s}", "request", call->request_id, "cause",
                       cause);
    SasRelay_Choose(call);
}

static int64_t
get_retry_after(const struct relay_call *call)
{
    for (guint i = 0; i + 1 < call->answer_headers->len; i += 2) {
        if (strcasecmp(call->answer_headers->pdata[i], "Retry-After") == 0) {
            double seconds =
                g_ascii_strtod(call->answer_headers->pdata[i + 1], NULL);
            return (int64_t)(CLAMP(seconds, 0.0, 60.0) * 1000);
        }
    }
    return SasRelay_RETRY_AFTER_MS;
}

static void
apply_verdict(struct relay_call *call, bool whole)
{
    switch (call->verdict) {
    case RELAY_ANSWER:
        SasRelay_NoteMayHaveRun(call);
        if (whole && !call->unusable) {
            SasRelay_Deliver(call);
            return;
        }
        SasRelay_RetryOrFail(call, "spoiled answer");
        return;
    case RELAY_REFUSED:
        SasRelay_EndUnserved(call, "refused by another",
                             get_retry_after(call));
        return;
    case RELAY_FAILED:
        SasRelay_FailUnlessAnswered(call, "failed at another", call->status);
        return;
    case RELAY_ELSEWHERE:
        ask_next(call, "it can't serve");
        return;
    case RELAY_NONE:
    case RELAY_VERDICTS:
        /* Its HTTP server has refused the request before anything ran. */
        ask_next(call, "it didn't accept the request");
        return;
    }
}

static void
on_end(struct sas_http_listener *listener, bool whole, bool reusable)
{
    struct relay_call *call = (struct relay_call *)listener;
    if (reusable) {
        SasPeerPool_Release(call->peer_conn);
    }
    call->peer_conn = NULL;
    if (call->says_leaving) {
        SasRelay_NoteLeaving(call);
    }
    count_verdict(call, verdict_names[call->verdict]);
    apply_verdict(call, whole);
}

static void
on_fail(struct sas_http_listener *listener,
        const struct sas_http_failure *failure)
{
    struct relay_call *call = (struct relay_call *)listener;
    call->peer_conn = NULL;
    count_verdict(call, failure->sent ? "lost" : "unreachable");
    if (!failure->sent) {
        ask_next(call, failure->error.text);
        return;
    }
    SasRelay_NoteMayHaveRun(call);
    if (failure->error.code == SAS_ETIMEOUT) {
        SasRelay_FailUnlessAnswered(call, "timed out", 504);
        return;
    }
    SasMesh_AvoidPeer(call->relay->options.mesh, call->peer.member_id,
                      SasRelay_Now(call->relay) + AVOID_MS);
    SasRelay_RetryOrFail(call, "connection lost");
}

/* Requests that come from another entry VM. */

void
SasRelay_AddVerdict(const struct relay_call *call,
                    struct sas_http_header *header)
{
    header->name = VERDICT_HEADER;
    header->value = verdict_names[call->verdict];
}

void
SasRelay_AddLeaving(struct relay_call *call)
{
    g_ptr_array_add(call->answer_headers, g_strdup(LEAVING_HEADER));
    g_ptr_array_add(
        call->answer_headers,
        g_strdup_printf("%" G_GINT64_MODIFIER "x", call->server_start));
}

bool
SasRelay_ReadRelayed(struct relay_call *call, int64_t *config_version)
{
    const char *version =
        SasHttpExchange_FindHeader(call->exchange, CONFIG_HEADER);
    const char *attempts =
        SasHttpExchange_FindHeader(call->exchange, ATTEMPTS_HEADER);
    if (version == NULL || attempts == NULL) {
        return false;
    }
    call->relayed = true;
    call->verdict = RELAY_FAILED;
    call->attempts = (int)CLAMP(strtol(attempts, NULL, 10), 0, G_MAXINT16);
    *config_version = strtoll(version, NULL, 10);
    return true;
}

int
SasRelay_FindRelayedService(const struct relay_call *call)
{
    const char *name =
        SasHttpExchange_FindHeader(call->exchange, SERVICE_HEADER);
    int service = call->relayed && name != NULL
                      ? SasFleet_FindService(call->relay->options.fleet, name)
                      : SasModel_NONE;
    for (guint i = 0; i < call->route->parts->len; i++) {
        if (g_array_index(call->route->parts, struct sas_route_part, i)
                .service == service) {
            return service;
        }
    }
    return SasModel_NONE;
}

bool
SasRelay_IsRelayed(const struct sas_http_exchange *exchange)
{
    return SasHttpExchange_FindHeader(exchange, CONFIG_HEADER) != NULL;
}
