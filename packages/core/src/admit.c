#include "sas/admit.h"

#include "sas/traffic.h"

struct sas_admit_verdict
SasAdmit_Judge(const struct sas_fleet *fleet, const int *slots, int count,
               bool urgent, int64_t now_ms)
{
    struct sas_admit_verdict verdict = {.slot = SasModel_NONE};
    if (count == 0) {
        return verdict;
    }
    const struct sas_fleet_server *owner = SasFleet_At(fleet, slots[0]);
    int waiting = SasTraffic_GetMaxWaiting(owner, urgent, now_ms);
    if (SasTraffic_HasRoom(owner, waiting, now_ms)) {
        verdict.slot = slots[0];
        return verdict;
    }
    verdict.retry_after_ms = SasTraffic_EstimateRoomMs(owner, waiting, now_ms);
    return verdict;
}
