#include "results.h"

#include <inttypes.h>
#include <string.h>

static void add_to_group(GHashTable *groups, const char *name, double ms);
static void count(GHashTable *counts, const char *name);
static void write_row(const char *kind, const char *name,
                      const struct histogram *histogram, double seconds,
                      const char *format, FILE *file);
static void write_all(const struct results *results, double seconds,
                      const char *format, FILE *file);

void
Results_Init(struct results *results)
{
    memset(results, 0, sizeof(*results));
    GHashTable **tables[] = {&results->regions, &results->backends,
                             &results->refusals, &results->errors};
    for (gsize i = 0; i < G_N_ELEMENTS(tables); i++) {
        *tables[i] =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    }
}

void
Results_Close(struct results *results)
{
    g_hash_table_unref(results->regions);
    g_hash_table_unref(results->backends);
    g_hash_table_unref(results->refusals);
    g_hash_table_unref(results->errors);
}

void
Results_AddAnswer(struct results *results, const struct answer *answer)
{
    if (answer->status < 200 || answer->status > 299) {
        g_autofree char *name = g_strdup_printf(
            "%d %s %s", answer->status, answer->reason, answer->outcome);
        count(results->refusals, g_strstrip(name));
        return;
    }
    results->bytes += answer->bytes;
    Histogram_Add(&results->latency, answer->latency_ms);
    if (*answer->region != '\0') {
        add_to_group(results->regions, answer->region, answer->latency_ms);
    }
    if (*answer->backend != '\0') {
        add_to_group(results->backends, answer->backend, answer->latency_ms);
    }
}

void
Results_AddError(struct results *results, const char *text)
{
    count(results->errors, text);
}

void
Results_Print(const struct results *results, double seconds)
{
    printf("%-9s %-28s %9s %9s %9s %9s %9s %9s\n", "kind", "name", "count",
           "per_s", "p50_ms", "p90_ms", "p99_ms", "max_ms");
    write_all(results, seconds,
              "%-9s %-28s %9" PRId64 " %9.1f %9.2f %9.2f %9.2f %9.2f\n",
              stdout);
    printf("planned %" PRId64 " in %.1f s, good %.2f %%, answers %.1f "
           "Mbit/s\n",
           results->planned, seconds,
           100.0 * (double)results->latency.total /
               (double)MAX(1, results->planned),
           (double)results->bytes * 8e-6 / seconds);
}

void
Results_WriteCsv(const struct results *results, double seconds, FILE *file)
{
    fprintf(file, "kind,name,count,per_s,p50_ms,p90_ms,p99_ms,max_ms\n");
    write_all(results, seconds, "%s,%s,%" PRId64 ",%.1f,%.3f,%.3f,%.3f,%.3f\n",
              file);
}

static void
add_to_group(GHashTable *groups, const char *name, double ms)
{
    struct histogram *histogram = g_hash_table_lookup(groups, name);
    if (histogram == NULL) {
        histogram = g_new0(struct histogram, 1);
        g_hash_table_insert(groups, g_strdup(name), histogram);
    }
    Histogram_Add(histogram, ms);
}

static void
count(GHashTable *counts, const char *name)
{
    int64_t *number = g_hash_table_lookup(counts, name);
    if (number == NULL) {
        number = g_new0(int64_t, 1);
        g_hash_table_insert(counts, g_strdup(name), number);
    }
    (*number)++;
}

static int
compare_names(gconstpointer a, gconstpointer b)
{
    return strcmp(a, b);
}

static void
write_groups(const char *kind, GHashTable *groups, double seconds,
             const char *format, FILE *file)
{
    g_autoptr(GList) names =
        g_list_sort(g_hash_table_get_keys(groups), compare_names);
    for (GList *at = names; at != NULL; at = at->next) {
        write_row(kind, at->data, g_hash_table_lookup(groups, at->data),
                  seconds, format, file);
    }
}

static void
write_counts(const char *kind, GHashTable *counts, double seconds,
             const char *format, FILE *file)
{
    g_autoptr(GList) names =
        g_list_sort(g_hash_table_get_keys(counts), compare_names);
    for (GList *at = names; at != NULL; at = at->next) {
        struct histogram only_count = {0};
        only_count.total = *(int64_t *)g_hash_table_lookup(counts, at->data);
        write_row(kind, at->data, &only_count, seconds, format, file);
    }
}

static void
write_all(const struct results *results, double seconds, const char *format,
          FILE *file)
{
    write_row("all", "good", &results->latency, seconds, format, file);
    write_groups("region", results->regions, seconds, format, file);
    write_groups("backend", results->backends, seconds, format, file);
    write_counts("refusal", results->refusals, seconds, format, file);
    write_counts("error", results->errors, seconds, format, file);
}

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wformat-nonliteral"
static void
write_row(const char *kind, const char *name,
          const struct histogram *histogram, double seconds,
          const char *format, FILE *file)
{
    fprintf(file, format, kind, name, histogram->total,
            (double)histogram->total / seconds,
            Histogram_GetQuantile(histogram, 0.50),
            Histogram_GetQuantile(histogram, 0.90),
            Histogram_GetQuantile(histogram, 0.99), histogram->max);
}
#pragma GCC diagnostic pop
