#include "pool.h"

#include <string.h>

#include "sas/carried_ids.h"

#define PROBE_CHECK_MS 50

struct sas_pooled {
    struct sas_http_conn_listener owner;
    struct sas_pool *pool;
    struct sas_http_conn *conn;
    struct sas_server_ref server;
    struct sas_pooled_facts facts;
    struct sas_carried_ids carried;
    bool unidentified; /* its request has no id */
    bool idle;
    int64_t idle_since;
    int64_t idle_limit_ms;
    int64_t was_idle_ms;          /* when it was last acquired */
    struct sas_pool_probe *probe; /* that uses the connection; NULL: none */
    int64_t opened_at;            /* 0: not connected yet */
};

struct sas_pool {
    struct sas_fleet_listener listener;
    uv_loop_t *loop;
    struct sas_fleet *fleet;
    GPtrArray *by_slot;      /* GPtrArray of struct sas_pooled, oldest first */
    uv_timer_t *probe_timer; /* runs while there are probes */
    int probe_count;
    int64_t opened_count;
};

static void
on_closed(struct sas_http_conn_listener *owner, struct sas_http_conn *conn)
{
    (void)conn;
    struct sas_pooled *pooled = (struct sas_pooled *)owner;
    GPtrArray *list = pooled->pool->by_slot->pdata[pooled->server.slot];
    g_ptr_array_remove(list, pooled);
    struct sas_pool *pool = pooled->pool;
    struct sas_pool_probe *probe = pooled->probe;
    SasCarriedIds_Close(&pooled->carried);
    g_free(pooled);
    if (probe != NULL) {
        pool->probe_count--;
        probe->on_probed(probe, false);
    }
}

static void
end_probe(struct sas_pooled *pooled)
{
    struct sas_pool_probe *probe = pooled->probe;
    pooled->probe = NULL;
    pooled->pool->probe_count--;
    SasPool_Release(pooled, 0);
    probe->on_probed(probe, true);
}

/* A middlebox may accept the connection in the server's place and close it at
 * once. So a probe only succeeds if the connection stays open, see
 * on_probe_timer.
 */
static void
on_opened(struct sas_http_conn_listener *owner, struct sas_http_conn *conn)
{
    (void)conn;
    struct sas_pooled *pooled = (struct sas_pooled *)owner;
    pooled->opened_at = (int64_t)uv_now(pooled->pool->loop);
    if (pooled->probe != NULL && pooled->probe->without_hold) {
        end_probe(pooled);
    }
}

/* Connections with a request on them stay open: a leaving server still answers
 * its pending requests. */
static void
on_server_gone(struct sas_fleet_listener *listener, int slot)
{
    struct sas_pool *pool = (struct sas_pool *)listener;
    if (slot >= (int)pool->by_slot->len) {
        return;
    }
    GPtrArray *list = pool->by_slot->pdata[slot];
    for (guint i = list->len; i > 0; i--) {
        struct sas_pooled *pooled = list->pdata[i - 1];
        if (pooled->idle) {
            SasHttp_Close(pooled->conn);
        }
    }
}

static void
free_list(gpointer data)
{
    g_ptr_array_free(data, TRUE);
}

struct sas_pool *
SasPool_New(uv_loop_t *loop, struct sas_fleet *fleet)
{
    struct sas_pool *pool = g_new0(struct sas_pool, 1);
    pool->listener.on_server_gone = on_server_gone;
    pool->loop = loop;
    pool->fleet = fleet;
    pool->by_slot = g_ptr_array_new_with_free_func(free_list);
    pool->probe_timer = g_new0(uv_timer_t, 1);
    uv_timer_init(loop, pool->probe_timer);
    pool->probe_timer->data = pool;
    SasFleet_AddListener(fleet, &pool->listener);
    return pool;
}

static void
on_timer_closed(uv_handle_t *handle)
{
    g_free(handle);
}

void
SasPool_Free(struct sas_pool *pool)
{
    for (guint slot = 0; slot < pool->by_slot->len; slot++) {
        GPtrArray *list = pool->by_slot->pdata[slot];
        while (list->len > 0) {
            struct sas_pooled *pooled = list->pdata[list->len - 1];
            pooled->probe = NULL;
            SasHttp_Close(pooled->conn);
        }
    }
    g_ptr_array_free(pool->by_slot, TRUE);
    uv_close((uv_handle_t *)pool->probe_timer, on_timer_closed);
    g_free(pool);
}

static struct sas_pooled *
find_idle(GPtrArray *list, struct sas_server_ref server,
          const char *request_id, int64_t now_ms, int64_t max_idle_ms)
{
    /* The most recently used one, so that surplus ones reach their idle limit
     * and are closed. */
    for (guint i = list->len; i > 0; i--) {
        struct sas_pooled *pooled = list->pdata[i - 1];
        if (pooled->idle && pooled->server.generation == server.generation &&
            now_ms - pooled->idle_since <= max_idle_ms &&
            !SasCarriedIds_Has(&pooled->carried, request_id, now_ms) &&
            SasHttp_IsIdle(pooled->conn)) {
            g_ptr_array_remove_index(list, i - 1);
            return pooled;
        }
    }
    return NULL;
}

