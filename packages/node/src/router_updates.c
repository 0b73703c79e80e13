/* Applies updates from the sheet, the platform, the peers and the backend
 * servers. */
#include <string.h>

#include <xxhash.h>

#include "sas/log.h"
#include "router_state.h"

#define MIN_BACKOFF_MS 250
#define MAX_BACKOFF_MS 5000
#define DOWN_AFTER_MS 3000 /* without a connection to any of its servers */

/* A report of leaving holds for the server's incarnation, so that a flapping
 * platform list does not bring the server back; its next incarnation starts
 * without the mark. A stale list may still name that next one: the list
 * counts only while it says leaving, and marks only the incarnation that ran
 * when the entry appeared. */
static bool
is_reported_leaving(const struct sas_router *router, int backend)
{
    return router->backends[backend].listed_leaving ||
           SasLeavingServer_IsLeaving(&router->departures, backend);
}

void
SasRouterState_RebuildLookups(struct sas_router *router)
{
    for (int i = 0; i < router->model->service_count; i++) {
        SasLookup_Rebuild(&router->lookup, router->model, &router->plan, i);
    }
}

void
SasRouter_ApplyConfig(struct sas_router *router,
                      const struct sas_config *config)
{
    static const struct sas_config empty = {.sheet_text = ""};
    SasPlan_Build(&router->plan, router->model,
                  config != NULL ? config : &empty);
    router->version = config != NULL ? config->version : 0;
    router->has_config = true;
    SasRouterState_Advance(router);
    SasRouterState_RebuildLookups(router);
    if (router->listener != NULL) {
        router->listener->on_capacity(router->listener);
    }
}

static void
update_leaving(struct sas_router *router, int backend)
{
    SasLoadEstimate_SetLeaving(&router->measure, backend,
                               is_reported_leaving(router, backend));
}

static void
update_views(struct sas_router *router)
{
    for (int i = 0; i < router->model->vm_count; i++) {
        router->views[i].leaving =
            router->vms[i].reports_leaving || router->vms[i].listed_leaving ||
            SasPlan_IsDraining(&router->plan, SAS_DRAIN_VM, i);
    }
}

/* Load reports in answer headers carry no incarnation and are attributed to
 * the current one. */
static bool
note_departure(struct sas_router *router, int backend,
               const struct sas_load_report *report, uint64_t incarnation,
               int64_t measured_ms)
{
    if (incarnation != 0) {
        return SasLeavingServer_NoteReport(&router->departures, backend,
                                           incarnation, report->leaving,
                                           measured_ms);
    }
    return report->leaving &&
           SasLeavingServer_NoteAnnounced(&router->departures, backend,
                                          SAS_LEAVING_SERVER_REPORT);
}

void
SasRouter_ApplyLoad(struct sas_router *router, int backend,
                    const struct sas_load_report *report, uint64_t incarnation,
                    int64_t age_ms)
{
    int slots = report->slots > 0 ? report->slots
                                  : router->model->backends[backend].slots;
    SasLoadEstimate_Report(&router->measure, backend, report->running,
                           report->queued, slots,
                           SasRouterState_GetNow(router) - age_ms);
    if (note_departure(router, backend, report, incarnation,
                       SasRouterState_GetNow(router) - age_ms)) {
        SasLog_Write(SasLog_INFO, "backend.leaving",
                     router->model->backends[backend].name,
                     "the server reports that it is leaving");
    }
    update_leaving(router, backend);
}

void
SasRouter_ApplyHealth(struct sas_router *router, int backend, bool reachable)
{
    struct backend_row *row = &router->backends[backend];
    int64_t now = SasRouterState_GetNow(router);
    if (reachable) {
        row->failures = 0;
        row->unreachable_until = 0;
        row->last_reached_at = now;
        return;
    }
    int64_t backoff =
        MIN(MAX_BACKOFF_MS, MIN_BACKOFF_MS << MIN(row->failures, 5));
    row->failures++;
    row->unreachable_until = now + backoff;
}

void
SasRouter_NoteShed(struct sas_router *router, int backend)
{
    SasLoadEstimate_NoteShed(&router->measure, backend,
                             SasRouterState_GetNow(router));
}

