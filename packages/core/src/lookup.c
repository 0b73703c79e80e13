#include "sas/lookup.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#define UNIT (1.0 / 9007199254740992.0) /* 2^-53 */
#define SLACK (1 + 1e-12)
#define OUTSIDE_PREFIX 24
#define UPPER_COUNT 65536
/* Doubt of an entry VM: peers speak every second, the list lags more. */
#define DOUBT_PEERS_DEAD 2
#define DOUBT_PEERS_UNKNOWN 1
#define DOUBT_LIST_ABSENT 1
#define DOUBT_OUT (DOUBT_PEERS_DEAD + DOUBT_LIST_ABSENT)
#define DOUBT_LEAVING 16

static uint64_t make_key(uint32_t network, int prefix_length);
static uint64_t hash_name(const char *name);
static double get_chance(uint64_t key, uint64_t id);
static double get_score(uint64_t key, const struct sas_target *target);
static void number_blocks(struct sas_lookup *lookup,
                          const struct sas_model *model, int32_t *numbers);
static void make_ranges(struct sas_lookup *lookup,
                        const struct sas_model *model, const int32_t *numbers);
static void index_ranges(struct sas_lookup *lookup);
static int32_t find_block(const struct sas_lookup *lookup, uint32_t ipv4);
static uint64_t get_caller_key(const struct sas_lookup *lookup, uint32_t ipv4);
static int rebuild_home(struct sas_lookup *lookup,
                        struct sas_lookup_answers *answers,
                        const struct sas_target *targets, int home);

/* Life. */

void
SasLookup_Init(struct sas_lookup *lookup, const struct sas_model *model)
{
    memset(lookup, 0, sizeof(*lookup));
    lookup->block_count = model->block_count;
    lookup->region_count = model->region_count;
    lookup->service_count = model->service_count;
    lookup->default_home = model->default_home;
    lookup->answers =
        g_new0(struct sas_lookup_answers, model->service_count + 1);

    g_autofree int32_t *numbers = g_new(int32_t, model->block_count + 1);
    number_blocks(lookup, model, numbers);
    make_ranges(lookup, model, numbers);
    index_ranges(lookup);
}

void
SasLookup_Close(struct sas_lookup *lookup)
{
    for (int i = 0; i < lookup->service_count; i++) {
        g_free(lookup->answers[i].owners);
        g_free(lookup->answers[i].targets);
    }
    g_free(lookup->starts);
    g_free(lookup->blocks);
    g_free(lookup->first_ranges);
    g_free(lookup->keys);
    g_free(lookup->home_starts);
    g_free(lookup->answers);
    memset(lookup, 0, sizeof(*lookup));
}

/* Answers. */

/* The targets of all homes, with the weights of the plan. */
static struct sas_target *
make_targets(const struct sas_model *model, const struct sas_plan *plan,
             int service)
{
    int regions = model->region_count;
    g_autofree uint64_t *ids = g_new(uint64_t, regions + 1);
    for (int i = 0; i < regions; i++) {
        ids[i] = hash_name(model->regions[i].name);
    }
    struct sas_target *targets =
        g_new0(struct sas_target, (size_t)regions * regions + 1);
    g_autofree double *weights = g_new0(double, regions + 1);
    for (int home = 0; home < regions; home++) {
        SasPlan_GetWeights(plan, service, home, weights);
        for (int region = 0; region < regions; region++) {
            struct sas_target *target = &targets[home * regions + region];
            target->id = ids[region];
            target->weight = weights[region];
        }
    }
    return targets;
}

int
SasLookup_Rebuild(struct sas_lookup *lookup, const struct sas_model *model,
                  const struct sas_plan *plan, int service)
{
    struct sas_lookup_answers *answers = &lookup->answers[service];
    struct sas_target *targets = make_targets(model, plan, service);
    int moved = 0;
    if (answers->owners == NULL) {
        answers->owners = g_new0(uint16_t, lookup->block_count + 1);
    }
    for (int home = 0; home < lookup->region_count; home++) {
        moved += rebuild_home(lookup, answers, targets, home);
    }
    g_free(answers->targets);
    answers->targets = targets;
    return moved;
}

