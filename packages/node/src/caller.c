#include "caller.h"

#include <arpa/inet.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "sas/metrics.h"

#define RETRY_AFTER_S 1

struct sas_caller {
    struct sas_caller_options options;
    struct sas_h2o_server *server;
    GList *exchanges; /* of struct exchange */
    uv_timer_t sweep;
    bool stopping;
    int64_t refusing_since; /* microseconds, real time; 0: not refusing */
};

/* A request between h2o and the forwarder, allocated in the request's own
 * memory. */
struct exchange {
    struct sas_forward_reply reply; /* first: the vtable */
    h2o_generator_t generator;
    struct sas_caller *caller;
    h2o_req_t *req;
    struct sas_forward_call *call; /* NULL once it has ended */
    GString *sending;              /* owned by h2o until on_proceed() */
    GString *pending;
    bool started;  /* an answer's head was passed to h2o */
    bool h2o_busy; /* h2o is sending */
    bool ended;    /* no more bytes will come */
    bool aborted;  /* ended before the answer was complete */
    bool paused;
    bool gone;
};

static const struct sas_forward_reply_vtable reply_vtable;
static int handle_request(struct sas_h2o_server_handler *handler,
                          h2o_req_t *req);
static int handle_lookup(struct sas_h2o_server_handler *handler,
                         h2o_req_t *req);
static int handle_health(struct sas_h2o_server_handler *handler,
                         h2o_req_t *req);
static void on_sweep(uv_timer_t *timer);

struct sas_caller *
SasCaller_Open(const struct sas_caller_options *options,
               const struct sas_address *address, struct sas_error *error)
{
    struct sas_caller *caller = g_new0(struct sas_caller, 1);
    caller->options = *options;
    caller->server = SasH2oServer_Open(options->loop, &options->limits);
    SasH2oServer_RegisterCounters(caller->server, options->counters->metrics,
                                  "caller");
    SasH2oServer_AddHandler(caller->server, "/s", handle_request, caller);
    SasH2oServer_AddHandler(caller->server, "/v1/lookup", handle_lookup,
                            caller);
    SasH2oServer_AddHandler(caller->server, "/v1/health", handle_health,
                            caller);
    uv_timer_init(options->loop, &caller->sweep);
    caller->sweep.data = caller;
    uv_timer_start(&caller->sweep, on_sweep, SasCaller_CHECK_INTERVAL_MS,
                   SasCaller_CHECK_INTERVAL_MS);
    if (SasH2oServer_Listen(caller->server, address, error) != 0) {
        SasCaller_Close(caller);
        return NULL;
    }
    return caller;
}

void
SasCaller_Close(struct sas_caller *caller)
{
    uv_close((uv_handle_t *)&caller->sweep, NULL);
    SasH2oServer_Close(caller->server);
}

void
SasCaller_StartStopping(struct sas_caller *caller)
{
    caller->stopping = true;
}

void
SasCaller_RefuseRequests(struct sas_caller *caller)
{
    if (caller->refusing_since == 0) {
        caller->refusing_since = g_get_real_time();
    }
}

int
SasCaller_CountActive(const struct sas_caller *caller)
{
    /* h2o hands over a request when its body is complete. A shutdown that
     * counted only those would break uploads in progress. */
    return MAX((int)g_list_length(caller->exchanges),
               SasH2oServer_CountRequests(caller->server));
}

bool
SasCaller_End(struct sas_caller *caller)
{
    SasH2oServer_StopListening(caller->server);
    if (SasH2oServer_CountLingering(caller->server) > 0) {
        return false;
    }
    SasH2oServer_StopReading(caller->server);
    return true;
}

/* Refusals. */

static void
answer_refusal(struct sas_caller *caller, h2o_req_t *req,
               enum sas_refusal reason, enum sas_outcome outcome,
               int retry_after_s)
{
    char body[160];
    int size = snprintf(
        body, sizeof(body), "{\"reason\":\"%s\",\"outcome\":\"%s\"}\n",
        SasRefusal_GetName(reason), SasRefusal_GetOutcomeName(outcome));
    SasH2oServer_AddHeader(req, "sas-outcome",
                           SasRefusal_GetOutcomeName(outcome));
    SasH2oServer_AddHeader(req, "sas-reason", SasRefusal_GetName(reason));
    if (retry_after_s > 0) {
        char seconds[16];
        snprintf(seconds, sizeof(seconds), "%d", retry_after_s);
        SasH2oServer_AddHeader(req, "retry-after", seconds);
    }
    if (caller->stopping) {
        SasH2oServer_CloseAfterAnswer(caller->server, req);
    }
    SasH2oServer_Answer(req, SasRefusal_GetStatus(reason), "application/json",
                        body, (size_t)size);
}

