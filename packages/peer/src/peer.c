#include "internal.h"

#include <string.h>
#include <time.h>

#define TICK_MS 25
#define LISTEN_BACKLOG 128
#define CALL_TIMEOUT_MS 1000
#define HELLO_TIMEOUT_MS 1000
#define IDLE_TIMEOUT_MS 60000

static const char *const counter_names[SAS_PEER_COUNTER_COUNT] = {
    [SAS_PEER_ACCEPTED] = "accepted",
    [SAS_PEER_REFUSED_ADDRESS] = "refused_address",
    [SAS_PEER_REFUSED_LIMIT] = "refused_limit",
    [SAS_PEER_BAD_RECORD] = "bad_record",
    [SAS_PEER_BAD_DIGEST] = "bad_digest",
    [SAS_PEER_BAD_MESSAGE] = "bad_message",
    [SAS_PEER_BAD_IDENTITY] = "bad_identity",
    [SAS_PEER_REPLAYED] = "replayed",
    [SAS_PEER_OLD_INCARNATION] = "old_incarnation",
    [SAS_PEER_HELLO_TIMEOUT] = "hello_timeout",
    [SAS_PEER_IDLE_CLOSED] = "idle_closed",
    [SAS_PEER_QUEUE_FULL] = "queue_full",
    [SAS_PEER_SUPERSEDED] = "superseded",
    [SAS_PEER_CONNECTED] = "connected",
    [SAS_PEER_CONNECT_FAILED] = "connect_failed",
    [SAS_PEER_CONNECTION_LOST] = "connection_lost",
    [SAS_PEER_CONNECTION_SILENT] = "connection_silent",
    [SAS_PEER_CALLS] = "calls",
    [SAS_PEER_CALLS_REFUSED_LIMIT] = "calls_refused_limit",
    [SAS_PEER_CALLS_REFUSED_BACKOFF] = "calls_refused_backoff",
    [SAS_PEER_CALLS_UNSENT] = "calls_unsent",
    [SAS_PEER_CALLS_LOST] = "calls_lost",
    [SAS_PEER_CALLS_TIMEOUT] = "calls_timeout",
    [SAS_PEER_ANSWERS] = "answers",
    [SAS_PEER_REPLIES_LATE] = "answers_late",
    [SAS_PEER_ANSWERS_REFUSED] = "answers_refused",
    [SAS_PEER_SERVED] = "served",
    [SAS_PEER_ROUNDS] = "rounds",
    [SAS_PEER_EXTRA_ROUNDS] = "rumors",
    [SAS_PEER_EXTRA_ROUNDS_HELD] = "rumors_held",
    [SAS_PEER_FETCHES] = "fetches",
    [SAS_PEER_CONFIGS_TAKEN] = "configs_taken",
    [SAS_PEER_BYTES_IN] = "bytes_in",
    [SAS_PEER_BYTES_OUT] = "bytes_out",
};

static struct sas_peer *new_peer(uv_loop_t *loop,
                                 const struct sas_model *model, int own_id,
                                 uint64_t incarnation,
                                 struct sas_peer_handler *handler,
                                 const struct sas_peer_options *options);
static int listen_on(struct sas_peer *peer, struct sas_error *error);
static void on_listen(uv_stream_t *listener, int status);
static void on_tick(uv_timer_t *timer);
static void on_handle_closed(uv_handle_t *handle);
static void close_connections(struct sas_peer *peer);
static void check_link(struct sas_peer *peer, int member_id, int64_t now_ms);
static void close_oldest_connection(struct sas_connection *connection);
static int serve(struct sas_connection *connection,
                 const struct sas_proto_message *call,
                 struct sas_proto_message *reply,
                 struct sas_rpc_member *members);
static int serve_config(struct sas_peer *peer, uint64_t have,
                        struct sas_rpc_config *config);
static int serve_borrow(struct sas_peer *peer, int member_id,
                        const struct sas_rpc_borrow *borrow,
                        struct sas_rpc_grant *grant);
