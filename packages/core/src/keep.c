#include "sas/keep.h"

#include <math.h>

#include "sas/traffic.h"

#define SMOOTHING 0.5 /* weight of a new utilization value */

struct sums {
    double zone_slots;
    double all_slots;
    double zone_load;
};

static struct sums
sum_up(const struct sas_fleet *fleet, int service, int zone, int64_t now_ms)
{
    struct sums sums = {0};
    const GArray *slots = SasFleet_GetService(fleet, service)->servers;
    for (guint i = 0; i < slots->len; i++) {
        int slot = g_array_index(slots, int, i);
        if (!SasFleet_IsOpen(fleet, slot)) {
            continue;
        }
        const struct sas_fleet_server *server = SasFleet_At(fleet, slot);
        sums.all_slots += server->facts.slots;
        if (server->zone == zone) {
            sums.zone_slots += server->facts.slots;
            sums.zone_load += SasTraffic_EstimateLoad(fleet, slot, now_ms);
        }
    }
    return sums;
}

/* Rounds down to a whole step, so that entry VMs with slightly different views
 * get the same value. */
static double
quantize(double value)
{
    return floor(value / SasKeep_STEP) * SasKeep_STEP;
}

double
SasKeep_Update(struct sas_keep *keep, const struct sas_fleet *fleet,
               int service, int zone, int64_t now_ms)
{
    if (keep->value > 0 && now_ms - keep->changed_at < SasKeep_EVERY_MS) {
        return keep->value;
    }
    struct sums sums = sum_up(fleet, service, zone, now_ms);
    double equal_share = sums.all_slots / MAX(SasFleet_CountZones(fleet), 1);
    double least = equal_share > 0 ? MIN(sums.zone_slots / equal_share, 1) : 1;
    double utilization =
        sums.zone_slots > 0 ? sums.zone_load / sums.zone_slots : 0;
    if (keep->value <= 0) {
        keep->value = quantize(MIN(SasKeep_START * least, 1));
        keep->utilization = utilization;
    }
    keep->utilization += SMOOTHING * (utilization - keep->utilization);
    if (keep->utilization > SasKeep_BUSY) {
        keep->value -= SasKeep_STEP;
    }
    else if (keep->utilization < SasKeep_IDLE) {
        keep->value += SasKeep_STEP;
    }
    keep->value = CLAMP(keep->value, MAX(quantize(least), SasKeep_STEP), 1);
    keep->changed_at = now_ms;
    return keep->value;
}

bool
SasKeep_IsNear(const struct sas_service_time *service_time, double bytes)
{
    return bytes >=
           SasKeep_NEAR_BYTES_PER_MS * SasServiceTime_Get(service_time, false);
}
