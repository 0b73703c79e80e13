#include "sas/claim.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>
#include <xxhash.h>

static const char *const ROW_STATES[] = {"held", "done", "released"};

static const char *const ANSWERS[] = {
    "none", "not-run", "unknown",    "ran",
    "pass", "replay",  "other-body", "collision",
};

static void add_field(XXH3_state_t *hash, const void *data, size_t size);
static void write_hash(XXH3_state_t *hash, char text[SasClaim_HASH_SIZE]);
static struct sas_claim_step step(struct sas_claim *c,
                                  enum sas_claim_action action,
                                  enum sas_claim_answer answer);
static struct sas_claim_step insert(struct sas_claim *c);
static struct sas_claim_step release(struct sas_claim *c,
                                     enum sas_claim_answer answer);
static struct sas_claim_step retry_action(struct sas_claim *c,
                                          enum sas_claim_action action,
                                          enum sas_claim_answer answer);
static struct sas_claim_step finish(struct sas_claim *c,
                                    enum sas_claim_answer answer);
static struct sas_claim_step on_inserting(struct sas_claim *c,
                                          enum sas_claim_event event,
                                          const char *etag);
static struct sas_claim_step on_reading(struct sas_claim *c,
                                        enum sas_claim_event event,
                                        const struct sas_claim_row *row,
                                        const char *etag);
static struct sas_claim_step
on_row(struct sas_claim *c, const struct sas_claim_row *row, const char *etag);
static struct sas_claim_step on_claimed(struct sas_claim *c,
                                        enum sas_claim_event event);
static struct sas_claim_step on_sent(struct sas_claim *c,
                                     enum sas_claim_event event);
static struct sas_claim_step on_saving(struct sas_claim *c,
                                       enum sas_claim_event event);
static struct sas_claim_step on_releasing(struct sas_claim *c,
                                          enum sas_claim_event event,
                                          const struct sas_claim_row *row,
                                          const char *etag);
static int encode_bytes(json_t *object, const char *name, const void *data,
                        size_t size);
static unsigned char *decode_bytes(json_t *object, const char *name,
                                   size_t *size);
static int copy_text(char *to, size_t size, const json_t *value);

void
SasClaim_GetRowKey(const char *service, const char *caller, const char *key,
                   char row_key[SasClaim_ROW_KEY_SIZE])
{
    char text[SasClaim_HASH_SIZE];
    XXH3_state_t *hash = XXH3_createState();
    XXH3_128bits_reset(hash);
    add_field(hash, service, strlen(service));
    add_field(hash, caller, strlen(caller));
    add_field(hash, key, strlen(key));
    write_hash(hash, text);
    g_snprintf(row_key, SasClaim_ROW_KEY_SIZE, "claim/%.48s/%s", service,
               text);
}

void
SasClaim_GetDigest(const char *method, const char *target, const void *body,
                   size_t size, char digest[SasClaim_HASH_SIZE])
{
    XXH3_state_t *hash = XXH3_createState();
    XXH3_128bits_reset(hash);
    add_field(hash, method, strlen(method));
    add_field(hash, target, strlen(target));
    add_field(hash, body, size);
    write_hash(hash, digest);
}

int
SasClaim_Init(struct sas_claim *c, const char *service, const char *caller,
              const char *key, const char *digest, const char *token,
              struct sas_error *error)
{
    memset(c, 0, sizeof(*c));
    if (!g_utf8_validate(caller, -1, NULL) ||
        !g_utf8_validate(key, -1, NULL) ||
        !g_utf8_validate(service, -1, NULL)) {
        SasError_Set(error, SAS_EINVAL, "claim.start", caller,
                     "service, caller and key must be UTF-8");
        return -1;
    }
    SasClaim_GetRowKey(service, caller, key, c->row_key);
    c->row.service = g_strdup(service);
    c->row.caller = g_strdup(caller);
    c->row.key = g_strdup(key);
    g_strlcpy(c->row.digest, digest, sizeof(c->row.digest));
    g_strlcpy(c->row.token, token, sizeof(c->row.token));
    return 0;
}

void
SasClaim_Free(struct sas_claim *c)
{
    SasClaim_FreeRow(&c->row);
}

