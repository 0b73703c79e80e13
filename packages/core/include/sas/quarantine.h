/* quarantine - poison requests: those that crash the server that runs them.
 *
 * When a backend server crashes, each request on it may be the cause, so all
 * of them become suspected poison requests. Such a request only gets isolated
 * runs: on a backend server on which nothing else runs, one run at a time. If
 * a run completes, the request is cleared. If that server crashes too, the
 * request is quarantined: refused until no caller has sent it for an hour.
 *
 * A crash is identified by the backend server and its incarnation, so that all
 * nodes that lost connections in one crash count it once. Connections that
 * were lost for another reason must not count: don't report one to a server
 * that is leaving or that this node cancelled, and dismiss the crash
 * (SasQuarantine_Dismiss) when the same incarnation answers a probe that was
 * sent after the loss.
 *
 * Entries are merged between nodes: crashes by union, flags by "or", times by
 * the later one. The merge is commutative, associative and idempotent, except
 * that a full table replaces its least dangerous entry.
 */
#ifndef SAS_QUARANTINE_H
#define SAS_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SasQuarantine_MAX_ENTRIES 256
#define SasQuarantine_MAX_CRASHES 8     /* of one request */
#define SasQuarantine_MAX_DISMISSED 64  /* dismissed crashes that are kept */
#define SasQuarantine_SUSPECT_MS 600000 /* since the last crash or run */
#define SasQuarantine_LIFE_MS 3600000   /* since the last refused attempt */
#define SasQuarantine_RETRY_AFTER_S 1   /* during an isolated run elsewhere */

struct sas_fingerprint {
    uint64_t high;
    uint64_t low;
};

enum sas_quarantine_decision {
    SAS_QUARANTINE_ALLOW,
    SAS_QUARANTINE_ISOLATE, /* only an isolated run */
    SAS_QUARANTINE_WAIT,    /* refuse: an isolated run is pending */
    SAS_QUARANTINE_REFUSE   /* refuse: quarantined */
};

struct sas_crash {
    uint64_t id;   /* 0: none */
    bool isolated; /* nothing else ran there, of any node */
    bool cleared;  /* dismissed, or the request isn't the cause */
};

/* In a table, times are absolute; as sent between nodes they are the remaining
 * time, and the age of the last crash. */
struct sas_quarantine_entry {
    struct sas_fingerprint fingerprint;
    struct sas_crash crashes[SasQuarantine_MAX_CRASHES];
    int crash_count;
    int64_t left_ms;     /* end of the entry's life */
    int64_t isolated_ms; /* end of the isolated run */
    int64_t crashed_at;  /* last crash */
};

struct sas_quarantine {
    struct sas_quarantine_entry entries[SasQuarantine_MAX_ENTRIES];
    int count;
    uint64_t dismissed[SasQuarantine_MAX_DISMISSED];
    int next_dismissed;
};

/* Identifiers: hashes of a request and of a crash. */

struct sas_fingerprint SasQuarantine_HashRequest(const char *method,
                                                 const char *target,
                                                 const void *body,
                                                 size_t size);

uint64_t SasQuarantine_HashCrash(const char *backend, const char *incarnation,
                                 int resets);

/* The id of a crash of that incarnation that is seen now: the first one that
 * is neither dismissed nor cleared, by any node as far as this one knows. */
uint64_t SasQuarantine_ChooseCrash(struct sas_quarantine *q,
                                   const char *backend,
                                   const char *incarnation, int64_t now_ms);

/* Reports. */

void SasQuarantine_Init(struct sas_quarantine *q);

/* The connection was lost while this request ran. isolated: no node had
 * another request on that backend server. */
void SasQuarantine_Suspect(struct sas_quarantine *q,
                           struct sas_fingerprint fingerprint, uint64_t crash,
                           bool isolated, int64_t now_ms);

/* An isolated run completed: the request is cleared, unless it has been
 * quarantined in the meantime. */
void SasQuarantine_Clear(struct sas_quarantine *q,
                         struct sas_fingerprint fingerprint, int64_t now_ms);

/* Dismisses the crash: the connection was lost for another reason. */
void SasQuarantine_Dismiss(struct sas_quarantine *q, uint64_t crash,
                           int64_t now_ms);

/* Decisions. */

/* retry_after_s: for Retry-After; 0 if the request may run. Each refusal of a
 * quarantined request renews its SasQuarantine_LIFE_MS. */
enum sas_quarantine_decision
SasQuarantine_Check(struct sas_quarantine *q,
                    struct sas_fingerprint fingerprint, int64_t now_ms,
                    int *retry_after_s);

/* Crashes that are not dismissed or cleared; 0 for an unknown request. */
int SasQuarantine_CountCrashes(struct sas_quarantine *q,
                               struct sas_fingerprint fingerprint,
                               int64_t now_ms);

/* When the last crash was added, here or at a peer; 0 for an unknown
 * request. */
int64_t SasQuarantine_GetCrashedAt(struct sas_quarantine *q,
                                   struct sas_fingerprint fingerprint,
                                   int64_t now_ms);

/* Clears the request even if it is quarantined: for callers that know that it
 * can't be the cause, as it has completed. */
void SasQuarantine_Trust(struct sas_quarantine *q,
                         struct sas_fingerprint fingerprint, int64_t now_ms);

/* Before an isolated run that ends within max_run_ms. False if one is pending
 * or the request is quarantined. */
bool SasQuarantine_BeginIsolatedRun(struct sas_quarantine *q,
                                    struct sas_fingerprint fingerprint,
                                    int64_t max_run_ms, int64_t now_ms);

/* Exchange with other nodes: Export returns all entries, Merge applies one.
 *
 * Nodes with the same digest agree on all requests with at least min_crashes
 * (cleared ones included) whose last crash is younger than max_age_ms. 0:
 * there are none. */
uint64_t SasQuarantine_GetDigest(struct sas_quarantine *q, int min_crashes,
                                 int64_t max_age_ms, int64_t now_ms);

/* The entry at index (from 0), to be sent; false: there is none. Index 0 drops
 * expired entries first. */
bool SasQuarantine_Export(struct sas_quarantine *q, int index, int64_t now_ms,
                          struct sas_quarantine_entry *entry);
void SasQuarantine_Merge(struct sas_quarantine *q,
                         const struct sas_quarantine_entry *entry,
                         int64_t now_ms);

#endif
