#include "sas/gateway.h"

#include <string.h>

#include "endpoints.h"
#include "mesh.h"
#include "peer_pool.h"
#include "pool.h"
#include "relay.h"
#include "sas/http_server.h"
#include "sas/log.h"
#include "sas/metrics.h"

#define SWEEP_MS 500

/* Share of the memory limit that request bodies may take. The rest is for the
 * connections (two kernel buffers each) and for answers in flight. */
#define BODIES_SHARE 0.35

/* Those of requests that come through other entry VMs. */
#define RELAYED_BODIES_SHARE 0.1

/* Part of the process's memory for answers that callers have not read. */
#define UNREAD_ANSWERS_SHARE 0.125

/* Descriptors reserved for backend servers, the store and files. */
#define OTHER_DESCRIPTORS 1200

/* The settings file may change without a SIGHUP, so it is polled. */
#define FILE_POLL_MS 3000

/* Signals may come faster than settings are read. */
#define RELOAD_GAP_MS 1000

/* Callers' idle connections are closed after this time during a shutdown. */
#define STOP_IDLE_MS 1500

#define STOP_CHECK_MS 50

#define DEFAULT_HEADER_BYTES 16384
#define DEFAULT_BODY_BYTES (64 * 1024 * 1024)
#define DEFAULT_HEADER_MS 3000
#define DEFAULT_IDLE_MS 60000
#define SMALL_BODY_BYTES 4096
#define SIDE_CONNECTIONS 512

/* What another entry VM adds to the headers of a request that it sends through
 * this one. */
#define RELAY_HEADER_BYTES 256

enum {
    LISTEN_CALLER,
    LISTEN_READY,
    LISTEN_LOOKUP,
    LISTEN_PEER,
    LISTEN_COUNT
};

struct sas_gateway {
    struct sas_fleet_listener listener;
    uv_loop_t *loop;
    struct sas_fleet *fleet;
    const struct sas_entry_settings *settings;
    struct sas_source *source;
    struct sas_metrics *metrics;
    struct sas_mesh *mesh;
    struct sas_pool *pool;
    struct sas_peer_pool *peer_pool;
    struct sas_relay *relay;
    struct sas_endpoints endpoints;
    struct sas_http_server *servers[LISTEN_COUNT];
    GRand *random;
    uv_timer_t sweep_timer;
    uv_timer_t stop_timer;
    uv_timer_t reload_timer; /* runs from a SIGHUP to its reload */
    uv_signal_t signals[3];
    uv_fs_poll_t settings_poll;
    int open_handles; /* of the handles above, while they are being closed */
    struct sas_shutdown_plan stop_plan;
    bool was_drained; /* at the previous shutdown check */
    int64_t next_reload_at;
    void (*reload)(void *data);
    void *reload_data;
};

static void on_sweep(uv_timer_t *timer);
static void on_signal(uv_signal_t *signal, int number);
static void on_stop_check(uv_timer_t *timer);

static struct sas_http_server_limits
get_caller_limits(const struct sas_gateway *gateway)
{
    struct sas_http_server_limits limits = {
        .header_bytes = DEFAULT_HEADER_BYTES,
        .body_bytes = DEFAULT_BODY_BYTES,
        .bodies_bytes =
            (size_t)((double)gateway->settings->memory_bytes * BODIES_SHARE),
        .answers_bytes = (size_t)((double)gateway->settings->memory_bytes *
                                  UNREAD_ANSWERS_SHARE),
        .header_timeout_ms = DEFAULT_HEADER_MS,
        .idle_timeout_ms = DEFAULT_IDLE_MS,
        .connections =
            MAX(gateway->settings->max_descriptors - OTHER_DESCRIPTORS, 64),
    };
    const struct sas_fleet_config *config = SasFleet_GetConfig(gateway->fleet);
    if (config != NULL && config->limits.header_bytes > 0) {
        limits.header_bytes = config->limits.header_bytes;
        limits.body_bytes = config->limits.body_bytes;
        limits.header_timeout_ms = config->limits.header_ms;
        limits.idle_timeout_ms = config->limits.idle_ms;
    }
    return limits;
}

/* Requests of callers come through other entry VMs too. */
static struct sas_http_server_limits
get_peer_limits(const struct sas_gateway *gateway)
{
    struct sas_http_server_limits limits = get_caller_limits(gateway);
    limits.header_bytes += RELAY_HEADER_BYTES;
    limits.bodies_bytes = (size_t)((double)gateway->settings->memory_bytes *
                                   RELAYED_BODIES_SHARE);
    limits.answers_bytes = limits.bodies_bytes;
    limits.idle_timeout_ms = DEFAULT_IDLE_MS;
    limits.connections = SIDE_CONNECTIONS;
    return limits;
}

