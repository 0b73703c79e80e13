#include "sas/load_estimate.h"

#include <glib.h>
#include <math.h>
#include <string.h>

static void check_report(struct sas_load_estimate_row *row);
static double get_weight(const struct sas_load_estimate_row *row,
                         int64_t now_ms);
static int get_load_of_others(const struct sas_load_estimate_row *row);
static int get_slots(const struct sas_load_estimate *estimate, int backend);
static double get_free_share(const struct sas_load_estimate *estimate,
                             int backend, int64_t now_ms);
static double find_median_age(const struct sas_load_estimate *estimate,
                              int service, int region, int64_t now_ms);

/* Start and end. */

void
SasLoadEstimate_Init(struct sas_load_estimate *estimate,
                     const struct sas_model *model, double floor)
{
    estimate->model = model;
    estimate->fallback_headroom = floor;
    estimate->rows =
        g_new0(struct sas_load_estimate_row, model->backend_count + 1);
    for (int i = 0; i < model->backend_count; i++) {
        estimate->rows[i].trust = 1;
    }
}

void
SasLoadEstimate_Close(struct sas_load_estimate *estimate)
{
    g_free(estimate->rows);
    memset(estimate, 0, sizeof(*estimate));
}

/* Updates. */

void
SasLoadEstimate_Report(struct sas_load_estimate *estimate, int backend,
                       int running, int queued, int slots, int64_t now_ms)
{
    struct sas_load_estimate_row *row = &estimate->rows[backend];
    if (row->reported && now_ms < row->report_ms) {
        return;
    }
    row->running = CLAMP(running, 0, SasLoadEstimate_MAX_COUNT);
    row->queued = CLAMP(queued, 0, SasLoadEstimate_MAX_COUNT);
    row->slots = CLAMP(slots, 0, SasLoadEstimate_MAX_COUNT);
    row->report_ms = now_ms;
    row->reported = true;
    check_report(row);
    row->own_at_report = row->in_flight;
    if (now_ms - row->window_ms >= SasLoadEstimate_MIN_OVERLAP_MS) {
        row->low_before = row->low;
        row->low = row->in_flight;
        row->window_ms = now_ms;
    }
}

void
SasLoadEstimate_SetInFlight(struct sas_load_estimate *estimate, int backend,
                            int count)
{
    struct sas_load_estimate_row *row = &estimate->rows[backend];
    row->in_flight = count;
    row->low = MIN(row->low, count);
}

void
SasLoadEstimate_NoteShed(struct sas_load_estimate *estimate, int backend,
                         int64_t now_ms)
{
    struct sas_load_estimate_row *row = &estimate->rows[backend];
    bool recent = row->reported &&
                  now_ms - row->report_ms <= SasLoadEstimate_REFUTABLE_MS;
    bool idle =
        row->running < get_slots(estimate, backend) && row->queued == 0;
    /* A report is refuted once, for any number of shed requests. */
    bool refuted = row->shed && row->shed_ms >= row->report_ms;
    if (recent && idle && !refuted) {
        row->trust *= SasLoadEstimate_TRUST_PENALTY;
    }
    row->shed = true;
    row->shed_ms = now_ms;
}

void
SasLoadEstimate_SetLeaving(struct sas_load_estimate *estimate, int backend,
                           bool leaving)
{
    estimate->rows[backend].leaving = leaving;
}

/* Estimates. */

double
SasLoadEstimate_GetLoad(const struct sas_load_estimate *estimate, int backend,
                        int64_t now_ms)
{
    const struct sas_load_estimate_row *row = &estimate->rows[backend];
    double load =
        row->in_flight + get_weight(row, now_ms) * get_load_of_others(row);
    if (row->shed && now_ms - row->shed_ms < SasLoadEstimate_SHED_MS) {
        load = fmax(load, get_slots(estimate, backend));
    }
    return load;
}

double
SasLoadEstimate_GetTrust(const struct sas_load_estimate *estimate, int backend)
{
    return estimate->rows[backend].trust;
}

double
SasLoadEstimate_GetHeadroom(const struct sas_load_estimate *estimate,
                            const struct sas_model *model, int service,
                            int region, int64_t now_ms, double *age_ms)
{
    double total_slots = 0;
    double free_slots = 0;
    for (int i = 0; i < model->backend_count; i++) {
        if (model->backends[i].service == service &&
            SasModel_GetBackendRegion(model, i) == region &&
            !estimate->rows[i].leaving) {
            total_slots += model->backends[i].slots;
            free_slots +=
                model->backends[i].slots * get_free_share(estimate, i, now_ms);
        }
    }
    if (age_ms != NULL) {
        *age_ms = find_median_age(estimate, service, region, now_ms);
    }
    return total_slots > 0 ? free_slots / total_slots : 0;
}

