/* place_driver - simulates the placement policies of the core on one seeded
 * arrival list: one region, 8 backend servers of 3 slots, some entry VMs.
 *
 * Policies of SasPlacement_Create see what an entry VM knows (its own requests
 * and the load reports that came with answers). Two ideal dispatchers with
 * complete knowledge are the baseline: "jsq" joins the shortest queue, "held"
 * does too but keeps requests for which no server has a place in one central
 * queue. Times are milliseconds from the arrival at the entry VM to the answer
 * there. A request that waits longer than --wait at its entry VM, or is shed
 * --tries times, is refused.
 */
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "sample.h"
#include "sas/model.h"
#include "sas/placement.h"

#define SERVERS 8
#define SLOTS 3
#define MAX_NODES 16
#define MAX_SEEDS 32
#define MEAN_MS 20.0
#define WAKE_MS 1.0   /* interval at which a waiting queue is tried again */
#define COLD_FACTOR 4 /* factor on service times of a cold server */
#define UNLIMITED 1000000

struct run;

struct event {
    double at;
    gint64 order;
    void (*handle)(struct run *, int);
    int index; /* index of a job or a node */
};

struct job {
    double arrival;
    double service;
    int node;
    int server;
    int lender; /* node that lent the place, or SasModel_NONE */
    int tries;
    unsigned shed_by; /* bit set of servers */
    double report;    /* load reported with its answer */
    double latency;   /* negative: refused */
};

struct node {
    struct sas_placement_server view[SERVERS];
    double reported_at[SERVERS];
    double shed_at[SERVERS];
    struct sas_placement_policy *policy;
    GQueue queue;
    bool wake_pending;
};

struct sample {
    double at;
    int load;
};

struct server {
    int running;
    GQueue queue;
    int committed; /* sent by any node and not yet answered */
    int finished;
    GArray *history; /* of struct sample */
};

struct options {
    int nodes;      /* entry VMs */
    int load;       /* percent of the slots */
    char *shape;    /* exponential, lognormal */
    char *report;   /* honest, late, zero, one-zero, random */
    char *fault;    /* none, slow, cold */
    int queue;      /* of a server */
    double wait_ms; /* maximum wait at the entry VM */
    double near_ms; /* one-way delay within a failure domain */
    double far_ms;  /* between failure domains and between entry VMs */
    int tries;
    int arrivals;
    int seeds;      /* runs */
    double skew;    /* node 0 gets skew times another's requests */
    char *policies; /* separated by commas */
};

struct run {
    const struct options *options;
    const char *policy;
    bool is_central;
    bool has_loans;
    int queue; /* of a server */
    double wait_ms;
    GRand *random;
    struct job *jobs;
    struct node nodes[MAX_NODES];
    struct server servers[SERVERS];
    GSequence *events;
    gint64 order;
    double now;
    double horizon;
    gint64 sheds;
};

enum {
    P50,
    P99,
    RATIO,    /* p99 over that of jsq */
    ANSWERED, /* percent of the arrivals */
    SHEDS,    /* per 100 arrivals */
    BUSIEST,  /* requests of the busiest server over the mean */
    RESULTS
};

static int
compare_events(const void *a, const void *b, void *unused)
{
    (void)unused;
    const struct event *x = a;
    const struct event *y = b;
    return x->at < y->at || (x->at == y->at && x->order < y->order) ? -1 : 1;
}

static void
push(struct run *run, double at, void (*handle)(struct run *, int), int index)
{
    struct event *event = g_new(struct event, 1);
    *event = (struct event){at, run->order++, handle, index};
    g_sequence_insert_sorted(run->events, event, compare_events, NULL);
}

static void on_arrival(struct run *run, int index);
static void on_wake(struct run *run, int index);
static void on_at_server(struct run *run, int index);
static void on_served(struct run *run, int index);
static void on_answer(struct run *run, int index);
static void on_shed(struct run *run, int index);
static void on_return(struct run *run, int index);

