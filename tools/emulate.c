/* emulate - discrete-event simulation of placement and admission.
 *
 * Simulated entry VMs, each with its own model of the fleet, place requests
 * with the core's own functions (owner, admission, traffic). A simulated
 * backend server has slots, a bounded queue, an LRU cache of objects, one
 * service time for uncached and one for cached objects, and a phase in which
 * it is slow. The network is a fixed delay within and between regions.
 *
 * Not simulated: crashes, connections, bodies, cold servers, stores,
 * configuration and callers that retry. Use it to compare policies and to find
 * queues; docs/MEASURED.md states how far its figures are from measured runs.
 *
 * Times are milliseconds. The same options give the same output.
 */
#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sas/admission.h"
#include "sas/fleet.h"
#include "sas/owner.h"
#include "sas/traffic.h"

#define REGIONS 3
#define ZONES 6
#define VMS 6
#define MAX_SERVERS 400
#define MAX_QUEUE 9    /* requests that may wait at a server */
#define LOCAL_MS 2.0   /* one-way delay within a region */
#define REMOTE_MS 22.0 /* one-way delay between regions */
#define WINDOW_MS (2000.0 * options.scale)
#define MAX_WINDOWS 200
#define CACHED_FACTOR 0.3   /* on service times of cached objects */
#define SERVICE_SPREAD 0.15 /* their relative standard deviation */

struct options {
    double rate; /* requests per second, all regions */
    double seconds;
    double service_ms; /* service time of an uncached object */
    double objective_ms;
    double timeout_ms;
    int slots;      /* of a server */
    double scale;   /* factor on all times of the load */
    int objects;    /* per region */
    int cache_size; /* of a server, in objects */
    double slow_share;
    double slow_factor;
    double slow_from_s;
    double slow_for_s;
    int seed;
    char *policy; /* owner (the product's, default) or any (least load) */
};

static struct options options = {
    .rate = 348,
    .seconds = 20,
    .service_ms = 240,
    .objective_ms = 250,
    .timeout_ms = 1000,
    .slots = 3,
    .scale = 1,
    .objects = 87,
    .cache_size = 43,
    .slow_factor = 12,
    .slow_from_s = 8,
    .slow_for_s = 8,
    .seed = 1,
};

struct request {
    double arrived_at;
    int vm; /* its entry VM */
    int region;
    int object;
    int server;
    double sent_at;
    double load_when_sent;
    bool cached;  /* as the entry VM expected it */
    bool is_done; /* answered, refused or timed out */
};

struct server {
    char id[32];
    int region;
    int zone;
    int running;
    GQueue waiting;        /* struct request * */
    GQueue cached_objects; /* most recently used first */
    bool slow;
};

enum event_kind {
    ARRIVE, /* the request is at its entry VM */
    REACH,  /* it is at its server */
    FINISH, /* the server has run it */
    ANSWER, /* the answer is at the entry VM */
    EXPIRE  /* its time limit has passed */
};

struct event {
    double at;
    guint64 number; /* orders events of the same time */
    enum event_kind kind;
    struct request *request;
};

struct window {
    int asked;
    int in_time;
    int late;
    int refused;
    int timed_out;
};

static GRand *rng;
static GSequence *events;
static GPtrArray *requests; /* owns all requests */
static guint64 event_count;
static double now_ms;
static struct server servers[MAX_SERVERS];
static int server_count;
static struct sas_fleet *fleets[VMS];
static struct sas_cached_objects *objects[VMS];
static struct sas_service_time service_times[VMS]; /* of the only route */
static struct window windows[MAX_WINDOWS];

/* Groupe Hottes: two zones per region, few servers in the middle region. */
static const int servers_per_zone[ZONES] = {6, 6, 1, 1, 5, 5};

static int
compare_events(gconstpointer a, gconstpointer b, gpointer unused)
{
    (void)unused;
    const struct event *left = a;
    const struct event *right = b;
    if (left->at != right->at) {
        return left->at < right->at ? -1 : 1;
    }
    return left->number < right->number ? -1 : 1;
}

