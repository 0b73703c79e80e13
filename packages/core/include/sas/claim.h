/* claim - at-most-once execution of requests with an idempotency key.
 *
 * Before the first byte of such a request is sent, a row of the platform's
 * table is claimed. struct sas_claim is a state machine without I/O for one
 * attempt of one request at one entry VM: the user of these functions performs
 * the action of each step (write or read the row, send the request), answers
 * the caller as the step says, and passes the result as the next event.
 *
 * Rows are only changed by compare-and-swap on their ETag:
 *
 *   (absent) --insert--> held --write done--> done
 *                         | ^
 *                 release v | insert by another attempt
 *                       released
 *
 * A claim never expires: while its holder is dead or paused, other attempts
 * are told that the outcome is unknown. A held row is only released by the
 * attempt that holds it, and only if the request has not run. Each attempt has
 * its own token, so the content of a row never recurs, and a late write with
 * an old ETag is refused, also if ETags are hashes of the content. Reads may
 * be stale: they decide nothing that a compare-and-swap doesn't check.
 */
#ifndef SAS_CLAIM_H
#define SAS_CLAIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "sas/error.h"

#define SasClaim_TOKEN_SIZE 40
#define SasClaim_HASH_SIZE 33 /* 128 bits in hexadecimal */
#define SasClaim_ROW_KEY_SIZE 96
#define SasClaim_ETAG_SIZE 80
#define SasClaim_MAX_INLINE (64 * 1024) /* bytes; larger bodies: an object */
#define SasClaim_MAX_INSERTS 3          /* of one attempt */
/* retries to write the outcome or release */
#define SasClaim_MAX_WRITE_RETRIES 10
#define SasClaim_WRITE_RETRY_MS 500 /* first backoff of those, doubles */
#define SasClaim_RETRY_AFTER_S 2

enum sas_claim_row_state {
    SAS_CLAIM_HELD,
    SAS_CLAIM_DONE,
    SAS_CLAIM_RELEASED
};

/* A row. It owns what its pointers refer to (GLib); NULL: none. */
struct sas_claim_row {
    enum sas_claim_row_state state;
    char token[SasClaim_TOKEN_SIZE]; /* of the attempt that wrote it */
    char digest[SasClaim_HASH_SIZE]; /* of the request */
    char *service;
    char *caller;
    char *key;
    /* When done: */
    int status;
    char *headers; /* "Name: value\r\n" lines */
    unsigned char *body;
    size_t body_size;
    char *object;   /* key of the object that holds the body instead */
    bool body_lost; /* the body could not be stored */
};

enum sas_claim_event {
    SAS_CLAIM_START,
    SAS_CLAIM_INSERT_OK,          /* with the new ETag */
    SAS_CLAIM_INSERT_REFUSED,     /* 412: the row is not as expected */
    SAS_CLAIM_INSERT_UNCONFIRMED, /* no answer: it may yet take effect */
    SAS_CLAIM_INSERT_FAILED,      /* store unavailable, not sent */
    SAS_CLAIM_ROW_FOUND,          /* with row and ETag */
    SAS_CLAIM_ROW_ABSENT,
    SAS_CLAIM_READ_FAILED,
    SAS_CLAIM_FIRST_BYTE,   /* reported before the byte is sent */
    SAS_CLAIM_NOT_SENT,     /* the request was given up before that */
    SAS_CLAIM_SHED,         /* the backend server reports that it didn't run */
    SAS_CLAIM_ANSWER_WHOLE, /* complete; after SasClaim_SetAnswer */
    SAS_CLAIM_ANSWER_LOST,  /* broken off, timed out or connection lost */
    SAS_CLAIM_CALLER_GONE,  /* the caller has disconnected */
    SAS_CLAIM_OBJECT_OK,
    SAS_CLAIM_OBJECT_FAILED,
    SAS_CLAIM_DONE_OK, /* this and the next as for INSERT */
    SAS_CLAIM_DONE_REFUSED,
    SAS_CLAIM_DONE_UNCONFIRMED,
    SAS_CLAIM_RELEASE_OK,
    SAS_CLAIM_RELEASE_REFUSED,
    SAS_CLAIM_RELEASE_UNCONFIRMED
};

