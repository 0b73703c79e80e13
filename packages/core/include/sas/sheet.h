/* sheet - parses the planners' CSV sheet of traffic shifts and drains.
 *
 * docs/SHEET.md defines the columns. Parsing is all or nothing: after a
 * failure the struct is empty and the error names row (1 is the header; empty
 * lines are not counted), column and reason. Rows are sorted by time; rows of
 * the same time keep the sheet's order, so that the later one wins.
 *
 * Times are milliseconds since the epoch, shares and headroom 0 to 1. Shares
 * are multiples of SasSheet_SHARE_STEP and caps of SasSheet_CAP_STEP, so that
 * a round trip through decimal text does not change them.
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
    SAS_CAP_CONCURRENT /* concurrent requests */
};

enum sas_drain_kind {
    SAS_DRAIN_NONE, /* the row is a shift */
    SAS_DRAIN_BACKEND,
    SAS_DRAIN_VM
};

/* One row: a shift, or a drain (with service, from and to SasModel_NONE). */
struct sas_sheet_row {
    int64_t at_ms;
    int service;
    int from;
    int to;
    double share; /* of from's callers that goes to `to` */
    double cap;
    enum sas_cap_unit cap_unit;
    int64_t ramp_ms; /* rise time of the share */
    double headroom; /* the ramp holds while the target has less */
    int64_t warm_ms; /* share is limited for this time, while caches warm */
    enum sas_drain_kind drain_kind;
    int drain_target; /* backend server or entry VM */
    int row;          /* in the sheet, 0 when unknown */
};

struct sas_sheet {
    struct sas_sheet_row *rows;
    int row_count;
};

struct sas_sheet_error {
    int row;
    char column[SasSheet_COLUMN_SIZE]; /* "" if not about one column */
    char reason[SasSheet_REASON_SIZE];
};

/* Parses a sheet that is accepted at now_ms. A time HH:MM is on that day in
 * the zone with utc_offset_s. Returns 0 and *sheet, which the caller releases
 * with SasSheet_Free, or -1 and *error. */
int SasSheet_Parse(struct sas_sheet *sheet, const struct sas_model *model,
                   const char *text, size_t size, int64_t now_ms,
                   int64_t utc_offset_s, struct sas_sheet_error *error);

/* Checks the rules over several rows: sorted by time, shares of one (service,
 * from) never above 100%, at least one backend server of each drained service
 * and one entry VM remain. Returns 0, or -1 and *error. */
int SasSheet_Check(const struct sas_sheet *sheet,
                   const struct sas_model *model,
                   struct sas_sheet_error *error);

/* Releases the rows; the struct itself belongs to the caller. */
void SasSheet_Free(struct sas_sheet *sheet);

/* Convert a cap's unit to "req/s", "Mbit/s", "concurrent" or "" and back (-1
 * when unknown). */
const char *SasSheet_GetUnitName(enum sas_cap_unit unit);
int SasSheet_FindUnit(const char *name);

/* Round to a multiple of SasSheet_SHARE_STEP or SasSheet_CAP_STEP. */
double SasSheet_RoundShare(double share);
double SasSheet_RoundCap(double cap);

#endif
