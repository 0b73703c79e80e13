#include "sas/plan.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define MAX_WALL_MS SasSheet_MAX_AT_MS
#define MAX_ELAPSED_MS INT64_C(604800000) /* bounds the clocks' arithmetic */

static int compare_rows(const void *left, const void *right, void *data);
static void take_rows(struct sas_plan *plan, const struct sas_config *config);
static void make_shifts(struct sas_plan *plan);
static void carry_over(struct sas_plan *plan, const struct sas_plan *old);
static void take_signals(struct sas_plan *plan,
                         const struct sas_plan_signals *signals);
static int64_t advance_clock(struct sas_plan *plan, int64_t wall_ms,
                             int64_t monotonic_ms);
static bool advance_shift(const struct sas_plan *plan, struct sas_shift *shift,
                          bool fresh, int64_t elapsed_ms);
static int find_first_shift(const struct sas_plan *plan, int service,
                            int from);
static int find_shift(const struct sas_plan *plan, int service, int from,
                      int to);
static bool is_from(const struct sas_plan *plan, int i, int service, int from);
static double climb(const struct sas_intention *rows, int active, double level,
                    double time_ms, double limit);
static double get_schedule_point(const struct sas_plan *plan,
                                 const struct sas_shift *shift);

static const char *const hold_names[] = {
    "", "measurements-old", "headroom-short", "cache-cold", "region-gone"};

/* Life of a plan. */

void
SasPlan_Build(struct sas_plan *plan, const struct sas_model *model,
              const struct sas_config *config)
{
    struct sas_plan old = *plan;
    size_t cells = (size_t)model->service_count * model->region_count;
    memset(plan, 0, sizeof(*plan));
    plan->model = model;
    plan->version = config->number;
    plan->accepted_ms = config->accepted_ms;
    plan->fresh = old.version == 0;
    plan->started = old.started;
    plan->fresh_since_ms = old.fresh_since_ms;
    plan->monotonic_ms = old.monotonic_ms;
    plan->wall_ms = old.wall_ms;
    plan->clock_ms = old.clock_ms;
    plan->gone = g_new0(bool, model->region_count + 1);
    plan->headroom = g_new(double, cells + 1);
    for (size_t i = 0; i < cells; i++) {
        plan->headroom[i] = NAN;
    }
    take_rows(plan, config);
    make_shifts(plan);
    carry_over(plan, &old);
    SasPlan_Free(&old);
}

void
SasPlan_Free(struct sas_plan *plan)
{
    g_free(plan->shifts);
    g_free(plan->rows);
    g_free(plan->drains);
    g_free(plan->gone);
    g_free(plan->headroom);
    memset(plan, 0, sizeof(*plan));
}

/* Time. */

bool
SasPlan_Advance(struct sas_plan *plan, int64_t wall_ms, int64_t monotonic_ms,
                const struct sas_plan_signals *signals)
{
    bool fresh = plan->fresh;
    bool changed = false;
    int64_t elapsed_ms = advance_clock(plan, wall_ms, monotonic_ms);
    if (fresh) {
        plan->fresh_since_ms = plan->monotonic_ms;
        plan->fresh = false;
    }
    take_signals(plan, signals);
    for (int i = 0; i < plan->shift_count; i++) {
        changed |= advance_shift(plan, &plan->shifts[i], fresh, elapsed_ms);
    }
    return changed;
}

bool
SasPlan_Seed(struct sas_plan *plan, int service, int from, int to,
             double share)
{
    int i = find_shift(plan, service, from, to);
    struct sas_shift *shift = i == SasModel_NONE ? NULL : &plan->shifts[i];
    bool fresh = plan->monotonic_ms - plan->fresh_since_ms <= SasPlan_SEED_MS;
    if (shift == NULL || !fresh || shift->active == SasModel_NONE ||
        plan->gone[to] || !(share > shift->in_force)) {
        return false;
    }
    double point = get_schedule_point(plan, shift);
    double level = fmin(share, fmin(point, shift->ordered));
    if (level <= shift->in_force) {
        return false;
    }
    shift->in_force = level;
    return true;
}

