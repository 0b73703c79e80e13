/* relay - what happens to one caller's request.
 *
 * A request is refused at once, or sent to its object's owner and, where the
 * owner did not run it or the request may run twice, to the next server. A
 * refusal that says "not run" (503, 429, 408, 421) is given only when no
 * server can have begun to run it: every attempt either never left, or was
 * refused by the server with its own mark.
 *
 * Answers are taken whole before a byte goes to the caller, so that one that
 * breaks off never looks complete.
 */
#ifndef SAS_RELAY_H
#define SAS_RELAY_H

#include <uv.h>

#include "mesh.h"
#include "pool.h"
#include "sas/entry.h"
#include "sas/fleet.h"
#include "sas/http_server.h"
#include "sas/metrics.h"
#include "sas/steering.h"
#include "sas/stop.h"

struct sas_relay;
struct sas_source;

struct sas_relay_options {
    uv_loop_t *loop;
    struct sas_fleet *fleet;
    const struct sas_source *source; /* of the model */
    struct sas_pool *pool;
    struct sas_mesh *mesh;
    struct sas_metrics *metrics;
    const struct sas_entry_settings *settings;
    const struct sas_entry_wire *wire;
    struct sas_steering *steering; /* the operators' sheet */
};

struct sas_relay *SasRelay_New(const struct sas_relay_options *options);
void SasRelay_Free(struct sas_relay *relay);

/* The handler to give to the callers' HTTP server. */
struct sas_http_handler *SasRelay_GetHandler(struct sas_relay *relay);

/* The process is to end by this plan. From now on a request that the plan
 * doesn't take is refused as not run. */
void SasRelay_Stop(struct sas_relay *relay, const struct sas_stop_plan *plan);

/* Answers every request that has no answer yet: it may have run. */
void SasRelay_FailPending(struct sas_relay *relay);

#endif
