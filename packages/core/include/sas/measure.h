/* measure - estimates the load of backend servers from their reports and from
 * this node's own requests.
 *
 * Reports are late and may be wrong. A report is the number of requests that a
 * backend server runs and queues. Requests in it that this node didn't send
 * are the load of other nodes; they count by the report's weight, which halves
 * with every SasMeasure_HALF_LIFE_MS of age and is scaled by the trust in the
 * server. Trust halves when a report contradicts what this node sees: it names
 * fewer than half of the requests that were in flight from here all the time,
 * or the server sheds a request while it reports itself idle. Trust recovers
 * slowly with reports that fit. This node's own requests in flight always
 * count in full.
 *
 * Times are a monotonic clock in milliseconds.
 */
#ifndef SAS_MEASURE_H
#define SAS_MEASURE_H

#include <stdbool.h>
#include <stdint.h>

#include "sas/model.h"

#define SasMeasure_HALF_LIFE_MS 2000
#define SasMeasure_OLD_MS 10000  /* reports of this age have no weight */
#define SasMeasure_SETTLE_MS 200 /* a report has to include older requests */
#define SasMeasure_SHED_MS 1000  /* a server that shed counts as full */
#define SasMeasure_IDLE_MS 1000  /* age up to which a shed refutes a report */
#define SasMeasure_DOUBT 0.5     /* factor on the trust at a contradiction */
#define SasMeasure_RECOVERY 0.05 /* of the missing trust, per good report */
#define SasMeasure_MAX_COUNT 1000000

struct sas_measure_row {
    bool reported;
    int running;
    int queued;
    int slots;
    int own_at_report; /* in flight from here when the report arrived */
    int64_t report_ms; /* arrival of the last report */
    int in_flight;     /* from this node, now */
    int low;           /* minimum in flight since window_ms */
    int low_before;    /* minimum in the window before, SETTLE_MS or longer */
    int64_t window_ms; /* start of the window */
    bool shed;
    int64_t shed_ms; /* of the last shed request */
    double trust;    /* 0 to 1 */
    bool leaving;
};

struct sas_measure {
    const struct sas_model *model;
    double floor;                 /* headroom without recent reports */
    struct sas_measure_row *rows; /* by backend server */
};

void SasMeasure_Init(struct sas_measure *measure,
                     const struct sas_model *model, double floor);
void SasMeasure_Close(struct sas_measure *measure);

/* A report of a backend server, with the time of its arrival. An older one
 * than the last is ignored. */
void SasMeasure_Report(struct sas_measure *measure, int backend, int running,
                       int queued, int slots, int64_t now_ms);

/* What this node sees: its own requests in flight there, a request that the
 * server shed, and whether it is leaving. A leaving server doesn't count for
 * its region. */
void SasMeasure_SetInFlight(struct sas_measure *measure, int backend,
                            int count);
void SasMeasure_NoteShed(struct sas_measure *measure, int backend,
                         int64_t now_ms);
void SasMeasure_SetLeaving(struct sas_measure *measure, int backend,
                           bool leaving);

/* Estimate of the requests running and queued there. */
double SasMeasure_GetLoad(const struct sas_measure *measure, int backend,
                          int64_t now_ms);

/* 0 to 1; 1 if no report was ever contradicted. */
double SasMeasure_GetTrust(const struct sas_measure *measure, int backend);

/* Free share, 0 to 1, of the service's execution slots in the region. A server
 * counts with its reported share, of which the part above the floor is limited
 * by the report's weight; with the floor if it has no recent report. 0 without
 * slots. *age_ms (may be NULL): the age of the reports that cover half of the
 * slots, NAN if fewer were reported. */
double SasMeasure_GetHeadroom(const struct sas_measure *measure,
                              const struct sas_model *model, int service,
                              int region, int64_t now_ms, double *age_ms);

#endif