/* What is in force. */

const struct sas_shift *
SasPlan_FindShift(const struct sas_plan *plan, int service, int from, int to)
{
    int i = find_shift(plan, service, from, to);
    return i == SasModel_NONE ? NULL : &plan->shifts[i];
}

double
SasPlan_GetShare(const struct sas_plan *plan, int service, int home,
                 int region)
{
    double left = 1;
    int i = find_first_shift(plan, service, home);
    for (; is_from(plan, i, service, home); i++) {
        const struct sas_shift *shift = &plan->shifts[i];
        if (shift->to == region) {
            return shift->in_force;
        }
        left -= shift->in_force;
    }
    return region == home ? fmax(left, 0) : 0;
}

/* A region's part of what a gone home region leaves behind. */
static double
get_free_slots(const struct sas_plan *plan, int service, int region)
{
    if (plan->gone[region]) {
        return 0;
    }
    double headroom =
        plan->headroom[service * plan->model->region_count + region];
    double slots = SasModel_CountSlots(plan->model, service, region);
    return slots *
           (isnan(headroom) ? SasPlan_MIN_HEADROOM : fmax(headroom, 0));
}

/* Failure: a region dies and its callers' answers still name it, so every one
 * of them waits for a timeout. Its remaining share goes where slots are free;
 * when nobody has any the weight stays at home, for an answer is never
 * empty and the entry VMs refuse what can't be run. */
static void
spread_home(const struct sas_plan *plan, int service, int home,
            double *weights)
{
    int regions = plan->model->region_count;
    double sum = 0;
    for (int region = 0; region < regions; region++) {
        sum += region == home ? 0 : get_free_slots(plan, service, region);
    }
    if (sum <= 0) {
        return;
    }
    double left = weights[home];
    weights[home] = 0;
    for (int region = 0; region < regions; region++) {
        if (region != home) {
            weights[region] +=
                left * get_free_slots(plan, service, region) / sum;
        }
    }
}

void
SasPlan_GetWeights(const struct sas_plan *plan, int service, int home,
                   double *weights)
{
    for (int region = 0; region < plan->model->region_count; region++) {
        weights[region] = 0;
    }
    double left = 1;
    int i = find_first_shift(plan, service, home);
    for (; is_from(plan, i, service, home); i++) {
        weights[plan->shifts[i].to] = plan->shifts[i].in_force;
        left -= plan->shifts[i].in_force;
    }
    weights[home] = fmax(left, 0);
    if (plan->gone != NULL && plan->gone[home]) {
        spread_home(plan, service, home, weights);
    }
}

/* Failure: a row takes effect while callers hold answers from before it. From
 * SasPlan_AHEAD_MS before it the answers are short-lived already. */
static bool
is_imminent(const struct sas_plan *plan, const struct sas_shift *shift)
{
    int next = shift->active + 1;
    return next < shift->row_count &&
           plan->rows[shift->first_row + next].at_ms - plan->clock_ms <=
               SasPlan_AHEAD_MS;
}

bool
SasPlan_IsShifting(const struct sas_plan *plan, int service, int home)
{
    if (plan->gone != NULL && plan->gone[home]) {
        return true;
    }
    int i = find_first_shift(plan, service, home);
    for (; is_from(plan, i, service, home); i++) {
        if (plan->shifts[i].in_force != plan->shifts[i].ordered ||
            is_imminent(plan, &plan->shifts[i])) {
            return true;
        }
    }
    return false;
}

bool
SasPlan_IsDraining(const struct sas_plan *plan, enum sas_drain_kind kind,
                   int target)
{
    int64_t now_ms = MAX(plan->clock_ms, plan->wall_ms);
    for (int i = 0; plan->started && i < plan->drain_count; i++) {
        const struct sas_intention *row = &plan->drains[i];
        if (row->at_ms > now_ms) {
            break;
        }
        if (row->drain_kind == kind && row->drain_target == target) {
            return true;
        }
    }
    return false;
}

const char *
SasPlan_GetHoldName(enum sas_hold hold)
{
    return hold_names[hold];
}

/* Finding. */

