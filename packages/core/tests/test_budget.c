#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "sas/budget.h"

#define MEMBERS 9
#define LOAN_MS 15000

static void
start(struct sas_budget *b, enum sas_budget_kind kind, int own,
      const int64_t *floors, int64_t now_ms)
{
    struct sas_budget_settings settings = {
        .kind = kind,
        .members = MEMBERS,
        .own_id = own,
        .incarnation = 1,
        .loan_ms = LOAN_MS,
        .quantum = 1000,
    };
    SasBudget_Init(b, &settings, floors, 0, now_ms);
    for (int i = 0; i < MEMBERS; i++) {
        SasBudget_Disowned(b, i, 1, now_ms);
    }
}

static void
test_floors_sum_to_the_limit(void **state)
{
    (void)state;
    const int64_t weights[] = {2, 2, 2, 2, 2, 2, 2, 2, 1};
    int64_t floors[MEMBERS];
    for (int64_t limit = 0; limit < 200; limit++) {
        int64_t sum = 0;
        SasBudget_Split(limit, weights, MEMBERS, floors);
        for (int i = 0; i < MEMBERS; i++) {
            sum += floors[i];
        }
        assert_int_equal(sum, limit);
    }
    SasBudget_Split(24, weights, MEMBERS, floors);
    assert_int_equal(floors[0], 3);
    assert_int_equal(floors[8], 1);
}

/* A request holds its slot for a minute, but the slot is borrowed for fifteen
 * seconds. The lender would use it again while the request is running, and the
 * backend server would get one request more than it has slots. */
static void
test_long_request_needs_own_units(void **state)
{
    (void)state;
    const int64_t floors[MEMBERS] = {1, 1, 1, 1, 1, 1, 1, 1, 1};
    struct sas_budget b;
    start(&b, SAS_BUDGET_CONCURRENT, 0, floors, 0);
    uint64_t id = SasBudget_Ask(&b, 1, 0);
    assert_true(SasBudget_Borrowed(&b, 1, id, 1, 10));
    assert_int_equal(SasBudget_GetAllowance(&b, 10), 2);
    assert_int_equal(SasBudget_Acquire(&b, 1, 60000, 10), 0);
    assert_int_equal(SasBudget_Acquire(&b, 1, 60000, 10), -1);
    int source = SasBudget_Acquire(&b, 1, 5000, 10);
    assert_true(source > 0);
    assert_int_equal(SasBudget_GetAllowance(&b, LOAN_MS), 1);
    SasBudget_Release(&b, source, 1, LOAN_MS);
    assert_int_equal(SasBudget_GetUsed(&b), 1);
}

/* A loan request is duplicated by the network. The lender must not lend twice,
 * as the borrower applies only the first answer. */
static void
test_duplicate_request_gets_the_same_grant(void **state)
{
    (void)state;
    const int64_t floors[MEMBERS] = {20, 20, 20, 20, 20, 20, 20, 20, 20};
    struct sas_budget b;
    start(&b, SAS_BUDGET_CONCURRENT, 0, floors, 0);
    assert_int_equal(SasBudget_Lend(&b, 1, 77, 5, 0), 5);
    assert_int_equal(SasBudget_Lend(&b, 1, 77, 5, 1), 5);
    assert_int_equal(SasBudget_GetAllowance(&b, 1), 15);
    assert_int_equal(SasBudget_Lend(&b, 2, 77, 5, 1), 0);
    SasBudget_AcceptReturn(&b, 1, 77, 2, 2);
    SasBudget_AcceptReturn(&b, 1, 77, 4, 3);
    assert_int_equal(SasBudget_GetAllowance(&b, 3), 18);
}

/* The process was paused past the end of a loan that a request uses. Until
 * that request is released it blocks own units; and a loan that the lender
 * doesn't renew is used by no new request. */
static void
test_overdue_and_closing_loans_are_not_used(void **state)
{
    (void)state;
    const int64_t floors[MEMBERS] = {1, 1, 1, 1, 1, 1, 1, 1, 1};
    struct sas_budget b;
    start(&b, SAS_BUDGET_CONCURRENT, 0, floors, 0);
    uint64_t id = SasBudget_Ask(&b, 1, 0);
    assert_true(SasBudget_Borrowed(&b, 1, id, 2, 0));
    int source = SasBudget_Acquire(&b, 1, 5000, 0);
    assert_true(source > 0);
    uint32_t renewal = SasBudget_Renew(&b, id, 10);
    SasBudget_Renewed(&b, id, renewal, false, 20);
    assert_int_equal(SasBudget_FindSurplus(&b, 20)->id, id);
    assert_int_equal(SasBudget_Return(&b, id, 20), 1);
    assert_int_equal(SasBudget_Acquire(&b, 1, 5000, LOAN_MS + 1), -1);
    SasBudget_Release(&b, source, 1, LOAN_MS + 2);
    assert_int_equal(SasBudget_Acquire(&b, 1, 5000, LOAN_MS + 2), 0);

    id = SasBudget_Ask(&b, 2, LOAN_MS + 2);
    assert_true(SasBudget_Borrowed(&b, 2, id, 2, LOAN_MS + 2));
    renewal = SasBudget_Renew(&b, id, LOAN_MS + 10);
    SasBudget_Renewed(&b, id, renewal, false, LOAN_MS + 20);
    assert_int_equal(SasBudget_Acquire(&b, 1, 5000, LOAN_MS + 20), -1);
}

/* Two busy entry VMs must not pass the same slots back and forth while each
 * refuses requests in turn. A busy lender keeps its floor, and one that
 * becomes busy gets its units back instead of a renewal. */
