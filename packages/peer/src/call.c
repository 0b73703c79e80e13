#include "internal.h"

#include <string.h>

#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 5000

static uint32_t next_xid(struct sas_peer *peer);
static int ensure_connection(struct sas_peer *peer, int member_id,
                             struct sas_error *error);
static void send_call(struct sas_peer *peer, struct sas_call *call);
static void replace_stalled_connection(struct sas_peer *peer,
                                       struct sas_call *call);
static void finish(struct sas_peer *peer, struct sas_call *call,
                   const struct sas_error *error,
                   const union sas_proto_body *body);
static void fail(struct sas_peer *peer, struct sas_call *call,
                 enum sas_error_code code, const char *text);
static GArray *collect_xids(const struct sas_peer *peer);

/* Calls */

int
SasCall_Start(struct sas_peer *peer, int member_id, uint32_t procedure,
              const union sas_proto_body *body, int64_t timeout_ms,
              SasPeer_AnswerFn *callback, void *context,
              struct sas_error *error)
{
    if (member_id < 0 || member_id >= peer->model->vm_count ||
        member_id == peer->own_id || peer->closing) {
        SasError_Set(error, SAS_EUNAVAILABLE, "peer.call", "",
                     "member %d can't be called", member_id);
        return -1;
    }
    const char *name = peer->model->vms[member_id].name;
    struct sas_peer_link *link = &peer->links[member_id];
    if (link->calls.length >= SasPeer_MAX_CALLS) {
        SasPeer_Count(peer, SAS_PEER_CALLS_REFUSED_LIMIT);
        SasError_Set(error, SAS_EUNAVAILABLE, "peer.call", name,
                     "too many calls wait for an answer");
        return -1;
    }
    struct sas_proto_message message = {.procedure = procedure, .body = *body};
    size_t size = 0;
    g_autofree uint8_t *bytes = SasProto_EncodeBody(&message, &size, error);
    uint32_t xid = next_xid(peer);
    if (bytes == NULL || ensure_connection(peer, member_id, error) < 0) {
        return -1;
    }
    struct sas_call *call = g_new0(struct sas_call, 1);
    call->xid = xid;
    call->member_id = member_id;
    call->procedure = procedure;
    call->body = g_steal_pointer(&bytes);
    call->body_size = size;
    call->deadline_ms =
        SasPeer_GetNow() +
        (timeout_ms > 0 ? timeout_ms : peer->options.call_timeout_ms);
    call->callback = callback;
    call->context = context;
    g_hash_table_insert(peer->calls, GUINT_TO_POINTER(call->xid), call);
    g_queue_push_tail(&link->calls, call);
    SasPeer_Count(peer, SAS_PEER_CALLS);
    if (link->current != NULL && link->current->state == SAS_CONNECTION_OPEN) {
        send_call(peer, call);
    }
    return 0;
}

void
SasCall_SendPending(struct sas_peer *peer, int member_id)
{
    struct sas_peer_link *link = &peer->links[member_id];
    int64_t now_ms = SasPeer_GetNow();
    for (GList *item = link->calls.head; item != NULL; item = item->next) {
        struct sas_call *call = item->data;
        if (call->connection == NULL && call->deadline_ms > now_ms) {
            send_call(peer, call);
        }
    }
}

/* Guards against an answer that is used after its timeout, for example a loan
 * that the lender has already taken back: the process was paused while the
 * answer waited in its socket, and libuv reads sockets before it runs the
 * timer that would have failed the call. So the deadline is checked here, with
 * a clock that also runs while the VM is suspended. */
