/* plan - the part of the accepted configuration that is in force now.
 *
 * Each node computes its plan alone, from the configuration version, its
 * clocks and its measurements; there is no leader. SasPlan_Advance is called
 * about once a second with the wall clock (milliseconds since the epoch), a
 * monotonic clock and the signals; between two calls only SasPlan_Seed changes
 * anything.
 *
 * Schedule clock. It starts at the wall clock and never goes back. When the
 * wall clock jumps forward, the schedule clock follows at no more than
 * SasPlan_MAX_CLOCK_RATE times the monotonic clock; when the wall clock jumps
 * back, it runs at half speed until the wall clock has caught up. So no row is
 * skipped or undone. Drains use the later of schedule clock and wall clock, so
 * that a server or VM which must leave gets no new work even if one of them is
 * wrong.
 *
 * Share in force. It never exceeds the ordered share and falls with it at
 * once. It rises no faster than the ramp of the row that covers the current
 * share, counted in monotonic time, of which one call credits at most
 * SasPlan_MAX_RAMP_STEP_MS, so that a paused process does not catch up in one
 * step. It never rises above the scheduled share, which is where the ramps
 * alone would be, without any hold. A node that has just started begins at 0
 * (a row without a ramp is in force at once) and may be seeded with the shares
 * that its peers have in force, up to the scheduled share. A share rises only
 * towards a region with recent measurements and enough headroom. Towards a
 * region that is down it is 0; after that it takes at least
 * SasPlan_RECOVERY_RAMP_MS to return to the ordered share.
 */
#ifndef SAS_PLAN_H
#define SAS_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#include "sas/config.h"
#include "sas/error.h"
#include "sas/model.h"
#include "sas/sheet.h"

#define SasPlan_MAX_CLOCK_RATE 10 /* most schedule ms per monotonic ms */
/* most ramp time credited by one call */
#define SasPlan_MAX_RAMP_STEP_MS 10000
/* tolerated clock skew of entry VMs */
#define SasPlan_MAX_CLOCK_SKEW_MS 10000
/* older measurements put ramps on hold */
#define SasPlan_MAX_SIGNAL_AGE_MS 10000
#define SasPlan_MIN_HEADROOM 0.05 /* lower bound of a row's headroom */
/* of the ordered share, while caches warm */
#define SasPlan_WARMUP_SHARE 0.1
/* least rise time after a region was down */
#define SasPlan_RECOVERY_RAMP_MS 60000
#define SasPlan_SEED_WINDOW_MS 30000 /* how long a new node accepts seeds */
#define SasPlan_IMMINENT_MS 30000 /* TTLs get short this long before a row */

/* Why a share does not rise although it is below the ordered share. */
enum sas_hold {
    SAS_HOLD_NONE,
    SAS_HOLD_MEASUREMENTS_OLD, /* stale or missing */
    SAS_HOLD_HEADROOM_SHORT,
    SAS_HOLD_CACHE_COLD, /* the row's warm-up time is not over */
    SAS_HOLD_REGION_GONE /* the target region is down */
};

/* Measurement of a service in a region; NAN when unknown. */
struct sas_plan_signal {
    double headroom; /* free part of the capacity, 0 to 1 */
    double age_ms;   /* of the measurement */
};

/* Input of SasPlan_Advance. A region is down when none of its entry VMs is
 * live (platform mode) or none of its backend servers answers health checks
 * (standalone mode). In platform mode a partitioned node reports no region as
 * down, so that it does not take its own partition for an outage. */
struct sas_plan_signals {
    const struct sas_plan_signal *table; /* [service * regions + region] */
    const bool *down;                    /* by region; NULL for none */
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
    int first_row; /* index into the plan's rows */
    int row_count;
    int active_row;     /* row in force, relative to first_row; or NONE */
    double start_share; /* scheduled share when that row took effect */
    int64_t warmup_ms;  /* warm-up: time since then with a share above 0 */
    bool recovering;    /* the region was down, the share ramps up again */
    /* Time, share and warm-up of the row in force under the previous version;
     * previous_at_ms is -1 when there was none. */
    int64_t previous_at_ms;
    double previous_share;
    int64_t previous_warmup_ms;
};