static void
schedule(double at, enum event_kind kind, struct request *request)
{
    struct event *event = g_new0(struct event, 1);
    event->at = at;
    event->number = event_count++;
    event->kind = kind;
    event->request = request;
    g_sequence_insert_sorted(events, event, compare_events, NULL);
}

static struct window *
get_window(const struct request *request)
{
    int index = (int)(request->arrived_at / WINDOW_MS);
    return &windows[MIN(index, MAX_WINDOWS - 1)];
}

/* Servers. */

static double
draw_service_ms(struct server *server, int object)
{
    GList *found =
        g_queue_find(&server->cached_objects, GINT_TO_POINTER(object));
    double ms = options.service_ms * (found != NULL ? CACHED_FACTOR : 1);
    if (found != NULL) {
        g_queue_delete_link(&server->cached_objects, found);
    }
    g_queue_push_head(&server->cached_objects, GINT_TO_POINTER(object));
    if ((int)g_queue_get_length(&server->cached_objects) >
        options.cache_size) {
        g_queue_pop_tail(&server->cached_objects);
    }
    double factor = 1 + SERVICE_SPREAD * (g_rand_double_range(rng, -1.7, 1.7));
    return ms * factor * (server->slow ? options.slow_factor : 1);
}

static void
start_run(struct server *server, struct request *request)
{
    server->running++;
    schedule(now_ms + draw_service_ms(server, request->object), FINISH,
             request);
}

static double
get_delay(const struct request *request)
{
    bool local = servers[request->server].region == request->region;
    return (local ? LOCAL_MS : REMOTE_MS) * options.scale;
}

static void
receive(struct request *request)
{
    struct server *server = &servers[request->server];
    if (server->running < options.slots) {
        start_run(server, request);
        return;
    }
    if (g_queue_get_length(&server->waiting) >= MAX_QUEUE) {
        request->is_done = true;
        get_window(request)->refused++;
        SasTraffic_NoteEnded(SasFleet_At(fleets[request->vm], request->server),
                             true, (int64_t)now_ms);
        return;
    }
    g_queue_push_tail(&server->waiting, request);
}

static void
finish(struct request *request)
{
    struct server *server = &servers[request->server];
    server->running--;
    schedule(now_ms + get_delay(request), ANSWER, request);
    while (!g_queue_is_empty(&server->waiting)) {
        struct request *next = g_queue_pop_head(&server->waiting);
        if (!next->is_done) { /* not timed out in the queue */
            start_run(server, next);
            return;
        }
    }
}

/* Entry VMs. */

static void
report_to_all(int slot, enum sas_traffic_change change)
{
    if (change == SAS_TRAFFIC_SAME) {
        return;
    }
    int prober = servers[slot].zone;
    for (int vm = 0; vm < VMS; vm++) {
        int64_t left_ms =
            change == SAS_TRAFFIC_EJECTED ? SasTraffic_EJECTION_MS : 0;
        SasTraffic_ApplyPeerReport(fleets[vm], slot, left_ms, vm == prober,
                                   (int64_t)now_ms);
    }
}

static void
note_result(struct request *request, bool timed_out)
{
    struct sas_fleet *fleet = fleets[request->vm];
    struct sas_attempt_result result = {
        .elapsed_ms = now_ms - request->sent_at,
        .load_when_sent = request->load_when_sent,
        .cached = request->cached,
        .timed_out = timed_out,
    };
    SasTraffic_NoteEnded(SasFleet_At(fleet, request->server), !timed_out,
                         (int64_t)now_ms);
    report_to_all(request->server,
                  SasTraffic_NoteResult(fleet, request->server, &result,
                                        (int64_t)now_ms));
}

static uint64_t
get_key(const struct request *request)
{
    char key[32];
    g_snprintf(key, sizeof(key), "%d/%d", request->region, request->object);
    return SasOwner_HashKey(key);
}

