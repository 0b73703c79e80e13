/* directory - answers which entry VMs a caller should use, whether this one
 * is ready, and its metrics.
 */
#ifndef SAS_DIRECTORY_H
#define SAS_DIRECTORY_H

#include "mesh.h"
#include "sas/entry.h"
#include "sas/fleet.h"
#include "sas/http_server.h"
#include "sas/metrics.h"

struct sas_directory {
    struct sas_http_handler handler;
    struct sas_fleet *fleet;
    struct sas_mesh *mesh;
    struct sas_metrics *metrics;
    const struct sas_entry_settings *settings;
    const struct sas_entry_wire *wire;
    bool ready;
    bool leaving;
};

void SasDirectory_Init(struct sas_directory *directory);

#endif
