/* sas_backend_standin - hosts many stand-ins of backend servers.
 *
 * Prints "PORT name port" for each server and "CONTROL port" on standard
 * output, then serves until SIGTERM or SIGINT.
 *
 * A request's query (or header) says what it does:
 *   ms=N (Sas-Test-Ms: N)  service time; drawn at random otherwise
 *   bytes=N                size of the answer: the target, repeated
 *   status=N, chunked=1    shape of a whole answer
 *   fault=crash            ends its service time with a crash of the server,
 *                          which is back after restart_ms=N (500)
 *   fault=cut-chunked      chunked answer, closed before its last chunk
 *   fault=short            closed after half of the stated length
 *   fault=close-framed     answer that is framed by the close alone
 *   fault=late             whole answer, and bytes of another one 20 ms later
 *   fault=reset-mid        runs, then resets the connection; with when=part
 *                          resets once the head is read, and does not run
 *   fault=silent           the request and all later ones on its connection
 *                          are neither read nor answered; new ones work
 *   fault=hang             runs until its caller goes away
 * An answer without bytes= is JSON: server, method, target, body_bytes and
 * body_hash (XXH64 of the request's body).
 *
 * A server with delay_ms=D takes a request D after it was read (3 D when it
 * is the first of its connection) and delivers its answer D after it was
 * made. A caller's going away is noticed at once.
 *
 * The control listener:
 *   GET /counts[?key=KEY]  per server, and per Idempotency-Key or else
 *                          Sas-Request-Id: started, finished, cancelled
 *                          (started but given up), crashed, dropped (never
 *                          started), shed; and peak, the most requests that
 *                          ran and waited on all servers of the process at
 *                          the same time. Holds the last 200000 keys;
 *                          keys_lost counts those that fell out.
 *   PUT /servers/PATTERN   JSON with the settings to change on the servers
 *                          whose name matches (glob): slots, queue,
 *                          connections, delay_ms, probe_ms, slow, cold_s
 *                          (a cold start now), cold_factor, report
 *                          ("honest", "zero", "random"), report_late_ms,
 *                          leaving, refuse, echo (of Sas-Request-Id; on at
 *                          first), and the events "silent": true
 *                          (all open connections go silent) and
 *                          "crash": RESTART_MS.
 */
#include "backend.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

struct options {
    int servers;
    char *name;
    int mean_ms;
    double sigma;
    char *shape;
    double rtt_ms;
    int seed;
    struct settings settings;
};

static bool parse_options(struct options *options, int argc, char **argv);
static enum service_shape get_shape(const char *name);
static void open_servers(struct app *app, const struct options *options);
static void on_signal(uv_signal_t *handle, int number);

int
main(int argc, char **argv)
{
    struct options options = {
        .servers = 1,
        .mean_ms = 20,
        .sigma = 1.0,
        .seed = 1,
        .settings = {.echo = true,
                     .slots = 3,
                     .connections = 330,
                     .queue = 3,
                     .slow = 1.0,
                     .cold_factor = 4.0},
    };
    if (!parse_options(&options, argc, argv)) {
        return 2;
    }
    struct app app = {0};
    uv_loop_init(&app.loop);
    app.loop.data = &app;
    app.random = g_rand_new_with_seed((guint32)options.seed);
    app.started_at = g_get_real_time();
    app.shape = get_shape(options.shape);
    app.mean_ms = options.mean_ms;
    app.sigma = options.sigma;
    app.servers = g_ptr_array_new();
    app.journal =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_queue_init(&app.journal_keys);
    open_servers(&app, &options);
    uv_signal_t signals[2];
    const int numbers[2] = {SIGTERM, SIGINT};
    for (int i = 0; i < 2; i++) {
        uv_signal_init(&app.loop, &signals[i]);
        uv_signal_start(&signals[i], on_signal, numbers[i]);
    }
    signal(SIGPIPE, SIG_IGN);
    uv_run(&app.loop, UV_RUN_DEFAULT);
    fflush(stdout);
    _Exit(0); /* connections and timers are given back by the kernel */
}

static bool
parse_options(struct options *options, int argc, char **argv)
{
    struct settings *settings = &options->settings;
    int port = 0;
    const GOptionEntry entries[] = {
        {"servers", 0, 0, G_OPTION_ARG_INT, &options->servers, "count", "N"},
        {"name", 0, 0, G_OPTION_ARG_STRING, &options->name,
         "prefix of their names: PREFIX-01, PREFIX-02, ...", "PREFIX"},
        {"port", 0, 0, G_OPTION_ARG_INT, &port,
         "only 0: the kernel picks all ports", "0"},
        {"slots", 0, 0, G_OPTION_ARG_INT, &settings->slots, "", "N"},
        {"connections", 0, 0, G_OPTION_ARG_INT, &settings->connections, "",
         "N"},
        {"queue", 0, 0, G_OPTION_ARG_INT, &settings->queue, "", "N"},
        {"mean-ms", 0, 0, G_OPTION_ARG_INT, &options->mean_ms,
         "mean service time", "N"},
        {"service", 0, 0, G_OPTION_ARG_STRING, &options->shape,
         "exponential (default), lognormal or fixed", "SHAPE"},
        {"sigma", 0, 0, G_OPTION_ARG_DOUBLE, &options->sigma,
         "of the lognormal", "X"},
        {"seed", 0, 0, G_OPTION_ARG_INT, &options->seed, "", "N"},
        {"rtt-ms", 0, 0, G_OPTION_ARG_DOUBLE, &options->rtt_ms,
         "round trip to the servers", "X"},
        {"probe-ms", 0, 0, G_OPTION_ARG_DOUBLE, &settings->probe_ms,
         "more on each probe", "X"},
        {"cold-s", 0, 0, G_OPTION_ARG_DOUBLE, &settings->cold_s, "cold start",
         "S"},
        {"cold-factor", 0, 0, G_OPTION_ARG_DOUBLE, &settings->cold_factor,
         "how much slower it is then", "X"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    g_autoptr(GOptionContext) context = g_option_context_new(NULL);
    g_autoptr(GError) error = NULL;
    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error)) {
        fprintf(stderr, "%s\n", error->message);
        return false;
    }
    settings->delay_ms = options->rtt_ms / 2.0;
    return true;
}

static enum service_shape
get_shape(const char *name)
{
    if (g_strcmp0(name, "fixed") == 0) {
        return SERVICE_FIXED;
    }
    return g_strcmp0(name, "lognormal") == 0 ? SERVICE_LOGNORMAL
                                             : SERVICE_EXPONENTIAL;
}

static void
open_servers(struct app *app, const struct options *options)
{
    uv_update_time(&app->loop);
    for (int i = 1; i <= options->servers; i++) {
        g_autofree char *name = g_strdup_printf(
            "%s-%02d", options->name ? options->name : "backend", i);
        struct server *server = Server_Create(app, name, &options->settings);
        g_ptr_array_add(app->servers, server);
        printf("PORT %s %d\n", server->name, server->port);
    }
    int port = 0;
    app->control = Http_Bind(app, &port);
    if (Http_Listen(app->control, NULL) != 0) {
        g_error("cannot listen for control");
    }
    printf("CONTROL %d\n", port);
    fflush(stdout);
}

static void
on_signal(uv_signal_t *handle, int number)
{
    (void)number;
    uv_stop(handle->loop);
}
