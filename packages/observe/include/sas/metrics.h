/* metrics - counters, gauges and histograms, and their text exposition format.
 *
 * A family has a name, a help text, a kind and at most one label. A metric is
 * one label value of a family; register it once and update it by its handle,
 * an index. Updates with the handle SasModel_NONE, or with one of another
 * kind, are ignored, so callers needn't check whether Register failed.
 *
 * Names follow the exposition format: letters, digits, '_' and ':', no digit
 * first. Counters only increase; their names end in _total by convention.
 *
 * Not thread-safe: each table belongs to one task.
 */
#ifndef SAS_METRICS_H
#define SAS_METRICS_H

#include <stdint.h>

/* Metrics per table, so that label values from outside can't fill the memory
 * of an entry VM; registering more returns SasModel_NONE. */
#define SasMetrics_MAX_METRICS 8192

/* Upper bounds of a histogram's buckets, ms; a bound itself counts in the next
 * bucket. The latency objectives of most routes, 200 to 400 ms, and their
 * deadlines lie within this range. */
#define SasMetrics_BUCKETS_MS                                                 \
    1, 2, 5, 10, 20, 50, 100, 150, 200, 250, 300, 400, 600, 1000, 2000, 5000

struct sas_metrics;

struct sas_metrics *SasMetrics_New(void);
void SasMetrics_Free(struct sas_metrics *metrics);

/* Registers a counter or gauge and returns its handle, 0 for the first metric
 * of a table. Label and value are NULL for a family without a label. The same
 * name and value return the same handle again. Returns SasModel_NONE if the
 * name or label is invalid, the name belongs to a family with another kind or
 * label, or the table is full. */
int SasMetrics_RegisterCounter(struct sas_metrics *metrics, const char *name,
                               const char *label, const char *value,
                               const char *help);
int SasMetrics_RegisterGauge(struct sas_metrics *metrics, const char *name,
                             const char *label, const char *value,
                             const char *help);

/* Increments a counter by n. */
void SasMetrics_Add(struct sas_metrics *metrics, int handle, uint64_t n);

/* Sets a gauge. */
void SasMetrics_SetGauge(struct sas_metrics *metrics, int handle,
                         double number);

/* Registers a histogram of durations with the buckets SasMetrics_BUCKETS_MS;
 * otherwise as SasMetrics_RegisterCounter. */
int SasMetrics_RegisterHistogram(struct sas_metrics *metrics, const char *name,
                                 const char *label, const char *value,
                                 const char *help);

/* Adds a duration to a histogram. */
void SasMetrics_Observe(struct sas_metrics *metrics, int handle,
                        double milliseconds);

/* The value of a counter or gauge, or the number of durations in a histogram;
 * 0 for SasModel_NONE. */
double SasMetrics_Get(const struct sas_metrics *metrics, int handle);

/* All metrics in the text exposition format: families sorted by name, metrics
 * by label value. Free with g_free. */
char *SasMetrics_Format(const struct sas_metrics *metrics);

#endif
