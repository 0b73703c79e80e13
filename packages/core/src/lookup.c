#include "sas/lookup.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#define TWO_POW_MINUS_53 (1.0 / 9007199254740992.0)
#define ROUNDING_SLACK (1 + 1e-12)
#define DEFAULT_PREFIX_LENGTH 24 /* of an address outside all blocks */
#define UPPER_HALF_COUNT 65536   /* values of an address's upper 16 bits */
/* Suspicion scores of an entry VM. Peers count for more than the platform's
 * list: they exchange state every second, while the list lags more. A VM with
 * SUSPICION_EXCLUDED or more is left out of answers. */
#define SUSPICION_PEERS_DEAD 2
#define SUSPICION_PEERS_UNKNOWN 1
#define SUSPICION_LIST_ABSENT 1
#define SUSPICION_EXCLUDED (SUSPICION_PEERS_DEAD + SUSPICION_LIST_ABSENT)
#define SUSPICION_LEAVING 16

static uint64_t make_key(uint32_t network, int prefix_length);
static uint64_t hash_name(const char *name);
static double hash_to_unit(uint64_t key, uint64_t id);
static double get_score(uint64_t key, const struct sas_target *target);
static void number_blocks(struct sas_lookup *lookup,
                          const struct sas_model *model,
                          int32_t *block_numbers);
static void build_ranges(struct sas_lookup *lookup,
                         const struct sas_model *model,
                         const int32_t *block_numbers);
static void index_ranges(struct sas_lookup *lookup);
static int32_t find_block(const struct sas_lookup *lookup, uint32_t ipv4);
static uint64_t get_block_key(const struct sas_lookup *lookup, uint32_t ipv4);
static int rebuild_home(struct sas_lookup *lookup,
                        struct sas_lookup_answers *answers,
                        const struct sas_target *targets, int home);

/* Creation and release. */

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

    g_autofree int32_t *block_numbers = g_new(int32_t, model->block_count + 1);
    number_blocks(lookup, model, block_numbers);
    build_ranges(lookup, model, block_numbers);
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

/* Assignment of blocks to regions. */

/* Returns targets[home * region_count + region] with the plan's weights. */
static struct sas_target *
build_targets(const struct sas_model *model, const struct sas_plan *plan,
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
    struct sas_target *targets = build_targets(model, plan, service);
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
SasLookup_FindRegion(const struct sas_lookup *lookup, int service,
                     uint32_t ipv4)
{
    const struct sas_lookup_answers *answers = &lookup->answers[service];
    if (answers->owners == NULL) {
        return SasModel_NONE;
    }
    int32_t block = find_block(lookup, ipv4);
    if (block != SasModel_NONE) {
        return answers->owners[block];
    }
    return SasLookup_ChooseTarget(make_key(ipv4, DEFAULT_PREFIX_LENGTH),
                                  answers->targets + lookup->default_home *
                                                         lookup->region_count,
                                  lookup->region_count);
}

int
SasLookup_FindHomeRegion(const struct sas_lookup *lookup, uint32_t ipv4)
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
    int suspicion;
    bool other_region;
    double score;
};

static int
get_suspicion(const struct sas_vm_status *status)
{
    int suspicion = 0;
    if (status->peers == SAS_VM_DEAD) {
        suspicion += SUSPICION_PEERS_DEAD;
    }
    else if (status->peers == SAS_VM_UNKNOWN) {
        suspicion += SUSPICION_PEERS_UNKNOWN;
    }
    if (status->platform == SAS_VM_DEAD) {
        suspicion += SUSPICION_LIST_ABSENT;
    }
    return suspicion + (status->leaving ? SUSPICION_LEAVING : 0);
}

static int
compare_ranks(const void *left, const void *right, void *data)
{
    (void)data;
    const struct vm_rank *a = left;
    const struct vm_rank *b = right;
    bool a_dead = a->suspicion >= SUSPICION_PEERS_DEAD;
    bool b_dead = b->suspicion >= SUSPICION_PEERS_DEAD;
    if (a_dead != b_dead) {
        return a_dead - b_dead;
    }
    if (a->other_region != b->other_region) {
        return a->other_region - b->other_region;
    }
    if (a->suspicion != b->suspicion) {
        return a->suspicion - b->suspicion;
    }
    return (a->score > b->score) - (a->score < b->score);
}

