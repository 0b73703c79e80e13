#include "sas/proto.h"

#include <glib.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <string.h>

#include "sas/record.h"

#define AUTH_FLAVOR ((enum_t)0x20534153) /* verifier with an identity */
/* Sizes in bytes. */
#define MAX_HEADER 128
#define IDENTITY_SIZE 24
#define MAX_BODY (SasProto_MAX_RECORD - MAX_HEADER - SasProto_MAC_SIZE)

struct sas_proto_key {
    EVP_MAC *mac;
    EVP_MAC_CTX *keyed; /* HMAC context with the key; copied for each HMAC */
};

/* Name and XDR codecs of a procedure. */
struct procedure {
    const char *name;
    xdrproc_t arguments;
    xdrproc_t results;
};

static bool_t code_void(XDR *xdr, void *object);

static const struct procedure procedures[] = {
    [SAS_RPC_HELLO] = {"hello", (xdrproc_t)xdr_sas_rpc_hello,
                       (xdrproc_t)xdr_sas_rpc_hello},
    [SAS_RPC_GOSSIP] = {"gossip", (xdrproc_t)xdr_sas_rpc_gossip,
                        (xdrproc_t)xdr_sas_rpc_gossip},
    [SAS_RPC_FETCH_CONFIG] = {"fetch-config", (xdrproc_t)xdr_sas_rpc_fetch,
                              (xdrproc_t)xdr_sas_rpc_config},
    [SAS_RPC_BORROW] = {"borrow", (xdrproc_t)xdr_sas_rpc_borrow,
                        (xdrproc_t)xdr_sas_rpc_grant},
    [SAS_RPC_RETURN] = {"return", (xdrproc_t)xdr_sas_rpc_loan_return,
                        (xdrproc_t)code_void},
    [SAS_RPC_QUARANTINE] = {"quarantine",
                            (xdrproc_t)xdr_sas_rpc_quarantine_list,
                            (xdrproc_t)code_void},
    [SAS_RPC_LEAVE] = {"leave", (xdrproc_t)xdr_sas_rpc_leaving,
                       (xdrproc_t)code_void},
    [SAS_RPC_DISOWN] = {"disown", (xdrproc_t)xdr_sas_rpc_disown_list,
                        (xdrproc_t)xdr_sas_rpc_disown_list},
};

static bool is_procedure(uint32_t procedure);
static xdrproc_t get_body_codec(const struct sas_proto_message *message);
static bool code_header(XDR *xdr, struct sas_proto_message *message,
                        char *verifier, u_int *verifier_size);
static bool code_call(XDR *xdr, struct sas_proto_message *message,
                      char *verifier, u_int *verifier_size);
static bool code_reply(XDR *xdr, struct sas_proto_message *message,
                       char *verifier, u_int *verifier_size);
static bool code_identity(char *bytes, u_int size, enum xdr_op operation,
                          struct sas_rpc_identity *identity);

/* Key */

struct sas_proto_key *
SasProto_NewKey(const uint8_t *bytes, size_t size, struct sas_error *error)
{
    if (size < SasProto_MIN_KEY || size > SasProto_MAX_KEY) {
        SasError_Set(error, SAS_EINVAL, "proto.key", "",
                     "the key has %zu bytes, not %d to %d", size,
                     SasProto_MIN_KEY, SasProto_MAX_KEY);
        return NULL;
    }
    struct sas_proto_key *key = g_new0(struct sas_proto_key, 1);
    OSSL_PARAM params[] = {
        OSSL_PARAM_construct_utf8_string("digest", (char *)"SHA256", 0),
        OSSL_PARAM_construct_end(),
    };
    key->mac = EVP_MAC_fetch(NULL, "HMAC", NULL);
    key->keyed = key->mac ? EVP_MAC_CTX_new(key->mac) : NULL;
    if (key->keyed == NULL ||
        EVP_MAC_init(key->keyed, bytes, size, params) != 1) {
        SasError_Set(error, SAS_EUNAVAILABLE, "proto.key", "",
                     "OpenSSL has no HMAC-SHA-256");
        SasProto_FreeKey(key);
        return NULL;
    }
    return key;
}