/* The first shift of (service, from), or where it would stand: shifts are
 * sorted as the rows are. */
static int
find_first_shift(const struct sas_plan *plan, int service, int from)
{
    int low = 0;
    int high = plan->shift_count;
    while (low < high) {
        int middle = low + (high - low) / 2;
        const struct sas_shift *shift = &plan->shifts[middle];
        if (shift->service < service ||
            (shift->service == service && shift->from < from)) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

static bool
is_from(const struct sas_plan *plan, int i, int service, int from)
{
    return i < plan->shift_count && plan->shifts[i].service == service &&
           plan->shifts[i].from == from;
}

static int
find_shift(const struct sas_plan *plan, int service, int from, int to)
{
    int i = find_first_shift(plan, service, from);
    for (; is_from(plan, i, service, from); i++) {
        if (plan->shifts[i].to == to) {
            return i;
        }
    }
    return SasModel_NONE;
}

/* Building. */

static int
compare_rows(const void *left, const void *right, void *data)
{
    (void)data;
    const struct sas_intention *a = left;
    const struct sas_intention *b = right;
    if (a->service != b->service) {
        return a->service < b->service ? -1 : 1;
    }
    if (a->from != b->from) {
        return a->from < b->from ? -1 : 1;
    }
    if (a->to != b->to) {
        return a->to < b->to ? -1 : 1;
    }
    return (a->at_ms > b->at_ms) - (a->at_ms < b->at_ms);
}

static void
take_rows(struct sas_plan *plan, const struct sas_config *config)
{
    const struct sas_sheet *sheet = &config->sheet;
    plan->rows = g_new0(struct sas_intention, sheet->row_count + 1);
    plan->drains = g_new0(struct sas_intention, sheet->row_count + 1);
    for (int i = 0; i < sheet->row_count; i++) {
        if (sheet->rows[i].drain_kind == SAS_DRAIN_NONE) {
            plan->rows[plan->row_count++] = sheet->rows[i];
        }
        else {
            plan->drains[plan->drain_count++] = sheet->rows[i];
        }
    }
    g_qsort_with_data(plan->rows, plan->row_count, sizeof(plan->rows[0]),
                      compare_rows, NULL);
}

static bool
is_same_shift(const struct sas_intention *a, const struct sas_intention *b)
{
    return a->service == b->service && a->from == b->from && a->to == b->to;
}

static void
make_shifts(struct sas_plan *plan)
{
    plan->shifts = g_new0(struct sas_shift, plan->row_count + 1);
    for (int i = 0; i < plan->row_count; i++) {
        const struct sas_intention *row = &plan->rows[i];
        if (i > 0 && is_same_shift(row, row - 1)) {
            plan->shifts[plan->shift_count - 1].row_count++;
            continue;
        }
        plan->shifts[plan->shift_count++] = (struct sas_shift){
            .service = row->service,
            .from = row->from,
            .to = row->to,
            .first_row = i,
            .row_count = 1,
            .active = SasModel_NONE,
            .carried_at_ms = -1,
        };
    }
}

/* Failure: a new version that repeats a shift would begin its ramp again, and
 * the callers under way would all go home for a while. The share in force and
 * the warming done so far stay. */
static void
carry_over(struct sas_plan *plan, const struct sas_plan *old)
{
    for (int i = 0; i < plan->shift_count; i++) {
        struct sas_shift *shift = &plan->shifts[i];
        const struct sas_shift *was =
            SasPlan_FindShift(old, shift->service, shift->from, shift->to);
        if (was == NULL) {
            continue;
        }
        shift->ordered = was->ordered;
        shift->in_force = was->in_force;
        shift->holding = was->holding;
        shift->returning = was->returning;
        if (was->active != SasModel_NONE) {
            const struct sas_intention *row =
                &old->rows[was->first_row + was->active];
            shift->carried_at_ms = row->at_ms;
            shift->carried_share = row->share;
            shift->carried_flowing_ms = was->flowing_ms;
        }
    }
}

/* Clocks and signals. */

/* Returns the monotonic time since the last call, as far as it is granted. */
static int64_t
advance_clock(struct sas_plan *plan, int64_t wall_ms, int64_t monotonic_ms)
{
    wall_ms = CLAMP(wall_ms, 0, MAX_WALL_MS);
    plan->wall_ms = wall_ms;
    if (!plan->started) {
        plan->started = true;

        plan->monotonic_ms = monotonic_ms;
        plan->clock_ms = wall_ms;
        return 0;
    }
    int64_t elapsed_ms =
        CLAMP(monotonic_ms - plan->monotonic_ms, 0, MAX_ELAPSED_MS);
    plan->monotonic_ms = MAX(plan->monotonic_ms, monotonic_ms);
    if (wall_ms >= plan->clock_ms + elapsed_ms) {
        plan->clock_ms =
            MIN(wall_ms, plan->clock_ms + elapsed_ms * SasPlan_CATCH_UP);
    }
    else {
        plan->clock_ms = MAX(wall_ms, plan->clock_ms + elapsed_ms / 2);
    }
    return MIN(elapsed_ms, SasPlan_MAX_STEP_MS);
}

static void
take_signals(struct sas_plan *plan, const struct sas_plan_signals *signals)
{
    int regions = plan->model->region_count;
    int cells = plan->model->service_count * regions;
    for (int i = 0; i < regions; i++) {
        plan->gone[i] =
            signals != NULL && signals->gone != NULL && signals->gone[i];
    }
    for (int i = 0; i < cells; i++) {
        bool recent = signals != NULL && signals->table != NULL &&
                      signals->table[i].age_ms <= SasPlan_OLD_MS;
        plan->headroom[i] = recent ? signals->table[i].headroom : NAN;
    }
}

/* Levels. */

/* The share from which row i rises: that of the row before it. */
static double
get_base(const struct sas_intention *rows, int i)
{
    return i > 0 ? rows[i - 1].share : 0;
}

/* The last row up to the active one whose rise covers the level; its ramp
 * says how fast the level may rise there. There is one for every level below
 * the active row's share, since the shares lead from 0 to it. */
static int
find_rise(const struct sas_intention *rows, int active, double level)
{
    for (int i = active; i >= 0; i--) {
        if (get_base(rows, i) <= level && level < rows[i].share) {
            return i;
        }
    }
    return SasModel_NONE;
}

/* The level after time_ms of rising at the ramps' rates, up to the limit. */
static double
climb(const struct sas_intention *rows, int active, double level,
      double time_ms, double limit)
{
    while (level < limit) {
        int i = find_rise(rows, active, level);
        if (i == SasModel_NONE) {
            break;
        }
        double top = fmin(rows[i].share, limit);
        if (rows[i].ramp_ms > 0) {
            double rate =
                (rows[i].share - get_base(rows, i)) / rows[i].ramp_ms;
            double needed_ms = (top - level) / rate;
            if (needed_ms > time_ms) {
                return level + rate * time_ms;
            }
            time_ms -= needed_ms;
        }
        level = top;
    }
    return level;
}

/* Failure: this node's clock is behind that of the one which accepted the
 * version, and until it has caught up a shift that goes on has no row: its
 * callers go home, and what home has no room for comes back without a cap. */
static bool
is_due(const struct sas_plan *plan, const struct sas_intention *row)
{
    int64_t ahead_ms = plan->accepted_ms - plan->clock_ms;
    return row->at_ms <= plan->clock_ms ||
           (row->at_ms <= plan->accepted_ms && ahead_ms <= SasPlan_SKEW_MS);
}

static int64_t
get_time_since(const struct sas_plan *plan, const struct sas_intention *row)
{
    return MAX(plan->clock_ms - row->at_ms, 0);
}

static double
get_schedule_point(const struct sas_plan *plan, const struct sas_shift *shift)
{
    const struct sas_intention *rows = plan->rows + shift->first_row;
    const struct sas_intention *row = &rows[shift->active];
    return climb(rows, shift->active, shift->start_level,
                 get_time_since(plan, row), row->share);
}

/* Moves to the row in force at the schedule's clock. */
static void
activate_rows(const struct sas_plan *plan, struct sas_shift *shift, bool fresh)
{
    const struct sas_intention *rows = plan->rows + shift->first_row;
    int next = shift->active + 1;
    for (; next < shift->row_count && is_due(plan, &rows[next]); next++) {
        const struct sas_intention *row = &rows[next];
        double level = 0;
        if (next > 0) {
            level =
                climb(rows, next - 1, shift->start_level,
                      row->at_ms - rows[next - 1].at_ms, rows[next - 1].share);
        }
        shift->start_level = fmin(level, row->share);
        shift->active = next;
        shift->flowing_ms = fresh ? get_time_since(plan, row) : 0;
        if (row->at_ms == shift->carried_at_ms &&
            row->share == shift->carried_share) {
            shift->flowing_ms = shift->carried_flowing_ms;
        }
    }
}

/* Failure: measurements stop arriving, or the target fills up for another
 * reason, and a share that rises by the clock alone pushes the region over
 * what it can carry. No rise without a recent, sufficient headroom. */
static enum sas_hold
find_hold(double headroom, double wanted)
{
    if (isnan(headroom)) {
        return SAS_HOLD_MEASUREMENTS_OLD;
    }
    if (headroom < fmax(wanted, SasPlan_MIN_HEADROOM)) {
        return SAS_HOLD_HEADROOM_SHORT;
    }
    return SAS_HOLD_NONE;
}

/* The level that the row allows now: the schedule's point, and less while the
 * target's caches are cold. Never less than what is in force already. */
static double
get_limit(const struct sas_plan *plan, struct sas_shift *shift)
{
    const struct sas_intention *rows = plan->rows + shift->first_row;
    const struct sas_intention *row = &rows[shift->active];
    double limit = get_schedule_point(plan, shift);
    if (shift->flowing_ms < row->warm_ms) {
        double base = fmin(get_base(rows, shift->active), row->share);
        double warm = fmax(base, SasPlan_WARM_SHARE * row->share);
        if (warm < limit) {
            shift->holding = SAS_HOLD_CACHE_COLD;
            limit = warm;
        }
    }
    return fmax(limit, shift->in_force);
}

static void
raise_share(const struct sas_plan *plan, struct sas_shift *shift,
            int64_t elapsed_ms)
{
    const struct sas_intention *rows = plan->rows + shift->first_row;
    const struct sas_intention *row = &rows[shift->active];
    int cell = shift->service * plan->model->region_count + shift->to;
    shift->holding = find_hold(plan->headroom[cell], row->headroom);
    if (shift->holding != SAS_HOLD_NONE) {
        return;
    }
    double limit = get_limit(plan, shift);
    double level =
        climb(rows, shift->active, shift->in_force, elapsed_ms, limit);
    if (shift->returning) {
        double step = shift->ordered * elapsed_ms / SasPlan_RETURN_MS;
        level = fmin(level, shift->in_force + step);
    }
    shift->in_force = level;
}

static bool
advance_shift(const struct sas_plan *plan, struct sas_shift *shift, bool fresh,
              int64_t elapsed_ms)
{
    double before = shift->in_force;
    activate_rows(plan, shift, fresh);
    if (shift->active == SasModel_NONE) {
        shift->ordered = 0;
        shift->in_force = 0;
        return before != 0;
    }
    const struct sas_intention *row =
        &plan->rows[shift->first_row + shift->active];
    shift->ordered = row->share;
    shift->cap = row->cap;
    shift->cap_unit = row->cap_unit;
    shift->holding = SAS_HOLD_NONE;
    shift->in_force = fmin(shift->in_force, shift->ordered);
    if (plan->gone[shift->to]) {
        shift->in_force = 0;
        shift->returning = true;
        shift->holding = SAS_HOLD_REGION_GONE;
    }
    else if (shift->in_force < shift->ordered) {
        raise_share(plan, shift, elapsed_ms);
    }
    if (shift->in_force >= shift->ordered) {
        shift->returning = false;
    }
    if (shift->in_force > 0) {
        shift->flowing_ms += elapsed_ms;
    }
    return shift->in_force != before;
}
