/* The store over HTTP: a connection pool with a bounded queue of operations
 * that wait for a free connection. */
#include "sas/store.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "sas/http.h"

#define CONNECT_TIMEOUT_MS 500

/* Parts of an answer that exceed it are dropped; the result stays OK. */
#define MAX_VALUE_BYTES (32u * 1024 * 1024)

/* A write whose acknowledgement is lost has to be read back. So it takes a
 * pooled connection only if that received data within this time, else a new
 * one. */
#define MAX_IDLE_FOR_WRITE_MS 1000

struct http_store {
    struct sas_store base;               /* first: the vtable */
    struct sas_http_conn_listener owner; /* callbacks of all connections */
    uv_loop_t *loop;
    struct sas_address address;
    GQueue idle; /* of struct sas_http_conn, the last used first */
    int open_connections;
    GQueue queued;      /* of struct operation */
    GList *in_flight;   /* of struct operation */
    uv_idle_t deferred; /* fails the refused operations */
    GQueue refused;     /* of struct operation; queue full or timed out */
    bool closing;
};

struct operation {
    struct sas_http_listener listener; /* first: the vtable */
    struct http_store *store;
    struct sas_store_call *call;
    struct sas_http_conn *conn;
    bool is_write;
    bool on_reused_connection;
    bool retried;
    char *target;
    char *value;
    size_t size;
    char condition_name[16];
    char condition_value[SasStore_ETAG_SIZE];
    int64_t queued_at; /* loop milliseconds */
    int http_status;   /* 0 before the answer's head */
    char etag[SasStore_ETAG_SIZE];
    GString *body;
};

static void start_next(struct http_store *store);

static void
free_operation(struct operation *operation)
{
    g_free(operation->target);
    g_free(operation->value);
    g_string_free(operation->body, TRUE);
    g_free(operation);
}

static void
deliver(struct operation *operation, enum sas_store_status status,
        const struct sas_error *error)
{
    struct sas_store_result result = {
        .status = status,
        .value = operation->body->str,
        .size = operation->body->len,
        .etag = operation->etag,
    };
    if (error != NULL) {
        result.error = *error;
    }
    operation->call->on_result(operation->call, &result);
    free_operation(operation);
}

static void
on_head(struct sas_http_listener *listener, int status,
        const struct sas_http_header *headers, int header_count)
{
    struct operation *operation = (struct operation *)listener;
    operation->http_status = status;
    const char *etag = SasHttp_FindHeader(headers, header_count, "etag");
    snprintf(operation->etag, sizeof(operation->etag), "%s",
             etag != NULL ? etag : "");
}

static void
on_body(struct sas_http_listener *listener, const char *data, size_t size)
{
    struct operation *operation = (struct operation *)listener;
    if (operation->body->len + size <= MAX_VALUE_BYTES) {
        g_string_append_len(operation->body, data, (gssize)size);
    }
}

static void
on_end(struct sas_http_listener *listener, bool whole, bool reusable)
{
    struct operation *operation = (struct operation *)listener;
    struct http_store *store = operation->store;
    store->in_flight = g_list_remove(store->in_flight, operation);
    if (reusable) {
        g_queue_push_head(&store->idle, operation->conn);
    }
    enum sas_store_status status = SAS_STORE_UNKNOWN;
    if (whole && operation->http_status / 100 == 2) {
        status = SAS_STORE_OK;
    }
    else if (whole && operation->http_status == 404 && !operation->is_write) {
        status = SAS_STORE_NOT_FOUND;
    }
    else if (whole && operation->http_status == 412) {
        status = SAS_STORE_CONFLICT;
    }
    struct sas_error error = {.code = SAS_OK};
    if (status == SAS_STORE_UNKNOWN) {
        SasError_Set(&error, SAS_EIO, "store.answer", store->address.ip,
                     "status %d", operation->http_status);
    }
    deliver(operation, status, &error);
    start_next(store);
}

