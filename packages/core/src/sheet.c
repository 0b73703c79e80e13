#include "sas/sheet.h"

#include <csv.h>
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define COLUMN_COUNT 8
#define FIELD_SIZE 128
#define DAY_MS INT64_C(86400000)
#define SUM_TOLERANCE 1e-9 /* for rounding in a sum of shares */
#define DIGITS "0123456789"
#define BYTE_ORDER_MARK "\xef\xbb\xbf"
#define RFC3339                                                               \
    "^\\d{4}-\\d\\d-\\d\\d[Tt ]\\d\\d:\\d\\d:\\d\\d(\\.\\d{1,9})?"            \
    "([Zz]|[+-]\\d\\d:\\d\\d)$"
#define CLOCK_TIME "^([01]\\d|2[0-3]):[0-5]\\d(:[0-5]\\d)?$"

enum column {
    COLUMN_TIME,
    COLUMN_SERVICE,
    COLUMN_FROM,
    COLUMN_TO,
    COLUMN_SHARE,
    COLUMN_CAP,
    COLUMN_DRAIN,
    COLUMN_LIMITS
};

static const char *const column_names[COLUMN_COUNT] = {
    "time", "service", "from", "to", "share", "cap", "drain", "limits"};

static const char *const unit_names[] = {"", "req/s", "Mbit/s", "concurrent"};

struct parser {
    const struct sas_model *model;
    int64_t now_ms;
    int64_t utc_offset_s;
    struct sas_sheet_error *error;
    bool failed;
    int row;
    int column;
    char fields[COLUMN_COUNT][FIELD_SIZE];
    GArray *rows; /* of struct sas_sheet_row */
};

static void on_field(void *text, size_t size, void *data);
static void on_row(int end, void *data);
static int parse_row(struct parser *parser);
static int compare_times(const void *left, const void *right, void *data);
static int check_shares(const struct sas_sheet *sheet,
                        const struct sas_model *model,
                        struct sas_sheet_error *error);
static int check_drains(const struct sas_sheet *sheet,
                        const struct sas_model *model,
                        struct sas_sheet_error *error);
static int fail(struct sas_sheet_error *error, int row, const char *column,
                const char *format, ...) __attribute__((format(printf, 4, 5)));

/* Parsing. */

static int
check_text(const char *text, size_t size, struct sas_sheet_error *error)
{
    if (size > SasSheet_MAX_BYTES) {
        return fail(error, 0, "", "the sheet is larger than %d bytes",
                    SasSheet_MAX_BYTES);
    }
    const char *end = NULL;
    if (!g_utf8_validate_len(text, size, &end)) {
        int row = 1;
        for (const char *p = text; p < end; p++) {
            row += *p == '\n';
        }
        return fail(error, row, "", "not UTF-8 text");
    }
    return 0;
}

static int
read_rows(struct parser *parser, const char *text, size_t size)
{
    struct csv_parser csv;
    if (csv_init(&csv, CSV_STRICT | CSV_STRICT_FINI) != 0) {
        return fail(parser->error, 0, "", "out of memory");
    }
    size_t done = csv_parse(&csv, text, size, on_field, on_row, parser);
    int rc = done < size ? -1 : csv_fini(&csv, on_field, on_row, parser);
    if (rc != 0 && !parser->failed) {
        fail(parser->error, parser->row + 1, "", "not CSV: %s",
             csv_strerror(csv_error(&csv)));
    }
    csv_free(&csv);
    return rc != 0 || parser->failed ? -1 : 0;
}

int
SasSheet_Parse(struct sas_sheet *sheet, const struct sas_model *model,
               const char *text, size_t size, int64_t now_ms,
               int64_t utc_offset_s, struct sas_sheet_error *error)
{
    memset(sheet, 0, sizeof(*sheet));
    memset(error, 0, sizeof(*error));
    if (check_text(text, size, error) < 0) {
        return -1;
    }
    size_t mark_size = strlen(BYTE_ORDER_MARK);
    if (size >= mark_size && memcmp(text, BYTE_ORDER_MARK, mark_size) == 0) {
        text += mark_size;
        size -= mark_size;
    }
    struct parser parser = {.model = model,
                            .now_ms = now_ms,
                            .utc_offset_s = utc_offset_s,
                            .error = error};
    parser.rows = g_array_new(FALSE, TRUE, sizeof(struct sas_sheet_row));
    int rc = read_rows(&parser, text, size);
    if (rc == 0 && parser.row == 0) {
        rc = fail(error, 1, "time", "the header is missing");
    }
    sheet->row_count = (int)parser.rows->len;
    sheet->rows = (struct sas_sheet_row *)(void *)g_array_free(
        parser.rows, parser.rows->len == 0);
    if (rc == 0 && sheet->row_count > 0) {
        g_qsort_with_data(sheet->rows, sheet->row_count,
                          sizeof(sheet->rows[0]), compare_times, NULL);
        rc = SasSheet_Check(sheet, model, error);
    }
    if (rc < 0) {
        SasSheet_Free(sheet);
    }
    return rc;
}

