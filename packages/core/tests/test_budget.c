#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "sas/budget.h"

#define SEATS 9
#define LIFE 15000

static void
start(struct sas_budget *b, enum sas_budget_kind kind, int seat,
      const int64_t *floors, int64_t now_ms)
{
    struct sas_budget_settings settings = {
        .kind = kind,
        .seats = SEATS,
        .own_seat = seat,
        .incarnation = 1,
        .life_ms = LIFE,
        .quantum = 1000,
    };
    SasBudget_Init(b, &settings, floors, 0, now_ms);
    for (int i = 0; i < SEATS; i++) {
        SasBudget_Disowned(b, i, 1, now_ms);
    }
}

static void
test_split_is_whole_and_same(void **state)
{
    (void)state;
    const int64_t weights[] = {2, 2, 2, 2, 2, 2, 2, 2, 1};
    int64_t floors[SEATS];
    for (int64_t limit = 0; limit < 200; limit++) {
        int64_t sum = 0;
        SasBudget_Split(limit, weights, SEATS, floors);
        for (int i = 0; i < SEATS; i++) {
            sum += floors[i];
        }
        assert_int_equal(sum, limit);
    }
    SasBudget_Split(24, weights, SEATS, floors);
    assert_int_equal(floors[0], 3);
    assert_int_equal(floors[8], 1);
}

/* A crew's photo upload holds its slot for a minute, the slot was lent for
 * fifteen seconds. The lender takes the slot back and gives it to another
 * upload: the backend server gets one more than it has slots for. */
static void
test_long_request_needs_own_units(void **state)
{
    (void)state;
    const int64_t floors[SEATS] = {1, 1, 1, 1, 1, 1, 1, 1, 1};
    struct sas_budget b;
    start(&b, SAS_BUDGET_CONCURRENT, 0, floors, 0);
    uint64_t id = SasBudget_Ask(&b, 1, 0);
    assert_true(SasBudget_Borrowed(&b, 1, id, 1, 10));
    assert_int_equal(SasBudget_GetAllowance(&b, 10), 2);
    assert_int_equal(SasBudget_Take(&b, 1, 60000, 10), 0);
    assert_int_equal(SasBudget_Take(&b, 1, 60000, 10), -1);
    int pot = SasBudget_Take(&b, 1, 5000, 10);
    assert_true(pot > 0);
    assert_int_equal(SasBudget_GetAllowance(&b, LIFE), 1);
    SasBudget_Give(&b, pot, 1, LIFE);
    assert_int_equal(SasBudget_GetUsed(&b), 1);
}

/* A question is doubled by the network: the lender must not set units aside
 * twice, for the borrower takes only the first answer. */
static void
test_doubled_question_gets_the_same_grant(void **state)
{
    (void)state;
    const int64_t floors[SEATS] = {20, 20, 20, 20, 20, 20, 20, 20, 20};
    struct sas_budget b;
    start(&b, SAS_BUDGET_CONCURRENT, 0, floors, 0);
    assert_int_equal(SasBudget_Lend(&b, 1, 77, 5, 0), 5);
    assert_int_equal(SasBudget_Lend(&b, 1, 77, 5, 1), 5);
    assert_int_equal(SasBudget_GetAllowance(&b, 1), 15);
    assert_int_equal(SasBudget_Lend(&b, 2, 77, 5, 1), 0);
    SasBudget_TakeBack(&b, 1, 77, 2, 2);
    SasBudget_TakeBack(&b, 1, 77, 4, 3);
    assert_int_equal(SasBudget_GetAllowance(&b, 3), 18);
}

/* The process was paused past a loan's end with a request on it. Until that
 * request is accounted for, it stands in the way of a new one; and a loan
 * that the lender will not renew takes no new ones either. */
static void
test_overdue_and_closing_take_nothing_new(void **state)
{
    (void)state;
    const int64_t floors[SEATS] = {1, 1, 1, 1, 1, 1, 1, 1, 1};
    struct sas_budget b;
    start(&b, SAS_BUDGET_CONCURRENT, 0, floors, 0);
    uint64_t id = SasBudget_Ask(&b, 1, 0);
    assert_true(SasBudget_Borrowed(&b, 1, id, 2, 0));
    int pot = SasBudget_Take(&b, 1, 5000, 0);
    assert_true(pot > 0);
    uint32_t renewal = SasBudget_Renew(&b, id, 10);
    SasBudget_Renewed(&b, id, renewal, false, 20);
    assert_int_equal(SasBudget_FindSurplus(&b, 20)->id, id);
    assert_int_equal(SasBudget_Return(&b, id, 20), 1);
    assert_int_equal(SasBudget_Take(&b, 1, 5000, LIFE + 1), -1);
    SasBudget_Give(&b, pot, 1, LIFE + 2);
    assert_int_equal(SasBudget_Take(&b, 1, 5000, LIFE + 2), 0);

    id = SasBudget_Ask(&b, 2, LIFE + 2);
    assert_true(SasBudget_Borrowed(&b, 2, id, 2, LIFE + 2));
    renewal = SasBudget_Renew(&b, id, LIFE + 10);
    SasBudget_Renewed(&b, id, renewal, false, LIFE + 20);
    assert_int_equal(SasBudget_Take(&b, 1, 5000, LIFE + 20), -1);
}

/* Two busy nodes would pass the same slots to and fro, each refusing callers
 * in turn. A busy lender keeps its floor, and one that becomes busy gets back
 * what it lent when the loan is to be renewed. */
