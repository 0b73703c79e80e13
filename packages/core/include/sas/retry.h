/* retry - whether a request may be sent once more.
 *
 * A retry needs all of: it cannot run twice by it (not run, or idempotent),
 * time is left, a backend server that did not fail it is left, not too many
 * tries, and room in the budget, which is a share of the recent first tries.
 * Without the budget, backend servers that shed load would get every request
 * several times just then. Each refusal has its counter.
 *
 * Times are monotonic milliseconds. One struct for each service and node.
 */
#ifndef SAS_RETRY_H
#define SAS_RETRY_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#define SasRetry_MAX_TRIES 3      /* the first one included */
#define SasRetry_SHARE_PERCENT 10 /* retries for recent first tries */
#define SasRetry_MIN_RETRIES 3    /* in a window, however few tries */
#define SasRetry_WINDOW_MS 10000  /* what is recent fades with this */
#define SasRetry_MIN_LEFT_MS 10   /* less is not worth a try */

enum sas_retry_reason { /* why the try before failed */
    SAS_RETRY_CONNECT,  /* no connection */
    SAS_RETRY_SHED,     /* the backend server refused it, not run */
    SAS_RETRY_CUT,      /* the connection was lost in mid-run */
    SAS_RETRY_STALL,    /* no sign of life on it */
    SAS_RETRY_REASONS
};

enum sas_retry_outcome { /* of the try before */
    SAS_RETRY_NOT_RUN,
    SAS_RETRY_RAN,
    SAS_RETRY_UNKNOWN
};

enum sas_retry_verdict {
    SAS_RETRY_YES,
    SAS_RETRY_NO_REPEAT,   /* it may have run and is not idempotent */
    SAS_RETRY_NO_DEADLINE, /* no time left */
    SAS_RETRY_NO_TRIES,    /* too many */
    SAS_RETRY_NO_BACKEND,  /* each has been tried */
    SAS_RETRY_NO_BUDGET,   /* too many retries of late */
    SAS_RETRY_VERDICTS
};

struct sas_retry {
    int share_percent; /* SasRetry_SHARE_PERCENT, unless changed */
    int64_t faded_ms;
    int64_t first_tries;                   /* recent ones, in thousandths */
    int64_t retries;                       /* recent ones, in thousandths */
    uint64_t verdicts[SAS_RETRY_VERDICTS]; /* counters */
    uint64_t reasons[SAS_RETRY_REASONS];   /* of the retries granted */
};

void SasRetry_Init(struct sas_retry *r, int64_t now_ms);

/* Each request once, when it is sent first. */
void SasRetry_NoteFirst(struct sas_retry *r, int64_t now_ms);

/* Whether to try again; SAS_RETRY_YES has taken from the budget. tried lists
 * the backend servers used so far, candidates those that could run it. */
enum sas_retry_verdict
SasRetry_MayRetry(struct sas_retry *r, enum sas_retry_reason reason,
                  bool idempotent, enum sas_retry_outcome outcome,
                  int64_t deadline_left_ms, const int *tried, int tried_count,
                  const int *candidates, int candidate_count, int64_t now_ms);

/* True when the backend server is in the list. */
bool SasRetry_WasTried(const int *tried, int tried_count, int backend);

/* Seconds for Retry-After: from base_s to twice that, at random, so that
 * callers that were refused together do not come back together. */
int SasRetry_ChooseRetryAfter(int base_s, GRand *rand);

/* Counter labels, for example "no-budget" and "shed". */
const char *SasRetry_GetVerdictName(enum sas_retry_verdict verdict);
const char *SasRetry_GetReasonName(enum sas_retry_reason reason);

#endif