/* The same jobs for every policy; node 0 gets skew times another's. */
static struct job *
make_jobs(const struct options *options, guint32 seed)
{
    g_autoptr(GRand) random = g_rand_new_with_seed(seed);
    struct job *jobs = g_new0(struct job, options->arrivals);
    double mean_gap = MEAN_MS * 100.0 / options->load / (SERVERS * SLOTS);
    double at = 0;
    for (int i = 0; i < options->arrivals; i++) {
        at += Sample_DrawExponential(random, mean_gap);
        jobs[i].arrival = at;
        jobs[i].service = strcmp(options->shape, "exponential") == 0
                              ? Sample_DrawExponential(random, MEAN_MS)
                              : Sample_DrawLognormal(random, MEAN_MS, 1.0);
        double ticket =
            g_rand_double(random) * (options->nodes - 1 + options->skew);
        jobs[i].node =
            ticket < options->skew ? 0 : 1 + (int)(ticket - options->skew);
        jobs[i].lender = SasModel_NONE;
    }
    return jobs;
}

static double
get_delay(const struct run *run, const struct job *job)
{
    bool is_near = job->node % 2 == job->server % 2;
    return is_near ? run->options->near_ms : run->options->far_ms;
}

static void
note_load(struct run *run, struct server *server)
{
    struct sample sample = {run->now,
                            server->running + (int)server->queue.length};
    g_array_append_val(server->history, sample);
}

static double
get_report(struct run *run, int index)
{
    struct server *server = &run->servers[index];
    const char *mode = run->options->report;
    if (strcmp(mode, "zero") == 0 ||
        (strcmp(mode, "one-zero") == 0 && index == 0)) {
        return 0;
    }
    if (strcmp(mode, "random") == 0) {
        return g_rand_int_range(run->random, 0, 2 * SLOTS + 1);
    }
    double until = run->now - (strcmp(mode, "late") == 0 ? 1000 : 0);
    for (guint i = server->history->len; i > 0; i--) {
        struct sample *sample =
            &g_array_index(server->history, struct sample, i - 1);
        if (sample->at <= until) {
            return sample->load;
        }
    }
    return 0;
}

/* Factor on a server's service times; server 0 has the fault. */
static double
get_service_factor(const struct run *run, int server)
{
    const char *fault = run->options->fault;
    if (server == 0 && strcmp(fault, "slow") == 0) {
        return 3;
    }
    bool is_cold = server == 0 && strcmp(fault, "cold") == 0 &&
                   run->now < run->horizon / 2;
    return is_cold ? COLD_FACTOR : 1;
}

static int
pick(struct run *run, const struct job *job)
{
    struct node *node = &run->nodes[job->node];
    for (int i = 0; i < SERVERS; i++) {
        struct sas_placement_server *server = &node->view[i];
        double age = run->now - node->reported_at[i];
        server->eligible = (job->shed_by >> i & 1) == 0;
        server->cold = get_service_factor(run, i) == COLD_FACTOR;
        server->shed_recently =
            run->now - node->shed_at[i] < SasPlacement_SHED_MS;
        server->report_age_ms = node->reported_at[i] < 0 ? -1 : (int64_t)age;
        if (run->is_central) {
            server->own_in_flight = 0;
            server->reported_load = run->servers[i].committed;
            server->report_age_ms = 0;
        }
    }
    return node->policy->pick(node->policy, node->view, SERVERS, run->random);
}

/* An ideal loan: the borrower knows which nodes have a free place and no
 * queue, and the loan costs the delay of one message. */
static int
borrow(struct run *run, struct job *job)
{
    for (int k = 0; run->has_loans && k < SERVERS * run->options->nodes; k++) {
        int server = k % SERVERS;
        struct node *lender = &run->nodes[k / SERVERS];
        struct sas_placement_server *view = &lender->view[server];
        if (lender != &run->nodes[job->node] && lender->queue.length == 0 &&
            view->own_in_flight < view->owned_slots &&
            (job->shed_by >> server & 1) == 0) {
            view->owned_slots--;
            run->nodes[job->node].view[server].owned_slots++;
            job->lender = k / SERVERS;
            return server;
        }
    }
    return SasModel_NONE;
}

