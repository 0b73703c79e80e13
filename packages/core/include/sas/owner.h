/* owner - ranks the backend servers for an object by rendezvous hashing.
 *
 * A backend server that handled an object a few seconds ago answers in a
 * third of the time, so the requests for an object should reach few servers.
 * Every entry VM computes the same ranking from the table of servers, by
 * weighted rendezvous hashing: when a server joins, leaves or is ejected,
 * only its own objects move.
 *
 * An object is owned in its caller's region if that has an equal share of the
 * service's execution slots, which is all slots divided by the number of
 * regions. A region with fewer slots keeps the part of its objects that its
 * slots allow; the others are owned in regions with more slots than an equal
 * share. Otherwise the servers of a small region would be overloaded while
 * others idle. Whole objects move: moving single requests would have two
 * servers load the object into their caches.
 *
 * To keep large bodies off the links between failure domains, a query can
 * prefer the caller's zone, so that an object has an owner in each zone of its
 * region, and can set the part of the objects that stays (sas/zone_share.h).
 * Each further owner has to load the object into its cache once more.
 */
#ifndef SAS_OWNER_H
#define SAS_OWNER_H

#include "sas/fleet.h"

#define SasOwner_MAX_CANDIDATES 4

struct sas_owner_query {
    int service;
    int zone; /* of the caller */
    /* rank the caller's zone before the rest of its region */
    bool prefer_zone;
    double zone_share; /* part of the objects that stay in the caller's region;
                          0: by its execution slots */
    uint64_t key;      /* hash of the object */
    uint64_t allowed_regions; /* allowed regions, one bit each; 0: any */
    bool steered; /* operators steer it to steered_region, if that has servers
                   */
    int steered_region;
};

/* Fills slots with the object's servers, the owner first, and returns their
 * number: at most max and SasOwner_MAX_CANDIDATES. Only servers in allowed
 * regions that are available (SasTraffic_IsAvailable). */
int SasOwner_Rank(const struct sas_fleet *fleet,
                  const struct sas_owner_query *query, int64_t now_ms,
                  int *slots, int max);

/* Hash of an object's name or other key. */
uint64_t SasOwner_HashKey(const char *key);

#endif