static void
note_service_time(const struct request *request)
{
    struct sas_fleet *fleet = fleets[request->vm];
    if (SasTraffic_FoundSlot(SasFleet_At(fleet, request->server),
                             request->load_when_sent)) {
        SasServiceTime_Note(&service_times[request->vm], request->cached,
                            now_ms - request->sent_at);
    }
    SasCachedObjects_NoteAnswered(objects[request->vm], 0, get_key(request),
                                  SasFleet_GetRef(fleet, request->server));
}

static void
answer(struct request *request)
{
    if (request->is_done) {
        return;
    }
    request->is_done = true;
    struct server *server = &servers[request->server];
    struct sas_traffic_report report = {
        .running = server->running,
        .waiting = (int)g_queue_get_length(&server->waiting),
    };
    note_result(request, false);
    note_service_time(request);
    SasTraffic_NoteReport(fleets[request->vm], request->server, &report,
                          (int64_t)now_ms);
    if (now_ms - request->arrived_at <= options.objective_ms) {
        get_window(request)->in_time++;
    }
    else {
        get_window(request)->late++;
    }
}

static void
expire(struct request *request)
{
    if (request->is_done) {
        return;
    }
    request->is_done = true;
    get_window(request)->timed_out++;
    note_result(request, true);
}

static int
pick_any(const struct sas_fleet *fleet)
{
    int best = 0;
    for (int slot = 1; slot < server_count; slot++) {
        if (SasTraffic_EstimateLoad(fleet, slot, (int64_t)now_ms) <
            SasTraffic_EstimateLoad(fleet, best, (int64_t)now_ms)) {
            best = slot;
        }
    }
    return best;
}

static int
decide(struct request *request, const int *slots, int count)
{
    struct sas_admission_query query = {
        .slots = slots,
        .count = count,
        .objects = objects[request->vm],
        .service_time = &service_times[request->vm],
        .key = get_key(request),
        .objective_ms = options.objective_ms,
        .left_ms = options.timeout_ms,
    };
    struct sas_admission_decision decision =
        SasAdmission_Decide(fleets[request->vm], &query, (int64_t)now_ms);
    request->cached = decision.cached;
    if (decision.slot != SasModel_NONE && !decision.cached) {
        SasCachedObjects_NoteLoading(
            objects[request->vm], 0, get_key(request),
            SasFleet_GetRef(fleets[request->vm], decision.slot),
            (int64_t)now_ms);
    }
    return decision.slot;
}

static int
pick_server(struct request *request)
{
    struct sas_fleet *fleet = fleets[request->vm];
    if (options.policy != NULL && strcmp(options.policy, "any") == 0) {
        return pick_any(fleet);
    }
    struct sas_owner_query query = {
        .service = 0,
        .zone = request->vm,
        .key = get_key(request),
    };
    int slots[SasOwner_MAX_CANDIDATES];
    int count = SasOwner_Rank(fleet, &query, (int64_t)now_ms, slots,
                              SasOwner_MAX_CANDIDATES);
    return decide(request, slots, count);
}

static void
arrive(struct request *request)
{
    get_window(request)->asked++;
    request->server = pick_server(request);
    if (request->server == SasModel_NONE) {
        request->is_done = true;
        get_window(request)->refused++;
        return;
    }
    struct sas_fleet_server *server =
        SasFleet_At(fleets[request->vm], request->server);
    request->sent_at = now_ms;
    request->load_when_sent = SasTraffic_EstimateLoad(
        fleets[request->vm], request->server, (int64_t)now_ms);
    SasTraffic_NoteSent(server, (int64_t)now_ms);
    schedule(now_ms + get_delay(request), REACH, request);
    schedule(now_ms + options.timeout_ms, EXPIRE, request);
}

/* The run. */

