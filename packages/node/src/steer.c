#include "steer.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "sas/log.h"
#include "sas/lookup.h"
#include "sas/measure.h"
#include "sas/membership.h"
#include "sas/place.h"
#include "sas/plan.h"

#define TICK_MS 250
#define MIN_RETRY_MS 250
#define MAX_RETRY_MS 5000
#define GONE_AFTER_MS 3000
#define UNKNOWN_HEADROOM 0.25
#define ESTIMATE_SAMPLES 32

struct backend_row {
    int in_flight;
    bool reserved; /* a suspect runs alone there */
    int own_places;
    bool listed;  /* by the platform as leaving, as last read */
    int failures; /* connections in a row that could not be made */
    int64_t unreachable_until;
    int64_t last_reached_at;
};

/* Who says of an entry VM that it is leaving; the sheet does so too. */
struct vm_row {
    bool told;   /* its own word */
    bool listed; /* the platform's, as last read */
};

struct sas_steer {
    struct sas_steer_parts parts;
    const struct sas_model *model;
    struct sas_steer_listener *listener;
    bool known;
    int64_t version;
    struct sas_plan plan;
    struct sas_lookup lookup;
    struct sas_measure measure;
    struct backend_row *backends;
    struct sas_departure_table departures;
    struct vm_row *vms;
    struct sas_vm_view *views;
    bool seeded; /* a peer's shares were taken */
    struct sas_plan_signal *signals;
    bool *gone;
    double *answer_bytes; /* by service, a moving average */
    struct sas_place_policy *placement;
    struct sas_place_server *servers; /* scratch for one decision */
    uv_timer_t timer;
};

static void on_tick(uv_timer_t *timer);
static void advance(struct sas_steer *steer);
static int count_own_places(const struct sas_steer *steer, int backend);

static void
free_tables(struct sas_steer *steer)
{
    g_free(steer->backends);
    SasDeparture_Close(&steer->departures);
    g_free(steer->vms);
    g_free(steer->views);

    g_free(steer->signals);
    g_free(steer->gone);
    g_free(steer->servers);
    g_free(steer->answer_bytes);
    g_free(steer);
}

struct sas_steer *
SasSteer_Open(const struct sas_steer_parts *parts, struct sas_error *error)
{
    struct sas_steer *steer = g_new0(struct sas_steer, 1);
    const struct sas_model *model = &parts->settings->model;
    steer->parts = *parts;
    steer->model = model;
    steer->backends = g_new0(struct backend_row, model->backend_count);
    SasDeparture_Init(&steer->departures, model->backend_count);
    steer->vms = g_new0(struct vm_row, model->vm_count);
    steer->views = g_new0(struct sas_vm_view, model->vm_count);

    steer->signals = g_new0(struct sas_plan_signal,
                            model->service_count * model->region_count);
    steer->gone = g_new0(bool, model->region_count);
    for (int i = 0; i < model->backend_count; i++) {
        steer->backends[i].last_reached_at = (int64_t)uv_now(parts->loop);
    }
    steer->servers = g_new0(struct sas_place_server, model->backend_count);
    steer->answer_bytes = g_new0(double, model->service_count);
    for (int i = 0; i < model->service_count; i++) {
        steer->answer_bytes[i] = SasSteer_FIRST_ANSWER_BYTES;
    }
    const char *placement = parts->settings->placement;
    steer->placement =
        SasPlace_Create(placement != NULL && placement[0] != '\0'
                            ? placement
                            : SasSteer_DEFAULT_PLACEMENT);
    if (steer->placement == NULL) {
        SasError_Set(error, SAS_EINVAL, "steer.open", NULL,
                     "no placement policy is called %s", placement);
        free_tables(steer);
        return NULL;
    }
    for (int i = 0; i < model->backend_count; i++) {
        steer->backends[i].own_places = count_own_places(steer, i);
    }
    SasLookup_Init(&steer->lookup, model);
    SasMeasure_Init(&steer->measure, model, UNKNOWN_HEADROOM);
    uv_timer_init(parts->loop, &steer->timer);
    steer->timer.data = steer;
    uv_timer_start(&steer->timer, on_tick, TICK_MS, TICK_MS);
    return steer;
}