void
SasSheet_Free(struct sas_sheet *sheet)
{
    g_free(sheet->rows);
    memset(sheet, 0, sizeof(*sheet));
}

/* Checks. */

int
SasSheet_Check(const struct sas_sheet *sheet, const struct sas_model *model,
               struct sas_sheet_error *error)
{
    for (int i = 1; i < sheet->row_count; i++) {
        if (sheet->rows[i].at_ms < sheet->rows[i - 1].at_ms) {
            return fail(error, sheet->rows[i].row, "time", "not sorted");
        }
    }
    if (check_shares(sheet, model, error) < 0) {
        return -1;
    }
    return check_drains(sheet, model, error);
}

/* Unit names and rounding. */

const char *
SasSheet_GetUnitName(enum sas_cap_unit unit)
{
    return unit_names[unit];
}

int
SasSheet_FindUnit(const char *name)
{
    for (int i = 0; i < (int)G_N_ELEMENTS(unit_names); i++) {
        if (strcmp(unit_names[i], name) == 0) {
            return i;
        }
    }
    return -1;
}

double
SasSheet_RoundShare(double share)
{
    return round(share * 1e6) / 1e6;
}

double
SasSheet_RoundCap(double cap)
{
    return round(cap * 1e3) / 1e3;
}

/* Errors, and the callbacks of libcsv for fields and rows. */

static int
fail(struct sas_sheet_error *error, int row, const char *column,
     const char *format, ...)
{
    error->row = row;
    g_strlcpy(error->column, column, sizeof(error->column));
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(error->reason, sizeof(error->reason), format, arguments);
    va_end(arguments);
    return -1;
}

static int
fail_at(struct parser *parser, enum column column, const char *reason)
{
    return fail(parser->error, parser->row, column_names[column], "%s",
                reason);
}

static int
fail_name(struct parser *parser, enum column column, const char *what)
{
    return fail(parser->error, parser->row, column_names[column],
                "no such %s: '%.64s'", what, parser->fields[column]);
}

static void
on_field(void *text, size_t size, void *data)
{
    struct parser *parser = data;
    int column = parser->column++;
    if (parser->failed || column >= COLUMN_COUNT) {
        return;
    }
    if (size >= FIELD_SIZE) {
        fail(parser->error, parser->row + 1, column_names[column],
             "longer than %d bytes", FIELD_SIZE - 1);
        parser->failed = true;
        return;
    }
    memcpy(parser->fields[column], text, size);
    parser->fields[column][size] = '\0';
}

static int
check_header(struct parser *parser)
{
    for (int i = 0; i < COLUMN_COUNT; i++) {
        if (strcmp(parser->fields[i], column_names[i]) != 0) {
            return fail_at(parser, i, "unexpected column name in the header");
        }
    }
    return 0;
}

static bool
is_blank(const struct parser *parser)
{
    for (int i = 0; i < COLUMN_COUNT; i++) {
        if (parser->fields[i][0] != '\0') {
            return false;
        }
    }
    return true;
}

static int
read_row(struct parser *parser, int columns)
{
    if (columns != COLUMN_COUNT) {
        int last = MIN(columns, COLUMN_COUNT - 1);
        return fail(parser->error, parser->row, column_names[last],
                    "%d columns, expected %d", columns, COLUMN_COUNT);
    }
    if (parser->row == 1) {
        return check_header(parser);
    }
    if (is_blank(parser)) {
        return 0;
    }
    if (parser->rows->len >= SasSheet_MAX_ROWS) {
        return fail(parser->error, parser->row, "", "more than %d rows",
                    SasSheet_MAX_ROWS);
    }
    return parse_row(parser);
}

