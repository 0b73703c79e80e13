/* http - an HTTP/1.1 client on libuv and http-parser.
 *
 * One struct sas_http_conn is one TCP connection and carries one request at
 * a time: the request owns it until its answer is read in full. Whatever
 * comes after a whole answer closes the connection, so that no byte of one
 * answer reaches the reader of another.
 *
 * An answer counts as whole only when its own framing says so (length or
 * last chunk). One that is framed by the close of the connection ends with
 * whole == false.
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

/* Sent bytes that the peer's kernel has not acknowledged for so long end the
 * connection: three retransmissions of a busy link fit into it. */
#define SasHttp_UNACKED_LIMIT_MS 1500

/* For an answer that never stands still (pause_ms), from its first byte. */
#define SasHttp_ANSWER_LIMIT_MS 10000

struct sas_http_request {
    const char *method;
    const char *target;
    const char *host; /* NULL: the peer's address */
    const struct sas_http_header *headers;
    int header_count;
    const char *body; /* must stay until the request has ended */
    size_t body_size;
    /* 0: the timeout is for the whole answer. Else it is for its first byte,
     * and from then on the answer may stand still for so long. */
    int64_t pause_ms;
};

/* What is known when a request fails. */
struct sas_http_failure {
    struct sas_error error;
    bool sent;    /* at least one byte was handed to the kernel */
    bool written; /* the whole request was */
    bool begun;   /* at least one byte of the answer had come */
};

struct sas_http_conn;
struct sas_http_user;

/* The user of a connection's current request; embed it as first member. */
struct sas_http_user_vtable {
    void (*on_head)(struct sas_http_user *user, int status,
                    const struct sas_http_header *headers, int header_count);
    void (*on_body)(struct sas_http_user *user, const char *data, size_t size);
    /* The answer is over; the connection has no user any more. */
    void (*on_end)(struct sas_http_user *user, bool whole, bool reusable);
    /* The connection closes itself after this. */
    void (*on_fail)(struct sas_http_user *user,
                    const struct sas_http_failure *failure);
};

struct sas_http_user {
    const struct sas_http_user_vtable *vtable;
};

/* Who keeps the connection; told once when it begins to close, and before
 * that when it has been opened (on_opened may be NULL). */
struct sas_http_owner {
    void (*on_opened)(struct sas_http_owner *owner,
                      struct sas_http_conn *conn);
    void (*on_closed)(struct sas_http_owner *owner,
                      struct sas_http_conn *conn);
};

/* Opening and closing.
 * Connect begins at once; a failure is reported to the current user.
 * Close ends the current request without telling its user. */
struct sas_http_conn *SasHttp_Connect(uv_loop_t *loop,
                                      const struct sas_address *address,
                                      int64_t connect_timeout_ms,
                                      struct sas_http_owner *owner);
void SasHttp_Close(struct sas_http_conn *conn);

/* Sends a request; the connection must be idle or still connecting. */
void SasHttp_Send(struct sas_http_conn *conn,
                  const struct sas_http_request *request, int64_t timeout_ms,
                  struct sas_http_user *user);

/* From within on_head: this answer belongs to another request. It is dropped
 * and the next one on the connection is waited for. */
void SasHttp_SkipAnswer(struct sas_http_conn *conn);

/* Stops and restarts reading, to hold back a fast sender. */
void SasHttp_Pause(struct sas_http_conn *conn);
void SasHttp_Resume(struct sas_http_conn *conn);

/* State of a connection, times in loop milliseconds. IsIdle: a request may be
 * sent on it; the socket is asked whether its peer has closed it.
 * HadStrayBytes: bytes came that belong to no request. */
bool SasHttp_IsIdle(const struct sas_http_conn *conn);
bool SasHttp_HadStrayBytes(const struct sas_http_conn *conn);
int64_t SasHttp_GetOpenedAt(const struct sas_http_conn *conn);
int64_t SasHttp_GetLastReadAt(const struct sas_http_conn *conn);

/* A whole exchange on a loop of its own; blocks. On failure the code is
 * SAS_EUNAVAILABLE when nothing was sent, else SAS_ETIMEOUT or SAS_EIO. */
struct sas_http_response {
    int status;
    struct sas_http_header *headers;
    int header_count;
    char *body; /* ends with a NUL that is not counted */
    size_t body_size;
};

int SasHttp_Fetch(const struct sas_address *address,
                  const struct sas_http_request *request, int64_t timeout_ms,
                  struct sas_http_response *response, struct sas_error *error);
const char *SasHttp_GetHeader(const struct sas_http_response *response,
                              const char *name);
void SasHttp_FreeResponse(struct sas_http_response *response);

/* The usual reason phrase of a status. */
const char *SasHttp_GetReason(int status);

/* Fills in a socket address from a numeric one; -1 when it is not one. */
int SasHttp_GetSockaddr(const struct sas_address *address,
                        struct sockaddr_storage *out);

#endif
