/* sas_bare_h2o - h2o on libuv with a constant answer, the baseline for an
 * entry VM's throughput.
 *
 * Prints "PORT bare n", answers every request with 200 and 160 bytes, and
 * serves until SIGTERM.
 */
#include <uv.h>

#include <h2o.h>
#include <stdio.h>
#include <string.h>

#define BACKLOG 512
#define BODY_SIZE 160

struct bare {
    uv_loop_t loop;
    h2o_globalconf_t config;
    h2o_context_t context;
    h2o_accept_ctx_t accept;
    uv_tcp_t listener;
};

static int on_request(h2o_handler_t *handler, h2o_req_t *request);
static void on_connection(uv_stream_t *listener, int status);
static void on_signal(uv_signal_t *handle, int number);

int
main(void)
{
    static struct bare bare;
    uv_loop_init(&bare.loop);
    bare.loop.data = &bare;
    h2o_config_init(&bare.config);
    h2o_hostconf_t *host = h2o_config_register_host(
        &bare.config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
    h2o_handler_t *handler = h2o_create_handler(path, sizeof(*handler));
    handler->on_req = on_request;
    h2o_context_init(&bare.context, &bare.loop, &bare.config);
    bare.accept.ctx = &bare.context;
    bare.accept.hosts = bare.config.hosts;

    struct sockaddr_in address;
    int length = sizeof(address);
    uv_ip4_addr("127.0.0.1", 0, &address);
    uv_tcp_init(&bare.loop, &bare.listener);
    uv_tcp_bind(&bare.listener, (const struct sockaddr *)&address, 0);
    uv_tcp_getsockname(&bare.listener, (struct sockaddr *)&address, &length);
    if (uv_listen((uv_stream_t *)&bare.listener, BACKLOG, on_connection) !=
        0) {
        return 1;
    }
    printf("PORT bare %d\n", ntohs(address.sin_port));
    fflush(stdout);
    uv_signal_t signal;
    uv_signal_init(&bare.loop, &signal);
    uv_signal_start(&signal, on_signal, SIGTERM);
    uv_run(&bare.loop, UV_RUN_DEFAULT);
    return 0;
}

static int
on_request(h2o_handler_t *handler, h2o_req_t *request)
{
    (void)handler;
    static h2o_generator_t generator;
    static char text[BODY_SIZE];
    memset(text, 'x', sizeof(text));
    h2o_iovec_t body = h2o_iovec_init(text, sizeof(text));
    request->res.status = 200;
    request->res.reason = "OK";
    request->res.content_length = sizeof(text);
    h2o_start_response(request, &generator);
    h2o_send(request, &body, 1, H2O_SEND_STATE_FINAL);
    return 0;
}

static void
on_connection(uv_stream_t *listener, int status)
{
    struct bare *bare = listener->loop->data;
    if (status != 0) {
        return;
    }
    uv_tcp_t *connection = h2o_mem_alloc(sizeof(*connection));
    uv_tcp_init(listener->loop, connection);
    if (uv_accept(listener, (uv_stream_t *)connection) != 0) {
        uv_close((uv_handle_t *)connection, (uv_close_cb)free);
        return;
    }
    uv_tcp_nodelay(connection, 1);
    h2o_accept(&bare->accept, h2o_uv_socket_create((uv_stream_t *)connection,
                                                   (uv_close_cb)free));
}

static void
on_signal(uv_signal_t *handle, int number)
{
    (void)number;
    uv_stop(handle->loop);
}
