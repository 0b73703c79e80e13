#include "sas/plan.h"

#include <glib.h>
#include <math.h>
#include <string.h>

struct capacity_check {
    const struct sas_model *model;
    const struct sas_demand *demand;
    const struct sas_sheet_row **rows_in_force; /* [(service, from, to)] */
    int *slots;   /* [service, region], less drained servers */
    int *drained; /* by backend server; 0 or 1 */
    struct sas_sheet_error *place;
    struct sas_error *error;
};

static int
refuse(const struct capacity_check *check, const struct sas_sheet_row *row,
       const char *column, const char *reason)
{
    if (check->place != NULL) {
        check->place->row = row->row;
        g_strlcpy(check->place->column, column, SasSheet_COLUMN_SIZE);
        g_strlcpy(check->place->reason, reason, SasSheet_REASON_SIZE);
    }
    SasError_Set(check->error, SAS_ECAPACITY, "plan.capacity", "",
                 "row %d, column %s: %s", row->row, column, reason);
    return -1;
}

static struct sas_demand
get_demand(const struct capacity_check *check, int service, int home)
{
    if (check->demand == NULL) {
        return (struct sas_demand){NAN, NAN, NAN};
    }
    return check->demand[service * check->model->region_count + home];
}

/* Load that a shift puts on its target, in one unit: the lesser of its share
 * of the demand and its cap in that unit, or whichever is known; NAN when
 * neither is. */
static double
get_shift_load(const struct sas_sheet_row *row, double demand,
               enum sas_cap_unit unit)
{
    double share = row->share * demand;
    double cap = row->cap_unit == unit ? row->cap : NAN;
    if (row->share == 0) {
        return 0;
    }
    return isnan(share) ? cap : isnan(cap) ? share : fmin(share, cap);
}

static const struct sas_sheet_row *
get_row_in_force(const struct capacity_check *check, int service, int from,
                 int to)
{
    int regions = check->model->region_count;
    return check->rows_in_force[(service * regions + from) * regions + to];
}

/* Concurrent requests in the region when all ramps are complete. */
static double
sum_concurrent(const struct capacity_check *check, int service, int region)
{
    double own = get_demand(check, service, region).concurrent;
    double remaining = 1;
    double sum = 0;
    for (int other = 0; other < check->model->region_count; other++) {
        const struct sas_sheet_row *in =
            get_row_in_force(check, service, other, region);
        const struct sas_sheet_row *out =
            get_row_in_force(check, service, region, other);
        if (in != NULL) {
            double demand = get_demand(check, service, other).concurrent;
            double load = get_shift_load(in, demand, SAS_CAP_CONCURRENT);
            sum += isnan(load) ? 0 : load;
        }
        remaining -= out != NULL ? out->share : 0;
    }
    return sum + (isnan(own) ? 0 : own * fmax(remaining, 0));
}

static double
sum_mbit(const struct capacity_check *check, int from, int to)
{
    double sum = 0;
    for (int service = 0; service < check->model->service_count; service++) {
        const struct sas_sheet_row *row =
            get_row_in_force(check, service, from, to);
        if (row != NULL) {
            double demand = get_demand(check, service, from).mbit_per_s;
            double load = get_shift_load(row, demand, SAS_CAP_MBIT);
            sum += isnan(load) ? 0 : load;
        }
    }
    return sum;
}

static int
check_shift(const struct capacity_check *check,
            const struct sas_sheet_row *row)
{
    const struct sas_model *model = check->model;
    int slots = check->slots[row->service * model->region_count + row->to];
    double link = SasModel_GetLinkCapacity(model, row->from, row->to);
    bool replaced =
        get_row_in_force(check, row->service, row->from, row->to) != row;
    if (row->share == 0 || replaced) {
        return 0;
    }
    if (slots == 0) {
        return refuse(
            check, row, "to",
            "the target region has no backend server of the service left");
    }
    if (row->cap_unit == SAS_CAP_CONCURRENT && row->cap > slots) {
        return refuse(check, row, "cap",
                      "above the target region's execution slots");
    }
    if (row->cap_unit == SAS_CAP_MBIT && row->cap > link) {
        return refuse(check, row, "cap", "above the link's capacity");
    }
    if (sum_concurrent(check, row->service, row->to) >
        slots * (1 - row->headroom)) {
        return refuse(check, row, "share",
                      "too few execution slots, less the headroom, in the "
                      "target region");
    }
    if (sum_mbit(check, row->from, row->to) > link) {
        return refuse(check, row, "share",
                      "the link's capacity is too low for all shifts over it");
    }
    return 0;
}

