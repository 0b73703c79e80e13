/* bench_routes - time to find the route of a request, by the number of routes.
 *
 *     bench_routes [LOOKUPS]
 *
 * One host has all routes, and each request matches one of them.
 */
#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

#include "sas/fleet.h"

#define DEFAULT_LOOKUPS 1000000

static double
measure_ns(int routes, int lookups)
{
    struct sas_fleet_config *config = SasFleetConfig_New(1);
    g_autoptr(GPtrArray) targets = g_ptr_array_new_with_free_func(g_free);
    for (int i = 0; i < routes; i++) {
        g_autofree char *prefix = g_strdup_printf("/route-%d/", i);
        SasFleetConfig_AddRoute(config, prefix, "forms.example", prefix);
        g_ptr_array_add(targets, g_strconcat(prefix, "2f?x=1", NULL));
    }
    int64_t began_us = g_get_monotonic_time();
    int found = 0;
    for (int i = 0; i < lookups; i++) {
        const char *target = targets->pdata[(i * 7919) % routes];
        found +=
            SasFleetConfig_FindRoute(config, "forms.example", target) != NULL;
    }
    double ns = (double)(g_get_monotonic_time() - began_us) * 1000 / lookups;
    SasFleetConfig_Unref(config);
    return found == lookups ? ns : -1;
}

int
main(int argc, char **argv)
{
    static const int counts[] = {3, 30, 300, 3000};
    int lookups = argc > 1 ? atoi(argv[1]) : DEFAULT_LOOKUPS;
    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        printf("%5d routes: %.0f ns\n", counts[i],
               measure_ns(counts[i], MAX(lookups, 1)));
    }
    return 0;
}
