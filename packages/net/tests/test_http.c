#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "sas/http.h"

#define LARGE_BODY (8 * 1024 * 1024)    /* more than sockets hold */
#define UPLOAD_BYTES (64 * 1024 * 1024) /* never written at once */
#define GIVE_UP_MS 50
#define MAX_ANSWER 1000 /* bytes */

/* A server that accepts one connection and answers every read from it with
 * fixed bytes; close_after closes it after the first answer. */
struct server {
    uv_tcp_t listener;
    uv_tcp_t conn;
    uv_write_t write;
    const char *answer;
    bool close_after;
    bool reset_after; /* sends a reset directly after the answer */
    int port;
};

struct client {
    struct sas_http_listener listener;
    struct sas_http_conn_listener owner;
    struct sas_http_conn *conn;
    struct server *server;
    int status;
    int ends;
    int fails;
    int closes;
    bool whole;
    bool reusable;
    bool pauses; /* reading, during the body of its first answer */
    GString *body;
    struct sas_http_failure failure;
};

static void
server_closed(uv_handle_t *handle)
{
    (void)handle;
}

static void
stop_server(struct server *server)
{
    if (!uv_is_closing((uv_handle_t *)&server->listener)) {
        uv_close((uv_handle_t *)&server->listener, server_closed);
    }
    if (server->conn.data != NULL &&
        !uv_is_closing((uv_handle_t *)&server->conn)) {
        uv_close((uv_handle_t *)&server->conn, server_closed);
    }
}

static void
server_written(uv_write_t *write, int status)
{
    (void)status;
    struct server *server = write->data;
    if (server->close_after) {
        stop_server(server);
    }
}

static void
server_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    (void)handle;
    static char scratch[65536];
    (void)suggested;
    *buffer = uv_buf_init(scratch, sizeof(scratch));
}

static void
server_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *data)
{
    (void)data;
    struct server *server = stream->data;
    if (count <= 0) {
        stop_server(server);
        return;
    }
    uv_buf_t buffer = uv_buf_init((char *)server->answer,
                                  (unsigned int)strlen(server->answer));
    if (server->reset_after) {
        uv_try_write(stream, &buffer, 1);
        uv_tcp_close_reset((uv_tcp_t *)stream, server_closed);
        server->conn.data = NULL;
        stop_server(server);
        return;
    }
    server->write.data = server;
    uv_write(&server->write, stream, &buffer, 1, server_written);
}

static void
server_accept(uv_stream_t *listener, int status)
{
    assert_int_equal(status, 0);
    struct server *server = listener->data;
    uv_tcp_init(listener->loop, &server->conn);
    server->conn.data = server;
    uv_accept(listener, (uv_stream_t *)&server->conn);
    uv_read_start((uv_stream_t *)&server->conn, server_alloc, server_read);
}

static void
start_server(uv_loop_t *loop, struct server *server)
{
    struct sockaddr_in address;
    uv_ip4_addr("127.0.0.1", 0, &address);
    uv_tcp_init(loop, &server->listener);
    server->listener.data = server;
    uv_tcp_bind(&server->listener, (struct sockaddr *)&address, 0);
    uv_listen((uv_stream_t *)&server->listener, 8, server_accept);
    int size = sizeof(address);
    uv_tcp_getsockname(&server->listener, (struct sockaddr *)&address, &size);
    server->port = ntohs(address.sin_port);
}

static void
client_head(struct sas_http_listener *listener, int status,
            const struct sas_http_header *headers, int header_count)
{
    struct client *client = (struct client *)listener;
    client->status = status;
    assert_non_null(SasHttp_FindHeader(headers, header_count, "x-test"));
}

static void
client_body(struct sas_http_listener *listener, const char *data, size_t size)
{
    struct client *client = (struct client *)listener;
    g_string_append_len(client->body, data, (gssize)size);
    if (client->pauses) {
        SasHttp_Pause(client->conn);
    }
}

static void
client_end(struct sas_http_listener *listener, bool whole, bool reusable)
{
    struct client *client = (struct client *)listener;
    client->ends++;
    client->whole = whole;
    client->reusable = reusable;
    if (reusable && client->pauses) {
        struct sas_http_request request = {.method = "GET", .target = "/"};
        client->pauses = false;
        SasHttp_Send(client->conn, &request, 5000, &client->listener);
        return;
    }
    if (reusable) {
        SasHttp_Close(client->conn);
    }
    stop_server(client->server);
}

