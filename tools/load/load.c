/* sas_load - open-loop load generator over real connections.
 *
 *   sas_load --target IP:PORT[:WEIGHT] ... --rate 1000 --duration 10
 *
 * Arrivals are Poisson from --seed and go to the targets by weight. Latencies
 * count from the planned arrival, so they include delays of the generator (up
 * to 1 ms without --spin) and the wait for a free connection: no coordinated
 * omission. --closed N is a closed loop over N connections instead, for the
 * maximum throughput.
 *
 * --service NAME sends to /s/NAME/..., without it --path is sent as it is:
 * lookups (--path '/v1/lookup?service=NAME') or, with a backend server's
 * address as the target, direct requests. --mean-ms draws each request's
 * service time and asks the backend stand-in for it (ms=N), so that runs with
 * the same seed bring the same load. --check numbers each request in its
 * target; a 2xx answer whose body does not repeat the number is an error.
 *
 * Errors: "connect"; "reset" (closed before the answer began, or the
 * connection was reset); "cut" (closed within the answer); "bad answer" (no
 * valid HTTP); "wrong answer" (--check); "timeout" (no complete answer within
 * --timeout-ms). The first --warmup seconds do not count.
 */
#include <glib.h>
#include <http_parser.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#include "results.h"

#define CALLERS 200 /* source addresses of a target with a source */
#define READ_SIZE 65536
#define BODY_PREFIX_SIZE 1024 /* bytes of an answer that --check searches */
#define NAME_SIZE 64
#define SWEEP_MS 50

struct options {
    char **targets;
    double rate;
    int closed;
    double duration;
    double warmup;
    int connections; /* per target */
    char *service;
    char *path;
    char *method;
    int body;
    double mean_ms;
    gboolean once;
    gboolean check;
    gboolean spin;
    int deadline_ms;
    int timeout_ms;
    int seed;
    char *csv;
};

struct target {
    struct sockaddr_in address;
    char *host;
    struct sockaddr_in source; /* first source address, port 0 */
    bool has_source;
    double weight;
    GQueue idle;    /* struct connection */
    GQueue waiting; /* struct request, for a free connection */
    int open;       /* connections */
};

struct request {
    int64_t number;
    uint64_t planned_ns;
    int ms;
};

struct connection {
    uv_tcp_t handle;
    uv_connect_t connect;
    http_parser parser;
    struct load *load;
    struct target *target;
    struct request *request; /* NULL while idle */
    bool is_connected;
    bool is_closing;
    bool has_answer_begun;
    char header_values[4][NAME_SIZE]; /* in the order of header_names */
    int header;                       /* not used */
    char header_name[NAME_SIZE];
    bool after_value; /* the next header name begins a new header */
    char body[BODY_PREFIX_SIZE + 1];
    int64_t bytes;
};

struct load {
    uv_loop_t loop;
    uv_timer_t arrivals;
    uv_timer_t sweeper;
    uv_idle_t spinner;
    struct options options;
    GRand *random;
    GArray *targets;
    double total_weight;
    uint32_t next_caller;
    GHashTable *connections;
    struct results results;
    uint64_t start_ns;
    uint64_t next_ns;
    int64_t count;
    int64_t unfinished;
    char *body;
    char buffer[READ_SIZE];
};

static const char *const header_names[] = {"sas-region", "sas-backend",
                                           "sas-reason", "sas-outcome"};

static bool parse_options(struct options *options, int argc, char **argv);
static bool add_target(struct load *load, const char *text);
static void on_arrivals(uv_timer_t *timer);
static void on_spin(uv_idle_t *idle);
static void on_sweep(uv_timer_t *timer);
static void issue(struct load *load, uint64_t planned_ns);
static void dispatch(struct load *load, struct target *target,
                     struct request *request);
static void open_connection(struct load *load, struct target *target,
                            struct request *request);
static void on_connect(uv_connect_t *connect, int status);
static void send_request(struct connection *connection);
static void write_all(struct connection *connection, const char *text,
                      size_t length);
