#include "peers.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "sas/log.h"
#include "sas/metrics.h"
#include "sas/secret.h"

#define TICK_MS 250
/* A report this old says nothing any more and is not passed on. */
#define MAX_LOAD_AGE_MS 5000
/* Without a key file (one VM on loopback) this stands for the key. */
#define NO_KEY "sassafrassill without a key file"

struct heard_load {
    struct sas_load_report report;
    int64_t heard_at; /* 0: never */
};

struct sas_peers {
    struct sas_peer_handler handler; /* first: the peer task's vtable */
    struct sas_peers_parts parts;
    struct sas_peer *peer;
    struct heard_load *loads; /* by backend server, heard by this node */
    struct sas_rpc_load *load_rows;
    struct sas_rpc_share shares[SAS_RPC_MAX_SHARES];
    char *config_text;
    bool replaced;
    uv_timer_t timer;
    int counters[SAS_PEER_COUNTER_COUNT];
    uint64_t counted[SAS_PEER_COUNTER_COUNT];
};

static void fill_gossip(struct sas_peer_handler *handler,
                        struct sas_rpc_gossip *gossip);
static bool take_gossip(struct sas_peer_handler *handler, int seat,
                        const struct sas_rpc_gossip *gossip);
static int provide_config(struct sas_peer_handler *handler, uint64_t have,
                          struct sas_rpc_config *config);
static bool take_config(struct sas_peer_handler *handler, int seat,
                        const struct sas_rpc_config *config);
static bool take_quarantines(struct sas_peer_handler *handler, int seat,
                             const struct sas_rpc_quarantine *entries,
                             int count);
static uint64_t answer_borrow(struct sas_peer_handler *handler, int seat,
                              const struct sas_rpc_borrow *borrow);
static int take_return(struct sas_peer_handler *handler, int seat,
                       const struct sas_rpc_return *back);
static void answer_disown(struct sas_peer_handler *handler, int seat,
                          struct sas_rpc_disown_list *rows);
static void on_tick(uv_timer_t *timer);

/* The key from its file, or NULL with an error. */
static char *
read_key(const char *path, struct sas_error *error)
{
    return path != NULL ? SasSecret_Load(path, error) : g_strdup(NO_KEY);
}

struct sas_peers *
SasPeers_Open(const struct sas_peers_parts *parts, struct sas_error *error)
{
    const struct sas_model *model = &parts->settings->model;
    char *key = read_key(parts->settings->peer_key_file, error);
    if (key == NULL) {
        return NULL;
    }
    struct sas_peers *peers = g_new0(struct sas_peers, 1);
    peers->parts = *parts;
    peers->handler.fill_gossip = fill_gossip;
    peers->handler.take_gossip = take_gossip;
    peers->handler.provide_config = provide_config;
    peers->handler.take_config = take_config;
    peers->handler.take_quarantines = take_quarantines;
    peers->handler.answer_borrow = answer_borrow;
    peers->handler.take_return = take_return;
    peers->handler.answer_disown = answer_disown;
    peers->loads = g_new0(struct heard_load, model->backend_count);
    peers->load_rows = g_new0(struct sas_rpc_load, model->backend_count);
    struct sas_peer_options options;
    SasPeer_InitOptions(&options);
    options.random = parts->random;
    int opened = SasPeer_Open(
        &peers->peer, parts->loop, model, parts->own_vm, (const uint8_t *)key,
        strlen(key), parts->incarnation, &peers->handler, &options, error);
    SasSecret_Free(key);
    if (opened != 0) {
        g_free(peers->loads);
        g_free(peers->load_rows);
        g_free(peers);
        return NULL;
    }
    for (int i = 0; i < SAS_PEER_COUNTER_COUNT; i++) {
        peers->counters[i] = SasMetrics_Register(
            parts->counters->metrics, "sas_peer_events_total", "event",
            SasPeer_GetCounterName((enum sas_peer_counter)i),
            "Events of the connections between entry VMs");
    }
    SasLending_SetPeer(parts->lending, peers->peer);
    uv_timer_init(parts->loop, &peers->timer);
    peers->timer.data = peers;
    uv_timer_start(&peers->timer, on_tick, TICK_MS, TICK_MS);
    return peers;
}

static void
on_peer_closed(void *context)
{
    struct sas_peers *peers = context;
    g_free(peers->loads);
    g_free(peers->load_rows);
    g_free(peers->config_text);
    g_free(peers);
}

static void
on_timer_closed(uv_handle_t *handle)
{
    struct sas_peers *peers = handle->data;
    SasLending_SetPeer(peers->parts.lending, NULL);
    SasPeer_Close(peers->peer, on_peer_closed, peers);
}

void
SasPeers_Close(struct sas_peers *peers)
{
    uv_close((uv_handle_t *)&peers->timer, on_timer_closed);
}

