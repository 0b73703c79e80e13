#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>
#include <glib.h>

#include "sas/http_server.h"

#define MAX_HELD 16
#define SWEEP_US 600000 /* longer than two sweeps are apart */
#define LARGE_BODY ((size_t)12 * 1024 * 1024) /* more than sockets hold */

/* Holds exchanges back until the test answers them. */
struct fixture {
    struct sas_http_handler handler;
    uv_loop_t loop;
    struct sas_http_server *server;
    struct sas_http_exchange *held[MAX_HELD];
    int held_count;
    bool refuses_next; /* the next request, as soon as it comes */
    int abandoned;
    uv_tcp_t client;
    uv_connect_t connect;
    uv_write_t write;
    GString *got;
    int end; /* libuv's code for the end of the connection; 0: it lasts */
};

static void
on_request(struct sas_http_handler *handler, struct sas_http_exchange *e)
{
    struct fixture *f = (struct fixture *)handler;
    f->held[f->held_count++] = e;
    if (f->refuses_next) {
        f->refuses_next = false;
        SasHttpExchange_ReplyText(e, 503, "text/plain", "", NULL);
    }
}

static void
on_abandoned(struct sas_http_handler *handler, struct sas_http_exchange *e,
             enum sas_http_end end)
{
    (void)e;
    (void)end;
    ((struct fixture *)handler)->abandoned++;
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static char scratch[65536];
    (void)handle;
    (void)suggested;
    *buffer = uv_buf_init(scratch, sizeof(scratch));
}

/* libuv reports a reset that comes in one turn with bytes as an end. */
static bool
was_reset(const struct fixture *f)
{
    uv_os_fd_t fd;
    int cause = 0;
    socklen_t size = sizeof(cause);
    assert_int_equal(uv_fileno((const uv_handle_t *)&f->client, &fd), 0);
    assert_int_equal(getsockopt(fd, SOL_SOCKET, SO_ERROR, &cause, &size), 0);
    return cause != 0;
}

static void
on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *data)
{
    struct fixture *f = stream->data;
    if (count > 0) {
        g_string_append_len(f->got, data->base, count);
    }
    if (count < 0) {
        f->end = was_reset(f) ? UV_ECONNRESET : (int)count;
        uv_read_stop(stream);
    }
}

static void
on_connect(uv_connect_t *request, int status)
{
    assert_int_equal(status, 0);
    uv_read_start(request->handle, on_alloc, on_read);
}

static void
spin(struct fixture *f)
{
    for (int i = 0; i < 200; i++) {
        uv_run(&f->loop, UV_RUN_NOWAIT);
        g_usleep(100);
    }
}

#define LONG_MS 60000

/* Until the connection has ended, for some seconds at most. */
static void
spin_until_end(struct fixture *f)
{
    for (int i = 0; i < 250 && f->end == 0; i++) {
        spin(f);
    }
}

static struct fixture *
start_with_head_limit(size_t body_bytes, int64_t header_ms)
{
    struct fixture *f = g_new0(struct fixture, 1);
    f->handler.on_request = on_request;
    f->handler.on_abandoned = on_abandoned;
    f->got = g_string_new(NULL);
    uv_loop_init(&f->loop);
    struct sas_address address = {"127.0.0.1", 0};
    struct sas_http_server_limits limits = {
        .header_bytes = 1000,
        .body_bytes = body_bytes,
        .bodies_bytes = 2 * body_bytes,
        .header_ms = header_ms,
        .connections = 4,
    };
    struct sas_error error = {0};
    f->server =
        SasHttpServer_Open(&f->loop, &address, &limits, &f->handler, &error);
    assert_non_null(f->server);
    struct sockaddr_in to;
    uv_ip4_addr("127.0.0.1", SasHttpServer_GetPort(f->server), &to);
    uv_tcp_init(&f->loop, &f->client);
    f->client.data = f;
    uv_tcp_connect(&f->connect, &f->client, (struct sockaddr *)&to,
                   on_connect);
    spin(f);
    return f;
}

static struct fixture *
start(size_t body_bytes)
{
    return start_with_head_limit(body_bytes, LONG_MS);
}

/* Into the socket; the server has not read it yet. */
static void
put(struct fixture *f, const char *text)
{
    uv_buf_t buffer = uv_buf_init((char *)text, (unsigned int)strlen(text));
    assert_int_equal(uv_try_write((uv_stream_t *)&f->client, &buffer, 1),
                     strlen(text));
}

static void
say(struct fixture *f, const char *text)
{
    put(f, text);
    spin(f);
}

static void
reply(struct fixture *f, int number, const char *body)
{
    struct sas_http_reply answer = {
        .status = 200,
        .body = body,
        .body_size = strlen(body),
    };
    SasHttpExchange_Reply(f->held[number], &answer);
    spin(f);
}

