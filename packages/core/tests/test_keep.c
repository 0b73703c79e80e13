#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "fleet_support.h"
#include "sas/keep.h"

/* Zone a has one server of the service, the five others have three each: the
 * proportions of Quebec City's photo servers. */
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
run(struct sas_keep *keep, struct sas_fleet *fleet, int load, int64_t from_ms,
    int seconds)
{
    double value = 0;
    for (int i = 0; i < seconds; i++) {
        SasFleet_At(fleet, SasFleet_FindServer(fleet, "photos-a-0"))
            ->traffic.in_flight = load;
        value = SasKeep_Update(keep, fleet, 0, SasFleet_FindZone(fleet, "a"),
                               from_ms + i * SasKeep_EVERY_MS);
    }
    return value;
}

/* Load: photos come evenly from all zones, and one zone's only server is kept
 * busy by a part of its share. It gives away what its slots don't bear, and
 * takes it back when the rush is over. */
static void
test_a_short_zone_gives_away_while_it_is_busy(void **state)
{
    (void)state;
    struct sas_fleet *fleet = start();
    struct sas_keep keep = {0};
    double at_start = run(&keep, fleet, 2, 1000, 1);
    assert_true(at_start > 0.6 && at_start < 0.9); /* twice 3 of 8 slots */
    double busy = run(&keep, fleet, 6, 2000, 20);
    assert_true(busy > 0.3 && busy < 0.4); /* never less than its share */
    double idle = run(&keep, fleet, 0, 30000, 20);
    assert_true(idle == 1);
    SasFleet_Free(fleet);
}

/* Two entry VMs of the zone see the server a little differently and must not
 * own the photos at two places. */
static void
test_close_views_give_the_same_part(void **state)
{
    (void)state;
    struct sas_fleet *fleet = start();
    struct sas_keep one = {0};
    struct sas_keep other = {0};
    for (int i = 0; i < 10; i++) {
        double first = run(&one, fleet, 2, 1000 + i * 1000, 1);
        double second = run(&other, fleet, 2, 1007 + i * 1000, 1);
        assert_true(first == second);
    }
    SasFleet_Free(fleet);
}

/* Load: certificates of 5.5 kB that take 0.3 s, and orders of 6.2 kB that take
 * 0.6 s. Kept in each zone of a region, every object is new once more; that
 * costs the orders twice as much and spares hardly more bytes. */
static void
test_long_work_keeps_to_its_zone_for_larger_bodies_only(void **state)
{
    (void)state;
    struct sas_pace quick;
    struct sas_pace slow;
    SasPace_Init(&quick, 0);
    SasPace_Init(&slow, 0);
    SasPace_Note(&quick, false, 312);
    SasPace_Note(&slow, false, 600);
    assert_true(SasKeep_IsNear(&quick, 5500));
    assert_false(SasKeep_IsNear(&slow, 6200));
    assert_true(SasKeep_IsNear(&slow, 60000));
    assert_false(SasKeep_IsNear(&quick, 0));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(
            test_long_work_keeps_to_its_zone_for_larger_bodies_only),
        cmocka_unit_test(test_a_short_zone_gives_away_while_it_is_busy),
        cmocka_unit_test(test_close_views_give_the_same_part),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
