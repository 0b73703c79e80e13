/* Chooses a backend server for a request and acquires its budget units. */
#include <xxhash.h>

#include "router_state.h"

#define ESTIMATE_SAMPLES 32 /* of the moving average of answer sizes */

static bool
was_tried(const struct sas_router_query *query, int backend)
{
    for (int i = 0; i < query->tried_count; i++) {
        if (query->tried[i] == backend) {
            return true;
        }
    }
    return false;
}

static bool
is_usable(const struct sas_router *router,
          const struct sas_router_query *query, int backend)
{
    const struct backend_row *row = &router->backends[backend];
    return !row->reserved && !SasRouter_IsLeaving(router, backend) &&
           row->unreachable_until <= SasRouterState_GetNow(router) &&
           !was_tried(query, backend);
}

int
SasRouterState_CountOwnedSlots(const struct sas_router *router, int backend)
{
    const struct sas_model *model = router->model;
    int region = SasModel_GetBackendRegion(model, backend);
    int own_rank = SasModel_NONE;
    int vms = 0;
    for (int i = 0; i < model->vm_count; i++) {
        if (SasModel_GetVmRegion(model, i) == region) {
            own_rank = i == router->options.own_vm ? vms : own_rank;
            vms++;
        }
    }
    if (own_rank == SasModel_NONE) {
        return 0;
    }
    int slots = model->backends[backend].slots +
                router->options.settings->server_queue;
    int rank = (own_rank + backend) % vms;
    return slots / vms + (rank < slots % vms ? 1 : 0);
}

/* One backend server as input of the placement policy. */
static struct sas_placement_server
describe_server(const struct sas_router *router,
                const struct sas_router_query *query, int backend)
{
    const struct sas_model *model = router->model;
    const struct sas_load_estimate_row *measured =
        &router->measure.rows[backend];
    const struct backend_row *row = &router->backends[backend];
    int64_t now = SasRouterState_GetNow(router);
    int others =
        measured->running + measured->queued - measured->own_at_report;
    struct sas_placement_server server = {
        .backend = backend,
        .slots = model->backends[backend].slots,
        .queue = router->options.settings->server_queue,
        .own_in_flight = row->in_flight,
        .owned_slots = row->owned_slots,
        .reported_load = MAX(others, 0),
        .report_age_ms = measured->reported ? now - measured->report_ms : -1,
        .eligible = is_usable(router, query, backend),
        .same_domain = model->backends[backend].domain ==
                       model->vms[router->options.own_vm].domain,
    };
    server.shed_recently =
        measured->shed && now - measured->shed_ms < SasPlacement_SHED_MS;
    if (measured->shed && now - measured->shed_ms < SasLoadEstimate_SHED_MS) {
        server.reported_load = server.slots + server.queue;
    }
    if (query->isolated && (row->in_flight > 0 || server.reported_load > 0)) {
        server.eligible = false;
    }
    return server;
}

/* Rendezvous hashing by fingerprint: every entry VM picks the same idle
 * server for one suspected poison request, and mostly different servers for
 * different ones. With two of them on one server, a crash caused by one would
 * also quarantine the other. */
static int
choose_isolated(const struct sas_placement_server *servers, int count,
                uint64_t fingerprint)
{
    int best = SasModel_NONE;
    uint64_t best_score = 0;
    for (int i = 0; i < count; i++) {
        uint64_t key[] = {fingerprint, (uint64_t)servers[i].backend};
        uint64_t score = XXH3_64bits(key, sizeof(key));
        if (servers[i].eligible &&
            (best == SasModel_NONE || score > best_score)) {
            best = servers[i].backend;
            best_score = score;
        }
    }
    return best;
}

static int
choose_backend(struct sas_router *router, const struct sas_router_query *query,
               int region, bool *any_usable)
{
    const struct sas_model *model = router->model;
    int count = 0;
    for (int i = 0; i < model->backend_count; i++) {
        if (model->backends[i].service != query->service ||
            SasModel_GetBackendRegion(model, i) != region) {
            continue;
        }
        router->servers[count] = describe_server(router, query, i);
        *any_usable |= router->servers[count].eligible || query->isolated;
        count++;
    }
    if (query->isolated) {
        return choose_isolated(router->servers, count, query->fingerprint);
    }
    int index = router->placement->pick(router->placement, router->servers,
                                        count, router->options.random);
    return index == SasModel_NONE ? SasModel_NONE
                                  : router->servers[index].backend;
}

/* Estimated size of the request and its answer, in milli-Mbit. */
static int64_t
estimate_load(const struct sas_router *router,
              const struct sas_router_query *query)
{
    double bytes = (double)query->bytes + router->answer_bytes[query->service];
    return (int64_t)(bytes * 8 / 1000);
}

/* Acquires a unit of the cap of the shift that applies to the request. */
static bool
acquire_cap(struct sas_router *router, const struct sas_router_query *query,
            const struct sas_shift *shift, struct sas_router_grant *grant)
{
    int cap = SasLending_FindCap(router->options.lending, shift);
    grant->cap = SasModel_NONE;
    grant->mbit_cap = SasModel_NONE;
    if (cap == SasModel_NONE) {
        return true;
    }
    if (shift->cap_unit == SAS_CAP_CONCURRENT) {
        grant->cap_source = SasLending_Acquire(router->options.lending, cap, 1,
                                               query->max_run_ms);
        grant->cap = cap;
        return grant->cap_source >= 0;
    }
    if (shift->cap_unit == SAS_CAP_REQUESTS) {
        return SasLending_AcquireRate(router->options.lending, cap, 1000);
    }
    grant->mbit_cap = cap;
    return SasLending_AcquireRate(router->options.lending, cap,
                                  grant->charged);
}

