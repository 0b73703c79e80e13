#include "sas/fleet.h"

#include <string.h>
#include <xxhash.h>

struct sas_fleet {
    struct sas_zone zones[SasFleet_MAX_ZONES];
    int zone_count;
    char regions[SasModel_MAX_REGIONS][SasModel_NAME_SIZE];
    int region_count;
    GPtrArray *services; /* struct sas_fleet_service * */
    GHashTable *service_by_name;
    GPtrArray *servers; /* struct sas_fleet_server *, by slot */
    GArray *free_slots; /* int */
    GHashTable *server_by_id;
    GHashTable *absent_notices; /* struct sas_server_notice by start */
    struct sas_fleet_config *config;
    GPtrArray *listeners;
};

static void free_service(gpointer data);
static void free_route(gpointer data);

/* Creation and listeners. */

struct sas_fleet *
SasFleet_New(void)
{
    struct sas_fleet *fleet = g_new0(struct sas_fleet, 1);
    fleet->services = g_ptr_array_new_with_free_func(free_service);
    fleet->service_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    fleet->servers = g_ptr_array_new_with_free_func(g_free);
    fleet->free_slots = g_array_new(FALSE, FALSE, sizeof(int));
    fleet->server_by_id =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    fleet->absent_notices =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    fleet->listeners = g_ptr_array_new();
    return fleet;
}

void
SasFleet_Free(struct sas_fleet *fleet)
{
    if (fleet == NULL) {
        return;
    }
    g_hash_table_destroy(fleet->server_by_id);
    g_hash_table_destroy(fleet->absent_notices);
    g_hash_table_destroy(fleet->service_by_name);
    g_ptr_array_free(fleet->servers, TRUE);
    g_ptr_array_free(fleet->services, TRUE);
    g_array_free(fleet->free_slots, TRUE);
    g_ptr_array_free(fleet->listeners, TRUE);
    SasFleetConfig_Unref(fleet->config);
    g_free(fleet);
}

void
SasFleet_AddListener(struct sas_fleet *fleet,
                     struct sas_fleet_listener *listener)
{
    g_ptr_array_add(fleet->listeners, listener);
}

static void
notify_server(struct sas_fleet *fleet, int slot, bool removed)
{
    for (guint i = 0; i < fleet->listeners->len; i++) {
        struct sas_fleet_listener *listener = fleet->listeners->pdata[i];
        if (removed && listener->on_server_gone != NULL) {
            listener->on_server_gone(listener, slot);
        }
        if (!removed && listener->on_server != NULL) {
            listener->on_server(listener, slot);
        }
    }
}

/* Failure domains (zones) and regions. */

static int
add_region(struct sas_fleet *fleet, const char *name)
{
    int region = SasFleet_FindRegion(fleet, name);
    if (region != SasModel_NONE) {
        return region;
    }
    if (fleet->region_count == SasModel_MAX_REGIONS) {
        return SasModel_NONE;
    }
    region = fleet->region_count++;
    g_strlcpy(fleet->regions[region], name, SasModel_NAME_SIZE);
    return region;
}

int
SasFleet_AddZone(struct sas_fleet *fleet, const char *name, const char *region)
{
    int zone = SasFleet_FindZone(fleet, name);
    if (zone != SasModel_NONE) {
        return zone;
    }
    int region_handle = add_region(fleet, region);
    if (region_handle == SasModel_NONE ||
        fleet->zone_count == SasFleet_MAX_ZONES) {
        return SasModel_NONE;
    }
    zone = fleet->zone_count++;
    g_strlcpy(fleet->zones[zone].name, name, SasModel_NAME_SIZE);
    fleet->zones[zone].region = region_handle;
    return zone;
}

int
SasFleet_FindZone(const struct sas_fleet *fleet, const char *name)
{
    for (int i = 0; i < fleet->zone_count; i++) {
        if (strcmp(fleet->zones[i].name, name) == 0) {
            return i;
        }
    }
    return SasModel_NONE;
}

int
SasFleet_FindRegion(const struct sas_fleet *fleet, const char *name)
{
    for (int i = 0; i < fleet->region_count; i++) {
        if (strcmp(fleet->regions[i], name) == 0) {
            return i;
        }
    }
    return SasModel_NONE;
}

