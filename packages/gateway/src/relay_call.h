/* relay_call - shared by the files relay*.c: the state of the relay and of one
 * caller's request. */
#ifndef SAS_RELAY_CALL_H
#define SAS_RELAY_CALL_H

#include "relay.h"
#include "sas/admission.h"
#include "sas/server_limit.h"
#include "sas/shared_limits.h"
#include "sas/grey_failure.h"
#include "sas/http.h"
#include "sas/zone_share.h"
#include "sas/owner.h"
#include "sas/path.h"
#include "sas/split.h"
#include "sas/traffic.h"
#include "poison_requests.h"
#include "pool.h"

#define SasRelay_MAX_TRIED 8

/* Longer answers are not delivered; bytes. */
#define SasRelay_MAX_ANSWER (16 * 1024 * 1024)

/* With less time remaining no attempt is made: a round trip takes about as
 * long. */
#define SasRelay_MIN_ATTEMPT_MS 15

/* Retry-After of refusals without a better estimate. */
#define SasRelay_RETRY_AFTER_MS 200

/* Retry-After if another entry VM can serve the request at once. */
#define SasRelay_RETRY_ELSEWHERE_MS 1

/* Longest time for a request, and the default if neither the caller nor the
 * route states a limit. */
#define SasRelay_DEFAULT_DEADLINE_MS 30000

struct service_state {
    struct sas_retry_budget retries;
    struct sas_zone_share zone_share;
    int64_t avoid_idle_until; /* idle connections may be dead until then */
    struct sas_path path;
};

/* What failed at a server while the path to it was in doubt. */
struct unconfirmed {
    bool ejected;
    int failed; /* requests */
};

/* State of the server at a slot of the fleet table. */
struct slot_state {
    uint32_t generation;
    struct sas_window cold_sends; /* requests sent in the last second */
    int64_t cold_until_ms;        /* assumed; the row may state another time */
    struct sas_grey_failure grey_failure;
    struct sas_server_limit limit; /* that its answers name */
    struct unconfirmed unconfirmed;
    bool refused_here; /* ejected, as it refuses this process's connections */
    bool reached; /* accepted one after a report that it refuses another's */
};

struct route_state { /* of a route by name, across configurations */
    struct sas_split split;
    double bytes; /* smoothed, of a request and its answer */
    struct sas_service_time service_time;
};

struct sas_relay {
    struct sas_http_handler handler;
    struct sas_http_handler peer_handler;
    struct sas_mesh_listener mesh_listener;
    struct sas_fleet_listener fleet_listener;
    struct sas_relay_options options;
    GPtrArray *services; /* struct service_state *, by handle */
    GPtrArray *slots;    /* struct slot_state *, by slot */
    GHashTable *routes;  /* struct route_state by route name */
    struct sas_poison_requests *poison_requests;
    struct sas_cached_objects *objects;
    GPtrArray *path_probes;   /* struct path_probe *, in flight */
    GPtrArray *server_checks; /* struct server_check *, in flight */
    int64_t announced_at;     /* lost paths, to the other entry VMs */
    bool rows_stale; /* of servers, which may be cold without notice */
    int end_counters[SAS_HTTP_CLOSE_COUNT]; /* metrics of connections */
    GQueue calls; /* struct relay_call *, by their links */
    struct sas_shutdown_plan stop;
};

/* A whole answer. */
struct relay_call_answer {
    int status;         /* 0: none */
    GPtrArray *headers; /* char *, alternating names and values */
    GString *body;
};

/* What an entry VM says of a request that came from another one. */
enum relay_verdict {
    RELAY_NONE,      /* nothing: the request was not accepted */
    RELAY_ANSWER,    /* a server's answer */
    RELAY_REFUSED,   /* not run; the caller may come back */
    RELAY_FAILED,    /* it may have run */
    RELAY_ELSEWHERE, /* not run; another entry VM may serve it */
    RELAY_VERDICTS
};

