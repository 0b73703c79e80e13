/* admission - admission control: which of an object's servers gets a request,
 * or whether it is refused at once.
 *
 * The completion time is estimated for each candidate: the wait for an
 * execution slot plus the service time, which is short where the object is
 * cached. The request goes to the owner or to another server with the object
 * in its cache, whichever completes it first. If neither can in time, the next
 * server gets it if that has spare slots: this request is late, but the ones
 * that follow have one more server with the object in its cache.
 *
 * A request that can't complete in time anywhere is refused, with the time
 * until the backlog has been worked off. Queueing it would only delay others,
 * and a request that must not be retried is lost if it times out at a server.
 *
 * Times are milliseconds. Service times are those of sas/service_time.h.
 */
#ifndef SAS_ADMISSION_H
#define SAS_ADMISSION_H

#include "sas/cached_objects.h"
#include "sas/fleet.h"

/* Servers of an object: the owner, and one for requests that the owner can't
 * complete in time. Each has to load the object into its cache once. */
#define SasAdmission_MAX_OWNERS 2

/* Execution slots that stay free, for requests of cached objects, at a server
 * that gets a request of an uncached one. */
#define SasAdmission_SPARE_SLOTS 2

/* A request that brings an object into its server's cache is taken for lost
 * after this time, in service times of an uncached object. */
#define SasAdmission_WARMUP 2.0

/* The part of the remaining time that may be planned for wait and work, as
 * service times vary. */
#define SasAdmission_DEADLINE_SHARE 0.8

/* The least wait that the objective allows, also when it is missed already, in
 * service times of a cached object. The deadline still limits it. */
#define SasAdmission_MIN_WAIT 2.0

/* The part of the usual wait that is allowed after a standing queue, or while
 * the servers' rows are stale; more for requests of high priority. */
#define SasAdmission_SHORT_QUEUE 0.4
#define SasAdmission_SHORT_QUEUE_HIGH_PRIORITY 0.7

struct sas_admission_query {
    const int *slots; /* eligible servers as ranked by sas/owner.h */
    int count;
    const struct sas_cached_objects *objects; /* NULL: a request without key */
    const struct sas_service_time *service_time; /* of the route */
    uint64_t key;                                /* of the object */
    double objective_ms; /* remaining until the latency objective */
    double left_ms; /* remaining until the caller's or the route's deadline */
    bool high_priority; /* the route isn't of the lowest priority */
    bool rows_stale;    /* a server may be cold unnoticed */
};

struct sas_admission_decision {
    int slot;               /* to send to; SasModel_NONE: refuse */
    bool cached;            /* the server has the object cached */
    double service_ms;      /* expected service time there */
    double wait_ms;         /* expected queue time; if refused, the owner's */
    int64_t retry_after_ms; /* if refused */
};

/* Decides on the request. Refuses if count is 0. */
struct sas_admission_decision
SasAdmission_Decide(const struct sas_fleet *fleet,
                    const struct sas_admission_query *query, int64_t now_ms);

#endif
