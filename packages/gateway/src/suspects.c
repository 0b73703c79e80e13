#include "suspects.h"

#include <stdio.h>

#include "sas/log.h"

/* Crashes from which on a request only runs alone, and everybody knows of
 * it. With one of them all requests of a crashed server would have to wait
 * for an idle one. */
#define ALONE_CRASHES 2

/* Crashes from which on it may be refused altogether. */
#define REFUSE_CRASHES 3

/* Popular requests are on many servers that go down for other reasons, and an
 * idle server may be long in coming. So a suspect is sent on as ever when it
 * has been in no crash for SUSPECT_MS, and one that was refused gets a trial
 * on an idle server after REFUSED_MS: an innocent one is out for a minute, a
 * guilty one costs a server a minute. */
#define SUSPECT_MS 30000
#define REFUSED_MS 60000

/* Requests whose last crash is older are not told of any more. */
#define SHARED_MS SasQuarantine_SUSPECT_MS

/* Requests that were answered whole of late, by the low part of their
 * fingerprint. One that crashes servers never is; a popular one is all the
 * time, and would otherwise be condemned by crashes that have other causes. */
#define ANSWERED_ROWS 4096
#define ANSWERED_MS 30000

struct answered {
    uint64_t low;
    int64_t at;
};

struct sas_suspects {
    struct answered answered[ANSWERED_ROWS];
    uv_loop_t *loop;
    struct sas_fleet *fleet;
    struct sas_pool *pool;
    struct sas_mesh *mesh;
    struct sas_metrics *metrics;
    struct sas_quarantine core;
    GPtrArray *doubts; /* struct doubt * */
};

/* A request whose connection broke, until it is known whether its server
 * crashed. */
struct doubt {
    struct sas_pool_check check;
    struct sas_suspects *suspects;
    struct sas_fingerprint fingerprint;
    uint64_t crash;
    bool alone;
    char server_id[SasFleet_ID_SIZE];
};

struct sas_suspects *
SasSuspects_New(uv_loop_t *loop, struct sas_fleet *fleet,
                struct sas_pool *pool, struct sas_mesh *mesh,
                struct sas_metrics *metrics)
{
    struct sas_suspects *suspects = g_new0(struct sas_suspects, 1);
    suspects->loop = loop;
    suspects->fleet = fleet;
    suspects->pool = pool;
    suspects->mesh = mesh;
    suspects->metrics = metrics;
    suspects->doubts = g_ptr_array_new_with_free_func(g_free);
    SasQuarantine_Init(&suspects->core);
    return suspects;
}

void
SasSuspects_Free(struct sas_suspects *suspects)
{
    g_ptr_array_free(suspects->doubts, TRUE);
    g_free(suspects);
}

static int64_t
get_now(const struct sas_suspects *suspects)
{
    return (int64_t)uv_now(suspects->loop);
}

bool
SasSuspects_Any(const struct sas_suspects *suspects)
{
    return suspects->core.count > 0;
}

static bool
was_answered(const struct sas_suspects *suspects,
             struct sas_fingerprint fingerprint)
{
    const struct answered *row =
        &suspects->answered[fingerprint.low % ANSWERED_ROWS];
    return row->at > 0 && row->low == fingerprint.low &&
           get_now(suspects) - row->at < ANSWERED_MS;
}

static int
count_crashes(struct sas_suspects *suspects,
              struct sas_fingerprint fingerprint)
{
    return SasQuarantine_CountCrashes(&suspects->core, fingerprint,
                                      get_now(suspects));
}

enum sas_quarantine_verdict
SasSuspects_Check(struct sas_suspects *suspects,
                  struct sas_fingerprint fingerprint)
{
    int64_t now_ms = get_now(suspects);
    int crashes = count_crashes(suspects, fingerprint);
    int64_t age_ms = now_ms - SasQuarantine_GetCrashedAt(&suspects->core,
                                                         fingerprint, now_ms);
    int retry_after_s = 0;
    if (crashes < ALONE_CRASHES) {
        return SAS_QUARANTINE_ALLOW;
    }
    bool guilty = crashes >= REFUSE_CRASHES &&
                  SasQuarantine_Check(&suspects->core, fingerprint, now_ms,
                                      &retry_after_s) == SAS_QUARANTINE_REFUSE;
    if (guilty) {
        return age_ms < REFUSED_MS ? SAS_QUARANTINE_REFUSE
                                   : SAS_QUARANTINE_ALONE;
    }
    return age_ms < SUSPECT_MS ? SAS_QUARANTINE_ALONE : SAS_QUARANTINE_ALLOW;
}

