#include "sas/budget.h"

#include <math.h>
#include <string.h>

#define NEVER INT64_MIN

/* The epochs between were not seen: a peer's floor may be anything. */
#define UNKNOWN_PEAK (INT64_MAX / (2 * SasBudget_MAX_SEATS))

#define MAX_HINT INT32_MAX /* so that sums of hints do not overflow */

#define TOKEN_SCALE 1000 /* tokens in a milli-unit */
#define MEAN_SCALE 1000000

/* A lender keeps more than its mean need by this many roots of it; a
 * borrower asks for its mean need only. Measured in docs/notes-budget.md. */
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
static void fill_bucket(struct sas_budget *b, int64_t now_ms);
static int64_t burst_units(const struct sas_budget *b, int64_t now_ms);
static void settle(struct sas_budget *b, int64_t now_ms);
static void raise_entitled(struct sas_budget *b);
static int64_t recent_need(const struct sas_budget *b, double headroom);
static void fade(struct sas_budget *b, int64_t now_ms);
static void note(int64_t *mean, int64_t units);

/* Splitting a limit. */

void
SasBudget_Split(int64_t limit, const int64_t *weights, int seats,
                int64_t *floors)
{
    int64_t total = 0;
    int64_t given = 0;
    int64_t rests[SasBudget_MAX_SEATS];
    for (int i = 0; i < seats; i++) {
        total += weights[i];
    }
    for (int i = 0; i < seats; i++) {
        floors[i] = total > 0 ? limit * weights[i] / total : 0;
        rests[i] = total > 0 ? limit * weights[i] % total : 0;
        given += floors[i];
    }
    while (total > 0 && given < limit) {
        int best = 0;
        for (int i = 1; i < seats; i++) {
            best = rests[i] > rests[best] ? i : best;
        }
        rests[best] = -1;
        floors[best]++;
        given++;
    }
}

/* Starting and changing. */

void
SasBudget_Init(struct sas_budget *b,
               const struct sas_budget_settings *settings,
               const int64_t *floors, int64_t epoch, int64_t now_ms)
{
    memset(b, 0, sizeof(*b));
    b->settings = *settings;
    b->epoch = epoch;
    b->announced = -1;
    b->faded_ms = now_ms;
    b->filled_ms = now_ms;
    for (int i = 0; i < settings->seats; i++) {
        b->floors[i] = floors[i];
        b->peers[i].peak = floors[i];
        b->peers[i].epoch = -1;
        b->peers[i].hint_ms = NEVER;
        b->peers[i].ask_ms = now_ms;
        b->peers[i].backoff_ms = SasBudget_MIN_BACKOFF_MS;
    }
    b->entitled = floors[settings->own_seat];
    /* An earlier incarnation may have lent all but the reserve moments ago,
     * and nobody else remembers: using the whole floor at once would use
     * those units twice. The last of such loans ends within a hold. */
    b->recovering = settings->seats > 1;
    b->recover_until_ms = now_ms + hold_ms(b);
}

void
SasBudget_SetFloors(struct sas_budget *b, const int64_t *floors, int64_t epoch,
                    int64_t now_ms)
{
    if (epoch <= b->epoch) {
        return;
    }
    settle(b, now_ms);
    bool skipped = epoch != b->epoch + 1;
    b->epoch = epoch;
    for (int i = 0; i < b->settings.seats; i++) {
        struct sas_budget_peer *peer = &b->peers[i];
        b->floors[i] = floors[i];
        /* A peer that did not announce this epoch may still use its floor of
         * any epoch since the last one that it did announce. */
        peer->peak = skipped ? UNKNOWN_PEAK : at_least(peer->peak, floors[i]);
        peer->peak = peer->epoch == epoch ? floors[i] : peer->peak;
    }
    b->entitled = at_most(b->entitled, floors[b->settings.own_seat]);
    raise_entitled(b);
}

int64_t
SasBudget_GetAnnounced(struct sas_budget *b, int64_t now_ms)
{
    settle(b, now_ms);
    int64_t lent = lent_units(b);
    /* Others rise on our word that we came down. Loans and running requests
     * of the older epoch are still there, so the word waits for them, also
     * for the reserve that a restart would use beside the loans. */
    bool down = lent + b->own_used <= b->entitled &&
                lent <= b->entitled - reserve_of(b->entitled);
    if (down && !b->recovering) {
        b->announced = b->epoch;
    }
    return b->announced;
}

bool
SasBudget_IsSettled(struct sas_budget *b, int64_t now_ms)
{
    settle(b, now_ms);
    return !b->recovering && lent_units(b) == 0 && SasBudget_GetUsed(b) == 0 &&
           borrowed_units(b, now_ms) == 0;
}

/* Using. */

