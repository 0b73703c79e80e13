#include "sas/lag.h"

#include <stdbool.h>
#include <string.h>

#include <glib.h>

/* Fractions of the bound. A change usually arrives within 350 ms, later where
 * another entry VM passes it on. */
#define POLL_FRACTION 0.25
#define STALE_FRACTION 0.4

/* Once the expected change is applied, expects the newest one reported. */
static void
update_expected(struct sas_lag *lag)
{
    if (lag->applied < lag->missing) {
        return;
    }
    bool has_newer = lag->newest > lag->applied;
    lag->missing = has_newer ? lag->newest : 0;
    lag->since_ms = lag->latest_ms;
}

void
SasLag_Init(struct sas_lag *lag, int64_t bound_ms)
{
    memset(lag, 0, sizeof(*lag));
    lag->bound_ms = bound_ms;
}

void
SasLag_NotePeerVersion(struct sas_lag *lag, int64_t version, int64_t now_ms)
{
    if (version <= lag->newest) {
        return;
    }
    lag->newest = version;
    lag->latest_ms = now_ms;
    update_expected(lag);
}

void
SasLag_NoteApplied(struct sas_lag *lag, int64_t version)
{
    lag->applied = MAX(lag->applied, version);
    update_expected(lag);
}

void
SasLag_NoteStoreVersion(struct sas_lag *lag, int64_t version)
{
    lag->newest = MIN(lag->newest, version);
    lag->missing = MIN(lag->missing, version);
    SasLag_NoteApplied(lag, version);
}

static int64_t
get_limit(const struct sas_lag *lag, enum sas_lag_state state)
{
    double fraction = state == SAS_LAG_STALE   ? STALE_FRACTION
                      : state == SAS_LAG_FETCH ? POLL_FRACTION
                                               : 0;
    return (int64_t)(fraction * (double)lag->bound_ms);
}

enum sas_lag_state
SasLag_GetState(const struct sas_lag *lag, int64_t now_ms)
{
    if (lag->missing == 0) {
        return SAS_LAG_NONE;
    }
    int64_t behind_ms = SasLag_GetBehindMs(lag, now_ms);
    if (behind_ms >= get_limit(lag, SAS_LAG_STALE)) {
        return SAS_LAG_STALE;
    }
    return behind_ms >= get_limit(lag, SAS_LAG_FETCH) ? SAS_LAG_FETCH
                                                      : SAS_LAG_BEHIND;
}

int64_t
SasLag_GetBehindMs(const struct sas_lag *lag, int64_t now_ms)
{
    return lag->missing == 0 ? 0 : now_ms - lag->since_ms;
}

int64_t
SasLag_GetMsUntil(const struct sas_lag *lag, enum sas_lag_state state,
                  int64_t now_ms)
{
    return MAX(get_limit(lag, state) - SasLag_GetBehindMs(lag, now_ms), 0);
}
