/* caller - the HTTP API of the caller port: lookups and requests.
 */
#ifndef SAS_CALLER_H
#define SAS_CALLER_H

#include "forward.h"
#include "h2o_server.h"
#include "router.h"

struct sas_caller;

struct sas_caller_options {
    uv_loop_t *loop;
    const struct sas_model *model;
    const struct sas_counters *counters;
    struct sas_router *router;
    struct sas_forward *forward;
    struct sas_h2o_server_limits limits;
};

struct sas_caller *SasCaller_Open(const struct sas_caller_options *options,
                                  const struct sas_address *address,
                                  struct sas_error *error);
void SasCaller_Close(struct sas_caller *caller);

/* Begins the shutdown: answers close their connections, health reports not
 * ready. */
void SasCaller_StartStopping(struct sas_caller *caller);

/* Refuses requests whose first byte arrives from now on, as not run. */
void SasCaller_RefuseRequests(struct sas_caller *caller);

/* Requests that are arriving or in progress, until h2o has sent the answer. */
int SasCaller_CountActive(const struct sas_caller *caller);

/* At the shutdown deadline: answers pending requests with the outcome
 * "unknown". Sending takes a turn of the loop. */
void SasCaller_FailPending(struct sas_caller *caller);

/* To be called repeatedly once none is active: stops listening. True when no
 * lingering close is in progress any more; then it also stops reading. */
bool SasCaller_End(struct sas_caller *caller);

#endif