struct sas_proto_key *
SasProto_LoadKey(const char *path, struct sas_error *error)
{
    g_autofree char *bytes = NULL;
    gsize size = 0;
    g_autoptr(GError) cause = NULL;
    if (!g_file_get_contents(path, &bytes, &size, &cause)) {
        SasError_Set(error, SAS_EIO, "proto.key", "", "%s", cause->message);
        return NULL;
    }
    if (size > 0 && bytes[size - 1] == '\n') {
        size--;
    }
    struct sas_proto_key *key =
        SasProto_NewKey((const uint8_t *)bytes, size, error);
    OPENSSL_cleanse(bytes, size);
    return key;
}

void
SasProto_FreeKey(struct sas_proto_key *key)
{
    if (key == NULL) {
        return;
    }
    EVP_MAC_CTX_free(key->keyed);
    EVP_MAC_free(key->mac);
    g_free(key);
}

/* Records */

uint8_t *
SasProto_EncodeBody(const struct sas_proto_message *message, size_t *size,
                    struct sas_error *error)
{
    struct sas_proto_message copy = *message;
    if (!is_procedure(copy.procedure)) {
        SasError_Set(error, SAS_EINVAL, "proto.encode", "",
                     "unknown procedure %u", copy.procedure);
        return NULL;
    }
    xdrproc_t codec = get_body_codec(&copy);
    size_t encoded_size = xdr_sizeof(codec, &copy.body);
    if (encoded_size > MAX_BODY) {
        SasError_Set(error, SAS_ECAPACITY, "proto.encode", "",
                     "a %s message of %zu bytes is too long",
                     SasProto_GetProcedureName(copy.procedure), encoded_size);
        return NULL;
    }
    g_autofree uint8_t *bytes = g_malloc(encoded_size + 1);
    XDR xdr;
    xdrmem_create(&xdr, (char *)bytes, (u_int)encoded_size, XDR_ENCODE);
    if (!codec(&xdr, &copy.body)) {
        SasError_Set(error, SAS_EINVAL, "proto.encode", "",
                     "a list of the %s message exceeds its bound",
                     SasProto_GetProcedureName(copy.procedure));
        return NULL;
    }
    *size = xdr_getpos(&xdr);
    return g_steal_pointer(&bytes);
}

uint8_t *
SasProto_Encode(struct sas_proto_key *key,
                const struct sas_proto_session *session,
                const struct sas_proto_message *message, size_t *size,
                struct sas_error *error)
{
    struct sas_proto_message copy = *message;
    bool has_body = !copy.is_reply || copy.status == SUCCESS;
    g_autofree uint8_t *encoded = NULL;
    const uint8_t *body = copy.encoded_body;
    size_t body_size = has_body ? copy.encoded_size : 0;
    if (has_body && body == NULL) {
        encoded = SasProto_EncodeBody(&copy, &body_size, error);
        if (encoded == NULL) {
            return NULL;
        }
        body = encoded;
    }
    if (body_size > MAX_BODY) {
        SasError_Set(error, SAS_ECAPACITY, "proto.encode", "",
                     "a body of %zu bytes is too long", body_size);
        return NULL;
    }
    g_autofree uint8_t *record = g_malloc(SasRecord_MARK_SIZE + MAX_HEADER +
                                          body_size + SasProto_MAC_SIZE);
    uint8_t *bytes = record + SasRecord_MARK_SIZE;
    char verifier[MAX_AUTH_BYTES];
    u_int verifier_size = IDENTITY_SIZE;
    XDR xdr;
    xdrmem_create(&xdr, (char *)bytes, MAX_HEADER, XDR_ENCODE);
    if (!code_identity(verifier, IDENTITY_SIZE, XDR_ENCODE, &copy.identity) ||
        !code_header(&xdr, &copy, verifier, &verifier_size)) {
        SasError_Set(error, SAS_EINVAL, "proto.encode", "",
                     "the header can't be encoded");
        return NULL;
    }
    size_t length = xdr_getpos(&xdr);
    if (body_size > 0) {
        memcpy(bytes + length, body, body_size);
    }
    length += body_size;
    if (!SasProto_ComputeMac(key, session, bytes, length, bytes + length)) {
        SasError_Set(error, SAS_EUNAVAILABLE, "proto.encode", "",
                     "OpenSSL can't compute the HMAC");
        return NULL;
    }
    SasRecord_PutMark(record, length + SasProto_MAC_SIZE);
    *size = SasRecord_MARK_SIZE + length + SasProto_MAC_SIZE;
    return g_steal_pointer(&record);
}

