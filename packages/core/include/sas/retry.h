/* retry - decides whether a request may be retried.
 *
 * A retry needs all of: the request has not run or is idempotent, time is left
 * until the deadline, attempts are left, a backend server is left that has not
 * been tried, and the retry budget is not exhausted. The budget is a share of
 * the recent first attempts; without it, overloaded backend servers that shed
 * requests would get every request several times. Each decision is counted.
 *
 * Times are monotonic milliseconds. One struct per service and process.
 */
#ifndef SAS_RETRY_H
#define SAS_RETRY_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#define SasRetry_MAX_ATTEMPTS 3   /* attempts, including the first */
#define SasRetry_SHARE_PERCENT 10 /* of the recent first attempts */
#define SasRetry_MIN_RETRIES 3    /* in a window, at any request rate */
#define SasRetry_WINDOW_MS 10000  /* counts halve in half of this time */
#define SasRetry_MIN_LEFT_MS 10   /* least time to the deadline */

enum sas_retry_reason { /* why the previous attempt failed */
    SAS_RETRY_CONNECT,  /* the connection failed */
    SAS_RETRY_SHED,     /* the backend server refused it, not run */
    SAS_RETRY_RESET,    /* the connection was reset during the request */
    SAS_RETRY_STALL,    /* the connection stalled */
    SAS_RETRY_REASONS
};

enum sas_retry_outcome { /* of the previous attempt */
    SAS_RETRY_NOT_RUN,
    SAS_RETRY_RAN,
    SAS_RETRY_UNKNOWN
};

enum sas_retry_decision {
    SAS_RETRY_YES,
    SAS_RETRY_NO_REPEAT,   /* it may have run and is not idempotent */
    SAS_RETRY_NO_DEADLINE, /* no time left */
    SAS_RETRY_NO_ATTEMPTS, /* no attempts left */
    SAS_RETRY_NO_BACKEND,  /* each has been tried */
    SAS_RETRY_NO_BUDGET,   /* retry budget exhausted */
    SAS_RETRY_DECISIONS
};

struct sas_retry {
    int share_percent;  /* SasRetry_SHARE_PERCENT unless the caller sets it */
    int64_t decayed_ms; /* up to then the counts have decayed */
    int64_t first_attempts; /* decaying count, in thousandths */
    int64_t retries;        /* decaying count, in thousandths */
    uint64_t decisions[SAS_RETRY_DECISIONS]; /* counters */
    uint64_t reasons[SAS_RETRY_REASONS];     /* of the retries granted */
};

void SasRetry_Init(struct sas_retry *r, int64_t now_ms);

/* Counts the first attempt of a request. */
void SasRetry_NoteFirst(struct sas_retry *r, int64_t now_ms);

/* Decides on a retry; SAS_RETRY_YES acquires one from the budget. tried lists
 * the backend server of each attempt so far, candidates those that could run
 * the request. */
enum sas_retry_decision
SasRetry_Decide(struct sas_retry *r, enum sas_retry_reason reason,
                bool idempotent, enum sas_retry_outcome outcome,
                int64_t deadline_left_ms, const int *tried, int tried_count,
                const int *candidates, int candidate_count, int64_t now_ms);

/* True when the backend server is in the list. */
bool SasRetry_WasTried(const int *tried, int tried_count, int backend);

/* Seconds for Retry-After: base_s to twice that, at random, so that callers
 * that were refused together do not retry together. */
int SasRetry_ChooseRetryAfter(int base_s, GRand *rand);

/* Counter labels, such as "no-budget" and "shed". */
const char *SasRetry_GetDecisionName(enum sas_retry_decision decision);
const char *SasRetry_GetReasonName(enum sas_retry_reason reason);

#endif
