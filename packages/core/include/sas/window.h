/* window - how many events fell into the last so many milliseconds.
 *
 * The span slides in steps of a bucket; a count covers the whole span and up
 * to one bucket more, so a limit held against it also holds in any window of
 * that length. Times are monotonic milliseconds.
 */
#ifndef SAS_WINDOW_H
#define SAS_WINDOW_H

#include <stdint.h>

#define SasWindow_BUCKETS 20 /* the count errs by at most 1/20 of the span */

struct sas_window {
    int64_t bucket_ms;
    int64_t newest; /* number of the newest bucket */
    double counts[SasWindow_BUCKETS + 1];
};

void SasWindow_Init(struct sas_window *window, int64_t span_ms);
void SasWindow_Add(struct sas_window *window, double n, int64_t now_ms);
double SasWindow_Count(struct sas_window *window, int64_t now_ms);

#endif