int
SasProto_Authenticate(struct sas_proto_key *key,
                      const struct sas_proto_session *session,
                      const uint8_t *record, size_t size,
                      struct sas_proto_message *message,
                      struct sas_error *error)
{
    uint8_t mac[SasProto_MAC_SIZE];
    memset(message, 0, sizeof(*message));
    if (size < SasProto_MAC_SIZE || size > SasProto_MAX_RECORD) {
        SasError_Set(error, SAS_EINVAL, "proto.open", "",
                     "invalid record size: %zu bytes", size);
        return -1;
    }
    size_t length = size - SasProto_MAC_SIZE;
    if (!SasProto_ComputeMac(key, session, record, length, mac) ||
        CRYPTO_memcmp(mac, record + length, SasProto_MAC_SIZE) != 0) {
        SasError_Set(error, SAS_EAUTH, "proto.open", "",
                     "the HMAC of a record does not match");
        return -1;
    }
    char verifier[MAX_AUTH_BYTES];
    u_int verifier_size = 0;
    XDR xdr;
    xdrmem_create(&xdr, (char *)record, (u_int)length, XDR_DECODE);
    if (!code_header(&xdr, message, verifier, &verifier_size) ||
        verifier_size != IDENTITY_SIZE ||
        !code_identity(verifier, IDENTITY_SIZE, XDR_DECODE,
                       &message->identity)) {
        SasError_Set(error, SAS_EINVAL, "proto.open", "",
                     "not a message of this protocol");
        return -1;
    }
    message->encoded_body = record + xdr_getpos(&xdr);
    message->encoded_size = length - xdr_getpos(&xdr);
    return 0;
}

bool
SasProto_ComputeMac(struct sas_proto_key *key,
                    const struct sas_proto_session *session,
                    const uint8_t *bytes, size_t size,
                    uint8_t mac[SasProto_MAC_SIZE])
{
    size_t mac_size = 0;
    EVP_MAC_CTX *context = EVP_MAC_CTX_dup(key->keyed);
    bool done = context != NULL &&
                EVP_MAC_update(context, session->caller_nonce,
                               SAS_RPC_NONCE_SIZE) == 1 &&
                EVP_MAC_update(context, session->answerer_nonce,
                               SAS_RPC_NONCE_SIZE) == 1 &&
                EVP_MAC_update(context, bytes, size) == 1 &&
                EVP_MAC_final(context, mac, &mac_size, SasProto_MAC_SIZE) == 1;
    EVP_MAC_CTX_free(context);
    return done && mac_size == SasProto_MAC_SIZE;
}

int
SasProto_CheckIdentity(const struct sas_proto_message *message,
                       const struct sas_rpc_identity *expected,
                       struct sas_error *error)
{
    const struct sas_rpc_identity *got = &message->identity;
    if (got->sender != expected->sender ||
        got->sender_incarnation != expected->sender_incarnation) {
        SasError_Set(error, SAS_EAUTH, "proto.identity", "",
                     "unexpected sender or incarnation: member %u",
                     got->sender);
        return -1;
    }
    if (got->receiver != expected->receiver ||
        got->receiver_incarnation != expected->receiver_incarnation) {
        SasError_Set(error, SAS_EAUTH, "proto.identity", "",
                     "unexpected receiver or incarnation: member %u",
                     got->receiver);
        return -1;
    }
    return 0;
}

int
SasProto_Decode(struct sas_proto_message *message, struct sas_error *error)
{
    memset(&message->body, 0, sizeof(message->body));
    if (message->is_reply && message->status != SUCCESS) {
        return 0;
    }
    if (!is_procedure(message->procedure)) {
        SasError_Set(error, SAS_EINVAL, "proto.decode", "",
                     "unknown procedure %u", message->procedure);
        return -1;
    }
    XDR xdr;
    xdrmem_create(&xdr, (char *)message->encoded_body,
                  (u_int)message->encoded_size, XDR_DECODE);
    if (!get_body_codec(message)(&xdr, &message->body) ||
        xdr_getpos(&xdr) != message->encoded_size) {
        SasProto_FreeBody(message);
        SasError_Set(error, SAS_EINVAL, "proto.decode", "",
                     "the body of a %s message is malformed",
                     SasProto_GetProcedureName(message->procedure));
        return -1;
    }
    return 0;
}