static void
client_fail(struct sas_http_listener *listener,
            const struct sas_http_failure *failure)
{
    struct client *client = (struct client *)listener;
    client->fails++;
    client->failure = *failure;
    stop_server(client->server);
}

static void
client_closed(struct sas_http_conn_listener *owner, struct sas_http_conn *conn)
{
    (void)conn;
    struct client *client =
        (struct client *)((char *)owner - offsetof(struct client, owner));
    client->closes++;
}

static const struct sas_http_listener_vtable client_vtable = {
    client_head, client_body, client_end, client_fail};

static struct client
exchange_request(struct server server, const struct sas_http_request *request)
{
    uv_loop_t loop;
    uv_loop_init(&loop);
    start_server(&loop, &server);
    struct client client = {
        .listener.vtable = &client_vtable,
        .owner.on_closed = client_closed,
        .server = &server,
        .body = g_string_new(NULL),
    };
    struct sas_address address = {"127.0.0.1", server.port};
    client.conn = SasHttp_Connect(&loop, &address, 5000, &client.owner);
    SasHttp_Send(client.conn, request, 5000, &client.listener);
    uv_run(&loop, UV_RUN_DEFAULT);
    assert_int_equal(uv_loop_close(&loop), 0);
    assert_int_equal(client.closes, 1);
    assert_int_equal(client.ends + client.fails, 1);
    return client;
}

static struct client
exchange_with(struct server server, const char *method)
{
    struct sas_http_request request = {.method = method, .target = "/"};
    return exchange_request(server, &request);
}

static struct client
exchange(const char *answer, bool close_after, const char *method)
{
    struct server server = {.answer = answer, .close_after = close_after};
    return exchange_with(server, method);
}

static void
expect(struct client *client, int ends, bool whole, bool reusable,
       const char *body)
{
    assert_int_equal(client->ends, ends);
    if (ends > 0) {
        assert_int_equal(client->whole, whole);
        assert_int_equal(client->reusable, reusable);
        assert_string_equal(client->body->str, body);
    }
    g_string_free(client->body, TRUE);
}

static void
test_whole_answers_leave_the_connection_reusable(void **state)
{
    (void)state;
    struct client client =
        exchange("HTTP/1.1 200 OK\r\nx-test: 1\r\ncontent-length: 2\r\n\r\nhi",
                 false, "GET");
    expect(&client, 1, true, true, "hi");
    client = exchange("HTTP/1.1 200 OK\r\nX-Test: 1\r\n"
                      "transfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
                      false, "GET");
    expect(&client, 1, true, true, "hi");
    client =
        exchange("HTTP/1.1 200 OK\r\nx-test: 1\r\ncontent-length: 20\r\n\r\n",
                 false, "HEAD");
    expect(&client, 1, true, true, "");
}

/* Guards against an incomplete answer that is reported as whole: the server
 * crashes before the last chunk, or before Content-Length bytes. */
static void
test_incomplete_answers_fail(void **state)
{
    (void)state;
    struct client client =
        exchange("HTTP/1.1 200 OK\r\nx-test: 1\r\n"
                 "transfer-encoding: chunked\r\n\r\n2\r\nhi\r\n",
                 true, "GET");
    assert_true(client.failure.begun);
    expect(&client, 0, false, false, "");
    client =
        exchange("HTTP/1.1 200 OK\r\nx-test: 1\r\ncontent-length: 9\r\n\r\nhi",
                 true, "GET");
    expect(&client, 0, false, false, "");
}

/* Guards against an answer that stalls after its first bytes and is waited for
 * as long as for a first byte. */
static void
test_a_stalled_answer_fails(void **state)
{
    (void)state;
    struct server server = {
        .answer =
            "HTTP/1.1 200 OK\r\nx-test: 1\r\ncontent-length: 9\r\n\r\nhi",
    };
    struct sas_http_request request = {
        .method = "GET", .target = "/", .stall_timeout_ms = 50};
    struct client client = exchange_request(server, &request);
    assert_int_equal(client.failure.error.code, SAS_ETIMEOUT);
    assert_string_equal(client.failure.error.text,
                        "the answer stalled or took too long");
    assert_true(client.failure.begun);
    expect(&client, 0, false, false, "");
}

