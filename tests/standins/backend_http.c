#include "backend.h"

#include <stdlib.h>
#include <string.h>

#define MAX_PENDING (1024 * 1024)
#define MAX_CONTROL_BODY (1024 * 1024)
#define BACKLOG 512
#define EXTRA_DELAY_MS 20
#define EXTRA_ANSWER "HTTP/1.1 200 OK\r\n%s%s%sContent-Length: 4\r\n\r\nlate"

struct write {
    uv_write_t write;
    struct connection *connection;
    GString *text;
    bool close;
};

static void on_connection(uv_stream_t *listener, int status);
static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer);
static void on_alloc(uv_handle_t *handle, size_t wanted, uv_buf_t *buffer);
static void on_written(uv_write_t *write, int status);
static void on_closed(uv_handle_t *handle);
static void on_request_freed(uv_handle_t *timer);
static int on_begin(http_parser *parser);
static int on_target(http_parser *parser, const char *at, size_t length);
static int on_field(http_parser *parser, const char *at, size_t length);
static int on_value(http_parser *parser, const char *at, size_t length);
static int on_head(http_parser *parser);
static int on_body(http_parser *parser, const char *at, size_t length);
static int on_complete(http_parser *parser);
static void parse(struct connection *connection, const char *at,
                  size_t length);
static void parse_pending(struct connection *connection);
static void store_header(struct request *request);
static void write_text(struct connection *connection, GString *text,
                       bool close);

