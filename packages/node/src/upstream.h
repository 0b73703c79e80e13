/* upstream - the connections to backend servers, and what they say of their
 * load and health.
 *
 * One call is one request on one connection. A connection goes back to the
 * idle list only after a whole answer. Times are loop milliseconds.
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
    /* No byte of the answer for a while on a connection that was kept from
     * before, although a new connection to the same backend server works.
     * missing: the backend server states fewer requests than we have there.
     * Told again and again until the call is cancelled or answered. */
    void (*on_stall)(struct sas_upstream_call *call, bool unknown_to_server);
};

/* The caller embeds it as first member. */
struct sas_upstream_call {
    struct sas_http_user user;
    const struct sas_upstream_vtable *vtable;
    struct sas_upstream *upstream;
    struct sas_http_conn *conn;
    int backend;
    char request_id[SasUpstream_ID_SIZE]; /* set before Send */
    bool reused;
    bool head_seen;
    int64_t started_at;
};

/* A statement of a backend server about itself. */
struct sas_load_report {
    int running;
    int queued;
    int slots;
    bool leaving;
    char incarnation[SasModel_NAME_SIZE]; /* "" when not stated */
    int64_t asked_at; /* when the probe began; 0: not from a probe */
};

/* Who hears of load reports; embedded as first member. */
struct sas_upstream_listener {
    void (*on_load)(struct sas_upstream_listener *listener, int backend,
                    const struct sas_load_report *report);
    /* A connection could not be made, or was made again. */
    void (*on_health)(struct sas_upstream_listener *listener, int backend,
                      bool reachable);
};

struct sas_upstream *SasUpstream_Open(uv_loop_t *loop,
                                      const struct sas_model *model,
                                      const struct sas_counters *counters,
                                      struct sas_upstream_listener *listener);
/* All calls must have ended or been cancelled. */
void SasUpstream_Close(struct sas_upstream *upstream);

/* Sends a request. fresh: over a new connection (for what may not repeat). */
void SasUpstream_Send(struct sas_upstream *upstream, int backend,
                      const struct sas_http_request *request,
                      int64_t timeout_ms, bool new_connection,
                      const struct sas_upstream_vtable *vtable,
                      struct sas_upstream_call *call);

/* Ends a call; the backend server sees its connection close. */
void SasUpstream_Cancel(struct sas_upstream_call *call);

void SasUpstream_Pause(struct sas_upstream_call *call);
void SasUpstream_Resume(struct sas_upstream_call *call);

/* Asks a backend server for its load over a new or idle connection. */
void SasUpstream_Probe(struct sas_upstream *upstream, int backend);

#endif
