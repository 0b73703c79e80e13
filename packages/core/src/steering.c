#include "sas/steering.h"

#include <math.h>
#include <string.h>

#include <xxhash.h>

#include "sas/fleet_model.h"
#include "sas/traffic.h"

/* Region and server are chosen by hashes of the same keys. Another seed keeps
 * the objects of a share independent of those choices. */
#define SHARE_SEED 0x165667b19e3779f9ULL
#define BITS_PER_MBIT 1e6

/* This entry VM's use of one shift's cap. */
struct usage {
    int service;
    int from;
    int to;
    int running; /* requests */
    struct sas_window requests;
    struct sas_window bytes;
};

struct sas_steering {
    struct sas_fleet *fleet;
    struct sas_model model;
    struct sas_config *config; /* source of the plan; NULL: none yet */
    struct sas_plan plan;
    int plan_services; /* number of services in the plan's tables */
    GArray *usages;    /* struct usage */
};

struct sas_steering *
SasSteering_New(struct sas_fleet *fleet)
{
    struct sas_steering *steering = g_new0(struct sas_steering, 1);
    steering->fleet = fleet;
    SasFleetModel_Init(&steering->model, fleet);
    steering->usages = g_array_new(FALSE, TRUE, sizeof(struct usage));
    return steering;
}

void
SasSteering_Free(struct sas_steering *steering)
{
    SasPlan_Free(&steering->plan);
    SasConfig_Unref(steering->config);
    SasModel_Free(&steering->model);
    g_array_free(steering->usages, TRUE);
    g_free(steering);
}

struct sas_model *
SasSteering_GetModel(struct sas_steering *steering)
{
    return &steering->model;
}

/* Also rebuilds the plan when services were added, because the size of its
 * tables depends on their number. */
static void
build_plan(struct sas_steering *steering)
{
    SasPlan_Build(&steering->plan, &steering->model, steering->config);
    steering->plan_services = steering->model.service_count;
}

void
SasSteering_SetConfig(struct sas_steering *steering, struct sas_config *config)
{
    SasConfig_Unref(steering->config);
    steering->config = SasConfig_Ref(config);
    build_plan(steering);
}

bool
SasSteering_IsActive(const struct sas_steering *steering)
{
    return steering->plan.shift_count > 0;
}

const struct sas_plan *
SasSteering_GetPlan(const struct sas_steering *steering)
{
    return &steering->plan;
}

/* Capacity and headroom of regions. */

struct capacity {
    double slots; /* execution slots */
    double load;  /* requests, at most the slots of each server */
};

static struct capacity
measure_capacity(const struct sas_steering *steering, int service, int region,
                 int64_t now_ms)
{
    struct capacity capacity = {0};
    const GArray *fleet_slots =
        SasFleet_GetService(steering->fleet, service)->servers;
    for (guint i = 0; i < fleet_slots->len; i++) {
        int fleet_slot = g_array_index(fleet_slots, int, i);
        const struct sas_fleet_server *server =
            SasFleet_At(steering->fleet, fleet_slot);
        if (SasFleet_GetServerRegion(steering->fleet, fleet_slot) != region ||
            !SasFleet_AcceptsRequests(steering->fleet, fleet_slot)) {
            continue;
        }
        capacity.slots += server->facts.slots;
        capacity.load +=
            MIN(SasTraffic_EstimateLoad(steering->fleet, fleet_slot, now_ms),
                (double)server->facts.slots);
    }
    return capacity;
}

/* The free part of the execution slots; 0 when there are none. */
static double
get_headroom(const struct capacity *capacity)
{
    return capacity->slots > 0
               ? (capacity->slots - capacity->load) / capacity->slots
               : 0;
}

double
SasSteering_GetHeadroom(const struct sas_steering *steering, int service,
                        int region, int64_t now_ms)
{
    struct capacity capacity =
        measure_capacity(steering, service, region, now_ms);
    return get_headroom(&capacity);
}

/* The measurement counts as current (age 0) whenever the region has an open
 * server. A region to which nothing was sent yet has no load report: then it
 * is only known that its servers have announced themselves as ready. */
static struct sas_plan_signal
make_signal(const struct sas_steering *steering, int service, int region,
            int64_t now_ms)
{
    struct capacity capacity =
        measure_capacity(steering, service, region, now_ms);
    struct sas_plan_signal signal = {.headroom = NAN, .age_ms = INFINITY};
    if (capacity.slots > 0) {
        signal.headroom = get_headroom(&capacity);
        signal.age_ms = 0;
    }
    return signal;
}

static void
withdraw_servers(struct sas_steering *steering)
{
    const struct sas_plan *plan = &steering->plan;
    int fleet_slots = SasFleet_CountSlots(steering->fleet);
    g_autofree bool *withdrawn = g_new0(bool, fleet_slots + 1);
    for (int i = 0; i < plan->drain_count; i++) {
        const struct sas_sheet_row *row = &plan->drains[i];
        if (row->drain_kind != SAS_DRAIN_BACKEND ||
            !SasPlan_IsDraining(plan, row->drain_kind, row->drain_target)) {
            continue;
        }
        int fleet_slot = SasFleet_FindServer(
            steering->fleet, steering->model.backends[row->drain_target].name);
        if (fleet_slot != SasModel_NONE) {
            withdrawn[fleet_slot] = true;
        }
    }
    for (int fleet_slot = 0; fleet_slot < fleet_slots; fleet_slot++) {
        if (SasFleet_At(steering->fleet, fleet_slot) != NULL) {
            SasFleet_SetWithdrawn(steering->fleet, fleet_slot,
                                  withdrawn[fleet_slot]);
        }
    }
}

