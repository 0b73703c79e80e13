/* live_sheet - the task that owns the operators' sheet on an entry VM whose
 * model is learned at run time.
 *
 * Versions are kept by configure in the store, as in the other mode; the
 * admin port takes them. Which version there is goes by the gossip of the
 * entry VMs, and whoever hears of a newer one reads it; the first of all
 * entry VMs also looks into the store now and then, in case the one that took
 * a sheet died before it could tell. What the sheet orders is put in force
 * through sas/steering.h.
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
    size_t max_object; /* bytes that the store takes */
    const struct sas_entry_settings *settings;
    const char *token; /* operators'; NULL: the admin port changes nothing */
};

/* Opening and closing; the parts stay the caller's and outlive it. Close
 * needs one more turn of the loop. */
struct sas_sheet_task *
SasSheetTask_Open(const struct sas_sheet_task_options *options,
                  struct sas_error *error);
void SasSheetTask_Close(struct sas_sheet_task *task);

/* Takes no call of operators any more; how many wait for the store. */
int SasSheetTask_End(struct sas_sheet_task *task);

#endif
