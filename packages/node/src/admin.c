#include "admin.h"

#include <openssl/crypto.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sas/log.h"
#include "sas/metrics.h"

#define MAX_CONNECTIONS 128
#define JSON_TYPE "application/json"

struct sas_admin {
    struct sas_admin_options options;
    struct sas_h2o_server *server;
    int unauthorized;
    int waiting; /* calls that wait for the store */
    uint64_t next_operation;
};

/* Allocated in the request's memory, whose disposal it reports to the call. */
struct admin_link {
    struct admin_call *call;
};

/* A call that waits for the store, which frees it with its answer. req is NULL
 * once the request's memory is gone. */
struct admin_call {
    struct sas_put_listener put_listener; /* first */
    /* for history and operations */
    struct sas_history_listener history_listener;
    struct sas_admin *admin;
    h2o_req_t *req;
    struct admin_link *link;
    char operation[SasConfig_NAME_SIZE];
    bool is_operation;
};

static int handle(struct sas_h2o_server_handler *handler, h2o_req_t *req);

struct sas_admin *
SasAdmin_Open(const struct sas_admin_options *options,
              const struct sas_address *address, struct sas_error *error)
{
    static const char *const paths[] = {
        "/v1/sheet",  "/v1/history", "/v1/operations", "/v1/drain",
        "/v1/status", "/v1/health",  "/metrics"};
    struct sas_admin *admin = g_new0(struct sas_admin, 1);
    admin->options = *options;
    admin->unauthorized = SasMetrics_RegisterCounter(
        options->metrics, "sas_admin_unauthorized_total", NULL, NULL,
        "Admin calls without the right token");
    struct sas_h2o_server_limits limits = {
        .body_limit = SasSheet_MAX_BYTES,
        .bodies_limit = 4 * (size_t)SasSheet_MAX_BYTES,
        .max_connections = MAX_CONNECTIONS,
    };
    admin->server = SasH2oServer_Open(options->loop, &limits);
    SasH2oServer_RegisterCounters(admin->server, options->metrics, "admin");
    for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
        SasH2oServer_AddHandler(admin->server, paths[i], handle, admin);
    }
    if (SasH2oServer_Listen(admin->server, address, error) != 0) {
        SasAdmin_Close(admin);
        return NULL;
    }
    return admin;
}

void
SasAdmin_Close(struct sas_admin *admin)
{
    SasH2oServer_Close(admin->server);
    g_free(admin);
}

int
SasAdmin_CountWaiting(const struct sas_admin *admin)
{
    return admin->waiting;
}

void
SasAdmin_End(struct sas_admin *admin)
{
    SasH2oServer_StopListening(admin->server);
    SasH2oServer_StopReading(admin->server);
}

/* Answering. */

static void
answer_json(h2o_req_t *req, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT | JSON_REAL_PRECISION(6));
    SasH2oServer_Answer(req, status, JSON_TYPE, text, strlen(text));
    free(text);
    json_decref(body);
}

static int
answer_reason(h2o_req_t *req, int status, const char *reason, const char *text)
{
    if (status == 503) {
        SasH2oServer_AddHeader(req, "retry-after", "1");
    }
    answer_json(req, status,
                json_pack("{s:s, s:s}", "reason", reason, "text", text));
    return 0;
}

/* Compares the token in constant time, so that timing does not reveal how much
 * of a guess is right. */
static bool
is_authorized(struct sas_admin *admin, h2o_req_t *req)
{
    if (admin->options.token == NULL) {
        return true;
    }
    const char *value = SasH2oServer_GetHeader(req, "authorization");
    if (value == NULL || !g_str_has_prefix(value, "Bearer ")) {
        return false;
    }
    value += strlen("Bearer ");
    size_t size = strlen(admin->options.token);
    return strlen(value) == size &&
           CRYPTO_memcmp(value, admin->options.token, size) == 0;
}

/* Puts. */

