/* compare_budgets - simulates four ways to split one limit over the entry VMs
 * with the same seeded arrivals and prints a table.
 *
 * 72 slots, 9 nodes, requests of 200 ms on average at a load of 100%. One hot
 * node gets SKEW times the requests of each other one; every 20 s another node
 * is the hot one. Each run has three phases of one minute: no fault, store
 * down, and a partition between the regions (three nodes each) with the store
 * in the first one. Each node handles its loans or its lease every 40 ms, and
 * its messages then take no time: with 20 ms for a round trip or for a read
 * and a write of the store, that is no faster than a real system. Leases never
 * lose a race for the row here, which favours them.
 */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "sas/budget.h"

#define NODES 9
#define LIMIT 72
#define MEAN_MS 200.0
#define DEADLINE_MS 5000
#define PHASE_MS 60000
#define WARMUP_MS 5000 /* start of each phase, not counted */
#define PHASES 3
#define HOT_NODE_MS 20000 /* time for which one node is hot */
#define TICK_MS 40
#define HINT_INTERVAL_MS 480 /* interval of hints on unused units */
#define SEEDS 5

enum policy {
    POOLED,
    SPLIT,
    LOANS,
    LEASES,
    POLICIES
};

enum phase {
    NO_FAULT,
    STORE_DOWN,
    PARTITIONED
};

static const char *const POLICY_NAMES[] = {
    "one pool (ideal)", "equal split", "floors and loans", "leases in table"};

struct request {
    int node;
    int source;
    int64_t end_ms;
};

struct lease {
    int64_t granted;
    int64_t until_ms;
    double use; /* decaying means, as in the core */
    double acquired;
    double refused;
};

struct result {
    double used[PHASES];
    int64_t messages; /* for loans */
    int64_t hints;
    int64_t writes; /* to the store; the same number of reads */
};

static struct sas_budget budgets[NODES];
static struct lease leases[NODES];
static struct request running[LIMIT * 2];
static int running_count;
static int used[NODES];
static struct result *result;

static bool
is_partitioned(int a, int b, int64_t now)
{
    return now / PHASE_MS == PARTITIONED && a / 3 != b / 3;
}

static void
tick_loans(int node, int64_t now, GRand *rand)
{
    struct sas_budget *b = &budgets[node];
    const struct sas_loan *loan = SasBudget_FindSurplus(b, now);
    if (loan != NULL) {
        int lender = loan->member_id;
        uint64_t id = loan->id;
        int64_t left = SasBudget_Return(b, id, now);
        result->messages++;
        if (!is_partitioned(node, lender, now)) {
            SasBudget_AcceptReturn(&budgets[lender], node, id, left, now);
        }
    }
    loan = SasBudget_FindRenewal(b, now);
    if (loan != NULL) {
        uint32_t renewal = SasBudget_Renew(b, loan->id, now);
        result->messages += 2;
        if (!is_partitioned(node, loan->member_id, now)) {
            bool ok = SasBudget_Extend(&budgets[loan->member_id], node,
                                       loan->id, loan->granted, now);
            SasBudget_Renewed(b, loan->id, renewal, ok, now);
        }
    }
    int64_t wanted = SasBudget_GetWanted(b, now);
    int lender = wanted > 0 ? SasBudget_ChooseLender(b, now, rand) : -1;
    uint64_t id = lender >= 0 ? SasBudget_Ask(b, lender, now) : 0;
    if (id != 0) {
        result->messages += 2;
    }
    if (id != 0 && !is_partitioned(node, lender, now)) {
        int64_t granted =
            SasBudget_Lend(&budgets[lender], node, id, wanted, now);
        SasBudget_Borrowed(b, lender, id, granted, now);
    }
    for (int i = 0; now % HINT_INTERVAL_MS == 0 && i < NODES; i++) {
        result->hints += i != node;
        if (i != node && !is_partitioned(node, i, now)) {
            SasBudget_Hint(&budgets[i], node, SasBudget_GetUnused(b, now), 0,
                           now);
        }
    }
}

/* One read and one compare-and-swap of the row when the lease expires soon or
 * more units are needed. */
static void
tick_lease(int node, int64_t now)
{
    struct lease *l = &leases[node];
    double decay = exp(-(double)TICK_MS / SasBudget_RECENT_MS);
    l->use = used[node] + (l->use - used[node]) * decay;
    l->acquired *= decay;
    l->refused *= decay;
    double need = l->acquired > 0.0
                      ? l->use * (l->acquired + l->refused) / l->acquired
                      : 1.0;
    int64_t wanted = (int64_t)(need + sqrt(need) / 2 + 0.5);
    bool reachable = now / PHASE_MS == NO_FAULT ||
                     (now / PHASE_MS == PARTITIONED && node / 3 == 0);
    bool due = l->until_ms - now < SasBudget_LOAN_MS * 2 / 3;
    if (!reachable || (!due && (l->refused <= 0.5 || wanted <= l->granted))) {
        return;
    }
    int64_t available = LIMIT;
    for (int i = 0; i < NODES; i++) {
        bool is_held = now < leases[i].until_ms + SasBudget_MARGIN_MS;
        available -= i != node && is_held ? leases[i].granted : 0;
    }
    result->writes++;
    l->granted = MIN(MAX(wanted, 1), available);
    l->until_ms = now + SasBudget_LOAN_MS;
}

