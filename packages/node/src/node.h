/* node - an entry VM in standalone mode: all tasks on one loop.
 *
 * Run opens every task, serves until SIGTERM or SIGINT, and shuts down
 * gracefully: it leaves the lookups, then refuses new requests, then waits for
 * the last answers.
 */
#ifndef SAS_NODE_H
#define SAS_NODE_H

#include "sas/settings.h"

/* Returns the process's exit status: 0 after a graceful shutdown, 1 when a
 * task could not be opened, 3 when requests were pending at the shutdown
 * deadline. */
int SasNode_Run(const struct sas_settings *settings, int own_vm);

#endif
