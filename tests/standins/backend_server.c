#include "backend.h"

#include <math.h>
#include <string.h>

#define MAX_ANSWER_BYTES (256 << 20)
#define RESTART_MS 500

static void on_restart(uv_timer_t *timer);
static void on_timer(uv_timer_t *timer);
static void arrive(struct request *request);
static void start(struct request *request);
static void start_next(struct server *server);
static void finish(struct request *request);
static void release_slot(struct request *request);
static void send_answer(struct request *request);
static void refuse(struct request *request, const char *reason);
static void answer_probe(struct request *request);
static void make_answer(struct request *request);
static void make_faulty_answer(struct request *request, const char *fault);
static GString *make_body(const struct request *request);
static double draw_service_ms(struct request *request);
static void record_load(struct server *server);
static struct sample get_reported_load(struct server *server);
static void set_timer(struct request *request, double ms);
static bool is_past_deadline(const struct request *request);
static bool has_fault(const struct request *request, const char *fault);

struct server *
Server_Create(struct app *app, const char *name,
              const struct settings *settings)
{
    struct server *server = g_new0(struct server, 1);
    server->app = app;
    server->name = g_strdup(name);
    server->settings = *settings;
    server->connected = g_hash_table_new(NULL, NULL);
    server->running_requests = g_hash_table_new(NULL, NULL);
    g_queue_init(&server->queue);
    uv_timer_init(&app->loop, &server->restart_timer);
    server->restart_timer.data = server;
    server->listener = Http_Bind(app, &server->port);
    Server_Open(server);
    return server;
}

void
Server_Open(struct server *server)
{
    if (server->is_open) {
        return;
    }
    if (Http_Listen(server->listener, server) != 0) {
        g_error("%s cannot listen on port %d", server->name, server->port);
    }
    server->is_open = true;
    if (server->started_ms == 0) {
        server->incarnation++;
        server->started_ms = (int64_t)uv_now(&server->app->loop);
        record_load(server);
    }
}

/* A second socket binds the port without listening: connections are refused,
 * and no other process can get the port meanwhile. */
void
Server_Refuse(struct server *server)
{
    if (!server->is_open) {
        return;
    }
    uv_close((uv_handle_t *)server->listener, (uv_close_cb)g_free);
    server->listener = Http_Bind(server->app, &server->port);
    server->is_open = false;
}

void
Server_Crash(struct server *server, int64_t restart_ms)
{
    Server_Refuse(server);
    server->started_ms = 0;
    g_autoptr(GList) lost = g_hash_table_get_keys(server->running_requests);
    for (GList *at = lost; at != NULL; at = at->next) {
        struct request *request = at->data;
        server->counts.crashed++;
        KeyCounts_Get(server->app, request)->crashed++;
        release_slot(request);
        request->phase = PHASE_ANSWERING;
        if (request->connection == NULL) {
            Http_FreeRequest(request);
        }
    }
    g_autoptr(GList) open = g_hash_table_get_keys(server->connected);
    for (GList *at = open; at != NULL; at = at->next) {
        Http_CloseConnection(at->data, true);
    }
    uv_timer_start(&server->restart_timer, on_restart, (uint64_t)restart_ms,
                   0);
}

void
Server_StallConnections(struct server *server)
{
    GHashTableIter at;
    gpointer connection;
    g_hash_table_iter_init(&at, server->connected);
    while (g_hash_table_iter_next(&at, &connection, NULL)) {
        ((struct connection *)connection)->is_stalled = true;
    }
}

void
Server_Admit(struct request *request)
{
    const struct settings *settings = &request->server->settings;
    const char *deadline = Http_GetHeader(request, "sas-deadline-ms");
    if (deadline != NULL) {
        request->deadline_at_ms =
            (int64_t)uv_now(&request->server->app->loop) +
            g_ascii_strtoll(deadline, NULL, 10);
    }
    /* A new connection costs one more round trip. */
    double delay_ms = settings->delay_ms * (request->is_first ? 3 : 1);
    request->phase = PHASE_ARRIVING;
    if (delay_ms > 0) {
        set_timer(request, delay_ms);
    }
    else {
        arrive(request);
    }
}

