/* split - which service of a route's split gets a request.
 *
 * The object's hash chooses, so that an object stays with a service and is
 * known there. Hashing a few dozen objects misses the weights, though, and
 * callers ask for some objects more often than for others; so a part that has
 * fallen behind its weight gets the request instead. Shares are right at any
 * moment to within SasSplit_SLACK of the latest few hundred requests.
 */
#ifndef SAS_SPLIT_H
#define SAS_SPLIT_H

#include "sas/fleet.h"

#define SasSplit_MAX_PARTS 16

/* How far a part may fall behind, as a share of what is remembered; the
 * platform's operators count a tenth as a miss. */
#define SasSplit_SLACK 0.03

/* What is remembered fades by this much with each request: the latest 200
 * count for most of it. */
#define SasSplit_FADE 0.995

struct sas_split {
    double sent[SasSplit_MAX_PARTS];
};

/* The part of the route, by its index, that gets a request about the object;
 * counted. */
int SasSplit_Pick(struct sas_split *split, const struct sas_route *route,
                  uint64_t key);

#endif
