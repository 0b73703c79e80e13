#include "sas/strength.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>

struct entry {
    int index;
    double strength;
};

double
SasStrength_Estimate(double cores, double link_mbps)
{
    return MIN(cores * SasStrength_REQUESTS_PER_CORE,
               link_mbps * SasStrength_REQUESTS_PER_MBIT);
}

/* Stronger first; equals keep their order. */
static int
compare_entries(gconstpointer a, gconstpointer b)
{
    const struct entry *left = a;
    const struct entry *right = b;
    if (left->strength != right->strength) {
        return left->strength > right->strength ? -1 : 1;
    }
    return left->index - right->index;
}

int
SasStrength_Pick(const double *strengths, int count, int *picked, int max)
{
    g_autofree struct entry *entries = g_new(struct entry, MAX(count, 1));
    for (int i = 0; i < count; i++) {
        entries[i].index = i;
        entries[i].strength = strengths[i];
    }
    qsort(entries, (size_t)count, sizeof(*entries), compare_entries);
    int taken = 0;
    while (taken < count && taken < max) {
        const struct entry *entry = &entries[taken];
        bool strong =
            entry->strength >= SasStrength_SHARE * entries[0].strength;
        if (!strong && taken >= SasStrength_MIN_NAMED) {
            break;
        }
        picked[taken++] = entry->index;
    }
    return taken;
}
