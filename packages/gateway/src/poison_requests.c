#include "poison_requests.h"

#include <stdio.h>

#include "sas/log.h"

/* Crashes from which on a request only runs alone, and everybody knows of
 * it. With one of them all requests of a crashed server would have to wait
 * for an idle one. */
#define ISOLATE_CRASHES 2

/* Crashes from which on it may be refused altogether. */
#define REFUSE_CRASHES 3

/* Popular requests are on many servers that go down for other reasons, and an
 * idle server may be long in coming. So a suspect is sent on as ever when it
 * has been in no crash for SUSPECT_MS, and one that was refused gets a trial
 * on an idle server after REFUSED_MS: an innocent one is out for a minute, a
 * guilty one costs a server a minute. */
#define ISOLATE_MS 30000
#define REFUSE_MS 60000

/* Requests whose last crash is older are not told of any more. */
#define SHARED_MS SasQuarantine_SUSPECT_MS

/* Requests that were answered whole of late, by the low part of their
 * fingerprint. One that crashes servers never is; a popular one is all the
 * time, and would otherwise be condemned by crashes that have other causes. */
#define COMPLETED_ROWS 4096
#define COMPLETED_MS 30000

struct completed {
    uint64_t low;
    int64_t at;
};

struct sas_poison_requests {
    struct completed completed[COMPLETED_ROWS];
    uv_loop_t *loop;
    struct sas_fleet *fleet;
    struct sas_pool *pool;
    struct sas_mesh *mesh;
    struct sas_metrics *metrics;
    struct sas_quarantine quarantine;
    GPtrArray *crash_probes; /* struct doubt * */
};

/* A request whose connection broke, until it is known whether its server
 * crashed. */
struct crash_probe {
    struct sas_pool_probe probe;
    struct sas_poison_requests *poison;
    struct sas_fingerprint fingerprint;
    uint64_t crash;
    bool isolated;
    char server_id[SasFleet_ID_SIZE];
};

struct sas_poison_requests *
SasPoisonRequests_New(uv_loop_t *loop, struct sas_fleet *fleet,
                      struct sas_pool *pool, struct sas_mesh *mesh,
                      struct sas_metrics *metrics)
{
    struct sas_poison_requests *poison = g_new0(struct sas_poison_requests, 1);
    poison->loop = loop;
    poison->fleet = fleet;
    poison->pool = pool;
    poison->mesh = mesh;
    poison->metrics = metrics;
    poison->crash_probes = g_ptr_array_new_with_free_func(g_free);
    SasQuarantine_Init(&poison->quarantine);
    return poison;
}

void
SasPoisonRequests_Free(struct sas_poison_requests *poison)
{
    g_ptr_array_free(poison->crash_probes, TRUE);
    g_free(poison);
}

static int64_t
get_now(const struct sas_poison_requests *poison)
{
    return (int64_t)uv_now(poison->loop);
}

bool
SasPoisonRequests_HasAny(const struct sas_poison_requests *poison)
{
    return poison->quarantine.count > 0;
}

static bool
was_completed(const struct sas_poison_requests *poison,
              struct sas_fingerprint fingerprint)
{
    const struct completed *row =
        &poison->completed[fingerprint.low % COMPLETED_ROWS];
    return row->at > 0 && row->low == fingerprint.low &&
           get_now(poison) - row->at < COMPLETED_MS;
}

static int
count_crashes(struct sas_poison_requests *poison,
              struct sas_fingerprint fingerprint)
{
    return SasQuarantine_CountCrashes(&poison->quarantine, fingerprint,
                                      get_now(poison));
}

enum sas_quarantine_verdict
SasPoisonRequests_Check(struct sas_poison_requests *poison,
                        struct sas_fingerprint fingerprint)
{
    int64_t now_ms = get_now(poison);
    int crashes = count_crashes(poison, fingerprint);
    int64_t age_ms = now_ms - SasQuarantine_GetCrashedAt(&poison->quarantine,
                                                         fingerprint, now_ms);
    int retry_after_s = 0;
    if (crashes < ISOLATE_CRASHES) {
        return SAS_QUARANTINE_ALLOW;
    }
    bool refusable =
        crashes >= REFUSE_CRASHES &&
        SasQuarantine_Check(&poison->quarantine, fingerprint, now_ms,
                            &retry_after_s) == SAS_QUARANTINE_REFUSE;
    if (refusable) {
        return age_ms < REFUSE_MS ? SAS_QUARANTINE_REFUSE
                                  : SAS_QUARANTINE_ALONE;
    }
    return age_ms < ISOLATE_MS ? SAS_QUARANTINE_ALONE : SAS_QUARANTINE_ALLOW;
}

/* Telling. */

