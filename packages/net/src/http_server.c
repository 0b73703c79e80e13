#include "sas/http_server.h"

#include <http_parser.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "sas/http.h"

#define LISTEN_BACKLOG 1024
#define SWEEP_MS 250
#define READ_BUFFER_SIZE 65536
#define UNREAD_SAMPLE 1024 /* bytes; more are not counted */
#define STEP "server.listen"

struct connection;

struct sas_http_exchange {
    struct connection *connection;
    struct sas_http_exchange *next;
    struct sas_http_head head;
    char *method;
    GString *target;
    GString *body;
    int64_t began_at;
    bool keep_alive;
    bool given; /* the handler has it */
    GString *answer;
    void *user;
};

struct connection {
    uv_tcp_t tcp;
    struct sas_http_server *server;
    struct connection *previous;
    struct connection *next;
    http_parser parser;
    struct sas_http_exchange *first; /* oldest request without an answer */
    struct sas_http_exchange *last;
    struct sas_http_exchange *reading; /* the one whose bytes come in */
    int pending;
    int64_t active_at;
    bool paused;
    bool ended;   /* nothing more is read: closing after what is pending */
    bool closing; /* the handle is */
    int refused;  /* status for the request that could not be read, or 0 */
};

struct sas_http_server {
    uv_loop_t *loop;
    uv_tcp_t listener;
    uv_timer_t sweep;
    struct sas_http_server_limits limits;
    struct sas_http_handler *handler;
    struct connection *connections;
    int connection_count;
    int exchange_count;
    size_t held_bytes;
    bool draining;
    bool closed;
    int64_t drain_idle_ms;
    int open_handles;
};

struct write {
    uv_write_t request;
    GString *bytes;
    struct connection *connection;
    bool close_after;
};

static _Thread_local char read_buffer[READ_BUFFER_SIZE];

static void on_accept(uv_stream_t *listener, int status);
static void on_sweep(uv_timer_t *timer);
static void close_connection(struct connection *c, enum sas_http_end end);
static void flush_answers(struct connection *c);
static const http_parser_settings *get_parser_settings(void);
static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer);
static void on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *data);

static void
on_server_handle_closed(uv_handle_t *handle)
{
    struct sas_http_server *server = handle->data;
    server->open_handles--;
    if (server->open_handles == 0) {
        g_free(server);
    }
}

struct sas_http_server *
SasHttpServer_Open(uv_loop_t *loop, const struct sas_address *address,
                   const struct sas_http_server_limits *limits,
                   struct sas_http_handler *handler, struct sas_error *error)
{
    char peer[SasModel_IP_SIZE + 8];
    snprintf(peer, sizeof(peer), "%s:%d", address->ip, address->port);
    struct sockaddr_storage storage;
    if (SasHttp_GetSockaddr(address, &storage) != 0) {
        SasError_Set(error, SAS_EINVAL, STEP, peer, "not a numeric address");
        return NULL;
    }
    struct sas_http_server *server = g_new0(struct sas_http_server, 1);
    server->loop = loop;
    server->limits = *limits;
    server->handler = handler;
    uv_tcp_init(loop, &server->listener);
    uv_timer_init(loop, &server->sweep);
    server->listener.data = server;
    server->sweep.data = server;
    server->open_handles = 2;
    int rc = uv_tcp_bind(&server->listener, (struct sockaddr *)&storage, 0);
    if (rc == 0) {
        rc = uv_listen((uv_stream_t *)&server->listener, LISTEN_BACKLOG,
                       on_accept);
    }
    if (rc != 0) {
        SasError_Set(error, SAS_EIO, STEP, peer, "%s", uv_strerror(rc));
        SasHttpServer_Close(server);
        return NULL;
    }
    uv_timer_start(&server->sweep, on_sweep, SWEEP_MS, SWEEP_MS);
    return server;
}

void
SasHttpServer_Close(struct sas_http_server *server)
{
    if (server == NULL || server->closed) {
        return;
    }
    server->closed = true;
    while (server->connections != NULL) {
        close_connection(server->connections, SAS_HTTP_END_SERVER);
    }
    uv_close((uv_handle_t *)&server->listener, on_server_handle_closed);
    uv_close((uv_handle_t *)&server->sweep, on_server_handle_closed);
}