static void
stop(struct fixture *f)
{
    SasHttpServer_Close(f->server);
    if (!uv_is_closing((uv_handle_t *)&f->client)) {
        uv_close((uv_handle_t *)&f->client, NULL);
    }
    uv_run(&f->loop, UV_RUN_DEFAULT);
    assert_int_equal(uv_loop_close(&f->loop), 0);
    g_string_free(f->got, TRUE);
    g_free(f);
}

static void
test_pipelined_requests_are_given_at_once_and_answered_in_order(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    say(f, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n"
           "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_int_equal(f->held_count, 2);
    assert_string_equal(SasHttpExchange_GetTarget(f->held[1]), "/2");
    reply(f, 1, "second");
    assert_int_equal(f->got->len, 0);
    reply(f, 0, "first");
    assert_true(strstr(f->got->str, "first") < strstr(f->got->str, "second"));
    assert_non_null(strstr(f->got->str, "second"));
    assert_int_equal(f->end, 0);
    stop(f);
}

static void
test_bodies_with_a_length_or_in_chunks_are_whole(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    say(f, "POST /1 HTTP/1.1\r\nContent-Length: 4\r\n\r\nab");
    assert_int_equal(f->held_count, 0);
    say(f, "cdPOST /2 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
           "3\r\nxyz\r\n0\r\n\r\n");
    assert_int_equal(f->held_count, 2);
    size_t size;
    assert_memory_equal(SasHttpExchange_GetBody(f->held[0], &size), "abcd", 4);
    assert_memory_equal(SasHttpExchange_GetBody(f->held[1], &size), "xyz", 3);
    assert_int_equal(size, 3);
    reply(f, 0, "");
    reply(f, 1, "");
    stop(f);
}

/* A caller gives up and closes: its work must end at the servers, though its
 * answer is not due yet. */
static void
test_a_caller_that_leaves_is_seen_while_its_request_runs(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    say(f, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    assert_int_equal(SasHttpServer_CountExchanges(f->server), 2);
    uv_close((uv_handle_t *)&f->client, NULL);
    spin(f);
    assert_int_equal(f->abandoned, 2);
    assert_int_equal(SasHttpServer_CountExchanges(f->server), 0);
    stop(f);
}

static void
expect_refusal(const char *text, const char *status)
{
    struct fixture *f = start(1000);
    say(f, text);
    assert_int_equal(f->held_count, 0);
    assert_non_null(strstr(f->got->str, status));
    assert_int_equal(f->end, UV_EOF);
    stop(f);
}

static void
test_what_cannot_be_read_is_refused_and_ends(void **state)
{
    (void)state;
    expect_refusal("NONSENSE\r\n\r\n", " 400 ");
    expect_refusal("POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n", " 413 ");
    expect_refusal("POST / HTTP/1.1\r\nContent-Length: 4\r\n"
                   "Content-Length: 5\r\n\r\nabcd",
                   " 400 ");
    g_autofree char *long_field = g_strnfill(3000, 'x');
    g_autofree char *head =
        g_strdup_printf("GET / HTTP/1.1\r\nX: %s\r\n\r\n", long_field);
    expect_refusal(head, " 431 ");
}

/* A planned stop: the answer to the last request closes its connection. One
 * that others wait behind does not, or these would count as not read and the
 * callers would send them once more while they run. */
static void
test_draining_closes_behind_the_last_answer_only(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    say(f, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    SasHttpServer_Drain(f->server, 60000);
    reply(f, 0, "first");
    assert_null(strstr(f->got->str, "Connection: close"));
    assert_int_equal(f->end, 0);
    reply(f, 1, "second");
    assert_non_null(strstr(f->got->str, "Connection: close"));
    assert_int_equal(f->end, UV_EOF);
    stop(f);
}

/* Guards against a request that is handed out behind an answer that closes
 * its connection, and cut off by it. */
static void
test_draining_cuts_no_request_off_behind_a_closing_answer(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    say(f, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    SasHttpServer_Drain(f->server, LONG_MS);
    reply(f, 1, "second");
    say(f, "GET /3 HTTP/1.1\r\n\r\n");
    reply(f, 0, "first");
    assert_int_equal(f->abandoned, 0);
    assert_int_equal(f->held_count, 3);
    reply(f, 2, "third");
    assert_non_null(strstr(f->got->str, "third"));
    assert_int_equal(f->end, UV_EOF);
    stop(f);
}

/* Guards against a request that is handed out while a closing answer is still
 * on its way out. */
static void
test_nothing_is_handed_out_once_a_closing_answer_is_being_sent(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    say(f, "GET /1 HTTP/1.1\r\n\r\n");
    SasHttpServer_Drain(f->server, LONG_MS);
    uv_read_stop((uv_stream_t *)&f->client);
    g_autofree char *body = g_strnfill(LARGE_BODY, 'x');
    reply(f, 0, body);
    say(f, "GET /2 HTTP/1.1\r\n\r\n");
    assert_int_equal(f->held_count, 1);
    uv_read_start((uv_stream_t *)&f->client, on_alloc, on_read);
    spin_until_end(f);
    assert_true(f->got->len > LARGE_BODY);
    assert_int_equal(f->end, UV_EOF);
    assert_int_equal(f->abandoned, 0);
    stop(f);
}

/* Guards against a request that comes in one piece with one that is refused
 * at once, and is cut off by the refusal. */
static void
test_draining_cuts_no_request_off_behind_a_refusal(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    SasHttpServer_Drain(f->server, LONG_MS);
    f->refuses_next = true;
    say(f, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    assert_int_equal(f->abandoned, 0);
    assert_int_equal(f->held_count, 2);
    reply(f, 1, "second");
    assert_non_null(strstr(f->got->str, " 503 "));
    assert_non_null(strstr(f->got->str, "second"));
    assert_int_equal(f->end, UV_EOF);
    stop(f);
}

/* Guards against a reset that overtakes an answer: a close while bytes of the
 * caller are unread. */
static void
test_a_closing_answer_is_not_reset_by_what_the_caller_sent_after(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    say(f, "GET /1 HTTP/1.1\r\n\r\n");
    SasHttpServer_Drain(f->server, LONG_MS);
    put(f, "GET /2 HTTP/1.1\r\n\r\n");
    reply(f, 0, "first");
    assert_non_null(strstr(f->got->str, "first"));
    assert_int_equal(f->end, UV_EOF);
    assert_int_equal(f->held_count, 1);
    assert_int_equal(SasHttpServer_CountBusy(f->server), 1);
    uv_close((uv_handle_t *)&f->client, NULL);
    spin(f);
    assert_int_equal(SasHttpServer_CountBusy(f->server), 0);
    stop(f);
}

/* Guards against an answer that is cut off by the idle limit of a stop while
 * its caller reads it. */
static void
test_draining_cuts_no_answer_off_that_is_read_slowly(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    say(f, "GET /1 HTTP/1.1\r\n\r\n");
    uv_read_stop((uv_stream_t *)&f->client);
    g_autofree char *body = g_strnfill(LARGE_BODY, 'x');
    reply(f, 0, body);
    assert_int_equal(SasHttpServer_CountExchanges(f->server), 0);
    assert_int_equal(SasHttpServer_CountBusy(f->server), 1);
    SasHttpServer_Drain(f->server, 1);
    for (int i = 0; i < 20; i++) {
        spin(f);
    }
    uv_read_start((uv_stream_t *)&f->client, on_alloc, on_read);
    spin_until_end(f);
    assert_true(f->got->len > LARGE_BODY);
    assert_int_equal(f->end, UV_EOF);
    stop(f);
}

/* Guards against a request that is there already, and is reset by the idle
 * limit instead of being read. */
static void
test_an_idle_connection_is_not_closed_over_a_request(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    say(f, "GET /1 HTTP/1.1\r\n\r\n");
    reply(f, 0, "first");
    SasHttpServer_Drain(f->server, 1);
    put(f, "GET /2 HTTP/1.1\r\n\r\n");
    g_usleep(SWEEP_US);
    spin(f);
    assert_int_equal(f->held_count, 2);
    reply(f, 1, "second");
    assert_non_null(strstr(f->got->str, "second"));
    stop(f);
}

/* Guards against a slow head that cuts off the requests before it. */
static void
test_a_slow_head_cuts_off_nothing_before_it(void **state)
{
    (void)state;
    struct fixture *f = start_with_head_limit(1000, 1);
    say(f, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTT");
    for (int i = 0; i < 20; i++) {
        spin(f);
    }
    assert_int_equal(f->abandoned, 0);
    reply(f, 0, "first");
    spin_until_end(f);
    assert_non_null(strstr(f->got->str, "first"));
    assert_non_null(strstr(f->got->str, " 408 "));
    stop(f);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(
            test_pipelined_requests_are_given_at_once_and_answered_in_order),
        cmocka_unit_test(test_bodies_with_a_length_or_in_chunks_are_whole),
        cmocka_unit_test(
            test_a_caller_that_leaves_is_seen_while_its_request_runs),
        cmocka_unit_test(test_what_cannot_be_read_is_refused_and_ends),
        cmocka_unit_test(test_draining_closes_behind_the_last_answer_only),
        cmocka_unit_test(
            test_draining_cuts_no_request_off_behind_a_closing_answer),
        cmocka_unit_test(
            test_nothing_is_handed_out_once_a_closing_answer_is_being_sent),
        cmocka_unit_test(test_draining_cuts_no_request_off_behind_a_refusal),
        cmocka_unit_test(
            test_a_closing_answer_is_not_reset_by_what_the_caller_sent_after),
        cmocka_unit_test(test_draining_cuts_no_answer_off_that_is_read_slowly),
        cmocka_unit_test(test_an_idle_connection_is_not_closed_over_a_request),
        cmocka_unit_test(test_a_slow_head_cuts_off_nothing_before_it),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