int
SasLookup_Find(const struct sas_lookup *lookup, int service, uint32_t ipv4)
{
    const struct sas_lookup_answers *answers = &lookup->answers[service];
    if (answers->owners == NULL) {
        return SasModel_NONE;
    }
    int32_t block = find_block(lookup, ipv4);
    if (block != SasModel_NONE) {
        return answers->owners[block];
    }
    return SasLookup_Choose(make_key(ipv4, OUTSIDE_PREFIX),
                            answers->targets +
                                lookup->default_home * lookup->region_count,
                            lookup->region_count);
}

int
SasLookup_FindHome(const struct sas_lookup *lookup, uint32_t ipv4)
{
    int32_t block = find_block(lookup, ipv4);
    if (block == SasModel_NONE) {
        return lookup->default_home;
    }
    int home = 0;
    while (lookup->home_starts[home + 1] <= block) {
        home++;
    }
    return home;
}

/* Entry VMs. */

struct vm_rank {
    int vm;
    int doubt;
    bool elsewhere;
    double score;
};

static int
get_doubt(const struct sas_vm_view *view)
{
    int doubt = 0;
    if (view->peers == SAS_VM_DEAD) {
        doubt += DOUBT_PEERS_DEAD;
    }
    else if (view->peers == SAS_VM_UNKNOWN) {
        doubt += DOUBT_PEERS_UNKNOWN;
    }
    if (view->platform == SAS_VM_DEAD) {
        doubt += DOUBT_LIST_ABSENT;
    }
    return doubt + (view->leaving ? DOUBT_LEAVING : 0);
}

static int
compare_ranks(const void *left, const void *right, void *data)
{
    (void)data;
    const struct vm_rank *a = left;
    const struct vm_rank *b = right;
    bool a_dead = a->doubt >= DOUBT_PEERS_DEAD;
    bool b_dead = b->doubt >= DOUBT_PEERS_DEAD;
    if (a_dead != b_dead) {
        return a_dead - b_dead;
    }
    if (a->elsewhere != b->elsewhere) {
        return a->elsewhere - b->elsewhere;
    }
    if (a->doubt != b->doubt) {
        return a->doubt - b->doubt;
    }
    return (a->score > b->score) - (a->score < b->score);
}

/* Failure: the platform's list is empty or stale, or this node is cut off and
 * hears no peer; either alone would leave callers without an answer. A VM is
 * out only if both doubt it or it is leaving, and when that takes out all,
 * those that are doubted least stay in. */
static int
keep_least_doubtful(struct vm_rank *ranks, int count)
{
    int least = G_MAXINT;
    int kept = 0;
    for (int i = 0; i < count; i++) {
        least = MIN(least, ranks[i].doubt);
    }
    for (int i = 0; i < count; i++) {
        if (ranks[i].doubt < MAX(DOUBT_OUT, least + 1)) {
            ranks[kept++] = ranks[i];
        }
    }
    return kept;
}

int
SasLookup_OrderVms(const struct sas_lookup *lookup,
                   const struct sas_model *model, int region, uint32_t ipv4,
                   const struct sas_vm_view *views, int *vms, int max)
{
    uint64_t key = get_caller_key(lookup, ipv4);
    g_autofree struct vm_rank *ranks =
        g_new0(struct vm_rank, model->vm_count + 1);
    for (int i = 0; i < model->vm_count; i++) {
        struct sas_target target = {hash_name(model->vms[i].name), 1};
        ranks[i] = (struct vm_rank){
            .vm = i,
            .doubt = get_doubt(&views[i]),
            .elsewhere = SasModel_GetVmRegion(model, i) != region,
            .score = get_score(key, &target),
        };
    }
    int count = keep_least_doubtful(ranks, model->vm_count);
    g_qsort_with_data(ranks, count, sizeof(ranks[0]), compare_ranks, NULL);
    count = MIN(count, max);
    for (int i = 0; i < count; i++) {
        vms[i] = ranks[i].vm;
    }
    return count;
}

int64_t
SasLookup_ChooseLifetime(const struct sas_plan *plan, int service, int home,
                         double random)
{
    double lifetime_ms = SasPlan_IsShifting(plan, service, home)
                             ? SasLookup_SHIFTING_LIFETIME_MS
                             : SasLookup_LIFETIME_MS;
    double factor = 1 + SasLookup_JITTER * (2 * random - 1);
    return (int64_t)(lifetime_ms * factor);
}