/* Telling. */

static void
note_event(struct sas_suspects *suspects, const char *event,
           const char *server_id, const struct sas_mesh_suspect_news *news)
{
    int counter =
        SasMetrics_Register(suspects->metrics, "sas_suspects_total", "event",
                            event, "Requests suspected of crashing servers");
    SasMetrics_Add(suspects->metrics, counter, 1);
    char name[40];
    snprintf(name, sizeof(name), "%016" G_GINT64_MODIFIER "x",
             news->fingerprint.low);
    SasLog_WriteFields(
        SasLog_WARN, "suspect", server_id, "{s:s, s:s, s:b, s:i, s:b}",
        "event", event, "fingerprint", name, "alone", news->alone, "crashes",
        count_crashes(suspects, news->fingerprint), "quarantined",
        SasSuspects_Check(suspects, news->fingerprint) ==
            SAS_QUARANTINE_REFUSE);
}

/* All that it is still suspected of; how many rows. */
static int
list_crashes(const struct sas_quarantine_entry *entry,
             struct sas_mesh_suspect_news *rows)
{
    int count = 0;
    for (int i = 0; i < entry->crash_count; i++) {
        if (entry->crashes[i].cleared) {
            continue;
        }
        rows[count].fingerprint = entry->fingerprint;
        rows[count].crash = entry->crashes[i].id;
        rows[count].alone = entry->crashes[i].alone;
        rows[count++].survived = false;
    }
    return count;
}

/* All crashes of the request go to everybody, so that an entry VM that has
 * heard of none knows as much as the keeper. */
static void
tell_all(struct sas_suspects *suspects, struct sas_fingerprint fingerprint)
{
    struct sas_quarantine_entry entry;
    struct sas_mesh_suspect_news rows[SasQuarantine_MAX_CRASHES];
    for (int i = 0;
         SasQuarantine_Export(&suspects->core, i, get_now(suspects), &entry);
         i++) {
        if (entry.fingerprint.high == fingerprint.high &&
            entry.fingerprint.low == fingerprint.low) {
            SasMesh_TellSuspect(suspects->mesh, rows,
                                list_crashes(&entry, rows), true);
        }
    }
}

static bool
is_shared(const struct sas_quarantine_entry *entry)
{
    return entry->crash_count >= ALONE_CRASHES &&
           entry->crashed_at < SHARED_MS;
}

static void
update_digest(struct sas_suspects *suspects)
{
    SasMesh_SetRecordsDigest(
        suspects->mesh, SasQuarantine_GetDigest(&suspects->core, ALONE_CRASHES,
                                                SHARED_MS, get_now(suspects)));
}

void
SasSuspects_TellRecords(struct sas_suspects *suspects, int i)
{
    struct sas_quarantine_entry entry;
    for (int j = 0;
         SasQuarantine_Export(&suspects->core, j, get_now(suspects), &entry);
         j++) {
        if (is_shared(&entry)) {
            SasMesh_SendRecord(suspects->mesh, &entry, i);
        }
    }
    update_digest(suspects); /* some may have become too old */
}

static bool
is_keeper(const struct sas_suspects *suspects,
          const struct sas_mesh_suspect_news *news)
{
    return SasMesh_IsFirst(suspects->mesh, news->fingerprint.low);
}

/* Takes a row over; true where it says something new. */
static bool
merge(struct sas_suspects *suspects, const struct sas_mesh_suspect_news *news)
{
    int64_t now_ms = get_now(suspects);
    int before = count_crashes(suspects, news->fingerprint);
    enum sas_quarantine_verdict verdict =
        SasSuspects_Check(suspects, news->fingerprint);
    if (news->survived) {
        SasQuarantine_Release(&suspects->core, news->fingerprint, now_ms);
    }
    else {
        SasQuarantine_Suspect(&suspects->core, news->fingerprint, news->crash,
                              news->alone, now_ms);
    }
    update_digest(suspects);
    return count_crashes(suspects, news->fingerprint) != before ||
           SasSuspects_Check(suspects, news->fingerprint) != verdict;
}

/* A row of this entry VM's own, or one that came to it. known: crashes before
 * it. */
static void
pass_on(struct sas_suspects *suspects,
        const struct sas_mesh_suspect_news *news, int known)
{
    if (news->survived && known >= ALONE_CRASHES) {
        SasMesh_TellSuspect(suspects->mesh, news, 1, true);
    }
    else if (!news->survived &&
             count_crashes(suspects, news->fingerprint) >= ALONE_CRASHES) {
        tell_all(suspects, news->fingerprint);
    }
}

