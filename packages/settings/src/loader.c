#include "loader.h"

int
SasLoader_GetLine(const struct sas_toml *table, const char *key)
{
    const struct sas_toml *value = SasToml_Find(table, key);
    return value != NULL ? value->line : table->line;
}

void
SasLoader_CheckUnique(struct sas_loader *loader, const char *kind,
                      const char *value, int line, const char *section,
                      const char *key)
{
    char *entry = g_strdup_printf("%s %s", kind, value);
    gpointer first_line = g_hash_table_lookup(loader->first_lines, entry);
    if (first_line != NULL) {
        SasReader_AddProblem(&loader->reader, line, section, key,
                             "%s is already used in line %d", value,
                             GPOINTER_TO_INT(first_line));
        g_free(entry);
        return;
    }
    g_hash_table_insert(loader->first_lines, entry, GINT_TO_POINTER(line));
}

void
SasLoader_CheckUniqueName(struct sas_loader *loader, const char *kind,
                          const char *name, const struct sas_toml *table,
                          const char *section)
{
    if (name[0] != '\0') {
        SasLoader_CheckUnique(loader, kind, name,
                              SasLoader_GetLine(table, "name"), section,
                              "name");
    }
}

void
SasLoader_CheckUniqueAddress(struct sas_loader *loader,
                             const struct sas_address *address,
                             const struct sas_toml *table, const char *section,
                             const char *key)
{
    if (address->ip[0] != '\0' && address->port != 0) {
        g_autofree char *value =
            g_strdup_printf("%s port %d", address->ip, address->port);
        SasLoader_CheckUnique(loader, "address", value,
                              SasLoader_GetLine(table, key), section, key);
    }
}

const struct sas_toml *
SasLoader_GetSection(struct sas_loader *loader, const char *name)
{
    static const struct sas_toml empty = {.type = SasToml_TABLE, .line = 1};
    const struct sas_toml *section = SasToml_Find(loader->document, name);
    if (section == NULL) {
        return &empty;
    }
    if (section->type != SasToml_TABLE) {
        SasReader_AddProblem(&loader->reader, section->line, name, NULL,
                             "must be one table, [%s]", name);
        return &empty;
    }
    return section;
}

const struct sas_toml *
SasLoader_GetRows(struct sas_loader *loader, const char *name)
{
    static const struct sas_toml empty = {.type = SasToml_ARRAY, .line = 1};
    const struct sas_toml *rows = SasToml_Find(loader->document, name);
    if (rows == NULL) {
        return &empty;
    }
    bool all_tables = rows->type == SasToml_ARRAY;
    for (int i = 0; all_tables && i < rows->child_count; i++) {
        all_tables = rows->children[i].type == SasToml_TABLE;
    }
    if (!all_tables) {
        SasReader_AddProblem(&loader->reader, rows->line, name, NULL,
                             "must be an array of tables, [[%s]]", name);
        return &empty;
    }
    return rows;
}

int
SasLoader_CountRows(struct sas_loader *loader, const struct sas_toml *rows,
                    const char *section, int limit)
{
    if (rows->child_count <= limit) {
        return rows->child_count;
    }
    SasReader_AddProblem(&loader->reader, rows->children[limit].line, section,
                         NULL, "more than %d tables", limit);
    return limit;
}