static struct sas_fleet *
make_fleet(void)
{
    static const char *const regions[REGIONS] = {"east", "north", "west"};
    struct sas_fleet *fleet = SasFleet_New();
    for (int zone = 0; zone < ZONES; zone++) {
        char name[8];
        g_snprintf(name, sizeof(name), "z%d", zone);
        SasFleet_AddZone(fleet, name, regions[zone / 2]);
    }
    for (int i = 0; i < server_count; i++) {
        struct sas_server_facts facts = {.slots = options.slots,
                                         .started_at = 1};
        g_strlcpy(facts.id, servers[i].id, sizeof(facts.id));
        g_strlcpy(facts.service, "desk", sizeof(facts.service));
        g_snprintf(facts.zone, sizeof(facts.zone), "z%d", servers[i].zone);
        SasFleet_PutServer(fleet, &facts);
    }
    return fleet;
}

static void
set_up(void)
{
    for (int zone = 0; zone < ZONES; zone++) {
        for (int i = 0; i < servers_per_zone[zone]; i++) {
            struct server *server = &servers[server_count++];
            g_snprintf(server->id, sizeof(server->id), "s-%d-%d", zone, i);
            server->zone = zone;
            server->region = zone / 2;
            g_queue_init(&server->waiting);
            g_queue_init(&server->cached_objects);
        }
    }
    for (int vm = 0; vm < VMS; vm++) {
        fleets[vm] = make_fleet();
        objects[vm] = SasCachedObjects_New();
        SasServiceTime_Init(&service_times[vm], options.objective_ms);
        SasServiceTime_SetObjective(
            &SasFleet_GetService(fleets[vm], 0)->service_time,
            options.objective_ms);
    }
}

static void
clean_up(void)
{
    for (int i = 0; i < server_count; i++) {
        g_queue_clear(&servers[i].waiting);
        g_queue_clear(&servers[i].cached_objects);
    }
    for (int vm = 0; vm < VMS; vm++) {
        SasFleet_Free(fleets[vm]);
        SasCachedObjects_Free(objects[vm]);
    }
    g_sequence_free(events);
    g_ptr_array_free(requests, TRUE);
    g_rand_free(rng);
    g_free(options.policy);
}

static void
schedule_arrivals(void)
{
    double at = 0;
    while (at < options.seconds * 1000) {
        at += -log(g_rand_double_range(rng, 1e-9, 1)) * 1000 / options.rate;
        struct request *request = g_new0(struct request, 1);
        g_ptr_array_add(requests, request);
        request->arrived_at = at;
        request->vm = g_rand_int_range(rng, 0, VMS);
        request->region = request->vm / 2;
        request->object = g_rand_int_range(rng, 0, options.objects);
        schedule(at, ARRIVE, request);
    }
}

static void
update_slow(void)
{
    double second = now_ms / 1000;
    bool on = second >= options.slow_from_s &&
              second < options.slow_from_s + options.slow_for_s;
    for (int i = 0; i < server_count; i++) {
        servers[i].slow =
            on && (i * 7 % server_count) < options.slow_share * server_count;
    }
}

static void
run(void)
{
    while (!g_sequence_is_empty(events)) {
        GSequenceIter *first = g_sequence_get_begin_iter(events);
        struct event event = *(struct event *)g_sequence_get(first);
        g_sequence_remove(first);
        now_ms = event.at;
        update_slow();
        switch (event.kind) {
        case ARRIVE:
            arrive(event.request);
            break;
        case REACH:
            receive(event.request);
            break;
        case FINISH:
            finish(event.request);
            break;
        case ANSWER:
            answer(event.request);
            break;
        case EXPIRE:
            expire(event.request);
            break;
        }
    }
}

static void
print_windows(void)
{
    struct window all = {0};
    printf("%8s %7s %8s %6s %8s %10s\n", "second", "asked", "in_time", "late",
           "refused", "timed_out");
    int count = (int)ceil(options.seconds * 1000 / WINDOW_MS);
    for (int i = 0; i < MIN(count, MAX_WINDOWS); i++) {
        const struct window *w = &windows[i];
        printf("%8.0f %7d %8d %6d %8d %10d\n", i * WINDOW_MS / 1000, w->asked,
               w->in_time, w->late, w->refused, w->timed_out);
        all.asked += w->asked;
        all.in_time += w->in_time;
        all.late += w->late;
        all.refused += w->refused;
        all.timed_out += w->timed_out;
    }
    double asked = MAX(all.asked, 1);
    printf("in time %.3f, late %.3f, refused %.3f, timed out %.3f\n",
           all.in_time / asked, all.late / asked, all.refused / asked,
           all.timed_out / asked);
}

