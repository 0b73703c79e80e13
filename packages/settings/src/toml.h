/* toml - a TOML document as a tree of plain C structs with line numbers.
 *
 * The parser is the C++ library toml++, because Debian has none in C. toml.cpp
 * hides it: no C++ types or exceptions leave that file.
 */
#ifndef SAS_TOML_H
#define SAS_TOML_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum sas_toml_type {
    SasToml_STRING,
    SasToml_INTEGER,
    SasToml_REAL,
    SasToml_BOOLEAN,
    SasToml_TIME, /* any date or time; its value is not converted */
    SasToml_ARRAY,
    SasToml_TABLE
};

struct sas_toml {
    enum sas_toml_type type;
    int line;  /* of the key for a scalar in a table, else of the value */
    char *key; /* NULL outside a table */
    char *text;
    int64_t integer;
    double real; /* also set for integers */
    bool boolean;
    struct sas_toml *children; /* of a table (by key) or an array */
    int child_count;
};

/* Parses a document into a table, to be released with SasToml_Free. On a
 * syntax error returns NULL and sets the line and a reason, to be released
 * with g_free. */
struct sas_toml *SasToml_Parse(const char *text, size_t size, int *line,
                               char **reason);
void SasToml_Free(struct sas_toml *tree);

/* The value of a key in a table, or NULL if the key is absent. */
const struct sas_toml *SasToml_Find(const struct sas_toml *table,
                                    const char *key);

#ifdef __cplusplus
}
#endif

#endif
