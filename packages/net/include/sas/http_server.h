/* http_server - an HTTP/1.1 server on libuv and http-parser.
 *
 * Requests that a caller sends behind one another on a connection are handed
 * out as soon as each is whole, so that they run side by side; their answers
 * go out in the order of the requests. Reading goes on while requests run,
 * so a caller that leaves is seen at once.
 *
 * A request is given out with its whole body in memory. One exchange is one
 * request and its answer. It belongs to the handler from on_request until
 * SasHttpExchange_Reply or on_abandoned, whichever comes first; an abandoned
 * exchange may still be read during the callback and not after it.
 *
 * What is wrong with a request is answered here: 400, 408 for a head that
 * comes too slowly, 413, 431, and 503 while the bodies of all connections
 * exceed their limit.
 *
 * Times are milliseconds of the loop's clock.
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

/* Requests of one connection that are read ahead of the oldest answer;
 * further ones wait in the socket. */
#define SasHttpServer_MAX_PIPELINE 32

struct sas_http_server;
struct sas_http_exchange;

struct sas_http_server_limits {
    size_t header_bytes;
    size_t body_bytes;   /* of one request */
    size_t bodies_bytes; /* of all requests that are being held */
    int64_t header_ms;   /* from the first byte of a request to its head */
    int64_t idle_ms;     /* between two requests, and without progress of an
                            answer that the caller reads; 0: for ever */
    int connections;
};

/* Why a connection ends. */
enum sas_http_end {
    SAS_HTTP_END_CALLER, /* the caller closed it, or it broke */
    SAS_HTTP_END_ANSWER, /* with an answer that says so */
    SAS_HTTP_END_IDLE,   /* no request for the idle limit */
    SAS_HTTP_END_SERVER, /* the server is being closed */
    SAS_HTTP_END_COUNT
};

/* What a connection that ends leaves undone. */
struct sas_http_leftover {
    enum sas_http_end end;
    int unanswered;      /* requests that the handler has */
    size_t unsent_bytes; /* of answers that still wait to be written */
    size_t unread_bytes; /* from the caller, in the socket, as far as looked;
                            0 where the caller ended the connection */
    int64_t idle_ms;     /* since the last byte was read or answer given */
};

/* Embed it as first member. */
struct sas_http_handler {
    void (*on_request)(struct sas_http_handler *handler,
                       struct sas_http_exchange *exchange);
    /* The connection has ended; NULL where the handler always replies at
     * once. */
    void (*on_abandoned)(struct sas_http_handler *handler,
                         struct sas_http_exchange *exchange,
                         enum sas_http_end end);
    /* Called before on_abandoned; NULL: nobody asks. */
    void (*on_closed)(struct sas_http_handler *handler,
                      const struct sas_http_leftover *leftover);
};

/* "caller", "answer", "idle" or "server". */
const char *SasHttp_GetEndName(enum sas_http_end end);

struct sas_http_reply {
    int status;
    const struct sas_http_header *headers; /* copied */
    int header_count;
    const char *body; /* copied */
    size_t body_size;
};

/* Opening and closing. Close lets open connections go without a word. */
struct sas_http_server *
SasHttpServer_Open(uv_loop_t *loop, const struct sas_address *address,
                   const struct sas_http_server_limits *limits,
                   struct sas_http_handler *handler, struct sas_error *error);
void SasHttpServer_Close(struct sas_http_server *server);

/* The port, also where the kernel chose it. */
int SasHttpServer_GetPort(const struct sas_http_server *server);

/* In force for requests that begin later. */
void SasHttpServer_SetLimits(struct sas_http_server *server,
                             const struct sas_http_server_limits *limits);

/* From now on every answer that nothing waits behind when it is sent closes
 * its connection, and nothing is given out behind it. So does a connection
 * that has been idle for idle_ms. New connections are still accepted: callers
 * may hold an older look-up. */
void SasHttpServer_Drain(struct sas_http_server *server, int64_t idle_ms);

/* Requests that have not been answered; open connections. */
int SasHttpServer_CountExchanges(const struct sas_http_server *server);
int SasHttpServer_CountConnections(const struct sas_http_server *server);

/* Connections on which something is still owed: a request that waits to be
 * read, is being read or has no answer, an answer whose last byte is not
 * written, an end that the caller has not seen. */
int SasHttpServer_CountBusy(const struct sas_http_server *server);

/* One request. */
const char *SasHttpExchange_GetMethod(const struct sas_http_exchange *e);
const char *SasHttpExchange_GetTarget(const struct sas_http_exchange *e);
const struct sas_http_header *
SasHttpExchange_GetHeaders(const struct sas_http_exchange *e, int *count);
const char *SasHttpExchange_FindHeader(const struct sas_http_exchange *e,
                                       const char *name);
const char *SasHttpExchange_GetBody(const struct sas_http_exchange *e,
                                    size_t *size);
/* When its first byte was read. */
int64_t SasHttpExchange_GetBeganAt(const struct sas_http_exchange *e);

/* The handler's own pointer. */
void SasHttpExchange_SetUser(struct sas_http_exchange *e, void *user);
void *SasHttpExchange_GetUser(const struct sas_http_exchange *e);

/* Answers; the exchange is the server's again. */
void SasHttpExchange_Reply(struct sas_http_exchange *e,
                           const struct sas_http_reply *reply);

/* The same for a short text of a media type; more is one header besides, or
 * NULL. */
void SasHttpExchange_ReplyText(struct sas_http_exchange *e, int status,
                               const char *type, const char *text,
                               const struct sas_http_header *more);

#endif
