/* grey - detects a grey failure: a backend server that fails part of its
 * requests.
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
#ifndef SAS_GREY_H
#define SAS_GREY_H

#include <stdbool.h>
#include <stdint.h>

#include "sas/window.h"

#define SasGrey_WINDOW_MS 3000

/* Only answers of the last second are reported: with three seconds, answers
 * from before the failure began hid it for three seconds. */
#define SasGrey_OWN_MS 1000

/* Minimum failures in the window, and their share of all requests there. */
#define SasGrey_MIN_FAILED 5
#define SasGrey_SHARE 0.25

/* How long a server stays marked, so that further failures can renew it. */
#define SasGrey_HOLD_MS 3000

struct sas_grey {
    struct sas_window failed;   /* of all entry VMs, at the prober */
    struct sas_window answered; /* the same */
    struct sas_window own;      /* answers to this VM, not reported yet */
};

void SasGrey_Init(struct sas_grey *grey);

/* NoteAnswered counts an answer. TakeAnswered returns the number to report
 * with a failure and resets it; answers older than SasGrey_OWN_MS say nothing
 * of a server that has just begun to fail. */
void SasGrey_NoteAnswered(struct sas_grey *grey, int64_t now_ms);
int SasGrey_TakeAnswered(struct sas_grey *grey, int64_t now_ms);

/* Adds a report. True if the server has a grey failure; the counts are then
 * reset. */
bool SasGrey_Add(struct sas_grey *grey, int failed, int answered,
                 int64_t now_ms);

#endif