static const http_parser_settings parser_settings = {
    .on_message_begin = on_begin,
    .on_url = on_target,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_head,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

uv_tcp_t *
Http_Bind(struct app *app, int *port)
{
    uv_tcp_t *listener = g_new0(uv_tcp_t, 1);
    struct sockaddr_in address;
    int length = sizeof(address);
    uv_ip4_addr("127.0.0.1", *port, &address);
    uv_tcp_init(&app->loop, listener);
    int status = uv_tcp_bind(listener, (const struct sockaddr *)&address, 0);
    if (status != 0) {
        g_error("cannot bind port %d: %s", *port, uv_strerror(status));
    }
    uv_tcp_getsockname(listener, (struct sockaddr *)&address, &length);
    *port = ntohs(address.sin_port);
    return listener;
}

int
Http_Listen(uv_tcp_t *listener, struct server *server)
{
    listener->data = server;
    return uv_listen((uv_stream_t *)listener, BACKLOG, on_connection);
}

void
Http_CloseConnection(struct connection *connection, bool reset)
{
    if (connection->is_closing) {
        return;
    }
    connection->is_closing = true;
    if (connection->server != NULL) {
        g_hash_table_remove(connection->server->connected, connection);
    }
    if (connection->request != NULL) {
        Server_HandleDisconnect(connection->request);
    }
    if (!reset || uv_tcp_close_reset(&connection->handle, on_closed) != 0) {
        uv_close((uv_handle_t *)&connection->handle, on_closed);
    }
}

void
Http_Deliver(struct request *request)
{
    struct connection *connection = request->connection;
    if (connection == NULL) {
        Http_FreeRequest(request);
        return;
    }
    if (request->ending == END_RESET) {
        Http_CloseConnection(connection, true);
        return;
    }
    GString *text = request->answer;
    request->answer = g_string_new(NULL);
    if (request->ending == END_EXTRA) {
        request->ending = END_KEEP;
        const char *id = Http_GetHeader(request, "sas-request-id");
        bool echo = id != NULL && connection->server->settings.echo;
        g_string_printf(request->answer, EXTRA_ANSWER,
                        echo ? "Sas-Request-Id: " : "", echo ? id : "",
                        echo ? "\r\n" : "");
        write_text(connection, text, false);
        Server_ScheduleDelivery(request, EXTRA_DELAY_MS);
        return;
    }
    bool close = request->ending == END_CLOSE || !request->keep_alive;
    connection->request = NULL;
    Http_FreeRequest(request);
    write_text(connection, text, close);
    if (!close) {
        parse_pending(connection);
    }
}

void
Http_FreeRequest(struct request *request)
{
    uv_close((uv_handle_t *)&request->timer, on_request_freed);
}

const char *
Http_GetHeader(const struct request *request, const char *name)
{
    return g_hash_table_lookup(request->headers, name);
}

char *
Http_GetParameter(const struct request *request, const char *name)
{
    const char *query = strchr(request->target->str, '?');
    if (query == NULL) {
        return NULL;
    }
    g_auto(GStrv) parts = g_strsplit(query + 1, "&", -1);
    gsize length = strlen(name);
    for (int i = 0; parts[i] != NULL; i++) {
        if (strncmp(parts[i], name, length) == 0 && parts[i][length] == '=') {
            return g_strdup(parts[i] + length + 1);
        }
    }
    return NULL;
}

double
Http_GetNumber(const struct request *request, const char *name,
               double default_value)
{
    g_autofree char *text = Http_GetParameter(request, name);
    return text == NULL ? default_value : g_ascii_strtod(text, NULL);
}

void
Http_SetAnswer(struct request *request, int status, const char *headers,
               const char *body, gsize length)
{
    GString *answer = request->answer;
    g_string_printf(answer, "HTTP/1.1 %d Standin\r\n%s", status, headers);
    if (request->server != NULL) {
        g_string_append_printf(answer, "Sas-Standin: %s\r\n",
                               request->server->name);
        Server_AppendLoad(request->server, answer, false);
        const char *id = Http_GetHeader(request, "sas-request-id");
        if (id != NULL && request->server->settings.echo) {
            g_string_append_printf(answer, "Sas-Request-Id: %s\r\n", id);
        }
    }
    if (!request->keep_alive && strstr(headers, "Connection:") == NULL) {
        g_string_append(answer, "Connection: close\r\n");
    }
    if (body != NULL || *headers == '\0') {
        g_string_append_printf(answer, "Content-Length: %zu\r\n", length);
    }
    g_string_append(answer, "\r\n");
    if (body != NULL && request->method != HTTP_HEAD) {
        g_string_append_len(answer, body, (gssize)length);
    }
}

static void
on_connection(uv_stream_t *listener, int status)
{
    if (status != 0) {
        return;
    }
    struct connection *connection = g_new0(struct connection, 1);
    struct server *server = listener->data;
    connection->app = listener->loop->data;
    connection->server = server;
    connection->pending = g_byte_array_new();
    http_parser_init(&connection->parser, HTTP_REQUEST);
    connection->parser.data = connection;
    uv_tcp_init(listener->loop, &connection->handle);
    connection->handle.data = connection;
    if (uv_accept(listener, (uv_stream_t *)&connection->handle) != 0) {
        Http_CloseConnection(connection, false);
        return;
    }
    uv_tcp_nodelay(&connection->handle, 1);
    if (server != NULL) {
        if ((int)g_hash_table_size(server->connected) >=
            server->settings.connections) {
            server->counts.refused++;
            Http_CloseConnection(connection, true);
            return;
        }
        server->counts.accepted++;
        g_hash_table_add(server->connected, connection);
    }
    uv_read_start((uv_stream_t *)&connection->handle, on_alloc, on_read);
}

static void
on_alloc(uv_handle_t *handle, size_t wanted, uv_buf_t *buffer)
{
    (void)wanted;
    struct connection *connection = handle->data;
    *buffer = uv_buf_init(connection->app->read_buffer, READ_SIZE);
}

static void
on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
    struct connection *connection = stream->data;
    if (size < 0) {
        Http_CloseConnection(connection, false);
        return;
    }
    if (size == 0 || connection->is_stalled) {
        return;
    }
    bool is_busy = connection->request != NULL &&
                   connection->request->phase != PHASE_READING;
    if (!is_busy) {
        parse(connection, buffer->base, (size_t)size);
    }
    else if (connection->pending->len > MAX_PENDING) {
        Http_CloseConnection(connection, true);
    }
    else {
        g_byte_array_append(connection->pending, (guint8 *)buffer->base,
                            (guint)size);
    }
}

static void
parse(struct connection *connection, const char *at, size_t length)
{
    http_parser *parser = &connection->parser;
    size_t done = http_parser_execute(parser, &parser_settings, at, length);
    if (connection->is_closing) {
        return;
    }
    if (HTTP_PARSER_ERRNO(parser) == HPE_PAUSED) {
        http_parser_pause(parser, 0);
    }
    else if (HTTP_PARSER_ERRNO(parser) != HPE_OK || parser->upgrade) {
        Http_CloseConnection(connection, false);
        return;
    }
    if (done < length) {
        g_byte_array_append(connection->pending, (const guint8 *)at + done,
                            (guint)(length - done));
    }
    struct request *request = connection->request;
    if (request == NULL || request->phase != PHASE_ARRIVING) {
        return;
    }
    if (request->server == NULL) {
        Control_Serve(request);
    }
    else {
        Server_Admit(request);
    }
}

