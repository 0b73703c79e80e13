#include "http_server_conn.h"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#define READ_BUFFER_SIZE 65536
#define MAX_UNREAD_COUNT 1024 /* bytes */

/* A caller that has received the closing answer closes the connection within
 * a round trip. */
#define LINGER_MS 500

struct write {
    uv_write_t request;
    GString *bytes;
    struct sas_http_server_conn *connection;
    bool close_after;
};

static _Thread_local char read_buffer[READ_BUFFER_SIZE];

static const http_parser_settings *get_parser_settings(void);
static void refuse_request(struct sas_http_server_conn *c, int status);
static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer);
static void on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *data);

/* Writing. */

static void
on_shutdown(uv_shutdown_t *request, int status)
{
    (void)request;
    (void)status; /* on_read reports the end of the connection */
}

/* Lingering close: shuts down the sending side only and discards what still
 * arrives. A close with unread bytes would send a reset, which may overtake
 * the answer. */
static void
linger(struct sas_http_server_conn *c)
{
    c->state = CONNECTION_LINGERING;
    c->active_at = (int64_t)uv_now(c->server->loop);
    if (uv_shutdown(&c->shutdown, (uv_stream_t *)&c->tcp, on_shutdown) != 0) {
        SasHttpServerConn_Close(c, SAS_HTTP_CLOSE_ANSWER);
    }
}

/* Whether further requests wait: many are pending, or the caller doesn't read
 * its answers. */
static bool
is_full(const struct sas_http_server_conn *c)
{
    return c->pending >= SasHttpServer_MAX_PIPELINE ||
           uv_stream_get_write_queue_size((const uv_stream_t *)&c->tcp) >
               SasHttpServer_MAX_UNSENT;
}

static bool
waits(const struct sas_http_server_conn *c)
{
    return c->state == CONNECTION_OPEN && (c->ahead.size > 0 || c->overflowed);
}

/* Requests that wait are parsed in the loop's next iteration: the caller of
 * SasHttpExchange_Reply must not get requests before it returns. */
static void
schedule_resume(struct sas_http_server_conn *c)
{
    c->head_since = (int64_t)uv_now(c->server->loop);
    uv_idle_start(&c->server->resume, SasHttpServer_OnResume);
}

/* What is too much is given up in the loop's next iteration, for the same
 * reason. */
void
SasHttpServerConn_NoteAnswerBytes(struct sas_http_server_conn *c,
                                  ssize_t change)
{
    c->answer_bytes += (size_t)change;
    c->server->answer_bytes += (size_t)change;
    if (SasHttpServer_HasTooManyAnswers(c->server)) {
        uv_idle_start(&c->server->resume, SasHttpServer_OnResume);
    }
}

static void
on_written(uv_write_t *request, int status)
{
    struct write *write = (struct write *)request;
    struct sas_http_server_conn *c = write->connection;
    if (c->state != CONNECTION_CLOSED) {
        SasHttpServerConn_NoteAnswerBytes(c, -(ssize_t)write->bytes->len);
    }
    if (status != 0) {
        SasHttpServerConn_Close(c, SAS_HTTP_CLOSE_CALLER);
    }
    else if (write->close_after && c->state != CONNECTION_CLOSED) {
        linger(c);
    }
    else if (waits(c) && !is_full(c)) {
        schedule_resume(c);
    }
    g_string_free(write->bytes, TRUE);
    g_free(write);
}

/* While draining, the answer to the last request closes the connection. If
 * further requests follow, it stays open: callers take requests after a
 * closing answer as not processed and would retry them while they run. */
static bool
is_closing_answer(const struct sas_http_exchange *e)
{
    const struct sas_http_server_conn *c = e->connection;
    return !e->keep_alive || (c->server->draining && e->next == NULL &&
                              c->reading == NULL && c->ahead.size == 0);
}

static void
append_answer(GString *bytes, const struct sas_http_exchange *e, bool closing)
{
    g_string_append_len(bytes, e->answer->str, (gssize)e->headers_offset);
    if (closing) {
        g_string_append(bytes, "Connection: close\r\n");
    }
    g_string_append_len(bytes, e->answer->str + e->headers_offset,
                        (gssize)(e->answer->len - e->headers_offset));
}

static bool
is_answer_ready(const struct sas_http_server_conn *c)
{
    return c->state < CONNECTION_LAST_ANSWER && !c->parsing &&
           c->first != NULL && c->first->answer != NULL;
}

