/* owner - which backend servers an object belongs to.
 *
 * A backend server that handled an object a few seconds ago answers in a
 * third of the time, so an object should meet as few servers as possible.
 * Every entry VM works out the same order for an object from the table of
 * servers alone, by weighted rendezvous hashing: when a server comes, goes or
 * is shunned only its own objects move.
 *
 * The region of an object is the caller's while the region's slots suffice
 * for an equal share of all the service's callers. A region with fewer slots
 * keeps that part of its objects and gives the others, object by object, to
 * regions with slots to spare. Without it the short region's servers drown
 * while others idle; moving single requests in place of objects would make
 * each of them cold work twice.
 *
 * Bodies are kept off the links between failure domains: with near an object
 * has an owner in each zone of its region, with keep the caller states how
 * much stays (sas/keep.h). Each owner more makes every object new once more.
 */
#ifndef SAS_OWNER_H
#define SAS_OWNER_H

#include "sas/fleet.h"

#define SasOwner_MAX_CANDIDATES 4

struct sas_owner_query {
    int service;
    int zone;       /* of the caller */
    bool near;      /* the caller's zone before others of the region */
    double keep;    /* part of the objects that stay in the caller's region;
                       0: what its slots bear */
    uint64_t key;   /* hash of the object */
    uint64_t homes; /* set of allowed regions; 0: any */
    bool ordered;   /* an operator's order: to_region, if it has servers */
    int to_region;
};

/* The object's servers, the owner first; at most max (no more than
 * SasOwner_MAX_CANDIDATES). Only open ones that aren't shunned at now_ms. */
int SasOwner_Rank(const struct sas_fleet *fleet,
                  const struct sas_owner_query *query, int64_t now_ms,
                  int *slots, int max);

/* Hash of an object's name, or of anything that stands for it. */
uint64_t SasOwner_HashKey(const char *key);

#endif
