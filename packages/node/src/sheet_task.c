#include "sheet_task.h"

#include <string.h>

#include "admin.h"
#include "config_store.h"
#include "status_json.h"
#include "mesh.h"
#include "sas/log.h"
#include "sas/fleet_model.h"
#include "sas/wall_clock.h"

#define TICK_MS 1000

/* Interval at which one entry VM polls the store for all. It alone finds a
 * sheet whose accepting VM died before gossiping it. A third of the 15 s
 * within which a change must be in force everywhere. */
#define POLL_INTERVAL_MS 5000

/* Key of the rendezvous ranking of entry VMs, whose first one polls. */
#define POLLER_HASH 0x5348454554ULL

struct sas_sheet_task {
    struct sas_config_store_listener listener;
    struct sas_admin_view view;
    struct sas_sheet_task_options options;
    struct sas_config_store *config_store;
    struct sas_admin *admin; /* NULL without an admin port */
    GRand *random;
    uv_timer_t timer;
    int64_t polled_at;
};

#define TASK_OF(pointer, member)                                              \
    ((struct sas_sheet_task *)((char *)(pointer)-offsetof(                    \
        struct sas_sheet_task, member)))

static int64_t
get_now(const struct sas_sheet_task *task)
{
    return (int64_t)uv_now(task->options.loop);
}

static int64_t
get_number(const struct sas_sheet_task *task)
{
    const struct sas_config *config =
        SasConfigStore_GetCurrent(task->config_store);
    return config != NULL ? config->version : 0;
}

/* Versions. */

/* Brings the model up to date with the fleet. Servers are removed, which frees
 * their handles, only while nothing but the version in force holds handles. */
static void
refresh_model(struct sas_sheet_task *task)
{
    struct sas_model *model = SasSteering_GetModel(task->options.steering);
    const struct sas_mesh *mesh = SasGateway_GetMesh(task->options.gateway);
    struct sas_mesh_view vm;
    if (SasConfigStore_IsIdle(task->config_store)) {
        SasFleetModel_Refresh(model, task->options.fleet,
                              SasConfigStore_GetCurrent(task->config_store));
    }
    else {
        SasFleetModel_Add(model, task->options.fleet);
    }
    for (int i = 0; SasMesh_GetView(mesh, i, &vm); i++) {
        SasFleetModel_AddVm(model, vm.name,
                            SasFleet_FindZone(task->options.fleet, vm.zone));
    }
}

static void
on_refresh_model(struct sas_config_store_listener *listener,
                 const char *config, size_t size)
{
    struct sas_sheet_task *task = TASK_OF(listener, listener);
    refresh_model(task);
    if (config != NULL) {
        SasFleetModel_AddNames(SasSteering_GetModel(task->options.steering),
                               task->options.fleet, config, size);
    }
}

static void
advance(struct sas_sheet_task *task)
{
    const struct sas_sheet_task_options *options = &task->options;
    struct sas_mesh *mesh = SasGateway_GetMesh(options->gateway);
    bool down[SasModel_MAX_REGIONS];
    SasMesh_FindDownRegions(mesh, down);
    if (SasSteering_Advance(options->steering, SasWallClock_GetMs(),
                            get_now(task), down)) {
        const struct sas_plan *plan = SasSteering_GetPlan(options->steering);
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
            mesh, i, SasSteering_IsVmLeaving(options->steering, vm.name));
    }
}

static void
on_config(struct sas_config_store_listener *listener,
          struct sas_config *config)
{
    struct sas_sheet_task *task = TASK_OF(listener, listener);
    if (config == NULL) {
        return; /* the store has no version */
    }
    SasSteering_SetConfig(task->options.steering, config);
    SasMesh_NoteSheet(SasGateway_GetMesh(task->options.gateway),
                      config->version);
    advance(task);
}

static bool
is_poll_due(struct sas_sheet_task *task)
{
    const struct sas_mesh *mesh = SasGateway_GetMesh(task->options.gateway);
    if (SasMesh_GetSheet(mesh) > get_number(task)) {
        return true;
    }
    return get_now(task) - task->polled_at >= POLL_INTERVAL_MS &&
           SasMesh_IsFirst(mesh, POLLER_HASH);
}

