/* http_server - an HTTP/1.1 server on libuv and http-parser.
 *
 * Pipelined requests are passed to the handler as soon as each is complete, so
 * that they run concurrently; their answers are sent in the order of the
 * requests. Reading continues while requests run or wait, so that a caller
 * that closes its connection is noticed at once, whatever it has sent before.
 *
 * An exchange is one request, with its whole body in memory, and its answer.
 * It belongs to the handler from on_request until SasHttpExchange_Reply or
 * on_abandoned, whichever comes first; an abandoned exchange may be read
 * during the callback and not after it.
 *
 * The server itself answers requests that it can't pass on, and closes their
 * connection: 400 (malformed), 408 (the head took longer than
 * header_timeout_ms), 413 (body_bytes exceeded), 431 (header_bytes or
 * SasHttp_MAX_HEADERS exceeded) and 503 with Retry-After: 1 (bodies_bytes or
 * SasHttpServer_MAX_AHEAD exceeded).
 *
 * Times are milliseconds of the loop's clock. The idle and header timeouts are
 * checked every 250 ms.
 */
#ifndef SAS_HTTP_SERVER_H
#define SAS_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#include "sas/error.h"
#include "sas/http_head.h"
#include "sas/model.h"

/* While a connection has this many exchanges, further requests wait; they are
 * read, so that the caller's leaving is seen behind them. Checked after each
 * read of up to 64 kB, so short pipelined requests may exceed it. */
#define SasHttpServer_MAX_PIPELINE 32

/* Memory of the requests that wait on a connection, bytes: over 1,000 small
 * ones. */
#define SasHttpServer_MAX_AHEAD (512 * 1024)

/* While more of its answers than this wait for the caller to read, bytes,
 * further requests of a connection wait too. */
#define SasHttpServer_MAX_UNSENT (256 * 1024)

struct sas_http_server;
struct sas_http_exchange;

struct sas_http_server_limits {
    size_t header_bytes; /* of the target; also of all names and values */
    size_t body_bytes;   /* of one request */
    size_t bodies_bytes; /* of all requests in memory, read ahead or not */
    /* Of the answers that callers have not read yet, outside the kernel. Past
     * it the connections with most of them are closed. 0: no limit. */
    size_t answers_bytes;
    /* From the first byte of a request to the end of its head. */
    int64_t header_timeout_ms;
    /* Between two requests, or while the caller reads nothing of an answer;
     * 0: no limit. */
    int64_t idle_timeout_ms;
    int connections; /* further ones are closed at once */
};

/* Why a connection closes. */
enum sas_http_close_reason {
    SAS_HTTP_CLOSE_CALLER, /* closed or reset by the caller, or failed */
    SAS_HTTP_CLOSE_ANSWER, /* after an answer with Connection: close */
    SAS_HTTP_CLOSE_IDLE, /* idle_timeout_ms, or idle_ms of a drain, is over */
    SAS_HTTP_CLOSE_SERVER, /* by SasHttpServer_Close */
    SAS_HTTP_CLOSE_MEMORY, /* answers_bytes is exceeded */
    SAS_HTTP_CLOSE_COUNT
};

/* What is unfinished when a connection closes. */
struct sas_http_close_stats {
    enum sas_http_close_reason end;
    int unanswered;      /* requests that the handler hasn't answered */
    size_t unsent_bytes; /* of answers, in this process and in the kernel up
                            to the caller's acknowledgement; 0 if the caller
                            closed the connection */
    size_t unread_bytes; /* in the socket, at most 1024 are counted; 0 with
                            SAS_HTTP_CLOSE_CALLER */
    int64_t idle_ms;     /* since bytes were read or an answer was sent */
};

