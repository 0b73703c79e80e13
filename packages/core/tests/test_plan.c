#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include <glib.h>

#include "sas/plan.h"
#include "steering_fixture.h"

#define NOW INT64_C(1764680000000)
#define HOUR INT64_C(3600000)
#define RAMP_ROW "+0,dossiers,montreal,quebec,60%,,,ramp=300\n"

static struct sas_plan_signal table[6];
static bool down[3];
static const struct sas_plan_signals signals = {table, down};

static int
set_up(void **state)
{
    (void)state;
    for (int i = 0; i < 6; i++) {
        table[i] = (struct sas_plan_signal){0.5, 500};
    }
    memset(down, 0, sizeof(down));
    return 0;
}

static struct sas_config *
make_config(int64_t version, const char *rows)
{
    struct sas_sheet sheet;
    struct sas_sheet_error reason;
    g_autofree char *text = g_strconcat(SasSheet_HEADER "\n", rows, NULL);
    assert_int_equal(
        SasSheet_Parse(&sheet, &fixture, text, strlen(text), NOW, 0, &reason),
        0);
    return SasConfig_New(version, "op", "amina", NOW, &sheet, text, NULL);
}

static void
build(struct sas_plan *plan, int64_t version, const char *rows)
{
    struct sas_config *config = make_config(version, rows);
    SasPlan_Build(plan, &fixture, config);
    SasConfig_Unref(config);
}

/* Advances the plan once a second for `seconds`, both clocks in step, from
 * (wall_ms, monotonic_ms) on. */
static void
run(struct sas_plan *plan, int64_t wall_ms, int64_t monotonic_ms, int seconds)
{
    for (int i = 0; i <= seconds; i++) {
        SasPlan_Advance(plan, wall_ms + i * 1000, monotonic_ms + i * 1000,
                        &signals);
    }
}

static double
get_share(const struct sas_plan *plan)
{
    return SasPlan_GetShare(plan, DOSSIERS, MONTREAL, QUEBEC);
}

static enum sas_hold
get_hold(const struct sas_plan *plan)
{
    return SasPlan_FindShift(plan, DOSSIERS, MONTREAL, QUEBEC)->holding;
}

static void
assert_near(double actual, double expected)
{
    assert_true(fabs(actual - expected) < 1e-9);
}

static void
test_ramp_rises_linearly(void **state)
{
    (void)state;
    struct sas_plan plan = {0};
    build(&plan, 1, RAMP_ROW);
    run(&plan, NOW, 0, 150);
    assert_near(get_share(&plan), 0.3);
    assert_near(SasPlan_GetShare(&plan, DOSSIERS, MONTREAL, MONTREAL), 0.7);
    assert_true(SasPlan_IsShifting(&plan, DOSSIERS, MONTREAL));
    run(&plan, NOW + 151000, 151000, 150);
    assert_near(get_share(&plan), 0.6);
    assert_false(SasPlan_IsShifting(&plan, DOSSIERS, MONTREAL));
    SasPlan_Free(&plan);
}

/* Guards against a full shift to cold caches when the wall clock jumps an hour
 * ahead during a ramp: by the wall clock the ramp is then complete. */
static void
test_forward_clock_jump_skips_no_ramp(void **state)
{
    (void)state;
    struct sas_plan plan = {0};
    build(&plan, 1, RAMP_ROW);
    run(&plan, NOW, 0, 10);
    run(&plan, NOW + 10000 + HOUR, 10000, 20);
    assert_near(get_share(&plan), 0.06);
    SasPlan_Free(&plan);
}

/* Guards against starting a later row, without a ramp, too early when the wall
 * clock is an hour ahead for ten seconds. */
static void
test_short_forward_jump_starts_no_later_row(void **state)
{
    (void)state;
    struct sas_plan plan = {0};
    build(&plan, 1, "+1800,dossiers,montreal,quebec,60%,,,\n");
    run(&plan, NOW, 0, 10);
    run(&plan, NOW + 10000 + HOUR, 10000, 10);
    assert_near(get_share(&plan), 0);
    run(&plan, NOW + 20000, 20000, 100);
    assert_near(get_share(&plan), 0);
    SasPlan_Free(&plan);
}

/* Guards against sending all shifted callers home at once when the wall clock
 * is set back an hour: by the wall clock the row is then not in force yet. */