static void on_written(uv_write_t *write, int status);
static void on_alloc(uv_handle_t *handle, size_t wanted, uv_buf_t *buffer);
static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer);
static int on_begin(http_parser *parser);
static int on_field(http_parser *parser, const char *at, size_t length);
static int on_value(http_parser *parser, const char *at, size_t length);
static int on_body(http_parser *parser, const char *at, size_t length);
static int on_complete(http_parser *parser);
static void count_answer(struct connection *connection);
static void fail(struct connection *connection, const char *text);
static void finish_request(struct load *load, struct target *target,
                           struct request *request);
static void close_connection(struct connection *connection);
static void on_closed(uv_handle_t *handle);
static bool is_counted(const struct load *load, const struct request *request);
static bool is_past_end(const struct load *load);
static void report(struct load *load);

static const http_parser_settings parser_settings = {
    .on_message_begin = on_begin,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

int
main(int argc, char **argv)
{
    g_autofree struct load *load = g_new0(struct load, 1);
    load->options = (struct options){.rate = 100,
                                     .duration = 10,
                                     .connections = 1000,
                                     .mean_ms = -1,
                                     .timeout_ms = 10000,
                                     .seed = 1};
    if (!parse_options(&load->options, argc, argv)) {
        return 2;
    }
    load->random = g_rand_new_with_seed((guint32)load->options.seed);
    load->targets = g_array_new(FALSE, TRUE, sizeof(struct target));
    load->connections = g_hash_table_new(NULL, NULL);
    load->body = g_strnfill((gsize)load->options.body, 'x');
    Results_Init(&load->results);
    for (char **text = load->options.targets; text && *text; text++) {
        if (!add_target(load, *text)) {
            fprintf(stderr, "invalid target %s\n", *text);
            return 2;
        }
    }
    if (load->targets->len == 0) {
        fprintf(stderr, "no target\n");
        return 2;
    }
    uv_loop_init(&load->loop);
    uv_timer_init(&load->loop, &load->arrivals);
    uv_timer_init(&load->loop, &load->sweeper);
    uv_idle_init(&load->loop, &load->spinner);
    load->arrivals.data = load;
    load->sweeper.data = load;
    load->spinner.data = load;
    load->start_ns = uv_hrtime();
    load->next_ns = load->start_ns;
    uv_timer_start(&load->sweeper, on_sweep, SWEEP_MS, SWEEP_MS);
    if (load->options.spin) {
        uv_idle_start(&load->spinner, on_spin);
    }
    for (int i = 0; i < load->options.closed; i++) {
        issue(load, uv_hrtime());
    }
    if (load->options.closed == 0) {
        on_arrivals(&load->arrivals);
    }
    uv_run(&load->loop, UV_RUN_DEFAULT);
    report(load);
    uv_loop_close(&load->loop);
    Results_Close(&load->results);
    g_hash_table_unref(load->connections);
    for (guint i = 0; i < load->targets->len; i++) {
        g_free(g_array_index(load->targets, struct target, i).host);
    }
    g_array_unref(load->targets);
    g_rand_free(load->random);
    g_free(load->body);
    g_strfreev(load->options.targets);
    g_free(load->options.service);
    g_free(load->options.path);
    g_free(load->options.method);
    g_free(load->options.csv);
    return 0;
}

static bool
parse_options(struct options *options, int argc, char **argv)
{
#define OPTION(name, type, field, text)                                       \
    {                                                                         \
        name, 0, 0, G_OPTION_ARG_##type, &options->field, text, NULL          \
    }
    const GOptionEntry entries[] = {
        OPTION("target", STRING_ARRAY, targets,
               "IP:PORT[:WEIGHT[:SOURCE]], repeatable; SOURCE is the first of "
               "200 source addresses"),
        OPTION("rate", DOUBLE, rate, "requests per second"),
        OPTION("closed", INT, closed,
               "closed loop over this many connections"),
        OPTION("duration", DOUBLE, duration, "seconds"),
        OPTION("warmup", DOUBLE, warmup, "seconds before counting starts"),
        OPTION("connections", INT, connections, "connection limit per target"),
        OPTION("service", STRING, service, "prefix /s/NAME"),
        OPTION("path", STRING, path, "path and query"),
        OPTION("method", STRING, method, "GET, or POST with a body"),
        OPTION("body", INT, body, "bytes of each request's body"),
        OPTION("mean-ms", DOUBLE, mean_ms,
               "mean service time of the stand-in, ms"),
        OPTION("once", NONE, once,
               "sends a new Idempotency-Key with each request"),
        OPTION("check", NONE, check,
               "checks that answers repeat their request"),
        OPTION("spin", NONE, spin,
               "busy loop, avoids the timer's delay of up to 1 ms"),
        OPTION("deadline-ms", INT, deadline_ms, "value of Sas-Deadline-Ms"),
        OPTION("timeout-ms", INT, timeout_ms, "request timeout"),
        OPTION("seed", INT, seed, "random seed"),
        OPTION("csv", STRING, csv, "file for the table as CSV"),
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    g_autoptr(GOptionContext) context = g_option_context_new(NULL);
    g_autoptr(GError) error = NULL;
    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error)) {
        fprintf(stderr, "%s\n", error->message);
        return false;
    }
    if (options->path == NULL) {
        options->path = g_strdup("/");
    }
    if (options->method == NULL) {
        options->method = g_strdup(options->body > 0 ? "POST" : "GET");
    }
    return true;
}

