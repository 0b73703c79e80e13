/* traffic - a backend server's load as this process knows it, and the circuit
 * breaker that ejects failing servers.
 *
 * The load of a server is what it last reported with an answer, plus what this
 * process has sent since and minus what was answered. The other entry VMs'
 * part of a report decays, as their requests end too.
 *
 * An ejected server gets no new request for its ejection time. Then it is
 * half-open and gets one probe request at a time: success ends the ejection,
 * failure renews it.
 *
 * "Service time" means that of an uncached object (sas/service_time.h). Times
 * are monotonic milliseconds, or multiples of the service time where it is
 * said.
 */
#ifndef SAS_TRAFFIC_H
#define SAS_TRAFFIC_H

#include "sas/fleet.h"

/* A queue absorbs a burst. A standing queue only delays requests: the
 * execution slots do no more work than with a short one. So when a queue has
 * stood for STANDING_AFTER service times, only a short one is admitted for
 * SHORT_QUEUE service times (sas/admission.h). */
#define SasTraffic_QUEUE 2 /* waiting requests that count as a queue */
#define SasTraffic_STANDING_AFTER 2.0
#define SasTraffic_SHORT_QUEUE 8.0

/* Half-life of the other entry VMs' part of a report, in service times. */
#define SasTraffic_HALF_LIFE 0.6

/* Consecutive failures that eject a server: where the last one is a failed
 * connect, and where it is a reset. Its objects go to the next servers of
 * their ranking until it has recovered. */
#define SasTraffic_MAX_FAILURES 2
#define SasTraffic_MAX_RESETS 3

/* Consecutive timeouts that eject a server. A healthy but busy one has fewer,
 * also where the service time is close to the timeout. */
#define SasTraffic_MAX_TIMEOUTS 4

/* A run that takes at most this many service times is healthy; a probe request
 * has to be. Its object is mostly uncached at the server. */
#define SasTraffic_MAX_PROBE 1.6

/* Ejection time: the first one, and the limit of its doubling with each failed
 * probe request. It doesn't depend on the service time, as failures don't. */
#define SasTraffic_EJECTION_MS 1500
#define SasTraffic_MAX_EJECTION_MS 6000

/* A server is slow after SLOW_RUNS consecutive slow runs. A run is slow beyond
 * SLOW_CACHED service times for a cached object, beyond MAX_PROBE for an
 * uncached one, and when it times out. */
#define SasTraffic_SLOW_RUNS 2
#define SasTraffic_SLOW_CACHED 1.0

/* Service times without an answer after which a server with requests in flight
 * is unresponsive. */
#define SasTraffic_UNRESPONSIVE 0.8

/* Age of a healthy run, in service times, up to which it outweighs a peer
 * report. */
#define SasTraffic_HEALTHY_FOR 1.6

/* How long the other entry VMs wait after an ejection time for the prober's
 * report: PROBE_RESULT_MS until the prober has a request for one of the
 * server's objects, and PROBE_RESULT service times for the probe request
 * behind the server's queue. If they didn't wait, a server that is about to be
 * ejected again would get requests from each of them. */
#define SasTraffic_PROBE_RESULT_MS 1000
#define SasTraffic_PROBE_RESULT 4.8

/* If more than this part of a service's servers fail, the cause is not the
 * servers, and ejecting more would only overload the others. */
#define SasTraffic_MAX_EJECTED_SHARE 0.5

/* The load that an answer reports, in requests; running < 0: none. */
struct sas_traffic_report {
    int running;
    int waiting;
};

/* How an attempt ended. */
struct sas_attempt_result {
    double elapsed_ms;
    double load_when_sent;
    bool cached; /* the server had the object cached */
    bool timed_out;
    bool failed; /* an error answer, whose time is no service time */
};

/* Whether a request that was sent at this load found a free execution slot, so
 * that its time is a service time. */
bool SasTraffic_FoundSlot(const struct sas_fleet_server *server,
                          double load_when_sent);

/* A request was sent to the server, or ended there. answered: an answer of any
 * status came. */
void SasTraffic_NoteSent(struct sas_fleet_server *server, int64_t now_ms);
void SasTraffic_NoteEnded(struct sas_fleet_server *server, bool answered,
                          int64_t now_ms);

