/* metrics - counters, gauges and histograms, and their text exposition format.
 *
 * A family has a name, a help text, a kind and at most one label; a metric is
 * one label value of a family and is named by a small handle. Register once,
 * then count by handle: an addition is one step into a table. A handle of
 * SasModel_NONE is accepted and ignored, so a caller need not check.
 *
 * Names follow the exposition format: letters, digits, '_' and ':', no digit
 * first. Counters only rise; their names end in _total.
 *
 * A table belongs to the task that counts in it; it takes no locks.
 */
#ifndef SAS_METRICS_H
#define SAS_METRICS_H

#include <stdint.h>

/* A label value from outside must not fill the memory of an entry VM; further
 * metrics than this are refused with SasModel_NONE. */
#define SasMetrics_MAX_METRICS 8192

/* Upper bounds of a histogram's buckets; the goals of most routes, 200 to 400
 * ms, and their limits lie between them. */
#define SasMetrics_BUCKETS_MS                                                 \
    1, 2, 5, 10, 20, 50, 100, 150, 200, 250, 300, 400, 600, 1000, 2000, 5000

struct sas_metrics;

struct sas_metrics *SasMetrics_New(void);
void SasMetrics_Free(struct sas_metrics *metrics);

/* The handle of a counter or gauge, starting at 0. Label and value are NULL
 * for a family without label. The same name and value again give the same
 * handle; SasModel_NONE where the name or label is not valid, the name is
 * taken by a family of another kind or label, or the table is full. */
int SasMetrics_Register(struct sas_metrics *metrics, const char *name,
                        const char *label, const char *value,
                        const char *help);
int SasMetrics_RegisterGauge(struct sas_metrics *metrics, const char *name,
                             const char *label, const char *value,
                             const char *help);

/* Counts up a counter. */
void SasMetrics_Add(struct sas_metrics *metrics, int metric, uint64_t n);

/* Sets a gauge. */
void SasMetrics_Set(struct sas_metrics *metrics, int metric, double number);

/* The handle of a histogram of durations in milliseconds; its buckets are
 * SasMetrics_BUCKETS_MS. */
int SasMetrics_RegisterHistogram(struct sas_metrics *metrics, const char *name,
                                 const char *label, const char *value,
                                 const char *help);
void SasMetrics_Observe(struct sas_metrics *metrics, int metric,
                        double milliseconds);

/* The present number of a counter or gauge, or how many durations a histogram
 * has seen; 0 for SasModel_NONE. */
double SasMetrics_Get(const struct sas_metrics *metrics, int metric);

/* All of it in the text exposition format: families in the order of their
 * names, metrics in the order of their label values. Free with g_free. */
char *SasMetrics_Format(const struct sas_metrics *metrics);

#endif
