/* admit - whether a request is sent to its object's owner or refused at once.
 *
 * Nobody but the owner gets it while the owner can be used. Sending what
 * waits on to the next server with a free slot was measured: each such
 * request is new there and takes three times as long, and the mean worth of
 * the heavy days fell by 0.01 to 0.03. Giving whole objects of a busy server
 * away for good cost 0.04: at a start all servers are busy with new objects.
 *
 * What the owner has no room for is refused, with the time after which it
 * may have some: a queue that stands makes every request late.
 */
#ifndef SAS_ADMIT_H
#define SAS_ADMIT_H

#include "sas/fleet.h"

struct sas_admit_verdict {
    int slot;               /* to send to; SasModel_NONE: refuse */
    int64_t retry_after_ms; /* of a refusal */
};

/* The servers in the order of sas/owner.h, those that can't be used left out;
 * urgent: the route isn't of the lowest rank. */
struct sas_admit_verdict SasAdmit_Judge(const struct sas_fleet *fleet,
                                        const int *slots, int count,
                                        bool urgent, int64_t now_ms);

#endif