/* Guards against an empty answer when the platform's list is empty or stale,
 * or when this node is partitioned and hears from no peer. A VM is excluded
 * only if both sources report it dead or it is leaving; if that applies to all
 * VMs, those with the lowest suspicion stay. */
static int
exclude_suspected(struct vm_rank *ranks, int count)
{
    int least = G_MAXINT;
    int kept = 0;
    for (int i = 0; i < count; i++) {
        least = MIN(least, ranks[i].suspicion);
    }
    for (int i = 0; i < count; i++) {
        if (ranks[i].suspicion < MAX(SUSPICION_EXCLUDED, least + 1)) {
            ranks[kept++] = ranks[i];
        }
    }
    return kept;
}

int
SasLookup_OrderVms(const struct sas_lookup *lookup,
                   const struct sas_model *model, int region, uint32_t ipv4,
                   const struct sas_vm_status *statuses, int *vms, int max)
{
    uint64_t key = get_block_key(lookup, ipv4);
    g_autofree struct vm_rank *ranks =
        g_new0(struct vm_rank, model->vm_count + 1);
    for (int i = 0; i < model->vm_count; i++) {
        struct sas_target target = {hash_name(model->vms[i].name), 1};
        ranks[i] = (struct vm_rank){
            .vm = i,
            .suspicion = get_suspicion(&statuses[i]),
            .other_region = SasModel_GetVmRegion(model, i) != region,
            .score = get_score(key, &target),
        };
    }
    int count = exclude_suspected(ranks, model->vm_count);
    g_qsort_with_data(ranks, count, sizeof(ranks[0]), compare_ranks, NULL);
    count = MIN(count, max);
    for (int i = 0; i < count; i++) {
        vms[i] = ranks[i].vm;
    }
    return count;
}

int64_t
SasLookup_ChooseTtl(const struct sas_plan *plan, int service, int home,
                    double random)
{
    double lifetime_ms = SasPlan_IsShifting(plan, service, home)
                             ? SasLookup_SHIFTING_TTL_MS
                             : SasLookup_TTL_MS;
    double factor = 1 + SasLookup_JITTER * (2 * random - 1);
    return (int64_t)(lifetime_ms * factor);
}

/* Rendezvous hashing. */

int
SasLookup_ChooseTarget(uint64_t key, const struct sas_target *targets,
                       int target_count)
{
    int owner = 0;
    double best = INFINITY;
    for (int i = 0; i < target_count; i++) {
        if (targets[i].weight <= 0) {
            continue;
        }
        /* Since 1 - u <= -ln(u), the cheap bound rules out most targets
         * without a logarithm. The slack covers rounding errors, so that the
         * best target is never ruled out. */
        double unit = hash_to_unit(key, targets[i].id);
        if (1 - unit > best * targets[i].weight * ROUNDING_SLACK) {
            continue;
        }
        double score = -log(unit) / targets[i].weight;
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
        owners[i] =
            (uint16_t)SasLookup_ChooseTarget(keys[i], targets, target_count);
    }
}

/* The owner among the current owner and the targets with a raised weight. */
static int
choose_among_raised(uint64_t key, const struct sas_target *targets, int owner,
                    const int *raised, int raised_count)
{
    double best = get_score(key, &targets[owner]);
    for (int i = 0; i < raised_count; i++) {
        int target = raised[i];
        double score = get_score(key, &targets[target]);
        if (score < best || (score == best && target < owner)) {
            best = score;
            owner = target;
        }
    }
    return owner;
}

/* Only the score of a target with a raised weight improves. So a block whose
 * owner's weight was not lowered can only move to such a target; only blocks
 * whose owner's weight was lowered are compared with all targets. */
