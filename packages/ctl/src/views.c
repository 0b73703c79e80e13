#include "views.h"

#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "print.h"

static const char *
get_text(const json_t *object, const char *name)
{
    const char *text = json_string_value(json_object_get(object, name));
    return text != NULL ? text : "";
}

static json_int_t
get_number(const json_t *object, const char *name)
{
    return json_integer_value(json_object_get(object, name));
}

/* The state of an entry in a list of a view; "unknown" if it isn't listed. */
static const char *
find_state(const json_t *view, const char *list, const char *key,
           const char *name)
{
    size_t i;
    const json_t *row;
    json_array_foreach(json_object_get(view, list), i, row)
    {
        if (strcmp(get_text(row, key), name) == 0) {
            return get_text(row, "state");
        }
    }
    return "unknown";
}

/* Adds a difference if the state of the entry isn't the same in all views. */
static void
compare_entry(const json_t *views, const char *list, const char *key,
              const char *name, json_t *differences)
{
    json_t *states = json_object();
    bool differs = false;
    const char *first = NULL;
    size_t i;
    const json_t *view;
    json_array_foreach(views, i, view)
    {
        const char *state = find_state(view, list, key, name);
        differs = differs || (first != NULL && strcmp(first, state) != 0);
        first = first != NULL ? first : state;
        json_object_set_new(states, get_text(view, "vm"), json_string(state));
    }
    if (differs) {
        json_array_append_new(differences,
                              json_pack("{s:s, s:s, s:O}", "what", list,
                                        "name", name, "states", states));
    }
    json_decref(states);
}

static void
compare_list(const json_t *views, const char *list, const char *key,
             json_t *differences)
{
    g_autoptr(GHashTable) seen =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    size_t i;
    const json_t *view;
    json_array_foreach(views, i, view)
    {
        size_t j;
        const json_t *row;
        json_array_foreach(json_object_get(view, list), j, row)
        {
            const char *name = get_text(row, key);
            if (g_hash_table_add(seen, g_strdup(name))) {
                compare_entry(views, list, key, name, differences);
            }
        }
    }
}

static void
compare_versions(const json_t *views, json_t *differences)
{
    json_t *states = json_object();
    bool differs = false;
    json_int_t first = -1;
    size_t i;
    const json_t *view;
    json_array_foreach(views, i, view)
    {
        json_int_t version =
            get_number(json_object_get(view, "config"), "version");
        differs = differs || (first >= 0 && version != first);
        first = first >= 0 ? first : version;
        g_autofree char *text =
            g_strdup_printf("%" JSON_INTEGER_FORMAT, version);
        json_object_set_new(states, get_text(view, "vm"), json_string(text));
    }
    if (differs) {
        json_array_append_new(differences,
                              json_pack("{s:s, s:s, s:O}", "what", "config",
                                        "name", "version", "states", states));
    }
    json_decref(states);
}

json_t *
SasViews_Compare(const json_t *views)
{
    json_t *differences = json_array();
    compare_versions(views, differences);
    compare_list(views, "servers", "id", differences);
    compare_list(views, "vms", "name", differences);
    return differences;
}

static json_t *
summarize(const json_t *view)
{
    const json_t *config = json_object_get(view, "config");
    json_t *row = json_pack(
        "{s:s, s:s, s:I, s:I, s:I, s:I}", "vm", get_text(view, "vm"), "zone",
        get_text(view, "zone"), "version", get_number(config, "version"),
        "age_ms", get_number(config, "age_ms"), "servers",
        (json_int_t)json_array_size(json_object_get(view, "servers")), "vms",
        (json_int_t)json_array_size(json_object_get(view, "vms")));
    json_t *owners = json_object_get(view, "owners");
    g_autoptr(GString) text = g_string_new(NULL);
    size_t i;
    const json_t *owner;
    json_array_foreach(owners, i, owner)
    {
        g_string_append_printf(text, "%s%s", i == 0 ? "" : " ",
                               json_string_value(owner));
    }
    json_object_set_new(row, "owners", json_string(text->str));
    return row;
}

static void
print_differences(const json_t *differences)
{
    json_t *rows = json_array();
    size_t i;
    const json_t *row;
    json_array_foreach(differences, i, row)
    {
        const char *vm;
        json_t *state;
        json_object_foreach(json_object_get(row, "states"), vm, state)
        {
            json_array_append_new(rows,
                                  json_pack("{s:s, s:s, s:s, s:O}", "what",
                                            get_text(row, "what"), "name",
                                            get_text(row, "name"), "vm", vm,
                                            "state", state));
        }
    }
    static const struct sas_column columns[] = {
        {"WHAT", "what", SasColumn_PLAIN},
        {"NAME", "name", SasColumn_PLAIN},
        {"SEEN BY", "vm", SasColumn_PLAIN},
        {"AS", "state", SasColumn_PLAIN},
    };
    SasPrint_Table("differences:", rows, columns, G_N_ELEMENTS(columns));
    json_decref(rows);
}

int
SasViews_Print(const json_t *views)
{
    json_t *rows = json_array();
    size_t i;
    const json_t *view;
    json_array_foreach(views, i, view)
    {
        json_array_append_new(rows, summarize(view));
    }
    static const struct sas_column columns[] = {
        {"VM", "vm", SasColumn_PLAIN},
        {"ZONE", "zone", SasColumn_PLAIN},
        {"VERSION", "version", SasColumn_PLAIN},
        {"AGE", "age_ms", SasColumn_MS},
        {"SERVERS", "servers", SasColumn_PLAIN},
        {"VMS", "vms", SasColumn_PLAIN},
        {"OWNERS", "owners", SasColumn_PLAIN},
    };
    SasPrint_Table(NULL, rows, columns, G_N_ELEMENTS(columns));
    json_decref(rows);
    json_t *differences = SasViews_Compare(views);
    print_differences(differences);
    int count = (int)json_array_size(differences);
    json_decref(differences);
    return count;
}