void
Server_HandleDisconnect(struct request *request)
{
    struct server *server = request->server;
    struct connection *connection = request->connection;
    request->connection = NULL;
    connection->request = NULL;
    if (connection->is_stalled && request->phase == PHASE_RUNNING) {
        return; /* the server cannot see the disconnect */
    }
    if (request->phase == PHASE_RUNNING) {
        server->counts.cancelled++;
        KeyCounts_Get(server->app, request)->cancelled++;
        release_slot(request);
        start_next(server);
    }
    else if (request->phase == PHASE_QUEUED ||
             request->phase == PHASE_ARRIVING) {
        server->counts.dropped++;
        KeyCounts_Get(server->app, request)->dropped++;
        g_queue_remove(&server->queue, request);
        record_load(server);
    }
    Http_FreeRequest(request);
}

void
Server_ScheduleDelivery(struct request *request, double ms)
{
    request->phase = PHASE_ANSWERING;
    set_timer(request, ms);
}

void
Server_AppendLoad(struct server *server, GString *text, bool as_json)
{
    struct sample load = get_reported_load(server);
    const struct settings *settings = &server->settings;
    if (as_json) {
        g_string_append_printf(
            text,
            "{\"slots\":%d,\"running\":%d,\"queued\":%d,\"leaving\":%s,"
            "\"incarnation\":\"%" PRIx64 "-%d\"}",
            settings->slots, load.running, load.queued,
            settings->leaving ? "true" : "false", server->app->started_at,
            server->incarnation);
    }
    else {
        g_string_append_printf(
            text, "Sas-Load: running=%d queued=%d slots=%d leaving=%d\r\n",
            load.running, load.queued, settings->slots, settings->leaving);
    }
}

struct counts *
KeyCounts_Get(struct app *app, const struct request *request)
{
    const char *key = Http_GetHeader(request, "idempotency-key");
    if (key == NULL) {
        key = Http_GetHeader(request, "sas-request-id");
    }
    if (key == NULL) {
        return &app->unkeyed;
    }
    struct counts *counts = g_hash_table_lookup(app->key_counts, key);
    if (counts != NULL) {
        return counts;
    }
    counts = g_new0(struct counts, 1);
    char *owned = g_strdup(key);
    g_hash_table_insert(app->key_counts, owned, counts);
    g_queue_push_tail(&app->key_order, owned);
    if (app->key_order.length > MAX_KEYS) {
        g_hash_table_remove(app->key_counts,
                            g_queue_pop_head(&app->key_order));
        app->keys_lost++;
    }
    return counts;
}

static void
on_restart(uv_timer_t *timer)
{
    struct server *server = timer->data;
    if (!server->settings.refuse) {
        Server_Open(server);
    }
}

static void
on_timer(uv_timer_t *timer)
{
    struct request *request = timer->data;
    switch (request->phase) {
    case PHASE_ARRIVING:
        arrive(request);
        break;
    case PHASE_QUEUED:
        g_queue_remove(&request->server->queue, request);
        refuse(request, "deadline");
        break;
    case PHASE_RUNNING:
        finish(request);
        break;
    case PHASE_ANSWERING:
        Http_Deliver(request);
        break;
    case PHASE_READING:
        break;
    }
}

static void
arrive(struct request *request)
{
    struct server *server = request->server;
    if (g_str_equal(request->target->str, "/v1/load")) {
        answer_probe(request);
    }
    else if (has_fault(request, "silent")) {
        request->connection->is_stalled = true;
        request->phase = PHASE_READING;
    }
    else if (is_past_deadline(request)) {
        refuse(request, "deadline");
    }
    else if (server->running < server->settings.slots) {
        start(request);
    }
    else if ((int)server->queue.length < server->settings.queue) {
        request->phase = PHASE_QUEUED;
        g_queue_push_tail(&server->queue, request);
        record_load(server);
        if (request->deadline_at_ms > 0) {
            set_timer(request, (double)(request->deadline_at_ms -
                                        (int64_t)uv_now(&server->app->loop)));
        }
    }
    else {
        refuse(request, "full");
    }
}

static void
start(struct request *request)
{
    struct server *server = request->server;
    request->phase = PHASE_RUNNING;
    server->running++;
    g_hash_table_add(server->running_requests, request);
    server->counts.started++;
    KeyCounts_Get(server->app, request)->started++;
    record_load(server);
    uv_timer_stop(&request->timer);
    if (!has_fault(request, "hang")) {
        set_timer(request, draw_service_ms(request));
    }
}

static void
start_next(struct server *server)
{
    while (server->running < server->settings.slots &&
           server->queue.length > 0) {
        start(g_queue_pop_head(&server->queue));
    }
}