static void
on_timer_closed(uv_handle_t *handle)
{
    free_tables(handle->data);
}

void
SasSteer_Close(struct sas_steer *steer)
{
    SasPlan_Free(&steer->plan);
    SasLookup_Close(&steer->lookup);
    SasMeasure_Close(&steer->measure);
    SasPlace_Free(steer->placement);
    uv_close((uv_handle_t *)&steer->timer, on_timer_closed);
}

void
SasSteer_SetListener(struct sas_steer *steer,
                     struct sas_steer_listener *listener)
{
    steer->listener = listener;
}

static int64_t
get_now(const struct sas_steer *steer)
{
    return (int64_t)uv_now(steer->parts.loop);
}

/* What a server said sticks for its process: a list that flaps does not bring
 * it back, and the process that replaces it starts afresh. A list that lags
 * says leaving of that one too; so the list counts while it says so, and marks
 * only the process at which it began to. */
static bool
has_left_word(const struct sas_steer *steer, int backend)
{
    return steer->backends[backend].listed ||
           SasDeparture_IsLeaving(&steer->departures, backend);
}

/* News. */

static void
rebuild_lookups(struct sas_steer *steer)
{
    for (int i = 0; i < steer->model->service_count; i++) {
        SasLookup_Rebuild(&steer->lookup, steer->model, &steer->plan, i);
    }
}

void
SasSteer_TakeConfig(struct sas_steer *steer, const struct sas_config *config)
{
    static const struct sas_config nothing = {.sheet_text = ""};
    SasPlan_Build(&steer->plan, steer->model,
                  config != NULL ? config : &nothing);
    steer->version = config != NULL ? config->number : 0;
    steer->known = true;
    advance(steer);
    rebuild_lookups(steer);
    if (steer->listener != NULL) {
        steer->listener->on_capacity(steer->listener);
    }
}

static void
update_leaving(struct sas_steer *steer, int backend)
{
    SasMeasure_SetLeaving(&steer->measure, backend,
                          has_left_word(steer, backend));
}

static void
update_views(struct sas_steer *steer)
{
    for (int i = 0; i < steer->model->vm_count; i++) {
        steer->views[i].leaving =
            steer->vms[i].told || steer->vms[i].listed ||
            SasPlan_IsDraining(&steer->plan, SAS_DRAIN_VM, i);
    }
}

/* Reports on answers state no incarnation; such a word is that of whatever
 * process runs now. */
static bool
note_departure(struct sas_steer *steer, int backend,
               const struct sas_load_report *report, uint64_t incarnation,
               int64_t measured_ms)
{
    if (incarnation != 0) {
        return SasDeparture_NoteReport(&steer->departures, backend,
                                       incarnation, report->leaving,
                                       measured_ms);
    }
    return report->leaving &&
           SasDeparture_NoteListed(&steer->departures, backend,
                                   SAS_DEPARTURE_SERVER);
}

void
SasSteer_TakeLoad(struct sas_steer *steer, int backend,
                  const struct sas_load_report *report, uint64_t incarnation,
                  int64_t age_ms)
{
    int slots = report->slots > 0 ? report->slots
                                  : steer->model->backends[backend].slots;
    SasMeasure_Report(&steer->measure, backend, report->running,
                      report->queued, slots, get_now(steer) - age_ms);
    if (note_departure(steer, backend, report, incarnation,
                       get_now(steer) - age_ms)) {
        SasLog_Write(SasLog_INFO, "backend.leaving",
                     steer->model->backends[backend].name,
                     "it says that it is leaving");
    }
    update_leaving(steer, backend);
}

