#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "sas/vm_capacity.h"

static void
test_equal_entry_vms_are_all_returned(void **state)
{
    (void)state;
    double capacities[] = {600, 600, 600};
    int picked[8];
    assert_int_equal(SasVmCapacity_Pick(capacities, 3, picked, 8), 3);
    assert_int_equal(picked[0], 0);
    assert_int_equal(picked[2], 2);
    assert_int_equal(SasVmCapacity_Pick(capacities, 3, picked, 2), 2);
    assert_int_equal(SasVmCapacity_Pick(capacities, 0, picked, 2), 0);
}

/* A zone has two large entry VMs and ten small ones. Callers choose evenly
 * among the returned addresses, so if all were returned, ten of twelve
 * requests would go through small links. */
static void
test_small_entry_vms_are_returned_only_without_large_ones(void **state)
{
    (void)state;
    double small = SasVmCapacity_Estimate(0.1, 10);
    double large = SasVmCapacity_Estimate(0.5, 200);
    assert_true(small < SasVmCapacity_SHARE * large);
    double capacities[12];
    for (int i = 0; i < 12; i++) {
        capacities[i] = i == 3 || i == 7 ? large : small;
    }
    int picked[12];
    assert_int_equal(SasVmCapacity_Pick(capacities, 12, picked, 12), 2);
    assert_int_equal(picked[0], 3);
    assert_int_equal(picked[1], 7);
    /* One large VM fails: callers still need a second address. */
    capacities[7] = small;
    assert_int_equal(SasVmCapacity_Pick(capacities, 12, picked, 12), 2);
    assert_int_equal(picked[0], 3);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_equal_entry_vms_are_all_returned),
        cmocka_unit_test(
            test_small_entry_vms_are_returned_only_without_large_ones),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
