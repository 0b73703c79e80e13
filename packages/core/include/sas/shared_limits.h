/* shared_limits - limits that all entry VMs share, without messages between
 * them.
 *
 * The retry budget of a service: in any window the retries of all entry VMs
 * are at most a share of the service's requests, in that window or in the one
 * before it, plus a burst. Each entry VM keeps two parts of it, so that the
 * sum holds however callers spread over them and whichever have restarted:
 *
 *   tokens   A request adds a part of a retry to a bucket, which starts empty
 *            and holds at most a small part of the last window's requests. So
 *            the retries from it in a window are at most a part of the
 *            window's own requests and a small part of those before.
 *   burst    The burst divided by the entry VMs, in any window. A process that
 *            has just started has none for a window, since the one before it
 *            may have used it (SasMembership_CountSharers).
 *
 * The request rate that a cold backend server can handle is divided into a
 * whole number of requests per second for each entry VM.
 *
 * Times are monotonic milliseconds.
 */
#ifndef SAS_SHARED_LIMITS_H
#define SAS_SHARED_LIMITS_H

#include <stdbool.h>
#include <stdint.h>

#include "sas/window.h"

/* Part of the burst and of a cold limit that is used. The rest covers events
 * that the server counts in another window than the entry VM. */
#define SasSharedLimits_MARGIN 0.85

/* Parts of the share: what a request adds to the bucket, and what the bucket
 * holds for each request of the last window. Their sum is below 1, since the
 * retries of a window may draw on the requests of two. */
#define SasRetryBudget_ADDED_PART 0.85
#define SasRetryBudget_HELD_PART 0.1

struct sas_retry_budget {
    struct sas_window requests;
    struct sas_window burst_used;
    double tokens;
    double share;
    double burst;
};

/* Retry budget of one service within window_ms: share times its requests, plus
 * burst, which all entry VMs share. */
void SasRetryBudget_Init(struct sas_retry_budget *budget, double share,
                         double burst, int64_t window_ms);
void SasRetryBudget_NoteRequest(struct sas_retry_budget *budget,
                                int64_t now_ms);

/* Retries that are left, with a fraction. vms: entry VMs that share the burst;
 * 0: this one may use none of it. */
double SasRetryBudget_GetLeft(struct sas_retry_budget *budget, int vms,
                              int64_t now_ms);

/* Acquires one retry. False if the budget is exhausted. */
bool SasRetryBudget_Acquire(struct sas_retry_budget *budget, int vms,
                            int64_t now_ms);

/* Requests per second that one of vms entry VMs may send to a cold server. The
 * limit of all is cold_per_s * factor + slack. rank, from 0, is the entry VM's
 * rank for this server; the first ranks get the remainder of the division. */
int SasColdLimit_GetShare(double cold_per_s, double factor, double slack,
                          int vms, int rank);

#endif
