/* The embedded store: a table of its own in this process's memory, for a
 * first try without a platform. Results come on the loop's next turn. */
#include "sas/store.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

struct row {
    char *value;
    size_t size;
    uint64_t version;
};

struct memory_store {
    struct sas_store base; /* first: the vtable */
    GHashTable *rows;      /* "t/KEY" or "o/KEY" -> struct row */
    GQueue pending;        /* of struct answer */
    uv_idle_t idle;
    uint64_t next_version;
};

struct answer {
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
on_idle(uv_idle_t *idle)
{
    struct memory_store *store = idle->data;
    struct answer *answer = g_queue_pop_head(&store->pending);
    if (answer == NULL) {
        uv_idle_stop(idle);
        return;
    }
    answer->call->on_result(answer->call, &answer->result);
    g_free(answer->value);
    g_free(answer);
}

static void
answer_later(struct memory_store *store, struct sas_store_call *call,
             enum sas_store_status status, const char *value, size_t size,
             uint64_t version)
{
    struct answer *answer = g_new0(struct answer, 1);
    answer->call = call;
    answer->value = g_malloc(size + 1);
    memcpy(answer->value, value, size);
    answer->value[size] = '\0';
    snprintf(answer->etag, sizeof(answer->etag), "\"%" PRIu64 "\"", version);
    answer->result.status = status;
    answer->result.value = answer->value;
    answer->result.size = size;
    answer->result.etag = answer->etag;
    g_queue_push_tail(&store->pending, answer);
    uv_idle_start(&store->idle, on_idle);
}

static char *
get_row_key(enum sas_store_space space, const char *key)
{
    return g_strdup_printf("%c/%s", space == SAS_STORE_TABLE ? 't' : 'o', key);
}

static void
memory_read(struct sas_store *base, enum sas_store_space space,
            const char *key, struct sas_store_call *call)
{
    struct memory_store *store = (struct memory_store *)base;
    g_autofree char *row_key = get_row_key(space, key);
    struct row *row = g_hash_table_lookup(store->rows, row_key);
    if (row == NULL) {
        answer_later(store, call, SAS_STORE_NOT_FOUND, "", 0, 0);
        return;
    }
    answer_later(store, call, SAS_STORE_OK, row->value, row->size,
                 row->version);
}

static void
memory_write(struct sas_store *base, enum sas_store_space space,
             const char *key, const char *value, size_t size,
             enum sas_store_condition condition, const char *etag,
             struct sas_store_call *call)
{
    struct memory_store *store = (struct memory_store *)base;
    g_autofree char *row_key = get_row_key(space, key);
    struct row *row = g_hash_table_lookup(store->rows, row_key);
    char current[SasStore_ETAG_SIZE] = "";
    if (row != NULL) {
        snprintf(current, sizeof(current), "\"%" PRIu64 "\"", row->version);
    }
    bool holds = condition == SAS_STORE_ABSENT
                     ? row == NULL
                     : row != NULL && strcmp(current, etag) == 0;
    if (!holds) {
        answer_later(store, call, SAS_STORE_CONFLICT, "", 0, 0);
        return;
    }
    struct row *fresh = g_new0(struct row, 1);
    fresh->value = g_malloc(size + 1);
    memcpy(fresh->value, value, size);
    fresh->value[size] = '\0';
    fresh->size = size;
    fresh->version = ++store->next_version;
    g_hash_table_replace(store->rows, g_steal_pointer(&row_key), fresh);
    answer_later(store, call, SAS_STORE_OK, "", 0, fresh->version);
}

static void
memory_read_vms(struct sas_store *base, struct sas_store_call *call)
{
    answer_later((struct memory_store *)base, call, SAS_STORE_OK,
                 "{\"vms\":[]}", strlen("{\"vms\":[]}"), 1);
}

static void
on_idle_closed(uv_handle_t *handle)
{
    struct memory_store *store = handle->data;
    g_free(store);
}

static void
memory_close(struct sas_store *base)
{
    struct memory_store *store = (struct memory_store *)base;
    struct answer *answer;
    while ((answer = g_queue_pop_head(&store->pending)) != NULL) {
        g_free(answer->value);
        g_free(answer);
    }
    g_hash_table_destroy(store->rows);
    uv_close((uv_handle_t *)&store->idle, on_idle_closed);
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
    g_queue_init(&store->pending);
    uv_idle_init(loop, &store->idle);
    store->idle.data = store;
    return &store->base;
}
