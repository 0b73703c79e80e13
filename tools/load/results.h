/* results - what became of the requests of a load run, and how it is shown.
 *
 * Every request ends once: Results_AddAnswer for a whole answer,
 * Results_AddError for none. Names (of regions, backend servers, reasons) are
 * copied. The struct belongs to the caller.
 */
#ifndef RESULTS_H
#define RESULTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "sample.h"

struct results {
    int64_t planned;
    int64_t bytes;            /* of answers' bodies */
    struct histogram latency; /* of good answers, from the planned arrival */
    GHashTable *regions;      /* name to struct histogram */
    GHashTable *backends;     /* name to struct histogram */
    GHashTable *refusals;     /* "status reason outcome" to int64_t */
    GHashTable *errors;       /* text to int64_t */
};

struct answer {
    int status;
    int64_t bytes;
    double latency_ms;
    const char *region; /* "" where the answer does not say */
    const char *backend;
    const char *reason;
    const char *outcome;
};

void Results_Init(struct results *results);
void Results_Close(struct results *results);

/* 2xx counts as good; every other status as a refusal. */
void Results_AddAnswer(struct results *results, const struct answer *answer);
void Results_AddError(struct results *results, const char *text);

void Results_Print(const struct results *results, double seconds);

/* One line for each group: kind,name,count,per_s,p50,p90,p99,max. */
void Results_WriteCsv(const struct results *results, double seconds,
                      FILE *file);

#endif