static void
test_busy_lender_keeps_its_floor(void **state)
{
    (void)state;
    const int64_t floors[MEMBERS] = {8, 8, 8, 8, 8, 8, 8, 8, 8};
    struct sas_budget b;
    start(&b, SAS_BUDGET_CONCURRENT, 0, floors, 0);
    assert_int_equal(SasBudget_Lend(&b, 1, 77, 4, 0), 4);
    assert_true(SasBudget_Extend(&b, 1, 77, 4, 100));
    assert_int_equal(SasBudget_Acquire(&b, 4, 20000, 100), 0);
    assert_int_equal(SasBudget_Acquire(&b, 1, 20000, 100), -1);
    assert_false(SasBudget_Extend(&b, 1, 77, 4, 5000));
    assert_int_equal(SasBudget_Lend(&b, 2, 78, 1, 5000), 0);
    SasBudget_AcceptReturn(&b, 1, 77, 0, 6000);
    assert_int_equal(SasBudget_Acquire(&b, 4, 20000, 6000), 0);
    assert_int_equal(SasBudget_Lend(&b, 2, 79, 1, 12000), 0);
}

/* Drives one busy member among idle ones for 30 s without faults. Returns its
 * usable units at the end. */
static int64_t
drive_busy_member(enum sas_budget_kind kind, int64_t limit, int64_t *acquired)
{
    static struct sas_budget members[MEMBERS];
    const int64_t weights[MEMBERS] = {1, 1, 1, 1, 1, 1, 1, 1, 1};
    int64_t floors[MEMBERS];
    int sources[512];
    int running = 0;
    GRand *rand = g_rand_new_with_seed(7);
    SasBudget_Split(limit, weights, MEMBERS, floors);
    for (int i = 0; i < MEMBERS; i++) {
        start(&members[i], kind, i, floors, 0);
    }
    *acquired = 0;
    for (int64_t now = 0; now < 30000; now += 5) {
        if (now % 500 == 0) {
            for (int i = 1; i < MEMBERS; i++) {
                int64_t unused = SasBudget_GetUnused(&members[i], now);
                SasBudget_Hint(&members[0], i, unused, 0, now);
            }
        }
        int source = 0;
        while (kind == SAS_BUDGET_CONCURRENT && running < 400 && source >= 0) {
            source = SasBudget_Acquire(&members[0], 1, 5000, now);
            sources[running] = source;
            running += source >= 0;
        }
        /* One request ends each step. */
        if (running > 0) {
            SasBudget_Release(&members[0], sources[0], 1, now);
            running--;
            sources[0] = sources[running];
        }
        while (kind == SAS_BUDGET_RATE &&
               SasBudget_AcquireRate(&members[0], 1000, now)) {
            *acquired += now >= 20000 ? 1000 : 0;
        }
        int64_t wanted = SasBudget_GetWanted(&members[0], now);
        int lender = SasBudget_ChooseLender(&members[0], now, rand);
        if (wanted > 0 && lender >= 0) {
            uint64_t id = SasBudget_Ask(&members[0], lender, now);
            int64_t granted =
                SasBudget_Lend(&members[lender], 0, id, wanted, now);
            SasBudget_Borrowed(&members[0], lender, id, granted, now);
        }
        const struct sas_loan *due = SasBudget_FindRenewal(&members[0], now);
        if (due != NULL) {
            uint32_t seq = SasBudget_Renew(&members[0], due->id, now);
            bool ok = SasBudget_Extend(&members[due->member_id], 0, due->id,
                                       due->granted, now);
            SasBudget_Renewed(&members[0], due->id, seq, ok, now);
        }
    }
    g_rand_free(rand);
    return SasBudget_GetAllowance(&members[0], 30000);
}

static void
test_one_busy_member_gets_nine_tenths(void **state)
{
    (void)state;
    int64_t acquired;
    const int64_t limits[] = {24, 72, 330};
    for (int i = 0; i < 3; i++) {
        int64_t got =
            drive_busy_member(SAS_BUDGET_CONCURRENT, limits[i], &acquired);
        print_message("limit %d: one member may use %d\n", (int)limits[i],
                      (int)got);
        assert_true(got * 10 >= limits[i] * 9);
    }
    drive_busy_member(SAS_BUDGET_RATE, 50000, &acquired);
    print_message("cap 50/s: one member acquired %d in 10 s\n",
                  (int)(acquired / 1000));
    assert_true(acquired >= 450 * 1000);
    assert_true(acquired <= 500 * 1000 + MEMBERS * 1000 + 5000);
}

/* A caller with an old lookup uses an entry VM without a floor of the shift's
 * cap. That never borrowed, since it had acquired nothing and so seemed to
 * need nothing, and all its requests stayed in the home region. */
static void
test_a_member_without_a_floor_borrows(void **state)
{
    (void)state;
    struct sas_budget budget;
    const int64_t floors[MEMBERS] = {0, 50000};
    start(&budget, SAS_BUDGET_RATE, 0, floors, 0);
    assert_int_equal(SasBudget_GetWanted(&budget, 0), 0);
    int64_t wanted = 0;
    for (int64_t now = 0; now < 2000; now += 400) {
        assert_false(SasBudget_AcquireRate(&budget, 1000, now));
        wanted = MAX(wanted, SasBudget_GetWanted(&budget, now));
    }
    assert_true(wanted >= 500);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_floors_sum_to_the_limit),
        cmocka_unit_test(test_long_request_needs_own_units),
        cmocka_unit_test(test_duplicate_request_gets_the_same_grant),
        cmocka_unit_test(test_overdue_and_closing_loans_are_not_used),
        cmocka_unit_test(test_busy_lender_keeps_its_floor),
        cmocka_unit_test(test_one_busy_member_gets_nine_tenths),
        cmocka_unit_test(test_a_member_without_a_floor_borrows),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
