#include "sas/tag.h"

#include <stdio.h>
#include <string.h>

#include <openssl/crypto.h>

void
SasTag_GenerateNonce(GRand *random, char nonce[SasTag_NONCE_SIZE])
{
    snprintf(nonce, SasTag_NONCE_SIZE, "%08x%08x", g_rand_int(random),
             g_rand_int(random));
}

bool
SasTag_Compute(struct sas_proto_key *key, const char *nonce, const void *bytes,
               size_t size, char tag[SasTag_SIZE])
{
    struct sas_proto_session session = {0};
    uint8_t mac[SasProto_MAC_SIZE];
    memcpy(session.caller_nonce, nonce,
           MIN(strlen(nonce), sizeof(session.caller_nonce)));
    if (!SasProto_ComputeMac(key, &session, bytes, size, mac)) {
        return false;
    }
    for (size_t i = 0; i < sizeof(mac); i++) {
        snprintf(tag + 2 * i, 3, "%02x", mac[i]);
    }
    return true;
}

bool
SasTag_Verify(struct sas_proto_key *key, const char *nonce, const void *bytes,
              size_t size, const char *tag)
{
    char expected[SasTag_SIZE];
    return nonce != NULL && tag != NULL && strlen(tag) == SasTag_SIZE - 1 &&
           SasTag_Compute(key, nonce, bytes, size, expected) &&
           CRYPTO_memcmp(expected, tag, SasTag_SIZE - 1) == 0;
}