int
SasFleet_CountZones(const struct sas_fleet *fleet)
{
    return fleet->zone_count;
}

int
SasFleet_CountRegions(const struct sas_fleet *fleet)
{
    return fleet->region_count;
}

const char *
SasFleet_GetRegionName(const struct sas_fleet *fleet, int region)
{
    return fleet->regions[region];
}

const struct sas_zone *
SasFleet_GetZone(const struct sas_fleet *fleet, int zone)
{
    return &fleet->zones[zone];
}

/* Changes. */

static void
add_to_service(struct sas_fleet *fleet, int slot)
{
    const struct sas_fleet_server *server = SasFleet_At(fleet, slot);
    struct sas_fleet_service *service =
        SasFleet_GetService(fleet, server->service);
    g_array_append_val(service->servers, slot);
}

static void
remove_from_service(struct sas_fleet *fleet, int slot)
{
    const struct sas_fleet_server *server = SasFleet_At(fleet, slot);
    GArray *slots = SasFleet_GetService(fleet, server->service)->servers;
    for (guint i = 0; i < slots->len; i++) {
        if (g_array_index(slots, int, i) == slot) {
            g_array_remove_index_fast(slots, i);
            return;
        }
    }
}

static int
allocate_slot(struct sas_fleet *fleet)
{
    if (fleet->free_slots->len > 0) {
        guint last = fleet->free_slots->len - 1;
        int slot = g_array_index(fleet->free_slots, int, last);
        g_array_set_size(fleet->free_slots, last);
        return slot;
    }
    g_ptr_array_add(fleet->servers, g_new0(struct sas_fleet_server, 1));
    return (int)fleet->servers->len - 1;
}

/* The same process and address: what was measured of it stays valid. */
static bool
is_same_start(const struct sas_server_facts *a,
              const struct sas_server_facts *b)
{
    return a->started_at == b->started_at &&
           a->address.port == b->address.port &&
           strcmp(a->address.ip, b->address.ip) == 0 &&
           strcmp(a->service, b->service) == 0 &&
           strcmp(a->zone, b->zone) == 0;
}

static uint64_t
hash_start(const struct sas_server_facts *facts)
{
    g_autofree char *text =
        g_strdup_printf("%s %s %s %s %d %" G_GINT64_FORMAT, facts->id,
                        facts->service, facts->zone, facts->address.ip,
                        facts->address.port, facts->started_at);
    return XXH3_64bits(text, strlen(text));
}

/* Of a process whose row is missing. */
static struct sas_server_notice *
get_absent_notice(struct sas_fleet *fleet, uint64_t start)
{
    struct sas_server_notice *notice =
        g_hash_table_lookup(fleet->absent_notices, &start);
    if (notice == NULL) {
        if (g_hash_table_size(fleet->absent_notices) >=
            SasFleet_MAX_ABSENT_NOTICES) {
            g_hash_table_remove_all(fleet->absent_notices);
        }
        notice = g_new0(struct sas_server_notice, 1);
        g_hash_table_insert(fleet->absent_notices,
                            g_memdup2(&start, sizeof(start)), notice);
    }
    return notice;
}

struct sas_server_notice *
SasFleet_GetNotice(struct sas_fleet *fleet, uint64_t start)
{
    int slot = SasFleet_FindStart(fleet, start);
    if (slot != SasModel_NONE) {
        return &SasFleet_At(fleet, slot)->notice;
    }
    return get_absent_notice(fleet, start);
}

/* Without a start time a new process under the same id can't be told from the
 * one before, which may have been leaving. */
static void
take_absent_notice(struct sas_fleet *fleet, struct sas_fleet_server *server)
{
    const struct sas_server_notice *notice =
        g_hash_table_lookup(fleet->absent_notices, &server->start);
    if (notice != NULL && server->facts.started_at != 0) {
        server->notice = *notice;
        g_hash_table_remove(fleet->absent_notices, &server->start);
    }
}

static void
keep_notice(struct sas_fleet *fleet, const struct sas_fleet_server *server)
{
    if (server->notice.leaving || server->notice.paused) {
        *get_absent_notice(fleet, server->start) = server->notice;
    }
}

