#include "h2o_server.h"

#include <glib.h>
#include <h2o/http1.h>
#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "sas/metrics.h"

#define SWEEP_MS 50
#define SMALL_BODY_BYTES 65536 /* accepted even over bodies_limit */
#define LINGER_MS 1000         /* input is discarded after the last answer */

struct sas_h2o_server {
    uv_loop_t *loop;
    struct sas_h2o_server_limits limits;
    h2o_globalconf_t config;
    h2o_hostconf_t *host;
    h2o_context_t context;
    h2o_accept_ctx_t accept;
    bool context_open;
    uv_tcp_t listener;
    bool listening;
    uv_timer_t sweep;
    int connections;
    GHashTable *by_socket; /* of struct connection, by h2o's socket */
    GList *lingering;      /* of struct lingering */
    struct sas_metrics *metrics;
    int http_errors;
    int refused_connections;
    uint64_t reported_errors;
    int open_handles;
    bool closing;
};

struct connection {
    uv_tcp_t tcp; /* first: libuv's handle is freed as a whole */
    struct sas_h2o_server *server;
    h2o_socket_t *socket; /* h2o's; invalid once the handle is closing */
    int linger_fd;        /* duplicate for a lingering close; -1: none */
    size_t held_bytes;    /* input buffered at the last sweep */
    int64_t active_at;    /* last sweep with input or a running request */
};

/* A connection in a lingering close: h2o has closed its own descriptor. */
struct lingering {
    uv_poll_t poll; /* first: libuv's handle is freed as a whole */
    struct sas_h2o_server *server;
    int fd;
    int64_t ends_at;
};

static void on_sweep(uv_timer_t *timer);
static void on_accept(uv_stream_t *listener, int status);
static void end_linger(struct lingering *lingering);

static int
on_request(h2o_handler_t *base, h2o_req_t *req)
{
    struct sas_h2o_server_handler *handler =
        (struct sas_h2o_server_handler *)base;
    return handler->on_request(handler, req);
}

