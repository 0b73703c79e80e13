/* claims - at-most-once execution by records in the platform's table.
 *
 * Drives the core's claim state machine (sas/claim.h) with the store's
 * answers. After Begin the listener gets exactly one of on_proceed, on_replay
 * and on_refuse. After on_proceed the caller sends the request and ends the
 * claim by exactly one of Finish, LeaveHeld and Release; the other two
 * callbacks end it themselves.
 */
#ifndef SAS_CLAIMS_H
#define SAS_CLAIMS_H

#include "refusal.h"
#include "sas/http.h"
#include "sas/store.h"

#define SasClaims_MAX_STORED_BYTES (1024 * 1024) /* of an answer's body */

struct sas_claims;
struct sas_claims_claim;

struct sas_claims_listener;

struct sas_claims_vtable {
    /* The claim is held; the request may be sent. */
    void (*on_proceed)(struct sas_claims_listener *listener);
    /* The request ran before; this is its stored answer. */
    void (*on_replay)(struct sas_claims_listener *listener, int status,
                      const struct sas_http_header *headers, int header_count,
                      const char *body, size_t body_size);
    void (*on_refuse)(struct sas_claims_listener *listener,
                      enum sas_refusal reason, enum sas_outcome outcome);
    /* After Finish: the answer is stored, or could not be; it may be passed
     * on in both cases. */
    void (*on_finished)(struct sas_claims_listener *listener);
};

/* Embedded in the owner's struct. */
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

/* Claims in progress, also those that are writing their outcome; a shutdown
 * waits for them. */
int SasClaims_CountActive(const struct sas_claims *claims);

/* Claims a request. NULL when it was refused at once. */
struct sas_claims_claim *SasClaims_Begin(struct sas_claims *claims,
                                         const struct sas_claims_key *key,
                                         struct sas_claims_listener *listener);

/* To be called before the first byte of the request is sent. */
void SasClaims_MarkSent(struct sas_claims_claim *claim);

/* The answer is complete: stores it, then calls on_finished. */
void SasClaims_Finish(struct sas_claims_claim *claim, int status,
                      const struct sas_http_header *headers, int header_count,
                      const char *body, size_t body_size);

/* The request was sent, but there is no answer to store: the claim stays held,
 * so that no other attempt runs it. */
void SasClaims_LeaveHeld(struct sas_claims_claim *claim);

/* The request did not run: the claim is released, and a retry may run. */
void SasClaims_Release(struct sas_claims_claim *claim);

#endif