static void
finish(struct request *request)
{
    struct server *server = request->server;
    if (has_fault(request, "crash")) {
        Server_Crash(server, (int64_t)Http_GetNumber(request, "restart_ms",
                                                     RESTART_MS));
        return;
    }
    release_slot(request);
    if (is_past_deadline(request)) {
        server->counts.cancelled++;
        KeyCounts_Get(server->app, request)->cancelled++;
        Http_SetAnswer(request, 504, "", NULL, 0);
    }
    else {
        server->counts.finished++;
        KeyCounts_Get(server->app, request)->finished++;
        make_answer(request);
    }
    start_next(server);
    send_answer(request);
}

static void
release_slot(struct request *request)
{
    request->server->running--;
    g_hash_table_remove(request->server->running_requests, request);
    record_load(request->server);
}

static void
send_answer(struct request *request)
{
    if (request->server->settings.delay_ms > 0) {
        Server_ScheduleDelivery(request, request->server->settings.delay_ms);
    }
    else {
        request->phase = PHASE_ANSWERING;
        Http_Deliver(request);
    }
}

static void
refuse(struct request *request, const char *reason)
{
    struct server *server = request->server;
    server->counts.shed++;
    KeyCounts_Get(server->app, request)->shed++;
    g_autofree char *body =
        g_strdup_printf("{\"reason\":\"%s\",\"outcome\":\"not-run\"}", reason);
    Http_SetAnswer(request, 503, "Sas-Outcome: not-run\r\nRetry-After: 1\r\n",
                   body, strlen(body));
    send_answer(request);
}

static void
answer_probe(struct request *request)
{
    struct server *server = request->server;
    server->counts.probes++;
    g_autoptr(GString) body = g_string_new(NULL);
    Server_AppendLoad(server, body, true);
    Http_SetAnswer(request, 200, "", body->str, body->len);
    Server_ScheduleDelivery(request, server->settings.delay_ms +
                                         server->settings.probe_ms);
}

static void
make_answer(struct request *request)
{
    g_autofree char *fault = Http_GetParameter(request, "fault");
    if (fault != NULL) {
        make_faulty_answer(request, fault);
        return;
    }
    g_autoptr(GString) body = make_body(request);
    int status = (int)Http_GetNumber(request, "status", 200);
    if (Http_GetNumber(request, "chunked", 0) == 0) {
        Http_SetAnswer(request, status, "", body->str, body->len);
        return;
    }
    Http_SetAnswer(request, status, "Transfer-Encoding: chunked\r\n", NULL, 0);
    g_string_append_printf(request->answer, "%zx\r\n", body->len);
    g_string_append_len(request->answer, body->str, (gssize)body->len);
    g_string_append(request->answer, "\r\n0\r\n\r\n");
}

static void
make_faulty_answer(struct request *request, const char *fault)
{
    g_autoptr(GString) body = make_body(request);
    GString *answer = request->answer;
    if (g_str_equal(fault, "cut-chunked")) {
        Http_SetAnswer(request, 200, "Transfer-Encoding: chunked\r\n", NULL,
                       0);
        g_string_append_printf(answer, "%zx\r\n", body->len);
        g_string_append_len(answer, body->str, (gssize)body->len);
        g_string_append(answer, "\r\n");
        request->ending = END_CLOSE;
    }
    else if (g_str_equal(fault, "short")) {
        Http_SetAnswer(request, 200, "", body->str, body->len);
        g_string_truncate(answer, answer->len - (body->len + 1) / 2);
        request->ending = END_CLOSE;
    }
    else if (g_str_equal(fault, "close-framed")) {
        Http_SetAnswer(request, 200, "Connection: close\r\n", NULL, 0);
        g_string_append_len(answer, body->str, (gssize)body->len);
        request->ending = END_CLOSE;
    }
    else if (g_str_equal(fault, "late")) {
        Http_SetAnswer(request, 200, "", body->str, body->len);
        request->ending = END_EXTRA;
    }
    else if (g_str_equal(fault, "reset-mid")) {
        request->ending = END_RESET;
    }
    else if (g_str_equal(fault, "exact")) {
        g_autofree char *text = Http_GetParameter(request, "answer");
        g_autoptr(GBytes) bytes = g_uri_unescape_bytes(text, -1, NULL, NULL);
        g_string_append_len(answer, g_bytes_get_data(bytes, NULL),
                            (gssize)g_bytes_get_size(bytes));
        request->ending = END_CLOSE;
    }
    else {
        Http_SetAnswer(request, 400, "", "unknown fault", 13);
    }
}

