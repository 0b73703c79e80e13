/* admin - the task that owns the admin port: operators' calls.
 *
 * Both modes of the daemon use it: what a node can say of itself comes through
 * struct sas_admin_view, everything that concerns the sheet through configure.
 */
#ifndef SAS_ADMIN_H
#define SAS_ADMIN_H

#include "config_store.h"
#include "refusal.h"
#include "h2o_server.h"

struct sas_admin;

/* Embed it as first member. */
struct sas_admin_view {
    bool (*is_ready)(struct sas_admin_view *view);
    int64_t (*get_version)(struct sas_admin_view *view);
    /* The members of the status that only this mode has. */
    json_t *(*describe)(struct sas_admin_view *view);
};

struct sas_admin_options {
    uv_loop_t *loop;
    const char *vm; /* the own name */
    const struct sas_model *model;
    struct sas_metrics *metrics;
    struct sas_config_store *config_store;
    struct sas_admin_view *view;
    const char *token; /* that operators show; NULL: none is asked for */
    bool read_only;    /* nothing may be changed by this port */
    int64_t (*get_wall_ms)(void);
};

struct sas_admin *SasAdmin_Open(const struct sas_admin_options *options,
                                const struct sas_address *address,
                                struct sas_error *error);
void SasAdmin_Close(struct sas_admin *admin);

/* Calls that wait for the store, and their callers for an answer. */
int SasAdmin_CountWaiting(const struct sas_admin *admin);

/* Takes no connection and no call any more. */
void SasAdmin_End(struct sas_admin *admin);

#endif