struct sas_claim_step
SasClaim_Handle(struct sas_claim *c, enum sas_claim_event event,
                const struct sas_claim_row *row, const char *etag)
{
    switch (c->state) {
    case SAS_CLAIM_NEW:
        return insert(c);
    case SAS_CLAIM_INSERTING:
        return on_inserting(c, event, etag);
    case SAS_CLAIM_READING:
        return on_reading(c, event, row, etag);
    case SAS_CLAIM_CLAIMED:
        return on_claimed(c, event);
    case SAS_CLAIM_SENT:
        return on_sent(c, event);
    case SAS_CLAIM_SAVING:
        return on_saving(c, event);
    case SAS_CLAIM_RELEASING:
        return on_releasing(c, event, row, etag);
    case SAS_CLAIM_FINISHED:
        break;
    }
    return step(c, SAS_CLAIM_FINISH, SAS_CLAIM_NO_ANSWER);
}

void
SasClaim_SetAnswer(struct sas_claim *c, int status, const char *headers,
                   const void *body, size_t size)
{
    g_free(c->row.headers);
    g_free(c->row.body);
    c->row.status = status;
    c->row.headers = g_strdup(headers);
    c->row.body = g_memdup2(body, size);
    c->row.body_size = size;
}

/* Rows. */

char *
SasClaim_EncodeRow(const struct sas_claim_row *row)
{
    json_auto_t *object = json_pack(
        "{s:s, s:s, s:s, s:s, s:s, s:s}", "state", ROW_STATES[row->state],
        "token", row->token, "digest", row->digest, "service", row->service,
        "caller", row->caller, "key", row->key);
    if (object == NULL) {
        return NULL;
    }
    if (row->state == SAS_CLAIM_DONE) {
        json_object_set_new(object, "status", json_integer(row->status));
        const char *headers = row->headers == NULL ? "" : row->headers;
        encode_bytes(object, "headers", headers, strlen(headers));
        if (row->object != NULL) {
            json_object_set_new(object, "object", json_string(row->object));
        }
        else if (row->body_lost) {
            json_object_set_new(object, "body_lost", json_true());
        }
        else {
            encode_bytes(object, "body", row->body, row->body_size);
        }
    }
    char *text = json_dumps(object, JSON_COMPACT | JSON_SORT_KEYS);
    char *copy = g_strdup(text);
    free(text);
    return copy;
}

int
SasClaim_DecodeRow(const char *text, struct sas_claim_row *row,
                   struct sas_error *error)
{
    memset(row, 0, sizeof(*row));
    json_auto_t *object = json_loads(text, JSON_REJECT_DUPLICATES, NULL);
    const char *state = json_string_value(json_object_get(object, "state"));
    int state_index = -1;
    for (int i = 0; state != NULL && i < 3; i++) {
        state_index = strcmp(state, ROW_STATES[i]) == 0 ? i : state_index;
    }
    row->state = (enum sas_claim_row_state)MAX(state_index, 0);
    row->service =
        g_strdup(json_string_value(json_object_get(object, "service")));
    row->caller =
        g_strdup(json_string_value(json_object_get(object, "caller")));
    row->key = g_strdup(json_string_value(json_object_get(object, "key")));
    if (state_index < 0 || row->service == NULL || row->caller == NULL ||
        row->key == NULL ||
        copy_text(row->token, sizeof(row->token),
                  json_object_get(object, "token")) < 0 ||
        copy_text(row->digest, sizeof(row->digest),
                  json_object_get(object, "digest")) < 0) {
        SasError_Set(error, SAS_EINVAL, "claim.decode", "",
                     "not a valid claim row");
        SasClaim_FreeRow(row);
        return -1;
    }
    if (row->state == SAS_CLAIM_DONE) {
        size_t size;
        row->status =
            (int)json_integer_value(json_object_get(object, "status"));
        row->headers = (char *)decode_bytes(object, "headers", &size);
        row->body = decode_bytes(object, "body", &row->body_size);
        row->object =
            g_strdup(json_string_value(json_object_get(object, "object")));
        row->body_lost = row->body == NULL && row->object == NULL;
    }
    return 0;
}

void
SasClaim_FreeRow(struct sas_claim_row *row)
{
    g_free(row->service);
    g_free(row->caller);
    g_free(row->key);
    g_free(row->headers);
    g_free(row->body);
    g_free(row->object);
    memset(row, 0, sizeof(*row));
}

const char *
SasClaim_GetAnswerName(enum sas_claim_answer answer)
{
    return ANSWERS[answer];
}