int
SasFleet_PutServer(struct sas_fleet *fleet,
                   const struct sas_server_facts *facts)
{
    int zone = SasFleet_FindZone(fleet, facts->zone);
    if (zone == SasModel_NONE) {
        return -1;
    }
    int slot = SasFleet_FindServer(fleet, facts->id);
    if (slot != SasModel_NONE) {
        struct sas_fleet_server *server = fleet->servers->pdata[slot];
        if (is_same_start(&server->facts, facts)) {
            server->facts = *facts;
            notify_server(fleet, slot, false);
            return slot;
        }
        SasFleet_RemoveServer(fleet, facts->id);
    }
    slot = allocate_slot(fleet);
    struct sas_fleet_server *server = fleet->servers->pdata[slot];
    server->present = true;
    server->service = SasFleet_AddService(fleet, facts->service);
    server->zone = zone;
    server->hash = XXH3_64bits(facts->id, strlen(facts->id));
    server->facts = *facts;
    server->start = hash_start(facts);
    take_absent_notice(fleet, server);
    g_hash_table_insert(fleet->server_by_id, g_strdup(facts->id),
                        GINT_TO_POINTER(slot + 1));
    add_to_service(fleet, slot);
    notify_server(fleet, slot, false);
    return slot;
}

bool
SasFleet_RemoveServer(struct sas_fleet *fleet, const char *id)
{
    int slot = SasFleet_FindServer(fleet, id);
    if (slot == SasModel_NONE) {
        return false;
    }
    notify_server(fleet, slot, true);
    remove_from_service(fleet, slot);
    g_hash_table_remove(fleet->server_by_id, id);
    struct sas_fleet_server *server = fleet->servers->pdata[slot];
    keep_notice(fleet, server);
    uint32_t generation = server->generation + 1;
    memset(server, 0, sizeof(*server));
    server->generation = generation;
    g_array_append_val(fleet->free_slots, slot);
    return true;
}

void
SasFleet_SetWithdrawn(struct sas_fleet *fleet, int slot, bool withdrawn)
{
    struct sas_fleet_server *server = fleet->servers->pdata[slot];
    server->withdrawn = withdrawn;
}

bool
SasFleet_SetEvacuated(struct sas_fleet *fleet, int zone, bool evacuated)
{
    bool changed = fleet->zones[zone].evacuated != evacuated;
    fleet->zones[zone].evacuated = evacuated;
    for (guint i = 0; changed && !evacuated && i < fleet->listeners->len;
         i++) {
        struct sas_fleet_listener *listener = fleet->listeners->pdata[i];
        if (listener->on_zone_restored != NULL) {
            listener->on_zone_restored(listener, zone);
        }
    }
    return changed;
}

static void
mark_high_priority(struct sas_fleet_config *config)
{
    int lowest = 0;
    for (guint i = 0; i < config->routes->len; i++) {
        const struct sas_route *route = config->routes->pdata[i];
        lowest = MAX(lowest, route->priority);
    }
    for (guint i = 0; i < config->routes->len; i++) {
        struct sas_route *route = config->routes->pdata[i];
        route->high_priority = route->priority < lowest;
    }
}

/* The service time of a service that has not answered yet starts from the
 * longest latency objective of its routes. */
static void
update_objectives(struct sas_fleet *fleet,
                  const struct sas_fleet_config *config)
{
    for (guint i = 0; i < config->routes->len; i++) {
        const struct sas_route *route = config->routes->pdata[i];
        for (guint part = 0; part < route->parts->len; part++) {
            struct sas_fleet_service *service = SasFleet_GetService(
                fleet, g_array_index(route->parts, struct sas_route_part, part)
                           .service);
            if ((double)route->target_latency_ms > service->objective_ms) {
                service->objective_ms = (double)route->target_latency_ms;
                SasServiceTime_SetObjective(&service->service_time,
                                            service->objective_ms);
            }
        }
    }
}