static void
note_event(struct sas_poison_requests *poison, const char *event,
           const char *server_id, const struct sas_mesh_poison_update *update)
{
    int counter =
        SasMetrics_Register(poison->metrics, "sas_suspects_total", "event",
                            event, "Requests suspected of crashing servers");
    SasMetrics_Add(poison->metrics, counter, 1);
    char name[40];
    snprintf(name, sizeof(name), "%016" G_GINT64_MODIFIER "x",
             update->fingerprint.low);
    SasLog_WriteFields(
        SasLog_WARN, "suspect", server_id, "{s:s, s:s, s:b, s:i, s:b}",
        "event", event, "fingerprint", name, "alone", update->isolated,
        "crashes", count_crashes(poison, update->fingerprint), "quarantined",
        SasPoisonRequests_Check(poison, update->fingerprint) ==
            SAS_QUARANTINE_REFUSE);
}

/* All that it is still suspected of; how many rows. */
static int
list_crashes(const struct sas_quarantine_entry *entry,
             struct sas_mesh_poison_update *rows)
{
    int count = 0;
    for (int i = 0; i < entry->crash_count; i++) {
        if (entry->crashes[i].cleared) {
            continue;
        }
        rows[count].fingerprint = entry->fingerprint;
        rows[count].crash = entry->crashes[i].id;
        rows[count].isolated = entry->crashes[i].alone;
        rows[count++].completed = false;
    }
    return count;
}

/* All crashes of the request go to everybody, so that an entry VM that has
 * heard of none knows as much as the keeper. */
static void
broadcast_crashes(struct sas_poison_requests *poison,
                  struct sas_fingerprint fingerprint)
{
    struct sas_quarantine_entry entry;
    struct sas_mesh_poison_update rows[SasQuarantine_MAX_CRASHES];
    for (int i = 0;
         SasQuarantine_Export(&poison->quarantine, i, get_now(poison), &entry);
         i++) {
        if (entry.fingerprint.high == fingerprint.high &&
            entry.fingerprint.low == fingerprint.low) {
            SasMesh_ReportPoison(poison->mesh, rows,
                                 list_crashes(&entry, rows), true);
        }
    }
}

static bool
is_shareable(const struct sas_quarantine_entry *entry)
{
    return entry->crash_count >= ISOLATE_CRASHES &&
           entry->crashed_at < SHARED_MS;
}

static void
update_digest(struct sas_poison_requests *poison)
{
    SasMesh_SetRecordsDigest(
        poison->mesh,
        SasQuarantine_GetDigest(&poison->quarantine, ISOLATE_CRASHES,
                                SHARED_MS, get_now(poison)));
}

void
SasPoisonRequests_SendRecords(struct sas_poison_requests *poison, int i)
{
    struct sas_quarantine_entry entry;
    for (int j = 0;
         SasQuarantine_Export(&poison->quarantine, j, get_now(poison), &entry);
         j++) {
        if (is_shareable(&entry)) {
            SasMesh_SendRecord(poison->mesh, &entry, i);
        }
    }
    update_digest(poison); /* some may have become too old */
}

static bool
is_coordinator(const struct sas_poison_requests *poison,
               const struct sas_mesh_poison_update *update)
{
    return SasMesh_IsFirst(poison->mesh, update->fingerprint.low);
}

/* Takes a row over; true where it says something new. */
static bool
merge(struct sas_poison_requests *poison,
      const struct sas_mesh_poison_update *update)
{
    int64_t now_ms = get_now(poison);
    int before = count_crashes(poison, update->fingerprint);
    enum sas_quarantine_verdict verdict =
        SasPoisonRequests_Check(poison, update->fingerprint);
    if (update->completed) {
        SasQuarantine_Release(&poison->quarantine, update->fingerprint,
                              now_ms);
    }
    else {
        SasQuarantine_Suspect(&poison->quarantine, update->fingerprint,
                              update->crash, update->isolated, now_ms);
    }
    update_digest(poison);
    return count_crashes(poison, update->fingerprint) != before ||
           SasPoisonRequests_Check(poison, update->fingerprint) != verdict;
}

/* A row of this entry VM's own, or one that came to it. known: crashes before
 * it. */
static void
forward(struct sas_poison_requests *poison,
        const struct sas_mesh_poison_update *update, int crashes_before)
{
    if (update->completed && crashes_before >= ISOLATE_CRASHES) {
        SasMesh_ReportPoison(poison->mesh, update, 1, true);
    }
    else if (!update->completed &&
             count_crashes(poison, update->fingerprint) >= ISOLATE_CRASHES) {
        broadcast_crashes(poison, update->fingerprint);
    }
}

