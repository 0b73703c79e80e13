/* relay - handles callers' requests as a reverse proxy.
 *
 * A request is refused at once, or sent to the owner of its object. If the
 * owner did not run it, or it may run more than once, the next server is
 * tried. A status that promises "not run" (503, 429, 408, 421) is returned
 * only if no server can have run any part of the request: either nothing was
 * sent, or each server that got it refused it with its own header field.
 *
 * While this entry VM reaches no server of a service (sas/path.h), its
 * requests go through another one.
 *
 * An answer is buffered whole before it is sent to the caller, so that a
 * truncated one never looks complete.
 */
#ifndef SAS_RELAY_H
#define SAS_RELAY_H

#include <uv.h>

#include "mesh.h"
#include "peer_pool.h"
#include "pool.h"
#include "sas/entry.h"
#include "sas/fleet.h"
#include "sas/http_server.h"
#include "sas/metrics.h"
#include "sas/shutdown.h"
#include "sas/steering.h"

struct sas_relay;
struct sas_source;

struct sas_relay_options {
    uv_loop_t *loop;
    struct sas_fleet *fleet;
    const struct sas_source *source;
    struct sas_pool *pool;
    struct sas_peer_pool *peer_pool;
    struct sas_mesh *mesh;
    struct sas_metrics *metrics;
    const struct sas_entry_settings *settings;
    const struct sas_entry_wire *wire;
    struct sas_steering *steering; /* the operators' sheet */
    GRand *random;
};

struct sas_relay *SasRelay_New(const struct sas_relay_options *options);
void SasRelay_Free(struct sas_relay *relay);

/* The handler for the callers' HTTP server, and that for the other entry VMs':
 * it handles the requests that they send through this one, and passes all
 * others to the source's. */
struct sas_http_handler *SasRelay_GetHandler(struct sas_relay *relay);
struct sas_http_handler *SasRelay_GetPeerHandler(struct sas_relay *relay);

/* Requests of other entry VMs that have no answer yet. */
int SasRelay_CountRelayed(const struct sas_relay *relay);

/* Probes the paths to servers that are lost or in doubt; call it about twice a
 * second. */
void SasRelay_Sweep(struct sas_relay *relay);

/* Begins the shutdown: from now on requests that the plan doesn't admit are
 * refused as not run. */
void SasRelay_Stop(struct sas_relay *relay,
                   const struct sas_shutdown_plan *plan);

/* At the shutdown deadline: answers every pending request, with its fallback
 * answer or 502, since it may have run. */
void SasRelay_FailPending(struct sas_relay *relay);

#endif
