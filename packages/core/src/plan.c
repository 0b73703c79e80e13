#include "sas/plan.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define MAX_WALL_MS SasSheet_MAX_AT_MS
#define MAX_ELAPSED_MS INT64_C(604800000) /* a week; prevents overflows */

static int compare_rows(const void *left, const void *right, void *data);
static void copy_rows(struct sas_plan *plan, const struct sas_config *config);
static void make_shifts(struct sas_plan *plan);
static void carry_over(struct sas_plan *plan, const struct sas_plan *old);
static void apply_signals(struct sas_plan *plan,
                          const struct sas_plan_signals *signals);
static int64_t advance_clock(struct sas_plan *plan, int64_t wall_ms,
                             int64_t monotonic_ms);
static bool advance_shift(const struct sas_plan *plan, struct sas_shift *shift,
                          bool fresh, int64_t elapsed_ms);
static int find_first_shift(const struct sas_plan *plan, int service,
                            int from);
static int find_shift(const struct sas_plan *plan, int service, int from,
                      int to);
static bool is_shift_from(const struct sas_plan *plan, int i, int service,
                          int from);
static double ramp_up(const struct sas_sheet_row *rows, int active_row,
                      double share, double time_ms, double limit);
static double get_scheduled_share(const struct sas_plan *plan,
                                  const struct sas_shift *shift);

static const char *const hold_names[] = {
    "", "measurements-old", "headroom-short", "cache-cold", "region-gone"};

/* Creation and release. */

void
SasPlan_Build(struct sas_plan *plan, const struct sas_model *model,
              const struct sas_config *config)
{
    struct sas_plan old = *plan;
    size_t cells = (size_t)model->service_count * model->region_count;
    memset(plan, 0, sizeof(*plan));
    plan->model = model;
    plan->version = config->version;
    plan->accepted_ms = config->accepted_ms;
    plan->fresh = old.version == 0;
    plan->started = old.started;
    plan->seed_window_start_ms = old.seed_window_start_ms;
    plan->monotonic_ms = old.monotonic_ms;
    plan->wall_ms = old.wall_ms;
    plan->clock_ms = old.clock_ms;
    plan->down = g_new0(bool, model->region_count + 1);
    plan->headroom = g_new(double, cells + 1);
    for (size_t i = 0; i < cells; i++) {
        plan->headroom[i] = NAN;
    }
    copy_rows(plan, config);
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
    g_free(plan->down);
    g_free(plan->headroom);
    memset(plan, 0, sizeof(*plan));
}

/* Advancing and seeding. */

bool
SasPlan_Advance(struct sas_plan *plan, int64_t wall_ms, int64_t monotonic_ms,
                const struct sas_plan_signals *signals)
{
    bool fresh = plan->fresh;
    bool changed = false;
    int64_t elapsed_ms = advance_clock(plan, wall_ms, monotonic_ms);
    if (fresh) {
        plan->seed_window_start_ms = plan->monotonic_ms;
        plan->fresh = false;
    }
    apply_signals(plan, signals);
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
    bool fresh = plan->monotonic_ms - plan->seed_window_start_ms <=
                 SasPlan_SEED_WINDOW_MS;
    if (shift == NULL || !fresh || shift->active_row == SasModel_NONE ||
        plan->down[to] || !(share > shift->in_force)) {
        return false;
    }
    double scheduled = get_scheduled_share(plan, shift);
    double allowed = fmin(share, fmin(scheduled, shift->ordered));
    if (allowed <= shift->in_force) {
        return false;
    }
    shift->in_force = allowed;
    return true;
}

/* Shares and weights in force. */

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
    double remaining = 1;
    int i = find_first_shift(plan, service, home);
    for (; is_shift_from(plan, i, service, home); i++) {
        const struct sas_shift *shift = &plan->shifts[i];
        if (shift->to == region) {
            return shift->in_force;
        }
        remaining -= shift->in_force;
    }
    return region == home ? fmax(remaining, 0) : 0;
}

/* Free execution slots, by which the share of a home region that is down is
 * distributed. Without a measurement the free part counts as
 * SasPlan_MIN_HEADROOM. */