void
SasPeers_NoteChange(struct sas_peers *peers)
{
    SasPeer_NoteChange(peers->peer);
}

void
SasPeers_SendQuarantines(struct sas_peers *peers)
{
    struct sas_rpc_quarantine *entries;
    int count = SasGuard_FillEntries(peers->parts.guard, &entries);
    SasPeer_SendQuarantines(peers->peer, entries, count);
}

void
SasPeers_SetLeaving(struct sas_peers *peers)
{
    SasPeer_SetLeaving(peers->peer);
}

void
SasPeers_NoteLoad(struct sas_peers *peers, int backend,
                  const struct sas_load_report *report)
{
    struct heard_load *load = &peers->loads[backend];
    char incarnation[SasModel_NAME_SIZE];
    memcpy(incarnation, load->report.incarnation, sizeof(incarnation));
    load->report = *report;
    if (report->incarnation[0] == '\0') {
        /* Answers state the load without the incarnation. */
        memcpy(load->report.incarnation, incarnation, sizeof(incarnation));
    }
    load->heard_at = (int64_t)uv_now(peers->parts.loop);
}

/* Telling. */

uint64_t
SasPeers_HashIncarnation(const char *incarnation)
{
    return incarnation[0] != '\0'
               ? XXH3_64bits(incarnation, strlen(incarnation))
               : 0;
}

static u_int
fill_loads(struct sas_peers *peers)
{
    int64_t now = (int64_t)uv_now(peers->parts.loop);
    int count = peers->parts.settings->model.backend_count;
    u_int used = 0;
    for (int i = 0; i < count && used < SAS_RPC_MAX_LOADS; i++) {
        const struct heard_load *load = &peers->loads[i];
        if (load->heard_at == 0 || now - load->heard_at > MAX_LOAD_AGE_MS) {
            continue;
        }
        struct sas_rpc_load *row = &peers->load_rows[used++];
        const char *incarnation = load->report.incarnation;
        row->backend = (u_int)i;
        row->running = (u_int)MAX(load->report.running, 0);
        row->queued = (u_int)MAX(load->report.queued, 0);
        row->age_ms = (u_int)(now - load->heard_at);
        row->leaving = load->report.leaving;
        row->incarnation = SasPeers_HashIncarnation(incarnation);
    }
    return used;
}

static void
fill_gossip(struct sas_peer_handler *handler, struct sas_rpc_gossip *gossip)
{
    struct sas_peers *peers = (struct sas_peers *)handler;
    gossip->config_version = (uint64_t)SasSteer_GetVersion(peers->parts.steer);
    gossip->loads.loads_len = fill_loads(peers);
    gossip->loads.loads_val = peers->load_rows;
    SasLending_FillGossip(peers->parts.lending, gossip);
    gossip->shares.shares_len = (u_int)SasSteer_FillShares(
        peers->parts.steer, peers->shares, SAS_RPC_MAX_SHARES);
    gossip->shares.shares_val = peers->shares;
    gossip->quarantines.quarantines_len = (u_int)SasGuard_FillEntries(
        peers->parts.guard, &gossip->quarantines.quarantines_val);
}

static int
provide_config(struct sas_peer_handler *handler, uint64_t have,
               struct sas_rpc_config *config)
{
    struct sas_peers *peers = (struct sas_peers *)handler;
    const struct sas_config *current =
        SasConfigure_GetCurrent(peers->parts.configure);
    if (current == NULL || (uint64_t)current->number <= have) {
        config->number = 0;
        return 0;
    }
    free(peers->config_text);
    peers->config_text =
        SasConfig_Encode(current, &peers->parts.settings->model);
    size_t size = strlen(peers->config_text);
    if (size > SAS_RPC_MAX_CONFIG) {
        return -1; /* too large for a message: the store has it */
    }
    config->number = (uint64_t)current->number;
    config->base = 0;
    config->bytes.bytes_val = peers->config_text;
    config->bytes.bytes_len = (u_int)size;
    return 0;
}

/* Taking. */

static void
take_load(struct sas_peers *peers, const struct sas_rpc_load *row)
{
    const struct sas_model *model = &peers->parts.settings->model;
    if (row->backend >= (u_int)model->backend_count ||
        row->age_ms > MAX_LOAD_AGE_MS) {
        return;
    }
    const struct heard_load *own = &peers->loads[row->backend];
    int64_t now = (int64_t)uv_now(peers->parts.loop);
    if (own->heard_at != 0 && now - own->heard_at <= (int64_t)row->age_ms) {
        return; /* what this node heard itself is newer */
    }
    struct sas_load_report report = {
        .running = (int)MIN(row->running, 1000000u),
        .queued = (int)MIN(row->queued, 1000000u),
        .leaving = row->leaving,
    };
    SasSteer_TakeLoad(peers->parts.steer, (int)row->backend, &report,
                      row->incarnation, row->age_ms);
}

