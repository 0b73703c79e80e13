#include "internal.h"

#include <string.h>

#define RUMOR_TOKENS_PER_ROUND 0.5

/* Context of a pending gossip call or config fetch. */
struct pending_call {
    struct sas_peer *peer;
    int member_id;
    SasPeer_AnswerFn *callback;
    void *context;
};

static void on_round(uv_timer_t *timer);
static void on_rumor(uv_timer_t *timer);
static void gossip_with_random_members(struct sas_peer *peer, int count);
static void start_gossip(struct sas_peer *peer, int member_id);
static void on_gossip_answer(void *context, const struct sas_error *error,
                             const union sas_proto_body *body);
static void note_timeout(struct sas_peer *peer, int member_id);
static void refill_rumor_tokens(struct sas_peer *peer);
static int merge_members(struct sas_peer *peer, int member_id,
                         const struct sas_rpc_gossip *gossip);
static void note_own_version(struct sas_peer *peer, uint64_t version);
static bool is_newer(struct sas_peer *peer, uint64_t version);
static void fetch_config(struct sas_peer *peer, int member_id);
static void on_config_answer(void *context, const struct sas_error *error,
                             const union sas_proto_body *body);
static void send_to_random_members(struct sas_peer *peer, uint32_t procedure,
                                   const union sas_proto_body *body,
                                   int count);
static struct pending_call *new_pending_call(struct sas_peer *peer,
                                             int member_id);

/* Start and end */

void
SasGossip_Start(struct sas_peer *peer)
{
    SasMembership_GetTimes(peer->model->vm_count, peer->options.interval_ms,
                           &peer->membership.times);
    int64_t interval_ms = peer->membership.times.interval_ms;
    for (int i = 0; i < SasPeer_MAX_FETCHES; i++) {
        peer->fetching_from[i] = SasModel_NONE;
    }
    peer->rumor_tokens = SasPeer_EXTRA_ROUND_BURST;
    peer->rumor_refill_ms = SasPeer_GetNow();
    uint64_t first_ms = (uint64_t)g_rand_int_range(peer->options.random, 0,
                                                   (gint32)interval_ms + 1);
    uv_timer_start(&peer->round, on_round, first_ms, (uint64_t)interval_ms);
}

void
SasGossip_Stop(struct sas_peer *peer)
{
    uv_timer_stop(&peer->round);
    uv_timer_stop(&peer->rumor);
}

/* Public calls */

int
SasPeer_CallGossip(struct sas_peer *peer, int member_id, int64_t timeout_ms,
                   SasPeer_AnswerFn *callback, void *context,
                   struct sas_error *error)
{
    struct sas_rpc_member members[SasMembership_DIGEST_MEMBERS];
    union sas_proto_body body;
    memset(&body, 0, sizeof(body));
    SasGossip_Fill(peer, &body.gossip, members);
    struct pending_call *pending = new_pending_call(peer, member_id);
    pending->callback = callback;
    pending->context = context;
    if (SasCall_Start(peer, member_id, SAS_RPC_GOSSIP, &body, timeout_ms,
                      on_gossip_answer, pending, error) < 0) {
        g_free(pending);
        return -1;
    }
    return 0;
}

/* Guards against a gossip storm: with many nodes, each change would start
 * calls at all of them. An extra round costs a token; without one the change
 * waits for the next regular round, which carries it too. */
void
SasPeer_GossipSoon(struct sas_peer *peer)
{
    if (peer->closing || peer->rumor_waiting) {
        return;
    }
    refill_rumor_tokens(peer);
    if (peer->rumor_tokens < 1) {
        SasPeer_Count(peer, SAS_PEER_EXTRA_ROUNDS_HELD);
        return;
    }
    peer->rumor_tokens -= 1;
    peer->rumor_waiting = true;
    uv_timer_start(&peer->rumor, on_rumor, 0, 0);
}

