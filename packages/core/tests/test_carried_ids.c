#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <cmocka.h>

#include "sas/carried_ids.h"

#define REQUESTS 3000
#define LONGEST_GAP_MS 2000
#define ROUNDS 20
#define FORGOTTEN_MS (3 * SasCarriedIds_REMEMBER_MS + 1)

static void
format_id(char *id, size_t size, int number)
{
    snprintf(id, size, "%016x", (unsigned int)number);
}

/* A second attempt on the connection of the first would take the second copy
 * of its answer for its own. */
static void
test_an_id_is_known_for_as_long_as_its_request_may_last(void **state)
{
    (void)state;
    struct sas_carried_ids ids = {0};
    assert_false(SasCarriedIds_Has(&ids, "a", 1000));
    SasCarriedIds_Note(&ids, "a", 1000);
    SasCarriedIds_Note(&ids, "b", 2000);
    assert_true(SasCarriedIds_Has(&ids, "a", 2000));
    assert_true(
        SasCarriedIds_Has(&ids, "a", 1000 + SasCarriedIds_REMEMBER_MS));
    assert_true(
        SasCarriedIds_Has(&ids, "b", 2000 + SasCarriedIds_REMEMBER_MS));
    assert_false(SasCarriedIds_Has(&ids, "a", 1000 + FORGOTTEN_MS));
    assert_false(SasCarriedIds_Has(&ids, "b", 2000 + FORGOTTEN_MS));
    assert_false(SasCarriedIds_Has(&ids, "c", 2000));
    SasCarriedIds_Close(&ids);
}

/* The same at a drawn pace, with pauses and bursts: each id is known for as
 * long as it must be, and no longer than three times that. */
static void
play_drawn_pace(GRand *random)
{
    struct sas_carried_ids ids = {0};
    int64_t noted_at[REQUESTS];
    int64_t now_ms = 1000;
    char id[20];
    int longest_gap_ms = g_rand_int_range(random, 2, LONGEST_GAP_MS);
    for (int i = 0; i < REQUESTS; i++) {
        format_id(id, sizeof(id), i);
        assert_false(SasCarriedIds_Has(&ids, id, now_ms));
        SasCarriedIds_Note(&ids, id, now_ms);
        noted_at[i] = now_ms;
        now_ms += g_rand_int_range(random, 0, longest_gap_ms);
        int earlier = g_rand_int_range(random, 0, i + 1);
        int64_t age_ms = now_ms - noted_at[earlier];
        format_id(id, sizeof(id), earlier);
        if (age_ms <= SasCarriedIds_REMEMBER_MS) {
            assert_true(SasCarriedIds_Has(&ids, id, now_ms));
        }
        else if (age_ms >= FORGOTTEN_MS) {
            assert_false(SasCarriedIds_Has(&ids, id, now_ms));
        }
    }
    SasCarriedIds_Close(&ids);
}

static void
test_ids_are_known_at_any_pace(void **state)
{
    (void)state;
    g_autoptr(GRand) random = g_rand_new_with_seed(49);
    for (int round = 0; round < ROUNDS; round++) {
        play_drawn_pace(random);
    }
}

/* Ids that are kept for good, or for as many requests as come, would fill the
 * memory of a busy connection. */
static void
test_a_connection_is_full_before_its_ids_fill_the_memory(void **state)
{
    (void)state;
    struct sas_carried_ids ids = {0};
    char id[20];
    for (int i = 0; i < SasCarriedIds_MAX; i++) {
        assert_false(SasCarriedIds_IsFull(&ids, 1000));
        format_id(id, sizeof(id), i);
        SasCarriedIds_Note(&ids, id, 1000);
    }
    assert_true(SasCarriedIds_IsFull(&ids, 1000));
    assert_true(SasCarriedIds_IsFull(&ids, 1000 + SasCarriedIds_REMEMBER_MS));
    assert_false(SasCarriedIds_IsFull(&ids, 1001 + SasCarriedIds_REMEMBER_MS));
    SasCarriedIds_Close(&ids);
}

static void
test_old_ids_are_forgotten(void **state)
{
    (void)state;
    struct sas_carried_ids ids = {0};
    char id[20];
    for (int i = 0; i < REQUESTS; i++) {
        format_id(id, sizeof(id), i);
        SasCarriedIds_Note(&ids, id, 1000 + i * 25);
        guint older = ids.older != NULL ? g_hash_table_size(ids.older) : 0;
        assert_true(g_hash_table_size(ids.newer) + older <=
                    2 * (SasCarriedIds_REMEMBER_MS / 25 + 1));
    }
    SasCarriedIds_Close(&ids);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(
            test_an_id_is_known_for_as_long_as_its_request_may_last),
        cmocka_unit_test(test_ids_are_known_at_any_pace),
        cmocka_unit_test(
            test_a_connection_is_full_before_its_ids_fill_the_memory),
        cmocka_unit_test(test_old_ids_are_forgotten),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
