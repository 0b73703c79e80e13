/* carried_ids - the ids of the requests that a connection has carried.
 *
 * A server may send an answer twice, the second time when a later request
 * waits for its own on the same connection. Only the request's id tells the
 * two apart. So a connection carries an id once: the second attempt of a
 * request goes on another connection than the first, and an answer with its id
 * is its own.
 *
 * Ids are remembered for as long as a request may last, and forgotten within
 * three times that. They are kept as hashes: two ids with the same hash cost a
 * connection, no more. The time for each operation doesn't depend on the
 * number of ids, and the memory is bounded: a connection that has carried too
 * many must not be used again.
 *
 * Times are monotonic milliseconds. Initially all zero; Close frees what it
 * holds.
 */
#ifndef SAS_CARRIED_IDS_H
#define SAS_CARRIED_IDS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* No request lasts longer. */
#define SasCarriedIds_REMEMBER_MS 30000

/* Ids within that time after which a connection is full; two such sets take
 * 64 kB. */
#define SasCarriedIds_MAX 2048

struct sas_carried_ids {
    GHashTable *newer; /* set of hashes; NULL: none */
    GHashTable *older; /* of ids from before newer_since_ms */
    int64_t newer_since_ms;
};

/* Note: the connection carries a request with the id from now on. */
void SasCarriedIds_Note(struct sas_carried_ids *ids, const char *id,
                        int64_t now_ms);
bool SasCarriedIds_Has(const struct sas_carried_ids *ids, const char *id,
                       int64_t now_ms);
bool SasCarriedIds_IsFull(const struct sas_carried_ids *ids, int64_t now_ms);
void SasCarriedIds_Close(struct sas_carried_ids *ids);

#endif
