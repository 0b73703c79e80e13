/* split - picks the service of a weighted traffic split for a request.
 *
 * The object's hash picks, so that an object stays with one service and is
 * cached there. But hashes of a few dozen objects don't match the weights, and
 * some objects are requested more often than others. So if a part would get
 * too far off its weight, the request goes to a part that is behind instead,
 * drawn at random by how far each is behind.
 *
 * Each entry VM keeps the shares of its own requests, from the first one under
 * these weights on; so the shares of all entry VMs are right however many
 * there are. What was sent under other weights doesn't count: making up for it
 * would send everything to one part. The draw keeps entry VMs that have had
 * the same few requests from all picking the same part.
 *
 * A part may be short of room, so that some of its requests are refused. Their
 * callers come back as new requests, mostly at other entry VMs, and are picked
 * for anew; by that the other parts would get what doesn't fit. So a part that
 * refuses, and whose share of what has run is too far below its weight, gets
 * all requests until it is not: what it has no room for is refused, and the
 * others get less. A part that refuses nearly everything is out of order
 * rather than short of room, and the others don't wait for it.
 */
#ifndef SAS_SPLIT_H
#define SAS_SPLIT_H

#include "sas/fleet.h"

#define SasSplit_MAX_PARTS 16

/* How far a part may be off its weight by hashes, as a share of the counted
 * requests. The platform's operators count a share that is off by a tenth as a
 * miss. */
#define SasSplit_MAX_DEFICIT 0.03

/* Factor by which older requests decay with each new one: the last 200 make up
 * most of the count. */
#define SasSplit_DECAY 0.995

/* How far a part's share of what has run may be below its weight while it is
 * short of room. The platform's operators allow a fifth, over all entry VMs
 * and in any 200 requests. */
#define SasSplit_MAX_SHORTFALL 0.12

/* A part is out of order if of the requests that are its own by the weights it
 * has refused this many for each that has run there. */
#define SasSplit_OUT_OF_ORDER 10

struct sas_split {
    int count;      /* of the parts that were sent to; 0: nothing is counted */
    uint32_t epoch; /* counts the changes of the parts and weights */
    struct sas_route_part parts[SasSplit_MAX_PARTS];
    /* Decaying counts of requests: by the weights alone, of these refused, and
     * sent to a part and not refused. */
    double sent[SasSplit_MAX_PARTS];
    double lost[SasSplit_MAX_PARTS];
    double ran[SasSplit_MAX_PARTS];
    int picked[SasSplit_MAX_PARTS];  /* requests under these weights */
    int refused[SasSplit_MAX_PARTS]; /* of these, not run */
};

/* The part of a route that gets a request, by index. */
struct sas_split_pick {
    int part;
    int by_weights; /* the part, but for another one that is short of room */
    uint32_t epoch;
    bool by_hash; /* the part of the object's hash; false: another one */
};

/* Whether what is counted is of the route's parts and weights; with false the
 * next pick begins anew. */
bool SasSplit_IsCurrent(const struct sas_split *split,
                        const struct sas_route *route);

/* Picks the part for a request for the object with this key, and counts the
 * request. usable: the parts with an available server, one bit each. */
struct sas_split_pick SasSplit_Pick(struct sas_split *split,
                                    const struct sas_route *route,
                                    uint64_t key, uint32_t usable,
                                    GRand *random);

/* The request of this pick was refused and has not run. */
void SasSplit_NoteRefused(struct sas_split *split,
                          const struct sas_split_pick *pick);

#endif
