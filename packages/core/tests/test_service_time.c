#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "sas/service_time.h"

static void
note_times(struct sas_service_time *service_time, int count, bool cached,
           double service_ms)
{
    for (int i = 0; i < count; i++) {
        SasServiceTime_Note(service_time, cached, service_ms);
    }
}

static void
check_near(double value, double expected)
{
    assert_true(value > 0.85 * expected && value < 1.15 * expected);
}

static void
test_objective_sets_the_initial_estimate(void **state)
{
    (void)state;
    struct sas_service_time service_time;
    SasServiceTime_Init(&service_time, 400);
    check_near(SasServiceTime_Get(&service_time, false),
               400 * SasServiceTime_START_UNCACHED);
    assert_true(SasServiceTime_Get(&service_time, true) <
                SasServiceTime_Get(&service_time, false));
    SasServiceTime_SetObjective(&service_time, 800);
    check_near(SasServiceTime_Get(&service_time, false),
               800 * SasServiceTime_START_UNCACHED);
}

/* The service takes from a tenth to ten times of what the objective says. A
 * dozen answers must correct the estimate. */
static void
test_a_dozen_answers_correct_a_wrong_objective(void **state)
{
    (void)state;
    const double factors[] = {0.1, 0.3, 1, 3, 10};
    for (size_t i = 0; i < sizeof(factors) / sizeof(*factors); i++) {
        struct sas_service_time service_time;
        SasServiceTime_Init(&service_time, 500);
        note_times(&service_time, 12, false, 600 * factors[i]);
        note_times(&service_time, 12, true, 180 * factors[i]);
        assert_true(SasServiceTime_Get(&service_time, true) <
                    300 * factors[i]);
        assert_true(SasServiceTime_Get(&service_time, false) >
                    400 * factors[i]);
    }
}

/* Three of four requests are trivial. If they set the estimate, servers that
 * are busy with real work would look unresponsive and all be ejected. */
static void
test_trivial_requests_do_not_lower_the_estimate(void **state)
{
    (void)state;
    struct sas_service_time service_time;
    SasServiceTime_Init(&service_time, 800);
    for (int i = 0; i < 200; i++) {
        note_times(&service_time, 3, false, 5);
        note_times(&service_time, 1, false, 1000);
    }
    assert_true(SasServiceTime_Get(&service_time, false) > 700);
}

/* A quarter of the servers turn twelve times slower. */
static void
test_a_few_slow_servers_hardly_raise_the_estimate(void **state)
{
    (void)state;
    struct sas_service_time service_time;
    SasServiceTime_Init(&service_time, 200);
    note_times(&service_time, 30, false, 250);
    note_times(&service_time, 30, true, 75);
    for (int i = 0; i < 50; i++) {
        note_times(&service_time, 3, true, 75);
        note_times(&service_time, 1, true, 900);
    }
    assert_true(SasServiceTime_Get(&service_time, true) < 110);
    assert_true(SasServiceTime_Get(&service_time, false) < 350);
}

/* With many entry VMs an object is mostly cached by another one's requests.
 * Its short answers must not lower the estimate for uncached objects. */
static void
test_objects_cached_by_others_do_not_count_as_uncached(void **state)
{
    (void)state;
    struct sas_service_time service_time;
    SasServiceTime_Init(&service_time, 300);
    note_times(&service_time, 10, false, 300);
    note_times(&service_time, 10, true, 90);
    note_times(&service_time, 100, false, 90);
    check_near(SasServiceTime_Get(&service_time, false), 300);
    note_times(&service_time, 20, true, 300); /* evicted by the server */
    check_near(SasServiceTime_Get(&service_time, true), 90);
}

/* An entry VM restarts while its servers have most objects cached. It has seen
 * none of them; if it took all for uncached, it would refuse requests that the
 * servers answer quickly. */
static void
test_after_a_restart_unseen_objects_soon_count_as_cached(void **state)
{
    (void)state;
    struct sas_service_time service_time;
    SasServiceTime_Init(&service_time, 300);
    assert_true(SasServiceTime_GetUnseen(&service_time) ==
                300 * SasServiceTime_START_UNCACHED);
    note_times(&service_time, 1, true, 90);
    note_times(&service_time, 10, false, 90);
    assert_true(SasServiceTime_GetUnseen(&service_time) < 150);
    note_times(&service_time, 10, false, 400); /* the servers restart */
    assert_true(SasServiceTime_GetUnseen(&service_time) > 300);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_objective_sets_the_initial_estimate),
        cmocka_unit_test(test_a_dozen_answers_correct_a_wrong_objective),
        cmocka_unit_test(test_trivial_requests_do_not_lower_the_estimate),
        cmocka_unit_test(test_a_few_slow_servers_hardly_raise_the_estimate),
        cmocka_unit_test(
            test_objects_cached_by_others_do_not_count_as_uncached),
        cmocka_unit_test(
            test_after_a_restart_unseen_objects_soon_count_as_cached),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
