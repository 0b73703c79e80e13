#include "peer_sync.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "sas/log.h"
#include "sas/metrics.h"
#include "sas/secret.h"

#define TICK_MS 250
#define MAX_LOAD_AGE_MS 5000 /* older reports are neither sent nor applied */
/* Used as key without a key file (one VM on loopback). */
#define PLACEHOLDER_KEY "sassafrassill without a key file"

/* A load report that this node received from the backend server itself. */
struct own_report {
    struct sas_load_report report;
    int64_t received_at; /* 0: never */
};

struct sas_peer_sync {
    struct sas_peer_handler handler; /* first: the peer task's vtable */
    struct sas_peer_sync_options options;
    struct sas_peer *peer;
    struct own_report *loads; /* by backend server */
    struct sas_rpc_load *gossip_loads;
    struct sas_rpc_share shares[SAS_RPC_MAX_SHARES];
    char *config_text;
    bool replaced;
    uv_timer_t timer;
    int counters[SAS_PEER_COUNTER_COUNT];
    uint64_t reported_counts[SAS_PEER_COUNTER_COUNT];
};

static void fill_gossip(struct sas_peer_handler *handler,
                        struct sas_rpc_gossip *gossip);
static bool apply_gossip(struct sas_peer_handler *handler, int member_id,
                         const struct sas_rpc_gossip *gossip);
static int provide_config(struct sas_peer_handler *handler, uint64_t have,
                          struct sas_rpc_config *config);
static bool adopt_config(struct sas_peer_handler *handler, int member_id,
                         const struct sas_rpc_config *config);
static bool apply_quarantines(struct sas_peer_handler *handler, int member_id,
                              const struct sas_rpc_quarantine *entries,
                              int count);
static uint64_t answer_borrow(struct sas_peer_handler *handler, int member_id,
                              const struct sas_rpc_borrow *borrow);
static int accept_return(struct sas_peer_handler *handler, int member_id,
                         const struct sas_rpc_loan_return *back);
static void answer_disown(struct sas_peer_handler *handler, int member_id,
                          struct sas_rpc_disown_list *rows);
static void on_tick(uv_timer_t *timer);

/* The peer key, or NULL with an error. */
static char *
read_key(const char *path, struct sas_error *error)
{
    return path != NULL ? SasSecret_Load(path, error)
                        : g_strdup(PLACEHOLDER_KEY);
}

struct sas_peer_sync *
SasPeerSync_Open(const struct sas_peer_sync_options *options,
                 struct sas_error *error)
{
    const struct sas_model *model = &options->settings->model;
    char *key = read_key(options->settings->peer_key_file, error);
    if (key == NULL) {
        return NULL;
    }
    struct sas_peer_sync *sync = g_new0(struct sas_peer_sync, 1);
    sync->options = *options;
    sync->handler.fill_gossip = fill_gossip;
    sync->handler.on_gossip = apply_gossip;
    sync->handler.get_config = provide_config;
    sync->handler.on_config = adopt_config;
    sync->handler.on_quarantines = apply_quarantines;
    sync->handler.on_borrow = answer_borrow;
    sync->handler.on_return = accept_return;
    sync->handler.on_disown = answer_disown;
    sync->loads = g_new0(struct own_report, model->backend_count);
    sync->gossip_loads = g_new0(struct sas_rpc_load, model->backend_count);
    struct sas_peer_options peer_options;
    SasPeer_InitOptions(&peer_options);
    peer_options.random = options->random;
    int opened =
        SasPeer_Open(&sync->peer, options->loop, model, options->own_vm,
                     (const uint8_t *)key, strlen(key), options->incarnation,
                     &sync->handler, &peer_options, error);
    SasSecret_Free(key);
    if (opened != 0) {
        g_free(sync->loads);
        g_free(sync->gossip_loads);
        g_free(sync);
        return NULL;
    }
    for (int i = 0; i < SAS_PEER_COUNTER_COUNT; i++) {
        sync->counters[i] = SasMetrics_RegisterCounter(
            options->counters->metrics, "sas_peer_events_total", "event",
            SasPeer_GetCounterName((enum sas_peer_counter)i),
            "Events of the connections between entry VMs");
    }
    SasLending_SetPeer(options->lending, sync->peer);
    uv_timer_init(options->loop, &sync->timer);
    sync->timer.data = sync;
    uv_timer_start(&sync->timer, on_tick, TICK_MS, TICK_MS);
    return sync;
}

static void
on_peer_closed(void *context)
{
    struct sas_peer_sync *sync = context;
    g_free(sync->loads);
    g_free(sync->gossip_loads);
    g_free(sync->config_text);
    g_free(sync);
}

static void
on_timer_closed(uv_handle_t *handle)
{
    struct sas_peer_sync *sync = handle->data;
    SasLending_SetPeer(sync->options.lending, NULL);
    SasPeer_Close(sync->peer, on_peer_closed, sync);
}

