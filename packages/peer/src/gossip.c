#include "internal.h"

#include <string.h>

#define RUMOR_TOKENS_PER_ROUND 0.5

/* An exchange or fetch under way. */
struct exchange {
    struct sas_peer *peer;
    int seat;
    SasPeer_AnswerFn *callback;
    void *context;
};

static void on_round(uv_timer_t *timer);
static void on_rumor(uv_timer_t *timer);
static void exchange_with_some(struct sas_peer *peer, int count);
static void start_exchange(struct sas_peer *peer, int seat);
static void on_gossip_answer(void *context, const struct sas_error *error,
                             const union sas_proto_body *body);
static void note_silence(struct sas_peer *peer, int seat);
static void refill_rumor_tokens(struct sas_peer *peer);
static int merge_seats(struct sas_peer *peer, int seat,
                       const struct sas_rpc_gossip *gossip);
static void note_own_version(struct sas_peer *peer, uint64_t version);
static bool is_newer(struct sas_peer *peer, uint64_t version);
static void fetch_config(struct sas_peer *peer, int seat);
static void on_config_answer(void *context, const struct sas_error *error,
                             const union sas_proto_body *body);
static void tell_some(struct sas_peer *peer, uint32_t procedure,
                      const union sas_proto_body *body, int count);
static struct exchange *new_exchange(struct sas_peer *peer, int seat);

/* Start and end */

