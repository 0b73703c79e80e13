/* claims - at-most-once records in the platform's table.
 *
 * Drives the core's claim state machine (sas/claim.h) with the store's
 * answers. A claim goes: Begin, then on_proceed; the user sends the request
 * and calls exactly one of Finish, Lose or Release. Instead of on_proceed
 * the user may be told on_replay or on_refuse, which end the claim.
 */
#ifndef SAS_CLAIMS_H
#define SAS_CLAIMS_H

#include "refusal.h"
#include "sas/http.h"
#include "sas/store.h"

#define SasClaims_MAX_KEPT_BODY (1024 * 1024)

struct sas_claims;
struct sas_claims_claim;

struct sas_claims_listener;

struct sas_claims_vtable {
    /* The claim is ours; the request may be sent. */
    void (*on_proceed)(struct sas_claims_listener *listener);
    /* The request ran before; this is its first answer. */
    void (*on_replay)(struct sas_claims_listener *listener, int status,
                      const struct sas_http_header *headers, int header_count,
                      const char *body, size_t body_size);
    void (*on_refuse)(struct sas_claims_listener *listener,
                      enum sas_refusal reason, enum sas_outcome outcome);
    /* After Finish: the answer is kept, or can't be; it may be passed on. */
    void (*on_finished)(struct sas_claims_listener *listener);
};

/* The user embeds it as first member. */
struct sas_claims_listener {
    const struct sas_claims_vtable *vtable;
};

struct sas_claims_key {
    const char *service;
    const char *caller;
    const char *key;
    const char *method;
    const char *target;
    const char *body;
    size_t body_size;
};

struct sas_claims *SasClaims_Open(uv_loop_t *loop, struct sas_store *store,
                                  const struct sas_counters *counters,
                                  const char *token_prefix);
void SasClaims_Close(struct sas_claims *claims);

/* Claims whose last write is not settled yet; a stop waits for them. */
int SasClaims_CountActive(const struct sas_claims *claims);

struct sas_claims_claim *SasClaims_Begin(struct sas_claims *claims,
                                         const struct sas_claims_key *key,
                                         struct sas_claims_listener *listener);

/* The first byte is about to leave. */
void SasClaims_MarkSent(struct sas_claims_claim *claim);

/* The whole answer is here; on_finished follows. */
void SasClaims_Finish(struct sas_claims_claim *claim, int status,
                      const struct sas_http_header *headers, int header_count,
                      const char *body, size_t body_size);

/* Sent, but no whole answer: the row stays, no other run may follow. */
void SasClaims_LeaveHeld(struct sas_claims_claim *claim);

/* Nothing was run: the row goes, a resend may run. */
void SasClaims_Release(struct sas_claims_claim *claim);

#endif
