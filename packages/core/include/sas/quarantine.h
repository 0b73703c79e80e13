/* quarantine - requests that crash the backend server that runs them.
 *
 * A backend server that dies takes along every request on it; one of them
 * may be the cause. All of them become suspects. A suspect runs only on a
 * backend server of its own, one run at a time: when it succeeds there, it
 * is cleared; when that server crashes too, the request is quarantined and
 * refused until nobody has sent it for an hour.
 *
 * A crash is named by the backend server and its incarnation, so that all
 * nodes that lost connections in one crash count it once. A connection that
 * was lost for another reason must not condemn: do not report one to a
 * server that is leaving or that we cancelled, and call SasQuarantine_Void
 * when the same incarnation answers a probe begun after the loss.
 *
 * Entries are merged between nodes: crashes by union, marks by "or", times
 * by the later one; so order, grouping and repetition do not matter. (As
 * long as the tables are not full: then the least dangerous goes.)
 */
#ifndef SAS_QUARANTINE_H
#define SAS_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SasQuarantine_MAX_ENTRIES 256
#define SasQuarantine_MAX_CRASHES 8 /* remembered for one fingerprint */
#define SasQuarantine_MAX_VOIDED 64
#define SasQuarantine_SUSPECT_MS 600000 /* since the last news */
#define SasQuarantine_LIFE_MS 3600000   /* since the last attempt */
#define SasQuarantine_RETRY_AFTER_S 1   /* while it runs alone elsewhere */

struct sas_fingerprint {
    uint64_t high;
    uint64_t low;
};

enum sas_quarantine_verdict {
    SAS_QUARANTINE_ALLOW,
    SAS_QUARANTINE_ALONE, /* on a backend server of its own, or not at all */
    SAS_QUARANTINE_WAIT,  /* it is running alone; not run, Retry-After */
    SAS_QUARANTINE_REFUSE /* final; not run, Retry-After */
};

struct sas_crash {
    uint64_t id;  /* 0: none */
    bool alone;   /* nothing else ran there, of any node */
    bool cleared; /* no crash, or the request proved innocent of it */
};

/* As it is sent between nodes: times are what is left of them, and how long
 * ago the last crash was. */
struct sas_quarantine_entry {
    struct sas_fingerprint fingerprint;
    struct sas_crash crashes[SasQuarantine_MAX_CRASHES];
    int crash_count;
    int64_t left_ms;    /* of the entry's life; in a table: until when */
    int64_t trial_ms;   /* of a run alone; in a table: until when */
    int64_t crashed_at; /* of the last crash; in a table: when */
};

struct sas_quarantine {
    struct sas_quarantine_entry entries[SasQuarantine_MAX_ENTRIES];
    int count;
    uint64_t voided[SasQuarantine_MAX_VOIDED];
    int next_voided;
};

/* Names. */

struct sas_fingerprint SasQuarantine_GetFingerprint(const char *method,
                                                    const char *target,
                                                    const void *body,
                                                    size_t size);

/* resets: how often this node has voided a crash of that incarnation, so
 * that a real crash after a reset is not taken for the reset. */
uint64_t SasQuarantine_GetCrash(const char *backend, const char *incarnation,
                                int resets);

/* Reports. */

void SasQuarantine_Init(struct sas_quarantine *q);

/* The connection was lost while this request ran. alone is true only when
 * no node had anything else on that backend server. */
void SasQuarantine_Suspect(struct sas_quarantine *q,
                           struct sas_fingerprint fingerprint, uint64_t crash,
                           bool alone, int64_t now_ms);

/* It ran alone to a whole answer. */
void SasQuarantine_Clear(struct sas_quarantine *q,
                         struct sas_fingerprint fingerprint, int64_t now_ms);

/* That was no crash. */
void SasQuarantine_Void(struct sas_quarantine *q, uint64_t crash,
                        int64_t now_ms);

/* Decisions. */

enum sas_quarantine_verdict
SasQuarantine_Check(struct sas_quarantine *q,
                    struct sas_fingerprint fingerprint, int64_t now_ms,
                    int *retry_after_s);

/* Crashes that it is still suspected of; 0 for one that is not known. */
int SasQuarantine_CountCrashes(struct sas_quarantine *q,
                               struct sas_fingerprint fingerprint,
                               int64_t now_ms);

/* When the last of them was added here; 0 for one that is not known. */
int64_t SasQuarantine_GetCrashedAt(struct sas_quarantine *q,
                                   struct sas_fingerprint fingerprint,
                                   int64_t now_ms);

/* It has run to a whole answer, and is trusted again whatever was known: for
 * those who know that it can't have crashed anything. */
void SasQuarantine_Release(struct sas_quarantine *q,
                           struct sas_fingerprint fingerprint, int64_t now_ms);

/* Before a run alone, which ends within lasts_ms. False: one is running. */
bool SasQuarantine_BeginTrial(struct sas_quarantine *q,
                              struct sas_fingerprint fingerprint,
                              int64_t lasts_ms, int64_t now_ms);

/* Exchange with other nodes: Export gives out all entries, Merge takes one
 * over. Two nodes whose digests are the same have nothing to tell each other
 * of requests suspected of at least min_crashes (cleared ones counted) whose
 * last crash is younger than max_age_ms; 0: there are none. */
uint64_t SasQuarantine_GetDigest(struct sas_quarantine *q, int min_crashes,
                                 int64_t max_age_ms, int64_t now_ms);

/* Entry number index (from 0) to be sent; false: there is none. */
bool SasQuarantine_Export(struct sas_quarantine *q, int index, int64_t now_ms,
                          struct sas_quarantine_entry *entry);
void SasQuarantine_Merge(struct sas_quarantine *q,
                         const struct sas_quarantine_entry *entry,
                         int64_t now_ms);

#endif
