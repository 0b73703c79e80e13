/* Selects the entry VMs that a lookup returns. */
#include "mesh_internal.h"

#include "sas/log.h"
#include "sas/vm_capacity.h"

/* Dead members count towards their zone's total capacity until this time after
 * their last heartbeat or message: they may be restarting or have been killed.
 * Later they count as removed. */
#define RECENT_MEMBER_MS 600000

/* Lookups leave out an entry VM that has reached no server of some service for
 * this time: a path that is back at once moves no callers. */
#define CUT_OFF_MS 1000

/* Where a lookup's addresses are taken from. */
enum scope {
    ZONE,
    REGION,
    ALL,
    SCOPES
};

/* A zone; if that is NONE, a region; if that is NONE too, everywhere. */
struct place {
    int zone;
    int region;
    bool with_cut_off; /* also those that reach no server of a service */
};

static bool
is_within(const struct sas_mesh *mesh, int member_id,
          const struct place *place)
{
    if (place->zone != SasModel_NONE) {
        return SasMesh_GetVm(mesh, member_id)->zone == place->zone;
    }
    return place->region == SasModel_NONE ||
           SasMesh_GetRegion(mesh, member_id) == place->region;
}

static bool
was_seen_recently(const struct sas_mesh *mesh, int member_id)
{
    return SasMembership_GetAge(&mesh->table, member_id, SasMesh_Now(mesh)) <=
           RECENT_MEMBER_MS;
}

static bool
is_cut_off(const struct sas_mesh *mesh, int member_id)
{
    const struct vm *vm = SasMesh_GetVm(mesh, member_id);
    return SasMesh_HasLostPaths(mesh, member_id) &&
           SasMesh_Now(mesh) - vm->lost_since >= CUT_OFF_MS;
}

static bool
is_eligible(const struct sas_mesh *mesh, int member_id,
            const struct place *place)
{
    return !SasMesh_GetVm(mesh, member_id)->withdrawn &&
           SasMesh_IsLive(mesh, member_id) &&
           (place->with_cut_off || !is_cut_off(mesh, member_id));
}

static int
fill_addresses(const struct sas_mesh *mesh, const struct place *place,
               struct sas_address *addresses, int max)
{
    g_autoptr(GArray) member_ids = g_array_new(FALSE, FALSE, sizeof(int));
    g_autoptr(GArray) capacities = g_array_new(FALSE, FALSE, sizeof(double));
    for (int member_id = 0; member_id < (int)mesh->vms->len; member_id++) {
        if (is_within(mesh, member_id, place) &&
            is_eligible(mesh, member_id, place)) {
            g_array_append_val(member_ids, member_id);
            g_array_append_val(capacities,
                               SasMesh_GetVm(mesh, member_id)->facts.capacity);
        }
    }
    int picked[SasMesh_MAX_ADDRESSES];
    int count = SasVmCapacity_Pick((const double *)(void *)capacities->data,
                                   (int)member_ids->len, picked,
                                   MIN(max, SasMesh_MAX_ADDRESSES));
    for (int i = 0; i < count; i++) {
        int member_id = g_array_index(member_ids, int, picked[i]);
        addresses[i] = SasMesh_GetVm(mesh, member_id)->facts.caller;
    }
    return count;
}

/* Capacity of the place's eligible members as a share of its total. */
static double
get_remaining_share(const struct sas_mesh *mesh, const struct place *place)
{
    double total = 0;
    double remaining = 0;
    for (int member_id = 0; member_id < (int)mesh->vms->len; member_id++) {
        if (!is_within(mesh, member_id, place) ||
            !was_seen_recently(mesh, member_id)) {
            continue;
        }
        double capacity = SasMesh_GetVm(mesh, member_id)->facts.capacity;
        total += capacity;
        remaining += is_eligible(mesh, member_id, place) ? capacity : 0;
    }
    return total > 0 ? remaining / total : 0;
}

/* Logs the scope of a zone's lookups when it changes. */
static void
log_scope(struct sas_mesh *mesh, int zone, enum scope scope, double remaining)
{
    static const char *const names[SCOPES] = {"zone", "region", "all"};
    if (mesh->lookup_scopes[zone] == scope) {
        return;
    }
    mesh->lookup_scopes[zone] = scope;
    SasLog_WriteFields(SasLog_INFO, "lookup.scope",
                       SasFleet_GetZone(mesh->fleet, zone)->name, "{s:s, s:f}",
                       "named", names[scope], "part_of_zone_left", remaining);
}

/* The nearest scope with enough remaining capacity, or else the one with the
 * largest remaining share. */
static enum scope
pick_scope(const struct sas_mesh *mesh, const struct place *places,
           double *remaining)
{
    enum scope best = ZONE;
    for (enum scope scope = ZONE; scope < SCOPES; scope++) {
        remaining[scope] = get_remaining_share(mesh, &places[scope]);
        if (remaining[scope] >= SasVmCapacity_MIN_REMAINING) {
            return scope;
        }
        if (remaining[scope] > remaining[best]) {
            best = scope;
        }
    }
    return best;
}

int
SasMesh_Lookup(struct sas_mesh *mesh, int zone, int region,
               struct sas_address *addresses, int max)
{
    if (zone != SasModel_NONE) {
        region = SasFleet_GetZone(mesh->fleet, zone)->region;
    }
    struct place places[SCOPES] = {
        [ZONE] = {zone, region, false},
        [REGION] = {SasModel_NONE, region, false},
        [ALL] = {SasModel_NONE, SasModel_NONE, true},
    };
    double remaining[SCOPES];
    enum scope scope = pick_scope(mesh, places, remaining);
    if (scope == ALL) {
        /* Those that are cut off serve through others. That is as good as to
         * send callers to another region, and spreads the load. */
        places[ZONE].with_cut_off = true;
        places[REGION].with_cut_off = true;
        scope = pick_scope(mesh, places, remaining);
    }
    if (zone != SasModel_NONE) {
        log_scope(mesh, zone, scope, remaining[ZONE]);
    }
    return fill_addresses(mesh, &places[scope], addresses, max);
}