/* Steps. */

static struct sas_claim_step
step(struct sas_claim *c, enum sas_claim_action action,
     enum sas_claim_answer answer)
{
    struct sas_claim_step next = {
        .action = action,
        .answer = c->answered ? SAS_CLAIM_NO_ANSWER : answer,
        .retry_after_s = SasClaim_RETRY_AFTER_S,
        .etag = c->etag,
    };
    c->answered = c->answered || answer != SAS_CLAIM_NO_ANSWER;
    return next;
}

static struct sas_claim_step
insert(struct sas_claim *c)
{
    c->inserts++;
    c->state = SAS_CLAIM_INSERTING;
    c->row.state = SAS_CLAIM_HELD;
    return step(c, SAS_CLAIM_INSERT, SAS_CLAIM_NO_ANSWER);
}

/* Gives the claim up: after this the attempt never sends. If an insert of it
 * is still in flight, the row would be held for an attempt that is over; a
 * released row written before it makes the store refuse the insert. */
static struct sas_claim_step
release(struct sas_claim *c, enum sas_claim_answer answer)
{
    c->state = SAS_CLAIM_RELEASING;
    c->row.state = SAS_CLAIM_RELEASED;
    return step(c, SAS_CLAIM_RELEASE, answer);
}

static struct sas_claim_step
retry_action(struct sas_claim *c, enum sas_claim_action action,
             enum sas_claim_answer answer)
{
    if (c->write_retries >= SasClaim_MAX_WRITE_RETRIES) {
        return finish(c, answer);
    }
    struct sas_claim_step next = step(c, action, answer);
    next.pause_ms = (int64_t)SasClaim_WRITE_RETRY_MS << c->write_retries;
    c->write_retries++;
    return next;
}

static struct sas_claim_step
finish(struct sas_claim *c, enum sas_claim_answer answer)
{
    c->state = SAS_CLAIM_FINISHED;
    return step(c, SAS_CLAIM_FINISH, answer);
}

/* States. */

static struct sas_claim_step
on_inserting(struct sas_claim *c, enum sas_claim_event event, const char *etag)
{
    switch (event) {
    case SAS_CLAIM_INSERT_OK:
        g_strlcpy(c->etag, etag, sizeof(c->etag));
        if (c->answered) { /* the caller has disconnected */
            return release(c, SAS_CLAIM_NO_ANSWER);
        }
        c->state = SAS_CLAIM_CLAIMED;
        return step(c, SAS_CLAIM_SEND, SAS_CLAIM_NO_ANSWER);
    case SAS_CLAIM_INSERT_REFUSED:
    case SAS_CLAIM_INSERT_UNCONFIRMED:
        c->state = SAS_CLAIM_READING;
        return step(c, SAS_CLAIM_READ, SAS_CLAIM_NO_ANSWER);
    case SAS_CLAIM_INSERT_FAILED:
        /* An earlier insert of this attempt may still be in flight. */
        if (c->inserts > 1) {
            return release(c, SAS_CLAIM_NOT_RUN);
        }
        return finish(c, SAS_CLAIM_NOT_RUN);
    case SAS_CLAIM_CALLER_GONE:
        c->answered = true;
        return step(c, SAS_CLAIM_WAIT, SAS_CLAIM_NO_ANSWER);
    default:
        return step(c, SAS_CLAIM_WAIT, SAS_CLAIM_NO_ANSWER);
    }
}

static struct sas_claim_step
on_reading(struct sas_claim *c, enum sas_claim_event event,
           const struct sas_claim_row *row, const char *etag)
{
    switch (event) {
    case SAS_CLAIM_ROW_FOUND:
        return on_row(c, row, etag);
    case SAS_CLAIM_ROW_ABSENT:
        /* Our insert was lost or is still in flight. Another one under the
         * same token is harmless. */
        c->etag[0] = '\0';
        if (c->answered || c->inserts >= SasClaim_MAX_INSERTS) {
            return release(c, SAS_CLAIM_NOT_RUN);
        }
        return insert(c);
    case SAS_CLAIM_READ_FAILED:
        return release(c, SAS_CLAIM_NOT_RUN);
    case SAS_CLAIM_CALLER_GONE:
        c->answered = true;
        return step(c, SAS_CLAIM_WAIT, SAS_CLAIM_NO_ANSWER);
    default:
        return step(c, SAS_CLAIM_WAIT, SAS_CLAIM_NO_ANSWER);
    }
}

