/* proto - RPC messages between entry VMs: ONC RPC calls and replies with an
 * HMAC.
 *
 * A record is an RPC message (XDR, RFC 5531) followed by 32 bytes of
 * HMAC-SHA-256 over the session of the connection and the message. The HMAC
 * is checked before anything is decoded. The verifier of each call and reply
 * holds a struct sas_rpc_identity: sender and receiver, each with its
 * incarnation. The credential is empty.
 *
 * A session is the nonce of the connecting side and the nonce of the
 * accepting side. It is all zero for the HELLO call and holds only the first
 * nonce for the HELLO reply. So a HELLO reply can't be a replay, and later
 * messages are valid on their own connection only; a recorded HELLO call
 * passes the check on any connection. The xids of the calls on a connection
 * must rise: the user of this module checks that, and matches replies to
 * calls by xid.
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

/* Sizes in bytes; those of records are without the record mark. */
#define SasProto_MAX_RECORD 262144
#define SasProto_MAX_CALL_RECORD 65536 /* a call with its lists full fits */
#define SasProto_MAX_HELLO_RECORD 512  /* before HELLO has succeeded */
#define SasProto_MAC_SIZE 32
#define SasProto_MIN_KEY 16
#define SasProto_MAX_KEY 256

struct sas_proto_key; /* the shared key in an HMAC context */

struct sas_proto_session {
    uint8_t caller_nonce[SAS_RPC_NONCE_SIZE];   /* of the connecting side */
    uint8_t answerer_nonce[SAS_RPC_NONCE_SIZE]; /* of the accepting side */
};

union sas_proto_body {
    struct sas_rpc_hello hello;   /* call and reply */
    struct sas_rpc_gossip gossip; /* call and reply */
    struct sas_rpc_fetch fetch;
    struct sas_rpc_config config; /* reply to fetch */
    struct sas_rpc_borrow borrow;
    struct sas_rpc_grant grant; /* reply to borrow */
    struct sas_rpc_loan_return give_back;
    struct sas_rpc_quarantine_list quarantine;
    struct sas_rpc_leaving leaving;
    struct sas_rpc_disown_list disown; /* call and reply */
};

struct sas_proto_message {
    uint32_t xid;
    bool is_reply;
    uint32_t procedure;      /* not in a reply: set it before Decode */
    enum accept_stat status; /* of a reply; a body only with SUCCESS */
    struct sas_rpc_identity identity;
    union sas_proto_body body;
    /* Set by Authenticate: points into the record. */
    const uint8_t *encoded_body;
    size_t encoded_size;
};

/* Creates a key of SasProto_MIN_KEY to SasProto_MAX_KEY bytes from memory or
 * from a file, of which one trailing newline is dropped. NULL with
 * SAS_EINVAL: wrong length; SAS_EIO: the file can't be read;
 * SAS_EUNAVAILABLE: OpenSSL has no HMAC-SHA-256. */
struct sas_proto_key *SasProto_NewKey(const uint8_t *bytes, size_t size,
                                      struct sas_error *error);
struct sas_proto_key *SasProto_LoadKey(const char *path,
                                       struct sas_error *error);
void SasProto_FreeKey(struct sas_proto_key *key);

/* Encodes the body alone, for a message that is sent later; g_free releases
 * it. NULL with SAS_EINVAL: a list exceeds its bound, or the procedure is
 * unknown; SAS_ECAPACITY: the body is too long for a record. */
uint8_t *SasProto_EncodeBody(const struct sas_proto_message *message,
                             size_t *size, struct sas_error *error);

/* Encodes the whole record with its mark, ready to send; g_free releases it.
 * The body is message->encoded_body, or message->body if that is NULL. NULL
 * with the errors of SasProto_EncodeBody, or SAS_EUNAVAILABLE if OpenSSL
 * fails. */
uint8_t *SasProto_Encode(struct sas_proto_key *key,
                         const struct sas_proto_session *session,
                         const struct sas_proto_message *message, size_t *size,
                         struct sas_error *error);

/* Checks the HMAC of a record (without mark) and decodes the header into
 * *message. SAS_EAUTH: wrong key, session or content; SAS_EINVAL: not a
 * message of this protocol. The body stays encoded, inside the record. */
int SasProto_Authenticate(struct sas_proto_key *key,
                          const struct sas_proto_session *session,
                          const uint8_t *record, size_t size,
                          struct sas_proto_message *message,
                          struct sas_error *error);

/* Computes the HMAC over the session and the bytes of a message without its
 * record mark; false if OpenSSL fails. */
bool SasProto_ComputeMac(struct sas_proto_key *key,
                         const struct sas_proto_session *session,
                         const uint8_t *bytes, size_t size,
                         uint8_t mac[SasProto_MAC_SIZE]);

/* SAS_EAUTH unless sender, receiver and both incarnations are the expected
 * ones. */
int SasProto_CheckIdentity(const struct sas_proto_message *message,
                           const struct sas_rpc_identity *expected,
                           struct sas_error *error);

/* Decodes the body by message->procedure; SAS_EINVAL if the procedure is
 * unknown, or the body malformed or followed by more bytes. After success
 * release it with SasProto_FreeBody. */
int SasProto_Decode(struct sas_proto_message *message,
                    struct sas_error *error);
void SasProto_FreeBody(struct sas_proto_message *message);

/* The lower-case name of a procedure, "unknown" otherwise. */
const char *SasProto_GetProcedureName(uint32_t procedure);

#endif
