#include "lending.h"

#include <stdio.h>
#include <string.h>

#include <xxhash.h>

#include "sas/budget.h"
#include "sas/log.h"

#define TICK_MS 50
#define DISOWN_INTERVAL_MS 200
#define CALL_TIMEOUT_MS 500
/* Floors of VMs in the region that uses a budget most, against the others. */
#define LOCAL_WEIGHT 6
#define REMOTE_WEIGHT 1
#define RATE_LOAN_MS 3000
#define REQUEST_QUANTUM 1000 /* milli-requests */
#define MBIT_QUANTUM 10000   /* milli-Mbit, 100 ms of 100 Mbit/s */
#define BURST_SHARE 0.1      /* of a second's rate, may pass at once */
#define NAME_SIZE (3 * SasModel_NAME_SIZE)

struct budget_entry {
    uint64_t id;
    char name[NAME_SIZE];
    struct sas_budget core;
    double cap;   /* of a shift, from which the floors were computed; else 0 */
    int64_t debt; /* of a rate: used beyond what was acquired, not yet paid */
    bool requesting; /* a loan */
};

struct sas_lending {
    struct sas_lending_options options;
    struct sas_lending_listener *listener;
    struct sas_peer *peer;
    GPtrArray *entries; /* of struct budget_entry; a handle is an index */
    struct sas_rpc_budget *gossip_budgets;
    uv_timer_t timer;
    int64_t next_disown_ms;
    uint32_t next_incarnation;
    bool stopped;
};

/* Context of an unanswered call to a peer. */
struct pending_call {
    struct sas_lending *lending;
    int budget;
    int member_id;
    uint64_t loan;
    uint32_t renewal; /* sequence number; 0: a new loan */
};

static void on_tick(uv_timer_t *timer);
static void request_loan(struct sas_lending *lending, int budget);

static struct budget_entry *
get_entry(const struct sas_lending *lending, int budget)
{
    return g_ptr_array_index(lending->entries, (guint)budget);
}

/* Opening. */

static void
get_floors(const struct sas_lending *lending, double limit, int local_region,
           int64_t remote_weight, int64_t *floors)
{
    const struct sas_model *model = lending->options.model;
    int64_t weights[SasBudget_MAX_MEMBERS] = {0};
    for (int i = 0; i < model->vm_count; i++) {
        weights[i] = SasModel_GetVmRegion(model, i) == local_region
                         ? LOCAL_WEIGHT
                         : remote_weight;
    }
    SasBudget_Split((int64_t)limit, weights, model->vm_count, floors);
}

static int64_t
get_quantum(enum sas_cap_unit unit)
{
    switch (unit) {
    case SAS_CAP_REQUESTS:
        return REQUEST_QUANTUM;
    case SAS_CAP_MBIT:
        return MBIT_QUANTUM;
    case SAS_CAP_CONCURRENT:
    case SAS_CAP_NONE:
        break;
    }
    return 1;
}

static void
init_core(struct sas_lending *lending, struct budget_entry *entry,
          enum sas_cap_unit unit, const int64_t *floors, int64_t epoch)
{
    bool is_rate = unit == SAS_CAP_REQUESTS || unit == SAS_CAP_MBIT;
    struct sas_budget_settings settings = {
        .kind = is_rate ? SAS_BUDGET_RATE : SAS_BUDGET_CONCURRENT,
        .members = lending->options.model->vm_count,
        .own_id = lending->options.own_vm,
        .incarnation = lending->next_incarnation++,
        .loan_ms = is_rate ? RATE_LOAN_MS : SasBudget_LOAN_MS,
        .quantum = get_quantum(unit),
    };
    SasBudget_Init(&entry->core, &settings, floors, epoch, SasPeer_GetNow());
}

static struct budget_entry *
add_entry(struct sas_lending *lending, const char *name)
{
    struct budget_entry *entry = g_new0(struct budget_entry, 1);
    g_strlcpy(entry->name, name, sizeof(entry->name));
    entry->id = XXH3_64bits(name, strlen(name));
    g_ptr_array_add(lending->entries, entry);
    return entry;
}

static int
find_entry(const struct sas_lending *lending, uint64_t id)
{
    for (guint i = 0; i < lending->entries->len; i++) {
        if (get_entry(lending, (int)i)->id == id) {
            return (int)i;
        }
    }
    return SasModel_NONE;
}

