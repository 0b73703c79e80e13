#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "sas/model.h"
#include "sas/placement.h"

#define SERVERS 4
#define DRAWS 4000

struct fixture {
    struct sas_placement_server servers[SERVERS];
    GRand *random;
};

static int
set_up(void **state)
{
    struct fixture *fixture = g_new0(struct fixture, 1);
    for (int i = 0; i < SERVERS; i++) {
        fixture->servers[i] = (struct sas_placement_server){
            .backend = 10 + i,
            .slots = 3,
            .queue = 1,
            .owned_slots = 1,
            .eligible = true,
            .same_domain = i < 2,
        };
    }
    fixture->random = g_rand_new_with_seed(7);
    *state = fixture;
    return 0;
}

static int
tear_down(void **state)
{
    struct fixture *fixture = *state;
    g_rand_free(fixture->random);
    g_free(fixture);
    return 0;
}

static int
pick_once(struct fixture *fixture, const char *name)
{
    struct sas_placement_policy *policy = SasPlacement_Create(name);
    int picked =
        policy->pick(policy, fixture->servers, SERVERS, fixture->random);
    SasPlacement_Free(policy);
    return picked;
}

static void
count_picks(struct fixture *fixture, const char *name, int *picks)
{
    struct sas_placement_policy *policy = SasPlacement_Create(name);
    memset(picks, 0, sizeof(int) * SERVERS);
    for (int i = 0; i < DRAWS; i++) {
        picks[policy->pick(policy, fixture->servers, SERVERS,
                           fixture->random)]++;
    }
    SasPlacement_Free(policy);
}

static void
test_unknown_name_is_refused(void **state)
{
    (void)state;
    assert_null(SasPlacement_Create("no-such"));
    assert_null(SasPlacement_GetName(1000));
}

static void
test_no_policy_picks_a_server_without_free_capacity(void **state)
{
    struct fixture *fixture = *state;
    for (int p = 0; SasPlacement_GetName(p) != NULL; p++) {
        const char *name = SasPlacement_GetName(p);
        for (int i = 0; i < SERVERS; i++) {
            fixture->servers[i].eligible = i == 2;
            fixture->servers[i].own_in_flight = 0;
        }
        assert_int_equal(pick_once(fixture, name), 2);
        fixture->servers[2].own_in_flight = 4;
        assert_int_equal(pick_once(fixture, name), SasModel_NONE);
        fixture->servers[2].own_in_flight = 0;
        fixture->servers[2].eligible = false;
        assert_int_equal(pick_once(fixture, name), SasModel_NONE);
    }
}

static void
test_equal_servers_are_picked_evenly(void **state)
{
    struct fixture *fixture = *state;
    for (int i = 0; i < SERVERS; i++) {
        fixture->servers[i].same_domain = true;
    }
    for (int p = 0; SasPlacement_GetName(p) != NULL; p++) {
        int picks[SERVERS];
        count_picks(fixture, SasPlacement_GetName(p), picks);
        for (int i = 0; i < SERVERS; i++) {
            assert_in_range(picks[i], DRAWS / 5, DRAWS * 3 / 10);
        }
    }
}

static void
test_round_robin_skips_unusable_servers(void **state)
{
    struct fixture *fixture = *state;
    struct sas_placement_policy *policy = SasPlacement_Create("round-robin");
    fixture->servers[1].eligible = false;
    const int expected[] = {0, 2, 3, 0};
    for (int i = 0; i < 4; i++) {
        assert_int_equal(
            policy->pick(policy, fixture->servers, SERVERS, fixture->random),
            expected[i]);
    }
    SasPlacement_Free(policy);
}

static void
test_old_reports_decay_to_the_mean(void **state)
{
    struct fixture *fixture = *state;
    double loads[SERVERS];
    fixture->servers[0].reported_load = 3;
    fixture->servers[3].report_age_ms = -1;
    SasPlacement_EstimateLoads(fixture->servers, SERVERS, loads);
    assert_true(loads[0] == 3 && loads[1] == 0);
    assert_true(fabs(loads[3] - 1.0) < 1e-9);
    fixture->servers[0].report_age_ms = SasPlacement_HALF_LIFE_MS;
    SasPlacement_EstimateLoads(fixture->servers, SERVERS, loads);
    assert_true(loads[0] > 1.5 && loads[0] < 3);
    fixture->servers[0].own_in_flight = 2;
    fixture->servers[0].report_age_ms = 1000 * SasPlacement_HALF_LIFE_MS;
    SasPlacement_EstimateLoads(fixture->servers, SERVERS, loads);
    assert_true(fabs(loads[0] - 2.0) < 1e-9);
}

