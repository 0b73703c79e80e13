/* forward_call - private state of forward: one request and its attempts.
 *
 * forward.c begins, claims and ends; forward_attempt.c waits for a slot, sends
 * and retries; forward_headers.c filters the headers that are passed on.
 */
#ifndef SAS_FORWARD_CALL_H
#define SAS_FORWARD_CALL_H

#include <glib.h>

#include "forward.h"
#include "poison_guard.h"

#define SasForwardCall_RETRY_AFTER_S 1 /* Refuse adds jitter to it */

enum call_state {
    CALL_CLAIMING, /* writing the claim to the store */
    CALL_WAITING,  /* for a free slot */
    CALL_RUNNING,  /* an attempt is in flight */
    CALL_SAVING,   /* writing the outcome to the store */
    CALL_ENDED
};

/* For the expected queueing time of a service. */
struct service_time {
    int running;    /* attempts in flight */
    double mean_ms; /* of an attempt, a moving average */
};

struct sas_forward {
    struct sas_forward_options options;
    GQueue *waiting; /* of struct sas_forward_call, one queue a service */
    int active;
    struct sas_retry *retries; /* by service */
    int *candidates;           /* backend servers, grouped by service */
    int *candidate_starts;     /* by service; one more for the end */
    struct service_time *service_times; /* by service */
    uint64_t next_id;
};

struct sas_forward_call {
    struct sas_upstream_call attempt; /* first: upstream's vtable */
    struct sas_claims_listener claims_listener;
    struct sas_forward *forward;
    struct sas_forward_reply *reply; /* NULL once the caller disconnected */
    struct sas_forward_request request;
    enum call_state state;
    uv_timer_t timer; /* limits the wait for a slot */
    int64_t deadline_at;
    GStringChunk *texts;
    GArray *headers; /* of struct sas_http_header, to be sent */
    char *body_copy; /* a copy that outlives the caller's, or NULL */
    bool at_most_once;
    bool idempotent;
    struct sas_claims_claim *claim;
    struct sas_fingerprint fingerprint;
    struct sas_router_query query;
    struct sas_router_grant grant;
    int64_t attempt_at;
    int64_t waiting_since;
    int64_t answer_bytes;
    int attempts;
    bool isolated_run;         /* begun at the poison guard */
    bool may_have_run;         /* an earlier attempt was sent and lost */
    bool needs_new_connection; /* an earlier attempt lost its connection */

    /* the answer */
    int status;
    GArray *answer_headers; /* of struct sas_http_header */
    int64_t answer_length;
    GString *buffered; /* body bytes not yet passed on */
    bool streaming;
    bool shed;
};

/* Ending (forward.c). Refuse counts the refusal, ends the claim and answers
 * the caller. */
void SasForwardCall_Refuse(struct sas_forward_call *call,
                           enum sas_refusal reason, enum sas_outcome outcome,
                           int retry_after_s);
void SasForwardCall_PassAnswer(struct sas_forward_call *call);
void SasForwardCall_Complete(struct sas_forward_call *call);
void SasForwardCall_Finish(struct sas_forward_call *call);

/* The request has run, or may have, and its answer is not stored: it must not
 * run again. */
void SasForwardCall_LeaveClaimHeld(struct sas_forward_call *call);

/* Ends a running attempt, whose caller has left; it may have run. */
void SasForwardCall_Abandon(struct sas_forward_call *call);

/* Asks the poison guard; sets call->query.isolated when the request may run
 * only isolated. */
enum sas_quarantine_decision
SasForwardCall_CheckPoison(struct sas_forward_call *call, int *retry_after_s);

/* Attempts (forward_attempt.c). */
void SasForwardCall_Acquire(struct sas_forward_call *call);
void SasForwardCall_ReleaseGrant(struct sas_forward_call *call);

/* Copies the end-to-end headers (forward_headers.c). */
void SasForwardCall_CopyHeaders(struct sas_forward_call *call,
                                const struct sas_http_header *headers,
                                int count, GArray *out);

#endif
