#include "sas/budget.h"

#include <math.h>
#include <string.h>

#define NEVER INT64_MIN

/* A peer's floor may be anything after a skipped epoch. Low enough for a sum
 * over all members. */
#define UNKNOWN_FLOOR (INT64_MAX / (2 * SasBudget_MAX_MEMBERS))

#define MAX_HINT INT32_MAX /* so that sums of hints do not overflow */

#define TOKEN_SCALE 1000 /* tokens in a milli-unit */
#define MEAN_SCALE 1000000

/* Headroom above the mean need, in square roots of it: kept by a lender, and
 * requested by a borrower. See docs/notes-budget.md. */
#define LENDER_HEADROOM 0.5
#define BORROWER_HEADROOM 0.0

static int64_t
at_most(int64_t value, int64_t limit)
{
    return value < limit ? value : limit;
}

static int64_t
at_least(int64_t value, int64_t limit)
{
    return value > limit ? value : limit;
}

static int64_t hold_ms(const struct sas_budget *b);
static int64_t reserve_of(int64_t floor);
static int64_t lent_units(const struct sas_budget *b);
static int64_t overdue_units(const struct sas_budget *b, int64_t now_ms);
static int64_t own_units(const struct sas_budget *b);
static int64_t borrowed_units(const struct sas_budget *b, int64_t now_ms);
static struct sas_loan *find_loan(struct sas_loan *loans, uint64_t id);
static struct sas_loan *find_free(struct sas_loan *loans);
static void refill_bucket(struct sas_budget *b, int64_t now_ms);
static int64_t burst_units(const struct sas_budget *b, int64_t now_ms);
static void advance(struct sas_budget *b, int64_t now_ms);
static void raise_own_floor(struct sas_budget *b);
static int64_t recent_need(const struct sas_budget *b, double headroom);
static void decay(struct sas_budget *b, int64_t now_ms);
static void add_to_mean(int64_t *mean, int64_t units);

/* Splitting a limit. */

void
SasBudget_Split(int64_t limit, const int64_t *weights, int member_count,
                int64_t *floors)
{
    int64_t total = 0;
    int64_t given = 0;
    int64_t rests[SasBudget_MAX_MEMBERS];
    for (int i = 0; i < member_count; i++) {
        total += weights[i];
    }
    for (int i = 0; i < member_count; i++) {
        floors[i] = total > 0 ? limit * weights[i] / total : 0;
        rests[i] = total > 0 ? limit * weights[i] % total : 0;
        given += floors[i];
    }
    while (total > 0 && given < limit) {
        int best = 0;
        for (int i = 1; i < member_count; i++) {
            best = rests[i] > rests[best] ? i : best;
        }
        rests[best] = -1;
        floors[best]++;
        given++;
    }
}

/* Start and changes of the floors. */

void
SasBudget_Init(struct sas_budget *b,
               const struct sas_budget_settings *settings,
               const int64_t *floors, int64_t epoch, int64_t now_ms)
{
    memset(b, 0, sizeof(*b));
    b->settings = *settings;
    b->epoch = epoch;
    b->announced = -1;
    b->decayed_ms = now_ms;
    b->filled_ms = now_ms;
    for (int i = 0; i < settings->members; i++) {
        b->floors[i] = floors[i];
        b->peers[i].max_floor = floors[i];
        b->peers[i].epoch = -1;
        b->peers[i].hint_ms = NEVER;
        b->peers[i].ask_ms = now_ms;
        b->peers[i].backoff_ms = SasBudget_MIN_BACKOFF_MS;
    }
    b->effective_floor = floors[settings->own_id];
    /* An earlier incarnation may just have lent all but the reserve, and only
     * its borrowers know. Using the whole floor now would use those units
     * twice. The last of these loans ends within hold_ms(). */
    b->recovering = settings->members > 1;
    b->recover_until_ms = now_ms + hold_ms(b);
}

void
SasBudget_SetFloors(struct sas_budget *b, const int64_t *floors, int64_t epoch,
                    int64_t now_ms)
{
    if (epoch <= b->epoch) {
        return;
    }
    advance(b, now_ms);
    bool skipped = epoch != b->epoch + 1;
    b->epoch = epoch;
    for (int i = 0; i < b->settings.members; i++) {
        struct sas_budget_peer *peer = &b->peers[i];
        b->floors[i] = floors[i];
        /* A peer that has not announced this epoch may still use its floor of
         * any epoch since the last one that it announced. */
        peer->max_floor =
            skipped ? UNKNOWN_FLOOR : at_least(peer->max_floor, floors[i]);
        peer->max_floor = peer->epoch == epoch ? floors[i] : peer->max_floor;
    }
    b->effective_floor =
        at_most(b->effective_floor, floors[b->settings.own_id]);
    raise_own_floor(b);
}

