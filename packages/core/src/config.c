#include "sas/config.h"

#include <csv.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define STEP "config.decode"
#define DELTA_STEP "config.delta"
#define DIGEST_SIZE 17 /* 16 hex digits and the NUL */
#define WRITE_FLAGS (JSON_COMPACT | JSON_REAL_PRECISION(15))
#define READ_FLAGS JSON_REJECT_DUPLICATES

static json_t *encode_row(const struct sas_sheet_row *row,
                          const struct sas_model *model);
static json_t *encode_rows(const struct sas_config *config,
                           const struct sas_model *model);
static int decode_row(json_t *json, const struct sas_model *model,
                      struct sas_sheet_row *row, struct sas_error *error);
static struct sas_config *decode_config(json_t *json,
                                        const struct sas_model *model,
                                        struct sas_error *error);
static json_t *parse_json(const char *text, size_t size, const char *step,
                          struct sas_error *error);
static json_t *split_lines(const char *text);
static json_t *diff(json_t *base, json_t *target);
static json_t *patch(json_t *base, json_t *edits, size_t limit);
static json_t *patch_text(const char *base, json_t *edits);
static void format_digest(char *out, uint64_t digest);

/* Creation and references. */

static bool
is_name(const char *text)
{
    size_t size = strlen(text);
    return size < SasConfig_NAME_SIZE && g_utf8_validate(text, -1, NULL);
}

struct sas_config *
SasConfig_New(int64_t version, const char *operation,
              const char *operator_name, int64_t accepted_ms,
              struct sas_sheet *sheet, const char *sheet_text,
              struct sas_error *error)
{
    if (version < 1 || version > SasConfig_MAX_VERSION || accepted_ms < 0 ||
        accepted_ms > SasSheet_MAX_AT_MS) {
        SasError_Set(error, SAS_EINVAL, STEP, "",
                     "version %" PRId64 " or its time is out of range",
                     version);
        return NULL;
    }
    if (operation[0] == '\0' || !is_name(operation) ||
        !is_name(operator_name) || strlen(sheet_text) > SasSheet_MAX_BYTES ||
        !g_utf8_validate(sheet_text, -1, NULL)) {
        SasError_Set(error, SAS_EINVAL, STEP, "",
                     "operation is empty, or operation, operator or sheet "
                     "text is too long or not UTF-8");
        return NULL;
    }
    struct sas_config *config = g_atomic_rc_box_new0(struct sas_config);
    config->version = version;
    g_strlcpy(config->operation, operation, SasConfig_NAME_SIZE);
    g_strlcpy(config->operator_name, operator_name, SasConfig_NAME_SIZE);
    config->accepted_ms = accepted_ms;
    config->sheet = *sheet;
    config->sheet_text = g_strdup(sheet_text);
    memset(sheet, 0, sizeof(*sheet));
    return config;
}

struct sas_config *
SasConfig_Ref(struct sas_config *config)
{
    return g_atomic_rc_box_acquire(config);
}

static void
clear_config(void *data)
{
    struct sas_config *config = data;
    SasSheet_Free(&config->sheet);
    g_free(config->sheet_text);
}

void
SasConfig_Unref(struct sas_config *config)
{
    if (config != NULL) {
        g_atomic_rc_box_release_full(config, clear_config);
    }
}

/* Fills *sheet with base's rows and one more, after those of the same time. */
static void
insert_row(struct sas_sheet *sheet, const struct sas_sheet *base,
           const struct sas_sheet_row *row)
{
    int next = 0;
    sheet->row_count = base->row_count + 1;
    sheet->rows = g_new(struct sas_sheet_row, sheet->row_count);
    for (int i = 0; i < base->row_count; i++) {
        if (next == i && base->rows[i].at_ms > row->at_ms) {
            sheet->rows[next++] = *row;
        }
        sheet->rows[next++] = base->rows[i];
    }
    if (next == base->row_count) {
        sheet->rows[next] = *row;
    }
}

static char *
make_drain_line(const char *target, int64_t now_ms)
{
    g_autoptr(GDateTime) second = g_date_time_new_from_unix_utc(now_ms / 1000);
    g_autofree char *time = g_date_time_format(second, "%Y-%m-%dT%H:%M:%S");
    size_t size = 2 * strlen(target) + 2;
    g_autofree char *quoted = g_new0(char, size + 1);
    csv_write(quoted, size, target, strlen(target));
    return g_strdup_printf("%s.%03dZ,,,,,,%s,\n", time, (int)(now_ms % 1000),
                           quoted);
}