static int
refuse_early(struct sas_caller *caller, h2o_req_t *req,
             enum sas_refusal reason)
{
    const struct sas_counters *counters = caller->options.counters;
    SasMetrics_Add(counters->metrics, counters->refusals[reason], 1);
    bool later = SasRefusal_GetStatus(reason) == 503;
    answer_refusal(caller, req, reason, SAS_OUTCOME_NOT_RUN,
                   later ? RETRY_AFTER_S : 0);
    return 0;
}

/* Passing answers to h2o. */

static void
send_next(struct exchange *exchange)
{
    if (exchange->h2o_busy || exchange->req == NULL) {
        return;
    }
    if (exchange->pending->len == 0 && !exchange->ended) {
        return;
    }
    GString *full = exchange->pending;
    exchange->pending = exchange->sending;
    exchange->sending = full;
    g_string_truncate(exchange->pending, 0);
    h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
    if (exchange->ended) {
        state =
            exchange->aborted ? H2O_SEND_STATE_ERROR : H2O_SEND_STATE_FINAL;
    }
    exchange->h2o_busy = true;
    h2o_iovec_t buffer =
        h2o_iovec_init(exchange->sending->str, exchange->sending->len);
    h2o_send(exchange->req, &buffer, buffer.len > 0 ? 1 : 0, state);
}

static void
on_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
    (void)req;
    struct exchange *exchange =
        (struct exchange *)((char *)generator -
                            offsetof(struct exchange, generator));
    exchange->h2o_busy = false;
    if (exchange->paused &&
        exchange->pending->len <= SasForward_LOW_WATERMARK_BYTES) {
        exchange->paused = false;
        if (exchange->call != NULL) {
            SasForward_Resume(exchange->call);
        }
    }
    send_next(exchange);
}

/* h2o drops the answer: the caller's connection is closed. */
static void
on_stop(h2o_generator_t *generator, h2o_req_t *req)
{
    (void)req;
    struct exchange *exchange =
        (struct exchange *)((char *)generator -
                            offsetof(struct exchange, generator));
    exchange->h2o_busy = true;
    if (exchange->call != NULL) {
        struct sas_forward_call *call = exchange->call;
        exchange->call = NULL;
        SasForward_Cancel(call);
    }
}

/* The request's memory is freed. */
static void
on_dispose(void *data)
{
    struct exchange *exchange = data;
    exchange->caller->exchanges =
        g_list_remove(exchange->caller->exchanges, exchange);
    if (exchange->call != NULL) {
        SasForward_Cancel(exchange->call);
    }
    g_string_free(exchange->sending, TRUE);
    g_string_free(exchange->pending, TRUE);
}

static void
reply_on_refuse(struct sas_forward_reply *reply, enum sas_refusal reason,
                enum sas_outcome outcome, int retry_after_s)
{
    struct exchange *exchange = (struct exchange *)reply;
    exchange->call = NULL;
    exchange->ended = true;
    exchange->started = true;
    answer_refusal(exchange->caller, exchange->req, reason, outcome,
                   retry_after_s);
}

static void
reply_on_head(struct sas_forward_reply *reply,
              const struct sas_forward_answer *answer)
{
    struct exchange *exchange = (struct exchange *)reply;
    h2o_req_t *req = exchange->req;
    req->res.status = answer->status;
    req->res.reason = SasHttp_GetReasonPhrase(answer->status);
    for (int i = 0; i < answer->header_count; i++) {
        SasH2oServer_AddHeader(req, answer->headers[i].name,
                               answer->headers[i].value);
    }
    if (answer->backend != NULL) {
        SasH2oServer_AddHeader(req, "sas-backend", answer->backend);
        SasH2oServer_AddHeader(req, "sas-region", answer->region);
    }
    else {
        SasH2oServer_AddHeader(req, "sas-replayed", "1");
    }
    if (answer->length >= 0) {
        req->res.content_length = (size_t)answer->length;
    }
    if (exchange->caller->stopping) {
        SasH2oServer_CloseAfterAnswer(exchange->caller->server, req);
    }
    exchange->generator.proceed = on_proceed;
    exchange->generator.stop = on_stop;
    exchange->started = true;
    h2o_start_response(req, &exchange->generator);
}

