/* refusal - reasons and outcomes of refused requests, and the node's counters.
 */
#ifndef SAS_REFUSAL_H
#define SAS_REFUSAL_H

#include <stdint.h>

#include "sas/retry.h"

struct sas_metrics;

/* What is known about whether a request ran. */
enum sas_outcome {
    SAS_OUTCOME_NOT_RUN, /* no byte was sent, or the server shed it */
    SAS_OUTCOME_RAN,     /* it ran, but its answer is not available */
    SAS_OUTCOME_UNKNOWN
};

enum sas_refusal {
    SAS_REFUSE_NO_CONFIG,
    SAS_REFUSE_STOPPING,
    SAS_REFUSE_UNKNOWN_SERVICE,
    SAS_REFUSE_BAD_REQUEST,
    SAS_REFUSE_METHOD,
    SAS_REFUSE_MEMORY,
    SAS_REFUSE_NO_HEADROOM,
    SAS_REFUSE_QUEUE_FULL,
    SAS_REFUSE_QUEUE_TIMEOUT,
    SAS_REFUSE_NO_BACKEND,
    SAS_REFUSE_DEADLINE,
    SAS_REFUSE_SHED,
    SAS_REFUSE_LOST,            /* connection lost before an answer */
    SAS_REFUSE_ANSWER_CUT,      /* connection lost within the answer */
    SAS_REFUSE_ANSWER_UNFRAMED, /* ended by a close, may be truncated */
    SAS_REFUSE_QUARANTINED,     /* it crashed backend servers */
    SAS_REFUSE_SUSPECT,         /* its isolated run is in progress */
    SAS_REFUSE_KEY_MISSING,
    SAS_REFUSE_KEY_REUSED,    /* the idempotency key names another request */
    SAS_REFUSE_CLAIM_STORE,   /* the claim could not be made */
    SAS_REFUSE_CLAIM_RUNNING, /* another attempt may hold the claim */
    SAS_REFUSE_CLAIM_LOST,    /* it ran, its answer is not stored */
    SAS_REFUSE_CALLER_GONE,
    SAS_REFUSE_COUNT
};

/* Values of the headers Sas-Outcome and Sas-Reason. */
const char *SasRefusal_GetOutcomeName(enum sas_outcome outcome);
const char *SasRefusal_GetName(enum sas_refusal reason);

/* The HTTP status of a refusal. */
int SasRefusal_GetStatus(enum sas_refusal reason);

/* Handles of the node's counters. */
struct sas_counters {
    struct sas_metrics *metrics;
    int refusals[SAS_REFUSE_COUNT];
    int requests;
    int answers;
    int lookups;
    int retries[SAS_RETRY_REASONS];
    int retries_denied[SAS_RETRY_DECISIONS];
    int connections_ended;
    int closed_stale;
    int cross_region;
    int aborted;
};

void SasRefusal_RegisterCounters(struct sas_counters *counters,
                                 struct sas_metrics *metrics);

#endif
