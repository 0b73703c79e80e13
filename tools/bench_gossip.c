/* bench_gossip - what gossip costs and how fast it is, with the core's own
 * functions for each decision and the real size of each message.
 *
 * Nodes are membership tables; a message takes a fixed delay. It plays: all
 * tables full, a settling time, then a new version at one node, then the
 * silent death of one node. Times are simulated; CPU time is measured.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "sas/peer.h"
#include "sas/record.h"

#define TIMEOUT_MS 1000
#define CPU_MESSAGES 20000
#define NEVER_MS INT64_MAX

enum event_kind {
    EVENT_ROUND,
    EVENT_RUMOR,
    EVENT_CALL,
    EVENT_REPLY,
    EVENT_FETCHED,
    EVENT_SILENCE
};

struct event {
    int64_t at_ms;
    enum event_kind kind;
    int node;
    int other;
    uint64_t version;
    int count;
    struct sas_member_news *news;
};

struct node {
    struct sas_membership table;
    uint64_t version;
    bool alive;
    bool fetching;
    bool rumor_waiting;
    double tokens;
    int64_t tokens_ms;
    int64_t adopted_ms;
};

static gint node_count = 9;
static gint seed = 1;
static gint delay_ms = 20;
static gint fanout;
static gint budgets = 16;
static gint loads = 8;
static gint settle_s = 120;
static gboolean no_rumors;
static gboolean measure_cpu;

static GOptionEntry entries[] = {
    {"nodes", 'n', 0, G_OPTION_ARG_INT, &node_count, "entry VMs", "N"},
    {"seed", 's', 0, G_OPTION_ARG_INT, &seed, "of the random numbers", "N"},
    {"delay", 'd', 0, G_OPTION_ARG_INT, &delay_ms, "one way", "MS"},
    {"fanout", 'f', 0, G_OPTION_ARG_INT, &fanout, "0: the core's", "N"},
    {"budgets", 'b', 0, G_OPTION_ARG_INT, &budgets, "in a message", "N"},
    {"loads", 'l', 0, G_OPTION_ARG_INT, &loads, "in a message", "N"},
    {"settle", 't', 0, G_OPTION_ARG_INT, &settle_s, "before it starts", "S"},
    {"no-rumors", 'r', 0, G_OPTION_ARG_NONE, &no_rumors, "rounds only", NULL},
    {"cpu", 'c', 0, G_OPTION_ARG_NONE, &measure_cpu, "CPU a message", NULL},
    {NULL, 0, 0, 0, NULL, NULL, NULL},
};

static struct node *nodes;
static GSequence *queue;
static GRand *rng;
static int64_t now_ms;
static uint64_t message_count;
static uint64_t byte_count;
static uint64_t fetch_count;

/* Messages */

