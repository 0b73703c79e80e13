/* budget - a limit, split over the entry VMs without agreement.
 *
 * A budget is a limit (a region's execution slots, a shift's cap, a link's
 * Mbit/s, a backend server's connections) that is split into a floor for each
 * member, an entry VM. A member lends units that it does not need to a peer
 * for a limited time. At every instant the sum of what all members may use
 * stays within the limit, also when messages are lost, duplicated or delayed
 * and when members are paused, crash, restart or are partitioned.
 * docs/notes-budget.md holds the argument and what is not provable.
 *
 * Units are integers: slots or connections for SAS_BUDGET_CONCURRENT;
 * milli-units per second (milli-requests, milli-Mbit) for SAS_BUDGET_RATE.
 * Times are monotonic milliseconds of the calling process; clocks run within
 * 1% of true time. Nothing allocates; the struct belongs to the caller, who
 * keeps a budget that has lent until SasBudget_IsSettled.
 *
 * Messages between members, each sent after the call that precedes it:
 *
 *   borrower                          lender
 *   id = Ask()        --ask id-->     granted = Lend(id)
 *   Borrowed(id)      <--granted--
 *   seq = Renew(id)   --renew seq-->  ok = Extend(id)
 *   Renewed(id, seq)  <--ok--
 *   left = Return(id) --left-->       AcceptReturn(id, left)
 *
 * after the lender's restart:
 *   ok = Disown()     <--incarnation--
 *                     --ok-->         Disowned(incarnation)
 */
#ifndef SAS_BUDGET_H
#define SAS_BUDGET_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#define SasBudget_MAX_MEMBERS 32
#define SasBudget_MAX_LOANS 64       /* lent, and as many borrowed */
#define SasBudget_MAX_PENDING 3      /* loan requests in flight */
#define SasBudget_ANSWER_MS 1000     /* then a request is taken for lost */
#define SasBudget_LOAN_MS 15000      /* default duration of a loan */
#define SasBudget_MARGIN_MS 1000     /* a lender holds a loan longer by this */
#define SasBudget_CLOCK_PERCENT 2    /* and by this part of its duration */
#define SasBudget_RESERVE_PERCENT 10 /* of a floor: never lent */
#define SasBudget_RECENT_MS 2000     /* time constant of the decaying means */
#define SasBudget_BURST_MS 100       /* size of a rate's token bucket */
#define SasBudget_RATE_PERCENT 99    /* of a rate is refilled: fast clocks */
#define SasBudget_HINT_MS 10000      /* then a peer's hint expires */
#define SasBudget_MIN_BACKOFF_MS 100
#define SasBudget_MAX_BACKOFF_MS 5000

enum sas_budget_kind {
    SAS_BUDGET_CONCURRENT, /* Acquire and Release */
    SAS_BUDGET_RATE        /* AcquireRate */
};

struct sas_loan {
    uint64_t id;      /* 0: a free entry */
    int member_id;    /* the peer */
    int64_t granted;  /* units; never rises */
    int64_t used;     /* units in use (borrower) */
    int64_t until_ms; /* usable (borrower) or held (lender) until then */
    int64_t asked_ms; /* when it was requested or renewed last */
    uint32_t renewal; /* sequence number of the newest renewal */
    bool pending;     /* requested, no answer yet (borrower) */
    bool closing;     /* not renewed, no new use */
};

struct sas_budget_peer {
    int64_t max_floor; /* upper bound of the floor that it may still use */
    int64_t epoch;     /* the newest that it announced, -1: none */
    int64_t unused;    /* hint: units that it might lend */
    int64_t hint_ms;   /* when the hint came, INT64_MIN: never */
    int64_t ask_ms;    /* no loan request before then */
    int64_t backoff_ms;
    bool disowned; /* holds no loan of our earlier incarnations */
};

struct sas_budget_settings {
    enum sas_budget_kind kind;
    int members;
    int own_id;
    uint32_t incarnation; /* differs from earlier starts of this member */
    int64_t loan_ms;      /* of loans; fixed, the same on all members */
    int64_t quantum;      /* rates: the largest single amount */
};

struct sas_budget {
    struct sas_budget_settings settings;
    int64_t epoch;
    int64_t announced;       /* newest epoch whose floor our use is within */
    int64_t effective_floor; /* own floor, as far as peers announced room */
    int64_t floors[SasBudget_MAX_MEMBERS];
    struct sas_budget_peer peers[SasBudget_MAX_MEMBERS];
    struct sas_loan lent[SasBudget_MAX_LOANS];
    struct sas_loan borrowed[SasBudget_MAX_LOANS];
    uint32_t next_loan;
    bool recovering;
    int64_t recover_until_ms;
    int64_t own_used;
    /* Decaying means, in millionths: units in use, and units acquired and
     * refused per second. */
    int64_t mean_used;
    int64_t mean_acquired;
    int64_t mean_refused;
    int64_t decayed_ms; /* up to then the means have decayed */
    bool unmet;         /* units were refused since the last loan came */
    int64_t tokens;     /* rates: thousandths of a milli-unit */
    int64_t filled_ms;  /* rates: last refill of the token bucket */
};

/* Splitting a limit. */

/* Splits limit into floors by weight. Their sum is the limit, or 0 if all
 * weights are 0. The remaining units go to the largest remainders, then to the
 * lowest members, so that all entry VMs compute the same. A member without a
 * running VM takes part by its weight. */
void SasBudget_Split(int64_t limit, const int64_t *weights, int member_count,
                     int64_t *floors);

