/* bench_gossip - cost and speed of gossip, with the core's own functions for
 * each decision and the real size of each message.
 *
 * Simulates membership tables that exchange messages with a fixed delay: all
 * tables start complete; after a warm-up one node adopts a new version, then
 * some nodes crash. Times are simulated; --cpu measures CPU time per message,
 * --live runs real peer tasks on loopback sockets.
 */
#include <arpa/inet.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include "sas/peer.h"
#include "sas/record.h"

#define TIMEOUT_MS 1000
#define CPU_MESSAGES 20000
#define NEVER_MS INT64_MAX

enum event_kind {
    EVENT_ROUND,
    EVENT_EXTRA_ROUND,
    EVENT_PING,
    EVENT_REPLY,
    EVENT_FETCHED,
    EVENT_TIMEOUT
};

struct event {
    int64_t at_ms;
    enum event_kind kind;
    int node;
    int peer;
    uint64_t version;
    int update_count;
    struct sas_member_update *updates;
};

struct node {
    struct sas_membership table;
    uint64_t version;
    bool alive;
    bool fetching;
    bool extra_round_pending;
    double tokens;
    int64_t refilled_ms;
    int64_t adopted_ms;
};

static gint node_count = 9;
static gint seed = 1;
static gint delay_ms = 20;
static gint fanout;
static gint budgets = 16;
static gint loads = 8;
static gint warmup_s = 120;
static gboolean no_extra_rounds;
static gboolean measure_cpu;
static gint live_s;
static gint death_count = 1;

static GOptionEntry entries[] = {
    {"nodes", 'n', 0, G_OPTION_ARG_INT, &node_count, "entry VMs", "N"},
    {"seed", 's', 0, G_OPTION_ARG_INT, &seed, "random seed", "N"},
    {"delay", 'd', 0, G_OPTION_ARG_INT, &delay_ms, "one-way message delay",
     "MS"},
    {"fanout", 'f', 0, G_OPTION_ARG_INT, &fanout,
     "peers per round; 0: the core's value", "N"},
    {"budgets", 'b', 0, G_OPTION_ARG_INT, &budgets, "budgets in a message",
     "N"},
    {"loads", 'l', 0, G_OPTION_ARG_INT, &loads, "loads in a message", "N"},
    {"settle", 't', 0, G_OPTION_ARG_INT, &warmup_s,
     "warm-up before the measurement", "S"},
    {"no-rumors", 'r', 0, G_OPTION_ARG_NONE, &no_extra_rounds,
     "no extra rounds after a change", NULL},
    {"cpu", 'c', 0, G_OPTION_ARG_NONE, &measure_cpu,
     "only measure CPU time per message", NULL},
    {"deaths", 0, 0, G_OPTION_ARG_INT, &death_count,
     "nodes that crash at once", "N"},
    {"live", 0, 0, G_OPTION_ARG_INT, &live_s,
     "run real peer tasks on loopback sockets instead", "S"},
    {NULL, 0, 0, 0, NULL, NULL, NULL},
};

static struct node *nodes;
static GSequence *event_queue;
static GRand *rng;
static int64_t now_ms;
static uint64_t message_count;
static uint64_t byte_count;
static uint64_t fetch_count;

/* Messages */

static struct sas_proto_message
make_gossip(struct sas_rpc_member *members, int count)
{
    static struct sas_rpc_budget budget_rows[SAS_RPC_MAX_BUDGETS];
    static struct sas_rpc_load load_rows[SAS_RPC_MAX_LOADS];
    struct sas_proto_message message = {.procedure = SAS_RPC_GOSSIP};
    struct sas_rpc_gossip *gossip = &message.body.gossip;
    gossip->budgets.budgets_len = (u_int)budgets;
    gossip->budgets.budgets_val = budget_rows;
    gossip->loads.loads_len = (u_int)loads;
    gossip->loads.loads_val = load_rows;
    gossip->members.members_len = (u_int)count;
    gossip->members.members_val = members;
    return message;
}

static struct sas_proto_key *
get_key(void)
{
    static struct sas_proto_key *key;
    if (key == NULL) {
        key = SasProto_NewKey((const uint8_t *)"bench bench benc", 16, NULL);
    }
    return key;
}