int64_t
SasBudget_GetAnnounced(struct sas_budget *b, int64_t now_ms)
{
    advance(b, now_ms);
    int64_t lent = lent_units(b);
    /* Peers use more once we announce that we use less. So the announcement
     * waits for the loans and running requests of the older epoch, and for the
     * reserve, which a restarted process would use in addition to the loans.
     */
    bool within = lent + b->own_used <= b->effective_floor &&
                  lent <= b->effective_floor - reserve_of(b->effective_floor);
    if (within && !b->recovering) {
        b->announced = b->epoch;
    }
    return b->announced;
}

bool
SasBudget_IsSettled(struct sas_budget *b, int64_t now_ms)
{
    advance(b, now_ms);
    return !b->recovering && lent_units(b) == 0 && SasBudget_GetUsed(b) == 0 &&
           borrowed_units(b, now_ms) == 0;
}

/* Use. */

int64_t
SasBudget_GetAllowance(struct sas_budget *b, int64_t now_ms)
{
    advance(b, now_ms);
    return own_units(b) + borrowed_units(b, now_ms);
}

int64_t
SasBudget_GetUsed(const struct sas_budget *b)
{
    int64_t used = b->own_used;
    for (int i = 0; i < SasBudget_MAX_LOANS; i++) {
        used += b->borrowed[i].used;
    }
    return used;
}

int
SasBudget_Acquire(struct sas_budget *b, int64_t units, int64_t max_run_ms,
                  int64_t now_ms)
{
    advance(b, now_ms);
    int source = -1;
    for (int i = 0; i < SasBudget_MAX_LOANS && source < 0; i++) {
        const struct sas_loan *loan = &b->borrowed[i];
        /* The lender uses its units again when the loan ends, whether or not
         * a request on them is still running. A request that outlasted the
         * loan would exceed the limit. */
        if (loan->id != 0 && !loan->closing &&
            max_run_ms <= loan->until_ms - now_ms &&
            loan->used + units <= loan->granted) {
            source = i + 1;
        }
    }
    int64_t own = own_units(b) - b->own_used - overdue_units(b, now_ms);
    if (source < 0 && units <= own) {
        source = 0;
    }
    if (source < 0) {
        add_to_mean(&b->mean_refused, units);
        b->unmet = true;
        return -1;
    }
    if (source == 0) {
        b->own_used += units;
    }
    else {
        b->borrowed[source - 1].used += units;
    }
    add_to_mean(&b->mean_acquired, units);
    return source;
}

void
SasBudget_Release(struct sas_budget *b, int source, int64_t units,
                  int64_t now_ms)
{
    if (source == 0) {
        b->own_used -= units;
    }
    else {
        b->borrowed[source - 1].used -= units;
    }
    advance(b, now_ms);
}

bool
SasBudget_AcquireRate(struct sas_budget *b, int64_t amount, int64_t now_ms)
{
    advance(b, now_ms);
    if (amount * TOKEN_SCALE > b->tokens) {
        add_to_mean(&b->mean_refused, amount);
        b->unmet = true;
        return false;
    }
    b->tokens -= amount * TOKEN_SCALE;
    add_to_mean(&b->mean_acquired, amount);
    return true;
}

int64_t
SasBudget_GetBurst(struct sas_budget *b, int64_t now_ms)
{
    advance(b, now_ms);
    return burst_units(b, now_ms);
}

/* Borrowing. */

int64_t
SasBudget_GetWanted(struct sas_budget *b, int64_t now_ms)
{
    advance(b, now_ms);
    int64_t allowance = own_units(b) + borrowed_units(b, now_ms);
    int64_t need = recent_need(b, BORROWER_HEADROOM);
    if (!b->unmet || need <= allowance) {
        return 0;
    }
    return at_least(need - allowance, allowance / 8);
}