static int
find_by_name(const struct sas_lending *lending, const char *name)
{
    return find_entry(lending, XXH3_64bits(name, strlen(name)));
}

static void
format_slots_name(const struct sas_model *model, int service, int region,
                  char *name)
{
    snprintf(name, NAME_SIZE, "slots %s %s", model->services[service].name,
             model->regions[region].name);
}

static void
format_link_name(const struct sas_model *model, int from, int to, char *name)
{
    snprintf(name, NAME_SIZE, "link %s %s", model->regions[from].name,
             model->regions[to].name);
}

static void
format_cap_name(const struct sas_model *model, const struct sas_shift *shift,
                char *name)
{
    snprintf(name, NAME_SIZE, "cap %.40s %.40s %.40s %s",
             model->services[shift->service].name,
             model->regions[shift->from].name, model->regions[shift->to].name,
             SasSheet_GetUnitName(shift->cap_unit));
}

/* Concurrent requests of a region's backend servers: their execution slots and
 * a short queue at each, without which a slot would be idle while the next
 * request is in transit. */
static void
add_slots(struct sas_lending *lending, int service, int region)
{
    const struct sas_model *model = lending->options.model;
    int slots = SasModel_CountSlots(model, service, region) +
                lending->options.server_queue *
                    SasModel_CountBackends(model, service, region);
    char name[NAME_SIZE];
    int64_t floors[SasBudget_MAX_MEMBERS];
    format_slots_name(model, service, region, name);
    get_floors(lending, slots, region, REMOTE_WEIGHT, floors);
    init_core(lending, add_entry(lending, name), SAS_CAP_CONCURRENT, floors,
              0);
}

/* Only the entry VMs of the region where a link begins send over it. */
static void
add_link(struct sas_lending *lending, const struct sas_link *link)
{
    char name[NAME_SIZE];
    int64_t floors[SasBudget_MAX_MEMBERS];
    format_link_name(lending->options.model, link->from, link->to, name);
    get_floors(lending, link->mbit_per_s * 1000, link->from, 0, floors);
    init_core(lending, add_entry(lending, name), SAS_CAP_MBIT, floors, 0);
}

struct sas_lending *
SasLending_Open(const struct sas_lending_options *options,
                struct sas_error *error)
{
    const struct sas_model *model = options->model;
    if (model->vm_count > SasBudget_MAX_MEMBERS) {
        SasError_Set(error, SAS_ECAPACITY, "lending.open", NULL,
                     "%d entry VMs; a budget supports %d at most",
                     model->vm_count, SasBudget_MAX_MEMBERS);
        return NULL;
    }
    struct sas_lending *lending = g_new0(struct sas_lending, 1);
    lending->options = *options;
    lending->entries = g_ptr_array_new_with_free_func(g_free);
    lending->next_incarnation = options->incarnation;
    for (int s = 0; s < model->service_count; s++) {
        for (int r = 0; r < model->region_count; r++) {
            add_slots(lending, s, r);
        }
    }
    for (int i = 0; i < model->link_count; i++) {
        add_link(lending, &model->links[i]);
    }
    uv_timer_init(options->loop, &lending->timer);
    lending->timer.data = lending;
    uv_timer_start(&lending->timer, on_tick, TICK_MS, TICK_MS);
    return lending;
}

static void
on_timer_closed(uv_handle_t *handle)
{
    struct sas_lending *lending = handle->data;
    g_ptr_array_free(lending->entries, TRUE);
    g_free(lending->gossip_budgets);
    g_free(lending);
}

void
SasLending_Close(struct sas_lending *lending)
{
    uv_close((uv_handle_t *)&lending->timer, on_timer_closed);
}

void
SasLending_SetListener(struct sas_lending *lending,
                       struct sas_lending_listener *listener)
{
    lending->listener = listener;
}

void
SasLending_SetPeer(struct sas_lending *lending, struct sas_peer *peer)
{
    lending->peer = peer;
}

/* Caps. */

static int
count_vms(const struct sas_lending *lending, int region)
{
    const struct sas_model *model = lending->options.model;
    int count = 0;
    for (int i = 0; i < model->vm_count; i++) {
        count += SasModel_GetVmRegion(model, i) == region;
    }
    return count;
}

/* The steady rate, in milli-units a second, that keeps any one second within
 * the cap, but no less than half the cap: each entry VM with a floor may burst
 * by a tenth of a second's rate, or by one quantum where that is more. Only
 * VMs of the target region have floors, the others borrow; where that region
 * has no VM, all have floors. */