void
SasProto_FreeBody(struct sas_proto_message *message)
{
    if (is_procedure(message->procedure)) {
        xdr_free(get_body_codec(message), &message->body);
    }
    memset(&message->body, 0, sizeof(message->body));
}

const char *
SasProto_GetProcedureName(uint32_t procedure)
{
    return is_procedure(procedure) ? procedures[procedure].name : "unknown";
}

/* Helpers */

static bool_t
code_void(XDR *xdr, void *object)
{
    (void)xdr;
    (void)object;
    return TRUE;
}

static bool
is_procedure(uint32_t procedure)
{
    return procedure >= SAS_RPC_HELLO && procedure <= SAS_RPC_DISOWN;
}

static xdrproc_t
get_body_codec(const struct sas_proto_message *message)
{
    const struct procedure *row = &procedures[message->procedure];
    return message->is_reply ? row->results : row->arguments;
}

/* Encodes or decodes the RPC header. The verifier is a buffer of
 * MAX_AUTH_BYTES, so that libtirpc allocates none. */
static bool
code_header(XDR *xdr, struct sas_proto_message *message, char *verifier,
            u_int *verifier_size)
{
    if (xdr->x_op == XDR_DECODE) {
        u_int direction = 0;
        if (!xdr_u_int(xdr, &message->xid) || !xdr_u_int(xdr, &direction)) {
            return false;
        }
        xdr_setpos(xdr, 0);
        message->is_reply = direction == REPLY;
    }
    if (message->is_reply) {
        return code_reply(xdr, message, verifier, verifier_size);
    }
    return code_call(xdr, message, verifier, verifier_size);
}

static bool
code_call(XDR *xdr, struct sas_proto_message *message, char *verifier,
          u_int *verifier_size)
{
    char credential[MAX_AUTH_BYTES];
    struct rpc_msg header = {
        .rm_xid = message->xid,
        .rm_direction = CALL,
        .rm_call =
            {
                .cb_rpcvers = RPC_MSG_VERSION,
                .cb_prog = SAS_RPC_PROGRAM,
                .cb_vers = SAS_RPC_VERSION,
                .cb_proc = message->procedure,
                .cb_cred = {AUTH_NONE, credential, 0},
                .cb_verf = {AUTH_FLAVOR, verifier, *verifier_size},
            },
    };
    if (!xdr_callmsg(xdr, &header)) {
        return false;
    }
    message->procedure = header.rm_call.cb_proc;
    *verifier_size = header.rm_call.cb_verf.oa_length;
    return header.rm_call.cb_prog == SAS_RPC_PROGRAM &&
           header.rm_call.cb_vers == SAS_RPC_VERSION &&
           header.rm_call.cb_cred.oa_length == 0 &&
           header.rm_call.cb_verf.oa_flavor == AUTH_FLAVOR;
}

static bool
code_reply(XDR *xdr, struct sas_proto_message *message, char *verifier,
           u_int *verifier_size)
{
    struct rpc_msg header = {
        .rm_xid = message->xid,
        .rm_direction = REPLY,
        .rm_reply = {.rp_stat = MSG_ACCEPTED},
    };
    header.acpted_rply.ar_verf.oa_flavor = AUTH_FLAVOR;
    header.acpted_rply.ar_verf.oa_base = verifier;
    header.acpted_rply.ar_verf.oa_length = *verifier_size;
    header.acpted_rply.ar_stat = message->status;
    header.acpted_rply.ar_results.proc = (xdrproc_t)code_void;
    if (!xdr_replymsg(xdr, &header)) {
        return false;
    }
    if (header.rm_reply.rp_stat != MSG_ACCEPTED) {
        return false;
    }
    message->status = header.acpted_rply.ar_stat;
    *verifier_size = header.acpted_rply.ar_verf.oa_length;
    return header.acpted_rply.ar_verf.oa_flavor == AUTH_FLAVOR;
}

static bool
code_identity(char *bytes, u_int size, enum xdr_op operation,
              struct sas_rpc_identity *identity)
{
    XDR xdr;
    xdrmem_create(&xdr, bytes, size, operation);
    return xdr_sas_rpc_identity(&xdr, identity);
}
