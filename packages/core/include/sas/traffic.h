/* traffic - what this process knows of a backend server's load, and whether
 * it is worth sending a request there.
 *
 * The load of a server is what it last reported with an answer, moved on by
 * what this process has sent and got back since. The part of it that belongs
 * to other entry VMs fades: it was true when the answer left the server, and
 * their requests end as ours do.
 *
 * A pace is the time that a service's work on a new object takes (sas/pace.h).
 * Times are monotonic milliseconds, or paces where the name has no unit.
 */
#ifndef SAS_TRAFFIC_H
#define SAS_TRAFFIC_H

#include "sas/fleet.h"

/* A queue absorbs a burst. One that stands serves nobody: every request waits
 * in it and is late, while the slots do no more work than with a short one.
 * So where one has stood for STANDING only a short one is allowed, for BRIEF
 * (sas/admit.h). In paces. */
#define SasTraffic_QUEUE 2 /* requests that make a queue */
#define SasTraffic_STANDING 2.0
#define SasTraffic_BRIEF 8.0

/* The others' part of a report halves in so many paces: their requests end as
 * ours do. */
#define SasTraffic_HALF_LIFE 0.6

/* A server trips when it fails or lets requests run into their limits. Then it
 * gets nothing for a while, and after that one request at a time until one of
 * them shows that it is well. Its objects go to their next servers meanwhile.
 */
#define SasTraffic_FAILURES 2 /* without a connection, in a row */
#define SasTraffic_CUTS 3     /* or with one that broke under a request */

/* Requests in a row that ran into their limit. Fewer happen to a server that
 * only works, where work on a new object takes most of the limit. */
#define SasTraffic_TIMEOUTS 4

/* A trial must end within so many paces; its object is mostly new to the
 * server. */
#define SasTraffic_TRIAL 1.6

/* How long it gets nothing: at first, and doubled up to the second. A trouble
 * of a server lasts as long as it does, however long its work takes. */
#define SasTraffic_HOLD_MS 1500
#define SasTraffic_MAX_HOLD_MS 6000

/* Runs in a row that show a server slow, and the paces that one on a known
 * object must take for it; one on a new object must fail a trial. */
#define SasTraffic_SLOW_RUNS 2
#define SasTraffic_SLOW_KNOWN 1.0

/* No answer for so many paces is silence. */
#define SasTraffic_SILENCE 0.8

/* An answer so recent proves a server well against another's word. In
 * paces. */
#define SasTraffic_WELL 1.6

/* When the tester's verdict should have come after a hold: a second until a
 * request of the server's objects comes its way, and the paces of a trial
 * behind what is there. Sent to sooner, a server that is just being found
 * slow again gets some requests of each of the others. */
#define SasTraffic_VERDICT_MS 1000
#define SasTraffic_VERDICT 4.8

/* Where more than this part of a service's servers is in trouble, the cause
 * is not the servers, and shunning them would only leave fewer. */
#define SasTraffic_MAX_TRIPPED 0.5

/* A report as it comes with an answer; running < 0: none came. */
struct sas_traffic_report {
    int running;
    int waiting;
};

/* How an attempt ended. */
struct sas_traffic_end {
    double elapsed_ms;
    double load_when_sent;
    bool known; /* the server knew the object */
    bool timed_out;
    bool failed; /* an error, which says nothing of the usual time */
};

/* Whether a request that was sent at this load met a free slot: only then does
 * its time say how long its work takes. */
bool SasTraffic_FoundSlot(const struct sas_fleet_server *server,
                          double load_when_sent);

/* A request was sent there, and it ended; answered: by any answer. */
void SasTraffic_NoteSent(struct sas_fleet_server *server, int64_t now_ms);
void SasTraffic_NoteEnded(struct sas_fleet_server *server, bool answered,
                          int64_t now_ms);

/* Requests of this entry VM are there, and it has answered none for about as
 * long as one takes: it may have turned slow just now. */
bool SasTraffic_IsSilent(const struct sas_fleet *fleet, int slot,
                         int64_t now_ms);

/* Its last runs were slow, each for what it was: a cold server's are. */
bool SasTraffic_IsSlow(const struct sas_fleet_server *server);

/* What an answer says of the load. */
void SasTraffic_NoteReport(struct sas_fleet *fleet, int slot,
                           const struct sas_traffic_report *report,
                           int64_t now_ms);

/* What these say of the server: all others should hear of a change. */
enum sas_traffic_change {
    SAS_TRAFFIC_SAME,
    SAS_TRAFFIC_TRIPPED, /* for traffic.hold_ms from now on */
    SAS_TRAFFIC_WELL
};

/* It ran the request, or didn't in time. */
enum sas_traffic_change SasTraffic_NoteRun(struct sas_fleet *fleet, int slot,
                                           const struct sas_traffic_end *end,
                                           int64_t now_ms);

/* No connection, or it broke under a request (cut). */
enum sas_traffic_change SasTraffic_NoteFailure(struct sas_fleet *fleet,
                                               int slot, bool cut,
                                               int64_t now_ms);

/* Another server has its address: it trips at once, and for long. */
enum sas_traffic_change SasTraffic_NoteReplaced(struct sas_fleet *fleet,
                                                int slot, int64_t now_ms);

/* Another entry VM says that it has tripped for left_ms more, or is well (0).
 * tester: this entry VM tries it again for all. Believed unless the server
 * has answered here in its usual time just now: one entry VM with a bad link
 * would otherwise take healthy servers from all. */
void SasTraffic_TakeWord(struct sas_fleet *fleet, int slot, int64_t left_ms,
                         bool tester, int64_t now_ms);

/* The trial after the hold is another's; this one waits for its word. */
void SasTraffic_AwaitWord(struct sas_fleet *fleet, int slot);

/* It fails part of its requests (sas/grey.h), for left_ms as far as is known.
 * What may not repeat goes to other servers then. It is not shunned: under
 * load the others would have to refuse more than it fails. */
void SasTraffic_NoteGrey(struct sas_fleet_server *server, int64_t left_ms,
                         int64_t now_ms);
bool SasTraffic_IsGrey(const struct sas_fleet_server *server, int64_t now_ms);

/* Whether it gets no new request at this moment. */
bool SasTraffic_IsShunned(const struct sas_fleet_server *server,
                          int64_t now_ms);

/* The pace of a service, milliseconds. */
double SasTraffic_GetPaceMs(const struct sas_fleet *fleet, int service);

/* Requests there, running and waiting. */
double SasTraffic_EstimateLoad(const struct sas_fleet *fleet, int slot,
                               int64_t now_ms);

/* How long one more request would wait there for a slot. */
double SasTraffic_EstimateWaitMs(const struct sas_fleet *fleet, int slot,
                                 int64_t now_ms);

/* Whether it has more free slots than spare. */
bool SasTraffic_HasRoom(const struct sas_fleet *fleet, int slot, int spare,
                        int64_t now_ms);

#endif