/* A close-delimited answer looks the same when its sender crashes in the
 * middle: it must never be reported as whole. */
static void
test_close_delimited_answer_is_not_whole(void **state)
{
    (void)state;
    struct client client =
        exchange("HTTP/1.1 200 OK\r\nx-test: 1\r\n\r\nhi", true, "GET");
    expect(&client, 1, false, false, "hi");
}

/* Guards against a crash in the middle of a close-delimited answer that is
 * taken for its end: the last bytes and the reset arrive in one iteration of
 * the loop, and libuv reports the end of the stream instead of the reset. */
static void
test_a_reset_after_a_close_delimited_answer_fails(void **state)
{
    (void)state;
    struct server server = {
        .answer = "HTTP/1.1 200 OK\r\nx-test: 1\r\n\r\nha",
        .reset_after = true,
    };
    struct client client = exchange_with(server, "GET");
    assert_true(client.failure.begun);
    expect(&client, 0, false, false, "");
}

/* Guards against bytes after the end of an answer that the next request on
 * the connection takes for the head of its own answer. */
static void
test_bytes_after_the_answer_close_the_connection(void **state)
{
    (void)state;
    struct client client = exchange(
        "HTTP/1.1 200 OK\r\nx-test: 1\r\ncontent-length: 2\r\n\r\nhiLATE",
        false, "GET");
    expect(&client, 1, true, false, "hi");
}

/* Guards against a caller that gets status 000, or 999, as an answer. */
static void
test_a_status_out_of_range_is_no_answer(void **state)
{
    (void)state;
    static const char *const statuses[] = {"000", "001", "099", "600", "999"};
    for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++) {
        g_autofree char *answer = g_strdup_printf(
            "HTTP/1.1 %s x\r\nx-test: 1\r\ncontent-length: 2\r\n\r\nhi",
            statuses[i]);
        struct client client = exchange(answer, false, "GET");
        assert_int_equal(client.status, 0);
        assert_int_equal(client.failure.error.code, SAS_EIO);
        assert_true(client.failure.begun);
        expect(&client, 0, false, false, "");
    }
    struct client client =
        exchange("HTTP/1.1 599 x\r\nx-test: 1\r\ncontent-length: 2\r\n\r\nhi",
                 false, "GET");
    assert_int_equal(client.status, 599);
    expect(&client, 1, true, true, "hi");
}

/* Guards against a body that isn't the server's, or a field that is passed on,
 * where the bytes are no answer; property_http_answer.py has all of them. */
static void
test_what_is_no_answer_fails_the_request(void **state)
{
    (void)state;
    static const char *const broken[] = {
        "HTTP/1.1 200 OK\r\nx-test: 1\r\ncontent-length : 2\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\nx-test: 1\r\nx\x01y: 1\r\n"
        "content-length: 2\r\n\r\nhi",
        "HTTP/1.1 0200 OK\r\nx-test: 1\r\ncontent-length: 2\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\nx-test: 1\r\ntransfer-encoding: chunked\r\n\r\n"
        "2\r\nhiXY0\r\n\r\n",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(broken); i++) {
        struct client client = exchange(broken[i], true, "GET");
        assert_int_equal(client.failure.error.code, SAS_EIO);
        assert_string_equal(client.failure.error.step, "http.parse");
        expect(&client, 0, false, false, "");
    }
}

static void
test_informational_answers_are_skipped(void **state)
{
    (void)state;
    struct client client =
        exchange("HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"
                 "HTTP/1.1 200 OK\r\nx-test: 1\r\ncontent-length: 2\r\n\r\nhi",
                 false, "GET");
    assert_int_equal(client.status, 200);
    expect(&client, 1, true, true, "hi");
}

/* Guards against a reused connection that isn't read: the listener had paused
 * reading (a slow caller) when the last bytes of an answer arrived. */