static void
apply_row(struct capacity_check *check, const struct sas_sheet_row *row)
{
    const struct sas_model *model = check->model;
    int regions = model->region_count;
    int target = row->drain_target;
    if (row->drain_kind == SAS_DRAIN_NONE) {
        check->rows_in_force[(row->service * regions + row->from) * regions +
                             row->to] = row;
    }
    else if (row->drain_kind == SAS_DRAIN_BACKEND && !check->drained[target]) {
        check->drained[target] = 1;
        int region = SasModel_GetBackendRegion(model, target);
        const struct sas_backend *backend = &model->backends[target];
        check->slots[backend->service * regions + region] -= backend->slots;
    }
}

/* A drain can overload its region, for the region's own callers or for shifts
 * in earlier rows. The error then names the drain. */
static int
check_drain(const struct capacity_check *check,
            const struct sas_sheet_row *row)
{
    int regions = check->model->region_count;
    int cells = check->model->service_count * regions * regions;
    int service = check->model->backends[row->drain_target].service;
    int region = SasModel_GetBackendRegion(check->model, row->drain_target);
    if (sum_concurrent(check, service, region) >
        check->slots[service * regions + region]) {
        return refuse(
            check, row, "drain",
            "leaves the region too few execution slots for its callers");
    }
    for (int cell = 0; cell < cells; cell++) {
        const struct sas_sheet_row *shift = check->rows_in_force[cell];
        if (shift != NULL && check_shift(check, shift) < 0) {
            return refuse(check, row, "drain",
                          "leaves too little capacity for a shift in force");
        }
    }
    return 0;
}

static int
check_time(const struct capacity_check *check, const struct sas_sheet *sheet,
           int first, int next)
{
    for (int i = first; i < next; i++) {
        const struct sas_sheet_row *row = &sheet->rows[i];
        int rc = 0;
        if (row->drain_kind == SAS_DRAIN_NONE) {
            rc = check_shift(check, row);
        }
        else if (row->drain_kind == SAS_DRAIN_BACKEND) {
            rc = check_drain(check, row);
        }
        if (rc < 0) {
            return -1;
        }
    }
    return 0;
}

static void
count_slots(struct capacity_check *check)
{
    const struct sas_model *model = check->model;
    for (int i = 0; i < model->backend_count; i++) {
        int region = SasModel_GetBackendRegion(model, i);
        check->slots[model->backends[i].service * model->region_count +
                     region] += model->backends[i].slots;
    }
}

int
SasPlan_CheckCapacity(const struct sas_model *model,
                      const struct sas_config *config,
                      const struct sas_demand *demand,
                      struct sas_sheet_error *place, struct sas_error *error)
{
    size_t cells = (size_t)model->service_count * model->region_count;
    g_autofree const struct sas_sheet_row **rows_in_force =
        g_new0(const struct sas_sheet_row *, cells * model->region_count + 1);
    g_autofree int *slots = g_new0(int, cells + 1);
    g_autofree int *drained = g_new0(int, model->backend_count + 1);
    struct capacity_check check = {.model = model,
                                   .demand = demand,
                                   .rows_in_force = rows_in_force,
                                   .slots = slots,
                                   .drained = drained,
                                   .place = place,
                                   .error = error};
    const struct sas_sheet *sheet = &config->sheet;
    int next = 0;
    count_slots(&check);
    for (int first = 0; first < sheet->row_count; first = next) {
        for (next = first; next < sheet->row_count &&
                           sheet->rows[next].at_ms == sheet->rows[first].at_ms;
             next++) {
            apply_row(&check, &sheet->rows[next]);
        }
        if (check_time(&check, sheet, first, next) < 0) {
            return -1;
        }
    }
    return 0;
}