enum sas_claim_action {
    SAS_CLAIM_WAIT,         /* for the next event */
    SAS_CLAIM_INSERT,       /* write the row if it matches the ETag */
    SAS_CLAIM_READ,         /* read the row */
    SAS_CLAIM_SEND,         /* choose a backend server and send */
    SAS_CLAIM_WRITE_OBJECT, /* write the answer's body to row.object */
    SAS_CLAIM_WRITE_DONE,   /* write the row if it matches the ETag */
    SAS_CLAIM_RELEASE,      /* write the row if it matches the ETag */
    SAS_CLAIM_FINISH        /* the attempt is over */
};

enum sas_claim_answer {
    SAS_CLAIM_NO_ANSWER,  /* not yet, or already given */
    SAS_CLAIM_NOT_RUN,    /* with Retry-After */
    SAS_CLAIM_UNKNOWN,    /* whether it ran; with Retry-After */
    SAS_CLAIM_RAN,        /* it ran, its answer could not be stored */
    SAS_CLAIM_PASS,       /* the backend server's answer */
    SAS_CLAIM_REPLAY,     /* the answer in the row of this event */
    SAS_CLAIM_OTHER_BODY, /* the key was used for another request */
    SAS_CLAIM_COLLISION   /* not run: another caller's key has this hash */
};

/* What to do now. The answer goes to the caller before the action is
 * performed; each attempt gives one answer. */
struct sas_claim_step {
    enum sas_claim_action action;
    enum sas_claim_answer answer;
    int64_t pause_ms; /* before the action */
    int retry_after_s;
    /* INSERT, WRITE_DONE, RELEASE: the ETag to match, "" for an absent row. */
    const char *etag;
};

enum sas_claim_state {
    SAS_CLAIM_NEW,
    SAS_CLAIM_INSERTING,
    SAS_CLAIM_READING,
    SAS_CLAIM_CLAIMED,   /* row held, request not sent */
    SAS_CLAIM_SENT,      /* the request may have run */
    SAS_CLAIM_SAVING,    /* writing the outcome */
    SAS_CLAIM_RELEASING, /* never sends; releases the row if it holds it */
    SAS_CLAIM_FINISHED
};

struct sas_claim {
    enum sas_claim_state state;
    struct sas_claim_row row; /* content of the next write */
    char row_key[SasClaim_ROW_KEY_SIZE];
    char etag[SasClaim_ETAG_SIZE];
    int inserts;
    int write_retries;
    bool answered;
};

/* Fills in the row's key, "claim/SERVICE/HASH", with a hash of service, caller
 * and key. */
void SasClaim_GetRowKey(const char *service, const char *caller,
                        const char *key, char row_key[SasClaim_ROW_KEY_SIZE]);

/* Fills in the digest of the request, by which another request with the same
 * key is detected. */
void SasClaim_GetDigest(const char *method, const char *target,
                        const void *body, size_t size,
                        char digest[SasClaim_HASH_SIZE]);

/* Prepares an attempt; the token must be unique to it. -1: service, caller or
 * key is not UTF-8. SasClaim_Free frees what it owns. */
int SasClaim_Init(struct sas_claim *c, const char *service, const char *caller,
                  const char *key, const char *digest, const char *token,
                  struct sas_error *error);
void SasClaim_Free(struct sas_claim *c);

/* Applies an event and returns the next step. row and etag as the event says,
 * otherwise NULL. Events that don't apply to the state (late answers) change
 * nothing. */
struct sas_claim_step SasClaim_Handle(struct sas_claim *c,
                                      enum sas_claim_event event,
                                      const struct sas_claim_row *row,
                                      const char *etag);

/* Copies the backend server's answer, before SAS_CLAIM_ANSWER_WHOLE. */
void SasClaim_SetAnswer(struct sas_claim *c, int status, const char *headers,
                        const void *body, size_t size);

/* JSON of a row: EncodeRow's result is freed with g_free, NULL if it can't be
 * encoded. DecodeRow fills *row, to be freed with SasClaim_FreeRow; -1: not a
 * valid row. */
char *SasClaim_EncodeRow(const struct sas_claim_row *row);
int SasClaim_DecodeRow(const char *text, struct sas_claim_row *row,
                       struct sas_error *error);
void SasClaim_FreeRow(struct sas_claim_row *row);

/* Counter label of an answer, such as "not-run". */
const char *SasClaim_GetAnswerName(enum sas_claim_answer answer);

#endif
