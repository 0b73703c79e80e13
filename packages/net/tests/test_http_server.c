#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>
#include <glib.h>

#include "http_fixture.h"

#define FILL_SIZE (32 * 1024)            /* bytes, at once */
#define WINDOW 4096                      /* bytes */
#define KERNEL_BODY ((size_t)100 * 1024) /* fits into a socket buffer */

static void
test_pipelined_requests_run_concurrently_and_answer_in_order(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    write_and_run(f, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n"
                     "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_int_equal(f->held_count, 2);
    assert_string_equal(SasHttpExchange_GetTarget(f->held[1]), "/2");
    reply(f, 1, "second");
    assert_int_equal(f->received->len, 0);
    reply(f, 0, "first");
    assert_true(strstr(f->received->str, "first") <
                strstr(f->received->str, "second"));
    assert_non_null(strstr(f->received->str, "second"));
    assert_int_equal(f->end, 0);
    stop(f);
}

static void
test_bodies_with_a_length_or_in_chunks_are_whole(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    write_and_run(f, "POST /1 HTTP/1.1\r\nContent-Length: 4\r\n\r\nab");
    assert_int_equal(f->held_count, 0);
    write_and_run(f, "cdPOST /2 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
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

/* Guards against requests that run on for a caller that has closed its
 * connection: the handler must learn it before it answers. */
static void
test_a_close_by_the_caller_abandons_its_running_requests(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    write_and_run(f, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    assert_int_equal(SasHttpServer_CountPending(f->server), 2);
    uv_close((uv_handle_t *)&f->client, NULL);
    run_loop(f);
    assert_int_equal(f->abandoned, 2);
    assert_int_equal(SasHttpServer_CountPending(f->server), 0);
    stop(f);
}

/* Sends a number of small requests, a piece of a further one and a number of
 * large reads of more, then leaves. Expects that all that began is abandoned
 * within two checks of the timeouts, and that nothing begins later. */
static void
leave_with(int requests, int reads, void (*leave)(struct fixture *f))
{
    struct fixture *f = start(1000);
    for (int i = 0; i < requests; i++) {
        write_text(f, "GET / HTTP/1.1\r\n\r\n");
    }
    write_and_run(f, "GET /last HTT");
    int began = f->held_count;
    assert_int_equal(began, requests);
    g_autofree char *fill = g_strnfill(FILL_SIZE, 'x');
    uv_buf_t buffer = uv_buf_init(fill, FILL_SIZE);
    for (int i = 0; i < reads; i++) {
        uv_try_write((uv_stream_t *)&f->client, &buffer, 1);
        run_loop(f);
    }
    leave(f);
    run_loop(f);
    g_usleep(TWO_SWEEPS_US);
    run_loop(f);
    assert_int_equal(f->held_count, began);
    assert_int_equal(f->abandoned, began);
    assert_int_equal(SasHttpServer_CountPending(f->server), 0);
    assert_int_equal(SasHttpServer_CountConnections(f->server), 0);
    stop(f);
}

static void
leave_in_order(struct fixture *f)
{
    uv_close((uv_handle_t *)&f->client, NULL);
}

static void
leave_by_reset(struct fixture *f)
{
    uv_tcp_close_reset(&f->client, NULL);
}

/* Guards against servers that work on for a caller that has left: the end of
 * its connection wasn't read behind many pending requests. */
static void
test_a_caller_that_leaves_with_many_pending_is_noticed(void **state)
{
    (void)state;
    leave_with(SasHttpServer_MAX_PIPELINE - 1, 0, leave_in_order);
    leave_with(SasHttpServer_MAX_PIPELINE + 8, 0, leave_in_order);
    leave_with(SasHttpServer_MAX_PIPELINE + 8, 0, leave_by_reset);
    leave_with(SasHttpServer_MAX_PIPELINE + 8, 3, leave_in_order);
    leave_with(SasHttpServer_MAX_PIPELINE + 8, 3, leave_by_reset);
}

/* The same behind more than is read ahead. */
static void
test_a_caller_that_leaves_behind_unread_bytes_is_noticed(void **state)
{
    (void)state;
    int reads = SasHttpServer_MAX_AHEAD / FILL_SIZE + 1;
    leave_with(SasHttpServer_MAX_PIPELINE + 8, reads, leave_in_order);
    leave_with(SasHttpServer_MAX_PIPELINE + 8, reads, leave_by_reset);
}

/* Guards against a process that was frozen and begins requests whose callers
 * have given up meanwhile. */
static void
test_nothing_begins_after_a_stall_for_a_caller_that_has_left(void **state)
{
    (void)state;
    void (*const leaves[])(struct fixture * f) = {leave_in_order,
                                                  leave_by_reset};
    for (size_t i = 0; i < G_N_ELEMENTS(leaves); i++) {
        struct fixture *f = start(1000);
        write_text(f, "GET / HTTP/1.1\r\n\r\n");
        leaves[i](f);
        g_usleep(TWO_SWEEPS_US); /* the loop doesn't run */
        run_loop(f);
        assert_int_equal(f->held_count, 0);
        assert_int_equal(SasHttpServer_CountConnections(f->server), 0);
        stop(f);
    }
}

/* The same for one that still waits: it is served. */
static void
test_a_request_that_waited_out_a_stall_begins(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    write_text(f, "GET / HTTP/1.1\r\n\r\n");
    g_usleep(TWO_SWEEPS_US); /* the loop doesn't run */
    run_loop(f);
    assert_int_equal(f->held_count, 1);
    reply(f, 0, "");
    stop(f);
}

/* Guards against requests that wait behind many others and are forgotten, or
 * get the time limit anew that their caller has been waiting for. */
static void
test_requests_that_wait_begin_in_turn(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    for (int i = 0; i < SasHttpServer_MAX_PIPELINE; i++) {
        write_text(f, "GET /first HTTP/1.1\r\n\r\n");
    }
    run_loop(f);
    write_and_run(f, "GET /a HTTP/1.1\r\n\r\nGET /b HT");
    int64_t read_at = (int64_t)uv_now(&f->loop);
    g_usleep(TWO_SWEEPS_US);
    write_and_run(f, "TP/1.1\r\n\r\n");
    assert_int_equal(f->held_count, SasHttpServer_MAX_PIPELINE);
    reply(f, 0, "");
    assert_int_equal(f->held_count, SasHttpServer_MAX_PIPELINE + 2);
    for (int i = 0; i < 2; i++) {
        const struct sas_http_exchange *e =
            f->held[SasHttpServer_MAX_PIPELINE + i];
        assert_string_equal(SasHttpExchange_GetTarget(e),
                            i == 0 ? "/a" : "/b");
        assert_true(SasHttpExchange_GetReceivedAt(e) <= read_at);
    }
    for (int i = 1; i < SasHttpServer_MAX_PIPELINE + 2; i++) {
        reply(f, i, "");
    }
    assert_int_equal(SasHttpServer_CountPending(f->server), 0);
    assert_int_equal(f->end, 0);
    stop(f);
}

/* Guards against memory that callers fill by sending on: what waits counts
 * like request bodies, and what exceeds their limit is refused, after the
 * answers of all requests before it. */
static void
test_what_is_too_much_to_wait_is_refused(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    for (int i = 0; i < SasHttpServer_MAX_PIPELINE; i++) {
        write_text(f, "GET /first HTTP/1.1\r\n\r\n");
    }
    run_loop(f);
    write_and_run(f, "GET /waits HTTP/1.1\r\n\r\n");
    g_autofree char *fill = g_strnfill(FILL_SIZE, 'x');
    write_and_run(f, fill);
    for (int i = 0; i < SasHttpServer_MAX_PIPELINE + 1; i++) {
        assert_null(strstr(f->received->str, " 503 "));
        reply(f, i, "");
    }
    assert_int_equal(f->held_count, SasHttpServer_MAX_PIPELINE + 1);
    assert_non_null(strstr(f->received->str, " 503 "));
    run_until_end(f);
    assert_int_equal(f->end, UV_EOF);
    assert_int_equal(f->abandoned, 0);
    stop(f);
}

/* Guards against memory that a caller fills by sending on without reading its
 * answers. */
static void
test_a_caller_that_reads_nothing_begins_no_more_requests(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    uv_read_stop((uv_stream_t *)&f->client);
    write_and_run(f, "GET /1 HTTP/1.1\r\n\r\n");
    g_autofree char *body = g_strnfill(LARGE_BODY, 'x');
    reply(f, 0, body);
    write_and_run(f, "GET /2 HTTP/1.1\r\n\r\nGET /3 HT");
    write_and_run(f, "TP/1.1\r\n\r\n");
    assert_int_equal(f->held_count, 1);
    uv_read_start((uv_stream_t *)&f->client, on_alloc, on_read);
    for (int i = 0; i < 250 && f->held_count < 3; i++) {
        run_loop(f);
    }
    assert_int_equal(f->held_count, 3);
    reply(f, 2, "third");
    reply(f, 1, "second");
    assert_non_null(strstr(f->received->str + LARGE_BODY, "third"));
    assert_int_equal(f->end, 0);
    stop(f);
}

/* The same by the answers of all callers together: the one that most waits for
 * is closed, and the reason is given. */
static void
test_answers_that_nobody_reads_are_given_up(void **state)
{
    (void)state;
    const struct fixture_limits limits = {
        .body_bytes = 1000,
        .header_ms = LONG_MS,
        .answers_bytes = LARGE_BODY / 2,
    };
    struct fixture *f = start_with(&limits);
    uv_read_stop((uv_stream_t *)&f->client);
    write_and_run(f, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    g_autofree char *body = g_strnfill(LARGE_BODY / 4, 'x');
    reply(f, 0, body);
    assert_int_equal(f->closed, 0);
    g_autofree char *large = g_strnfill(LARGE_BODY, 'x');
    write_and_run(f, "GET /3 HTTP/1.1\r\n\r\n");
    reply(f, 1, large);
    assert_int_equal(f->closed, 1);
    assert_int_equal(f->close_stats.end, SAS_HTTP_CLOSE_MEMORY);
    assert_int_equal(SasHttpServer_CountUnsent(f->server), 0);
    stop(f);
}

static void
expect_refusal(const char *text, const char *status)
{
    struct fixture *f = start(1000);
    write_and_run(f, text);
    assert_int_equal(f->held_count, 0);
    assert_non_null(strstr(f->received->str, status));
    assert_int_equal(f->end, UV_EOF);
    stop(f);
}

static void
test_unreadable_requests_are_refused_and_the_connection_closed(void **state)
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

/* In a graceful shutdown the answer to the last request closes the connection.
 * Guards against one that closes before further requests are answered: the
 * caller takes these as not processed and retries them while they run. */
static void
test_draining_closes_after_the_last_answer_only(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    write_and_run(f, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    SasHttpServer_Drain(f->server, 60000);
    reply(f, 0, "first");
    assert_null(strstr(f->received->str, "Connection: close"));
    assert_int_equal(f->end, 0);
    reply(f, 1, "second");
    assert_non_null(strstr(f->received->str, "Connection: close"));
    assert_int_equal(f->end, UV_EOF);
    stop(f);
}

/* Guards against a request that is dispatched after the answer that closes its
 * connection, and abandoned. */
static void
test_draining_abandons_no_request_after_a_closing_answer(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    write_and_run(f, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    SasHttpServer_Drain(f->server, LONG_MS);
    reply(f, 1, "second");
    write_and_run(f, "GET /3 HTTP/1.1\r\n\r\n");
    reply(f, 0, "first");
    assert_int_equal(f->abandoned, 0);
    assert_int_equal(f->held_count, 3);
    reply(f, 2, "third");
    assert_non_null(strstr(f->received->str, "third"));
    assert_int_equal(f->end, UV_EOF);
    stop(f);
}

/* Guards against a request that is dispatched while a closing answer is being
 * sent. */
static void
test_no_request_is_dispatched_while_a_closing_answer_is_sent(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    write_and_run(f, "GET /1 HTTP/1.1\r\n\r\n");
    SasHttpServer_Drain(f->server, LONG_MS);
    uv_read_stop((uv_stream_t *)&f->client);
    g_autofree char *body = g_strnfill(LARGE_BODY, 'x');
    reply(f, 0, body);
    write_and_run(f, "GET /2 HTTP/1.1\r\n\r\n");
    assert_int_equal(f->held_count, 1);
    uv_read_start((uv_stream_t *)&f->client, on_alloc, on_read);
    run_until_end(f);
    assert_true(f->received->len > LARGE_BODY);
    assert_int_equal(f->end, UV_EOF);
    assert_int_equal(f->abandoned, 0);
    stop(f);
}

/* Guards against a request that is abandoned because an earlier one, read in
 * the same buffer, is refused at once. */
static void
test_draining_abandons_no_request_after_a_refusal(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    SasHttpServer_Drain(f->server, LONG_MS);
    f->refuses_next = true;
    write_and_run(f, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    assert_int_equal(f->abandoned, 0);
    assert_int_equal(f->held_count, 2);
    reply(f, 1, "second");
    assert_non_null(strstr(f->received->str, " 503 "));
    assert_non_null(strstr(f->received->str, "second"));
    assert_int_equal(f->end, UV_EOF);
    stop(f);
}

/* Guards against a reset that overtakes an answer, as the socket is closed
 * with unread bytes of the caller. */
static void
test_a_closing_answer_is_not_reset_by_later_bytes_of_the_caller(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    write_and_run(f, "GET /1 HTTP/1.1\r\n\r\n");
    SasHttpServer_Drain(f->server, LONG_MS);
    write_text(f, "GET /2 HTTP/1.1\r\n\r\n");
    reply(f, 0, "first");
    assert_non_null(strstr(f->received->str, "first"));
    assert_int_equal(f->end, UV_EOF);
    assert_int_equal(f->held_count, 1);
    assert_int_equal(SasHttpServer_CountBusyConnections(f->server), 1);
    uv_close((uv_handle_t *)&f->client, NULL);
    run_loop(f);
    assert_int_equal(SasHttpServer_CountBusyConnections(f->server), 0);
    stop(f);
}

/* Guards against an answer that the idle limit of a drain cuts short while
 * its caller reads it. */
static void
test_draining_completes_an_answer_that_is_read_slowly(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    write_and_run(f, "GET /1 HTTP/1.1\r\n\r\n");
    uv_read_stop((uv_stream_t *)&f->client);
    g_autofree char *body = g_strnfill(LARGE_BODY, 'x');
    reply(f, 0, body);
    assert_int_equal(SasHttpServer_CountPending(f->server), 0);
    assert_int_equal(SasHttpServer_CountBusyConnections(f->server), 1);
    SasHttpServer_Drain(f->server, 1);
    for (int i = 0; i < 20; i++) {
        run_loop(f);
    }
    uv_read_start((uv_stream_t *)&f->client, on_alloc, on_read);
    run_until_end(f);
    assert_true(f->received->len > LARGE_BODY);
    assert_int_equal(f->end, UV_EOF);
    stop(f);
}

/* Guards against a request that has arrived and is reset by the idle limit
 * instead of being read. */
static void
test_an_idle_connection_with_an_unread_request_is_not_closed(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    write_and_run(f, "GET /1 HTTP/1.1\r\n\r\n");
    reply(f, 0, "first");
    SasHttpServer_Drain(f->server, 1);
    write_text(f, "GET /2 HTTP/1.1\r\n\r\n");
    g_usleep(TWO_SWEEPS_US);
    run_loop(f);
    assert_int_equal(f->held_count, 2);
    reply(f, 1, "second");
    assert_non_null(strstr(f->received->str, "second"));
    stop(f);
}

/* Guards against a process that exits while a request has arrived and isn't
 * read yet. */
static void
test_a_connection_with_an_unread_request_is_busy(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    assert_int_equal(SasHttpServer_CountBusyConnections(f->server), 0);
    write_text(f, "GET /1 HTTP/1.1\r\n\r\n");
    assert_int_equal(SasHttpServer_CountBusyConnections(f->server), 1);
    run_loop(f);
    reply(f, 0, "first");
    assert_int_equal(SasHttpServer_CountBusyConnections(f->server), 0);
    stop(f);
}

/* A head that arrives in pieces exceeds its timeout. */
static const struct fixture_limits short_header_timeout = {.body_bytes = 1000,
                                                           .header_ms = 1};

/* Guards against a reset that overtakes an answer in the kernel's send buffer:
 * the caller reads it late and sends bytes before. */
static void
test_a_closing_answer_that_is_read_late_is_not_reset(void **state)
{
    (void)state;
    const struct fixture_limits limits = {
        .body_bytes = 1000, .header_ms = LONG_MS, .window = WINDOW};
    struct fixture *f = start_with(&limits);
    write_and_run(f, "GET /1 HTTP/1.1\r\n\r\n");
    SasHttpServer_Drain(f->server, LONG_MS);
    uv_read_stop((uv_stream_t *)&f->client);
    g_autofree char *body = g_strnfill(KERNEL_BODY, 'x');
    reply(f, 0, body);
    g_usleep(TWO_SWEEPS_US);
    run_loop(f);
    g_usleep(TWO_SWEEPS_US);
    run_loop(f);
    write_and_run(f, "GET /2 HTTP/1.1\r\n\r\n");
    uv_read_start((uv_stream_t *)&f->client, on_alloc, on_read);
    run_until_end(f);
    assert_int_equal(f->end, UV_EOF);
    assert_true(f->received->len > KERNEL_BODY);
    assert_int_equal(f->held_count, 1);
    stop(f);
}

/* Guards against an idle limit that closes the connection of a caller which
 * reads an answer in small pieces for longer than the limit. */
static void
test_an_answer_outlasts_the_idle_limit_while_it_is_read(void **state)
{
    (void)state;
    const struct fixture_limits limits = {.body_bytes = 1000,
                                          .header_ms = LONG_MS,
                                          .idle_ms = 1000,
                                          .window = WINDOW};
    struct fixture *f = start_with(&limits);
    write_and_run(f, "GET /1 HTTP/1.1\r\n\r\n");
    uv_read_stop((uv_stream_t *)&f->client);
    g_autofree char *body = g_strnfill(LARGE_BODY, 'x');
    reply(f, 0, body);
    for (int i = 0; i < 60; i++) {
        char piece[WINDOW];
        uv_os_fd_t fd;
        uv_fileno((uv_handle_t *)&f->client, &fd);
        assert_true(recv(fd, piece, sizeof(piece), MSG_DONTWAIT) != 0);
        run_loop(f);
        g_usleep(TWO_SWEEPS_US / 20);
    }
    assert_int_equal(f->closed, 0);
    stop(f);
}

/* Guards against an immediate close instead of a lingering one, when the
 * process was paused between the last write of a closing answer and its
 * completion callback. */
static void
test_a_process_pause_after_a_closing_answer_is_not_idle_time(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    write_and_run(f, "GET /1 HTTP/1.1\r\n\r\n");
    SasHttpServer_Drain(f->server, 1);
    struct sas_http_reply answer = {.status = 200, .body = ""};
    SasHttpExchange_Reply(f->held[0], &answer);
    g_usleep(TWO_SWEEPS_US);
    for (int i = 0; i < 250 && f->closed == 0; i++) {
        run_loop(f);
    }
    assert_int_equal(f->close_stats.end, SAS_HTTP_CLOSE_ANSWER);
    stop(f);
}

/* Guards against callers that never close a connection after its closing
 * answer. */
static void
test_a_lingering_connection_is_closed_after_its_timeout(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    write_and_run(f, "GET /1 HTTP/1.1\r\nConnection: close\r\n\r\n");
    reply(f, 0, "first");
    assert_int_equal(f->end, UV_EOF);
    for (int i = 0; i < 250 && f->closed == 0; i++) {
        run_loop(f);
    }
    assert_int_equal(f->closed, 1);
    assert_int_equal(f->close_stats.end, SAS_HTTP_CLOSE_ANSWER);
    stop(f);
}

/* Guards against a request that is dispatched after one with Connection:
 * close, and abandoned when that is answered. */
static void
test_no_request_is_dispatched_after_connection_close(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    write_and_run(f, "GET /1 HTTP/1.1\r\nConnection: close\r\n\r\n"
                     "GET /2 HTTP/1.1\r\n\r\n");
    write_and_run(f, "GET /3 HTTP/1.1\r\n\r\n");
    assert_int_equal(f->held_count, 1);
    reply(f, 0, "first");
    assert_non_null(strstr(f->received->str, "Connection: close"));
    assert_int_equal(f->end, UV_EOF);
    stop(f);
}

/* Guards against connections that close without a report: the handler must
 * learn why and what is unfinished. */
static void
test_unfinished_work_is_reported_when_a_connection_closes(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    write_and_run(f, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    write_text(f, "GET /3");
    SasHttpServer_Close(f->server);
    assert_int_equal(f->closed, 1);
    assert_int_equal(f->close_stats.end, SAS_HTTP_CLOSE_SERVER);
    assert_int_equal(f->close_stats.unanswered, 2);
    assert_int_equal(f->close_stats.unread_bytes, strlen("GET /3"));
    stop(f);
}

static void
test_a_close_by_the_caller_is_reported_as_such(void **state)
{
    (void)state;
    struct fixture *f = start(1000);
    write_and_run(f, "GET /1 HTTP/1.1\r\n\r\n");
    uv_close((uv_handle_t *)&f->client, NULL);
    run_loop(f);
    assert_int_equal(f->close_stats.end, SAS_HTTP_CLOSE_CALLER);
    assert_int_equal(f->close_stats.unanswered, 1);
    stop(f);
}

/* Guards against 408 for a head whose rest is unread in the socket. */
static void
test_an_unread_head_does_not_time_out(void **state)
{
    (void)state;
    struct fixture *f = start_with(&short_header_timeout);
    write_and_run(f, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTT");
    write_text(f, "P/1.1\r\n\r\n");
    g_usleep(TWO_SWEEPS_US);
    run_loop(f);
    assert_int_equal(f->held_count, 2);
    reply(f, 0, "first");
    reply(f, 1, "second");
    assert_non_null(strstr(f->received->str, "second"));
    stop(f);
}

/* Guards against 408 for a head that the server doesn't read to its end, as
 * too many earlier requests are unanswered. */
static void
test_a_head_does_not_time_out_while_reading_is_paused(void **state)
{
    (void)state;
    struct fixture *f = start_with(&short_header_timeout);
    for (int i = 0; i < SasHttpServer_MAX_PIPELINE - 1; i++) {
        write_text(f, "GET / HTTP/1.1\r\n\r\n");
    }
    write_and_run(f, "GET / HTTP/1.1\r\n\r\nGET /last HTT");
    g_usleep(TWO_SWEEPS_US);
    run_loop(f);
    g_usleep(TWO_SWEEPS_US);
    run_loop(f);
    assert_int_equal(f->received->len, 0);
    write_text(f, "P/1.1\r\n\r\n");
    for (int i = 0; i < SasHttpServer_MAX_PIPELINE; i++) {
        reply(f, i, "");
    }
    assert_int_equal(f->held_count, SasHttpServer_MAX_PIPELINE + 1);
    assert_null(strstr(f->received->str, " 408 "));
    stop(f);
}

/* Guards against a slow head whose 408 abandons the requests before it. */
static void
test_a_slow_head_abandons_no_earlier_request(void **state)
{
    (void)state;
    struct fixture *f = start_with(&short_header_timeout);
    write_and_run(f, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTT");
    for (int i = 0; i < 20; i++) {
        run_loop(f);
    }
    assert_int_equal(f->abandoned, 0);
    reply(f, 0, "first");
    run_until_end(f);
    assert_non_null(strstr(f->received->str, "first"));
    assert_non_null(strstr(f->received->str, " 408 "));
    stop(f);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(
            test_a_caller_that_leaves_with_many_pending_is_noticed),
        cmocka_unit_test(
            test_a_caller_that_leaves_behind_unread_bytes_is_noticed),
        cmocka_unit_test(
            test_nothing_begins_after_a_stall_for_a_caller_that_has_left),
        cmocka_unit_test(test_a_request_that_waited_out_a_stall_begins),
        cmocka_unit_test(test_requests_that_wait_begin_in_turn),
        cmocka_unit_test(test_what_is_too_much_to_wait_is_refused),
        cmocka_unit_test(
            test_a_caller_that_reads_nothing_begins_no_more_requests),
        cmocka_unit_test(test_answers_that_nobody_reads_are_given_up),
        cmocka_unit_test(
            test_pipelined_requests_run_concurrently_and_answer_in_order),
        cmocka_unit_test(test_bodies_with_a_length_or_in_chunks_are_whole),
        cmocka_unit_test(
            test_a_close_by_the_caller_abandons_its_running_requests),
        cmocka_unit_test(
            test_unreadable_requests_are_refused_and_the_connection_closed),
        cmocka_unit_test(test_draining_closes_after_the_last_answer_only),
        cmocka_unit_test(
            test_draining_abandons_no_request_after_a_closing_answer),
        cmocka_unit_test(
            test_no_request_is_dispatched_while_a_closing_answer_is_sent),
        cmocka_unit_test(test_draining_abandons_no_request_after_a_refusal),
        cmocka_unit_test(
            test_a_closing_answer_is_not_reset_by_later_bytes_of_the_caller),
        cmocka_unit_test(
            test_draining_completes_an_answer_that_is_read_slowly),
        cmocka_unit_test(
            test_an_idle_connection_with_an_unread_request_is_not_closed),
        cmocka_unit_test(test_a_connection_with_an_unread_request_is_busy),
        cmocka_unit_test(test_a_closing_answer_that_is_read_late_is_not_reset),
        cmocka_unit_test(
            test_an_answer_outlasts_the_idle_limit_while_it_is_read),
        cmocka_unit_test(
            test_a_process_pause_after_a_closing_answer_is_not_idle_time),
        cmocka_unit_test(
            test_a_lingering_connection_is_closed_after_its_timeout),
        cmocka_unit_test(test_no_request_is_dispatched_after_connection_close),
        cmocka_unit_test(
            test_unfinished_work_is_reported_when_a_connection_closes),
        cmocka_unit_test(test_a_close_by_the_caller_is_reported_as_such),
        cmocka_unit_test(test_an_unread_head_does_not_time_out),
        cmocka_unit_test(
            test_a_head_does_not_time_out_while_reading_is_paused),
        cmocka_unit_test(test_a_slow_head_abandons_no_earlier_request),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
