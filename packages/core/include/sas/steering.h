/* steering - applies the operators' sheet in platform mode: which region a
 * request goes to, within the caps of the shifts, and which servers and entry
 * VMs are leaving.
 *
 * The sheet is resolved against a model built from the fleet
 * (sas/fleet_model.h); sas/plan.h computes the shares in force. A share is a
 * share of a service's objects, selected by hash: all requests for such an
 * object go to the other region, so that its caches stay warm for them and all
 * entry VMs agree.
 *
 * A cap is divided evenly among the entry VMs of the home region; the first
 * ones get one unit more when it does not divide evenly. A request above the
 * cap stays at home. An entry VM does not know what the others leave unused,
 * so unevenly spread callers use less than the cap, never more. The bytes of
 * an answer are only counted when its request ends, so a cap in Mbit/s can be
 * exceeded by answers under way.
 *
 * Times are milliseconds: wall_ms since the epoch, now_ms monotonic.
 */
#ifndef SAS_STEERING_H
#define SAS_STEERING_H

#include "sas/fleet.h"
#include "sas/plan.h"
#include "sas/window.h"

/* Window over which bytes and requests are counted for caps in Mbit/s and
 * req/s. */
#define SasSteering_WINDOW_MS 1000

struct sas_steering;

struct sas_steering *SasSteering_New(struct sas_fleet *fleet);
void SasSteering_Free(struct sas_steering *steering);

/* The model that sheets are resolved against; sas/fleet_model.h updates it. */
struct sas_model *SasSteering_GetModel(struct sas_steering *steering);

/* Makes an accepted version the current one and keeps a reference to it. */
void SasSteering_SetConfig(struct sas_steering *steering,
                           struct sas_config *config);

/* To be called about once a second. down[region]: none of the region's entry
 * VMs is live; NULL: no region is down. Returns true when a share in force has
 * changed. */
bool SasSteering_Advance(struct sas_steering *steering, int64_t wall_ms,
                         int64_t now_ms, const bool *down);

/* True when the current version has a shift; drains don't count. */
bool SasSteering_IsActive(const struct sas_steering *steering);

/* True when the sheet drains the entry VM: lookups must not return it. */
bool SasSteering_IsVmLeaving(const struct sas_steering *steering,
                             const char *name);

/* Requests. */

struct sas_steering_query {
    int service;
    int home;     /* region of the caller */
    uint64_t key; /* hash of the object's key */
    double bytes; /* of the request */
    int vms;      /* entry VMs of the home region that share the cap */
    int rank;     /* index of this one among them, from 0 */
    bool joining; /* joining: the others still use its part of the cap */
};

/* The region of an object by the shares in force, regardless of caps; home
 * when it is in no shift's share. */
int SasSteering_PickRegion(const struct sas_steering *steering, int service,
                           int home, uint64_t key);

/* A request counted under a shift's cap; zeroed when there is none. */
struct sas_steering_grant {
    bool steered;
    int service;
    int from;
    int to;
};

/* Returns true when the request must go to another region, grant->to. It is
 * then counted under the cap until SasSteering_Release, whose bytes are those
 * of the answer. */
bool SasSteering_Acquire(struct sas_steering *steering,
                         const struct sas_steering_query *query,
                         int64_t now_ms, struct sas_steering_grant *grant);
void SasSteering_Release(struct sas_steering *steering,
                         struct sas_steering_grant *grant, double bytes,
                         int64_t now_ms);

/* For status output. Headroom is the free part of the execution slots, 0 to
 * 1; 0 when the region has no open server. */
const struct sas_plan *SasSteering_GetPlan(const struct sas_steering *s);
double SasSteering_GetHeadroom(const struct sas_steering *steering,
                               int service, int region, int64_t now_ms);

#endif
