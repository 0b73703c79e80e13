/* client - calls to the admin API of several nodes.
 *
 * A call goes to one node after the other until a response is conclusive. For
 * a read any status below 500 is. A write carries an operation id, so a retry
 * at the next node is idempotent; once it may have taken effect at an earlier
 * node, only status 200 is conclusive, and a refusal ends the call with
 * SAS_ETIMEOUT.
 */
#ifndef SAS_CTL_CLIENT_H
#define SAS_CTL_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "sas/error.h"
#include "sas/http.h"

#define SasClient_CALL_TIMEOUT_MS 10000
#define SasClient_MAX_NAME_LENGTH 64

struct sas_client {
    GArray *nodes;       /* struct sas_address */
    char *token;         /* not released by Clear; NULL: none is sent */
    char *operator_name; /* who gives the orders, recorded with each version */
};

struct sas_call {
    const char *method;
    const char *target;    /* path and query */
    const char *operation; /* a write's operation id; NULL for a read */
    const char *if_match;  /* ETag of the version it was made from, or NULL */
    const char *body;      /* a sheet, or NULL */
    int64_t timeout_ms;    /* for each node; 0: SasClient_CALL_TIMEOUT_MS */
};

/* Adds "IP:PORT", or "[IP]:PORT" for IPv6. SAS_EINVAL for anything else. */
int SasClient_AddNode(struct sas_client *client, const char *text,
                      struct sas_error *error);
void SasClient_Clear(struct sas_client *client);

/* True for 1 to 64 of A-Z a-z 0-9 . _ -, which the admin API accepts as an
 * operation id or an operator. */
bool SasClient_IsName(const char *text);

/* Makes the call and prints each node's failure to stderr. On success
 * SasHttp_FreeResponse releases the response. SAS_EUNAVAILABLE: no node
 * carried it out; SAS_ETIMEOUT: a write may have taken effect. */
int SasClient_Call(const struct sas_client *client,
                   const struct sas_call *call,
                   struct sas_http_response *response,
                   struct sas_error *error);

#endif