/* Returns base's sheet text (NULL: just the header) with one more line. */
static char *
append_line(const struct sas_config *base, const char *line)
{
    const char *text = base != NULL ? base->sheet_text : SasSheet_HEADER;
    const char *end = g_str_has_suffix(text, "\n") ? "" : "\n";
    return g_strconcat(text, end, line, NULL);
}

struct sas_config *
SasConfig_AddDrain(const struct sas_config *base,
                   const struct sas_model *model, const char *target,
                   int64_t version, const char *operation,
                   const char *operator_name, int64_t now_ms,
                   struct sas_error *error)
{
    struct sas_sheet none = {0};
    struct sas_sheet single = {0};
    struct sas_sheet sheet = {0};
    struct sas_sheet_error reason = {0};
    struct sas_config *config = NULL;
    g_autofree char *line = make_drain_line(target, now_ms);
    g_autofree char *single_text = append_line(NULL, line);
    g_autofree char *text = append_line(base, line);
    int rc = SasSheet_Parse(&single, model, single_text, strlen(single_text),
                            now_ms, 0, &reason);
    if (rc == 0) {
        insert_row(&sheet, base != NULL ? &base->sheet : &none, single.rows);
        rc = SasSheet_Check(&sheet, model, &reason);
    }
    if (rc == 0 && sheet.row_count > SasSheet_MAX_ROWS) {
        g_strlcpy(reason.reason, "too many rows", sizeof(reason.reason));
        rc = -1;
    }
    if (rc < 0) {
        SasError_Set(error, SAS_EINVAL, "config.drain", target, "%s",
                     reason.reason);
    }
    else {
        config = SasConfig_New(version, operation, operator_name, now_ms,
                               &sheet, text, error);
    }
    SasSheet_Free(&single);
    SasSheet_Free(&sheet);
    return config;
}

/* Adoption. */

bool
SasConfig_MayReplace(int64_t current, int64_t offered)
{
    return offered > current;
}

/* Full encoding. */

static json_t *
encode_head(const struct sas_config *config)
{
    return json_pack("{s:I,s:s,s:s,s:I}", "version",
                     (json_int_t)config->version, "operation",
                     config->operation, "operator", config->operator_name,
                     "accepted_ms", (json_int_t)config->accepted_ms);
}

char *
SasConfig_Encode(const struct sas_config *config,
                 const struct sas_model *model)
{
    json_auto_t *json = encode_head(config);
    json_object_set_new(json, "rows", encode_rows(config, model));
    json_object_set_new(json, "sheet", json_string(config->sheet_text));
    return json_dumps(json, WRITE_FLAGS);
}

struct sas_config *
SasConfig_Decode(const struct sas_model *model, const char *text, size_t size,
                 struct sas_error *error)
{
    json_auto_t *json = parse_json(text, size, STEP, error);
    return json == NULL ? NULL : decode_config(json, model, error);
}

uint64_t
SasConfig_GetDigest(const struct sas_config *config,
                    const struct sas_model *model)
{
    char *text = SasConfig_Encode(config, model);
    uint64_t digest = XXH3_64bits(text, strlen(text));
    free(text);
    return digest;
}

/* Deltas. A delta has a list of edits for the rows and one for the lines of
 * the sheet text. An edit is either a range [first, count] that is copied from
 * the base, or a new row or line. */

char *
SasConfig_EncodeDelta(const struct sas_config *base,
                      const struct sas_config *config,
                      const struct sas_model *model)
{
    char base_digest[DIGEST_SIZE];
    char digest[DIGEST_SIZE];
    format_digest(base_digest, SasConfig_GetDigest(base, model));
    format_digest(digest, SasConfig_GetDigest(config, model));
    json_auto_t *old_rows = encode_rows(base, model);
    json_auto_t *new_rows = encode_rows(config, model);
    json_auto_t *old_lines = split_lines(base->sheet_text);
    json_auto_t *new_lines = split_lines(config->sheet_text);
    json_auto_t *json = encode_head(config);
    json_object_set_new(json, "base", json_integer(base->version));
    json_object_set_new(json, "base_digest", json_string(base_digest));
    json_object_set_new(json, "digest", json_string(digest));
    json_object_set_new(json, "rows", diff(old_rows, new_rows));
    json_object_set_new(json, "sheet", diff(old_lines, new_lines));
    return json_dumps(json, WRITE_FLAGS);
}

