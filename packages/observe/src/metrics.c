#include "sas/metrics.h"

#include <glib.h>
#include <gsl/gsl_histogram.h>
#include <inttypes.h>
#include <math.h>
#include <stdbool.h>
#include <string.h>

#include "sas/limits.h"

enum kind {
    COUNTER,
    GAUGE,
    HISTOGRAM
};

/* The bounds between buckets; the last bucket holds whatever is longer. */
static const double bucket_bounds[] = {0, SasMetrics_BUCKETS_MS, 1e12};
#define BUCKET_COUNT (G_N_ELEMENTS(bucket_bounds) - 1)

struct family {
    char *name;
    char *label; /* NULL: no label */
    char *help;
    enum kind kind;
    GArray *metrics; /* handles */
};

struct metric {
    char *value; /* of the label, NULL without one */
    int family;
    uint64_t count; /* a counter's number */
    double level;   /* a gauge's number; the sum of a histogram's */
    gsl_histogram *histogram;
};

struct sas_metrics {
    GArray *families;
    GArray *metrics;
};

static void clear_family(gpointer data);
static void clear_metric(gpointer data);
static int register_metric(struct sas_metrics *metrics, enum kind kind,
                           const char *name, const char *label,
                           const char *value, const char *help);
static struct metric *get_metric(const struct sas_metrics *metrics, int metric,
                                 enum kind kind);
static enum kind get_kind(const struct sas_metrics *metrics, int metric);
static void format_family(const struct sas_metrics *metrics, int family,
                          GString *text);

struct sas_metrics *
SasMetrics_New(void)
{
    struct sas_metrics *metrics = g_new0(struct sas_metrics, 1);
    metrics->families = g_array_new(FALSE, TRUE, sizeof(struct family));
    metrics->metrics = g_array_new(FALSE, TRUE, sizeof(struct metric));
    g_array_set_clear_func(metrics->families, clear_family);
    g_array_set_clear_func(metrics->metrics, clear_metric);
    return metrics;
}

void
SasMetrics_Free(struct sas_metrics *metrics)
{
    if (metrics == NULL) {
        return;
    }
    g_array_free(metrics->families, TRUE);
    g_array_free(metrics->metrics, TRUE);
    g_free(metrics);
}

int
SasMetrics_Register(struct sas_metrics *metrics, const char *name,
                    const char *label, const char *value, const char *help)
{
    return register_metric(metrics, COUNTER, name, label, value, help);
}

int
SasMetrics_RegisterGauge(struct sas_metrics *metrics, const char *name,
                         const char *label, const char *value,
                         const char *help)
{
    return register_metric(metrics, GAUGE, name, label, value, help);
}

int
SasMetrics_RegisterHistogram(struct sas_metrics *metrics, const char *name,
                             const char *label, const char *value,
                             const char *help)
{
    int metric = register_metric(metrics, HISTOGRAM, name, label, value, help);
    struct metric *row = get_metric(metrics, metric, HISTOGRAM);
    if (row != NULL && row->histogram == NULL) {
        row->histogram = gsl_histogram_alloc(BUCKET_COUNT);
        gsl_histogram_set_ranges(row->histogram, bucket_bounds,
                                 G_N_ELEMENTS(bucket_bounds));
    }
    return metric;
}

void
SasMetrics_Observe(struct sas_metrics *metrics, int metric,
                   double milliseconds)
{
    struct metric *row = get_metric(metrics, metric, HISTOGRAM);
    if (row == NULL) {
        return;
    }
    gsl_histogram_increment(row->histogram, MAX(milliseconds, 0));
    row->level += milliseconds;
    row->count++;
}

void
SasMetrics_Add(struct sas_metrics *metrics, int metric, uint64_t n)
{
    struct metric *row = get_metric(metrics, metric, COUNTER);
    if (row != NULL) {
        row->count += n;
    }
}

void
SasMetrics_Set(struct sas_metrics *metrics, int metric, double number)
{
    struct metric *row = get_metric(metrics, metric, GAUGE);
    if (row != NULL) {
        row->level = number;
    }
}

double
SasMetrics_Get(const struct sas_metrics *metrics, int metric)
{
    if (metric < 0 || metric >= (int)metrics->metrics->len) {
        return 0;
    }
    enum kind kind = get_kind(metrics, metric);
    const struct metric *row = get_metric(metrics, metric, kind);
    return kind == GAUGE ? row->level : (double)row->count;
}

