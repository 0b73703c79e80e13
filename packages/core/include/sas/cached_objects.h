/* cached_objects - which backend servers have an object cached, as seen by
 * this entry VM.
 *
 * A server that has answered for an object has it cached and answers for it
 * again in a fraction of the time. The table holds for each object the last
 * servers that answered this entry VM. It is a set-associative cache: where a
 * set is full, the least recently used object is evicted and counts as
 * uncached on all servers.
 */
#ifndef SAS_CACHED_OBJECTS_H
#define SAS_CACHED_OBJECTS_H

#include <stdbool.h>
#include <stdint.h>

#include "sas/fleet.h"

#define SasCachedObjects_CAPACITY 4096 /* objects */
#define SasCachedObjects_HOLDERS 4     /* servers remembered for each object */

struct sas_cached_objects;

struct sas_cached_objects *SasCachedObjects_New(void);
void SasCachedObjects_Free(struct sas_cached_objects *objects);

/* A request for the object was sent to a server that hasn't cached it yet. */
void SasCachedObjects_NoteLoading(struct sas_cached_objects *objects,
                                  int service, uint64_t key,
                                  struct sas_server_ref server,
                                  int64_t now_ms);

/* The server has answered for the object of the service, and caches it. */
void SasCachedObjects_NoteAnswered(struct sas_cached_objects *objects,
                                   int service, uint64_t key,
                                   struct sas_server_ref server);

/* Whether the server has the object cached. Each start of a server has another
 * generation and begins with an empty cache. */
bool SasCachedObjects_IsCached(const struct sas_cached_objects *objects,
                               int service, uint64_t key,
                               struct sas_server_ref server);

/* When the pending request was sent after which the server has the object
 * cached; 0: none is known to be pending. */
int64_t
SasCachedObjects_GetLoadingSince(const struct sas_cached_objects *objects,
                                 int service, uint64_t key,
                                 struct sas_server_ref server);

#endif