static struct sas_claim_step
on_row(struct sas_claim *c, const struct sas_claim_row *row, const char *etag)
{
    bool same_key = strcmp(row->service, c->row.service) == 0 &&
                    strcmp(row->caller, c->row.caller) == 0 &&
                    strcmp(row->key, c->row.key) == 0;
    if (!same_key) {
        return finish(c, SAS_CLAIM_COLLISION);
    }
    if (strcmp(row->token, c->row.token) == 0) {
        /* Our insert took effect, only its confirmation was lost. */
        g_strlcpy(c->etag, etag, sizeof(c->etag));
        if (c->answered) {
            return release(c, SAS_CLAIM_NOT_RUN);
        }
        c->state = SAS_CLAIM_CLAIMED;
        return step(c, SAS_CLAIM_SEND, SAS_CLAIM_NO_ANSWER);
    }
    if (row->state == SAS_CLAIM_RELEASED) {
        g_strlcpy(c->etag, etag, sizeof(c->etag));
        if (c->answered || c->inserts >= SasClaim_MAX_INSERTS) {
            return release(c, SAS_CLAIM_NOT_RUN);
        }
        return insert(c);
    }
    if (strcmp(row->digest, c->row.digest) != 0) {
        return finish(c, SAS_CLAIM_OTHER_BODY);
    }
    if (row->state == SAS_CLAIM_HELD) {
        return finish(c, SAS_CLAIM_UNKNOWN);
    }
    return finish(c, row->body_lost ? SAS_CLAIM_RAN : SAS_CLAIM_REPLAY);
}

static struct sas_claim_step
on_claimed(struct sas_claim *c, enum sas_claim_event event)
{
    switch (event) {
    case SAS_CLAIM_FIRST_BYTE:
        c->state = SAS_CLAIM_SENT;
        return step(c, SAS_CLAIM_WAIT, SAS_CLAIM_NO_ANSWER);
    case SAS_CLAIM_NOT_SENT:
    case SAS_CLAIM_CALLER_GONE:
        return release(c, SAS_CLAIM_NOT_RUN);
    default:
        return step(c, SAS_CLAIM_WAIT, SAS_CLAIM_NO_ANSWER);
    }
}

static struct sas_claim_step
on_sent(struct sas_claim *c, enum sas_claim_event event)
{
    switch (event) {
    case SAS_CLAIM_SHED:
        /* Not run: another backend server may be tried under this claim, or
         * it is released if the caller has disconnected. */
        if (c->answered) {
            return release(c, SAS_CLAIM_NO_ANSWER);
        }
        c->state = SAS_CLAIM_CLAIMED;
        return step(c, SAS_CLAIM_SEND, SAS_CLAIM_NO_ANSWER);
    case SAS_CLAIM_ANSWER_WHOLE:
        c->state = SAS_CLAIM_SAVING;
        c->row.state = SAS_CLAIM_DONE;
        /* The answer is stored before it goes to the caller, so that a caller
         * that resends gets the same one. */
        if (c->row.body_size > SasClaim_MAX_INLINE) {
            c->row.object = g_strdup_printf("%s-%s", c->row_key, c->row.token);
            return step(c, SAS_CLAIM_WRITE_OBJECT, SAS_CLAIM_NO_ANSWER);
        }
        return step(c, SAS_CLAIM_WRITE_DONE, SAS_CLAIM_NO_ANSWER);
    case SAS_CLAIM_ANSWER_LOST:
        /* The row stays held for good: whether the request ran is unknown, and
         * it must not run again. */
        return finish(c, SAS_CLAIM_UNKNOWN);
    case SAS_CLAIM_CALLER_GONE:
        /* It may be running: the answer is stored for a resend. */
        c->answered = true;
        return step(c, SAS_CLAIM_WAIT, SAS_CLAIM_NO_ANSWER);
    default:
        return step(c, SAS_CLAIM_WAIT, SAS_CLAIM_NO_ANSWER);
    }
}

