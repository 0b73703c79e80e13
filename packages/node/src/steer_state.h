/* steer_state - the inside of steer: what is known, and what is taken.
 *
 * steer.c opens, answers look-ups and describes; steer_news.c takes in what
 * the sheet, the platform, the peers and the backend servers say;
 * steer_grant.c chooses a backend server and takes from the budgets.
 */
#ifndef SAS_STEER_STATE_H
#define SAS_STEER_STATE_H

#include "sas/lookup.h"
#include "sas/measure.h"
#include "sas/membership.h"
#include "sas/place.h"
#include "sas/plan.h"
#include "steer.h"

struct backend_row {
    int in_flight;
    bool reserved; /* a suspect runs alone there */
    int own_places;
    bool listed;  /* by the platform as leaving, as last read */
    int failures; /* connections in a row that could not be made */
    int64_t unreachable_until;
    int64_t last_reached_at;
};

/* Who says of an entry VM that it is leaving; the sheet does so too. */
struct vm_row {
    bool told;   /* its own word */
    bool listed; /* the platform's, as last read */
};

struct sas_steer {
    struct sas_steer_parts parts;
    const struct sas_model *model;
    struct sas_steer_listener *listener;
    bool known;
    int64_t version;
    struct sas_plan plan;
    struct sas_lookup lookup;
    struct sas_measure measure;
    struct backend_row *backends;
    struct sas_departure_table departures;
    struct vm_row *vms;
    struct sas_vm_view *views;
    bool seeded; /* a peer's shares were taken */
    struct sas_plan_signal *signals;
    bool *gone;
    double *answer_bytes; /* by service, a moving average */
    struct sas_place_policy *placement;
    struct sas_place_server *servers; /* scratch for one decision */
    uv_timer_t timer;
};

/* The loop's time. */
int64_t SasSteerState_GetNow(const struct sas_steer *steer);

/* Works the look-ups out again after the plan changed (steer_news.c). */
void SasSteerState_RebuildLookups(struct sas_steer *steer);

/* Moves the plan to the present (steer_news.c). */
void SasSteerState_Advance(struct sas_steer *steer);

/* How many of a server's places (slots and queue) are this entry VM's
 * (steer_grant.c). They go round the entry VMs of the server's region,
 * beginning at another one for each server; VMs elsewhere own none. */
int SasSteerState_CountOwnPlaces(const struct sas_steer *steer, int backend);

#endif
