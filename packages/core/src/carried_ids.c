#include "sas/carried_ids.h"

static gpointer
make_key(const char *id)
{
    return GUINT_TO_POINTER(g_str_hash(id));
}

static bool
contains(GHashTable *set, gpointer key)
{
    return set != NULL && g_hash_table_contains(set, key);
}

/* How many times as old as a request may become the newer set is. */
static int
get_age(const struct sas_carried_ids *ids, int64_t now_ms)
{
    int64_t age_ms = MAX(now_ms - ids->newer_since_ms - 1, 0);
    return (int)MIN(age_ms / SasCarriedIds_REMEMBER_MS, 2);
}

static void
begin_newer(struct sas_carried_ids *ids, int64_t now_ms)
{
    ids->newer = g_hash_table_new(g_direct_hash, NULL);
    ids->newer_since_ms = now_ms;
}

/* Drops the sets all of whose ids are old enough. */
static void
forget_old(struct sas_carried_ids *ids, int64_t now_ms)
{
    int age = get_age(ids, now_ms);
    if (age >= 1) {
        g_clear_pointer(&ids->older, g_hash_table_destroy);
        ids->older = g_steal_pointer(&ids->newer);
    }
    if (age >= 2) {
        g_clear_pointer(&ids->older, g_hash_table_destroy);
    }
}

void
SasCarriedIds_Note(struct sas_carried_ids *ids, const char *id, int64_t now_ms)
{
    forget_old(ids, now_ms);
    if (ids->newer == NULL) {
        begin_newer(ids, now_ms);
    }
    g_hash_table_add(ids->newer, make_key(id));
}

bool
SasCarriedIds_Has(const struct sas_carried_ids *ids, const char *id,
                  int64_t now_ms)
{
    int age = get_age(ids, now_ms);
    gpointer key = make_key(id);
    return (age < 2 && contains(ids->newer, key)) ||
           (age < 1 && contains(ids->older, key));
}

bool
SasCarriedIds_IsFull(const struct sas_carried_ids *ids, int64_t now_ms)
{
    return ids->newer != NULL && get_age(ids, now_ms) < 1 &&
           g_hash_table_size(ids->newer) >= SasCarriedIds_MAX;
}

void
SasCarriedIds_Close(struct sas_carried_ids *ids)
{
    g_clear_pointer(&ids->newer, g_hash_table_destroy);
    g_clear_pointer(&ids->older, g_hash_table_destroy);
}
