/* relay_call - the parts that relay.c, relay_choose.c, relay_attempt.c and
 * relay_peers.c share. */
#ifndef SAS_RELAY_CALL_H
#define SAS_RELAY_CALL_H

#include "relay.h"
#include "sas/admit.h"
#include "sas/allowance.h"
#include "sas/grey.h"
#include "sas/http.h"
#include "sas/keep.h"
#include "sas/owner.h"
#include "sas/split.h"
#include "sas/traffic.h"
#include "poison_requests.h"

#define SasRelay_MAX_TRIED 8

/* Answers longer than this are given up as faulty. */
#define SasRelay_MAX_ANSWER (16 * 1024 * 1024)

/* Less time than this is not worth a try: the way there and back. */
#define SasRelay_MIN_ATTEMPT_MS 15

/* What a caller is told where nothing is known of when it will be better. */
#define SasRelay_RETRY_AFTER_MS 200

/* Other entry VMs can serve it now. */
#define SasRelay_RETRY_ELSEWHERE_MS 1

/* Where neither the caller nor the route states a limit. */
#define SasRelay_DEFAULT_DEADLINE_MS 30000

struct service_state {
    struct sas_repeat_allowance retries;
    struct sas_keep zone_share;
    int64_t
        avoid_idle_until; /* rested connections to its servers may be dead */
};

/* What a server that has just started bears, by slot. */
struct slot_state {
    uint32_t generation;
    struct sas_window cold_sends;
    int64_t cold_until_ms; /* suspected, beside what is announced */
    struct sas_grey grey_failure;
};

struct route_state { /* of a route by name, across configurations */
    struct sas_split split;
    double bytes; /* smoothed, of a request and its answer */
    struct sas_pace service_time;
};

struct sas_relay {
    struct sas_http_handler handler;
    struct sas_mesh_listener mesh_listener;
    struct sas_fleet_listener fleet_listener;
    struct sas_relay_options options;
    GPtrArray *services; /* struct service_state *, by handle */
    GPtrArray *slots;    /* struct slot_state *, by slot */
    GHashTable *routes;  /* struct route_state by route name */
    struct sas_poison_requests *poison_requests;
    struct sas_objects *objects;
    bool rows_stale; /* servers may be cold without anybody knowing it */
    int end_counters[SAS_HTTP_END_COUNT]; /* counters of connections */
    GQueue calls; /* struct relay_call *, by their links */
    struct sas_stop_plan stop;
};

/* An answer that is whole. */
struct relay_call_answer {
    int status;         /* 0: none */
    GPtrArray *headers; /* char *, names and values by turns */
    GString *body;
};

/* One request of a caller, from its arrival to its answer. */
struct relay_call {
    struct sas_http_user user; /* of the current attempt's connection */
    struct sas_relay *relay;
    GList link; /* among the relay's calls */
    struct sas_http_exchange *exchange;
    struct sas_fleet_config *config;
    const struct sas_route *route;
    int service;
    uint64_t key;
    bool keyed; /* other requests have the same object */
    char request_id[64];
    int64_t began_at;
    int64_t deadline_at;
    int tried[SasRelay_MAX_TRIED];
    int tried_count;
    int attempts;         /* that reached, or may have reached, a server */
    bool has_fingerprint; /* the fingerprint has been worked out */
    struct sas_fingerprint fingerprint;
    bool steering_checked;
    struct sas_steering_grant grant; /* by the operators' sheet */

    /* the current attempt */
    struct sas_pooled *pooled;
    int64_t conn_idle_ms; /* of its connection before the attempt */
    struct sas_server_ref server;
    char server_id[SasFleet_ID_SIZE];
    char server_zone[SasModel_NAME_SIZE];
    int64_t sent_at;
    double load_when_sent;
    bool cached;         /* the server knew the object */
    double work_ms;      /* usual, of such a request */
    double wait_ms;      /* expected, for a slot */
    bool isolated;       /* nothing else was known to run there */
    int64_t load_age_ms; /* of the report that the load rests on; -1: none */

    /* its answer */
    int status;
    GPtrArray *answer_headers; /* char *, names and values by turns */
    GString *answer_body;
    struct sas_traffic_report report;
    bool sealed;
    bool not_run;
    struct relay_call_answer
        fallback;           /* a server's error, while another is asked */
    bool unusable;          /* not what the server made */
    bool retry_same_server; /* the last server may be tried once more */
    int64_t keep_alive_ms;
};

/* relay.c */
int64_t SasRelay_Now(const struct sas_relay *relay);
void SasRelay_Refuse(struct relay_call *call, const char *outcome,
                     int64_t retry_after_ms);
void SasRelay_Fail(struct relay_call *call, const char *outcome, int status);
void SasRelay_Finish(struct relay_call *call, const char *outcome,
                     const struct sas_http_reply *reply);
struct service_state *SasRelay_GetService(struct sas_relay *relay,
                                          int service);
struct slot_state *SasRelay_GetSlot(struct sas_relay *relay, int slot);
struct route_state *SasRelay_GetRouteState(const struct relay_call *call);

/* relay_choose.c: Choose sends the request to the best server that is left, or
 * ends it; NoteServer says which server a decision is about, and the load that
 * it rests on. */
void SasRelay_Choose(struct relay_call *call);
void SasRelay_NoteServer(struct relay_call *call, int slot, int64_t now_ms);
struct sas_fingerprint SasRelay_GetFingerprint(struct relay_call *call);

/* relay_peers.c */
void SasRelay_Subscribe(struct sas_relay *relay);
void SasRelay_ReportChange(struct sas_relay *relay, int slot,
                           enum sas_traffic_change change, const char *cause);

/* What a server does looks as if it had turned cold. */
void SasRelay_AssumeCold(struct sas_relay *relay, int slot);
void SasRelay_NoteAnswered(struct sas_relay *relay, int slot);
void SasRelay_NoteFailed(struct sas_relay *relay, int slot);

/* relay_attempt.c */
void SasRelay_Send(struct relay_call *call, int slot);
void SasRelay_Cancel(struct relay_call *call);
void SasRelay_ClearAnswer(struct relay_call *call);
bool SasRelay_DeliverFallback(struct relay_call *call);

#endif
