#include "view.h"

#include "sas/owner.h"
#include "sas/traffic.h"

static json_t *
make_config(const struct sas_fleet *fleet, int64_t now_ms)
{
    const struct sas_fleet_config *config = SasFleet_GetConfig(fleet);
    if (config == NULL) {
        return json_null();
    }
    return json_pack("{s:I, s:I, s:i}", "version", (json_int_t)config->version,
                     "age_ms", (json_int_t)(now_ms - config->applied_at),
                     "routes", (int)config->routes->len);
}

static const char *
get_state(const struct sas_fleet *fleet, int slot, int64_t now_ms)
{
    const struct sas_fleet_server *server = SasFleet_At(fleet, slot);
    if (server->facts.draining || server->notice.leaving) {
        return "draining";
    }
    if (!SasFleet_AcceptsRequests(fleet, slot)) {
        return "evacuated";
    }
    if (SasTraffic_IsEjected(server, now_ms)) {
        return "shunned";
    }
    if (SasServerNotice_GetWaitMs(&server->notice, now_ms) > 0) {
        return "resting";
    }
    return server->facts.cold_until_ms > now_ms ? "cold" : "ready";
}

static json_t *
make_servers(const struct sas_fleet *fleet, int64_t now_ms)
{
    json_t *rows = json_array();
    for (int slot = 0; slot < SasFleet_CountSlots(fleet); slot++) {
        const struct sas_fleet_server *server = SasFleet_At(fleet, slot);
        if (server == NULL) {
            continue;
        }
        const struct sas_server_traffic *traffic = &server->traffic;
        int64_t load_age_ms =
            traffic->reported_at > 0 ? now_ms - traffic->reported_at : -1;
        int64_t shunned_ms =
            MAX(traffic->ejected_until, traffic->peer_ejected_until) - now_ms;
        json_array_append_new(
            rows, json_pack("{s:s, s:s, s:s, s:s, s:f, s:I, s:i, s:I}", "id",
                            server->facts.id, "service", server->facts.service,
                            "zone", server->facts.zone, "state",
                            get_state(fleet, slot, now_ms), "load",
                            SasTraffic_EstimateLoad(fleet, slot, now_ms),
                            "load_age_ms", (json_int_t)load_age_ms,
                            "in_flight", traffic->in_flight, "shunned_ms",
                            (json_int_t)MAX(shunned_ms, 0)));
    }
    return rows;
}

static json_t *
make_vms(const struct sas_mesh *mesh)
{
    json_t *rows = json_array();
    struct sas_mesh_view row;
    for (int i = 0; SasMesh_GetView(mesh, i, &row); i++) {
        json_array_append_new(rows, json_pack("{s:s, s:s, s:s, s:I}", "name",
                                              row.name, "zone", row.zone,
                                              "state", row.state, "age_ms",
                                              (json_int_t)row.age_ms));
    }
    return rows;
}

static json_t *
make_zones(const struct sas_fleet *fleet)
{
    json_t *rows = json_array();
    for (int i = 0; i < SasFleet_CountZones(fleet); i++) {
        const struct sas_zone *zone = SasFleet_GetZone(fleet, i);
        json_array_append_new(rows, json_pack("{s:s, s:b}", "name", zone->name,
                                              "evacuated", zone->evacuated));
    }
    return rows;
}

static json_t *
make_owners(const struct sas_view_options *options, const char *service,
            const char *object, int64_t now_ms)
{
    const struct sas_fleet *fleet = options->fleet;
    json_t *rows = json_array();
    struct sas_owner_query query = {
        .service = SasFleet_FindService(fleet, service),
        .zone = SasMesh_GetOwnZone(options->mesh),
        .key = SasOwner_HashKey(object),
    };
    int home = SasFleet_GetZone(fleet, query.zone)->region;
    if (query.service != SasModel_NONE) {
        query.steered_region = SasSteering_PickRegion(
            options->steering, query.service, home, query.key);
        query.steered = query.steered_region != home;
    }
    int slots[SasOwner_MAX_CANDIDATES];
    int count = query.service == SasModel_NONE
                    ? 0
                    : SasOwner_Rank(fleet, &query, now_ms, slots,
                                    SasOwner_MAX_CANDIDATES);
    for (int i = 0; i < count; i++) {
        json_array_append_new(
            rows, json_string(SasFleet_At(fleet, slots[i])->facts.id));
    }
    return rows;
}

json_t *
SasView_Make(const struct sas_view_options *options, const char *service,
             const char *object, int64_t now_ms)
{
    const struct sas_fleet *fleet = options->fleet;
    const struct sas_mesh *mesh = options->mesh;
    const struct sas_mesh_facts *own = SasMesh_GetOwn(mesh);
    json_t *view =
        json_pack("{s:s, s:s, s:I, s:o, s:o, s:o, s:o}", "vm", own->name,
                  "zone", own->zone, "now_ms", (json_int_t)now_ms, "config",
                  make_config(fleet, now_ms), "vms", make_vms(mesh), "servers",
                  make_servers(fleet, now_ms), "zones", make_zones(fleet));
    if (service != NULL && object != NULL) {
        json_object_set_new(view, "owners",
                            make_owners(options, service, object, now_ms));
    }
    return view;
}