static void
answer_put(h2o_req_t *req, const struct sas_put_answer *answer)
{
    switch (answer->result) {
    case SAS_PUT_DONE:
        answer_json(req, 200,
                    json_pack("{s:I, s:s}", "version",
                              (json_int_t)answer->version, "operation",
                              answer->operation));
        return;
    case SAS_PUT_BAD_SHEET:
        answer_json(req, 422,
                    json_pack("{s:s, s:i, s:s, s:s}", "reason", "bad-sheet",
                              "row", answer->sheet_error.row, "column",
                              answer->sheet_error.column, "text",
                              answer->sheet_error.reason));
        return;
    case SAS_PUT_CONFLICT:
        answer_json(req, 409,
                    json_pack("{s:s, s:I, s:s, s:s}", "reason", "conflict",
                              "version", (json_int_t)answer->version,
                              "operation", answer->operation, "operator",
                              answer->operator_name));
        return;
    case SAS_PUT_UNAVAILABLE:
        answer_reason(req, 503, "store-unavailable",
                      "the store can't be reached; nothing was changed");
        return;
    case SAS_PUT_UNKNOWN:
        break;
    }
    answer_reason(req, 503, "unknown",
                  "the change may have taken effect; put it again with the "
                  "same operation, or ask for the operation");
}

static void
free_call(struct admin_call *call)
{
    if (call->req != NULL) {
        call->link->call = NULL;
    }
    call->admin->waiting--;
    g_free(call);
}

static void
on_put_answer(struct sas_put_listener *user,
              const struct sas_put_answer *answer)
{
    struct admin_call *call = (struct admin_call *)user;
    h2o_req_t *req = call->req;
    free_call(call);
    if (req != NULL) {
        answer_put(req, answer);
    }
}

/* The request's memory is freed, perhaps before its call was answered. */
static void
on_request_gone(void *data)
{
    struct admin_link *link = data;
    if (link->call != NULL) {
        link->call->req = NULL;
    }
}

static struct admin_call *
create_call(struct sas_admin *admin, h2o_req_t *req)
{
    struct admin_call *call = g_new0(struct admin_call, 1);
    call->admin = admin;
    call->req = req;
    admin->waiting++;
    call->link =
        h2o_mem_alloc_shared(&req->pool, sizeof(*call->link), on_request_gone);
    call->link->call = call;
    call->put_listener.on_answer = on_put_answer;
    return call;
}

static bool
is_name(const char *text)
{
    size_t length = strlen(text);
    if (length == 0 || length >= SasConfig_NAME_SIZE) {
        return false;
    }
    for (size_t i = 0; i < length; i++) {
        if (!g_ascii_isalnum(text[i]) && strchr("._-", text[i]) == NULL) {
            return false;
        }
    }
    return true;
}

/* Reads the headers of a change; -1 when one is invalid and was answered. */
static int
read_put_headers(struct sas_admin *admin, h2o_req_t *req, struct sas_put *put)
{
    const char *vm = admin->options.vm;
    put->operation = SasH2oServer_GetHeader(req, "sas-operation");
    put->operator_name = SasH2oServer_GetHeader(req, "sas-operator");
    if (put->operation == NULL) {
        char *name = h2o_mem_alloc_pool(&req->pool, SasConfig_NAME_SIZE);
        snprintf(name, SasConfig_NAME_SIZE,
                 "%.24s-%" G_GINT64_FORMAT "-%" G_GUINT64_FORMAT, vm,
                 admin->options.get_wall_ms(), ++admin->next_operation);
        put->operation = name;
    }
    if (put->operator_name == NULL) {
        put->operator_name = "unnamed";
    }
    if (!is_name(put->operation) || !is_name(put->operator_name)) {
        answer_reason(req, 400, "bad-header",
                      "Sas-Operation and Sas-Operator take 1 to 64 letters, "
                      "digits, '.', '_' and '-'");
        return -1;
    }
    put->if_version = -1;
    const char *match = SasH2oServer_GetHeader(req, "if-match");
    if (match != NULL) {
        char *end = NULL;
        const char *digits = match + strspn(match, "\"");
        put->if_version = g_ascii_strtoll(digits, &end, 10);
        if (end == digits || put->if_version < 0) {
            answer_reason(req, 400, "bad-header",
                          "If-Match takes a version number");
            return -1;
        }
    }
    return 0;
}

