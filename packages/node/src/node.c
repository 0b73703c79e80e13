#include "node.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "admin.h"
#include "caller.h"
#include "claims.h"
#include "config_store.h"
#include "forward.h"
#include "poison_guard.h"
#include "peer_sync.h"
#include "sas/log.h"
#include "sas/metrics.h"
#include "sas/secret.h"
#include "sas/store.h"
#include "sas/wall_clock.h"
#include "signals.h"
#include "router.h"
#include "upstream.h"

#define PROBE_TICK_MS 100
#define OWN_REGION_PROBE_MS 1000
#define OTHER_REGION_PROBE_MS 3000
#define STOP_TICK_MS 50
#define SIGNAL_NOTE_GAP_MS 1000

enum exit_status {
    EXIT_STOPPED = 0,
    EXIT_FAILED_START = 1,
    EXIT_STOP_LIMIT = 3
};

struct sas_node {
    struct sas_upstream_listener upstream_listener;
    struct sas_config_store_listener config_store_listener;
    struct sas_router_listener router_listener;
    struct sas_lending_listener lending_listener;
    struct sas_poison_guard_listener poison_guard_listener;
    struct sas_peer_sync_listener peer_sync_listener;
    struct sas_admin_view view;
    uv_loop_t loop;
    const struct sas_settings *settings;
    int own_vm;
    char identity[SasModel_NAME_SIZE + 32]; /* unique to this process */
    GRand *random;
    struct sas_counters counters;
    struct sas_store *store;
    struct sas_lending *lending;
    struct sas_router *router;
    struct sas_upstream *upstream;
    struct sas_claims *claims;
    struct sas_poison_guard *poison_guard;
    struct sas_forward *forward;
    struct sas_config_store *config_store;
    struct sas_peer_sync *peer_sync;
    struct sas_caller *caller;
    struct sas_admin *admin;
    char *admin_token; /* NULL: none */
    uv_timer_t probe_timer;
    int64_t *next_probe_at;
    uv_signal_t signals[3];
    uv_timer_t stop_timer;
    int64_t stopping_at; /* 0: not stopping */
    int64_t next_signal_note_at;
    bool pending_failed; /* pending requests, at the shutdown deadline */
    int exit_status;
};

/* Callbacks between tasks. */

#define NODE_OF(pointer, member)                                              \
    ((struct sas_node *)((char *)(pointer)-offsetof(struct sas_node, member)))

static void
on_load(struct sas_upstream_listener *listener, int backend,
        const struct sas_load_report *report)
{
    struct sas_node *node = NODE_OF(listener, upstream_listener);
    SasRouter_ApplyLoad(node->router, backend, report,
                        SasPeerSync_HashIncarnation(report->incarnation), 0);
    if (report->asked_at != 0) {
        SasPoisonGuard_ApplyProbe(node->poison_guard, backend, report);
    }
    if (node->peer_sync != NULL) {
        SasPeerSync_NoteLoad(node->peer_sync, backend, report);
    }
}

static void
on_health(struct sas_upstream_listener *listener, int backend, bool reachable)
{
    struct sas_node *node = NODE_OF(listener, upstream_listener);
    SasRouter_ApplyHealth(node->router, backend, reachable);
}

static void
on_config(struct sas_config_store_listener *listener,
          struct sas_config *config)
{
    struct sas_node *node = NODE_OF(listener, config_store_listener);
    SasRouter_ApplyConfig(node->router, config);
    if (node->peer_sync != NULL) {
        SasPeerSync_NoteChange(node->peer_sync);
    }
}

static void
on_vms(struct sas_config_store_listener *listener, const json_t *list)
{
    struct sas_node *node = NODE_OF(listener, config_store_listener);
    SasRouter_ApplyVms(node->router, list);
}

/* Status for operators. */

static bool
is_ready(struct sas_admin_view *view)
{
    return SasRouter_IsReady(NODE_OF(view, view)->router);
}

static int64_t
get_version(struct sas_admin_view *view)
{
    return SasRouter_GetVersion(NODE_OF(view, view)->router);
}

