/* What the sheet, the platform, the peers and the backend servers say. */
#include <string.h>

#include <xxhash.h>

#include "sas/log.h"
#include "steer_state.h"

#define MIN_RETRY_MS 250
#define MAX_RETRY_MS 5000
#define GONE_AFTER_MS 3000

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

void
SasSteerState_RebuildLookups(struct sas_steer *steer)
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
    SasSteerState_Advance(steer);
    SasSteerState_RebuildLookups(steer);
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
                      report->queued, slots,
                      SasSteerState_GetNow(steer) - age_ms);
    if (note_departure(steer, backend, report, incarnation,
                       SasSteerState_GetNow(steer) - age_ms)) {
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
    int64_t now = SasSteerState_GetNow(steer);
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
    SasMeasure_NoteShed(&steer->measure, backend, SasSteerState_GetNow(steer));
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
        SasSteerState_RebuildLookups(steer);
    }
}

static bool
is_region_gone(const struct sas_steer *steer, int region)
{
    bool any = false;
    int64_t now = SasSteerState_GetNow(steer);
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

void
SasSteerState_Advance(struct sas_steer *steer)
{
    const struct sas_model *model = steer->model;
    int64_t now = SasSteerState_GetNow(steer);
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
        SasSteerState_RebuildLookups(steer);
    }
    SasLending_SetCaps(steer->parts.lending, &steer->plan);
    update_views(steer);
}