static void
test_backward_clock_jump_undoes_no_ramp(void **state)
{
    (void)state;
    struct sas_plan plan = {0};
    build(&plan, 1, RAMP_ROW "+20,,,,,,dossiers-01,\n");
    run(&plan, NOW, 0, 100);
    run(&plan, NOW + 100000 - HOUR, 100000, 20);
    assert_true(get_share(&plan) >= 0.2);
    assert_true(SasPlan_IsDraining(&plan, SAS_DRAIN_BACKEND, 0));
    SasPlan_Free(&plan);
}

/* An entry VM is replaced during a ramp that its peers hold at 10%. It must
 * not start at the 30% that the schedule allows by then. */
static void
test_new_node_starts_at_the_seeded_share(void **state)
{
    (void)state;
    struct sas_plan plan = {0};
    build(&plan, 1, RAMP_ROW);
    run(&plan, NOW + 150000, 77, 0);
    assert_near(get_share(&plan), 0);
    assert_false(SasPlan_Seed(&plan, DOSSIERS, MONTREAL, QUEBEC, NAN));
    assert_true(SasPlan_Seed(&plan, DOSSIERS, MONTREAL, QUEBEC, 0.1));
    assert_near(get_share(&plan), 0.1);
    assert_true(SasPlan_Seed(&plan, DOSSIERS, MONTREAL, QUEBEC, 0.9));
    assert_near(get_share(&plan), 0.3);
    run(&plan, NOW + 150000, 77, 31);
    assert_false(SasPlan_Seed(&plan, DOSSIERS, MONTREAL, QUEBEC, 0.6));
    SasPlan_Free(&plan);
}

/* The store is down when an entry VM starts, so its first version arrives ten
 * minutes later. It must then still accept the shares that its peers have in
 * force. */
static void
test_late_first_version_can_be_seeded(void **state)
{
    (void)state;
    static const struct sas_config nothing = {.sheet_text = ""};
    struct sas_plan plan = {0};
    SasPlan_Build(&plan, &fixture, &nothing);
    run(&plan, NOW, 0, 600);
    build(&plan, 1, RAMP_ROW);
    assert_false(SasPlan_Seed(&plan, DOSSIERS, MONTREAL, QUEBEC, 0.6));
    run(&plan, NOW + 601000, 601000, 0);
    assert_true(get_share(&plan) < 0.003);
    assert_true(SasPlan_Seed(&plan, DOSSIERS, MONTREAL, QUEBEC, 0.6));
    assert_near(get_share(&plan), 0.6);
    run(&plan, NOW + 602000, 602000, 30);
    build(&plan, 2, "+0,galerie,montreal,quebec,60%,,,ramp=300\n");
    run(&plan, NOW + 633000, 633000, 0);
    assert_false(SasPlan_Seed(&plan, GALERIE, MONTREAL, QUEBEC, 0.6));
    SasPlan_Free(&plan);
}

/* A process is paused for an hour and resumes with one good measurement. */
static void
test_paused_process_does_not_catch_up_in_one_step(void **state)
{
    (void)state;
    struct sas_plan plan = {0};
    build(&plan, 1, RAMP_ROW);
    run(&plan, NOW, 0, 10);
    run(&plan, NOW + HOUR, HOUR, 0);
    assert_near(get_share(&plan), 0.02 + 0.02);
    SasPlan_Free(&plan);
}

static void
test_holds_are_reported_and_lifted(void **state)
{
    (void)state;
    struct sas_plan plan = {0};
    build(&plan, 1,
          "+0,dossiers,montreal,quebec,60%,,,ramp=300;headroom=20%;warm=60\n");
    table[QUEBEC].age_ms = SasPlan_MAX_SIGNAL_AGE_MS + 1;
    run(&plan, NOW, 0, 10);
    assert_int_equal(get_hold(&plan), SAS_HOLD_MEASUREMENTS_OLD);
    table[QUEBEC] = (struct sas_plan_signal){0.5, NAN};
    run(&plan, NOW + 10000, 10000, 10);
    assert_int_equal(get_hold(&plan), SAS_HOLD_MEASUREMENTS_OLD);
    table[QUEBEC] = (struct sas_plan_signal){0.19, 100};
    run(&plan, NOW + 20000, 20000, 10);
    assert_int_equal(get_hold(&plan), SAS_HOLD_HEADROOM_SHORT);
    assert_near(get_share(&plan), 0);
    table[QUEBEC].headroom = 0.2;
    run(&plan, NOW + 30000, 30000, 59);
    assert_int_equal(get_hold(&plan), SAS_HOLD_CACHE_COLD);
    assert_near(get_share(&plan), 0.06);
    run(&plan, NOW + 90000, 90000, 10);
    assert_int_equal(get_hold(&plan), SAS_HOLD_NONE);
    assert_true(get_share(&plan) > 0.06);
    SasPlan_Free(&plan);
}