static int
refuse_change(h2o_req_t *req)
{
    return answer_reason(req, 403, "read-only",
                         "this entry VM was started without an operators' "
                         "token; it takes no changes");
}

static int
put_sheet(struct sas_admin *admin, h2o_req_t *req)
{
    if (admin->options.read_only) {
        return refuse_change(req);
    }
    struct sas_put put = {0};
    if (read_put_headers(admin, req, &put) != 0) {
        return 0;
    }
    const char *dry_run = SasH2oServer_GetParameter(req, "dry_run");
    put.dry_run = dry_run != NULL && strcmp(dry_run, "0") != 0;
    put.sheet = req->entity.len > 0 ? req->entity.base : "";
    put.sheet_size = req->entity.len;
    SasConfigStore_Put(admin->options.config_store, &put,
                       &create_call(admin, req)->put_listener);
    return 0;
}

static int
put_drain(struct sas_admin *admin, h2o_req_t *req)
{
    if (admin->options.read_only) {
        return refuse_change(req);
    }
    const struct sas_model *model = admin->options.model;
    struct sas_put put = {0};
    const char *target = SasH2oServer_GetParameter(req, "target");
    if (target == NULL || read_put_headers(admin, req, &put) != 0) {
        return target == NULL
                   ? answer_reason(req, 400, "bad-request", "target=NAME")
                   : 0;
    }
    SasConfigStore_RefreshModel(admin->options.config_store);
    put.drain_kind = SAS_DRAIN_BACKEND;
    put.drain_target = SasModel_FindBackend(model, target);
    if (put.drain_target == SasModel_NONE) {
        put.drain_kind = SAS_DRAIN_VM;
        put.drain_target = SasModel_FindVm(model, target);
    }
    if (put.drain_target == SasModel_NONE) {
        return answer_reason(req, 404, "not-found",
                             "no backend server or entry VM of this name");
    }
    SasConfigStore_Put(admin->options.config_store, &put,
                       &create_call(admin, req)->put_listener);
    return 0;
}

/* Reading. */

static int
get_sheet(struct sas_admin *admin, h2o_req_t *req)
{
    const struct sas_config *config =
        SasConfigStore_GetCurrent(admin->options.config_store);
    if (config == NULL) {
        return answer_reason(req, 404, "not-found", "no sheet is in force");
    }
    char etag[32];
    snprintf(etag, sizeof(etag), "\"%" G_GINT64_FORMAT "\"", config->version);
    SasH2oServer_AddHeader(req, "etag", etag);
    SasH2oServer_Answer(req, 200, "text/csv", config->sheet_text,
                        strlen(config->sheet_text));
    return 0;
}

static json_t *
describe_operation(const json_t *history, const char *operation)
{
    size_t index;
    json_t *row;
    const json_t *rows = json_object_get(history, "versions");
    json_array_foreach(rows, index, row)
    {
        const char *id = json_string_value(json_object_get(row, "operation"));
        if (id != NULL && strcmp(id, operation) == 0) {
            return json_pack("{s:s, s:s, s:O}", "operation", operation,
                             "state", "in-force", "version",
                             json_object_get(row, "version"));
        }
    }
    /* It may still be in progress. Putting it again with the same id tells. */
    return json_pack("{s:s, s:s, s:i}", "operation", operation, "state",
                     "unknown", "version", 0);
}

