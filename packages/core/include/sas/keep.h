/* keep - how much of its large bodies a failure domain keeps to its own
 * backend servers.
 *
 * A body that stays in its zone costs no link between zones, and its answer is
 * sooner. But a zone may have one server where others have four, and what it
 * keeps beyond what that bears waits there while others are idle.
 * So the part that stays follows the load of the zone's servers, in steps of
 * whole eighths: the entry VMs of a zone see the same servers and mostly agree
 * on the step without a message, and a step moves few objects.
 *
 * The part is never less than what is the zone's by its slots alone. Times are
 * monotonic milliseconds.
 */
#ifndef SAS_KEEP_H
#define SAS_KEEP_H

#include "sas/fleet.h"

#define SasKeep_STEP 0.125
#define SasKeep_EVERY_MS 1000 /* between two steps */

/* At the start, before anything is known of the load, a zone keeps so many
 * times what is its share by slots: large bodies are a small part of the
 * work nearly everywhere. */
#define SasKeep_START 2.0

/* Requests a slot at the zone's servers, smoothed: above the first a step
 * goes away, below the second one comes back. Above 0.8 queues begin. */
#define SasKeep_BUSY 0.8
#define SasKeep_IDLE 0.35

struct sas_keep {
    double value;    /* 0: not yet begun */
    double pressure; /* smoothed */
    int64_t changed_at;
};

/* Bytes for each millisecond of work on a new object from which on a route
 * keeps to its callers' failure domain. */
#define SasKeep_NEAR_BYTES_PER_MS 12.0

/* Whether a route whose requests and answers carry so many bytes on average
 * does. An owner in each zone of a region spares half of the bytes between
 * zones, and makes every object new once more. */
bool SasKeep_IsNear(const struct sas_pace *pace, double bytes);

/* The part, from 0 to 1, of a service's large bodies that stays in the zone
 * at now_ms. */
double SasKeep_Update(struct sas_keep *keep, const struct sas_fleet *fleet,
                      int service, int zone, int64_t now_ms);

#endif