void
SasPeer_SendQuarantines(struct sas_peer *peer,
                        const struct sas_rpc_quarantine *entries, int count)
{
    union sas_proto_body body;
    memset(&body, 0, sizeof(body));
    body.quarantine.entries.entries_len = (u_int)count;
    body.quarantine.entries.entries_val = (struct sas_rpc_quarantine *)entries;
    send_to_random_members(peer, SAS_RPC_QUARANTINE, &body,
                           SasPeer_EXTRA_ROUND_FANOUT);
}

void
SasPeer_SendLeaving(struct sas_peer *peer,
                    const struct sas_rpc_leaving_backend *backends, int count)
{
    union sas_proto_body body;
    memset(&body, 0, sizeof(body));
    body.leaving.member_id = SAS_RPC_NO_MEMBER;
    body.leaving.backends.backends_len = (u_int)count;
    body.leaving.backends.backends_val =
        (struct sas_rpc_leaving_backend *)backends;
    send_to_random_members(peer, SAS_RPC_LEAVE, &body,
                           SasPeer_EXTRA_ROUND_FANOUT);
}

void
SasPeer_SetLeaving(struct sas_peer *peer)
{
    if (SasMembership_SetLeaving(&peer->membership) == 0) {
        return;
    }
    union sas_proto_body body;
    memset(&body, 0, sizeof(body));
    body.leaving.member_id = (u_int)peer->own_id;
    body.leaving.incarnation = peer->incarnation;
    send_to_random_members(peer, SAS_RPC_LEAVE, &body,
                           SasPeer_EXTRA_ROUND_FANOUT);
}

/* Sending and applying gossip */

void
SasGossip_Fill(struct sas_peer *peer, struct sas_rpc_gossip *gossip,
               struct sas_rpc_member *members)
{
    memset(gossip, 0, sizeof(*gossip));
    if (peer->handler->fill_gossip != NULL) {
        peer->handler->fill_gossip(peer->handler, gossip);
    }
    if (gossip->state == SAS_RPC_LEAVING) {
        SasMembership_SetLeaving(&peer->membership);
    }
    note_own_version(peer, gossip->config_version);
    const struct sas_member *self = &peer->membership.members[peer->own_id];
    gossip->member_id = (u_int)peer->own_id;
    gossip->incarnation = peer->incarnation;
    gossip->state = self->leaving ? SAS_RPC_LEAVING : SAS_RPC_LIVE;
    struct sas_member_update update[SasMembership_DIGEST_MEMBERS];
    int count = SasMembership_FillDigest(
        &peer->membership, peer->options.random, SasPeer_GetNow(), update,
        SasMembership_DIGEST_MEMBERS);
    for (int i = 0; i < count; i++) {
        members[i] = (struct sas_rpc_member){
            .member_id = (u_int)update[i].member_id,
            .state = update[i].leaving ? SAS_RPC_LEAVING : SAS_RPC_LIVE,
            .incarnation = update[i].incarnation,
            .config_version = update[i].config_version,
            .heartbeat = update[i].heartbeat,
            .suspicion = update[i].suspicion,
            .age_ms = (u_int)MIN(update[i].age_ms, (int64_t)UINT32_MAX),
        };
    }
    gossip->members.members_len = (u_int)count;
    gossip->members.members_val = members;
}

void
SasGossip_Apply(struct sas_peer *peer, int member_id,
                const struct sas_rpc_gossip *gossip)
{
    int changes = merge_members(peer, member_id, gossip);
    bool is_new = peer->handler->on_gossip != NULL &&
                  peer->handler->on_gossip(peer->handler, member_id, gossip);
    if (is_newer(peer, gossip->config_version)) {
        fetch_config(peer, member_id);
    }
    if (is_new || (changes & SAS_CHANGE_MEMBER) != 0) {
        SasPeer_GossipSoon(peer);
    }
}