static double
get_steady_rate(const struct sas_lending *lending,
                const struct sas_shift *shift)
{
    double cap = shift->cap * 1000;
    int members = count_vms(lending, shift->to);
    members = members > 0 ? members : lending->options.model->vm_count;
    double bursts = (double)members * (double)get_quantum(shift->cap_unit);
    return MAX((cap - bursts) / (1 + BURST_SHARE), cap / 2);
}

/* A changed concurrent cap moves to its new floors as a new epoch. A changed
 * rate cap restarts its budget: until the peers have confirmed that they hold
 * no loan of the old one, only the reserve of the new floor is used. The
 * floors of two versions have the same proportions, so nodes at different
 * versions never use more than the higher of the two caps. */
static void
set_cap(struct sas_lending *lending, const struct sas_plan *plan,
        const struct sas_shift *shift)
{
    char name[NAME_SIZE];
    int64_t floors[SasBudget_MAX_MEMBERS];
    format_cap_name(lending->options.model, shift, name);
    int budget = find_by_name(lending, name);
    struct budget_entry *entry = budget != SasModel_NONE
                                     ? get_entry(lending, budget)
                                     : add_entry(lending, name);
    if (budget != SasModel_NONE && entry->cap == shift->cap) {
        return;
    }
    bool is_rate = shift->cap_unit != SAS_CAP_CONCURRENT;
    if (is_rate) {
        bool has_vms = count_vms(lending, shift->to) > 0;
        get_floors(lending, get_steady_rate(lending, shift), shift->to,
                   has_vms ? 0 : REMOTE_WEIGHT, floors);
    }
    else {
        get_floors(lending, shift->cap, shift->to, REMOTE_WEIGHT, floors);
    }
    entry->cap = shift->cap;
    if (is_rate || budget == SasModel_NONE) {
        init_core(lending, entry, shift->cap_unit, floors, plan->version);
    }
    else {
        SasBudget_SetFloors(&entry->core, floors, plan->version,
                            SasPeer_GetNow());
    }
}

void
SasLending_SetCaps(struct sas_lending *lending, const struct sas_plan *plan)
{
    for (int i = 0; i < plan->shift_count; i++) {
        if (plan->shifts[i].cap_unit != SAS_CAP_NONE) {
            set_cap(lending, plan, &plan->shifts[i]);
        }
    }
}

/* Finding. */

int
SasLending_FindSlots(const struct sas_lending *lending, int service,
                     int region)
{
    /* SasLending_Open() adds the slots first, in this order. */
    return service * lending->options.model->region_count + region;
}

int
SasLending_FindLink(const struct sas_lending *lending, int from, int to)
{
    char name[NAME_SIZE];
    format_link_name(lending->options.model, from, to, name);
    return find_by_name(lending, name);
}

int
SasLending_FindCap(const struct sas_lending *lending,
                   const struct sas_shift *shift)
{
    if (shift == NULL || shift->cap_unit == SAS_CAP_NONE) {
        return SasModel_NONE;
    }
    char name[NAME_SIZE];
    format_cap_name(lending->options.model, shift, name);
    return find_by_name(lending, name);
}

bool
SasLending_IsRecovering(const struct sas_lending *lending)
{
    for (guint i = 0; i < lending->entries->len; i++) {
        const struct budget_entry *entry = get_entry(lending, (int)i);
        if (entry->cap == 0 &&
            entry->core.recovering) { /* caps of shifts don't count */
            return true;
        }
    }
    return false;
}

void
SasLending_Stop(struct sas_lending *lending)
{
    lending->stopped = true;
}

/* Using. */

int
SasLending_Acquire(struct sas_lending *lending, int budget, int64_t units,
                   int64_t max_run_ms)
{
    if (lending->stopped) {
        return -1;
    }
    if (budget == SasModel_NONE) {
        return 0;
    }
    struct budget_entry *entry = get_entry(lending, budget);
    int source =
        SasBudget_Acquire(&entry->core, units, max_run_ms, SasPeer_GetNow());
    if (source < 0) {
        request_loan(lending, budget);
    }
    return source;
}

void
SasLending_Release(struct sas_lending *lending, int budget, int source,
                   int64_t units)
{
    if (budget != SasModel_NONE) {
        SasBudget_Release(&get_entry(lending, budget)->core, source, units,
                          SasPeer_GetNow());
    }
}

