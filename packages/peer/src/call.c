#include "internal.h"

#include <string.h>

#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 5000

static uint32_t next_xid(struct sas_peer *peer);
static int ensure_connection(struct sas_peer *peer, int seat,
                             struct sas_error *error);
static void send_call(struct sas_peer *peer, struct sas_call *call);
static void doubt_connection(struct sas_peer *peer, struct sas_call *call);
static void finish(struct sas_peer *peer, struct sas_call *call,
                   const struct sas_error *error,
                   const union sas_proto_body *body);
static void fail(struct sas_peer *peer, struct sas_call *call,
                 enum sas_code code, const char *text);
static GArray *collect_xids(const struct sas_peer *peer);

/* Calls */

int
SasCall_Start(struct sas_peer *peer, int seat, uint32_t procedure,
              const union sas_proto_body *body, int64_t timeout_ms,
              SasPeer_AnswerFn *callback, void *context,
              struct sas_error *error)
{
    if (seat < 0 || seat >= peer->model->vm_count || seat == peer->own_seat ||
        peer->closing) {
        SasError_Set(error, SAS_EUNAVAILABLE, "peer.call", "",
                     "seat %d can't be called", seat);
        return -1;
    }
    const char *name = peer->model->vms[seat].name;
    struct sas_route *route = &peer->routes[seat];
    if (route->calls.length >= SasPeer_MAX_CALLS) {
        SasPeer_Count(peer, SAS_PEER_CALLS_REFUSED_LIMIT);
        SasError_Set(error, SAS_EUNAVAILABLE, "peer.call", name,
                     "too many calls wait for an answer");
        return -1;
    }
    struct sas_proto_message message = {.procedure = procedure, .body = *body};
    size_t size = 0;
    g_autofree uint8_t *bytes = SasProto_EncodeBody(&message, &size, error);
    uint32_t xid = next_xid(peer);
    if (bytes == NULL || ensure_connection(peer, seat, error) < 0) {
        return -1;
    }
    struct sas_call *call = g_new0(struct sas_call, 1);
    call->xid = xid;
    call->seat = seat;
    call->procedure = procedure;
    call->body = g_steal_pointer(&bytes);
    call->body_size = size;
    call->deadline_ms =
        SasPeer_GetNow() +
        (timeout_ms > 0 ? timeout_ms : peer->options.call_timeout_ms);
    call->callback = callback;
    call->context = context;
    g_hash_table_insert(peer->calls, GUINT_TO_POINTER(call->xid), call);
    g_queue_push_tail(&route->calls, call);
    SasPeer_Count(peer, SAS_PEER_CALLS);
    if (route->current != NULL &&
        route->current->state == SAS_CONNECTION_OPEN) {
        send_call(peer, call);
    }
    return 0;
}

void
SasCall_SendWaiting(struct sas_peer *peer, int seat)
{
    struct sas_route *route = &peer->routes[seat];
    int64_t now_ms = SasPeer_GetNow();
    for (GList *item = route->calls.head; item != NULL; item = item->next) {
        struct sas_call *call = item->data;
        if (call->connection == NULL && call->deadline_ms > now_ms) {
            send_call(peer, call);
        }
    }
}

/* Guards against an answer that is acted on when nobody waits for it any
 * more. It shows as a loan used after its lender took it back: the process
 * was paused, the answer lay in its socket meanwhile, and libuv reads
 * sockets before it runs the timer that would have given the call up. So the
 * clock is asked here, and it is one that also runs while the VM sleeps. */