void
SasSteer_TakeHealth(struct sas_steer *steer, int backend, bool reachable)
{
    struct backend_row *row = &steer->backends[backend];
    int64_t now = get_now(steer);
    if (reachable) {
        row->failures = 0;
        row->unreachable_until = 0;
        row->last_reached_at = now;
        return;
    }
    int64_t pause = MIN(MAX_RETRY_MS, MIN_RETRY_MS << MIN(row->failures, 5));
    row->failures++;
    row->unreachable_until = now + pause;
}

void
SasSteer_NoteShed(struct sas_steer *steer, int backend)
{
    SasMeasure_NoteShed(&steer->measure, backend, get_now(steer));
}

static void
take_listed(struct sas_steer *steer, const char *name, bool leaving)
{
    int vm = SasModel_FindVm(steer->model, name);
    if (vm != SasModel_NONE) {
        steer->views[vm].platform = SAS_VM_LIVE;
        steer->vms[vm].listed = leaving;
        return;
    }
    int backend = SasModel_FindBackend(steer->model, name);
    if (backend == SasModel_NONE) {
        return;
    }
    if (leaving && !steer->backends[backend].listed) {
        SasDeparture_NoteListed(&steer->departures, backend,
                                SAS_DEPARTURE_PLATFORM);
    }
    steer->backends[backend].listed = leaving;
    update_leaving(steer, backend);
}

void
SasSteer_TakeVms(struct sas_steer *steer, const json_t *list)
{
    const json_t *rows = json_object_get(list, "vms");
    if (json_array_size(rows) == 0) {
        return; /* an empty list says nothing */
    }
    for (int i = 0; i < steer->model->vm_count; i++) {
        steer->views[i].platform = SAS_VM_DEAD;
    }
    size_t index;
    json_t *row;
    json_array_foreach(rows, index, row)
    {
        const char *name = json_string_value(json_object_get(row, "name"));
        const char *state = json_string_value(json_object_get(row, "state"));
        if (name != NULL && state != NULL) {
            take_listed(steer, name, strcmp(state, "leaving") == 0);
        }
    }
}

void
SasSteer_TakePeer(struct sas_steer *steer, int vm, bool live, bool leaving)
{
    steer->views[vm].peers = live ? SAS_VM_LIVE : SAS_VM_DEAD;
    /* A VM that left stays out when it has gone; the process that replaces
     * it says afresh whether it is leaving. */
    if (live) {
        steer->vms[vm].told = leaving;
    }
    update_views(steer);
}

bool
SasSteer_IsLeaving(const struct sas_steer *steer, int backend)
{
    return has_left_word(steer, backend) ||
           SasPlan_IsDraining(&steer->plan, SAS_DRAIN_BACKEND, backend);
}

int
SasSteer_FillShares(const struct sas_steer *steer,
                    struct sas_rpc_share *shares, int max)
{
    int count = MIN(steer->plan.shift_count, max);
    for (int i = 0; i < count; i++) {
        const struct sas_shift *shift = &steer->plan.shifts[i];
        shares[i].service = (u_int)shift->service;
        shares[i].from = (u_int)shift->from;
        shares[i].to = (u_int)shift->to;
        shares[i].millionths = (u_int)(shift->in_force * 1e6);
    }
    return count;
}

void
SasSteer_TakeShares(struct sas_steer *steer,
                    const struct sas_rpc_share *shares, int count)
{
    const struct sas_model *model = steer->model;
    bool changed = false;
    if (!steer->known || steer->seeded) {
        return;
    }
    for (int i = 0; i < count; i++) {
        const struct sas_rpc_share *row = &shares[i];
        if (row->service >= (u_int)model->service_count ||
            row->from >= (u_int)model->region_count ||
            row->to >= (u_int)model->region_count ||
            row->millionths > 1000000) {
            continue;
        }
        changed |=
            SasPlan_Seed(&steer->plan, (int)row->service, (int)row->from,
                         (int)row->to, row->millionths / 1e6);
    }
    if (changed) {
        steer->seeded = true;
        rebuild_lookups(steer);
    }
}