bool
SasSteering_Advance(struct sas_steering *steering, int64_t wall_ms,
                    int64_t now_ms, const bool *down)
{
    if (steering->config == NULL) {
        return false;
    }
    if (steering->plan_services != steering->model.service_count) {
        build_plan(steering);
    }
    int regions = steering->model.region_count;
    int services = steering->model.service_count;
    g_autofree struct sas_plan_signal *table =
        g_new(struct sas_plan_signal, services * regions + 1);
    for (int i = 0; i < services * regions; i++) {
        table[i] = make_signal(steering, i / regions, i % regions, now_ms);
    }
    struct sas_plan_signals signals = {.table = table, .down = down};
    bool changed = SasPlan_Advance(&steering->plan, wall_ms, now_ms, &signals);
    withdraw_servers(steering);
    return changed;
}

bool
SasSteering_IsVmLeaving(const struct sas_steering *steering, const char *name)
{
    if (steering->plan.drain_count == 0) {
        return false;
    }
    int vm = SasModel_FindVm(&steering->model, name);
    return vm != SasModel_NONE &&
           SasPlan_IsDraining(&steering->plan, SAS_DRAIN_VM, vm);
}

/* Requests. */

static struct usage *
get_usage(struct sas_steering *steering, int service, int from, int to)
{
    for (guint i = 0; i < steering->usages->len; i++) {
        struct usage *usage =
            &g_array_index(steering->usages, struct usage, i);
        if (usage->service == service && usage->from == from &&
            usage->to == to) {
            return usage;
        }
    }
    struct usage usage = {.service = service, .from = from, .to = to};
    SasWindow_Init(&usage.requests, SasSteering_WINDOW_MS);
    SasWindow_Init(&usage.bytes, SasSteering_WINDOW_MS);
    g_array_append_val(steering->usages, usage);
    return &g_array_index(steering->usages, struct usage,
                          steering->usages->len - 1);
}

/* The part of a cap, in whole requests, that this entry VM may use. */
static int
get_cap_part(double cap, const struct sas_steering_query *query)
{
    int vms = MAX(query->vms, 1);
    int units = (int)floor(cap);
    return units / vms + (query->rank < units % vms ? 1 : 0);
}

static bool
fits_cap(struct usage *usage, const struct sas_shift *shift,
         const struct sas_steering_query *query, int64_t now_ms)
{
    if (query->joining && shift->cap_unit != SAS_CAP_NONE) {
        return false;
    }
    switch (shift->cap_unit) {
    case SAS_CAP_REQUESTS:
        return SasWindow_Count(&usage->requests, now_ms) + 1 <=
               get_cap_part(shift->cap, query);
    case SAS_CAP_CONCURRENT:
        return usage->running + 1 <= get_cap_part(shift->cap, query);
    case SAS_CAP_MBIT:
        return (SasWindow_Count(&usage->bytes, now_ms) + query->bytes) * 8 <=
               shift->cap * BITS_PER_MBIT / MAX(query->vms, 1);
    case SAS_CAP_NONE:
        break;
    }
    return true;
}

int
SasSteering_PickRegion(const struct sas_steering *steering, int service,
                       int home, uint64_t key)
{
    if (!SasSteering_IsActive(steering) ||
        service >= steering->plan_services) {
        return home;
    }
    uint64_t input[2] = {key, (uint64_t)home};
    uint64_t hash = XXH3_64bits_withSeed(input, sizeof(input), SHARE_SEED);
    double unit = ((double)(hash >> 11) + 0.5) / 9007199254740992.0;
    double weights[SasModel_MAX_REGIONS];
    SasPlan_GetWeights(&steering->plan, service, home, weights);
    /* Each region has an interval of [0, 1); home has the rest at the end. So
     * with one shift a rising share only takes objects from home. With several
     * it also moves objects between the regions behind it in this order. */
    for (int region = 0; region < steering->model.region_count; region++) {
        if (region == home) {
            continue;
        }
        if (unit < weights[region]) {
            return region;
        }
        unit -= weights[region];
    }
    return home;
}

bool
SasSteering_Acquire(struct sas_steering *steering,
                    const struct sas_steering_query *query, int64_t now_ms,
                    struct sas_steering_grant *grant)
{
    memset(grant, 0, sizeof(*grant));
    int region = SasSteering_PickRegion(steering, query->service, query->home,
                                        query->key);
    const struct sas_shift *shift = SasPlan_FindShift(
        &steering->plan, query->service, query->home, region);
    if (region == query->home || shift == NULL) {
        return false;
    }
    struct usage *usage =
        get_usage(steering, query->service, query->home, region);
    if (!fits_cap(usage, shift, query, now_ms)) {
        return false;
    }
    usage->running++;
    SasWindow_Add(&usage->requests, 1, now_ms);
    SasWindow_Add(&usage->bytes, query->bytes, now_ms);
    grant->steered = true;
    grant->service = query->service;
    grant->from = query->home;
    grant->to = region;
    return true;
}

void
SasSteering_Release(struct sas_steering *steering,
                    struct sas_steering_grant *grant, double bytes,
                    int64_t now_ms)
{
    if (!grant->steered) {
        return;
    }
    struct usage *usage =
        get_usage(steering, grant->service, grant->from, grant->to);
    usage->running--;
    SasWindow_Add(&usage->bytes, bytes, now_ms);
    grant->steered = false;
}
