/* print - JSON answers as tables for people.
 *
 * What a node or another operator wrote may hold control characters; they are
 * shown as '?', so that nobody can write to the terminal by way of a name.
 */
#ifndef SAS_CTL_PRINT_H
#define SAS_CTL_PRINT_H

#include <jansson.h>

#define SasPrint_MAX_COLUMNS 8

struct sas_column {
    const char *title;
    const char *key; /* in each row's JSON object */
    enum {
        SasColumn_PLAIN,
        SasColumn_TIME,   /* milliseconds since 1970 */
        SasColumn_MS,     /* a duration */
        SasColumn_PERCENT /* a number of percent */
    } form;
};

/* Prints the rows, a JSON array of objects, under their titles; just "none"
 * after the caption when there is none. The caption may be NULL. */
void SasPrint_Table(const char *caption, const json_t *rows,
                    const struct sas_column *columns, int column_count);

/* Prints a value on a line of its own, as compact JSON. */
void SasPrint_Json(const json_t *value);

/* A value as one cell shows it; free with g_free. */
char *SasPrint_FormatCell(const json_t *value,
                          const struct sas_column *column);

#endif