int
SasHttpServer_GetPort(const struct sas_http_server *server)
{
    struct sockaddr_storage storage;
    int size = sizeof(storage);
    uv_tcp_getsockname(&server->listener, (struct sockaddr *)&storage, &size);
    return ntohs(((struct sockaddr_in *)&storage)->sin_port);
}

void
SasHttpServer_SetLimits(struct sas_http_server *server,
                        const struct sas_http_server_limits *limits)
{
    server->limits = *limits;
}

void
SasHttpServer_Drain(struct sas_http_server *server, int64_t idle_ms)
{
    server->draining = true;
    server->drain_idle_ms = idle_ms;
}

int
SasHttpServer_CountExchanges(const struct sas_http_server *server)
{
    return server->exchange_count;
}

int
SasHttpServer_CountConnections(const struct sas_http_server *server)
{
    return server->connection_count;
}

/* One request. */

const char *
SasHttpExchange_GetMethod(const struct sas_http_exchange *e)
{
    return e->method;
}

const char *
SasHttpExchange_GetTarget(const struct sas_http_exchange *e)
{
    return e->target->str;
}

const struct sas_http_header *
SasHttpExchange_GetHeaders(const struct sas_http_exchange *e, int *count)
{
    *count = e->head.count;
    return e->head.fields;
}

const char *
SasHttpExchange_FindHeader(const struct sas_http_exchange *e, const char *name)
{
    return SasHttp_FindHeader(e->head.fields, e->head.count, name);
}

const char *
SasHttpExchange_GetBody(const struct sas_http_exchange *e, size_t *size)
{
    *size = e->body->len;
    return e->body->str;
}

int64_t
SasHttpExchange_GetBeganAt(const struct sas_http_exchange *e)
{
    return e->began_at;
}

void
SasHttpExchange_SetUser(struct sas_http_exchange *e, void *user)
{
    e->user = user;
}

void *
SasHttpExchange_GetUser(const struct sas_http_exchange *e)
{
    return e->user;
}

static GString *
format_reply(const struct sas_http_exchange *e,
             const struct sas_http_reply *reply)
{
    GString *text = g_string_sized_new(512 + reply->body_size);
    g_string_append_printf(text, "HTTP/1.1 %d %s\r\n", reply->status,
                           SasHttp_GetReason(reply->status));
    for (int i = 0; i < reply->header_count; i++) {
        g_string_append(text, reply->headers[i].name);
        g_string_append(text, ": ");
        g_string_append(text, reply->headers[i].value);
        g_string_append(text, "\r\n");
    }
    if (reply->status != 204 && reply->status != 304) {
        g_string_append_printf(text, "Content-Length: %zu\r\n",
                               reply->body_size);
    }
    if (!e->keep_alive) {
        g_string_append(text, "Connection: close\r\n");
    }
    g_string_append(text, "\r\n");
    if (strcmp(e->method, "HEAD") != 0) {
        g_string_append_len(text, reply->body, (gssize)reply->body_size);
    }
    return text;
}

void
SasHttpExchange_Reply(struct sas_http_exchange *e,
                      const struct sas_http_reply *reply)
{
    struct connection *c = e->connection;
    /* While the process is being stopped a connection ends with its last
     * answer. One that others wait behind stays open: what is behind a
     * closing answer counts as not read and would be sent once more. */
    if (c->server->draining && e == c->last && c->reading == NULL) {
        e->keep_alive = false;
    }
    e->answer = format_reply(e, reply);
    flush_answers(c);
}

void
SasHttpExchange_ReplyText(struct sas_http_exchange *e, int status,
                          const char *type, const char *text,
                          const struct sas_http_header *more)
{
    struct sas_http_header headers[2] = {{"Content-Type", type}};
    struct sas_http_reply reply = {
        .status = status,
        .headers = headers,
        .header_count = 1,
        .body = text,
        .body_size = strlen(text),
    };
    if (more != NULL) {
        headers[reply.header_count++] = *more;
    }
    SasHttpExchange_Reply(e, &reply);
}

/* Exchanges. */

static struct sas_http_exchange *
new_exchange(struct connection *c)
{
    struct sas_http_exchange *e = g_new0(struct sas_http_exchange, 1);
    e->connection = c;
    e->began_at = (int64_t)uv_now(c->server->loop);
    e->target = g_string_new(NULL);
    e->body = g_string_new(NULL);
    SasHttpHead_Init(&e->head);
    if (c->last != NULL) {
        c->last->next = e;
    }
    else {
        c->first = e;
    }
    c->last = e;
    c->pending++;
    c->server->exchange_count++;
    return e;
}