int64_t
SasBudget_GetAllowance(struct sas_budget *b, int64_t now_ms)
{
    settle(b, now_ms);
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
SasBudget_Take(struct sas_budget *b, int64_t units, int64_t lasts_ms,
               int64_t now_ms)
{
    settle(b, now_ms);
    int pot = -1;
    for (int i = 0; i < SasBudget_MAX_LOANS && pot < 0; i++) {
        const struct sas_loan *loan = &b->borrowed[i];
        /* The lender takes its units back when the loan ends, whether the
         * request on them is done or not. A request that might outlast the
         * loan would then be one too many at the backend server. */
        if (loan->id != 0 && !loan->closing &&
            lasts_ms <= loan->until_ms - now_ms &&
            loan->used + units <= loan->granted) {
            pot = i + 1;
        }
    }
    int64_t own = own_units(b) - b->own_used - overdue_units(b, now_ms);
    if (pot < 0 && units <= own) {
        pot = 0;
    }
    if (pot < 0) {
        note(&b->refused, units);
        b->short_of = true;
        return -1;
    }
    if (pot == 0) {
        b->own_used += units;
    }
    else {
        b->borrowed[pot - 1].used += units;
    }
    note(&b->taken, units);
    return pot;
}

void
SasBudget_Give(struct sas_budget *b, int pot, int64_t units, int64_t now_ms)
{
    if (pot == 0) {
        b->own_used -= units;
    }
    else {
        b->borrowed[pot - 1].used -= units;
    }
    settle(b, now_ms);
}

bool
SasBudget_TakeRate(struct sas_budget *b, int64_t amount, int64_t now_ms)
{
    settle(b, now_ms);
    if (amount * TOKEN_SCALE > b->tokens) {
        note(&b->refused, amount);
        b->short_of = true;
        return false;
    }
    b->tokens -= amount * TOKEN_SCALE;
    note(&b->taken, amount);
    return true;
}

int64_t
SasBudget_GetBurst(struct sas_budget *b, int64_t now_ms)
{
    settle(b, now_ms);
    return burst_units(b, now_ms);
}

/* Borrowing. */

int64_t
SasBudget_GetWanted(struct sas_budget *b, int64_t now_ms)
{
    settle(b, now_ms);
    int64_t allowance = own_units(b) + borrowed_units(b, now_ms);
    int64_t need = recent_need(b, BORROWER_HEADROOM);
    if (!b->short_of || need <= allowance) {
        return 0;
    }
    return at_least(need - allowance, allowance / 8);
}

int
SasBudget_ChooseLender(struct sas_budget *b, int64_t now_ms, GRand *rand)
{
    int64_t weights[SasBudget_MAX_SEATS] = {0};
    int64_t total = 0;
    bool known = false;
    for (int i = 0; i < b->settings.seats; i++) {
        const struct sas_budget_peer *peer = &b->peers[i];
        bool fresh = peer->hint_ms != NEVER &&
                     now_ms - peer->hint_ms < SasBudget_HINT_MS;
        if (i == b->settings.own_seat || now_ms < peer->ask_ms) {
            continue;
        }
        /* Nothing heard lately: unknown rather than empty, worth a try when
         * nobody is known to have something. */
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
    for (int i = 0; i < b->settings.seats; i++) {
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
    settle(b, now_ms);
    int pending = 0;
    for (int i = 0; i < SasBudget_MAX_LOANS; i++) {
        /* One that is cut off answers never: it must not stop the others
         * from being asked for as long as a loan lives. */
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
    /* An id of an earlier incarnation would get that one's grant, whose end
     * is nearer than a life from now. */
    loan->id = (uint64_t)b->settings.incarnation << 32 | b->next_loan;
    loan->seat = lender;
    loan->pending = true;
    loan->asked_ms = now_ms;
    loan->until_ms = now_ms + b->settings.life_ms;
    return loan->id;
}

bool
SasBudget_Borrowed(struct sas_budget *b, int lender, uint64_t id,
                   int64_t granted, int64_t now_ms)
{
    settle(b, now_ms);
    struct sas_loan *loan = find_loan(b->borrowed, id);
    /* A doubled answer would count a loan twice; one that was handed back
     * or has run out by our clock would count units the lender has again. */
    if (loan == NULL || !loan->pending || loan->seat != lender) {
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
    b->short_of = false;
    return true;
}

const struct sas_loan *
SasBudget_FindRenewal(struct sas_budget *b, int64_t now_ms)
{
    settle(b, now_ms);
    int64_t third = b->settings.life_ms / 3;
    for (int i = 0; i < SasBudget_MAX_LOANS; i++) {
        const struct sas_loan *loan = &b->borrowed[i];
        if (loan->id == 0 || loan->pending || loan->closing ||
            loan->granted == 0) {
            continue;
        }
        /* Asked again after a tenth of its life when an answer is lost. */
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
    settle(b, now_ms);
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
    settle(b, now_ms);
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
    settle(b, now_ms);
    struct sas_loan *loan = find_loan(b->borrowed, id);
    /* Only the newest renewal's time is known: with an older answer the
     * loan would be counted from a question that came after it. */
    if (loan == NULL || loan->renewal != renewal || loan->pending) {
        return;
    }
    if (!ok) {
        loan->closing = true;
        return;
    }
    loan->until_ms =
        at_least(loan->until_ms, loan->asked_ms + b->settings.life_ms);
}

int64_t
SasBudget_Return(struct sas_budget *b, uint64_t id, int64_t now_ms)
{
    settle(b, now_ms);
    struct sas_loan *loan = find_loan(b->borrowed, id);
    if (loan == NULL) {
        return 0;
    }
    /* Lowered before the lender hears of it; a lost word only waits for the
     * loan's end. */
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
    settle(b, now_ms);
    if (b->recovering) {
        return 0;
    }
    int64_t kept =
        at_least(reserve_of(b->entitled), recent_need(b, LENDER_HEADROOM));
    kept = at_least(kept, b->own_used + overdue_units(b, now_ms));
    return at_least(b->entitled - lent_units(b) - kept, 0);
}

int64_t
SasBudget_Lend(struct sas_budget *b, int borrower, uint64_t id, int64_t wanted,
               int64_t now_ms)
{
    settle(b, now_ms);
    if (borrower < 0 || borrower >= b->settings.seats || id == 0) {
        return 0;
    }
    struct sas_loan *loan = find_loan(b->lent, id);
    if (loan != NULL) {
        return loan->seat == borrower ? loan->granted : 0;
    }
    int64_t granted = at_most(wanted, SasBudget_GetUnused(b, now_ms));
    loan = find_free(b->lent);
    if (loan == NULL || granted <= 0) {
        return 0;
    }
    loan->id = id;
    loan->seat = borrower;
    loan->granted = granted;
    loan->until_ms = now_ms + hold_ms(b);
    return granted;
}

bool
SasBudget_Extend(struct sas_budget *b, int borrower, uint64_t id, int64_t left,
                 int64_t now_ms)
{
    SasBudget_TakeBack(b, borrower, id, left, now_ms);
    struct sas_loan *loan = find_loan(b->lent, id);
    if (loan == NULL || loan->seat != borrower || loan->granted == 0) {
        return false;
    }
    /* One's own callers come first, up to the floor. No more loans are
     * ended than are needed for that. */
    int64_t closing = 0;
    for (int i = 0; i < SasBudget_MAX_LOANS; i++) {
        closing += b->lent[i].closing ? b->lent[i].granted : 0;
    }
    int64_t lent = lent_units(b);
    int64_t need =
        at_least(recent_need(b, LENDER_HEADROOM), reserve_of(b->entitled));
    need = at_most(need, b->entitled);
    if (!loan->closing && need > b->entitled - lent + closing) {
        loan->closing = true;
    }
    if (loan->closing) {
        return false;
    }
    loan->until_ms = now_ms + hold_ms(b);
    return true;
}

void
SasBudget_TakeBack(struct sas_budget *b, int borrower, uint64_t id,
                   int64_t left, int64_t now_ms)
{
    settle(b, now_ms);
    struct sas_loan *loan = find_loan(b->lent, id);
    /* The word is what is left, not what comes back, so that a doubled or
     * late one makes no units. */
    if (loan != NULL && loan->seat == borrower) {
        loan->granted = at_most(loan->granted, at_least(left, 0));
    }
}

/* Peers. */

void
SasBudget_Hint(struct sas_budget *b, int seat, int64_t unused, int64_t epoch,
               int64_t now_ms)
{
    settle(b, now_ms);
    if (seat < 0 || seat >= b->settings.seats ||
        seat == b->settings.own_seat) {
        return;
    }
    struct sas_budget_peer *peer = &b->peers[seat];
    peer->unused = at_most(at_least(unused, 0), MAX_HINT);
    peer->hint_ms = now_ms;
    if (epoch <= peer->epoch) {
        return;
    }
    peer->epoch = epoch;
    /* Only our own epoch's word counts: a peer that is further may have
     * come there without ever using the floors of ours. */
    if (epoch == b->epoch) {
        peer->peak = b->floors[seat];
        raise_entitled(b);
    }
}

bool
SasBudget_Disown(struct sas_budget *b, int lender, int64_t now_ms)
{
    settle(b, now_ms);
    bool clear = true;
    for (int i = 0; i < SasBudget_MAX_LOANS; i++) {
        struct sas_loan *loan = &b->borrowed[i];
        if (loan->id == 0 || loan->seat != lender) {
            continue;
        }
        if (loan->pending) {
            memset(loan, 0, sizeof(*loan));
        }
        else {
            clear = false;
        }
    }
    return clear;
}

void
SasBudget_Disowned(struct sas_budget *b, int seat, uint32_t incarnation,
                   int64_t now_ms)
{
    settle(b, now_ms);
    /* A late answer to an earlier incarnation says nothing of the loans
     * which that one made after it. */
    if (incarnation != b->settings.incarnation || seat < 0 ||
        seat >= b->settings.seats) {
        return;
    }
    b->peers[seat].disowned = true;
    for (int i = 0; i < b->settings.seats; i++) {
        if (i != b->settings.own_seat && !b->peers[i].disowned) {
            return;
        }
    }
    b->recover_until_ms = at_most(b->recover_until_ms, now_ms);
    settle(b, now_ms);
}

/* Static helpers. */

static int64_t
hold_ms(const struct sas_budget *b)
{
    int64_t life = b->settings.life_ms;
    return life + life * SasBudget_CLOCK_PERCENT / 100 + SasBudget_MARGIN_MS;
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

/* Units of requests that outlasted their loan: their end was promised before
 * it, so the process was paused or late. They block new ones. */
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
        return reserve_of(b->entitled);
    }
    return at_least(b->entitled - lent_units(b), 0);
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

/* Until now the allowance was what it is now, but for loans that ran out on
 * the way: those count as ended at the last filling, never too much. */
static void
fill_bucket(struct sas_budget *b, int64_t now_ms)
{
    int64_t passed = at_least(now_ms - b->filled_ms, 0);
    int64_t allowance = own_units(b) + borrowed_units(b, now_ms);
    int64_t most = burst_units(b, now_ms) * TOKEN_SCALE;
    /* One second fills every bucket but those of less than a quantum a
     * second; the bound only keeps the product small. */
    passed = at_most(passed, 3600 * 1000);
    b->tokens += allowance * SasBudget_RATE_PERCENT / 100 * passed;
    b->tokens = at_most(b->tokens, most);
    b->filled_ms = now_ms;
}

/* Brings everything that depends on time up to now. Called first by each
 * function, so that a process that was paused uses nothing that ran out. */
static void
settle(struct sas_budget *b, int64_t now_ms)
{
    if (b->settings.kind == SAS_BUDGET_RATE) {
        fill_bucket(b, now_ms);
    }
    fade(b, now_ms);
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

/* Rises to the new floor as far as all that fall made room. Others that
 * rise are counted at their whole new floor, so that no two use one room. */
static void
raise_entitled(struct sas_budget *b)
{
    int own = b->settings.own_seat;
    int64_t limit = 0;
    int64_t peaks = b->floors[own];
    for (int i = 0; i < b->settings.seats; i++) {
        limit += b->floors[i];
        peaks += i == own ? 0 : b->peers[i].peak;
    }
    int64_t lacking = at_least(peaks - limit, 0);
    b->entitled = at_least(b->entitled, b->floors[own] - lacking);
}

/* What callers asked for lately. Of concurrent units only those that were
 * let in show how long they stay, so what was refused is taken to be alike.
 * The root is the spread of arrivals that are independent. */
static int64_t
recent_need(const struct sas_budget *b, double headroom)
{
    double refused = (double)b->refused / MEAN_SCALE;
    double taken = (double)b->taken / MEAN_SCALE;
    if (b->settings.kind == SAS_BUDGET_RATE) {
        /* A seat without a floor has taken nothing yet; it begins with what
         * lets one amount pass a second. */
        double most = MAX(taken, (double)b->settings.quantum);
        return (int64_t)(taken + MIN(refused, most) + taken / 8.0 + 0.5);
    }
    double use = (double)b->use / MEAN_SCALE;
    double need = taken > 0.0 ? use * (taken + refused) / taken : use;
    need = MAX(need, refused > 0.0 ? 1.0 : 0.0);
    return (int64_t)(need + headroom * sqrt(need) + 0.5);
}

/* Lets the recent means fade and brings in the units in use since. */
static void
fade(struct sas_budget *b, int64_t now_ms)
{
    int64_t passed = at_least(now_ms - b->faded_ms, 0);
    double kept = exp(-(double)passed / SasBudget_RECENT_MS);
    double used = (double)SasBudget_GetUsed(b) * MEAN_SCALE;
    b->use = (int64_t)(used + ((double)b->use - used) * kept);
    b->taken = (int64_t)((double)b->taken * kept);
    b->refused = (int64_t)((double)b->refused * kept);
    b->faded_ms = now_ms;
}

/* Adds units to a mean a second. */
static void
note(int64_t *mean, int64_t units)
{
    *mean += units * MEAN_SCALE * 1000 / SasBudget_RECENT_MS;
}