static void
test_a_paused_answer_leaves_the_connection_readable(void **state)
{
    (void)state;
    uv_loop_t loop;
    uv_loop_init(&loop);
    struct server server = {
        .answer = "HTTP/1.1 200 OK\r\nx-test: 1\r\ncontent-length: 2\r\n\r\n"
                  "hi"};
    start_server(&loop, &server);
    struct client client = {
        .listener.vtable = &client_vtable,
        .owner.on_closed = client_closed,
        .server = &server,
        .pauses = true,
        .body = g_string_new(NULL),
    };
    struct sas_address address = {"127.0.0.1", server.port};
    struct sas_http_request request = {.method = "GET", .target = "/"};
    client.conn = SasHttp_Connect(&loop, &address, 5000, &client.owner);
    SasHttp_Send(client.conn, &request, 5000, &client.listener);
    uv_run(&loop, UV_RUN_DEFAULT);
    assert_int_equal(uv_loop_close(&loop), 0);
    assert_int_equal(client.fails, 0);
    assert_int_equal(client.ends, 2);
    assert_string_equal(client.body->str, "hihi");
    g_string_free(client.body, TRUE);
}

static void
client_end_keep_open(struct sas_http_listener *listener, bool whole,
                     bool reusable)
{
    (void)whole;
    struct client *client = (struct client *)listener;
    client->ends++;
    client->reusable = reusable;
}

/* Guards against a request that is sent on a connection which its server has
 * closed already: one that must not be retried is lost. */
static void
test_a_connection_closed_by_its_server_is_not_idle(void **state)
{
    (void)state;
    static const struct sas_http_listener_vtable vtable = {
        client_head, client_body, client_end_keep_open, client_fail};
    uv_loop_t loop;
    uv_loop_init(&loop);
    struct server server = {
        .answer = "HTTP/1.1 200 OK\r\nx-test: 1\r\ncontent-length: 2\r\n\r\n"
                  "hi"};
    start_server(&loop, &server);
    struct client client = {
        .listener.vtable = &vtable,
        .owner.on_closed = client_closed,
        .server = &server,
        .body = g_string_new(NULL),
    };
    struct sas_address address = {"127.0.0.1", server.port};
    struct sas_http_request request = {.method = "GET", .target = "/"};
    client.conn = SasHttp_Connect(&loop, &address, 5000, &client.owner);
    SasHttp_Send(client.conn, &request, 5000, &client.listener);
    while (client.ends + client.fails == 0) {
        uv_run(&loop, UV_RUN_ONCE);
    }
    assert_true(client.reusable);
    assert_true(SasHttp_IsIdle(client.conn));
    stop_server(&server); /* closes at once; the loop doesn't run */
    assert_false(SasHttp_IsIdle(client.conn));
    uv_run(&loop, UV_RUN_DEFAULT);
    assert_int_equal(uv_loop_close(&loop), 0);
    assert_int_equal(client.closes, 1);
    g_string_free(client.body, TRUE);
}

static void
test_refused_connection_sent_nothing(void **state)
{
    (void)state;
    uv_loop_t loop;
    uv_loop_init(&loop);
    struct server server = {.answer = ""};
    start_server(&loop, &server);
    stop_server(&server);
    uv_run(&loop, UV_RUN_DEFAULT);
    uv_loop_close(&loop);
    struct sas_address address = {"127.0.0.1", server.port};
    struct sas_http_request request = {.method = "GET", .target = "/"};
    struct sas_http_response response;
    struct sas_error error;
    assert_int_equal(
        SasHttp_Fetch(&address, &request, 2000, &response, &error), -1);
    assert_int_equal(error.code, SAS_EUNAVAILABLE);
}

/* A server that accepts connections and reads nothing: what is sent to it is
 * held up. */
static int
listen_unread(struct sas_address *address)
{
    struct sockaddr_in at = {.sin_family = AF_INET};
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(at);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(bind(fd, (struct sockaddr *)&at, size), 0);
    assert_int_equal(listen(fd, 8), 0);
    getsockname(fd, (struct sockaddr *)&at, &size);
    g_strlcpy(address->ip, "127.0.0.1", sizeof(address->ip));
    address->port = ntohs(at.sin_port);
    return fd;
}

/* Reads to the end of a connection; returns the error it ends with, 0 if it
 * was closed in order. */
static int
read_to_end(int listener)
{
    static char bytes[65536];
    int fd = accept(listener, NULL, NULL);
    assert_true(fd >= 0);
    ssize_t count = 1;
    while (count > 0) {
        count = recv(fd, bytes, sizeof(bytes), 0);
    }
    int cause = count < 0 ? errno : 0;
    close(fd);
    close(listener);
    return cause;
}