/* A region goes down during a shift towards it and comes back with cold
 * caches. Its share must be 0 at once and must not return in one step,
 * although the row has no ramp. */
static void
test_down_region_gets_no_share(void **state)
{
    (void)state;
    struct sas_plan plan = {0};
    double weights[3];
    build(&plan, 1, "+0,dossiers,montreal,quebec,60%,,,\n");
    run(&plan, NOW, 0, 1);
    assert_near(get_share(&plan), 0.6);
    down[QUEBEC] = true;
    run(&plan, NOW + 2000, 2000, 0);
    assert_near(get_share(&plan), 0);
    assert_int_equal(get_hold(&plan), SAS_HOLD_REGION_GONE);
    down[QUEBEC] = false;
    run(&plan, NOW + 3000, 3000, 1);
    assert_true(get_share(&plan) > 0 && get_share(&plan) < 0.03);
    run(&plan, NOW + 4000, 4000, 60);
    assert_near(get_share(&plan), 0.6);
    down[MONTREAL] = true;
    run(&plan, NOW + 65000, 65000, 0);
    SasPlan_GetWeights(&plan, DOSSIERS, MONTREAL, weights);
    assert_near(weights[MONTREAL], 0);
    assert_near(weights[QUEBEC], 0.6 + 0.4 * 2 / 3);
    assert_near(weights[SAGUENAY], 0.4 / 3);
    SasPlan_Free(&plan);
}

/* Guards against a ramp that begins again at 0 because an operator drains a
 * server, which makes a new version. */
static void
test_new_version_keeps_the_share_in_force(void **state)
{
    (void)state;
    struct sas_plan plan = {0};
    build(&plan, 1, RAMP_ROW);
    run(&plan, NOW, 0, 100);
    build(&plan, 2, RAMP_ROW "+100,,,,,,dossiers-01,\n");
    assert_near(get_share(&plan), 0.2);
    run(&plan, NOW + 100000, 100000, 50);
    assert_near(get_share(&plan), 0.3);
    assert_true(SasPlan_IsDraining(&plan, SAS_DRAIN_BACKEND, 0));
    assert_false(SasPlan_IsDraining(&plan, SAS_DRAIN_VM, 0));
    build(&plan, 3, "+0,dossiers,montreal,quebec,10%,5 concurrent,,\n");
    run(&plan, NOW + 150000, 150000, 0);
    assert_near(get_share(&plan), 0.1);
    assert_int_equal(
        SasPlan_FindShift(&plan, DOSSIERS, MONTREAL, QUEBEC)->cap_unit,
        SAS_CAP_CONCURRENT);
    SasPlan_Free(&plan);
}

/* An entry VM whose clock is behind applies a new version that repeats a
 * shift. The shift must keep its share and its cap although the clock has not
 * reached the version's time. */
static void
test_lagging_clock_ends_no_shift(void **state)
{
    (void)state;
    struct sas_plan plan = {0};
    const char *row = "+0,dossiers,montreal,quebec,60%,20 req/s,,\n";
    build(&plan, 1, row);
    run(&plan, NOW - 2000, 0, 1);
    assert_near(get_share(&plan), 0.6);
    build(&plan, 2, row);
    run(&plan, NOW - 900, 1100, 0);
    assert_near(get_share(&plan), 0.6);
    assert_int_equal(
        SasPlan_FindShift(&plan, DOSSIERS, MONTREAL, QUEBEC)->cap_unit,
        SAS_CAP_REQUESTS);
    SasPlan_Free(&plan);
    /* A clock that is behind by an hour exceeds the tolerated skew. */
    plan = (struct sas_plan){0};
    build(&plan, 1, row);
    run(&plan, NOW - HOUR, 0, 1);
    assert_near(get_share(&plan), 0);
    SasPlan_Free(&plan);
}