/* Checks and weights of reports. */

/* Guards against a load endpoint that is late or wrong and reports "idle":
 * all nodes would send their requests to that server, which can't run them.
 * At least `seen` requests from here were in flight at every moment of the
 * last SasLoadEstimate_MIN_OVERLAP_MS. Some of them were on the wire, so the
 * report has to include half of them; otherwise the trust is halved. */
static void
check_report(struct sas_load_estimate_row *row)
{
    int seen = MIN(row->low, row->low_before);
    if (2 * (row->running + row->queued) + 1 < seen) {
        row->trust *= SasLoadEstimate_TRUST_PENALTY;
    }
    else {
        row->trust += SasLoadEstimate_RECOVERY * (1 - row->trust);
    }
}

static double
get_weight(const struct sas_load_estimate_row *row, int64_t now_ms)
{
    int64_t age_ms = now_ms - row->report_ms;
    if (!row->reported || age_ms >= SasLoadEstimate_MAX_AGE_MS) {
        return 0;
    }
    double halvings = (double)MAX(age_ms, 0) / SasLoadEstimate_HALF_LIFE_MS;
    return row->trust * exp2(-halvings);
}

/* Requests in the report that this node didn't send. */
static int
get_load_of_others(const struct sas_load_estimate_row *row)
{
    return MAX(0, row->running + row->queued - row->own_at_report);
}

/* The configured execution slots, or fewer if the server reports fewer. */
static int
get_slots(const struct sas_load_estimate *estimate, int backend)
{
    const struct sas_load_estimate_row *row = &estimate->rows[backend];
    int slots = estimate->model->backends[backend].slots;
    return row->reported && row->slots > 0 ? MIN(slots, row->slots) : slots;
}

/* The free share of the configured slots. The part above the floor is limited
 * by the report's weight. */
static double
get_free_share(const struct sas_load_estimate *estimate, int backend,
               int64_t now_ms)
{
    const struct sas_load_estimate_row *row = &estimate->rows[backend];
    double floor = estimate->fallback_headroom;
    double configured = estimate->model->backends[backend].slots;
    if (configured <= 0) {
        return 0;
    }
    if (!row->reported ||
        now_ms - row->report_ms >= SasLoadEstimate_MAX_AGE_MS) {
        return floor;
    }
    double left = get_slots(estimate, backend) - row->in_flight -
                  get_load_of_others(row);
    double limit = floor + (1 - floor) * get_weight(row, now_ms);
    return CLAMP(left / configured, 0, limit);
}

static int
compare_ages(const void *left, const void *right, void *data)
{
    const struct sas_load_estimate *estimate = data;
    const struct sas_load_estimate_row *a =
        &estimate->rows[*(const int *)left];
    const struct sas_load_estimate_row *b =
        &estimate->rows[*(const int *)right];
    return (a->report_ms < b->report_ms) - (a->report_ms > b->report_ms);
}

/* The age of the reports that cover half of the slots. The oldest report would
 * let one dead server hold a ramp for good, the newest one would let a single
 * server stand for a region that doesn't report. */
static double
find_median_age(const struct sas_load_estimate *estimate, int service,
                int region, int64_t now_ms)
{
    const struct sas_model *model = estimate->model;
    g_autofree int *reported = g_new0(int, model->backend_count + 1);
    int count = 0;
    double total_slots = 0;
    double covered_slots = 0;
    for (int i = 0; i < model->backend_count; i++) {
        if (model->backends[i].service == service &&
            SasModel_GetBackendRegion(model, i) == region &&
            !estimate->rows[i].leaving) {
            total_slots += model->backends[i].slots;
            if (estimate->rows[i].reported) {
                reported[count++] = i;
            }
        }
    }
    g_qsort_with_data(reported, count, sizeof(reported[0]), compare_ages,
                      (void *)estimate);
    for (int i = 0; i < count; i++) {
        covered_slots += model->backends[reported[i]].slots;
        if (covered_slots * 2 >= total_slots) {
            return (double)MAX(0,
                               now_ms - estimate->rows[reported[i]].report_ms);
        }
    }
    return NAN;
}