static void
apply_own(struct sas_poison_requests *poison,
          const struct sas_mesh_poison_update *update, const char *event,
          const char *server_id)
{
    int crashes_before = count_crashes(poison, update->fingerprint);
    if (!update->completed && was_completed(poison, update->fingerprint)) {
        return;
    }
    if (!merge(poison, update)) {
        return;
    }
    note_event(poison, event, server_id, update);
    if (is_coordinator(poison, update)) {
        forward(poison, update, crashes_before);
        return;
    }
    SasMesh_ReportPoison(poison->mesh, update, 1, false);
}

/* Another entry VM suspects a request that was answered here. The keeper drops
 * what it knows, and tells of it only what others know; anybody else tells the
 * keeper. */
static void
clear_request(struct sas_poison_requests *poison,
              struct sas_fingerprint fingerprint)
{
    struct sas_mesh_poison_update update = {
        .fingerprint = fingerprint,
        .completed = true,
    };
    if (!is_coordinator(poison, &update)) {
        SasMesh_ReportPoison(poison->mesh, &update, 1, false);
    }
    else if (count_crashes(poison, fingerprint) > 0) {
        apply_own(poison, &update, "survived", "");
    }
}

void
SasPoisonRequests_ApplyUpdate(struct sas_poison_requests *poison,
                              const struct sas_mesh_poison_update *update)
{
    int crashes_before = count_crashes(poison, update->fingerprint);
    if (!update->completed && was_completed(poison, update->fingerprint)) {
        clear_request(poison, update->fingerprint);
        return;
    }
    if (!merge(poison, update)) {
        return;
    }
    note_event(poison, update->completed ? "heard well" : "heard", "", update);
    if (is_coordinator(poison, update)) {
        forward(poison, update, crashes_before);
    }
}

static bool
is_cleared(const struct sas_quarantine_entry *entry)
{
    for (int i = 0; i < entry->crash_count; i++) {
        if (!entry->crashes[i].cleared) {
            return false;
        }
    }
    return true;
}

void
SasPoisonRequests_ApplyRecord(struct sas_poison_requests *poison,
                              const struct sas_quarantine_entry *entry)
{
    struct sas_mesh_poison_update update = {.fingerprint = entry->fingerprint};
    int crashes_before = count_crashes(poison, entry->fingerprint);
    if (!is_cleared(entry) && was_completed(poison, entry->fingerprint)) {
        clear_request(poison, entry->fingerprint);
        return;
    }
    struct sas_quarantine_entry copy = *entry;
    copy.left_ms = SHARED_MS - entry->crashed_at;
    SasQuarantine_Merge(&poison->quarantine, &copy, get_now(poison));
    update_digest(poison);
    if (count_crashes(poison, entry->fingerprint) != crashes_before) {
        note_event(poison, "heard", "", &update);
    }
}

/* Reports. */

static void
on_probed(struct sas_pool_probe *probe, bool accepts_connections)
{
    struct crash_probe *crash_probe = (struct crash_probe *)probe;
    struct sas_poison_requests *poison = crash_probe->poison;
    if (!accepts_connections) {
        struct sas_mesh_poison_update update = {
            .fingerprint = crash_probe->fingerprint,
            .crash = crash_probe->crash,
            .isolated = crash_probe->isolated,
        };
        apply_own(poison, &update, "crash", crash_probe->server_id);
    }
    g_ptr_array_remove_fast(poison->crash_probes, crash_probe);
}

void
SasPoisonRequests_NoteLost(struct sas_poison_requests *poison,
                           struct sas_fingerprint fingerprint, int slot,
                           bool isolated)
{
    const struct sas_server_facts *facts =
        &SasFleet_At(poison->fleet, slot)->facts;
    char born[24];
    snprintf(born, sizeof(born), "%" G_GINT64_FORMAT, facts->born_at);
    struct crash_probe *crash_probe = g_new0(struct crash_probe, 1);
    crash_probe->probe.on_probed = on_probed;
    crash_probe->poison = poison;
    crash_probe->fingerprint = fingerprint;
    crash_probe->crash = SasQuarantine_GetCrash(facts->id, born, 0);
    crash_probe->isolated = isolated;
    g_strlcpy(crash_probe->server_id, facts->id,
              sizeof(crash_probe->server_id));
    g_ptr_array_add(poison->crash_probes, crash_probe);
    SasPool_Probe(poison->pool, slot, &crash_probe->probe);
}

void
SasPoisonRequests_NoteCompleted(struct sas_poison_requests *poison,
                                struct sas_fingerprint fingerprint)
{
    struct completed *row =
        &poison->completed[fingerprint.low % COMPLETED_ROWS];
    row->low = fingerprint.low;
    row->at = get_now(poison);
    struct sas_mesh_poison_update update = {
        .fingerprint = fingerprint,
        .completed = true,
    };
    if (count_crashes(poison, fingerprint) > 0) {
        apply_own(poison, &update, "survived", "");
    }
}
