#include "print.h"

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#define COLUMN_GAP 2 /* spaces */

static char *format_value(const json_t *value,
                          const struct sas_column *column);

void
SasPrint_Json(const json_t *value)
{
    char *text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
    puts(text);
    free(text);
}

char *
SasPrint_FormatCell(const json_t *value, const struct sas_column *column)
{
    char *text = format_value(value, column);
    for (char *c = text; *c != '\0'; c++) {
        if (g_ascii_iscntrl(*c)) {
            *c = '?';
        }
    }
    return text;
}

/* Width on the screen: one column for each character. */
static int
get_width(const char *text)
{
    return (int)g_utf8_strlen(text, -1);
}

static void
print_cell(const char *text, int width, bool last)
{
    fputs(text, stdout);
    for (int i = get_width(text); !last && i < width + COLUMN_GAP; i++) {
        putchar(' ');
    }
    if (last) {
        putchar('\n');
    }
}

/* Formats the cells row by row, the titles first. */
static GPtrArray *
format_cells(const json_t *rows, const struct sas_column *columns,
             int column_count)
{
    GPtrArray *cells = g_ptr_array_new_with_free_func(g_free);
    for (int i = 0; i < column_count; i++) {
        g_ptr_array_add(cells, g_strdup(columns[i].title));
    }
    size_t row;
    json_t *object;
    json_array_foreach(rows, row, object)
    {
        for (int i = 0; i < column_count; i++) {
            const json_t *value = json_object_get(object, columns[i].key);
            g_ptr_array_add(cells, SasPrint_FormatCell(value, &columns[i]));
        }
    }
    return cells;
}

void
SasPrint_Table(const char *caption, const json_t *rows,
               const struct sas_column *columns, int column_count)
{
    bool empty = json_array_size(rows) == 0;
    if (caption != NULL) {
        printf("%s:%s\n", caption, empty ? " none" : "");
    }
    if (empty) {
        return;
    }
    g_autoptr(GPtrArray) cells = format_cells(rows, columns, column_count);
    int widths[SasPrint_MAX_COLUMNS] = {0};
    for (int i = 0; i < (int)cells->len; i++) {
        int *width = &widths[i % column_count];
        *width = MAX(*width, get_width(cells->pdata[i]));
    }
    for (int i = 0; i < (int)cells->len; i++) {
        int column = i % column_count;
        print_cell(cells->pdata[i], widths[column],
                   column == column_count - 1);
    }
}

static char *
format_time(json_int_t ms)
{
    g_autoptr(GDateTime) time = g_date_time_new_from_unix_utc(ms / 1000);
    return time == NULL ? g_strdup("?")
                        : g_date_time_format(time, "%Y-%m-%dT%H:%M:%SZ");
}

static char *
format_value(const json_t *value, const struct sas_column *column)
{
    if (json_is_string(value)) {
        return g_strdup(json_string_value(value));
    }
    if (json_is_boolean(value)) {
        return g_strdup(json_is_true(value) ? "yes" : "no");
    }
    if (!json_is_number(value)) {
        return g_strdup("-");
    }
    double number = json_number_value(value);
    switch (column->form) {
    case SasColumn_TIME:
        return format_time((json_int_t)number);
    case SasColumn_MS:
        return g_strdup_printf("%.0f ms", number);
    case SasColumn_PERCENT:
        return g_strdup_printf("%.4g%%", number);
    case SasColumn_PLAIN:
        break;
    }
    return g_strdup_printf("%.15g", number);
}