struct sas_plan {
    const struct sas_model *model;
    int64_t version; /* of the configuration, 0 before the first */
    int64_t accepted_ms;
    struct sas_shift *shifts;
    int shift_count;
    struct sas_sheet_row *rows; /* by service, from, to, then time */
    int row_count;
    struct sas_sheet_row *drains; /* by time */
    int drain_count;
    bool started;
    bool fresh;                   /* first version, not advanced yet */
    int64_t seed_window_start_ms; /* first Advance of the first version */
    int64_t monotonic_ms;
    int64_t wall_ms;
    int64_t clock_ms; /* schedule clock */
    bool *down;       /* region is down, from the last signals */
    double *headroom; /* [service * regions + region], NAN if unknown or old */
};

/* Demand of a service's callers in one home region; NAN when unknown. */
struct sas_demand {
    double requests_per_s;
    double mbit_per_s;
    double concurrent; /* requests running at the same time */
};

/* Builds the plan for a configuration; version 0 stands for none yet. *plan
 * must be zeroed before the first call; later calls keep the shares in force
 * and the clocks. The plan keeps a pointer to the model, not to the
 * configuration. */
void SasPlan_Build(struct sas_plan *plan, const struct sas_model *model,
                   const struct sas_config *config);
void SasPlan_Free(struct sas_plan *plan);

/* Advances the plan to the given times. True when a share in force changed.
 * NULL signals mean that nothing is known and no region is down. */
bool SasPlan_Advance(struct sas_plan *plan, int64_t wall_ms,
                     int64_t monotonic_ms,
                     const struct sas_plan_signals *signals);

/* Raises a share to what a peer has in force, at most to the scheduled share.
 * Only has an effect during the first SasPlan_SEED_WINDOW_MS after the first
 * Advance of the node's first version, and not while the target region is
 * down. True when the share in force changed. */
bool SasPlan_Seed(struct sas_plan *plan, int service, int from, int to,
                  double share);

/* Returns the shift, or NULL when the configuration has none such. */
const struct sas_shift *SasPlan_FindShift(const struct sas_plan *plan,
                                          int service, int from, int to);

/* The share of home's callers that goes to the region now; for the home region
 * itself, the remaining share. */
double SasPlan_GetShare(const struct sas_plan *plan, int service, int home,
                        int region);

/* Fills in one weight per region for home's callers, summing to 1. These are
 * the shares in force, except when the home region is down: its own share is
 * then spread over the other regions by their free execution slots, if they
 * have any. */
void SasPlan_GetWeights(const struct sas_plan *plan, int service, int home,
                        double *weights);

/* True while a share from home differs from the ordered one or a row changes
 * it within SasPlan_IMMINENT_MS, and while the home region is down. Lookup
 * answers then get a short TTL. */
bool SasPlan_IsShifting(const struct sas_plan *plan, int service, int home);

bool SasPlan_IsDraining(const struct sas_plan *plan, enum sas_drain_kind kind,
                        int target);

/* "", "measurements-old", "headroom-short", "cache-cold", "region-gone". */
const char *SasPlan_GetHoldName(enum sas_hold hold);

/* Checks a configuration against the execution slots of regions and the
 * capacity of links, with all ramps complete; demand is indexed by
 * [service * regions + home], NULL when unknown. Refuses a shift to a region
 * without a backend server left for it, a cap above the capacity of target or
 * link, and any time at which a region or a link is overloaded. The load of a
 * shift is the lesser of its known demand and its cap. Returns 0, or -1 with
 * SAS_ECAPACITY and the row and column in *place (which may be NULL). */
int SasPlan_CheckCapacity(const struct sas_model *model,
                          const struct sas_config *config,
                          const struct sas_demand *demand,
                          struct sas_sheet_error *place,
                          struct sas_error *error);

#endif