static struct sas_proto_message
make_gossip(struct sas_rpc_seat *seats, int count)
{
    static struct sas_rpc_budget budget_rows[SAS_RPC_MAX_BUDGETS];
    static struct sas_rpc_load load_rows[SAS_RPC_MAX_LOADS];
    struct sas_proto_message message = {.procedure = SAS_RPC_GOSSIP};
    struct sas_rpc_gossip *gossip = &message.body.gossip;
    gossip->budgets.budgets_len = (u_int)budgets;
    gossip->budgets.budgets_val = budget_rows;
    gossip->loads.loads_len = (u_int)loads;
    gossip->loads.loads_val = load_rows;
    gossip->seats.seats_len = (u_int)count;
    gossip->seats.seats_val = seats;
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

/* Bytes of a gossip record with so many seats. */
static size_t
get_record_size(int count)
{
    static size_t sizes[SasMembership_DIGEST_SEATS + 1];
    if (sizes[count] == 0) {
        struct sas_rpc_seat seats[SasMembership_DIGEST_SEATS];
        struct sas_proto_session session;
        memset(seats, 0, sizeof(seats));
        memset(&session, 0, sizeof(session));
        struct sas_proto_message message = make_gossip(seats, count);
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
schedule(int64_t wait_ms, enum event_kind kind, int node, int other)
{
    struct event *event = g_new0(struct event, 1);
    event->at_ms = now_ms + wait_ms;
    event->kind = kind;
    event->node = node;
    event->other = other;
    g_sequence_insert_sorted(queue, event, compare_events, NULL);
    return event;
}

static void
send_gossip(int from, int to, enum event_kind kind)
{
    struct node *node = &nodes[from];
    struct event *event = schedule(delay_ms, kind, to, from);
    event->news = g_new(struct sas_member_news, SasMembership_DIGEST_SEATS);
    event->count = SasMembership_FillDigest(
        &node->table, rng, now_ms, event->news, SasMembership_DIGEST_SEATS);
    event->version = node->version;
    message_count++;
    byte_count += get_record_size(event->count);
}

static void
exchange(int from, int to)
{
    if (nodes[to].alive) {
        send_gossip(from, to, EVENT_CALL);
    }
    else {
        schedule(TIMEOUT_MS, EVENT_SILENCE, from, to);
    }
}

static void
exchange_with_some(int from, int count)
{
    int seats[SasPeer_MAX_CALLS];
    count =
        SasMembership_PickPeers(&nodes[from].table, rng, now_ms, seats, count);
    for (int i = 0; i < count; i++) {
        exchange(from, seats[i]);
    }
}

/* The same token rule as the peer task's. */
static void
note_change(int at)
{
    struct node *node = &nodes[at];
    if (no_rumors || node->rumor_waiting) {
        return;
    }
    node->tokens += 0.5 * (double)(now_ms - node->tokens_ms) /
                    (double)node->table.times.interval_ms;
    node->tokens = MIN(node->tokens, SasPeer_RUMOR_BURST);
    node->tokens_ms = now_ms;
    if (node->tokens >= 1) {
        node->tokens -= 1;
        node->rumor_waiting = true;
        schedule(0, EVENT_RUMOR, at, 0);
    }
}

static void
take_gossip(const struct event *event)
{
    struct node *node = &nodes[event->node];
    int changes = 0;
    for (int i = 0; i < event->count; i++) {
        changes |= SasMembership_Merge(&node->table, &event->news[i], now_ms);
    }
    SasMembership_NoteDirect(
        &node->table, event->other,
        nodes[event->other].table.members[event->other].incarnation, now_ms);
    if ((changes & SAS_CHANGE_MEMBER) != 0) {
        note_change(event->node);
    }
    if (event->version > node->version && !node->fetching) {
        node->fetching = true;
        fetch_count++;
        schedule(2 * delay_ms, EVENT_FETCHED, event->node, event->other)
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
    note_change(at);
}

static void
play_event(const struct event *event)
{
    struct node *node = &nodes[event->node];
    if (!node->alive) {
        return;
    }
    switch (event->kind) {
    case EVENT_ROUND:
        SasMembership_Beat(&node->table, now_ms);
        exchange_with_some(event->node, node->table.times.fanout);
        schedule(node->table.times.interval_ms, EVENT_ROUND, event->node, 0);
        break;
    case EVENT_RUMOR:
        node->rumor_waiting = false;
        exchange_with_some(event->node, SasPeer_RUMOR_FANOUT);
        break;
    case EVENT_CALL:
        take_gossip(event);
        send_gossip(event->node, event->other, EVENT_REPLY);
        break;
    case EVENT_REPLY:
        take_gossip(event);
        break;
    case EVENT_FETCHED:
        adopt(event->node, event->version);
        break;
    case EVENT_SILENCE:
        if (SasMembership_NoteSilence(&node->table, event->other, now_ms)) {
            note_change(event->node);
        }
        else if (SasMembership_MayRetry(&node->table, event->other)) {
            exchange(event->node, event->other);
        }
        break;
    }
}

static void
play_until(int64_t end_ms)
{
    while (!g_sequence_is_empty(queue)) {
        GSequenceIter *first = g_sequence_get_begin_iter(queue);
        struct event *event = g_sequence_get(first);
        if (event->at_ms > end_ms) {
            break;
        }
        now_ms = event->at_ms;
        g_sequence_remove(first);
        play_event(event);
        g_free(event->news);
        g_free(event);
    }
    now_ms = end_ms;
}

/* Set-up */

static void
start_nodes(void)
{
    nodes = g_new0(struct node, node_count);
    queue = g_sequence_new(NULL);
    rng = g_rand_new_with_seed((guint32)seed);
    for (int i = 0; i < node_count; i++) {
        struct node *node = &nodes[i];
        SasMembership_Init(&node->table, node_count, i, 1000, 0);
        if (fanout > 0) {
            node->table.times.fanout = fanout;
        }
        node->alive = true;
        node->adopted_ms = NEVER_MS;
        for (int seat = 0; seat < node_count; seat++) {
            struct sas_member_news news = {
                .seat = seat, .incarnation = 1000, .heartbeat = 1};
            SasMembership_Merge(&node->table, &news, 0);
            node->table.members[seat].sends_left = 0;
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
    play_until(-1);
    for (GSequenceIter *at = g_sequence_get_begin_iter(queue);
         !g_sequence_iter_is_end(at); at = g_sequence_iter_next(at)) {
        struct event *event = g_sequence_get(at);
        g_free(event->news);
        g_free(event);
    }
    g_sequence_free(queue);
}

/* Figures */

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
    int suspects = 0;
    for (int i = 0; i < node_count; i++) {
        for (int seat = 0; seat < node_count; seat++) {
            const struct sas_membership *table = &nodes[i].table;
            if (seat == i) {
                continue;
            }
            ages[used++] = SasMembership_GetAge(table, seat, now_ms);
            suspects +=
                SasMembership_GetState(table, seat, now_ms) != SAS_MEMBER_LIVE;
        }
    }
    qsort(ages, used, sizeof(*ages), compare_times);
    printf("  ages ms: p50 %ld p99 %ld max %ld; suspect at %ld; "
           "wrongly suspected pairs %d of %zu\n",
           (long)ages[used / 2], (long)ages[used * 99 / 100],
           (long)ages[used - 1], (long)nodes[0].table.times.suspect_ms,
           suspects, used);
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
        printf("  version: not everywhere\n");
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

/* How long until all others hold a dead node for suspect, then gone. */
static void
report_death(int dead)
{
    int64_t start_ms = now_ms;
    int64_t suspect_ms = -1;
    int64_t half_ms = -1;
    nodes[dead].alive = false;
    while (now_ms - start_ms < 600000) {
        play_until(now_ms + 100);
        int suspects = 0;
        int gone = 0;
        for (int i = 0; i < node_count; i++) {
            if (i == dead) {
                continue;
            }
            enum sas_member_state state =
                SasMembership_GetState(&nodes[i].table, dead, now_ms);
            suspects += state != SAS_MEMBER_LIVE;
            gone += state == SAS_MEMBER_GONE;
        }
        if (half_ms < 0 && suspects >= node_count / 2) {
            half_ms = now_ms - start_ms;
        }
        if (suspect_ms < 0 && suspects == node_count - 1) {
            suspect_ms = now_ms - start_ms;
        }
        if (gone == node_count - 1) {
            break;
        }
    }
    printf("  death: suspect at half after %ld ms, at all %ld ms, gone at "
           "all %ld ms\n",
           (long)half_ms, (long)suspect_ms, (long)(now_ms - start_ms));
}

static void
report_cpu(void)
{
    struct rusage before;
    struct rusage after;
    struct sas_rpc_seat seats[SasMembership_DIGEST_SEATS];
    struct sas_proto_session session;
    struct sas_membership table;
    int count = MIN(node_count, SasMembership_DIGEST_SEATS);
    memset(seats, 0, sizeof(seats));
    memset(&session, 0, sizeof(session));
    SasMembership_Init(&table, node_count, 0, 1000, 0);
    GRand *random = g_rand_new_with_seed((guint32)seed);
    size_t size = 0;
    getrusage(RUSAGE_SELF, &before);
    for (int i = 0; i < CPU_MESSAGES; i++) {
        struct sas_member_news news[SasMembership_DIGEST_SEATS];
        int picked[SasPeer_MAX_CALLS];
        SasMembership_PickPeers(&table, random, i, picked, 1);
        SasMembership_FillDigest(&table, random, i, news, count);
        struct sas_proto_message message = make_gossip(seats, count);
        g_autofree uint8_t *record =
            SasProto_Encode(get_key(), &session, &message, &size, NULL);
        struct sas_proto_message got;
        SasProto_Open(get_key(), &session, record + SasRecord_MARK_SIZE,
                      size - SasRecord_MARK_SIZE, &got, NULL);
        SasProto_Decode(&got, NULL);
        for (int seat = 0; seat < count; seat++) {
            struct sas_member_news row = {
                .seat = seat, .incarnation = 1, .heartbeat = (uint32_t)i};
            SasMembership_Merge(&table, &row, i);
        }
        SasProto_FreeBody(&got);
    }
    getrusage(RUSAGE_SELF, &after);
    double seconds =
        (double)(after.ru_utime.tv_sec - before.ru_utime.tv_sec) +
        (double)(after.ru_stime.tv_sec - before.ru_stime.tv_sec) +
        (double)(after.ru_utime.tv_usec - before.ru_utime.tv_usec) / 1e6 +
        (double)(after.ru_stime.tv_usec - before.ru_stime.tv_usec) / 1e6;
    printf("cpu: %.1f us for one message of %zu bytes, made, sealed, opened, "
           "decoded and merged (%d messages)\n",
           seconds * 1e6 / CPU_MESSAGES, size, CPU_MESSAGES);
    SasMembership_Close(&table);
    g_rand_free(random);
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
    start_nodes();
    printf("nodes %d seed %d fan-out %d interval %ld ms, table %zu bytes\n",
           node_count, seed, nodes[0].table.times.fanout,
           (long)nodes[0].table.times.interval_ms,
           (size_t)node_count * sizeof(struct sas_member));
    play_until(settle_s * 1000 / 2);
    message_count = 0;
    byte_count = 0;
    play_until(settle_s * 1000);
    double node_seconds = (double)node_count * settle_s / 2;
    printf("  steady, a node and second: %.1f messages sent, %.2f KB sent\n",
           (double)message_count / node_seconds,
           (double)byte_count / node_seconds / 1000);
    report_ages();
    int64_t start_ms = now_ms;
    message_count = 0;
    fetch_count = 0;
    adopt(0, 5);
    play_until(now_ms + 60000);
    report_spread(start_ms);
    report_death(node_count / 2);
    stop_nodes();
    return 0;
}
