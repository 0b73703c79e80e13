#include "loader.h"

int
SasLoader_GetLine(const struct sas_toml *table, const char *key)
{
    const struct sas_toml *value = SasToml_Find(table, key);
    return value != NULL ? value->line : table->line;
}

void
SasLoader_Claim(struct sas_loader *loader, const char *kind, const char *what,
                int line, const char *section, const char *key)
{
    char *entry = g_strdup_printf("%s %s", kind, what);
    gpointer first = g_hash_table_lookup(loader->taken, entry);
    if (first != NULL) {
        SasReader_Complain(&loader->reader, line, section, key,
                           "%s is already used in line %d", what,
                           GPOINTER_TO_INT(first));
        g_free(entry);
        return;
    }
    g_hash_table_insert(loader->taken, entry, GINT_TO_POINTER(line));
}

void
SasLoader_ClaimName(struct sas_loader *loader, const char *kind,
                    const char *name, const struct sas_toml *table,
                    const char *section)
{
    if (name[0] != '\0') {
        SasLoader_Claim(loader, kind, name, SasLoader_GetLine(table, "name"),
                        section, "name");
    }
}

void
SasLoader_ClaimAddress(struct sas_loader *loader,
                       const struct sas_address *address,
                       const struct sas_toml *table, const char *section,
                       const char *key)
{
    if (address->ip[0] != '\0' && address->port != 0) {
        g_autofree char *what =
            g_strdup_printf("%s port %d", address->ip, address->port);
        SasLoader_Claim(loader, "address", what, SasLoader_GetLine(table, key),
                        section, key);
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
        SasReader_Complain(&loader->reader, section->line, name, NULL,
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
    bool tables = rows->type == SasToml_ARRAY;
    for (int i = 0; tables && i < rows->child_count; i++) {
        tables = rows->children[i].type == SasToml_TABLE;
    }
    if (!tables) {
        SasReader_Complain(&loader->reader, rows->line, name, NULL,
                           "must be tables, [[%s]]", name);
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
    SasReader_Complain(&loader->reader, rows->children[limit].line, section,
                       NULL, "more than %d", limit);
    return limit;
}