bool
SasLending_AcquireRate(struct sas_lending *lending, int budget, int64_t amount)
{
    if (lending->stopped || budget == SasModel_NONE) {
        return !lending->stopped;
    }
    struct budget_entry *entry = get_entry(lending, budget);
    /* A request larger than the quantum passes for one quantum. The rest is
     * debt, paid before another request passes; otherwise large uploads would
     * exceed the rate. */
    int64_t quantum = entry->core.settings.quantum;
    int64_t now = SasPeer_GetNow();
    while (
        entry->debt > 0 &&
        SasBudget_AcquireRate(&entry->core, MIN(entry->debt, quantum), now)) {
        entry->debt -= MIN(entry->debt, quantum);
    }
    if (entry->debt == 0 &&
        SasBudget_AcquireRate(&entry->core, MIN(amount, quantum), now)) {
        entry->debt += amount - MIN(amount, quantum);
        return true;
    }
    request_loan(lending, budget);
    return false;
}

void
SasLending_AddDebt(struct sas_lending *lending, int budget, int64_t amount)
{
    if (budget != SasModel_NONE && amount > 0) {
        get_entry(lending, budget)->debt += amount;
    }
}

/* Borrowing. */

static struct pending_call *
create_pending_call(struct sas_lending *lending, int budget, int member_id,
                    uint64_t loan, uint32_t renewal)
{
    struct pending_call *pending = g_new0(struct pending_call, 1);
    pending->lending = lending;
    pending->budget = budget;
    pending->member_id = member_id;
    pending->loan = loan;
    pending->renewal = renewal;
    return pending;
}

static void
on_borrow_answer(void *context, const struct sas_error *error,
                 const union sas_proto_body *body)
{
    struct pending_call *pending = context;
    struct sas_lending *lending = pending->lending;
    struct budget_entry *entry = get_entry(lending, pending->budget);
    int64_t now = SasPeer_GetNow();
    uint64_t granted = error == NULL ? body->grant.granted : 0;
    bool gained = false;
    if (pending->renewal == 0) {
        entry->requesting = false;
        if (error == NULL) {
            gained =
                SasBudget_Borrowed(&entry->core, pending->member_id,
                                   pending->loan, (int64_t)granted, now) &&
                granted > 0;
        }
    }
    else if (error == NULL) {
        SasBudget_Renewed(&entry->core, pending->loan, pending->renewal,
                          granted > 0, now);
    }
    g_free(pending);
    if (gained && lending->listener != NULL) {
        lending->listener->on_units(lending->listener);
    }
}

static void
send_borrow(struct sas_lending *lending, int budget, int member_id,
            uint64_t loan, uint64_t wanted, uint32_t renewal)
{
    struct budget_entry *entry = get_entry(lending, budget);
    struct sas_rpc_borrow borrow = {
        .budget = entry->id,
        .epoch = (uint64_t)entry->core.epoch,
        .loan = loan,
        .wanted = wanted,
        .renewal = renewal,
    };
    struct pending_call *pending =
        create_pending_call(lending, budget, member_id, loan, renewal);
    if (SasPeer_CallBorrow(lending->peer, member_id, &borrow, CALL_TIMEOUT_MS,
                           on_borrow_answer, pending, NULL) != 0) {
        entry->requesting = renewal == 0 ? false : entry->requesting;
        g_free(pending);
    }
}

static void
request_loan(struct sas_lending *lending, int budget)
{
    struct budget_entry *entry = get_entry(lending, budget);
    int64_t now = SasPeer_GetNow();
    if (entry->requesting || lending->peer == NULL) {
        return;
    }
    int64_t wanted = SasBudget_GetWanted(&entry->core, now);
    if (wanted <= 0) {
        return;
    }
    int lender =
        SasBudget_ChooseLender(&entry->core, now, lending->options.random);
    if (lender < 0) {
        return;
    }
    uint64_t loan = SasBudget_Ask(&entry->core, lender, now);
    if (loan == 0) {
        return;
    }
    entry->requesting = true;
    send_borrow(lending, budget, lender, loan, (uint64_t)wanted, 0);
}

static void
on_return_answer(void *context, const struct sas_error *error,
                 const union sas_proto_body *body)
{
    /* If the call is lost, the lender has its units back when the loan ends.
     */
    (void)context;
    (void)error;
    (void)body;
}

