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
    if (lag->known < lag->expected) {
        return;
    }
    bool has_newer = lag->latest > lag->known;
    lag->expected = has_newer ? lag->latest : 0;
    lag->since_ms = lag->latest_ms;
}

void
SasLag_Init(struct sas_lag *lag, int64_t bound_ms)
{
    memset(lag, 0, sizeof(*lag));
    lag->bound_ms = bound_ms;
}

void
SasLag_NoteExpected(struct sas_lag *lag, int64_t version, int64_t now_ms)
{
    if (version <= lag->latest) {
        return;
    }
    lag->latest = version;
    lag->latest_ms = now_ms;
    update_expected(lag);
}

void
SasLag_NoteKnown(struct sas_lag *lag, int64_t version)
{
    lag->known = MAX(lag->known, version);
    update_expected(lag);
}

void
SasLag_NoteNewest(struct sas_lag *lag, int64_t version)
{
    lag->latest = MIN(lag->latest, version);
    lag->expected = MIN(lag->expected, version);
    SasLag_NoteKnown(lag, version);
}

static int64_t
get_limit(const struct sas_lag *lag, enum sas_lag_state state)
{
    double fraction = state == SAS_LAG_UNSURE ? STALE_FRACTION
                      : state == SAS_LAG_ASK  ? POLL_FRACTION
                                              : 0;
    return (int64_t)(fraction * (double)lag->bound_ms);
}

enum sas_lag_state
SasLag_GetState(const struct sas_lag *lag, int64_t now_ms)
{
    if (lag->expected == 0) {
        return SAS_LAG_NONE;
    }
    int64_t behind_ms = SasLag_GetMs(lag, now_ms);
    if (behind_ms >= get_limit(lag, SAS_LAG_UNSURE)) {
        return SAS_LAG_UNSURE;
    }
    return behind_ms >= get_limit(lag, SAS_LAG_ASK) ? SAS_LAG_ASK
                                                    : SAS_LAG_WAIT;
}

int64_t
SasLag_GetMs(const struct sas_lag *lag, int64_t now_ms)
{
    return lag->expected == 0 ? 0 : now_ms - lag->since_ms;
}

int64_t
SasLag_GetWaitMs(const struct sas_lag *lag, enum sas_lag_state state,
                 int64_t now_ms)
{
    return MAX(get_limit(lag, state) - SasLag_GetMs(lag, now_ms), 0);
}