static gint
compare_families(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct sas_metrics *metrics = data;
    const int *left = a;
    const int *right = b;
    return strcmp(
        g_array_index(metrics->families, struct family, *left).name,
        g_array_index(metrics->families, struct family, *right).name);
}

static gint
compare_metrics(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct sas_metrics *metrics = data;
    const int *left = a;
    const int *right = b;
    return g_strcmp0(
        g_array_index(metrics->metrics, struct metric, *left).value,
        g_array_index(metrics->metrics, struct metric, *right).value);
}

char *
SasMetrics_Format(const struct sas_metrics *metrics)
{
    g_autoptr(GArray) order = g_array_new(FALSE, FALSE, sizeof(int));
    for (int i = 0; i < (int)metrics->families->len; i++) {
        g_array_append_val(order, i);
    }
    g_array_sort_with_data(order, compare_families, (gpointer)metrics);
    GString *text = g_string_new(NULL);
    for (guint i = 0; i < order->len; i++) {
        format_family(metrics, g_array_index(order, int, i), text);
    }
    return g_string_free(text, FALSE);
}

static void
clear_family(gpointer data)
{
    struct family *family = data;
    g_free(family->name);
    g_free(family->label);
    g_free(family->help);
    g_array_free(family->metrics, TRUE);
}

static void
clear_metric(gpointer data)
{
    struct metric *metric = data;
    g_free(metric->value);
    if (metric->histogram != NULL) {
        gsl_histogram_free(metric->histogram);
    }
}

static bool
is_name(const char *text, bool colon_allowed)
{
    if (text[0] == '\0' || g_ascii_isdigit(text[0])) {
        return false;
    }
    for (const char *c = text; *c != '\0'; c++) {
        bool colon = colon_allowed && *c == ':';
        if (!g_ascii_isalnum(*c) && *c != '_' && !colon) {
            return false;
        }
    }
    return true;
}

/* The family of this name, made when there is none yet; SasModel_NONE when
 * the name is taken for something else. */
static int
find_family(struct sas_metrics *metrics, enum kind kind, const char *name,
            const char *label, const char *help)
{
    for (int i = 0; i < (int)metrics->families->len; i++) {
        const struct family *known =
            &g_array_index(metrics->families, struct family, i);
        if (strcmp(known->name, name) == 0) {
            bool same =
                known->kind == kind && g_strcmp0(known->label, label) == 0;
            return same ? i : SasModel_NONE;
        }
    }
    struct family family = {
        .name = g_strdup(name),
        .label = g_strdup(label),
        .help = g_strdup(help),
        .kind = kind,
        .metrics = g_array_new(FALSE, FALSE, sizeof(int)),
    };
    g_array_append_val(metrics->families, family);
    return (int)metrics->families->len - 1;
}

static int
find_metric(const struct sas_metrics *metrics, int family, const char *value)
{
    const GArray *members =
        g_array_index(metrics->families, struct family, family).metrics;
    for (guint i = 0; i < members->len; i++) {
        int metric = g_array_index(members, int, i);
        const struct metric *row =
            &g_array_index(metrics->metrics, struct metric, metric);
        if (g_strcmp0(row->value, value) == 0) {
            return metric;
        }
    }
    return SasModel_NONE;
}

static int
register_metric(struct sas_metrics *metrics, enum kind kind, const char *name,
                const char *label, const char *value, const char *help)
{
    bool label_valid = label == NULL || is_name(label, false);
    bool paired = (label == NULL) == (value == NULL);
    if (!is_name(name, true) || !label_valid || !paired) {
        return SasModel_NONE;
    }
    int family = find_family(metrics, kind, name, label, help);
    if (family == SasModel_NONE) {
        return SasModel_NONE;
    }
    int known = find_metric(metrics, family, value);
    if (known != SasModel_NONE) {
        return known;
    }
    if (metrics->metrics->len >= SasMetrics_MAX_METRICS) {
        return SasModel_NONE;
    }
    struct metric row = {.value = g_strdup(value), .family = family};
    g_array_append_val(metrics->metrics, row);
    int metric = (int)metrics->metrics->len - 1;
    g_array_append_val(
        g_array_index(metrics->families, struct family, family).metrics,
        metric);
    return metric;
}

static enum kind
get_kind(const struct sas_metrics *metrics, int metric)
{
    int family = g_array_index(metrics->metrics, struct metric, metric).family;
    return g_array_index(metrics->families, struct family, family).kind;
}