static bool
dispatch(struct run *run, int index)
{
    struct job *job = &run->jobs[index];
    int server = pick(run, job);
    double delay = 0;
    if (server == SasModel_NONE) {
        server = borrow(run, job);
        delay = run->options->far_ms;
    }
    if (server == SasModel_NONE) {
        return false;
    }
    job->server = server;
    job->tries++;
    run->nodes[job->node].view[server].own_in_flight++;
    run->servers[server].committed++;
    push(run, run->now + delay + get_delay(run, job), on_at_server, index);
    return true;
}

static void
dispatch_queue(struct run *run, int index)
{
    struct node *node = &run->nodes[run->is_central ? 0 : index];
    while (node->queue.length > 0) {
        int head = GPOINTER_TO_INT(g_queue_peek_head(&node->queue));
        if (run->now - run->jobs[head].arrival > run->wait_ms) {
            run->jobs[head].latency = -1;
        }
        else if (!dispatch(run, head)) {
            break;
        }
        g_queue_pop_head(&node->queue);
    }
    if (node->queue.length > 0 && !node->wake_pending) {
        node->wake_pending = true;
        push(run, run->now + WAKE_MS, on_wake, (int)(node - run->nodes));
    }
}

static void
on_wake(struct run *run, int index)
{
    run->nodes[index].wake_pending = false;
    dispatch_queue(run, index);
}

static void
on_arrival(struct run *run, int index)
{
    struct job *job = &run->jobs[index];
    if (index + 1 < run->options->arrivals) {
        push(run, job[1].arrival, on_arrival, index + 1);
    }
    int node = run->is_central ? 0 : job->node;
    g_queue_push_tail(&run->nodes[node].queue, GINT_TO_POINTER(index));
    dispatch_queue(run, node);
}

static void
serve(struct run *run, int index)
{
    struct job *job = &run->jobs[index];
    double ms = job->service * get_service_factor(run, job->server);
    run->servers[job->server].running++;
    push(run, run->now + ms, on_served, index);
}

static void
on_at_server(struct run *run, int index)
{
    struct job *job = &run->jobs[index];
    struct server *server = &run->servers[job->server];
    if (server->running < SLOTS) {
        serve(run, index);
    }
    else if ((int)server->queue.length < run->queue) {
        g_queue_push_tail(&server->queue, GINT_TO_POINTER(index));
    }
    else {
        run->sheds++;
        push(run, run->now + get_delay(run, job), on_shed, index);
    }
    note_load(run, server);
}

static void
on_served(struct run *run, int index)
{
    struct job *job = &run->jobs[index];
    struct server *server = &run->servers[job->server];
    server->running--;
    server->finished++;
    if (server->queue.length > 0) {
        serve(run, GPOINTER_TO_INT(g_queue_pop_head(&server->queue)));
    }
    note_load(run, server);
    job->report = get_report(run, job->server);
    push(run, run->now + get_delay(run, job), on_answer, index);
}

/* The node applies the server's load report and returns a borrowed place. */
static void
apply_report(struct run *run, int index, double report)
{
    struct job *job = &run->jobs[index];
    struct node *node = &run->nodes[job->node];
    struct sas_placement_server *view = &node->view[job->server];
    run->servers[job->server].committed--;
    view->own_in_flight--;
    view->reported_load = fmax(0, report - view->own_in_flight);
    node->reported_at[job->server] = run->now;
    if (job->lender != SasModel_NONE) {
        view->owned_slots--;
        push(run, run->now + run->options->far_ms, on_return, index);
    }
}

static void
on_answer(struct run *run, int index)
{
    struct job *job = &run->jobs[index];
    job->latency = run->now - job->arrival;
    apply_report(run, index, job->report);
    dispatch_queue(run, job->node);
}

static void
on_shed(struct run *run, int index)
{
    struct job *job = &run->jobs[index];
    apply_report(run, index, SLOTS + run->queue);
    job->shed_by |= 1U << job->server;
    run->nodes[job->node].shed_at[job->server] = run->now;
    job->lender = SasModel_NONE;
    if (job->tries >= run->options->tries) {
        job->latency = -1;
    }
    else if (!dispatch(run, index)) {
        g_queue_push_head(&run->nodes[job->node].queue,
                          GINT_TO_POINTER(index));
    }
    dispatch_queue(run, job->node);
}

