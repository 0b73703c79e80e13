#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <cmocka.h>
#include <glib.h>

#include "sas/limits.h"
#include "sas/metrics.h"

static int
setup(void **state)
{
    *state = SasMetrics_New();
    return 0;
}

static int
teardown(void **state)
{
    SasMetrics_Free(*state);
    return 0;
}

static void
test_same_name_and_value_return_the_same_handle(void **state)
{
    struct sas_metrics *metrics = *state;
    int a =
        SasMetrics_RegisterCounter(metrics, "x_total", "reason", "a", "help");
    int b =
        SasMetrics_RegisterCounter(metrics, "x_total", "reason", "b", "help");
    assert_int_not_equal(a, b);
    SasMetrics_Add(metrics, a, 3);
    assert_int_equal(
        SasMetrics_RegisterCounter(metrics, "x_total", "reason", "a", "help"),
        a);
    assert_true(SasMetrics_Get(metrics, a) == 3);
    assert_true(SasMetrics_Get(metrics, b) == 0);
}

static void
test_invalid_and_conflicting_names_are_refused(void **state)
{
    struct sas_metrics *metrics = *state;
    int counter =
        SasMetrics_RegisterCounter(metrics, "x_total", NULL, NULL, "h");
    assert_int_not_equal(counter, SasModel_NONE);
    const char *names[] = {"", "1x", "a b", "a-b", "a\n"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        assert_int_equal(
            SasMetrics_RegisterCounter(metrics, names[i], NULL, NULL, "h"),
            SasModel_NONE);
    }
    assert_int_equal(SasMetrics_RegisterCounter(metrics, "y", "a:b", "v", "h"),
                     SasModel_NONE);
    assert_int_equal(SasMetrics_RegisterCounter(metrics, "y", "a", NULL, "h"),
                     SasModel_NONE);
    assert_int_equal(
        SasMetrics_RegisterCounter(metrics, "x_total", "a", "v", "h"),
        SasModel_NONE);
    assert_int_equal(
        SasMetrics_RegisterGauge(metrics, "x_total", NULL, NULL, "h"),
        SasModel_NONE);
    SasMetrics_Add(metrics, SasModel_NONE, 1);
    SasMetrics_SetGauge(metrics, SasModel_NONE, 1);
    SasMetrics_SetGauge(metrics, counter, 1); /* not a gauge */
    assert_true(SasMetrics_Get(metrics, counter) == 0);
}

static void
test_format_sorts_and_escapes(void **state)
{
    struct sas_metrics *metrics = *state;
    SasMetrics_RegisterCounter(metrics, "z_total", "reason", "b", "last");
    int a = SasMetrics_RegisterCounter(metrics, "z_total", "reason", "a\"\\\n",
                                       "x");
    int gauge = SasMetrics_RegisterGauge(metrics, "level", NULL, NULL,
                                         "line\nand \\ \"");
    SasMetrics_Add(metrics, a, 18446744073709551615ULL);
    SasMetrics_SetGauge(metrics, gauge, 0.25);
    g_autofree char *text = SasMetrics_Format(metrics);
    assert_string_equal(text, "# HELP level line\\nand \\\\ \"\n"
                              "# TYPE level gauge\n"
                              "level 0.25\n"
                              "# HELP z_total last\n"
                              "# TYPE z_total counter\n"
                              "z_total{reason=\"a\\\"\\\\\\n\"} "
                              "18446744073709551615\n"
                              "z_total{reason=\"b\"} 0\n");
}

static void
test_number_of_metrics_is_limited(void **state)
{
    struct sas_metrics *metrics = *state;
    char value[16];
    for (int i = 0; i < SasMetrics_MAX_METRICS; i++) {
        snprintf(value, sizeof(value), "%d", i);
        assert_int_equal(
            SasMetrics_RegisterCounter(metrics, "x_total", "v", value, "h"),
            i);
    }
    assert_int_equal(
        SasMetrics_RegisterCounter(metrics, "x_total", "v", "n", "h"),
        SasModel_NONE);
    assert_int_equal(
        SasMetrics_RegisterCounter(metrics, "x_total", "v", "7", "h"), 7);
}

static void
test_histogram_buckets_are_cumulative(void **state)
{
    (void)state;
    struct sas_metrics *metrics = SasMetrics_New();
    int metric = SasMetrics_RegisterHistogram(metrics, "sas_wait_ms",
                                              "service", "desk", "Waits");
    assert_int_equal(SasMetrics_RegisterHistogram(metrics, "sas_wait_ms",
                                                  "service", "desk", "Waits"),
                     metric);
    assert_int_equal(SasMetrics_RegisterCounter(metrics, "sas_wait_ms",
                                                "service", "desk", "Waits"),
                     SasModel_NONE);
    SasMetrics_Observe(metrics, metric, 3);
    SasMetrics_Observe(metrics, metric, 180.5);
    SasMetrics_Observe(metrics, metric, 99999);
    SasMetrics_Observe(metrics, SasModel_NONE, 1);
    assert_true(SasMetrics_Get(metrics, metric) == 3);
    g_autofree char *text = SasMetrics_Format(metrics);
    static const char *const expected[] = {
        "# TYPE sas_wait_ms histogram\n",
        "sas_wait_ms_bucket{service=\"desk\",le=\"2\"} 0\n",
        "sas_wait_ms_bucket{service=\"desk\",le=\"5\"} 1\n",
        "sas_wait_ms_bucket{service=\"desk\",le=\"200\"} 2\n",
        "sas_wait_ms_bucket{service=\"desk\",le=\"+Inf\"} 3\n",
        "sas_wait_ms_sum{service=\"desk\"} 100182.5\n",
        "sas_wait_ms_count{service=\"desk\"} 3\n",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(expected); i++) {
        assert_non_null(strstr(text, expected[i]));
    }
    SasMetrics_Free(metrics);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_histogram_buckets_are_cumulative),
        cmocka_unit_test_setup_teardown(
            test_same_name_and_value_return_the_same_handle, setup, teardown),
        cmocka_unit_test_setup_teardown(
            test_invalid_and_conflicting_names_are_refused, setup, teardown),
        cmocka_unit_test_setup_teardown(test_format_sorts_and_escapes, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_number_of_metrics_is_limited,
                                        setup, teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
