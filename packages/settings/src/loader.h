/* loader - one pass over a settings document: its sections, its rows, and
 * which names and addresses are taken.
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

/* The start of a struct sas_field for the member of the same name. */
#define SasLoader_FIELD(row, member, kind)                                    \
    .key = #member, .type = SasField_##kind,                                  \
    .offset = offsetof(struct row, member)

struct sas_loader {
    struct sas_settings *settings;
    struct sas_model *model;
    const struct sas_toml *document;
    struct sas_reader reader;
    GHashTable *taken; /* "kind what" to the line that has it */
};

/* Line of a key in a table, or of the table itself. */
int SasLoader_GetLine(const struct sas_toml *table, const char *key);

/* A section that may stand once; an empty table when it is absent. */
const struct sas_toml *SasLoader_GetSection(struct sas_loader *loader,
                                            const char *name);

/* The rows of a section that may repeat; an empty array when it is absent or
 * not an array of tables. */
const struct sas_toml *SasLoader_GetRows(struct sas_loader *loader,
                                         const char *name);

/* How many rows to read; a problem when there are more than the limit. */
int SasLoader_CountRows(struct sas_loader *loader, const struct sas_toml *rows,
                        const char *section, int limit);

/* Claims a name, an address or a link for a line; a problem where it is
 * taken. Names of different kinds may be the same. */
void SasLoader_Claim(struct sas_loader *loader, const char *kind,
                     const char *what, int line, const char *section,
                     const char *key);
void SasLoader_ClaimName(struct sas_loader *loader, const char *kind,
                         const char *name, const struct sas_toml *table,
                         const char *section);
void SasLoader_ClaimAddress(struct sas_loader *loader,
                            const struct sas_address *address,
                            const struct sas_toml *table, const char *section,
                            const char *key);

/* Fills in the model's tables from the sections that repeat, in tables.c. */
void SasLoader_LoadTables(struct sas_loader *loader);

#endif
