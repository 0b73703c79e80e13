/* view - what this entry VM believes just now, as JSON, for operators who
 * compare it with what another one believes.
 *
 * Members: vm, zone, now_ms, config (version, age_ms), vms (name, zone, state,
 * age_ms), servers (id, service, zone, state, load, load_age_ms, in_flight,
 * shunned_ms), zones (name, evacuated); with an object also owners, the ids
 * of its servers in order.
 */
#ifndef SAS_VIEW_H
#define SAS_VIEW_H

#include <jansson.h>

#include "mesh.h"
#include "sas/fleet.h"
#include "sas/steering.h"

/* service and object may be NULL: no owners. */
struct sas_view_options {
    const struct sas_fleet *fleet;
    const struct sas_mesh *mesh;
    const struct sas_steering *steering;
};

json_t *SasView_Make(const struct sas_view_options *options,
                     const char *service, const char *object, int64_t now_ms);

#endif