/* Sends a large request that the server doesn't read. on_sent gets the
 * connection as soon as a part of it may have gone out; NULL: the request is
 * given up by its timeout. Returns what the server sees at the end. */
static int
give_up(void (*on_sent)(struct sas_http_conn *conn))
{
    uv_loop_t loop;
    uv_loop_init(&loop);
    struct sas_address address;
    int listener = listen_unread(&address);
    struct server none = {.conn.data = NULL};
    uv_tcp_init(&loop, &none.listener);
    struct client client = {
        .listener.vtable = &client_vtable,
        .owner.on_closed = client_closed,
        .server = &none,
        .body = g_string_new(NULL),
    };
    g_autofree char *body = g_malloc0(LARGE_BODY);
    struct sas_http_request request = {.method = "POST",
                                       .target = "/",
                                       .body = body,
                                       .body_size = LARGE_BODY};
    client.conn = SasHttp_Connect(&loop, &address, 5000, &client.owner);
    SasHttp_Send(client.conn, &request, GIVE_UP_MS, &client.listener);
    uv_run(&loop, UV_RUN_ONCE);
    if (on_sent != NULL) {
        on_sent(client.conn);
        stop_server(&none);
    }
    uv_run(&loop, UV_RUN_DEFAULT);
    assert_int_equal(uv_loop_close(&loop), 0);
    assert_int_equal(client.closes, 1);
    g_string_free(client.body, TRUE);
    return read_to_end(listener);
}

/* Guards against a request that runs after its caller has got 504: a broken
 * link holds it up, and the kernel delivers it after an orderly close. */
static void
test_a_request_that_times_out_is_reset(void **state)
{
    (void)state;
    assert_int_equal(give_up(NULL), ECONNRESET);
}

/* The same where the caller has left, or another server has answered. */
static void
test_a_request_that_is_dropped_is_reset(void **state)
{
    (void)state;
    assert_int_equal(give_up(SasHttp_Close), ECONNRESET);
}

/* Guards against servers that see resets of connections on which nothing is
 * pending. */
static void
test_a_connection_whose_request_was_answered_closes_in_order(void **state)
{
    (void)state;
    static const struct sas_http_listener_vtable vtable = {
        client_head, client_body, client_end_keep_open, client_fail};
    static const char answer[] =
        "HTTP/1.1 200 OK\r\nx-test: 1\r\ncontent-length: 0\r\n\r\n";
    uv_loop_t loop;
    uv_loop_init(&loop);
    struct sas_address address;
    int listener = listen_unread(&address);
    struct client client = {
        .listener.vtable = &vtable,
        .owner.on_closed = client_closed,
        .body = g_string_new(NULL),
    };
    struct sas_http_request request = {.method = "GET", .target = "/"};
    client.conn = SasHttp_Connect(&loop, &address, 5000, &client.owner);
    SasHttp_Send(client.conn, &request, 5000, &client.listener);
    uv_run(&loop, UV_RUN_ONCE);
    int fd = accept(listener, NULL, NULL);
    char bytes[4096];
    assert_true(recv(fd, bytes, sizeof(bytes), 0) > 0);
    assert_int_equal(send(fd, answer, strlen(answer), 0), strlen(answer));
    while (client.ends + client.fails == 0) {
        uv_run(&loop, UV_RUN_ONCE);
    }
    assert_true(client.reusable);
    SasHttp_Close(client.conn);
    uv_run(&loop, UV_RUN_DEFAULT);
    assert_int_equal(uv_loop_close(&loop), 0);
    assert_int_equal(recv(fd, bytes, sizeof(bytes), 0), 0);
    close(fd);
    close(listener);
    g_string_free(client.body, TRUE);
}

/* A client that sends a large request to a raw socket of the test, which
 * plays the server. */
struct upload {
    struct client client;
    uv_loop_t loop;
    int server; /* -1 once it is reset */
    bool resets_in_body;
};