struct sas_h2o_server *
SasH2oServer_Open(uv_loop_t *loop, const struct sas_h2o_server_limits *limits)
{
    struct sas_h2o_server *server = g_new0(struct sas_h2o_server, 1);
    server->loop = loop;
    server->limits = *limits;
    /* The VMs have no disks: no temporary files for bodies. */
    h2o_socket_buffer_mmap_settings.threshold = SIZE_MAX;
    h2o_config_init(&server->config);
    server->config.server_name = h2o_iovec_init(H2O_STRLIT("sassafrassill"));
    server->config.max_request_entity_size = limits->body_limit;
    server->config.http1.upgrade_to_http2 = 0;
    server->config.http1.req_timeout = SasCaller_REQUEST_TIMEOUT_MS;
    server->by_socket = g_hash_table_new(NULL, NULL);
    server->host = h2o_config_register_host(
        &server->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    uv_tcp_init(loop, &server->listener);
    server->listener.data = server;
    uv_timer_init(loop, &server->sweep);
    server->sweep.data = server;
    server->open_handles = 2;
    return server;
}

void
SasH2oServer_AddHandler(struct sas_h2o_server *server, const char *path,
                        int (*handle)(struct sas_h2o_server_handler *,
                                      h2o_req_t *),
                        void *data)
{
    h2o_pathconf_t *row = h2o_config_register_path(server->host, path, 0);
    struct sas_h2o_server_handler *handler =
        (struct sas_h2o_server_handler *)h2o_create_handler(
            row, sizeof(struct sas_h2o_server_handler));
    handler->base.on_req = on_request;
    handler->on_request = handle;
    handler->data = data;
}

int
SasH2oServer_Listen(struct sas_h2o_server *server,
                    const struct sas_address *address, struct sas_error *error)
{
    struct sockaddr_storage storage;
    int rc = SasHttp_GetSockaddr(address, &storage);
    if (rc == 0) {
        rc = uv_tcp_bind(&server->listener, (struct sockaddr *)&storage, 0);
    }
    if (rc == 0) {
        rc = uv_listen((uv_stream_t *)&server->listener, 1024, on_accept);
    }
    if (rc != 0) {
        SasError_Set(error, SAS_EIO, "server.listen", address->ip,
                     "port %d: %s", address->port, uv_strerror(rc));
        return -1;
    }
    server->listening = true;
    h2o_context_init(&server->context, server->loop, &server->config);
    server->context_open = true;
    server->accept.ctx = &server->context;
    server->accept.hosts = server->config.hosts;
    return 0;
}

void
SasH2oServer_RegisterCounters(struct sas_h2o_server *server,
                              struct sas_metrics *metrics, const char *port)
{
    server->metrics = metrics;
    server->http_errors = SasMetrics_RegisterCounter(
        metrics, "sas_http_errors_total", "port", port,
        "Answers to what is no request or too large");
    server->refused_connections = SasMetrics_RegisterCounter(
        metrics, "sas_connections_refused_total", "port", port,
        "Connections closed because there were too many");
}

static void
on_handle_closed(uv_handle_t *handle)
{
    struct sas_h2o_server *server = handle->data;
    server->open_handles--;
}

void
SasH2oServer_StopListening(struct sas_h2o_server *server)
{
    if (!uv_is_closing((uv_handle_t *)&server->listener)) {
        uv_close((uv_handle_t *)&server->listener, on_handle_closed);
    }
}

/* With open connections the context is kept, since they may still refer to
 * it; the process is about to end. */
static void
release(struct sas_h2o_server *server, bool unused)
{
    if (!unused) {
        return;
    }
    if (server->context_open) {
        h2o_context_dispose(&server->context);
    }
    h2o_config_dispose(&server->config);
    /* The context's timers close in the next turn of the loop. */
    uv_run(server->loop, UV_RUN_NOWAIT);
    g_hash_table_destroy(server->by_socket);
    g_free(server);
}

void
SasH2oServer_Close(struct sas_h2o_server *server)
{
    bool unused = server->connections == 0;
    server->closing = true;
    SasH2oServer_StopListening(server);
    while (server->lingering != NULL) {
        end_linger(server->lingering->data);
    }
    uv_close((uv_handle_t *)&server->sweep, on_handle_closed);
    if (server->context_open && !unused) {
        h2o_context_request_shutdown(&server->context);
    }
    while (server->open_handles > 0) {
        uv_run(server->loop, UV_RUN_ONCE);
    }
    release(server, unused);
}

/* Lingering close. */

static void
on_linger_closed(uv_handle_t *handle)
{
    g_free(handle);
}

static void
end_linger(struct lingering *lingering)
{
    struct sas_h2o_server *server = lingering->server;
    server->lingering = g_list_remove(server->lingering, lingering);
    uv_close((uv_handle_t *)&lingering->poll, on_linger_closed);
    close(lingering->fd);
}

/* True when the caller has closed the connection too, or on an error. */
static bool
discard_input(int fd)
{
    char rest[4096];
    ssize_t count;
    do {
        count = recv(fd, rest, sizeof(rest), MSG_DONTWAIT);
    } while (count > 0 || (count < 0 && errno == EINTR));
    return count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

static void
on_lingering_input(uv_poll_t *poll, int status, int events)
{
    (void)events;
    struct lingering *lingering = (struct lingering *)poll;
    if (status < 0 || discard_input(lingering->fd)) {
        end_linger(lingering);
    }
}

/* Closing a socket with unread input resets the connection, and the part of
 * the answer that is still in transit is lost. So the socket is closed for
 * writing only, and its input is discarded until the caller closes too or
 * LINGER_MS have passed. */
static void
begin_linger(struct sas_h2o_server *server, int fd)
{
    shutdown(fd, SHUT_WR);
    struct lingering *lingering = g_new0(struct lingering, 1);
    lingering->server = server;
    lingering->fd = fd;
    lingering->ends_at = (int64_t)uv_now(server->loop) + LINGER_MS;
    if (uv_poll_init(server->loop, &lingering->poll, fd) != 0) {
        close(fd);
        g_free(lingering);
        return;
    }
    server->lingering = g_list_prepend(server->lingering, lingering);
    uv_poll_start(&lingering->poll, UV_READABLE, on_lingering_input);
}

static void
end_expired_lingers(struct sas_h2o_server *server)
{
    int64_t now = (int64_t)uv_now(server->loop);
    GList *link = server->lingering;
    while (link != NULL) {
        struct lingering *lingering = link->data;
        link = link->next;
        if (now >= lingering->ends_at) {
            discard_input(lingering->fd);
            end_linger(lingering);
        }
    }
}

void
SasH2oServer_CloseAfterAnswer(struct sas_h2o_server *server, h2o_req_t *req)
{
    h2o_socket_t *socket = req->conn->callbacks->get_socket(req->conn);
    struct connection *connection =
        g_hash_table_lookup(server->by_socket, socket);
    req->http1_is_persistent = 0;
    if (connection != NULL && connection->linger_fd < 0) {
        connection->linger_fd =
            fcntl(h2o_socket_get_fd(socket), F_DUPFD_CLOEXEC, 0);
    }
}

int
SasH2oServer_CountLingering(const struct sas_h2o_server *server)
{
    return (int)g_list_length(server->lingering);
}

void
SasH2oServer_StopReading(struct sas_h2o_server *server)
{
    GHashTableIter at;
    gpointer value;
    g_hash_table_iter_init(&at, server->by_socket);
    while (g_hash_table_iter_next(&at, NULL, &value)) {
        struct connection *connection = value;
        if (!uv_is_closing((uv_handle_t *)&connection->tcp)) {
            h2o_socket_read_stop(connection->socket);
        }
    }
}

/* Connections. */

static void
on_connection_closed(uv_handle_t *handle)
{
    struct connection *connection = (struct connection *)handle;
    connection->server->connections--;
    if (connection->linger_fd >= 0 && connection->server->closing) {
        close(connection->linger_fd);
    }
    else if (connection->linger_fd >= 0) {
        begin_linger(connection->server, connection->linger_fd);
    }
    /* The address of h2o's socket may have been reused by a new one. */
    GHashTable *table = connection->server->by_socket;
    if (g_hash_table_lookup(table, connection->socket) == connection) {
        g_hash_table_remove(table, connection->socket);
    }
    g_free(connection);
}

static void
on_refused_closed(uv_handle_t *handle)
{
    g_free(handle);
}

static void
on_accept(uv_stream_t *listener, int status)
{
    struct sas_h2o_server *server = listener->data;
    if (status != 0) {
        return;
    }
    struct connection *connection = g_new0(struct connection, 1);
    connection->server = server;
    uv_tcp_init(server->loop, &connection->tcp);
    if (uv_accept(listener, (uv_stream_t *)&connection->tcp) != 0) {
        uv_close((uv_handle_t *)&connection->tcp, on_refused_closed);
        return;
    }
    /* More connections would take memory from requests in progress. */
    if (server->connections >= server->limits.max_connections) {
        SasMetrics_Add(server->metrics, server->refused_connections, 1);
        uv_close((uv_handle_t *)&connection->tcp, on_refused_closed);
        return;
    }
    /* The sweep runs only while there are connections: an idle port would
     * otherwise wake the process of a small VM 20 times a second. It is not
     * restarted while it runs: with many short connections it would never be
     * due, errors would not be counted and the body limit not updated. */
    server->connections++;
    if (!uv_is_active((uv_handle_t *)&server->sweep)) {
        uv_timer_start(&server->sweep, on_sweep, SWEEP_MS, SWEEP_MS);
    }
    uv_tcp_nodelay(&connection->tcp, 1);
    connection->socket = h2o_uv_socket_create((uv_stream_t *)&connection->tcp,
                                              on_connection_closed);
    connection->linger_fd = -1;
    connection->active_at = (int64_t)uv_now(server->loop);
    g_hash_table_insert(server->by_socket, connection->socket, connection);
    h2o_accept(&server->accept, connection->socket);
}

static int
add_held_bytes(h2o_req_t *req, void *data)
{
    size_t *sum = data;
    h2o_socket_t *socket = req->conn->callbacks->get_socket(req->conn);
    if (socket != NULL && socket->input != NULL) {
        *sum += socket->input->size;
    }
    return 0;
}

static int
count_request(h2o_req_t *req, void *data)
{
    size_t held = 0;
    add_held_bytes(req, &held);
    *(int *)data += held > 0 ? 1 : 0;
    return 0;
}

int
SasH2oServer_CountRequests(struct sas_h2o_server *server)
{
    int count = 0;
    server->config.http1.callbacks.foreach_request(&server->context,
                                                   count_request, &count);
    return count;
}

static int
note_running(h2o_req_t *req, void *data)
{
    struct sas_h2o_server *server = data;
    struct connection *connection = g_hash_table_lookup(
        server->by_socket, req->conn->callbacks->get_socket(req->conn));
    if (connection != NULL && req->processed_at.at.tv_sec != 0) {
        connection->active_at = (int64_t)uv_now(server->loop);
    }
    return 0;
}

/* Closes connections without input for SasCaller_READ_TIMEOUT_MS while none of
 * their requests is running. h2o's own limit counts from the start of a
 * request and would end slow but steady uploads; it is set to the longer
 * SasCaller_REQUEST_TIMEOUT_MS. */
static void
close_idle_senders(struct sas_h2o_server *server)
{
    int64_t now = (int64_t)uv_now(server->loop);
    server->config.http1.callbacks.foreach_request(&server->context,
                                                   note_running, server);
    GHashTableIter at;
    gpointer value;
    g_hash_table_iter_init(&at, server->by_socket);
    while (g_hash_table_iter_next(&at, NULL, &value)) {
        struct connection *connection = value;
        if (uv_is_closing((uv_handle_t *)&connection->tcp)) {
            continue;
        }
        const h2o_buffer_t *input = connection->socket->input;
        size_t held_bytes = input != NULL ? input->size : 0;
        if (held_bytes != connection->held_bytes) {
            connection->held_bytes = held_bytes;
            connection->active_at = now;
        }
        if (now - connection->active_at >= SasCaller_READ_TIMEOUT_MS) {
            /* h2o reads the end of the stream and closes. */
            shutdown(h2o_socket_get_fd(connection->socket), SHUT_RD);
        }
    }
}

/* h2o itself answers malformed requests, and counts them. */
static void
count_errors(struct sas_h2o_server *server)
{
    uint64_t sum = 0;
    for (int i = 0; i < H2O_STATUS_ERROR_MAX; i++) {
        sum += server->context.emitted_error_status[i];
    }
    SasMetrics_Add(server->metrics, server->http_errors,
                   sum - server->reported_errors);
    server->reported_errors = sum;
}

/* Periodic checks. Among them the limit of the sum of all bodies, since h2o
 * limits only each body: many large uploads at once would fill the memory of a
 * small VM, and its process would be killed with all requests in progress.
 * Over the limit only small bodies are accepted. */
static void
on_sweep(uv_timer_t *timer)
{
    struct sas_h2o_server *server = timer->data;
    count_errors(server);
    close_idle_senders(server);
    end_expired_lingers(server);
    size_t sum = 0;
    server->config.http1.callbacks.foreach_request(&server->context,
                                                   add_held_bytes, &sum);
    server->config.max_request_entity_size =
        sum > server->limits.bodies_limit
            ? MIN(server->limits.body_limit, SMALL_BODY_BYTES)
            : server->limits.body_limit;
    if (server->connections == 0 && server->lingering == NULL) {
        uv_timer_stop(timer);
    }
}

/* Requests. */

char *
SasH2oServer_CopyText(h2o_req_t *req, h2o_iovec_t text)
{
    return h2o_strdup(&req->pool, text.base, text.len).base;
}

const char *
SasH2oServer_GetHeader(h2o_req_t *req, const char *name)
{
    for (size_t i = 0; i < req->headers.size; i++) {
        const h2o_header_t *header = &req->headers.entries[i];
        if (header->name->len == strlen(name) &&
            strncasecmp(header->name->base, name, header->name->len) == 0) {
            return SasH2oServer_CopyText(req, header->value);
        }
    }
    return NULL;
}

char *
SasH2oServer_GetParameter(h2o_req_t *req, const char *name)
{
    if (req->query_at == SIZE_MAX) {
        return NULL;
    }
    char *query = SasH2oServer_CopyText(
        req, h2o_iovec_init(req->path.base + req->query_at + 1,
                            req->path.len - req->query_at - 1));
    size_t length = strlen(name);
    char *rest = NULL;
    for (char *part = strtok_r(query, "&", &rest); part != NULL;
         part = strtok_r(NULL, "&", &rest)) {
        if (strncmp(part, name, length) == 0 && part[length] == '=') {
            g_autofree char *decoded =
                g_uri_unescape_string(part + length + 1, NULL);
            if (decoded == NULL) {
                return NULL;
            }
            return SasH2oServer_CopyText(
                req, h2o_iovec_init(decoded, strlen(decoded)));
        }
    }
    return NULL;
}

void
SasH2oServer_AddHeader(h2o_req_t *req, const char *name, const char *value)
{
    h2o_iovec_t name_copy = h2o_strdup(&req->pool, name, strlen(name));
    h2o_iovec_t copy = h2o_strdup(&req->pool, value, strlen(value));
    h2o_strtolower(name_copy.base, name_copy.len);
    h2o_add_header_by_str(&req->pool, &req->res.headers, name_copy.base,
                          name_copy.len, 1, NULL, copy.base, copy.len);
}

void
SasH2oServer_Answer(h2o_req_t *req, int status, const char *content_type,
                    const char *body, size_t size)
{
    req->res.status = status;
    req->res.reason = SasHttp_GetReasonPhrase(status);
    SasH2oServer_AddHeader(req, "content-type", content_type);
    /* Without a length h2o ends answers with a status of 400 and more by
     * closing the connection, and a client can't tell them from truncated
     * ones. */
    req->res.content_length = size;
    h2o_send_inline(req, body, size);
}

uint32_t
SasH2oServer_GetCallerIp(h2o_req_t *req, char *text, size_t text_size)
{
    struct sockaddr_storage storage;
    socklen_t size = req->conn->callbacks->get_peername(
        req->conn, (struct sockaddr *)&storage);
    g_strlcpy(text, "unknown", text_size);
    if (size == 0) {
        return 0;
    }
    if (storage.ss_family == AF_INET6) {
        uv_ip6_name((struct sockaddr_in6 *)&storage, text, text_size);
        return 0;
    }
    struct sockaddr_in *address = (struct sockaddr_in *)&storage;
    uv_ip4_name(address, text, text_size);
    return ntohl(address->sin_addr.s_addr);
}

bool
SasH2oServer_IsGone(h2o_req_t *req)
{
    h2o_socket_t *socket = req->conn->callbacks->get_socket(req->conn);
    char byte;
    ssize_t count =
        recv(h2o_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 ||
           (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}
