#include "sas/split.h"

#include <string.h>

static const struct sas_route_part *
get_part(const struct sas_route *route, int part)
{
    return &g_array_index(route->parts, struct sas_route_part, part);
}

static bool
has_same_parts(const struct sas_split *split, const struct sas_route *route,
               int count)
{
    if (split->count != count) {
        return false;
    }
    for (int i = 0; i < count; i++) {
        const struct sas_route_part *part = get_part(route, i);
        if (split->parts[i].service != part->service ||
            split->parts[i].weight != part->weight) {
            return false;
        }
    }
    return true;
}

static int
count_parts(const struct sas_route *route)
{
    return (int)MIN(route->parts->len, SasSplit_MAX_PARTS);
}

bool
SasSplit_IsCurrent(const struct sas_split *split,
                   const struct sas_route *route)
{
    return has_same_parts(split, route, count_parts(route));
}

static void
restart_count(struct sas_split *split, const struct sas_route *route,
              int count)
{
    uint32_t epoch = split->epoch + 1;
    memset(split, 0, sizeof(*split));
    split->epoch = epoch;
    split->count = count;
    for (int i = 0; i < count; i++) {
        split->parts[i] = *get_part(route, i);
    }
}

/* Picks a part by the object's hash, in proportion to the weights. */
static int
pick_by_hash(const struct sas_split *split, uint64_t key)
{
    double unit = (double)(key >> 11) / 9007199254740992.0;
    for (int part = 0; part < split->count - 1; part++) {
        unit -= split->parts[part].weight;
        if (unit < 0) {
            return part;
        }
    }
    return split->count - 1;
}

/* Fills in how many requests each part is behind its weight, with the next one
 * among those to share. They add up to 1. */
static void
get_deficits(const struct sas_split *split, double next, double *deficits)
{
    for (int i = 0; i < split->count; i++) {
        deficits[i] = split->parts[i].weight * next - split->sent[i];
    }
}

/* Whether all parts are close enough to their weights once `picked` has got
 * the request. */
static bool
fits(const struct sas_split *split, const double *deficits, double next,
     int picked)
{
    double allowed = SasSplit_MAX_DEFICIT * next;
    for (int i = 0; i < split->count; i++) {
        if (i == picked ? deficits[i] - 1 < -allowed : deficits[i] > allowed) {
            return false;
        }
    }
    return true;
}

/* Draws a part that is behind, in proportion to how far it is. On average each
 * part then gets exactly its weight. */
static int
draw_behind(const struct sas_split *split, const double *deficits,
            GRand *random)
{
    double sum = 0;
    for (int i = 0; i < split->count; i++) {
        sum += MAX(deficits[i], 0);
    }
    double drawn = g_rand_double_range(random, 0, sum);
    int last = 0;
    for (int i = 0; i < split->count; i++) {
        if (deficits[i] <= 0) {
            continue;
        }
        last = i;
        drawn -= deficits[i];
        if (drawn < 0) {
            break;
        }
    }
    return last;
}

static double
get_behind(const struct sas_split *split, int part, double next)
{
    return split->parts[part].weight * next - split->ran[part];
}

/* Whether the part has refused requests, though it is not out of order, and
 * its share of what has run is too far below its weight. */
static bool
is_short(const struct sas_split *split, int part, double next)
{
    return split->lost[part] > 0 &&
           split->lost[part] <
               SasSplit_OUT_OF_ORDER * (split->ran[part] + 1) &&
           get_behind(split, part, next) > SasSplit_MAX_SHORTFALL * next;
}

/* The part that is short of room and furthest behind; -1: none is. */
static int
find_short(const struct sas_split *split, uint32_t usable)
{
    double next = 1;
    for (int i = 0; i < split->count; i++) {
        next += split->ran[i];
    }
    int found = -1;
    for (int i = 0; i < split->count; i++) {
        if ((usable >> i & 1) != 0 && is_short(split, i, next) &&
            (found < 0 ||
             get_behind(split, i, next) > get_behind(split, found, next))) {
            found = i;
        }
    }
    return found;
}

struct sas_split_pick
SasSplit_Pick(struct sas_split *split, const struct sas_route *route,
              uint64_t key, uint32_t usable, GRand *random)
{
    int count = count_parts(route);
    if (!has_same_parts(split, route, count)) {
        restart_count(split, route, count);
    }
    if (count == 1) {
        return (struct sas_split_pick){.epoch = split->epoch, .by_hash = true};
    }
    double next = 1;
    for (int i = 0; i < count; i++) {
        split->sent[i] *= SasSplit_DECAY;
        split->lost[i] *= SasSplit_DECAY;
        split->ran[i] *= SasSplit_DECAY;
        next += split->sent[i];
    }
    double deficits[SasSplit_MAX_PARTS];
    get_deficits(split, next, deficits);
    int hashed = pick_by_hash(split, key);
    int part = fits(split, deficits, next, hashed)
                   ? hashed
                   : draw_behind(split, deficits, random);
    split->sent[part] += 1;
    int behind = find_short(split, usable);
    struct sas_split_pick pick = {
        .part = behind >= 0 ? behind : part,
        .by_weights = part,
        .epoch = split->epoch,
    };
    pick.by_hash = pick.part == hashed;
    split->ran[pick.part] += 1;
    split->picked[pick.part]++;
    return pick;
}

static bool
counts(const struct sas_split *split, const struct sas_split_pick *pick)
{
    return pick->epoch == split->epoch && pick->part < split->count;
}

void
SasSplit_NoteRefused(struct sas_split *split,
                     const struct sas_split_pick *pick)
{
    if (!counts(split, pick)) {
        return;
    }
    split->refused[pick->part]++;
    split->ran[pick->part] = MAX(split->ran[pick->part] - 1, 0);
    if (pick->part == pick->by_weights) {
        split->lost[pick->part] += 1;
    }
}
