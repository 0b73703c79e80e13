/* forward - carries one request through claim, grant, attempts and answer.
 *
 * The caller task begins a call and gets exactly one final callback:
 * on_refuse, on_end or on_abort; after Cancel it gets none. The request's
 * data must stay valid until then. Times are loop milliseconds.
 */
#ifndef SAS_FORWARD_H
#define SAS_FORWARD_H

#include "claims.h"
#include "refusal.h"
#include "sas/http.h"
#include "router.h"
#include "upstream.h"

struct sas_forward;
struct sas_forward_call;
struct sas_poison_guard;

struct sas_forward_request {
    int service;
    const char *method;
    const char *target; /* sent to the backend server unchanged */
    const char *route;  /* its path without dots, escapes, double slashes */
    const struct sas_http_header *headers;
    int header_count;
    const char *body;
    size_t body_size;
    uint32_t caller_ip;
    const char *caller; /* identity that scopes the idempotency key */
    const char *key;    /* idempotency key, NULL when absent */
    int64_t deadline_ms;
};

struct sas_forward_answer {
    int status;
    const struct sas_http_header *headers;
    int header_count;
    int64_t length;      /* of the body; -1: known only at its end */
    const char *backend; /* NULL for a replayed answer */
    const char *region;
};

struct sas_forward_reply;

struct sas_forward_reply_vtable {
    void (*on_refuse)(struct sas_forward_reply *reply, enum sas_refusal reason,
                      enum sas_outcome outcome, int retry_after_s);
    void (*on_head)(struct sas_forward_reply *reply,
                    const struct sas_forward_answer *answer);
    void (*on_body)(struct sas_forward_reply *reply, const char *data,
                    size_t size);
    void (*on_end)(struct sas_forward_reply *reply);
    /* The answer ended early, after its head was passed on. */
    void (*on_abort)(struct sas_forward_reply *reply);
};

/* Embedded in the owner's struct. */
struct sas_forward_reply {
    const struct sas_forward_reply_vtable *vtable;
};

struct sas_forward_options {
    uv_loop_t *loop;
    const struct sas_model *model;
    const struct sas_counters *counters;
    struct sas_router *router;
    struct sas_upstream *upstream;
    struct sas_claims *claims;
    struct sas_poison_guard *poison_guard;
    GRand *random;
    const char *id_prefix; /* of request ids; unique to this process */
    int64_t queue_wait_ms;
    double retry_share;
};

struct sas_forward *SasForward_Open(const struct sas_forward_options *options);
void SasForward_Close(struct sas_forward *forward);

struct sas_forward_call *
SasForward_Begin(struct sas_forward *forward,
                 const struct sas_forward_request *request,
                 struct sas_forward_reply *reply);

/* The caller has disconnected. A request that may run only once continues once
 * it was sent, so that its outcome can be stored. */
void SasForward_Cancel(struct sas_forward_call *call);

/* Backpressure: stop and restart reading the answer. */
void SasForward_Pause(struct sas_forward_call *call);
void SasForward_Resume(struct sas_forward_call *call);

/* Capacity may have come free: waiting requests ask for a slot again. */
void SasForward_Wake(struct sas_forward *forward);

/* Requests in progress, also those whose caller has disconnected. */
int SasForward_CountActive(const struct sas_forward *forward);

#endif