static int
count_with_allowed_regions(const struct sas_fleet_config *config)
{
    int count = 0;
    for (guint i = 0; i < config->routes->len; i++) {
        const struct sas_route *route = config->routes->pdata[i];
        count += route->allowed_regions != 0 ? 1 : 0;
    }
    return count;
}

static void
on_config(struct sas_fleet_listener *listener,
          const struct sas_fleet_config *config)
{
    struct sas_gateway *gateway = (struct sas_gateway *)listener;
    SasMesh_SetVersion(gateway->mesh, config->version);
    if (gateway->servers[LISTEN_CALLER] == NULL) {
        return; /* the process is shutting down */
    }
    struct sas_http_server_limits limits = get_caller_limits(gateway);
    SasHttpServer_SetLimits(gateway->servers[LISTEN_CALLER], &limits);
    limits = get_peer_limits(gateway);
    SasHttpServer_SetLimits(gateway->servers[LISTEN_PEER], &limits);
    SasLog_Write(SasLog_INFO, "config.apply", "",
                 "version=%" G_GINT64_FORMAT " routes=%u homes=%d",
                 config->version, config->routes->len,
                 count_with_allowed_regions(config));
}

static int
open_servers(struct sas_gateway *gateway, struct sas_error *error)
{
    struct sas_http_server_limits limits = get_caller_limits(gateway);
    struct sas_http_server_limits small = limits;
    small.body_bytes = SMALL_BODY_BYTES;
    small.connections = SIDE_CONNECTIONS;
    struct sas_http_server_limits peer = get_peer_limits(gateway);
    const struct sas_http_server_limits *all_limits[LISTEN_COUNT] = {
        &limits, &small, &small, &peer};
    const struct sas_entry_settings *s = gateway->settings;
    const struct sas_address *addresses[LISTEN_COUNT] = {&s->caller, &s->ready,
                                                         &s->lookup, &s->peer};
    struct sas_http_handler *handlers[LISTEN_COUNT] = {
        SasRelay_GetHandler(gateway->relay), &gateway->endpoints.operators,
        &gateway->endpoints.callers, SasRelay_GetPeerHandler(gateway->relay)};
    for (int i = 0; i < LISTEN_COUNT; i++) {
        gateway->servers[i] = SasHttpServer_Open(
            gateway->loop, addresses[i], all_limits[i], handlers[i], error);
        if (gateway->servers[i] == NULL) {
            return -1;
        }
    }
    return 0;
}

static void
open_components(struct sas_gateway *gateway,
                const struct sas_gateway_options *given)
{
    gateway->pool = SasPool_New(gateway->loop, gateway->fleet);
    gateway->peer_pool = SasPeerPool_New(gateway->loop);
    struct sas_relay_options options = {
        .loop = gateway->loop,
        .fleet = gateway->fleet,
        .source = given->source,
        .pool = gateway->pool,
        .peer_pool = gateway->peer_pool,
        .mesh = gateway->mesh,
        .metrics = gateway->metrics,
        .settings = gateway->settings,
        .wire = given->wire,
        .steering = given->steering,
        .random = gateway->random,
    };
    gateway->relay = SasRelay_New(&options);
    gateway->endpoints.loop = gateway->loop;
    gateway->endpoints.fleet = gateway->fleet;
    gateway->endpoints.mesh = gateway->mesh;
    gateway->endpoints.metrics = gateway->metrics;
    gateway->endpoints.settings = gateway->settings;
    gateway->endpoints.wire = given->wire;
    gateway->endpoints.steering = given->steering;
    SasEndpoints_Init(&gateway->endpoints);
}

struct sas_gateway *
SasGateway_Open(const struct sas_gateway_options *options,
                struct sas_error *error)
{
    struct sas_gateway *gateway = g_new0(struct sas_gateway, 1);
    uv_loop_t *loop = options->loop;
    gateway->listener.on_config = on_config;
    gateway->loop = loop;
    gateway->fleet = options->fleet;
    gateway->settings = options->settings;
    gateway->source = options->source;
    gateway->metrics = SasMetrics_New();
    gateway->random = g_rand_new();
    gateway->mesh = SasMesh_Open(loop, gateway->fleet, gateway->settings,
                                 gateway->random, error);
    if (gateway->mesh == NULL) {
        return NULL;
    }
    open_components(gateway, options);
    if (open_servers(gateway, error) != 0) {
        return NULL;
    }
    SasFleet_AddListener(gateway->fleet, &gateway->listener);
    uv_timer_init(loop, &gateway->sweep_timer);
    uv_timer_init(loop, &gateway->stop_timer);
    gateway->sweep_timer.data = gateway;
    gateway->stop_timer.data = gateway;
    uv_timer_init(loop, &gateway->reload_timer);
    gateway->reload_timer.data = gateway;
    uv_fs_poll_init(loop, &gateway->settings_poll);
    gateway->settings_poll.data = gateway;
    uv_timer_start(&gateway->sweep_timer, on_sweep, SWEEP_MS, SWEEP_MS);
    static const int numbers[] = {SIGTERM, SIGINT, SIGHUP};
    for (int i = 0; i < 3; i++) {
        uv_signal_init(loop, &gateway->signals[i]);
        gateway->signals[i].data = gateway;
        uv_signal_start(&gateway->signals[i], on_signal, numbers[i]);
    }
    return gateway;
}

