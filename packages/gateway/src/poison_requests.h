/* poison_requests - finds requests that crash the backend servers that run
 * them, and limits the damage.
 *
 * A caller whose request crashed a server retries it, and each time another
 * server goes down with all requests on it. A connection that is reset under a
 * request doesn't prove a crash: the reset may come from the network, or only
 * the answer may be lost. So a probe opens a new connection: if the server
 * accepts none it has crashed, and every request that ran there is a suspected
 * poison request. sas/quarantine.h counts the crashes. That the server
 * accepts no connection proves nothing while this entry VM's links to servers
 * are cut, so two more servers are probed as well.
 *
 * After one crash a request is still sent normally: of all the requests on a
 * crashed server at most one is to blame. After two crashes it only runs
 * isolated, on a server on which nothing else runs; after a crash there it is
 * refused for a minute. A whole answer from any server clears it, and an entry
 * VM that had one in the last 30 s clears the request for the others.
 *
 * Callers send such a request to any entry VM. Each one reports its crashes to
 * the request's coordinator, selected by rendezvous hashing of the
 * fingerprint, which broadcasts them once there are two. If the coordinator
 * dies, the next one counts from zero. Entry VMs also compare digests of their
 * crash records with each message and send the missing ones, so that they
 * reach members that have started, were frozen or lost a datagram.
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

/* False while no request is suspected, which is nearly always: no fingerprint
 * has to be computed then. */
bool SasPoisonRequests_HasAny(const struct sas_poison_requests *poison);

/* How the request may be sent: SAS_QUARANTINE_ALLOW, _ISOLATE or _REFUSE. */
enum sas_quarantine_decision
SasPoisonRequests_Check(struct sas_poison_requests *poison,
                        struct sas_fingerprint fingerprint);

/* The request's connection was lost while it may have run on the server at the
 * slot. isolated: no other request was known to run there. */
void SasPoisonRequests_NoteLost(struct sas_poison_requests *poison,
                                struct sas_fingerprint fingerprint, int slot,
                                bool isolated);

/* The request got a whole answer. */
void SasPoisonRequests_NoteCompleted(struct sas_poison_requests *poison,
                                     struct sas_fingerprint fingerprint);

/* A report of another entry VM: a crash or completion of a request, or its
 * whole crash record. */
void
SasPoisonRequests_ApplyUpdate(struct sas_poison_requests *poison,
                              const struct sas_mesh_poison_update *update);
void SasPoisonRequests_ApplyRecord(struct sas_poison_requests *poison,
                                   const struct sas_quarantine_entry *entry);

/* Sends member i, whose digest differs, the records of all requests that are
 * isolated or refused. Without them, an entry VM that has just started would
 * send these requests normally. */
void SasPoisonRequests_SendRecords(struct sas_poison_requests *poison, int i);

#endif
