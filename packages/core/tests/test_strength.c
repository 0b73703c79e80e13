#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "sas/strength.h"

static void
test_equal_entry_vms_are_all_named(void **state)
{
    (void)state;
    double strengths[] = {600, 600, 600};
    int picked[8];
    assert_int_equal(SasStrength_Pick(strengths, 3, picked, 8), 3);
    assert_int_equal(picked[0], 0);
    assert_int_equal(picked[2], 2);
    assert_int_equal(SasStrength_Pick(strengths, 3, picked, 2), 2);
    assert_int_equal(SasStrength_Pick(strengths, 0, picked, 2), 0);
}

/* Load: a zone with two strong entry VMs and ten weak ones, as the grown
 * deployments have. Callers that pick evenly would send ten of twelve photos
 * through the weak links. */
static void
test_weak_ones_are_named_only_for_want_of_strong_ones(void **state)
{
    (void)state;
    double weak = SasStrength_Estimate(0.1, 10);
    double strong = SasStrength_Estimate(0.5, 200);
    assert_true(weak < SasStrength_SHARE * strong);
    double strengths[12];
    for (int i = 0; i < 12; i++) {
        strengths[i] = i == 3 || i == 7 ? strong : weak;
    }
    int picked[12];
    assert_int_equal(SasStrength_Pick(strengths, 12, picked, 12), 2);
    assert_int_equal(picked[0], 3);
    assert_int_equal(picked[1], 7);
    /* One of the strong dies: callers need a second address. */
    strengths[7] = weak;
    assert_int_equal(SasStrength_Pick(strengths, 12, picked, 12), 2);
    assert_int_equal(picked[0], 3);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_equal_entry_vms_are_all_named),
        cmocka_unit_test(
            test_weak_ones_are_named_only_for_want_of_strong_ones),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
