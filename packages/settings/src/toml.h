/* toml - a TOML document as a tree of plain C structs with line numbers.
 *
 * The parser is the C++ library toml++; Debian has none in C. Nothing of C++
 * is seen beyond toml.cpp: exceptions end there.
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
    SasToml_TIME, /* any kind of date or time; its value is not kept */
    SasToml_ARRAY,
    SasToml_TABLE
};

struct sas_toml {
    enum sas_toml_type type;
    int line;  /* of the key in a table, of the value elsewhere */
    char *key; /* NULL outside a table */
    char *text;
    int64_t integer;
    double real; /* also set for integers */
    bool boolean;
    struct sas_toml *children; /* of a table (by key) or an array */
    int child_count;
};

/* The document as a table. On a syntax error NULL, with the line and a reason
 * to be released with g_free. */
struct sas_toml *SasToml_Parse(const char *text, size_t size, int *line,
                               char **reason);
void SasToml_Free(struct sas_toml *tree);

/* The value of a key in a table, or NULL. */
const struct sas_toml *SasToml_Find(const struct sas_toml *table,
                                    const char *key);

#ifdef __cplusplus
}
#endif

#endif
