/* fleet_model - the fleet as the tables against which a sheet is resolved.
 *
 * Sheets, configurations and plans refer to regions, services, backend
 * servers and entry VMs by their index in a struct sas_model. This module
 * builds that model from the fleet and updates it as the fleet changes:
 *
 * - regions, failure domains and services keep the fleet's handles for the
 *   life of the process;
 * - entry VMs are added and never removed;
 * - only SasFleetModel_Refresh removes backend servers that left the fleet,
 *   and not while the configuration in force names them. Code that holds other
 *   indices of servers calls SasFleetModel_Add instead, which only adds.
 *
 * A name in a stored configuration may belong to a server or service that was
 * removed, or that this process doesn't know yet. SasFleetModel_AddNames adds
 * a row without execution slots for it.
 */
#ifndef SAS_FLEET_MODEL_H
#define SAS_FLEET_MODEL_H

#include "sas/config.h"
#include "sas/fleet.h"
#include "sas/model.h"

/* Further entry VMs get no row: bounds a table that only grows. */
#define SasFleetModel_MAX_VMS 4096

/* An empty model with the fleet's regions and failure domains. Release it
 * with SasModel_Free. */
void SasFleetModel_Init(struct sas_model *model,
                        const struct sas_fleet *fleet);

/* Adds what the model lacks, and updates the servers' facts. A server that
 * left the fleet has 0 slots. */
void SasFleetModel_Add(struct sas_model *model, const struct sas_fleet *fleet);

/* The same, and removes servers that left the fleet; config may be NULL. */
void SasFleetModel_Refresh(struct sas_model *model,
                           const struct sas_fleet *fleet,
                           const struct sas_config *config);

/* domain is the index of the failure domain. No effect for a known name. */
void SasFleetModel_AddVm(struct sas_model *model, const char *name,
                         int domain);

/* Adds rows for the names in a configuration's JSON that the model lacks. A
 * service is also added to the fleet, as both use the same handles. */
void SasFleetModel_AddNames(struct sas_model *model, struct sas_fleet *fleet,
                            const char *json, size_t size);

#endif