void
SasHttpServerConn_Flush(struct sas_http_server_conn *c)
{
    if (!is_answer_ready(c)) {
        return;
    }
    bool was_full = is_full(c);
    struct write *write = g_new0(struct write, 1);
    write->connection = c;
    write->bytes = g_string_new(NULL);
    while (is_answer_ready(c)) {
        bool closing = is_closing_answer(c->first);
        append_answer(write->bytes, c->first, closing);
        SasHttpExchange_FreeFirst(c);
        if (closing) {
            c->state = CONNECTION_LAST_ANSWER;
            write->close_after = true;
        }
    }
    c->active_at = (int64_t)uv_now(c->server->loop);
    SasHttpServerConn_NoteAnswerBytes(c, (ssize_t)write->bytes->len);
    uv_buf_t buffer =
        uv_buf_init(write->bytes->str, (unsigned int)write->bytes->len);
    if (uv_write(&write->request, (uv_stream_t *)&c->tcp, &buffer, 1,
                 on_written) != 0) {
        g_string_free(write->bytes, TRUE);
        g_free(write);
        SasHttpServerConn_Close(c, SAS_HTTP_CLOSE_CALLER);
        return;
    }
    if (was_full && !is_full(c)) {
        schedule_resume(c);
    }
}

/* Connections. */

static void
on_connection_closed(uv_handle_t *handle)
{
    g_free(handle->data);
}

static bool
is_unanswered(const struct sas_http_exchange *e)
{
    return e->dispatched && e->answer == NULL;
}

/* Bytes of answers that wait in libuv, or in the kernel for the caller's
 * acknowledgement. */
static size_t
count_unsent(const struct sas_http_server_conn *c)
{
    uv_os_fd_t fd;
    int unacked = 0;
    if (uv_fileno((const uv_handle_t *)&c->tcp, &fd) != 0 ||
        ioctl(fd, SIOCOUTQ, &unacked) != 0 || unacked < 0) {
        unacked = 0;
    }
    return uv_stream_get_write_queue_size((const uv_stream_t *)&c->tcp) +
           (size_t)unacked;
}

/* Bytes that wait in the socket, at most MAX_UNREAD_COUNT. */
static size_t
count_unread(const struct sas_http_server_conn *c)
{
    char bytes[MAX_UNREAD_COUNT];
    uv_os_fd_t fd;
    if (uv_fileno((const uv_handle_t *)&c->tcp, &fd) != 0) {
        return 0;
    }
    ssize_t count = recv(fd, bytes, sizeof(bytes), MSG_PEEK | MSG_DONTWAIT);
    return count > 0 ? (size_t)count : 0;
}

static void
report_close(const struct sas_http_server_conn *c,
             enum sas_http_close_reason end)
{
    struct sas_http_handler *handler = c->server->handler;
    if (handler->on_closed == NULL) {
        return;
    }
    struct sas_http_close_stats close_stats = {
        .end = end,
        .unsent_bytes = c->caller_closed ? 0 : count_unsent(c),
        .unread_bytes =
            end == SAS_HTTP_CLOSE_CALLER ? 0 : count_unread(c) + c->ahead.size,
        .idle_ms = (int64_t)uv_now(c->server->loop) - c->active_at,
    };
    for (struct sas_http_exchange *e = c->first; e != NULL; e = e->next) {
        close_stats.unanswered += is_unanswered(e) ? 1 : 0;
    }
    handler->on_closed(handler, &close_stats);
}

/* What was read ahead has changed its size from before. */
static void
note_ahead_bytes(struct sas_http_server_conn *c, size_t before)
{
    c->server->body_bytes += c->ahead.size - before;
}

static void
clear_ahead(struct sas_http_server_conn *c)
{
    size_t before = c->ahead.size;
    SasReadAhead_Clear(&c->ahead);
    note_ahead_bytes(c, before);
}

/* Frees all exchanges; reports those that the handler hasn't answered. */
static void
abandon_exchanges(struct sas_http_server_conn *c,
                  enum sas_http_close_reason end)
{
    struct sas_http_handler *handler = c->server->handler;
    while (c->first != NULL) {
        struct sas_http_exchange *e = c->first;
        if (is_unanswered(e) && handler->on_abandoned != NULL) {
            handler->on_abandoned(handler, e, end);
        }
        SasHttpExchange_FreeFirst(c);
    }
}

void
SasHttpServerConn_Close(struct sas_http_server_conn *c,
                        enum sas_http_close_reason end)
{
    if (c->state == CONNECTION_CLOSED) {
        return;
    }
    c->state = CONNECTION_CLOSED;
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
    report_close(c, end);
    clear_ahead(c);
    abandon_exchanges(c, end);
    server->answer_bytes -= c->answer_bytes; /* of what is being sent */
    uv_close((uv_handle_t *)&c->tcp, on_connection_closed);
}

