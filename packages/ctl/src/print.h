/* print - JSON responses as tables.
 *
 * Text from a node or from another operator may hold control characters.
 * Cells show them as '?', so that a name can't inject terminal escape
 * sequences.
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
        SasColumn_TIME,   /* a time in ms since 1970 */
        SasColumn_MS,     /* a duration in ms */
        SasColumn_PERCENT /* in percent */
    } form;
};

/* Prints rows, a JSON array of objects, below their caption (may be NULL) and
 * titles. Without rows prints only the caption and "none". column_count is
 * at most SasPrint_MAX_COLUMNS. */
void SasPrint_Table(const char *caption, const json_t *rows,
                    const struct sas_column *columns, int column_count);

/* Prints a value on a line of its own, as compact JSON. */
void SasPrint_Json(const json_t *value);

/* Returns the text of a cell; g_free releases it. */
char *SasPrint_FormatCell(const json_t *value,
                          const struct sas_column *column);

#endif