static void
on_tick(uv_timer_t *timer)
{
    struct sas_sheet_task *task = timer->data;
    if (is_poll_due(task)) {
        task->polled_at = get_now(task);
        SasConfigStore_Poll(task->config_store);
    }
    if (get_number(task) > 0) {
        refresh_model(task);
        advance(task);
    }
}

/* Status for operators. */

static bool
is_ready(struct sas_admin_view *view)
{
    return SasGateway_IsReady(TASK_OF(view, view)->options.gateway);
}

static int64_t
get_version(struct sas_admin_view *view)
{
    return get_number(TASK_OF(view, view));
}

static json_t *
describe_peers(const struct sas_sheet_task *task)
{
    const struct sas_mesh *mesh = SasGateway_GetMesh(task->options.gateway);
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
    struct sas_sheet_task *task = TASK_OF(view, view);
    const struct sas_steering *steering = task->options.steering;
    const struct sas_model *model =
        SasSteering_GetModel(task->options.steering);
    json_t *regions = json_array();
    for (int s = 0; s < model->service_count; s++) {
        for (int r = 0; r < model->region_count; r++) {
            double headroom =
                SasSteering_GetHeadroom(steering, s, r, get_now(task));
            json_array_append_new(
                regions, SasStatusJson_DescribeRegion(model, s, r, headroom));
        }
    }
    json_t *shifts = json_array();
    const struct sas_plan *plan = SasSteering_GetPlan(steering);
    for (int i = 0; i < plan->shift_count; i++) {
        json_array_append_new(
            shifts, SasStatusJson_DescribeShift(model, &plan->shifts[i]));
    }
    return json_pack("{s:o, s:o, s:[], s:o}", "regions", regions, "shifts",
                     shifts, "budgets", "peers", describe_peers(task));
}

/* Opening and closing. */

static int
open_admin(struct sas_sheet_task *task, struct sas_error *error)
{
    const struct sas_sheet_task_options *options = &task->options;
    task->view.is_ready = is_ready;
    task->view.get_version = get_version;
    task->view.describe = describe;
    struct sas_admin_options admin = {
        .loop = options->loop,
        .vm = options->settings->name,
        .model = SasSteering_GetModel(options->steering),
        .metrics = SasGateway_GetMetrics(options->gateway),
        .config_store = task->config_store,
        .view = &task->view,
        .token = options->token,
        .read_only = options->token == NULL,
        .get_wall_ms = SasWallClock_GetMs,
    };
    task->admin = SasAdmin_Open(&admin, &options->settings->admin, error);
    return task->admin != NULL ? 0 : -1;
}

struct sas_sheet_task *
SasSheetTask_Open(const struct sas_sheet_task_options *options,
                  struct sas_error *error)
{
    struct sas_sheet_task *task = g_new0(struct sas_sheet_task, 1);
    task->options = *options;
    task->random = g_rand_new();
    task->listener.on_config = on_config;
    task->listener.on_refresh_model = on_refresh_model;
    struct sas_config_store_options config_store = {
        .loop = options->loop,
        .model = SasSteering_GetModel(options->steering),
        .store = options->store,
        .listener = &task->listener,
        .random = task->random,
        .get_wall_ms = SasWallClock_GetMs,
        .poll_on_demand = true,
        .max_object = options->max_object,
    };
    task->config_store = SasConfigStore_Open(&config_store);
    uv_timer_init(options->loop, &task->timer);
    task->timer.data = task;
    uv_timer_start(&task->timer, on_tick, TICK_MS, TICK_MS);
    if (options->settings->admin.port != 0 && open_admin(task, error) != 0) {
        SasSheetTask_Close(task);
        return NULL;
    }
    return task;
}

static void
on_timer_closed(uv_handle_t *handle)
{
    struct sas_sheet_task *task = handle->data;
    g_rand_free(task->random);
    g_free(task);
}

int
SasSheetTask_End(struct sas_sheet_task *task)
{
    if (task->admin == NULL) {
        return 0;
    }
    SasAdmin_End(task->admin);
    return SasAdmin_CountWaiting(task->admin);
}

void
SasSheetTask_Close(struct sas_sheet_task *task)
{
    if (task->admin != NULL) {
        SasAdmin_Close(task->admin);
    }
    SasConfigStore_Close(task->config_store);
    uv_close((uv_handle_t *)&task->timer, on_timer_closed);
}
