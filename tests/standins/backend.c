/* sas_backend_standin - runs many stand-in backend servers in one process.
 *
 * Prints "PORT name port" for each server and "CONTROL port" on standard
 * output, then serves until SIGTERM or SIGINT.
 *
 * A request's query (or header) selects its behaviour:
 *   ms=N (Sas-Test-Ms: N)  service time; without it drawn at random
 *   bytes=N                size of the answer's body: the target, repeated
 *   status=N, chunked=1    status and framing of a complete answer
 *   fault=crash            the server crashes at the end of the service time
 *                          and restarts after restart_ms=N (500)
 *   fault=cut-chunked      chunked answer, closed before its last chunk
 *   fault=short            closed after half of the Content-Length
 *   fault=close-framed     answer without a length, ended by the close
 *   fault=late             complete answer, then an unsolicited second one
 *                          20 ms later
 *   fault=reset-mid        runs, then resets the connection; with when=part
 *                          resets once the headers are read, without running
 *   fault=silent           does not run; its connection stays open, drops
 *                          all later bytes and sends none
 *   fault=hang             runs until its caller disconnects
 * An answer without bytes= is JSON: server, method, target, body_bytes and
 * body_hash (XXH64 of the request's body).
 *
 * delay_ms=D simulates the network: a server gets a request D after it was
 * read (3 D on a new connection, which costs a round trip) and the answer is
 * sent D after it was made. A disconnect is noticed without delay.
 *
 * The control port:
 *   GET /counts[?key=KEY]  per server, and per Idempotency-Key or else
 *                          Sas-Request-Id: started, finished, cancelled
 *                          (after the start), crashed, dropped (before the
 *                          start), shed; and peak, the maximum of requests
 *                          running and queued on all servers of the process.
 *                          Holds the last 200000 keys; keys_lost counts the
 *                          evicted ones.
 *   PUT /servers/PATTERN   JSON with the settings to change on the servers
 *                          whose name matches (glob): slots, queue,
 *                          connections, delay_ms, probe_ms, slow, cold_s
 *                          (begins a cold start), cold_factor, report
 *                          ("honest", "zero", "random"), report_late_ms,
 *                          leaving, refuse, echo (of Sas-Request-Id; true by
 *                          default), and the events "silent": true (stalls
 *                          all open connections) and "crash": RESTART_MS.
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
    char *distribution;
    double rtt_ms;
    int seed;
    struct settings settings;
};

static bool parse_options(struct options *options, int argc, char **argv);
static enum service_distribution get_distribution(const char *name);
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
    app.distribution = get_distribution(options.distribution);
    app.mean_ms = options.mean_ms;
    app.sigma = options.sigma;
    app.servers = g_ptr_array_new();
    app.key_counts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_queue_init(&app.key_order);
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
    _Exit(0); /* the kernel closes the connections */
}

static bool
parse_options(struct options *options, int argc, char **argv)
{
    struct settings *settings = &options->settings;
    int port = 0;
    const GOptionEntry entries[] = {
        {"servers", 0, 0, G_OPTION_ARG_INT, &options->servers,
         "number of servers", "N"},
        {"name", 0, 0, G_OPTION_ARG_STRING, &options->name,
         "server names: PREFIX-01, PREFIX-02, ...", "PREFIX"},
        {"port", 0, 0, G_OPTION_ARG_INT, &port,
         "ignored: the kernel chooses all ports", "0"},
        {"slots", 0, 0, G_OPTION_ARG_INT, &settings->slots,
         "execution slots per server", "N"},
        {"connections", 0, 0, G_OPTION_ARG_INT, &settings->connections,
         "connection limit per server", "N"},
        {"queue", 0, 0, G_OPTION_ARG_INT, &settings->queue,
         "queue length per server", "N"},
        {"mean-ms", 0, 0, G_OPTION_ARG_INT, &options->mean_ms,
         "mean service time", "N"},
        {"service", 0, 0, G_OPTION_ARG_STRING, &options->distribution,
         "exponential (default), lognormal or fixed", "SHAPE"},
        {"sigma", 0, 0, G_OPTION_ARG_DOUBLE, &options->sigma,
         "sigma of the lognormal distribution", "X"},
        {"seed", 0, 0, G_OPTION_ARG_INT, &options->seed, "random seed", "N"},
        {"rtt-ms", 0, 0, G_OPTION_ARG_DOUBLE, &options->rtt_ms,
         "simulated round trip to the servers", "MS"},
        {"probe-ms", 0, 0, G_OPTION_ARG_DOUBLE, &settings->probe_ms,
         "added to each probe's answer", "MS"},
        {"cold-s", 0, 0, G_OPTION_ARG_DOUBLE, &settings->cold_s,
         "length of a cold start", "S"},
        {"cold-factor", 0, 0, G_OPTION_ARG_DOUBLE, &settings->cold_factor,
         "factor on service times during a cold start", "X"},
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

static enum service_distribution
get_distribution(const char *name)
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
        g_error("cannot listen on the control port");
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
