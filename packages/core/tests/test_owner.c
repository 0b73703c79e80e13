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

/* Counts the objects of a zone's callers that are owned in a region. */
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
test_zones_of_a_region_agree_on_the_owner(void **state)
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

/* If one server's departure redistributed all objects, half of all requests
 * would be slow for seconds, their objects being uncached at the new owners.
 */
static void
test_only_objects_of_a_removed_server_move(void **state)
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

/* A region with 2 of 24 servers has a third of the callers, as Quebec City
 * does. It keeps the objects that its servers can handle, the rest is owned
 * elsewhere, and the other regions keep all of theirs. */
static void
test_a_region_short_of_slots_owns_fewer_objects(void **state)
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
    /* A quarter: it has two servers, an equal share is eight. */
    assert_in_range(count_in_region(fleet, "c", "north"), OBJECTS / 5,
                    OBJECTS * 3 / 10);
    /* The rest by the others' surplus, four servers to two. */
    assert_in_range(count_in_region(fleet, "c", "east"), OBJECTS * 2 / 5,
                    OBJECTS * 3 / 5);
    SasFleet_Free(fleet);
}

/* Seven of a region's ten servers are ejected. The remaining three must not
 * get all of its objects. */
static void
test_a_region_with_ejected_servers_owns_fewer_objects(void **state)
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
        server->traffic.ejected = true;
        server->traffic.ejected_until = 1000;
    }
    /* It has 3 servers, an equal share is 23 / 3. */
    assert_in_range(count_in_region(fleet, "a", "east"), OBJECTS / 3,
                    OBJECTS * 9 / 20);
    SasFleet_Free(fleet);
}

static void
test_objects_stay_in_a_preferred_zone_with_a_server(void **state)
{
    (void)state;
    struct sas_fleet *fleet = new_fleet();
    add_servers(fleet, "forms", "a", 1);
    add_servers(fleet, "forms", "b", 6);
    add_servers(fleet, "forms", "c", 6);
    for (int i = 0; i < OBJECTS; i++) {
        struct sas_owner_query query = make_query(fleet, "a", i);
        query.prefer_zone = true;
        query.zone_share = 1;
        int slots[2];
        assert_int_equal(SasOwner_Rank(fleet, &query, 0, slots, 2), 2);
        assert_int_equal(slots[0], SasFleet_FindServer(fleet, "forms-a-0"));
        /* Next come the other zones of the region. */
        assert_int_equal(SasFleet_At(fleet, slots[1])->zone,
                         SasFleet_FindZone(fleet, "b"));
    }
    SasFleet_Free(fleet);
}

/* Data that must stay in a region by law must not leave it when no server is
 * left there and other regions have free capacity. */
static void
test_allowed_regions_hold_without_a_server_in_them(void **state)
{
    (void)state;
    struct sas_fleet *fleet = new_fleet();
    add_servers(fleet, "forms", "c", 3);
    struct sas_owner_query query = make_query(fleet, "a", 1);
    query.allowed_regions = 1ULL << SasFleet_FindRegion(fleet, "east");
    int slots[SasOwner_MAX_CANDIDATES];
    assert_int_equal(
        SasOwner_Rank(fleet, &query, 0, slots, SasOwner_MAX_CANDIDATES), 0);
    query.allowed_regions |= 1ULL << SasFleet_FindRegion(fleet, "north");
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
        cmocka_unit_test(test_zones_of_a_region_agree_on_the_owner),
        cmocka_unit_test(test_only_objects_of_a_removed_server_move),
        cmocka_unit_test(test_a_region_short_of_slots_owns_fewer_objects),
        cmocka_unit_test(
            test_a_region_with_ejected_servers_owns_fewer_objects),
        cmocka_unit_test(test_objects_stay_in_a_preferred_zone_with_a_server),
        cmocka_unit_test(test_allowed_regions_hold_without_a_server_in_them),
        cmocka_unit_test(test_draining_and_evacuated_servers_own_nothing),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
