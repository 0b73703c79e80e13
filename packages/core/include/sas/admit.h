/* admit - which of an object's servers gets a request, or whether it is
 * refused at once.
 *
 * For each server that may get it the end is worked out: the wait for a slot
 * behind what is there, and the work, which is short where the server knows
 * the object. It goes to the owner, or to another server that knows the
 * object and ends it sooner. Where neither can end it in time, the next server
 * gets to know the object if it has slots to spare: that request is late, and
 * those that follow have one more place to be in time.
 *
 * A request that can't end in time anywhere is refused, with the time after
 * which the backlog that stands in its way has been worked off: waiting in
 * a queue beyond that it would only make others late, and what may not repeat
 * is lost where it runs into its time limit at a server.
 *
 * Times are milliseconds.
 */
#ifndef SAS_ADMIT_H
#define SAS_ADMIT_H

#include "sas/fleet.h"
#include "sas/objects.h"

/* Servers that an object may have: the owner, and one for what the owner does
 * not bear. Each more makes the object new once more. */
#define SasAdmit_MAX_OWNERS 2

/* Slots that stay free at a server that gets to know an object for its owner:
 * for the requests of its own objects. */
#define SasAdmit_SPARE_SLOTS 2

/* A request that makes an object known to its server is under way for so many
 * works on a new object; after that it is taken for lost. */
#define SasAdmit_LEARNING 2.0

/* The part of the time left that the expected end may take: work is spread
 * round its mean. */
#define SasAdmit_SAFETY 0.8

/* What waits for a slot may wait so long at least, in works on a known object,
 * also where the objective is lost already. */
#define SasAdmit_LEAST_WAIT 2.0

/* Where a queue has stood, or nobody can tell whether servers are cold, only
 * this part of the wait is allowed, more for what is more urgent. */
#define SasAdmit_BRIEF 0.4
#define SasAdmit_BRIEF_URGENT 0.7

struct sas_admit_query {
    const int *slots; /* in the order of sas/owner.h, only usable ones */
    int count;
    const struct sas_objects *objects; /* NULL: its object never comes again */
    const struct sas_pace *pace;       /* of the route */
    uint64_t key;                      /* of the object */
    double goal_ms; /* what is left until the route's objective */
    double left_ms; /* until the caller's or the route's time limit */
    bool urgent;    /* the route isn't of the lowest rank */
    bool in_doubt;  /* a server may be cold without anybody knowing it */
};

struct sas_admit_verdict {
    int slot;               /* to send to; SasModel_NONE: refuse */
    bool known;             /* the server knows the object */
    double work_ms;         /* expected there, without the wait */
    double wait_ms;         /* for a slot there; of a refusal at the owner */
    int64_t retry_after_ms; /* of a refusal */
};

struct sas_admit_verdict SasAdmit_Judge(const struct sas_fleet *fleet,
                                        const struct sas_admit_query *query,
                                        int64_t now_ms);

#endif
