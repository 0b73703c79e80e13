/* client - calls to the admin API, over the nodes given.
 *
 * A call goes to one node after the other until one gives an answer that
 * settles it. A read is settled by any answer but a 5xx. A write carries an
 * operation id, so repeating it at the next node is harmless; once it may
 * have reached a store, only an answer about that operation settles it.
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
    char *token;         /* NULL: none is sent */
    char *operator_name; /* who gives the orders, kept with each version */
};

struct sas_call {
    const char *method;
    const char *target;
    const char *operation; /* a write's operation id; NULL for a read */
    const char *if_match;  /* the version it was made from, or NULL */
    const char *body;      /* a sheet, or NULL */
    int64_t timeout_ms;    /* for each node; 0 is the usual one */
};

/* Adds "IP:PORT", or "[IP]:PORT" for IPv6. */
int SasClient_AddNode(struct sas_client *client, const char *text,
                      struct sas_error *error);
void SasClient_Clear(struct sas_client *client);

/* True for 1 to 64 of A-Z a-z 0-9 . _ -, what the admin API takes as an
 * operation id or an operator. */
bool SasClient_IsName(const char *text);

/* Makes the call. On failure SAS_EUNAVAILABLE when no node took it, or
 * SAS_ETIMEOUT when a write may have taken effect. */
int SasClient_Call(const struct sas_client *client,
                   const struct sas_call *call,
                   struct sas_http_response *response,
                   struct sas_error *error);

#endif
