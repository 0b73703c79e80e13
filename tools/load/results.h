/* results - outcomes and latencies of a load run, and their table.
 *
 * Each request is added once: Results_AddAnswer for a complete answer,
 * Results_AddError otherwise. Names (of regions, backend servers, reasons) are
 * copied. The caller owns the struct.
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
    int64_t bytes;            /* of good answers' bodies */
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
    const char *region; /* these four: Sas- headers, "" if missing */
    const char *backend;
    const char *reason;
    const char *outcome;
};

void Results_Init(struct results *results);
void Results_Close(struct results *results);

/* 2xx counts as good, any other status as a refusal. */
void Results_AddAnswer(struct results *results, const struct answer *answer);
/* No complete or correct answer; counted by text. */
void Results_AddError(struct results *results, const char *text);

/* Writes the table to standard output; seconds: length of the run. */
void Results_Print(const struct results *results, double seconds);

/* Writes the same table as CSV, one line per group, times in ms:
 * kind,name,count,per_s,p50_ms,p90_ms,p99_ms,max_ms. */
void Results_WriteCsv(const struct results *results, double seconds,
                      FILE *file);

#endif
