/* admin - the HTTP API of the admin port, for operators.
 *
 * Both modes of the daemon use it: struct sas_admin_view supplies the node's
 * status, config_store the sheet and its history.
 */
#ifndef SAS_ADMIN_H
#define SAS_ADMIN_H

#include "config_store.h"
#include "refusal.h"
#include "h2o_server.h"

struct sas_admin;

/* Embedded in the owner's struct. */
struct sas_admin_view {
    bool (*is_ready)(struct sas_admin_view *view);
    int64_t (*get_version)(struct sas_admin_view *view);
    /* The mode's own members of /v1/status; a new object. */
    json_t *(*describe)(struct sas_admin_view *view);
};

struct sas_admin_options {
    uv_loop_t *loop;
    const char *vm; /* this entry VM's name */
    const struct sas_model *model;
    struct sas_metrics *metrics;
    struct sas_config_store *config_store;
    struct sas_admin_view *view;
    const char *token; /* bearer token of operators; NULL: none required */
    bool read_only;    /* refuses changes */
    int64_t (*get_wall_ms)(void);
};

struct sas_admin *SasAdmin_Open(const struct sas_admin_options *options,
                                const struct sas_address *address,
                                struct sas_error *error);
void SasAdmin_Close(struct sas_admin *admin);

/* Calls that wait for the store and are not answered yet. */
int SasAdmin_CountWaiting(const struct sas_admin *admin);

/* Stops accepting connections and reading calls. */
void SasAdmin_End(struct sas_admin *admin);

#endif
