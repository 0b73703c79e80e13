/* Which entry VMs a look-up names. */
#include "mesh_seats.h"

#include "sas/log.h"
#include "sas/strength.h"

/* An entry VM that was heard of so lately is part of what its zone usually
 * has: one that restarts or was killed, not one that was taken away. */
#define USUAL_MS 600000

/* How far callers are sent. */
enum scope {
    ZONE,
    REGION,
    ALL,
    SCOPES
};

/* A zone, or where that is NONE a region, or where that is NONE too all. */
struct place {
    int zone;
    int region;
};

static bool
is_within(const struct sas_mesh *mesh, int seat, const struct place *place)
{
    if (place->zone != SasModel_NONE) {
        return SasMesh_GetVm(mesh, seat)->zone == place->zone;
    }
    return place->region == SasModel_NONE ||
           SasMesh_GetRegion(mesh, seat) == place->region;
}

static bool
is_usual(const struct sas_mesh *mesh, int seat)
{
    return SasMembership_GetAge(&mesh->table, seat, SasMesh_Now(mesh)) <=
           USUAL_MS;
}

static bool
may_name(const struct sas_mesh *mesh, int seat)
{
    return !SasMesh_GetVm(mesh, seat)->withdrawn && SasMesh_IsLive(mesh, seat);
}

static int
collect(const struct sas_mesh *mesh, const struct place *place,
        struct sas_address *addresses, int max)
{
    g_autoptr(GArray) seats = g_array_new(FALSE, FALSE, sizeof(int));
    g_autoptr(GArray) strengths = g_array_new(FALSE, FALSE, sizeof(double));
    for (int seat = 0; seat < (int)mesh->vms->len; seat++) {
        if (is_within(mesh, seat, place) && may_name(mesh, seat)) {
            g_array_append_val(seats, seat);
            g_array_append_val(strengths,
                               SasMesh_GetVm(mesh, seat)->facts.strength);
        }
    }
    int picked[SasMesh_MAX_NAMED];
    int count =
        SasStrength_Pick((const double *)(void *)strengths->data,
                         (int)seats->len, picked, MIN(max, SasMesh_MAX_NAMED));
    for (int i = 0; i < count; i++) {
        int seat = g_array_index(seats, int, picked[i]);
        addresses[i] = SasMesh_GetVm(mesh, seat)->facts.caller;
    }
    return count;
}

/* What callers can be sent to there now, as a part of what it usually has. */
static double
get_part_left(const struct sas_mesh *mesh, const struct place *place)
{
    double usual = 0;
    double left = 0;
    for (int seat = 0; seat < (int)mesh->vms->len; seat++) {
        if (!is_within(mesh, seat, place) || !is_usual(mesh, seat)) {
            continue;
        }
        double strength = SasMesh_GetVm(mesh, seat)->facts.strength;
        usual += strength;
        left += may_name(mesh, seat) ? strength : 0;
    }
    return usual > 0 ? left / usual : 0;
}

/* One decision a zone is logged, not one a look-up. */
static void
note_scope(struct sas_mesh *mesh, int zone, enum scope scope, double left)
{
    static const char *const names[SCOPES] = {"zone", "region", "all"};
    if (mesh->lookup_scopes[zone] == scope) {
        return;
    }
    mesh->lookup_scopes[zone] = scope;
    SasLog_WriteFields(SasLog_INFO, "lookup.scope",
                       SasFleet_GetZone(mesh->fleet, zone)->name, "{s:s, s:f}",
                       "named", names[scope], "part_of_zone_left", left);
}

/* The nearest of which enough is left for its callers, or else the one of
 * which most is left. */
static enum scope
pick_scope(const struct sas_mesh *mesh, const struct place *places,
           double *left)
{
    enum scope best = ZONE;
    for (enum scope scope = ZONE; scope < SCOPES; scope++) {
        left[scope] = get_part_left(mesh, &places[scope]);
        if (left[scope] >= SasStrength_LEAST_LEFT) {
            return scope;
        }
        if (left[scope] > left[best]) {
            best = scope;
        }
    }
    return best;
}

int
SasMesh_Find(struct sas_mesh *mesh, int zone, int region,
             struct sas_address *addresses, int max)
{
    if (zone != SasModel_NONE) {
        region = SasFleet_GetZone(mesh->fleet, zone)->region;
    }
    const struct place places[SCOPES] = {
        [ZONE] = {zone, region},
        [REGION] = {SasModel_NONE, region},
        [ALL] = {SasModel_NONE, SasModel_NONE},
    };
    double left[SCOPES];
    enum scope scope = pick_scope(mesh, places, left);
    if (zone != SasModel_NONE) {
        note_scope(mesh, zone, scope, left[ZONE]);
    }
    return collect(mesh, &places[scope], addresses, max);
}