static void
apply_listed(struct sas_router *router, const char *name, bool leaving)
{
    int vm = SasModel_FindVm(router->model, name);
    if (vm != SasModel_NONE) {
        router->views[vm].platform = SAS_VM_LIVE;
        router->vms[vm].listed_leaving = leaving;
        return;
    }
    int backend = SasModel_FindBackend(router->model, name);
    if (backend == SasModel_NONE) {
        return;
    }
    if (leaving && !router->backends[backend].listed_leaving) {
        SasLeavingServer_NoteAnnounced(&router->departures, backend,
                                       SAS_LEAVING_SERVER_PLATFORM);
    }
    router->backends[backend].listed_leaving = leaving;
    update_leaving(router, backend);
}

void
SasRouter_ApplyVms(struct sas_router *router, const json_t *list)
{
    const json_t *rows = json_object_get(list, "vms");
    if (json_array_size(rows) == 0) {
        return; /* an empty list does not mean that all VMs are dead */
    }
    for (int i = 0; i < router->model->vm_count; i++) {
        router->views[i].platform = SAS_VM_DEAD;
    }
    size_t index;
    json_t *row;
    json_array_foreach(rows, index, row)
    {
        const char *name = json_string_value(json_object_get(row, "name"));
        const char *state = json_string_value(json_object_get(row, "state"));
        if (name != NULL && state != NULL) {
            apply_listed(router, name, strcmp(state, "leaving") == 0);
        }
    }
}

void
SasRouter_ApplyPeer(struct sas_router *router, int vm, bool live, bool leaving)
{
    router->views[vm].peers = live ? SAS_VM_LIVE : SAS_VM_DEAD;
    /* A leaving VM keeps its mark once it is dead; its next process reports
     * its own state. */
    if (live) {
        router->vms[vm].reports_leaving = leaving;
    }
    update_views(router);
}

bool
SasRouter_IsLeaving(const struct sas_router *router, int backend)
{
    return is_reported_leaving(router, backend) ||
           SasPlan_IsDraining(&router->plan, SAS_DRAIN_BACKEND, backend);
}

int
SasRouter_FillShares(const struct sas_router *router,
                     struct sas_rpc_share *shares, int max)
{
    int count = MIN(router->plan.shift_count, max);
    for (int i = 0; i < count; i++) {
        const struct sas_shift *shift = &router->plan.shifts[i];
        shares[i].service = (u_int)shift->service;
        shares[i].from = (u_int)shift->from;
        shares[i].to = (u_int)shift->to;
        shares[i].millionths = (u_int)(shift->in_force * 1e6);
    }
    return count;
}

void
SasRouter_ApplyShares(struct sas_router *router,
                      const struct sas_rpc_share *shares, int count)
{
    const struct sas_model *model = router->model;
    bool changed = false;
    if (!router->has_config || router->shares_seeded) {
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
            SasPlan_Seed(&router->plan, (int)row->service, (int)row->from,
                         (int)row->to, row->millionths / 1e6);
    }
    if (changed) {
        router->shares_seeded = true;
        SasRouterState_RebuildLookups(router);
    }
}

static bool
is_region_down(const struct sas_router *router, int region)
{
    bool any = false;
    int64_t now = SasRouterState_GetNow(router);
    for (int i = 0; i < router->model->backend_count; i++) {
        const struct backend_row *row = &router->backends[i];
        if (SasModel_GetBackendRegion(router->model, i) != region) {
            continue;
        }
        any = true;
        if (row->failures == 0 || now - row->last_reached_at < DOWN_AFTER_MS) {
            return false;
        }
    }
    return any;
}

void
SasRouterState_Advance(struct sas_router *router)
{
    const struct sas_model *model = router->model;
    int64_t now = SasRouterState_GetNow(router);
    for (int i = 0; i < model->region_count; i++) {
        router->down[i] = is_region_down(router, i);
    }
    for (int i = 0; i < model->service_count * model->region_count; i++) {
        router->signals[i].headroom = SasLoadEstimate_GetHeadroom(
            &router->measure, model, i / model->region_count,
            i % model->region_count, now, &router->signals[i].age_ms);
    }
    struct sas_plan_signals signals = {
        .table = router->signals,
        .down = router->down,
    };
    bool changed = SasPlan_Advance(
        &router->plan, router->options.get_wall_ms(), now, &signals);
    if (changed) {
        SasRouterState_RebuildLookups(router);
    }
    SasLending_SetCaps(router->options.lending, &router->plan);
    update_views(router);
}