static void
on_row(int end, void *data)
{
    (void)end;
    struct parser *parser = data;
    int columns = parser->column;
    parser->column = 0;
    if (parser->failed) {
        return;
    }
    parser->row++;
    parser->failed = read_row(parser, columns) < 0;
}

/* Values of single fields. Parsers return 0, or -1 for malformed text. */

/* Parses an unsigned decimal number of at most 12 digits before the point and
 * `decimals` after it; no exponent, infinity or hexadecimal. *rest is the text
 * after it. */
static int
parse_decimal(const char *text, size_t decimals, double *value,
              const char **rest)
{
    size_t digits = strspn(text, DIGITS);
    size_t length = digits;
    if (digits == 0 || digits > 12) {
        return -1;
    }
    if (text[digits] == '.') {
        size_t fraction = strspn(text + digits + 1, DIGITS);
        if (fraction == 0 || fraction > decimals) {
            return -1;
        }
        length += 1 + fraction;
    }
    *value = g_ascii_strtod(text, NULL);
    *rest = text + length;
    return 0;
}

static int
parse_seconds(const char *text, int64_t *ms)
{
    double seconds;
    const char *rest;
    if (parse_decimal(text, 0, &seconds, &rest) < 0 || *rest != '\0' ||
        seconds > SasSheet_MAX_SECONDS) {
        return -1;
    }
    *ms = (int64_t)seconds * 1000;
    return 0;
}

static int
parse_percent(const char *text, double *share)
{
    double percent;
    const char *rest;
    if (parse_decimal(text, 4, &percent, &rest) < 0 ||
        strcmp(rest, "%") != 0 || percent > 100) {
        return -1;
    }
    *share = SasSheet_RoundShare(percent / 100);
    return 0;
}

static int64_t
parse_clock(const char *text, int64_t now_ms, int64_t utc_offset_s)
{
    int64_t offset_ms = utc_offset_s * 1000;
    int64_t local_ms = now_ms + offset_ms;
    int64_t time_of_day_ms = ((local_ms % DAY_MS) + DAY_MS) % DAY_MS;
    int64_t hours = g_ascii_strtoll(text, NULL, 10);
    int64_t minutes = g_ascii_strtoll(text + 3, NULL, 10);
    int64_t seconds = text[5] ? g_ascii_strtoll(text + 6, NULL, 10) : 0;
    int64_t wanted_ms = ((hours * 60 + minutes) * 60 + seconds) * 1000;
    return now_ms - time_of_day_ms + wanted_ms;
}

static int
parse_time(const struct parser *parser, int64_t *at_ms)
{
    const char *text = parser->fields[COLUMN_TIME];
    if (text[0] == '+') {
        int64_t delay_ms;
        if (parse_seconds(text + 1, &delay_ms) < 0) {
            return -1;
        }
        *at_ms = parser->now_ms + delay_ms;
        return 0;
    }
    if (g_regex_match_simple(CLOCK_TIME, text, 0, 0)) {
        *at_ms = parse_clock(text, parser->now_ms, parser->utc_offset_s);
        return *at_ms < 0 ? -1 : 0;
    }
    if (!g_regex_match_simple(RFC3339, text, 0, 0)) {
        return -1;
    }
    g_autoptr(GDateTime) time = g_date_time_new_from_iso8601(text, NULL);
    if (time == NULL) {
        return -1;
    }
    *at_ms = g_date_time_to_unix(time) * 1000 +
             (g_date_time_get_microsecond(time) + 500) / 1000;
    return *at_ms < 0 || *at_ms > SasSheet_MAX_AT_MS ? -1 : 0;
}

static int
parse_cap(struct parser *parser, struct sas_sheet_row *row)
{
    const char *text = parser->fields[COLUMN_CAP];
    const char *unit;
    if (text[0] == '\0') {
        return 0;
    }
    if (parse_decimal(text, 3, &row->cap, &unit) < 0 || row->cap <= 0 ||
        row->cap > SasSheet_MAX_CAP) {
        return fail_at(parser, COLUMN_CAP,
                       "not a number above 0 and up to 1000000000");
    }
    row->cap = SasSheet_RoundCap(row->cap);
    unit += strspn(unit, " ");
    int found = SasSheet_FindUnit(unit);
    if (found <= SAS_CAP_NONE) {
        return fail_at(parser, COLUMN_CAP,
                       "the unit is not req/s, Mbit/s or concurrent");
    }
    row->cap_unit = found;
    return 0;
}

