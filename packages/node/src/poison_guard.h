/* guard - requests that crash the backend servers that run them.
 *
 * Glue between the core's quarantine (sas/quarantine.h), the forwarder, the
 * probes and the peers.
 */
#ifndef SAS_POISON_GUARD_H
#define SAS_POISON_GUARD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#include "refusal.h"
#include "sas/model.h"
#include "sas/proto.h"
#include "sas/quarantine.h"
#include "upstream.h"

struct sas_poison_guard;

/* Who is told; embedded as first member. */
struct sas_poison_guard_listener {
    /* Peers should hear of a suspicion at once. */
    void (*on_change)(struct sas_poison_guard_listener *listener);
    /* A backend server's connection was lost: ask whether it still lives. */
    void (*on_crash_suspected)(struct sas_poison_guard_listener *listener,
                               int backend);
};

struct sas_poison_guard *
SasPoisonGuard_Open(uv_loop_t *loop, const struct sas_model *model,
                    const struct sas_counters *counters,
                    struct sas_poison_guard_listener *listener);
void SasPoisonGuard_Close(struct sas_poison_guard *guard);

/* Whether and how a request may run. */
enum sas_quarantine_verdict
SasPoisonGuard_Check(struct sas_poison_guard *guard,
                     struct sas_fingerprint fingerprint, int *retry_after_s);

/* Before a run alone that ends within lasts_ms; false: one is running. */
bool SasPoisonGuard_BeginIsolatedRun(struct sas_poison_guard *guard,
                                     struct sas_fingerprint fingerprint,
                                     int64_t max_run_ms);

/* The connection was lost while the request ran on this backend server. */
void SasPoisonGuard_NoteLost(struct sas_poison_guard *guard,
                             struct sas_fingerprint fingerprint, int backend,
                             bool isolated);

/* The request ran alone to a whole answer. */
void SasPoisonGuard_NoteCompleted(struct sas_poison_guard *guard,
                                  struct sas_fingerprint fingerprint);

/* A backend server's answer to a probe. */
void SasPoisonGuard_ApplyProbe(struct sas_poison_guard *guard, int backend,
                               const struct sas_load_report *report);

/* Peers. Entries live until the next call. Take is true for something new. */
int SasPoisonGuard_FillEntries(struct sas_poison_guard *guard,
                               struct sas_rpc_quarantine **entries);
bool SasPoisonGuard_ApplyEntries(struct sas_poison_guard *guard,
                                 const struct sas_rpc_quarantine *entries,
                                 int count);

#endif
