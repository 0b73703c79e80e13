/* steer_state - the inside of steer: what is known, and what is taken.
 *
 * steer.c opens, answers look-ups and describes; steer_news.c takes in what
 * the sheet, the platform, the peers and the backend servers say;
 * steer_grant.c chooses a backend server and takes from the budgets.
 */
#ifndef SAS_ROUTER_STATE_H
#define SAS_ROUTER_STATE_H

#include "sas/lookup.h"
#include "sas/measure.h"
#include "sas/membership.h"
#include "sas/place.h"
#include "sas/plan.h"
#include "router.h"

struct backend_row {
    int in_flight;
    bool reserved; /* a suspect runs alone there */
    int owned_slots;
    bool listed_leaving; /* by the platform as leaving, as last read */
    int failures;        /* connections in a row that could not be made */
    int64_t unreachable_until;
    int64_t last_reached_at;
};

/* Who says of an entry VM that it is leaving; the sheet does so too. */
struct vm_row {
    bool reports_leaving; /* its own word */
    bool listed_leaving;  /* the platform's, as last read */
};

struct sas_router {
    struct sas_router_options options;
    const struct sas_model *model;
    struct sas_router_listener *listener;
    bool has_config;
    int64_t version;
    struct sas_plan plan;
    struct sas_lookup lookup;
    struct sas_measure measure;
    struct backend_row *backends;
    struct sas_departure_table departures;
    struct vm_row *vms;
    struct sas_vm_view *views;
    bool shares_seeded; /* a peer's shares were taken */
    struct sas_plan_signal *signals;
    bool *down;
    double *answer_bytes; /* by service, a moving average */
    struct sas_place_policy *placement;
    struct sas_place_server *servers; /* scratch for one decision */
    uv_timer_t timer;
};

/* The loop's time. */
int64_t SasRouterState_GetNow(const struct sas_router *router);

/* Works the look-ups out again after the plan changed (steer_news.c). */
void SasRouterState_RebuildLookups(struct sas_router *router);

/* Moves the plan to the present (steer_news.c). */
void SasRouterState_Advance(struct sas_router *router);

/* How many of a server's places (slots and queue) are this entry VM's
 * (steer_grant.c). They go round the entry VMs of the server's region,
 * beginning at another one for each server; VMs elsewhere own none. */
int SasRouterState_CountOwnedSlots(const struct sas_router *router,
                                   int backend);

#endif