static bool
is_region_gone(const struct sas_steer *steer, int region)
{
    bool any = false;
    int64_t now = get_now(steer);
    for (int i = 0; i < steer->model->backend_count; i++) {
        const struct backend_row *row = &steer->backends[i];
        if (SasModel_GetBackendRegion(steer->model, i) != region) {
            continue;
        }
        any = true;
        if (row->failures == 0 || now - row->last_reached_at < GONE_AFTER_MS) {
            return false;
        }
    }
    return any;
}

static void
advance(struct sas_steer *steer)
{
    const struct sas_model *model = steer->model;
    int64_t now = get_now(steer);
    for (int i = 0; i < model->region_count; i++) {
        steer->gone[i] = is_region_gone(steer, i);
    }
    for (int i = 0; i < model->service_count * model->region_count; i++) {
        steer->signals[i].headroom = SasMeasure_GetHeadroom(
            &steer->measure, model, i / model->region_count,
            i % model->region_count, now, &steer->signals[i].age_ms);
    }
    struct sas_plan_signals signals = {
        .table = steer->signals,
        .gone = steer->gone,
    };
    bool changed = SasPlan_Advance(&steer->plan, steer->parts.get_wall_ms(),
                                   now, &signals);
    if (changed) {
        rebuild_lookups(steer);
    }
    SasLending_SetCaps(steer->parts.lending, &steer->plan);
    update_views(steer);
}

static void
on_tick(uv_timer_t *timer)
{
    struct sas_steer *steer = timer->data;
    if (steer->known) {
        advance(steer);
    }
}

/* Decisions. */

static bool
was_tried(const struct sas_steer_query *query, int backend)
{
    for (int i = 0; i < query->tried_count; i++) {
        if (query->tried[i] == backend) {
            return true;
        }
    }
    return false;
}

static bool
is_usable(const struct sas_steer *steer, const struct sas_steer_query *query,
          int backend)
{
    const struct backend_row *row = &steer->backends[backend];
    return !row->reserved && !SasSteer_IsLeaving(steer, backend) &&
           row->unreachable_until <= get_now(steer) &&
           !was_tried(query, backend);
}

/* How many of a server's places (slots and queue) are this entry VM's. They
 * go round the entry VMs of the server's region, beginning at another one for
 * each server; entry VMs elsewhere own none. */
static int
count_own_places(const struct sas_steer *steer, int backend)
{
    const struct sas_model *model = steer->model;
    int region = SasModel_GetBackendRegion(model, backend);
    int own_rank = SasModel_NONE;
    int vms = 0;
    for (int i = 0; i < model->vm_count; i++) {
        if (SasModel_GetVmRegion(model, i) == region) {
            own_rank = i == steer->parts.own_vm ? vms : own_rank;
            vms++;
        }
    }
    if (own_rank == SasModel_NONE) {
        return 0;
    }
    int places =
        model->backends[backend].slots + steer->parts.settings->server_queue;
    int rank = (own_rank + backend) % vms;
    return places / vms + (rank < places % vms ? 1 : 0);
}

/* What the placement policy sees of one backend server. */
static struct sas_place_server
describe_server(const struct sas_steer *steer,
                const struct sas_steer_query *query, int backend)
{
    const struct sas_model *model = steer->model;
    const struct sas_measure_row *measured = &steer->measure.rows[backend];
    const struct backend_row *row = &steer->backends[backend];
    int64_t now = get_now(steer);
    int others =
        measured->running + measured->queued - measured->own_at_report;
    struct sas_place_server server = {
        .backend = backend,
        .slots = model->backends[backend].slots,
        .queue = steer->parts.settings->server_queue,
        .own_in_flight = row->in_flight,
        .own_share = row->own_places,
        .reported_load = MAX(others, 0),
        .report_age_ms = measured->reported ? now - measured->report_ms : -1,
        .usable = is_usable(steer, query, backend),
        .same_domain = model->backends[backend].domain ==
                       model->vms[steer->parts.own_vm].domain,
    };
    server.shed_lately =
        measured->shed && now - measured->shed_ms < SasPlace_SHED_MS;
    if (measured->shed && now - measured->shed_ms < SasMeasure_SHED_MS) {
        server.reported_load = server.slots + server.queue;
    }
    if (query->alone && (row->in_flight > 0 || server.reported_load > 0)) {
        server.usable = false;
    }
    return server;
}

