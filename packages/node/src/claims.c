#include "claims.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "sas/claim.h"
#include "sas/log.h"

struct sas_claims {
    uv_loop_t *loop;
    struct sas_store *store;
    const struct sas_counters *counters;
    char *token_prefix;
    uint64_t next_token;
    GList *active; /* of struct sas_claims_claim */
};

struct sas_claims_claim {
    struct sas_store_call call; /* first: the store's callback */
    struct sas_claims *claims;
    struct sas_claims_listener *listener; /* NULL after its last callback */
    struct sas_claim core;
    struct sas_claim_step step;  /* in progress */
    struct sas_claim_row stored; /* the row as last read */
    bool has_stored;
    bool sent;
    bool reading_object; /* the body of the answer to replay */
    uv_timer_t delay_timer;
};

static void do_step(struct sas_claims_claim *claim,
                    struct sas_claim_step step);
static void do_action(struct sas_claims_claim *claim);
static void on_result(struct sas_store_call *call,
                      const struct sas_store_result *result);

struct sas_claims *
SasClaims_Open(uv_loop_t *loop, struct sas_store *store,
               const struct sas_counters *counters, const char *token_prefix)
{
    struct sas_claims *claims = g_new0(struct sas_claims, 1);
    claims->loop = loop;
    claims->store = store;
    claims->counters = counters;
    claims->token_prefix = g_strdup(token_prefix);
    return claims;
}

static void
on_timer_closed(uv_handle_t *handle)
{
    g_free(handle->data);
}

static void
free_claim(struct sas_claims_claim *claim)
{
    claim->claims->active = g_list_remove(claim->claims->active, claim);
    if (claim->has_stored) {
        SasClaim_FreeRow(&claim->stored);
    }
    SasClaim_Free(&claim->core);
    uv_close((uv_handle_t *)&claim->delay_timer, on_timer_closed);
}

void
SasClaims_Close(struct sas_claims *claims)
{
    while (claims->active != NULL) {
        free_claim(claims->active->data);
    }
    g_free(claims->token_prefix);
    g_free(claims);
}

int
SasClaims_CountActive(const struct sas_claims *claims)
{
    return (int)g_list_length(claims->active);
}

/* A token unique to this attempt, across all processes. */
static void
format_token(struct sas_claims *claims, char *token, size_t size)
{
    g_autofree char *text = g_strdup_printf(
        "%s-%" G_GUINT64_FORMAT, claims->token_prefix, claims->next_token++);
    g_autofree char *hash =
        g_compute_checksum_for_string(G_CHECKSUM_SHA256, text, -1);
    g_strlcpy(token, hash, size);
}

struct sas_claims_claim *
SasClaims_Begin(struct sas_claims *claims, const struct sas_claims_key *key,
                struct sas_claims_listener *listener)
{
    struct sas_claims_claim *claim = g_new0(struct sas_claims_claim, 1);
    char digest[SasClaim_HASH_SIZE];
    char token[SasClaim_TOKEN_SIZE];
    struct sas_error error = {0};
    SasClaim_GetDigest(key->method, key->target, key->body, key->body_size,
                       digest);
    format_token(claims, token, sizeof(token));
    if (SasClaim_Init(&claim->core, key->service, key->caller, key->key,
                      digest, token, &error) != 0) {
        g_free(claim);
        listener->vtable->on_refuse(listener, SAS_REFUSE_BAD_REQUEST,
                                    SAS_OUTCOME_NOT_RUN);
        return NULL;
    }
    claim->call.on_result = on_result;
    claim->claims = claims;
    claim->listener = listener;
    uv_timer_init(claims->loop, &claim->delay_timer);
    claim->delay_timer.data = claim;
    claims->active = g_list_prepend(claims->active, claim);
    do_step(claim, SasClaim_Handle(&claim->core, SAS_CLAIM_START, NULL, NULL));
    return claim;
}

void
SasClaims_MarkSent(struct sas_claims_claim *claim)
{
    claim->sent = true;
    do_step(claim,
            SasClaim_Handle(&claim->core, SAS_CLAIM_FIRST_BYTE, NULL, NULL));
}

void
SasClaims_Finish(struct sas_claims_claim *claim, int status,
                 const struct sas_http_header *headers, int header_count,
                 const char *body, size_t body_size)
{
    g_autoptr(GString) lines = g_string_new(NULL);
    for (int i = 0; i < header_count; i++) {
        g_string_append_printf(lines, "%s: %s\r\n", headers[i].name,
                               headers[i].value);
    }
    SasClaim_SetAnswer(&claim->core, status, lines->str, body, body_size);
    do_step(claim,
            SasClaim_Handle(&claim->core, SAS_CLAIM_ANSWER_WHOLE, NULL, NULL));
}

