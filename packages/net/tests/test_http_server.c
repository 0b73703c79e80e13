#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>
#include <glib.h>

#include "http_fixture.h"

#define WINDOW 4096                      /* bytes */
#define KERNEL_BODY ((size_t)100 * 1024) /* less than a socket holds */

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

/* Guards against the end of a process over a request that has come and is not
 * read yet. */
static void
test_a_request_that_waits_in_its_socket_is_owed(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    assert_int_equal(SasHttpServer_CountBusy(f->server), 0);
    put(f, "GET /1 HTTP/1.1\r\n\r\n");
    assert_int_equal(SasHttpServer_CountBusy(f->server), 1);
    spin(f);
    reply(f, 0, "first");
    assert_int_equal(SasHttpServer_CountBusy(f->server), 0);
    stop(f);
}

/* Heads have no time to come in pieces. */
static const struct fixture_limits hasty = {.body_bytes = 1000,
                                            .header_ms = 1};

/* Guards against a reset that overtakes an answer which the kernel still
 * holds: its caller reads it late, and sends something before. */
static void
test_a_closing_answer_that_is_read_late_is_not_reset(void **state)
{
    (void)state;
    const struct fixture_limits limits = {
        .body_bytes = 1000, .header_ms = LONG_MS, .window = WINDOW};
    struct fixture *f = start_with(&limits);
    say(f, "GET /1 HTTP/1.1\r\n\r\n");
    SasHttpServer_Drain(f->server, LONG_MS);
    uv_read_stop((uv_stream_t *)&f->client);
    g_autofree char *body = g_strnfill(KERNEL_BODY, 'x');
    reply(f, 0, body);
    g_usleep(SWEEP_US);
    spin(f);
    g_usleep(SWEEP_US);
    spin(f);
    say(f, "GET /2 HTTP/1.1\r\n\r\n");
    uv_read_start((uv_stream_t *)&f->client, on_alloc, on_read);
    spin_until_end(f);
    assert_int_equal(f->end, UV_EOF);
    assert_true(f->got->len > KERNEL_BODY);
    assert_int_equal(f->held_count, 1);
    stop(f);
}

/* Guards against an idle limit that cuts off a caller which reads an answer
 * in small pieces for longer than that. */
static void
test_an_answer_outlasts_the_idle_limit_while_it_is_read(void **state)
{
    (void)state;
    const struct fixture_limits limits = {.body_bytes = 1000,
                                          .header_ms = LONG_MS,
                                          .idle_ms = 1000,
                                          .window = WINDOW};
    struct fixture *f = start_with(&limits);
    say(f, "GET /1 HTTP/1.1\r\n\r\n");
    uv_read_stop((uv_stream_t *)&f->client);
    g_autofree char *body = g_strnfill(LARGE_BODY, 'x');
    reply(f, 0, body);
    for (int i = 0; i < 60; i++) {
        char piece[WINDOW];
        uv_os_fd_t fd;
        uv_fileno((uv_handle_t *)&f->client, &fd);
        assert_true(recv(fd, piece, sizeof(piece), MSG_DONTWAIT) != 0);
        spin(f);
        g_usleep(SWEEP_US / 20);
    }
    assert_int_equal(f->closed, 0);
    stop(f);
}

/* Guards against a closing answer without an orderly end, where the process
 * stood still between the answer's last byte and the news of it. */
static void
test_a_pause_behind_a_closing_answer_is_no_idle_connection(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    say(f, "GET /1 HTTP/1.1\r\n\r\n");
    SasHttpServer_Drain(f->server, 1);
    struct sas_http_reply answer = {.status = 200, .body = ""};
    SasHttpExchange_Reply(f->held[0], &answer);
    g_usleep(SWEEP_US);
    for (int i = 0; i < 250 && f->closed == 0; i++) {
        spin(f);
    }
    assert_int_equal(f->leftover.end, SAS_HTTP_END_ANSWER);
    stop(f);
}

/* Guards against callers that keep a connection open for ever behind its
 * closing answer. */
static void
test_a_connection_that_its_caller_does_not_close_is_closed(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    say(f, "GET /1 HTTP/1.1\r\nConnection: close\r\n\r\n");
    reply(f, 0, "first");
    assert_int_equal(f->end, UV_EOF);
    for (int i = 0; i < 250 && f->closed == 0; i++) {
        spin(f);
    }
    assert_int_equal(f->closed, 1);
    assert_int_equal(f->leftover.end, SAS_HTTP_END_ANSWER);
    stop(f);
}