static void
free_first_exchange(struct connection *c)
{
    struct sas_http_exchange *e = c->first;
    c->first = e->next;
    if (c->first == NULL) {
        c->last = NULL;
    }
    if (c->reading == e) {
        c->reading = NULL;
    }
    c->pending--;
    c->server->exchange_count--;
    c->server->held_bytes -= e->body->len;
    if (e->answer != NULL) {
        g_string_free(e->answer, TRUE);
    }
    SasHttpHead_Close(&e->head);
    g_string_free(e->target, TRUE);
    g_string_free(e->body, TRUE);
    g_free(e->method);
    g_free(e);
}

/* Writing. */

static void
on_written(uv_write_t *request, int status)
{
    struct write *write = (struct write *)request;
    struct connection *c = write->connection;
    if (!c->closing && (status != 0 || write->close_after)) {
        close_connection(c, status != 0 ? SAS_HTTP_END_CALLER
                                        : SAS_HTTP_END_ANSWER);
    }
    g_string_free(write->bytes, TRUE);
    g_free(write);
}

static void
resume_reading(struct connection *c)
{
    if (c->paused && !c->closing && c->pending < SasHttpServer_MAX_PIPELINE) {
        c->paused = false;
        uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
    }
}

/* Sends the answers that are next in order. */
static void
flush_answers(struct connection *c)
{
    if (c->closing || c->first == NULL || c->first->answer == NULL) {
        return;
    }
    struct write *write = g_new0(struct write, 1);
    write->connection = c;
    write->bytes = g_string_new(NULL);
    while (!write->close_after && c->first != NULL &&
           c->first->answer != NULL) {
        g_string_append_len(write->bytes, c->first->answer->str,
                            (gssize)c->first->answer->len);
        write->close_after = !c->first->keep_alive;
        free_first_exchange(c);
    }
    c->active_at = (int64_t)uv_now(c->server->loop);
    uv_buf_t buffer =
        uv_buf_init(write->bytes->str, (unsigned int)write->bytes->len);
    if (uv_write(&write->request, (uv_stream_t *)&c->tcp, &buffer, 1,
                 on_written) != 0) {
        g_string_free(write->bytes, TRUE);
        g_free(write);
        close_connection(c, SAS_HTTP_END_CALLER);
        return;
    }
    resume_reading(c);
}

/* Connections. */

static void
on_connection_closed(uv_handle_t *handle)
{
    g_free(handle->data);
}

const char *
SasHttp_GetEndName(enum sas_http_end end)
{
    static const char *const names[SAS_HTTP_END_COUNT] = {
        [SAS_HTTP_END_CALLER] = "caller", [SAS_HTTP_END_ANSWER] = "answer",
        [SAS_HTTP_END_HEAD] = "head",     [SAS_HTTP_END_IDLE] = "idle",
        [SAS_HTTP_END_SERVER] = "server",
    };
    return names[end];
}

static bool
is_unanswered(const struct sas_http_exchange *e)
{
    return e->given && e->answer == NULL;
}

static size_t
count_unread(const struct connection *c)
{
    char bytes[UNREAD_SAMPLE];
    uv_os_fd_t fd;
    if (uv_fileno((const uv_handle_t *)&c->tcp, &fd) != 0) {
        return 0;
    }
    ssize_t count = recv(fd, bytes, sizeof(bytes), MSG_PEEK | MSG_DONTWAIT);
    return count > 0 ? (size_t)count : 0;
}

static void
tell_leftover(const struct connection *c, enum sas_http_end end)
{
    struct sas_http_handler *handler = c->server->handler;
    if (handler->on_closed == NULL) {
        return;
    }
    struct sas_http_leftover leftover = {
        .end = end,
        .unsent_bytes =
            uv_stream_get_write_queue_size((const uv_stream_t *)&c->tcp),
        .unread_bytes = end == SAS_HTTP_END_CALLER ? 0 : count_unread(c),
        .idle_ms = (int64_t)uv_now(c->server->loop) - c->active_at,
    };
    for (struct sas_http_exchange *e = c->first; e != NULL; e = e->next) {
        leftover.unanswered += is_unanswered(e) ? 1 : 0;
    }
    handler->on_closed(handler, &leftover);
}