/* A caller's request, from its arrival to its answer. */
struct relay_call {
    /* Of the current attempt's connection. */
    struct sas_http_listener listener;
    struct sas_relay *relay;
    GList link; /* among the relay's calls */
    struct sas_http_exchange *exchange;
    struct sas_fleet_config *config;
    const struct sas_route *route;
    int service;
    uint64_t key;
    /* What picked the service of a split route: "hash", of the object, or
     * "weights"; "" for other routes, NULL before the pick. */
    const char *split_by;
    struct sas_split_pick split_pick;
    bool keyed; /* the route is sticky and the caller has named the object */
    const char *request_id; /* of the exchange; "": none */
    int64_t began_at;
    int64_t deadline_at;
    int tried[SasRelay_MAX_TRIED];
    int tried_count;
    int attempts;         /* that a server ran, or may have run */
    int arrivals;         /* attempts that a server got, or may have got */
    bool has_retry;       /* acquired for the next one that is sent */
    int unsent;           /* attempts whose connection never opened */
    bool has_fingerprint; /* it has been computed */
    struct sas_fingerprint fingerprint;
    bool steering_checked;
    struct sas_steering_grant grant; /* under the operators' sheet */

    /* through another entry VM */
    bool relayed;                    /* the request came from another one */
    int peers_asked;                 /* to serve it */
    struct sas_mesh_peer peer;       /* the last one */
    struct sas_peer_conn *peer_conn; /* NULL: none has the request now */
    enum relay_verdict verdict;

    /* the current attempt */
    struct sas_pooled *pooled;
    struct sas_pooled_facts conn; /* all 0: through another entry VM */
    int64_t conn_idle_ms;         /* idle time of its connection; 0: new */
    int64_t conn_opened_at;       /* when that began to open */
    struct sas_server_ref server;
    uint64_t server_start; /* of the server's process */
    char server_id[SasFleet_ID_SIZE];
    char server_zone[SasModel_NAME_SIZE];
    int64_t sent_at;
    double load_when_sent;
    bool cached;         /* the object was cached at the server */
    double work_ms;      /* expected service time */
    double wait_ms;      /* expected wait for an execution slot */
    bool isolated;       /* no other request was known to run there */
    int64_t load_age_ms; /* of the server's load report; -1: none */

    /* its answer */
    int status;
    GPtrArray *answer_headers; /* char *, alternating names and values */
    GString *answer_body;
    struct sas_traffic_report report;
    bool named; /* it names the request's id */
    bool sealed;
    double limit_per_s; /* that it names; -1: none that can be read */
    bool names_limit;
    bool says_leaving;
    int64_t pause_ms; /* that a refusal asks for; 0: none */
    bool not_run;
    struct relay_call_answer fallback; /* a server's error, held back while
                                          another server is tried */
    bool unusable;                     /* altered on the way, or too long */
    bool retry_same_server;            /* the last server may be tried again */
    int64_t keep_alive_ms;             /* stated by the server; 0: none */
};

/* relay.c */
int64_t SasRelay_Now(const struct sas_relay *relay);
void SasRelay_Refuse(struct relay_call *call, const char *outcome,
                     int64_t retry_after_ms);
void SasRelay_Fail(struct relay_call *call, const char *outcome, int status);
/* Refuses what another entry VM may serve at once. */
void SasRelay_RefuseElsewhere(struct relay_call *call, const char *outcome);
void SasRelay_Finish(struct relay_call *call, const char *outcome,
                     const struct sas_http_reply *reply);
struct service_state *SasRelay_GetService(struct sas_relay *relay,
                                          int service);
struct slot_state *SasRelay_GetSlot(struct sas_relay *relay, int slot);
struct route_state *SasRelay_GetRouteState(const struct relay_call *call);

/* relay_choose.c: Choose sends the request to the best server not tried yet,
 * or ends it. NoteServer records the server of a decision and its load, for
 * the log. */
void SasRelay_Choose(struct relay_call *call);
void SasRelay_NoteServer(struct relay_call *call, int slot, int64_t now_ms);
struct sas_fingerprint SasRelay_GetFingerprint(struct relay_call *call);
/* Ends a request that no further server gets: with a server's answer that was
 * held back, or with 502 if it may have run, else with a refusal. */
void SasRelay_EndUnserved(struct relay_call *call, const char *outcome,
                          int64_t retry_after_ms);

/* relay_limit.c: the request rate that a server names in its answers.
 * NoteLimit applies what the call's answer names, GetLimitWaitMs returns the
 * time until the server may be sent a request (0: now). */
void SasRelay_NoteLimit(const struct relay_call *call);
int64_t SasRelay_GetLimitWaitMs(struct sas_relay *relay, int slot,
                                int64_t now_ms);

/* relay_notice.c: what a server says of itself. ReadNotice reads it from the
 * head of its answer, NoteNotice applies what the call's answer has said.
 * NoteLeaving: the server of the call's answer is leaving. */