static void
reset_server(struct upload *upload)
{
    struct linger linger = {.l_onoff = 1, .l_linger = 0};
    setsockopt(upload->server, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
    close(upload->server);
    upload->server = -1;
}

/* What follows in the same iteration of the loop is a write. */
static void
upload_body(struct sas_http_listener *listener, const char *data, size_t size)
{
    struct upload *upload = (struct upload *)listener;
    client_body(listener, data, size);
    if (upload->resets_in_body && upload->server >= 0) {
        reset_server(upload);
    }
}

/* Reads what the client has sent so far, so that its socket takes more. */
static void
drain_server(const struct upload *upload)
{
    static char bytes[65536];
    while (recv(upload->server, bytes, sizeof(bytes), MSG_DONTWAIT) > 0) {
    }
}

static struct upload *
start_upload(void)
{
    static const struct sas_http_listener_vtable vtable = {
        client_head, upload_body, client_end_keep_open, client_fail};
    static const char body[UPLOAD_BYTES];
    struct upload *upload = g_new0(struct upload, 1);
    uv_loop_init(&upload->loop);
    struct sas_address address;
    int listener = listen_unread(&address);
    static struct server none;
    memset(&none, 0, sizeof(none));
    uv_tcp_init(&upload->loop, &none.listener);
    upload->client = (struct client){
        .listener.vtable = &vtable,
        .owner.on_closed = client_closed,
        .server = &none,
        .body = g_string_new(NULL),
    };
    struct sas_http_request request = {.method = "POST",
                                       .target = "/",
                                       .body = body,
                                       .body_size = UPLOAD_BYTES};
    upload->client.conn =
        SasHttp_Connect(&upload->loop, &address, 5000, &upload->client.owner);
    SasHttp_Send(upload->client.conn, &request, 5000,
                 &upload->client.listener);
    uv_run(&upload->loop, UV_RUN_ONCE);
    upload->server = accept(listener, NULL, NULL);
    assert_true(upload->server >= 0);
    close(listener);
    return upload;
}

static void
send_text(const struct upload *upload, const char *text)
{
    assert_int_equal(send(upload->server, text, strlen(text), 0),
                     strlen(text));
}

static void
await_end(struct upload *upload)
{
    while (upload->client.ends + upload->client.fails == 0) {
        uv_run(&upload->loop, UV_RUN_ONCE);
    }
}

static void
end_upload(struct upload *upload)
{
    stop_server(upload->client.server);
    uv_run(&upload->loop, UV_RUN_DEFAULT);
    assert_int_equal(uv_loop_close(&upload->loop), 0);
    if (upload->server >= 0) {
        close(upload->server);
    }
    g_string_free(upload->client.body, TRUE);
    g_free(upload);
}

/* Guards against a part of a close-delimited answer that is reported as its
 * end: its server resets the connection, the write of the request takes the
 * socket's error, and the next read finds the end of the stream. */
static void
test_a_reset_that_a_write_meets_fails_the_answer(void **state)
{
    (void)state;
    struct upload *upload = start_upload();
    upload->resets_in_body = true;
    drain_server(upload);
    send_text(upload, "HTTP/1.1 200 OK\r\nx-test: 1\r\n\r\nha");
    await_end(upload);
    assert_int_equal(upload->client.ends, 0);
    assert_int_equal(upload->client.failure.error.code, SAS_EIO);
    assert_true(upload->client.failure.begun);
    end_upload(upload);
}

/* The same while the listener has paused reading. */
static void
test_a_reset_while_reading_is_paused_fails_the_answer(void **state)
{
    (void)state;
    struct upload *upload = start_upload();
    upload->client.pauses = true;
    drain_server(upload);
    send_text(upload, "HTTP/1.1 200 OK\r\nx-test: 1\r\n\r\nha");
    while (upload->client.body->len == 0) {
        uv_run(&upload->loop, UV_RUN_ONCE);
    }
    reset_server(upload);
    uv_run(&upload->loop, UV_RUN_ONCE);
    uv_run(&upload->loop, UV_RUN_NOWAIT);
    SasHttp_Resume(upload->client.conn);
    await_end(upload);
    assert_int_equal(upload->client.ends, 0);
    assert_int_equal(upload->client.failure.error.code, SAS_EIO);
    end_upload(upload);
}

/* Guards against the loss of a whole answer to a request that its server does
 * not read to the end. */
static void
test_an_answer_that_ends_in_order_arrives_during_the_request(void **state)
{
    (void)state;
    struct upload *upload = start_upload();
    drain_server(upload);
    send_text(upload, "HTTP/1.1 200 OK\r\nx-test: 1\r\n\r\nhi");
    shutdown(upload->server, SHUT_WR);
    await_end(upload);
    assert_int_equal(upload->client.ends, 1);
    assert_string_equal(upload->client.body->str, "hi");
    end_upload(upload);
}

static void
expect_excess(const char *answer)
{
    struct server server = {.answer = answer};
    struct sas_http_request request = {
        .method = "GET", .target = "/", .max_answer_bytes = MAX_ANSWER};
    struct client client = exchange_request(server, &request);
    assert_int_equal(client.fails, 1);
    assert_int_equal(client.failure.error.code, SAS_ECAPACITY);
    g_string_free(client.body, TRUE);
}

/* Guards against bytes without end that hold a request to its time limit: a
 * server in trouble sends them in a body, or as answers before the own one. */
static void
test_bytes_without_end_fail_the_request(void **state)
{
    (void)state;
    g_autofree char *fill = g_strnfill(MAX_ANSWER, 'x');
    g_autofree char *close_delimited =
        g_strdup_printf("HTTP/1.1 200 OK\r\nx-test: 1\r\n\r\n%s", fill);
    g_autofree char *chunked =
        g_strdup_printf("HTTP/1.1 200 OK\r\nx-test: 1\r\n"
                        "transfer-encoding: chunked\r\n\r\n"
                        "%x\r\n%s\r\n",
                        MAX_ANSWER, fill);
    g_autoptr(GString) interim = g_string_new(NULL);
    for (int i = 0; i <= SasHttp_MAX_OTHER_ANSWERS; i++) {
        g_string_append(interim, "HTTP/1.1 100 Continue\r\n\r\n");
    }
    expect_excess("HTTP/1.1 200 OK\r\nx-test: 1\r\n"
                  "content-length: 5000\r\n\r\nhi");
    expect_excess(close_delimited);
    expect_excess(chunked);
    expect_excess(interim->str);
}

/* Guards against a limit that fails what is within it. */
static void
test_an_answer_within_its_limit_is_whole(void **state)
{
    (void)state;
    struct server server = {
        .answer = "HTTP/1.1 100 Continue\r\n\r\n"
                  "HTTP/1.1 200 OK\r\nx-test: 1\r\ncontent-length: 2\r\n\r\n"
                  "hi"};
    struct sas_http_request request = {
        .method = "GET", .target = "/", .max_answer_bytes = MAX_ANSWER};
    struct client client = exchange_request(server, &request);
    expect(&client, 1, true, true, "hi");
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_whole_answers_leave_the_connection_reusable),
        cmocka_unit_test(test_incomplete_answers_fail),
        cmocka_unit_test(test_a_stalled_answer_fails),
        cmocka_unit_test(test_close_delimited_answer_is_not_whole),
        cmocka_unit_test(test_a_reset_after_a_close_delimited_answer_fails),
        cmocka_unit_test(test_bytes_after_the_answer_close_the_connection),
        cmocka_unit_test(test_a_status_out_of_range_is_no_answer),
        cmocka_unit_test(test_what_is_no_answer_fails_the_request),
        cmocka_unit_test(test_informational_answers_are_skipped),
        cmocka_unit_test(test_a_paused_answer_leaves_the_connection_readable),
        cmocka_unit_test(test_a_connection_closed_by_its_server_is_not_idle),
        cmocka_unit_test(test_refused_connection_sent_nothing),
        cmocka_unit_test(test_bytes_without_end_fail_the_request),
        cmocka_unit_test(test_an_answer_within_its_limit_is_whole),
        cmocka_unit_test(test_a_reset_that_a_write_meets_fails_the_answer),
        cmocka_unit_test(
            test_a_reset_while_reading_is_paused_fails_the_answer),
        cmocka_unit_test(
            test_an_answer_that_ends_in_order_arrives_during_the_request),
        cmocka_unit_test(test_a_request_that_times_out_is_reset),
        cmocka_unit_test(test_a_request_that_is_dropped_is_reset),
        cmocka_unit_test(
            test_a_connection_whose_request_was_answered_closes_in_order),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