/* Multiplies all times of the load by options.scale and divides its rate. */
static void
scale_times(void)
{
    options.rate /= options.scale;
    options.seconds *= options.scale;
    options.service_ms *= options.scale;
    options.objective_ms *= options.scale;
    options.timeout_ms *= options.scale;
    options.slow_from_s *= options.scale;
    options.slow_for_s *= options.scale;
}

int
main(int argc, char **argv)
{
    const GOptionEntry entries[] = {
        {"rate", 0, 0, G_OPTION_ARG_DOUBLE, &options.rate,
         "Requests per second (348)", "N"},
        {"seconds", 0, 0, G_OPTION_ARG_DOUBLE, &options.seconds,
         "Length of the run (20)", "N"},
        {"work", 0, 0, G_OPTION_ARG_DOUBLE, &options.service_ms,
         "Service time of an uncached object, ms (240)", "MS"},
        {"goal", 0, 0, G_OPTION_ARG_DOUBLE, &options.objective_ms,
         "Latency objective, ms (250)", "MS"},
        {"limit", 0, 0, G_OPTION_ARG_DOUBLE, &options.timeout_ms,
         "Time limit, ms (1000)", "MS"},
        {"slots", 0, 0, G_OPTION_ARG_INT, &options.slots,
         "Slots per server (3)", "N"},
        {"scale", 0, 0, G_OPTION_ARG_DOUBLE, &options.scale,
         "Factor on all times of the load (1)", "K"},
        {"objects", 0, 0, G_OPTION_ARG_INT, &options.objects,
         "Objects per region (87)", "N"},
        {"memory", 0, 0, G_OPTION_ARG_INT, &options.cache_size,
         "Objects in a server's cache (43)", "N"},
        {"slow-share", 0, 0, G_OPTION_ARG_DOUBLE, &options.slow_share,
         "Share of the servers that become slow, 0 to 1 (0)", "X"},
        {"slow-factor", 0, 0, G_OPTION_ARG_DOUBLE, &options.slow_factor,
         "Factor on their service times (12)", "X"},
        {"slow-from", 0, 0, G_OPTION_ARG_DOUBLE, &options.slow_from_s,
         "Second at which they become slow (8)", "S"},
        {"slow-for", 0, 0, G_OPTION_ARG_DOUBLE, &options.slow_for_s,
         "Seconds for which they are slow (8)", "S"},
        {"seed", 0, 0, G_OPTION_ARG_INT, &options.seed, "Random seed (1)",
         "N"},
        {"policy", 0, 0, G_OPTION_ARG_STRING, &options.policy,
         "owner (the product's, default) or any (least load)", "NAME"},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
    };
    g_autoptr(GOptionContext) context =
        g_option_context_new("- simulate a load on backend servers");
    g_option_context_add_main_entries(context, entries, NULL);
    g_autoptr(GError) problem = NULL;
    if (!g_option_context_parse(context, &argc, &argv, &problem)) {
        fprintf(stderr, "emulate: %s\n", problem->message);
        return 2;
    }
    if (options.rate <= 0 || options.seconds <= 0 || options.objects < 1 ||
        options.slots < 1 || options.scale <= 0) {
        fprintf(stderr, "emulate: --rate, --seconds, --objects, --slots and "
                        "--scale must be above 0\n");
        return 2;
    }
    scale_times();
    rng = g_rand_new_with_seed((guint32)options.seed);
    events = g_sequence_new(g_free);
    requests = g_ptr_array_new_with_free_func(g_free);
    set_up();
    schedule_arrivals();
    run();
    print_windows();
    clean_up();
    return 0;
}
