/* plan - what of the accepted configuration is in force now.
 *
 * Every node works this out for itself from the version, the clocks and the
 * measurements it has; there is no leader. SasPlan_Advance is called about
 * once a second with the wall clock (milliseconds since the epoch), a
 * monotonic clock and the signals; between two calls nothing changes.
 *
 * The schedule's clock. It starts at the wall clock and never goes back. While
 * the wall clock is ahead of it (a jump forward) it runs at up to
 * SasPlan_CATCH_UP times the monotonic clock; while the wall clock is behind
 * (a jump back) it runs at half speed. So no row is skipped or undone.
 * Drains look at the later of both clocks: a leaving server gets no new work
 * however wrong one of them is.
 *
 * The share in force. It is never above the ordered share, falls with it at
 * once, and rises no faster than the ramp of the row that covers its level,
 * counted in monotonic time, of which one call grants SasPlan_MAX_STEP_MS at
 * most (a paused process does not catch up in one step). It never rises above
 * the point where the schedule would be without any hold. A fresh node starts
 * at 0 (rows without a ramp are in force at once) and may be seeded with what
 * its peers have in force, up to the schedule's point. It rises only towards
 * a region with recent measurements and enough headroom; towards a region
 * that is gone it is 0, and it comes back over SasPlan_RETURN_MS or more.
 */
#ifndef SAS_PLAN_H
#define SAS_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#include "sas/config.h"
#include "sas/error.h"
#include "sas/model.h"
#include "sas/sheet.h"

#define SasPlan_CATCH_UP 10
#define SasPlan_MAX_STEP_MS 10000
#define SasPlan_SKEW_MS 10000     /* between clocks of entry VMs, at most */
#define SasPlan_OLD_MS 10000      /* a measurement of this age holds ramps */
#define SasPlan_MIN_HEADROOM 0.05 /* where the row states none or less */
#define SasPlan_WARM_SHARE 0.1    /* of the ordered share, while warming */
#define SasPlan_RETURN_MS 60000   /* 0 to the whole, after a region was gone */
#define SasPlan_SEED_MS 30000     /* how long a fresh node takes seeds */
#define SasPlan_AHEAD_MS 30000    /* a row this near counts as under way */

/* Why a share is not rising although it is below the ordered one. */
enum sas_hold {
    SAS_HOLD_NONE,
    SAS_HOLD_MEASUREMENTS_OLD,
    SAS_HOLD_HEADROOM_SHORT,
    SAS_HOLD_CACHE_COLD,
    SAS_HOLD_REGION_GONE
};

/* What is known of a service in a region; NAN where nothing is. */
struct sas_plan_signal {
    double headroom; /* share of the capacity that is free, 0 to 1 */
    double age_ms;   /* of the measurement */
};

/* A region is gone when its entry VMs are silent while others are heard. A
 * node that hears nobody is cut off itself and states no region as gone: its
 * shares then stay as they are, for its measurements are old. */
struct sas_plan_signals {
    const struct sas_plan_signal *table; /* [service * regions + region] */
    const bool *gone;                    /* by region; NULL for none */
};

/* One (service, from, to) that the configuration names. */
struct sas_shift {
    int service;
    int from;
    int to;
    double ordered;
    double in_force;
    double cap; /* of the row in force, 0 with SAS_CAP_NONE */
    enum sas_cap_unit cap_unit;
    enum sas_hold holding;
    /* State of SasPlan_Advance. */
    int first_row; /* into the plan's rows */
    int row_count;
    int active;         /* row in force, relative to first_row; or NONE */
    double start_level; /* schedule's point when that row began */
    int64_t flowing_ms; /* time since then with callers on the way */
    bool returning;     /* the region was gone, the share is coming back */
    int64_t carried_at_ms;
    double carried_share;
    int64_t carried_flowing_ms;
};

struct sas_plan {
    const struct sas_model *model;
    int64_t version; /* of the configuration, 0 before the first */
    int64_t accepted_ms;
    struct sas_shift *shifts;
    int shift_count;
    struct sas_intention *rows; /* by service, from, to, then time */
    int row_count;
    struct sas_intention *drains; /* by time */
    int drain_count;
    bool started;
    bool fresh;             /* first version, not advanced yet */
    int64_t fresh_since_ms; /* first Advance of the first version */
    int64_t monotonic_ms;
    int64_t wall_ms;
    int64_t clock_ms; /* the schedule's clock */
    bool *gone;       /* by region, as last signalled */
    double *headroom; /* [service * regions + region], as last signalled */
};

/* What a service's callers of one home region ask for; NAN where unknown. */
struct sas_demand {
    double requests_per_s;
    double mbit_per_s;
    double concurrent;
};

/* Takes over a configuration; number 0 stands for none yet. *plan is zeroed
 * before the first call; on later calls the shares in force and the clocks
 * are carried over. The plan keeps
 * the model, not the configuration. */
void SasPlan_Build(struct sas_plan *plan, const struct sas_model *model,
                   const struct sas_config *config);
void SasPlan_Free(struct sas_plan *plan);

/* Moves the plan to the present. True when a share in force changed. Signals
 * that are NULL say that nothing is known and no region is gone. */
bool SasPlan_Advance(struct sas_plan *plan, int64_t wall_ms,
                     int64_t monotonic_ms,
                     const struct sas_plan_signals *signals);

/* Tells a fresh node what its peers have in force (the lowest heard of); it
 * is taken up to the schedule's point during the first SasPlan_SEED_MS after
 * the first Advance of its first version. True when the share in force
 * changed. */
bool SasPlan_Seed(struct sas_plan *plan, int service, int from, int to,
                  double share);

/* The shift, or NULL when the configuration names none such. */
const struct sas_shift *SasPlan_FindShift(const struct sas_plan *plan,
                                          int service, int from, int to);

/* The share in force of home's callers that goes to the region; for the home
 * region itself, what is left. */
double SasPlan_GetShare(const struct sas_plan *plan, int service, int home,
                        int region);

/* Where home's callers are sent, one weight a region, summing to 1. These are
 * the shares in force, but for a home region that is gone: its own share is
 * spread over the others by their free slots as last heard. */
void SasPlan_GetWeights(const struct sas_plan *plan, int service, int home,
                        double *weights);

/* True while a share from home is on its way to the ordered one, is about to
 * change, or the home region is gone: look-ups then live shortly. */
bool SasPlan_IsShifting(const struct sas_plan *plan, int service, int home);

bool SasPlan_IsDraining(const struct sas_plan *plan, enum sas_drain_kind kind,
                        int target);

/* "", "measurements-old", "headroom-short", "cache-cold", "region-gone". */
const char *SasPlan_GetHoldName(enum sas_hold hold);

/* Dry-run check against the slots of regions and the capacity of links, with
 * all ramps complete: demand[service * regions + home], NULL when unknown.
 * Refused are a shift to a region that has no backend server left for it, a
 * cap above what the target or the link can carry, and a time at which the
 * known demand, or else the caps, overload a region or a link. 0, or -1 with
 * SAS_ECAPACITY and the place in *place (which may be NULL). */
int SasPlan_CheckCapacity(const struct sas_model *model,
                          const struct sas_config *config,
                          const struct sas_demand *demand,
                          struct sas_sheet_error *place,
                          struct sas_error *error);

#endif
