/* server - an h2o server on one port of the loop.
 *
 * Handlers are added before Listen. HTTP/1.1 only; request bodies arrive
 * whole and bounded, the sum of all bodies held is bounded too, connections
 * are bounded, and a sender that takes too long is cut off.
 */
#ifndef SAS_H2O_SERVER_H
#define SAS_H2O_SERVER_H

#include <stdbool.h>
#include <stddef.h>

#include <uv.h>

#include <h2o.h>

#include "sas/error.h"
#include "sas/http.h"
#include "sas/model.h"

struct sas_h2o_server;

/* A handler for a path and everything below it. */
struct sas_h2o_server_handler {
    h2o_handler_t base; /* first: h2o's own vtable */
    int (*on_request)(struct sas_h2o_server_handler *handler, h2o_req_t *req);
    void *data;
};

struct sas_metrics;

struct sas_h2o_server_limits {
    size_t body_limit;   /* one request's body, bytes */
    size_t bodies_limit; /* all bodies held, bytes */
    int max_connections;
};

struct sas_h2o_server *
SasH2oServer_Open(uv_loop_t *loop, const struct sas_h2o_server_limits *limits);
void SasH2oServer_AddHandler(struct sas_h2o_server *server, const char *path,
                             int (*on_request)(struct sas_h2o_server_handler *,
                                               h2o_req_t *),
                             void *data);
int SasH2oServer_Listen(struct sas_h2o_server *server,
                        const struct sas_address *address,
                        struct sas_error *error);
void SasH2oServer_StopListening(struct sas_h2o_server *server);

/* The loop must run once more afterwards; all connections are closed. */
void SasH2oServer_Close(struct sas_h2o_server *server);

/* Counts what the server refuses by itself: sas_http_errors_total (answers
 * to what is no request, or too large) and sas_connections_refused_total
 * (over max_connections), with the label port="NAME". */
void SasH2oServer_RegisterCounters(struct sas_h2o_server *server,
                                   struct sas_metrics *metrics,
                                   const char *port);

/* Requests of which some bytes are held: still arriving, or in progress. */
int SasH2oServer_CountRequests(struct sas_h2o_server *server);

/* Requests. */

/* A copy with an ending NUL in the request's own memory. */
char *SasH2oServer_CopyText(h2o_req_t *req, h2o_iovec_t text);

/* A header's value or NULL; a query parameter's value, decoded, or NULL. */
const char *SasH2oServer_GetHeader(h2o_req_t *req, const char *name);
char *SasH2oServer_GetParameter(h2o_req_t *req, const char *name);

void SasH2oServer_AddHeader(h2o_req_t *req, const char *name,
                            const char *value);

/* Answers with a text of this content type. */
void SasH2oServer_Answer(h2o_req_t *req, int status, const char *content_type,
                         const char *body, size_t size);

/* The caller's IPv4 address in host byte order, 0 when it is another. */
uint32_t SasH2oServer_GetCallerIp(h2o_req_t *req, char *text,
                                  size_t text_size);

/* The answer to this request is the last one on its connection. What its
 * caller sends behind the request is read away for a moment, so that the whole
 * answer reaches it. Before the answer is begun. */
void SasH2oServer_CloseAfterAnswer(struct sas_h2o_server *server,
                                   h2o_req_t *req);

/* Connections that are being closed so. */
int SasH2oServer_CountLingering(const struct sas_h2o_server *server);

/* Nothing more is read, whatever the loop does before it ends. */
void SasH2oServer_StopReading(struct sas_h2o_server *server);

/* True when the other end has closed its connection. */
bool SasH2oServer_IsGone(h2o_req_t *req);

#endif