static void
on_return(struct run *run, int index)
{
    struct job *job = &run->jobs[index];
    run->nodes[job->lender].view[job->server].owned_slots++;
    dispatch_queue(run, job->lender);
}

static void
set_up(struct run *run)
{
    const struct options *options = run->options;
    bool is_jsq = strcmp(run->policy, "jsq") == 0;
    run->is_central = is_jsq || strcmp(run->policy, "held") == 0;
    run->has_loans = strcmp(run->policy, "owned+loan") == 0;
    run->queue = is_jsq ? UNLIMITED : options->queue;
    run->wait_ms = is_jsq ? UNLIMITED : options->wait_ms;
    const char *name = run->is_central  ? "least-load"
                       : run->has_loans ? "owned"
                                        : run->policy;
    run->events = g_sequence_new(g_free);
    for (int i = 0; i < SERVERS; i++) {
        run->servers[i].history =
            g_array_new(FALSE, FALSE, sizeof(struct sample));
    }
    for (int n = 0; n < options->nodes; n++) {
        struct node *node = &run->nodes[n];
        node->policy = SasPlacement_Create(name);
        g_queue_init(&node->queue);
        for (int i = 0; i < SERVERS; i++) {
            node->reported_at[i] = -1;
            node->shed_at[i] = -SasPlacement_SHED_MS;
            node->view[i] = (struct sas_placement_server){
                .backend = i,
                .slots = SLOTS,
                .queue = run->queue,
                .same_domain = n % 2 == i % 2,
            };
        }
    }
    int places = SLOTS + options->queue; /* of a server */
    for (int k = 0; k < SERVERS * places; k++) {
        run->nodes[k % options->nodes].view[k / places].owned_slots++;
    }
}

static void
tear_down(struct run *run)
{
    for (int n = 0; n < run->options->nodes; n++) {
        SasPlacement_Free(run->nodes[n].policy);
    }
    for (int i = 0; i < SERVERS; i++) {
        g_array_unref(run->servers[i].history);
    }
    g_sequence_free(run->events);
    g_rand_free(run->random);
}

/* The first 10% of the arrivals are the warm-up and do not count. */
static void
evaluate(const struct run *run, double *results)
{
    g_autofree struct histogram *histogram = g_new0(struct histogram, 1);
    int first = run->options->arrivals / 10;
    for (int i = first; i < run->options->arrivals; i++) {
        if (run->jobs[i].latency >= 0) {
            Histogram_Add(histogram, run->jobs[i].latency);
        }
    }
    int most = 0;
    int sum = 0;
    for (int i = 0; i < SERVERS; i++) {
        most = MAX(most, run->servers[i].finished);
        sum += run->servers[i].finished;
    }
    results[P50] = Histogram_GetQuantile(histogram, 0.5);
    results[P99] = Histogram_GetQuantile(histogram, 0.99);
    results[ANSWERED] =
        100.0 * (double)histogram->total / (run->options->arrivals - first);
    results[SHEDS] = 100.0 * (double)run->sheds / run->options->arrivals;
    results[BUSIEST] = (double)most * SERVERS / sum;
}

static void
measure(const struct options *options, const char *policy, guint32 seed,
        double *results)
{
    g_autofree struct run *run = g_new0(struct run, 1);
    g_autofree struct job *jobs = make_jobs(options, seed);
    run->options = options;
    run->policy = policy;
    run->random = g_rand_new_with_seed(seed + 1000);
    run->jobs = jobs;
    run->horizon = jobs[options->arrivals - 1].arrival;
    set_up(run);
    push(run, jobs[0].arrival, on_arrival, 0);
    while (!g_sequence_is_empty(run->events)) {
        GSequenceIter *first = g_sequence_get_begin_iter(run->events);
        struct event event = *(struct event *)g_sequence_get(first);
        g_sequence_remove(first);
        run->now = event.at;
        event.handle(run, event.index);
    }
    evaluate(run, results);
    tear_down(run);
}

