#include "refusal.h"

#include <stddef.h>

#include "sas/metrics.h"

struct reason {
    const char *name;
    int status;
};

static const struct reason reasons[SAS_REFUSE_COUNT] = {
    [SAS_REFUSE_NO_CONFIG] = {"no-config", 503},
    [SAS_REFUSE_STOPPING] = {"stopping", 503},
    [SAS_REFUSE_UNKNOWN_SERVICE] = {"unknown-service", 404},
    [SAS_REFUSE_BAD_REQUEST] = {"bad-request", 400},
    [SAS_REFUSE_METHOD] = {"method", 405},
    [SAS_REFUSE_MEMORY] = {"memory", 503},
    [SAS_REFUSE_NO_HEADROOM] = {"no-headroom", 503},
    [SAS_REFUSE_QUEUE_FULL] = {"queue-full", 503},
    [SAS_REFUSE_QUEUE_TIMEOUT] = {"queue-timeout", 503},
    [SAS_REFUSE_NO_BACKEND] = {"no-backend", 503},
    [SAS_REFUSE_DEADLINE] = {"deadline", 504},
    [SAS_REFUSE_SHED] = {"shed", 503},
    [SAS_REFUSE_LOST] = {"lost", 502},
    [SAS_REFUSE_ANSWER_CUT] = {"answer-cut", 502},
    [SAS_REFUSE_ANSWER_UNFRAMED] = {"answer-unframed", 502},
    [SAS_REFUSE_QUARANTINED] = {"quarantined", 503},
    [SAS_REFUSE_SUSPECT] = {"suspect", 503},
    [SAS_REFUSE_KEY_MISSING] = {"key-missing", 400},
    [SAS_REFUSE_KEY_REUSED] = {"key-reused", 422},
    [SAS_REFUSE_CLAIM_STORE] = {"claim-store", 503},
    [SAS_REFUSE_CLAIM_RUNNING] = {"claim-running", 503},
    [SAS_REFUSE_CLAIM_LOST] = {"claim-lost", 502},
    [SAS_REFUSE_CALLER_GONE] = {"caller-gone", 499},
};

const char *
SasRefusal_GetOutcomeName(enum sas_outcome outcome)
{
    switch (outcome) {
    case SAS_OUTCOME_NOT_RUN:
        return "not-run";
    case SAS_OUTCOME_RAN:
        return "ran";
    case SAS_OUTCOME_UNKNOWN:
        break;
    }
    return "unknown";
}

const char *
SasRefusal_GetName(enum sas_refusal reason)
{
    return reasons[reason].name;
}

int
SasRefusal_GetStatus(enum sas_refusal reason)
{
    return reasons[reason].status;
}

static int
register_plain(struct sas_metrics *metrics, const char *name, const char *help)
{
    return SasMetrics_RegisterCounter(metrics, name, NULL, NULL, help);
}

void
SasRefusal_RegisterCounters(struct sas_counters *counters,
                            struct sas_metrics *metrics)
{
    counters->metrics = metrics;
    for (int i = 0; i < SAS_REFUSE_COUNT; i++) {
        counters->refusals[i] =
            SasMetrics_RegisterCounter(metrics, "sas_refusals_total", "reason",
                                       reasons[i].name, "Refused requests");
    }
    counters->requests = register_plain(metrics, "sas_requests_total",
                                        "Requests for backend servers");
    counters->answers = register_plain(metrics, "sas_answers_total",
                                       "Whole answers passed to callers");
    counters->lookups =
        register_plain(metrics, "sas_lookups_total", "Look-ups answered");
    for (int i = 0; i < SAS_RETRY_REASONS; i++) {
        counters->retries[i] = SasMetrics_RegisterCounter(
            metrics, "sas_retries_total", "reason",
            SasRetry_GetReasonName((enum sas_retry_reason)i),
            "Requests tried again, by reason");
    }
    for (int i = SAS_RETRY_YES + 1; i < SAS_RETRY_DECISIONS; i++) {
        counters->retries_denied[i] = SasMetrics_RegisterCounter(
            metrics, "sas_retries_denied_total", "reason",
            SasRetry_GetDecisionName((enum sas_retry_decision)i),
            "Failed tries that were not repeated, by reason");
    }
    counters->connections_ended =
        register_plain(metrics, "sas_backend_connections_ended_total",
                       "Connections ended after an answer");
    counters->closed_stale =
        register_plain(metrics, "sas_backend_connections_condemned_total",
                       "Connections closed because one of their age was "
                       "silent");
    counters->cross_region =
        register_plain(metrics, "sas_cross_region_total",
                       "Requests sent to another region's backend servers");
    counters->aborted = register_plain(
        metrics, "sas_aborted_total",
        "Transfers to callers broken because the answer was cut");
}
