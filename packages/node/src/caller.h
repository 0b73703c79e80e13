/* caller - the task that owns the caller port: look-ups and requests.
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

/* Stopping: answers end their connections, health says not ready. */
void SasCaller_StartStopping(struct sas_caller *caller);

/* Requests that begin to arrive from now on are refused as not run. */
void SasCaller_RefuseRequests(struct sas_caller *caller);

/* Requests that are still arriving, and answers that are not yet with their
 * callers. */
int SasCaller_CountActive(const struct sas_caller *caller);

/* At a stop's limit: requests without an answer are ended, and their callers
 * told that they may have run. The answers need a turn of the loop. */
void SasCaller_FailPending(struct sas_caller *caller);

/* While none is active: takes no new connection. True once the last answers
 * have been left to their callers; from then on nothing more is read. */
bool SasCaller_End(struct sas_caller *caller);

#endif
