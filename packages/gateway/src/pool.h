/* pool - kept connections to the backend servers.
 *
 * A connection carries one request at a time. Take gives an idle one or a new
 * one; the HTTP client tells the pool when it closes, and Give puts it back.
 * A connection that has been idle for nearly as long as its server keeps idle
 * ones is closed here first: a request sent across the server's close is lost
 * without a word of whether it ran.
 */
#ifndef SAS_POOL_H
#define SAS_POOL_H

#include <uv.h>

#include "sas/fleet.h"
#include "sas/http.h"

/* Where a server states no idle time. The shortest seen is 10 s. */
#define SasPool_IDLE_MS 8000

/* A server that has not accepted by then is taken for dead; a connection
 * across regions takes 50 ms. */
#define SasPool_CONNECT_MS 400

struct sas_pool;
struct sas_pooled;

struct sas_pool *SasPool_New(uv_loop_t *loop, struct sas_fleet *fleet);
void SasPool_Free(struct sas_pool *pool);

/* Rested for less than this a connection is taken for alive. The shortest
 * after which servers were seen to forget one without a word is 300 ms. */
#define SasPool_TRUSTED_IDLE_MS 250

/* A connection for one request to the server at the slot: one that has rested
 * for max_rest_ms at most, or a new one. */
struct sas_pooled *SasPool_Acquire(struct sas_pool *pool, int slot,
                                   int64_t max_idle_ms);

/* For how long it had rested when it was taken; 0: it was new. */
int64_t SasPool_GetIdleMs(const struct sas_pooled *pooled);
struct sas_http_conn *SasPool_GetConn(const struct sas_pooled *pooled);

/* After a whole answer; idle_ms is what the server said of idle connections,
 * 0 for nothing. */
void SasPool_Release(struct sas_pooled *pooled, int64_t keep_alive_ms);

/* Ends it with whatever runs on it. */
void SasPool_Discard(struct sas_pooled *pooled);

/* A server takes connections if one is opened and stays open for so long. */
#define SasPool_PROBE_HOLD_MS 200

/* Opens a connection to find out whether the server still takes one; it stays
 * in the pool. on_checked is called once, unless the pool is freed first. */
struct sas_pool_probe {
    void (*on_probed)(struct sas_pool_probe *probe, bool accepts_connections);
};

void SasPool_Probe(struct sas_pool *pool, int slot,
                   struct sas_pool_probe *probe);

/* Closes what has been idle for too long; call it every second or so. */
void SasPool_Sweep(struct sas_pool *pool);

#endif
