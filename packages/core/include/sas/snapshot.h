/* snapshot - the living model as the tables that a sheet is resolved against.
 *
 * Sheets, configurations and plans refer to regions, services, backend
 * servers and entry VMs by their index in a struct sas_model. Here that model
 * is made from the fleet and brought up to date as the fleet changes:
 *
 * - regions, failure domains and services have the fleet's own handles, which
 *   stay for the life of the process;
 * - entry VMs are added and never taken out;
 * - a backend server that is gone is taken out, but only by
 *   SasSnapshot_Refresh, and not while the configuration that is in force
 *   names it. Whoever holds other indices of servers calls SasSnapshot_Add in
 *   its place, which only adds.
 *
 * A name in a stored configuration may be of something that has gone since,
 * or that this process has not heard of yet: SasSnapshot_AddNames makes a
 * row for it, without slots.
 */
#ifndef SAS_SNAPSHOT_H
#define SAS_SNAPSHOT_H

#include "sas/config.h"
#include "sas/fleet.h"
#include "sas/model.h"

/* Entry VMs beyond these are not named; a bound for a table that only
 * grows. */
#define SasSnapshot_MAX_VMS 4096

/* An empty model with the fleet's regions and failure domains. Release it
 * with SasModel_Free. */
void SasSnapshot_Init(struct sas_model *model, const struct sas_fleet *fleet);

/* What the fleet has and the model has not; slots of servers. */
void SasSnapshot_Add(struct sas_model *model, const struct sas_fleet *fleet);

/* The same, and servers that are gone go; config may be NULL. */
void SasSnapshot_Refresh(struct sas_model *model,
                         const struct sas_fleet *fleet,
                         const struct sas_config *config);

void SasSnapshot_AddVm(struct sas_model *model, const char *name, int domain);

/* Rows for the names in a configuration's JSON that the model lacks. A
 * service is also added to the fleet, since they share their handles. */
void SasSnapshot_AddNames(struct sas_model *model, struct sas_fleet *fleet,
                          const char *json, size_t size);

#endif