static bool
take_gossip(struct sas_peer_handler *handler, int seat,
            const struct sas_rpc_gossip *gossip)
{
    struct sas_peers *peers = (struct sas_peers *)handler;
    SasLending_TakeGossip(peers->parts.lending, seat, gossip);
    if (gossip->config_version ==
        (uint64_t)SasSteer_GetVersion(peers->parts.steer)) {
        SasSteer_TakeShares(peers->parts.steer, gossip->shares.shares_val,
                            (int)gossip->shares.shares_len);
    }
    for (u_int i = 0; i < gossip->loads.loads_len; i++) {
        take_load(peers, &gossip->loads.loads_val[i]);
    }
    return SasGuard_TakeEntries(peers->parts.guard,
                                gossip->quarantines.quarantines_val,
                                (int)gossip->quarantines.quarantines_len);
}

static bool
take_quarantines(struct sas_peer_handler *handler, int seat,
                 const struct sas_rpc_quarantine *entries, int count)
{
    struct sas_peers *peers = (struct sas_peers *)handler;
    (void)seat;
    return SasGuard_TakeEntries(peers->parts.guard, entries, count);
}

static bool
take_config(struct sas_peer_handler *handler, int seat,
            const struct sas_rpc_config *offer)
{
    struct sas_peers *peers = (struct sas_peers *)handler;
    const struct sas_model *model = &peers->parts.settings->model;
    struct sas_error error = {0};
    struct sas_config *config = SasConfig_Decode(
        model, offer->bytes.bytes_val, offer->bytes.bytes_len, &error);
    if (config == NULL) {
        g_strlcpy(error.peer, model->vms[seat].name, sizeof(error.peer));
        SasLog_WriteError(SasLog_ERROR, &error);
        return false;
    }
    bool taken = SasConfigure_Offer(peers->parts.configure, config);
    SasConfig_Unref(config);
    return taken;
}

static uint64_t
answer_borrow(struct sas_peer_handler *handler, int seat,
              const struct sas_rpc_borrow *borrow)
{
    struct sas_peers *peers = (struct sas_peers *)handler;
    return SasLending_AnswerBorrow(peers->parts.lending, seat, borrow);
}

static int
take_return(struct sas_peer_handler *handler, int seat,
            const struct sas_rpc_return *back)
{
    struct sas_peers *peers = (struct sas_peers *)handler;
    SasLending_TakeReturn(peers->parts.lending, seat, back);
    return 0;
}

static void
answer_disown(struct sas_peer_handler *handler, int seat,
              struct sas_rpc_disown_list *rows)
{
    struct sas_peers *peers = (struct sas_peers *)handler;
    SasLending_AnswerDisown(peers->parts.lending, seat, rows);
}

/* Views of the other entry VMs, and the task's own counters. */
static void
on_tick(uv_timer_t *timer)
{
    struct sas_peers *peers = timer->data;
    const struct sas_membership *table = SasPeer_GetMembership(peers->peer);
    struct sas_metrics *metrics = peers->parts.counters->metrics;
    int64_t now = SasPeer_GetNow();
    bool cut_off = SasMembership_IsCutOff(table, now);
    if (table->replaced_by != 0 && !peers->replaced) {
        peers->replaced = true;
        peers->parts.listener->on_replaced(peers->parts.listener);
    }
    for (int i = 0; i < table->count; i++) {
        enum sas_member_state state = SasMembership_GetState(table, i, now);
        bool live = i == table->own || cut_off || state == SAS_MEMBER_LIVE ||
                    state == SAS_MEMBER_LEAVING;
        SasSteer_TakePeer(peers->parts.steer, i, live,
                          state == SAS_MEMBER_LEAVING);
    }
    for (int i = 0; i < SAS_PEER_COUNTER_COUNT; i++) {
        uint64_t count =
            SasPeer_GetCounter(peers->peer, (enum sas_peer_counter)i);
        SasMetrics_Add(metrics, peers->counters[i], count - peers->counted[i]);
        peers->counted[i] = count;
    }
}

json_t *
SasPeers_Describe(const struct sas_peers *peers)
{
    const struct sas_model *model = &peers->parts.settings->model;
    const struct sas_membership *table = SasPeer_GetMembership(peers->peer);
    int64_t now = SasPeer_GetNow();
    json_t *rows = json_array();
    for (int i = 0; i < table->count; i++) {
        if (i == table->own) {
            continue;
        }
        enum sas_member_state state = SasMembership_GetState(table, i, now);
        int64_t age = SasMembership_GetAge(table, i, now);
        json_array_append_new(
            rows,
            json_pack(
                "{s:s, s:I, s:I, s:s}", "vm", model->vms[i].name, "version",
                (json_int_t)table->members[i].config_version, "age_ms",
                state == SAS_MEMBER_UNKNOWN ? (json_int_t)-1 : (json_int_t)age,
                "state", SasMembership_GetStateName(state)));
    }
    return rows;
}
