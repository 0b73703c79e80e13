/* claim - requests that run at most once.
 *
 * A row in the platform's table is claimed before the first byte of such a
 * request leaves. The driver here is one attempt of one request at one node:
 * the caller of these functions does what a step says (write or read the
 * row, send the request, answer the caller) and reports what came of it as
 * the next event. The driver does no I/O.
 *
 * Rows are only ever changed by compare-and-swap on their ETag:
 *
 *   (absent) --insert--> held --write done--> done
 *                         | ^
 *                 release v | insert by another attempt
 *                       released
 *
 * A claim never lapses: while the holder is dead or paused everybody else is
 * told that the outcome is unknown. Only the attempt that holds the row may
 * release it, and only when nothing of the request ran. Each attempt has a
 * token of its own, so no row content ever comes back and a late write with
 * an old ETag is refused, also when ETags are hashes of the content. Reads
 * may be stale: they decide nothing that a compare-and-swap does not check.
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
#define SasClaim_MAX_INLINE (64 * 1024) /* larger bodies go to an object */
#define SasClaim_MAX_INSERTS 3          /* of one attempt */
#define SasClaim_MAX_REPEATS 10         /* of a lost release or done write */
#define SasClaim_REPEAT_MS 500          /* first pause, doubles */
#define SasClaim_RETRY_AFTER_S 2

enum sas_claim_row_state {
    SAS_CLAIM_HELD,
    SAS_CLAIM_DONE,
    SAS_CLAIM_RELEASED
};

/* A row; all pointers belong to it (GLib), NULL where there is nothing. */
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
    char *object;   /* where the body is instead */
    bool body_lost; /* it ran, its body could not be kept */
};

enum sas_claim_event {
    SAS_CLAIM_START,
    SAS_CLAIM_INSERT_OK,      /* with the new ETag */
    SAS_CLAIM_INSERT_REFUSED, /* 412: the row is not as expected */
    SAS_CLAIM_INSERT_LOST,    /* it may or may not take effect */
    SAS_CLAIM_INSERT_FAILED,  /* store unavailable, nothing was sent to it */
    SAS_CLAIM_ROW_FOUND,      /* with row and ETag */
    SAS_CLAIM_ROW_ABSENT,
    SAS_CLAIM_READ_FAILED,
    SAS_CLAIM_FIRST_BYTE,   /* reported before the byte leaves */
    SAS_CLAIM_NOT_SENT,     /* gave up before the first byte */
    SAS_CLAIM_SHED,         /* the backend server said that it did not run */
    SAS_CLAIM_ANSWER_WHOLE, /* after SasClaim_SetAnswer */
    SAS_CLAIM_ANSWER_LOST,  /* cut, timed out, connection gone */
    SAS_CLAIM_CALLER_GONE,
    SAS_CLAIM_OBJECT_OK,
    SAS_CLAIM_OBJECT_FAILED,
    SAS_CLAIM_DONE_OK,
    SAS_CLAIM_DONE_REFUSED,
    SAS_CLAIM_DONE_LOST,
    SAS_CLAIM_RELEASE_OK,
    SAS_CLAIM_RELEASE_REFUSED,
    SAS_CLAIM_RELEASE_LOST
};

enum sas_claim_action {
    SAS_CLAIM_WAIT,         /* nothing to do but report the next event */
    SAS_CLAIM_INSERT,       /* write the row if it matches */
    SAS_CLAIM_READ,         /* read the row */
    SAS_CLAIM_SEND,         /* choose a backend server and send */
    SAS_CLAIM_WRITE_OBJECT, /* write the answer's body to row.object */
    SAS_CLAIM_WRITE_DONE,   /* write the row if it matches */
    SAS_CLAIM_RELEASE,      /* write the row if it matches */
    SAS_CLAIM_FINISH        /* the attempt is over */
};

enum sas_claim_answer {
    SAS_CLAIM_NO_ANSWER,  /* not yet, or it was given before */
    SAS_CLAIM_NOT_RUN,    /* with Retry-After */
    SAS_CLAIM_UNKNOWN,    /* with Retry-After */
    SAS_CLAIM_RAN,        /* it ran, its answer could not be kept */
    SAS_CLAIM_PASS,       /* the backend server's answer */
    SAS_CLAIM_REPLAY,     /* the answer in the row of this event */
    SAS_CLAIM_OTHER_BODY, /* the key was used for another request */
    SAS_CLAIM_COLLISION   /* not run: another caller's key has this hash */
};

/* What to do now. An answer goes to the caller at once, before the action is
 * done; each attempt gives one answer. */
struct sas_claim_step {
    enum sas_claim_action action;
    enum sas_claim_answer answer;
    int64_t pause_ms; /* before the action */
    int retry_after_s;
    /* INSERT, WRITE_DONE, RELEASE: the ETag to match, "" for "no row". */
    const char *etag;
};

enum sas_claim_state {
    SAS_CLAIM_NEW,
    SAS_CLAIM_INSERTING,
    SAS_CLAIM_READING,
    SAS_CLAIM_CLAIMED, /* held, nothing sent */
    SAS_CLAIM_SENT,    /* it may have run */
    SAS_CLAIM_KEEPING, /* writing the outcome */
    SAS_CLAIM_LEAVING, /* never sends again; frees the row if it is ours */
    SAS_CLAIM_FINISHED
};

struct sas_claim {
    enum sas_claim_state state;
    struct sas_claim_row row; /* as it is to be written next */
    char row_key[SasClaim_ROW_KEY_SIZE];
    char etag[SasClaim_ETAG_SIZE];
    int inserts;
    int repeats;
    bool answered;
};

/* Key of the row: "claim/SERVICE/HASH", of service, caller and key. */
void SasClaim_GetRowKey(const char *service, const char *caller,
                        const char *key, char row_key[SasClaim_ROW_KEY_SIZE]);

/* Digest of the request, to tell another request under the same key. */
void SasClaim_GetDigest(const char *method, const char *target,
                        const void *body, size_t size,
                        char digest[SasClaim_HASH_SIZE]);

/* Prepares an attempt; the token is unique to it. -1: caller or key is not
 * UTF-8. SasClaim_Free releases what it holds. */
int SasClaim_Init(struct sas_claim *c, const char *service, const char *caller,
                  const char *key, const char *digest, const char *token,
                  struct sas_error *error);
void SasClaim_Free(struct sas_claim *c);

/* The next step. row and etag as the event says, otherwise NULL. Events that
 * do not fit the state (late answers) change nothing. */
struct sas_claim_step SasClaim_Handle(struct sas_claim *c,
                                      enum sas_claim_event event,
                                      const struct sas_claim_row *row,
                                      const char *etag);

/* Copies the whole answer, before SAS_CLAIM_ANSWER_WHOLE. */
void SasClaim_SetAnswer(struct sas_claim *c, int status, const char *headers,
                        const void *body, size_t size);

/* JSON of a row; g_free. Decode fills *row; SasClaim_FreeRow. */
char *SasClaim_EncodeRow(const struct sas_claim_row *row);
int SasClaim_DecodeRow(const char *text, struct sas_claim_row *row,
                       struct sas_error *error);
void SasClaim_FreeRow(struct sas_claim_row *row);

/* Counter label of an answer, for example "not-run". */
const char *SasClaim_GetAnswerName(enum sas_claim_answer answer);

#endif
