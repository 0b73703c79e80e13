#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#include "pool.h"
#include "sas/gateway.h"
#include "sas/http.h"
#include "sas/path.h"

#define GRACE_MS 100 /* so short that the process ends at once */
#define TURNS 50
#define MAX_DRAWS 100 /* of a port */

/* A gateway without servers; its source is never ready. */
struct fixture {
    struct sas_source source;
    struct sas_http_handler peers;
    uv_loop_t loop;
    struct sas_fleet *fleet;
    struct sas_steering *steering;
    struct sas_entry_settings settings;
    struct sas_gateway *gateway;
    int caller_port;
    bool behind;
};

static void
start_source(struct sas_source *source, struct sas_gateway *gateway)
{
    (void)source;
    (void)gateway;
    raise(SIGTERM);
}

static bool
is_source_behind(const struct sas_source *source)
{
    return ((const struct fixture *)source)->behind;
}

static bool
is_source_ready(const struct sas_source *source)
{
    (void)source;
    return false;
}

static void
stop_source(struct sas_source *source)
{
    (void)source;
}

static void
refuse_peer(struct sas_http_handler *handler, struct sas_http_exchange *e)
{
    (void)handler;
    SasHttpExchange_ReplyText(e, 503, "text/plain", "", NULL);
}

static const struct sas_entry_wire wire = {
    .request_id = "Id",
    .deadline_ms = "Deadline",
    .object_key = "Object",
    .seal = "Seal",
    .target = "Target",
    .load = "Load",
    .not_run = "Not-Run",
    .cold_ms = "Cold",
    .ready_path = "/ready",
    .lookup_path = "/resolve",
    .lookup_zone = "zone",
    .lookup_region = "region",
    .lookup_addresses = "addresses",
    .lookup_ttl_s = "ttl",
};

/* Finds a port that is free for TCP and UDP. Its sockets stay open, so that
 * the next call gets another port. */
static int
hold_port(int held[2])
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    for (int i = 0; i < MAX_DRAWS; i++) {
        address.sin_port = 0;
        held[0] = socket(AF_INET, SOCK_STREAM, 0);
        held[1] = socket(AF_INET, SOCK_DGRAM, 0);
        assert_int_equal(bind(held[0], (struct sockaddr *)&address, size), 0);
        getsockname(held[0], (struct sockaddr *)&address, &size);
        if (bind(held[1], (struct sockaddr *)&address, size) == 0) {
            return ntohs(address.sin_port);
        }
        close(held[0]);
        close(held[1]);
    }
    fail_msg("no port is free for both");
    return 0;
}

static void
find_ports(struct sas_entry_settings *settings)
{
    struct sas_address *addresses[] = {&settings->caller, &settings->ready,
                                       &settings->lookup, &settings->peer};
    int held[G_N_ELEMENTS(addresses)][2];
    for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++) {
        g_strlcpy(addresses[i]->ip, "127.0.0.1", sizeof(addresses[i]->ip));
        addresses[i]->port = hold_port(held[i]);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++) {
        close(held[i][0]);
        close(held[i][1]);
    }
}

static void
start(struct fixture *f)
{
    memset(f, 0, sizeof(*f));
    uv_loop_init(&f->loop);
    f->fleet = SasFleet_New();
    SasFleet_AddZone(f->fleet, "a", "east");
    f->steering = SasSteering_New(f->fleet);
    f->source.start = start_source;
    f->source.is_ready = is_source_ready;
    f->source.is_behind = is_source_behind;
    f->source.stop = stop_source;
    f->peers.on_request = refuse_peer;
    f->source.peers = &f->peers;
    g_strlcpy(f->settings.name, "vm", sizeof(f->settings.name));
    g_strlcpy(f->settings.zone, "a", sizeof(f->settings.zone));
    f->settings.memory_bytes = 1 << 28;
    f->settings.max_descriptors = 4096;
    f->settings.cores = 1;
    f->settings.link_mbps = 1000;
    f->settings.bounds.grace_ms = GRACE_MS;
    f->settings.bounds.config_ms = 1000;
    f->settings.bounds.lookup_ttl_ms = 1000;
    find_ports(&f->settings);
    struct sas_gateway_options options = {
        .loop = &f->loop,
        .fleet = f->fleet,
        .settings = &f->settings,
        .wire = &wire,
        .source = &f->source,
        .steering = f->steering,
    };
    struct sas_error error = {0};
    f->gateway = SasGateway_Open(&options, &error);
    assert_non_null(f->gateway);
}