bool
SasFleet_ApplyConfig(struct sas_fleet *fleet, struct sas_fleet_config *config,
                     int64_t now_ms)
{
    if (fleet->config != NULL && config->version <= fleet->config->version) {
        SasFleetConfig_Unref(config);
        return false;
    }
    config->applied_at = now_ms;
    mark_high_priority(config);
    update_objectives(fleet, config);
    SasFleetConfig_Unref(fleet->config);
    fleet->config = config;
    for (guint i = 0; i < fleet->listeners->len; i++) {
        struct sas_fleet_listener *listener = fleet->listeners->pdata[i];
        if (listener->on_config != NULL) {
            listener->on_config(listener, config);
        }
    }
    return true;
}

/* Configurations. */

struct sas_fleet_config *
SasFleetConfig_New(int64_t version)
{
    struct sas_fleet_config *config = g_new0(struct sas_fleet_config, 1);
    config->references = 1;
    config->version = version;
    config->routes = g_ptr_array_new_with_free_func(free_route);
    config->by_prefix =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    config->non_slash_routes = g_ptr_array_new();
    return config;
}

struct sas_route *
SasFleetConfig_AddRoute(struct sas_fleet_config *config, const char *name,
                        const char *host, const char *prefix)
{
    struct sas_route *route = g_new0(struct sas_route, 1);
    route->name = g_strdup(name);
    route->host = g_strdup(host);
    route->prefix = g_strdup(prefix);
    route->max_attempts = 1;
    route->parts = g_array_new(FALSE, FALSE, sizeof(struct sas_route_part));
    g_ptr_array_add(config->routes, route);
    if (!g_str_has_suffix(prefix, "/")) {
        g_ptr_array_add(config->non_slash_routes, route);
        return route;
    }
    g_autofree char *lower = g_ascii_strdown(host, -1);
    char *key = g_strconcat(lower, " ", prefix, NULL);
    if (g_hash_table_contains(config->by_prefix, key)) {
        g_free(key); /* the first of two equal prefixes counts */
        return route;
    }
    g_hash_table_insert(config->by_prefix, key, route);
    config->longest_prefix = MAX(config->longest_prefix, strlen(prefix));
    return route;
}

void
SasRoute_AddPart(struct sas_route *route, int service, double weight)
{
    struct sas_route_part part = {.service = service, .weight = weight};
    g_array_append_val(route->parts, part);
}

static void
free_route(gpointer data)
{
    struct sas_route *route = data;
    g_free(route->name);
    g_free(route->host);
    g_free(route->prefix);
    g_array_free(route->parts, TRUE);
    g_free(route);
}

struct sas_fleet_config *
SasFleetConfig_Ref(struct sas_fleet_config *config)
{
    config->references++;
    return config;
}

void
SasFleetConfig_Unref(struct sas_fleet_config *config)
{
    if (config == NULL || --config->references > 0) {
        return;
    }
    g_hash_table_destroy(config->by_prefix);
    g_ptr_array_free(config->non_slash_routes, TRUE);
    g_ptr_array_free(config->routes, TRUE);
    g_free(config);
}

static const struct sas_route *
find_non_slash_route(const struct sas_fleet_config *config, const char *host,
                     const char *path, size_t path_size)
{
    const struct sas_route *best = NULL;
    size_t best_size = 0;
    for (guint i = 0; i < config->non_slash_routes->len; i++) {
        const struct sas_route *route = config->non_slash_routes->pdata[i];
        size_t size = strlen(route->prefix);
        if (size > best_size && size <= path_size &&
            g_ascii_strcasecmp(route->host, host) == 0 &&
            strncmp(route->prefix, path, size) == 0) {
            best = route;
            best_size = size;
        }
    }
    return best;
}

/* Looks up each prefix of the path that ends with a slash, longest first: with
 * hundreds of routes, a linear search would take most of the time of a
 * decision. */
const struct sas_route *
SasFleetConfig_FindRoute(const struct sas_fleet_config *config,
                         const char *host, const char *target)
{
    size_t path_size = strcspn(target, "?");
    g_autofree char *name = g_ascii_strdown(host, (gssize)strcspn(host, ":"));
    size_t host_size = strlen(name) + 1;
    g_autofree char *key =
        g_strdup_printf("%s %.*s", name, (int)path_size, target);
    const struct sas_route *non_slash =
        find_non_slash_route(config, name, target, path_size);
    size_t non_slash_size = non_slash != NULL ? strlen(non_slash->prefix) : 0;
    size_t longest = MIN(path_size, config->longest_prefix);
    for (size_t size = longest; size > non_slash_size; size--) {
        if (target[size - 1] != '/') {
            continue;
        }
        key[host_size + size] = '\0';
        const struct sas_route *route =
            g_hash_table_lookup(config->by_prefix, key);
        if (route != NULL) {
            return route;
        }
    }
    return non_slash;
}

