#include "sample.h"

#include <math.h>

#define LOWEST_MS 0.001    /* lower end of bucket 0, which has all below too */
#define BUCKET_RATIO 1.005 /* upper end to lower end of a bucket */

double
Sample_DrawExponential(GRand *random, double mean)
{
    return -mean * log(1.0 - g_rand_double(random));
}

double
Sample_DrawLognormal(GRand *random, double mean, double sigma)
{
    double u = 1.0 - g_rand_double(random);
    double v = g_rand_double(random);
    double normal = sqrt(-2.0 * log(u)) * cos(2.0 * G_PI * v);
    return mean * exp(sigma * normal - sigma * sigma / 2.0);
}

void
Histogram_Add(struct histogram *histogram, double ms)
{
    int i =
        ms <= LOWEST_MS ? 0 : (int)(log(ms / LOWEST_MS) / log(BUCKET_RATIO));
    histogram->counts[MIN(i, SAMPLE_BUCKETS - 1)]++;
    histogram->total++;
    histogram->max = fmax(histogram->max, ms);
}

void
Histogram_Merge(struct histogram *into, const struct histogram *from)
{
    for (int i = 0; i < SAMPLE_BUCKETS; i++) {
        into->counts[i] += from->counts[i];
    }
    into->total += from->total;
    into->max = fmax(into->max, from->max);
}

double
Histogram_GetQuantile(const struct histogram *histogram, double share)
{
    int64_t rank = (int64_t)ceil(share * (double)histogram->total);
    int64_t count = 0;
    for (int i = 0; i < SAMPLE_BUCKETS && histogram->total > 0; i++) {
        count += histogram->counts[i];
        if (count >= rank) {
            return fmin(LOWEST_MS * pow(BUCKET_RATIO, i + 0.5),
                        histogram->max);
        }
    }
    return histogram->max;
}