int
SasBudget_ChooseLender(struct sas_budget *b, int64_t now_ms, GRand *rand)
{
    int64_t weights[SasBudget_MAX_MEMBERS] = {0};
    int64_t total = 0;
    bool known = false;
    for (int i = 0; i < b->settings.members; i++) {
        const struct sas_budget_peer *peer = &b->peers[i];
        bool fresh = peer->hint_ms != NEVER &&
                     now_ms - peer->hint_ms < SasBudget_HINT_MS;
        if (i == b->settings.own_id || now_ms < peer->ask_ms) {
            continue;
        }
        /* Without a recent hint it is unknown what a peer has. Such a peer is
         * chosen only while no peer is known to have unused units. */
        if (!known && fresh && peer->unused > 0) {
            known = true;
            memset(weights, 0, sizeof(weights));
            total = 0;
        }
        weights[i] = fresh ? peer->unused : !known && b->floors[i] > 0;
        total += weights[i];
    }
    if (total <= 0) {
        return -1;
    }
    int64_t point = (int64_t)(g_rand_double(rand) * (double)total);
    for (int i = 0; i < b->settings.members; i++) {
        point -= weights[i];
        if (point < 0) {
            return i;
        }
    }
    return -1;
}

uint64_t
SasBudget_Ask(struct sas_budget *b, int lender, int64_t now_ms)
{
    advance(b, now_ms);
    int pending = 0;
    for (int i = 0; i < SasBudget_MAX_LOANS; i++) {
        /* A partitioned peer never answers. Its pending request must not
         * block requests to others until the loan would have ended. */
        pending += b->borrowed[i].pending &&
                   now_ms - b->borrowed[i].asked_ms < SasBudget_ANSWER_MS;
    }
    struct sas_loan *loan = find_free(b->borrowed);
    if (loan == NULL || pending >= SasBudget_MAX_PENDING) {
        return 0;
    }
    struct sas_budget_peer *peer = &b->peers[lender];
    peer->ask_ms = now_ms + peer->backoff_ms;
    peer->backoff_ms = at_most(2 * peer->backoff_ms, SasBudget_MAX_BACKOFF_MS);
    b->next_loan++;
    /* An id of an earlier incarnation would get that one's grant, which ends
     * earlier than a loan granted now. */
    loan->id = (uint64_t)b->settings.incarnation << 32 | b->next_loan;
    loan->member_id = lender;
    loan->pending = true;
    loan->asked_ms = now_ms;
    loan->until_ms = now_ms + b->settings.loan_ms;
    return loan->id;
}

bool
SasBudget_Borrowed(struct sas_budget *b, int lender, uint64_t id,
                   int64_t granted, int64_t now_ms)
{
    advance(b, now_ms);
    struct sas_loan *loan = find_loan(b->borrowed, id);
    /* A duplicate answer would count a loan twice; one to a loan that was
     * returned or has ended by our clock would count units that the lender
     * uses again. */
    if (loan == NULL || !loan->pending || loan->member_id != lender) {
        return false;
    }
    struct sas_budget_peer *peer = &b->peers[lender];
    loan->pending = false;
    loan->granted = granted;
    peer->unused = at_least(peer->unused - granted, 0);
    if (granted <= 0) {
        memset(loan, 0, sizeof(*loan));
        return false;
    }
    peer->backoff_ms = SasBudget_MIN_BACKOFF_MS;
    b->unmet = false;
    return true;
}

const struct sas_loan *
SasBudget_FindRenewal(struct sas_budget *b, int64_t now_ms)
{
    advance(b, now_ms);
    int64_t third = b->settings.loan_ms / 3;
    for (int i = 0; i < SasBudget_MAX_LOANS; i++) {
        const struct sas_loan *loan = &b->borrowed[i];
        if (loan->id == 0 || loan->pending || loan->closing ||
            loan->granted == 0) {
            continue;
        }
        /* From a third of its duration on, and again after each ninth of it
         * without an answer. */
        if (loan->until_ms - now_ms <= 2 * third &&
            (loan->renewal == 0 || now_ms - loan->asked_ms >= third / 3)) {
            return loan;
        }
    }
    return NULL;
}

const struct sas_loan *
SasBudget_FindSurplus(struct sas_budget *b, int64_t now_ms)
{
    advance(b, now_ms);
    int64_t allowance = own_units(b) + borrowed_units(b, now_ms);
    int64_t need = recent_need(b, LENDER_HEADROOM);
    need += need / 8 + (need > 0);
    for (int i = 0; i < SasBudget_MAX_LOANS; i++) {
        const struct sas_loan *loan = &b->borrowed[i];
        if (loan->id == 0 || loan->pending || now_ms >= loan->until_ms) {
            continue;
        }
        bool spare = need <= allowance - loan->granted;
        if ((loan->closing || spare) && loan->used < loan->granted) {
            return loan;
        }
    }
    return NULL;
}

