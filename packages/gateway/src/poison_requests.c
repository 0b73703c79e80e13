#include "poison_requests.h"

#include <stdio.h>

#include "sas/log.h"

/* From this number of crashes on, a request runs isolated and its crashes are
 * broadcast. With 1, all requests of a crashed server would have to wait for
 * idle servers. */
#define ISOLATE_CRASHES 2

/* From this number of crashes on, it may be refused. */
#define REFUSE_CRASHES 3

/* Popular requests often run on servers that crash for other reasons, and it
 * may take long until a server is idle. So a suspected request is sent
 * normally again ISOLATE_MS after its last crash, and a refused one gets an
 * isolated run REFUSE_MS after it: a harmless one is refused for a minute, a
 * harmful one costs a server a minute. */
#define ISOLATE_MS 30000
#define REFUSE_MS 60000

/* Records are not shared once their last crash is older. */
#define SHARED_MS SasQuarantine_SUSPECT_MS

/* Recently completed requests, by the low part of their fingerprint. A poison
 * request never completes. A popular one does all the time, and would
 * otherwise be refused for crashes that have other causes. */
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
    GPtrArray *crash_probes; /* struct crash_probe * */
};

/* Servers that are probed beside the one that may have crashed, to find out
 * whether this entry VM's links to the servers work. */
#define CONTROLS 2

struct control {
    struct sas_pool_probe probe;
    struct crash_probe *crash_probe;
};

/* A request whose connection was lost, while probes find out whether its
 * server has crashed. */
struct crash_probe {
    struct sas_pool_probe probe;
    struct sas_poison_requests *poison;
    struct sas_fingerprint fingerprint;
    uint64_t crash;
    bool isolated;
    struct sas_server_ref server;
    char server_id[SasFleet_ID_SIZE];
    struct control controls[CONTROLS];
    int control_count;
    int pending;       /* probes without a result */
    bool ended;        /* the probe of the server is */
    bool counted;      /* the crash is */
    bool failed;       /* the server accepts no connection */
    bool links_work;   /* a control does */
    bool was_repeated; /* the probe of the server, since they do */
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

enum sas_quarantine_decision
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
                                  : SAS_QUARANTINE_ISOLATE;
    }
    return age_ms < ISOLATE_MS ? SAS_QUARANTINE_ISOLATE : SAS_QUARANTINE_ALLOW;
}

/* Reports to other entry VMs. */

static void
note_event(struct sas_poison_requests *poison, const char *event,
           const char *server_id, const struct sas_mesh_poison_update *update)
{
    int counter = SasMetrics_RegisterCounter(
        poison->metrics, "sas_suspects_total", "event", event,
        "Requests suspected of crashing servers");
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

/* Lists the crashes of the entry that are not cleared; returns their number.
 */
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
        rows[count].isolated = entry->crashes[i].isolated;
        rows[count++].completed = false;
    }
    return count;
}

/* Sends all crashes of the request to all members, so that each of them knows
 * as many as the coordinator. */
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
    update_digest(poison); /* some records may have become too old */
}

static bool
is_coordinator(const struct sas_poison_requests *poison,
               const struct sas_mesh_poison_update *update)
{
    return SasMesh_IsFirst(poison->mesh, update->fingerprint.low);
}

/* Merges an update; true if it changes the crash count or the decision. */
static bool
merge(struct sas_poison_requests *poison,
      const struct sas_mesh_poison_update *update)
{
    int64_t now_ms = get_now(poison);
    int before = count_crashes(poison, update->fingerprint);
    enum sas_quarantine_decision decision =
        SasPoisonRequests_Check(poison, update->fingerprint);
    if (update->completed) {
        SasQuarantine_Trust(&poison->quarantine, update->fingerprint, now_ms);
    }
    else {
        SasQuarantine_Suspect(&poison->quarantine, update->fingerprint,
                              update->crash, update->isolated, now_ms);
    }
    update_digest(poison);
    return count_crashes(poison, update->fingerprint) != before ||
           SasPoisonRequests_Check(poison, update->fingerprint) != decision;
}

/* At the coordinator: broadcasts a crash once there are ISOLATE_CRASHES, and a
 * completion if there were as many before it. */
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

/* Another entry VM suspects a request that has recently completed here. The
 * coordinator clears its own record, and broadcasts that only if it has
 * broadcast the crashes; any other entry VM reports to the coordinator. */
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