/* One suspect always gets the same idle backend server, whichever entry VM
 * sends it, and two suspects seldom the same one: if they ran alone side by
 * side, one's crash would condemn the other. */
static int
choose_alone(const struct sas_place_server *servers, int count,
             uint64_t fingerprint)
{
    int best = SasModel_NONE;
    uint64_t best_score = 0;
    for (int i = 0; i < count; i++) {
        uint64_t parts[] = {fingerprint, (uint64_t)servers[i].backend};
        uint64_t score = XXH3_64bits(parts, sizeof(parts));
        if (servers[i].usable &&
            (best == SasModel_NONE || score > best_score)) {
            best = servers[i].backend;
            best_score = score;
        }
    }
    return best;
}

static int
choose_backend(struct sas_steer *steer, const struct sas_steer_query *query,
               int region, bool *any_usable)
{
    const struct sas_model *model = steer->model;
    int count = 0;
    for (int i = 0; i < model->backend_count; i++) {
        if (model->backends[i].service != query->service ||
            SasModel_GetBackendRegion(model, i) != region) {
            continue;
        }
        steer->servers[count] = describe_server(steer, query, i);
        *any_usable |= steer->servers[count].usable || query->alone;
        count++;
    }
    if (query->alone) {
        return choose_alone(steer->servers, count, query->fingerprint);
    }
    int index = steer->placement->pick(steer->placement, steer->servers, count,
                                       steer->parts.random);
    return index == SasModel_NONE ? SasModel_NONE
                                  : steer->servers[index].backend;
}

/* Milli-Mbit that the request and its answer are likely to need. */
static int64_t
estimate_load(const struct sas_steer *steer,
              const struct sas_steer_query *query)
{
    double bytes = (double)query->bytes + steer->answer_bytes[query->service];
    return (int64_t)(bytes * 8 / 1000);
}

/* Takes from the cap of the shift that the request belongs to. */
static bool
take_cap(struct sas_steer *steer, const struct sas_steer_query *query,
         const struct sas_shift *shift, struct sas_steer_grant *grant)
{
    int cap = SasLending_FindCap(steer->parts.lending, shift);
    grant->cap = SasModel_NONE;
    grant->mbit_cap = SasModel_NONE;
    if (cap == SasModel_NONE) {
        return true;
    }
    if (shift->cap_unit == SAS_CAP_CONCURRENT) {
        grant->cap_pot =
            SasLending_Take(steer->parts.lending, cap, 1, query->lasts_ms);
        grant->cap = cap;
        return grant->cap_pot >= 0;
    }
    if (shift->cap_unit == SAS_CAP_REQUESTS) {
        return SasLending_TakeRate(steer->parts.lending, cap, 1000);
    }
    grant->mbit_cap = cap;
    return SasLending_TakeRate(steer->parts.lending, cap, grant->charged);
}

/* Takes from every budget that a request to this region counts under, the
 * slots first, since they can be given back. */
