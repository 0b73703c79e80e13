#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "fleet_support.h"
#include "sas/zone_share.h"

/* Zone a has one server of the service, the five others have three each, like
 * Quebec City's photo servers. */
static struct sas_fleet *
start(void)
{
    struct sas_fleet *fleet = new_fleet();
    add_servers(fleet, "photos", "a", 1);
    static const char *const others[] = {"b", "c", "d", "e", "f"};
    for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
        add_servers(fleet, "photos", others[i], 3);
    }
    return fleet;
}

static double
run(struct sas_zone_share *share, struct sas_fleet *fleet, int load,
    int64_t from_ms, int seconds)
{
    double value = 0;
    for (int i = 0; i < seconds; i++) {
        SasFleet_At(fleet, SasFleet_FindServer(fleet, "photos-a-0"))
            ->traffic.in_flight = load;
        value =
            SasZoneShare_Update(share, fleet, 0, SasFleet_FindZone(fleet, "a"),
                                from_ms + i * SasZoneShare_STEP_INTERVAL_MS);
    }
    return value;
}

/* A zone's only server can't handle the zone's part of evenly distributed
 * requests. The zone share falls while the server is busy and rises again when
 * it is idle. */
static void
test_zone_share_falls_while_the_zone_is_busy(void **state)
{
    (void)state;
    struct sas_fleet *fleet = start();
    struct sas_zone_share share = {0};
    double at_start = run(&share, fleet, 2, 1000, 1);
    assert_true(at_start > 0.6 && at_start < 0.9); /* twice 3 of 8 slots */
    double busy = run(&share, fleet, 6, 2000, 20);
    assert_true(busy > 0.3 && busy < 0.4); /* not below its slots */
    double idle = run(&share, fleet, 0, 30000, 20);
    assert_true(idle == 1);
    SasFleet_Free(fleet);
}

/* Entry VMs of a zone that update at slightly different times must have the
 * same zone share, or an object would have two owners. */
static void
test_close_views_give_the_same_zone_share(void **state)
{
    (void)state;
    struct sas_fleet *fleet = start();
    struct sas_zone_share one = {0};
    struct sas_zone_share other = {0};
    for (int i = 0; i < 10; i++) {
        double first = run(&one, fleet, 2, 1000 + i * 1000, 1);
        double second = run(&other, fleet, 2, 1007 + i * 1000, 1);
        assert_true(first == second);
    }
    SasFleet_Free(fleet);
}

/* Requests of 5.5 kB that take 0.3 s, and others of 6.2 kB that take 0.6 s. An
 * owner in each zone leaves every object uncached once more, which costs the
 * long requests twice as much and saves hardly more bytes. */
static void
test_zone_is_preferred_by_bytes_per_service_time(void **state)
{
    (void)state;
    struct sas_service_time quick;
    struct sas_service_time slow;
    SasServiceTime_Init(&quick, 0);
    SasServiceTime_Init(&slow, 0);
    SasServiceTime_Note(&quick, false, 312);
    SasServiceTime_Note(&slow, false, 600);
    assert_true(SasZoneShare_PrefersZone(&quick, 5500));
    assert_false(SasZoneShare_PrefersZone(&slow, 6200));
    assert_true(SasZoneShare_PrefersZone(&slow, 60000));
    assert_false(SasZoneShare_PrefersZone(&quick, 0));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_zone_is_preferred_by_bytes_per_service_time),
        cmocka_unit_test(test_zone_share_falls_while_the_zone_is_busy),
        cmocka_unit_test(test_close_views_give_the_same_zone_share),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