/* Checks that the delta is made from this base and removes its base fields
 * from the JSON, which leaves the header fields, the digest and the edits. */
static int
check_base(json_t *json, const struct sas_config *base,
           const struct sas_model *model, struct sas_error *error)
{
    json_int_t version = 0;
    const char *base_digest = NULL;
    char actual[DIGEST_SIZE];
    if (json_unpack(json, "{s:I,s:s}", "base", &version, "base_digest",
                    &base_digest) < 0) {
        SasError_Set(error, SAS_EINVAL, DELTA_STEP, "",
                     "the delta names no base");
        return -1;
    }
    format_digest(actual, SasConfig_GetDigest(base, model));
    if (version != base->version || strcmp(base_digest, actual) != 0) {
        SasError_Set(error, SAS_ECONFLICT, DELTA_STEP, "",
                     "base mismatch (version or digest): delta from version "
                     "%" PRId64 ", applied to version %" PRId64,
                     (int64_t)version, base->version);
        return -1;
    }
    json_object_del(json, "base");
    json_object_del(json, "base_digest");
    return 0;
}

/* Replaces the edits in the JSON by the rows and the sheet text that they
 * produce from the base. */
static int
expand_edits(json_t *json, const struct sas_config *base,
             const struct sas_model *model, struct sas_error *error)
{
    json_auto_t *old_rows = encode_rows(base, model);
    json_t *rows =
        patch(old_rows, json_object_get(json, "rows"), SasSheet_MAX_ROWS);
    json_t *text =
        patch_text(base->sheet_text, json_object_get(json, "sheet"));
    bool whole = rows != NULL && text != NULL;
    json_object_set_new(json, "rows", rows);
    json_object_set_new(json, "sheet", text);
    json_object_del(json, "digest");
    if (!whole) {
        SasError_Set(error, SAS_EINVAL, DELTA_STEP, "",
                     "an edit of rows or sheet is malformed or out of range");
    }
    return whole ? 0 : -1;
}

struct sas_config *
SasConfig_ApplyDelta(const struct sas_config *base,
                     const struct sas_model *model, const char *text,
                     size_t size, struct sas_error *error)
{
    json_auto_t *json = parse_json(text, size, DELTA_STEP, error);
    if (json == NULL || check_base(json, base, model, error) < 0) {
        return NULL;
    }
    const char *stated = json_string_value(json_object_get(json, "digest"));
    g_autofree char *expected = g_strdup(stated ? stated : "");
    if (expand_edits(json, base, model, error) < 0) {
        return NULL;
    }
    struct sas_config *config = decode_config(json, model, error);
    if (config == NULL) {
        return NULL;
    }
    char actual[DIGEST_SIZE];
    format_digest(actual, SasConfig_GetDigest(config, model));
    if (strcmp(expected, actual) != 0) {
        SasError_Set(error, SAS_EINVAL, DELTA_STEP, "",
                     "the result's digest differs from the delta's");
        SasConfig_Unref(config);
        return NULL;
    }
    return config;
}

/* Encoding and decoding of rows. */

static const char *
get_drain_name(const struct sas_sheet_row *row, const struct sas_model *model)
{
    switch (row->drain_kind) {
    case SAS_DRAIN_BACKEND:
        return model->backends[row->drain_target].name;
    case SAS_DRAIN_VM:
        return model->vms[row->drain_target].name;
    case SAS_DRAIN_NONE:
        break;
    }
    return "";
}

