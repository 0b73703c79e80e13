#include "router.h"

#include "status_json.h"

#include <math.h>
#include <string.h>

#include "router_state.h"

#define TICK_MS 250
#define DEFAULT_HEADROOM 0.25 /* share of slots, without recent reports */

static void on_tick(uv_timer_t *timer);

static void
free_tables(struct sas_router *router)
{
    g_free(router->backends);
    SasLeavingServer_Close(&router->departures);
    g_free(router->vms);
    g_free(router->views);

    g_free(router->signals);
    g_free(router->down);
    g_free(router->servers);
    g_free(router->answer_bytes);
    g_free(router);
}

struct sas_router *
SasRouter_Open(const struct sas_router_options *options,
               struct sas_error *error)
{
    struct sas_router *router = g_new0(struct sas_router, 1);
    const struct sas_model *model = &options->settings->model;
    router->options = *options;
    router->model = model;
    router->backends = g_new0(struct backend_row, model->backend_count);
    SasLeavingServer_Init(&router->departures, model->backend_count);
    router->vms = g_new0(struct vm_row, model->vm_count);
    router->views = g_new0(struct sas_vm_status, model->vm_count);

    router->signals = g_new0(struct sas_plan_signal,
                             model->service_count * model->region_count);
    router->down = g_new0(bool, model->region_count);
    for (int i = 0; i < model->backend_count; i++) {
        router->backends[i].last_reached_at = (int64_t)uv_now(options->loop);
    }
    router->servers =
        g_new0(struct sas_placement_server, model->backend_count);
    router->answer_bytes = g_new0(double, model->service_count);
    for (int i = 0; i < model->service_count; i++) {
        router->answer_bytes[i] = SasRouter_FIRST_ANSWER_BYTES;
    }
    const char *placement = options->settings->placement;
    router->placement =
        SasPlacement_Create(placement != NULL && placement[0] != '\0'
                                ? placement
                                : SasRouter_DEFAULT_PLACEMENT);
    if (router->placement == NULL) {
        SasError_Set(error, SAS_EINVAL, "steer.open", NULL,
                     "unknown placement policy %s", placement);
        free_tables(router);
        return NULL;
    }
    for (int i = 0; i < model->backend_count; i++) {
        router->backends[i].owned_slots =
            SasRouterState_CountOwnedSlots(router, i);
    }
    SasLookup_Init(&router->lookup, model);
    SasLoadEstimate_Init(&router->measure, model, DEFAULT_HEADROOM);
    uv_timer_init(options->loop, &router->timer);
    router->timer.data = router;
    uv_timer_start(&router->timer, on_tick, TICK_MS, TICK_MS);
    return router;
}

static void
on_timer_closed(uv_handle_t *handle)
{
    free_tables(handle->data);
}

void
SasRouter_Close(struct sas_router *router)
{
    SasPlan_Free(&router->plan);
    SasLookup_Close(&router->lookup);
    SasLoadEstimate_Close(&router->measure);
    SasPlacement_Free(router->placement);
    uv_close((uv_handle_t *)&router->timer, on_timer_closed);
}

void
SasRouter_SetListener(struct sas_router *router,
                      struct sas_router_listener *listener)
{
    router->listener = listener;
}

int64_t
SasRouterState_GetNow(const struct sas_router *router)
{
    return (int64_t)uv_now(router->options.loop);
}

int
SasRouter_Lookup(struct sas_router *router, int service, uint32_t caller_ip,
                 struct sas_router_lookup *result)
{
    if (!router->has_config) {
        return -1;
    }
    int home = SasLookup_FindHomeRegion(&router->lookup, caller_ip);
    result->region = SasLookup_FindRegion(&router->lookup, service, caller_ip);
    result->version = router->version;
    int64_t lifetime_ms = SasLookup_ChooseTtl(
        &router->plan, service, home, g_rand_double(router->options.random));
    result->lifetime_s = (int)MAX(lifetime_ms / 1000, 1);
    result->vm_count = SasLookup_OrderVms(
        &router->lookup, router->model, result->region, caller_ip,
        router->views, result->vms, SasRouter_MAX_LOOKUP_VMS);
    return 0;
}

int64_t
SasRouter_GetVersion(const struct sas_router *router)
{
    return router->version;
}

bool
SasRouter_IsReady(const struct sas_router *router)
{
    return router->has_config &&
           !SasLending_IsRecovering(router->options.lending);
}

static void
on_tick(uv_timer_t *timer)
{
    struct sas_router *router = timer->data;
    if (router->has_config) {
        SasRouterState_Advance(router);
    }
}

/* Status. */

static json_t *
describe_region(struct sas_router *router, int service, int region)
{
    double age_ms = 0;
    double headroom = SasLoadEstimate_GetHeadroom(
        &router->measure, router->model, service, region,
        SasRouterState_GetNow(router), &age_ms);
    return SasStatusJson_DescribeRegion(router->model, service, region,
                                        headroom);
}

json_t *
SasRouter_Describe(struct sas_router *router)
{
    json_t *regions = json_array();
    json_t *shifts = json_array();
    for (int s = 0; s < router->model->service_count; s++) {
        for (int r = 0; r < router->model->region_count; r++) {
            json_array_append_new(regions, describe_region(router, s, r));
        }
    }
    for (int i = 0; i < router->plan.shift_count; i++) {
        json_array_append_new(
            shifts, SasStatusJson_DescribeShift(router->model,
                                                &router->plan.shifts[i]));
    }
    return json_pack("{s:o, s:o, s:o}", "regions", regions, "shifts", shifts,
                     "budgets", SasLending_Describe(router->options.lending));
}
