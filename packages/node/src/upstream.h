/* upstream - connections to backend servers, and the servers' load and health.
 *
 * One call is one request on one connection. A connection becomes idle, and
 * may be reused, only after an answer that was framed to its end. Times are
 * loop milliseconds.
 */
#ifndef SAS_UPSTREAM_H
#define SAS_UPSTREAM_H

#include <stdbool.h>

#include "refusal.h"
#include "sas/http.h"

#define SasUpstream_ID_SIZE 96

struct sas_upstream;
struct sas_upstream_call;

struct sas_upstream_vtable {
    void (*on_head)(struct sas_upstream_call *call, int status,
                    const struct sas_http_header *headers, int header_count);
    void (*on_body)(struct sas_upstream_call *call, const char *data,
                    size_t size);
    void (*on_end)(struct sas_upstream_call *call, bool whole);
    void (*on_fail)(struct sas_upstream_call *call,
                    const struct sas_http_failure *failure);
    /* No byte of the answer for SasUpstream_STALL_MS on a reused connection,
     * while a newer one to the same backend server works. unknown_to_server:
     * the server reports fewer requests than this node has in flight there.
     * Repeated at each sweep until the call is cancelled or answered. */
    void (*on_stall)(struct sas_upstream_call *call, bool unknown_to_server);
};

/* A backend server's report of its own load. */
struct sas_load_report {
    int running;
    int queued;
    int slots;
    bool leaving;
    char incarnation[SasModel_NAME_SIZE]; /* "" when not reported */
    int64_t asked_at; /* start of the probe; 0: from an answer's header */
};

/* Embedded in the owner's struct. */
struct sas_upstream_call {
    struct sas_http_listener http_listener;
    const struct sas_upstream_vtable *vtable;
    struct sas_upstream *upstream;
    struct sas_http_conn *conn;
    int backend;
    char request_id[SasUpstream_ID_SIZE]; /* set before Send */
    bool reused;
    bool head_seen;
    bool reported; /* the answer's head has a report */
    struct sas_load_report report;
    int64_t started_at;
    int64_t head_at;
};

/* Receives load and health updates; embedded in the owner's struct. */
struct sas_upstream_listener {
    void (*on_load)(struct sas_upstream_listener *listener, int backend,
                    const struct sas_load_report *report);
    /* reachable: an answer came. Else no byte of a request could be sent, or a
     * probe failed. */
    void (*on_health)(struct sas_upstream_listener *listener, int backend,
                      bool reachable);
};

struct sas_upstream *SasUpstream_Open(uv_loop_t *loop,
                                      const struct sas_model *model,
                                      const struct sas_counters *counters,
                                      struct sas_upstream_listener *listener);
/* All calls must have ended or been cancelled. */
void SasUpstream_Close(struct sas_upstream *upstream);

/* Sends a request. new_connection: does not reuse an idle one, for requests
 * that must not be retried. */
void SasUpstream_Send(struct sas_upstream *upstream, int backend,
                      const struct sas_http_request *request,
                      int64_t timeout_ms, bool new_connection,
                      const struct sas_upstream_vtable *vtable,
                      struct sas_upstream_call *call);

/* Ends a call by closing its connection. */
void SasUpstream_Cancel(struct sas_upstream_call *call);

void SasUpstream_Pause(struct sas_upstream_call *call);
void SasUpstream_Resume(struct sas_upstream_call *call);

/* Requests a backend server's load over a new connection. */
void SasUpstream_Probe(struct sas_upstream *upstream, int backend);

#endif