void
SasCall_TakeReply(struct sas_connection *connection,
                  struct sas_proto_message *message)
{
    struct sas_peer *peer = connection->peer;
    struct sas_call *call =
        g_hash_table_lookup(peer->calls, GUINT_TO_POINTER(message->xid));
    if (call == NULL || call->connection != connection) {
        SasPeer_Count(peer, SAS_PEER_ANSWERS_LATE);
        return;
    }
    if (SasPeer_GetNow() >= call->deadline_ms) {
        SasPeer_Count(peer, SAS_PEER_ANSWERS_LATE);
        SasPeer_Count(peer, SAS_PEER_CALLS_TIMEOUT);
        fail(peer, call, SAS_ETIMEOUT, "the answer came too late");
        return;
    }
    if (message->status != SUCCESS) {
        SasPeer_Count(peer, SAS_PEER_ANSWERS_REFUSED);
        fail(peer, call, SAS_EINVAL, "the peer refused the call");
        return;
    }
    message->procedure = call->procedure;
    if (SasProto_Decode(message, NULL) < 0) {
        SasConnection_Close(connection, SAS_PEER_BAD_MESSAGE);
        return;
    }
    SasPeer_Count(peer, SAS_PEER_ANSWERS);
    finish(peer, call, NULL, &message->body);
    SasProto_FreeBody(message);
}

void
SasCall_FailConnection(struct sas_connection *connection)
{
    struct sas_peer *peer = connection->peer;
    struct sas_route *route = &peer->routes[connection->seat];
    g_autoptr(GArray) xids = collect_xids(peer);
    for (guint i = 0; i < xids->len; i++) {
        struct sas_call *call = g_hash_table_lookup(
            peer->calls, GUINT_TO_POINTER(g_array_index(xids, guint, i)));
        if (call == NULL || call->seat != connection->seat) {
            continue;
        }
        if (call->connection == connection) {
            SasPeer_Count(peer, SAS_PEER_CALLS_LOST);
            fail(peer, call, SAS_EIO, "the connection ended");
        }
        else if (call->connection == NULL && route->current == NULL) {
            SasPeer_Count(peer, SAS_PEER_CALLS_UNSENT);
            fail(peer, call, SAS_EUNAVAILABLE, "no connection");
        }
    }
}

void
SasCall_CheckDeadlines(struct sas_peer *peer, int64_t now_ms)
{
    g_autoptr(GArray) xids = collect_xids(peer);
    for (guint i = 0; i < xids->len; i++) {
        struct sas_call *call = g_hash_table_lookup(
            peer->calls, GUINT_TO_POINTER(g_array_index(xids, guint, i)));
        if (call == NULL || now_ms < call->deadline_ms) {
            continue;
        }
        if (call->connection == NULL) {
            SasPeer_Count(peer, SAS_PEER_CALLS_UNSENT);
            fail(peer, call, SAS_EUNAVAILABLE, "no connection in time");
            continue;
        }
        doubt_connection(peer, call);
        SasPeer_Count(peer, SAS_PEER_CALLS_TIMEOUT);
        fail(peer, call, SAS_ETIMEOUT, "no answer in time");
    }
}

void
SasCall_FailAll(struct sas_peer *peer)
{
    g_autoptr(GArray) xids = collect_xids(peer);
    for (guint i = 0; i < xids->len; i++) {
        struct sas_call *call = g_hash_table_lookup(
            peer->calls, GUINT_TO_POINTER(g_array_index(xids, guint, i)));
        if (call == NULL) {
            continue;
        }
        bool sent = call->connection != NULL;
        SasPeer_Count(peer,
                      sent ? SAS_PEER_CALLS_LOST : SAS_PEER_CALLS_UNSENT);
        fail(peer, call, sent ? SAS_EIO : SAS_EUNAVAILABLE,
             "the peer task ends");
    }
}

bool
SasCall_IsWaiting(const struct sas_route *route,
                  const struct sas_connection *connection)
{
    for (GList *item = route->calls.head; item != NULL; item = item->next) {
        const struct sas_call *call = item->data;
        if (call->connection == connection) {
            return true;
        }
    }
    return false;
}

/* Helpers */

/* xids rise over the life of the process. When they are used up, all
 * connections are renewed, since on each of them they have to rise. */
