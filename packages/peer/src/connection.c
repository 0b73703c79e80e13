#include "internal.h"

#include <arpa/inet.h>
#include <openssl/rand.h>
#include <string.h>

struct write {
    uv_write_t request;
    uint8_t *bytes;
};

static struct sas_connection *new_connection(struct sas_peer *peer);
static int start_connecting(struct sas_connection *connection,
                            uv_connect_t *request);
static void on_connected(uv_connect_t *request, int status);
static void on_closed(uv_handle_t *handle);
static void on_alloc(uv_handle_t *handle, size_t wanted, uv_buf_t *buffer);
static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer);
static void on_written(uv_write_t *request, int status);
static void start_reading(struct sas_connection *connection);
static void handle_record(struct sas_connection *connection);
static void handle_hello_call(struct sas_connection *connection,
                              struct sas_proto_message *message);
static void handle_hello_reply(struct sas_connection *connection,
                               struct sas_proto_message *message);
static void handle_message(struct sas_connection *connection,
                           struct sas_proto_message *message);
static void send_hello(struct sas_connection *connection);
static bool is_old_incarnation(const struct sas_connection *connection,
                               uint64_t incarnation);
static uint64_t
get_newest_incarnation(const struct sas_connection *connection,
                       const struct sas_rpc_identity *identity);
static void note_newer_process(struct sas_peer *peer, uint64_t incarnation);
static bool may_accept(struct sas_peer *peer,
                       struct sas_connection *connection);
static bool get_remote_address(struct sas_connection *connection);
static void pack_address(const struct sockaddr_storage *address,
                         uint8_t packed[16]);

/* Opening */

struct sas_connection *
SasConnection_Connect(struct sas_peer *peer, int member_id)
{
    struct sas_connection *connection = new_connection(peer);
    connection->member_id = member_id;
    connection->outgoing = true;
    connection->state = SAS_CONNECTION_CONNECTING;
    uv_connect_t *request = g_new0(uv_connect_t, 1);
    request->data = connection;
    if (start_connecting(connection, request) < 0) {
        g_free(request);
        SasConnection_Close(connection, SAS_PEER_CONNECT_FAILED);
        return NULL;
    }
    return connection;
}

void
SasConnection_Accept(struct sas_peer *peer)
{
    struct sas_connection *connection = new_connection(peer);
    connection->member_id = SasModel_NONE;
    connection->state = SAS_CONNECTION_HELLO;
    if (uv_accept((uv_stream_t *)&peer->listener,
                  (uv_stream_t *)&connection->tcp) < 0) {
        SasConnection_Close(connection, SAS_PEER_CONNECTION_LOST);
        return;
    }
    if (!may_accept(peer, connection)) {
        return;
    }
    g_ptr_array_add(peer->accepted, connection);
    SasPeer_Count(peer, SAS_PEER_ACCEPTED);
    start_reading(connection);
}

void
SasConnection_Close(struct sas_connection *connection,
                    enum sas_peer_counter reason)
{
    if (connection->state == SAS_CONNECTION_CLOSED) {
        return;
    }
    connection->state = SAS_CONNECTION_CLOSED;
    SasPeer_Count(connection->peer, reason);
    uv_close((uv_handle_t *)&connection->tcp, on_closed);
    SasPeer_OnConnectionClosed(connection);
}

/* Sending */

