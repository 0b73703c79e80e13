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
    [SasField_ARRAY] = SasToml_ARRAY,
};

/* A value of the file and the field that it is for. */
struct field_value {
    const char *section;
    const struct sas_field *field;
    const struct sas_toml *value;
};

static void read_value(struct sas_reader *reader,
                       const struct field_value *input, void *target);

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
SasReader_AddProblem(struct sas_reader *reader, int line, const char *section,
                     const char *key, const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    g_autofree char *reason = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    const char *separator = section[0] != '\0' && key != NULL ? "." : "";
    struct sas_problem problem = {
        .line = line,
        .text = g_strdup_printf("%s%s%s: %s", section, separator,
                                key != NULL ? key : "", reason),
    };
    g_array_append_val(reader->problems, problem);
}

/* Compares lines only: g_array_sort is stable, so that problems of one line
 * stay in the order in which they were found. */
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
report_unknown_keys(struct sas_reader *reader, const char *section,
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
            SasReader_AddProblem(reader, child->line, section, child->key,
                                 "unknown key");
        }
    }
}

/* A reference is not missing if its default is a handle. */
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
    report_unknown_keys(reader, section, table, fields, field_count);
    for (int i = 0; i < field_count; i++) {
        const struct sas_field *field = &fields[i];
        void *member = (char *)target + field->offset;
        const struct sas_toml *value = SasToml_Find(table, field->key);
        if (value != NULL) {
            struct field_value input = {section, field, value};
            read_value(reader, &input, member);
        }
        else if (is_missing(field, member)) {
            SasReader_AddProblem(reader, table->line, section, field->key,
                                 "missing");
        }
    }
}

static void
add_value_problem(struct sas_reader *reader, const struct field_value *input,
                  const char *reason, const char *value)
{
    SasReader_AddProblem(reader, input->value->line, input->section,
                         input->field->key, "%s: \"%s\"", reason, value);
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
read_name(struct sas_reader *reader, const struct field_value *input,
          char *target)
{
    const char *text = input->value->text;
    if (!is_name(text)) {
        add_value_problem(reader, input,
                          "not a name (1 to 47 of A-Z a-z 0-9 . _ -)", text);
        return;
    }
    g_strlcpy(target, text, SasModel_NAME_SIZE);
}

/* Refuses the unspecified address, since no client can connect to it, and
 * multicast addresses, since no server can listen on them. */
static void
read_ip(struct sas_reader *reader, const struct field_value *input,
        char *target)
{
    const char *text = input->value->text;
    struct in_addr ipv4;
    struct in6_addr ipv6;
    if (inet_pton(AF_INET, text, &ipv4) == 1) {
        uint32_t address = ntohl(ipv4.s_addr);
        if (address == INADDR_ANY || IN_MULTICAST(address)) {
            add_value_problem(reader, input,
                              "unspecified or multicast address", text);
        }
        inet_ntop(AF_INET, &ipv4, target, SasModel_IP_SIZE);
        return;
    }
    if (inet_pton(AF_INET6, text, &ipv6) == 1) {
        if (IN6_IS_ADDR_UNSPECIFIED(&ipv6) || IN6_IS_ADDR_MULTICAST(&ipv6)) {
            add_value_problem(reader, input,
                              "unspecified or multicast address", text);
        }
        inet_ntop(AF_INET6, &ipv6, target, SasModel_IP_SIZE);
        return;
    }
    add_value_problem(reader, input, "not an IP address", text);
}

static void
read_number(struct sas_reader *reader, const struct field_value *input,
            void *target)
{
    const struct sas_field *field = input->field;
    double number = input->value->real;
    /* Written so that NaN is refused, too. */
    if (!(number >= field->min && number <= field->max)) {
        SasReader_AddProblem(reader, input->value->line, input->section,
                             field->key,
                             "%.15g is not between %.15g and %.15g", number,
                             field->min, field->max);
        return;
    }
    int64_t integer = input->value->integer;
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
read_reference(struct sas_reader *reader, const struct field_value *input,
               int *target)
{
    const struct sas_field *field = input->field;
    *target = field->find(reader->model, input->value->text);
    if (*target == SasModel_NONE) {
        SasReader_AddProblem(reader, input->value->line, input->section,
                             field->key, "no %s is named \"%s\"",
                             field->refers_to, input->value->text);
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
read_value(struct sas_reader *reader, const struct field_value *input,
           void *target)
{
    const struct sas_field *field = input->field;
    const struct sas_toml *value = input->value;
    if (!has_expected_type(field, value->type)) {
        SasReader_AddProblem(reader, value->line, input->section, field->key,
                             "must be %s, is %s",
                             type_names[expected_types[field->type]],
                             type_names[value->type]);
        return;
    }
    switch (field->type) {
    case SasField_NAME:
        read_name(reader, input, target);
        break;
    case SasField_IP:
        read_ip(reader, input, target);
        break;
    case SasField_TEXT:
        g_free(*(char **)target);
        *(char **)target = g_strdup(value->text);
        break;
    case SasField_INTEGER:
    case SasField_MS:
    case SasField_MEGABYTES:
    case SasField_REAL:
        read_number(reader, input, target);
        break;
    case SasField_BOOLEAN:
        *(bool *)target = value->boolean;
        break;
    case SasField_REFERENCE:
        read_reference(reader, input, target);
        break;
    case SasField_ARRAY:
        *(const struct sas_toml **)target = value;
        break;
    }
}