static uint32_t
next_xid(struct sas_peer *peer)
{
    if (peer->last_xid == UINT32_MAX) {
        for (int seat = 0; seat < peer->model->vm_count; seat++) {
            if (peer->routes[seat].current != NULL) {
                SasConnection_Close(peer->routes[seat].current,
                                    SAS_PEER_SUPERSEDED);
            }
        }
        peer->last_xid = SasPeer_HELLO_XID;
    }
    return ++peer->last_xid;
}

static int
ensure_connection(struct sas_peer *peer, int seat, struct sas_error *error)
{
    struct sas_route *route = &peer->routes[seat];
    if (route->current != NULL) {
        return 0;
    }
    const char *name = peer->model->vms[seat].name;
    int64_t now_ms = SasPeer_GetNow();
    if (now_ms < route->retry_ms) {
        SasPeer_Count(peer, SAS_PEER_CALLS_REFUSED_BACKOFF);
        SasError_Set(error, SAS_EUNAVAILABLE, "peer.connect", name,
                     "next try in %d ms", (int)(route->retry_ms - now_ms));
        return -1;
    }
    int64_t wait_ms = (int64_t)BACKOFF_MIN_MS << MIN(route->failures, 10);
    route->retry_ms = now_ms + MIN(wait_ms, BACKOFF_MAX_MS);
    route->failures++;
    route->current = SasConnection_Connect(peer, seat);
    if (route->current == NULL) {
        SasError_Set(error, SAS_EUNAVAILABLE, "peer.connect", name,
                     "no connection");
        return -1;
    }
    return 0;
}

static void
send_call(struct sas_peer *peer, struct sas_call *call)
{
    struct sas_connection *connection = peer->routes[call->seat].current;
    struct sas_proto_message message = {
        .xid = call->xid,
        .procedure = call->procedure,
        .encoded_body = call->body,
        .encoded_size = call->body_size,
    };
    if (SasConnection_Send(connection, &message, NULL) == 0) {
        call->connection = connection;
        call->received = connection->received;
    }
}

/* Guards against a connection that something between the two ends has lost
 * track of: it stays open and gives no answer for good, while a new one
 * works. No byte since the call was sent and the call's time is over: new
 * calls go on a new connection. The old one is closed when the new one
 * answers; if that stays silent too, it is the peer that is. */
static void
doubt_connection(struct sas_peer *peer, struct sas_call *call)
{
    struct sas_route *route = &peer->routes[call->seat];
    struct sas_connection *connection = call->connection;
    if (connection != route->current ||
        connection->received > call->received) {
        return;
    }
    if (route->doubted != NULL) {
        SasConnection_Close(route->doubted, SAS_PEER_CONNECTION_SILENT);
    }
    route->doubted = connection;
    route->doubted_received = connection->received;
    route->current = NULL;
    ensure_connection(peer, call->seat, NULL);
}

static void
finish(struct sas_peer *peer, struct sas_call *call,
       const struct sas_error *error, const union sas_proto_body *body)
{
    g_hash_table_remove(peer->calls, GUINT_TO_POINTER(call->xid));
    g_queue_remove(&peer->routes[call->seat].calls, call);
    SasPeer_AnswerFn *callback = call->callback;
    void *context = call->context;
    g_free(call->body);
    g_free(call);
    if (callback != NULL) {
        callback(context, error, body);
    }
}

static void
fail(struct sas_peer *peer, struct sas_call *call, enum sas_code code,
     const char *text)
{
    struct sas_error error;
    SasError_Set(&error, code, SasProto_GetName(call->procedure),
                 peer->model->vms[call->seat].name, "%s", text);
    finish(peer, call, &error, NULL);
}

/* Callbacks may start and end calls, so loops go over a list of xids. */
static GArray *
collect_xids(const struct sas_peer *peer)
{
    GArray *xids = g_array_new(FALSE, FALSE, sizeof(guint));
    GHashTableIter iter;
    gpointer key;
    g_hash_table_iter_init(&iter, peer->calls);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        guint xid = GPOINTER_TO_UINT(key);
        g_array_append_val(xids, xid);
    }
    return xids;
}