static void
reply_on_body(struct sas_forward_reply *reply, const char *data, size_t size)
{
    struct exchange *exchange = (struct exchange *)reply;
    g_string_append_len(exchange->pending, data, (gssize)size);
    if (!exchange->paused && exchange->call != NULL &&
        exchange->pending->len > SasForward_HIGH_WATERMARK_BYTES) {
        exchange->paused = true;
        SasForward_Pause(exchange->call);
    }
    send_next(exchange);
}

static void
reply_on_end(struct sas_forward_reply *reply)
{
    struct exchange *exchange = (struct exchange *)reply;
    exchange->call = NULL;
    exchange->ended = true;
    send_next(exchange);
}

static void
reply_on_abort(struct sas_forward_reply *reply)
{
    struct exchange *exchange = (struct exchange *)reply;
    exchange->call = NULL;
    exchange->ended = true;
    exchange->aborted = true;
    exchange->req->http1_is_persistent = 0;
    send_next(exchange);
}

static const struct sas_forward_reply_vtable reply_vtable = {
    .on_refuse = reply_on_refuse,
    .on_head = reply_on_head,
    .on_body = reply_on_body,
    .on_end = reply_on_end,
    .on_abort = reply_on_abort,
};

/* Ends a request before any part of its answer was sent. */
static void
fail_exchange(struct exchange *exchange, enum sas_refusal reason)
{
    struct sas_forward_call *call = exchange->call;
    exchange->call = NULL;
    exchange->started = true;
    SasForward_Cancel(call);
    exchange->req->http1_is_persistent = 0;
    answer_refusal(exchange->caller, exchange->req, reason,
                   SAS_OUTCOME_UNKNOWN, 0);
}

void
SasCaller_FailPending(struct sas_caller *caller)
{
    GList *link = caller->exchanges;
    while (link != NULL) {
        struct exchange *exchange = link->data;
        link = link->next;
        if (!exchange->started) {
            fail_exchange(exchange, SAS_REFUSE_LOST);
        }
    }
}

/* h2o does not read while a request is in progress, so it does not notice that
 * the caller has disconnected. Without this check of the socket a backend
 * server would keep working on a request without a caller. */
static void
on_sweep(uv_timer_t *timer)
{
    struct sas_caller *caller = timer->data;
    GList *link = caller->exchanges;
    while (link != NULL) {
        struct exchange *exchange = link->data;
        link = link->next;
        if (!exchange->started && SasH2oServer_IsGone(exchange->req)) {
            fail_exchange(exchange, SAS_REFUSE_CALLER_GONE);
        }
    }
}

/* Requests. */

/* Parses "/s/SERVICE/PATH?QUERY"; *target starts at PATH's slash and is "/"
 * without one. */
static int
find_service(const struct sas_model *model, const char *path,
             const char **target)
{
    const char *name = path + strlen("/s/");
    size_t length = strcspn(name, "/?");
    char service[SasModel_NAME_SIZE];
    if (strncmp(path, "/s/", 3) != 0 || length >= sizeof(service)) {
        return SasModel_NONE;
    }
    memcpy(service, name, length);
    service[length] = '\0';
    *target = name[length] == '/' ? name + length : "/";
    return SasModel_FindService(model, service);
}

/* PATH of "/s/SERVICE/PATH" as normalized by h2o, with single slashes; NULL
 * when normalization leads to another service. */
static const char *
get_route(h2o_req_t *req, const struct sas_model *model, int service)
{
    char *path = SasH2oServer_CopyText(req, req->path_normalized);
    const char *route = NULL;
    if (find_service(model, path, &route) != service) {
        return NULL;
    }
    char *single = h2o_mem_alloc_pool(&req->pool, strlen(route) + 1);
    size_t length = 0;
    for (const char *c = route; *c != '\0'; c++) {
        if (*c != '/' || length == 0 || single[length - 1] != '/') {
            single[length++] = *c;
        }
    }
    single[length] = '\0';
    return single;
}

