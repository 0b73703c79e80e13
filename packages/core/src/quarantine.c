#include "sas/quarantine.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

static struct sas_quarantine_entry *
find_entry(struct sas_quarantine *q, struct sas_fingerprint fingerprint,
           int64_t now_ms);
static struct sas_quarantine_entry *
add_entry(struct sas_quarantine *q, struct sas_fingerprint fingerprint,
          int64_t now_ms);
static void drop_expired(struct sas_quarantine *q, int64_t now_ms);
static void add_crash(struct sas_quarantine *q,
                      struct sas_quarantine_entry *entry,
                      struct sas_crash crash);
static bool is_dismissed(const struct sas_quarantine *q, uint64_t crash);
static int get_crash_weight(const struct sas_crash *crash);
static int count_uncleared(const struct sas_quarantine_entry *entry);
static bool is_quarantined(const struct sas_quarantine_entry *entry);
static int get_severity(const struct sas_quarantine_entry *entry);

struct sas_fingerprint
SasQuarantine_HashRequest(const char *method, const char *target,
                          const void *body, size_t size)
{
    XXH128_hash_t parts[3] = {
        XXH3_128bits(method, strlen(method)),
        XXH3_128bits(target, strlen(target)),
        XXH3_128bits(size > 0 ? body : "", size),
    };
    XXH128_hash_t whole = XXH3_128bits(parts, sizeof(parts));
    return (struct sas_fingerprint){whole.high64, whole.low64};
}

uint64_t
SasQuarantine_HashCrash(const char *backend, const char *incarnation,
                        int resets)
{
    uint64_t seed = XXH3_64bits(backend, strlen(backend));
    uint64_t id = XXH3_64bits_withSeed(incarnation, strlen(incarnation), seed);
    id += (uint64_t)resets;
    return id == 0 ? 1 : id;
}

/* Whether the crash was cleared for any request. */
static bool
is_cleared(const struct sas_quarantine *q, uint64_t crash)
{
    for (int i = 0; i < q->count; i++) {
        for (int j = 0; j < q->entries[i].crash_count; j++) {
            const struct sas_crash *known = &q->entries[i].crashes[j];
            if (known->id == crash && known->cleared) {
                return true;
            }
        }
    }
    return false;
}

uint64_t
SasQuarantine_ChooseCrash(struct sas_quarantine *q, const char *backend,
                          const char *incarnation, int64_t now_ms)
{
    drop_expired(q, now_ms);
    int resets = 0;
    uint64_t crash = SasQuarantine_HashCrash(backend, incarnation, resets);
    while (is_dismissed(q, crash) || is_cleared(q, crash)) {
        resets++;
        crash = SasQuarantine_HashCrash(backend, incarnation, resets);
    }
    return crash;
}

void
SasQuarantine_Init(struct sas_quarantine *q)
{
    memset(q, 0, sizeof(*q));
}

void
SasQuarantine_Suspect(struct sas_quarantine *q,
                      struct sas_fingerprint fingerprint, uint64_t crash,
                      bool isolated, int64_t now_ms)
{
    struct sas_quarantine_entry *entry = add_entry(q, fingerprint, now_ms);
    int known = count_uncleared(entry);
    add_crash(q, entry, (struct sas_crash){.id = crash, .isolated = isolated});
    if (count_uncleared(entry) > known) {
        entry->crashed_at = now_ms;
    }
    int64_t life_ms = is_quarantined(entry) ? SasQuarantine_LIFE_MS
                                            : SasQuarantine_SUSPECT_MS;
    entry->left_ms = MAX(entry->left_ms, now_ms + life_ms);
}

void
SasQuarantine_Clear(struct sas_quarantine *q,
                    struct sas_fingerprint fingerprint, int64_t now_ms)
{
    struct sas_quarantine_entry *entry = find_entry(q, fingerprint, now_ms);
    /* A run that began before a peer's report quarantined the request doesn't
     * clear it. */
    if (entry == NULL || is_quarantined(entry)) {
        return;
    }
    for (int i = 0; i < entry->crash_count; i++) {
        entry->crashes[i].cleared = true;
    }
}

void
SasQuarantine_Dismiss(struct sas_quarantine *q, uint64_t crash, int64_t now_ms)
{
    drop_expired(q, now_ms);
    /* Kept, because a peer may report that crash later. */
    if (!is_dismissed(q, crash)) {
        q->dismissed[q->next_dismissed] = crash;
        q->next_dismissed =
            (q->next_dismissed + 1) % SasQuarantine_MAX_DISMISSED;
    }
    for (int i = 0; i < q->count; i++) {
        for (int j = 0; j < q->entries[i].crash_count; j++) {
            struct sas_crash *known = &q->entries[i].crashes[j];
            known->cleared = known->cleared || known->id == crash;
        }
    }
}

