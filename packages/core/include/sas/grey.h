/* grey - whether a backend server fails part of what it gets.
 *
 * Such a server takes connections, answers its health check and most of its
 * requests, and resets or fails the others: no two failures in a row give it
 * away. Each entry VM alone sees too few of its requests to tell, so all of
 * them report to one, the server's tester: each failure, with the answers that
 * came since the last. Those that meet no failure report nothing, so the share
 * is rather too high; the least number of failures keeps chance out.
 *
 * Times are monotonic milliseconds.
 */
#ifndef SAS_GREY_H
#define SAS_GREY_H

#include <stdbool.h>
#include <stdint.h>

#include "sas/window.h"

#define SasGrey_WINDOW_MS 3000

/* Answers of the last second are reported: with those of three seconds it took
 * three seconds until those from before a server's trouble had gone. */
#define SasGrey_OWN_MS 1000

/* Grey from so many failures in the window, and from this part on. */
#define SasGrey_MIN_FAILED 5
#define SasGrey_SHARE 0.25

/* For so long: until the next failures have come in, if they do. */
#define SasGrey_HOLD_MS 3000

struct sas_grey {
    struct sas_window failed;   /* of all entry VMs, at the tester */
    struct sas_window answered; /* the same */
    struct sas_window own;      /* answers here, not reported yet */
};

void SasGrey_Init(struct sas_grey *grey);

/* An answer; and what to report of them with the next failure. Older ones
 * say nothing of a server that has just begun to fail. */
void SasGrey_NoteAnswered(struct sas_grey *grey, int64_t now_ms);
int SasGrey_TakeAnswered(struct sas_grey *grey, int64_t now_ms);

/* True when the server is grey; the counts then begin anew. */
bool SasGrey_Add(struct sas_grey *grey, int failed, int answered,
                 int64_t now_ms);

#endif
