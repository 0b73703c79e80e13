#include "peer_pool.h"

struct sas_peer_conn {
    struct sas_http_conn_listener owner;
    struct sas_peer_pool *pool;
    struct sas_http_conn *conn;
    struct sas_mesh_peer peer;
    bool idle;
    int64_t idle_since;
};

struct sas_peer_pool {
    uv_loop_t *loop;
    GPtrArray *conns; /* struct sas_peer_conn *, all of them */
};

static void
on_closed(struct sas_http_conn_listener *owner, struct sas_http_conn *conn)
{
    (void)conn;
    struct sas_peer_conn *peer_conn = (struct sas_peer_conn *)owner;
    g_ptr_array_remove_fast(peer_conn->pool->conns, peer_conn);
    g_free(peer_conn);
}

struct sas_peer_pool *
SasPeerPool_New(uv_loop_t *loop)
{
    struct sas_peer_pool *pool = g_new0(struct sas_peer_pool, 1);
    pool->loop = loop;
    pool->conns = g_ptr_array_new();
    return pool;
}

void
SasPeerPool_Free(struct sas_peer_pool *pool)
{
    while (pool->conns->len > 0) {
        SasPeerPool_Discard(pool->conns->pdata[pool->conns->len - 1]);
    }
    g_ptr_array_free(pool->conns, TRUE);
    g_free(pool);
}

static struct sas_peer_conn *
find_idle(const struct sas_peer_pool *pool, const struct sas_mesh_peer *peer)
{
    for (guint i = 0; i < pool->conns->len; i++) {
        struct sas_peer_conn *conn = pool->conns->pdata[i];
        if (conn->idle && conn->peer.member_id == peer->member_id &&
            conn->peer.incarnation == peer->incarnation &&
            SasHttp_IsIdle(conn->conn)) {
            return conn;
        }
    }
    return NULL;
}

struct sas_peer_conn *
SasPeerPool_Acquire(struct sas_peer_pool *pool,
                    const struct sas_mesh_peer *peer)
{
    struct sas_peer_conn *conn = find_idle(pool, peer);
    if (conn == NULL) {
        conn = g_new0(struct sas_peer_conn, 1);
        conn->owner.on_closed = on_closed;
        conn->pool = pool;
        conn->peer = *peer;
        conn->conn = SasHttp_Connect(pool->loop, &peer->address,
                                     SasPeerPool_CONNECT_MS, &conn->owner);
        g_ptr_array_add(pool->conns, conn);
    }
    conn->idle = false;
    return conn;
}

struct sas_http_conn *
SasPeerPool_GetConn(const struct sas_peer_conn *conn)
{
    return conn->conn;
}

void
SasPeerPool_Release(struct sas_peer_conn *conn)
{
    conn->idle = true;
    conn->idle_since = (int64_t)uv_now(conn->pool->loop);
}

void
SasPeerPool_Discard(struct sas_peer_conn *conn)
{
    SasHttp_Close(conn->conn);
}

void
SasPeerPool_Sweep(struct sas_peer_pool *pool)
{
    int64_t now_ms = (int64_t)uv_now(pool->loop);
    for (guint i = pool->conns->len; i > 0; i--) {
        struct sas_peer_conn *conn = pool->conns->pdata[i - 1];
        if (conn->idle && now_ms - conn->idle_since >= SasPeerPool_IDLE_MS) {
            SasPeerPool_Discard(conn);
        }
    }
}
