/* Which backend server gets a request, within the budgets. */
#include <xxhash.h>

#include "steer_state.h"

#define ESTIMATE_SAMPLES 32

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
           row->unreachable_until <= SasSteerState_GetNow(steer) &&
           !was_tried(query, backend);
}

int
SasSteerState_CountOwnPlaces(const struct sas_steer *steer, int backend)
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
    int64_t now = SasSteerState_GetNow(steer);
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
