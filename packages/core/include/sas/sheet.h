/* sheet - the planner's morning sheet: CSV text to a table of intentions.
 *
 * docs/SHEET.md states the columns. A sheet is taken whole or not at all:
 * after a failure the struct is empty and the error names row (1 is the
 * header; rows without any character are not counted), column and reason.
 * Rows are sorted by time; rows of the same time keep the sheet's order, so
 * that the later one wins.
 *
 * Times are milliseconds since the epoch, shares and headroom 0 to 1. Shares
 * are multiples of SasSheet_SHARE_STEP and caps of SasSheet_CAP_STEP, so that
 * they survive a round trip through decimal text unchanged.
 */
#ifndef SAS_SHEET_H
#define SAS_SHEET_H

#include <stddef.h>
#include <stdint.h>

#include "sas/model.h"

#define SasSheet_HEADER "time,service,from,to,share,cap,drain,limits"
#define SasSheet_MAX_ROWS 8192
#define SasSheet_MAX_BYTES (4 * 1024 * 1024)
#define SasSheet_MAX_SECONDS (7 * 24 * 3600) /* of +N, ramp and warm */
#define SasSheet_MAX_CAP 1e9
#define SasSheet_MAX_AT_MS INT64_C(4102444800000) /* the year 2100 */
#define SasSheet_SHARE_STEP 1e-6
#define SasSheet_CAP_STEP 1e-3
#define SasSheet_COLUMN_SIZE 16
#define SasSheet_REASON_SIZE 192

enum sas_cap_unit {
    SAS_CAP_NONE,
    SAS_CAP_REQUESTS,  /* req/s */
    SAS_CAP_MBIT,      /* Mbit/s */
    SAS_CAP_CONCURRENT /* requests running at the same time */
};

enum sas_drain_kind {
    SAS_DRAIN_NONE, /* the row is a shift */
    SAS_DRAIN_BACKEND,
    SAS_DRAIN_VM
};

/* One row: a shift, or a drain (service, from and to are then none). */
struct sas_intention {
    int64_t at_ms;
    int service;
    int from;
    int to;
    double share;
    double cap;
    enum sas_cap_unit cap_unit;
    int64_t ramp_ms;
    double headroom;
    int64_t warm_ms;
    enum sas_drain_kind drain_kind;
    int drain_target; /* backend server or entry VM */
    int row;          /* in the sheet, 0 when it is not known */
};

struct sas_sheet {
    struct sas_intention *rows;
    int row_count;
};

struct sas_sheet_error {
    int row;
    char column[SasSheet_COLUMN_SIZE]; /* "" when no single one is wrong */
    char reason[SasSheet_REASON_SIZE];
};

/* Parses text accepted at now_ms; HH:MM is on that day at utc_offset_s.
 * Fills in *sheet, which the caller releases; 0, or -1 and *error. */
int SasSheet_Parse(struct sas_sheet *sheet, const struct sas_model *model,
                   const char *text, size_t size, int64_t now_ms,
                   int64_t utc_offset_s, struct sas_sheet_error *error);

/* The checks that concern several rows together: sorted by time, shares of
 * one (service, from) never over 100%, no service and no deployment left
 * without a backend server or an entry VM. 0, or -1 and *error. */
int SasSheet_Check(const struct sas_sheet *sheet,
                   const struct sas_model *model,
                   struct sas_sheet_error *error);

/* Releases the rows; the struct itself belongs to the caller. */
void SasSheet_Free(struct sas_sheet *sheet);

/* "req/s", "Mbit/s", "concurrent" or "", and back (-1 when unknown). */
const char *SasSheet_GetUnitName(enum sas_cap_unit unit);
int SasSheet_FindUnit(const char *name);

/* The nearest value that the steps above allow. */
double SasSheet_RoundShare(double share);
double SasSheet_RoundCap(double cap);

#endif
