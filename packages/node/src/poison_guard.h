/* poison_guard - finds requests that crash the backend servers that run them.
 *
 * Connects the core's quarantine (sas/quarantine.h) with the forwarder, the
 * load probes and the peers. Times are loop milliseconds.
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

/* Embedded in the owner's struct. */
struct sas_poison_guard_listener {
    /* Entries changed; they are to be sent to the peers at once. */
    void (*on_change)(struct sas_poison_guard_listener *listener);
    /* A connection was lost in mid-request; a probe is to tell whether the
     * backend server crashed. */
    void (*on_crash_suspected)(struct sas_poison_guard_listener *listener,
                               int backend);
};

struct sas_poison_guard *
SasPoisonGuard_Open(uv_loop_t *loop, const struct sas_model *model,
                    const struct sas_counters *counters,
                    struct sas_poison_guard_listener *listener);
void SasPoisonGuard_Close(struct sas_poison_guard *guard);

/* Whether a request may run, and whether only isolated. Sets *retry_after_s
 * when it may not. */
enum sas_quarantine_decision
SasPoisonGuard_Check(struct sas_poison_guard *guard,
                     struct sas_fingerprint fingerprint, int *retry_after_s);

/* Before an isolated run that ends within max_run_ms; false when one is in
 * progress. */
bool SasPoisonGuard_BeginIsolatedRun(struct sas_poison_guard *guard,
                                     struct sas_fingerprint fingerprint,
                                     int64_t max_run_ms);

/* The connection was lost while the request ran on this backend server;
 * isolated: in an isolated run. */
void SasPoisonGuard_NoteLost(struct sas_poison_guard *guard,
                             struct sas_fingerprint fingerprint, int backend,
                             bool isolated);

/* An isolated run ended with an answer: the request is cleared. */
void SasPoisonGuard_NoteCompleted(struct sas_poison_guard *guard,
                                  struct sas_fingerprint fingerprint);

/* A backend server's answer to a load probe confirms or dismisses the crash
 * suspected there. */
void SasPoisonGuard_ApplyProbe(struct sas_poison_guard *guard, int backend,
                               const struct sas_load_report *report);

/* Exchange with peers. Fill returns the number of entries, valid until the
 * next call. Apply returns true when an entry was new or changed. */
int SasPoisonGuard_FillEntries(struct sas_poison_guard *guard,
                               struct sas_rpc_quarantine **entries);
bool SasPoisonGuard_ApplyEntries(struct sas_poison_guard *guard,
                                 const struct sas_rpc_quarantine *entries,
                                 int count);

#endif