static json_t *
describe(struct sas_admin_view *view)
{
    struct sas_node *node = NODE_OF(view, view);
    json_t *status = SasRouter_Describe(node->router);
    json_object_set_new(status, "peers",
                        SasPeerSync_Describe(node->peer_sync));
    return status;
}

static void
wake_queued(struct sas_node *node)
{
    if (node->forward != NULL) {
        SasForward_Wake(node->forward);
    }
}

static void
on_capacity(struct sas_router_listener *listener)
{
    wake_queued(NODE_OF(listener, router_listener));
}

static void
on_units(struct sas_lending_listener *listener)
{
    wake_queued(NODE_OF(listener, lending_listener));
}

static void
on_quarantine_change(struct sas_poison_guard_listener *listener)
{
    struct sas_node *node = NODE_OF(listener, poison_guard_listener);
    if (node->peer_sync != NULL) {
        SasPeerSync_SendQuarantines(node->peer_sync);
    }
}

static void
on_crash_suspected(struct sas_poison_guard_listener *listener, int backend)
{
    struct sas_node *node = NODE_OF(listener, poison_guard_listener);
    SasUpstream_Probe(node->upstream, backend);
}

/* Probes. */

static void
on_probe_tick(uv_timer_t *timer)
{
    struct sas_node *node = timer->data;
    const struct sas_model *model = &node->settings->model;
    int own_region = SasModel_GetVmRegion(model, node->own_vm);
    int64_t now = (int64_t)uv_now(&node->loop);
    for (int i = 0; i < model->backend_count; i++) {
        if (node->next_probe_at[i] > now) {
            continue;
        }
        bool own = SasModel_GetBackendRegion(model, i) == own_region;
        int64_t interval = own ? OWN_REGION_PROBE_MS : OTHER_REGION_PROBE_MS;
        double jitter = g_rand_double_range(node->random, 0.75, 1.25);
        node->next_probe_at[i] = now + (int64_t)((double)interval * jitter);
        SasUpstream_Probe(node->upstream, i);
    }
    SasForward_Wake(node->forward);
}

/* Shutdown. */

static void
end_loop(struct sas_node *node, int status)
{
    /* After uv_stop() the loop still polls once; nothing may be read then. */
    SasAdmin_End(node->admin);
    node->exit_status = status;
    uv_stop(&node->loop);
}

static void
on_stop_tick(uv_timer_t *timer)
{
    struct sas_node *node = timer->data;
    int64_t elapsed = (int64_t)uv_now(&node->loop) - node->stopping_at;
    int active = SasForward_CountActive(node->forward) +
                 SasCaller_CountActive(node->caller) +
                 SasClaims_CountActive(node->claims) +
                 SasAdmin_CountWaiting(node->admin);
    /* Callers may hold lookups that name this VM; it serves them until those
     * have expired. */
    if (elapsed < node->settings->drain_notice_ms) {
        return;
    }
    SasCaller_RefuseRequests(node->caller);
    bool past_limit = elapsed >= node->settings->stop_limit_ms;
    if (past_limit && active > 0 && !node->pending_failed) {
        SasLog_Write(SasLog_ERROR, "node.stop", NULL,
                     "shutdown deadline: %d requests are in progress", active);
        node->pending_failed = true;
        SasCaller_FailPending(node->caller);
        return; /* ends at the next tick, when the answers are sent */
    }
    if (past_limit || (active == 0 && SasCaller_End(node->caller))) {
        end_loop(node, node->pending_failed ? EXIT_STOP_LIMIT : EXIT_STOPPED);
    }
}

static void
start_stopping(struct sas_node *node)
{
    node->stopping_at = (int64_t)uv_now(&node->loop);
    SasRouter_ApplyPeer(node->router, node->own_vm, true, true);
    SasCaller_StartStopping(node->caller);
    SasPeerSync_SetLeaving(node->peer_sync);
    uv_timer_start(&node->stop_timer, on_stop_tick, STOP_TICK_MS,
                   STOP_TICK_MS);
}

/* A VM that was paused and replaced resumes without knowing it: two processes
 * would use the same floors of every budget. The peers refuse the older
 * incarnation; its process grants nothing any more and shuts down. */