void
SasClaims_LeaveHeld(struct sas_claims_claim *claim)
{
    claim->listener = NULL;
    do_step(claim,
            SasClaim_Handle(&claim->core, SAS_CLAIM_ANSWER_LOST, NULL, NULL));
}

void
SasClaims_Release(struct sas_claims_claim *claim)
{
    claim->listener = NULL;
    struct sas_claim_step step = {.action = SAS_CLAIM_SEND};
    if (claim->sent) {
        /* Nothing ran: back to the state before MarkSent. */
        step = SasClaim_Handle(&claim->core, SAS_CLAIM_SHED, NULL, NULL);
    }
    if (step.action == SAS_CLAIM_SEND) {
        step = SasClaim_Handle(&claim->core, SAS_CLAIM_NOT_SENT, NULL, NULL);
    }
    do_step(claim, step);
}

/* Answers. */

/* Parses "Name: value\r\n" lines into headers that point into the text, which
 * is modified. */
static GArray *
split_headers(char *lines)
{
    GArray *headers =
        g_array_new(FALSE, FALSE, sizeof(struct sas_http_header));
    char *rest = NULL;
    for (char *line = strtok_r(lines, "\r\n", &rest); line != NULL;
         line = strtok_r(NULL, "\r\n", &rest)) {
        char *colon = strstr(line, ": ");
        if (colon == NULL) {
            continue;
        }
        *colon = '\0';
        struct sas_http_header header = {line, colon + 2};
        g_array_append_val(headers, header);
    }
    return headers;
}

static void
replay(struct sas_claims_claim *claim, const char *body, size_t body_size)
{
    struct sas_claims_listener *listener = claim->listener;
    g_autofree char *lines =
        g_strdup(claim->stored.headers != NULL ? claim->stored.headers : "");
    g_autoptr(GArray) headers = split_headers(lines);
    claim->listener = NULL;
    listener->vtable->on_replay(listener, claim->stored.status,
                                (const struct sas_http_header *)headers->data,
                                (int)headers->len, body, body_size);
}

static void
refuse(struct sas_claims_claim *claim, enum sas_refusal reason,
       enum sas_outcome outcome)
{
    struct sas_claims_listener *listener = claim->listener;
    claim->listener = NULL;
    listener->vtable->on_refuse(listener, reason, outcome);
}

static void
answer_caller(struct sas_claims_claim *claim, enum sas_claim_answer answer)
{
    struct sas_claims_listener *listener = claim->listener;
    if (listener == NULL) {
        return;
    }
    switch (answer) {
    case SAS_CLAIM_NO_ANSWER:
        return;
    case SAS_CLAIM_NOT_RUN:
        refuse(claim, SAS_REFUSE_CLAIM_STORE, SAS_OUTCOME_NOT_RUN);
        return;
    case SAS_CLAIM_UNKNOWN:
        refuse(claim, SAS_REFUSE_CLAIM_RUNNING, SAS_OUTCOME_UNKNOWN);
        return;
    case SAS_CLAIM_RAN:
        refuse(claim, SAS_REFUSE_CLAIM_LOST, SAS_OUTCOME_RAN);
        return;
    case SAS_CLAIM_PASS:
        claim->listener = NULL;
        listener->vtable->on_finished(listener);
        return;
    case SAS_CLAIM_REPLAY:
        if (claim->stored.object != NULL) {
            claim->reading_object = true;
            return; /* do_action() reads it first */
        }
        replay(claim, (const char *)claim->stored.body,
               claim->stored.body_size);
        return;
    case SAS_CLAIM_OTHER_BODY:
        refuse(claim, SAS_REFUSE_KEY_REUSED, SAS_OUTCOME_NOT_RUN);
        return;
    case SAS_CLAIM_COLLISION:
        refuse(claim, SAS_REFUSE_CLAIM_STORE, SAS_OUTCOME_NOT_RUN);
        return;
    }
}

/* Steps. */

static void
on_delay_over(uv_timer_t *timer)
{
    do_action(timer->data);
}

static void
do_step(struct sas_claims_claim *claim, struct sas_claim_step step)
{
    if (step.action != SAS_CLAIM_WAIT) {
        claim->step = step;
    }
    answer_caller(claim, step.answer);
    if (step.action == SAS_CLAIM_WAIT) {
        return;
    }
    if (step.pause_ms > 0) {
        uv_timer_start(&claim->delay_timer, on_delay_over,
                       (uint64_t)step.pause_ms, 0);
        return;
    }
    do_action(claim);
}

static void
write_row(struct sas_claims_claim *claim)
{
    const char *etag = claim->step.etag != NULL ? claim->step.etag : "";
    g_autofree char *text = SasClaim_EncodeRow(&claim->core.row);
    SasStore_Write(claim->claims->store, SAS_STORE_TABLE, claim->core.row_key,
                   text, strlen(text),
                   etag[0] == '\0' ? SAS_STORE_IF_ABSENT : SAS_STORE_IF_MATCH,
                   etag, &claim->call);
}