static bool
is_known_method(const char *method)
{
    static const char *const names[] = {"GET",   "HEAD",   "POST",   "PUT",
                                        "PATCH", "DELETE", "OPTIONS"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (strcmp(method, names[i]) == 0) {
            return true;
        }
    }
    return false;
}

static bool
is_read(h2o_req_t *req)
{
    const char *method = SasH2oServer_CopyText(req, req->method);
    return strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0;
}

/* A backend server closes the connection on a head that is too large, and the
 * caller would be told that its request may have run. */
static bool
is_head_too_large(const h2o_req_t *req)
{
    size_t size = req->path.len;
    for (size_t i = 0; i < req->headers.size; i++) {
        const h2o_header_t *header = &req->headers.entries[i];
        size += header->name->len + header->value.len;
    }
    return size > SasCaller_MAX_HEADER_BYTES;
}

static bool
is_visible_text(const char *text, size_t max_length)
{
    size_t length = strlen(text);
    if (length == 0 || length > max_length) {
        return false;
    }
    for (size_t i = 0; i < length; i++) {
        if (!g_ascii_isgraph(text[i])) {
            return false;
        }
    }
    return true;
}

/* Reads the deadline, the idempotency key and the caller's identity; false
 * when one is invalid. */
static bool
read_headers(h2o_req_t *req, const struct sas_service *service,
             struct sas_forward_request *request, const char *ip)
{
    const char *deadline = SasH2oServer_GetHeader(req, "sas-deadline-ms");
    request->deadline_ms = service->deadline_ms;
    if (deadline != NULL) {
        char *end = NULL;
        request->deadline_ms = g_ascii_strtoll(deadline, &end, 10);
        if (*end != '\0' || end == deadline || request->deadline_ms < 0) {
            return false;
        }
    }
    request->key = SasH2oServer_GetHeader(req, "idempotency-key");
    if (request->key != NULL && !is_visible_text(request->key, 128)) {
        return false;
    }
    const char *identity = SasH2oServer_GetHeader(req, "sas-caller");
    if (identity != NULL && !is_visible_text(identity, 128)) {
        return false;
    }
    request->caller = identity != NULL ? identity : ip;
    return true;
}

static struct exchange *
create_exchange(struct sas_caller *caller, h2o_req_t *req)
{
    struct exchange *exchange =
        h2o_mem_alloc_shared(&req->pool, sizeof(struct exchange), on_dispose);
    memset(exchange, 0, sizeof(*exchange));
    exchange->reply.vtable = &reply_vtable;
    exchange->caller = caller;
    exchange->req = req;
    exchange->sending = g_string_new(NULL);
    exchange->pending = g_string_new(NULL);
    caller->exchanges = g_list_prepend(caller->exchanges, exchange);
    return exchange;
}

/* Arrival of its first byte, microseconds of real time. */
static int64_t
get_begin_us(const h2o_req_t *req)
{
    const struct timeval *begin = &req->timestamps.request_begin_at;
    return (int64_t)begin->tv_sec * G_USEC_PER_SEC + begin->tv_usec;
}

static int
handle_request(struct sas_h2o_server_handler *handler, h2o_req_t *req)
{
    struct sas_caller *caller = handler->data;
    const struct sas_model *model = caller->options.model;
    if (caller->refusing_since != 0 &&
        get_begin_us(req) > caller->refusing_since) {
        return refuse_early(caller, req, SAS_REFUSE_STOPPING);
    }
    const char *target = NULL;
    struct sas_forward_request request = {0};
    char *path = SasH2oServer_CopyText(req, req->path);
    request.service = find_service(model, path, &target);
    if (request.service == SasModel_NONE) {
        return refuse_early(caller, req, SAS_REFUSE_UNKNOWN_SERVICE);
    }
    request.method = SasH2oServer_CopyText(req, req->method);
    if (!is_known_method(request.method)) {
        return refuse_early(caller, req, SAS_REFUSE_METHOD);
    }
    request.route = get_route(req, model, request.service);
    char ip[SasModel_IP_SIZE];
    request.caller_ip = SasH2oServer_GetCallerIp(req, ip, sizeof(ip));
    if (request.route == NULL || is_head_too_large(req) ||
        !read_headers(req, &model->services[request.service], &request, ip)) {
        return refuse_early(caller, req, SAS_REFUSE_BAD_REQUEST);
    }
    request.target = target;
    request.body = req->entity.base;
    request.body_size = req->entity.len;
    struct sas_http_header *headers = h2o_mem_alloc_pool(
        &req->pool, sizeof(*headers) * (req->headers.size + 1));
    for (size_t i = 0; i < req->headers.size; i++) {
        h2o_header_t *header = &req->headers.entries[i];
        headers[i].name = SasH2oServer_CopyText(req, *header->name);
        headers[i].value = SasH2oServer_CopyText(req, header->value);
    }
    request.headers = headers;
    request.header_count = (int)req->headers.size;
    struct exchange *exchange = create_exchange(caller, req);
    struct sas_forward_call *call =
        SasForward_Begin(caller->options.forward, &request, &exchange->reply);
    if (!exchange->ended) {
        exchange->call = call;
    }
    return 0;
}

