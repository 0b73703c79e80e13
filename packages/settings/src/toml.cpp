#include "toml.h"

#include <cstring>
#include <exception>
#include <string_view>

#include <glib.h>
#include <toml++/toml.h>

static void convert(const toml::node &node, struct sas_toml *tree);

static int
get_line(const toml::source_region &source)
{
    return static_cast<int>(source.begin.line);
}

static void
convert_table(const toml::table &table, struct sas_toml *tree)
{
    tree->type = SasToml_TABLE;
    tree->children = g_new0(struct sas_toml, table.size());
    for (auto &&[key, value] : table) {
        struct sas_toml *child = &tree->children[tree->child_count++];
        std::string_view name = key.str();
        child->key = g_strndup(name.data(), name.size());
        convert(value, child);
        if (value.is_value()) {
            child->line = get_line(key.source());
        }
    }
}

static void
convert_array(const toml::array &array, struct sas_toml *tree)
{
    tree->type = SasToml_ARRAY;
    tree->children = g_new0(struct sas_toml, array.size());
    for (auto &&value : array) {
        convert(value, &tree->children[tree->child_count++]);
    }
}

static void
convert(const toml::node &node, struct sas_toml *tree)
{
    tree->line = get_line(node.source());
    if (const toml::table *table = node.as_table()) {
        convert_table(*table, tree);
    }
    else if (const toml::array *array = node.as_array()) {
        convert_array(*array, tree);
    }
    else if (auto text = node.as_string()) {
        tree->type = SasToml_STRING;
        tree->text = g_strndup(text->get().data(), text->get().size());
    }
    else if (auto integer = node.as_integer()) {
        tree->type = SasToml_INTEGER;
        tree->integer = integer->get();
        tree->real = static_cast<double>(integer->get());
    }
    else if (auto real = node.as_floating_point()) {
        tree->type = SasToml_REAL;
        tree->real = real->get();
    }
    else if (auto boolean = node.as_boolean()) {
        tree->type = SasToml_BOOLEAN;
        tree->boolean = boolean->get();
    }
    else {
        tree->type = SasToml_TIME;
    }
}

struct sas_toml *
SasToml_Parse(const char *text, size_t size, int *line, char **reason)
{
    try {
        toml::table document = toml::parse(std::string_view(text, size));
        struct sas_toml *tree = g_new0(struct sas_toml, 1);
        convert(document, tree);
        return tree;
    } catch (const toml::parse_error &error) {
        std::string_view description = error.description();
        *line = get_line(error.source());
        *reason = g_strndup(description.data(), description.size());
    } catch (const std::exception &error) {
        *line = 1;
        *reason = g_strdup(error.what());
    }
    return nullptr;
}

static void
clear(struct sas_toml *tree)
{
    for (int i = 0; i < tree->child_count; i++) {
        clear(&tree->children[i]);
    }
    g_free(tree->children);
    g_free(tree->key);
    g_free(tree->text);
}

void
SasToml_Free(struct sas_toml *tree)
{
    if (tree != nullptr) {
        clear(tree);
        g_free(tree);
    }
}

const struct sas_toml *
SasToml_Find(const struct sas_toml *table, const char *key)
{
    for (int i = 0; i < table->child_count; i++) {
        if (std::strcmp(table->children[i].key, key) == 0) {
            return &table->children[i];
        }
    }
    return nullptr;
}
