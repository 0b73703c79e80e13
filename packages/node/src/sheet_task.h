/* sheet_task - the operators' sheet in platform mode.
 *
 * The admin port accepts sheets, and config_store keeps their versions in the
 * store as in standalone mode. The gossip carries the newest version number,
 * and an entry VM that receives a higher one reads it. One entry VM also polls
 * the store for all, in case the one that accepted a sheet died before it
 * gossiped the version. sas/steering.h puts the sheet's orders in force.
 */
#ifndef SAS_SHEET_TASK_H
#define SAS_SHEET_TASK_H

#include <uv.h>

#include "sas/entry.h"
#include "sas/gateway.h"
#include "sas/steering.h"
#include "sas/store.h"

struct sas_sheet_task;

struct sas_sheet_task_options {
    uv_loop_t *loop;
    struct sas_fleet *fleet;
    struct sas_gateway *gateway;
    struct sas_steering *steering;
    struct sas_store *store;
    size_t max_object; /* bytes that the store accepts */
    const struct sas_entry_settings *settings;
    const char *token; /* operators'; NULL: the admin port is read-only */
};

/* The objects in the options must outlive the task. Close needs one more turn
 * of the loop. */
struct sas_sheet_task *
SasSheetTask_Open(const struct sas_sheet_task_options *options,
                  struct sas_error *error);
void SasSheetTask_Close(struct sas_sheet_task *task);

/* Stops accepting operators' calls; returns how many wait for the store. */
int SasSheetTask_End(struct sas_sheet_task *task);

#endif