static json_t *
encode_row(const struct sas_sheet_row *row, const struct sas_model *model)
{
    bool shift = row->drain_kind == SAS_DRAIN_NONE;
    return json_pack(
        "{s:I,s:s,s:s,s:s,s:f,s:f,s:s,s:I,s:f,s:I,s:s}", "at_ms",
        (json_int_t)row->at_ms, "service",
        shift ? model->services[row->service].name : "", "from",
        shift ? model->regions[row->from].name : "", "to",
        shift ? model->regions[row->to].name : "", "share", row->share, "cap",
        row->cap, "cap_unit", SasSheet_GetUnitName(row->cap_unit), "ramp_s",
        (json_int_t)(row->ramp_ms / 1000), "headroom", row->headroom, "warm_s",
        (json_int_t)(row->warm_ms / 1000), "drain",
        get_drain_name(row, model));
}

static json_t *
encode_rows(const struct sas_config *config, const struct sas_model *model)
{
    json_t *rows = json_array();
    for (int i = 0; i < config->sheet.row_count; i++) {
        json_array_append_new(rows, encode_row(&config->sheet.rows[i], model));
    }
    return rows;
}

/* A row's names, not yet resolved against the model. */
struct row_names {
    const char *service;
    const char *from;
    const char *to;
    const char *unit;
    const char *drain;
};

static int
unpack_row(json_t *json, struct sas_sheet_row *row, struct row_names *names)
{
    json_int_t at_ms = 0;
    json_int_t ramp_s = 0;
    json_int_t warm_s = 0;
    if (json_unpack(json, "{s:I,s:s,s:s,s:s,s:F,s:F,s:s,s:I,s:F,s:I,s:s!}",
                    "at_ms", &at_ms, "service", &names->service, "from",
                    &names->from, "to", &names->to, "share", &row->share,
                    "cap", &row->cap, "cap_unit", &names->unit, "ramp_s",
                    &ramp_s, "headroom", &row->headroom, "warm_s", &warm_s,
                    "drain", &names->drain) < 0) {
        return -1;
    }
    if (at_ms < 0 || at_ms > SasSheet_MAX_AT_MS || ramp_s < 0 ||
        ramp_s > SasSheet_MAX_SECONDS || warm_s < 0 ||
        warm_s > SasSheet_MAX_SECONDS) {
        return -1;
    }
    row->at_ms = at_ms;
    row->ramp_ms = ramp_s * 1000;
    row->warm_ms = warm_s * 1000;
    return 0;
}

/* Checks and rounds share, headroom and cap. A cap needs a unit and a unit
 * needs a cap. */
static int
check_numbers(struct sas_sheet_row *row)
{
    if (!(row->share >= 0 && row->share <= 1) ||
        !(row->headroom >= 0 && row->headroom <= 1) ||
        !(row->cap >= 0 && row->cap <= SasSheet_MAX_CAP)) {
        return -1;
    }
    row->share = SasSheet_RoundShare(row->share);
    row->headroom = SasSheet_RoundShare(row->headroom);
    row->cap = SasSheet_RoundCap(row->cap);
    return (row->cap > 0) == (row->cap_unit != SAS_CAP_NONE) ? 0 : -1;
}

static int
resolve_drain(struct sas_sheet_row *row, const struct row_names *names,
              const struct sas_model *model)
{
    int backend = SasModel_FindBackend(model, names->drain);
    int vm = SasModel_FindVm(model, names->drain);
    if ((backend == SasModel_NONE) == (vm == SasModel_NONE) ||
        names->service[0] || names->from[0] || names->to[0] ||
        row->share != 0 || row->cap != 0) {
        return -1;
    }
    row->service = SasModel_NONE;
    row->from = SasModel_NONE;
    row->to = SasModel_NONE;
    row->drain_kind =
        backend != SasModel_NONE ? SAS_DRAIN_BACKEND : SAS_DRAIN_VM;
    row->drain_target = backend != SasModel_NONE ? backend : vm;
    return 0;
}

static int
resolve_shift(struct sas_sheet_row *row, const struct row_names *names,
              const struct sas_model *model)
{
    row->service = SasModel_FindService(model, names->service);
    row->from = SasModel_FindRegion(model, names->from);
    row->to = SasModel_FindRegion(model, names->to);
    row->drain_kind = SAS_DRAIN_NONE;
    row->drain_target = SasModel_NONE;
    return row->service == SasModel_NONE || row->from == SasModel_NONE ||
                   row->to == SasModel_NONE || row->from == row->to
               ? -1
               : 0;
}