/* Size of a gossip record with count member updates, bytes. */
static size_t
get_record_size(int count)
{
    static size_t sizes[SasMembership_DIGEST_MEMBERS + 1];
    if (sizes[count] == 0) {
        struct sas_rpc_member members[SasMembership_DIGEST_MEMBERS];
        struct sas_proto_session session;
        memset(members, 0, sizeof(members));
        memset(&session, 0, sizeof(session));
        struct sas_proto_message message = make_gossip(members, count);
        g_free(SasProto_Encode(get_key(), &session, &message, &sizes[count],
                               NULL));
    }
    return sizes[count];
}

/* Events */

static gint
compare_events(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct event *left = a;
    const struct event *right = b;
    (void)data;
    return left->at_ms < right->at_ms ? -1 : left->at_ms > right->at_ms;
}

static struct event *
schedule(int64_t wait_ms, enum event_kind kind, int node, int peer)
{
    struct event *event = g_new0(struct event, 1);
    event->at_ms = now_ms + wait_ms;
    event->kind = kind;
    event->node = node;
    event->peer = peer;
    g_sequence_insert_sorted(event_queue, event, compare_events, NULL);
    return event;
}

static void
send_gossip(int from, int to, enum event_kind kind)
{
    struct node *node = &nodes[from];
    struct event *event = schedule(delay_ms, kind, to, from);
    event->updates =
        g_new(struct sas_member_update, SasMembership_DIGEST_MEMBERS);
    event->update_count =
        SasMembership_FillDigest(&node->table, rng, now_ms, event->updates,
                                 SasMembership_DIGEST_MEMBERS);
    event->version = node->version;
    message_count++;
    byte_count += get_record_size(event->update_count);
}

static void
ping(int from, int to)
{
    if (nodes[to].alive) {
        send_gossip(from, to, EVENT_PING);
    }
    else {
        schedule(TIMEOUT_MS, EVENT_TIMEOUT, from, to);
    }
}

static void
ping_random_peers(int from, int count)
{
    int peers[SasPeer_MAX_CALLS];
    count =
        SasMembership_PickPeers(&nodes[from].table, rng, now_ms, peers, count);
    for (int i = 0; i < count; i++) {
        ping(from, peers[i]);
    }
}

/* Token bucket for extra rounds, as in the peer task. */
static void
schedule_extra_round(int at)
{
    struct node *node = &nodes[at];
    if (no_extra_rounds || node->extra_round_pending) {
        return;
    }
    node->tokens += 0.5 * (double)(now_ms - node->refilled_ms) /
                    (double)node->table.times.interval_ms;
    node->tokens = MIN(node->tokens, SasPeer_EXTRA_ROUND_BURST);
    node->refilled_ms = now_ms;
    if (node->tokens >= 1) {
        node->tokens -= 1;
        node->extra_round_pending = true;
        schedule(0, EVENT_EXTRA_ROUND, at, 0);
    }
}

static void
apply_gossip(const struct event *event)
{
    struct node *node = &nodes[event->node];
    int changes = 0;
    for (int i = 0; i < event->update_count; i++) {
        changes |=
            SasMembership_Merge(&node->table, &event->updates[i], now_ms);
    }
    SasMembership_NoteDirect(
        &node->table, event->peer,
        nodes[event->peer].table.members[event->peer].incarnation, now_ms);
    if ((changes & SAS_CHANGE_MEMBER) != 0) {
        schedule_extra_round(event->node);
    }
    if (event->version > node->version && !node->fetching) {
        node->fetching = true;
        fetch_count++;
        schedule(2 * delay_ms, EVENT_FETCHED, event->node, event->peer)
            ->version = event->version;
    }
}

static void
adopt(int at, uint64_t version)
{
    struct node *node = &nodes[at];
    node->fetching = false;
    node->version = version;
    node->adopted_ms = now_ms;
    SasMembership_SetVersion(&node->table, version);
    schedule_extra_round(at);
}

static void
handle_event(const struct event *event)
{
    struct node *node = &nodes[event->node];
    if (!node->alive) {
        return;
    }
    switch (event->kind) {
    case EVENT_ROUND:
        SasMembership_IncrementHeartbeat(&node->table, now_ms);
        ping_random_peers(event->node, node->table.times.fanout);
        schedule(node->table.times.interval_ms, EVENT_ROUND, event->node, 0);
        break;
    case EVENT_EXTRA_ROUND:
        node->extra_round_pending = false;
        ping_random_peers(event->node, SasPeer_EXTRA_ROUND_FANOUT);
        break;
    case EVENT_PING:
        apply_gossip(event);
        send_gossip(event->node, event->peer, EVENT_REPLY);
        break;
    case EVENT_REPLY:
        apply_gossip(event);
        break;
    case EVENT_FETCHED:
        adopt(event->node, event->version);
        break;
    case EVENT_TIMEOUT:
        if (SasMembership_NoteTimeout(&node->table, event->peer, now_ms)) {
            schedule_extra_round(event->node);
        }
        else if (SasMembership_ShouldRetry(&node->table, event->peer)) {
            ping(event->node, event->peer);
        }
        break;
    }
}

