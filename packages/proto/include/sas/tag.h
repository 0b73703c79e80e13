/* tag - authentication tags: prove that bytes come from an entry VM that has
 * the shared key.
 *
 * A tag is the hex form of HMAC-SHA-256 over a nonce and the bytes. The
 * requesting side generates the nonce, SasTag_NONCE_SIZE - 1 characters, so a
 * response with a tag over that nonce can't be a replay.
 */
#ifndef SAS_TAG_H
#define SAS_TAG_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "sas/proto.h"

/* Buffer sizes, with the NUL. */
#define SasTag_SIZE (2 * SasProto_MAC_SIZE + 1)
#define SasTag_NONCE_SIZE (SAS_RPC_NONCE_SIZE + 1)

/* Generates a nonce of hex digits. */
void SasTag_GenerateNonce(GRand *random, char nonce[SasTag_NONCE_SIZE]);

/* Computes a tag; false if OpenSSL fails. Characters of the nonce beyond
 * SAS_RPC_NONCE_SIZE are ignored. */
bool SasTag_Compute(struct sas_proto_key *key, const char *nonce,
                    const void *bytes, size_t size, char tag[SasTag_SIZE]);

/* Verifies a tag in constant time: the time doesn't depend on where a wrong
 * tag differs. False if nonce or tag is NULL. */
bool SasTag_Verify(struct sas_proto_key *key, const char *nonce,
                   const void *bytes, size_t size, const char *tag);

#endif
