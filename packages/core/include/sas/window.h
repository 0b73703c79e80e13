/* window - counts the events of a sliding time window.
 *
 * The window moves in steps of one bucket. A count covers the whole span and
 * up to one bucket more, so a limit on the count also holds in every interval
 * of that length. Times are monotonic milliseconds.
 */
#ifndef SAS_WINDOW_H
#define SAS_WINDOW_H

#include <stdint.h>

#define SasWindow_BUCKETS 20 /* a count covers up to 1/20 of the span more */

struct sas_window {
    int64_t bucket_ms;
    int64_t newest; /* number of the newest bucket */
    double counts[SasWindow_BUCKETS + 1];
};

void SasWindow_Init(struct sas_window *window, int64_t span_ms);

/* Adds n events, and returns the number of events in the window. */
void SasWindow_Add(struct sas_window *window, double n, int64_t now_ms);
double SasWindow_Count(struct sas_window *window, int64_t now_ms);

#endif