static bool
add_target(struct load *load, const char *text)
{
    g_auto(GStrv) parts = g_strsplit(text, ":", 4);
    if (g_strv_length(parts) < 2) {
        return false;
    }
    struct target target = {.weight = 1};
    if (parts[2] != NULL) {
        target.weight = g_ascii_strtod(parts[2], NULL);
    }
    if (uv_ip4_addr(parts[0], atoi(parts[1]), &target.address) != 0) {
        return false;
    }
    if (parts[2] != NULL && parts[3] != NULL) {
        target.has_source = true;
        if (uv_ip4_addr(parts[3], 0, &target.source) != 0) {
            return false;
        }
    }
    target.host = g_strdup_printf("%s:%s", parts[0], parts[1]);
    load->total_weight += target.weight;
    g_array_append_val(load->targets, target);
    return true;
}

static void
on_arrivals(uv_timer_t *timer)
{
    struct load *load = timer->data;
    uint64_t now = uv_hrtime();
    while (load->next_ns <= now && !is_past_end(load)) {
        uint64_t planned = load->next_ns;
        load->next_ns += (uint64_t)Sample_DrawExponential(
            load->random, 1e9 / load->options.rate);
        issue(load, planned);
    }
    if (!load->options.spin && !is_past_end(load)) {
        /* A timer of 0 ms would run again before libuv polls the sockets. */
        uint64_t wait_ms =
            load->next_ns > now ? MAX(1, (load->next_ns - now) / 1000000) : 1;
        uv_update_time(&load->loop);
        uv_timer_start(timer, on_arrivals, wait_ms, 0);
    }
}

static void
on_spin(uv_idle_t *idle)
{
    struct load *load = idle->data;
    if (load->options.closed == 0) {
        on_arrivals(&load->arrivals);
    }
}

/* Fails requests that have timed out, and closes all connections once the run
 * has ended and no request is pending. */
