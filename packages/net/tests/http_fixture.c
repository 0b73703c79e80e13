#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#include "http_fixture.h"

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
             enum sas_http_close_reason end)
{
    (void)e;
    (void)end;
    ((struct fixture *)handler)->abandoned++;
}

static void
on_closed(struct sas_http_handler *handler,
          const struct sas_http_close_stats *close_stats)
{
    struct fixture *f = (struct fixture *)handler;
    f->closed++;
    f->close_stats = *close_stats;
}

void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static char scratch[65536];
    (void)handle;
    (void)suggested;
    *buffer = uv_buf_init(scratch, sizeof(scratch));
}

/* libuv reports a reset that arrives in one iteration with bytes as the end of
 * the stream. */
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

void
on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *data)
{
    struct fixture *f = stream->data;
    if (count > 0) {
        g_string_append_len(f->received, data->base, count);
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

void
run_loop(struct fixture *f)
{
    for (int i = 0; i < 200; i++) {
        uv_run(&f->loop, UV_RUN_NOWAIT);
        g_usleep(100);
    }
}

void
run_until_end(struct fixture *f)
{
    for (int i = 0; i < 250 && f->end == 0; i++) {
        run_loop(f);
    }
}

struct fixture *
start_with(const struct fixture_limits *given)
{
    struct fixture *f = g_new0(struct fixture, 1);
    f->handler.on_request = on_request;
    f->handler.on_abandoned = on_abandoned;
    f->handler.on_closed = on_closed;
    f->received = g_string_new(NULL);
    uv_loop_init(&f->loop);
    struct sas_address address = {"127.0.0.1", 0};
    struct sas_http_server_limits limits = {
        .header_bytes = 1000,
        .body_bytes = given->body_bytes,
        .bodies_bytes = 2 * given->body_bytes,
        .answers_bytes = given->answers_bytes,
        .header_timeout_ms = given->header_ms,
        .idle_timeout_ms = given->idle_ms,
        .connections = 4,
    };
    struct sas_error error = {0};
    f->server =
        SasHttpServer_Open(&f->loop, &address, &limits, &f->handler, &error);
    assert_non_null(f->server);
    int window = given->window;
    struct sockaddr_in server_address;
    uv_ip4_addr("127.0.0.1", SasHttpServer_GetPort(f->server),
                &server_address);
    uv_tcp_init_ex(&f->loop, &f->client, AF_INET);
    if (given->window > 0) {
        uv_recv_buffer_size((uv_handle_t *)&f->client, &window);
    }
    f->client.data = f;
    uv_tcp_connect(&f->connect, &f->client, (struct sockaddr *)&server_address,
                   on_connect);
    run_loop(f);
    return f;
}

struct fixture *
start(size_t body_bytes)
{
    const struct fixture_limits limits = {.body_bytes = body_bytes,
                                          .header_ms = LONG_MS};
    return start_with(&limits);
}

void
write_text(struct fixture *f, const char *text)
{
    uv_buf_t buffer = uv_buf_init((char *)text, (unsigned int)strlen(text));
    assert_int_equal(uv_try_write((uv_stream_t *)&f->client, &buffer, 1),
                     strlen(text));
}

void
write_and_run(struct fixture *f, const char *text)
{
    write_text(f, text);
    run_loop(f);
}

void
reply(struct fixture *f, int number, const char *body)
{
    struct sas_http_reply answer = {
        .status = 200,
        .body = body,
        .body_size = strlen(body),
    };
    SasHttpExchange_Reply(f->held[number], &answer);
    run_loop(f);
}

void
stop(struct fixture *f)
{
    SasHttpServer_Close(f->server);
    if (!uv_is_closing((uv_handle_t *)&f->client)) {
        uv_close((uv_handle_t *)&f->client, NULL);
    }
    uv_run(&f->loop, UV_RUN_DEFAULT);
    assert_int_equal(uv_loop_close(&f->loop), 0);
    g_string_free(f->received, TRUE);
    g_free(f);
}