static struct sas_claim_step
on_saving(struct sas_claim *c, enum sas_claim_event event)
{
    switch (event) {
    case SAS_CLAIM_OBJECT_FAILED:
        g_clear_pointer(&c->row.object, g_free);
        c->row.body_lost = true;
        return step(c, SAS_CLAIM_WRITE_DONE, SAS_CLAIM_NO_ANSWER);
    case SAS_CLAIM_OBJECT_OK:
        return step(c, SAS_CLAIM_WRITE_DONE, SAS_CLAIM_NO_ANSWER);
    case SAS_CLAIM_DONE_OK:
    case SAS_CLAIM_DONE_REFUSED:
        /* Refused: an earlier write of ours took effect, as only the holder
         * changes a held row. */
        return finish(c, SAS_CLAIM_PASS);
    case SAS_CLAIM_DONE_UNCONFIRMED:
        /* The caller is answered without waiting for the retries. */
        return retry_action(c, SAS_CLAIM_WRITE_DONE, SAS_CLAIM_PASS);
    case SAS_CLAIM_CALLER_GONE:
        c->answered = true;
        return step(c, SAS_CLAIM_WAIT, SAS_CLAIM_NO_ANSWER);
    default:
        return step(c, SAS_CLAIM_WAIT, SAS_CLAIM_NO_ANSWER);
    }
}

static struct sas_claim_step
on_releasing(struct sas_claim *c, enum sas_claim_event event,
             const struct sas_claim_row *row, const char *etag)
{
    switch (event) {
    case SAS_CLAIM_RELEASE_OK:
        return finish(c, SAS_CLAIM_NO_ANSWER);
    case SAS_CLAIM_RELEASE_UNCONFIRMED:
        return retry_action(c, SAS_CLAIM_RELEASE, SAS_CLAIM_NO_ANSWER);
    case SAS_CLAIM_RELEASE_REFUSED:
    case SAS_CLAIM_READ_FAILED:
        return retry_action(c, SAS_CLAIM_READ, SAS_CLAIM_NO_ANSWER);
    case SAS_CLAIM_ROW_FOUND:
        if (strcmp(row->token, c->row.token) == 0 &&
            row->state == SAS_CLAIM_HELD) {
            g_strlcpy(c->etag, etag, sizeof(c->etag));
            return release(c, SAS_CLAIM_NO_ANSWER);
        }
        return finish(c, SAS_CLAIM_NO_ANSWER);
    case SAS_CLAIM_ROW_ABSENT:
        c->etag[0] = '\0';
        return retry_action(c, SAS_CLAIM_RELEASE, SAS_CLAIM_NO_ANSWER);
    default:
        return step(c, SAS_CLAIM_WAIT, SAS_CLAIM_NO_ANSWER);
    }
}

/* Static helpers. */

/* Hashes the length first, so that "a" + "bc" differs from "ab" + "c". */
static void
add_field(XXH3_state_t *hash, const void *data, size_t size)
{
    uint64_t length = GUINT64_TO_LE((uint64_t)size);
    XXH3_128bits_update(hash, &length, sizeof(length));
    if (size > 0) {
        XXH3_128bits_update(hash, data, size);
    }
}

static void
write_hash(XXH3_state_t *hash, char text[SasClaim_HASH_SIZE])
{
    XXH128_canonical_t bytes;
    XXH128_canonicalFromHash(&bytes, XXH3_128bits_digest(hash));
    XXH3_freeState(hash);
    for (size_t i = 0; i < sizeof(bytes.digest); i++) {
        g_snprintf(text + 2 * i, 3, "%02x", bytes.digest[i]);
    }
}

static int
encode_bytes(json_t *object, const char *name, const void *data, size_t size)
{
    g_autofree char *text = g_base64_encode(data, size);
    return json_object_set_new(object, name, json_string(text));
}

/* NULL if absent. A zero byte follows the decoded bytes. */
static unsigned char *
decode_bytes(json_t *object, const char *name, size_t *size)
{
    const char *text = json_string_value(json_object_get(object, name));
    *size = 0;
    if (text == NULL) {
        return NULL;
    }
    g_autofree unsigned char *bytes = g_base64_decode(text, size);
    unsigned char *copy = g_malloc0(*size + 1);
    if (*size > 0) {
        memcpy(copy, bytes, *size);
    }
    return copy;
}

static int
copy_text(char *to, size_t size, const json_t *value)
{
    const char *text = json_string_value(value);
    if (text == NULL || strlen(text) >= size) {
        return -1;
    }
    g_strlcpy(to, text, size);
    return 0;
}
