/* steering - the operators' sheet on a living model: which region a request
 * goes to, within the caps of the shifts, and which servers and entry VMs are
 * leaving.
 *
 * The sheet is resolved against a model made from the fleet (sas/snapshot.h);
 * sas/plan.h says which shares are in force. A share is a share of a service's
 * objects: those whose hash lies in it go to the other region with all their
 * requests, so that they stay warm there, and all entry VMs agree on them.
 *
 * A cap is kept by all entry VMs of the home region together, each by an equal
 * part of it, the first ones one more where it can't be divided. What does not
 * fit under it stays at home. An entry VM does not know what the others leave
 * unused: with callers spread unevenly less than the cap is carried, never
 * more.
 *
 * Times are milliseconds; wall is since the epoch, now a monotonic clock.
 */
#ifndef SAS_STEERING_H
#define SAS_STEERING_H

#include "sas/fleet.h"
#include "sas/plan.h"
#include "sas/window.h"

/* How long the bytes of a cap in Mbit/s and the requests of one in req/s are
 * counted: the caps are rates a second. */
#define SasSteering_WINDOW_MS 1000

struct sas_steering;

struct sas_steering *SasSteering_New(struct sas_fleet *fleet);
void SasSteering_Free(struct sas_steering *steering);

/* The model that sheets are resolved against; see sas/snapshot.h. */
struct sas_model *SasSteering_GetModel(struct sas_steering *steering);

/* A version that has been accepted; a reference to it is kept. */
void SasSteering_TakeConfig(struct sas_steering *steering,
                            struct sas_config *config);

/* Once a second or so. gone, by region: all its entry VMs are silent; NULL:
 * none. True when a share in force has changed. */
bool SasSteering_Advance(struct sas_steering *steering, int64_t wall_ms,
                         int64_t now_ms, const bool *gone);

/* False as long as no sheet orders anything. */
bool SasSteering_IsActive(const struct sas_steering *steering);

/* The entry VM is to leave the look-ups. */
bool SasSteering_IsVmLeaving(const struct sas_steering *steering,
                             const char *name);

/* Requests. */

struct sas_steering_query {
    int service;
    int home; /* region of the caller */
    uint64_t key;
    double bytes;  /* of the request */
    int vms;       /* entry VMs of the home region that share the cap */
    int rank;      /* of this one among them, from 0 */
    bool newcomer; /* has no part of a cap yet; others still use it */
};

/* The region that the shares in force give to an object, whatever the caps
 * say; home where none does. */
int SasSteering_PickRegion(const struct sas_steering *steering, int service,
                           int home, uint64_t key);

/* What a request has taken; zeroed: nothing. */
struct sas_steering_grant {
    bool steered;
    int service;
    int from;
    int to;
};

/* True where the request is to go to another region, grant->to; it has then
 * been counted under the cap, and ends with SasSteering_End. */
bool SasSteering_Take(struct sas_steering *steering,
                      const struct sas_steering_query *query, int64_t now_ms,
                      struct sas_steering_grant *grant);
void SasSteering_End(struct sas_steering *steering,
                     struct sas_steering_grant *grant, double bytes,
                     int64_t now_ms);

/* For operators. */
const struct sas_plan *SasSteering_GetPlan(const struct sas_steering *s);
double SasSteering_GetHeadroom(const struct sas_steering *steering,
                               int service, int region, int64_t now_ms);

#endif
