/* grey_failure - detects a grey failure: a backend server that fails part of
 * its requests.
 *
 * Such a server accepts connections, answers its health check and most of its
 * requests, and resets or fails the others, so counting failures in a row
 * doesn't find it. A single entry VM sees too few of its requests to tell, so
 * all of them report to one, the server's prober: each failure, with the
 * number of answers since the last report. Entry VMs without failures report
 * nothing, so the computed share is too high rather than too low; the minimum
 * number of failures keeps chance failures from counting.
 *
 * Times are monotonic milliseconds.
 */
#ifndef SAS_GREY_FAILURE_H
#define SAS_GREY_FAILURE_H

#include <stdbool.h>
#include <stdint.h>

#include "sas/window.h"

#define SasGreyFailure_WINDOW_MS 3000

/* Only answers of the last second are reported: with three seconds, answers
 * from before the failure began hid it for three seconds. */
#define SasGreyFailure_REPORT_WINDOW_MS 1000

/* Minimum failures in the window, and their share of all requests there. */
#define SasGreyFailure_MIN_FAILED 5
#define SasGreyFailure_MIN_FAILURE_SHARE 0.25

/* How long a server stays marked, so that further failures can renew it. */
#define SasGreyFailure_MARK_MS 3000

struct sas_grey_failure {
    struct sas_window failed;     /* of all entry VMs, at the prober */
    struct sas_window answered;   /* the same */
    struct sas_window unreported; /* answers to this VM, not reported yet */
};

void SasGreyFailure_Init(struct sas_grey_failure *grey);

/* NoteAnswered counts an answer. TakeUnreported returns the number to report
 * with a failure and resets it; answers older than
 * SasGreyFailure_REPORT_WINDOW_MS say nothing of a server that has just begun
 * to fail. */
void SasGreyFailure_NoteAnswered(struct sas_grey_failure *grey,
                                 int64_t now_ms);
int SasGreyFailure_TakeUnreported(struct sas_grey_failure *grey,
                                  int64_t now_ms);

/* Adds a report. True if the server has a grey failure; the counts are then
 * reset. */
bool SasGreyFailure_AddReport(struct sas_grey_failure *grey, int failed,
                              int answered, int64_t now_ms);

#endif
