#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "fleet_support.h"
#include "sas/owner.h"
#include "sas/traffic.h"

#define OBJECTS 600

static struct sas_owner_query
make_query(const struct sas_fleet *fleet, const char *zone, int object)
{
    char key[32];
    snprintf(key, sizeof(key), "object-%d", object);
    struct sas_owner_query query = {
        .service = SasFleet_FindService(fleet, "forms"),
        .zone = SasFleet_FindZone(fleet, zone),
        .key = SasOwner_HashKey(key),
    };
    return query;
}

static int
find_owner(const struct sas_fleet *fleet, const char *zone, int object)
{
    struct sas_owner_query query = make_query(fleet, zone, object);
    int slot = SasModel_NONE;
    return SasOwner_Rank(fleet, &query, 0, &slot, 1) == 1 ? slot
                                                          : SasModel_NONE;
}

/* How many of the objects of a zone's callers a region owns. */
static int
count_in_region(const struct sas_fleet *fleet, const char *zone,
                const char *region)
{
    int count = 0;
    for (int i = 0; i < OBJECTS; i++) {
        int slot = find_owner(fleet, zone, i);
        if (slot != SasModel_NONE && SasFleet_GetServerRegion(fleet, slot) ==
                                         SasFleet_FindRegion(fleet, region)) {
            count++;
        }
    }
    return count;
}

static void
test_callers_of_both_zones_of_a_region_meet_one_owner(void **state)
{
    (void)state;
    struct sas_fleet *fleet = new_fleet();
    add_servers(fleet, "forms", "a", 4);
    add_servers(fleet, "forms", "b", 4);
    for (int i = 0; i < OBJECTS; i++) {
        assert_int_equal(find_owner(fleet, "a", i), find_owner(fleet, "b", i));
    }
    SasFleet_Free(fleet);
}

/* Half of all look-ups would be slow for seconds after one server left: its
 * objects were dealt anew among all, and each was new to its server. */
static void
test_only_the_objects_of_a_server_that_left_move(void **state)
{
    (void)state;
    struct sas_fleet *fleet = new_fleet();
    add_servers(fleet, "forms", "a", 4);
    add_servers(fleet, "forms", "b", 4);
    int before[OBJECTS];
    for (int i = 0; i < OBJECTS; i++) {
        before[i] = find_owner(fleet, "a", i);
    }
    int left = SasFleet_FindServer(fleet, "forms-a-1");
    SasFleet_RemoveServer(fleet, "forms-a-1");
    int moved = 0;
    for (int i = 0; i < OBJECTS; i++) {
        int now = find_owner(fleet, "a", i);
        if (before[i] != left) {
            assert_int_equal(now, before[i]);
        }
        moved += now != before[i] ? 1 : 0;
    }
    assert_in_range(moved, OBJECTS / 16, OBJECTS / 4);
    SasFleet_Free(fleet);
}

/* Load: a region with 2 of 24 servers asks for a third of the work, as Quebec
 * City does. It keeps what its servers bear and gives the rest away by whole
 * objects; the other regions keep all of theirs. */
static void
test_a_short_region_gives_away_what_it_cannot_bear(void **state)
{
    (void)state;
    struct sas_fleet *fleet = new_fleet();
    add_servers(fleet, "forms", "a", 6);
    add_servers(fleet, "forms", "b", 6);
    add_servers(fleet, "forms", "c", 1);
    add_servers(fleet, "forms", "d", 1);
    add_servers(fleet, "forms", "e", 5);
    add_servers(fleet, "forms", "f", 5);
    assert_int_equal(count_in_region(fleet, "a", "east"), OBJECTS);
    assert_int_equal(count_in_region(fleet, "e", "west"), OBJECTS);
    /* A quarter is two servers of the eight of an equal share. */
    assert_in_range(count_in_region(fleet, "c", "north"), OBJECTS / 5,
                    OBJECTS * 3 / 10);
    /* The rest by what the others have to spare, four to two servers. */
    assert_in_range(count_in_region(fleet, "c", "east"), OBJECTS * 2 / 5,
                    OBJECTS * 3 / 5);
    SasFleet_Free(fleet);
}

/* Load: seven of a region's ten servers turn slow and are shunned. The three
 * that are left must not get all of its objects. */
