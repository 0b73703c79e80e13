/* tag - proofs that bytes come from an entry VM that has the shared key.
 *
 * A tag is the hex form of HMAC-SHA-256 over a nonce and the bytes. The nonce
 * is SasTag_NONCE_SIZE - 1 characters that the asking side has drawn: an
 * answer with a tag over it is fresh.
 */
#ifndef SAS_TAG_H
#define SAS_TAG_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "sas/proto.h"

#define SasTag_SIZE (2 * SasProto_MAC_SIZE + 1)
#define SasTag_NONCE_SIZE (SAS_RPC_NONCE_SIZE + 1)

void SasTag_DrawNonce(GRand *random, char nonce[SasTag_NONCE_SIZE]);

/* False if OpenSSL fails. */
bool SasTag_Make(struct sas_proto_key *key, const char *nonce,
                 const void *bytes, size_t size, char tag[SasTag_SIZE]);

/* The time that it takes tells nothing of where a wrong tag differs. NULL
 * texts are wrong ones. */
bool SasTag_Check(struct sas_proto_key *key, const char *nonce,
                  const void *bytes, size_t size, const char *tag);

#endif