static void
on_replaced(struct sas_peer_sync_listener *listener)
{
    struct sas_node *node = NODE_OF(listener, peer_sync_listener);
    SasLog_Write(SasLog_ERROR, "node.replaced", NULL,
                 "another process replaced this one; shutting down");
    SasLending_Stop(node->lending);
    SasCaller_RefuseRequests(node->caller);
    if (node->stopping_at == 0) {
        start_stopping(node);
    }
}

/* Signals without effect may come faster than log lines are written. */
static void
note_ignored_signal(struct sas_node *node, int number)
{
    int64_t now_ms = (int64_t)uv_now(&node->loop);
    if (now_ms < node->next_signal_note_at) {
        return;
    }
    node->next_signal_note_at = now_ms + SIGNAL_NOTE_GAP_MS;
    if (number == SIGHUP) {
        SasLog_Write(SasLog_INFO, "node.reload", NULL,
                     "signal %d: settings are read at the next start only",
                     number);
        return;
    }
    SasLog_Write(SasLog_WARN, "node.stop", NULL,
                 "signal %d again: shutdown is in progress", number);
}

static void
on_signal(uv_signal_t *handle, int number)
{
    struct sas_node *node = handle->data;
    if (number == SIGHUP || node->stopping_at != 0) {
        note_ignored_signal(node, number);
        return;
    }
    SasLog_Write(SasLog_INFO, "node.stop", NULL, "signal %d: stopping",
                 number);
    start_stopping(node);
}

/* Opening and closing. */

static int
open_routing(struct sas_node *node, struct sas_error *error)
{
    const struct sas_settings *settings = node->settings;
    node->store = settings->embedded_store
                      ? SasStore_OpenMemory(&node->loop)
                      : SasStore_OpenHttp(&node->loop, &settings->store);
    struct sas_lending_options lending = {
        .loop = &node->loop,
        .model = &settings->model,
        .own_vm = node->own_vm,
        .server_queue = settings->server_queue,
        .random = node->random,
        .incarnation = (uint32_t)SasWallClock_GetMs(),
    };
    node->lending = SasLending_Open(&lending, error);
    if (node->lending == NULL) {
        return -1;
    }
    node->lending_listener.on_units = on_units;
    SasLending_SetListener(node->lending, &node->lending_listener);
    struct sas_router_options router = {
        .loop = &node->loop,
        .settings = settings,
        .own_vm = node->own_vm,
        .random = node->random,
        .get_wall_ms = SasWallClock_GetMs,
        .lending = node->lending,
    };
    node->router = SasRouter_Open(&router, error);
    if (node->router == NULL) {
        return -1;
    }
    node->router_listener.on_capacity = on_capacity;
    SasRouter_SetListener(node->router, &node->router_listener);
    node->upstream_listener.on_load = on_load;
    node->upstream_listener.on_health = on_health;
    node->upstream =
        SasUpstream_Open(&node->loop, &settings->model, &node->counters,
                         &node->upstream_listener);
    node->poison_guard_listener.on_change = on_quarantine_change;
    node->poison_guard_listener.on_crash_suspected = on_crash_suspected;
    node->poison_guard =
        SasPoisonGuard_Open(&node->loop, &settings->model, &node->counters,
                            &node->poison_guard_listener);
    snprintf(node->identity, sizeof(node->identity),
             "%s-%" G_GINT64_MODIFIER "x-%d",
             settings->model.vms[node->own_vm].name, SasWallClock_GetMs(),
             (int)getpid());
    node->claims = SasClaims_Open(&node->loop, node->store, &node->counters,
                                  node->identity);
    struct sas_forward_options forward = {
        .loop = &node->loop,
        .model = &settings->model,
        .counters = &node->counters,
        .router = node->router,
        .upstream = node->upstream,
        .claims = node->claims,
        .poison_guard = node->poison_guard,
        .random = node->random,
        .id_prefix = node->identity,
        .queue_wait_ms = settings->queue_wait_ms,
        .retry_share = settings->retry_share,
    };
    node->forward = SasForward_Open(&forward);
    node->config_store_listener.on_config = on_config;
    node->config_store_listener.on_vms = on_vms;
    struct sas_config_store_options config_store = {
        .loop = &node->loop,
        .model = &settings->model,
        .store = node->store,
        .listener = &node->config_store_listener,
        .random = node->random,
        .utc_offset_s = settings->utc_offset_s,
        .get_wall_ms = SasWallClock_GetMs,
    };
    node->config_store = SasConfigStore_Open(&config_store);
    return 0;
}