static void
on_fail(struct sas_http_listener *listener,
        const struct sas_http_failure *failure)
{
    struct operation *operation = (struct operation *)listener;
    struct http_store *store = operation->store;
    store->in_flight = g_list_remove(store->in_flight, operation);
    /* The server or a middlebox may have dropped a pooled connection while it
     * was idle. A read is idempotent, so it is retried once; the idle
     * connections are closed before, as they may be dead, too. */
    if (operation->on_reused_connection && !operation->is_write &&
        !operation->retried) {
        operation->retried = true;
        g_string_truncate(operation->body, 0);
        while (!g_queue_is_empty(&store->idle)) {
            SasHttp_Close(g_queue_peek_head(&store->idle));
        }
        g_queue_push_head(&store->queued, operation);
        start_next(store);
        return;
    }
    deliver(operation,
            failure->sent ? SAS_STORE_UNKNOWN : SAS_STORE_UNAVAILABLE,
            &failure->error);
    start_next(store);
}

static const struct sas_http_listener_vtable operation_vtable = {
    .on_head = on_head,
    .on_body = on_body,
    .on_end = on_end,
    .on_fail = on_fail,
};

static void
on_conn_closed(struct sas_http_conn_listener *owner,
               struct sas_http_conn *conn)
{
    struct http_store *store =
        (struct http_store *)((char *)owner -
                              offsetof(struct http_store, owner));
    g_queue_remove(&store->idle, conn);
    store->open_connections--;
}

static void
start(struct http_store *store, struct operation *operation)
{
    struct sas_http_conn *conn = g_queue_pop_head(&store->idle);
    if (conn != NULL && operation->is_write &&
        (int64_t)uv_now(store->loop) - SasHttp_GetLastReadAt(conn) >
            MAX_IDLE_FOR_WRITE_MS) {
        SasHttp_Close(conn);
        conn = NULL;
    }
    operation->on_reused_connection = conn != NULL;
    if (conn == NULL) {
        conn = SasHttp_Connect(store->loop, &store->address,
                               CONNECT_TIMEOUT_MS, &store->owner);
        store->open_connections++;
    }
    operation->conn = conn;
    store->in_flight = g_list_prepend(store->in_flight, operation);
    struct sas_http_header header = {operation->condition_name,
                                     operation->condition_value};
    struct sas_http_request request = {
        .method = operation->is_write ? "PUT" : "GET",
        .target = operation->target,
        .headers = &header,
        .header_count = operation->is_write ? 1 : 0,
        .body = operation->value,
        .body_size = operation->size,
    };
    SasHttp_Send(conn, &request, SasStore_TIMEOUT_MS, &operation->listener);
}

/* Starts queued operations while the pool has connections. Those that timed
 * out in the queue move to refused; only enqueue starts the handle that fails
 * them. */
static void
start_next(struct http_store *store)
{
    while (!g_queue_is_empty(&store->queued) && !store->closing) {
        if (g_queue_is_empty(&store->idle) &&
            store->open_connections >= SasStore_MAX_CONNECTIONS) {
            return;
        }
        struct operation *operation = g_queue_pop_head(&store->queued);
        if ((int64_t)uv_now(store->loop) - operation->queued_at >
            SasStore_TIMEOUT_MS) {
            g_queue_push_tail(&store->refused, operation);
            continue;
        }
        start(store, operation);
    }
}

/* Fails one refused operation per iteration of the loop. */
static void
on_deferred(uv_idle_t *handle)
{
    struct http_store *store = handle->data;
    struct operation *operation = g_queue_pop_head(&store->refused);
    if (operation == NULL) {
        uv_idle_stop(handle);
        return;
    }
    struct sas_error error;
    SasError_Set(&error, SAS_EUNAVAILABLE, "store.queue", store->address.ip,
                 "store queue is full or the call timed out in it");
    deliver(operation, SAS_STORE_UNAVAILABLE, &error);
}