/* Acquires units of every budget that applies to the request in this region.
 * Slots come first, since they can be returned when a later budget refuses;
 * units of a rate can't. */
static bool
acquire_budgets(struct sas_router *router,
                const struct sas_router_query *query, int home, int region,
                struct sas_router_grant *grant)
{
    struct sas_lending *lending = router->options.lending;
    int own_region =
        SasModel_GetVmRegion(router->model, router->options.own_vm);
    int slots = SasLending_FindSlots(lending, query->service, region);
    grant->link = SasModel_NONE;
    grant->charged = estimate_load(router, query);
    grant->request_bytes = query->bytes;
    grant->slots_source =
        SasLending_Acquire(lending, slots, 1, query->max_run_ms);
    if (grant->slots_source < 0) {
        return false;
    }
    const struct sas_shift *shift =
        SasPlan_FindShift(&router->plan, query->service, home, region);
    bool taken = acquire_cap(router, query, shift, grant);
    if (taken && region != own_region) {
        grant->link = SasLending_FindLink(lending, own_region, region);
        taken = SasLending_AcquireRate(lending, grant->link, grant->charged);
        if (!taken && grant->cap != SasModel_NONE) {
            SasLending_Release(lending, grant->cap, grant->cap_source, 1);
        }
    }
    if (!taken) {
        SasLending_Release(lending, slots, grant->slots_source, 1);
    }
    return taken;
}

static void
reserve_backend(struct sas_router *router,
                const struct sas_router_query *query, int backend,
                struct sas_router_grant *grant)
{
    struct backend_row *row = &router->backends[backend];
    row->in_flight++;
    row->reserved = query->isolated;
    SasLoadEstimate_SetInFlight(&router->measure, backend, row->in_flight);
    grant->backend = backend;
    grant->region = SasModel_GetBackendRegion(router->model, backend);
    grant->isolated = query->isolated;
    grant->cross_region =
        grant->region !=
        SasModel_GetVmRegion(router->model, router->options.own_vm);
}

static bool
try_region(struct sas_router *router, const struct sas_router_query *query,
           int home, int region, bool *any_usable,
           struct sas_router_grant *grant)
{
    int backend = choose_backend(router, query, region, any_usable);
    if (backend == SasModel_NONE ||
        !acquire_budgets(router, query, home, region, grant)) {
        return false;
    }
    reserve_backend(router, query, backend, grant);
    return true;
}

enum sas_router_decision
SasRouter_Acquire(struct sas_router *router,
                  const struct sas_router_query *query,
                  struct sas_router_grant *grant, enum sas_refusal *reason)
{
    const struct sas_model *model = router->model;
    if (!router->has_config) {
        *reason = SAS_REFUSE_NO_CONFIG;
        return SAS_ROUTER_REFUSED;
    }
    int home = SasLookup_FindHomeRegion(&router->lookup, query->caller_ip);
    int target = SasLookup_FindRegion(&router->lookup, query->service,
                                      query->caller_ip);
    bool any_usable = false;
    /* A shifted caller falls back to its home region, for example when the
     * shift is over its cap. */
    if (try_region(router, query, home, target, &any_usable, grant) ||
        (home != target &&
         try_region(router, query, home, home, &any_usable, grant))) {
        return SAS_ROUTER_GRANTED;
    }
    /* Other regions are tried only when no server of these two is usable or
     * after a wait: a short wait at home costs less than a round trip to
     * another region. */
    bool may_spill =
        !any_usable || query->waited_ms >= SasRouter_SPILL_AFTER_MS;
    for (int i = 0; may_spill && i < model->region_count; i++) {
        if (i != home && i != target &&
            try_region(router, query, home, i, &any_usable, grant)) {
            return SAS_ROUTER_GRANTED;
        }
    }
    if (!any_usable) {
        *reason = SAS_REFUSE_NO_BACKEND;
        return SAS_ROUTER_REFUSED;
    }
    return SAS_ROUTER_WAIT;
}

void
SasRouter_Release(struct sas_router *router, int service,
                  const struct sas_router_grant *grant, int64_t answer_bytes)
{
    struct sas_lending *lending = router->options.lending;
    struct backend_row *row = &router->backends[grant->backend];
    row->in_flight--;
    if (grant->isolated) {
        row->reserved = false;
    }
    SasLoadEstimate_SetInFlight(&router->measure, grant->backend,
                                row->in_flight);
    SasLending_Release(lending,
                       SasLending_FindSlots(lending, service, grant->region),
                       grant->slots_source, 1);
    SasLending_Release(lending, grant->cap, grant->cap_source, 1);
    /* The size of the answer is known only now. Bytes beyond the estimate
     * become debt, which is paid before the next request passes. */
    int64_t underestimate =
        (grant->request_bytes + answer_bytes) * 8 / 1000 - grant->charged;
    SasLending_AddDebt(lending, grant->link, underestimate);
    SasLending_AddDebt(lending, grant->mbit_cap, underestimate);
    double *estimate = &router->answer_bytes[service];
    *estimate += ((double)answer_bytes - *estimate) / ESTIMATE_SAMPLES;
}