static void
on_sweep(uv_timer_t *timer)
{
    struct load *load = timer->data;
    uint64_t now = uv_hrtime();
    uint64_t limit = (uint64_t)load->options.timeout_ms * 1000000;
    bool has_ended = is_past_end(load) && load->unfinished == 0;
    g_autoptr(GList) all = g_hash_table_get_keys(load->connections);
    for (GList *at = all; at != NULL; at = at->next) {
        struct connection *connection = at->data;
        struct request *request = connection->request;
        if (request != NULL && now > request->planned_ns + limit) {
            fail(connection, "timeout");
        }
        else if (has_ended) {
            close_connection(connection);
        }
    }
    for (guint i = 0; i < load->targets->len; i++) {
        struct target *target =
            &g_array_index(load->targets, struct target, i);
        struct request *request = g_queue_peek_head(&target->waiting);
        while (request != NULL && now > request->planned_ns + limit) {
            g_queue_pop_head(&target->waiting);
            if (is_counted(load, request)) {
                Results_AddError(&load->results, "timeout");
            }
            finish_request(load, NULL, request);
            request = g_queue_peek_head(&target->waiting);
        }
    }
    if (has_ended) {
        uv_close((uv_handle_t *)&load->sweeper, NULL);
        uv_close((uv_handle_t *)&load->arrivals, NULL);
        uv_close((uv_handle_t *)&load->spinner, NULL);
    }
}

static void
issue(struct load *load, uint64_t planned_ns)
{
    struct request *request = g_new0(struct request, 1);
    request->number = ++load->count;
    request->planned_ns = planned_ns;
    if (load->options.mean_ms >= 0) {
        request->ms = (int)(0.5 + Sample_DrawExponential(
                                      load->random, load->options.mean_ms));
    }
    load->unfinished++;
    if (is_counted(load, request)) {
        load->results.planned++;
    }
    double ticket = g_rand_double(load->random) * load->total_weight;
    guint i = 0;
    struct target *target = &g_array_index(load->targets, struct target, 0);
    while (ticket >= target->weight && i + 1 < load->targets->len) {
        ticket -= target->weight;
        target = &g_array_index(load->targets, struct target, ++i);
    }
    dispatch(load, target, request);
}

static void
dispatch(struct load *load, struct target *target, struct request *request)
{
    struct connection *connection = g_queue_pop_tail(&target->idle);
    if (connection != NULL) {
        connection->request = request;
        send_request(connection);
    }
    else if (target->open < load->options.connections) {
        open_connection(load, target, request);
    }
    else {
        g_queue_push_tail(&target->waiting, request);
    }
}

static void
open_connection(struct load *load, struct target *target,
                struct request *request)
{
    struct connection *connection = g_new0(struct connection, 1);
    connection->load = load;
    connection->target = target;
    connection->request = request;
    target->open++;
    g_hash_table_add(load->connections, connection);
    http_parser_init(&connection->parser, HTTP_RESPONSE);
    connection->parser.data = connection;
    uv_tcp_init(&load->loop, &connection->handle);
    uv_tcp_nodelay(&connection->handle, 1);
    connection->handle.data = connection;
    connection->connect.data = connection;
    if (target->has_source) {
        struct sockaddr_in source = target->source;
        source.sin_addr.s_addr =
            htonl(ntohl(source.sin_addr.s_addr) +
                  (uint32_t)(load->next_caller++ % CALLERS));
        uv_tcp_bind(&connection->handle, (const struct sockaddr *)&source, 0);
    }
    if (uv_tcp_connect(&connection->connect, &connection->handle,
                       (const struct sockaddr *)&target->address,
                       on_connect) != 0) {
        fail(connection, "connect");
    }
}

static void
on_connect(uv_connect_t *connect, int status)
{
    struct connection *connection = connect->data;
    if (connection->is_closing) {
        return;
    }
    if (status != 0) {
        fail(connection, "connect");
        return;
    }
    connection->is_connected = true;
    uv_read_start((uv_stream_t *)&connection->handle, on_alloc, on_read);
    send_request(connection);
}