/* Rendezvous hashing. */

int
SasLookup_Choose(uint64_t key, const struct sas_target *targets,
                 int target_count)
{
    int owner = 0;
    double best = INFINITY;
    for (int i = 0; i < target_count; i++) {
        if (targets[i].weight <= 0) {
            continue;
        }
        /* 1 - u <= -ln(u): where even that is too much, no logarithm. The
         * slack keeps rounding from passing over a winner. */
        double chance = get_chance(key, targets[i].id);
        if (1 - chance > best * targets[i].weight * SLACK) {
            continue;
        }
        double score = -log(chance) / targets[i].weight;
        if (score < best) {
            best = score;
            owner = i;
        }
    }
    return owner;
}

void
SasLookup_Assign(const uint64_t *keys, int count,
                 const struct sas_target *targets, int target_count,
                 uint16_t *owners)
{
    for (int i = 0; i < count; i++) {
        owners[i] = (uint16_t)SasLookup_Choose(keys[i], targets, target_count);
    }
}

/* The owner among a kept owner and the targets that rose. */
static int
choose_risen(uint64_t key, const struct sas_target *targets, int owner,
             const int *risen, int risen_count)
{
    double best = get_score(key, &targets[owner]);
    for (int i = 0; i < risen_count; i++) {
        int target = risen[i];
        double score = get_score(key, &targets[target]);
        if (score < best || (score == best && target < owner)) {
            best = score;
            owner = target;
        }
    }
    return owner;
}

/* A block whose owner's weight did not fall can only go to a target whose
 * weight rose, since no other score got better; only blocks whose owner fell
 * are compared with all targets. */
int
SasLookup_Reassign(const uint64_t *keys, int count,
                   const struct sas_target *old_targets,
                   const struct sas_target *targets, int target_count,
                   uint16_t *owners)
{
    g_autofree int *risen = g_new0(int, target_count + 1);
    int risen_count = 0;
    int moved = 0;
    for (int i = 0; i < target_count; i++) {
        if (targets[i].weight > old_targets[i].weight) {
            risen[risen_count++] = i;
        }
    }
    for (int i = 0; i < count; i++) {
        int owner = owners[i];
        if (targets[owner].weight < old_targets[owner].weight) {
            owner = SasLookup_Choose(keys[i], targets, target_count);
        }
        else if (risen_count > 0) {
            owner = choose_risen(keys[i], targets, owner, risen, risen_count);
        }
        moved += owner != owners[i];
        owners[i] = (uint16_t)owner;
    }
    return moved;
}

/* Scores. */

static uint64_t
make_key(uint32_t network, int prefix_length)
{
    uint32_t mask =
        prefix_length == 0 ? 0 : UINT32_MAX << (32 - prefix_length);
    return (uint64_t)(network & mask) << 8 | (uint64_t)prefix_length;
}

/* A name's id, whatever its place in the node's tables. */
static uint64_t
hash_name(const char *name)
{
    return XXH3_64bits(name, strlen(name));
}

/* The pair's u, in (0, 1). */
static double
get_chance(uint64_t key, uint64_t id)
{
    uint64_t hash = XXH3_64bits_withSeed(&key, sizeof(key), id);
    return ((double)(hash >> 12) + 0.5) * (2 * UNIT);
}

static double
get_score(uint64_t key, const struct sas_target *target)
{
    if (target->weight <= 0) {
        return INFINITY;
    }
    return -log(get_chance(key, target->id)) / target->weight;
}

/* The index of blocks. */

/* Gives each block its number, homes one after the other. */
static void
number_blocks(struct sas_lookup *lookup, const struct sas_model *model,
              int32_t *numbers)
{
    int regions = model->region_count;
    lookup->home_starts = g_new0(int, regions + 1);
    lookup->keys = g_new(uint64_t, model->block_count + 1);
    for (int i = 0; i < model->block_count; i++) {
        lookup->home_starts[model->blocks[i].home + 1]++;
    }
    for (int home = 0; home < regions; home++) {
        lookup->home_starts[home + 1] += lookup->home_starts[home];
    }
    g_autofree int *next =
        g_memdup2(lookup->home_starts, (regions + 1) * sizeof(int));
    for (int i = 0; i < model->block_count; i++) {
        const struct sas_block *block = &model->blocks[i];
        numbers[i] = next[block->home]++;
        lookup->keys[numbers[i]] =
            make_key(block->network, block->prefix_length);
    }
}

