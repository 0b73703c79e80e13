/* traffic - what this process knows of a backend server's load, and whether
 * it is worth sending a request there.
 *
 * The load of a server is what it last reported with an answer, moved on by
 * what this process has sent and got back since. The part of it that belongs
 * to other entry VMs fades: it was true when the answer left the server, and
 * their requests end as ours do.
 *
 * Times are monotonic milliseconds.
 */
#ifndef SAS_TRAFFIC_H
#define SAS_TRAFFIC_H

#include "sas/fleet.h"

/* Requests that may wait at a server for a slot. Measured on the heaviest
 * days with one owner an object: from 2 to 6 waiting the worth of a day rose
 * by a third, from 6 to 9 nothing more, while servers began to refuse. */
#define SasTraffic_MAX_WAITING 6

/* A queue absorbs a burst. One that stands serves nobody: every request waits
 * in it and is late, while the slots do no more work than with a short one.
 * So where a queue has stood for SasTraffic_STANDING_MS only a short one is
 * allowed, for SasTraffic_BRIEF_MS; more for what is more urgent. */
#define SasTraffic_STANDING_MS 500
#define SasTraffic_BRIEF_MS 2000
#define SasTraffic_BRIEF_WAITING 2
#define SasTraffic_BRIEF_URGENT 4

/* The others' part of a report halves in this time, about the time that a
 * request with a known object takes. */
#define SasTraffic_HALF_LIFE_MS 150

/* A server trips when it fails, falls silent or lets requests run into their
 * limits. Then it gets nothing
 * for a while, and after that one request at a time until one of them shows
 * that it is well. Its objects go to their next servers meanwhile: on a day
 * when ten of 24 servers took twelve times as long for nine seconds, half of
 * all requests in that time ran into their limit at those ten. */
#define SasTraffic_FAILURES 2 /* without a connection, in a row */
#define SasTraffic_CUTS 3     /* or with one that broke under a request */

/* No answer for so long to two requests or more: nothing takes that long at a
 * healthy server, new objects in a queue included. */
#define SasTraffic_SILENT_MS 650

/* Requests in a row that ran into their limit. */
#define SasTraffic_TIMEOUTS 2

/* A trial must end within so many usual times. Its object is mostly new to
 * the server, which alone takes three of them. */
#define SasTraffic_TRIAL 4.0

/* How long it gets nothing: at first, and doubled up to the second. */
#define SasTraffic_HOLD_MS 1500
#define SasTraffic_MAX_HOLD_MS 6000

/* An answer so recent proves a server well against another's word; and so
 * long after a hold the tester's verdict should have come: a second until a
 * request of the server's objects comes its way, and a second that it takes.
 * With less the others sent to a server that was just being found slow again,
 * each of them some requests. */
#define SasTraffic_WELL_MS 400
#define SasTraffic_VERDICT_MS 2200

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
    bool timed_out;
    bool failed; /* an error, which says nothing of the usual time */
};

/* A request was sent there, and it ended, however that was. */
void SasTraffic_NoteSent(struct sas_fleet_server *server, int64_t now_ms);
void SasTraffic_NoteEnded(struct sas_fleet_server *server, int64_t now_ms);

/* What an answer says of the load. */
void SasTraffic_NoteReport(struct sas_fleet_server *server,
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

/* Looks whether it has fallen silent. */
enum sas_traffic_change SasTraffic_CheckSilence(struct sas_fleet *fleet,
                                                int slot, int64_t now_ms);

/* Another entry VM says that it has tripped for left_ms more, or is well (0).
 * tester: this entry VM tries it again for all. Believed unless the server
 * has answered here in its usual time just now: one entry VM with a bad link
 * would otherwise take healthy servers from all. */
void SasTraffic_TakeWord(struct sas_fleet_server *server, int64_t left_ms,
                         bool tester, int64_t now_ms);

/* The trial after the hold is another's; this one waits for its word. */
void SasTraffic_AwaitWord(struct sas_fleet_server *server);

/* It fails part of its requests (sas/grey.h), for left_ms as far as is known.
 * What may not repeat goes to other servers then. It is not shunned: on a
 * loaded day a third of the servers failed a third each, and without them the
 * others refused three times as many as these had failed (worth of the day
 * 0.513 before, 0.452 with them shunned; the mean of two runs). */
void SasTraffic_NoteGrey(struct sas_fleet_server *server, int64_t left_ms,
                         int64_t now_ms);
bool SasTraffic_IsGrey(const struct sas_fleet_server *server, int64_t now_ms);

/* Whether it gets no new request at this moment. */
bool SasTraffic_IsShunned(const struct sas_fleet_server *server,
                          int64_t now_ms);

/* The usual time of a service's requests, milliseconds; 0: unknown. */
double SasTraffic_GetTypicalMs(struct sas_fleet *fleet, int service,
                               int64_t now_ms);

/* Requests there, running and waiting. */
double SasTraffic_EstimateLoad(const struct sas_fleet_server *server,
                               int64_t now_ms);

/* How many requests may wait there now; urgent: the route isn't of the lowest
 * rank. */
int SasTraffic_GetMaxWaiting(const struct sas_fleet_server *server,
                             bool urgent, int64_t now_ms);

/* Whether one more request fits under slots and max_waiting. */
bool SasTraffic_HasRoom(const struct sas_fleet_server *server, int max_waiting,
                        int64_t now_ms);

/* When a request refused for lack of room may find some, milliseconds. */
int64_t SasTraffic_EstimateRoomMs(const struct sas_fleet_server *server,
                                  int max_waiting, int64_t now_ms);

#endif
