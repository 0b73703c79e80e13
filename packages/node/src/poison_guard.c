#include "poison_guard.h"

#include <glib.h>
#include <string.h>

#include <xxhash.h>

#include "sas/log.h"
#include "sas/metrics.h"

struct backend_row {
    char incarnation[SasModel_NAME_SIZE]; /* in its last probe answer */
    uint64_t unconfirmed_crash;           /* awaits a probe; 0: none */
    int64_t lost_at;
};

struct sas_poison_guard {
    uv_loop_t *loop;
    const struct sas_model *model;
    struct sas_poison_guard_listener *listener;
    struct sas_metrics *metrics;
    int suspected_counter;
    int dismissed_counter;
    struct sas_quarantine core;
    struct backend_row *backends;
    struct sas_rpc_quarantine rows[SAS_RPC_MAX_QUARANTINES];
    struct sas_rpc_crash crashes[SAS_RPC_MAX_QUARANTINES][SAS_RPC_MAX_CRASHES];
};

struct sas_poison_guard *
SasPoisonGuard_Open(uv_loop_t *loop, const struct sas_model *model,
                    const struct sas_counters *counters,
                    struct sas_poison_guard_listener *listener)
{
    struct sas_poison_guard *guard = g_new0(struct sas_poison_guard, 1);
    guard->loop = loop;
    guard->model = model;
    guard->listener = listener;
    guard->metrics = counters->metrics;
    guard->backends = g_new0(struct backend_row, model->backend_count);
    guard->suspected_counter = SasMetrics_RegisterCounter(
        guard->metrics, "sas_suspected_total", NULL, NULL,
        "Requests whose connection was lost while they ran");
    guard->dismissed_counter = SasMetrics_RegisterCounter(
        guard->metrics, "sas_suspicions_voided_total", NULL, NULL,
        "Lost connections whose backend server had not crashed");
    SasQuarantine_Init(&guard->core);
    return guard;
}

void
SasPoisonGuard_Close(struct sas_poison_guard *guard)
{
    g_free(guard->backends);
    g_free(guard);
}

static int64_t
get_now(const struct sas_poison_guard *guard)
{
    return (int64_t)uv_now(guard->loop);
}

enum sas_quarantine_decision
SasPoisonGuard_Check(struct sas_poison_guard *guard,
                     struct sas_fingerprint fingerprint, int *retry_after_s)
{
    return SasQuarantine_Check(&guard->core, fingerprint, get_now(guard),
                               retry_after_s);
}

bool
SasPoisonGuard_BeginIsolatedRun(struct sas_poison_guard *guard,
                                struct sas_fingerprint fingerprint,
                                int64_t max_run_ms)
{
    bool begun = SasQuarantine_BeginIsolatedRun(&guard->core, fingerprint,
                                                max_run_ms, get_now(guard));
    if (begun) {
        guard->listener->on_change(guard->listener);
    }
    return begun;
}

void
SasPoisonGuard_NoteLost(struct sas_poison_guard *guard,
                        struct sas_fingerprint fingerprint, int backend,
                        bool isolated)
{
    struct backend_row *row = &guard->backends[backend];
    const char *name = guard->model->backends[backend].name;
    int64_t now = get_now(guard);
    uint64_t crash =
        SasQuarantine_ChooseCrash(&guard->core, name, row->incarnation, now);
    SasQuarantine_Suspect(&guard->core, fingerprint, crash, isolated, now);
    SasMetrics_Add(guard->metrics, guard->suspected_counter, 1);
    SasLog_Write(SasLog_WARN, "guard.suspect", name,
                 "connection lost during request %" G_GINT64_MODIFIER "x%s",
                 fingerprint.low, isolated ? ", an isolated run" : "");
    row->unconfirmed_crash = crash;
    row->lost_at = now;
    guard->listener->on_change(guard->listener);
    guard->listener->on_crash_suspected(guard->listener, backend);
}

void
SasPoisonGuard_NoteCompleted(struct sas_poison_guard *guard,
                             struct sas_fingerprint fingerprint)
{
    SasQuarantine_Clear(&guard->core, fingerprint, get_now(guard));
    guard->listener->on_change(guard->listener);
}

/* A connection may be lost without a crash, for example by the restart of a
 * device on the way. A probe begun after the loss and answered by the same
 * incarnation shows that the backend server did not crash: the suspicion of
 * the requests on that connection is dismissed. */
void
SasPoisonGuard_ApplyProbe(struct sas_poison_guard *guard, int backend,
                          const struct sas_load_report *report)
{
    struct backend_row *row = &guard->backends[backend];
    bool same = strcmp(row->incarnation, report->incarnation) == 0;
    if (row->unconfirmed_crash != 0 && report->asked_at >= row->lost_at) {
        if (same) {
            SasQuarantine_Dismiss(&guard->core, row->unconfirmed_crash,
                                  get_now(guard));
            SasMetrics_Add(guard->metrics, guard->dismissed_counter, 1);
            guard->listener->on_change(guard->listener);
        }
        row->unconfirmed_crash = 0;
    }
    if (!same) {
        g_strlcpy(row->incarnation, report->incarnation,
                  sizeof(row->incarnation));
    }
}

/* Peers. */

int
SasPoisonGuard_FillEntries(struct sas_poison_guard *guard,
                           struct sas_rpc_quarantine **entries)
{
    struct sas_quarantine_entry entry;
    int64_t now = get_now(guard);
    int count = 0;
    while (count < SAS_RPC_MAX_QUARANTINES &&
           SasQuarantine_Export(&guard->core, count, now, &entry)) {
        struct sas_rpc_quarantine *row = &guard->rows[count];
        row->high = entry.fingerprint.high;
        row->low = entry.fingerprint.low;
        row->left_ms = (u_int)entry.left_ms;
        row->isolated_ms = (u_int)entry.isolated_ms;
        row->crashes.crashes_len = (u_int)entry.crash_count;
        row->crashes.crashes_val = guard->crashes[count];
        for (int i = 0; i < entry.crash_count; i++) {
            guard->crashes[count][i] = (struct sas_rpc_crash){
                entry.crashes[i].id, entry.crashes[i].isolated,
                entry.crashes[i].cleared};
        }
        count++;
    }
    *entries = guard->rows;
    return count;
}

static uint64_t
get_digest(struct sas_poison_guard *guard)
{
    return SasQuarantine_GetDigest(&guard->core, 0, INT64_MAX, get_now(guard));
}

bool
SasPoisonGuard_ApplyEntries(struct sas_poison_guard *guard,
                            const struct sas_rpc_quarantine *entries,
                            int count)
{
    uint64_t old_digest = get_digest(guard);
    for (int i = 0; i < count; i++) {
        const struct sas_rpc_quarantine *row = &entries[i];
        struct sas_quarantine_entry entry = {
            .fingerprint = {row->high, row->low},
            .left_ms = MIN(row->left_ms, SasQuarantine_LIFE_MS),
            .isolated_ms = MIN(row->isolated_ms, SasForward_MAX_DEADLINE_MS),
        };
        u_int crashes =
            MIN(row->crashes.crashes_len, (u_int)SasQuarantine_MAX_CRASHES);
        for (u_int j = 0; j < crashes; j++) {
            const struct sas_rpc_crash *crash = &row->crashes.crashes_val[j];
            entry.crashes[entry.crash_count++] =
                (struct sas_crash){crash->id, crash->isolated, crash->cleared};
        }
        SasQuarantine_Merge(&guard->core, &entry, get_now(guard));
    }
    return get_digest(guard) != old_digest;
}
