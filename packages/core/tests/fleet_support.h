/* fleet_support - a small fleet for tests. */
#ifndef SAS_FLEET_SUPPORT_H
#define SAS_FLEET_SUPPORT_H

#include <stdio.h>
#include <string.h>

#include "sas/fleet.h"

/* Three regions, east (a, b), north (c, d) and west (e, f). */
static inline struct sas_fleet *
new_fleet(void)
{
    struct sas_fleet *fleet = SasFleet_New();
    static const char *const places[][2] = {
        {"a", "east"},  {"b", "east"}, {"c", "north"},
        {"d", "north"}, {"e", "west"}, {"f", "west"},
    };
    for (int i = 0; i < 6; i++) {
        SasFleet_AddZone(fleet, places[i][0], places[i][1]);
    }
    return fleet;
}

static inline struct sas_server_facts
make_facts(const char *id, const char *service, const char *zone)
{
    struct sas_server_facts facts = {.slots = 3, .started_at = 1};
    snprintf(facts.id, sizeof(facts.id), "%s", id);
    snprintf(facts.service, sizeof(facts.service), "%s", service);
    snprintf(facts.zone, sizeof(facts.zone), "%s", zone);
    snprintf(facts.address.ip, sizeof(facts.address.ip), "127.0.0.1");
    facts.address.port = 8000;
    return facts;
}

/* count servers named SERVICE-ZONE-0, SERVICE-ZONE-1, ... */
static inline void
add_servers(struct sas_fleet *fleet, const char *service, const char *zone,
            int count)
{
    for (int i = 0; i < count; i++) {
        char id[64];
        snprintf(id, sizeof(id), "%s-%s-%d", service, zone, i);
        struct sas_server_facts facts = make_facts(id, service, zone);
        SasFleet_PutServer(fleet, &facts);
    }
}

#endif