static int
decode_row(json_t *json, const struct sas_model *model,
           struct sas_sheet_row *row, struct sas_error *error)
{
    struct row_names names;
    memset(row, 0, sizeof(*row));
    if (unpack_row(json, row, &names) < 0) {
        SasError_Set(error, SAS_EINVAL, STEP, "",
                     "a row's field is missing, unknown, malformed or out of "
                     "range");
        return -1;
    }
    int unit = SasSheet_FindUnit(names.unit);
    row->cap_unit = unit < 0 ? SAS_CAP_NONE : unit;
    if (unit < 0 || check_numbers(row) < 0) {
        SasError_Set(error, SAS_EINVAL, STEP, "",
                     "a row's share, headroom, cap or cap unit is invalid");
        return -1;
    }
    int rc = names.drain[0] != '\0' ? resolve_drain(row, &names, model)
                                    : resolve_shift(row, &names, model);
    if (rc < 0) {
        SasError_Set(error, SAS_EINVAL, STEP, "",
                     "a row's names are unknown or don't fit together: "
                     "service '%.40s', from '%.40s', to '%.40s', drain "
                     "'%.40s'",
                     names.service, names.from, names.to, names.drain);
    }
    return rc;
}

static int
decode_rows(json_t *json, const struct sas_model *model,
            struct sas_sheet *sheet, struct sas_error *error)
{
    size_t count = json_array_size(json);
    if (!json_is_array(json) || count > SasSheet_MAX_ROWS) {
        SasError_Set(error, SAS_EINVAL, STEP, "",
                     "rows is not an array or has too many items");
        return -1;
    }
    sheet->rows = g_new0(struct sas_sheet_row, count + 1);
    sheet->row_count = (int)count;
    for (size_t i = 0; i < count; i++) {
        if (decode_row(json_array_get(json, i), model, &sheet->rows[i],
                       error) < 0) {
            return -1;
        }
    }
    struct sas_sheet_error reason = {0};
    if (SasSheet_Check(sheet, model, &reason) < 0) {
        SasError_Set(error, SAS_EINVAL, STEP, "", "%s: %s", reason.column,
                     reason.reason);
        return -1;
    }
    return 0;
}

static struct sas_config *
decode_config(json_t *json, const struct sas_model *model,
              struct sas_error *error)
{
    json_int_t version = 0;
    json_int_t accepted_ms = 0;
    const char *operation = NULL;
    const char *operator_name = NULL;
    const char *text = NULL;
    json_t *rows = NULL;
    if (json_unpack(json, "{s:I,s:s,s:s,s:I,s:o,s:s!}", "version", &version,
                    "operation", &operation, "operator", &operator_name,
                    "accepted_ms", &accepted_ms, "rows", &rows, "sheet",
                    &text) < 0) {
        SasError_Set(error, SAS_EINVAL, STEP, "",
                     "a field is missing, unknown or malformed");
        return NULL;
    }
    struct sas_sheet sheet = {0};
    struct sas_config *config = NULL;
    if (decode_rows(rows, model, &sheet, error) == 0) {
        config = SasConfig_New(version, operation, operator_name, accepted_ms,
                               &sheet, text, error);
    }
    SasSheet_Free(&sheet);
    return config;
}

static json_t *
parse_json(const char *text, size_t size, const char *step,
           struct sas_error *error)
{
    if (size > SasConfig_MAX_BYTES) {
        SasError_Set(error, SAS_EINVAL, step, "", "larger than %d bytes",
                     SasConfig_MAX_BYTES);
        return NULL;
    }
    json_error_t reason;
    json_t *json = json_loadb(text, size, READ_FLAGS, &reason);
    if (json == NULL) {
        SasError_Set(error, SAS_EINVAL, step, "", "not JSON: %s at byte %d",
                     reason.text, reason.position);
    }
    return json;
}

/* Differences between two arrays. */

static void
format_digest(char *out, uint64_t digest)
{
    snprintf(out, DIGEST_SIZE, "%016" PRIx64, digest);
}

static json_t *
split_lines(const char *text)
{
    json_t *lines = json_array();
    g_auto(GStrv) parts = g_strsplit(text, "\n", 0);
    for (int i = 0; parts[i] != NULL; i++) {
        json_array_append_new(lines, json_string(parts[i]));
    }
    return lines;
}