enum sas_quarantine_decision
SasQuarantine_Check(struct sas_quarantine *q,
                    struct sas_fingerprint fingerprint, int64_t now_ms,
                    int *retry_after_s)
{
    struct sas_quarantine_entry *entry = find_entry(q, fingerprint, now_ms);
    *retry_after_s = 0;
    if (entry == NULL || count_uncleared(entry) == 0) {
        return SAS_QUARANTINE_ALLOW;
    }
    if (is_quarantined(entry)) {
        entry->left_ms = MAX(entry->left_ms, now_ms + SasQuarantine_LIFE_MS);
        *retry_after_s = (int)((entry->left_ms - now_ms + 999) / 1000);
        return SAS_QUARANTINE_REFUSE;
    }
    if (entry->isolated_ms > now_ms) {
        *retry_after_s = SasQuarantine_RETRY_AFTER_S;
        return SAS_QUARANTINE_WAIT;
    }
    return SAS_QUARANTINE_ISOLATE;
}

int
SasQuarantine_CountCrashes(struct sas_quarantine *q,
                           struct sas_fingerprint fingerprint, int64_t now_ms)
{
    const struct sas_quarantine_entry *entry =
        find_entry(q, fingerprint, now_ms);
    return entry != NULL ? count_uncleared(entry) : 0;
}

int64_t
SasQuarantine_GetCrashedAt(struct sas_quarantine *q,
                           struct sas_fingerprint fingerprint, int64_t now_ms)
{
    const struct sas_quarantine_entry *entry =
        find_entry(q, fingerprint, now_ms);
    return entry != NULL ? entry->crashed_at : 0;
}

void
SasQuarantine_Trust(struct sas_quarantine *q,
                    struct sas_fingerprint fingerprint, int64_t now_ms)
{
    struct sas_quarantine_entry *entry = find_entry(q, fingerprint, now_ms);
    for (int i = 0; entry != NULL && i < entry->crash_count; i++) {
        entry->crashes[i].cleared = true;
    }
}

bool
SasQuarantine_BeginIsolatedRun(struct sas_quarantine *q,
                               struct sas_fingerprint fingerprint,
                               int64_t max_run_ms, int64_t now_ms)
{
    struct sas_quarantine_entry *entry = find_entry(q, fingerprint, now_ms);
    if (entry == NULL) {
        return true;
    }
    /* Two isolated runs at a time would crash two backend servers where one
     * crash shows as much. */
    if (entry->isolated_ms > now_ms || is_quarantined(entry)) {
        return false;
    }
    entry->isolated_ms = now_ms + max_run_ms;
    entry->left_ms = MAX(entry->left_ms, now_ms + SasQuarantine_SUSPECT_MS);
    return true;
}

bool
SasQuarantine_Export(struct sas_quarantine *q, int index, int64_t now_ms,
                     struct sas_quarantine_entry *entry)
{
    if (index == 0) {
        drop_expired(q, now_ms);
    }
    if (index < 0 || index >= q->count) {
        return false;
    }
    *entry = q->entries[index];
    entry->left_ms = MAX(entry->left_ms - now_ms, 0);
    entry->isolated_ms = MAX(entry->isolated_ms - now_ms, 0);
    entry->crashed_at = now_ms - entry->crashed_at;
    return true;
}

static uint64_t
hash_crash(const struct sas_quarantine_entry *entry,
           const struct sas_crash *crash)
{
    uint64_t words[] = {entry->fingerprint.high, entry->fingerprint.low,
                        crash->id,
                        (uint64_t)crash->isolated << 1 | crash->cleared};
    return XXH3_64bits(words, sizeof(words));
}

uint64_t
SasQuarantine_GetDigest(struct sas_quarantine *q, int min_crashes,
                        int64_t max_age_ms, int64_t now_ms)
{
    uint64_t digest = 0;
    drop_expired(q, now_ms);
    for (int i = 0; i < q->count; i++) {
        const struct sas_quarantine_entry *entry = &q->entries[i];
        bool counts = entry->crash_count >= min_crashes &&
                      now_ms - entry->crashed_at < max_age_ms;
        for (int j = 0; counts && j < entry->crash_count; j++) {
            digest ^= hash_crash(entry, &entry->crashes[j]);
        }
    }
    return digest;
}

void
SasQuarantine_Merge(struct sas_quarantine *q,
                    const struct sas_quarantine_entry *entry, int64_t now_ms)
{
    int count = CLAMP(entry->crash_count, 0, SasQuarantine_MAX_CRASHES);
    int64_t left_ms = CLAMP(entry->left_ms, 0, SasQuarantine_LIFE_MS);
    int64_t isolated_ms =
        CLAMP(entry->isolated_ms, 0, SasQuarantine_SUSPECT_MS);
    if (count == 0 || left_ms == 0) {
        return;
    }
    struct sas_quarantine_entry *own =
        add_entry(q, entry->fingerprint, now_ms);
    for (int i = 0; i < count; i++) {
        if (entry->crashes[i].id != 0) {
            add_crash(q, own, entry->crashes[i]);
        }
    }
    own->left_ms = MAX(own->left_ms, now_ms + left_ms);
    own->isolated_ms = MAX(own->isolated_ms, now_ms + isolated_ms);
    own->crashed_at = MAX(own->crashed_at, now_ms - MAX(entry->crashed_at, 0));
}

