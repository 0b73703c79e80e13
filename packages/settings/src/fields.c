#include "fields.h"

#include <arpa/inet.h>
#include <stdarg.h>
#include <string.h>

#define BYTES_PER_MEGABYTE 1000000

static const char *const type_names[] = {
    [SasToml_STRING] = "a string", [SasToml_INTEGER] = "an integer",
    [SasToml_REAL] = "a number",   [SasToml_BOOLEAN] = "true or false",
    [SasToml_TIME] = "a date",     [SasToml_ARRAY] = "an array",
    [SasToml_TABLE] = "a table",
};

static const enum sas_toml_type expected_types[] = {
    [SasField_NAME] = SasToml_STRING,
    [SasField_IP] = SasToml_STRING,
    [SasField_TEXT] = SasToml_STRING,
    [SasField_INTEGER] = SasToml_INTEGER,
    [SasField_MS] = SasToml_INTEGER,
    [SasField_MEGABYTES] = SasToml_INTEGER,
    [SasField_REAL] = SasToml_REAL,
    [SasField_BOOLEAN] = SasToml_BOOLEAN,
    [SasField_REFERENCE] = SasToml_STRING,
    [SasField_TREE] = SasToml_ARRAY,
};

/* Where a value stands, for messages. */
struct place {
    const char *section;
    const struct sas_field *field;
    const struct sas_toml *value;
};

static void read_value(struct sas_reader *reader, const struct place *place,
                       void *target);

static void
clear_problem(gpointer data)
{
    struct sas_problem *problem = data;
    g_free(problem->text);
}

void
SasReader_Init(struct sas_reader *reader, const struct sas_model *model)
{
    reader->model = model;
    reader->problems = g_array_new(FALSE, FALSE, sizeof(struct sas_problem));
    g_array_set_clear_func(reader->problems, clear_problem);
}

void
SasReader_Clear(struct sas_reader *reader)
{
    g_array_free(reader->problems, TRUE);
}

void
SasReader_Complain(struct sas_reader *reader, int line, const char *section,
                   const char *key, const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    g_autofree char *reason = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    const char *point = section[0] != '\0' && key != NULL ? "." : "";
    struct sas_problem problem = {
        .line = line,
        .text = g_strdup_printf("%s%s%s: %s", section, point,
                                key != NULL ? key : "", reason),
    };
    g_array_append_val(reader->problems, problem);
}

/* Problems of one line stay in the order in which they were found, since
 * g_array_sort is stable. */
static gint
compare_problems(gconstpointer a, gconstpointer b)
{
    const struct sas_problem *left = a;
    const struct sas_problem *right = b;
    return (left->line > right->line) - (left->line < right->line);
}

void
SasReader_SortProblems(struct sas_reader *reader)
{
    g_array_sort(reader->problems, compare_problems);
}

static void
refuse_unknown_keys(struct sas_reader *reader, const char *section,
                    const struct sas_toml *table,
                    const struct sas_field *fields, int field_count)
{
    for (int i = 0; i < table->child_count; i++) {
        const struct sas_toml *child = &table->children[i];
        bool known = false;
        for (int j = 0; j < field_count; j++) {
            known = known || strcmp(child->key, fields[j].key) == 0;
        }
        if (!known) {
            SasReader_Complain(reader, child->line, section, child->key,
                               "unknown key");
        }
    }
}

/* A reference that the caller has filled with a default is not missing. */
static bool
is_missing(const struct sas_field *field, const void *target)
{
    if (field->type != SasField_REFERENCE) {
        return field->required;
    }
    return field->required && *(const int *)target == SasModel_NONE;
}

void
SasReader_ReadTable(struct sas_reader *reader, const char *section,
                    const struct sas_toml *table,
                    const struct sas_field *fields, int field_count,
                    void *target)
{
    refuse_unknown_keys(reader, section, table, fields, field_count);
    for (int i = 0; i < field_count; i++) {
        const struct sas_field *field = &fields[i];
        void *place_in_target = (char *)target + field->offset;
        const struct sas_toml *value = SasToml_Find(table, field->key);
        if (value != NULL) {
            struct place place = {section, field, value};
            read_value(reader, &place, place_in_target);
        }
        else if (is_missing(field, place_in_target)) {
            SasReader_Complain(reader, table->line, section, field->key,
                               "missing");
        }
    }
}

static void
complain(struct sas_reader *reader, const struct place *place,
         const char *reason, const char *value)
{
    SasReader_Complain(reader, place->value->line, place->section,
                       place->field->key, "%s: \"%s\"", reason, value);
}