/* Start and changes of the floors. */

/* Starts without loans. While loans of an earlier incarnation may exist (the
 * recovery), only the reserve of the floor is usable. Epochs number the
 * changes of this budget's floors. A starting process begins with the oldest
 * epoch that a member may still be in, then calls SasBudget_SetFloors for each
 * later one; the last is not below any that this member has announced. */
void SasBudget_Init(struct sas_budget *b,
                    const struct sas_budget_settings *settings,
                    const int64_t *floors, int64_t epoch, int64_t now_ms);

/* Sets the floors of a new epoch. A lower own floor applies at once, a higher
 * one when the members whose floors fall have announced the epoch. Older and
 * equal epochs are ignored. */
void SasBudget_SetFloors(struct sas_budget *b, const int64_t *floors,
                         int64_t epoch, int64_t now_ms);

/* The epoch to announce to the peers with the hints: the newest one whose
 * floor our use is within. -1: none, as during the recovery. */
int64_t SasBudget_GetAnnounced(struct sas_budget *b, int64_t now_ms);

/* True when nothing is lent, borrowed or in use, and no recovery is under way.
 */
bool SasBudget_IsSettled(struct sas_budget *b, int64_t now_ms);

/* Use. */

/* Units that this member may use now: its own without those lent, plus those
 * borrowed. */
int64_t SasBudget_GetAllowance(struct sas_budget *b, int64_t now_ms);

/* Units in use now. */
int64_t SasBudget_GetUsed(const struct sas_budget *b);

/* Acquires units for a request that ends within max_run_ms at the latest.
 * Returns the source to release them to, or -1. Only requests that end before
 * a loan does use it, so that none is running when the lender uses the units
 * again; a request too long for every loan needs own units. */
int SasBudget_Acquire(struct sas_budget *b, int64_t units, int64_t max_run_ms,
                      int64_t now_ms);
void SasBudget_Release(struct sas_budget *b, int source, int64_t units,
                       int64_t now_ms);

/* Acquires an amount of a rate. Over any window the members together acquire
 * at most limit * window + sum of their SasBudget_GetBurst. */
bool SasBudget_AcquireRate(struct sas_budget *b, int64_t amount,
                           int64_t now_ms);
int64_t SasBudget_GetBurst(struct sas_budget *b, int64_t now_ms);

/* Borrowing. */

/* Units to request from a peer, 0: none. */
int64_t SasBudget_GetWanted(struct sas_budget *b, int64_t now_ms);

/* A peer that is likely to lend, drawn by its hint, or -1. */
int SasBudget_ChooseLender(struct sas_budget *b, int64_t now_ms, GRand *rand);

/* Prepares a loan request, before it is sent. Returns its loan id, or 0 (too
 * many in flight). */
uint64_t SasBudget_Ask(struct sas_budget *b, int lender, int64_t now_ms);

/* Applies the answer. False: late, duplicate, unknown or nothing granted. */
bool SasBudget_Borrowed(struct sas_budget *b, int lender, uint64_t id,
                        int64_t granted, int64_t now_ms);

/* A loan to renew now, and one to return now; NULL: none. Return a loan before
 * looking for a renewal. */
const struct sas_loan *SasBudget_FindRenewal(struct sas_budget *b,
                                             int64_t now_ms);
const struct sas_loan *SasBudget_FindSurplus(struct sas_budget *b,
                                             int64_t now_ms);

/* Prepares a renewal, before it is sent. Returns its sequence number, 0: no
 * such loan. */
uint32_t SasBudget_Renew(struct sas_budget *b, uint64_t id, int64_t now_ms);
void SasBudget_Renewed(struct sas_budget *b, uint64_t id, uint32_t renewal,
                       bool ok, int64_t now_ms);

/* Returns the units of the loan that are not in use and acquires none of it
 * any more. The result is what remains, to be sent to the lender. */
int64_t SasBudget_Return(struct sas_budget *b, uint64_t id, int64_t now_ms);

/* Lending. */

/* Units that this member could lend now; sent to the peers as a hint. */
int64_t SasBudget_GetUnused(struct sas_budget *b, int64_t now_ms);

/* Handles a loan request, before the answer is sent. A repeated id gets the
 * same answer. */
int64_t SasBudget_Lend(struct sas_budget *b, int borrower, uint64_t id,
                       int64_t wanted, int64_t now_ms);

/* Handles a renewal, before the answer is sent. left: units of the loan that
 * the borrower still has. False: the loan is not extended. */
bool SasBudget_Extend(struct sas_budget *b, int borrower, uint64_t id,
                      int64_t left, int64_t now_ms);

/* Handles a return; left as above. */
void SasBudget_AcceptReturn(struct sas_budget *b, int borrower, uint64_t id,
                            int64_t left, int64_t now_ms);

/* Peers. */

/* Applies a peer's hint and announced epoch, which may be late. */
void SasBudget_Hint(struct sas_budget *b, int member_id, int64_t unused,
                    int64_t epoch, int64_t now_ms);

/* A restarted lender asks whether this member holds a loan of it: drops the
 * pending requests to it. True if no loan remains. */
bool SasBudget_Disown(struct sas_budget *b, int lender, int64_t now_ms);

/* A peer answered true to that, for the incarnation that asked. When all
 * members have (one that never had a VM counts too), recovery ends early. */
void SasBudget_Disowned(struct sas_budget *b, int member_id,
                        uint32_t incarnation, int64_t now_ms);

#endif
