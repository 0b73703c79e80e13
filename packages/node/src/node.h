/* node - an entry VM's process: all tasks on one loop.
 *
 * Run opens every task, serves until it is told to stop, and stops
 * gracefully: out of look-ups first, then no new requests, then the last
 * answers, then the end.
 */
#ifndef SAS_NODE_H
#define SAS_NODE_H

#include "sas/settings.h"

/* Returns the process's exit status: 0 after a graceful stop, 1 when a task
 * could not be opened, 3 when the stop outlasted its limit. */
int SasNode_Run(const struct sas_settings *settings, int own_vm);

#endif