static bool
take_budgets(struct sas_steer *steer, const struct sas_steer_query *query,
             int home, int region, struct sas_steer_grant *grant)
{
    struct sas_lending *lending = steer->parts.lending;
    int own_region = SasModel_GetVmRegion(steer->model, steer->parts.own_vm);
    int slots = SasLending_FindSlots(lending, query->service, region);
    grant->link = SasModel_NONE;
    grant->charged = estimate_load(steer, query);
    grant->request_bytes = query->bytes;
    grant->slots_pot = SasLending_Take(lending, slots, 1, query->lasts_ms);
    if (grant->slots_pot < 0) {
        return false;
    }
    const struct sas_shift *shift =
        SasPlan_FindShift(&steer->plan, query->service, home, region);
    bool taken = take_cap(steer, query, shift, grant);
    if (taken && region != own_region) {
        grant->link = SasLending_FindLink(lending, own_region, region);
        taken = SasLending_TakeRate(lending, grant->link, grant->charged);
        if (!taken && grant->cap != SasModel_NONE) {
            SasLending_Give(lending, grant->cap, grant->cap_pot, 1);
        }
    }
    if (!taken) {
        SasLending_Give(lending, slots, grant->slots_pot, 1);
    }
    return taken;
}

static void
take_backend(struct sas_steer *steer, const struct sas_steer_query *query,
             int backend, struct sas_steer_grant *grant)
{
    struct backend_row *row = &steer->backends[backend];
    row->in_flight++;
    row->reserved = query->alone;
    SasMeasure_SetInFlight(&steer->measure, backend, row->in_flight);
    grant->backend = backend;
    grant->region = SasModel_GetBackendRegion(steer->model, backend);
    grant->alone = query->alone;
    grant->cross_region =
        grant->region !=
        SasModel_GetVmRegion(steer->model, steer->parts.own_vm);
}

static bool
try_region(struct sas_steer *steer, const struct sas_steer_query *query,
           int home, int region, bool *any_usable,
           struct sas_steer_grant *grant)
{
    int backend = choose_backend(steer, query, region, any_usable);
    if (backend == SasModel_NONE ||
        !take_budgets(steer, query, home, region, grant)) {
        return false;
    }
    take_backend(steer, query, backend, grant);
    return true;
}

enum sas_steer_answer
SasSteer_Acquire(struct sas_steer *steer, const struct sas_steer_query *query,
                 struct sas_steer_grant *grant, enum sas_refusal *reason)
{
    const struct sas_model *model = steer->model;
    if (!steer->known) {
        *reason = SAS_REFUSE_NO_CONFIG;
        return SAS_STEER_REFUSED;
    }
    int home = SasLookup_FindHome(&steer->lookup, query->caller_ip);
    int target =
        SasLookup_Find(&steer->lookup, query->service, query->caller_ip);
    bool any_usable = false;
    /* Over its cap a shift's caller stays at home. */
    if (try_region(steer, query, home, target, &any_usable, grant) ||
        (home != target &&
         try_region(steer, query, home, home, &any_usable, grant))) {
        return SAS_STEER_GRANTED;
    }
    /* A short wait at home costs less than the way to another region; that
     * is for when home has no room, not for each moment without a slot. */
    bool may_spill =
        !any_usable || query->waited_ms >= SasSteer_SPILL_AFTER_MS;
    for (int i = 0; may_spill && i < model->region_count; i++) {
        if (i != home && i != target &&
            try_region(steer, query, home, i, &any_usable, grant)) {
            return SAS_STEER_GRANTED;
        }
    }
    if (!any_usable) {
        *reason = SAS_REFUSE_NO_BACKEND;
        return SAS_STEER_REFUSED;
    }
    return SAS_STEER_WAIT;
}