static int serve_disown(struct sas_peer *peer, int member_id,
                        const struct sas_rpc_disown_list *rows,
                        struct sas_rpc_disown_list *clear);
static int serve_return(struct sas_peer *peer, int member_id,
                        const struct sas_rpc_loan_return *back);

/* Start and end */

void
SasPeer_InitOptions(struct sas_peer_options *options)
{
    memset(options, 0, sizeof(*options));
    options->listen_fd = -1;
    options->call_timeout_ms = CALL_TIMEOUT_MS;
    options->hello_timeout_ms = HELLO_TIMEOUT_MS;
    options->idle_timeout_ms = IDLE_TIMEOUT_MS;
}

int
SasPeer_Open(struct sas_peer **peer, uv_loop_t *loop,
             const struct sas_model *model, int own_id, const uint8_t *key,
             size_t key_size, uint64_t incarnation,
             struct sas_peer_handler *handler,
             const struct sas_peer_options *options, struct sas_error *error)
{
    *peer = NULL;
    if (own_id < 0 || own_id >= model->vm_count || incarnation == 0 ||
        options->random == NULL) {
        SasError_Set(error, SAS_EINVAL, "peer.open", "",
                     "no member %d, incarnation 0 or no random generator",
                     own_id);
        return -1;
    }
    struct sas_proto_key *proto_key = SasProto_NewKey(key, key_size, error);
    if (proto_key == NULL) {
        return -1;
    }
    struct sas_peer *created =
        new_peer(loop, model, own_id, incarnation, handler, options);
    created->key = proto_key;
    if (listen_on(created, error) < 0) {
        SasPeer_Close(created, NULL, NULL);
        return -1;
    }
    uv_timer_start(&created->tick, on_tick, TICK_MS, TICK_MS);
    SasGossip_Start(created);
    *peer = created;
    return 0;
}

void
SasPeer_Close(struct sas_peer *peer, void (*done)(void *context),
              void *context)
{
    if (peer->closing) {
        return;
    }
    peer->closing = true;
    peer->done = done;
    peer->done_context = context;
    SasCall_FailAll(peer);
    close_connections(peer);
    SasGossip_Stop(peer);
    uv_close((uv_handle_t *)&peer->listener, on_handle_closed);
    uv_close((uv_handle_t *)&peer->tick, on_handle_closed);
    uv_close((uv_handle_t *)&peer->round, on_handle_closed);
    uv_close((uv_handle_t *)&peer->rumor, on_handle_closed);
}

/* State */