static int
parse_limit(struct parser *parser, struct sas_sheet_row *row, char *text,
            unsigned *seen)
{
    static const char *const keys[] = {"ramp", "headroom", "warm"};
    char *value = strchr(text, '=');
    int key = 0;
    if (value != NULL) {
        *value++ = '\0';
    }
    const char *name = g_strstrip(text);
    while (key < 3 && strcmp(name, keys[key]) != 0) {
        key++;
    }
    if (key == 3 || value == NULL) {
        return fail_at(parser, COLUMN_LIMITS,
                       "not ramp=, headroom= or warm=, separated by ';'");
    }
    if (*seen & (1u << key)) {
        return fail_at(parser, COLUMN_LIMITS, "a limit is given twice");
    }
    *seen |= 1u << key;
    value = g_strstrip(value);
    if (key == 1) {
        if (parse_percent(value, &row->headroom) < 0) {
            return fail_at(parser, COLUMN_LIMITS, "headroom is not 0 to 100%");
        }
        return 0;
    }
    if (parse_seconds(value, key == 0 ? &row->ramp_ms : &row->warm_ms) < 0) {
        return fail_at(parser, COLUMN_LIMITS,
                       "ramp and warm are whole seconds, at most a week");
    }
    return 0;
}

static int
parse_limits(struct parser *parser, struct sas_sheet_row *row)
{
    if (parser->fields[COLUMN_LIMITS][0] == '\0') {
        return 0;
    }
    g_auto(GStrv) parts = g_strsplit(parser->fields[COLUMN_LIMITS], ";", 0);
    unsigned seen = 0;
    for (int i = 0; parts[i] != NULL; i++) {
        if (parse_limit(parser, row, parts[i], &seen) < 0) {
            return -1;
        }
    }
    return 0;
}

/* Drain and shift rows. */

static int
parse_drain(struct parser *parser, struct sas_sheet_row *row)
{
    for (int i = COLUMN_SERVICE; i <= COLUMN_CAP; i++) {
        if (parser->fields[i][0] != '\0') {
            return fail_at(parser, i, "must be empty in a drain row");
        }
    }
    const char *name = parser->fields[COLUMN_DRAIN];
    int backend = SasModel_FindBackend(parser->model, name);
    int vm = SasModel_FindVm(parser->model, name);
    if (backend == SasModel_NONE && vm == SasModel_NONE) {
        return fail_name(parser, COLUMN_DRAIN, "backend server or entry VM");
    }
    if (backend != SasModel_NONE && vm != SasModel_NONE) {
        return fail_at(parser, COLUMN_DRAIN,
                       "names both a backend server and an entry VM");
    }
    row->drain_kind =
        backend != SasModel_NONE ? SAS_DRAIN_BACKEND : SAS_DRAIN_VM;
    row->drain_target = backend != SasModel_NONE ? backend : vm;
    return 0;
}

static int
parse_shift(struct parser *parser, struct sas_sheet_row *row)
{
    const struct sas_model *model = parser->model;
    row->service = SasModel_FindService(model, parser->fields[COLUMN_SERVICE]);
    if (row->service == SasModel_NONE) {
        return fail_name(parser, COLUMN_SERVICE, "service");
    }
    row->from = SasModel_FindRegion(model, parser->fields[COLUMN_FROM]);
    if (row->from == SasModel_NONE) {
        return fail_name(parser, COLUMN_FROM, "region");
    }
    row->to = SasModel_FindRegion(model, parser->fields[COLUMN_TO]);
    if (row->to == SasModel_NONE) {
        return fail_name(parser, COLUMN_TO, "region");
    }
    if (row->to == row->from) {
        return fail_at(parser, COLUMN_TO, "the same region as from");
    }
    if (parse_percent(parser->fields[COLUMN_SHARE], &row->share) < 0) {
        return fail_at(parser, COLUMN_SHARE,
                       "not 0% to 100% with at most 4 decimals");
    }
    return parse_cap(parser, row);
}