static void
parse_pending(struct connection *connection)
{
    if (connection->pending->len == 0 || connection->is_closing) {
        return;
    }
    g_autoptr(GByteArray) bytes = connection->pending;
    connection->pending = g_byte_array_new();
    parse(connection, (const char *)bytes->data, bytes->len);
}

static int
on_begin(http_parser *parser)
{
    struct connection *connection = parser->data;
    struct request *request = g_new0(struct request, 1);
    uv_timer_init(&connection->app->loop, &request->timer);
    request->timer.data = request;
    request->server = connection->server;
    request->connection = connection;
    request->is_first = connection->request_count++ == 0;
    request->target = g_string_new(NULL);
    request->headers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    request->header_name = g_string_new(NULL);
    request->header_value = g_string_new(NULL);
    request->body = g_string_new(NULL);
    request->answer = g_string_new(NULL);
    request->body_hash = XXH64_createState();
    XXH64_reset(request->body_hash, 0);
    connection->request = request;
    return 0;
}

static int
on_target(http_parser *parser, const char *at, size_t length)
{
    struct connection *connection = parser->data;
    g_string_append_len(connection->request->target, at, (gssize)length);
    return 0;
}

static int
on_field(http_parser *parser, const char *at, size_t length)
{
    struct request *request = ((struct connection *)parser->data)->request;
    if (request->has_value) {
        store_header(request);
    }
    g_string_append_len(request->header_name, at, (gssize)length);
    return 0;
}

static int
on_value(http_parser *parser, const char *at, size_t length)
{
    struct request *request = ((struct connection *)parser->data)->request;
    request->has_value = true;
    g_string_append_len(request->header_value, at, (gssize)length);
    return 0;
}

static int
on_head(http_parser *parser)
{
    struct connection *connection = parser->data;
    struct request *request = connection->request;
    store_header(request);
    request->method = parser->method;
    request->keep_alive = http_should_keep_alive(parser) != 0;
    g_autofree char *fault = Http_GetParameter(request, "fault");
    g_autofree char *when = Http_GetParameter(request, "when");
    if (g_strcmp0(fault, "reset-mid") == 0 && g_strcmp0(when, "part") == 0) {
        Http_CloseConnection(connection, true);
        return -1;
    }
    return 0;
}

static int
on_body(http_parser *parser, const char *at, size_t length)
{
    struct request *request = ((struct connection *)parser->data)->request;
    request->body_bytes += (int64_t)length;
    XXH64_update(request->body_hash, at, length);
    if (request->server == NULL) {
        g_string_append_len(request->body, at, (gssize)length);
    }
    return request->body->len > MAX_CONTROL_BODY ? -1 : 0;
}

static int
on_complete(http_parser *parser)
{
    struct connection *connection = parser->data;
    connection->request->phase = PHASE_ARRIVING;
    http_parser_pause(parser, 1);
    return 0;
}

static void
store_header(struct request *request)
{
    if (request->header_name->len > 0) {
        g_hash_table_insert(request->headers,
                            g_ascii_strdown(request->header_name->str, -1),
                            g_strdup(request->header_value->str));
    }
    request->has_value = false;
    g_string_truncate(request->header_name, 0);
    g_string_truncate(request->header_value, 0);
}

static void
write_text(struct connection *connection, GString *text, bool close)
{
    if (connection->is_stalled || connection->is_closing) {
        g_string_free(text, TRUE);
        return;
    }
    struct write *write = g_new0(struct write, 1);
    write->write.data = write;
    write->connection = connection;
    write->text = text;
    write->close = close;
    uv_buf_t buffer = uv_buf_init(text->str, (unsigned)text->len);
    uv_write(&write->write, (uv_stream_t *)&connection->handle, &buffer, 1,
             on_written);
}

static void
on_written(uv_write_t *request, int status)
{
    struct write *write = request->data;
    if (write->close || status != 0) {
        Http_CloseConnection(write->connection, false);
    }
    g_string_free(write->text, TRUE);
    g_free(write);
}

static void
on_closed(uv_handle_t *handle)
{
    struct connection *connection = handle->data;
    g_byte_array_unref(connection->pending);
    g_free(connection);
}

static void
on_request_freed(uv_handle_t *timer)
{
    struct request *request = timer->data;
    g_string_free(request->target, TRUE);
    g_string_free(request->header_name, TRUE);
    g_string_free(request->header_value, TRUE);
    g_string_free(request->body, TRUE);
    g_string_free(request->answer, TRUE);
    g_hash_table_unref(request->headers);
    XXH64_freeState(request->body_hash);
    g_free(request);
}
