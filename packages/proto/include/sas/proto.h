/* proto - the messages between entry VMs: ONC RPC calls and replies with a
 * keyed digest.
 *
 * A record is an RPC message (XDR, RFC 5531) and 32 bytes of HMAC-SHA-256
 * behind it. The digest covers the session of the connection and the whole
 * message, and it is checked before anything is decoded. The verifier of
 * each call and reply holds a struct sas_rpc_identity: sender and receiver,
 * each with its incarnation. The credential is empty.
 *
 * A session is the nonce of the connecting side and the nonce of the
 * accepting side. It is all zero for the HELLO call and holds only the first
 * nonce for the HELLO reply. So nothing that was recorded on one connection
 * is valid on another, and a reply to HELLO proves that it is fresh. Within
 * a connection xids of calls must rise; the caller of this module checks
 * that, and matches replies to calls by xid.
 *
 * Bodies are the structs of sas/generated/peer_rpc.h. What is encoded
 * belongs to the caller; what SasProto_Decode allocates is released by
 * SasProto_FreeBody.
 */
#ifndef SAS_PROTO_H
#define SAS_PROTO_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "sas/error.h"
#include "sas/generated/peer_rpc.h"

#define SasProto_MAX_RECORD 262144
#define SasProto_MAX_CALL_RECORD 65536 /* no list of a call is longer */
#define SasProto_MAX_HELLO_RECORD 512  /* before the other side is known */
#define SasProto_MAC_SIZE 32
#define SasProto_MIN_KEY 16
#define SasProto_MAX_KEY 256

struct sas_proto_key; /* the shared key, ready for use */

struct sas_proto_session {
    uint8_t caller_nonce[SAS_RPC_NONCE_SIZE];
    uint8_t answerer_nonce[SAS_RPC_NONCE_SIZE];
};

union sas_proto_body {
    struct sas_rpc_hello hello;   /* call and reply */
    struct sas_rpc_gossip gossip; /* call and reply */
    struct sas_rpc_fetch fetch;
    struct sas_rpc_config config; /* reply to fetch */
    struct sas_rpc_borrow borrow;
    struct sas_rpc_grant grant; /* reply to borrow */
    struct sas_rpc_return give_back;
    struct sas_rpc_quarantine_list quarantine;
    struct sas_rpc_leaving leaving;
    struct sas_rpc_disown_list disown; /* call and reply */
};

struct sas_proto_message {
    uint32_t xid;
    bool is_reply;
    uint32_t procedure;      /* of a reply: the caller sets it before Decode */
    enum accept_stat status; /* of a reply; a body only with SUCCESS */
    struct sas_rpc_identity identity;
    union sas_proto_body body;
    const uint8_t *encoded_body; /* set by Open: inside the record */
    size_t encoded_size;
};

/* The key from memory or from a file (one trailing newline is dropped);
 * SasProto_MIN_KEY to SasProto_MAX_KEY bytes. */
struct sas_proto_key *SasProto_NewKey(const uint8_t *bytes, size_t size,
                                      struct sas_error *error);
struct sas_proto_key *SasProto_LoadKey(const char *path,
                                       struct sas_error *error);
void SasProto_FreeKey(struct sas_proto_key *key);

/* The body alone, for a message that is sent later; g_free releases it. */
uint8_t *SasProto_EncodeBody(const struct sas_proto_message *message,
                             size_t *size, struct sas_error *error);

/* The whole record with its mark, to be sent as it is; g_free releases it.
 * The body is message->encoded_body, or message->body if that is NULL. NULL
 * if the message is longer than SasProto_MAX_RECORD or a list exceeds its
 * bound. */
uint8_t *SasProto_Encode(struct sas_proto_key *key,
                         const struct sas_proto_session *session,
                         const struct sas_proto_message *message, size_t *size,
                         struct sas_error *error);

/* Checks the digest of a record (without mark) and decodes the header into
 * *message. SAS_EAUTH: wrong key, session or content; SAS_EINVAL: not a
 * message of this protocol. The body stays encoded, inside the record. */
int SasProto_Open(struct sas_proto_key *key,
                  const struct sas_proto_session *session,
                  const uint8_t *record, size_t size,
                  struct sas_proto_message *message, struct sas_error *error);

/* The digest of a message without its record mark; false if OpenSSL fails.
 * Encode and Open use it. */
bool SasProto_Sign(struct sas_proto_key *key,
                   const struct sas_proto_session *session,
                   const uint8_t *bytes, size_t size,
                   uint8_t mac[SasProto_MAC_SIZE]);

/* SAS_EAUTH unless the message is for this receiver and incarnation, and
 * from this sender. */
int SasProto_CheckIdentity(const struct sas_proto_message *message,
                           const struct sas_rpc_identity *expected,
                           struct sas_error *error);

/* Decodes the body for message->procedure; nothing may be left over. On
 * success FreeBody is due. */
int SasProto_Decode(struct sas_proto_message *message,
                    struct sas_error *error);
void SasProto_FreeBody(struct sas_proto_message *message);

/* The lower-case name of a procedure, "unknown" otherwise. */
const char *SasProto_GetName(uint32_t procedure);

#endif