static void
append_range(struct sas_lookup *lookup, uint64_t start, int32_t block)
{
    if (start > UINT32_MAX) {
        return;
    }
    int last = lookup->range_count - 1;
    if (last >= 0 && lookup->starts[last] == start) {
        lookup->blocks[last] = block;
        return;
    }
    lookup->starts[lookup->range_count] = (uint32_t)start;
    lookup->blocks[lookup->range_count++] = block;
}

static uint64_t
get_end(const struct sas_block *block)
{
    return (uint64_t)block->network +
           (UINT64_C(1) << (32 - block->prefix_length));
}

/* Blocks come sorted, the outer before the inner. A stack holds those that
 * are open; when one ends, the one round it goes on. */
static void
make_ranges(struct sas_lookup *lookup, const struct sas_model *model,
            const int32_t *numbers)
{
    size_t most = 2 * (size_t)model->block_count + 1;
    int open[33 + 1];
    int depth = 0;
    lookup->starts = g_new0(uint32_t, most);
    lookup->blocks = g_new0(int32_t, most);
    append_range(lookup, 0, SasModel_NONE);
    for (int i = 0; i <= model->block_count; i++) {
        uint64_t start = i < model->block_count ? model->blocks[i].network
                                                : UINT64_C(1) << 32;
        while (depth > 0 &&
               get_end(&model->blocks[open[depth - 1]]) <= start) {
            uint64_t end = get_end(&model->blocks[open[--depth]]);
            append_range(lookup, end,
                         depth > 0 ? numbers[open[depth - 1]] : SasModel_NONE);
        }
        if (i < model->block_count) {
            append_range(lookup, start, numbers[i]);
            open[depth++] = i;
        }
    }
}

/* The range that holds the first address of each upper half. */
static void
index_ranges(struct sas_lookup *lookup)
{
    uint32_t last = (uint32_t)lookup->range_count - 1;
    uint32_t upper = 0;
    lookup->first_ranges = g_new(uint32_t, UPPER_COUNT + 1);
    for (uint32_t range = 0; range < last; range++) {
        uint32_t next = lookup->starts[range + 1];
        for (; upper < UPPER_COUNT && upper << 16 < next; upper++) {
            lookup->first_ranges[upper] = range;
        }
    }
    for (; upper <= UPPER_COUNT; upper++) {
        lookup->first_ranges[upper] = last;
    }
}

static int32_t
find_block(const struct sas_lookup *lookup, uint32_t ipv4)
{
    uint32_t low = lookup->first_ranges[ipv4 >> 16];
    uint32_t high = lookup->first_ranges[(ipv4 >> 16) + 1];
    while (low < high) {
        uint32_t middle = low + (high - low + 1) / 2;
        if (lookup->starts[middle] <= ipv4) {
            low = middle;
        }
        else {
            high = middle - 1;
        }
    }
    return lookup->blocks[low];
}

static uint64_t
get_caller_key(const struct sas_lookup *lookup, uint32_t ipv4)
{
    int32_t block = find_block(lookup, ipv4);
    return block == SasModel_NONE ? make_key(ipv4, OUTSIDE_PREFIX)
                                  : lookup->keys[block];
}

static int
rebuild_home(struct sas_lookup *lookup, struct sas_lookup_answers *answers,
             const struct sas_target *targets, int home)
{
    int first = lookup->home_starts[home];
    int count = lookup->home_starts[home + 1] - first;
    int regions = lookup->region_count;
    const struct sas_target *new = targets + home *regions;
    if (answers->targets == NULL) {
        SasLookup_Assign(lookup->keys + first, count, new, regions,
                         answers->owners + first);
        return count;
    }
    const struct sas_target *old = answers->targets + home * regions;
    if (memcmp(old, new, regions * sizeof(*new)) == 0) {
        return 0;
    }
    return SasLookup_Reassign(lookup->keys + first, count, old, new, regions,
                              answers->owners + first);
}
