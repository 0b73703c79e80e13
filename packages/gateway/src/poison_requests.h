/* suspects - requests that crash the backend servers that run them.
 *
 * A caller whose request crashed a server sends it again, and each time
 * another server goes down with everybody's requests on it. A connection that
 * breaks under a request may as well be a lost answer or a reset on the way;
 * a new connection to the server tells: where none is taken it has crashed,
 * and every request that ran there is a suspect. sas/quarantine.h counts.
 *
 * After one crash a request is sent on as ever: of the requests that were on
 * a crashed server all but one are innocent, and one success clears them.
 * After two it only goes to a server on which nothing else runs, and after
 * one more crash there nowhere for a minute. One whole answer anywhere ends
 * the suspicion, and whoever has had one in the last half minute vouches for
 * the request.
 *
 * The callers of such a request come to any entry VM. Each tells its crashes
 * to the keeper of the request, the entry VM that the fingerprint's hash
 * picks; the keeper tells all when there are two. If the keeper dies, the
 * next one counts anew. What is known of such requests is also compared with
 * each message between entry VMs, and who knows other crashes is told, so that
 * it reaches whoever starts, was frozen or missed a datagram, by anybody.
 */
#ifndef SAS_POISON_REQUESTS_H
#define SAS_POISON_REQUESTS_H

#include "mesh.h"
#include "pool.h"
#include "sas/fleet.h"
#include "sas/metrics.h"
#include "sas/quarantine.h"

struct sas_poison_requests;

struct sas_poison_requests *SasPoisonRequests_New(uv_loop_t *loop,
                                                  struct sas_fleet *fleet,
                                                  struct sas_pool *pool,
                                                  struct sas_mesh *mesh,
                                                  struct sas_metrics *metrics);
void SasPoisonRequests_Free(struct sas_poison_requests *poison);

/* False as long as no request is suspected, which is nearly always: then
 * nobody needs a fingerprint. */
bool SasPoisonRequests_HasAny(const struct sas_poison_requests *poison);

/* How the request may be sent: SAS_QUARANTINE_ALLOW, _ALONE (to a server
 * without other requests) or _REFUSE. */
enum sas_quarantine_verdict
SasPoisonRequests_Check(struct sas_poison_requests *poison,
                        struct sas_fingerprint fingerprint);

/* Its connection broke while it may have run on the server at the slot;
 * alone: nothing else was known to run there. */
void SasPoisonRequests_NoteLost(struct sas_poison_requests *poison,
                                struct sas_fingerprint fingerprint, int slot,
                                bool isolated);

/* It ran to a whole answer. */
void SasPoisonRequests_NoteCompleted(struct sas_poison_requests *poison,
                                     struct sas_fingerprint fingerprint);

/* What another entry VM says of a request: that it was in a crash or ran to
 * its end, or all that it knows. */
void
SasPoisonRequests_ApplyUpdate(struct sas_poison_requests *poison,
                              const struct sas_mesh_poison_update *update);
void SasPoisonRequests_ApplyRecord(struct sas_poison_requests *poison,
                                   const struct sas_quarantine_entry *entry);

/* Entry VM number i knows other requests, or other crashes of them: it is told
 * of all that run alone or nowhere. One that has just started would otherwise
 * send them as if nothing had been. */
void SasPoisonRequests_SendRecords(struct sas_poison_requests *poison, int i);

#endif