static int
acquire(enum policy policy, int node, int64_t now)
{
    struct lease *l = &leases[node];
    switch (policy) {
    case POOLED:
        return running_count < LIMIT ? 0 : -1;
    case SPLIT:
        return used[node] < LIMIT / NODES ? 0 : -1;
    case LOANS:
        return SasBudget_Acquire(&budgets[node], 1, DEADLINE_MS, now);
    default:
        if (now < l->until_ms && used[node] < l->granted) {
            l->acquired += 1.0;
            return 0;
        }
        l->refused += 1.0;
        return -1;
    }
}

static void
end_requests(enum policy policy, int64_t now)
{
    for (int i = 0; i < running_count; i++) {
        if (running[i].end_ms <= now) {
            if (policy == LOANS) {
                SasBudget_Release(&budgets[running[i].node], running[i].source,
                                  1, now);
            }
            used[running[i].node]--;
            running[i--] = running[--running_count];
        }
    }
}

static void
reset_nodes(void)
{
    int64_t floors[NODES];
    const int64_t weights[NODES] = {1, 1, 1, 1, 1, 1, 1, 1, 1};
    SasBudget_Split(LIMIT, weights, NODES, floors);
    for (int i = 0; i < NODES; i++) {
        struct sas_budget_settings settings = {
            SAS_BUDGET_CONCURRENT, NODES, i, 1, SasBudget_LOAN_MS, 0};
        SasBudget_Init(&budgets[i], &settings, floors, 0, 0);
        for (int j = 0; j < NODES; j++) {
            SasBudget_Disowned(&budgets[i], j, 1, 0);
        }
    }
    memset(leases, 0, sizeof(leases));
    memset(used, 0, sizeof(used));
    running_count = 0;
}

static void
run(enum policy policy, int skew, uint32_t seed)
{
    GRand *arrivals = g_rand_new_with_seed(seed);
    GRand *choices = g_rand_new_with_seed(seed + 1000);
    double next = 0.0;
    reset_nodes();
    for (int64_t now = 0; now < PHASES * PHASE_MS; now++) {
        end_requests(policy, now);
        while (next <= (double)now) {
            next -= log(1.0 - g_rand_double(arrivals)) * MEAN_MS / LIMIT;
            double duration_ms = -log(1.0 - g_rand_double(arrivals)) * MEAN_MS;
            int draw = g_rand_int_range(arrivals, 0, NODES - 1 + skew);
            int hot = (int)(now / HOT_NODE_MS) % NODES;
            int node = draw < NODES ? draw : hot;
            int source = acquire(policy, node, now);
            if (source >= 0) {
                running[running_count++] = (struct request){
                    node, source,
                    now + 1 + (int64_t)MIN(duration_ms, DEADLINE_MS)};
                used[node]++;
            }
        }
        for (int i = 0; now % TICK_MS == 0 && i < NODES; i++) {
            if (policy == LOANS) {
                tick_loans(i, now, choices);
            }
            else if (policy == LEASES) {
                tick_lease(i, now);
            }
        }
        if (running_count > LIMIT) {
            printf("%s: %d of %d in use at %d ms\n", POLICY_NAMES[policy],
                   running_count, LIMIT, (int)now);
        }
        if (now % PHASE_MS >= WARMUP_MS) {
            result->used[now / PHASE_MS] +=
                (double)running_count / LIMIT / (PHASE_MS - WARMUP_MS);
        }
    }
    g_rand_free(arrivals);
    g_rand_free(choices);
}

int
main(void)
{
    const int skews[] = {1, 4, 9};
    printf("used share of %d slots in %%, mean (min-max) of %d seeds; "
           "loan messages, hints and store writes per second\n",
           LIMIT, SEEDS);
    for (int s = 0; s < 3; s++) {
        for (int policy = 0; policy < POLICIES; policy++) {
            struct result results[SEEDS] = {0};
            int64_t loans = 0;
            int64_t hints = 0;
            int64_t writes = 0;
            for (int seed = 0; seed < SEEDS; seed++) {
                result = &results[seed];
                run((enum policy)policy, skews[s], (uint32_t)seed + 1);
                loans += result->messages;
                hints += result->hints;
                writes += result->writes;
            }
            printf("%d:1 %-17s", skews[s], POLICY_NAMES[policy]);
            for (int phase = 0; phase < PHASES; phase++) {
                double sum = 0.0;
                double least = 1.0;
                double most = 0.0;
                for (int seed = 0; seed < SEEDS; seed++) {
                    sum += results[seed].used[phase];
                    least = MIN(least, results[seed].used[phase]);
                    most = MAX(most, results[seed].used[phase]);
                }
                printf(" | %5.1f (%.1f-%.1f)", 100 * sum / SEEDS, 100 * least,
                       100 * most);
            }
            double seconds = SEEDS * PHASES * PHASE_MS / 1000.0;
            printf(" | %.1f %.1f %.1f\n", (double)loans / seconds,
                   (double)hints / seconds, (double)writes / seconds);
        }
    }
    return 0;
}