static void
note_own(struct sas_suspects *suspects,
         const struct sas_mesh_suspect_news *news, const char *event,
         const char *server_id)
{
    int known = count_crashes(suspects, news->fingerprint);
    if (!news->survived && was_answered(suspects, news->fingerprint)) {
        return;
    }
    if (!merge(suspects, news)) {
        return;
    }
    note_event(suspects, event, server_id, news);
    if (is_keeper(suspects, news)) {
        pass_on(suspects, news, known);
        return;
    }
    SasMesh_TellSuspect(suspects->mesh, news, 1, false);
}

/* Another entry VM suspects a request that was answered here. The keeper drops
 * what it knows, and tells of it only what others know; anybody else tells the
 * keeper. */
static void
vouch(struct sas_suspects *suspects, struct sas_fingerprint fingerprint)
{
    struct sas_mesh_suspect_news news = {
        .fingerprint = fingerprint,
        .survived = true,
    };
    if (!is_keeper(suspects, &news)) {
        SasMesh_TellSuspect(suspects->mesh, &news, 1, false);
    }
    else if (count_crashes(suspects, fingerprint) > 0) {
        note_own(suspects, &news, "survived", "");
    }
}

void
SasSuspects_TakeNews(struct sas_suspects *suspects,
                     const struct sas_mesh_suspect_news *news)
{
    int known = count_crashes(suspects, news->fingerprint);
    if (!news->survived && was_answered(suspects, news->fingerprint)) {
        vouch(suspects, news->fingerprint);
        return;
    }
    if (!merge(suspects, news)) {
        return;
    }
    note_event(suspects, news->survived ? "heard well" : "heard", "", news);
    if (is_keeper(suspects, news)) {
        pass_on(suspects, news, known);
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
SasSuspects_TakeRecord(struct sas_suspects *suspects,
                       const struct sas_quarantine_entry *entry)
{
    struct sas_mesh_suspect_news news = {.fingerprint = entry->fingerprint};
    int known = count_crashes(suspects, entry->fingerprint);
    if (!is_cleared(entry) && was_answered(suspects, entry->fingerprint)) {
        vouch(suspects, entry->fingerprint);
        return;
    }
    struct sas_quarantine_entry copy = *entry;
    copy.left_ms = SHARED_MS - entry->crashed_at;
    SasQuarantine_Merge(&suspects->core, &copy, get_now(suspects));
    update_digest(suspects);
    if (count_crashes(suspects, entry->fingerprint) != known) {
        note_event(suspects, "heard", "", &news);
    }
}

/* Reports. */

static void
on_checked(struct sas_pool_check *check, bool takes_connections)
{
    struct doubt *doubt = (struct doubt *)check;
    struct sas_suspects *suspects = doubt->suspects;
    if (!takes_connections) {
        struct sas_mesh_suspect_news news = {
            .fingerprint = doubt->fingerprint,
            .crash = doubt->crash,
            .alone = doubt->alone,
        };
        note_own(suspects, &news, "crash", doubt->server_id);
    }
    g_ptr_array_remove_fast(suspects->doubts, doubt);
}

void
SasSuspects_NoteLost(struct sas_suspects *suspects,
                     struct sas_fingerprint fingerprint, int slot, bool alone)
{
    const struct sas_server_facts *facts =
        &SasFleet_At(suspects->fleet, slot)->facts;
    char born[24];
    snprintf(born, sizeof(born), "%" G_GINT64_FORMAT, facts->born_at);
    struct doubt *doubt = g_new0(struct doubt, 1);
    doubt->check.on_checked = on_checked;
    doubt->suspects = suspects;
    doubt->fingerprint = fingerprint;
    doubt->crash = SasQuarantine_GetCrash(facts->id, born, 0);
    doubt->alone = alone;
    g_strlcpy(doubt->server_id, facts->id, sizeof(doubt->server_id));
    g_ptr_array_add(suspects->doubts, doubt);
    SasPool_Check(suspects->pool, slot, &doubt->check);
}

void
SasSuspects_NoteSurvived(struct sas_suspects *suspects,
                         struct sas_fingerprint fingerprint)
{
    struct answered *row =
        &suspects->answered[fingerprint.low % ANSWERED_ROWS];
    row->low = fingerprint.low;
    row->at = get_now(suspects);
    struct sas_mesh_suspect_news news = {
        .fingerprint = fingerprint,
        .survived = true,
    };
    if (count_crashes(suspects, fingerprint) > 0) {
        note_own(suspects, &news, "survived", "");
    }
}