static void
run_until(int64_t end_ms)
{
    while (!g_sequence_is_empty(event_queue)) {
        GSequenceIter *first = g_sequence_get_begin_iter(event_queue);
        struct event *event = g_sequence_get(first);
        if (event->at_ms > end_ms) {
            break;
        }
        now_ms = event->at_ms;
        g_sequence_remove(first);
        handle_event(event);
        g_free(event->updates);
        g_free(event);
    }
    now_ms = end_ms;
}

/* Set-up */

static void
start_nodes(void)
{
    nodes = g_new0(struct node, node_count);
    event_queue = g_sequence_new(NULL);
    rng = g_rand_new_with_seed((guint32)seed);
    for (int i = 0; i < node_count; i++) {
        struct node *node = &nodes[i];
        SasMembership_Init(&node->table, node_count, i, 1000, 0);
        if (fanout > 0) {
            node->table.times.fanout = fanout;
        }
        node->alive = true;
        node->adopted_ms = NEVER_MS;
        for (int member_id = 0; member_id < node_count; member_id++) {
            struct sas_member_update update = {
                .member_id = member_id, .incarnation = 1000, .heartbeat = 1};
            SasMembership_Merge(&node->table, &update, 0);
            node->table.members[member_id].retransmits_left = 0;
        }
        int interval = (int)node->table.times.interval_ms;
        schedule(g_rand_int_range(rng, 0, interval), EVENT_ROUND, i, 0);
    }
}

static void
stop_nodes(void)
{
    for (int i = 0; i < node_count; i++) {
        SasMembership_Close(&nodes[i].table);
    }
    g_free(nodes);
    g_rand_free(rng);
    run_until(-1);
    for (GSequenceIter *at = g_sequence_get_begin_iter(event_queue);
         !g_sequence_iter_is_end(at); at = g_sequence_iter_next(at)) {
        struct event *event = g_sequence_get(at);
        g_free(event->updates);
        g_free(event);
    }
    g_sequence_free(event_queue);
}

/* Results */

static int
compare_times(const void *a, const void *b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;
    return left < right ? -1 : left > right;
}

static void
report_ages(void)
{
    size_t count = (size_t)node_count * (size_t)node_count;
    g_autofree int64_t *ages = g_new(int64_t, count);
    size_t used = 0;
    int suspected_count = 0;
    for (int i = 0; i < node_count; i++) {
        for (int member_id = 0; member_id < node_count; member_id++) {
            const struct sas_membership *table = &nodes[i].table;
            if (member_id == i) {
                continue;
            }
            ages[used++] = SasMembership_GetAge(table, member_id, now_ms);
            suspected_count +=
                SasMembership_GetState(table, member_id, now_ms) !=
                SAS_MEMBER_LIVE;
        }
    }
    qsort(ages, used, sizeof(*ages), compare_times);
    printf("  ages ms: p50 %ld p99 %ld max %ld; suspected at %ld; "
           "wrongly suspected pairs %d of %zu\n",
           (long)ages[used / 2], (long)ages[used * 99 / 100],
           (long)ages[used - 1], (long)nodes[0].table.times.suspect_ms,
           suspected_count, used);
}

static void
report_spread(int64_t start_ms)
{
    g_autofree int64_t *times = g_new(int64_t, node_count);
    for (int i = 0; i < node_count; i++) {
        times[i] = nodes[i].adopted_ms;
    }
    qsort(times, (size_t)node_count, sizeof(*times), compare_times);
    int64_t last = times[node_count - 1];
    if (last == NEVER_MS) {
        printf("  version: not adopted by all nodes\n");
        return;
    }
    printf("  version in force after ms: p50 %ld p99 %ld all %ld "
           "(%.1f rounds)\n",
           (long)(times[node_count / 2] - start_ms),
           (long)(times[node_count * 99 / 100] - start_ms),
           (long)(last - start_ms),
           (double)(last - start_ms) /
               (double)nodes[0].table.times.interval_ms);
}