static void
test_a_region_of_shunned_servers_gives_objects_away(void **state)
{
    (void)state;
    struct sas_fleet *fleet = new_fleet();
    add_servers(fleet, "forms", "a", 10);
    add_servers(fleet, "forms", "c", 10);
    add_servers(fleet, "forms", "e", 10);
    for (int i = 0; i < 7; i++) {
        char id[32];
        snprintf(id, sizeof(id), "forms-a-%d", i);
        struct sas_fleet_server *server =
            SasFleet_At(fleet, SasFleet_FindServer(fleet, id));
        server->traffic.tripped = true;
        server->traffic.shunned_until = 1000;
    }
    /* 3 of an equal share of 23 / 3 servers. */
    assert_in_range(count_in_region(fleet, "a", "east"), OBJECTS / 3,
                    OBJECTS * 9 / 20);
    SasFleet_Free(fleet);
}

static void
test_large_bodies_stay_in_their_zone_while_it_has_a_server(void **state)
{
    (void)state;
    struct sas_fleet *fleet = new_fleet();
    add_servers(fleet, "forms", "a", 1);
    add_servers(fleet, "forms", "b", 6);
    add_servers(fleet, "forms", "c", 6);
    for (int i = 0; i < OBJECTS; i++) {
        struct sas_owner_query query = make_query(fleet, "a", i);
        query.near = true;
        query.keep = 1;
        int slots[2];
        assert_int_equal(SasOwner_Rank(fleet, &query, 0, slots, 2), 2);
        assert_int_equal(slots[0], SasFleet_FindServer(fleet, "forms-a-0"));
        /* Then the region before another one. */
        assert_int_equal(SasFleet_At(fleet, slots[1])->zone,
                         SasFleet_FindZone(fleet, "b"));
    }
    SasFleet_Free(fleet);
}

/* A family's papers would leave the region in which the law keeps them: its
 * servers are full or gone, and those of another region have room. */
static void
test_homes_bind_also_when_the_home_has_no_server(void **state)
{
    (void)state;
    struct sas_fleet *fleet = new_fleet();
    add_servers(fleet, "forms", "c", 3);
    struct sas_owner_query query = make_query(fleet, "a", 1);
    query.homes = 1ULL << SasFleet_FindRegion(fleet, "east");
    int slots[SasOwner_MAX_CANDIDATES];
    assert_int_equal(
        SasOwner_Rank(fleet, &query, 0, slots, SasOwner_MAX_CANDIDATES), 0);
    query.homes |= 1ULL << SasFleet_FindRegion(fleet, "north");
    assert_int_equal(
        SasOwner_Rank(fleet, &query, 0, slots, SasOwner_MAX_CANDIDATES), 3);
    SasFleet_Free(fleet);
}

static void
test_draining_and_evacuated_servers_own_nothing(void **state)
{
    (void)state;
    struct sas_fleet *fleet = new_fleet();
    add_servers(fleet, "forms", "a", 2);
    struct sas_server_facts facts = make_facts("forms-a-0", "forms", "a");
    facts.draining = true;
    SasFleet_PutServer(fleet, &facts);
    int other = SasFleet_FindServer(fleet, "forms-a-1");
    for (int i = 0; i < OBJECTS; i++) {
        assert_int_equal(find_owner(fleet, "a", i), other);
    }
    SasFleet_SetEvacuated(fleet, SasFleet_FindZone(fleet, "a"), true);
    assert_int_equal(find_owner(fleet, "a", 0), SasModel_NONE);
    SasFleet_Free(fleet);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(
            test_callers_of_both_zones_of_a_region_meet_one_owner),
        cmocka_unit_test(test_only_the_objects_of_a_server_that_left_move),
        cmocka_unit_test(test_a_short_region_gives_away_what_it_cannot_bear),
        cmocka_unit_test(test_a_region_of_shunned_servers_gives_objects_away),
        cmocka_unit_test(
            test_large_bodies_stay_in_their_zone_while_it_has_a_server),
        cmocka_unit_test(test_homes_bind_also_when_the_home_has_no_server),
        cmocka_unit_test(test_draining_and_evacuated_servers_own_nothing),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