/* Extends the last range when the index follows it, else adds a new range. */
static void
append_range(json_t *edits, size_t index)
{
    size_t size = json_array_size(edits);
    json_t *last = size > 0 ? json_array_get(edits, size - 1) : NULL;
    if (json_is_array(last)) {
        json_int_t first = json_integer_value(json_array_get(last, 0));
        json_t *count = json_array_get(last, 1);
        json_int_t old = json_integer_value(count);
        if ((size_t)(first + old) == index) {
            json_integer_set(count, old + 1);
            return;
        }
    }
    json_array_append_new(edits, json_pack("[I,i]", (json_int_t)index, 1));
}

/* Returns the index of an equal item in the base, or -1: prefers `next`, the
 * item after the last match, so that ranges get long, else the first one. */
static int
find_equal(const GPtrArray *base, GHashTable *first, const char *item,
           guint next)
{
    if (next < base->len && strcmp(g_ptr_array_index(base, next), item) == 0) {
        return (int)next;
    }
    void *found = g_hash_table_lookup(first, item);
    return found == NULL ? -1 : GPOINTER_TO_INT(found) - 1;
}

/* Items as JSON texts, which can be compared and hashed. */
static GPtrArray *
dump_items(json_t *array)
{
    GPtrArray *items = g_ptr_array_new_with_free_func(free);
    size_t i;
    json_t *item;
    json_array_foreach(array, i, item)
    {
        g_ptr_array_add(items,
                        json_dumps(item, WRITE_FLAGS | JSON_ENCODE_ANY));
    }
    return items;
}

static json_t *
diff(json_t *base, json_t *target)
{
    g_autoptr(GPtrArray) old = dump_items(base);
    g_autoptr(GPtrArray) new = dump_items(target);
    g_autoptr(GHashTable) first = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = old->len; i > 0; i--) {
        g_hash_table_insert(first, g_ptr_array_index(old, i - 1),
                            GUINT_TO_POINTER(i));
    }
    json_t *edits = json_array();
    guint next = 0;
    for (guint i = 0; i < new->len; i++) {
        int found = find_equal(old, first, g_ptr_array_index(new, i), next);
        if (found < 0) {
            json_array_append(edits, json_array_get(target, i));
        }
        else {
            append_range(edits, found);
            next = (guint)found + 1;
        }
    }
    return edits;
}

static int
apply_edit(json_t *out, json_t *base, json_t *edit, size_t limit)
{
    if (!json_is_array(edit)) {
        json_array_append(out, edit);
        return json_array_size(out) > limit ? -1 : 0;
    }
    json_int_t first = -1;
    json_int_t count = -1;
    if (json_unpack(edit, "[I,I!]", &first, &count) < 0 || first < 0 ||
        count < 0) {
        return -1;
    }
    size_t size = json_array_size(base);
    if ((size_t)first > size || (size_t)count > size - (size_t)first ||
        (size_t)count > limit - json_array_size(out)) {
        return -1;
    }
    for (json_int_t i = 0; i < count; i++) {
        json_array_append(out, json_array_get(base, first + i));
    }
    return 0;
}

/* Applies the edits to the base. NULL when an edit is malformed or the result
 * has over `limit` items. */
static json_t *
patch(json_t *base, json_t *edits, size_t limit)
{
    if (!json_is_array(edits)) {
        return NULL;
    }
    json_t *out = json_array();
    size_t i;
    json_t *edit;
    json_array_foreach(edits, i, edit)
    {
        if (apply_edit(out, base, edit, limit) < 0) {
            json_decref(out);
            return NULL;
        }
    }
    return out;
}

static json_t *
patch_text(const char *base, json_t *edits)
{
    json_auto_t *old = split_lines(base);
    json_auto_t *lines = patch(old, edits, SasSheet_MAX_BYTES);
    if (lines == NULL) {
        return NULL;
    }
    g_autoptr(GString) text = g_string_new(NULL);
    size_t i;
    json_t *line;
    json_array_foreach(lines, i, line)
    {
        if (!json_is_string(line) || text->len > SasSheet_MAX_BYTES) {
            return NULL;
        }
        g_string_append(text, i > 0 ? "\n" : "");
        g_string_append(text, json_string_value(line));
    }
    return json_string(text->str);
}