int
SasConnection_Send(struct sas_connection *connection,
                   struct sas_proto_message *message, struct sas_error *error)
{
    struct sas_peer *peer = connection->peer;
    const char *name = peer->model->vms[connection->member_id].name;
    message->identity.sender = (uint32_t)peer->own_id;
    message->identity.sender_incarnation = peer->incarnation;
    message->identity.receiver = (uint32_t)connection->member_id;
    message->identity.receiver_incarnation = connection->remote_incarnation;
    size_t size = 0;
    g_autofree uint8_t *bytes = SasProto_Encode(
        peer->key, &connection->session, message, &size, error);
    if (bytes == NULL) {
        return -1;
    }
    /* Guards against a peer that sends calls and never reads the answers, and
     * against a network link that is too slow for the traffic: the queue would
     * grow until memory runs out. */
    uv_stream_t *stream = (uv_stream_t *)&connection->tcp;
    if (uv_stream_get_write_queue_size(stream) + size > SasPeer_MAX_QUEUED) {
        SasPeer_Count(peer, SAS_PEER_QUEUE_FULL);
        SasError_Set(error, SAS_ECAPACITY, "peer.send", name,
                     "too many unsent bytes");
        return -1;
    }
    struct write *write = g_new0(struct write, 1);
    write->bytes = g_steal_pointer(&bytes);
    uv_buf_t buffer = uv_buf_init((char *)write->bytes, (unsigned)size);
    if (uv_write(&write->request, stream, &buffer, 1, on_written) < 0) {
        g_free(write->bytes);
        g_free(write);
        SasError_Set(error, SAS_EIO, "peer.send", name, "write failed");
        return -1;
    }
    peer->counters[SAS_PEER_BYTES_OUT] += size;
    return 0;
}

void
SasConnection_CheckTimeout(struct sas_connection *connection, int64_t now_ms,
                           bool is_used)
{
    const struct sas_peer_options *options = &connection->peer->options;
    if (connection->state != SAS_CONNECTION_OPEN) {
        if (now_ms - connection->opened_ms >= options->hello_timeout_ms) {
            SasConnection_Close(connection, SAS_PEER_HELLO_TIMEOUT);
        }
        return;
    }
    int64_t limit_ms = options->idle_timeout_ms;
    limit_ms *= connection->outgoing ? 1 : 2;
    if (!is_used && now_ms - connection->received_ms >= limit_ms) {
        SasConnection_Close(connection, SAS_PEER_IDLE_CLOSED);
    }
}

int
SasConnection_ParseAddress(const struct sas_address *address,
                           struct sockaddr_storage *parsed)
{
    memset(parsed, 0, sizeof(*parsed));
    struct sockaddr_in *v4 = (struct sockaddr_in *)parsed;
    if (uv_ip4_addr(address->ip, address->port, v4) == 0) {
        return 0;
    }
    struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)parsed;
    return uv_ip6_addr(address->ip, address->port, v6) == 0 ? 0 : -1;
}

/* Opening */

static struct sas_connection *
new_connection(struct sas_peer *peer)
{
    struct sas_connection *connection = g_new0(struct sas_connection, 1);
    connection->peer = peer;
    connection->opened_ms = SasPeer_GetNow();
    connection->received_ms = connection->opened_ms;
    SasRecord_InitReader(&connection->reader, SasProto_MAX_HELLO_RECORD);
    uv_tcp_init(peer->loop, &connection->tcp);
    connection->tcp.data = connection;
    peer->open_handles++;
    return connection;
}

/* Connects from the own address in the model: the peer accepts only addresses
 * of members. */
static int
start_connecting(struct sas_connection *connection, uv_connect_t *request)
{
    struct sas_peer *peer = connection->peer;
    struct sas_address own = peer->model->vms[peer->own_id].peer;
    own.port = 0;
    struct sockaddr_storage from;
    struct sockaddr_storage to;
    if (SasConnection_ParseAddress(&own, &from) < 0 ||
        SasConnection_ParseAddress(
            &peer->model->vms[connection->member_id].peer, &to) < 0) {
        return -1;
    }
    if (uv_tcp_bind(&connection->tcp, (struct sockaddr *)&from, 0) < 0) {
        return -1;
    }
    return uv_tcp_connect(request, &connection->tcp, (struct sockaddr *)&to,
                          on_connected);
}

static void
on_connected(uv_connect_t *request, int status)
{
    struct sas_connection *connection = request->data;
    g_free(request);
    if (connection->state == SAS_CONNECTION_CLOSED) {
        return;
    }
    if (status < 0) {
        SasConnection_Close(connection, SAS_PEER_CONNECT_FAILED);
        return;
    }
    connection->state = SAS_CONNECTION_HELLO;
    start_reading(connection);
    send_hello(connection);
}

