/* lag - how long an entry VM has been behind a change that others have.
 *
 * The store numbers its changes. An entry VM that hears of a change which it
 * does not have yet will mostly have it within a moment, by its usual way. If
 * not, that way has failed, though nothing else shows it: a question to the
 * store that is never answered looks like one that waits for changes. Then it
 * asks elsewhere, and while it goes on being behind it does not tell others
 * that its rows are up to date.
 *
 * Both moments are parts of the time within which a change has to be in force
 * here, so that what is left is enough for a question and its answer.
 *
 * Times are milliseconds of one monotonic clock.
 */
#ifndef SAS_LAG_H
#define SAS_LAG_H

#include <stdint.h>

enum sas_lag_state {
    SAS_LAG_NONE,
    SAS_LAG_WAIT,  /* behind, and the usual way may still bring it */
    SAS_LAG_ASK,   /* ask elsewhere */
    SAS_LAG_UNSURE /* and vouch for nothing */
};

struct sas_lag {
    int64_t bound_ms; /* within which changes have to be in force here */
    int64_t known;    /* all changes up to this one are known here */
    int64_t expected; /* the oldest news of one that is not; 0: none */
    int64_t since_ms; /* of that news */
    int64_t latest;   /* the newest change that others have named */
    int64_t latest_ms;
};

void SasLag_Init(struct sas_lag *lag, int64_t bound_ms);

/* Another entry VM has this change. */
void SasLag_NoteExpected(struct sas_lag *lag, int64_t version, int64_t now_ms);

/* All changes up to this one are known here. */
void SasLag_NoteKnown(struct sas_lag *lag, int64_t version);

/* The store itself knows of no change beyond this one: whatever was named
 * beyond it does not exist. */
void SasLag_NoteNewest(struct sas_lag *lag, int64_t version);

enum sas_lag_state SasLag_GetState(const struct sas_lag *lag, int64_t now_ms);

/* How long it is behind; 0 where it is not. */
int64_t SasLag_GetMs(const struct sas_lag *lag, int64_t now_ms);

/* How long until the state is reached if nothing comes; 0: it is reached. */
int64_t SasLag_GetWaitMs(const struct sas_lag *lag, enum sas_lag_state state,
                         int64_t now_ms);

#endif
