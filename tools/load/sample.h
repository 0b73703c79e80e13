/* sample - random draws and a latency histogram for the measuring programs.
 *
 * The histogram has logarithmic buckets (ratio 1.005): between 1 microsecond
 * and 1 hour a quantile is off by at most half a bucket (0.25 %). Values are
 * milliseconds. Random numbers come from the caller's GRand.
 */
#ifndef SAMPLE_H
#define SAMPLE_H

#include <glib.h>
#include <stdint.h>

#define SAMPLE_BUCKETS 4420

struct histogram {
    int64_t counts[SAMPLE_BUCKETS];
    int64_t total;
    double max;
};

double Sample_DrawExponential(GRand *random, double mean);

/* mean: of the values; sigma: of their logarithm. */
double Sample_DrawLognormal(GRand *random, double mean, double sigma);

void Histogram_Add(struct histogram *histogram, double ms);
void Histogram_Merge(struct histogram *into, const struct histogram *from);

/* Quantile for a share from 0 to 1; 0 for an empty histogram. */
double Histogram_GetQuantile(const struct histogram *histogram, double share);

#endif
