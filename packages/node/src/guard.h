/* guard - requests that crash the backend servers that run them.
 *
 * Glue between the core's quarantine (sas/quarantine.h), the forwarder and
 * the peers.
 */
#ifndef SAS_GUARD_H
#define SAS_GUARD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "reasons.h"
#include "sas/model.h"
#include "sas/store.h"

struct sas_guard;

struct sas_fingerprint {
    uint64_t high;
    uint64_t low;
};

enum sas_guard_verdict {
    SAS_GUARD_ALLOW,
    SAS_GUARD_ALONE, /* only where nothing else runs */
    SAS_GUARD_REFUSE
};

struct sas_guard *SasGuard_Open(uv_loop_t *loop, const struct sas_model *model,
                                const struct sas_counters *counters,
                                struct sas_store *store);
void SasGuard_Close(struct sas_guard *guard);

/* What identifies a request, whoever sends it and through which entry VM. */
struct sas_fingerprint SasGuard_GetFingerprint(const char *method,
                                               const char *target,
                                               const char *body,
                                               size_t body_size);

enum sas_guard_verdict
SasGuard_Check(struct sas_guard *guard,
               const struct sas_fingerprint *fingerprint, int *retry_after_s);

/* The connection was lost while the request ran on this backend server. */
void SasGuard_NoteLost(struct sas_guard *guard,
                       const struct sas_fingerprint *fingerprint, int backend,
                       bool alone);

/* The request ran to its end. */
void SasGuard_NoteSurvived(struct sas_guard *guard,
                           const struct sas_fingerprint *fingerprint);

#endif