static struct metric *
get_metric(const struct sas_metrics *metrics, int metric, enum kind kind)
{
    if (metric < 0 || metric >= (int)metrics->metrics->len) {
        return NULL;
    }
    if (get_kind(metrics, metric) != kind) {
        return NULL;
    }
    return &g_array_index(metrics->metrics, struct metric, metric);
}

/* The exposition format escapes '\' and line feeds, in label values also
 * quotes. */
static void
append_escaped(GString *text, const char *raw, bool quotes)
{
    for (const char *c = raw; *c != '\0'; c++) {
        if (*c == '\n') {
            g_string_append(text, "\\n");
            continue;
        }
        if (*c == '\\' || (quotes && *c == '"')) {
            g_string_append_c(text, '\\');
        }
        g_string_append_c(text, *c);
    }
}

static void
format_number(const struct sas_metrics *metrics, int metric, GString *text)
{
    const struct metric *row =
        &g_array_index(metrics->metrics, struct metric, metric);
    if (get_kind(metrics, metric) == COUNTER) {
        g_string_append_printf(text, " %" PRIu64 "\n", row->count);
        return;
    }
    if (!isfinite(row->level)) {
        const char *sign = row->level > 0 ? "+Inf" : "-Inf";
        g_string_append_printf(text, " %s\n",
                               isnan(row->level) ? "NaN" : sign);
        return;
    }
    char number[G_ASCII_DTOSTR_BUF_SIZE];
    g_ascii_formatd(number, sizeof(number), "%.15g", row->level);
    g_string_append_printf(text, " %s\n", number);
}

/* The label of a row and, of a bucket, its upper bound. */
static void
append_labels(const struct family *family, const struct metric *row,
              const char *bound, GString *text)
{
    if (family->label == NULL && bound == NULL) {
        return;
    }
    g_string_append_c(text, '{');
    if (family->label != NULL) {
        g_string_append_printf(text, "%s=\"", family->label);
        append_escaped(text, row->value, true);
        g_string_append_c(text, '"');
    }
    if (bound != NULL) {
        g_string_append_printf(text, "%sle=\"%s\"",
                               family->label != NULL ? "," : "", bound);
    }
    g_string_append_c(text, '}');
}

static void
format_histogram(const struct family *family, const struct metric *row,
                 GString *text)
{
    double sum = 0;
    for (size_t i = 0; i < BUCKET_COUNT; i++) {
        char bound[G_ASCII_DTOSTR_BUF_SIZE] = "+Inf";
        if (i + 1 < BUCKET_COUNT) {
            g_ascii_formatd(bound, sizeof(bound), "%g", bucket_bounds[i + 1]);
        }
        sum += gsl_histogram_get(row->histogram, i);
        g_string_append_printf(text, "%s_bucket", family->name);
        append_labels(family, row, bound, text);
        g_string_append_printf(text, " %.0f\n", sum);
    }
    char number[G_ASCII_DTOSTR_BUF_SIZE];
    g_ascii_formatd(number, sizeof(number), "%.15g", row->level);
    g_string_append_printf(text, "%s_sum", family->name);
    append_labels(family, row, NULL, text);
    g_string_append_printf(text, " %s\n%s_count", number, family->name);
    append_labels(family, row, NULL, text);
    g_string_append_printf(text, " %" PRIu64 "\n", row->count);
}

static void
format_family(const struct sas_metrics *metrics, int family, GString *text)
{
    static const char *const types[] = {"counter", "gauge", "histogram"};
    const struct family *row =
        &g_array_index(metrics->families, struct family, family);
    g_string_append_printf(text, "# HELP %s ", row->name);
    append_escaped(text, row->help, false);
    g_string_append_printf(text, "\n# TYPE %s %s\n", row->name,
                           types[row->kind]);
    g_array_sort_with_data(row->metrics, compare_metrics, (gpointer)metrics);
    for (guint i = 0; i < row->metrics->len; i++) {
        int metric = g_array_index(row->metrics, int, i);
        const struct metric *member =
            &g_array_index(metrics->metrics, struct metric, metric);
        if (row->kind == HISTOGRAM) {
            format_histogram(row, member, text);
            continue;
        }
        g_string_append(text, row->name);
        append_labels(row, member, NULL, text);
        format_number(metrics, metric, text);
    }
}