/* Counts the pairs of a live and a crashed node where the live node's table
 * has the crashed one in the given state or as dead. */
static int64_t
count_detected(enum sas_member_state wanted)
{
    int64_t detected = 0;
    for (int i = 0; i < node_count; i++) {
        for (int dead = 0; nodes[i].alive && dead < node_count; dead++) {
            enum sas_member_state state =
                SasMembership_GetState(&nodes[i].table, dead, now_ms);
            detected += !nodes[dead].alive &&
                        (state == SAS_MEMBER_DEAD || state == wanted);
        }
    }
    return detected;
}

/* Time until the live nodes suspect the crashed ones and declare them dead. */
static void
report_deaths(void)
{
    int64_t pairs = (int64_t)death_count * (node_count - death_count);
    int64_t start_ms = now_ms;
    int64_t half_ms = -1;
    int64_t most_ms = -1;
    int64_t all_ms = -1;
    for (int i = 0; i < death_count; i++) {
        nodes[(node_count / 2 + i) % node_count].alive = false;
    }
    message_count = 0;
    byte_count = 0;
    while (count_detected(SAS_MEMBER_DEAD) < pairs &&
           now_ms - start_ms < 600000) {
        run_until(now_ms + 100);
        int64_t detected = count_detected(SAS_MEMBER_SUSPECTED);
        int64_t passed_ms = now_ms - start_ms;
        half_ms = half_ms < 0 && detected * 2 >= pairs ? passed_ms : half_ms;
        most_ms =
            most_ms < 0 && detected * 100 >= pairs * 99 ? passed_ms : most_ms;
        all_ms = all_ms < 0 && detected == pairs ? passed_ms : all_ms;
    }
    double node_seconds =
        (double)(now_ms - start_ms) / 1000 * (node_count - death_count);
    printf("  %d crashed: suspected in half of the pairs after %ld ms, 99%% "
           "%ld ms, all %ld ms; dead in all %ld ms; meanwhile %.2f KB sent "
           "per node and second\n",
           death_count, (long)half_ms, (long)most_ms, (long)all_ms,
           (long)(now_ms - start_ms),
           (double)byte_count / node_seconds / 1000);
}

