#include "sas/http.h"

#include <errno.h>
#include <glib.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "sas/answer_pace.h"
#include "sas/http_answer.h"

#define READ_BUFFER_SIZE 65536

enum conn_state {
    CONN_CONNECTING,
    CONN_IDLE,
    CONN_BUSY,
    CONN_CLOSING,
};

struct sas_http_conn {
    uv_tcp_t tcp;
    uv_timer_t timer;
    uv_connect_t connect;
    uv_write_t write;
    int open_handles;
    enum conn_state state;
    bool unusable; /* its address can't be connected to */
    struct sas_http_conn_listener *owner;
    struct sas_http_listener *listener;
    char peer[SasModel_IP_SIZE + 8];
    int64_t opened_at;
    int64_t last_read_at;

    /* the current request */
    GString *out_head;
    const char *out_body;
    size_t out_body_size;
    int64_t request_timeout_ms;
    int64_t stall_timeout_ms;
    size_t max_answer_bytes;
    int64_t answer_deadline_ms; /* with stall_timeout_ms, once the answer has
                                   begun */
    bool to_head;               /* the method is HEAD */
    bool sent;
    bool writing;
    bool write_failed;
    bool begun;
    bool paused;

    /* the current answer */
    struct sas_http_answer answer;
    bool skipping;     /* the answer being read is another request's */
    int other_answers; /* that came before it */
    struct sas_answer_pace pace;
    bool stray;
};

/* The read callback consumes all bytes, so the connections of a thread share
 * one buffer: 64 kB for each of some hundred idle connections would be most of
 * the memory of a process. */
static _Thread_local char read_buffer[READ_BUFFER_SIZE];

static void begin_write(struct sas_http_conn *conn);
static void fail(struct sas_http_conn *conn, enum sas_error_code code,
                 const char *step, const char *text);
static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer);
static void on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *data);
static void on_connect(uv_connect_t *request, int status);
static void on_timer(uv_timer_t *timer);

/* A middlebox that has lost the state of a connection drops all its packets,
 * while new connections work. Without this limit a request sent on such a
 * connection waits for an answer until its own deadline. */
static void
set_unacked_limit(uv_tcp_t *tcp)
{
    uv_os_fd_t fd;
    unsigned int limit_ms = SasHttp_UNACKED_TIMEOUT_MS;
    if (uv_fileno((uv_handle_t *)tcp, &fd) == 0) {
        setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms,
                   sizeof(limit_ms));
    }
}

/* With it set, a close resets the connection and drops what the peer hasn't
 * acknowledged, also the close by the kernel when the process ends. In an
 * orderly close the kernel goes on sending: a request that a broken link has
 * held up would arrive and run long after its caller has got 504. */
static void
set_reset_on_close(const uv_tcp_t *tcp, bool reset)
{
    uv_os_fd_t fd;
    struct linger linger = {.l_onoff = reset, .l_linger = 0};
    if (uv_fileno((const uv_handle_t *)tcp, &fd) == 0) {
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
    }
}

struct sas_http_conn *
SasHttp_Connect(uv_loop_t *loop, const struct sas_address *address,
                int64_t connect_timeout_ms,
                struct sas_http_conn_listener *owner)
{
    struct sas_http_conn *conn = g_new0(struct sas_http_conn, 1);
    conn->owner = owner;
    conn->state = CONN_CONNECTING;
    conn->opened_at = (int64_t)uv_now(loop);
    conn->last_read_at = conn->opened_at;
    conn->out_head = g_string_new(NULL);
    SasHttpAnswer_Init(&conn->answer);
    snprintf(conn->peer, sizeof(conn->peer), "%s:%d", address->ip,
             address->port);
    uv_tcp_init(loop, &conn->tcp);
    uv_timer_init(loop, &conn->timer);
    conn->open_handles = 2;
    conn->tcp.data = conn;
    conn->timer.data = conn;
    uv_timer_start(&conn->timer, on_timer,
                   (uint64_t)MAX(connect_timeout_ms, 1), 0);
    struct sockaddr_storage storage;
    /* An immediate failure is reported by the timer in the next iteration of
     * the loop, when the caller has set the listener with SasHttp_Send. */
    if (SasHttp_GetSockaddr(address, &storage) != 0 ||
        uv_tcp_connect(&conn->connect, &conn->tcp,
                       (const struct sockaddr *)&storage, on_connect) != 0) {
        conn->unusable = true;
        uv_timer_start(&conn->timer, on_timer, 0, 0);
        return conn;
    }
    uv_tcp_nodelay(&conn->tcp, 1);
    set_unacked_limit(&conn->tcp);
    set_reset_on_close(&conn->tcp, true);
    return conn;
}

