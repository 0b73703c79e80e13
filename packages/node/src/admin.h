/* admin - the task that owns the admin port: operators' calls.
 */
#ifndef SAS_ADMIN_H
#define SAS_ADMIN_H

#include "configure.h"
#include "peers.h"
#include "server.h"
#include "steer.h"

struct sas_admin;

struct sas_admin_parts {
    uv_loop_t *loop;
    const struct sas_settings *settings;
    int own_vm;
    const struct sas_counters *counters;
    struct sas_steer *steer;
    struct sas_configure *configure;
    struct sas_peers *peers;
    int64_t (*get_wall_ms)(void);
};

struct sas_admin *SasAdmin_Open(const struct sas_admin_parts *parts,
                                const struct sas_address *address,
                                struct sas_error *error);
void SasAdmin_Close(struct sas_admin *admin);

#endif
