/* place - which backend server of a region's list gets a request.
 *
 * The caller keeps one struct sas_place_server for each backend server that a
 * request may go to and asks a policy to pick one. The answer is an index
 * into that array, or SasModel_NONE when no usable server has room: the caller
 * then waits a little, spills to another region or refuses. A policy keeps no
 * pointer to the array and never looks at a clock; ages come in as
 * milliseconds. The figures that chose between them are in
 * docs/notes-placement.md.
 *
 * | name            | picks |
 * | --- | --- |
 * | random          | any server with room |
 * | round-robin     | the next one with room |
 * | least-in-flight | the fewest requests of this entry VM |
 * | two-choices     | the lower estimated load of two drawn at random |
 * | least-load      | the lowest estimated load of all |
 * | owned           | a free place of those that this entry VM owns, near
 * first | | owned-first     | an owned free place, else one that looks idle |
 * | cone            | the own failure domain while the imbalance stays in the
 *                     cone, else the lowest estimated load of all |
 *
 * The first three see only this entry VM's own requests. The estimated load
 * is the own requests plus the others' as last reported, where a report loses
 * weight with its age in favour of the mean over all servers: half of it
 * after SasPlace_HALF_LIFE_MS. A server that shed a request is to be entered
 * as full (reported_load = slots + queue), whatever it reports; owned-first
 * borrows nothing from it for SasPlace_SHED_MS.
 */
#ifndef SAS_PLACE_H
#define SAS_PLACE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "sas/limits.h"

#define SasPlace_HALF_LIFE_MS 30

/* For so long after a server shed a request, shed_lately is to be true. */
#define SasPlace_SHED_MS 1000

/* The cone of Zhou, Tan and Shroff, "Flexible Load Balancing with
 * Multi-dimensional State-space Collapse": the state is inside while the
 * shortest queue is at least this share of the longest. */
#define SasPlace_CONE 0.5

struct sas_place_server {
    int backend; /* handle */
    int slots;
    int queue;             /* requests that may wait at the server */
    int own_in_flight;     /* sent by this entry VM, not yet answered */
    double reported_load;  /* of the others: running and queued */
    int64_t report_age_ms; /* negative: never reported */
    int own_share;         /* slots of it that this entry VM owns */
    bool usable;           /* neither leaving, down, nor suspected */
    bool same_domain;      /* as this entry VM */
    bool cold;             /* started lately, serves slowly */
    bool shed_lately;      /* it refused a request of this entry VM */
};

struct sas_place_policy {
    int (*pick)(struct sas_place_policy *self,
                const struct sas_place_server *servers, int count,
                GRand *random);
};

/* NULL for an unknown name. */
struct sas_place_policy *SasPlace_Create(const char *name);
void SasPlace_Free(struct sas_place_policy *policy);

/* The name of policy number i, or NULL past the last. */
const char *SasPlace_GetName(int i);

/* Estimated load of each server, in requests; loads holds count numbers. */
void SasPlace_EstimateLoads(const struct sas_place_server *servers, int count,
                            double *loads);

#endif
