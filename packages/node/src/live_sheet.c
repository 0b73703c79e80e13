#include "live_sheet.h"

#include <string.h>

#include "admin.h"
#include "configure.h"
#include "describe.h"
#include "mesh.h"
#include "sas/log.h"
#include "sas/snapshot.h"
#include "sas/wall.h"

#define TICK_MS 1000

/* Looks into the store, of one entry VM for all: the only way in which a
 * sheet becomes known whose taker died at once. A third of the 15 s in which
 * a change has to be in force everywhere. */
#define LOOK_EVERY_MS 5000

/* A name for the place in the order of entry VMs whose first one looks. */
#define LOOKER_HASH 0x5348454554ULL

struct sas_live_sheet {
    struct sas_configure_listener listener;
    struct sas_admin_view view;
    struct sas_live_sheet_parts parts;
    struct sas_configure *configure;
    struct sas_admin *admin; /* NULL: no port is set for it */
    GRand *random;
    uv_timer_t timer;
    int64_t looked_at;
};

#define SHEET_OF(pointer, member)                                             \
    ((struct sas_live_sheet *)((char *)(pointer)-offsetof(                    \
        struct sas_live_sheet, member)))

static int64_t
get_now(const struct sas_live_sheet *sheet)
{
    return (int64_t)uv_now(sheet->parts.loop);
}

static int64_t
get_number(const struct sas_live_sheet *sheet)
{
    const struct sas_config *config =
        SasConfigure_GetCurrent(sheet->configure);
    return config != NULL ? config->number : 0;
}

/* Versions. */

/* Handles of servers may change only while nothing but the version in force
 * holds any. */
static void
refresh_model(struct sas_live_sheet *sheet)
{
    struct sas_model *model = SasSteering_GetModel(sheet->parts.steering);
    const struct sas_mesh *mesh = SasGateway_GetMesh(sheet->parts.gateway);
    struct sas_mesh_view vm;
    if (SasConfigure_IsIdle(sheet->configure)) {
        SasSnapshot_Refresh(model, sheet->parts.fleet,
                            SasConfigure_GetCurrent(sheet->configure));
    }
    else {
        SasSnapshot_Add(model, sheet->parts.fleet);
    }
    for (int i = 0; SasMesh_GetView(mesh, i, &vm); i++) {
        SasSnapshot_AddVm(model, vm.name,
                          SasFleet_FindZone(sheet->parts.fleet, vm.zone));
    }
}

static void
on_resolve(struct sas_configure_listener *listener, const char *config,
           size_t size)
{
    struct sas_live_sheet *sheet = SHEET_OF(listener, listener);
    refresh_model(sheet);
    if (config != NULL) {
        SasSnapshot_AddNames(SasSteering_GetModel(sheet->parts.steering),
                             sheet->parts.fleet, config, size);
    }
}

static void
advance(struct sas_live_sheet *sheet)
{
    const struct sas_live_sheet_parts *parts = &sheet->parts;
    struct sas_mesh *mesh = SasGateway_GetMesh(parts->gateway);
    bool gone[SasModel_MAX_REGIONS];
    SasMesh_FindGone(mesh, gone);
    if (SasSteering_Advance(parts->steering, SasWall_GetMs(), get_now(sheet),
                            gone)) {
        const struct sas_plan *plan = SasSteering_GetPlan(parts->steering);
        for (int i = 0; i < plan->shift_count; i++) {
            const struct sas_shift *shift = &plan->shifts[i];
            SasLog_Write(SasLog_INFO, "sheet.share",
                         plan->model->services[shift->service].name,
                         "from=%s to=%s ordered=%.3f in_force=%.3f holding=%s",
                         plan->model->regions[shift->from].name,
                         plan->model->regions[shift->to].name, shift->ordered,
                         shift->in_force, SasPlan_GetHoldName(shift->holding));
        }
    }
    struct sas_mesh_view vm;
    for (int i = 0; SasMesh_GetView(mesh, i, &vm); i++) {
        SasMesh_SetWithdrawn(
            mesh, i, SasSteering_IsVmLeaving(parts->steering, vm.name));
    }
}

static void
on_config(struct sas_configure_listener *listener, struct sas_config *config)
{
    struct sas_live_sheet *sheet = SHEET_OF(listener, listener);
    if (config == NULL) {
        return; /* the store has none */
    }
    SasSteering_TakeConfig(sheet->parts.steering, config);
    SasMesh_NoteSheet(SasGateway_GetMesh(sheet->parts.gateway),
                      config->number);
    advance(sheet);
}

static bool
should_look(struct sas_live_sheet *sheet)
{
    const struct sas_mesh *mesh = SasGateway_GetMesh(sheet->parts.gateway);
    if (SasMesh_GetSheet(mesh) > get_number(sheet)) {
        return true;
    }
    return get_now(sheet) - sheet->looked_at >= LOOK_EVERY_MS &&
           SasMesh_IsFirst(mesh, LOOKER_HASH);
}

