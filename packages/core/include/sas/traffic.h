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

/* The others' part of a report halves in this time, about the time that a
 * request with a known object takes. */
#define SasTraffic_HALF_LIFE_MS 150

/* A server that failed so often in a row gets nothing for a while. */
#define SasTraffic_SHUN_FAILURES 2
#define SasTraffic_SHUN_MS 1500

/* A report as it comes with an answer; running < 0: none came. */
struct sas_traffic_report {
    int running;
    int waiting;
};

/* A request was sent there, and it ended; NoteAnswered also took the time
 * that it spent there and how many were there when it was sent. */
void SasTraffic_NoteSent(struct sas_fleet_server *server);
void SasTraffic_NoteEnded(struct sas_fleet_server *server);
void SasTraffic_NoteReport(struct sas_fleet_server *server,
                           const struct sas_traffic_report *report,
                           int64_t now_ms);
void SasTraffic_NoteAnswered(struct sas_fleet_server *server,
                             double elapsed_ms, double load_when_sent);

/* It refused a request without running it: it is fuller than it was thought
 * to be. */
void SasTraffic_NoteShed(struct sas_fleet_server *server, int64_t now_ms);

/* No connection, or it broke. True when the server is shunned from now on. */
bool SasTraffic_NoteFailure(struct sas_fleet_server *server, int64_t now_ms);

/* Requests there, running and waiting. */
double SasTraffic_EstimateLoad(const struct sas_fleet_server *server,
                               int64_t now_ms);

/* Whether one more request fits under slots and max_waiting. */
bool SasTraffic_HasRoom(const struct sas_fleet_server *server, int max_waiting,
                        int64_t now_ms);

/* When a request refused for lack of room may find some, milliseconds. */
int64_t SasTraffic_EstimateRoomMs(const struct sas_fleet_server *server,
                                  int max_waiting, int64_t now_ms);

#endif