/* Events of this entry VM. */

static void
note_crash(struct crash_probe *crash_probe)
{
    struct sas_mesh_poison_update update = {
        .fingerprint = crash_probe->fingerprint,
        .crash = crash_probe->crash,
        .isolated = crash_probe->isolated,
    };
    crash_probe->counted = true;
    apply_own(crash_probe->poison, &update, "crash", crash_probe->server_id);
}

static void
repeat_probe(struct crash_probe *crash_probe)
{
    struct sas_poison_requests *poison = crash_probe->poison;
    if (SasFleet_GetServer(poison->fleet, crash_probe->server) == NULL) {
        return;
    }
    crash_probe->was_repeated = true;
    crash_probe->ended = false;
    crash_probe->pending++;
    SasPool_Probe(poison->pool, crash_probe->server.slot, &crash_probe->probe);
}

/* While this entry VM's links to the servers are cut, no server accepts a
 * connection, and after a short cut all do again. So a crash is one if a
 * control accepts a connection, and the server still doesn't after it. */
static void
decide(struct crash_probe *crash_probe)
{
    if (!crash_probe->ended || !crash_probe->failed || crash_probe->counted) {
        return;
    }
    if (crash_probe->was_repeated || crash_probe->control_count == 0) {
        note_crash(crash_probe);
    }
    else if (crash_probe->links_work) {
        repeat_probe(crash_probe);
    }
}

/* A probe has a result. */
static void
end_one(struct crash_probe *crash_probe)
{
    crash_probe->pending--;
    decide(crash_probe);
    if (crash_probe->pending == 0) {
        g_ptr_array_remove_fast(crash_probe->poison->crash_probes,
                                crash_probe);
    }
}

static void
on_probed(struct sas_pool_probe *probe, bool accepts_connections)
{
    struct crash_probe *crash_probe = (struct crash_probe *)probe;
    crash_probe->failed = !accepts_connections;
    crash_probe->ended = true;
    end_one(crash_probe);
}

static void
on_control(struct sas_pool_probe *probe, bool accepts_connections)
{
    struct crash_probe *crash_probe = ((struct control *)probe)->crash_probe;
    crash_probe->links_work |= accepts_connections;
    end_one(crash_probe);
}

/* The servers that follow it in the service's list. */
static void
probe_controls(struct crash_probe *crash_probe)
{
    struct sas_poison_requests *poison = crash_probe->poison;
    int slot = crash_probe->server.slot;
    const GArray *servers =
        SasFleet_GetService(poison->fleet,
                            SasFleet_At(poison->fleet, slot)->service)
            ->servers;
    guint own = 0;
    while (own < servers->len && g_array_index(servers, int, own) != slot) {
        own++;
    }
    for (guint i = 1; i < servers->len && i <= CONTROLS; i++) {
        struct control *control =
            &crash_probe->controls[crash_probe->control_count++];
        control->probe.on_probed = on_control;
        control->probe.without_hold = true;
        control->crash_probe = crash_probe;
        SasPool_Probe(poison->pool,
                      g_array_index(servers, int, (own + i) % servers->len),
                      &control->probe);
    }
    crash_probe->pending += crash_probe->control_count;
}

void
SasPoisonRequests_NoteLost(struct sas_poison_requests *poison,
                           struct sas_fingerprint fingerprint, int slot,
                           bool isolated)
{
    const struct sas_server_facts *facts =
        &SasFleet_At(poison->fleet, slot)->facts;
    char born[24];
    snprintf(born, sizeof(born), "%" G_GINT64_FORMAT, facts->started_at);
    struct crash_probe *crash_probe = g_new0(struct crash_probe, 1);
    crash_probe->probe.on_probed = on_probed;
    crash_probe->poison = poison;
    crash_probe->fingerprint = fingerprint;
    crash_probe->crash = SasQuarantine_HashCrash(facts->id, born, 0);
    crash_probe->isolated = isolated;
    crash_probe->server = SasFleet_GetRef(poison->fleet, slot);
    crash_probe->pending = 1;
    g_strlcpy(crash_probe->server_id, facts->id,
              sizeof(crash_probe->server_id));
    g_ptr_array_add(poison->crash_probes, crash_probe);
    SasPool_Probe(poison->pool, slot, &crash_probe->probe);
    probe_controls(crash_probe);
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
