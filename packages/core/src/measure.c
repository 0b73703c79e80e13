#include "sas/measure.h"

#include <glib.h>
#include <math.h>
#include <string.h>

static void check_report(struct sas_measure_row *row);
static double get_weight(const struct sas_measure_row *row, int64_t now_ms);
static int get_load_of_others(const struct sas_measure_row *row);
static int get_slots(const struct sas_measure *measure, int backend);
static double get_free_share(const struct sas_measure *measure, int backend,
                             int64_t now_ms);
static double find_median_age(const struct sas_measure *measure, int service,
                              int region, int64_t now_ms);

/* Start and end. */

void
SasMeasure_Init(struct sas_measure *measure, const struct sas_model *model,
                double floor)
{
    measure->model = model;
    measure->floor = floor;
    measure->rows = g_new0(struct sas_measure_row, model->backend_count + 1);
    for (int i = 0; i < model->backend_count; i++) {
        measure->rows[i].trust = 1;
    }
}

void
SasMeasure_Close(struct sas_measure *measure)
{
    g_free(measure->rows);
    memset(measure, 0, sizeof(*measure));
}

/* Updates. */

void
SasMeasure_Report(struct sas_measure *measure, int backend, int running,
                  int queued, int slots, int64_t now_ms)
{
    struct sas_measure_row *row = &measure->rows[backend];
    if (row->reported && now_ms < row->report_ms) {
        return;
    }
    row->running = CLAMP(running, 0, SasMeasure_MAX_COUNT);
    row->queued = CLAMP(queued, 0, SasMeasure_MAX_COUNT);
    row->slots = CLAMP(slots, 0, SasMeasure_MAX_COUNT);
    row->report_ms = now_ms;
    row->reported = true;
    check_report(row);
    row->own_at_report = row->in_flight;
    if (now_ms - row->window_ms >= SasMeasure_SETTLE_MS) {
        row->low_before = row->low;
        row->low = row->in_flight;
        row->window_ms = now_ms;
    }
}

void
SasMeasure_SetInFlight(struct sas_measure *measure, int backend, int count)
{
    struct sas_measure_row *row = &measure->rows[backend];
    row->in_flight = count;
    row->low = MIN(row->low, count);
}

void
SasMeasure_NoteShed(struct sas_measure *measure, int backend, int64_t now_ms)
{
    struct sas_measure_row *row = &measure->rows[backend];
    bool recent =
        row->reported && now_ms - row->report_ms <= SasMeasure_IDLE_MS;
    bool idle = row->running < get_slots(measure, backend) && row->queued == 0;
    /* A report is refuted once, for any number of shed requests. */
    bool refuted = row->shed && row->shed_ms >= row->report_ms;
    if (recent && idle && !refuted) {
        row->trust *= SasMeasure_DOUBT;
    }
    row->shed = true;
    row->shed_ms = now_ms;
}

void
SasMeasure_SetLeaving(struct sas_measure *measure, int backend, bool leaving)
{
    measure->rows[backend].leaving = leaving;
}

/* Estimates. */

double
SasMeasure_GetLoad(const struct sas_measure *measure, int backend,
                   int64_t now_ms)
{
    const struct sas_measure_row *row = &measure->rows[backend];
    double load =
        row->in_flight + get_weight(row, now_ms) * get_load_of_others(row);
    if (row->shed && now_ms - row->shed_ms < SasMeasure_SHED_MS) {
        load = fmax(load, get_slots(measure, backend));
    }
    return load;
}

double
SasMeasure_GetTrust(const struct sas_measure *measure, int backend)
{
    return measure->rows[backend].trust;
}

double
SasMeasure_GetHeadroom(const struct sas_measure *measure,
                       const struct sas_model *model, int service, int region,
                       int64_t now_ms, double *age_ms)
{
    double total_slots = 0;
    double free_slots = 0;
    for (int i = 0; i < model->backend_count; i++) {
        if (model->backends[i].service == service &&
            SasModel_GetBackendRegion(model, i) == region &&
            !measure->rows[i].leaving) {
            total_slots += model->backends[i].slots;
            free_slots +=
                model->backends[i].slots * get_free_share(measure, i, now_ms);
        }
    }
    if (age_ms != NULL) {
        *age_ms = find_median_age(measure, service, region, now_ms);
    }
    return total_slots > 0 ? free_slots / total_slots : 0;
}