int
SasGateway_Run(struct sas_gateway *gateway)
{
    SasLog_Write(SasLog_INFO, "process.start", "", "zone=%s address=%s:%d",
                 gateway->settings->zone, gateway->settings->caller.ip,
                 gateway->settings->caller.port);
    gateway->source->start(gateway->source, gateway);
    uv_run(gateway->loop, UV_RUN_DEFAULT);
    SasLog_Write(SasLog_INFO, "process.stop", "", "after_ms=%" G_GINT64_FORMAT,
                 (int64_t)uv_now(gateway->loop) - gateway->stop_plan.began_at);
    return 0;
}

static void
on_handle_closed(uv_handle_t *handle)
{
    struct sas_gateway *gateway = handle->data;
    gateway->open_handles--;
}

static void
close_handle(struct sas_gateway *gateway, uv_handle_t *handle)
{
    gateway->open_handles++;
    uv_close(handle, on_handle_closed);
}

static void
close_servers(struct sas_gateway *gateway)
{
    for (int i = 0; i < LISTEN_COUNT; i++) {
        SasHttpServer_Close(gateway->servers[i]);
        gateway->servers[i] = NULL;
    }
}

void
SasGateway_Close(struct sas_gateway *gateway)
{
    close_servers(gateway);
    SasPool_Free(gateway->pool);
    SasPeerPool_Free(gateway->peer_pool);
    SasMesh_Close(gateway->mesh);
    close_handle(gateway, (uv_handle_t *)&gateway->sweep_timer);
    close_handle(gateway, (uv_handle_t *)&gateway->stop_timer);
    close_handle(gateway, (uv_handle_t *)&gateway->reload_timer);
    close_handle(gateway, (uv_handle_t *)&gateway->settings_poll);
    for (int i = 0; i < 3; i++) {
        close_handle(gateway, (uv_handle_t *)&gateway->signals[i]);
    }
    /* Doesn't wait for an empty loop: others may have handles on it, and the
     * admin port's HTTP library never closes its timers. */
    while (gateway->open_handles > 0) {
        uv_run(gateway->loop, UV_RUN_ONCE);
    }
    SasRelay_Free(gateway->relay);
    SasMetrics_Free(gateway->metrics);
    g_rand_free(gateway->random);
    g_free(gateway);
}

bool
SasGateway_IsReady(const struct sas_gateway *gateway)
{
    return gateway->endpoints.ready && !gateway->endpoints.leaving;
}

struct sas_mesh *
SasGateway_GetMesh(const struct sas_gateway *gateway)
{
    return gateway->mesh;
}

struct sas_metrics *
SasGateway_GetMetrics(const struct sas_gateway *gateway)
{
    return gateway->metrics;
}

static void
on_file_changed(uv_fs_poll_t *poll, int status, const uv_stat_t *before,
                const uv_stat_t *after)
{
    (void)before;
    (void)after;
    struct sas_gateway *gateway = poll->data;
    if (status != 0) {
        SasLog_Write(SasLog_WARN, "process.reload", "",
                     "the settings file can't be read: %s",
                     uv_strerror(status));
        return;
    }
    SasLog_Write(SasLog_INFO, "process.reload", "",
                 "the settings file has changed");
    gateway->reload(gateway->reload_data);
}

void
SasGateway_SetReload(struct sas_gateway *gateway, const char *path,
                     void (*reload)(void *data), void *data)
{
    gateway->reload = reload;
    gateway->reload_data = data;
    uv_fs_poll_start(&gateway->settings_poll, on_file_changed, path,
                     FILE_POLL_MS);
}