uint32_t
SasBudget_Renew(struct sas_budget *b, uint64_t id, int64_t now_ms)
{
    advance(b, now_ms);
    struct sas_loan *loan = find_loan(b->borrowed, id);
    if (loan == NULL || loan->pending || loan->closing) {
        return 0;
    }
    loan->renewal++;
    loan->asked_ms = now_ms;
    return loan->renewal;
}

void
SasBudget_Renewed(struct sas_budget *b, uint64_t id, uint32_t renewal, bool ok,
                  int64_t now_ms)
{
    advance(b, now_ms);
    struct sas_loan *loan = find_loan(b->borrowed, id);
    /* Only the newest renewal's time is known. With the answer to an older one
     * the loan would be extended from a time after the lender's. */
    if (loan == NULL || loan->renewal != renewal || loan->pending) {
        return;
    }
    if (!ok) {
        loan->closing = true;
        return;
    }
    loan->until_ms =
        at_least(loan->until_ms, loan->asked_ms + b->settings.loan_ms);
}

int64_t
SasBudget_Return(struct sas_budget *b, uint64_t id, int64_t now_ms)
{
    advance(b, now_ms);
    struct sas_loan *loan = find_loan(b->borrowed, id);
    if (loan == NULL) {
        return 0;
    }
    /* Lowered before the message is sent. If that is lost, the lender has the
     * units again when the loan ends. */
    loan->closing = true;
    loan->granted = loan->used;
    int64_t left = loan->granted;
    if (left == 0) {
        memset(loan, 0, sizeof(*loan));
    }
    return left;
}

/* Lending. */

int64_t
SasBudget_GetUnused(struct sas_budget *b, int64_t now_ms)
{
    advance(b, now_ms);
    if (b->recovering) {
        return 0;
    }
    int64_t kept = at_least(reserve_of(b->effective_floor),
                            recent_need(b, LENDER_HEADROOM));
    kept = at_least(kept, b->own_used + overdue_units(b, now_ms));
    return at_least(b->effective_floor - lent_units(b) - kept, 0);
}

int64_t
SasBudget_Lend(struct sas_budget *b, int borrower, uint64_t id, int64_t wanted,
               int64_t now_ms)
{
    advance(b, now_ms);
    if (borrower < 0 || borrower >= b->settings.members || id == 0) {
        return 0;
    }
    struct sas_loan *loan = find_loan(b->lent, id);
    if (loan != NULL) {
        return loan->member_id == borrower ? loan->granted : 0;
    }
    int64_t granted = at_most(wanted, SasBudget_GetUnused(b, now_ms));
    loan = find_free(b->lent);
    if (loan == NULL || granted <= 0) {
        return 0;
    }
    loan->id = id;
    loan->member_id = borrower;
    loan->granted = granted;
    loan->until_ms = now_ms + hold_ms(b);
    return granted;
}

bool
SasBudget_Extend(struct sas_budget *b, int borrower, uint64_t id, int64_t left,
                 int64_t now_ms)
{
    SasBudget_AcceptReturn(b, borrower, id, left, now_ms);
    struct sas_loan *loan = find_loan(b->lent, id);
    if (loan == NULL || loan->member_id != borrower || loan->granted == 0) {
        return false;
    }
    /* Own requests come first, up to the floor. No more loans are closed than
     * those need. */
    int64_t closing = 0;
    for (int i = 0; i < SasBudget_MAX_LOANS; i++) {
        closing += b->lent[i].closing ? b->lent[i].granted : 0;
    }
    int64_t lent = lent_units(b);
    int64_t need = at_least(recent_need(b, LENDER_HEADROOM),
                            reserve_of(b->effective_floor));
    need = at_most(need, b->effective_floor);
    if (!loan->closing && need > b->effective_floor - lent + closing) {
        loan->closing = true;
    }
    if (loan->closing) {
        return false;
    }
    loan->until_ms = now_ms + hold_ms(b);
    return true;
}

void
SasBudget_AcceptReturn(struct sas_budget *b, int borrower, uint64_t id,
                       int64_t left, int64_t now_ms)
{
    advance(b, now_ms);
    struct sas_loan *loan = find_loan(b->lent, id);
    /* The message holds what remains, not what is returned, so that a
     * duplicate or late one creates no units. */
    if (loan != NULL && loan->member_id == borrower) {
        loan->granted = at_most(loan->granted, at_least(left, 0));
    }
}

/* Peers. */

