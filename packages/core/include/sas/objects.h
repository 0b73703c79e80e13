/* objects - which backend servers know an object, as far as this entry VM
 * has seen.
 *
 * A server that has answered for an object answers the next time in a
 * fraction of the time. The table remembers the last servers that answered
 * here for each object. It is bounded: where a set is full the object that
 * was used least lately is forgotten, and counts as new everywhere.
 */
#ifndef SAS_OBJECTS_H
#define SAS_OBJECTS_H

#include <stdbool.h>
#include <stdint.h>

#include "sas/fleet.h"

#define SasObjects_CAPACITY 4096 /* objects */
#define SasObjects_HOLDERS 4     /* servers remembered for each object */

struct sas_objects;

struct sas_objects *SasObjects_New(void);
void SasObjects_Free(struct sas_objects *objects);

/* A request for the object was sent to a server that does not know it yet. */
void SasObjects_NoteSent(struct sas_objects *objects, int service,
                         uint64_t key, struct sas_server_ref server,
                         int64_t now_ms);

/* The server has answered for the object of the service. */
void SasObjects_NoteAnswered(struct sas_objects *objects, int service,
                             uint64_t key, struct sas_server_ref server);

/* Whether it has, in this start of the server. */
bool SasObjects_IsKnown(const struct sas_objects *objects, int service,
                        uint64_t key, struct sas_server_ref server);

/* When the last request was sent that makes the object known to the server;
 * 0: none is under way, as far as is known. */
int64_t SasObjects_GetSentAt(const struct sas_objects *objects, int service,
                             uint64_t key, struct sas_server_ref server);

#endif
