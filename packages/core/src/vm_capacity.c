#include "sas/vm_capacity.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>

struct entry {
    int index;
    double capacity;
};

double
SasVmCapacity_Estimate(double cores, double link_mbps)
{
    return MIN(cores * SasVmCapacity_REQUESTS_PER_CORE,
               link_mbps * SasVmCapacity_REQUESTS_PER_MBIT);
}

/* Larger capacity first; equal ones in the order of their index. */
static int
compare_entries(gconstpointer a, gconstpointer b)
{
    const struct entry *left = a;
    const struct entry *right = b;
    if (left->capacity != right->capacity) {
        return left->capacity > right->capacity ? -1 : 1;
    }
    return left->index - right->index;
}

int
SasVmCapacity_Pick(const double *capacities, int count, int *picked, int max)
{
    g_autofree struct entry *entries = g_new(struct entry, MAX(count, 1));
    for (int i = 0; i < count; i++) {
        entries[i].index = i;
        entries[i].capacity = capacities[i];
    }
    qsort(entries, (size_t)count, sizeof(*entries), compare_entries);
    int taken = 0;
    while (taken < count && taken < max) {
        const struct entry *entry = &entries[taken];
        bool large =
            entry->capacity >= SasVmCapacity_SHARE * entries[0].capacity;
        if (!large && taken >= SasVmCapacity_MIN_RETURNED) {
            break;
        }
        picked[taken++] = entry->index;
    }
    return taken;
}