void
SasBudget_Hint(struct sas_budget *b, int member_id, int64_t unused,
               int64_t epoch, int64_t now_ms)
{
    advance(b, now_ms);
    if (member_id < 0 || member_id >= b->settings.members ||
        member_id == b->settings.own_id) {
        return;
    }
    struct sas_budget_peer *peer = &b->peers[member_id];
    peer->unused = at_most(at_least(unused, 0), MAX_HINT);
    peer->hint_ms = now_ms;
    if (epoch <= peer->epoch) {
        return;
    }
    peer->epoch = epoch;
    /* Only an announcement of our own epoch counts: a peer in a later one may
     * have skipped ours, and its present floor isn't known here. */
    if (epoch == b->epoch) {
        peer->max_floor = b->floors[member_id];
        raise_own_floor(b);
    }
}

bool
SasBudget_Disown(struct sas_budget *b, int lender, int64_t now_ms)
{
    advance(b, now_ms);
    bool none_left = true;
    for (int i = 0; i < SasBudget_MAX_LOANS; i++) {
        struct sas_loan *loan = &b->borrowed[i];
        if (loan->id == 0 || loan->member_id != lender) {
            continue;
        }
        if (loan->pending) {
            memset(loan, 0, sizeof(*loan));
        }
        else {
            none_left = false;
        }
    }
    return none_left;
}

void
SasBudget_Disowned(struct sas_budget *b, int member_id, uint32_t incarnation,
                   int64_t now_ms)
{
    advance(b, now_ms);
    /* A late answer to an earlier incarnation says nothing about the loans
     * that one granted after it asked. */
    if (incarnation != b->settings.incarnation || member_id < 0 ||
        member_id >= b->settings.members) {
        return;
    }
    b->peers[member_id].disowned = true;
    for (int i = 0; i < b->settings.members; i++) {
        if (i != b->settings.own_id && !b->peers[i].disowned) {
            return;
        }
    }
    b->recover_until_ms = at_most(b->recover_until_ms, now_ms);
    advance(b, now_ms);
}

/* Static helpers. */

/* How long a lender regards units as lent: longer than the borrower uses them,
 * as clocks differ. */
static int64_t
hold_ms(const struct sas_budget *b)
{
    int64_t loan_ms = b->settings.loan_ms;
    return loan_ms + loan_ms * SasBudget_CLOCK_PERCENT / 100 +
           SasBudget_MARGIN_MS;
}

static int64_t
reserve_of(int64_t floor)
{
    return floor * SasBudget_RESERVE_PERCENT / 100;
}

static int64_t
lent_units(const struct sas_budget *b)
{
    int64_t units = 0;
    for (int i = 0; i < SasBudget_MAX_LOANS; i++) {
        units += b->lent[i].granted;
    }
    return units;
}

/* Units of requests that outlasted their loan, although they should have ended
 * before it: the process was paused. They reduce the own units. */
static int64_t
overdue_units(const struct sas_budget *b, int64_t now_ms)
{
    int64_t units = 0;
    for (int i = 0; i < SasBudget_MAX_LOANS; i++) {
        units += b->borrowed[i].until_ms <= now_ms ? b->borrowed[i].used : 0;
    }
    return units;
}

static int64_t
own_units(const struct sas_budget *b)
{
    if (b->recovering) {
        return reserve_of(b->effective_floor);
    }
    return at_least(b->effective_floor - lent_units(b), 0);
}

static int64_t
borrowed_units(const struct sas_budget *b, int64_t now_ms)
{
    int64_t units = 0;
    for (int i = 0; i < SasBudget_MAX_LOANS; i++) {
        const struct sas_loan *loan = &b->borrowed[i];
        units += now_ms < loan->until_ms ? loan->granted : 0;
    }
    return units;
}

static struct sas_loan *
find_loan(struct sas_loan *loans, uint64_t id)
{
    for (int i = 0; i < SasBudget_MAX_LOANS; i++) {
        if (id != 0 && loans[i].id == id) {
            return &loans[i];
        }
    }
    return NULL;
}

static struct sas_loan *
find_free(struct sas_loan *loans)
{
    for (int i = 0; i < SasBudget_MAX_LOANS; i++) {
        if (loans[i].id == 0) {
            return &loans[i];
        }
    }
    return NULL;
}

static int64_t
burst_units(const struct sas_budget *b, int64_t now_ms)
{
    int64_t allowance = own_units(b) + borrowed_units(b, now_ms);
    if (allowance <= 0) {
        return 0;
    }
    int64_t burst = allowance * SasBudget_BURST_MS / 1000;
    return at_least(burst, b->settings.quantum);
}

