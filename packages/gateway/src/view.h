/* view - this entry VM's current view of the system as JSON, so that operators
 * can compare the views of several entry VMs.
 *
 * Fields: vm, zone, now_ms, config (version, age_ms, routes; null before the
 * first), vms (name, zone, state, age_ms), servers (id, service, zone, state,
 * load, load_age_ms, in_flight, shunned_ms), zones (name, evacuated); with an
 * object also owners, the ids of its servers in order of preference.
 */
#ifndef SAS_VIEW_H
#define SAS_VIEW_H

#include <jansson.h>

#include "mesh.h"
#include "sas/fleet.h"
#include "sas/steering.h"

struct sas_view_options {
    const struct sas_fleet *fleet;
    const struct sas_mesh *mesh;
    const struct sas_steering *steering;
};

/* A new reference. service and object may be NULL: then without owners. */
json_t *SasView_Make(const struct sas_view_options *options,
                     const char *service, const char *object, int64_t now_ms);

#endif
