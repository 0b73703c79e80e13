/* peer_pool - keep-alive connections to other entry VMs, for requests that are
 * sent through them.
 *
 * Connections are opened when they are needed and closed soon after: an entry
 * VM that reaches the backend servers has none.
 */
#ifndef SAS_PEER_POOL_H
#define SAS_PEER_POOL_H

#include <uv.h>

#include "mesh.h"
#include "sas/http.h"

/* Connect timeout. A connection to another region takes 50 ms. */
#define SasPeerPool_CONNECT_MS 250

/* Longest idle time; well below that after which an entry VM closes it. */
#define SasPeerPool_IDLE_MS 2000

struct sas_peer_pool;
struct sas_peer_conn;

struct sas_peer_pool *SasPeerPool_New(uv_loop_t *loop);
void SasPeerPool_Free(struct sas_peer_pool *pool);

/* A connection for one request to the entry VM: an idle one or a new one. */
struct sas_peer_conn *SasPeerPool_Acquire(struct sas_peer_pool *pool,
                                          const struct sas_mesh_peer *peer);
struct sas_http_conn *SasPeerPool_GetConn(const struct sas_peer_conn *conn);

/* After a whole answer. */
void SasPeerPool_Release(struct sas_peer_conn *conn);

/* Closes it, along with the request on it. */
void SasPeerPool_Discard(struct sas_peer_conn *conn);

/* Closes connections that have been idle for too long; call it about twice a
 * second. */
void SasPeerPool_Sweep(struct sas_peer_pool *pool);

#endif