static void
test_busy_lender_keeps_its_floor(void **state)
{
    (void)state;
    const int64_t floors[SEATS] = {8, 8, 8, 8, 8, 8, 8, 8, 8};
    struct sas_budget b;
    start(&b, SAS_BUDGET_CONCURRENT, 0, floors, 0);
    assert_int_equal(SasBudget_Lend(&b, 1, 77, 4, 0), 4);
    assert_true(SasBudget_Extend(&b, 1, 77, 4, 100));
    assert_int_equal(SasBudget_Take(&b, 4, 20000, 100), 0);
    assert_int_equal(SasBudget_Take(&b, 1, 20000, 100), -1);
    assert_false(SasBudget_Extend(&b, 1, 77, 4, 5000));
    assert_int_equal(SasBudget_Lend(&b, 2, 78, 1, 5000), 0);
    SasBudget_TakeBack(&b, 1, 77, 0, 6000);
    assert_int_equal(SasBudget_Take(&b, 4, 20000, 6000), 0);
    assert_int_equal(SasBudget_Lend(&b, 2, 79, 1, 12000), 0);
}

/* Drives one hot seat among idle ones for some seconds with all well, and
 * returns what it may use at the end. */
static int64_t
drive_hot_seat(enum sas_budget_kind kind, int64_t limit, int64_t *passed)
{
    static struct sas_budget nodes[SEATS];
    const int64_t weights[SEATS] = {1, 1, 1, 1, 1, 1, 1, 1, 1};
    int64_t floors[SEATS];
    int pots[512];
    int taken = 0;
    GRand *rand = g_rand_new_with_seed(7);
    SasBudget_Split(limit, weights, SEATS, floors);
    for (int i = 0; i < SEATS; i++) {
        start(&nodes[i], kind, i, floors, 0);
    }
    *passed = 0;
    for (int64_t now = 0; now < 30000; now += 5) {
        if (now % 500 == 0) {
            for (int i = 1; i < SEATS; i++) {
                int64_t unused = SasBudget_GetUnused(&nodes[i], now);
                SasBudget_Hint(&nodes[0], i, unused, 0, now);
            }
        }
        int pot = 0;
        while (kind == SAS_BUDGET_CONCURRENT && taken < 400 && pot >= 0) {
            pot = SasBudget_Take(&nodes[0], 1, 5000, now);
            pots[taken] = pot;
            taken += pot >= 0;
        }
        /* One request ends each step. */
        if (taken > 0) {
            SasBudget_Give(&nodes[0], pots[0], 1, now);
            taken--;
            pots[0] = pots[taken];
        }
        while (kind == SAS_BUDGET_RATE &&
               SasBudget_TakeRate(&nodes[0], 1000, now)) {
            *passed += now >= 20000 ? 1000 : 0;
        }
        int64_t wanted = SasBudget_GetWanted(&nodes[0], now);
        int lender = SasBudget_ChooseLender(&nodes[0], now, rand);
        if (wanted > 0 && lender >= 0) {
            uint64_t id = SasBudget_Ask(&nodes[0], lender, now);
            int64_t granted =
                SasBudget_Lend(&nodes[lender], 0, id, wanted, now);
            SasBudget_Borrowed(&nodes[0], lender, id, granted, now);
        }
        const struct sas_loan *due = SasBudget_FindRenewal(&nodes[0], now);
        if (due != NULL) {
            uint32_t seq = SasBudget_Renew(&nodes[0], due->id, now);
            bool ok = SasBudget_Extend(&nodes[due->seat], 0, due->id,
                                       due->granted, now);
            SasBudget_Renewed(&nodes[0], due->id, seq, ok, now);
        }
    }
    g_rand_free(rand);
    return SasBudget_GetAllowance(&nodes[0], 30000);
}

static void
test_one_hot_seat_gets_nine_tenths(void **state)
{
    (void)state;
    int64_t passed;
    const int64_t limits[] = {24, 72, 330};
    for (int i = 0; i < 3; i++) {
        int64_t got =
            drive_hot_seat(SAS_BUDGET_CONCURRENT, limits[i], &passed);
        print_message("limit %d: one seat may use %d\n", (int)limits[i],
                      (int)got);
        assert_true(got * 10 >= limits[i] * 9);
    }
    drive_hot_seat(SAS_BUDGET_RATE, 50000, &passed);
    print_message("cap 50/s: one seat let pass %d in 10 s\n",
                  (int)(passed / 1000));
    assert_true(passed >= 450 * 1000);
    assert_true(passed <= 500 * 1000 + SEATS * 1000 + 5000);
}

/* A caller with an old look-up asks an entry VM that has no floor of the
 * shift's cap. All its requests stayed at home for good, since nothing taken
 * meant that nothing was wanted. */
static void
test_a_seat_without_a_floor_begins_to_borrow(void **state)
{
    (void)state;
    struct sas_budget budget;
    const int64_t floors[SEATS] = {0, 50000};
    start(&budget, SAS_BUDGET_RATE, 0, floors, 0);
    assert_int_equal(SasBudget_GetWanted(&budget, 0), 0);
    int64_t wanted = 0;
    for (int64_t now = 0; now < 2000; now += 400) {
        assert_false(SasBudget_TakeRate(&budget, 1000, now));
        wanted = MAX(wanted, SasBudget_GetWanted(&budget, now));
    }
    assert_true(wanted >= 500);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_split_is_whole_and_same),
        cmocka_unit_test(test_long_request_needs_own_units),
        cmocka_unit_test(test_doubled_question_gets_the_same_grant),
        cmocka_unit_test(test_overdue_and_closing_take_nothing_new),
        cmocka_unit_test(test_busy_lender_keeps_its_floor),
        cmocka_unit_test(test_one_hot_seat_gets_nine_tenths),
        cmocka_unit_test(test_a_seat_without_a_floor_begins_to_borrow),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
