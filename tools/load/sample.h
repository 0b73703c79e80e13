/* sample - random draws and a histogram for the measuring programs.
 *
 * The histogram has buckets of equal ratio, so that every quantile is off by
 * at most half a bucket (0.25 %) between 1 microsecond and 1 hour. Values are
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

/* Sigma of the logarithm; the mean is that of the values. */
double Sample_DrawLognormal(GRand *random, double mean, double sigma);

void Histogram_Add(struct histogram *histogram, double ms);
void Histogram_Merge(struct histogram *into, const struct histogram *from);

/* The value that this share (0 to 1) of the values stays under; 0 when there
 * are none. */
double Histogram_GetQuantile(const struct histogram *histogram, double share);

#endif
