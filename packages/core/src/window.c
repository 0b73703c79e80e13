#include "sas/window.h"

#include <string.h>

#include <glib.h>

#define STORED_BUCKETS (SasWindow_BUCKETS + 1)

void
SasWindow_Init(struct sas_window *window, int64_t span_ms)
{
    memset(window, 0, sizeof(*window));
    window->bucket_ms = MAX(span_ms / SasWindow_BUCKETS, 1);
}

/* Makes the bucket of now_ms the newest one and clears those it replaces. */
static void
advance(struct sas_window *window, int64_t now_ms)
{
    int64_t bucket = now_ms / window->bucket_ms;
    if (bucket - window->newest >= STORED_BUCKETS) {
        memset(window->counts, 0, sizeof(window->counts));
        window->newest = bucket;
    }
    while (window->newest < bucket) {
        window->newest++;
        window->counts[window->newest % STORED_BUCKETS] = 0;
    }
}

void
SasWindow_Add(struct sas_window *window, double n, int64_t now_ms)
{
    advance(window, now_ms);
    window->counts[window->newest % STORED_BUCKETS] += n;
}

double
SasWindow_Count(struct sas_window *window, int64_t now_ms)
{
    advance(window, now_ms);
    double sum = 0;
    for (int i = 0; i < STORED_BUCKETS; i++) {
        sum += window->counts[i];
    }
    return sum;
}