/* Lookups. */

static json_t *
describe_vm(const struct sas_model *model, int index)
{
    const struct sas_vm *vm = &model->vms[index];
    const struct sas_domain *domain = &model->domains[vm->domain];
    return json_pack("{s:s, s:s, s:i, s:s, s:s}", "name", vm->name, "ip",
                     vm->caller.ip, "port", vm->caller.port, "region",
                     model->regions[domain->region].name, "domain",
                     domain->name);
}

static int
handle_lookup(struct sas_h2o_server_handler *handler, h2o_req_t *req)
{
    struct sas_caller *caller = handler->data;
    const struct sas_model *model = caller->options.model;
    const struct sas_counters *counters = caller->options.counters;
    if (!is_read(req)) {
        return refuse_early(caller, req, SAS_REFUSE_METHOD);
    }
    char ip[SasModel_IP_SIZE];
    uint32_t caller_ip = SasH2oServer_GetCallerIp(req, ip, sizeof(ip));
    const char *other = SasH2oServer_GetParameter(req, "address");
    struct in_addr address;
    if (other != NULL) {
        if (inet_pton(AF_INET, other, &address) != 1) {
            return refuse_early(caller, req, SAS_REFUSE_BAD_REQUEST);
        }
        caller_ip = ntohl(address.s_addr);
    }
    const char *name = SasH2oServer_GetParameter(req, "service");
    int service =
        name != NULL ? SasModel_FindService(model, name) : SasModel_NONE;
    if (service == SasModel_NONE) {
        return refuse_early(caller, req, SAS_REFUSE_UNKNOWN_SERVICE);
    }
    struct sas_router_lookup result;
    if (SasRouter_Lookup(caller->options.router, service, caller_ip,
                         &result) != 0) {
        return refuse_early(caller, req, SAS_REFUSE_NO_CONFIG);
    }
    SasMetrics_Add(counters->metrics, counters->lookups, 1);
    json_t *vms = json_array();
    for (int i = 0; i < result.vm_count; i++) {
        json_array_append_new(vms, describe_vm(model, result.vms[i]));
    }
    json_t *answer = json_pack("{s:s, s:s, s:I, s:i, s:o}", "service", name,
                               "region", model->regions[result.region].name,
                               "version", (json_int_t)result.version,
                               "lifetime_s", result.lifetime_s, "vms", vms);
    char *text = json_dumps(answer, JSON_COMPACT);
    SasH2oServer_Answer(req, 200, "application/json", text, strlen(text));
    free(text);
    json_decref(answer);
    return 0;
}

static int
handle_health(struct sas_h2o_server_handler *handler, h2o_req_t *req)
{
    struct sas_caller *caller = handler->data;
    if (!is_read(req)) {
        return refuse_early(caller, req, SAS_REFUSE_METHOD);
    }
    int64_t version = SasRouter_GetVersion(caller->options.router);
    bool ready =
        SasRouter_IsReady(caller->options.router) && !caller->stopping;
    char body[96];
    int size = snprintf(
        body, sizeof(body),
        "{\"ready\":%s,\"stopping\":%s,\"version\":%" G_GINT64_FORMAT "}\n",
        ready ? "true" : "false", caller->stopping ? "true" : "false",
        version);
    if (!ready) {
        SasH2oServer_AddHeader(req, "retry-after", "1");
    }
    SasH2oServer_Answer(req, ready ? 200 : 503, "application/json", body,
                        (size_t)size);
    return 0;
}