static double
get_free_slots(const struct sas_plan *plan, int service, int region)
{
    if (plan->down[region]) {
        return 0;
    }
    double headroom =
        plan->headroom[service * plan->model->region_count + region];
    double slots = SasModel_CountSlots(plan->model, service, region);
    return slots *
           (isnan(headroom) ? SasPlan_MIN_HEADROOM : fmax(headroom, 0));
}

/* Without this, lookups would keep naming a region that is down, and each of
 * its callers would wait for a timeout. Its remaining share goes to regions
 * with free execution slots. If no region has any, the weight stays at home:
 * an answer is never empty, and entry VMs refuse what they can't run. */
static void
distribute_home_share(const struct sas_plan *plan, int service, int home,
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
    double remaining = weights[home];
    weights[home] = 0;
    for (int region = 0; region < regions; region++) {
        if (region != home) {
            weights[region] +=
                remaining * get_free_slots(plan, service, region) / sum;
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
    double remaining = 1;
    int i = find_first_shift(plan, service, home);
    for (; is_shift_from(plan, i, service, home); i++) {
        weights[plan->shifts[i].to] = plan->shifts[i].in_force;
        remaining -= plan->shifts[i].in_force;
    }
    weights[home] = fmax(remaining, 0);
    if (plan->down != NULL && plan->down[home]) {
        distribute_home_share(plan, service, home, weights);
    }
}

/* True from SasPlan_IMMINENT_MS before the next row on. Lookup answers then
 * get a short TTL, so that callers don't keep using answers from before the
 * row when it takes effect. */
static bool
is_imminent(const struct sas_plan *plan, const struct sas_shift *shift)
{
    int next = shift->active_row + 1;
    return next < shift->row_count &&
           plan->rows[shift->first_row + next].at_ms - plan->clock_ms <=
               SasPlan_IMMINENT_MS;
}

bool
SasPlan_IsShifting(const struct sas_plan *plan, int service, int home)
{
    if (plan->down != NULL && plan->down[home]) {
        return true;
    }
    int i = find_first_shift(plan, service, home);
    for (; is_shift_from(plan, i, service, home); i++) {
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
        const struct sas_sheet_row *row = &plan->drains[i];
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

/* Finding shifts. */

/* Index of the first shift of (service, from), or of where it would be
 * inserted. Shifts are sorted in the order of compare_rows. */
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
is_shift_from(const struct sas_plan *plan, int i, int service, int from)
{
    return i < plan->shift_count && plan->shifts[i].service == service &&
           plan->shifts[i].from == from;
}

static int
find_shift(const struct sas_plan *plan, int service, int from, int to)
{
    int i = find_first_shift(plan, service, from);
    for (; is_shift_from(plan, i, service, from); i++) {
        if (plan->shifts[i].to == to) {
            return i;
        }
    }
    return SasModel_NONE;
}

/* Building from a configuration. */

static int
compare_rows(const void *left, const void *right, void *data)
{
    (void)data;
    const struct sas_sheet_row *a = left;
    const struct sas_sheet_row *b = right;
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
copy_rows(struct sas_plan *plan, const struct sas_config *config)
{
    const struct sas_sheet *sheet = &config->sheet;
    plan->rows = g_new0(struct sas_sheet_row, sheet->row_count + 1);
    plan->drains = g_new0(struct sas_sheet_row, sheet->row_count + 1);
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
is_same_shift(const struct sas_sheet_row *a, const struct sas_sheet_row *b)
{
    return a->service == b->service && a->from == b->from && a->to == b->to;
}

static void
make_shifts(struct sas_plan *plan)
{
    plan->shifts = g_new0(struct sas_shift, plan->row_count + 1);
    for (int i = 0; i < plan->row_count; i++) {
        const struct sas_sheet_row *row = &plan->rows[i];
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
            .active_row = SasModel_NONE,
            .previous_at_ms = -1,
        };
    }
}

/* Keeps the share in force and the warm-up time of shifts that the new version
 * repeats. Otherwise their ramps would begin again at 0, and the callers that
 * were already shifted would all go home for a while. */
static void
carry_over(struct sas_plan *plan, const struct sas_plan *old)
{
    for (int i = 0; i < plan->shift_count; i++) {
        struct sas_shift *shift = &plan->shifts[i];
        const struct sas_shift *previous =
            SasPlan_FindShift(old, shift->service, shift->from, shift->to);
        if (previous == NULL) {
            continue;
        }
        shift->ordered = previous->ordered;
        shift->in_force = previous->in_force;
        shift->holding = previous->holding;
        shift->recovering = previous->recovering;
        if (previous->active_row != SasModel_NONE) {
            const struct sas_sheet_row *row =
                &old->rows[previous->first_row + previous->active_row];
            shift->previous_at_ms = row->at_ms;
            shift->previous_share = row->share;
            shift->previous_warmup_ms = previous->warmup_ms;
        }
    }
}

/* Clocks and signals. */

/* Advances the schedule clock. Returns the monotonic time since the last call,
 * at most SasPlan_MAX_RAMP_STEP_MS. */
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
            MIN(wall_ms, plan->clock_ms + elapsed_ms * SasPlan_MAX_CLOCK_RATE);
    }
    else {
        plan->clock_ms = MAX(wall_ms, plan->clock_ms + elapsed_ms / 2);
    }
    return MIN(elapsed_ms, SasPlan_MAX_RAMP_STEP_MS);
}

static void
apply_signals(struct sas_plan *plan, const struct sas_plan_signals *signals)
{
    int regions = plan->model->region_count;
    int cells = plan->model->service_count * regions;
    for (int i = 0; i < regions; i++) {
        plan->down[i] =
            signals != NULL && signals->down != NULL && signals->down[i];
    }
    for (int i = 0; i < cells; i++) {
        bool recent = signals != NULL && signals->table != NULL &&
                      signals->table[i].age_ms <= SasPlan_MAX_SIGNAL_AGE_MS;
        plan->headroom[i] = recent ? signals->table[i].headroom : NAN;
    }
}

/* Ramps. */

/* The share at which row i's ramp starts: that of the row before it. */
static double
get_ramp_start(const struct sas_sheet_row *rows, int i)
{
    return i > 0 ? rows[i - 1].share : 0;
}

/* Returns the last row, up to the active one, whose ramp covers the share; it
 * determines how fast the share may rise there. Every share below that of the
 * active row is covered, since the ramps together lead from 0 to it. */
static int
find_ramp_row(const struct sas_sheet_row *rows, int active_row, double share)
{
    for (int i = active_row; i >= 0; i--) {
        if (get_ramp_start(rows, i) <= share && share < rows[i].share) {
            return i;
        }
    }
    return SasModel_NONE;
}

/* The share after rising for time_ms at the rates of the ramps, at most the
 * limit. */
static double
ramp_up(const struct sas_sheet_row *rows, int active_row, double share,
        double time_ms, double limit)
{
    while (share < limit) {
        int i = find_ramp_row(rows, active_row, share);
        if (i == SasModel_NONE) {
            break;
        }
        double top = fmin(rows[i].share, limit);
        if (rows[i].ramp_ms > 0) {
            double rate =
                (rows[i].share - get_ramp_start(rows, i)) / rows[i].ramp_ms;
            double needed_ms = (top - share) / rate;
            if (needed_ms > time_ms) {
                return share + rate * time_ms;
            }
            time_ms -= needed_ms;
        }
        share = top;
    }
    return share;
}

/* True when the row has taken effect. If this node's clock is behind that of
 * the node which accepted the version, by at most SasPlan_MAX_CLOCK_SKEW_MS,
 * rows up to the time of acceptance are due as well. Otherwise a shift that
 * continues would have no row until the clock catches up: its callers would go
 * home, and those above home's capacity would spill over without a cap. */
static bool
is_due(const struct sas_plan *plan, const struct sas_sheet_row *row)
{
    int64_t ahead_ms = plan->accepted_ms - plan->clock_ms;
    return row->at_ms <= plan->clock_ms ||
           (row->at_ms <= plan->accepted_ms &&
            ahead_ms <= SasPlan_MAX_CLOCK_SKEW_MS);
}

static int64_t
get_time_since(const struct sas_plan *plan, const struct sas_sheet_row *row)
{
    return MAX(plan->clock_ms - row->at_ms, 0);
}

static double
get_scheduled_share(const struct sas_plan *plan, const struct sas_shift *shift)
{
    const struct sas_sheet_row *rows = plan->rows + shift->first_row;
    const struct sas_sheet_row *row = &rows[shift->active_row];
    return ramp_up(rows, shift->active_row, shift->start_share,
                   get_time_since(plan, row), row->share);
}

/* Activates the rows that the schedule clock has reached. On a new node
 * (fresh) the time since a row counts as warm-up; a row repeated by a new
 * version keeps its warm-up time. */
static void
activate_rows(const struct sas_plan *plan, struct sas_shift *shift, bool fresh)
{
    const struct sas_sheet_row *rows = plan->rows + shift->first_row;
    int next = shift->active_row + 1;
    for (; next < shift->row_count && is_due(plan, &rows[next]); next++) {
        const struct sas_sheet_row *row = &rows[next];
        double share = 0;
        if (next > 0) {
            share = ramp_up(rows, next - 1, shift->start_share,
                            row->at_ms - rows[next - 1].at_ms,
                            rows[next - 1].share);
        }
        shift->start_share = fmin(share, row->share);
        shift->active_row = next;
        shift->warmup_ms = fresh ? get_time_since(plan, row) : 0;
        if (row->at_ms == shift->previous_at_ms &&
            row->share == shift->previous_share) {
            shift->warmup_ms = shift->previous_warmup_ms;
        }
    }
}

/* Puts a ramp on hold without a recent measurement or without enough headroom.
 * A share that rose by the clock alone would overload the target region when
 * measurements stop arriving or when it fills up for another reason. */
static enum sas_hold
find_hold(double headroom, double required)
{
    if (isnan(headroom)) {
        return SAS_HOLD_MEASUREMENTS_OLD;
    }
    if (headroom < fmax(required, SasPlan_MIN_HEADROOM)) {
        return SAS_HOLD_HEADROOM_SHORT;
    }
    return SAS_HOLD_NONE;
}

/* The share that the row allows now: the scheduled share, or less while the
 * target's caches are cold, but never below the share in force. */
static double
get_limit(const struct sas_plan *plan, struct sas_shift *shift)
{
    const struct sas_sheet_row *rows = plan->rows + shift->first_row;
    const struct sas_sheet_row *row = &rows[shift->active_row];
    double limit = get_scheduled_share(plan, shift);
    if (shift->warmup_ms < row->warm_ms) {
        double base =
            fmin(get_ramp_start(rows, shift->active_row), row->share);
        double warm = fmax(base, SasPlan_WARMUP_SHARE * row->share);
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
    const struct sas_sheet_row *rows = plan->rows + shift->first_row;
    const struct sas_sheet_row *row = &rows[shift->active_row];
    int cell = shift->service * plan->model->region_count + shift->to;
    shift->holding = find_hold(plan->headroom[cell], row->headroom);
    if (shift->holding != SAS_HOLD_NONE) {
        return;
    }
    double limit = get_limit(plan, shift);
    double share =
        ramp_up(rows, shift->active_row, shift->in_force, elapsed_ms, limit);
    if (shift->recovering) {
        double step = shift->ordered * elapsed_ms / SasPlan_RECOVERY_RAMP_MS;
        share = fmin(share, shift->in_force + step);
    }
    shift->in_force = share;
}

static bool
advance_shift(const struct sas_plan *plan, struct sas_shift *shift, bool fresh,
              int64_t elapsed_ms)
{
    double before = shift->in_force;
    activate_rows(plan, shift, fresh);
    if (shift->active_row == SasModel_NONE) {
        shift->ordered = 0;
        shift->in_force = 0;
        return before != 0;
    }
    const struct sas_sheet_row *row =
        &plan->rows[shift->first_row + shift->active_row];
    shift->ordered = row->share;
    shift->cap = row->cap;
    shift->cap_unit = row->cap_unit;
    shift->holding = SAS_HOLD_NONE;
    shift->in_force = fmin(shift->in_force, shift->ordered);
    if (plan->down[shift->to]) {
        shift->in_force = 0;
        shift->recovering = true;
        shift->holding = SAS_HOLD_REGION_GONE;
    }
    else if (shift->in_force < shift->ordered) {
        raise_share(plan, shift, elapsed_ms);
    }
    if (shift->in_force >= shift->ordered) {
        shift->recovering = false;
    }
    if (shift->in_force > 0) {
        shift->warmup_ms += elapsed_ms;
    }
    return shift->in_force != before;
}
