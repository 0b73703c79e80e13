/* measure - the load of backend servers, from what they report and what this
 * node sees itself.
 *
 * Reports lag and may be wrong. A report is the number of requests a backend
 * server runs and queues; what of it this node did not send is the load of
 * others. That part counts by the report's weight, which halves with every
 * SasMeasure_HALF_LIFE_MS of age and is scaled by the trust in the server:
 * trust halves when a report contradicts what was seen here (less than half
 * of what was in flight from here all along, or a shed request while it
 * reports itself idle) and comes back slowly with reports that fit. What this
 * node has in flight itself always counts in full.
 *
 * Times are a monotonic clock in milliseconds.
 */
#ifndef SAS_MEASURE_H
#define SAS_MEASURE_H

#include <stdbool.h>
#include <stdint.h>

#include "sas/model.h"

#define SasMeasure_HALF_LIFE_MS 2000
#define SasMeasure_OLD_MS 10000 /* no weight at all from this age on */
#define SasMeasure_SETTLE_MS                                                  \
    200                          /* in flight this long, it must be reported  \
                                  */
#define SasMeasure_SHED_MS 1000  /* how long a shed server counts as full */
#define SasMeasure_IDLE_MS 1000  /* a report this recent can be refuted */
#define SasMeasure_DOUBT 0.5     /* factor of trust after a contradiction */
#define SasMeasure_RECOVERY 0.05 /* of the missing trust, each good report */
#define SasMeasure_MAX_COUNT 1000000

struct sas_measure_row {
    bool reported;
    int running;
    int queued;
    int slots;
    int own_at_report; /* in flight from here when the report came */
    int64_t report_ms;
    int in_flight;  /* from this node, now */
    int low;        /* least in flight since window_ms */
    int low_before; /* least in the window before, SETTLE_MS or longer */
    int64_t window_ms;
    bool shed;
    int64_t shed_ms;
    double trust; /* 0 to 1 */
    bool leaving;
};

struct sas_measure {
    const struct sas_model *model;
    double floor;                 /* headroom where nothing is known */
    struct sas_measure_row *rows; /* by backend server */
};

void SasMeasure_Init(struct sas_measure *measure,
                     const struct sas_model *model, double floor);
void SasMeasure_Close(struct sas_measure *measure);

/* What a backend server said of itself, and when it arrived. */
void SasMeasure_Report(struct sas_measure *measure, int backend, int running,
                       int queued, int slots, int64_t now_ms);

/* What this node sees: its own requests in flight there, and that the server
 * shed one. A leaving server does not count for its region. */
void SasMeasure_SetInFlight(struct sas_measure *measure, int backend,
                            int count);
void SasMeasure_NoteShed(struct sas_measure *measure, int backend,
                         int64_t now_ms);
void SasMeasure_SetLeaving(struct sas_measure *measure, int backend,
                           bool leaving);

/* Requests running and queued there, as far as can be told. */
double SasMeasure_GetLoad(const struct sas_measure *measure, int backend,
                          int64_t now_ms);

/* 1 where no report was ever contradicted. */
double SasMeasure_GetTrust(const struct sas_measure *measure, int backend);

/* Free share, 0 to 1, of the service's slots in the region. It is what the
 * reports say, but above the floor only as far as they carry weight; the
 * floor itself without recent reports, 0 without slots. *age_ms (may be NULL):
 * the age within which half of the slots were reported on, NAN when they were
 * not. */
double SasMeasure_GetHeadroom(const struct sas_measure *measure,
                              const struct sas_model *model, int service,
                              int region, int64_t now_ms, double *age_ms);

#endif