int
SasLookup_Reassign(const uint64_t *keys, int count,
                   const struct sas_target *old_targets,
                   const struct sas_target *targets, int target_count,
                   uint16_t *owners)
{
    g_autofree int *raised = g_new0(int, target_count + 1);
    int raised_count = 0;
    int moved = 0;
    for (int i = 0; i < target_count; i++) {
        if (targets[i].weight > old_targets[i].weight) {
            raised[raised_count++] = i;
        }
    }
    for (int i = 0; i < count; i++) {
        int owner = owners[i];
        if (targets[owner].weight < old_targets[owner].weight) {
            owner = SasLookup_ChooseTarget(keys[i], targets, target_count);
        }
        else if (raised_count > 0) {
            owner = choose_among_raised(keys[i], targets, owner, raised,
                                        raised_count);
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

/* Id of a name, the same on nodes that have it at another index. */
static uint64_t
hash_name(const char *name)
{
    return XXH3_64bits(name, strlen(name));
}

/* Hash of key and target id, mapped to (0, 1): u of a score. */
static double
hash_to_unit(uint64_t key, uint64_t id)
{
    uint64_t hash = XXH3_64bits_withSeed(&key, sizeof(key), id);
    return ((double)(hash >> 12) + 0.5) * (2 * TWO_POW_MINUS_53);
}

static double
get_score(uint64_t key, const struct sas_target *target)
{
    if (target->weight <= 0) {
        return INFINITY;
    }
    return -log(hash_to_unit(key, target->id)) / target->weight;
}

/* Index of blocks. */

/* Numbers the blocks home region by home region: block_numbers[i] is the
 * number of the model's block i. */
static void
number_blocks(struct sas_lookup *lookup, const struct sas_model *model,
              int32_t *block_numbers)
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
        block_numbers[i] = next[block->home]++;
        lookup->keys[block_numbers[i]] =
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

/* Turns nested blocks into disjoint ranges. Blocks are sorted, an outer one
 * before those inside it. A stack holds the blocks that contain the current
 * address; where one ends, the range of the enclosing one continues. */
static void
build_ranges(struct sas_lookup *lookup, const struct sas_model *model,
             const int32_t *block_numbers)
{
    size_t max_ranges = 2 * (size_t)model->block_count + 1;
    int open_blocks[33 + 1]; /* nested prefixes of length 0 to 32 */
    int depth = 0;
    lookup->starts = g_new0(uint32_t, max_ranges);
    lookup->blocks = g_new0(int32_t, max_ranges);
    append_range(lookup, 0, SasModel_NONE);
    for (int i = 0; i <= model->block_count; i++) {
        uint64_t start = i < model->block_count ? model->blocks[i].network
                                                : UINT64_C(1) << 32;
        while (depth > 0 &&
               get_end(&model->blocks[open_blocks[depth - 1]]) <= start) {
            uint64_t end = get_end(&model->blocks[open_blocks[--depth]]);
            append_range(lookup, end,
                         depth > 0 ? block_numbers[open_blocks[depth - 1]]
                                   : SasModel_NONE);
        }
        if (i < model->block_count) {
            append_range(lookup, start, block_numbers[i]);
            open_blocks[depth++] = i;
        }
    }
}

/* Stores, for each value of the upper 16 bits, the range that contains the
 * first address with it. */
static void
index_ranges(struct sas_lookup *lookup)
{
    uint32_t last = (uint32_t)lookup->range_count - 1;
    uint32_t upper = 0;
    lookup->first_ranges = g_new(uint32_t, UPPER_HALF_COUNT + 1);
    for (uint32_t range = 0; range < last; range++) {
        uint32_t next = lookup->starts[range + 1];
        for (; upper < UPPER_HALF_COUNT && upper << 16 < next; upper++) {
            lookup->first_ranges[upper] = range;
        }
    }
    for (; upper <= UPPER_HALF_COUNT; upper++) {
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
get_block_key(const struct sas_lookup *lookup, uint32_t ipv4)
{
    int32_t block = find_block(lookup, ipv4);
    return block == SasModel_NONE ? make_key(ipv4, DEFAULT_PREFIX_LENGTH)
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