/* Checks and weights of reports. */

/* Guards against a load endpoint that is late or wrong and reports "idle":
 * all nodes would send their requests to that server, which can't run them.
 * At least `seen` requests from here were in flight at every moment of the
 * last SasMeasure_SETTLE_MS. Some of them were on the wire, so the report has
 * to include half of them; otherwise the trust is halved. */
static void
check_report(struct sas_measure_row *row)
{
    int seen = MIN(row->low, row->low_before);
    if (2 * (row->running + row->queued) + 1 < seen) {
        row->trust *= SasMeasure_DOUBT;
    }
    else {
        row->trust += SasMeasure_RECOVERY * (1 - row->trust);
    }
}

static double
get_weight(const struct sas_measure_row *row, int64_t now_ms)
{
    int64_t age_ms = now_ms - row->report_ms;
    if (!row->reported || age_ms >= SasMeasure_OLD_MS) {
        return 0;
    }
    double halvings = (double)MAX(age_ms, 0) / SasMeasure_HALF_LIFE_MS;
    return row->trust * exp2(-halvings);
}

/* Requests in the report that this node didn't send. */
static int
get_load_of_others(const struct sas_measure_row *row)
{
    return MAX(0, row->running + row->queued - row->own_at_report);
}

/* The configured execution slots, or fewer if the server reports fewer. */
static int
get_slots(const struct sas_measure *measure, int backend)
{
    const struct sas_measure_row *row = &measure->rows[backend];
    int slots = measure->model->backends[backend].slots;
    return row->reported && row->slots > 0 ? MIN(slots, row->slots) : slots;
}

/* The free share of the configured slots. The part above the floor is limited
 * by the report's weight. */
static double
get_free_share(const struct sas_measure *measure, int backend, int64_t now_ms)
{
    const struct sas_measure_row *row = &measure->rows[backend];
    double floor = measure->floor;
    double configured = measure->model->backends[backend].slots;
    if (configured <= 0) {
        return 0;
    }
    if (!row->reported || now_ms - row->report_ms >= SasMeasure_OLD_MS) {
        return floor;
    }
    double left =
        get_slots(measure, backend) - row->in_flight - get_load_of_others(row);
    double limit = floor + (1 - floor) * get_weight(row, now_ms);
    return CLAMP(left / configured, 0, limit);
}

static int
compare_ages(const void *left, const void *right, void *data)
{
    const struct sas_measure *measure = data;
    const struct sas_measure_row *a = &measure->rows[*(const int *)left];
    const struct sas_measure_row *b = &measure->rows[*(const int *)right];
    return (a->report_ms < b->report_ms) - (a->report_ms > b->report_ms);
}

/* The age of the reports that cover half of the slots. The oldest report would
 * let one dead server hold a ramp for good, the newest one would let a single
 * server stand for a region that doesn't report. */
static double
find_median_age(const struct sas_measure *measure, int service, int region,
                int64_t now_ms)
{
    const struct sas_model *model = measure->model;
    g_autofree int *reported = g_new0(int, model->backend_count + 1);
    int count = 0;
    double total_slots = 0;
    double covered_slots = 0;
    for (int i = 0; i < model->backend_count; i++) {
        if (model->backends[i].service == service &&
            SasModel_GetBackendRegion(model, i) == region &&
            !measure->rows[i].leaving) {
            total_slots += model->backends[i].slots;
            if (measure->rows[i].reported) {
                reported[count++] = i;
            }
        }
    }
    g_qsort_with_data(reported, count, sizeof(reported[0]), compare_ages,
                      (void *)measure);
    for (int i = 0; i < count; i++) {
        covered_slots += model->backends[reported[i]].slots;
        if (covered_slots * 2 >= total_slots) {
            return (double)MAX(0,
                               now_ms - measure->rows[reported[i]].report_ms);
        }
    }
    return NAN;
}