/* Refills the token bucket at the rate that is usable now. A loan that ended
 * since the last refill adds nothing, so it is never too much. */
static void
refill_bucket(struct sas_budget *b, int64_t now_ms)
{
    int64_t passed = at_least(now_ms - b->filled_ms, 0);
    int64_t allowance = own_units(b) + borrowed_units(b, now_ms);
    int64_t burst = burst_units(b, now_ms) * TOKEN_SCALE;
    /* At most an hour, to keep the product small. A bucket fills in a second,
     * unless its rate is below a quantum per second. */
    passed = at_most(passed, 3600 * 1000);
    b->tokens += allowance * SasBudget_RATE_PERCENT / 100 * passed;
    b->tokens = at_most(b->tokens, burst);
    b->filled_ms = now_ms;
}

/* Advances the state to now_ms: refills the bucket, decays the means, ends
 * loans and the recovery. Functions that take the time call it first, so that
 * a process that was paused uses nothing that has expired. */
static void
advance(struct sas_budget *b, int64_t now_ms)
{
    if (b->settings.kind == SAS_BUDGET_RATE) {
        refill_bucket(b, now_ms);
    }
    decay(b, now_ms);
    for (int i = 0; i < SasBudget_MAX_LOANS; i++) {
        struct sas_loan *loan = &b->borrowed[i];
        if (loan->id != 0 && loan->until_ms <= now_ms) {
            loan->closing = true;
            loan->granted = 0;
            if (loan->used == 0) {
                memset(loan, 0, sizeof(*loan));
            }
        }
        if (b->lent[i].id != 0 && b->lent[i].until_ms <= now_ms) {
            memset(&b->lent[i], 0, sizeof(b->lent[i]));
        }
    }
    if (b->recovering && now_ms >= b->recover_until_ms) {
        b->recovering = false;
    }
}

/* Raises the own floor in use as far as members with falling floors have made
 * room. Other members with rising floors count with the whole new floor, so
 * that no two of them use the same units. */
static void
raise_own_floor(struct sas_budget *b)
{
    int own = b->settings.own_id;
    int64_t limit = 0;
    int64_t highest = b->floors[own];
    for (int i = 0; i < b->settings.members; i++) {
        limit += b->floors[i];
        highest += i == own ? 0 : b->peers[i].max_floor;
    }
    int64_t excess = at_least(highest - limit, 0);
    b->effective_floor = at_least(b->effective_floor, b->floors[own] - excess);
}

/* Units that requests needed recently. How long refused requests would have
 * held concurrent units is unknown, so they are assumed to be like the
 * admitted ones. The square root is the deviation of independent arrivals. */
static int64_t
recent_need(const struct sas_budget *b, double headroom)
{
    double refused = (double)b->mean_refused / MEAN_SCALE;
    double acquired = (double)b->mean_acquired / MEAN_SCALE;
    if (b->settings.kind == SAS_BUDGET_RATE) {
        /* A member without a floor has acquired nothing yet. It begins with a
         * quantum per second. */
        double most = MAX(acquired, (double)b->settings.quantum);
        return (int64_t)(acquired + MIN(refused, most) + acquired / 8.0 + 0.5);
    }
    double used = (double)b->mean_used / MEAN_SCALE;
    double need =
        acquired > 0.0 ? used * (acquired + refused) / acquired : used;
    need = MAX(need, refused > 0.0 ? 1.0 : 0.0);
    return (int64_t)(need + headroom * sqrt(need) + 0.5);
}

/* Decays the means and adds the units in use since the last call. */
static void
decay(struct sas_budget *b, int64_t now_ms)
{
    int64_t passed = at_least(now_ms - b->decayed_ms, 0);
    double factor = exp(-(double)passed / SasBudget_RECENT_MS);
    double used = (double)SasBudget_GetUsed(b) * MEAN_SCALE;
    b->mean_used = (int64_t)(used + ((double)b->mean_used - used) * factor);
    b->mean_acquired = (int64_t)((double)b->mean_acquired * factor);
    b->mean_refused = (int64_t)((double)b->mean_refused * factor);
    b->decayed_ms = now_ms;
}

/* Adds units to a decaying mean per second. */
static void
add_to_mean(int64_t *mean, int64_t units)
{
    *mean += units * MEAN_SCALE * 1000 / SasBudget_RECENT_MS;
}
