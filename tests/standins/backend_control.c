#include "backend.h"

#include <jansson.h>
#include <string.h>

static void serve_counts(struct request *request);
static void change_servers(struct request *request, const char *pattern);
static bool apply_changes(struct server *server, json_t *changes);
static bool apply_number(struct settings *settings, const char *name,
                         double value);
static bool apply_report(struct settings *settings, const char *mode);
static json_t *describe_counts(const struct counts *counts);
static json_t *describe_server(const struct server *server);
static json_t *describe_keys(struct app *app, const char *only_key);
static void answer_json(struct request *request, int status, json_t *json);

void
Control_Serve(struct request *request)
{
    const char *target = request->target->str;
    if (request->method == HTTP_GET && g_str_has_prefix(target, "/counts")) {
        serve_counts(request);
    }
    else if (request->method == HTTP_PUT &&
             g_str_has_prefix(target, "/servers/")) {
        change_servers(request, target + strlen("/servers/"));
    }
    else {
        answer_json(request, 404, json_object());
    }
}

static void
serve_counts(struct request *request)
{
    struct app *app = request->connection->app;
    g_autofree char *key = Http_GetParameter(request, "key");
    json_t *servers = json_object();
    for (guint i = 0; i < app->servers->len; i++) {
        const struct server *server = g_ptr_array_index(app->servers, i);
        json_object_set_new(servers, server->name, describe_server(server));
    }
    json_t *answer = json_object();
    json_object_set_new(answer, "servers", servers);
    json_object_set_new(answer, "keys", describe_keys(app, key));
    json_object_set_new(answer, "keys_lost", json_integer(app->keys_lost));
    json_object_set_new(answer, "peak", json_integer(app->peak));
    answer_json(request, 200, answer);
}

static void
change_servers(struct request *request, const char *pattern)
{
    struct app *app = request->connection->app;
    json_t *changes =
        json_loadb(request->body->str, request->body->len, 0, NULL);
    int matches = 0;
    bool is_valid = json_is_object(changes);
    for (guint i = 0; is_valid && i < app->servers->len; i++) {
        struct server *server = g_ptr_array_index(app->servers, i);
        if (g_pattern_match_simple(pattern, server->name)) {
            matches++;
            is_valid = apply_changes(server, changes);
        }
    }
    json_decref(changes);
    json_t *answer = json_object();
    json_object_set_new(answer, "servers", json_integer(matches));
    answer_json(request, !is_valid ? 400 : matches == 0 ? 404 : 200, answer);
}

static bool
apply_changes(struct server *server, json_t *changes)
{
    struct settings *settings = &server->settings;
    const char *name;
    json_t *value;
    json_object_foreach(changes, name, value)
    {
        if (g_str_equal(name, "report")) {
            if (!apply_report(settings, json_string_value(value))) {
                return false;
            }
        }
        else if (g_str_equal(name, "leaving")) {
            settings->leaving = json_is_true(value);
        }
        else if (g_str_equal(name, "refuse")) {
            settings->refuse = json_is_true(value);
            settings->refuse ? Server_Refuse(server) : Server_Open(server);
        }
        else if (g_str_equal(name, "echo")) {
            settings->echo = json_is_true(value);
        }
        else if (g_str_equal(name, "silent")) {
            Server_StallConnections(server);
        }
        else if (g_str_equal(name, "crash")) {
            Server_Crash(server, json_integer_value(value));
        }
        else if (g_str_equal(name, "cold_s")) {
            settings->cold_s = json_number_value(value);
            server->started_ms = (int64_t)uv_now(&server->app->loop);
        }
        else if (!apply_number(settings, name, json_number_value(value))) {
            return false;
        }
    }
    return true;
}

static bool
apply_number(struct settings *settings, const char *name, double value)
{
    if (g_str_equal(name, "slow")) {
        settings->slow = value;
    }
    else if (g_str_equal(name, "cold_factor")) {
        settings->cold_factor = value;
    }
    else if (g_str_equal(name, "report_late_ms")) {
        settings->report_late_ms = value;
    }
    else if (g_str_equal(name, "delay_ms")) {
        settings->delay_ms = value;
    }
    else if (g_str_equal(name, "probe_ms")) {
        settings->probe_ms = value;
    }
    else if (g_str_equal(name, "slots")) {
        settings->slots = (int)value;
    }
    else if (g_str_equal(name, "queue")) {
        settings->queue = (int)value;
    }
    else if (g_str_equal(name, "connections")) {
        settings->connections = (int)value;
    }
    else {
        return false;
    }
    return true;
}

static bool
apply_report(struct settings *settings, const char *mode)
{
    if (g_strcmp0(mode, "honest") == 0) {
        settings->report = REPORT_HONEST;
    }
    else if (g_strcmp0(mode, "zero") == 0) {
        settings->report = REPORT_ZERO;
    }
    else if (g_strcmp0(mode, "random") == 0) {
        settings->report = REPORT_RANDOM;
    }
    else {
        return false;
    }
    return true;
}

static json_t *
describe_counts(const struct counts *counts)
{
    return json_pack("{sIsIsIsIsIsI}", "started", (json_int_t)counts->started,
                     "finished", (json_int_t)counts->finished, "cancelled",
                     (json_int_t)counts->cancelled, "crashed",
                     (json_int_t)counts->crashed, "dropped",
                     (json_int_t)counts->dropped, "shed",
                     (json_int_t)counts->shed);
}

static json_t *
describe_server(const struct server *server)
{
    const struct counts *counts = &server->counts;
    json_t *row = describe_counts(counts);
    json_object_set_new(row, "port", json_integer(server->port));
    json_object_set_new(row, "accepted", json_integer(counts->accepted));
    json_object_set_new(row, "refused", json_integer(counts->refused));
    json_object_set_new(row, "probes", json_integer(counts->probes));
    json_object_set_new(row, "running", json_integer(server->running));
    json_object_set_new(row, "queued", json_integer(server->queue.length));
    json_object_set_new(row, "incarnation", json_integer(server->incarnation));
    json_object_set_new(row, "connections",
                        json_integer(g_hash_table_size(server->connected)));
    return row;
}

static json_t *
describe_keys(struct app *app, const char *only_key)
{
    json_t *keys = json_object();
    GHashTableIter at;
    gpointer key;
    gpointer counts;
    g_hash_table_iter_init(&at, app->key_counts);
    while (g_hash_table_iter_next(&at, &key, &counts)) {
        if (only_key == NULL || g_str_equal(only_key, key)) {
            json_object_set_new(keys, key, describe_counts(counts));
        }
    }
    return keys;
}

static void
answer_json(struct request *request, int status, json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    Http_SetAnswer(request, status, "Content-Type: application/json\r\n", text,
                   strlen(text));
    free(text);
    request->phase = PHASE_ANSWERING;
    Http_Deliver(request);
}
