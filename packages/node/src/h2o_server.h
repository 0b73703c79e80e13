/* h2o_server - an HTTP/1.1 server on one port, by h2o on the libuv loop.
 *
 * Handlers are added before Listen and get requests with their whole body.
 * Limits: each body, the sum of all bodies in memory, the number of
 * connections, and the time that a sender may pause.
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
    h2o_handler_t base; /* first: h2o's vtable */
    int (*on_request)(struct sas_h2o_server_handler *handler, h2o_req_t *req);
    void *data;
};

struct sas_metrics;

struct sas_h2o_server_limits {
    size_t body_limit;   /* bytes, of one request's body */
    size_t bodies_limit; /* bytes, of all bodies in memory */
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

/* Runs the loop until the server's own handles are closed. Open connections
 * get a graceful shutdown by h2o; the server's memory then stays until the
 * process ends. */
void SasH2oServer_Close(struct sas_h2o_server *server);

/* Counts what no handler sees, with the label port="NAME":
 * sas_http_errors_total (malformed or too large requests, answered by h2o) and
 * sas_connections_refused_total (over max_connections). */
void SasH2oServer_RegisterCounters(struct sas_h2o_server *server,
                                   struct sas_metrics *metrics,
                                   const char *port);

/* Requests with bytes in memory: arriving or in progress. */
int SasH2oServer_CountRequests(struct sas_h2o_server *server);

/* Requests. */

/* A NUL-terminated copy in the request's memory. */
char *SasH2oServer_CopyText(h2o_req_t *req, h2o_iovec_t text);

/* A header's value or NULL; a query parameter's value, decoded, or NULL. */
const char *SasH2oServer_GetHeader(h2o_req_t *req, const char *name);
char *SasH2oServer_GetParameter(h2o_req_t *req, const char *name);

void SasH2oServer_AddHeader(h2o_req_t *req, const char *name,
                            const char *value);

/* Answers with a whole body. */
void SasH2oServer_Answer(h2o_req_t *req, int status, const char *content_type,
                         const char *body, size_t size);

/* The caller's IPv4 address in host byte order, 0 for other families; text
 * gets it in text form. */
uint32_t SasH2oServer_GetCallerIp(h2o_req_t *req, char *text,
                                  size_t text_size);

/* Closes the connection after the answer to this request, by a lingering
 * close: further input is discarded for a moment, so that the whole answer
 * reaches the caller. To be called before the answer is started. */
void SasH2oServer_CloseAfterAnswer(struct sas_h2o_server *server,
                                   h2o_req_t *req);

/* Connections in a lingering close. */
int SasH2oServer_CountLingering(const struct sas_h2o_server *server);

/* Stops reading on all connections. */
void SasH2oServer_StopReading(struct sas_h2o_server *server);

/* True when the caller has closed its connection. */
bool SasH2oServer_IsGone(h2o_req_t *req);

#endif