void
SasHttpServerConn_Accept(struct sas_http_server *server)
{
    uv_stream_t *listener = (uv_stream_t *)&server->listener;
    struct sas_http_server_conn *c = g_new0(struct sas_http_server_conn, 1);
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

bool
SasHttpServerConn_IsBusy(const struct sas_http_server_conn *c)
{
    return c->first != NULL || c->ahead.size > 0 ||
           c->state != CONNECTION_OPEN || count_unsent(c) > 0 ||
           count_unread(c) > 0;
}

/* The idle timeout of the current state; 0: no limit. */
static int64_t
get_idle_limit(const struct sas_http_server_conn *c)
{
    const struct sas_http_server *server = c->server;
    bool lingering = c->state == CONNECTION_LINGERING;
    bool draining = server->draining && c->state == CONNECTION_OPEN;
    if ((!lingering && !draining) || count_unsent(c) > 0) {
        return server->limits.idle_timeout_ms;
    }
    return lingering ? LINGER_MS : server->drain_idle_ms;
}

static bool
is_idle(const struct sas_http_server_conn *c, int64_t now_ms)
{
    int64_t limit_ms = get_idle_limit(c);
    return c->first == NULL && limit_ms > 0 &&
           now_ms - c->active_at > limit_ms;
}

static bool
has_head_timed_out(const struct sas_http_server_conn *c, int64_t now_ms)
{
    return c->reading != NULL && c->reading->method == NULL && !is_full(c) &&
           c->ahead.size == 0 &&
           now_ms - c->head_since > c->server->limits.header_timeout_ms;
}

/* True if the number of unsent bytes has changed since the last call: a caller
 * that reads slowly is not idle. */
static bool
update_send_progress(struct sas_http_server_conn *c, int64_t now_ms)
{
    size_t unsent = count_unsent(c);
    if (unsent == c->last_unsent) {
        return false;
    }
    c->last_unsent = unsent;
    c->active_at = now_ms;
    return true;
}

void
SasHttpServerConn_Sweep(struct sas_http_server_conn *c, int64_t now_ms)
{
    bool head_timed_out = has_head_timed_out(c, now_ms);
    if (!head_timed_out && !is_idle(c, now_ms)) {
        return;
    }
    if (count_unread(c) > 0 || update_send_progress(c, now_ms)) {
        return;
    }
    if (head_timed_out) {
        refuse_request(c, 408);
        return;
    }
    SasHttpServerConn_Close(c, c->state == CONNECTION_LINGERING
                                   ? SAS_HTTP_CLOSE_ANSWER
                                   : SAS_HTTP_CLOSE_IDLE);
}

/* Reading. */

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    (void)handle;
    (void)suggested;
    *buffer = uv_buf_init(read_buffer, sizeof(read_buffer));
}

/* Answers the request that is being read with an error. The start of the next
 * request is unknown then, so the answer closes the connection. */