static struct operation *
create_operation(struct sas_store *base, const char *space, const char *key,
                 struct sas_store_call *call)
{
    struct http_store *store = (struct http_store *)base;
    struct operation *operation = g_new0(struct operation, 1);
    operation->listener.vtable = &operation_vtable;
    operation->store = store;
    operation->call = call;
    operation->target = g_strdup_printf("/%s%s", space, key);
    operation->body = g_string_new(NULL);
    operation->queued_at = (int64_t)uv_now(store->loop);
    return operation;
}

static void
enqueue(struct http_store *store, struct operation *operation)
{
    if (g_queue_get_length(&store->queued) >= SasStore_MAX_QUEUED) {
        g_queue_push_tail(&store->refused, operation);
    }
    else {
        g_queue_push_tail(&store->queued, operation);
        start_next(store);
    }
    if (!g_queue_is_empty(&store->refused)) {
        uv_idle_start(&store->deferred, on_deferred);
    }
}

static const char *
get_space_name(enum sas_store_namespace space)
{
    return space == SAS_STORE_TABLE ? "table/" : "objects/";
}

static void
http_read(struct sas_store *base, enum sas_store_namespace space,
          const char *key, struct sas_store_call *call)
{
    enqueue((struct http_store *)base,
            create_operation(base, get_space_name(space), key, call));
}

static void
http_write(struct sas_store *base, enum sas_store_namespace space,
           const char *key, const char *value, size_t size,
           enum sas_store_condition condition, const char *etag,
           struct sas_store_call *call)
{
    struct operation *operation =
        create_operation(base, get_space_name(space), key, call);
    operation->is_write = true;
    operation->value = g_memdup2(value, size);
    operation->size = size;
    bool absent = condition == SAS_STORE_IF_ABSENT;
    snprintf(operation->condition_name, sizeof(operation->condition_name),
             "%s", absent ? "If-None-Match" : "If-Match");
    snprintf(operation->condition_value, sizeof(operation->condition_value),
             "%s", absent ? "*" : etag);
    enqueue((struct http_store *)base, operation);
}

static void
http_read_vms(struct sas_store *base, struct sas_store_call *call)
{
    enqueue((struct http_store *)base,
            create_operation(base, "", "vms", call));
}

static void
on_deferred_closed(uv_handle_t *handle)
{
    struct http_store *store = handle->data;
    g_free(store);
}

static void
http_close(struct sas_store *base)
{
    struct http_store *store = (struct http_store *)base;
    store->closing = true;
    struct operation *operation;
    while (store->in_flight != NULL) {
        operation = store->in_flight->data;
        SasHttp_Close(operation->conn);
        store->in_flight =
            g_list_delete_link(store->in_flight, store->in_flight);
        free_operation(operation);
    }
    while ((operation = g_queue_pop_head(&store->queued)) != NULL) {
        free_operation(operation);
    }
    while ((operation = g_queue_pop_head(&store->refused)) != NULL) {
        free_operation(operation);
    }
    while (!g_queue_is_empty(&store->idle)) {
        SasHttp_Close(g_queue_peek_head(&store->idle));
    }
    uv_close((uv_handle_t *)&store->deferred, on_deferred_closed);
}

static const struct sas_store_vtable http_vtable = {
    .read = http_read,
    .write = http_write,
    .read_vms = http_read_vms,
    .close = http_close,
};

struct sas_store *
SasStore_OpenHttp(uv_loop_t *loop, const struct sas_address *address)
{
    struct http_store *store = g_new0(struct http_store, 1);
    store->base.vtable = &http_vtable;
    store->owner.on_closed = on_conn_closed;
    store->loop = loop;
    store->address = *address;
    g_queue_init(&store->idle);
    g_queue_init(&store->queued);
    g_queue_init(&store->refused);
    uv_idle_init(loop, &store->deferred);
    store->deferred.data = store;
    return &store->base;
}