static void
on_history(struct sas_history_listener *user, const json_t *history)
{
    struct admin_call *call =
        (struct admin_call *)((char *)user -
                              offsetof(struct admin_call, history_listener));
    h2o_req_t *req = call->req;
    bool is_operation = call->is_operation;
    g_autofree char *operation = g_strdup(call->operation);
    free_call(call);
    if (req == NULL) {
        return;
    }
    if (history == NULL) {
        answer_reason(req, 503, "store-unavailable",
                      "the store can't be read");
    }
    else if (is_operation) {
        answer_json(req, 200, describe_operation(history, operation));
    }
    else {
        answer_json(req, 200, json_deep_copy(history));
    }
}

static int
get_history(struct sas_admin *admin, h2o_req_t *req, const char *operation)
{
    struct admin_call *call = create_call(admin, req);
    call->history_listener.on_history = on_history;
    if (operation != NULL) {
        call->is_operation = true;
        g_strlcpy(call->operation, operation, sizeof(call->operation));
    }
    SasConfigStore_ReadHistory(admin->options.config_store,
                               &call->history_listener);
    return 0;
}

static int
get_status(struct sas_admin *admin, h2o_req_t *req)
{
    const struct sas_admin_options *options = &admin->options;
    struct sas_admin_view *view = options->view;
    json_t *status = view->describe(view);
    json_object_set_new(status, "vm", json_string(options->vm));
    json_object_set_new(status, "ready", json_boolean(view->is_ready(view)));
    json_object_set_new(status, "version",
                        json_integer(view->get_version(view)));
    json_object_set_new(status, "time_ms",
                        json_integer(options->get_wall_ms()));
    answer_json(req, 200, status);
    return 0;
}

static int
get_health(struct sas_admin *admin, h2o_req_t *req)
{
    bool ready = admin->options.view->is_ready(admin->options.view);
    answer_json(req, ready ? 200 : 503,
                json_pack("{s:b}", "ready", (int)ready));
    return 0;
}

static int
get_metrics(struct sas_admin *admin, h2o_req_t *req)
{
    g_autofree char *text = SasMetrics_Format(admin->options.metrics);
    SasH2oServer_Answer(req, 200, "text/plain; version=0.0.4", text,
                        strlen(text));
    return 0;
}

static int
handle(struct sas_h2o_server_handler *handler, h2o_req_t *req)
{
    struct sas_admin *admin = handler->data;
    const char *method = SasH2oServer_CopyText(req, req->method);
    size_t length = req->query_at == SIZE_MAX ? req->path.len : req->query_at;
    const char *path =
        SasH2oServer_CopyText(req, h2o_iovec_init(req->path.base, length));
    bool is_get = strcmp(method, "GET") == 0;
    if (is_get && strcmp(path, "/v1/health") == 0) {
        return get_health(admin, req);
    }
    if (!is_authorized(admin, req)) {
        SasMetrics_Add(admin->options.metrics, admin->unauthorized, 1);
        SasH2oServer_AddHeader(req, "www-authenticate", "Bearer");
        return answer_reason(req, 401, "unauthorized",
                             "a bearer token is needed");
    }
    if (strcmp(path, "/v1/sheet") == 0) {
        if (is_get) {
            return get_sheet(admin, req);
        }
        if (strcmp(method, "PUT") == 0) {
            return put_sheet(admin, req);
        }
    }
    else if (strcmp(path, "/v1/drain") == 0) {
        if (strcmp(method, "POST") == 0) {
            return put_drain(admin, req);
        }
    }
    else if (!is_get) {
        return answer_reason(req, 405, "method", "only GET");
    }
    else if (strcmp(path, "/v1/history") == 0) {
        return get_history(admin, req, NULL);
    }
    else if (g_str_has_prefix(path, "/v1/operations/")) {
        return get_history(admin, req, path + strlen("/v1/operations/"));
    }
    else if (strcmp(path, "/v1/status") == 0) {
        return get_status(admin, req);
    }
    else if (strcmp(path, "/metrics") == 0) {
        return get_metrics(admin, req);
    }
    else {
        return answer_reason(req, 404, "not-found", path);
    }
    return answer_reason(req, 405, "method", "not for this path");
}
