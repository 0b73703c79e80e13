#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "sas/load_estimate.h"
#include "steering_fixture.h"

#define FLOOR 0.1

static struct sas_load_estimate measure;

static int
set_up(void **state)
{
    (void)state;
    SasLoadEstimate_Init(&measure, &fixture, FLOOR);
    return 0;
}

static int
tear_down(void **state)
{
    (void)state;
    SasLoadEstimate_Close(&measure);
    return 0;
}

static void
assert_near(double actual, double expected)
{
    assert_true(fabs(actual - expected) < 1e-9);
}

static double
get_headroom(int64_t now_ms, double *age_ms)
{
    return SasLoadEstimate_GetHeadroom(&measure, &fixture, DOSSIERS, MONTREAL,
                                       now_ms, age_ms);
}

static void
test_report_decays_towards_own_requests(void **state)
{
    (void)state;
    SasLoadEstimate_SetInFlight(&measure, 0, 1);
    SasLoadEstimate_Report(&measure, 0, 3, 2, 3, 1000);
    assert_near(SasLoadEstimate_GetLoad(&measure, 0, 1000), 1 + 4);
    SasLoadEstimate_SetInFlight(&measure, 0, 2);
    assert_near(SasLoadEstimate_GetLoad(&measure, 0, 1000), 2 + 4);
    assert_near(SasLoadEstimate_GetLoad(&measure, 0, 3000), 2 + 2);
    assert_near(SasLoadEstimate_GetLoad(&measure, 0, 11000), 2);
    SasLoadEstimate_Report(&measure, 0, 0, 0, 3, 500);
    assert_near(SasLoadEstimate_GetLoad(&measure, 0, 1000), 2 + 4);
}

/* A load endpoint is stuck at "idle". If nodes trusted it, they would send to
 * that server until it sheds, while others are idle. */
static void
test_contradicted_report_lowers_trust(void **state)
{
    (void)state;
    SasLoadEstimate_SetInFlight(&measure, 0, 3);
    SasLoadEstimate_Report(&measure, 0, 0, 0, 3, 1000);
    assert_near(SasLoadEstimate_GetTrust(&measure, 0), 1);
    SasLoadEstimate_Report(&measure, 0, 0, 0, 3, 1300);
    SasLoadEstimate_Report(&measure, 0, 0, 0, 3, 1600);
    assert_near(SasLoadEstimate_GetTrust(&measure, 0), 0.5);
    SasLoadEstimate_Report(&measure, 1, 0, 0, 3, 1000);
    SasLoadEstimate_NoteShed(&measure, 1, 1100);
    SasLoadEstimate_NoteShed(&measure, 1, 1200);
    assert_near(SasLoadEstimate_GetTrust(&measure, 1), 0.5);
    assert_near(SasLoadEstimate_GetLoad(&measure, 1, 1300), 3);
    for (int i = 0; i < 100; i++) {
        SasLoadEstimate_Report(&measure, 1, 1, 0, 3, 2000 + i);
    }
    assert_true(SasLoadEstimate_GetTrust(&measure, 1) > 0.99);
}

/* Requests of 10 ms to a region 20 ms away: five are in flight from here, but
 * seldom more than two run there. A server that reports so must stay trusted.
 */
static void
test_fitting_report_keeps_trust(void **state)
{
    (void)state;
    for (int i = 0; i < 20; i++) {
        SasLoadEstimate_SetInFlight(&measure, 0, 5);
        SasLoadEstimate_Report(&measure, 0, 2, 0, 3, i * 250);
    }
    assert_near(SasLoadEstimate_GetTrust(&measure, 0), 1);
    SasLoadEstimate_SetInFlight(&measure, 0, 0);
    SasLoadEstimate_SetInFlight(&measure, 0, 9);
    SasLoadEstimate_Report(&measure, 0, 0, 0, 3, 5000);
    assert_near(SasLoadEstimate_GetTrust(&measure, 0), 1);
}

/* Guards against a region that fills up unnoticed: reports stop, the last ones
 * said "idle", and requests are steered by them. */
static void
test_headroom_falls_to_the_floor_without_reports(void **state)
{
    (void)state;
    double age_ms;
    assert_near(get_headroom(0, &age_ms), FLOOR);
    assert_true(isnan(age_ms));
    SasLoadEstimate_Report(&measure, 0, 0, 0, 3, 1000);
    SasLoadEstimate_Report(&measure, 1, 3, 0, 3, 2000);
    assert_near(get_headroom(1000, NULL), 0.5);
    double before = 1;
    for (int64_t now_ms = 2000; now_ms < 13000; now_ms += 500) {
        double headroom = get_headroom(now_ms, &age_ms);
        assert_true(headroom <= before || now_ms >= 12000);
        assert_near(age_ms, (double)(now_ms - 2000));
        before = headroom;
    }
    assert_near(get_headroom(9000, NULL), (FLOOR + (1 - FLOOR) / 16) / 2);
    assert_near(get_headroom(13000, NULL), FLOOR);
}

static void
test_decayed_report_of_a_full_server_gives_no_headroom(void **state)
{
    (void)state;
    SasLoadEstimate_Report(&measure, 0, 3, 4, 3, 1000);
    SasLoadEstimate_Report(&measure, 1, 3, 4, 3, 1000);
    for (int64_t now_ms = 1000; now_ms < 11000; now_ms += 500) {
        assert_near(get_headroom(now_ms, NULL), 0);
    }
}

static void
test_leaving_servers_do_not_count(void **state)
{
    (void)state;
    double age_ms;
    SasLoadEstimate_Report(&measure, 0, 0, 0, 3, 1000);
    SasLoadEstimate_Report(&measure, 1, 3, 0, 3, 1000);
    SasLoadEstimate_SetLeaving(&measure, 0, true);
    assert_near(get_headroom(1000, &age_ms), 0);
    SasLoadEstimate_SetLeaving(&measure, 1, true);
    assert_near(get_headroom(1000, &age_ms), 0);
    assert_true(isnan(age_ms));
}

/* A server may report more slots than are configured. */
static void
test_claimed_slots_are_bounded(void **state)
{
    (void)state;
    SasLoadEstimate_Report(&measure, 0, 0, 0, 1000000, 1000);
    SasLoadEstimate_Report(&measure, 1, 1, 0, 1, 1000);
    assert_near(get_headroom(1000, NULL), 0.5);
    SasLoadEstimate_Report(&measure, 0, -5, 2147483647, 3, 1000);
    assert_near(get_headroom(1000, NULL), 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(
            test_report_decays_towards_own_requests, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_contradicted_report_lowers_trust,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_fitting_report_keeps_trust,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(
            test_headroom_falls_to_the_floor_without_reports, set_up,
            tear_down),
        cmocka_unit_test_setup_teardown(
            test_decayed_report_of_a_full_server_gives_no_headroom, set_up,
            tear_down),
        cmocka_unit_test_setup_teardown(test_leaving_servers_do_not_count,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_claimed_slots_are_bounded, set_up,
                                        tear_down),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
