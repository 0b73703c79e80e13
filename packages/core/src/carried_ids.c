#include "sas/carried_ids.h"

struct carried_id {
    int64_t at_ms;
    guint hash;
};

static bool
is_remembered(const struct carried_id *entry, int64_t now_ms)
{
    return now_ms - entry->at_ms <= SasCarriedIds_REMEMBER_MS;
}

static void
forget_old(GArray *entries, int64_t now_ms)
{
    guint old = 0;
    while (old < entries->len &&
           !is_remembered(&g_array_index(entries, struct carried_id, old),
                          now_ms)) {
        old++;
    }
    if (old > 0) {
        g_array_remove_range(entries, 0, old);
    }
}

void
SasCarriedIds_Note(struct sas_carried_ids *ids, const char *id, int64_t now_ms)
{
    if (ids->entries == NULL) {
        ids->entries = g_array_new(FALSE, FALSE, sizeof(struct carried_id));
    }
    forget_old(ids->entries, now_ms);
    struct carried_id entry = {.at_ms = now_ms, .hash = g_str_hash(id)};
    g_array_append_val(ids->entries, entry);
}

bool
SasCarriedIds_Has(const struct sas_carried_ids *ids, const char *id,
                  int64_t now_ms)
{
    guint hash = g_str_hash(id);
    guint count = ids->entries != NULL ? ids->entries->len : 0;
    for (guint i = count; i > 0; i--) {
        const struct carried_id *entry =
            &g_array_index(ids->entries, struct carried_id, i - 1);
        if (!is_remembered(entry, now_ms)) {
            return false;
        }
        if (entry->hash == hash) {
            return true;
        }
    }
    return false;
}

void
SasCarriedIds_Close(struct sas_carried_ids *ids)
{
    if (ids->entries != NULL) {
        g_array_free(ids->entries, TRUE);
        ids->entries = NULL;
    }
}
