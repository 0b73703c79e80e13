/* http - an HTTP/1.1 client on libuv. What an answer is: sas/http_answer.h.
 *
 * A struct sas_http_conn is one TCP connection. It carries one request at a
 * time, without pipelining. Bytes after the end of an answer close the
 * connection, so that they can't be taken for a part of the next answer.
 *
 * A connection that closes before the answer has ended is reset: the peer gets
 * nothing more of a request that was given up. That holds also if the process
 * is killed.
 *
 * An answer is whole only if its length or its last chunk shows it. A
 * close-delimited answer (RFC 9112, 6.3) ends with whole == false. Bytes that
 * are no answer fail the request with SAS_EIO at "http.parse"; on_head may
 * have been called, and what it was told is not to be believed.
 */
#ifndef SAS_HTTP_H
#define SAS_HTTP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#include "sas/error.h"
#include "sas/http_head.h"
#include "sas/model.h"

/* TCP_USER_TIMEOUT: a connection fails when sent bytes stay unacknowledged for
 * this time. Leaves time for three retransmissions on a busy link. */
#define SasHttp_UNACKED_TIMEOUT_MS 1500

/* Limit for a whole answer from its first byte; only with stall_timeout_ms. */
#define SasHttp_MAX_ANSWER_MS 10000

struct sas_http_request {
    const char *method;
    const char *target;
    const char *host; /* NULL: the peer's address and port */
    const struct sas_http_header *headers;
    int header_count;
    const char *body; /* not copied; must stay valid until the request ends */
    size_t body_size;
    /* 0: timeout_ms limits the time to the end of the answer. Else timeout_ms
     * limits the time to its first byte, and stall_timeout_ms every time
     * without new bytes after that. */
    int64_t stall_timeout_ms;
    /* Not 0: fails with SAS_ECAPACITY if the answer, with all that comes
     * before it, has more bytes, or gets nowhere (see sas/answer_pace.h). */
    size_t max_answer_bytes;
};

/* Interim answers, and answers to other requests, that may come before a
 * request's own where max_answer_bytes is set. */
#define SasHttp_MAX_OTHER_ANSWERS 16

/* Why a request failed and how far it had come. */
struct sas_http_failure {
    struct sas_error error;
    bool sent;    /* the write has begun: the peer may have got a part */
    bool written; /* the write has ended, perhaps with an error */
    bool begun;   /* at least one byte of the answer has come */
};

struct sas_http_conn;
struct sas_http_listener;

/* Callbacks for the answer to a connection's current request. Either on_end or
 * on_fail is the last one. Embed struct sas_http_listener as first member. */
struct sas_http_listener_vtable {
    void (*on_head)(struct sas_http_listener *listener, int status,
                    const struct sas_http_header *headers, int header_count);
    void (*on_body)(struct sas_http_listener *listener, const char *data,
                    size_t size);
    /* The answer has ended and the connection has no listener any more. If it
     * is reusable the next request may be sent from here, else it is
     * closed. */
    void (*on_end)(struct sas_http_listener *listener, bool whole,
                   bool reusable);
    /* The connection is closed already. */
    void (*on_fail)(struct sas_http_listener *listener,
                    const struct sas_http_failure *failure);
};

struct sas_http_listener {
    const struct sas_http_listener_vtable *vtable;
};

/* Callbacks for a connection's own events. on_opened: it is established; may
 * be NULL. on_closed: it begins to close; called exactly once. */
struct sas_http_conn_listener {
    void (*on_opened)(struct sas_http_conn_listener *owner,
                      struct sas_http_conn *conn);
    void (*on_closed)(struct sas_http_conn_listener *owner,
                      struct sas_http_conn *conn);
};

/* Opens and closes a connection.
 * Connect returns at once and never NULL; a failure to connect is reported by
 * on_fail of the current request. owner may be NULL.
 * Close drops the current request without a callback to its listener; the
 * memory is freed later by the loop. */
struct sas_http_conn *SasHttp_Connect(uv_loop_t *loop,
                                      const struct sas_address *address,
                                      int64_t connect_timeout_ms,
                                      struct sas_http_conn_listener *owner);
void SasHttp_Close(struct sas_http_conn *conn);

/* Sends a request; the connection must be idle or still connecting. timeout_ms
 * (at least 1) counts from the start of the write. */
void SasHttp_Send(struct sas_http_conn *conn,
                  const struct sas_http_request *request, int64_t timeout_ms,
                  struct sas_http_listener *listener);

/* Call from on_head: this answer belongs to another request. Its body is
 * discarded and on_head is called again for the next answer. */
void SasHttp_SkipAnswer(struct sas_http_conn *conn);

/* Stops and restarts reading (backpressure on a fast sender). The timeout of
 * the request keeps running. */
void SasHttp_Pause(struct sas_http_conn *conn);
void SasHttp_Resume(struct sas_http_conn *conn);

/* State of a connection; times in milliseconds of the loop's clock.
 * IsIdle: a request may be sent. False if the socket already holds unread
 * bytes or a close of the peer.
 * HadUnexpectedBytes: bytes came that belong to no request. */
bool SasHttp_IsIdle(const struct sas_http_conn *conn);
bool SasHttp_HadUnexpectedBytes(const struct sas_http_conn *conn);
int64_t SasHttp_GetOpenedAt(const struct sas_http_conn *conn);
int64_t SasHttp_GetLastReadAt(const struct sas_http_conn *conn);

/* The answer that SasHttp_Fetch returns. */
struct sas_http_response {
    int status;
    struct sas_http_header *headers;
    int header_count;
    char *body; /* NUL-terminated; body_size doesn't count the NUL */
    size_t body_size;
};

/* Sends one request on a connection and a loop of its own; blocks. Each of
 * connecting and answering may take timeout_ms. Returns -1 on failure:
 * SAS_EUNAVAILABLE if nothing was sent, else SAS_ETIMEOUT or SAS_EIO. On
 * success free the response with FreeResponse. GetHeader: NULL when absent;
 * names ignore case. */
int SasHttp_Fetch(const struct sas_address *address,
                  const struct sas_http_request *request, int64_t timeout_ms,
                  struct sas_http_response *response, struct sas_error *error);
const char *SasHttp_GetHeader(const struct sas_http_response *response,
                              const char *name);
void SasHttp_FreeResponse(struct sas_http_response *response);

/* The reason phrase of a status code (RFC 9110, 15). */
const char *SasHttp_GetReasonPhrase(int status);

/* Converts a numeric IPv4 or IPv6 address; -1 if it isn't one. */
int SasHttp_GetSockaddr(const struct sas_address *address,
                        struct sockaddr_storage *out);

#endif