void SasRelay_ReadNotice(struct relay_call *call,
                         const struct sas_http_header *headers, int count);
void SasRelay_NoteNotice(const struct relay_call *call, int64_t now_ms);
void SasRelay_NoteLeaving(const struct relay_call *call);
/* Time until the first of the servers that the request may go to is past the
 * pause that it has asked for; 0: none has. */
int64_t SasRelay_GetPauseLeftMs(const struct relay_call *call, int64_t now_ms);

/* relay_peers.c */
void SasRelay_Subscribe(struct sas_relay *relay);
void SasRelay_ReportChange(struct sas_relay *relay, int slot,
                           enum sas_traffic_change change, const char *cause);

/* What failed at the servers of the service while the path was in doubt: the
 * path works, so each is checked; or it was lost, and all is forgotten. */
void SasRelay_ConfirmFailures(struct sas_relay *relay, int service);
void SasRelay_ForgetFailures(struct sas_relay *relay, int service);

/* The server is slow while its row is stale: treats it as cold. */
void SasRelay_AssumeCold(struct sas_relay *relay, int slot);

/* Count towards the detection of grey failures. */
void SasRelay_NoteAnswered(struct sas_relay *relay, int slot);
void SasRelay_NoteFailed(struct sas_relay *relay, int slot);

/* relay_attempt.c */
void SasRelay_Send(struct relay_call *call, int slot);
void SasRelay_Cancel(struct relay_call *call);
void SasRelay_ClearAnswer(struct relay_call *call);
/* FailUnlessAnswered delivers a server's error that was held back, or fails
 * the call. */
bool SasRelay_DeliverFallback(struct relay_call *call);
void SasRelay_FailUnlessAnswered(struct relay_call *call, const char *outcome,
                                 int status);
void SasRelay_Deliver(struct relay_call *call);
/* A server has got the request; or it may have run it, too. */
void SasRelay_NoteArrival(struct relay_call *call);
void SasRelay_NoteMayHaveRun(struct relay_call *call);
/* The request may have run: retries it if it is safe, fails it otherwise. */
void SasRelay_RetryOrFail(struct relay_call *call, const char *outcome);
/* The caller's request with these header fields. */
struct sas_http_request
SasRelay_MakeRequest(const struct relay_call *call,
                     const struct sas_http_header *headers, int count);
/* Copies the caller's header fields that are passed on; returns how many. */
int SasRelay_CopyHeaders(const struct relay_call *call,
                         struct sas_http_header *headers);
void SasRelay_ApplyHeader(struct relay_call *call,
                          const struct sas_http_header *header);
void SasRelay_OnBody(struct sas_http_listener *listener, const char *data,
                     size_t size);

/* relay_path.c: what shows that servers of the service are reached, or are
 * not. opened_at: when the answer's connection began to open. */
void SasRelay_NoteAnswerOn(struct sas_relay *relay, int service,
                           int64_t opened_at);
void SasRelay_NoteNoConnection(struct sas_relay *relay, int service,
                               uint64_t server_hash, int64_t began_at);
void SasRelay_NoteNoAnswer(struct sas_relay *relay, int service,
                           bool connection_lost);
bool SasRelay_IsPathInDoubt(struct sas_relay *relay, int service);

/* relay_via.c: SendVia returns false if no other entry VM can be asked.
 * ReadRelayed reads what another entry VM states of its request; false if it
 * comes from none. AddVerdict fills in the header of the reply to it. */
bool SasRelay_ShouldSendVia(const struct relay_call *call, int64_t now_ms);
bool SasRelay_SendVia(struct relay_call *call);
/* Where no server is left here: if one refused a connection, others may reach
 * it. */
bool SasRelay_SendLastVia(struct relay_call *call);
bool SasRelay_IsInternalHeader(const char *name);
bool SasRelay_IsRelayed(const struct sas_http_exchange *exchange);
bool SasRelay_ReadRelayed(struct relay_call *call, int64_t *config_version);
/* The service that the sender has picked for a request from another entry VM,
 * if its route may go there here too; else SasModel_NONE. */
int SasRelay_FindRelayedService(const struct relay_call *call);
void SasRelay_AddVerdict(const struct relay_call *call,
                         struct sas_http_header *header);
/* Adds to an answer for another entry VM that its server is leaving. */
void SasRelay_AddLeaving(struct relay_call *call);

#endif