static void
test_rows_take_effect_in_order(void **state)
{
    (void)state;
    struct sas_plan plan = {0};
    build(&plan, 1,
          "+100,dossiers,montreal,quebec,50%,,,\n"
          "+200,dossiers,montreal,quebec,20%,,,ramp=100\n"
          "+300,dossiers,montreal,quebec,60%,,,ramp=100\n");
    run(&plan, NOW, 0, 60);
    assert_false(SasPlan_IsShifting(&plan, DOSSIERS, MONTREAL));
    run(&plan, NOW + 61000, 61000, 38);
    assert_near(get_share(&plan), 0);
    assert_true(SasPlan_IsShifting(&plan, DOSSIERS, MONTREAL));
    run(&plan, NOW + 100000, 100000, 1);
    assert_near(get_share(&plan), 0.5);
    run(&plan, NOW + 102000, 102000, 98);
    assert_near(get_share(&plan), 0.2);
    run(&plan, NOW + 201000, 201000, 149);
    assert_near(get_share(&plan), 0.4);
    SasPlan_Free(&plan);
}

static int
check_capacity(const char *rows, const struct sas_demand *demand,
               struct sas_sheet_error *place)
{
    struct sas_config *config = make_config(1, rows);
    struct sas_error error = {0};
    int rc = SasPlan_CheckCapacity(&fixture, config, demand, place, &error);
    assert_int_equal(error.code, rc == 0 ? SAS_OK : SAS_ECAPACITY);
    SasConfig_Unref(config);
    return rc;
}

static void
test_capacity_check_names_row_and_column(void **state)
{
    (void)state;
    static const struct sas_demand demand[6] = {{100, 1000, 5}, {100, 100, 4},
                                                {10, 100, 1},   {10, 100, 1},
                                                {10, 100, 1},   {10, 100, 1}};
    static const struct {
        const char *rows;
        const char *column; /* NULL when the check passes */
        int row;
    } cases[] = {
        {"+0,dossiers,montreal,quebec,40%,,,\n", NULL, 0},
        {"+0,dossiers,montreal,quebec,41%,,,\n", "share", 2},
        {"+0,dossiers,montreal,quebec,90%,2 concurrent,,\n", NULL, 0},
        {"+0,dossiers,montreal,quebec,20%,,,headroom=20%\n", "share", 2},
        {"+0,dossiers,montreal,quebec,1%,7 concurrent,,\n", "cap", 2},
        {"+0,dossiers,saguenay,montreal,1%,41 Mbit/s,,\n", "cap", 2},
        {"+0,dossiers,saguenay,montreal,41%,,,\n", "share", 2},
        {"+0,galerie,montreal,saguenay,1%,,,\n", "to", 2},
        {"+0,dossiers,montreal,quebec,40%,,,\n+9,,,,,,dossiers-03,\n", "drain",
         3},
        {"+0,,,,,,dossiers-03,\n", "drain", 2},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct sas_sheet_error place = {0};
        int rc = check_capacity(cases[i].rows, demand, &place);
        assert_int_equal(rc, cases[i].column == NULL ? 0 : -1);
        assert_int_equal(place.row, cases[i].row);
        assert_string_equal(place.column,
                            cases[i].column ? cases[i].column : "");
    }
    assert_int_equal(
        check_capacity("+0,dossiers,saguenay,montreal,90%,,,\n", NULL, NULL),
        0);
    assert_int_equal(
        check_capacity("+0,dossiers,saguenay,montreal,9%,30 Mbit/s,,\n"
                       "+0,galerie,saguenay,montreal,9%,30 Mbit/s,,\n",
                       NULL, NULL),
        -1);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup(test_ramp_rises_linearly, set_up),
        cmocka_unit_test_setup(test_forward_clock_jump_skips_no_ramp, set_up),
        cmocka_unit_test_setup(test_short_forward_jump_starts_no_later_row,
                               set_up),
        cmocka_unit_test_setup(test_backward_clock_jump_undoes_no_ramp,
                               set_up),
        cmocka_unit_test_setup(test_new_node_starts_at_the_seeded_share,
                               set_up),
        cmocka_unit_test_setup(test_late_first_version_can_be_seeded, set_up),
        cmocka_unit_test_setup(
            test_paused_process_does_not_catch_up_in_one_step, set_up),
        cmocka_unit_test_setup(test_holds_are_reported_and_lifted, set_up),
        cmocka_unit_test_setup(test_down_region_gets_no_share, set_up),
        cmocka_unit_test_setup(test_new_version_keeps_the_share_in_force,
                               set_up),
        cmocka_unit_test_setup(test_lagging_clock_ends_no_shift, set_up),
        cmocka_unit_test_setup(test_rows_take_effect_in_order, set_up),
        cmocka_unit_test_setup(test_capacity_check_names_row_and_column,
                               set_up),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