static void
stop(struct fixture *f)
{
    SasGateway_Close(f->gateway);
    uv_run(&f->loop, UV_RUN_DEFAULT);
    uv_loop_close(&f->loop);
    SasSteering_Free(f->steering);
    SasFleet_Free(f->fleet);
}

/* The socket; -1 if nothing listens on the port. */
static int
connect_caller(const struct fixture *f)
{
    struct sockaddr_storage address;
    SasHttp_GetSockaddr(&f->settings.caller, &address);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    if (connect(fd, (struct sockaddr *)&address, sizeof(struct sockaddr_in)) !=
        0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Guards against requests that are accepted and lost when the process has shut
 * down and only runs its loop to close its handles. */
static void
test_no_connection_is_accepted_after_shutdown(void **state)
{
    (void)state;
    struct fixture f;
    start(&f);
    assert_int_equal(SasGateway_Run(f.gateway), 0);
    int caller = connect_caller(&f);
    for (int i = 0; i < TURNS; i++) {
        uv_run(&f.loop, UV_RUN_NOWAIT);
    }
    assert_int_equal(caller, -1);
    stop(&f);
}

/* Requests a path and returns the status of the answer. */
static int
request_path(struct fixture *f, const char *path)
{
    int caller = connect_caller(f);
    g_autofree char *request = g_strdup_printf(
        "GET %s HTTP/1.1\r\nHost: forms\r\nConnection: close\r\n\r\n", path);
    assert_int_equal(write(caller, request, strlen(request)), strlen(request));
    char answer[1024] = "";
    ssize_t size = -1;
    for (int i = 0; i < TURNS && size < 0; i++) {
        uv_run(&f->loop, UV_RUN_NOWAIT);
        size = recv(caller, answer, sizeof(answer) - 1, MSG_DONTWAIT);
        g_usleep(1000);
    }
    close(caller);
    int status = 0;
    assert_int_equal(sscanf(answer, "HTTP/1.1 %d", &status), 1);
    return status;
}

/* Guards against a final 404 for an unknown route by an entry VM that knows
 * that others have a newer configuration. */
static void
test_unknown_route_is_503_while_config_is_behind(void **state)
{
    (void)state;
    struct fixture f;
    start(&f);
    SasFleet_ApplyConfig(f.fleet, SasFleetConfig_New(1), 0);
    f.behind = true;
    assert_int_equal(request_path(&f, "/new/"), 503);
    f.behind = false;
    assert_int_equal(request_path(&f, "/new/"), 404);
    assert_int_equal(SasGateway_Run(f.gateway), 0);
    stop(&f);
}

/* The users' bound, in milliseconds, from the start of a cut. */
#define CUT_BOUND_MS 3000

/* Callers of an entry VM whose links to servers are cut in silence get nothing
 * for longer than they may. At the latest a request on an open connection
 * shows it; then probes fail, the first of which may have been under way. */
static void
test_silent_links_are_noticed_within_the_bound(void **state)
{
    (void)state;
    assert_true(SasHttp_UNACKED_TIMEOUT_MS + SasPath_PROBE_MS +
                    SasPool_CONNECT_MS + SasPath_LOST_MS <
                CUT_BOUND_MS);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_no_connection_is_accepted_after_shutdown),
        cmocka_unit_test(test_unknown_route_is_503_while_config_is_behind),
        cmocka_unit_test(test_silent_links_are_noticed_within_the_bound),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
