/* budget - one limit, split over the entry VM seats without agreement.
 *
 * A budget is a limit (a region's slots, a shift's cap, a link's Mbit/s, a
 * backend server's connections) split into a floor for each seat. A seat
 * lends what it does not need to a peer for a time. At every instant the sum
 * of what all seats may use stays within the limit, whatever is lost,
 * doubled, late, paused, dead, restarted or cut off. docs/notes-budget.md
 * holds the argument and what is not provable.
 *
 * Units are integers: slots or connections for SAS_BUDGET_CONCURRENT;
 * milli-units a second (milli-requests, milli-Mbit) for SAS_BUDGET_RATE.
 * Times are monotonic milliseconds of the calling process; clocks run within
 * 1% of true time. Nothing allocates; the struct belongs to the caller. A
 * budget that has lent is kept until SasBudget_IsSettled.
 *
 * Messages between seats, each sent after the call that precedes it:
 *
 *   borrower                          lender
 *   id = Ask()        --ask id-->     granted = Lend(id)
 *   Borrowed(id)      <--granted--
 *   seq = Renew(id)   --renew seq-->  ok = Extend(id)
 *   Renewed(id, seq)  <--ok--
 *   left = Return(id) --left-->       TakeBack(id, left)
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

#define SasBudget_MAX_SEATS 32
#define SasBudget_MAX_LOANS 64       /* each way, for one budget */
#define SasBudget_MAX_PENDING 3      /* unanswered asks at one time */
#define SasBudget_ANSWER_MS 1000     /* an answer is hardly to come after */
#define SasBudget_LIFE_MS 15000      /* a loan's life where none is chosen */
#define SasBudget_MARGIN_MS 1000     /* a lender holds a loan longer by this */
#define SasBudget_CLOCK_PERCENT 2    /* and by this share of its life */
#define SasBudget_RESERVE_PERCENT 10 /* of a floor: never lent */
#define SasBudget_RECENT_MS 2000     /* recent use fades with this */
#define SasBudget_BURST_MS 100       /* a rate bucket holds this much */
#define SasBudget_RATE_PERCENT 99    /* of the allowance; for fast clocks */
#define SasBudget_HINT_MS 10000      /* a peer's hint is worth nothing after */
#define SasBudget_MIN_BACKOFF_MS 100
#define SasBudget_MAX_BACKOFF_MS 5000

enum sas_budget_kind {
    SAS_BUDGET_CONCURRENT, /* Take and Give */
    SAS_BUDGET_RATE        /* TakeRate */
};

struct sas_loan {
    uint64_t id;      /* 0: the slot is free */
    int seat;         /* the other seat */
    int64_t granted;  /* never rises */
    int64_t used;     /* units running on it (borrower) */
    int64_t until_ms; /* usable (borrower) or held (lender) until then */
    int64_t asked_ms; /* the question, then the newest renewal */
    uint32_t renewal; /* sequence number of the newest renewal */
    bool pending;     /* asked for, no answer yet (borrower) */
    bool closing;     /* not to be renewed */
};

struct sas_budget_peer {
    int64_t peak;    /* the most its floor may still be */
    int64_t epoch;   /* the last one that it announced, -1: none */
    int64_t unused;  /* hint: what it might lend */
    int64_t hint_ms; /* when the hint came, INT64_MIN: never */
    int64_t ask_ms;  /* no question before then */
    int64_t backoff_ms;
    bool disowned; /* holds no loan of our earlier incarnation */
};

struct sas_budget_settings {
    enum sas_budget_kind kind;
    int seats;
    int own_seat;
    uint32_t incarnation; /* differs from earlier starts of this seat */
    int64_t life_ms;      /* the same on all seats, never changed */
    int64_t quantum;      /* rates: the largest single amount */
};

struct sas_budget {
    struct sas_budget_settings settings;
    int64_t epoch;
    int64_t announced; /* the newest epoch that our use came down to */
    int64_t entitled;  /* our floor, as far as others surely made room */
    int64_t floors[SasBudget_MAX_SEATS];
    struct sas_budget_peer peers[SasBudget_MAX_SEATS];
    struct sas_loan lent[SasBudget_MAX_LOANS];
    struct sas_loan borrowed[SasBudget_MAX_LOANS];
    uint32_t next_loan;
    bool recovering;
    int64_t recover_until_ms;
    int64_t own_used;
    int64_t use;     /* recent means, in millionths: units in use, */
    int64_t taken;   /* units taken a second, */
    int64_t refused; /* and refused a second */
    int64_t faded_ms;
    bool short_of;     /* refused since the last loan came */
    int64_t tokens;    /* rates: thousandths of a milli-unit */
    int64_t filled_ms; /* rates: when the bucket was filled last */
};

/* Splitting a limit. */

/* Floors by weight. Their sum is the limit (0 when all weights are 0);
 * units left over go to the largest remainders, then the lowest seats, so
 * that all nodes compute the same. Spare seats take part by their weight. */
void SasBudget_Split(int64_t limit, const int64_t *weights, int seats,
                     int64_t *floors);