static void
on_tick(uv_timer_t *timer)
{
    struct sas_live_sheet *sheet = timer->data;
    if (should_look(sheet)) {
        sheet->looked_at = get_now(sheet);
        SasConfigure_Look(sheet->configure);
    }
    if (get_number(sheet) > 0) {
        refresh_model(sheet);
        advance(sheet);
    }
}

/* What operators see. */

static bool
is_ready(struct sas_admin_view *view)
{
    return SasGateway_IsReady(SHEET_OF(view, view)->parts.gateway);
}

static int64_t
get_version(struct sas_admin_view *view)
{
    return get_number(SHEET_OF(view, view));
}

static json_t *
describe_peers(const struct sas_live_sheet *sheet)
{
    const struct sas_mesh *mesh = SasGateway_GetMesh(sheet->parts.gateway);
    json_t *peers = json_array();
    struct sas_mesh_view vm;
    for (int i = 1; SasMesh_GetView(mesh, i, &vm); i++) {
        json_array_append_new(
            peers, json_pack("{s:s, s:s, s:I}", "vm", vm.name, "state",
                             vm.state, "age_ms", (json_int_t)vm.age_ms));
    }
    return peers;
}

static json_t *
describe(struct sas_admin_view *view)
{
    struct sas_live_sheet *sheet = SHEET_OF(view, view);
    const struct sas_steering *steering = sheet->parts.steering;
    const struct sas_model *model =
        SasSteering_GetModel(sheet->parts.steering);
    json_t *regions = json_array();
    for (int s = 0; s < model->service_count; s++) {
        for (int r = 0; r < model->region_count; r++) {
            double headroom =
                SasSteering_GetHeadroom(steering, s, r, get_now(sheet));
            json_array_append_new(regions,
                                  SasDescribe_Region(model, s, r, headroom));
        }
    }
    json_t *shifts = json_array();
    const struct sas_plan *plan = SasSteering_GetPlan(steering);
    for (int i = 0; i < plan->shift_count; i++) {
        json_array_append_new(shifts,
                              SasDescribe_Shift(model, &plan->shifts[i]));
    }
    return json_pack("{s:o, s:o, s:[], s:o}", "regions", regions, "shifts",
                     shifts, "budgets", "peers", describe_peers(sheet));
}

/* Opening and closing. */

static int
open_admin(struct sas_live_sheet *sheet, struct sas_error *error)
{
    const struct sas_live_sheet_parts *parts = &sheet->parts;
    sheet->view.is_ready = is_ready;
    sheet->view.get_version = get_version;
    sheet->view.describe = describe;
    struct sas_admin_parts admin = {
        .loop = parts->loop,
        .vm = parts->settings->name,
        .model = SasSteering_GetModel(parts->steering),
        .metrics = SasGateway_GetMetrics(parts->gateway),
        .configure = sheet->configure,
        .view = &sheet->view,
        .token = parts->token,
        .read_only = parts->token == NULL,
        .get_wall_ms = SasWall_GetMs,
    };
    sheet->admin = SasAdmin_Open(&admin, &parts->settings->admin, error);
    return sheet->admin != NULL ? 0 : -1;
}

struct sas_live_sheet *
SasLiveSheet_Open(const struct sas_live_sheet_parts *parts,
                  struct sas_error *error)
{
    struct sas_live_sheet *sheet = g_new0(struct sas_live_sheet, 1);
    sheet->parts = *parts;
    sheet->random = g_rand_new();
    sheet->listener.on_config = on_config;
    sheet->listener.on_resolve = on_resolve;
    struct sas_configure_parts configure = {
        .loop = parts->loop,
        .model = SasSteering_GetModel(parts->steering),
        .store = parts->store,
        .listener = &sheet->listener,
        .random = sheet->random,
        .get_wall_ms = SasWall_GetMs,
        .looks_when_told = true,
        .max_object = parts->max_object,
    };
    sheet->configure = SasConfigure_Open(&configure);
    uv_timer_init(parts->loop, &sheet->timer);
    sheet->timer.data = sheet;
    uv_timer_start(&sheet->timer, on_tick, TICK_MS, TICK_MS);
    if (parts->settings->admin.port != 0 && open_admin(sheet, error) != 0) {
        SasLiveSheet_Close(sheet);
        return NULL;
    }
    return sheet;
}

static void
on_timer_closed(uv_handle_t *handle)
{
    struct sas_live_sheet *sheet = handle->data;
    g_rand_free(sheet->random);
    g_free(sheet);
}

int
SasLiveSheet_End(struct sas_live_sheet *sheet)
{
    if (sheet->admin == NULL) {
        return 0;
    }
    SasAdmin_End(sheet->admin);
    return SasAdmin_CountWaiting(sheet->admin);
}

void
SasLiveSheet_Close(struct sas_live_sheet *sheet)
{
    if (sheet->admin != NULL) {
        SasAdmin_Close(sheet->admin);
    }
    SasConfigure_Close(sheet->configure);
    uv_close((uv_handle_t *)&sheet->timer, on_timer_closed);
}
