#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "sample.h"

#define DRAWS 200000

static void
test_quantiles_are_within_half_a_bucket(void **state)
{
    (void)state;
    g_autofree struct histogram *histogram = g_new0(struct histogram, 1);
    for (int i = 1; i <= 10000; i++) {
        Histogram_Add(histogram, i / 10.0);
    }
    assert_true(fabs(Histogram_GetQuantile(histogram, 0.5) / 500 - 1) < 0.003);
    assert_true(fabs(Histogram_GetQuantile(histogram, 0.99) / 990 - 1) <
                0.003);
    assert_true(Histogram_GetQuantile(histogram, 1) <= 1000);
    assert_true(histogram->max == 1000);
}

static void
test_extreme_values_and_empty_histogram(void **state)
{
    (void)state;
    g_autofree struct histogram *histogram = g_new0(struct histogram, 1);
    assert_true(Histogram_GetQuantile(histogram, 0.99) == 0);
    Histogram_Add(histogram, 0);
    Histogram_Add(histogram, 1e12);
    assert_int_equal(histogram->total, 2);
    assert_true(Histogram_GetQuantile(histogram, 0.5) <= 0.0011);
}

static void
test_draws_have_the_given_mean(void **state)
{
    (void)state;
    g_autoptr(GRand) random = g_rand_new_with_seed(3);
    double exponential = 0;
    double lognormal = 0;
    for (int i = 0; i < DRAWS; i++) {
        exponential += Sample_DrawExponential(random, 20) / DRAWS;
        lognormal += Sample_DrawLognormal(random, 20, 1) / DRAWS;
    }
    assert_true(fabs(exponential - 20) < 0.5);
    assert_true(fabs(lognormal - 20) < 0.5);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_quantiles_are_within_half_a_bucket),
        cmocka_unit_test(test_extreme_values_and_empty_histogram),
        cmocka_unit_test(test_draws_have_the_given_mean),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