static void
on_handle_closed(uv_handle_t *handle)
{
    struct sas_http_conn *conn = handle->data;
    conn->open_handles--;
    if (conn->open_handles > 0) {
        return;
    }
    g_string_free(conn->out_head, TRUE);
    SasHttpAnswer_Close(&conn->answer);
    g_free(conn);
}

void
SasHttp_Close(struct sas_http_conn *conn)
{
    if (conn->state == CONN_CLOSING) {
        return;
    }
    if (conn->state == CONN_IDLE) {
        set_reset_on_close(&conn->tcp, false);
    }
    conn->state = CONN_CLOSING;
    conn->listener = NULL;
    uv_close((uv_handle_t *)&conn->tcp, on_handle_closed);
    uv_close((uv_handle_t *)&conn->timer, on_handle_closed);
    if (conn->owner != NULL) {
        conn->owner->on_closed(conn->owner, conn);
    }
}

void
SasHttp_Send(struct sas_http_conn *conn,
             const struct sas_http_request *request, int64_t timeout_ms,
             struct sas_http_listener *listener)
{
    conn->listener = listener;
    conn->out_body = request->body;
    conn->out_body_size = request->body_size;
    conn->request_timeout_ms = MAX(timeout_ms, 1);
    conn->stall_timeout_ms = request->stall_timeout_ms;
    conn->max_answer_bytes = request->max_answer_bytes;
    conn->to_head = strcmp(request->method, "HEAD") == 0;
    conn->sent = false;
    conn->write_failed = false;
    conn->begun = false;
    conn->skipping = false;
    conn->other_answers = 0;
    memset(&conn->pace, 0, sizeof(conn->pace));
    SasHttpAnswer_Begin(&conn->answer, conn->to_head);

    g_string_printf(conn->out_head, "%s %s HTTP/1.1\r\nHost: %s\r\n",
                    request->method, request->target,
                    request->host != NULL ? request->host : conn->peer);
    for (int i = 0; i < request->header_count; i++) {
        g_string_append_printf(conn->out_head, "%s: %s\r\n",
                               request->headers[i].name,
                               request->headers[i].value);
    }
    if (request->body_size > 0 || strcmp(request->method, "POST") == 0 ||
        strcmp(request->method, "PUT") == 0) {
        g_string_append_printf(conn->out_head, "Content-Length: %zu\r\n",
                               request->body_size);
    }
    g_string_append(conn->out_head, "\r\n");
    if (conn->state == CONN_IDLE) {
        begin_write(conn);
    }
}

void
SasHttp_Pause(struct sas_http_conn *conn)
{
    if (conn->state == CONN_BUSY && !conn->paused) {
        conn->paused = true;
        uv_read_stop((uv_stream_t *)&conn->tcp);
    }
}

void
SasHttp_Resume(struct sas_http_conn *conn)
{
    if (conn->state == CONN_BUSY && conn->paused) {
        conn->paused = false;
        uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
    }
}

void
SasHttp_SkipAnswer(struct sas_http_conn *conn)
{
    conn->skipping = true;
}

/* True if the socket holds neither unread bytes nor a close of the peer, which
 * the loop hasn't reported yet. */
