#include "sas/shared_limits.h"

#include <math.h>

#include <glib.h>

void
SasRetryBudget_Init(struct sas_retry_budget *budget, double share,
                    double burst, int64_t window_ms)
{
    SasWindow_Init(&budget->requests, window_ms);
    SasWindow_Init(&budget->burst_used, window_ms);
    budget->tokens = 0;
    budget->share = share;
    budget->burst = burst;
}

void
SasRetryBudget_NoteRequest(struct sas_retry_budget *budget, int64_t now_ms)
{
    SasWindow_Add(&budget->requests, 1, now_ms);
    budget->tokens += SasRetryBudget_ADDED_PART * budget->share;
}

/* What the bucket held in excess between two calls makes no difference, since
 * nothing was taken from it meanwhile. */
static void
limit_tokens(struct sas_retry_budget *budget, int64_t now_ms)
{
    double held = SasRetryBudget_HELD_PART * budget->share *
                  SasWindow_Count(&budget->requests, now_ms);
    budget->tokens = MIN(budget->tokens, held);
}

double
SasRetryBudget_GetLeft(struct sas_retry_budget *budget, int vms,
                       int64_t now_ms)
{
    limit_tokens(budget, now_ms);
    double burst = vms > 0 ? SasSharedLimits_MARGIN * budget->burst / vms : 0;
    burst -= SasWindow_Count(&budget->burst_used, now_ms);
    return budget->tokens + MAX(burst, 0);
}

bool
SasRetryBudget_Acquire(struct sas_retry_budget *budget, int vms,
                       int64_t now_ms)
{
    if (SasRetryBudget_GetLeft(budget, vms, now_ms) < 1) {
        return false;
    }
    double from_tokens = MIN(budget->tokens, 1);
    budget->tokens -= from_tokens;
    if (from_tokens < 1) {
        SasWindow_Add(&budget->burst_used, 1 - from_tokens, now_ms);
    }
    return true;
}

int
SasColdLimit_GetShare(double cold_per_s, double factor, double slack, int vms,
                      int rank)
{
    double limit = cold_per_s * factor + slack;
    int total = (int)floor(SasSharedLimits_MARGIN * limit);
    vms = MAX(vms, 1);
    return total / vms + (rank < total % vms ? 1 : 0);
}
