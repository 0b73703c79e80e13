#include "sas/measure.h"

#include <glib.h>
#include <math.h>
#include <string.h>

static void judge_report(struct sas_measure_row *row);
static double get_weight(const struct sas_measure_row *row, int64_t now_ms);
static int get_others(const struct sas_measure_row *row);
static int get_slots(const struct sas_measure *measure, int backend);
static double get_free_share(const struct sas_measure *measure, int backend,
                             int64_t now_ms);
static double find_median_age(const struct sas_measure *measure, int service,
                              int region, int64_t now_ms);

/* Life. */

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

/* What comes in. */

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
    judge_report(row);
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
    /* One report is refuted once, however many requests it sheds. */
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

/* What is made of it. */

double
SasMeasure_GetLoad(const struct sas_measure *measure, int backend,
                   int64_t now_ms)
{
    const struct sas_measure_row *row = &measure->rows[backend];
    double load = row->in_flight + get_weight(row, now_ms) * get_others(row);
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
    double all = 0;
    double unused = 0;
    for (int i = 0; i < model->backend_count; i++) {
        if (model->backends[i].service == service &&
            SasModel_GetBackendRegion(model, i) == region &&
            !measure->rows[i].leaving) {
            all += model->backends[i].slots;
            unused +=
                model->backends[i].slots * get_free_share(measure, i, now_ms);
        }
    }
    if (age_ms != NULL) {
        *age_ms = find_median_age(measure, service, region, now_ms);
    }
    return all > 0 ? unused / all : 0;
}

/* Reports. */

/* Failure: a load endpoint that lags or lies says "idle", every node believes
 * it, and all their requests land on the one server that can't take them.
 * At every instant of the last SasMeasure_SETTLE_MS at least `seen` requests
 * from here were under way. Some of them were on the wire, so half of them
 * must be among those it reports; otherwise it is believed half as much. */
static void
judge_report(struct sas_measure_row *row)
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

/* What the report says beyond the requests of this node. */
static int
get_others(const struct sas_measure_row *row)
{
    return MAX(0, row->running + row->queued - row->own_at_report);
}

/* Never more than configured; less when the server says so. */
static int
get_slots(const struct sas_measure *measure, int backend)
{
    const struct sas_measure_row *row = &measure->rows[backend];
    int slots = measure->model->backends[backend].slots;
    return row->reported && row->slots > 0 ? MIN(slots, row->slots) : slots;
}

/* The free share of the configured slots: what the figures say, but above the
 * floor only as far as they carry weight. */
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
        get_slots(measure, backend) - row->in_flight - get_others(row);
    double most = floor + (1 - floor) * get_weight(row, now_ms);
    return CLAMP(left / configured, 0, most);
}

static int
compare_ages(const void *left, const void *right, void *data)
{
    const struct sas_measure *measure = data;
    const struct sas_measure_row *a = &measure->rows[*(const int *)left];
    const struct sas_measure_row *b = &measure->rows[*(const int *)right];
    return (a->report_ms < b->report_ms) - (a->report_ms > b->report_ms);
}

/* One dead server must not hold a ramp for good, nor one lively server speak
 * for a silent region: the age is that within which half the slots spoke. */
static double
find_median_age(const struct sas_measure *measure, int service, int region,
                int64_t now_ms)
{
    const struct sas_model *model = measure->model;
    g_autofree int *spoke = g_new0(int, model->backend_count + 1);
    int count = 0;
    double all = 0;
    double sum = 0;
    for (int i = 0; i < model->backend_count; i++) {
        if (model->backends[i].service == service &&
            SasModel_GetBackendRegion(model, i) == region &&
            !measure->rows[i].leaving) {
            all += model->backends[i].slots;
            if (measure->rows[i].reported) {
                spoke[count++] = i;
            }
        }
    }
    g_qsort_with_data(spoke, count, sizeof(spoke[0]), compare_ages,
                      (void *)measure);
    for (int i = 0; i < count; i++) {
        sum += model->backends[spoke[i]].slots;
        if (sum * 2 >= all) {
            return (double)MAX(0, now_ms - measure->rows[spoke[i]].report_ms);
        }
    }
    return NAN;
}