/* Guards against a request that is given out behind one that asks for the
 * close, and cut off by its answer. */
static void
test_nothing_is_given_out_behind_a_request_that_asks_for_the_close(
    void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    say(f, "GET /1 HTTP/1.1\r\nConnection: close\r\n\r\n"
           "GET /2 HTTP/1.1\r\n\r\n");
    say(f, "GET /3 HTTP/1.1\r\n\r\n");
    assert_int_equal(f->held_count, 1);
    reply(f, 0, "first");
    assert_non_null(strstr(f->got->str, "Connection: close"));
    assert_int_equal(f->end, UV_EOF);
    stop(f);
}

/* Guards against connections that are cut without a word: whoever serves is
 * told what is left undone, and by whom. */
static void
test_what_a_connection_leaves_undone_is_told(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    say(f, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    put(f, "GET /3");
    SasHttpServer_Close(f->server);
    assert_int_equal(f->closed, 1);
    assert_int_equal(f->leftover.end, SAS_HTTP_END_SERVER);
    assert_int_equal(f->leftover.unanswered, 2);
    assert_int_equal(f->leftover.unread_bytes, strlen("GET /3"));
    stop(f);
}

static void
test_a_caller_that_leaves_is_told_as_such(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    say(f, "GET /1 HTTP/1.1\r\n\r\n");
    uv_close((uv_handle_t *)&f->client, NULL);
    spin(f);
    assert_int_equal(f->leftover.end, SAS_HTTP_END_CALLER);
    assert_int_equal(f->leftover.unanswered, 1);
    stop(f);
}

/* Guards against 408 for a head whose rest waits in the socket. */
static void
test_a_head_that_has_come_is_not_late(void **state)
{
    (void)state;
    struct fixture *f = start_with(&hasty);
    say(f, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTT");
    put(f, "P/1.1\r\n\r\n");
    g_usleep(SWEEP_US);
    spin(f);
    assert_int_equal(f->held_count, 2);
    reply(f, 0, "first");
    reply(f, 1, "second");
    assert_non_null(strstr(f->got->str, "second"));
    stop(f);
}

/* Guards against 408 for a head that this side doesn't read on, as too many
 * requests wait before it. */
static void
test_a_head_that_is_not_read_on_is_not_late(void **state)
{
    (void)state;
    struct fixture *f = start_with(&hasty);
    for (int i = 0; i < SasHttpServer_MAX_PIPELINE - 1; i++) {
        put(f, "GET / HTTP/1.1\r\n\r\n");
    }
    say(f, "GET / HTTP/1.1\r\n\r\nGET /last HTT");
    g_usleep(SWEEP_US);
    spin(f);
    g_usleep(SWEEP_US);
    spin(f);
    assert_int_equal(f->got->len, 0);
    put(f, "P/1.1\r\n\r\n");
    for (int i = 0; i < SasHttpServer_MAX_PIPELINE; i++) {
        reply(f, i, "");
    }
    assert_int_equal(f->held_count, SasHttpServer_MAX_PIPELINE + 1);
    assert_null(strstr(f->got->str, " 408 "));
    stop(f);
}

/* Guards against a slow head that cuts off the requests before it. */
static void
test_a_slow_head_cuts_off_nothing_before_it(void **state)
{
    (void)state;
    struct fixture *f = start_with(&hasty);
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
        cmocka_unit_test(test_a_request_that_waits_in_its_socket_is_owed),
        cmocka_unit_test(test_a_closing_answer_that_is_read_late_is_not_reset),
        cmocka_unit_test(
            test_an_answer_outlasts_the_idle_limit_while_it_is_read),
        cmocka_unit_test(
            test_a_pause_behind_a_closing_answer_is_no_idle_connection),
        cmocka_unit_test(
            test_a_connection_that_its_caller_does_not_close_is_closed),
        cmocka_unit_test(
            test_nothing_is_given_out_behind_a_request_that_asks_for_the_close),
        cmocka_unit_test(test_what_a_connection_leaves_undone_is_told),
        cmocka_unit_test(test_a_caller_that_leaves_is_told_as_such),
        cmocka_unit_test(test_a_head_that_has_come_is_not_late),
        cmocka_unit_test(test_a_head_that_is_not_read_on_is_not_late),
        cmocka_unit_test(test_a_slow_head_cuts_off_nothing_before_it),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