static int
parse_row(struct parser *parser)
{
    struct sas_sheet_row row = {.service = SasModel_NONE,
                                .from = SasModel_NONE,
                                .to = SasModel_NONE,
                                .drain_target = SasModel_NONE,
                                .row = parser->row};
    if (parse_time(parser, &row.at_ms) < 0) {
        return fail_at(parser, COLUMN_TIME,
                       "not HH:MM, HH:MM:SS, RFC 3339 or +SECONDS");
    }
    int rc = parser->fields[COLUMN_DRAIN][0] != '\0'
                 ? parse_drain(parser, &row)
                 : parse_shift(parser, &row);
    if (rc < 0 || parse_limits(parser, &row) < 0) {
        return -1;
    }
    g_array_append_val(parser->rows, row);
    return 0;
}

/* Rules over several rows. */

static int
compare_times(const void *left, const void *right, void *data)
{
    (void)data;
    const struct sas_sheet_row *a = left;
    const struct sas_sheet_row *b = right;
    return (a->at_ms > b->at_ms) - (a->at_ms < b->at_ms);
}

/* Sum of the shares shifted away from the row's (service, from). */
static double
sum_shares(const double *shares, const struct sas_model *model,
           const struct sas_sheet_row *row)
{
    int regions = model->region_count;
    const double *first =
        shares + (row->service * regions + row->from) * (ptrdiff_t)regions;
    double sum = 0;
    for (int to = 0; to < regions; to++) {
        sum += first[to];
    }
    return sum;
}

/* Rows of the same time take effect together, so the sum is checked only after
 * the last of them: "20% to A, 80% to B" may replace "80% to A, 20% to B" in
 * either order of rows. */
static int
check_shares(const struct sas_sheet *sheet, const struct sas_model *model,
             struct sas_sheet_error *error)
{
    int regions = model->region_count;
    g_autofree double *shares =
        g_new0(double, (size_t)model->service_count *regions *regions);
    int next = 0;
    for (int first = 0; first < sheet->row_count; first = next) {
        int64_t at_ms = sheet->rows[first].at_ms;
        for (next = first;
             next < sheet->row_count && sheet->rows[next].at_ms == at_ms;
             next++) {
            const struct sas_sheet_row *row = &sheet->rows[next];
            if (row->drain_kind == SAS_DRAIN_NONE) {
                shares[(row->service * regions + row->from) * regions +
                       row->to] = row->share;
            }
        }
        for (int i = next - 1; i >= first; i--) {
            const struct sas_sheet_row *row = &sheet->rows[i];
            if (row->drain_kind == SAS_DRAIN_NONE &&
                sum_shares(shares, model, row) > 1 + SUM_TOLERANCE) {
                return fail(error, row->row, "share",
                            "the shares of %s from %s sum to over 100%%",
                            model->services[row->service].name,
                            model->regions[row->from].name);
            }
        }
    }
    return 0;
}

static int
check_drains(const struct sas_sheet *sheet, const struct sas_model *model,
             struct sas_sheet_error *error)
{
    g_autofree bool *drained_backends = g_new0(bool, model->backend_count + 1);
    g_autofree bool *drained_vms = g_new0(bool, model->vm_count + 1);
    g_autofree int *servers_left = g_new0(int, model->service_count + 1);
    int vms_left = model->vm_count;
    /* A server without execution slots does not exist any more or is not known
     * yet: its row only resolves a name in a stored sheet. */
    for (int i = 0; i < model->backend_count; i++) {
        servers_left[model->backends[i].service] +=
            model->backends[i].slots > 0;
    }
    for (int i = 0; i < sheet->row_count; i++) {
        const struct sas_sheet_row *row = &sheet->rows[i];
        int target = row->drain_target;
        if (row->drain_kind == SAS_DRAIN_BACKEND &&
            !drained_backends[target]) {
            drained_backends[target] = true;
            int service = model->backends[target].service;
            if (model->backends[target].slots > 0 &&
                --servers_left[service] == 0) {
                return fail(error, row->row, "drain",
                            "leaves %s without any backend server",
                            model->services[service].name);
            }
        }
        if (row->drain_kind == SAS_DRAIN_VM && !drained_vms[target]) {
            drained_vms[target] = true;
            if (--vms_left == 0) {
                return fail(error, row->row, "drain", "leaves no entry VM");
            }
        }
    }
    return 0;
}