int64_t
SasPeer_GetNow(void)
{
    struct timespec now;
    clock_gettime(CLOCK_BOOTTIME, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

const struct sas_membership *
SasPeer_GetMembership(const struct sas_peer *peer)
{
    return &peer->membership;
}

uint64_t
SasPeer_GetCounter(const struct sas_peer *peer, enum sas_peer_counter counter)
{
    return peer->counters[counter];
}

const char *
SasPeer_GetCounterName(enum sas_peer_counter counter)
{
    return counter_names[counter];
}

/* Calls */

int
SasPeer_CallConfig(struct sas_peer *peer, int member_id, uint64_t have,
                   int64_t timeout_ms, SasPeer_AnswerFn *callback,
                   void *context, struct sas_error *error)
{
    union sas_proto_body body = {.fetch = {.have_version = have}};
    return SasCall_Start(peer, member_id, SAS_RPC_FETCH_CONFIG, &body,
                         timeout_ms, callback, context, error);
}

int
SasPeer_CallBorrow(struct sas_peer *peer, int member_id,
                   const struct sas_rpc_borrow *borrow, int64_t timeout_ms,
                   SasPeer_AnswerFn *callback, void *context,
                   struct sas_error *error)
{
    union sas_proto_body body = {.borrow = *borrow};
    return SasCall_Start(peer, member_id, SAS_RPC_BORROW, &body, timeout_ms,
                         callback, context, error);
}

int
SasPeer_CallReturn(struct sas_peer *peer, int member_id,
                   const struct sas_rpc_loan_return *back, int64_t timeout_ms,
                   SasPeer_AnswerFn *callback, void *context,
                   struct sas_error *error)
{
    union sas_proto_body body = {.give_back = *back};
    return SasCall_Start(peer, member_id, SAS_RPC_RETURN, &body, timeout_ms,
                         callback, context, error);
}

int
SasPeer_CallDisown(struct sas_peer *peer, int member_id,
                   const struct sas_rpc_disown_list *rows, int64_t timeout_ms,
                   SasPeer_AnswerFn *callback, void *context,
                   struct sas_error *error)
{
    union sas_proto_body body = {.disown = *rows};
    return SasCall_Start(peer, member_id, SAS_RPC_DISOWN, &body, timeout_ms,
                         callback, context, error);
}

/* Called by the other modules */

void
SasPeer_Count(struct sas_peer *peer, enum sas_peer_counter counter)
{
    peer->counters[counter]++;
}

void
SasPeer_OnHandleClosed(struct sas_peer *peer)
{
    if (--peer->open_handles > 0 || !peer->closing) {
        return;
    }
    void (*done)(void *context) = peer->done;
    void *context = peer->done_context;
    SasProto_FreeKey(peer->key);
    SasMembership_Close(&peer->membership);
    g_ptr_array_free(peer->accepted, TRUE);
    g_hash_table_destroy(peer->calls);
    g_free(peer->links);
    g_free(peer);
    if (done != NULL) {
        done(context);
    }
}

void
SasPeer_OnOpened(struct sas_connection *connection)
{
    struct sas_peer *peer = connection->peer;
    struct sas_peer_link *link = &peer->links[connection->member_id];
    link->failures = 0;
    if (link->stalled != NULL &&
        link->stalled->received == link->stalled_received) {
        SasConnection_Close(link->stalled, SAS_PEER_CONNECTION_SILENT);
    }
    SasCall_SendPending(peer, connection->member_id);
}

void
SasPeer_OnCall(struct sas_connection *connection,
               struct sas_proto_message *message)
{
    struct sas_peer *peer = connection->peer;
    struct sas_proto_message reply = {
        .xid = message->xid,
        .is_reply = true,
        .procedure = message->procedure,
        .status = SUCCESS,
    };
    close_oldest_connection(connection);
    struct sas_rpc_member members[SasMembership_DIGEST_MEMBERS];
    bool decoded = false;
    if (message->procedure <= SAS_RPC_HELLO ||
        message->procedure > SAS_RPC_DISOWN) {
        reply.procedure = SAS_RPC_RETURN; /* any, as no body is sent */
        reply.status = PROC_UNAVAIL;
    }
    else if (SasProto_Decode(message, NULL) < 0) {
        SasConnection_Close(connection, SAS_PEER_BAD_MESSAGE);
        return;
    }
    else {
        decoded = true;
        SasPeer_Count(peer, SAS_PEER_SERVED);
        if (serve(connection, message, &reply, members) < 0) {
            reply.status = SYSTEM_ERR;
        }
    }
    if (connection->state == SAS_CONNECTION_OPEN &&
        SasConnection_Send(connection, &reply, NULL) < 0) {
        SasConnection_Close(connection, SAS_PEER_CONNECTION_LOST);
    }
    if (decoded) {
        SasProto_FreeBody(message); /* the reply may point into it */
    }
}

void
SasPeer_OnConnectionClosed(struct sas_connection *connection)
{
    struct sas_peer *peer = connection->peer;
    if (!connection->outgoing) {
        g_ptr_array_remove_fast(peer->accepted, connection);
        return;
    }
    struct sas_peer_link *link = &peer->links[connection->member_id];
    if (link->current == connection) {
        link->current = NULL;
    }
    if (link->stalled == connection) {
        link->stalled = NULL;
    }
    SasCall_FailConnection(connection);
}

/* Task */

static struct sas_peer *
new_peer(uv_loop_t *loop, const struct sas_model *model, int own_id,
         uint64_t incarnation, struct sas_peer_handler *handler,
         const struct sas_peer_options *options)
{
    struct sas_peer *peer = g_new0(struct sas_peer, 1);
    peer->loop = loop;
    peer->model = model;
    peer->own_id = own_id;
    peer->incarnation = incarnation;
    peer->handler = handler;
    peer->options = *options;
    peer->last_xid = SasPeer_HELLO_XID;
    peer->links = g_new0(struct sas_peer_link, model->vm_count);
    peer->accepted = g_ptr_array_new();
    peer->calls = g_hash_table_new(NULL, NULL);
    SasMembership_Init(&peer->membership, model->vm_count, own_id, incarnation,
                       SasPeer_GetNow());
    uv_tcp_init(loop, &peer->listener);
    uv_timer_init(loop, &peer->tick);
    uv_timer_init(loop, &peer->round);
    uv_timer_init(loop, &peer->rumor);
    peer->listener.data = peer;
    peer->tick.data = peer;
    peer->round.data = peer;
    peer->rumor.data = peer;
    peer->open_handles = 4;
    return peer;
}

static int
listen_on(struct sas_peer *peer, struct sas_error *error)
{
    int result;
    if (peer->options.listen_fd >= 0) {
        result = uv_tcp_open(&peer->listener, peer->options.listen_fd);
    }
    else {
        struct sockaddr_storage address;
        if (SasConnection_ParseAddress(&peer->model->vms[peer->own_id].peer,
                                       &address) < 0) {
            SasError_Set(error, SAS_EINVAL, "peer.listen", "",
                         "the own address is not an IP address");
            return -1;
        }
        result = uv_tcp_bind(&peer->listener, (struct sockaddr *)&address, 0);
    }
    if (result == 0) {
        result = uv_listen((uv_stream_t *)&peer->listener, LISTEN_BACKLOG,
                           on_listen);
    }
    if (result < 0) {
        SasError_Set(error, SAS_EIO, "peer.listen", "", "%s",
                     uv_strerror(result));
        return -1;
    }
    return 0;
}

static void
on_listen(uv_stream_t *listener, int status)
{
    if (status == 0) {
        SasConnection_Accept(listener->data);
    }
}

static void
on_tick(uv_timer_t *timer)
{
    struct sas_peer *peer = timer->data;
    int64_t now_ms = SasPeer_GetNow();
    SasCall_CheckDeadlines(peer, now_ms);
    for (int member_id = 0;
         member_id < peer->model->vm_count && !peer->closing; member_id++) {
        check_link(peer, member_id, now_ms);
    }
    for (guint i = peer->accepted->len; i > 0 && !peer->closing; i--) {
        SasConnection_CheckTimeout(peer->accepted->pdata[i - 1], now_ms,
                                   false);
    }
}

static void
on_handle_closed(uv_handle_t *handle)
{
    SasPeer_OnHandleClosed(handle->data);
}

static void
close_connections(struct sas_peer *peer)
{
    for (int member_id = 0; member_id < peer->model->vm_count; member_id++) {
        struct sas_peer_link *link = &peer->links[member_id];
        if (link->current != NULL) {
            SasConnection_Close(link->current, SAS_PEER_SUPERSEDED);
        }
        if (link->stalled != NULL) {
            SasConnection_Close(link->stalled, SAS_PEER_SUPERSEDED);
        }
    }
    while (peer->accepted->len > 0) {
        SasConnection_Close(peer->accepted->pdata[0], SAS_PEER_SUPERSEDED);
    }
}

static void
check_link(struct sas_peer *peer, int member_id, int64_t now_ms)
{
    struct sas_peer_link *link = &peer->links[member_id];
    if (link->stalled != NULL && link->current != NULL &&
        link->current->state == SAS_CONNECTION_OPEN &&
        !SasCall_HasPending(link, link->stalled)) {
        SasConnection_Close(link->stalled, SAS_PEER_SUPERSEDED);
    }
    if (link->stalled != NULL) {
        SasConnection_CheckTimeout(link->stalled, now_ms, false);
    }
    if (link->current != NULL) {
        SasConnection_CheckTimeout(link->current, now_ms,
                                   SasCall_HasPending(link, link->current));
    }
}

/* Keeps at most two accepted connections of a member: the newest one, and one
 * on which it may still read answers. Guards against a peer that reconnects as
 * a middlebox has forgotten its connections: these stay open here and would
 * use up the limit for its address. Only connections with a verified call
 * count, as a HELLO can be a replay. */
static void
close_oldest_connection(struct sas_connection *connection)
{
    struct sas_peer *peer = connection->peer;
    if (connection->verified) {
        return;
    }
    connection->verified = true;
    struct sas_connection *oldest = NULL;
    int older = 0;
    for (guint i = 0; i < peer->accepted->len; i++) {
        struct sas_connection *other = peer->accepted->pdata[i];
        if (other == connection || other->member_id != connection->member_id ||
            !other->verified) {
            continue;
        }
        older++;
        if (oldest == NULL || other->received_ms < oldest->received_ms) {
            oldest = other;
        }
    }
    if (older > 1) {
        SasConnection_Close(oldest, SAS_PEER_SUPERSEDED);
    }
}

/* Answers to calls of peers: 0, or -1 to refuse the call */

static int
serve(struct sas_connection *connection, const struct sas_proto_message *call,
      struct sas_proto_message *reply, struct sas_rpc_member *members)
{
    struct sas_peer *peer = connection->peer;
    int member_id = connection->member_id;
    switch (call->procedure) {
    case SAS_RPC_GOSSIP:
        SasGossip_Apply(peer, member_id, &call->body.gossip);
        SasGossip_Fill(peer, &reply->body.gossip, members);
        return 0;
    case SAS_RPC_FETCH_CONFIG:
        return serve_config(peer, call->body.fetch.have_version,
                            &reply->body.config);
    case SAS_RPC_BORROW:
        return serve_borrow(peer, member_id, &call->body.borrow,
                            &reply->body.grant);
    case SAS_RPC_RETURN:
        return serve_return(peer, member_id, &call->body.give_back);
    case SAS_RPC_DISOWN:
        return serve_disown(peer, member_id, &call->body.disown,
                            &reply->body.disown);
    case SAS_RPC_QUARANTINE:
        SasGossip_ApplyQuarantines(peer, member_id, &call->body.quarantine);
        return 0;
    case SAS_RPC_LEAVE:
        SasGossip_ApplyLeaving(peer, member_id, &call->body.leaving);
        return 0;
    default:
        return -1;
    }
}

static int
serve_config(struct sas_peer *peer, uint64_t have,
             struct sas_rpc_config *config)
{
    if (peer->handler->get_config == NULL) {
        return -1;
    }
    return peer->handler->get_config(peer->handler, have, config);
}

static int
serve_borrow(struct sas_peer *peer, int member_id,
             const struct sas_rpc_borrow *borrow, struct sas_rpc_grant *grant)
{
    if (peer->handler->on_borrow == NULL) {
        return -1;
    }
    grant->loan = borrow->loan;
    grant->granted =
        peer->handler->on_borrow(peer->handler, member_id, borrow);
    return 0;
}

/* The reply uses the call's rows, which are freed with the call. */
static int
serve_disown(struct sas_peer *peer, int member_id,
             const struct sas_rpc_disown_list *rows,
             struct sas_rpc_disown_list *clear)
{
    if (peer->handler->on_disown == NULL) {
        return -1;
    }
    *clear = *rows;
    peer->handler->on_disown(peer->handler, member_id, clear);
    return 0;
}

static int
serve_return(struct sas_peer *peer, int member_id,
             const struct sas_rpc_loan_return *back)
{
    if (peer->handler->on_return == NULL) {
        return -1;
    }
    return peer->handler->on_return(peer->handler, member_id, back);
}