static GPtrArray *
get_list(struct sas_pool *pool, int slot)
{
    while ((int)pool->by_slot->len <= slot) {
        g_ptr_array_add(pool->by_slot, g_ptr_array_new());
    }
    return pool->by_slot->pdata[slot];
}

static struct sas_pooled *
open_new(struct sas_pool *pool, int slot)
{
    struct sas_pooled *pooled = g_new0(struct sas_pooled, 1);
    pooled->owner.on_opened = on_opened;
    pooled->owner.on_closed = on_closed;
    pooled->pool = pool;
    pooled->facts.number = ++pool->opened_count;
    pooled->server = SasFleet_GetRef(pool->fleet, slot);
    pooled->conn = SasHttp_Connect(
        pool->loop, &SasFleet_At(pool->fleet, slot)->facts.address,
        SasPool_CONNECT_MS, &pooled->owner);
    return pooled;
}

struct sas_pooled *
SasPool_Acquire(struct sas_pool *pool, int slot, const char *request_id,
                int64_t max_idle_ms)
{
    GPtrArray *list = get_list(pool, slot);
    struct sas_server_ref server = SasFleet_GetRef(pool->fleet, slot);
    int64_t now_ms = (int64_t)uv_now(pool->loop);
    struct sas_pooled *pooled =
        find_idle(list, server, request_id, now_ms, max_idle_ms);
    if (pooled != NULL) {
        pooled->was_idle_ms = now_ms - pooled->idle_since;
    }
    else {
        pooled = open_new(pool, slot);
    }
    pooled->idle = false;
    pooled->facts.nth++;
    pooled->unidentified = request_id[0] == '\0';
    SasCarriedIds_Note(&pooled->carried, request_id, now_ms);
    g_ptr_array_add(list, pooled);
    return pooled;
}

/* Ends the probes whose connection has stayed open. */
static void
end_probes(struct sas_pool *pool, GPtrArray *list)
{
    int64_t now_ms = (int64_t)uv_now(pool->loop);
    for (guint i = list->len; i > 0; i--) {
        struct sas_pooled *pooled = list->pdata[i - 1];
        if (pooled->probe != NULL && pooled->opened_at > 0 &&
            now_ms - pooled->opened_at >= SasPool_PROBE_HOLD_MS) {
            end_probe(pooled);
        }
    }
}

static void
on_probe_timer(uv_timer_t *timer)
{
    struct sas_pool *pool = timer->data;
    for (guint slot = 0; slot < pool->by_slot->len; slot++) {
        end_probes(pool, pool->by_slot->pdata[slot]);
    }
    if (pool->probe_count == 0) {
        uv_timer_stop(timer);
    }
}

void
SasPool_Probe(struct sas_pool *pool, int slot, struct sas_pool_probe *probe)
{
    struct sas_pooled *pooled = open_new(pool, slot);
    pooled->probe = probe;
    g_ptr_array_add(get_list(pool, slot), pooled);
    pool->probe_count++;
    if (!uv_is_active((uv_handle_t *)pool->probe_timer)) {
        uv_timer_start(pool->probe_timer, on_probe_timer, PROBE_CHECK_MS,
                       PROBE_CHECK_MS);
    }
}

struct sas_pooled_facts
SasPool_GetFacts(const struct sas_pooled *pooled)
{
    return pooled->facts;
}

int64_t
SasPool_GetIdleMs(const struct sas_pooled *pooled)
{
    return pooled->was_idle_ms;
}

struct sas_http_conn *
SasPool_GetConn(const struct sas_pooled *pooled)
{
    return pooled->conn;
}

void
SasPool_Release(struct sas_pooled *pooled, int64_t keep_alive_ms)
{
    struct sas_pool *pool = pooled->pool;
    int64_t now_ms = (int64_t)uv_now(pool->loop);
    if (SasFleet_GetServer(pool->fleet, pooled->server) == NULL ||
        pooled->unidentified ||
        SasCarriedIds_IsFull(&pooled->carried, now_ms)) {
        SasHttp_Close(pooled->conn);
        return;
    }
    pooled->idle = true;
    pooled->idle_since = now_ms;
    /* A fifth less than the server states: its timeout began earlier. */
    pooled->idle_limit_ms = keep_alive_ms > 0
                                ? MIN(keep_alive_ms * 4 / 5, SasPool_IDLE_MS)
                                : SasPool_IDLE_MS;
}

void
SasPool_Discard(struct sas_pooled *pooled)
{
    SasHttp_Close(pooled->conn);
}

static void
sweep_one(struct sas_pooled *pooled, int64_t now_ms)
{
    if (pooled->idle && now_ms - pooled->idle_since >= pooled->idle_limit_ms) {
        SasHttp_Close(pooled->conn);
    }
}

void
SasPool_Sweep(struct sas_pool *pool)
{
    int64_t now_ms = (int64_t)uv_now(pool->loop);
    for (guint slot = 0; slot < pool->by_slot->len; slot++) {
        GPtrArray *list = pool->by_slot->pdata[slot];
        for (guint i = list->len; i > 0; i--) {
            sweep_one(list->pdata[i - 1], now_ms);
        }
    }
}
