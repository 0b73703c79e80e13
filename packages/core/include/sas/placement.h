/* placement - load balancing policies: which backend server gets a request.
 *
 * The caller fills in one struct sas_placement_server for each candidate
 * server and calls a policy's pick function. It returns an index into that
 * array, or SasModel_NONE when no eligible server has free capacity; the
 * caller then waits briefly, spills over to another region or refuses the
 * request. A policy keeps no pointer to the array and reads no clock.
 * docs/notes-placement.md compares the policies.
 *
 *   random           any server with free capacity
 *   round-robin      the next server with free capacity
 *   least-in-flight  the fewest requests in flight from this entry VM, per
 *                    execution slot
 *   two-choices      the lower estimated load of two drawn at random
 *   least-load       the lowest estimated load of all
 *   owned            a free slot among those that this entry VM owns, in its
 *                    own failure domain first
 *   owned-first      an owned free slot, else a server that looks idle
 *   cone             the own failure domain while the imbalance of loads
 *                    stays inside the cone, else the lowest estimated load
 *
 * The first three use only this entry VM's own requests. The estimated load is
 * the own requests plus the last reported load from other entry VMs. A report
 * decays exponentially with its age towards the mean over all servers, with
 * the half-life SasPlacement_HALF_LIFE_MS.
 *
 * The caller must enter a server that shed a request as full (reported_load =
 * slots + queue) whatever the server reports, and set shed_recently for
 * SasPlacement_SHED_MS; owned-first borrows no slot from it during that time.
 */
#ifndef SAS_PLACEMENT_H
#define SAS_PLACEMENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "sas/limits.h"

#define SasPlacement_HALF_LIFE_MS 30

/* How long shed_recently stays set after a server shed a request. */
#define SasPlacement_SHED_MS 1000

/* The cone of Zhou, Tan and Shroff, "Flexible Load Balancing with
 * Multi-dimensional State-space Collapse": the state is inside while the
 * shortest queue is at least this share of the longest. */
#define SasPlacement_CONE 0.5

struct sas_placement_server {
    int backend;           /* handle */
    int slots;             /* execution slots */
    int queue;             /* requests that may wait at the server */
    int own_in_flight;     /* sent by this entry VM, not yet answered */
    double reported_load;  /* from other entry VMs, running and queued */
    int64_t report_age_ms; /* negative: never reported */
    int owned_slots;       /* execution slots that this entry VM owns */
    bool eligible;         /* neither leaving, down, nor suspected */
    bool same_domain;      /* in this entry VM's failure domain */
    bool cold;             /* started recently, serves slowly */
    bool shed_recently;    /* refused a request of this entry VM */
};

struct sas_placement_policy {
    int (*pick)(struct sas_placement_policy *self,
                const struct sas_placement_server *servers, int count,
                GRand *random);
};

/* Returns the policy with that name, or NULL for an unknown one. */
struct sas_placement_policy *SasPlacement_Create(const char *name);
void SasPlacement_Free(struct sas_placement_policy *policy);

/* The name of policy number i, or NULL past the last. */
const char *SasPlacement_GetName(int i);

/* Fills in loads[0..count) with the estimated load of each server, in
 * requests. */
void SasPlacement_EstimateLoads(const struct sas_placement_server *servers,
                                int count, double *loads);

#endif