static void
do_action(struct sas_claims_claim *claim)
{
    struct sas_store *store = claim->claims->store;
    const struct sas_claim_row *row = &claim->core.row;
    switch (claim->step.action) {
    case SAS_CLAIM_WAIT:
        return;
    case SAS_CLAIM_INSERT:
    case SAS_CLAIM_WRITE_DONE:
    case SAS_CLAIM_RELEASE:
        write_row(claim);
        return;
    case SAS_CLAIM_READ:
        SasStore_Read(store, SAS_STORE_TABLE, claim->core.row_key,
                      &claim->call);
        return;
    case SAS_CLAIM_SEND:
        if (claim->listener != NULL) {
            claim->listener->vtable->on_proceed(claim->listener);
        }
        return;
    case SAS_CLAIM_WRITE_OBJECT:
        SasStore_Write(store, SAS_STORE_OBJECT, row->object,
                       (const char *)row->body, row->body_size,
                       SAS_STORE_IF_ABSENT, NULL, &claim->call);
        return;
    case SAS_CLAIM_FINISH:
        if (claim->reading_object) {
            SasStore_Read(store, SAS_STORE_OBJECT, claim->stored.object,
                          &claim->call);
            return;
        }
        free_claim(claim);
        return;
    }
}

static enum sas_claim_event
get_write_event(enum sas_claim_action action, enum sas_store_status status)
{
    bool ok = status == SAS_STORE_OK;
    bool refused = status == SAS_STORE_CONFLICT;
    switch (action) {
    case SAS_CLAIM_INSERT:
        if (status == SAS_STORE_UNAVAILABLE) {
            return SAS_CLAIM_INSERT_FAILED;
        }
        return ok        ? SAS_CLAIM_INSERT_OK
               : refused ? SAS_CLAIM_INSERT_REFUSED
                         : SAS_CLAIM_INSERT_UNCONFIRMED;
    case SAS_CLAIM_WRITE_OBJECT:
        /* Refused: the object exists, written by this attempt before. */
        return ok || refused ? SAS_CLAIM_OBJECT_OK : SAS_CLAIM_OBJECT_FAILED;
    case SAS_CLAIM_WRITE_DONE:
        return ok        ? SAS_CLAIM_DONE_OK
               : refused ? SAS_CLAIM_DONE_REFUSED
                         : SAS_CLAIM_DONE_UNCONFIRMED;
    default:
        return ok        ? SAS_CLAIM_RELEASE_OK
               : refused ? SAS_CLAIM_RELEASE_REFUSED
                         : SAS_CLAIM_RELEASE_UNCONFIRMED;
    }
}

static void
apply_read(struct sas_claims_claim *claim,
           const struct sas_store_result *result)
{
    enum sas_claim_event event = SAS_CLAIM_READ_FAILED;
    struct sas_error error = {0};
    if (result->status == SAS_STORE_NOT_FOUND) {
        event = SAS_CLAIM_ROW_ABSENT;
    }
    else if (result->status == SAS_STORE_OK) {
        if (claim->has_stored) {
            SasClaim_FreeRow(&claim->stored);
        }
        claim->has_stored =
            SasClaim_DecodeRow(result->value, &claim->stored, &error) == 0;
        event =
            claim->has_stored ? SAS_CLAIM_ROW_FOUND : SAS_CLAIM_READ_FAILED;
    }
    if (error.code != SAS_OK) {
        SasLog_WriteError(SasLog_ERROR, &error);
    }
    do_step(claim, SasClaim_Handle(
                       &claim->core, event,
                       event == SAS_CLAIM_ROW_FOUND ? &claim->stored : NULL,
                       event == SAS_CLAIM_ROW_FOUND ? result->etag : NULL));
}

/* The stored body of the first answer was read, or could not be. */
static void
replay_object(struct sas_claims_claim *claim,
              const struct sas_store_result *result)
{
    claim->reading_object = false;
    if (claim->listener != NULL && result->status == SAS_STORE_OK) {
        replay(claim, result->value, result->size);
    }
    else if (claim->listener != NULL) {
        refuse(claim, SAS_REFUSE_CLAIM_LOST, SAS_OUTCOME_RAN);
    }
    free_claim(claim);
}

static void
on_result(struct sas_store_call *call, const struct sas_store_result *result)
{
    struct sas_claims_claim *claim = (struct sas_claims_claim *)call;
    if (claim->reading_object) {
        replay_object(claim, result);
        return;
    }
    if (claim->step.action == SAS_CLAIM_READ) {
        apply_read(claim, result);
        return;
    }
    enum sas_claim_event event =
        get_write_event(claim->step.action, result->status);
    const char *etag = result->status == SAS_STORE_OK ? result->etag : NULL;
    do_step(claim, SasClaim_Handle(&claim->core, event, NULL, etag));
}