static double
get_cpu_seconds(void)
{
    struct rusage usage;
    getrusage(RUSAGE_SELF, &usage);
    return (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
           (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
}

static void
report_cpu(void)
{
    struct sas_rpc_member members[SasMembership_DIGEST_MEMBERS];
    struct sas_proto_session session;
    struct sas_membership table;
    int count = MIN(node_count, SasMembership_DIGEST_MEMBERS);
    memset(members, 0, sizeof(members));
    memset(&session, 0, sizeof(session));
    SasMembership_Init(&table, node_count, 0, 1000, 0);
    GRand *random = g_rand_new_with_seed((guint32)seed);
    size_t size = 0;
    double before = get_cpu_seconds();
    for (int i = 0; i < CPU_MESSAGES; i++) {
        struct sas_member_update updates[SasMembership_DIGEST_MEMBERS];
        int picked[SasPeer_MAX_CALLS];
        SasMembership_PickPeers(&table, random, i, picked, 1);
        SasMembership_FillDigest(&table, random, i, updates, count);
        struct sas_proto_message message = make_gossip(members, count);
        g_autofree uint8_t *record =
            SasProto_Encode(get_key(), &session, &message, &size, NULL);
        struct sas_proto_message got;
        SasProto_Authenticate(get_key(), &session,
                              record + SasRecord_MARK_SIZE,
                              size - SasRecord_MARK_SIZE, &got, NULL);
        SasProto_Decode(&got, NULL);
        for (int member_id = 0; member_id < count; member_id++) {
            struct sas_member_update row = {.member_id = member_id,
                                            .incarnation = 1,
                                            .heartbeat = (uint32_t)i};
            SasMembership_Merge(&table, &row, i);
        }
        SasProto_FreeBody(&got);
    }
    double seconds = get_cpu_seconds() - before;
    printf("cpu: %.1f us per message of %zu bytes: encoded, sealed, opened, "
           "decoded and merged (%d messages)\n",
           seconds * 1e6 / CPU_MESSAGES, size, CPU_MESSAGES);
    SasMembership_Close(&table);
    g_rand_free(random);
}

/* Real peer tasks on one loop: CPU time with sockets and timers included. */
static void
fill_empty_gossip(struct sas_peer_handler *handler,
                  struct sas_rpc_gossip *gossip)
{
    struct sas_proto_message message = make_gossip(NULL, 0);
    (void)handler;
    *gossip = message.body.gossip;
}

static int
listen_on_any(int *port)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t size = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (fd < 0 || bind(fd, (struct sockaddr *)&address, size) < 0 ||
        getsockname(fd, (struct sockaddr *)&address, &size) < 0) {
        perror("listen");
        exit(1);
    }
    *port = ntohs(address.sin_port);
    return fd;
}

static void
on_end(uv_timer_t *timer)
{
    uv_stop(timer->loop);
}

static void
report_sockets(void)
{
    uv_loop_t loop;
    uv_timer_t end_timer;
    struct sas_peer_handler handler = {.fill_gossip = fill_empty_gossip};
    struct sas_vm *vms = g_new0(struct sas_vm, node_count);
    struct sas_peer **peers = g_new0(struct sas_peer *, node_count);
    int *fds = g_new0(int, node_count);
    struct sas_model model = {.vms = vms, .vm_count = node_count};
    rng = g_rand_new_with_seed((guint32)seed);
    uv_loop_init(&loop);
    for (int i = 0; i < node_count; i++) {
        g_strlcpy(vms[i].peer.ip, "127.0.0.1", sizeof(vms[i].peer.ip));
        fds[i] = listen_on_any(&vms[i].peer.port);
    }
    for (int i = 0; i < node_count; i++) {
        struct sas_peer_options options;
        SasPeer_InitOptions(&options);
        options.listen_fd = fds[i];
        options.random = rng;
        if (SasPeer_Open(&peers[i], &loop, &model, i,
                         (const uint8_t *)"bench bench benc", 16, 1000,
                         &handler, &options, NULL) < 0) {
            exit(1);
        }
    }
    uv_timer_init(&loop, &end_timer);
    double before = get_cpu_seconds();
    uv_timer_start(&end_timer, on_end, (uint64_t)live_s * 1000, 0);
    uv_run(&loop, UV_RUN_DEFAULT);
    double cpu = get_cpu_seconds() - before;
    uint64_t sent = 0;
    uint64_t bytes = 0;
    for (int i = 0; i < node_count; i++) {
        sent += SasPeer_GetCounter(peers[i], SAS_PEER_CALLS) +
                SasPeer_GetCounter(peers[i], SAS_PEER_SERVED);
        bytes += SasPeer_GetCounter(peers[i], SAS_PEER_BYTES_OUT);
        SasPeer_Close(peers[i], NULL, NULL);
    }
    uv_close((uv_handle_t *)&end_timer, NULL);
    uv_run(&loop, UV_RUN_DEFAULT);
    uv_loop_close(&loop);
    printf("live: %d nodes %d s: %.1f messages and %.2f KB sent per node and "
           "second, %.3f%% of a CPU per node, %.1f us per message\n",
           node_count, live_s, (double)sent / node_count / live_s,
           (double)bytes / node_count / live_s / 1000,
           cpu / live_s / node_count * 100, cpu / (double)sent * 1e6);
    g_free(vms);
    g_free(peers);
    g_free(fds);
    g_rand_free(rng);
}

int
main(int argc, char **argv)
{
    g_autoptr(GError) error = NULL;
    GOptionContext *context = g_option_context_new("- cost of gossip");
    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error)) {
        fprintf(stderr, "%s\n", error->message);
        return 2;
    }
    g_option_context_free(context);
    if (measure_cpu) {
        report_cpu();
        return 0;
    }
    if (live_s > 0) {
        report_sockets();
        return 0;
    }
    start_nodes();
    printf("nodes %d seed %d fan-out %d interval %ld ms, table %zu bytes\n",
           node_count, seed, nodes[0].table.times.fanout,
           (long)nodes[0].table.times.interval_ms,
           (size_t)node_count * sizeof(struct sas_member));
    run_until(warmup_s * 1000 / 2);
    message_count = 0;
    byte_count = 0;
    run_until(warmup_s * 1000);
    double node_seconds = (double)node_count * warmup_s / 2;
    printf("  steady, per node and second: %.1f messages sent, %.2f KB sent\n",
           (double)message_count / node_seconds,
           (double)byte_count / node_seconds / 1000);
    report_ages();
    int64_t start_ms = now_ms;
    message_count = 0;
    fetch_count = 0;
    adopt(0, 5);
    run_until(now_ms + 60000);
    report_spread(start_ms);
    report_deaths();
    stop_nodes();
    return 0;
}