/* Starting and changing. */

/* Starts without loans. Until every loan of an earlier incarnation is over,
 * only the reserve of the floor is usable. Epochs count the changes of this
 * budget's floors. A starting node begins with the oldest epoch that a seat
 * may still be in, then calls SasBudget_SetFloors for each later one; the
 * last is not below any that this seat announced before. */
void SasBudget_Init(struct sas_budget *b,
                    const struct sas_budget_settings *settings,
                    const int64_t *floors, int64_t epoch, int64_t now_ms);

/* A new version's floors. Falls at once, rises when those that fall have
 * announced it. Older and equal epochs are ignored. */
void SasBudget_SetFloors(struct sas_budget *b, const int64_t *floors,
                         int64_t epoch, int64_t now_ms);

/* The epoch to tell to the peers with the hints, -1 while recovering. */
int64_t SasBudget_GetAnnounced(struct sas_budget *b, int64_t now_ms);

/* True when nothing is lent, borrowed or in use. */
bool SasBudget_IsSettled(struct sas_budget *b, int64_t now_ms);

/* Using. */

/* What this seat may use now: entitled - lent + borrowed. */
int64_t SasBudget_GetAllowance(struct sas_budget *b, int64_t now_ms);

/* Units running now. */
int64_t SasBudget_GetUsed(const struct sas_budget *b);

/* Takes units for a request that is ended within lasts_ms, whatever comes.
 * Returns the pot to give them back to, or -1. A loan is used only by
 * requests that end before it does, so that nothing runs on when the lender
 * has its units back; a request too long for every loan needs own units. */
int SasBudget_Take(struct sas_budget *b, int64_t units, int64_t lasts_ms,
                   int64_t now_ms);
void SasBudget_Give(struct sas_budget *b, int pot, int64_t units,
                    int64_t now_ms);

/* Lets an amount pass now, or not. Over any window the seats together let
 * pass at most limit * window + sum of their SasBudget_GetBurst. */
bool SasBudget_TakeRate(struct sas_budget *b, int64_t amount, int64_t now_ms);
int64_t SasBudget_GetBurst(struct sas_budget *b, int64_t now_ms);

/* Borrowing. */

/* How many units to ask for, 0: none. */
int64_t SasBudget_GetWanted(struct sas_budget *b, int64_t now_ms);

/* A peer that is likely to lend, or -1. */
int SasBudget_ChooseLender(struct sas_budget *b, int64_t now_ms, GRand *rand);

/* Before the question is sent: its loan id, or 0 (too many open). */
uint64_t SasBudget_Ask(struct sas_budget *b, int lender, int64_t now_ms);

/* The answer. False: too late, doubled or unknown; nothing was gained. */
bool SasBudget_Borrowed(struct sas_budget *b, int lender, uint64_t id,
                        int64_t granted, int64_t now_ms);

/* A loan that should be renewed, or handed back (to be looked at first),
 * now; NULL: none. */
const struct sas_loan *SasBudget_FindRenewal(struct sas_budget *b,
                                             int64_t now_ms);
const struct sas_loan *SasBudget_FindSurplus(struct sas_budget *b,
                                             int64_t now_ms);

/* Before the renewal is sent: its sequence number, 0: no such loan. */
uint32_t SasBudget_Renew(struct sas_budget *b, uint64_t id, int64_t now_ms);
void SasBudget_Renewed(struct sas_budget *b, uint64_t id, uint32_t renewal,
                       bool ok, int64_t now_ms);

/* Gives back what of the loan is not in use and uses it for nothing new.
 * Returns what is left of it, to be told to the lender. */
int64_t SasBudget_Return(struct sas_budget *b, uint64_t id, int64_t now_ms);

/* Lending. */

/* What this seat could lend now; told to the peers as a hint. */
int64_t SasBudget_GetUnused(struct sas_budget *b, int64_t now_ms);

/* Before the answer is sent. The same id gets the same answer. */
int64_t SasBudget_Lend(struct sas_budget *b, int borrower, uint64_t id,
                       int64_t wanted, int64_t now_ms);

/* Before the answer to a renewal is sent. */
bool SasBudget_Extend(struct sas_budget *b, int borrower, uint64_t id,
                      int64_t left, int64_t now_ms);
void SasBudget_TakeBack(struct sas_budget *b, int borrower, uint64_t id,
                        int64_t left, int64_t now_ms);

/* Peers. */

/* A peer's hint and announced epoch, however late. */
void SasBudget_Hint(struct sas_budget *b, int seat, int64_t unused,
                    int64_t epoch, int64_t now_ms);

/* A restarted lender asks: drops every open question to it. True when no
 * loan of it is left here. */
bool SasBudget_Disown(struct sas_budget *b, int lender, int64_t now_ms);

/* That answer, for the incarnation that asked. When all seats gave it (a
 * seat that never had a VM counts as such), recovery ends early. */
void SasBudget_Disowned(struct sas_budget *b, int seat, uint32_t incarnation,
                        int64_t now_ms);

#endif
