/* pool - keep-alive connections to the backend servers.
 *
 * A connection carries one request at a time. Acquire returns an idle one or
 * opens a new one, Release puts it back; the HTTP client notifies the pool
 * when it closes. The pool closes an idle connection shortly before its server
 * would: if a request crosses the server's close, nobody can tell whether it
 * ran.
 *
 * It also sees to it that the request's id tells its answer from all others on
 * the connection (see sas/carried_ids.h). An answer without an id can't be
 * told from another one; so a connection that has carried a request without an
 * id is not used again.
 */
#ifndef SAS_POOL_H
#define SAS_POOL_H

#include <uv.h>

#include "sas/fleet.h"
#include "sas/http.h"

/* Longest idle time of a connection, also if its server states none: servers
 * close idle ones after 10 s or more. */
#define SasPool_IDLE_MS 8000

/* Connect timeout. A connection to another region takes 50 ms. */
#define SasPool_CONNECT_MS 400

struct sas_pool;
struct sas_pooled;

struct sas_pool *SasPool_New(uv_loop_t *loop, struct sas_fleet *fleet);
void SasPool_Free(struct sas_pool *pool);

/* A connection that was idle for less than this counts as alive. Servers may
 * drop idle ones without notice after 300 ms. */
#define SasPool_TRUSTED_IDLE_MS 250

/* A connection for one request to the server at the slot of the fleet table:
 * the latest one that has been idle for at most max_idle_ms and hasn't carried
 * the id, or a new one. request_id: "" if the request has none. */
struct sas_pooled *SasPool_Acquire(struct sas_pool *pool, int slot,
                                   const char *request_id,
                                   int64_t max_idle_ms);

/* What tells a connection from the others in the log. */
struct sas_pooled_facts {
    int64_t number; /* of the connection, in the order of their opening */
    int nth;        /* of the request on it; the first is 1 */
};
struct sas_pooled_facts SasPool_GetFacts(const struct sas_pooled *pooled);

/* How long it had been idle when it was acquired; 0: it was new. */
int64_t SasPool_GetIdleMs(const struct sas_pooled *pooled);
struct sas_http_conn *SasPool_GetConn(const struct sas_pooled *pooled);

/* After a whole answer. keep_alive_ms is the server's timeout for idle
 * connections, 0 if it states none. Closes the connection if the server has
 * left the fleet, the request had no id, or the connection has carried too
 * many. */
void SasPool_Release(struct sas_pooled *pooled, int64_t keep_alive_ms);

/* Closes it, along with the request on it. */
void SasPool_Discard(struct sas_pooled *pooled);

/* A server accepts connections if a new one stays open for this time. */
#define SasPool_PROBE_HOLD_MS 200

/* Opens a connection to find out whether the server still accepts them; it
 * stays in the pool. on_probed is called once, unless the pool is freed first.
 */
struct sas_pool_probe {
    void (*on_probed)(struct sas_pool_probe *probe, bool accepts_connections);
    bool without_hold; /* the connection need not stay open */
};

void SasPool_Probe(struct sas_pool *pool, int slot,
                   struct sas_pool_probe *probe);

/* Closes connections that have been idle for too long; call it about twice a
 * second. */
void SasPool_Sweep(struct sas_pool *pool);

#endif