void
SasSteer_Release(struct sas_steer *steer, int service,
                 const struct sas_steer_grant *grant, int64_t answer_bytes)
{
    struct sas_lending *lending = steer->parts.lending;
    struct backend_row *row = &steer->backends[grant->backend];
    row->in_flight--;
    if (grant->alone) {
        row->reserved = false;
    }
    SasMeasure_SetInFlight(&steer->measure, grant->backend, row->in_flight);
    SasLending_Give(lending,
                    SasLending_FindSlots(lending, service, grant->region),
                    grant->slots_pot, 1);
    SasLending_Give(lending, grant->cap, grant->cap_pot, 1);
    /* The bytes are known only now; what the estimate was short of is paid
     * before anything else passes. */
    int64_t short_of =
        (grant->request_bytes + answer_bytes) * 8 / 1000 - grant->charged;
    SasLending_AddDebt(lending, grant->link, short_of);
    SasLending_AddDebt(lending, grant->mbit_cap, short_of);
    double *estimate = &steer->answer_bytes[service];
    *estimate += ((double)answer_bytes - *estimate) / ESTIMATE_SAMPLES;
}

int
SasSteer_Lookup(struct sas_steer *steer, int service, uint32_t caller_ip,
                struct sas_steer_lookup *result)
{
    if (!steer->known) {
        return -1;
    }
    int home = SasLookup_FindHome(&steer->lookup, caller_ip);
    result->region = SasLookup_Find(&steer->lookup, service, caller_ip);
    result->version = steer->version;
    int64_t lifetime_ms = SasLookup_ChooseLifetime(
        &steer->plan, service, home, g_rand_double(steer->parts.random));
    result->lifetime_s = (int)MAX(lifetime_ms / 1000, 1);
    result->vm_count = SasLookup_OrderVms(
        &steer->lookup, steer->model, result->region, caller_ip, steer->views,
        result->vms, SasSteer_MAX_LOOKUP_VMS);
    return 0;
}

int64_t
SasSteer_GetVersion(const struct sas_steer *steer)
{
    return steer->version;
}

bool
SasSteer_IsKnown(const struct sas_steer *steer)
{
    return steer->known;
}

bool
SasSteer_IsReady(const struct sas_steer *steer)
{
    return steer->known && !SasLending_IsRecovering(steer->parts.lending);
}

/* Status. */

static json_t *
describe_region(struct sas_steer *steer, int service, int region)
{
    const struct sas_model *model = steer->model;
    int slots = SasModel_CountSlots(model, service, region);
    double age_ms = 0;
    double headroom = SasMeasure_GetHeadroom(&steer->measure, model, service,
                                             region, get_now(steer), &age_ms);
    int free_slots = (int)lround(headroom * slots);
    return json_pack("{s:s, s:s, s:i, s:i, s:i}", "service",
                     model->services[service].name, "region",
                     model->regions[region].name, "slots", slots, "running",
                     slots - free_slots, "headroom", free_slots);
}

static json_t *
describe_shift(const struct sas_steer *steer, const struct sas_shift *shift)
{
    const struct sas_model *model = steer->model;
    g_autofree char *cap =
        shift->cap_unit == SAS_CAP_NONE
            ? g_strdup("")
            : g_strdup_printf("%g %s", shift->cap,
                              SasSheet_GetUnitName(shift->cap_unit));
    return json_pack("{s:s, s:s, s:s, s:f, s:f, s:s, s:s}", "service",
                     model->services[shift->service].name, "from",
                     model->regions[shift->from].name, "to",
                     model->regions[shift->to].name, "ordered_percent",
                     shift->ordered * 100, "in_force_percent",
                     shift->in_force * 100, "cap", cap, "holding",
                     SasPlan_GetHoldName(shift->holding));
}

json_t *
SasSteer_Describe(struct sas_steer *steer)
{
    json_t *regions = json_array();
    json_t *shifts = json_array();
    for (int s = 0; s < steer->model->service_count; s++) {
        for (int r = 0; r < steer->model->region_count; r++) {
            json_array_append_new(regions, describe_region(steer, s, r));
        }
    }
    for (int i = 0; i < steer->plan.shift_count; i++) {
        json_array_append_new(shifts,
                              describe_shift(steer, &steer->plan.shifts[i]));
    }
    return json_pack("{s:o, s:o, s:o}", "regions", regions, "shifts", shifts,
                     "budgets", SasLending_Describe(steer->parts.lending));
}