static void
return_loan(struct sas_lending *lending, struct budget_entry *entry,
            const struct sas_loan *loan)
{
    int member_id = loan->member_id;
    uint64_t id = loan->id;
    int64_t left = SasBudget_Return(&entry->core, id, SasPeer_GetNow());
    struct sas_rpc_loan_return back = {
        .budget = entry->id,
        .epoch = (uint64_t)entry->core.epoch,
        .loan = id,
        .units = (uint64_t)left,
    };
    SasPeer_CallReturn(lending->peer, member_id, &back, CALL_TIMEOUT_MS,
                       on_return_answer, NULL, NULL);
}

static void
maintain_loans(struct sas_lending *lending, int budget)
{
    struct budget_entry *entry = get_entry(lending, budget);
    int64_t now = SasPeer_GetNow();
    const struct sas_loan *loan = SasBudget_FindSurplus(&entry->core, now);
    if (loan != NULL) {
        return_loan(lending, entry, loan);
        return;
    }
    loan = SasBudget_FindRenewal(&entry->core, now);
    if (loan == NULL) {
        return;
    }
    int member_id = loan->member_id;
    uint64_t id = loan->id;
    int64_t granted = loan->granted;
    uint32_t renewal = SasBudget_Renew(&entry->core, id, now);
    if (renewal != 0) {
        send_borrow(lending, budget, member_id, id, (uint64_t)granted,
                    renewal);
    }
}

/* After a start. */

static void
on_disown_answer(void *context, const struct sas_error *error,
                 const union sas_proto_body *body)
{
    struct pending_call *pending = context;
    struct sas_lending *lending = pending->lending;
    for (u_int i = 0; error == NULL && i < body->disown.rows.rows_len; i++) {
        const struct sas_rpc_disown *cleared = &body->disown.rows.rows_val[i];
        int budget = find_entry(lending, cleared->budget);
        if (budget != SasModel_NONE) {
            SasBudget_Disowned(&get_entry(lending, budget)->core,
                               pending->member_id, cleared->incarnation,
                               SasPeer_GetNow());
        }
    }
    g_free(pending);
    if (error == NULL && lending->listener != NULL) {
        lending->listener->on_units(lending->listener);
    }
}

/* Asks each peer to confirm that it holds no loan of an earlier process of
 * this entry VM. Once all have, the whole floor may be used. */
static void
request_disowns(struct sas_lending *lending)
{
    struct sas_rpc_disown rows[SAS_RPC_MAX_BUDGETS];
    struct sas_rpc_disown_list list = {.rows.rows_val = rows};
    for (int member_id = 0; member_id < lending->options.model->vm_count;
         member_id++) {
        list.rows.rows_len = 0;
        for (guint i = 0; i < lending->entries->len && i < SAS_RPC_MAX_BUDGETS;
             i++) {
            const struct budget_entry *entry = get_entry(lending, (int)i);
            if (!entry->core.recovering ||
                entry->core.peers[member_id].disowned) {
                continue;
            }
            rows[list.rows.rows_len].budget = entry->id;
            rows[list.rows.rows_len].incarnation =
                entry->core.settings.incarnation;
            list.rows.rows_len++;
        }
        if (list.rows.rows_len == 0 || member_id == lending->options.own_vm) {
            continue;
        }
        struct pending_call *pending =
            create_pending_call(lending, 0, member_id, 0, 0);
        if (SasPeer_CallDisown(lending->peer, member_id, &list,
                               CALL_TIMEOUT_MS, on_disown_answer, pending,
                               NULL) != 0) {
            g_free(pending);
        }
    }
}

static void
on_tick(uv_timer_t *timer)
{
    struct sas_lending *lending = timer->data;
    int64_t now = SasPeer_GetNow();
    if (lending->peer == NULL) {
        return;
    }
    for (guint i = 0; i < lending->entries->len; i++) {
        maintain_loans(lending, (int)i);
    }
    if (now >= lending->next_disown_ms) {
        lending->next_disown_ms = now + DISOWN_INTERVAL_MS;
        request_disowns(lending);
    }
}

/* Peers. */

