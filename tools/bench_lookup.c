/* bench_lookup - cost of lookups and of new configuration versions at scale.
 *
 *     bench_lookup find|order|rebuild|ways|delta [RUNS]
 *
 * find     lookups per second by number of blocks and regions
 * order    time to rank the entry VMs for a caller, by their number
 * rebuild  time, CPU time and memory of a first build and of one change
 * ways     algorithms that assign blocks to targets: CPU time, moved blocks,
 *          error of the shares
 * delta    size of a one-row change against the whole configuration
 *
 * Each figure is the median of RUNS (5), with minimum and maximum.
 */
#include <glib.h>
#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "sas/config.h"
#include "sas/lookup.h"
#include "sas/plan.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#define NOW INT64_C(1764680000000) /* ms since 1970 */
#define MAX_RUNS 100
#define MAX_BLOCKS 270000
#define LOOKUPS 2000000
#define RANKINGS 20000
#define HOME_SHARE 0.2    /* of each region's callers, to the next region */
#define RAISED_SHARE 0.25 /* that of the first region after the change */
#define SEED 7

static int runs = 5;

/* Measurements of one quantity. */

struct figures {
    double values[MAX_RUNS];
    int count;
};

static double
get_seconds(clockid_t clock)
{
    struct timespec now;
    clock_gettime(clock, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static int
compare_values(const void *left, const void *right)
{
    double a = *(const double *)left;
    double b = *(const double *)right;
    return (a > b) - (a < b);
}

static void
print_figures(const char *name, struct figures *figures, const char *unit)
{
    qsort(figures->values, (size_t)figures->count, sizeof(double),
          compare_values);
    printf(" %s %.4g (%.4g..%.4g) %s", name,
           figures->values[figures->count / 2], figures->values[0],
           figures->values[figures->count - 1], unit);
}

static void
add_figure(struct figures *figures, double value)
{
    figures->values[figures->count++] = value;
}

/* A synthetic deployment. */

static void
make_model(struct sas_model *model, int region_count, int block_count)
{
    memset(model, 0, sizeof(*model));
    model->regions = g_new0(struct sas_region, region_count);
    model->region_count = region_count;
    model->services = g_new0(struct sas_service, 1);
    model->service_count = 1;
    snprintf(model->services[0].name, SasModel_NAME_SIZE, "dossiers");
    model->blocks = g_new0(struct sas_block, block_count);
    model->block_count = block_count;
    for (int i = 0; i < region_count; i++) {
        snprintf(model->regions[i].name, SasModel_NAME_SIZE, "site-%03d", i);
    }
    for (int i = 0; i < block_count; i++) {
        uint32_t network = (uint32_t)(0x01000000 + i * 0x3000);
        model->blocks[i] = (struct sas_block){network, 20, i % region_count};
    }
}

static void
add_shift(struct sas_sheet *sheet, int from, int to, double share)
{
    sheet->rows[sheet->row_count++] = (struct sas_sheet_row){
        .at_ms = NOW,
        .from = from,
        .to = to,
        .share = share,
        .drain_target = SasModel_NONE,
    };
}

/* Every region sends HOME_SHARE of its callers to the next one; the first
 * region sends first_share. */
static void
make_plan(struct sas_plan *plan, const struct sas_model *model,
          double first_share)
{
    int regions = model->region_count;
    struct sas_sheet sheet = {.rows = g_new0(struct sas_sheet_row, regions)};
    g_autofree struct sas_plan_signal *table =
        g_new0(struct sas_plan_signal, regions);
    struct sas_plan_signals signals = {table, NULL};
    for (int i = 0; i < regions; i++) {
        add_shift(&sheet, i, (i + 1) % regions,
                  i == 0 ? first_share : HOME_SHARE);
        table[i].headroom = 1;
    }
    struct sas_config *config =
        SasConfig_New(1, "bench", "bench", NOW, &sheet, "", NULL);
    memset(plan, 0, sizeof(*plan));
    SasPlan_Build(plan, model, config);
    SasPlan_Advance(plan, NOW, 0, &signals);
    SasConfig_Unref(config);
}

/* Lookups. */

static double
measure_finds(const struct sas_lookup *lookup, const struct sas_model *model,
              const uint32_t *addresses)
{
    double start = get_seconds(CLOCK_MONOTONIC);
    int64_t sum = 0;
    for (int i = 0; i < LOOKUPS; i++) {
        sum += SasLookup_FindRegion(lookup, 0, addresses[i]);
    }
    double seconds = get_seconds(CLOCK_MONOTONIC) - start;
    if (sum < 0 || sum > (int64_t)LOOKUPS * model->region_count) {
        abort();
    }
    return LOOKUPS / seconds / 1e6;
}

static void
bench_find_at(int blocks, int regions)
{
    struct sas_model model;
    struct sas_lookup lookup;
    struct sas_plan plan;
    struct figures figures = {0};
    g_autoptr(GRand) rand = g_rand_new_with_seed(SEED);
    g_autofree uint32_t *addresses = g_new(uint32_t, LOOKUPS);
    make_model(&model, regions, blocks);
    make_plan(&plan, &model, HOME_SHARE);
    SasLookup_Init(&lookup, &model);
    SasLookup_Rebuild(&lookup, &model, &plan, 0);
    for (int i = 0; i < LOOKUPS; i++) {
        const struct sas_block *block =
            &model.blocks[g_rand_int_range(rand, 0, blocks)];
        addresses[i] = block->network + (g_rand_int(rand) & 0xfff);
    }
    for (int run = 0; run < runs; run++) {
        add_figure(&figures, measure_finds(&lookup, &model, addresses));
    }
    printf("blocks %6d regions %3d:", blocks, regions);
    print_figures("look-ups", &figures, "M/s\n");
    SasLookup_Close(&lookup);
    SasPlan_Free(&plan);
    SasModel_Free(&model);
}

static void
bench_find(void)
{
    static const int blocks[] = {1000, 10000, 100000, MAX_BLOCKS};
    static const int regions[] = {3, 40, 400};
    for (size_t i = 0; i < G_N_ELEMENTS(blocks); i++) {
        for (size_t j = 0; j < G_N_ELEMENTS(regions); j++) {
            bench_find_at(blocks[i], regions[j]);
        }
    }
}

static void
bench_order_at(int vm_count)
{
    struct sas_model model;
    struct sas_lookup lookup;
    struct figures figures = {0};
    int vms[8];
    make_model(&model, 3, MAX_BLOCKS);
    model.domains = g_new0(struct sas_domain, 3);
    model.vms = g_new0(struct sas_vm, vm_count);
    model.vm_count = vm_count;
    g_autofree struct sas_vm_status *statuses =
        g_new0(struct sas_vm_status, vm_count);
    for (int i = 0; i < 3; i++) {
        model.domains[i].region = i;
    }
    for (int i = 0; i < vm_count; i++) {
        snprintf(model.vms[i].name, SasModel_NAME_SIZE, "vm-%03d", i);
        model.vms[i].domain = i % 3;
        statuses[i] = (struct sas_vm_status){SAS_VM_LIVE, SAS_VM_LIVE, false};
    }
    SasLookup_Init(&lookup, &model);
    for (int run = 0; run < runs; run++) {
        double start = get_seconds(CLOCK_MONOTONIC);
        for (uint32_t i = 0; i < RANKINGS; i++) {
            SasLookup_OrderVms(&lookup, &model, 0, 0x01000000 + i * 0x3000,
                               statuses, vms, 8);
        }
        double seconds = get_seconds(CLOCK_MONOTONIC) - start;
        add_figure(&figures, seconds / RANKINGS * 1e6);
    }
    printf("entry VMs %3d:", vm_count);
    print_figures("one ranking", &figures, "us\n");
    SasLookup_Close(&lookup);
    SasModel_Free(&model);
}

static void
bench_order(void)
{
    bench_order_at(9);
    bench_order_at(400);
}

/* New versions. */

struct rebuild_figures {
    struct figures first_ms;
    struct figures change_ms;
    struct figures change_cpu_ms;
    struct figures bytes;
    int moved;
};

static void
run_rebuild(const struct sas_model *model, const struct sas_plan *plan,
            const struct sas_plan *next, struct rebuild_figures *out)
{
    struct sas_lookup lookup;
    size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
    SasLookup_Init(&lookup, model);
    double start = get_seconds(CLOCK_MONOTONIC);
    SasLookup_Rebuild(&lookup, model, plan, 0);
    add_figure(&out->first_ms, (get_seconds(CLOCK_MONOTONIC) - start) * 1e3);
    size_t after = mallinfo2().uordblks + mallinfo2().hblkhd;
    add_figure(&out->bytes, (double)(after - before) / 1e6);
    start = get_seconds(CLOCK_MONOTONIC);
    double cpu = get_seconds(CLOCK_PROCESS_CPUTIME_ID);
    out->moved = SasLookup_Rebuild(&lookup, model, next, 0);
    add_figure(&out->change_cpu_ms,
               (get_seconds(CLOCK_PROCESS_CPUTIME_ID) - cpu) * 1e3);
    add_figure(&out->change_ms, (get_seconds(CLOCK_MONOTONIC) - start) * 1e3);
    SasLookup_Close(&lookup);
}

static void
bench_rebuild(void)
{
    static const int regions[] = {3, 16, 40, 400};
    for (size_t i = 0; i < G_N_ELEMENTS(regions); i++) {
        struct sas_model model;
        struct sas_plan plan;
        struct sas_plan next;
        struct rebuild_figures out = {0};
        make_model(&model, regions[i], MAX_BLOCKS);
        make_plan(&plan, &model, HOME_SHARE);
        make_plan(&next, &model, RAISED_SHARE);
        for (int run = 0; run < runs; run++) {
            run_rebuild(&model, &plan, &next, &out);
        }
        printf("blocks %d regions %3d:", MAX_BLOCKS, regions[i]);
        print_figures("first build", &out.first_ms, "ms,");
        print_figures("one change", &out.change_ms, "ms,");
        print_figures("processor", &out.change_cpu_ms, "ms,");
        print_figures("memory", &out.bytes, "MB,");
        printf(" moved %d (minimum %.0f)\n", out.moved,
               (RAISED_SHARE - HOME_SHARE) * MAX_BLOCKS / regions[i]);
        SasPlan_Free(&plan);
        SasPlan_Free(&next);
        SasModel_Free(&model);
    }
}

/* Algorithms that assign keys to targets. */

static double
hash_to_unit(uint64_t key, uint64_t id)
{
    uint64_t hash = XXH3_64bits_withSeed(&key, sizeof(key), id);
    return ((double)(hash >> 12) + 0.5) / 4503599627370496.0;
}

/* Weighted rendezvous hashing with a logarithm for each pair. */
static void
assign_plain(const uint64_t *keys, int count, const struct sas_target *targets,
             int target_count, uint16_t *owners)
{
    for (int i = 0; i < count; i++) {
        double best = INFINITY;
        for (int j = 0; j < target_count; j++) {
            double score =
                -log(hash_to_unit(keys[i], targets[j].id)) / targets[j].weight;
            if (score < best) {
                best = score;
                owners[i] = (uint16_t)j;
            }
        }
    }
}

/* One hash per key, then a binary search in the cumulative weights. */
static void
assign_cumulative(const uint64_t *keys, int count,
                  const struct sas_target *targets, int target_count,
                  uint16_t *owners)
{
    g_autofree double *ends = g_new0(double, target_count + 1);
    double sum = 0;
    for (int i = 0; i < target_count; i++) {
        sum += targets[i].weight;
        ends[i] = sum;
    }
    for (int i = 0; i < count; i++) {
        double point = hash_to_unit(keys[i], SEED) * sum;
        int low = 0;
        int high = target_count - 1;
        while (low < high) {
            int middle = (low + high) / 2;
            if (ends[middle] > point) {
                high = middle;
            }
            else {
                low = middle + 1;
            }
        }
        owners[i] = (uint16_t)low;
    }
}

/* Rendezvous hashing over groups of targets, then within the group. */
static void
assign_tree(const uint64_t *keys, int count, const struct sas_target *targets,
            int target_count, uint16_t *owners)
{
    int size = (int)ceil(sqrt(target_count));
    int group_count = (target_count + size - 1) / size;
    g_autofree struct sas_target *groups =
        g_new0(struct sas_target, group_count + 1);
    for (int i = 0; i < target_count; i++) {
        groups[i / size].id = ~(uint64_t)(i / size);
        groups[i / size].weight += targets[i].weight;
    }
    for (int i = 0; i < count; i++) {
        int first =
            SasLookup_ChooseTarget(keys[i], groups, group_count) * size;
        int members = MIN(size, target_count - first);
        owners[i] = (uint16_t)(first + SasLookup_ChooseTarget(
                                           keys[i], targets + first, members));
    }
}

struct algorithm {
    const char *name;
    void (*assign)(const uint64_t *keys, int count,
                   const struct sas_target *targets, int target_count,
                   uint16_t *owners);
};

static const struct algorithm algorithms[] = {
    {"rendezvous, plain", assign_plain},
    {"rendezvous, bounded", SasLookup_Assign},
    {"cumulative weights", assign_cumulative},
    {"rendezvous tree", assign_tree},
};

static int
count_moved(const uint16_t *left, const uint16_t *right)
{
    int moved = 0;
    for (int i = 0; i < MAX_BLOCKS; i++) {
        moved += left[i] != right[i];
    }
    return moved;
}

/* Returns the maximum error of a target's share, in standard deviations. */
static double
find_max_error(const uint16_t *owners, const struct sas_target *targets,
               int count)
{
    g_autofree int *blocks = g_new0(int, count + 1);
    double sum = 0;
    double max_error = 0;
    for (int i = 0; i < MAX_BLOCKS; i++) {
        blocks[owners[i]]++;
    }
    for (int i = 0; i < count; i++) {
        sum += targets[i].weight;
    }
    for (int i = 0; i < count; i++) {
        double share = targets[i].weight / sum;
        double deviation = sqrt(MAX_BLOCKS * share * (1 - share));
        max_error =
            fmax(max_error, fabs(blocks[i] - share * MAX_BLOCKS) / deviation);
    }
    return max_error;
}

struct assignment_bench {
    uint64_t *keys;
    struct sas_target *old_targets;
    struct sas_target *targets;
    int target_count;
    uint16_t *old_owners;
    uint16_t *owners;
};

static void
bench_algorithm(const struct assignment_bench *bench,
                const struct algorithm *algorithm)
{
    struct figures figures = {0};
    algorithm->assign(bench->keys, MAX_BLOCKS, bench->old_targets,
                      bench->target_count, bench->old_owners);
    for (int run = 0; run < runs; run++) {
        double start = get_seconds(CLOCK_PROCESS_CPUTIME_ID);
        algorithm->assign(bench->keys, MAX_BLOCKS, bench->targets,
                          bench->target_count, bench->owners);
        add_figure(&figures,
                   (get_seconds(CLOCK_PROCESS_CPUTIME_ID) - start) * 1e3);
    }
    printf("targets %3d %-20s:", bench->target_count, algorithm->name);
    print_figures("all blocks", &figures, "ms,");
    printf(" moved %d, error %.2f sd\n",
           count_moved(bench->old_owners, bench->owners),
           find_max_error(bench->owners, bench->targets, bench->target_count));
}

/* old_owners: as SasLookup_Assign returned them for old_targets. */
static void
bench_reassign(const struct assignment_bench *bench, const char *name,
               const struct sas_target *old_targets,
               const struct sas_target *targets, const uint16_t *old_owners)
{
    struct figures figures = {0};
    int moved = 0;
    for (int run = 0; run < runs; run++) {
        memcpy(bench->owners, old_owners, MAX_BLOCKS * sizeof(uint16_t));
        double start = get_seconds(CLOCK_PROCESS_CPUTIME_ID);
        moved =
            SasLookup_Reassign(bench->keys, MAX_BLOCKS, old_targets, targets,
                               bench->target_count, bench->owners);
        add_figure(&figures,
                   (get_seconds(CLOCK_PROCESS_CPUTIME_ID) - start) * 1e3);
    }
    printf("targets %3d %-20s:", bench->target_count, name);
    print_figures("changed blocks", &figures, "ms,");
    printf(" moved %d\n", moved);
}

static void
bench_algorithms_at(int target_count)
{
    g_autoptr(GRand) rand = g_rand_new_with_seed(SEED);
    g_autofree uint64_t *keys = g_new(uint64_t, MAX_BLOCKS);
    g_autofree uint16_t *old_owners = g_new0(uint16_t, MAX_BLOCKS);
    g_autofree uint16_t *owners = g_new0(uint16_t, MAX_BLOCKS);
    g_autofree struct sas_target *old_targets =
        g_new0(struct sas_target, target_count);
    struct assignment_bench bench = {keys,         old_targets, NULL,
                                     target_count, old_owners,  owners};
    double sum = 0;
    for (int i = 0; i < MAX_BLOCKS; i++) {
        keys[i] = (uint64_t)g_rand_int(rand) << 32 | g_rand_int(rand);
    }
    for (int i = 0; i < target_count; i++) {
        old_targets[i].id = (uint64_t)i + 1;
        old_targets[i].weight = g_rand_double_range(rand, 0.5, 1.5);
        sum += old_targets[i].weight;
    }
    g_autofree struct sas_target *targets =
        g_memdup2(old_targets, target_count * sizeof(struct sas_target));
    struct sas_target *raised = &targets[target_count / 2];
    double old_share = raised->weight / sum;
    raised->weight *= 1.2;
    double share = raised->weight / (sum + raised->weight / 6);
    bench.targets = targets;
    printf("targets %3d, one weight up by 20%%: minimum moved %.0f\n",
           target_count, (share - old_share) * MAX_BLOCKS);
    for (size_t i = 0; i < G_N_ELEMENTS(algorithms); i++) {
        bench_algorithm(&bench, &algorithms[i]);
    }
    SasLookup_Assign(keys, MAX_BLOCKS, old_targets, target_count, old_owners);
    bench_reassign(&bench, "reassign, one rises", old_targets, targets,
                   old_owners);
    SasLookup_Assign(keys, MAX_BLOCKS, targets, target_count, old_owners);
    bench_reassign(&bench, "reassign, one falls", targets, old_targets,
                   old_owners);
}

static void
bench_algorithms(void)
{
    static const int counts[] = {3, 16, 100, 400};
    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        bench_algorithms_at(counts[i]);
    }
}

/* Configuration deltas. */

static struct sas_config *
make_config(const struct sas_model *model, int64_t number, int rows,
            int changed)
{
    struct sas_sheet sheet;
    struct sas_sheet_error reason;
    g_autoptr(GString) text = g_string_new(SasSheet_HEADER "\n");
    for (int i = 0; i < rows; i++) {
        int from = i % model->region_count;
        g_string_append_printf(
            text, "+%d,dossiers,%s,%s,%d%%,%d req/s,,ramp=300;headroom=15%%\n",
            i, model->regions[from].name,
            model->regions[(from + 1) % model->region_count].name,
            i == changed ? 25 : 20, 50 + i % 10);
    }
    if (SasSheet_Parse(&sheet, model, text->str, text->len, NOW, 0, &reason) <
        0) {
        fprintf(stderr, "row %d: %s\n", reason.row, reason.reason);
        exit(1);
    }
    return SasConfig_New(number, "bench", "bench", NOW, &sheet, text->str,
                         NULL);
}

static void
bench_delta_at(const struct sas_model *model, int rows)
{
    struct sas_config *base = make_config(model, 1, rows, -1);
    struct sas_config *next = make_config(model, 2, rows, rows / 2);
    struct figures encode = {0};
    struct figures apply = {0};
    size_t whole_size = 0;
    size_t delta_size = 0;
    for (int run = 0; run < runs; run++) {
        char *whole = SasConfig_Encode(next, model);
        double start = get_seconds(CLOCK_PROCESS_CPUTIME_ID);
        char *delta = SasConfig_EncodeDelta(base, next, model);
        add_figure(&encode,
                   (get_seconds(CLOCK_PROCESS_CPUTIME_ID) - start) * 1e3);
        start = get_seconds(CLOCK_PROCESS_CPUTIME_ID);
        struct sas_config *made =
            SasConfig_ApplyDelta(base, model, delta, strlen(delta), NULL);
        add_figure(&apply,
                   (get_seconds(CLOCK_PROCESS_CPUTIME_ID) - start) * 1e3);
        if (made == NULL) {
            abort();
        }
        whole_size = strlen(whole);
        delta_size = strlen(delta);
        SasConfig_Unref(made);
        free(whole);
        free(delta);
    }
    printf("rows %4d, one changed: whole %zu bytes, delta %zu bytes,", rows,
           whole_size, delta_size);
    print_figures("encode", &encode, "ms,");
    print_figures("apply", &apply, "ms\n");
    SasConfig_Unref(base);
    SasConfig_Unref(next);
}

static void
bench_delta(void)
{
    static const int rows[] = {10, 100, 1000, SasSheet_MAX_ROWS};
    struct sas_model model;
    make_model(&model, 16, 1);
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        bench_delta_at(&model, rows[i]);
    }
    SasModel_Free(&model);
}

int
main(int argc, char **argv)
{
    static const struct {
        const char *name;
        void (*run)(void);
    } benchmarks[] = {{"find", bench_find},
                      {"order", bench_order},
                      {"rebuild", bench_rebuild},
                      {"ways", bench_algorithms},
                      {"delta", bench_delta}};
    if (argc > 2) {
        runs = CLAMP(atoi(argv[2]), 1, MAX_RUNS);
    }
    for (size_t i = 0; argc > 1 && i < G_N_ELEMENTS(benchmarks); i++) {
        if (strcmp(argv[1], benchmarks[i].name) == 0) {
            benchmarks[i].run();
            return 0;
        }
    }
    fprintf(stderr,
            "usage: bench_lookup find|order|rebuild|ways|delta [RUNS]\n");
    return 1;
}