/* Tells the handler of every request that it still has. */
static void
abandon_exchanges(struct connection *c, enum sas_http_end end)
{
    struct sas_http_handler *handler = c->server->handler;
    while (c->first != NULL) {
        struct sas_http_exchange *e = c->first;
        if (is_unanswered(e) && handler->on_abandoned != NULL) {
            handler->on_abandoned(handler, e, end);
        }
        free_first_exchange(c);
    }
}

static void
close_connection(struct connection *c, enum sas_http_end end)
{
    if (c->closing) {
        return;
    }
    c->closing = true;
    struct sas_http_server *server = c->server;
    if (c->previous != NULL) {
        c->previous->next = c->next;
    }
    else {
        server->connections = c->next;
    }
    if (c->next != NULL) {
        c->next->previous = c->previous;
    }
    server->connection_count--;
    tell_leftover(c, end);
    abandon_exchanges(c, end);
    uv_close((uv_handle_t *)&c->tcp, on_connection_closed);
}

static void
on_accept(uv_stream_t *listener, int status)
{
    struct sas_http_server *server = listener->data;
    if (status != 0) {
        return;
    }
    struct connection *c = g_new0(struct connection, 1);
    c->server = server;
    uv_tcp_init(server->loop, &c->tcp);
    c->tcp.data = c;
    if (uv_accept(listener, (uv_stream_t *)&c->tcp) != 0 ||
        server->connection_count >= server->limits.connections) {
        uv_close((uv_handle_t *)&c->tcp, on_connection_closed);
        return;
    }
    uv_tcp_nodelay(&c->tcp, 1);
    http_parser_init(&c->parser, HTTP_REQUEST);
    c->parser.data = c;
    c->active_at = (int64_t)uv_now(server->loop);
    c->next = server->connections;
    if (c->next != NULL) {
        c->next->previous = c;
    }
    server->connections = c;
    server->connection_count++;
    uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
}

/* Closes what has been idle for too long or sends its head too slowly. */
static void
sweep_connection(struct connection *c, int64_t now_ms)
{
    const struct sas_http_server *server = c->server;
    if (c->reading != NULL && c->reading->method == NULL &&
        now_ms - c->reading->began_at > server->limits.header_ms) {
        close_connection(c, SAS_HTTP_END_HEAD);
        return;
    }
    int64_t limit_ms =
        server->draining ? server->drain_idle_ms : server->limits.idle_ms;
    if (c->first == NULL && limit_ms > 0 && now_ms - c->active_at > limit_ms) {
        close_connection(c, SAS_HTTP_END_IDLE);
    }
}

static void
on_sweep(uv_timer_t *timer)
{
    struct sas_http_server *server = timer->data;
    int64_t now_ms = (int64_t)uv_now(server->loop);
    struct connection *c = server->connections;
    while (c != NULL) {
        struct connection *next = c->next;
        sweep_connection(c, now_ms);
        c = next;
    }
}

/* Reading. */

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    (void)handle;
    (void)suggested;
    *buffer = uv_buf_init(read_buffer, sizeof(read_buffer));
}

/* The request that is being read can't be served; what follows it on the
 * connection can't be told apart, so the connection ends with the answer. */
static void
refuse_reading(struct connection *c, int status)
{
    if (c->reading == NULL) {
        c->reading = new_exchange(c);
    }
    struct sas_http_exchange *e = c->reading;
    c->reading = NULL;
    c->ended = true;
    if (e->method == NULL) {
        e->method = g_strdup("GET");
    }
    e->keep_alive = false;
    struct sas_http_header header = {"Retry-After", "1"};
    struct sas_http_reply reply = {
        .status = status,
        .headers = &header,
        .header_count = status == 503 ? 1 : 0,
        .body = "",
    };
    SasHttpExchange_Reply(e, &reply);
}