static void
send_request(struct connection *connection)
{
    const struct options *options = &connection->load->options;
    const struct request *request = connection->request;
    g_autoptr(GString) text = g_string_new(options->method);
    g_string_append_c(text, ' ');
    if (options->service != NULL) {
        g_string_append_printf(text, "/s/%s", options->service);
    }
    g_string_append(text, options->path);
    char separator = strchr(options->path, '?') != NULL ? '&' : '?';
    if (options->mean_ms >= 0) {
        g_string_append_printf(text, "%cms=%d", separator, request->ms);
        separator = '&';
    }
    if (options->check) {
        g_string_append_printf(text, "%cn=%" G_GINT64_FORMAT "e", separator,
                               request->number);
    }
    g_string_append_printf(text, " HTTP/1.1\r\nHost: %s\r\n",
                           connection->target->host);
    if (options->once) {
        g_string_append_printf(text,
                               "Idempotency-Key: %d-%" G_GINT64_FORMAT "\r\n",
                               options->seed, request->number);
    }
    if (options->deadline_ms > 0) {
        g_string_append_printf(text, "Sas-Deadline-Ms: %d\r\n",
                               options->deadline_ms);
    }
    if (options->body > 0) {
        g_string_append_printf(text, "Content-Length: %d\r\n", options->body);
    }
    g_string_append(text, "\r\n");
    g_string_append(text, connection->load->body);
    write_all(connection, text->str, text->len);
}

static void
write_all(struct connection *connection, const char *text, size_t length)
{
    uv_stream_t *stream = (uv_stream_t *)&connection->handle;
    uv_buf_t buffer = uv_buf_init((char *)text, (unsigned)length);
    int written = uv_try_write(stream, &buffer, 1);
    size_t done = written > 0 ? (size_t)written : 0;
    if (done == length) {
        return;
    }
    uv_write_t *write = g_malloc(sizeof(*write) + length - done);
    buffer = uv_buf_init((char *)(write + 1), (unsigned)(length - done));
    memcpy(buffer.base, text + done, length - done);
    uv_write(write, stream, &buffer, 1, on_written);
}

static void
on_written(uv_write_t *write, int status)
{
    (void)status; /* on_read also gets the error of the connection */
    g_free(write);
}

static void
on_alloc(uv_handle_t *handle, size_t wanted, uv_buf_t *buffer)
{
    (void)wanted;
    struct connection *connection = handle->data;
    *buffer = uv_buf_init(connection->load->buffer, READ_SIZE);
}

static void
on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
    struct connection *connection = stream->data;
    if (size == 0) {
        return;
    }
    /* A length of 0 tells the parser that the connection was closed, which
     * completes an answer without a length. */
    size_t length = size > 0 ? (size_t)size : 0;
    if (size > 0 || size == UV_EOF) {
        size_t done = http_parser_execute(
            &connection->parser, &parser_settings, buffer->base, length);
        if (size > 0 && done == length) {
            return;
        }
    }
    if (connection->is_closing) {
        return;
    }
    if (connection->request == NULL) {
        close_connection(connection);
    }
    else {
        fail(connection, size > 0 ? "bad answer"
                         : size == UV_EOF && connection->has_answer_begun
                             ? "cut"
                             : "reset");
    }
}

static int
on_begin(http_parser *parser)
{
    struct connection *connection = parser->data;
    if (connection->request == NULL) {
        return -1; /* unsolicited answer */
    }
    connection->has_answer_begun = true;
    connection->bytes = 0;
    connection->header_name[0] = '\0';
    memset(connection->header_values, 0, sizeof(connection->header_values));
    return 0;
}

static void
append(char *text, size_t size, const char *at, size_t length)
{
    size_t used = strlen(text);
    size_t more = MIN(length, size - 1 - used);
    memcpy(text + used, at, more);
    text[used + more] = '\0';
}

static int
on_field(http_parser *parser, const char *at, size_t length)
{
    struct connection *connection = parser->data;
    if (connection->after_value) {
        connection->header_name[0] = '\0';
        connection->after_value = false;
    }
    append(connection->header_name, NAME_SIZE, at, length);
    return 0;
}

static int
on_value(http_parser *parser, const char *at, size_t length)
{
    struct connection *connection = parser->data;
    connection->after_value = true;
    for (gsize i = 0; i < G_N_ELEMENTS(header_names); i++) {
        if (g_ascii_strcasecmp(connection->header_name, header_names[i]) ==
            0) {
            append(connection->header_values[i], NAME_SIZE, at, length);
        }
    }
    return 0;
}