void
SasLending_FillGossip(struct sas_lending *lending,
                      struct sas_rpc_gossip *gossip)
{
    int64_t now = SasPeer_GetNow();
    guint count = MIN(lending->entries->len, SAS_RPC_MAX_BUDGETS);
    lending->gossip_budgets =
        g_renew(struct sas_rpc_budget, lending->gossip_budgets, count);
    for (guint i = 0; i < count; i++) {
        struct budget_entry *entry = get_entry(lending, (int)i);
        lending->gossip_budgets[i].id = entry->id;
        lending->gossip_budgets[i].lendable =
            (uint64_t)SasBudget_GetUnused(&entry->core, now);
        lending->gossip_budgets[i].epoch =
            SasBudget_GetAnnounced(&entry->core, now);
    }
    gossip->budgets.budgets_len = count;
    gossip->budgets.budgets_val = lending->gossip_budgets;
}

void
SasLending_ApplyGossip(struct sas_lending *lending, int member_id,
                       const struct sas_rpc_gossip *gossip)
{
    int64_t now = SasPeer_GetNow();
    for (u_int i = 0; i < gossip->budgets.budgets_len; i++) {
        const struct sas_rpc_budget *hint = &gossip->budgets.budgets_val[i];
        int budget = find_entry(lending, hint->id);
        if (budget != SasModel_NONE) {
            SasBudget_Hint(&get_entry(lending, budget)->core, member_id,
                           (int64_t)MIN(hint->lendable, INT64_MAX / 2),
                           hint->epoch, now);
        }
    }
}

uint64_t
SasLending_AnswerBorrow(struct sas_lending *lending, int member_id,
                        const struct sas_rpc_borrow *borrow)
{
    int budget = find_entry(lending, borrow->budget);
    if (lending->stopped || budget == SasModel_NONE ||
        borrow->wanted > INT64_MAX / 2) {
        return 0;
    }
    struct sas_budget *core = &get_entry(lending, budget)->core;
    int64_t now = SasPeer_GetNow();
    if (borrow->renewal != 0) {
        return SasBudget_Extend(core, member_id, borrow->loan,
                                (int64_t)borrow->wanted, now);
    }
    return (uint64_t)SasBudget_Lend(core, member_id, borrow->loan,
                                    (int64_t)borrow->wanted, now);
}

void
SasLending_AcceptReturn(struct sas_lending *lending, int member_id,
                        const struct sas_rpc_loan_return *back)
{
    int budget = find_entry(lending, back->budget);
    if (budget != SasModel_NONE && back->units <= INT64_MAX / 2) {
        SasBudget_AcceptReturn(&get_entry(lending, budget)->core, member_id,
                               back->loan, (int64_t)back->units,
                               SasPeer_GetNow());
    }
}

void
SasLending_AnswerDisown(struct sas_lending *lending, int member_id,
                        struct sas_rpc_disown_list *list)
{
    u_int kept = 0;
    for (u_int i = 0; i < list->rows.rows_len; i++) {
        int budget = find_entry(lending, list->rows.rows_val[i].budget);
        /* Nothing was ever borrowed of a budget that is unknown here. */
        if (budget == SasModel_NONE ||
            SasBudget_Disown(&get_entry(lending, budget)->core, member_id,
                             SasPeer_GetNow())) {
            list->rows.rows_val[kept++] = list->rows.rows_val[i];
        }
    }
    list->rows.rows_len = kept;
}

/* Status. */

static int64_t
sum_loans(const struct sas_loan *loans)
{
    int64_t sum = 0;
    for (int i = 0; i < SasBudget_MAX_LOANS; i++) {
        sum += loans[i].id != 0 ? loans[i].granted : 0;
    }
    return sum;
}

json_t *
SasLending_Describe(struct sas_lending *lending)
{
    json_t *list = json_array();
    int64_t now = SasPeer_GetNow();
    for (guint i = 0; i < lending->entries->len; i++) {
        struct budget_entry *entry = get_entry(lending, (int)i);
        double unit =
            entry->core.settings.kind == SAS_BUDGET_RATE ? 1000.0 : 1.0;
        double floor =
            (double)entry->core.floors[lending->options.own_vm] / unit;
        json_array_append_new(
            list,
            json_pack("{s:s, s:f, s:f, s:f, s:f, s:f, s:b}", "name",
                      entry->name, "floor", floor, "lent",
                      (double)sum_loans(entry->core.lent) / unit, "borrowed",
                      (double)sum_loans(entry->core.borrowed) / unit, "used",
                      (double)SasBudget_GetUsed(&entry->core) / unit,
                      "allowance",
                      (double)SasBudget_GetAllowance(&entry->core, now) / unit,
                      "recovering", (int)entry->core.recovering));
    }
    return list;
}
