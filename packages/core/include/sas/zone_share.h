/* zone_share - the zone share: the part of a service's objects with large
 * bodies that stays on the backend servers of the caller's failure domain
 * (zone).
 *
 * A body that stays in its zone uses no link between zones, and its answer
 * comes sooner. But a zone may have one server where others have four, and
 * requests beyond what that can handle would wait there while others idle. So
 * the zone share follows the load of the zone's servers, in steps of an
 * eighth: the entry VMs of a zone see the same servers and mostly agree on the
 * step without a message, and a step moves few objects.
 *
 * The zone share is at least one step, and at least the zone's execution slots
 * divided by an equal share of all slots, rounded down to a step. Times are
 * monotonic milliseconds.
 */
#ifndef SAS_ZONE_SHARE_H
#define SAS_ZONE_SHARE_H

#include "sas/fleet.h"

#define SasZoneShare_STEP 0.125
#define SasZoneShare_STEP_INTERVAL_MS 1000 /* between two steps */

/* Initial zone share, as a multiple of the least one: large bodies are a small
 * part of the work nearly everywhere. */
#define SasZoneShare_START 2.0

/* Requests per execution slot at the zone's servers, smoothed: above BUSY the
 * zone share falls by a step, below IDLE it rises. Above 0.8 queues form. */
#define SasZoneShare_BUSY 0.8
#define SasZoneShare_IDLE 0.35

struct sas_zone_share {
    double value;       /* the zone share; 0: not initialized */
    double utilization; /* requests per execution slot, smoothed */
    int64_t changed_at;
};

/* A route prefers its callers' failure domain from this many bytes per
 * millisecond of service time (uncached) on. */
#define SasZoneShare_PREFER_BYTES_PER_MS 12.0

/* Whether a route prefers the caller's zone; bytes: mean size of a request and
 * its answer. An owner in each zone of a region saves half of the bytes
 * between zones, but leaves every object uncached at one more server. */
bool SasZoneShare_PrefersZone(const struct sas_service_time *service_time,
                              double bytes);

/* Returns the zone share, from 0 to 1, and adjusts it at most once in
 * SasZoneShare_STEP_INTERVAL_MS. */
double SasZoneShare_Update(struct sas_zone_share *share,
                           const struct sas_fleet *fleet, int service,
                           int zone, int64_t now_ms);

#endif