/* Static helpers. */

static struct sas_quarantine_entry *
find_entry(struct sas_quarantine *q, struct sas_fingerprint fingerprint,
           int64_t now_ms)
{
    drop_expired(q, now_ms);
    for (int i = 0; i < q->count; i++) {
        if (q->entries[i].fingerprint.high == fingerprint.high &&
            q->entries[i].fingerprint.low == fingerprint.low) {
            return &q->entries[i];
        }
    }
    return NULL;
}

static struct sas_quarantine_entry *
add_entry(struct sas_quarantine *q, struct sas_fingerprint fingerprint,
          int64_t now_ms)
{
    struct sas_quarantine_entry *entry = find_entry(q, fingerprint, now_ms);
    if (entry != NULL) {
        return entry;
    }
    if (q->count < SasQuarantine_MAX_ENTRIES) {
        entry = &q->entries[q->count];
        q->count++;
    }
    else {
        entry = &q->entries[0];
        for (int i = 1; i < q->count; i++) {
            int difference =
                get_severity(&q->entries[i]) - get_severity(entry);
            if (difference < 0 ||
                (difference == 0 && q->entries[i].left_ms < entry->left_ms)) {
                entry = &q->entries[i];
            }
        }
    }
    memset(entry, 0, sizeof(*entry));
    entry->fingerprint = fingerprint;
    entry->left_ms = now_ms;
    return entry;
}

static void
drop_expired(struct sas_quarantine *q, int64_t now_ms)
{
    int kept = 0;
    for (int i = 0; i < q->count; i++) {
        if (q->entries[i].left_ms > now_ms) {
            if (kept != i) {
                q->entries[kept] = q->entries[i];
            }
            kept++;
        }
    }
    q->count = kept;
}

/* Keeps the crashes sorted by descending weight, so that a full list drops the
 * same ones in any order of arrival. */
static void
add_crash(struct sas_quarantine *q, struct sas_quarantine_entry *entry,
          struct sas_crash crash)
{
    struct sas_crash all[SasQuarantine_MAX_CRASHES + 1];
    int count = 0;
    crash.cleared = crash.cleared || is_dismissed(q, crash.id);
    for (int i = 0; i < entry->crash_count; i++) {
        if (entry->crashes[i].id == crash.id) {
            crash.isolated = crash.isolated || entry->crashes[i].isolated;
            crash.cleared = crash.cleared || entry->crashes[i].cleared;
        }
        else {
            all[count++] = entry->crashes[i];
        }
    }
    int at = count;
    while (at > 0 &&
           (get_crash_weight(&all[at - 1]) < get_crash_weight(&crash) ||
            (get_crash_weight(&all[at - 1]) == get_crash_weight(&crash) &&
             all[at - 1].id < crash.id))) {
        all[at] = all[at - 1];
        at--;
    }
    all[at] = crash;
    entry->crash_count = MIN(count + 1, SasQuarantine_MAX_CRASHES);
    memcpy(entry->crashes, all, sizeof(all[0]) * (size_t)entry->crash_count);
}

static bool
is_dismissed(const struct sas_quarantine *q, uint64_t crash)
{
    for (int i = 0; i < SasQuarantine_MAX_DISMISSED; i++) {
        if (q->dismissed[i] == crash) {
            return true;
        }
    }
    return false;
}

static int
get_crash_weight(const struct sas_crash *crash)
{
    return crash->cleared ? 0 : 1 + crash->isolated;
}

static int
count_uncleared(const struct sas_quarantine_entry *entry)
{
    int count = 0;
    for (int i = 0; i < entry->crash_count; i++) {
        count += !entry->crashes[i].cleared;
    }
    return count;
}

/* Two crashes, one of them in an isolated run. Without that condition a
 * popular request would be quarantined: it may run in any number of crashes
 * that other requests cause. */
static bool
is_quarantined(const struct sas_quarantine_entry *entry)
{
    bool isolated = false;
    for (int i = 0; i < entry->crash_count; i++) {
        isolated = isolated ||
                   (entry->crashes[i].isolated && !entry->crashes[i].cleared);
    }
    return isolated && count_uncleared(entry) >= 2;
}

static int
get_severity(const struct sas_quarantine_entry *entry)
{
    return is_quarantined(entry) * 2 * SasQuarantine_MAX_CRASHES +
           count_uncleared(entry);
}
