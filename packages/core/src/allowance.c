#include "sas/allowance.h"

#include <math.h>

#include <glib.h>

void
SasRepeat_Init(struct sas_repeat_allowance *allowance, double share,
               double burst, int64_t window_ms)
{
    SasWindow_Init(&allowance->requests, window_ms);
    SasWindow_Init(&allowance->retries, window_ms);
    allowance->share = share;
    allowance->burst = burst;
}

void
SasRepeat_NoteRequest(struct sas_repeat_allowance *allowance, int64_t now_ms)
{
    SasWindow_Add(&allowance->requests, 1, now_ms);
}

bool
SasRepeat_Take(struct sas_repeat_allowance *allowance, int vms, int64_t now_ms)
{
    double requests = SasWindow_Count(&allowance->requests, now_ms);
    double limit =
        allowance->share * requests + allowance->burst / MAX(vms, 1);
    if (SasWindow_Count(&allowance->retries, now_ms) + 1 >
        SasAllowance_MARGIN * limit) {
        return false;
    }
    SasWindow_Add(&allowance->retries, 1, now_ms);
    return true;
}

int
SasCold_GetShare(double cold_per_s, double factor, double slack, int vms,
                 int rank)
{
    double limit = cold_per_s * factor + slack;
    int total = (int)floor(SasAllowance_MARGIN * limit);
    vms = MAX(vms, 1);
    return total / vms + (rank < total % vms ? 1 : 0);
}