void
SasGossip_ApplyQuarantines(struct sas_peer *peer, int member_id,
                           const struct sas_rpc_quarantine_list *list)
{
    if (peer->handler->on_quarantines == NULL) {
        return;
    }
    if (peer->handler->on_quarantines(peer->handler, member_id,
                                      list->entries.entries_val,
                                      (int)list->entries.entries_len)) {
        SasPeer_SendQuarantines(peer, list->entries.entries_val,
                                (int)list->entries.entries_len);
    }
}

void
SasGossip_ApplyLeaving(struct sas_peer *peer, int member_id,
                       const struct sas_rpc_leaving *leaving)
{
    bool is_new = peer->handler->on_leaving != NULL &&
                  peer->handler->on_leaving(peer->handler, member_id, leaving);
    if (leaving->member_id < (u_int)peer->model->vm_count &&
        leaving->member_id != (u_int)peer->own_id) {
        struct sas_member_update update = {
            .member_id = (int)leaving->member_id,
            .leaving = true,
            .incarnation = leaving->incarnation,
        };
        is_new |= SasMembership_Merge(&peer->membership, &update,
                                      SasPeer_GetNow()) != 0;
    }
    if (is_new) {
        union sas_proto_body body = {.leaving = *leaving};
        send_to_random_members(peer, SAS_RPC_LEAVE, &body,
                               SasPeer_EXTRA_ROUND_FANOUT);
    }
}

/* Rounds */

static void
on_round(uv_timer_t *timer)
{
    struct sas_peer *peer = timer->data;
    SasPeer_Count(peer, SAS_PEER_ROUNDS);
    SasMembership_IncrementHeartbeat(&peer->membership, SasPeer_GetNow());
    gossip_with_random_members(peer, peer->membership.times.fanout);
}

static void
on_rumor(uv_timer_t *timer)
{
    struct sas_peer *peer = timer->data;
    peer->rumor_waiting = false;
    SasPeer_Count(peer, SAS_PEER_EXTRA_ROUNDS);
    gossip_with_random_members(peer, SasPeer_EXTRA_ROUND_FANOUT);
}

static void
gossip_with_random_members(struct sas_peer *peer, int count)
{
    int member_ids[SasPeer_MAX_CALLS];
    count = SasMembership_PickPeers(&peer->membership, peer->options.random,
                                    SasPeer_GetNow(), member_ids,
                                    MIN(count, SasPeer_MAX_CALLS));
    for (int i = 0; i < count; i++) {
        start_gossip(peer, member_ids[i]);
    }
}

static void
start_gossip(struct sas_peer *peer, int member_id)
{
    SasPeer_CallGossip(peer, member_id, 0, NULL, NULL, NULL);
}

static void
on_gossip_answer(void *context, const struct sas_error *error,
                 const union sas_proto_body *body)
{
    g_autofree struct pending_call *pending = context;
    struct sas_peer *peer = pending->peer;
    if (!peer->closing && error == NULL) {
        SasGossip_Apply(peer, pending->member_id, &body->gossip);
    }
    else if (!peer->closing && error->code != SAS_EINVAL) {
        note_timeout(peer, pending->member_id);
    }
    if (pending->callback != NULL) {
        pending->callback(pending->context, error, body);
    }
}

static void
note_timeout(struct sas_peer *peer, int member_id)
{
    if (SasMembership_NoteTimeout(&peer->membership, member_id,
                                  SasPeer_GetNow()) != 0) {
        SasPeer_GossipSoon(peer);
    }
    else if (SasMembership_ShouldRetry(&peer->membership, member_id)) {
        start_gossip(peer, member_id);
    }
}

static void
refill_rumor_tokens(struct sas_peer *peer)
{
    int64_t now_ms = SasPeer_GetNow();
    double rounds = (double)(now_ms - peer->rumor_refill_ms) /
                    (double)peer->membership.times.interval_ms;
    peer->rumor_refill_ms = now_ms;
    peer->rumor_tokens =
        MIN(peer->rumor_tokens + rounds * RUMOR_TOKENS_PER_ROUND,
            SasPeer_EXTRA_ROUND_BURST);
}

