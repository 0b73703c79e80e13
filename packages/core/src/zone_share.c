#include "sas/zone_share.h"

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
        if (!SasFleet_AcceptsRequests(fleet, slot)) {
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
    return floor(value / SasZoneShare_STEP) * SasZoneShare_STEP;
}

double
SasZoneShare_Update(struct sas_zone_share *share,
                    const struct sas_fleet *fleet, int service, int zone,
                    int64_t now_ms)
{
    if (share->value > 0 &&
        now_ms - share->changed_at < SasZoneShare_STEP_INTERVAL_MS) {
        return share->value;
    }
    struct sums sums = sum_up(fleet, service, zone, now_ms);
    double equal_share = sums.all_slots / MAX(SasFleet_CountZones(fleet), 1);
    double least = equal_share > 0 ? MIN(sums.zone_slots / equal_share, 1) : 1;
    double utilization =
        sums.zone_slots > 0 ? sums.zone_load / sums.zone_slots : 0;
    if (share->value <= 0) {
        share->value = quantize(MIN(SasZoneShare_START * least, 1));
        share->utilization = utilization;
    }
    share->utilization += SMOOTHING * (utilization - share->utilization);
    if (share->utilization > SasZoneShare_BUSY) {
        share->value -= SasZoneShare_STEP;
    }
    else if (share->utilization < SasZoneShare_IDLE) {
        share->value += SasZoneShare_STEP;
    }
    share->value =
        CLAMP(share->value, MAX(quantize(least), SasZoneShare_STEP), 1);
    share->changed_at = now_ms;
    return share->value;
}

bool
SasZoneShare_PrefersZone(const struct sas_service_time *service_time,
                         double bytes)
{
    return bytes >= SasZoneShare_PREFER_BYTES_PER_MS *
                        SasServiceTime_Get(service_time, false);
}