void
SasGossip_Start(struct sas_peer *peer)
{
    SasMembership_GetTimes(peer->model->vm_count, peer->options.interval_ms,
                           &peer->membership.times);
    int64_t interval_ms = peer->membership.times.interval_ms;
    for (int i = 0; i < SasPeer_MAX_FETCHES; i++) {
        peer->fetch_seats[i] = SasModel_NONE;
    }
    peer->rumor_tokens = SasPeer_RUMOR_BURST;
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
SasPeer_AskGossip(struct sas_peer *peer, int seat, int64_t timeout_ms,
                  SasPeer_AnswerFn *callback, void *context,
                  struct sas_error *error)
{
    struct sas_rpc_seat seats[SasMembership_DIGEST_SEATS];
    union sas_proto_body body;
    memset(&body, 0, sizeof(body));
    SasGossip_Fill(peer, &body.gossip, seats);
    struct exchange *exchange = new_exchange(peer, seat);
    exchange->callback = callback;
    exchange->context = context;
    if (SasCall_Start(peer, seat, SAS_RPC_GOSSIP, &body, timeout_ms,
                      on_gossip_answer, exchange, error) < 0) {
        g_free(exchange);
        return -1;
    }
    return 0;
}

/* Guards against a storm: with many nodes that all learn things, each change
 * would start exchanges everywhere. Rounds out of turn cost a token; without
 * one the change waits for the next regular round, which carries it too. */
void
SasPeer_NoteChange(struct sas_peer *peer)
{
    if (peer->closing || peer->rumor_waiting) {
        return;
    }
    refill_rumor_tokens(peer);
    if (peer->rumor_tokens < 1) {
        SasPeer_Count(peer, SAS_PEER_RUMORS_HELD);
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
    tell_some(peer, SAS_RPC_QUARANTINE, &body, SasPeer_RUMOR_FANOUT);
}

void
SasPeer_SendLeaving(struct sas_peer *peer,
                    const struct sas_rpc_leaving_backend *backends, int count)
{
    union sas_proto_body body;
    memset(&body, 0, sizeof(body));
    body.leaving.seat = SAS_RPC_NO_SEAT;
    body.leaving.backends.backends_len = (u_int)count;
    body.leaving.backends.backends_val =
        (struct sas_rpc_leaving_backend *)backends;
    tell_some(peer, SAS_RPC_LEAVE, &body, SasPeer_RUMOR_FANOUT);
}

void
SasPeer_SetLeaving(struct sas_peer *peer)
{
    if (SasMembership_SetLeaving(&peer->membership) == 0) {
        return;
    }
    union sas_proto_body body;
    memset(&body, 0, sizeof(body));
    body.leaving.seat = (u_int)peer->own_seat;
    body.leaving.incarnation = peer->incarnation;
    tell_some(peer, SAS_RPC_LEAVE, &body, SasPeer_RUMOR_FANOUT);
}

/* What is said and heard */

void
SasGossip_Fill(struct sas_peer *peer, struct sas_rpc_gossip *gossip,
               struct sas_rpc_seat *seats)
{
    memset(gossip, 0, sizeof(*gossip));
    if (peer->handler->fill_gossip != NULL) {
        peer->handler->fill_gossip(peer->handler, gossip);
    }
    if (gossip->state == SAS_RPC_LEAVING) {
        SasMembership_SetLeaving(&peer->membership);
    }
    note_own_version(peer, gossip->config_version);
    const struct sas_member *self = &peer->membership.members[peer->own_seat];
    gossip->seat = (u_int)peer->own_seat;
    gossip->incarnation = peer->incarnation;
    gossip->state = self->leaving ? SAS_RPC_LEAVING : SAS_RPC_LIVE;
    struct sas_member_news news[SasMembership_DIGEST_SEATS];
    int count = SasMembership_FillDigest(
        &peer->membership, peer->options.random, SasPeer_GetNow(), news,
        SasMembership_DIGEST_SEATS);
    for (int i = 0; i < count; i++) {
        seats[i] = (struct sas_rpc_seat){
            .seat = (u_int)news[i].seat,
            .state = news[i].leaving ? SAS_RPC_LEAVING : SAS_RPC_LIVE,
            .incarnation = news[i].incarnation,
            .config_version = news[i].config_version,
            .heartbeat = news[i].heartbeat,
            .doubt = news[i].doubt,
            .age_ms = (u_int)MIN(news[i].age_ms, (int64_t)UINT32_MAX),
        };
    }
    gossip->seats.seats_len = (u_int)count;
    gossip->seats.seats_val = seats;
}

void
SasGossip_Take(struct sas_peer *peer, int seat,
               const struct sas_rpc_gossip *gossip)
{
    int changes = merge_seats(peer, seat, gossip);
    bool is_new = peer->handler->take_gossip != NULL &&
                  peer->handler->take_gossip(peer->handler, seat, gossip);
    if (is_newer(peer, gossip->config_version)) {
        fetch_config(peer, seat);
    }
    if (is_new || (changes & SAS_CHANGE_MEMBER) != 0) {
        SasPeer_NoteChange(peer);
    }
}

void
SasGossip_TakeQuarantines(struct sas_peer *peer, int seat,
                          const struct sas_rpc_quarantine_list *list)
{
    if (peer->handler->take_quarantines == NULL) {
        return;
    }
    if (peer->handler->take_quarantines(peer->handler, seat,
                                        list->entries.entries_val,
                                        (int)list->entries.entries_len)) {
        SasPeer_SendQuarantines(peer, list->entries.entries_val,
                                (int)list->entries.entries_len);
    }
}

void
SasGossip_TakeLeaving(struct sas_peer *peer, int seat,
                      const struct sas_rpc_leaving *leaving)
{
    bool is_new = peer->handler->take_leaving != NULL &&
                  peer->handler->take_leaving(peer->handler, seat, leaving);
    if (leaving->seat < (u_int)peer->model->vm_count &&
        leaving->seat != (u_int)peer->own_seat) {
        struct sas_member_news news = {
            .seat = (int)leaving->seat,
            .leaving = true,
            .incarnation = leaving->incarnation,
        };
        is_new |= SasMembership_Merge(&peer->membership, &news,
                                      SasPeer_GetNow()) != 0;
    }
    if (is_new) {
        union sas_proto_body body = {.leaving = *leaving};
        tell_some(peer, SAS_RPC_LEAVE, &body, SasPeer_RUMOR_FANOUT);
    }
}

/* Rounds */

static void
on_round(uv_timer_t *timer)
{
    struct sas_peer *peer = timer->data;
    SasPeer_Count(peer, SAS_PEER_ROUNDS);
    SasMembership_Beat(&peer->membership, SasPeer_GetNow());
    exchange_with_some(peer, peer->membership.times.fanout);
}

static void
on_rumor(uv_timer_t *timer)
{
    struct sas_peer *peer = timer->data;
    peer->rumor_waiting = false;
    SasPeer_Count(peer, SAS_PEER_RUMORS);
    exchange_with_some(peer, SasPeer_RUMOR_FANOUT);
}

static void
exchange_with_some(struct sas_peer *peer, int count)
{
    int seats[SasPeer_MAX_CALLS];
    count = SasMembership_PickPeers(&peer->membership, peer->options.random,
                                    SasPeer_GetNow(), seats,
                                    MIN(count, SasPeer_MAX_CALLS));
    for (int i = 0; i < count; i++) {
        start_exchange(peer, seats[i]);
    }
}

static void
start_exchange(struct sas_peer *peer, int seat)
{
    SasPeer_AskGossip(peer, seat, 0, NULL, NULL, NULL);
}

static void
on_gossip_answer(void *context, const struct sas_error *error,
                 const union sas_proto_body *body)
{
    g_autofree struct exchange *exchange = context;
    struct sas_peer *peer = exchange->peer;
    if (!peer->closing && error == NULL) {
        SasGossip_Take(peer, exchange->seat, &body->gossip);
    }
    else if (!peer->closing && error->code != SAS_EINVAL) {
        note_silence(peer, exchange->seat);
    }
    if (exchange->callback != NULL) {
        exchange->callback(exchange->context, error, body);
    }
}

static void
note_silence(struct sas_peer *peer, int seat)
{
    if (SasMembership_NoteSilence(&peer->membership, seat, SasPeer_GetNow()) !=
        0) {
        SasPeer_NoteChange(peer);
    }
    else if (SasMembership_MayRetry(&peer->membership, seat)) {
        start_exchange(peer, seat);
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
            SasPeer_RUMOR_BURST);
}

static int
merge_seats(struct sas_peer *peer, int seat,
            const struct sas_rpc_gossip *gossip)
{
    int64_t now_ms = SasPeer_GetNow();
    int changes = 0;
    for (u_int i = 0; i < gossip->seats.seats_len; i++) {
        const struct sas_rpc_seat *row = &gossip->seats.seats_val[i];
        if (row->seat >= (u_int)peer->model->vm_count) {
            continue;
        }
        struct sas_member_news news = {
            .seat = (int)row->seat,
            .leaving = row->state == SAS_RPC_LEAVING,
            .incarnation = row->incarnation,
            .config_version = row->config_version,
            .heartbeat = row->heartbeat,
            .doubt = row->doubt,
            .age_ms = row->age_ms,
        };
        changes |= SasMembership_Merge(&peer->membership, &news, now_ms);
    }
    SasMembership_NoteDirect(&peer->membership, seat, gossip->incarnation,
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

/* The owner may have adopted a version since it was last asked. */
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
fetch_config(struct sas_peer *peer, int seat)
{
    int place = SasModel_NONE;
    for (int i = 0; i < SasPeer_MAX_FETCHES; i++) {
        if (peer->fetch_seats[i] == seat) {
            return;
        }
        if (peer->fetch_seats[i] == SasModel_NONE) {
            place = i;
        }
    }
    if (place == SasModel_NONE) {
        return;
    }
    struct exchange *exchange = new_exchange(peer, seat);
    if (SasPeer_AskConfig(peer, seat, peer->own_version, 0, on_config_answer,
                          exchange, NULL) < 0) {
        g_free(exchange);
        return;
    }
    peer->fetch_seats[place] = seat;
    SasPeer_Count(peer, SAS_PEER_FETCHES);
}

static void
on_config_answer(void *context, const struct sas_error *error,
                 const union sas_proto_body *body)
{
    g_autofree struct exchange *exchange = context;
    struct sas_peer *peer = exchange->peer;
    for (int i = 0; i < SasPeer_MAX_FETCHES; i++) {
        if (peer->fetch_seats[i] == exchange->seat) {
            peer->fetch_seats[i] = SasModel_NONE;
        }
    }
    if (error != NULL || peer->closing || peer->handler->take_config == NULL ||
        body->config.number <= peer->own_version) {
        return;
    }
    if (peer->handler->take_config(peer->handler, exchange->seat,
                                   &body->config)) {
        SasPeer_Count(peer, SAS_PEER_CONFIGS_TAKEN);
        SasPeer_NoteChange(peer);
    }
}

/* Helpers */

static void
tell_some(struct sas_peer *peer, uint32_t procedure,
          const union sas_proto_body *body, int count)
{
    int seats[SasPeer_MAX_CALLS];
    count = SasMembership_PickPeers(&peer->membership, peer->options.random,
                                    SasPeer_GetNow(), seats,
                                    MIN(count, SasPeer_MAX_CALLS));
    for (int i = 0; i < count; i++) {
        SasCall_Start(peer, seats[i], procedure, body, 0, NULL, NULL, NULL);
    }
}

static struct exchange *
new_exchange(struct sas_peer *peer, int seat)
{
    struct exchange *exchange = g_new0(struct exchange, 1);
    exchange->peer = peer;
    exchange->seat = seat;
    return exchange;
}