static void
on_sweep(uv_timer_t *timer)
{
    struct sas_gateway *gateway = timer->data;
    SasPool_Sweep(gateway->pool);
    SasPeerPool_Sweep(gateway->peer_pool);
    SasRelay_Sweep(gateway->relay);
    bool ready = SasFleet_GetConfig(gateway->fleet) != NULL &&
                 gateway->source->is_ready(gateway->source);
    if (ready != gateway->endpoints.ready) {
        gateway->endpoints.ready = ready;
        SasLog_Write(SasLog_INFO, "process.ready", "", "ready=%d", ready);
    }
}

/* Shutdown. The entry VM leaves the lookups and reports "not ready" at once.
 * It still serves new requests, since callers cache lookups for a while. */

static void
begin_stop(struct sas_gateway *gateway, int number)
{
    if (gateway->stop_plan.began_at != 0) {
        return;
    }
    gateway->stop_plan = SasShutdown_Plan((int64_t)uv_now(gateway->loop),
                                          gateway->settings->bounds.grace_ms);
    SasLog_Write(
        SasLog_INFO, "process.stopping", "",
        "signal=%d requests=%d connections=%d", number,
        SasHttpServer_CountPending(gateway->servers[LISTEN_CALLER]),
        SasHttpServer_CountConnections(gateway->servers[LISTEN_CALLER]));
    gateway->endpoints.leaving = true;
    SasRelay_Stop(gateway->relay, &gateway->stop_plan);
    SasMesh_Leave(gateway->mesh);
    SasHttpServer_Drain(gateway->servers[LISTEN_CALLER], STOP_IDLE_MS);
    uv_timer_start(&gateway->stop_timer, on_stop_check, STOP_CHECK_MS,
                   STOP_CHECK_MS);
}

static void
end_process(struct sas_gateway *gateway, int busy)
{
    if (busy > 0) {
        SasLog_Write(
            SasLog_ERROR, "process.stop", "",
            "connections=%d requests=%d are closed at the shutdown deadline",
            busy, SasHttpServer_CountPending(gateway->servers[LISTEN_CALLER]));
    }
    uv_timer_stop(&gateway->stop_timer);
    gateway->source->stop(gateway->source);
    /* SasGateway_Close runs the loop again; no connection may be accepted
     * then. */
    close_servers(gateway);
    uv_stop(gateway->loop);
}

int64_t
SasGateway_GetTimeLeft(const struct sas_gateway *gateway)
{
    return gateway->stop_plan.change_calls_until -
           (int64_t)uv_now(gateway->loop);
}

static void
on_stop_check(uv_timer_t *timer)
{
    struct sas_gateway *gateway = timer->data;
    int64_t now_ms = (int64_t)uv_now(gateway->loop);
    if (SasShutdown_MustFailPending(&gateway->stop_plan, now_ms)) {
        SasRelay_FailPending(gateway->relay);
    }
    const struct sas_http_server *callers = gateway->servers[LISTEN_CALLER];
    int relayed = SasRelay_CountRelayed(gateway->relay);
    struct sas_shutdown_left left = {
        .connections = SasHttpServer_CountConnections(callers) + relayed,
        .unanswered = SasHttpServer_CountBusyConnections(callers) + relayed,
    };
    bool drained = SasShutdown_IsDone(&gateway->stop_plan, now_ms, &left);
    /* If the process was frozen, unread requests may wait on the sockets. So
     * they are read once more, until the next check, before it ends. */
    bool confirmed = gateway->was_drained ||
                     SasShutdown_IsAtDeadline(&gateway->stop_plan, now_ms);
    gateway->was_drained = drained;
    if (drained && confirmed) {
        end_process(gateway, left.unanswered);
    }
}

static void
on_reload_due(uv_timer_t *timer)
{
    struct sas_gateway *gateway = timer->data;
    gateway->next_reload_at = (int64_t)uv_now(gateway->loop) + RELOAD_GAP_MS;
    SasLog_Write(SasLog_INFO, "process.reload", "", "signal=%d", SIGHUP);
    if (gateway->reload != NULL) {
        gateway->reload(gateway->reload_data);
    }
}

/* The loop handles all signals that wait before anything else. So they only
 * note what is to be done: if each took longer than the next one takes to
 * come, requests and timers would wait for as long as they come. */
static void
on_signal(uv_signal_t *signal, int number)
{
    struct sas_gateway *gateway = signal->data;
    if (number != SIGHUP) {
        begin_stop(gateway, number);
        return;
    }
    if (!uv_is_active((uv_handle_t *)&gateway->reload_timer)) {
        int64_t wait_ms =
            gateway->next_reload_at - (int64_t)uv_now(gateway->loop);
        uv_timer_start(&gateway->reload_timer, on_reload_due,
                       (uint64_t)MAX(wait_ms, 0), 0);
    }
}