void
SasPeerSync_Close(struct sas_peer_sync *sync)
{
    uv_close((uv_handle_t *)&sync->timer, on_timer_closed);
}

void
SasPeerSync_NoteChange(struct sas_peer_sync *sync)
{
    SasPeer_GossipSoon(sync->peer);
}

void
SasPeerSync_SendQuarantines(struct sas_peer_sync *sync)
{
    struct sas_rpc_quarantine *entries;
    int count =
        SasPoisonGuard_FillEntries(sync->options.poison_guard, &entries);
    SasPeer_SendQuarantines(sync->peer, entries, count);
}

void
SasPeerSync_SetLeaving(struct sas_peer_sync *sync)
{
    SasPeer_SetLeaving(sync->peer);
}

void
SasPeerSync_NoteLoad(struct sas_peer_sync *sync, int backend,
                     const struct sas_load_report *report)
{
    struct own_report *load = &sync->loads[backend];
    char incarnation[SasModel_NAME_SIZE];
    memcpy(incarnation, load->report.incarnation, sizeof(incarnation));
    load->report = *report;
    if (report->incarnation[0] == '\0') {
        /* Load reports in answer headers carry no incarnation. */
        memcpy(load->report.incarnation, incarnation, sizeof(incarnation));
    }
    load->received_at = (int64_t)uv_now(sync->options.loop);
}

/* Sending. */

uint64_t
SasPeerSync_HashIncarnation(const char *incarnation)
{
    return incarnation[0] != '\0'
               ? XXH3_64bits(incarnation, strlen(incarnation))
               : 0;
}

static u_int
fill_loads(struct sas_peer_sync *sync)
{
    int64_t now = (int64_t)uv_now(sync->options.loop);
    int count = sync->options.settings->model.backend_count;
    u_int used = 0;
    for (int i = 0; i < count && used < SAS_RPC_MAX_LOADS; i++) {
        const struct own_report *load = &sync->loads[i];
        if (load->received_at == 0 ||
            now - load->received_at > MAX_LOAD_AGE_MS) {
            continue;
        }
        struct sas_rpc_load *row = &sync->gossip_loads[used++];
        const char *incarnation = load->report.incarnation;
        row->backend = (u_int)i;
        row->running = (u_int)MAX(load->report.running, 0);
        row->queued = (u_int)MAX(load->report.queued, 0);
        row->age_ms = (u_int)(now - load->received_at);
        row->leaving = load->report.leaving;
        row->incarnation = SasPeerSync_HashIncarnation(incarnation);
    }
    return used;
}

static void
fill_gossip(struct sas_peer_handler *handler, struct sas_rpc_gossip *gossip)
{
    struct sas_peer_sync *sync = (struct sas_peer_sync *)handler;
    gossip->config_version =
        (uint64_t)SasRouter_GetVersion(sync->options.router);
    gossip->loads.loads_len = fill_loads(sync);
    gossip->loads.loads_val = sync->gossip_loads;
    SasLending_FillGossip(sync->options.lending, gossip);
    gossip->shares.shares_len = (u_int)SasRouter_FillShares(
        sync->options.router, sync->shares, SAS_RPC_MAX_SHARES);
    gossip->shares.shares_val = sync->shares;
    gossip->quarantines.quarantines_len = (u_int)SasPoisonGuard_FillEntries(
        sync->options.poison_guard, &gossip->quarantines.quarantines_val);
}

static int
provide_config(struct sas_peer_handler *handler, uint64_t have,
               struct sas_rpc_config *config)
{
    struct sas_peer_sync *sync = (struct sas_peer_sync *)handler;
    const struct sas_config *current =
        SasConfigStore_GetCurrent(sync->options.config_store);
    if (current == NULL || (uint64_t)current->version <= have) {
        config->config_version = 0;
        return 0;
    }
    free(sync->config_text);
    sync->config_text =
        SasConfig_Encode(current, &sync->options.settings->model);
    size_t size = strlen(sync->config_text);
    if (size > SAS_RPC_MAX_CONFIG) {
        return -1; /* too large for a message; peers read it from the store */
    }
    config->config_version = (uint64_t)current->version;
    config->base = 0;
    config->bytes.bytes_val = sync->config_text;
    config->bytes.bytes_len = (u_int)size;
    return 0;
}

/* Receiving. */

static void
apply_load(struct sas_peer_sync *sync, const struct sas_rpc_load *row)
{
    const struct sas_model *model = &sync->options.settings->model;
    if (row->backend >= (u_int)model->backend_count ||
        row->age_ms > MAX_LOAD_AGE_MS) {
        return;
    }
    const struct own_report *own = &sync->loads[row->backend];
    int64_t now = (int64_t)uv_now(sync->options.loop);
    if (own->received_at != 0 &&
        now - own->received_at <= (int64_t)row->age_ms) {
        return; /* this node's own report is newer */
    }
    struct sas_load_report report = {
        .running = (int)MIN(row->running, 1000000u),
        .queued = (int)MIN(row->queued, 1000000u),
        .leaving = row->leaving,
    };
    SasRouter_ApplyLoad(sync->options.router, (int)row->backend, &report,
                        row->incarnation, row->age_ms);
}

