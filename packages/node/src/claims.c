#include "claims.h"

#include <glib.h>

struct sas_claims {
    uv_loop_t *loop;
};

struct sas_claims *
SasClaims_Open(uv_loop_t *loop, struct sas_store *store,
               const struct sas_counters *counters, const char *token_prefix)
{
    (void)store;
    (void)counters;
    (void)token_prefix;
    struct sas_claims *claims = g_new0(struct sas_claims, 1);
    claims->loop = loop;
    return claims;
}

void
SasClaims_Close(struct sas_claims *claims)
{
    g_free(claims);
}

/* No claims yet: what may not repeat is refused, not run unguarded. */
struct sas_claims_claim *
SasClaims_Begin(struct sas_claims *claims, const struct sas_claims_key *key,
                struct sas_claims_user *user)
{
    (void)claims;
    (void)key;
    user->vtable->on_refuse(user, SAS_REFUSE_CLAIM_STORE, SAS_OUTCOME_NOT_RUN);
    return NULL;
}

void
SasClaims_MarkSent(struct sas_claims_claim *claim)
{
    (void)claim;
}

void
SasClaims_Finish(struct sas_claims_claim *claim, int status,
                 const struct sas_http_header *headers, int header_count,
                 const char *body, size_t body_size)
{
    (void)claim;
    (void)status;
    (void)headers;
    (void)header_count;
    (void)body;
    (void)body_size;
}

void
SasClaims_Lose(struct sas_claims_claim *claim)
{
    (void)claim;
}

void
SasClaims_Release(struct sas_claims_claim *claim)
{
    (void)claim;
}