static bool
has_no_input(const struct sas_http_conn *conn)
{
    uv_os_fd_t fd;
    char byte;
    return uv_fileno((const uv_handle_t *)&conn->tcp, &fd) == 0 &&
           recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool
SasHttp_IsIdle(const struct sas_http_conn *conn)
{
    return conn->state == CONN_IDLE && conn->listener == NULL &&
           has_no_input(conn);
}

bool
SasHttp_HadUnexpectedBytes(const struct sas_http_conn *conn)
{
    return conn->stray;
}

int64_t
SasHttp_GetOpenedAt(const struct sas_http_conn *conn)
{
    return conn->opened_at;
}

int64_t
SasHttp_GetLastReadAt(const struct sas_http_conn *conn)
{
    return conn->last_read_at;
}

const char *
SasHttp_GetReasonPhrase(int status)
{
    return http_status_str((enum http_status)status);
}

int
SasHttp_GetSockaddr(const struct sas_address *address,
                    struct sockaddr_storage *out)
{
    memset(out, 0, sizeof(*out));
    if (uv_ip4_addr(address->ip, address->port, (struct sockaddr_in *)out) ==
        0) {
        return 0;
    }
    return uv_ip6_addr(address->ip, address->port, (struct sockaddr_in6 *)out);
}

/* Writing. */

static void
on_written(uv_write_t *write, int status)
{
    struct sas_http_conn *conn = write->data;
    conn->writing = false;
    if (conn->state == CONN_CLOSING || status == UV_ECANCELED) {
        return;
    }
    /* A failed write doesn't fail the request: the server may have rejected
     * the body early, and its answer may still be unread. on_read reports the
     * end of the connection. */
    conn->write_failed = status != 0;
}

static void
begin_write(struct sas_http_conn *conn)
{
    conn->state = CONN_BUSY;
    conn->sent = true;
    conn->writing = true;
    conn->write.data = conn;
    uv_timer_start(&conn->timer, on_timer, (uint64_t)conn->request_timeout_ms,
                   0);
    uv_buf_t buffers[2];
    buffers[0] =
        uv_buf_init(conn->out_head->str, (unsigned int)conn->out_head->len);
    buffers[1] =
        uv_buf_init((char *)conn->out_body, (unsigned int)conn->out_body_size);
    unsigned int count = conn->out_body_size > 0 ? 2 : 1;
    int rc = uv_write(&conn->write, (uv_stream_t *)&conn->tcp, buffers, count,
                      on_written);
    if (rc != 0) {
        conn->writing = false;
        fail(conn, SAS_EIO, "http.write", uv_strerror(rc));
    }
}

static void
on_connect(uv_connect_t *request, int status)
{
    struct sas_http_conn *conn = ((uv_handle_t *)request->handle)->data;
    if (conn->state == CONN_CLOSING) {
        return;
    }
    if (status != 0) {
        fail(conn, SAS_EUNAVAILABLE, "http.connect", uv_strerror(status));
        return;
    }
    uv_timer_stop(&conn->timer);
    conn->state = CONN_IDLE;
    conn->last_read_at = (int64_t)uv_now(conn->tcp.loop);
    uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
    if (conn->owner != NULL && conn->owner->on_opened != NULL) {
        conn->owner->on_opened(conn->owner, conn);
    }
    if (conn->listener != NULL) {
        begin_write(conn);
    }
}

static void
on_timer(uv_timer_t *timer)
{
    struct sas_http_conn *conn = timer->data;
    if (conn->state == CONN_CONNECTING) {
        fail(conn, SAS_EUNAVAILABLE, "http.connect",
             conn->unusable ? "unusable address" : "connect timeout");
        return;
    }
    bool stalled = conn->stall_timeout_ms > 0 && conn->begun;
    fail(conn, SAS_ETIMEOUT, "http.answer",
         stalled ? "the answer stalled or took too long"
                 : "timeout waiting for the answer");
}

/* Closes the connection and reports the failure to its listener, if any. */
static void
fail(struct sas_http_conn *conn, enum sas_error_code code, const char *step,
     const char *text)
{
    struct sas_http_listener *listener = conn->listener;
    struct sas_http_failure failure = {
        .sent = conn->sent,
        .written = conn->sent && !conn->writing,
        .begun = conn->begun,
    };
    SasError_Set(&failure.error, code, step, conn->peer, "%s", text);
    SasHttp_Close(conn);
    if (listener != NULL) {
        listener->vtable->on_fail(listener, &failure);
    }
}

/* Reading. */

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    (void)suggested;
    (void)handle;
    *buffer = uv_buf_init(read_buffer, sizeof(read_buffer));
}