/* Identifies the request, so that a test detects an answer that was delivered
 * to another caller. */
static GString *
make_body(const struct request *request)
{
    GString *body = g_string_new(NULL);
    double wanted = Http_GetNumber(request, "bytes", -1);
    if (wanted < 0) {
        g_string_printf(body,
                        "{\"server\":\"%s\",\"method\":\"%s\","
                        "\"target\":\"%s\",\"body_bytes\":%" PRId64
                        ",\"body_hash\":\"%016" PRIx64 "\"}",
                        request->server->name,
                        http_method_str(request->method), request->target->str,
                        request->body_bytes,
                        (uint64_t)XXH64_digest(request->body_hash));
        return body;
    }
    gsize length = (gsize)CLAMP(wanted, 0, MAX_ANSWER_BYTES);
    while (body->len < length) {
        g_string_append(body, request->target->str);
    }
    g_string_truncate(body, length);
    return body;
}

/* Service time of the request; its deadline cuts it short. */
static double
draw_service_ms(struct request *request)
{
    struct server *server = request->server;
    struct app *app = server->app;
    double ms = Http_GetNumber(request, "ms", -1);
    const char *header = Http_GetHeader(request, "sas-test-ms");
    if (ms < 0 && header != NULL) {
        ms = g_ascii_strtod(header, NULL);
    }
    if (ms < 0) {
        double u = 1.0 - g_rand_double(app->random);
        double v = g_rand_double(app->random);
        double normal = sqrt(-2.0 * log(u)) * cos(2.0 * G_PI * v);
        double shift = -app->sigma * app->sigma / 2.0;
        ms = app->distribution == SERVICE_FIXED ? app->mean_ms
             : app->distribution == SERVICE_EXPONENTIAL
                 ? -app->mean_ms * log(u)
                 : app->mean_ms * exp(shift + app->sigma * normal);
    }
    int64_t now_ms = (int64_t)uv_now(&app->loop);
    ms *= server->settings.slow;
    if ((double)(now_ms - server->started_ms) <
        server->settings.cold_s * 1000.0) {
        ms *= server->settings.cold_factor;
    }
    if (request->deadline_at_ms > 0) {
        ms = fmin(ms, (double)(request->deadline_at_ms - now_ms));
    }
    return ms;
}

static void
update_peak(struct app *app)
{
    int total = 0;
    for (guint i = 0; i < app->servers->len; i++) {
        const struct server *server = g_ptr_array_index(app->servers, i);
        total += server->running + (int)server->queue.length;
    }
    app->peak = MAX(app->peak, total);
}

static void
record_load(struct server *server)
{
    update_peak(server->app);
    server->samples[server->sample_count++ % MAX_SAMPLES] = (struct sample){
        .at_ms = (int64_t)uv_now(&server->app->loop),
        .running = server->running,
        .queued = (int)server->queue.length,
    };
}

static struct sample
get_reported_load(struct server *server)
{
    const struct settings *settings = &server->settings;
    if (settings->report == REPORT_ZERO) {
        return (struct sample){0, 0, 0};
    }
    if (settings->report == REPORT_RANDOM) {
        int load =
            g_rand_int_range(server->app->random, 0, 2 * settings->slots + 1);
        return (struct sample){0, MIN(load, settings->slots),
                               MAX(0, load - settings->slots)};
    }
    int64_t until = (int64_t)uv_now(&server->app->loop) -
                    (int64_t)settings->report_late_ms;
    int64_t oldest = MAX(0, server->sample_count - MAX_SAMPLES);
    for (int64_t i = server->sample_count - 1; i >= oldest; i--) {
        if (server->samples[i % MAX_SAMPLES].at_ms <= until) {
            return server->samples[i % MAX_SAMPLES];
        }
    }
    return (struct sample){0, 0, 0};
}

static void
set_timer(struct request *request, double ms)
{
    uv_timer_start(&request->timer, on_timer, (uint64_t)fmax(0, round(ms)), 0);
}

static bool
is_past_deadline(const struct request *request)
{
    return request->deadline_at_ms > 0 &&
           (int64_t)uv_now(&request->server->app->loop) >=
               request->deadline_at_ms;
}

static bool
has_fault(const struct request *request, const char *fault)
{
    g_autofree char *value = Http_GetParameter(request, "fault");
    return value != NULL && g_str_equal(value, fault);
}