void
SasCall_HandleReply(struct sas_connection *connection,
                    struct sas_proto_message *message)
{
    struct sas_peer *peer = connection->peer;
    struct sas_call *call =
        g_hash_table_lookup(peer->calls, GUINT_TO_POINTER(message->xid));
    if (call == NULL || call->connection != connection) {
        SasPeer_Count(peer, SAS_PEER_REPLIES_LATE);
        return;
    }
    if (SasPeer_GetNow() >= call->deadline_ms) {
        SasPeer_Count(peer, SAS_PEER_REPLIES_LATE);
        SasPeer_Count(peer, SAS_PEER_CALLS_TIMEOUT);
        fail(peer, call, SAS_ETIMEOUT, "the answer arrived after the timeout");
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
    struct sas_peer_link *link = &peer->links[connection->member_id];
    g_autoptr(GArray) xids = collect_xids(peer);
    for (guint i = 0; i < xids->len; i++) {
        struct sas_call *call = g_hash_table_lookup(
            peer->calls, GUINT_TO_POINTER(g_array_index(xids, guint, i)));
        if (call == NULL || call->member_id != connection->member_id) {
            continue;
        }
        if (call->connection == connection) {
            SasPeer_Count(peer, SAS_PEER_CALLS_LOST);
            fail(peer, call, SAS_EIO, "the connection ended");
        }
        else if (call->connection == NULL && link->current == NULL) {
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
        replace_stalled_connection(peer, call);
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
             "the peer task is closed");
    }
}

bool
SasCall_HasPending(const struct sas_peer_link *link,
                   const struct sas_connection *connection)
{
    for (GList *item = link->calls.head; item != NULL; item = item->next) {
        const struct sas_call *call = item->data;
        if (call->connection == connection) {
            return true;
        }
    }
    return false;
}

/* Helpers */

/* xids rise over the life of the process. When they are used up, all
 * connections are replaced, as xids have to rise on each of them. */
static uint32_t
next_xid(struct sas_peer *peer)
{
    if (peer->last_xid == UINT32_MAX) {
        for (int member_id = 0; member_id < peer->model->vm_count;
             member_id++) {
            if (peer->links[member_id].current != NULL) {
                SasConnection_Close(peer->links[member_id].current,
                                    SAS_PEER_SUPERSEDED);
            }
        }
        peer->last_xid = SasPeer_HELLO_XID;
    }
    return ++peer->last_xid;
}

static int
ensure_connection(struct sas_peer *peer, int member_id,
                  struct sas_error *error)
{
    struct sas_peer_link *link = &peer->links[member_id];
    if (link->current != NULL) {
        return 0;
    }
    const char *name = peer->model->vms[member_id].name;
    int64_t now_ms = SasPeer_GetNow();
    if (now_ms < link->retry_ms) {
        SasPeer_Count(peer, SAS_PEER_CALLS_REFUSED_BACKOFF);
        SasError_Set(error, SAS_EUNAVAILABLE, "peer.connect", name,
                     "next try in %d ms", (int)(link->retry_ms - now_ms));
        return -1;
    }
    int64_t backoff_ms = (int64_t)BACKOFF_MIN_MS << MIN(link->failures, 10);
    link->retry_ms = now_ms + MIN(backoff_ms, BACKOFF_MAX_MS);
    link->failures++;
    link->current = SasConnection_Connect(peer, member_id);
    if (link->current == NULL) {
        SasError_Set(error, SAS_EUNAVAILABLE, "peer.connect", name,
                     "no connection");
        return -1;
    }
    return 0;
}

static void
send_call(struct sas_peer *peer, struct sas_call *call)
{
    struct sas_connection *connection = peer->links[call->member_id].current;
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

/* Guards against a connection that a middlebox (NAT, firewall) has forgotten:
 * it stays open and never carries an answer, while a new one works. If a call
 * timed out and no record has arrived since it was sent, new calls use a new
 * connection. The old one is closed when the new one opens; if that stalls
 * too, the peer itself is unresponsive. */
static void
replace_stalled_connection(struct sas_peer *peer, struct sas_call *call)
{
    struct sas_peer_link *link = &peer->links[call->member_id];
    struct sas_connection *connection = call->connection;
    if (connection != link->current || connection->received > call->received) {
        return;
    }
    if (link->stalled != NULL) {
        SasConnection_Close(link->stalled, SAS_PEER_CONNECTION_SILENT);
    }
    link->stalled = connection;
    link->stalled_received = connection->received;
    link->current = NULL;
    ensure_connection(peer, call->member_id, NULL);
}

static void
finish(struct sas_peer *peer, struct sas_call *call,
       const struct sas_error *error, const union sas_proto_body *body)
{
    g_hash_table_remove(peer->calls, GUINT_TO_POINTER(call->xid));
    g_queue_remove(&peer->links[call->member_id].calls, call);
    SasPeer_AnswerFn *callback = call->callback;
    void *context = call->context;
    g_free(call->body);
    g_free(call);
    if (callback != NULL) {
        callback(context, error, body);
    }
}

static void
fail(struct sas_peer *peer, struct sas_call *call, enum sas_error_code code,
     const char *text)
{
    struct sas_error error;
    SasError_Set(&error, code, SasProto_GetProcedureName(call->procedure),
                 peer->model->vms[call->member_id].name, "%s", text);
    finish(peer, call, &error, NULL);
}

/* Callbacks may start and end calls, so loops iterate over a list of xids. */
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