static void
finish(struct sas_http_conn *conn, bool reusable)
{
    struct sas_http_listener *listener = conn->listener;
    bool whole = conn->answer.framing != SAS_HTTP_CLOSE;
    conn->listener = NULL;
    conn->sent = false;
    uv_timer_stop(&conn->timer);
    reusable = reusable && conn->answer.keep_alive && !conn->writing;
    /* The listener may have paused reading during the last bytes; the next
     * request on this connection would never get its answer. */
    if (reusable && conn->paused) {
        SasHttp_Resume(conn);
    }
    if (!conn->writing) {
        conn->state = CONN_IDLE;
    }
    if (!reusable) {
        SasHttp_Close(conn);
    }
    listener->vtable->on_end(listener, whole, reusable);
}

/* When a reset arrives in the same loop iteration as the last bytes before it,
 * libuv reports the end of the stream and leaves the socket's error unread. A
 * write that meets the reset before any read takes that error, and the reads
 * find the end of the stream. Without this check a close-delimited answer
 * would seem to have ended, though the server crashed in the middle of it. */
static bool
was_reset(const struct sas_http_conn *conn)
{
    uv_os_fd_t fd;
    int cause = 0;
    socklen_t size = sizeof(cause);
    return conn->write_failed ||
           uv_fileno((const uv_handle_t *)&conn->tcp, &fd) != 0 ||
           getsockopt(fd, SOL_SOCKET, SO_ERROR, &cause, &size) != 0 ||
           cause != 0;
}

/* Bytes of the answer have arrived: restarts the stall timeout, up to the
 * limit for the whole answer. */
static void
note_progress(struct sas_http_conn *conn)
{
    int64_t now_ms = (int64_t)uv_now(conn->tcp.loop);
    if (!conn->begun) {
        conn->answer_deadline_ms = now_ms + SasHttp_MAX_ANSWER_MS;
    }
    conn->begun = true;
    conn->last_read_at = now_ms;
    if (conn->stall_timeout_ms > 0) {
        int64_t left_ms = MAX(conn->answer_deadline_ms - now_ms, 0);
        uv_timer_start(&conn->timer, on_timer,
                       (uint64_t)MIN(conn->stall_timeout_ms, left_ms), 0);
    }
}

static bool
has_too_many_others(const struct sas_http_conn *conn)
{
    return conn->max_answer_bytes > 0 &&
           conn->other_answers > SasHttp_MAX_OTHER_ANSWERS;
}

/* Bytes that are no answer may come without end: in a body or a head, in
 * interim answers, in answers to other requests. Returns NULL, or what is
 * wrong. */
static const char *
find_excess(struct sas_http_conn *conn, size_t size)
{
    if (conn->max_answer_bytes == 0) {
        return NULL;
    }
    const struct sas_http_answer *answer = &conn->answer;
    bool in_head = SasHttpAnswer_IsInHead(answer);
    bool endless = SasAnswerPace_NoteBytes(&conn->pace, size, in_head,
                                           (int64_t)uv_now(conn->tcp.loop));
    bool announced = !in_head && answer->framing == SAS_HTTP_LENGTH;
    if (conn->pace.bytes > conn->max_answer_bytes ||
        (announced && answer->left > conn->max_answer_bytes)) {
        return "the answer is too long";
    }
    if (has_too_many_others(conn)) {
        return "too many other answers before it";
    }
    return endless ? "the answer gets nowhere" : NULL;
}