/* Embed it as first member. */
struct sas_http_handler {
    void (*on_request)(struct sas_http_handler *handler,
                       struct sas_http_exchange *exchange);
    /* The connection closes before the answer. May be NULL if on_request
     * always replies. */
    void (*on_abandoned)(struct sas_http_handler *handler,
                         struct sas_http_exchange *exchange,
                         enum sas_http_close_reason end);
    /* Once for each accepted connection, before its on_abandoned; may be
     * NULL. */
    void (*on_closed)(struct sas_http_handler *handler,
                      const struct sas_http_close_stats *close_stats);
};

/* "caller", "answer", "idle", "server" or "memory". */
const char *SasHttp_GetCloseReasonName(enum sas_http_close_reason end);

struct sas_http_reply {
    int status;
    const struct sas_http_header *headers; /* copied */
    int header_count;
    const char *body; /* copied */
    size_t body_size;
};

/* Opens and closes a server; Open returns NULL on failure. Close closes all
 * connections at once, without answers to their requests. */
struct sas_http_server *
SasHttpServer_Open(uv_loop_t *loop, const struct sas_address *address,
                   const struct sas_http_server_limits *limits,
                   struct sas_http_handler *handler, struct sas_error *error);
void SasHttpServer_Close(struct sas_http_server *server);

/* The bound port, also if the address had port 0. */
int SasHttpServer_GetPort(const struct sas_http_server *server);

/* Applies at once, also to open connections and to requests that are being
 * read. */
void SasHttpServer_SetLimits(struct sas_http_server *server,
                             const struct sas_http_server_limits *limits);

/* Begins a graceful shutdown of the connections. From now on an answer closes
 * its connection unless a part of a further request has been read; bytes that
 * come later are discarded. Connections that are idle for idle_ms (0: no
 * limit) are closed. New ones are still accepted: callers may hold an older
 * lookup. */
void SasHttpServer_Drain(struct sas_http_server *server, int64_t idle_ms);

/* Exchanges: requests that are being read, unanswered, or whose answer waits
 * for the answer to an earlier request. Connections: open ones. */
int SasHttpServer_CountPending(const struct sas_http_server *server);
int SasHttpServer_CountConnections(const struct sas_http_server *server);

/* Bytes of answers that callers have not read yet, outside the kernel. */
size_t SasHttpServer_CountUnsent(const struct sas_http_server *server);

/* Connections with unfinished work: a request that is in the socket, being
 * read or unanswered, an answer that the caller hasn't acknowledged in full,
 * or a close that the caller hasn't answered with its own. */
int SasHttpServer_CountBusyConnections(const struct sas_http_server *server);

/* The request of an exchange; all pointers are valid as long as it is. */
const char *SasHttpExchange_GetMethod(const struct sas_http_exchange *e);
const char *SasHttpExchange_GetTarget(const struct sas_http_exchange *e);
const struct sas_http_header *
SasHttpExchange_GetHeaders(const struct sas_http_exchange *e, int *count);
const char *SasHttpExchange_FindHeader(const struct sas_http_exchange *e,
                                       const char *name);
const char *SasHttpExchange_GetBody(const struct sas_http_exchange *e,
                                    size_t *size);
/* When the first byte of the request was read from the socket. */
int64_t SasHttpExchange_GetReceivedAt(const struct sas_http_exchange *e);

/* A pointer of the handler's own, initially NULL. */
void SasHttpExchange_SetUser(struct sas_http_exchange *e, void *user);
void *SasHttpExchange_GetUser(const struct sas_http_exchange *e);

/* Answers the request; the handler must not use the exchange afterwards.
 * Content-Length is added, except with status 204 and 304; an answer to HEAD
 * is sent without the body. */
void SasHttpExchange_Reply(struct sas_http_exchange *e,
                           const struct sas_http_reply *reply);

/* Answers with a NUL-terminated text of a media type; more is an additional
 * header or NULL. */
void SasHttpExchange_ReplyText(struct sas_http_exchange *e, int status,
                               const char *type, const char *text,
                               const struct sas_http_header *more);

#endif