static void
on_closed(uv_handle_t *handle)
{
    struct sas_connection *connection = handle->data;
    struct sas_peer *peer = connection->peer;
    SasRecord_CloseReader(&connection->reader);
    g_free(connection);
    SasPeer_OnHandleClosed(peer);
}

static void
send_hello(struct sas_connection *connection)
{
    struct sas_peer *peer = connection->peer;
    struct sas_proto_message hello = {.procedure = SAS_RPC_HELLO};
    uint8_t nonce[SAS_RPC_NONCE_SIZE];
    if (RAND_bytes(nonce, sizeof(nonce)) != 1) {
        SasConnection_Close(connection, SAS_PEER_CONNECT_FAILED);
        return;
    }
    memcpy(hello.body.hello.nonce, nonce, sizeof(nonce));
    hello.xid = SasPeer_HELLO_XID;
    if (SasConnection_Send(connection, &hello, NULL) < 0) {
        SasConnection_Close(connection, SAS_PEER_CONNECT_FAILED);
        return;
    }
    SasPeer_Count(peer, SAS_PEER_CONNECTED);
    memcpy(connection->session.caller_nonce, nonce, sizeof(nonce));
}

/* Reading */

static void
start_reading(struct sas_connection *connection)
{
    uv_tcp_nodelay(&connection->tcp, 1);
    uv_read_start((uv_stream_t *)&connection->tcp, on_alloc, on_read);
}

static void
on_alloc(uv_handle_t *handle, size_t wanted, uv_buf_t *buffer)
{
    (void)wanted;
    struct sas_connection *connection = handle->data;
    *buffer = uv_buf_init(connection->peer->read_buffer,
                          sizeof(connection->peer->read_buffer));
}

static void
on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
    struct sas_connection *connection = stream->data;
    if (size < 0) {
        SasConnection_Close(connection, SAS_PEER_CONNECTION_LOST);
        return;
    }
    connection->peer->counters[SAS_PEER_BYTES_IN] += (uint64_t)size;
    const uint8_t *data = (const uint8_t *)buffer->base;
    size_t left = (size_t)size;
    while (left > 0 && connection->state != SAS_CONNECTION_CLOSED) {
        size_t used = 0;
        int result = SasRecord_Feed(&connection->reader, data, left, &used);
        if (result < 0) {
            SasConnection_Close(connection, SAS_PEER_BAD_RECORD);
            return;
        }
        if (result > 0) {
            handle_record(connection);
        }
        data += used;
        left -= used;
    }
}

static void
on_written(uv_write_t *request, int status)
{
    (void)status; /* a broken connection also ends the reads */
    struct write *write = (struct write *)request;
    g_free(write->bytes);
    g_free(write);
}

static void
handle_record(struct sas_connection *connection)
{
    struct sas_proto_message message;
    struct sas_error error;
    if (SasProto_Authenticate(connection->peer->key, &connection->session,
                              connection->reader.bytes,
                              connection->reader.size, &message, &error) < 0) {
        SasConnection_Close(connection, error.code == SAS_EAUTH
                                            ? SAS_PEER_BAD_DIGEST
                                            : SAS_PEER_BAD_MESSAGE);
        return;
    }
    if (message.is_reply != connection->outgoing) {
        SasConnection_Close(connection, SAS_PEER_BAD_MESSAGE);
        return;
    }
    if (connection->state == SAS_CONNECTION_OPEN) {
        handle_message(connection, &message);
    }
    else if (connection->outgoing) {
        handle_hello_reply(connection, &message);
    }
    else {
        handle_hello_call(connection, &message);
    }
}

/* A HELLO call may be a replay: it changes only the state of this connection,
 * on which nothing can be done without the key. */
