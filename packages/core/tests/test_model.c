#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "sas/model.h"

static struct sas_region regions[] = {{"montreal"}, {"quebec"}};
static struct sas_domain domains[] = {{"montreal-a", 0}, {"quebec-a", 1}};
static struct sas_link links[] = {{0, 1, 4000.0}};
static struct sas_once_route routes[] = {{"/certificates"}};
static struct sas_service services[] = {{"dossiers", 5000, routes, 1}};
static struct sas_backend backends[] = {
    {"d1", 0, 0, {"127.0.0.1", 1}, 3, 330},
    {"d2", 0, 0, {"127.0.0.1", 2}, 3, 330},
    {"d3", 0, 1, {"127.0.0.1", 3}, 3, 330},
};
static const struct sas_model model = {
    .regions = regions,
    .region_count = 2,
    .domains = domains,
    .domain_count = 2,
    .links = links,
    .link_count = 1,
    .services = services,
    .service_count = 1,
    .backends = backends,
    .backend_count = 3,
};

static void
test_names_are_found(void **state)
{
    (void)state;
    assert_int_equal(SasModel_FindRegion(&model, "quebec"), 1);
    assert_int_equal(SasModel_FindBackend(&model, "d3"), 2);
    assert_int_equal(SasModel_FindService(&model, "x"), SasModel_NONE);
}

static void
test_slots_are_counted_in_one_region(void **state)
{
    (void)state;
    assert_int_equal(SasModel_CountSlots(&model, 0, 0), 6);
    assert_int_equal(SasModel_CountSlots(&model, 0, 1), 3);
}

static void
test_link_without_capacity_is_unlimited(void **state)
{
    (void)state;
    assert_true(SasModel_GetLinkCapacity(&model, 0, 1) == 4000.0);
    assert_true(isinf(SasModel_GetLinkCapacity(&model, 1, 0)));
}

static void
test_once_routes_match_by_prefix(void **state)
{
    (void)state;
    assert_true(SasModel_IsAtMostOnceRoute(&model, 0, "/certificates/7"));
    assert_false(SasModel_IsAtMostOnceRoute(&model, 0, "/histories"));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_names_are_found),
        cmocka_unit_test(test_slots_are_counted_in_one_region),
        cmocka_unit_test(test_link_without_capacity_is_unlimited),
        cmocka_unit_test(test_once_routes_match_by_prefix),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