static int
on_body(http_parser *parser, const char *at, size_t length)
{
    struct connection *connection = parser->data;
    if (connection->bytes < BODY_PREFIX_SIZE) {
        size_t copied =
            MIN(length, (size_t)(BODY_PREFIX_SIZE - connection->bytes));
        memcpy(connection->body + connection->bytes, at, copied);
        connection->body[connection->bytes + (int64_t)copied] = '\0';
    }
    connection->bytes += (int64_t)length;
    return 0;
}

static int
on_complete(http_parser *parser)
{
    struct connection *connection = parser->data;
    struct load *load = connection->load;
    struct request *request = connection->request;
    if (is_counted(load, request)) {
        count_answer(connection);
    }
    struct target *target = connection->target;
    connection->request = NULL;
    connection->has_answer_begun = false;
    if (http_should_keep_alive(parser)) {
        g_queue_push_tail(&target->idle, connection);
    }
    else {
        close_connection(connection);
    }
    finish_request(load, target, request);
    return 0;
}

static void
count_answer(struct connection *connection)
{
    struct load *load = connection->load;
    const struct request *request = connection->request;
    const struct answer answer = {
        .status = connection->parser.status_code,
        .bytes = connection->bytes,
        .latency_ms = (double)(uv_hrtime() - request->planned_ns) / 1e6,
        .region = connection->header_values[0],
        .backend = connection->header_values[1],
        .reason = connection->header_values[2],
        .outcome = connection->header_values[3],
    };
    g_autofree char *marker =
        g_strdup_printf("n=%" G_GINT64_FORMAT "e", request->number);
    if (load->options.check && answer.status < 300 &&
        (answer.bytes == 0 || strstr(connection->body, marker) == NULL)) {
        Results_AddError(&load->results, "wrong answer");
    }
    else {
        Results_AddAnswer(&load->results, &answer);
    }
}

static void
fail(struct connection *connection, const char *text)
{
    struct load *load = connection->load;
    struct target *target = connection->target;
    struct request *request = connection->request;
    connection->request = NULL;
    if (is_counted(load, request)) {
        Results_AddError(&load->results, text);
    }
    close_connection(connection);
    finish_request(load, target, request);
}

/* Its connection slot goes to the next waiting request; a closed loop issues a
 * new request. */
static void
finish_request(struct load *load, struct target *target,
               struct request *request)
{
    g_free(request);
    load->unfinished--;
    if (target != NULL && target->waiting.length > 0) {
        dispatch(load, target, g_queue_pop_head(&target->waiting));
    }
    if (load->options.closed > 0 && !is_past_end(load)) {
        issue(load, uv_hrtime());
    }
}

static void
close_connection(struct connection *connection)
{
    if (connection->is_closing) {
        return;
    }
    connection->is_closing = true;
    connection->target->open--;
    g_queue_remove(&connection->target->idle, connection);
    g_hash_table_remove(connection->load->connections, connection);
    uv_close((uv_handle_t *)&connection->handle, on_closed);
}

static void
on_closed(uv_handle_t *handle)
{
    g_free(handle->data);
}

static bool
is_counted(const struct load *load, const struct request *request)
{
    return (double)(request->planned_ns - load->start_ns) >=
           load->options.warmup * 1e9;
}

static bool
is_past_end(const struct load *load)
{
    uint64_t end =
        load->start_ns +
        (uint64_t)((load->options.warmup + load->options.duration) * 1e9);
    return load->options.closed > 0 ? uv_hrtime() >= end
                                    : load->next_ns >= end;
}

static void
report(struct load *load)
{
    Results_Print(&load->results, load->options.duration);
    if (load->options.csv == NULL) {
        return;
    }
    FILE *file = fopen(load->options.csv, "w");
    if (file == NULL) {
        perror(load->options.csv);
        return;
    }
    Results_WriteCsv(&load->results, load->options.duration, file);
    fclose(file);
}
