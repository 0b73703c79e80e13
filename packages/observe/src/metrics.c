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

/* Lower bounds of the buckets, ms, and the end of the last one, which is
 * exported as +Inf. */
static const double bucket_bounds[] = {0, SasMetrics_BUCKETS_MS, 1e12};
#define BUCKET_COUNT (G_N_ELEMENTS(bucket_bounds) - 1)

struct family {
    char *name;
    char *label; /* NULL: no label */
    char *help;
    enum kind kind;
    GArray *metrics; /* int, handles */
};

struct metric {
    char *label_value; /* NULL: no label */
    int family;        /* index in sas_metrics.families */
    uint64_t count;    /* value of a counter, durations of a histogram */
    double number;     /* value of a gauge, sum of a histogram, ms */
    gsl_histogram *histogram;
};

struct sas_metrics {
    GArray *families; /* struct family */
    GArray *metrics;  /* struct metric, by handle */
};

static void clear_family(gpointer data);
static void clear_metric(gpointer data);
static int register_metric(struct sas_metrics *metrics, enum kind kind,
                           const char *name, const char *label,
                           const char *value, const char *help);
static struct metric *get_metric(const struct sas_metrics *metrics, int handle,
                                 enum kind kind);
static enum kind get_kind(const struct sas_metrics *metrics, int handle);
static void format_family(const struct sas_metrics *metrics, int index,
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
SasMetrics_RegisterCounter(struct sas_metrics *metrics, const char *name,
                           const char *label, const char *value,
                           const char *help)
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
    int handle = register_metric(metrics, HISTOGRAM, name, label, value, help);
    struct metric *metric = get_metric(metrics, handle, HISTOGRAM);
    if (metric != NULL && metric->histogram == NULL) {
        metric->histogram = gsl_histogram_alloc(BUCKET_COUNT);
        gsl_histogram_set_ranges(metric->histogram, bucket_bounds,
                                 G_N_ELEMENTS(bucket_bounds));
    }
    return handle;
}

void
SasMetrics_Observe(struct sas_metrics *metrics, int handle,
                   double milliseconds)
{
    struct metric *metric = get_metric(metrics, handle, HISTOGRAM);
    if (metric == NULL) {
        return;
    }
    gsl_histogram_increment(metric->histogram, MAX(milliseconds, 0));
    metric->number += milliseconds;
    metric->count++;
}

void
SasMetrics_Add(struct sas_metrics *metrics, int handle, uint64_t n)
{
    struct metric *metric = get_metric(metrics, handle, COUNTER);
    if (metric != NULL) {
        metric->count += n;
    }
}

void
SasMetrics_SetGauge(struct sas_metrics *metrics, int handle, double number)
{
    struct metric *metric = get_metric(metrics, handle, GAUGE);
    if (metric != NULL) {
        metric->number = number;
    }
}

double
SasMetrics_Get(const struct sas_metrics *metrics, int handle)
{
    if (handle < 0 || handle >= (int)metrics->metrics->len) {
        return 0;
    }
    enum kind kind = get_kind(metrics, handle);
    const struct metric *metric = get_metric(metrics, handle, kind);
    return kind == GAUGE ? metric->number : (double)metric->count;
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
        g_array_index(metrics->metrics, struct metric, *left).label_value,
        g_array_index(metrics->metrics, struct metric, *right).label_value);
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
    g_free(metric->label_value);
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

/* Returns the family of this name, creating it if needed; SasModel_NONE if it
 * exists with another kind or label. */
