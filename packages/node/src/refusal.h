/* reasons - why a request was refused or tried again; a counter for each.
 */
#ifndef SAS_REFUSAL_H
#define SAS_REFUSAL_H

#include <stdint.h>

#include "sas/retry.h"

struct sas_metrics;

/* What is known about whether a request ran. */
enum sas_outcome {
    SAS_OUTCOME_NOT_RUN, /* no byte reached a backend server, or it said so */
    SAS_OUTCOME_RAN,     /* it ran; its answer is lost or kept elsewhere */
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
    SAS_REFUSE_LOST,
    SAS_REFUSE_ANSWER_CUT,
    SAS_REFUSE_ANSWER_UNFRAMED,
    SAS_REFUSE_QUARANTINED,
    SAS_REFUSE_SUSPECT,
    SAS_REFUSE_KEY_MISSING,
    SAS_REFUSE_KEY_REUSED,
    SAS_REFUSE_CLAIM_STORE,
    SAS_REFUSE_CLAIM_RUNNING,
    SAS_REFUSE_CLAIM_LOST,
    SAS_REFUSE_CALLER_GONE,
    SAS_REFUSE_COUNT
};

/* Names as in Sas-Outcome and Sas-Reason. */
const char *SasRefusal_GetOutcomeName(enum sas_outcome outcome);
const char *SasRefusal_GetName(enum sas_refusal reason);

/* The HTTP status that goes with a refusal. */
int SasRefusal_GetStatus(enum sas_refusal reason);

/* Handles of all counters that the node keeps. */
struct sas_counters {
    struct sas_metrics *metrics;
    int refusals[SAS_REFUSE_COUNT];
    int requests;
    int answers;
    int lookups;
    int retries[SAS_RETRY_REASONS];
    int retries_denied[SAS_RETRY_VERDICTS];
    int connections_ended;
    int closed_stale;
    int cross_region;
    int aborted;
};

void SasRefusal_RegisterCounters(struct sas_counters *counters,
                                 struct sas_metrics *metrics);

#endif
