#include "endpoints.h"

#include <string.h>

#include <jansson.h>

#include "view.h"

static void
reply_text(struct sas_http_exchange *exchange, int status, const char *type,
           const char *text)
{
    SasHttpExchange_ReplyText(exchange, status, type, text, NULL);
}

/* Returns the decoded value of a query parameter, NULL if it is missing. Free
 * with g_free. */
static char *
get_parameter(const char *target, const char *name)
{
    const char *query = strchr(target, '?');
    if (query == NULL) {
        return NULL;
    }
    g_auto(GStrv) pairs = g_strsplit(query + 1, "&", -1);
    size_t size = strlen(name);
    for (int i = 0; pairs[i] != NULL; i++) {
        if (strncmp(pairs[i], name, size) == 0 && pairs[i][size] == '=') {
            return g_uri_unescape_string(pairs[i] + size + 1, NULL);
        }
    }
    return NULL;
}

static void
answer_lookup(struct sas_endpoints *endpoints,
              struct sas_http_exchange *exchange)
{
    const char *target = SasHttpExchange_GetTarget(exchange);
    const struct sas_entry_wire *wire = endpoints->wire;
    g_autofree char *zone = get_parameter(target, wire->lookup_zone);
    g_autofree char *region = get_parameter(target, wire->lookup_region);
    struct sas_address addresses[SasMesh_MAX_ADDRESSES];
    int count = SasMesh_Lookup(
        endpoints->mesh,
        zone != NULL ? SasFleet_FindZone(endpoints->fleet, zone)
                     : SasModel_NONE,
        region != NULL ? SasFleet_FindRegion(endpoints->fleet, region)
                       : SasModel_NONE,
        addresses, SasMesh_MAX_ADDRESSES);
    if (count == 0) {
        reply_text(exchange, 503, "text/plain", "no entry VM is known\n");
        return;
    }
    json_t *list = json_array();
    for (int i = 0; i < count; i++) {
        g_autofree char *text =
            g_strdup_printf("%s:%d", addresses[i].ip, addresses[i].port);
        json_array_append_new(list, json_string(text));
    }
    json_t *object = json_object();
    json_object_set_new(object, wire->lookup_addresses, list);
    json_object_set_new(
        object, wire->lookup_ttl_s,
        json_integer(endpoints->settings->bounds.lookup_ttl_ms / 1000));
    char *text = json_dumps(object, JSON_COMPACT);
    reply_text(exchange, 200, "application/json", text);
    free(text);
    json_decref(object);
}

static void
answer_metrics(struct sas_endpoints *endpoints,
               struct sas_http_exchange *exchange)
{
    g_autofree char *text = SasMetrics_Format(endpoints->metrics);
    reply_text(exchange, 200, "text/plain; version=0.0.4", text);
}

static void
answer_ready(struct sas_endpoints *endpoints,
             struct sas_http_exchange *exchange)
{
    bool ready = endpoints->ready && !endpoints->leaving;
    reply_text(exchange, ready ? 200 : 503, "text/plain",
               ready ? "ready\n" : "not ready\n");
}

static void
answer_view(struct sas_endpoints *endpoints,
            struct sas_http_exchange *exchange)
{
    const char *target = SasHttpExchange_GetTarget(exchange);
    g_autofree char *service = get_parameter(target, "service");
    g_autofree char *object = get_parameter(target, "object");
    struct sas_view_options options = {
        .fleet = endpoints->fleet,
        .mesh = endpoints->mesh,
        .steering = endpoints->steering,
    };
    json_t *view = SasView_Make(&options, service, object,
                                (int64_t)uv_now(endpoints->loop));
    char *text = json_dumps(view, JSON_COMPACT);
    reply_text(exchange, 200, "application/json", text);
    free(text);
    json_decref(view);
}

static bool
has_path(struct sas_http_exchange *exchange, const char *path)
{
    const char *target = SasHttpExchange_GetTarget(exchange);
    size_t size = strcspn(target, "?");
    return strlen(path) == size && strncmp(target, path, size) == 0;
}

static void
on_caller_request(struct sas_http_handler *handler,
                  struct sas_http_exchange *exchange)
{
    struct sas_endpoints *endpoints =
        (struct sas_endpoints *)((char *)handler -
                                 offsetof(struct sas_endpoints, callers));
    if (has_path(exchange, endpoints->wire->lookup_path)) {
        answer_lookup(endpoints, exchange);
        return;
    }
    reply_text(exchange, 404, "text/plain", "no such page\n");
}

static void
on_operator_request(struct sas_http_handler *handler,
                    struct sas_http_exchange *exchange)
{
    struct sas_endpoints *endpoints =
        (struct sas_endpoints *)((char *)handler -
                                 offsetof(struct sas_endpoints, operators));
    if (has_path(exchange, endpoints->wire->ready_path)) {
        answer_ready(endpoints, exchange);
    }
    else if (has_path(exchange, "/metrics")) {
        answer_metrics(endpoints, exchange);
    }
    else if (has_path(exchange, "/v1/view")) {
        answer_view(endpoints, exchange);
    }
    else {
        reply_text(exchange, 404, "text/plain", "no such page\n");
    }
}

void
SasEndpoints_Init(struct sas_endpoints *endpoints)
{
    endpoints->callers.on_request = on_caller_request;
    endpoints->operators.on_request = on_operator_request;
}
