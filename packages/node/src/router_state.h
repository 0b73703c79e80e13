/* router_state - the router's private state and internal functions.
 *
 * router.c opens, answers lookups and describes; router_updates.c applies
 * updates from the sheet, the platform, the peers and the backend servers;
 * router_acquire.c chooses a backend server and acquires budget units.
 */
#ifndef SAS_ROUTER_STATE_H
#define SAS_ROUTER_STATE_H

#include "sas/lookup.h"
#include "sas/load_estimate.h"
#include "sas/membership.h"
#include "sas/placement.h"
#include "sas/plan.h"
#include "router.h"

struct backend_row {
    int in_flight;
    bool reserved; /* for an isolated run in progress */
    int owned_slots;
    bool listed_leaving;       /* in the platform's last list */
    int failures;              /* failed connection attempts in a row */
    int64_t unreachable_until; /* backoff after those */
    int64_t last_reached_at;
};

/* Reports that an entry VM is leaving; the sheet is a third source. */
struct vm_row {
    bool reports_leaving; /* by itself, through gossip */
    bool listed_leaving;  /* in the platform's last list */
};

struct sas_router {
    struct sas_router_options options;
    const struct sas_model *model;
    struct sas_router_listener *listener;
    bool has_config; /* the version in force is known, perhaps none */
    int64_t version;
    struct sas_plan plan;
    struct sas_lookup lookup;
    struct sas_load_estimate measure;
    struct backend_row *backends;
    struct sas_leaving_server_table departures;
    struct vm_row *vms;
    struct sas_vm_status *views;
    bool shares_seeded; /* with a peer's shares */
    struct sas_plan_signal *signals;
    bool *down;           /* by region */
    double *answer_bytes; /* by service, a moving average */
    struct sas_placement_policy *placement;
    struct sas_placement_server *servers; /* scratch for one decision */
    uv_timer_t timer;
};

/* The loop's time in milliseconds. */
int64_t SasRouterState_GetNow(const struct sas_router *router);

/* Recomputes the lookups after the plan changed (router_updates.c). */
void SasRouterState_RebuildLookups(struct sas_router *router);

/* Advances the plan to the current time (router_updates.c). */
void SasRouterState_Advance(struct sas_router *router);

/* How many of a server's execution slots and queue places this entry VM owns
 * (router_acquire.c). They are dealt round-robin to the entry VMs of the
 * server's region, starting at a different VM for each server; VMs of other
 * regions own none. */
int SasRouterState_CountOwnedSlots(const struct sas_router *router,
                                   int backend);

#endif
