/* load_estimate - estimates the load of backend servers from their reports and
 * from this node's own requests.
 *
 * Reports are late and may be wrong. A report is the number of requests that a
 * backend server runs and queues. Requests in it that this node didn't send
 * are the load of other nodes; they count by the report's weight, which halves
 * with every SasLoadEstimate_HALF_LIFE_MS of age and is scaled by the trust in
 * the server. Trust halves when a report contradicts what this node sees: it
 * names fewer than half of the requests that were in flight from here all the
 * time, or the server sheds a request while it reports itself idle. Trust
 * recovers slowly with reports that fit. This node's own requests in flight
 * always count in full.
 *
 * Times are a monotonic clock in milliseconds.
 */
#ifndef SAS_LOAD_ESTIMATE_H
#define SAS_LOAD_ESTIMATE_H

#include <stdbool.h>
#include <stdint.h>

#include "sas/model.h"

#define SasLoadEstimate_HALF_LIFE_MS 2000
/* reports of this age have no weight */
#define SasLoadEstimate_MAX_AGE_MS 10000
/* a report has to include older requests */
#define SasLoadEstimate_MIN_OVERLAP_MS 200
#define SasLoadEstimate_SHED_MS 1000 /* a server that shed counts as full */
/* age up to which a shed refutes a report */
#define SasLoadEstimate_REFUTABLE_MS 1000
/* factor on the trust at a contradiction */
#define SasLoadEstimate_TRUST_PENALTY 0.5
/* of the missing trust, per good report */
#define SasLoadEstimate_RECOVERY 0.05
#define SasLoadEstimate_MAX_COUNT 1000000

struct sas_load_estimate_row {
    bool reported;
    int running;
    int queued;
    int slots;
    int own_at_report; /* in flight from here when the report arrived */
    int64_t report_ms; /* arrival of the last report */
    int in_flight;     /* from this node, now */
    int low;           /* minimum in flight since window_ms */
    int low_before; /* minimum in the window before, MIN_OVERLAP_MS or longer
                     */
    int64_t window_ms; /* start of the window */
    bool shed;
    int64_t shed_ms; /* of the last shed request */
    double trust;    /* 0 to 1 */
    bool leaving;
};

struct sas_load_estimate {
    const struct sas_model *model;
    double fallback_headroom;           /* headroom without recent reports */
    struct sas_load_estimate_row *rows; /* by backend server */
};

void SasLoadEstimate_Init(struct sas_load_estimate *estimate,
                          const struct sas_model *model, double floor);
void SasLoadEstimate_Close(struct sas_load_estimate *estimate);

/* A report of a backend server, with the time of its arrival. An older one
 * than the last is ignored. */
void SasLoadEstimate_Report(struct sas_load_estimate *estimate, int backend,
                            int running, int queued, int slots,
                            int64_t now_ms);

/* What this node sees: its own requests in flight there, a request that the
 * server shed, and whether it is leaving. A leaving server doesn't count for
 * its region. */
void SasLoadEstimate_SetInFlight(struct sas_load_estimate *estimate,
                                 int backend, int count);
void SasLoadEstimate_NoteShed(struct sas_load_estimate *estimate, int backend,
                              int64_t now_ms);
void SasLoadEstimate_SetLeaving(struct sas_load_estimate *estimate,
                                int backend, bool leaving);

/* Estimate of the requests running and queued there. */
double SasLoadEstimate_GetLoad(const struct sas_load_estimate *estimate,
                               int backend, int64_t now_ms);

/* 0 to 1; 1 if no report was ever contradicted. */
double SasLoadEstimate_GetTrust(const struct sas_load_estimate *estimate,
                                int backend);

/* Free share, 0 to 1, of the service's execution slots in the region. A server
 * counts with its reported share, of which the part above the floor is limited
 * by the report's weight; with the floor if it has no recent report. 0 without
 * slots. *age_ms (may be NULL): the age of the reports that cover half of the
 * slots, NAN if fewer were reported. */
double SasLoadEstimate_GetHeadroom(const struct sas_load_estimate *estimate,
                                   const struct sas_model *model, int service,
                                   int region, int64_t now_ms, double *age_ms);

#endif