static int
find_family(struct sas_metrics *metrics, enum kind kind, const char *name,
            const char *label, const char *help)
{
    for (int i = 0; i < (int)metrics->families->len; i++) {
        const struct family *existing =
            &g_array_index(metrics->families, struct family, i);
        if (strcmp(existing->name, name) == 0) {
            bool same = existing->kind == kind &&
                        g_strcmp0(existing->label, label) == 0;
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
        int handle = g_array_index(members, int, i);
        const struct metric *metric =
            &g_array_index(metrics->metrics, struct metric, handle);
        if (g_strcmp0(metric->label_value, value) == 0) {
            return handle;
        }
    }
    return SasModel_NONE;
}

static int
register_metric(struct sas_metrics *metrics, enum kind kind, const char *name,
                const char *label, const char *value, const char *help)
{
    bool label_valid = label == NULL || is_name(label, false);
    bool value_valid = (label == NULL) == (value == NULL);
    if (!is_name(name, true) || !label_valid || !value_valid) {
        return SasModel_NONE;
    }
    int family = find_family(metrics, kind, name, label, help);
    if (family == SasModel_NONE) {
        return SasModel_NONE;
    }
    int existing = find_metric(metrics, family, value);
    if (existing != SasModel_NONE) {
        return existing;
    }
    if (metrics->metrics->len >= SasMetrics_MAX_METRICS) {
        return SasModel_NONE;
    }
    struct metric metric = {.label_value = g_strdup(value), .family = family};
    g_array_append_val(metrics->metrics, metric);
    int handle = (int)metrics->metrics->len - 1;
    g_array_append_val(
        g_array_index(metrics->families, struct family, family).metrics,
        handle);
    return handle;
}

static enum kind
get_kind(const struct sas_metrics *metrics, int handle)
{
    int family = g_array_index(metrics->metrics, struct metric, handle).family;
    return g_array_index(metrics->families, struct family, family).kind;
}

static struct metric *
get_metric(const struct sas_metrics *metrics, int handle, enum kind kind)
{
    if (handle < 0 || handle >= (int)metrics->metrics->len) {
        return NULL;
    }
    if (get_kind(metrics, handle) != kind) {
        return NULL;
    }
    return &g_array_index(metrics->metrics, struct metric, handle);
}

/* Escapes '\' and line feeds, in label values also double quotes, as the
 * exposition format requires. */
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
format_number(const struct sas_metrics *metrics, int handle, GString *text)
{
    const struct metric *metric =
        &g_array_index(metrics->metrics, struct metric, handle);
    if (get_kind(metrics, handle) == COUNTER) {
        g_string_append_printf(text, " %" PRIu64 "\n", metric->count);
        return;
    }
    if (!isfinite(metric->number)) {
        const char *sign = metric->number > 0 ? "+Inf" : "-Inf";
        g_string_append_printf(text, " %s\n",
                               isnan(metric->number) ? "NaN" : sign);
        return;
    }
    char number[G_ASCII_DTOSTR_BUF_SIZE];
    g_ascii_formatd(number, sizeof(number), "%.15g", metric->number);
    g_string_append_printf(text, " %s\n", number);
}

/* Appends {label="value",le="bound"}; a NULL bound is left out. */
static void
append_labels(const struct family *family, const struct metric *metric,
              const char *bound, GString *text)
{
    if (family->label == NULL && bound == NULL) {
        return;
    }
    g_string_append_c(text, '{');
    if (family->label != NULL) {
        g_string_append_printf(text, "%s=\"", family->label);
        append_escaped(text, metric->label_value, true);
        g_string_append_c(text, '"');
    }
    if (bound != NULL) {
        g_string_append_printf(text, "%sle=\"%s\"",
                               family->label != NULL ? "," : "", bound);
    }
    g_string_append_c(text, '}');
}

static void
format_histogram(const struct family *family, const struct metric *metric,
                 GString *text)
{
    double cumulative = 0;
    for (size_t i = 0; i < BUCKET_COUNT; i++) {
        char bound[G_ASCII_DTOSTR_BUF_SIZE] = "+Inf";
        if (i + 1 < BUCKET_COUNT) {
            g_ascii_formatd(bound, sizeof(bound), "%g", bucket_bounds[i + 1]);
        }
        cumulative += gsl_histogram_get(metric->histogram, i);
        g_string_append_printf(text, "%s_bucket", family->name);
        append_labels(family, metric, bound, text);
        g_string_append_printf(text, " %.0f\n", cumulative);
    }
    char number[G_ASCII_DTOSTR_BUF_SIZE];
    g_ascii_formatd(number, sizeof(number), "%.15g", metric->number);
    g_string_append_printf(text, "%s_sum", family->name);
    append_labels(family, metric, NULL, text);
    g_string_append_printf(text, " %s\n%s_count", number, family->name);
    append_labels(family, metric, NULL, text);
    g_string_append_printf(text, " %" PRIu64 "\n", metric->count);
}

static void
format_family(const struct sas_metrics *metrics, int index, GString *text)
{
    static const char *const types[] = {"counter", "gauge", "histogram"};
    const struct family *family =
        &g_array_index(metrics->families, struct family, index);
    g_string_append_printf(text, "# HELP %s ", family->name);
    append_escaped(text, family->help, false);
    g_string_append_printf(text, "\n# TYPE %s %s\n", family->name,
                           types[family->kind]);
    g_array_sort_with_data(family->metrics, compare_metrics,
                           (gpointer)metrics);
    for (guint i = 0; i < family->metrics->len; i++) {
        int handle = g_array_index(family->metrics, int, i);
        const struct metric *metric =
            &g_array_index(metrics->metrics, struct metric, handle);
        if (family->kind == HISTOGRAM) {
            format_histogram(family, metric, text);
            continue;
        }
        g_string_append(text, family->name);
        append_labels(family, metric, NULL, text);
        format_number(metrics, handle, text);
    }
}
