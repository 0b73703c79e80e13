#include "sas/split.h"

/* Requests that a part may be behind at least: chance alone does that. */
#define MIN_BEHIND 2.0

static double
get_weight(const struct sas_route *route, int part)
{
    return g_array_index(route->parts, struct sas_route_part, part).weight;
}

/* The part that the object's hash falls into. */
static int
pick_by_hash(const struct sas_route *route, int count, uint64_t key)
{
    double unit = (double)(key >> 11) / 9007199254740992.0;
    for (int part = 0; part < count - 1; part++) {
        unit -= get_weight(route, part);
        if (unit < 0) {
            return part;
        }
    }
    return count - 1;
}

/* The part that is furthest behind by more than may be; else the given one. */
static int
find_behind(const struct sas_split *split, const struct sas_route *route,
            int count, int given)
{
    double sum = 0;
    for (int part = 0; part < count; part++) {
        sum += split->sent[part];
    }
    int furthest = given;
    double most = SasSplit_SLACK * sum + MIN_BEHIND;
    for (int part = 0; part < count; part++) {
        double behind = get_weight(route, part) * sum - split->sent[part];
        if (behind > most) {
            most = behind;
            furthest = part;
        }
    }
    return furthest;
}

int
SasSplit_Pick(struct sas_split *split, const struct sas_route *route,
              uint64_t key)
{
    int count = (int)MIN(route->parts->len, SasSplit_MAX_PARTS);
    if (count == 1) {
        return 0;
    }
    int part =
        find_behind(split, route, count, pick_by_hash(route, count, key));
    for (int i = 0; i < count; i++) {
        split->sent[i] *= SasSplit_FADE;
    }
    split->sent[part] += 1;
    return part;
}
