/* loader - state and helpers of one pass over a settings document: access to
 * its sections and rows, and checks for duplicate names and addresses.
 */
#ifndef SAS_LOADER_H
#define SAS_LOADER_H

#include <stddef.h>

#include <glib.h>

#include "fields.h"
#include "sas/settings.h"
#include "toml.h"

#define SasLoader_MAX_PORT 65535
#define SasLoader_MAX_DEADLINE_MS 300000

/* Initialises key, type and offset of a struct sas_field; the key is the name
 * of the member. */
#define SasLoader_FIELD(row, member, field_type)                              \
    .key = #member, .type = SasField_##field_type,                            \
    .offset = offsetof(struct row, member)

struct sas_loader {
    struct sas_settings *settings;
    struct sas_model *model;
    const struct sas_toml *document;
    struct sas_reader reader;
    GHashTable *first_lines; /* "KIND VALUE" to the line of its first use */
};

/* The line of a key in a table, or of the table if the key is absent. */
int SasLoader_GetLine(const struct sas_toml *table, const char *key);

/* A section that occurs at most once, [name]; an empty table if it is absent
 * or not a table. */
const struct sas_toml *SasLoader_GetSection(struct sas_loader *loader,
                                            const char *name);

/* The rows of a section that may repeat, [[name]]; an empty array if it is
 * absent or not an array of tables. */
const struct sas_toml *SasLoader_GetRows(struct sas_loader *loader,
                                         const char *name);

/* The number of rows to read, at most limit; more rows are a problem. */
int SasLoader_CountRows(struct sas_loader *loader, const struct sas_toml *rows,
                        const char *section, int limit);

/* Adds a problem if another line has used the same value of this kind, such as
 * a name, an address or a link. Values of different kinds may be equal.
 * CheckUniqueName and CheckUniqueAddress skip an empty name or IP and port 0,
 * whose keys are absent or invalid. */
void SasLoader_CheckUnique(struct sas_loader *loader, const char *kind,
                           const char *value, int line, const char *section,
                           const char *key);
void SasLoader_CheckUniqueName(struct sas_loader *loader, const char *kind,
                               const char *name, const struct sas_toml *table,
                               const char *section);
void SasLoader_CheckUniqueAddress(struct sas_loader *loader,
                                  const struct sas_address *address,
                                  const struct sas_toml *table,
                                  const char *section, const char *key);

/* Fills in the model's tables from the sections that may repeat; in tables.c.
 */
void SasLoader_LoadTables(struct sas_loader *loader);

#endif