/* Prints mean, minimum and maximum over the seeds. */
static void
print_policy(const struct options *options, const char *policy,
             const double *jsq_p99)
{
    double sum[RESULTS] = {0};
    double low[RESULTS] = {0};
    double high[RESULTS] = {0};
    for (int s = 0; s < options->seeds; s++) {
        double results[RESULTS];
        measure(options, policy, (guint32)s + 1, results);
        results[RATIO] = results[P99] / jsq_p99[s];
        for (int i = 0; i < RESULTS; i++) {
            sum[i] += results[i] / options->seeds;
            low[i] = s == 0 ? results[i] : fmin(low[i], results[i]);
            high[i] = s == 0 ? results[i] : fmax(high[i], results[i]);
        }
    }
    printf("%-15s %6.1f  %6.1f (%5.1f-%5.1f)  %4.2f (%4.2f-%4.2f)  %6.2f  "
           "%5.1f  %4.2f\n",
           policy, sum[P50], sum[P99], low[P99], high[P99], sum[RATIO],
           low[RATIO], high[RATIO], sum[ANSWERED], sum[SHEDS], sum[BUSIEST]);
}

static void
set_default(char **option, const char *value)
{
    *option = *option != NULL ? *option : g_strdup(value);
}

int
main(int argc, char **argv)
{
    struct options options = {
        .nodes = 3,
        .load = 95,
        .queue = 3,
        .wait_ms = 200,
        .near_ms = 0.2,
        .far_ms = 4,
        .tries = 3,
        .arrivals = 200000,
        .seeds = 5,
        .skew = 1,
    };
#define OPTION(name, type, field)                                             \
    {                                                                         \
        name, 0, 0, G_OPTION_ARG_##type, &options.field, NULL, NULL           \
    }
    const GOptionEntry entries[] = {
        OPTION("nodes", INT, nodes),
        OPTION("load", INT, load),
        OPTION("shape", STRING, shape),
        OPTION("report", STRING, report),
        OPTION("fault", STRING, fault),
        OPTION("queue", INT, queue),
        OPTION("wait", DOUBLE, wait_ms),
        OPTION("near", DOUBLE, near_ms),
        OPTION("far", DOUBLE, far_ms),
        OPTION("tries", INT, tries),
        OPTION("arrivals", INT, arrivals),
        OPTION("seeds", INT, seeds),
        OPTION("skew", DOUBLE, skew),
        OPTION("policies", STRING, policies),
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    g_autoptr(GOptionContext) context = g_option_context_new(NULL);
    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, NULL) ||
        options.seeds > MAX_SEEDS || options.nodes > MAX_NODES) {
        return 2;
    }
    set_default(&options.shape, "exponential");
    set_default(&options.report, "honest");
    set_default(&options.fault, "none");
    set_default(&options.policies,
                "jsq,held,random,round-robin,least-in-flight,two-choices,"
                "least-load,cone,owned,owned+loan,owned-first");
    g_auto(GStrv) names = g_strsplit(options.policies, ",", -1);
    double jsq_p99[MAX_SEEDS];
    for (int s = 0; s < options.seeds; s++) {
        double results[RESULTS];
        measure(&options, "jsq", (guint32)s + 1, results);
        jsq_p99[s] = results[P99];
    }
    printf("# nodes %d load %d%% %s reports %s fault %s queue %d wait %.0f "
           "near %.1f far %.1f skew %.1f\n",
           options.nodes, options.load, options.shape, options.report,
           options.fault, options.queue, options.wait_ms, options.near_ms,
           options.far_ms, options.skew);
    printf("%-15s %6s  %6s %13s  %4s %11s  %6s  %5s  %4s\n", "policy", "p50",
           "p99", "", "/jsq", "", "answ%", "sheds", "busy");
    for (int i = 0; names[i] != NULL; i++) {
        print_policy(&options, names[i], jsq_p99);
    }
    g_free(options.shape);
    g_free(options.report);
    g_free(options.fault);
    g_free(options.policies);
    return 0;
}