/* False if the listener has closed the connection. */
static bool
pass_head(struct sas_http_conn *conn)
{
    const struct sas_http_answer *answer = &conn->answer;
    conn->listener->vtable->on_head(conn->listener, answer->status,
                                    answer->head.fields, answer->head.count);
    return conn->state != CONN_CLOSING;
}

static bool
pass_body(struct sas_http_conn *conn, struct sas_http_bytes piece)
{
    if (!conn->skipping) {
        conn->listener->vtable->on_body(conn->listener, piece.at, piece.size);
    }
    return conn->state != CONN_CLOSING;
}

/* An answer that isn't the request's own has ended. */
static void
await_next_answer(struct sas_http_conn *conn)
{
    if (conn->skipping) {
        SasHttpAnswer_Begin(&conn->answer, conn->to_head);
    }
    conn->skipping = false;
    conn->other_answers++;
}

/* Reads bytes of the answer. Returns MORE, END or BROKEN; also MORE if the
 * listener has closed the connection or too many other answers have come. */
static enum sas_http_answer_event
read_answer(struct sas_http_conn *conn, struct sas_http_bytes *input)
{
    while (!has_too_many_others(conn)) {
        struct sas_http_bytes piece = {0};
        enum sas_http_answer_event event =
            SasHttpAnswer_Read(&conn->answer, input, &piece);
        bool is_open = true;
        if (event == SAS_HTTP_ANSWER_HEAD) {
            is_open = pass_head(conn);
        }
        else if (event == SAS_HTTP_ANSWER_BODY) {
            is_open = pass_body(conn, piece);
        }
        else if (event == SAS_HTTP_ANSWER_INTERIM ||
                 (event == SAS_HTTP_ANSWER_END && conn->skipping)) {
            await_next_answer(conn);
        }
        else {
            return event;
        }
        if (!is_open) {
            return SAS_HTTP_ANSWER_MORE;
        }
    }
    return SAS_HTTP_ANSWER_MORE;
}

static void
read_bytes(struct sas_http_conn *conn, const char *data, size_t size)
{
    struct sas_http_bytes input = {data, size};
    note_progress(conn);
    enum sas_http_answer_event event = read_answer(conn, &input);
    if (conn->state == CONN_CLOSING) {
        return;
    }
    if (event == SAS_HTTP_ANSWER_END) {
        conn->stray = input.size > 0;
        finish(conn, input.size == 0);
        return;
    }
    const char *excess = find_excess(conn, size);
    if (excess != NULL) {
        fail(conn, SAS_ECAPACITY, "http.answer", excess);
    }
    else if (event == SAS_HTTP_ANSWER_BROKEN) {
        fail(conn, SAS_EIO, "http.parse", conn->answer.problem);
    }
}

static void
on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *data)
{
    struct sas_http_conn *conn = stream->data;
    if (count == 0 || conn->state == CONN_CLOSING) {
        return;
    }
    if (conn->listener == NULL) {
        /* Late bytes of an earlier answer, or the peer's close: this
         * connection must not carry another request. */
        conn->stray = count > 0;
        SasHttp_Close(conn);
        return;
    }
    if (count > 0) {
        read_bytes(conn, data->base, (size_t)count);
        return;
    }
    if (count != UV_EOF || was_reset(conn)) {
        fail(conn, SAS_EIO, "http.read",
             uv_strerror(count != UV_EOF ? (int)count : UV_ECONNRESET));
    }
    else if (SasHttpAnswer_MayEndHere(&conn->answer) && !conn->skipping) {
        finish(conn, false);
    }
    else {
        fail(conn, SAS_EIO, "http.read",
             "connection closed before the end of the answer");
    }
}