static int
merge_members(struct sas_peer *peer, int member_id,
              const struct sas_rpc_gossip *gossip)
{
    int64_t now_ms = SasPeer_GetNow();
    int changes = 0;
    for (u_int i = 0; i < gossip->members.members_len; i++) {
        const struct sas_rpc_member *row = &gossip->members.members_val[i];
        if (row->member_id >= (u_int)peer->model->vm_count) {
            continue;
        }
        struct sas_member_update update = {
            .member_id = (int)row->member_id,
            .leaving = row->state == SAS_RPC_LEAVING,
            .incarnation = row->incarnation,
            .config_version = row->config_version,
            .heartbeat = row->heartbeat,
            .suspicion = row->suspicion,
            .age_ms = row->age_ms,
        };
        changes |= SasMembership_Merge(&peer->membership, &update, now_ms);
    }
    SasMembership_NoteDirect(&peer->membership, member_id, gossip->incarnation,
                             now_ms);
    return changes;
}

/* Configuration */

static void
note_own_version(struct sas_peer *peer, uint64_t version)
{
    peer->own_version = version;
    SasMembership_SetVersion(&peer->membership, version);
}

/* The owner may have adopted a version since the last own gossip. */
static bool
is_newer(struct sas_peer *peer, uint64_t version)
{
    if (version > peer->own_version && peer->handler->fill_gossip != NULL) {
        struct sas_rpc_gossip own;
        memset(&own, 0, sizeof(own));
        peer->handler->fill_gossip(peer->handler, &own);
        note_own_version(peer, own.config_version);
    }
    return version > peer->own_version;
}

static void
fetch_config(struct sas_peer *peer, int member_id)
{
    int free_index = SasModel_NONE;
    for (int i = 0; i < SasPeer_MAX_FETCHES; i++) {
        if (peer->fetching_from[i] == member_id) {
            return;
        }
        if (peer->fetching_from[i] == SasModel_NONE) {
            free_index = i;
        }
    }
    if (free_index == SasModel_NONE) {
        return;
    }
    struct pending_call *pending = new_pending_call(peer, member_id);
    if (SasPeer_CallConfig(peer, member_id, peer->own_version, 0,
                           on_config_answer, pending, NULL) < 0) {
        g_free(pending);
        return;
    }
    peer->fetching_from[free_index] = member_id;
    SasPeer_Count(peer, SAS_PEER_FETCHES);
}

static void
on_config_answer(void *context, const struct sas_error *error,
                 const union sas_proto_body *body)
{
    g_autofree struct pending_call *pending = context;
    struct sas_peer *peer = pending->peer;
    for (int i = 0; i < SasPeer_MAX_FETCHES; i++) {
        if (peer->fetching_from[i] == pending->member_id) {
            peer->fetching_from[i] = SasModel_NONE;
        }
    }
    if (error != NULL || peer->closing || peer->handler->on_config == NULL ||
        body->config.config_version <= peer->own_version) {
        return;
    }
    if (peer->handler->on_config(peer->handler, pending->member_id,
                                 &body->config)) {
        SasPeer_Count(peer, SAS_PEER_CONFIGS_TAKEN);
        SasPeer_GossipSoon(peer);
    }
}

/* Helpers */

static void
send_to_random_members(struct sas_peer *peer, uint32_t procedure,
                       const union sas_proto_body *body, int count)
{
    int member_ids[SasPeer_MAX_CALLS];
    count = SasMembership_PickPeers(&peer->membership, peer->options.random,
                                    SasPeer_GetNow(), member_ids,
                                    MIN(count, SasPeer_MAX_CALLS));
    for (int i = 0; i < count; i++) {
        SasCall_Start(peer, member_ids[i], procedure, body, 0, NULL, NULL,
                      NULL);
    }
}

static struct pending_call *
new_pending_call(struct sas_peer *peer, int member_id)
{
    struct pending_call *pending = g_new0(struct pending_call, 1);
    pending->peer = peer;
    pending->member_id = member_id;
    return pending;
}
