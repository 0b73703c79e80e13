/* http_answer - what an HTTP/1.1 answer is, and where it ends.
 *
 * The only place that decides this; all that read answers use it by way of
 * sas/http.h. It reads bytes in pieces of any size and takes for an answer
 * what RFC 9110 and RFC 9112 allow: a status of 100 to 599, lines without
 * control bytes, names that are tokens, a body framed by its length, by chunks
 * or by the end of the connection. Anything else is broken: a server in
 * trouble has sent it, and nothing in it may be believed.
 *
 * Recipients may be lenient in some points. Here a line of the head may end
 * with LF alone (RFC 9112, 2.2), the blank before an empty reason phrase may
 * be missing (4), a folded line is joined by a blank (5.2), and the same
 * length may stand more than once (6.3). Not so where two readers could see
 * two bodies: a length beside a transfer coding, a blank before a colon,
 * chunks without CR LF.
 *
 * Source: RFC 9110 (8.6, 15), RFC 9112 (2 to 7, 9.3).
 */
#ifndef SAS_HTTP_ANSWER_H
#define SAS_HTTP_ANSWER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "sas/http_head.h"

/* Bytes that belong to somebody else. */
struct sas_http_bytes {
    const char *at;
    size_t size;
};

enum sas_http_answer_event {
    SAS_HTTP_ANSWER_MORE,    /* nothing else can be told from these bytes */
    SAS_HTTP_ANSWER_INTERIM, /* a 1xx answer; the next one is read now */
    SAS_HTTP_ANSWER_HEAD,    /* the head is complete */
    SAS_HTTP_ANSWER_BODY,    /* a part of the body */
    SAS_HTTP_ANSWER_END,     /* further bytes don't belong to the answer */
    SAS_HTTP_ANSWER_BROKEN,  /* no answer; see problem */
};

/* How the end of a body is found. */
enum sas_http_framing {
    SAS_HTTP_NO_BODY,
    SAS_HTTP_LENGTH,
    SAS_HTTP_CHUNKED,
    SAS_HTTP_CLOSE, /* by the end of the connection */
};

enum sas_http_answer_state {
    SAS_HTTP_AT_STATUS_LINE,
    SAS_HTTP_AT_FIELDS,
    SAS_HTTP_AT_BODY, /* of a length, or up to the connection's end */
    SAS_HTTP_AT_CHUNK_SIZE,
    SAS_HTTP_AT_CHUNK,
    SAS_HTTP_AT_CHUNK_CR,
    SAS_HTTP_AT_CHUNK_LF,
    SAS_HTTP_AT_TRAILERS,
    SAS_HTTP_AT_END,
    SAS_HTTP_AT_PROBLEM,
};

struct sas_http_answer {
    /* Valid from SAS_HTTP_ANSWER_HEAD on. */
    int status;
    struct sas_http_head head;
    enum sas_http_framing framing;
    bool keep_alive;     /* the connection stays open behind the answer */
    uint64_t left;       /* of a body with a length, or of a chunk, bytes */
    const char *problem; /* of a broken answer, else NULL */

    /* private */
    enum sas_http_answer_state state;
    bool to_head;      /* the request's method is HEAD */
    int minor_version; /* 0: HTTP/1.0 */
    GString *line;     /* the part of a line that has come */
    size_t line_bytes; /* of the lines of this head, or of these trailers */
};

/* Init allocates, Close frees. Begin expects an answer to a new request;
 * to_head: its method is HEAD. */
void SasHttpAnswer_Init(struct sas_http_answer *answer);
void SasHttpAnswer_Close(struct sas_http_answer *answer);
void SasHttpAnswer_Begin(struct sas_http_answer *answer, bool to_head);

/* Reads from *input, which then holds the rest, up to the next event; call it
 * until that is MORE, END or BROKEN. BODY sets *piece. */
enum sas_http_answer_event SasHttpAnswer_Read(struct sas_http_answer *answer,
                                              struct sas_http_bytes *input,
                                              struct sas_http_bytes *piece);

/* True until the head is complete. */
bool SasHttpAnswer_IsInHead(const struct sas_http_answer *answer);

/* Whether the answer is complete if the connection ends here, in order. */
bool SasHttpAnswer_MayEndHere(const struct sas_http_answer *answer);

#endif