static void
on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *data)
{
    struct connection *c = stream->data;
    if (count == 0 || c->closing) {
        return;
    }
    if (count < 0) {
        close_connection(c, SAS_HTTP_END_CALLER);
        return;
    }
    if (c->ended) {
        return; /* a caller that goes on sending after it was refused */
    }
    c->active_at = (int64_t)uv_now(stream->loop);
    size_t used = http_parser_execute(&c->parser, get_parser_settings(),
                                      data->base, (size_t)count);
    if (c->closing || c->ended) {
        return;
    }
    if (HTTP_PARSER_ERRNO(&c->parser) != HPE_OK || c->parser.upgrade ||
        used != (size_t)count) {
        refuse_reading(c, c->refused != 0 ? c->refused : 400);
        return;
    }
    if (c->pending >= SasHttpServer_MAX_PIPELINE && !c->paused) {
        c->paused = true;
        uv_read_stop(stream);
    }
}

/* Parser callbacks. */

static int
on_message_begin(http_parser *parser)
{
    struct connection *c = parser->data;
    c->reading = new_exchange(c);
    c->refused = 0;
    return 0;
}

static int
on_url(http_parser *parser, const char *at, size_t length)
{
    struct connection *c = parser->data;
    if (c->reading->target->len + length > c->server->limits.header_bytes) {
        c->refused = 431;
        return -1;
    }
    g_string_append_len(c->reading->target, at, (gssize)length);
    return 0;
}

/* -1, and the refusal that goes with it, when the head has grown too long. */
static int
check_head(struct connection *c, int appended)
{
    if (appended != 0) {
        c->refused = 431;
    }
    return appended;
}

static int
on_header_field(http_parser *parser, const char *at, size_t length)
{
    struct connection *c = parser->data;
    if (parser->flags & F_TRAILING) {
        return 0;
    }
    return check_head(c,
                      SasHttpHead_AppendName(&c->reading->head, at, length,
                                             c->server->limits.header_bytes));
}

static int
on_header_value(http_parser *parser, const char *at, size_t length)
{
    struct connection *c = parser->data;
    if (parser->flags & F_TRAILING) {
        return 0;
    }
    return check_head(c,
                      SasHttpHead_AppendValue(&c->reading->head, at, length,
                                              c->server->limits.header_bytes));
}

static int
on_headers_complete(http_parser *parser)
{
    struct connection *c = parser->data;
    struct sas_http_exchange *e = c->reading;
    SasHttpHead_Finish(&e->head);
    e->method = g_strdup(http_method_str(parser->method));
    e->keep_alive = http_should_keep_alive(parser);
    if (parser->flags & F_CONTENTLENGTH &&
        parser->content_length > c->server->limits.body_bytes) {
        c->refused = 413;
        return -1;
    }
    if (parser->flags & F_CONTENTLENGTH && parser->content_length > 0) {
        g_string_set_size(e->body, parser->content_length);
        g_string_truncate(e->body, 0);
    }
    const char *expect = SasHttpExchange_FindHeader(e, "Expect");
    if (expect != NULL) {
        /* Only where nothing is owed before it on the connection. */
        if (c->first == e) {
            static const char go_on[] = "HTTP/1.1 100 Continue\r\n\r\n";
            uv_buf_t buffer = uv_buf_init((char *)go_on, sizeof(go_on) - 1);
            uv_try_write((uv_stream_t *)&c->tcp, &buffer, 1);
        }
    }
    return 0;
}

static int
on_body(http_parser *parser, const char *at, size_t length)
{
    struct connection *c = parser->data;
    struct sas_http_server *server = c->server;
    GString *body = c->reading->body;
    if (body->len + length > server->limits.body_bytes) {
        c->refused = 413;
        return -1;
    }
    if (server->held_bytes + length > server->limits.bodies_bytes) {
        c->refused = 503;
        return -1;
    }
    server->held_bytes += length;
    g_string_append_len(body, at, (gssize)length);
    return 0;
}

static int
on_message_complete(http_parser *parser)
{
    struct connection *c = parser->data;
    struct sas_http_exchange *e = c->reading;
    c->reading = NULL;
    e->given = true;
    c->server->handler->on_request(c->server->handler, e);
    return c->closing ? -1 : 0;
}

static const http_parser_settings *
get_parser_settings(void)
{
    static const http_parser_settings settings = {
        .on_message_begin = on_message_begin,
        .on_url = on_url,
        .on_header_field = on_header_field,
        .on_header_value = on_header_value,
        .on_headers_complete = on_headers_complete,
        .on_body = on_body,
        .on_message_complete = on_message_complete,
    };
    return &settings;
}