/* Whether this process has requests in flight at the server and got no answer
 * for SasTraffic_UNRESPONSIVE service times: it may have turned slow just now.
 * The time counts from its first unanswered request, also when that one has
 * been canceled, or from its last answer. */
bool SasTraffic_IsUnresponsive(const struct sas_fleet *fleet, int slot,
                               int64_t now_ms);

/* Whether its last SasTraffic_SLOW_RUNS runs were slow, as a cold server's
 * are. */
bool SasTraffic_IsSlow(const struct sas_fleet_server *server);

/* Applies the load that an answer reports. */
void SasTraffic_NoteReport(struct sas_fleet *fleet, int slot,
                           const struct sas_traffic_report *report,
                           int64_t now_ms);

/* What the functions below changed. The caller reports a change to the other
 * entry VMs. */
enum sas_traffic_change {
    SAS_TRAFFIC_SAME,
    SAS_TRAFFIC_EJECTED,  /* ejected for traffic.ejection_ms from now on */
    SAS_TRAFFIC_RECOVERED /* recovered */
};

/* An attempt was answered or timed out. An error answer only resets the count
 * of consecutive failures. */
enum sas_traffic_change
SasTraffic_NoteResult(struct sas_fleet *fleet, int slot,
                      const struct sas_attempt_result *result, int64_t now_ms);

/* The connection failed, or was reset during a request. */
enum sas_traffic_change SasTraffic_NoteFailure(struct sas_fleet *fleet,
                                               int slot, bool reset,
                                               int64_t now_ms);

/* Another server answers at its address: ejects it at once, for
 * SasTraffic_MAX_EJECTION_MS. */
enum sas_traffic_change SasTraffic_NoteReplaced(struct sas_fleet *fleet,
                                                int slot, int64_t now_ms);

/* Applies a peer report: the server is ejected for left_ms more, or has
 * recovered (0). prober: this entry VM probes the server for all. A report of
 * an ejection is ignored while a healthy run here is recent
 * (SasTraffic_HEALTHY_FOR), or one entry VM with a bad link would take healthy
 * servers from all. */
void SasTraffic_ApplyPeerReport(struct sas_fleet *fleet, int slot,
                                int64_t left_ms, bool prober, int64_t now_ms);

/* A peer report was wrong. before: the server's state when it was applied. */
void SasTraffic_UndoPeerReport(struct sas_fleet *fleet, int slot,
                               const struct sas_server_traffic *before);

/* The failures that ejected the server here were none of its own. */
void SasTraffic_ForgetFailures(struct sas_fleet *fleet, int slot);

/* Another entry VM is the prober of this ejected server: wait for its report.
 */
void SasTraffic_AwaitPeerReport(struct sas_fleet *fleet, int slot);

/* Marks a grey failure (sas/grey_failure.h) for left_ms. Requests that must
 * not be retried go to other servers meanwhile. The server is not ejected:
 * under load the others would have to refuse more requests than it fails. */
void SasTraffic_NoteGrey(struct sas_fleet_server *server, int64_t left_ms,
                         int64_t now_ms);
bool SasTraffic_IsGrey(const struct sas_fleet_server *server, int64_t now_ms);

/* Whether it gets no new request now: it is ejected, or half-open with a
 * request in flight. */
bool SasTraffic_IsEjected(const struct sas_fleet_server *server,
                          int64_t now_ms);

/* Whether a new request may be sent to the server: it accepts requests, is not
 * ejected, and has asked for no pause. */
bool SasTraffic_IsAvailable(const struct sas_fleet *fleet, int slot,
                            int64_t now_ms);

/* The service time of an uncached object of the service. */
double SasTraffic_GetServiceTimeMs(const struct sas_fleet *fleet, int service);

/* Requests at the server, running and waiting. */
double SasTraffic_EstimateLoad(const struct sas_fleet *fleet, int slot,
                               int64_t now_ms);

/* Queue time of one more request at the server. */
double SasTraffic_EstimateWaitMs(const struct sas_fleet *fleet, int slot,
                                 int64_t now_ms);

/* Whether more than spare execution slots are free. */
bool SasTraffic_HasFreeSlots(const struct sas_fleet *fleet, int slot,
                             int spare, int64_t now_ms);

#endif
