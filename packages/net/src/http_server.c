#include "sas/http_server.h"

#include <stdio.h>

#include "http_server_conn.h"
#include "sas/http.h"

#define LISTEN_BACKLOG 1024
#define SWEEP_MS 250 /* between two checks of all timeouts */
#define STALLED_MS (2 * SWEEP_MS)
#define STEP "server.listen"

const char *
SasHttp_GetCloseReasonName(enum sas_http_close_reason end)
{
    static const char *const names[SAS_HTTP_CLOSE_COUNT] = {
        [SAS_HTTP_CLOSE_CALLER] = "caller", [SAS_HTTP_CLOSE_ANSWER] = "answer",
        [SAS_HTTP_CLOSE_IDLE] = "idle",     [SAS_HTTP_CLOSE_SERVER] = "server",
        [SAS_HTTP_CLOSE_MEMORY] = "memory",
    };
    return names[end];
}

static void
on_accept(uv_stream_t *listener, int status)
{
    if (status == 0) {
        SasHttpServerConn_Accept(listener->data);
    }
}

bool
SasHttpServer_HasStalled(const struct sas_http_server *server)
{
    int64_t now_ms = (int64_t)uv_now(server->loop);
    return now_ms - server->swept_at > STALLED_MS ||
           now_ms < server->stalled_until;
}

bool
SasHttpServer_HasTooManyAnswers(const struct sas_http_server *server)
{
    return server->limits.answers_bytes > 0 &&
           server->answer_bytes > server->limits.answers_bytes;
}

static void
on_sweep(uv_timer_t *timer)
{
    struct sas_http_server *server = timer->data;
    int64_t now_ms = (int64_t)uv_now(server->loop);
    bool stalled = now_ms - server->swept_at > STALLED_MS;
    if (stalled) {
        server->stalled_until = now_ms + SWEEP_MS;
    }
    server->swept_at = now_ms;
    struct sas_http_server_conn *c = server->connections;
    while (c != NULL) {
        struct sas_http_server_conn *next = c->next;
        if (!stalled || !SasHttpServerConn_CloseIfLeft(c)) {
            SasHttpServerConn_Sweep(c, now_ms);
        }
        c = next;
    }
}

static struct sas_http_server_conn *
find_most_unread(const struct sas_http_server *server)
{
    struct sas_http_server_conn *most = server->connections;
    for (struct sas_http_server_conn *c = most; c != NULL; c = c->next) {
        if (c->answer_bytes > most->answer_bytes) {
            most = c;
        }
    }
    return most;
}

/* Callers that don't read would take the memory that others' answers need. */
static void
limit_answers(struct sas_http_server *server)
{
    while (SasHttpServer_HasTooManyAnswers(server)) {
        SasHttpServerConn_Close(find_most_unread(server),
                                SAS_HTTP_CLOSE_MEMORY);
    }
}

void
SasHttpServer_OnResume(uv_idle_t *resume)
{
    struct sas_http_server *server = resume->data;
    uv_idle_stop(resume);
    limit_answers(server);
    struct sas_http_server_conn *c = server->connections;
    while (c != NULL) {
        struct sas_http_server_conn *next = c->next;
        SasHttpServerConn_Resume(c);
        c = next;
    }
}

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
    char endpoint[SasModel_IP_SIZE + 8];
    snprintf(endpoint, sizeof(endpoint), "%s:%d", address->ip, address->port);
    struct sockaddr_storage storage;
    if (SasHttp_GetSockaddr(address, &storage) != 0) {
        SasError_Set(error, SAS_EINVAL, STEP, endpoint,
                     "not a numeric address");
        return NULL;
    }
    struct sas_http_server *server = g_new0(struct sas_http_server, 1);
    server->loop = loop;
    server->limits = *limits;
    server->handler = handler;
    uv_tcp_init(loop, &server->listener);
    uv_timer_init(loop, &server->sweep);
    server->listener.data = server;
    uv_idle_init(loop, &server->resume);
    server->sweep.data = server;
    server->resume.data = server;
    server->open_handles = 3;
    server->swept_at = (int64_t)uv_now(loop);
    int rc = uv_tcp_bind(&server->listener, (struct sockaddr *)&storage, 0);
    if (rc == 0) {
        rc = uv_listen((uv_stream_t *)&server->listener, LISTEN_BACKLOG,
                       on_accept);
    }
    if (rc != 0) {
        SasError_Set(error, SAS_EIO, STEP, endpoint, "%s", uv_strerror(rc));
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
        SasHttpServerConn_Close(server->connections, SAS_HTTP_CLOSE_SERVER);
    }
    uv_close((uv_handle_t *)&server->listener, on_server_handle_closed);
    uv_close((uv_handle_t *)&server->sweep, on_server_handle_closed);
    uv_close((uv_handle_t *)&server->resume, on_server_handle_closed);
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
SasHttpServer_CountPending(const struct sas_http_server *server)
{
    return server->exchange_count;
}

int
SasHttpServer_CountConnections(const struct sas_http_server *server)
{
    return server->connection_count;
}

size_t
SasHttpServer_CountUnsent(const struct sas_http_server *server)
{
    return server->answer_bytes;
}

int
SasHttpServer_CountBusyConnections(const struct sas_http_server *server)
{
    int count = 0;
    for (const struct sas_http_server_conn *c = server->connections; c != NULL;
         c = c->next) {
        count += SasHttpServerConn_IsBusy(c) ? 1 : 0;
    }
    return count;
}