static bool
apply_gossip(struct sas_peer_handler *handler, int member_id,
             const struct sas_rpc_gossip *gossip)
{
    struct sas_peer_sync *sync = (struct sas_peer_sync *)handler;
    SasLending_ApplyGossip(sync->options.lending, member_id, gossip);
    if (gossip->config_version ==
        (uint64_t)SasRouter_GetVersion(sync->options.router)) {
        SasRouter_ApplyShares(sync->options.router, gossip->shares.shares_val,
                              (int)gossip->shares.shares_len);
    }
    for (u_int i = 0; i < gossip->loads.loads_len; i++) {
        apply_load(sync, &gossip->loads.loads_val[i]);
    }
    return SasPoisonGuard_ApplyEntries(
        sync->options.poison_guard, gossip->quarantines.quarantines_val,
        (int)gossip->quarantines.quarantines_len);
}

static bool
apply_quarantines(struct sas_peer_handler *handler, int member_id,
                  const struct sas_rpc_quarantine *entries, int count)
{
    struct sas_peer_sync *sync = (struct sas_peer_sync *)handler;
    (void)member_id;
    return SasPoisonGuard_ApplyEntries(sync->options.poison_guard, entries,
                                       count);
}

static bool
adopt_config(struct sas_peer_handler *handler, int member_id,
             const struct sas_rpc_config *offer)
{
    struct sas_peer_sync *sync = (struct sas_peer_sync *)handler;
    const struct sas_model *model = &sync->options.settings->model;
    struct sas_error error = {0};
    struct sas_config *config = SasConfig_Decode(
        model, offer->bytes.bytes_val, offer->bytes.bytes_len, &error);
    if (config == NULL) {
        g_strlcpy(error.peer, model->vms[member_id].name, sizeof(error.peer));
        SasLog_WriteError(SasLog_ERROR, &error);
        return false;
    }
    bool taken =
        SasConfigStore_AdoptIfNewer(sync->options.config_store, config);
    SasConfig_Unref(config);
    return taken;
}

static uint64_t
answer_borrow(struct sas_peer_handler *handler, int member_id,
              const struct sas_rpc_borrow *borrow)
{
    struct sas_peer_sync *sync = (struct sas_peer_sync *)handler;
    return SasLending_AnswerBorrow(sync->options.lending, member_id, borrow);
}

static int
accept_return(struct sas_peer_handler *handler, int member_id,
              const struct sas_rpc_loan_return *back)
{
    struct sas_peer_sync *sync = (struct sas_peer_sync *)handler;
    SasLending_AcceptReturn(sync->options.lending, member_id, back);
    return 0;
}

static void
answer_disown(struct sas_peer_handler *handler, int member_id,
              struct sas_rpc_disown_list *rows)
{
    struct sas_peer_sync *sync = (struct sas_peer_sync *)handler;
    SasLending_AnswerDisown(sync->options.lending, member_id, rows);
}

/* Passes the peers' states to the router and exports the peer task's counters.
 * While this node is partitioned, ages tell nothing about the peers, and all
 * count as live. */
static void
on_tick(uv_timer_t *timer)
{
    struct sas_peer_sync *sync = timer->data;
    const struct sas_membership *table = SasPeer_GetMembership(sync->peer);
    struct sas_metrics *metrics = sync->options.counters->metrics;
    int64_t now = SasPeer_GetNow();
    bool partitioned = SasMembership_IsPartitioned(table, now);
    if (table->newer_incarnation != 0 && !sync->replaced) {
        sync->replaced = true;
        sync->options.listener->on_replaced(sync->options.listener);
    }
    for (int i = 0; i < table->count; i++) {
        enum sas_member_state state = SasMembership_GetState(table, i, now);
        bool live = i == table->own || partitioned ||
                    state == SAS_MEMBER_LIVE || state == SAS_MEMBER_LEAVING;
        SasRouter_ApplyPeer(sync->options.router, i, live,
                            state == SAS_MEMBER_LEAVING);
    }
    for (int i = 0; i < SAS_PEER_COUNTER_COUNT; i++) {
        uint64_t count =
            SasPeer_GetCounter(sync->peer, (enum sas_peer_counter)i);
        SasMetrics_Add(metrics, sync->counters[i],
                       count - sync->reported_counts[i]);
        sync->reported_counts[i] = count;
    }
}

json_t *
SasPeerSync_Describe(const struct sas_peer_sync *sync)
{
    const struct sas_model *model = &sync->options.settings->model;
    const struct sas_membership *table = SasPeer_GetMembership(sync->peer);
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
