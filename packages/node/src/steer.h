/* steer - which region and which backend server run a request, within the
 * budgets for regions, links, shifts and backend servers.
 *
 * Glue between the core's decisions (plan, lookup, budget, place, measure)
 * and the node's tasks. A grant takes units from every budget concerned;
 * it must be given back exactly once.
 */
#ifndef SAS_STEER_H
#define SAS_STEER_H

#include <stdbool.h>
#include <stdint.h>

#include "reasons.h"
#include "sas/model.h"

#define SasSteer_MAX_TRIED 4
#define SasSteer_MAX_LOOKUP_VMS 9

struct sas_steer_query {
    int service;
    uint32_t caller_ip; /* IPv4, host byte order */
    bool alone;         /* on a backend server where nothing else runs */
    int tried[SasSteer_MAX_TRIED];
    int tried_count;
    int64_t bytes; /* expected in both directions, 0 when unknown */
};

struct sas_steer_grant {
    int region;
    int backend;
    int shift; /* handle of the shift whose cap it counts under, or none */
    bool alone;
    bool cross_region;
};

enum sas_steer_answer {
    SAS_STEER_GRANTED,
    SAS_STEER_WAIT,   /* nothing free now; ask again when told */
    SAS_STEER_REFUSED /* see *reason */
};

struct sas_steer;

/* Takes units for one request, or says why not. */
enum sas_steer_answer SasSteer_Acquire(struct sas_steer *steer,
                                       const struct sas_steer_query *query,
                                       struct sas_steer_grant *grant,
                                       enum sas_refusal *reason);

/* Gives a grant back; elapsed_ms is how long the request ran there. */
void SasSteer_Release(struct sas_steer *steer, int service,
                      const struct sas_steer_grant *grant,
                      int64_t elapsed_ms);

/* Which entry VMs a caller should use for a service; -1 while there is no
 * configuration in force. */
struct sas_steer_lookup {
    int region;
    int64_t version;
    int lifetime_s;
    int vms[SasSteer_MAX_LOOKUP_VMS];
    int vm_count;
};

int SasSteer_Lookup(struct sas_steer *steer, int service, uint32_t caller_ip,
                    struct sas_steer_lookup *result);

/* The configuration version in force, 0 while there is none. */
int64_t SasSteer_GetVersion(const struct sas_steer *steer);

#endif
