#include "sas/owner.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "sas/traffic.h"

/* Different seeds make the choices of the region and of the server in it
 * independent. */
#define REGION_SEED 0x9e3779b97f4a7c15ULL
#define SERVER_SEED 0xc2b2ae3d27d4eb4fULL

struct candidate {
    int slot;
    int distance; /* see get_distance */
    double score;
};

uint64_t
SasOwner_HashKey(const char *key)
{
    return XXH3_64bits(key, strlen(key));
}

static uint64_t
mix(uint64_t a, uint64_t b, uint64_t seed)
{
    uint64_t words[2] = {a, b};
    return XXH3_64bits_withSeed(words, sizeof(words), seed);
}

/* Maps a hash to (0, 1). */
static double
to_unit(uint64_t hash)
{
    return ((double)(hash >> 11) + 0.5) / 9007199254740992.0;
}

static bool
is_allowed(const struct sas_fleet *fleet, const struct sas_owner_query *query,
           int slot, int64_t now_ms)
{
    if (!SasTraffic_IsAvailable(fleet, slot, now_ms)) {
        return false;
    }
    int region = SasFleet_GetServerRegion(fleet, slot);
    return query->allowed_regions == 0 ||
           (query->allowed_regions >> region & 1) != 0;
}

/* Sums the execution slots of the service's servers that requests may go to,
 * by region. Ejected and paused servers don't count, or the few others of a
 * region would get all of its objects and queue them. Entry VMs report
 * ejections to each other, so their sums agree; pauses are asked of most of
 * them at about the same time. */
static double
sum_slots(const struct sas_fleet *fleet, const struct sas_owner_query *query,
          int64_t now_ms, double *by_region)
{
    const GArray *servers =
        SasFleet_GetService(fleet, query->service)->servers;
    memset(by_region, 0, SasModel_MAX_REGIONS * sizeof(*by_region));
    double sum = 0;
    for (guint i = 0; i < servers->len; i++) {
        int slot = g_array_index(servers, int, i);
        if (is_allowed(fleet, query, slot, now_ms)) {
            int region = SasFleet_GetServerRegion(fleet, slot);
            double slots = SasFleet_At(fleet, slot)->facts.slots;
            by_region[region] += slots;
            sum += slots;
        }
    }
    return sum;
}

/* Picks a region by its execution slots beyond an equal share. */
static int
pick_spare_region(const double *slots, int count, double share, double unit)
{
    double spare = 0;
    for (int r = 0; r < count; r++) {
        spare += MAX(slots[r] - share, 0);
    }
    double point = unit * spare;
    int last = SasModel_NONE;
    for (int r = 0; r < count; r++) {
        double part = MAX(slots[r] - share, 0);
        if (part <= 0) {
            continue;
        }
        last = r;
        if (point < part) {
            return r;
        }
        point -= part;
    }
    return last;
}

static int
pick_region(const struct sas_fleet *fleet, const struct sas_owner_query *query,
            int home, int64_t now_ms)
{
    double slots[SasModel_MAX_REGIONS];
    double sum = sum_slots(fleet, query, now_ms, slots);
    int count = SasFleet_CountRegions(fleet);
    if (query->steered && slots[query->steered_region] > 0) {
        return query->steered_region;
    }
    double share = sum / count;
    double home_share = share > 0 ? slots[home] / share : 1;
    if (query->zone_share > 0 && slots[home] > 0) {
        home_share = query->zone_share;
    }
    double unit = to_unit(mix(query->key, (uint64_t)home, REGION_SEED));
    if (unit < home_share) {
        return home;
    }
    /* Here unit is uniform in [home_share, 1). */
    int region = pick_spare_region(slots, count, share,
                                   (unit - home_share) / (1 - home_share));
    return region == SasModel_NONE ? home : region;
}

/* 0: the preferred zone of the object's region; 1: the object's region;
 * 2: the caller's region; 3: other regions. */
static int
get_distance(const struct sas_fleet *fleet,
             const struct sas_owner_query *query, int slot, int region,
             int home)
{
    const struct sas_fleet_server *server = SasFleet_At(fleet, slot);
    int server_region = SasFleet_GetServerRegion(fleet, slot);
    if (server_region == region) {
        return query->prefer_zone && server->zone == query->zone ? 0 : 1;
    }
    return server_region == home ? 2 : 3;
}

static void
insert(struct candidate *best, int *count, int max,
       const struct candidate *candidate)
{
    int place = *count;
    while (place > 0 && (best[place - 1].distance > candidate->distance ||
                         (best[place - 1].distance == candidate->distance &&
                          best[place - 1].score < candidate->score))) {
        place--;
    }
    if (place >= max) {
        return;
    }
    int moved = MIN(*count, max - 1) - place;
    memmove(&best[place + 1], &best[place], (size_t)moved * sizeof(*best));
    best[place] = *candidate;
    *count = MIN(*count + 1, max);
}

int
SasOwner_Rank(const struct sas_fleet *fleet,
              const struct sas_owner_query *query, int64_t now_ms, int *slots,
              int max)
{
    struct candidate best[SasOwner_MAX_CANDIDATES];
    int count = 0;
    max = MIN(max, SasOwner_MAX_CANDIDATES);
    int home = SasFleet_GetZone(fleet, query->zone)->region;
    int region = pick_region(fleet, query, home, now_ms);
    const GArray *servers =
        SasFleet_GetService(fleet, query->service)->servers;
    for (guint i = 0; i < servers->len; i++) {
        int slot = g_array_index(servers, int, i);
        if (!is_allowed(fleet, query, slot, now_ms)) {
            continue;
        }
        const struct sas_fleet_server *server = SasFleet_At(fleet, slot);
        double unit = to_unit(mix(query->key, server->hash, SERVER_SEED));
        struct candidate candidate = {
            .slot = slot,
            .distance = get_distance(fleet, query, slot, region, home),
            .score = -server->facts.slots / log(unit),
        };
        insert(best, &count, max, &candidate);
    }
    for (int i = 0; i < count; i++) {
        slots[i] = best[i].slot;
    }
    return count;
}