static void
handle_hello_call(struct sas_connection *connection,
                  struct sas_proto_message *message)
{
    struct sas_peer *peer = connection->peer;
    struct sas_rpc_identity *identity = &message->identity;
    if (message->procedure != SAS_RPC_HELLO ||
        SasProto_Decode(message, NULL) < 0) {
        SasConnection_Close(connection, SAS_PEER_BAD_MESSAGE);
        return;
    }
    if (identity->receiver != (uint32_t)peer->own_id ||
        identity->receiver_incarnation != 0 ||
        identity->sender >= (uint32_t)peer->model->vm_count ||
        identity->sender == (uint32_t)peer->own_id) {
        SasConnection_Close(connection, SAS_PEER_BAD_IDENTITY);
        return;
    }
    connection->member_id = (int)identity->sender;
    connection->remote_incarnation =
        get_newest_incarnation(connection, identity);
    connection->last_xid = message->xid;
    memcpy(connection->session.caller_nonce, message->body.hello.nonce,
           SAS_RPC_NONCE_SIZE);
    struct sas_proto_message reply = {
        .xid = message->xid,
        .is_reply = true,
        .procedure = SAS_RPC_HELLO,
        .status = SUCCESS,
    };
    uint8_t nonce[SAS_RPC_NONCE_SIZE];
    if (RAND_bytes(nonce, sizeof(nonce)) != 1) {
        SasConnection_Close(connection, SAS_PEER_CONNECTION_LOST);
        return;
    }
    memcpy(reply.body.hello.nonce, nonce, sizeof(nonce));
    if (SasConnection_Send(connection, &reply, NULL) < 0) {
        SasConnection_Close(connection, SAS_PEER_CONNECTION_LOST);
        return;
    }
    if (connection->remote_incarnation != identity->sender_incarnation) {
        SasConnection_Close(connection, SAS_PEER_OLD_INCARNATION);
        return;
    }
    memcpy(connection->session.answerer_nonce, nonce, sizeof(nonce));
    connection->state = SAS_CONNECTION_OPEN;
    SasRecord_SetLimit(&connection->reader, SasProto_MAX_CALL_RECORD);
}

static void
handle_hello_reply(struct sas_connection *connection,
                   struct sas_proto_message *message)
{
    struct sas_peer *peer = connection->peer;
    const struct sas_rpc_identity *identity = &message->identity;
    message->procedure = SAS_RPC_HELLO;
    if (message->xid != SasPeer_HELLO_XID || message->status != SUCCESS ||
        SasProto_Decode(message, NULL) < 0) {
        SasConnection_Close(connection, SAS_PEER_BAD_MESSAGE);
        return;
    }
    if (identity->sender != (uint32_t)connection->member_id ||
        identity->receiver != (uint32_t)peer->own_id ||
        identity->receiver_incarnation < peer->incarnation) {
        SasConnection_Close(connection, SAS_PEER_BAD_IDENTITY);
        return;
    }
    if (identity->receiver_incarnation > peer->incarnation) {
        note_newer_process(peer, identity->receiver_incarnation);
        SasConnection_Close(connection, SAS_PEER_OLD_INCARNATION);
        return;
    }
    if (is_old_incarnation(connection, identity->sender_incarnation)) {
        SasConnection_Close(connection, SAS_PEER_OLD_INCARNATION);
        return;
    }
    connection->remote_incarnation = identity->sender_incarnation;
    memcpy(connection->session.answerer_nonce, message->body.hello.nonce,
           SAS_RPC_NONCE_SIZE);
    connection->state = SAS_CONNECTION_OPEN;
    connection->received_ms = SasPeer_GetNow();
    connection->received++;
    SasRecord_SetLimit(&connection->reader, SasProto_MAX_RECORD);
    SasPeer_OnOpened(connection);
}

