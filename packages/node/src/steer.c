#include "steer.h"

#include "describe.h"

#include <math.h>
#include <string.h>

#include "steer_state.h"

#define TICK_MS 250
#define UNKNOWN_HEADROOM 0.25

static void on_tick(uv_timer_t *timer);

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
        steer->backends[i].own_places = SasSteerState_CountOwnPlaces(steer, i);
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

int64_t
SasSteerState_GetNow(const struct sas_steer *steer)
{
    return (int64_t)uv_now(steer->parts.loop);
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
SasSteer_IsReady(const struct sas_steer *steer)
{
    return steer->known && !SasLending_IsRecovering(steer->parts.lending);
}

static void
on_tick(uv_timer_t *timer)
{
    struct sas_steer *steer = timer->data;
    if (steer->known) {
        SasSteerState_Advance(steer);
    }
}

/* Status. */

static json_t *
describe_region(struct sas_steer *steer, int service, int region)
{
    double age_ms = 0;
    double headroom =
        SasMeasure_GetHeadroom(&steer->measure, steer->model, service, region,
                               SasSteerState_GetNow(steer), &age_ms);
    return SasDescribe_Region(steer->model, service, region, headroom);
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
        json_array_append_new(
            shifts, SasDescribe_Shift(steer->model, &steer->plan.shifts[i]));
    }
    return json_pack("{s:o, s:o, s:o}", "regions", regions, "shifts", shifts,
                     "budgets", SasLending_Describe(steer->parts.lending));
}
