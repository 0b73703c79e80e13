/* lag - how long an entry VM has lacked a change that others have.
 *
 * The store numbers its changes. An entry VM that learns of a change it does
 * not have usually gets it by its regular poll within a moment. If it doesn't,
 * the poll has stalled, which shows in no other way: a long poll that is never
 * answered looks like one that waits for changes. The VM then polls the store
 * anew and other entry VMs too. If it stays behind, its rows become stale: it
 * does not report them to others as current.
 *
 * Both delays are fractions of the bound within which a change has to be in
 * force here, so that the rest is enough for a poll and its answer.
 *
 * Times are milliseconds of one monotonic clock.
 */
#ifndef SAS_LAG_H
#define SAS_LAG_H

#include <stdint.h>

enum sas_lag_state {
    SAS_LAG_NONE,
    SAS_LAG_BEHIND, /* behind; the pending poll may still bring the change */
    SAS_LAG_FETCH,  /* poll the store anew, and other entry VMs */
    SAS_LAG_STALE   /* the rows are stale */
};

struct sas_lag {
    int64_t bound_ms; /* within which changes have to be in force here */
    int64_t applied;  /* all changes up to this one are applied here */
    int64_t missing;  /* a change reported by others, not applied; 0: none */
    int64_t since_ms; /* when it was reported */
    int64_t newest;   /* the newest change that others reported */
    int64_t latest_ms;
};

void SasLag_Init(struct sas_lag *lag, int64_t bound_ms);

/* Another entry VM reports that it has this change. */
void SasLag_NotePeerVersion(struct sas_lag *lag, int64_t version,
                            int64_t now_ms);

/* All changes up to this one are applied here. */
void SasLag_NoteApplied(struct sas_lag *lag, int64_t version);

/* The store has no change after this one, and all up to it are applied here:
 * later changes that were reported are no longer expected. */
void SasLag_NoteStoreVersion(struct sas_lag *lag, int64_t version);

enum sas_lag_state SasLag_GetState(const struct sas_lag *lag, int64_t now_ms);

/* How long this VM has been behind; 0 if it is not. */
int64_t SasLag_GetBehindMs(const struct sas_lag *lag, int64_t now_ms);

/* Time until the state is reached if no change arrives; 0: it is reached. */
int64_t SasLag_GetMsUntil(const struct sas_lag *lag, enum sas_lag_state state,
                          int64_t now_ms);

#endif