static bool
is_name(const char *text)
{
    size_t length = strlen(text);
    if (length == 0 || length >= SasModel_NAME_SIZE) {
        return false;
    }
    for (const char *c = text; *c != '\0'; c++) {
        if (!g_ascii_isalnum(*c) && strchr("._-", *c) == NULL) {
            return false;
        }
    }
    return true;
}

static void
read_name(struct sas_reader *reader, const struct place *place, char *target)
{
    const char *text = place->value->text;
    if (!is_name(text)) {
        complain(reader, place, "not a name (1 to 47 of A-Z a-z 0-9 . _ -)",
                 text);
        return;
    }
    g_strlcpy(target, text, SasModel_NAME_SIZE);
}

/* One machine's address; nobody can connect to the unspecified address or
 * serve on a multicast one. */
static void
read_ip(struct sas_reader *reader, const struct place *place, char *target)
{
    const char *text = place->value->text;
    struct in_addr four;
    struct in6_addr six;
    if (inet_pton(AF_INET, text, &four) == 1) {
        uint32_t address = ntohl(four.s_addr);
        if (address == INADDR_ANY || IN_MULTICAST(address)) {
            complain(reader, place, "not the address of one machine", text);
        }
        inet_ntop(AF_INET, &four, target, SasModel_IP_SIZE);
        return;
    }
    if (inet_pton(AF_INET6, text, &six) == 1) {
        if (IN6_IS_ADDR_UNSPECIFIED(&six) || IN6_IS_ADDR_MULTICAST(&six)) {
            complain(reader, place, "not the address of one machine", text);
        }
        inet_ntop(AF_INET6, &six, target, SasModel_IP_SIZE);
        return;
    }
    complain(reader, place, "not an IP number", text);
}

static void
read_number(struct sas_reader *reader, const struct place *place, void *target)
{
    const struct sas_field *field = place->field;
    double number = place->value->real;
    /* Not a number fails both comparisons, so it is refused too. */
    if (!(number >= field->least && number <= field->most)) {
        SasReader_Complain(reader, place->value->line, place->section,
                           field->key, "%.15g is not within %.15g and %.15g",
                           number, field->least, field->most);
        return;
    }
    int64_t integer = place->value->integer;
    switch (field->type) {
    case SasField_INTEGER:
        *(int *)target = (int)integer;
        break;
    case SasField_MS:
        *(int64_t *)target = integer;
        break;
    case SasField_MEGABYTES:
        *(size_t *)target = (size_t)integer * BYTES_PER_MEGABYTE;
        break;
    default:
        *(double *)target = number;
        break;
    }
}

static void
read_reference(struct sas_reader *reader, const struct place *place,
               int *target)
{
    const struct sas_field *field = place->field;
    *target = field->find(reader->model, place->value->text);
    if (*target == SasModel_NONE) {
        SasReader_Complain(reader, place->value->line, place->section,
                           field->key, "no %s is named \"%s\"", field->what,
                           place->value->text);
    }
}

static bool
has_expected_type(const struct sas_field *field, enum sas_toml_type type)
{
    enum sas_toml_type expected = expected_types[field->type];
    return type == expected ||
           (expected == SasToml_REAL && type == SasToml_INTEGER);
}

static void
read_value(struct sas_reader *reader, const struct place *place, void *target)
{
    const struct sas_field *field = place->field;
    const struct sas_toml *value = place->value;
    if (!has_expected_type(field, value->type)) {
        SasReader_Complain(reader, value->line, place->section, field->key,
                           "must be %s, is %s",
                           type_names[expected_types[field->type]],
                           type_names[value->type]);
        return;
    }
    switch (field->type) {
    case SasField_NAME:
        read_name(reader, place, target);
        break;
    case SasField_IP:
        read_ip(reader, place, target);
        break;
    case SasField_TEXT:
        g_free(*(char **)target);
        *(char **)target = g_strdup(value->text);
        break;
    case SasField_INTEGER:
    case SasField_MS:
    case SasField_MEGABYTES:
    case SasField_REAL:
        read_number(reader, place, target);
        break;
    case SasField_BOOLEAN:
        *(bool *)target = value->boolean;
        break;
    case SasField_REFERENCE:
        read_reference(reader, place, target);
        break;
    case SasField_TREE:
        *(const struct sas_toml **)target = value;
        break;
    }
}
