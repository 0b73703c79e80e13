/* The embedded store: a table in the memory of the process, for trials without
 * a platform. Results are delivered from the loop, one per iteration. */
#include "sas/store.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

struct row {
    char *value;
    size_t size;
    uint64_t version; /* the ETag, without quotes */
};

struct memory_store {
    struct sas_store base; /* first: the vtable */
    GHashTable *rows;      /* "t/KEY" or "o/KEY" -> struct row */
    GQueue results;        /* of struct pending_result */
    uv_idle_t deferred;    /* delivers the results */
    uint64_t next_version;
};

struct pending_result {
    struct sas_store_call *call;
    struct sas_store_result result;
    char *value;
    char etag[SasStore_ETAG_SIZE];
};

static void
free_row(gpointer data)
{
    struct row *row = data;
    g_free(row->value);
    g_free(row);
}

static void
on_deferred(uv_idle_t *handle)
{
    struct memory_store *store = handle->data;
    struct pending_result *pending = g_queue_pop_head(&store->results);
    if (pending == NULL) {
        uv_idle_stop(handle);
        return;
    }
    pending->call->on_result(pending->call, &pending->result);
    g_free(pending->value);
    g_free(pending);
}

static void
queue_result(struct memory_store *store, struct sas_store_call *call,
             enum sas_store_status status, const char *value, size_t size,
             uint64_t version)
{
    struct pending_result *pending = g_new0(struct pending_result, 1);
    pending->call = call;
    pending->value = g_malloc(size + 1);
    memcpy(pending->value, value, size);
    pending->value[size] = '\0';
    snprintf(pending->etag, sizeof(pending->etag), "\"%" PRIu64 "\"", version);
    pending->result.status = status;
    pending->result.value = pending->value;
    pending->result.size = size;
    pending->result.etag = pending->etag;
    g_queue_push_tail(&store->results, pending);
    uv_idle_start(&store->deferred, on_deferred);
}

static char *
create_row_key(enum sas_store_namespace space, const char *key)
{
    return g_strdup_printf("%c/%s", space == SAS_STORE_TABLE ? 't' : 'o', key);
}

static void
memory_read(struct sas_store *base, enum sas_store_namespace space,
            const char *key, struct sas_store_call *call)
{
    struct memory_store *store = (struct memory_store *)base;
    g_autofree char *row_key = create_row_key(space, key);
    struct row *row = g_hash_table_lookup(store->rows, row_key);
    if (row == NULL) {
        queue_result(store, call, SAS_STORE_NOT_FOUND, "", 0, 0);
        return;
    }
    queue_result(store, call, SAS_STORE_OK, row->value, row->size,
                 row->version);
}

static void
memory_write(struct sas_store *base, enum sas_store_namespace space,
             const char *key, const char *value, size_t size,
             enum sas_store_condition condition, const char *etag,
             struct sas_store_call *call)
{
    struct memory_store *store = (struct memory_store *)base;
    g_autofree char *row_key = create_row_key(space, key);
    struct row *row = g_hash_table_lookup(store->rows, row_key);
    char current_etag[SasStore_ETAG_SIZE] = "";
    if (row != NULL) {
        snprintf(current_etag, sizeof(current_etag), "\"%" PRIu64 "\"",
                 row->version);
    }
    bool condition_holds =
        condition == SAS_STORE_IF_ABSENT
            ? row == NULL
            : row != NULL && strcmp(current_etag, etag) == 0;
    if (!condition_holds) {
        queue_result(store, call, SAS_STORE_CONFLICT, "", 0, 0);
        return;
    }
    struct row *new_row = g_new0(struct row, 1);
    new_row->value = g_malloc(size + 1);
    memcpy(new_row->value, value, size);
    new_row->value[size] = '\0';
    new_row->size = size;
    new_row->version = ++store->next_version;
    g_hash_table_replace(store->rows, g_steal_pointer(&row_key), new_row);
    queue_result(store, call, SAS_STORE_OK, "", 0, new_row->version);
}

static void
memory_read_vms(struct sas_store *base, struct sas_store_call *call)
{
    queue_result((struct memory_store *)base, call, SAS_STORE_OK,
                 "{\"vms\":[]}", strlen("{\"vms\":[]}"), 1);
}

static void
on_deferred_closed(uv_handle_t *handle)
{
    struct memory_store *store = handle->data;
    g_free(store);
}

static void
memory_close(struct sas_store *base)
{
    struct memory_store *store = (struct memory_store *)base;
    struct pending_result *pending;
    while ((pending = g_queue_pop_head(&store->results)) != NULL) {
        g_free(pending->value);
        g_free(pending);
    }
    g_hash_table_destroy(store->rows);
    uv_close((uv_handle_t *)&store->deferred, on_deferred_closed);
}

static const struct sas_store_vtable memory_vtable = {
    .read = memory_read,
    .write = memory_write,
    .read_vms = memory_read_vms,
    .close = memory_close,
};

struct sas_store *
SasStore_OpenMemory(uv_loop_t *loop)
{
    struct memory_store *store = g_new0(struct memory_store, 1);
    store->base.vtable = &memory_vtable;
    store->rows =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_row);
    g_queue_init(&store->results);
    uv_idle_init(loop, &store->deferred);
    store->deferred.data = store;
    return &store->base;
}