static void
handle_message(struct sas_connection *connection,
               struct sas_proto_message *message)
{
    struct sas_peer *peer = connection->peer;
    struct sas_rpc_identity expected = {
        .sender = (uint32_t)connection->member_id,
        .sender_incarnation = connection->remote_incarnation,
        .receiver = (uint32_t)peer->own_id,
        .receiver_incarnation = peer->incarnation,
    };
    if (SasProto_CheckIdentity(message, &expected, NULL) < 0) {
        SasConnection_Close(connection, SAS_PEER_BAD_IDENTITY);
        return;
    }
    if (is_old_incarnation(connection, connection->remote_incarnation)) {
        SasConnection_Close(connection, SAS_PEER_OLD_INCARNATION);
        return;
    }
    /* Guards against a call that is replayed on the path, which would be a
     * second loan. Its HMAC is valid on this connection only, where its xid
     * was already used. */
    if (!connection->outgoing && message->xid <= connection->last_xid) {
        SasConnection_Close(connection, SAS_PEER_REPLAYED);
        return;
    }
    connection->received_ms = SasPeer_GetNow();
    connection->received++;
    SasMembership_NoteDirect(&peer->membership, connection->member_id,
                             connection->remote_incarnation,
                             connection->received_ms);
    if (connection->outgoing) {
        SasCall_HandleReply(connection, message);
        return;
    }
    connection->last_xid = message->xid;
    SasPeer_OnCall(connection, message);
}

/* Guards against a process that was paused, was replaced by a new one for the
 * same member and resumes: its calls and answers are based on outdated
 * state. */
static bool
is_old_incarnation(const struct sas_connection *connection,
                   uint64_t incarnation)
{
    const struct sas_peer *peer = connection->peer;
    return peer->membership.members[connection->member_id].incarnation >
           incarnation;
}

/* The incarnation of the caller of HELLO, or a higher one if known: the reply
 * contains it, so that an old process learns that it was replaced. */
static uint64_t
get_newest_incarnation(const struct sas_connection *connection,
                       const struct sas_rpc_identity *identity)
{
    const struct sas_peer *peer = connection->peer;
    return MAX(identity->sender_incarnation,
               peer->membership.members[connection->member_id].incarnation);
}

static void
note_newer_process(struct sas_peer *peer, uint64_t incarnation)
{
    struct sas_member_update update = {.member_id = peer->own_id,
                                       .incarnation = incarnation};
    SasMembership_Merge(&peer->membership, &update, SasPeer_GetNow());
}

/* Limits */

static bool
may_accept(struct sas_peer *peer, struct sas_connection *connection)
{
    int members = 0;
    int same_address = 0;
    if (get_remote_address(connection)) {
        for (int i = 0; i < peer->model->vm_count; i++) {
            struct sockaddr_storage address;
            uint8_t packed[16];
            if (SasConnection_ParseAddress(&peer->model->vms[i].peer,
                                           &address) == 0) {
                pack_address(&address, packed);
                members += memcmp(packed, connection->address, 16) == 0;
            }
        }
    }
    if (members == 0) {
        SasConnection_Close(connection, SAS_PEER_REFUSED_ADDRESS);
        return false;
    }
    for (guint i = 0; i < peer->accepted->len; i++) {
        struct sas_connection *other = peer->accepted->pdata[i];
        same_address += memcmp(other->address, connection->address, 16) == 0;
    }
    int total = 2 * peer->model->vm_count + SasPeer_SPARE_CONNECTIONS;
    if (same_address >= members * SasPeer_CONNECTIONS_PER_MEMBER ||
        (int)peer->accepted->len >= total) {
        SasConnection_Close(connection, SAS_PEER_REFUSED_LIMIT);
        return false;
    }
    return true;
}

static bool
get_remote_address(struct sas_connection *connection)
{
    struct sockaddr_storage address;
    int size = sizeof(address);
    memset(&address, 0, sizeof(address));
    if (uv_tcp_getpeername(&connection->tcp, (struct sockaddr *)&address,
                           &size) < 0) {
        return false;
    }
    pack_address(&address, connection->address);
    return true;
}

static void
pack_address(const struct sockaddr_storage *address, uint8_t packed[16])
{
    memset(packed, 0, 16);
    if (address->ss_family == AF_INET) {
        const struct sockaddr_in *v4 = (const struct sockaddr_in *)address;
        memcpy(packed, &v4->sin_addr, sizeof(v4->sin_addr));
        return;
    }
    const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)address;
    memcpy(packed, &v6->sin6_addr, 16);
}