static int
open_ports(struct sas_node *node, struct sas_error *error)
{
    const struct sas_settings *settings = node->settings;
    const struct sas_vm *vm = &settings->model.vms[node->own_vm];
    struct sas_peer_sync_options peer_sync = {
        .loop = &node->loop,
        .settings = settings,
        .own_vm = node->own_vm,
        .incarnation = (uint64_t)SasWallClock_GetMs(),
        .random = node->random,
        .router = node->router,
        .config_store = node->config_store,
        .poison_guard = node->poison_guard,
        .lending = node->lending,
        .counters = &node->counters,
        .listener = &node->peer_sync_listener,
    };
    node->peer_sync_listener.on_replaced = on_replaced;
    node->peer_sync = SasPeerSync_Open(&peer_sync, error);
    if (node->peer_sync == NULL) {
        return -1;
    }
    struct sas_caller_options caller = {
        .loop = &node->loop,
        .model = &settings->model,
        .counters = &node->counters,
        .router = node->router,
        .forward = node->forward,
        .limits = {settings->body_limit, settings->bodies_limit,
                   SasCaller_MAX_CONNECTIONS},
    };
    node->caller = SasCaller_Open(&caller, &vm->caller, error);
    if (node->caller == NULL) {
        return -1;
    }
    if (settings->admin_token_file != NULL) {
        node->admin_token = SasSecret_Load(settings->admin_token_file, error);
        if (node->admin_token == NULL) {
            return -1;
        }
    }
    node->view.is_ready = is_ready;
    node->view.get_version = get_version;
    node->view.describe = describe;
    struct sas_admin_options admin = {
        .loop = &node->loop,
        .vm = vm->name,
        .model = &settings->model,
        .metrics = node->counters.metrics,
        .config_store = node->config_store,
        .view = &node->view,
        .token = node->admin_token,
        .get_wall_ms = SasWallClock_GetMs,
    };
    node->admin = SasAdmin_Open(&admin, &vm->admin, error);
    return node->admin != NULL ? 0 : -1;
}

static void
start_timers(struct sas_node *node)
{
    static const int numbers[] = {SIGTERM, SIGINT, SIGHUP};
    const struct sas_model *model = &node->settings->model;
    node->next_probe_at = g_new0(int64_t, model->backend_count);
    uv_timer_init(&node->loop, &node->probe_timer);
    node->probe_timer.data = node;
    uv_timer_start(&node->probe_timer, on_probe_tick, 0, PROBE_TICK_MS);
    uv_timer_init(&node->loop, &node->stop_timer);
    node->stop_timer.data = node;
    for (int i = 0; i < 3; i++) {
        uv_signal_init(&node->loop, &node->signals[i]);
        node->signals[i].data = node;
        uv_signal_start(&node->signals[i], on_signal, numbers[i]);
    }
}

int
SasNode_Run(const struct sas_settings *settings, int own_vm)
{
    struct sas_node *node = g_new0(struct sas_node, 1);
    struct sas_error error = {0};
    signal(SIGPIPE, SIG_IGN);
    node->settings = settings;
    node->own_vm = own_vm;
    node->random = g_rand_new();
    SasRefusal_RegisterCounters(&node->counters, SasMetrics_New());
    uv_loop_init(&node->loop);
    if (open_routing(node, &error) != 0 || open_ports(node, &error) != 0) {
        SasLog_WriteError(SasLog_ERROR, &error);
        return EXIT_FAILED_START;
    }
    start_timers(node);
    SasLog_Write(SasLog_INFO, "node.start", NULL, "serving");
    SasSignals_Unblock();
    uv_run(&node->loop, UV_RUN_DEFAULT);
    SasSignals_Block();
    SasLog_Write(SasLog_INFO, "node.stop", NULL, "stopped with status %d",
                 node->exit_status);
    return node->exit_status;
}