static void
refuse_request(struct sas_http_server_conn *c, int status)
{
    if (c->reading == NULL) {
        c->reading = SasHttpExchange_New(c);
    }
    struct sas_http_exchange *e = c->reading;
    c->reading = NULL;
    c->state = CONNECTION_LAST_REQUEST;
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
parse(struct sas_http_server_conn *c, const char *data, size_t size,
      int64_t read_at)
{
    c->read_at = read_at;
    c->parsing = true;
    size_t used =
        http_parser_execute(&c->parser, get_parser_settings(), data, size);
    c->parsing = false;
    if (c->state == CONNECTION_OPEN &&
        (HTTP_PARSER_ERRNO(&c->parser) != HPE_OK || c->parser.upgrade ||
         used != size)) {
        refuse_request(c, c->error_status != 0 ? c->error_status : 400);
    }
    SasHttpServerConn_Flush(c);
}

/* A request that has begun to arrive is read to its end. */
static bool
may_parse(const struct sas_http_server_conn *c)
{
    return c->state == CONNECTION_OPEN && (!is_full(c) || c->reading != NULL);
}

/* Reading never stops while requests wait: only so is the end of the
 * connection seen behind them. What is too much is refused instead. */
static void
read_ahead(struct sas_http_server_conn *c, const char *data, size_t size)
{
    struct sas_http_server *server = c->server;
    if (c->ahead.size + size > SasHttpServer_MAX_AHEAD ||
        server->body_bytes + size > server->limits.bodies_bytes) {
        c->overflowed = true;
    }
    if (c->overflowed) {
        return;
    }
    size_t before = c->ahead.size;
    SasReadAhead_Append(&c->ahead, data, size, c->active_at);
    note_ahead_bytes(c, before);
}

static void
parse_next_piece(struct sas_http_server_conn *c)
{
    size_t before = c->ahead.size;
    struct sas_read_ahead_piece *piece = SasReadAhead_Take(&c->ahead);
    note_ahead_bytes(c, before);
    parse(c, (const char *)piece->bytes->data, piece->bytes->len,
          piece->read_at);
    SasReadAhead_FreePiece(piece);
}

void
SasHttpServerConn_Resume(struct sas_http_server_conn *c)
{
    while (may_parse(c) && c->ahead.size > 0) {
        parse_next_piece(c);
    }
    if (may_parse(c) && c->overflowed) {
        refuse_request(c, 503);
    }
    if (c->state != CONNECTION_OPEN) {
        clear_ahead(c); /* after the last request: discarded */
    }
}

static void
close_left(struct sas_http_server_conn *c)
{
    SasHttpServerConn_Close(c, c->state == CONNECTION_LINGERING
                                   ? SAS_HTTP_CLOSE_ANSWER
                                   : SAS_HTTP_CLOSE_CALLER);
}

bool
SasHttpServerConn_CloseIfLeft(struct sas_http_server_conn *c)
{
    struct pollfd entry = {.events = POLLRDHUP};
    bool has_left = uv_fileno((const uv_handle_t *)&c->tcp, &entry.fd) == 0 &&
                    poll(&entry, 1, 0) > 0 &&
                    (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    if (has_left) {
        close_left(c);
    }
    return has_left;
}

static void
on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *data)
{
    struct sas_http_server_conn *c = stream->data;
    if (count == 0) {
        return;
    }
    if (count > 0 && SasHttpServer_HasStalled(c->server) &&
        SasHttpServerConn_CloseIfLeft(c)) {
        return;
    }
    if (count < 0) {
        c->caller_closed = count == UV_EOF;
        close_left(c);
        return;
    }
    if (c->state != CONNECTION_OPEN) {
        return; /* after the last request: discarded */
    }
    c->active_at = (int64_t)uv_now(stream->loop);
    if (may_parse(c) && c->ahead.size == 0 && !c->overflowed) {
        parse(c, data->base, (size_t)count, c->active_at);
    }
    else {
        read_ahead(c, data->base, (size_t)count);
    }
}

/* Parser callbacks. */

static int
on_message_begin(http_parser *parser)
{
    struct sas_http_server_conn *c = parser->data;
    c->reading = SasHttpExchange_New(c);
    c->head_since = (int64_t)uv_now(c->server->loop);
    c->error_status = 0;
    return 0;
}

static int
on_url(http_parser *parser, const char *at, size_t length)
{
    struct sas_http_server_conn *c = parser->data;
    if (c->reading->target->len + length > c->server->limits.header_bytes) {
        c->error_status = 431;
        return -1;
    }
    g_string_append_len(c->reading->target, at, (gssize)length);
    return 0;
}

/* Sets status 431 if the head has become too long; returns appended. */
static int
check_head(struct sas_http_server_conn *c, int appended)
{
    if (appended != 0) {
        c->error_status = 431;
    }
    return appended;
}

static int
on_header_field(http_parser *parser, const char *at, size_t length)
{
    struct sas_http_server_conn *c = parser->data;
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
    struct sas_http_server_conn *c = parser->data;
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
    struct sas_http_server_conn *c = parser->data;
    struct sas_http_exchange *e = c->reading;
    SasHttpHead_Finish(&e->head);
    e->method = g_strdup(http_method_str(parser->method));
    e->keep_alive = http_should_keep_alive(parser);
    if (parser->flags & F_CONTENTLENGTH &&
        parser->content_length > c->server->limits.body_bytes) {
        c->error_status = 413;
        return -1;
    }
    if (parser->flags & F_CONTENTLENGTH && parser->content_length > 0) {
        g_string_set_size(e->body, parser->content_length);
        g_string_truncate(e->body, 0);
    }
    const char *expect = SasHttpExchange_FindHeader(e, "Expect");
    if (expect != NULL) {
        /* Not while the answer to an earlier request is pending. */
        if (c->first == e) {
            static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";
            uv_buf_t buffer =
                uv_buf_init((char *)interim, sizeof(interim) - 1);
            uv_try_write((uv_stream_t *)&c->tcp, &buffer, 1);
        }
    }
    return 0;
}

static int
on_body(http_parser *parser, const char *at, size_t length)
{
    struct sas_http_server_conn *c = parser->data;
    struct sas_http_server *server = c->server;
    GString *body = c->reading->body;
    if (body->len + length > server->limits.body_bytes) {
        c->error_status = 413;
        return -1;
    }
    if (server->body_bytes + length > server->limits.bodies_bytes) {
        c->error_status = 503;
        return -1;
    }
    server->body_bytes += length;
    g_string_append_len(body, at, (gssize)length);
    return 0;
}

static int
on_message_complete(http_parser *parser)
{
    struct sas_http_server_conn *c = parser->data;
    struct sas_http_exchange *e = c->reading;
    c->reading = NULL;
    e->dispatched = true;
    if (!e->keep_alive) {
        c->state = CONNECTION_LAST_REQUEST;
    }
    c->server->handler->on_request(c->server->handler, e);
    if (c->state != CONNECTION_OPEN) {
        http_parser_pause(parser, 1); /* later bytes are discarded */
    }
    return 0;
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