struct sas_fleet_config *
SasFleet_GetConfig(const struct sas_fleet *fleet)
{
    return fleet->config;
}

/* Services. */

int
SasFleet_CountServices(const struct sas_fleet *fleet)
{
    return (int)fleet->services->len;
}

int
SasFleet_AddService(struct sas_fleet *fleet, const char *name)
{
    int service = SasFleet_FindService(fleet, name);
    if (service != SasModel_NONE) {
        return service;
    }
    struct sas_fleet_service *row = g_new0(struct sas_fleet_service, 1);
    g_strlcpy(row->name, name, sizeof(row->name));
    row->servers = g_array_new(FALSE, FALSE, sizeof(int));
    SasServiceTime_Init(&row->service_time, 0);
    g_ptr_array_add(fleet->services, row);
    service = (int)fleet->services->len - 1;
    g_hash_table_insert(fleet->service_by_name, row->name,
                        GINT_TO_POINTER(service + 1));
    return service;
}

static void
free_service(gpointer data)
{
    struct sas_fleet_service *service = data;
    g_array_free(service->servers, TRUE);
    g_free(service);
}

int
SasFleet_FindService(const struct sas_fleet *fleet, const char *name)
{
    gpointer value = g_hash_table_lookup(fleet->service_by_name, name);
    return value == NULL ? SasModel_NONE : GPOINTER_TO_INT(value) - 1;
}

struct sas_fleet_service *
SasFleet_GetService(const struct sas_fleet *fleet, int service)
{
    return fleet->services->pdata[service];
}

/* Backend servers. */

int
SasFleet_CountSlots(const struct sas_fleet *fleet)
{
    return (int)fleet->servers->len;
}

struct sas_fleet_server *
SasFleet_At(const struct sas_fleet *fleet, int slot)
{
    struct sas_fleet_server *server = fleet->servers->pdata[slot];
    return server->present ? server : NULL;
}

struct sas_fleet_server *
SasFleet_GetServer(const struct sas_fleet *fleet, struct sas_server_ref ref)
{
    if (ref.slot < 0 || ref.slot >= (int)fleet->servers->len) {
        return NULL;
    }
    struct sas_fleet_server *server = SasFleet_At(fleet, ref.slot);
    return server != NULL && server->generation == ref.generation ? server
                                                                  : NULL;
}

struct sas_server_ref
SasFleet_GetRef(const struct sas_fleet *fleet, int slot)
{
    const struct sas_fleet_server *server = fleet->servers->pdata[slot];
    struct sas_server_ref ref = {
        .slot = slot,
        .generation = server->generation,
    };
    return ref;
}

int
SasFleet_FindServer(const struct sas_fleet *fleet, const char *id)
{
    gpointer value = g_hash_table_lookup(fleet->server_by_id, id);
    return value == NULL ? SasModel_NONE : GPOINTER_TO_INT(value) - 1;
}

int
SasFleet_FindStart(const struct sas_fleet *fleet, uint64_t start)
{
    for (guint slot = 0; slot < fleet->servers->len; slot++) {
        const struct sas_fleet_server *server = fleet->servers->pdata[slot];
        if (server->present && server->start == start) {
            return (int)slot;
        }
    }
    return SasModel_NONE;
}

int
SasFleet_GetServerRegion(const struct sas_fleet *fleet, int slot)
{
    const struct sas_fleet_server *server = fleet->servers->pdata[slot];
    return fleet->zones[server->zone].region;
}

bool
SasFleet_AcceptsRequests(const struct sas_fleet *fleet, int slot)
{
    const struct sas_fleet_server *server = SasFleet_At(fleet, slot);
    return server != NULL && !server->facts.draining &&
           !server->notice.leaving && !server->withdrawn &&
           !fleet->zones[server->zone].evacuated;
}