static void
test_loaded_servers_are_avoided(void **state)
{
    struct fixture *fixture = *state;
    for (int i = 0; i < SERVERS; i++) {
        fixture->servers[i].reported_load = i == 3 ? 0 : 2;
    }
    assert_int_equal(pick_once(fixture, "least-load"), 3);
    int picks[SERVERS];
    count_picks(fixture, "two-choices", picks);
    assert_in_range(picks[3], DRAWS * 4 / 10, DRAWS * 6 / 10);
}

static void
test_cold_servers_are_avoided(void **state)
{
    struct fixture *fixture = *state;
    for (int i = 0; i < SERVERS; i++) {
        fixture->servers[i].reported_load = 1;
        fixture->servers[i].cold = i == 0;
    }
    int picks[SERVERS];
    count_picks(fixture, "least-load", picks);
    assert_int_equal(picks[0], 0);
    fixture->servers[1].eligible = false;
    count_picks(fixture, "owned", picks);
    assert_int_equal(picks[0], 0);
}

static void
test_owned_never_exceeds_owned_slots(void **state)
{
    struct fixture *fixture = *state;
    for (int i = 0; i < SERVERS; i++) {
        fixture->servers[i].own_in_flight = i == 1 ? 0 : 1;
        fixture->servers[i].reported_load = i == 1 ? 3 : 0;
    }
    assert_int_equal(pick_once(fixture, "owned"), 1);
    fixture->servers[2].own_in_flight = 0;
    assert_int_equal(pick_once(fixture, "owned"), 2);
    fixture->servers[2].own_in_flight = 1;
    fixture->servers[1].own_in_flight = 1;
    assert_int_equal(pick_once(fixture, "owned"), SasModel_NONE);
}

static void
test_owned_prefers_a_local_free_slot(void **state)
{
    struct fixture *fixture = *state;
    for (int i = 0; i < SERVERS; i++) {
        fixture->servers[i].reported_load = i == 1 ? 2 : i < 2 ? 3 : 0;
    }
    assert_int_equal(pick_once(fixture, "owned"), 1);
    fixture->servers[1].reported_load = 3;
    assert_in_range(pick_once(fixture, "owned"), 2, 3);
}

static void
test_owned_first_borrows_only_idle_slots(void **state)
{
    struct fixture *fixture = *state;
    for (int i = 0; i < SERVERS; i++) {
        fixture->servers[i].own_in_flight = 1;
        fixture->servers[i].reported_load = i == 2 ? 2 : 3;
    }
    assert_int_equal(pick_once(fixture, "owned-first"), 2);
    fixture->servers[2].queue = 0;
    assert_int_equal(pick_once(fixture, "owned-first"), SasModel_NONE);
    fixture->servers[2].reported_load = 1;
    assert_int_equal(pick_once(fixture, "owned-first"), 2);
    fixture->servers[2].shed_recently = true;
    assert_int_equal(pick_once(fixture, "owned-first"), SasModel_NONE);
}

static void
test_cone_stays_local_until_the_imbalance_is_outside(void **state)
{
    struct fixture *fixture = *state;
    int picks[SERVERS];
    count_picks(fixture, "cone", picks);
    assert_int_equal(picks[2] + picks[3], 0);
    for (int i = 0; i < SERVERS; i++) {
        fixture->servers[i].reported_load = i < 2 ? 3 : 2;
    }
    count_picks(fixture, "cone", picks);
    assert_int_equal(picks[2] + picks[3], 0);
    fixture->servers[3].reported_load = 0;
    assert_int_equal(pick_once(fixture, "cone"), 3);
}

int
main(void)
{
#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)
    const struct CMUnitTest tests[] = {
        TEST(test_unknown_name_is_refused),
        TEST(test_no_policy_picks_a_server_without_free_capacity),
        TEST(test_equal_servers_are_picked_evenly),
        TEST(test_round_robin_skips_unusable_servers),
        TEST(test_old_reports_decay_to_the_mean),
        TEST(test_loaded_servers_are_avoided),
        TEST(test_cold_servers_are_avoided),
        TEST(test_owned_never_exceeds_owned_slots),
        TEST(test_owned_prefers_a_local_free_slot),
        TEST(test_owned_first_borrows_only_idle_slots),
        TEST(test_cone_stays_local_until_the_imbalance_is_outside),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
