/* endpoints - HTTP handlers for callers' lookups of entry VMs, and for
 * operators: readiness, metrics and the view of the system.
 *
 * Callers and operators have separate handlers on separate ports, so that
 * callers can't read internal state.
 */
#ifndef SAS_ENDPOINTS_H
#define SAS_ENDPOINTS_H

#include "mesh.h"
#include "sas/entry.h"
#include "sas/fleet.h"
#include "sas/http_server.h"
#include "sas/metrics.h"
#include "sas/steering.h"

struct sas_endpoints {
    struct sas_http_handler callers;
    struct sas_http_handler operators;
    uv_loop_t *loop;
    struct sas_fleet *fleet;
    struct sas_mesh *mesh;
    struct sas_metrics *metrics;
    const struct sas_steering *steering;
    const struct sas_entry_settings *settings;
    const struct sas_entry_wire *wire;
    bool ready;
    bool leaving;
};

void SasEndpoints_Init(struct sas_endpoints *endpoints);

#endif
