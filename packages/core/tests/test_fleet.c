#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "fleet_support.h"

struct counter {
    struct sas_fleet_listener listener;
    struct sas_fleet *fleet;
    int put;
    int removed;
    int configs;
    char last_removed[SasFleet_ID_SIZE];
};

static void
count_server(struct sas_fleet_listener *listener, int slot)
{
    (void)slot;
    ((struct counter *)listener)->put++;
}

static void
count_removed(struct sas_fleet_listener *listener, int slot)
{
    struct counter *counter = (struct counter *)listener;
    counter->removed++;
    /* The slot is still valid here. */
    snprintf(counter->last_removed, sizeof(counter->last_removed), "%s",
             SasFleet_At(counter->fleet, slot)->facts.id);
}

static void
count_config(struct sas_fleet_listener *listener,
             const struct sas_fleet_config *config)
{
    (void)config;
    ((struct counter *)listener)->configs++;
}

static struct counter
listen_to(struct sas_fleet *fleet)
{
    struct counter counter = {
        .listener = {.on_server = count_server,
                     .on_server_gone = count_removed,
                     .on_config = count_config},
        .fleet = fleet,
    };
    return counter;
}

static void
test_servers_are_added_changed_and_removed(void **state)
{
    (void)state;
    struct sas_fleet *fleet = new_fleet();
    struct counter counter = listen_to(fleet);
    SasFleet_AddListener(fleet, &counter.listener);
    struct sas_server_facts facts = make_facts("s1", "forms", "a");
    int slot = SasFleet_PutServer(fleet, &facts);
    struct sas_server_ref ref = SasFleet_GetRef(fleet, slot);
    assert_true(SasFleet_AcceptsRequests(fleet, slot));
    SasFleet_At(fleet, slot)->traffic.in_flight = 2;
    facts.draining = true;
    assert_int_equal(SasFleet_PutServer(fleet, &facts), slot);
    assert_false(SasFleet_AcceptsRequests(fleet, slot));
    /* The same process: what was measured of it is kept. */
    assert_int_equal(SasFleet_GetServer(fleet, ref)->traffic.in_flight, 2);
    assert_true(SasFleet_RemoveServer(fleet, "s1"));
    assert_false(SasFleet_RemoveServer(fleet, "s1"));
    assert_null(SasFleet_GetServer(fleet, ref));
    assert_int_equal(counter.put, 2);
    assert_int_equal(counter.removed, 1);
    assert_string_equal(counter.last_removed, "s1");
    SasFleet_Free(fleet);
}

/* Guards against a restarted server that inherits the record of the dead
 * process (its load, its ejection): it crashes and returns under the same id,
 * and requests wait or avoid it for no reason. A later start is a new server,
 * and old references are invalid. */
static void
test_restart_under_the_same_id_is_a_new_server(void **state)
{
    (void)state;
    struct sas_fleet *fleet = new_fleet();
    struct sas_server_facts facts = make_facts("s1", "forms", "a");
    int slot = SasFleet_PutServer(fleet, &facts);
    struct sas_server_ref before = SasFleet_GetRef(fleet, slot);
    SasFleet_At(fleet, slot)->traffic.in_flight = 5;
    facts.started_at = 2;
    slot = SasFleet_PutServer(fleet, &facts);
    assert_null(SasFleet_GetServer(fleet, before));
    assert_int_equal(SasFleet_At(fleet, slot)->traffic.in_flight, 0);
    assert_int_equal(SasFleet_FindServer(fleet, "s1"), slot);
    SasFleet_Free(fleet);
}

/* Guards against a request that reaches a server of another service: a server
 * is removed and its slot reused while code still holds a reference to it. */
static void
test_old_reference_to_a_reused_slot_is_invalid(void **state)
{
    (void)state;
    struct sas_fleet *fleet = new_fleet();
    struct sas_server_facts facts = make_facts("s1", "forms", "a");
    int slot = SasFleet_PutServer(fleet, &facts);
    struct sas_server_ref before = SasFleet_GetRef(fleet, slot);
    SasFleet_RemoveServer(fleet, "s1");
    struct sas_server_facts other = make_facts("s2", "scans", "a");
    assert_int_equal(SasFleet_PutServer(fleet, &other), slot);
    assert_null(SasFleet_GetServer(fleet, before));
    int forms = SasFleet_FindService(fleet, "forms");
    int scans = SasFleet_FindService(fleet, "scans");
    assert_int_equal(SasFleet_GetService(fleet, forms)->servers->len, 0);
    assert_int_equal(SasFleet_GetService(fleet, scans)->servers->len, 1);
    SasFleet_Free(fleet);
}

static void
test_server_in_an_unknown_zone_is_refused(void **state)
{
    (void)state;
    struct sas_fleet *fleet = new_fleet();
    struct sas_server_facts facts = make_facts("s1", "forms", "nowhere");
    assert_int_equal(SasFleet_PutServer(fleet, &facts), -1);
    assert_int_equal(SasFleet_FindServer(fleet, "s1"), SasModel_NONE);
    SasFleet_Free(fleet);
}

static void
test_evacuated_zone_gets_no_requests(void **state)
{
    (void)state;
    struct sas_fleet *fleet = new_fleet();
    struct sas_server_facts facts = make_facts("s1", "forms", "a");
    int slot = SasFleet_PutServer(fleet, &facts);
    int zone = SasFleet_FindZone(fleet, "a");
    assert_true(SasFleet_SetEvacuated(fleet, zone, true));
    assert_false(SasFleet_SetEvacuated(fleet, zone, true));
    assert_false(SasFleet_AcceptsRequests(fleet, slot));
    SasFleet_SetEvacuated(fleet, zone, false);
    assert_true(SasFleet_AcceptsRequests(fleet, slot));
    SasFleet_Free(fleet);
}

/* Guards against requests that follow outdated routes: a late answer of the
 * store, or a peer that is behind, brings an older configuration after a newer
 * one. */
static void
expect_use(struct sas_fleet *fleet, const struct sas_server_facts *facts,
           bool used)
{
    int slot = SasFleet_PutServer(fleet, facts);
    assert_int_equal(SasFleet_AcceptsRequests(fleet, slot), used);
}

/* Guards against a leaving server that is used again, since its row says
 * "ready", or was gone and is back; and against one that was started again and
 * is not used. */
static void
test_what_a_server_has_said_holds_for_its_process(void **state)
{
    (void)state;
    struct sas_fleet *fleet = new_fleet();
    struct sas_server_facts facts = make_facts("s", "desk", "a");
    int slot = SasFleet_PutServer(fleet, &facts);
    uint64_t start = SasFleet_At(fleet, slot)->start;
    SasServerNotice_SetLeaving(SasFleet_GetNotice(fleet, start));
    expect_use(fleet, &facts, false);
    SasFleet_RemoveServer(fleet, "s");
    expect_use(fleet, &facts, false);

    struct sas_server_facts next = facts;
    next.started_at = 2;
    expect_use(fleet, &next, true);
    /* An old row of the process before. */
    expect_use(fleet, &facts, false);
    SasFleet_Free(fleet);
}

static void
test_an_answer_that_comes_after_its_row_is_gone_counts(void **state)
{
    (void)state;
    struct sas_fleet *fleet = new_fleet();
    struct sas_server_facts facts = make_facts("s", "desk", "a");
    int slot = SasFleet_PutServer(fleet, &facts);
    uint64_t start = SasFleet_At(fleet, slot)->start;
    SasFleet_RemoveServer(fleet, "s");
    SasServerNotice_SetLeaving(SasFleet_GetNotice(fleet, start));
    expect_use(fleet, &facts, false);
    SasFleet_Free(fleet);
}

static void
test_older_configuration_is_refused(void **state)
{
    (void)state;
    struct sas_fleet *fleet = new_fleet();
    struct counter counter = listen_to(fleet);
    SasFleet_AddListener(fleet, &counter.listener);
    assert_true(SasFleet_ApplyConfig(fleet, SasFleetConfig_New(7), 100));
    struct sas_fleet_config *held =
        SasFleetConfig_Ref(SasFleet_GetConfig(fleet));
    assert_false(SasFleet_ApplyConfig(fleet, SasFleetConfig_New(5), 101));
    assert_false(SasFleet_ApplyConfig(fleet, SasFleetConfig_New(7), 102));
    assert_true(SasFleet_ApplyConfig(fleet, SasFleetConfig_New(12), 103));
    assert_int_equal(SasFleet_GetConfig(fleet)->version, 12);
    assert_int_equal(counter.configs, 2);
    /* A request in progress keeps the configuration it began with. */
    assert_int_equal(held->version, 7);
    SasFleetConfig_Unref(held);
    SasFleet_Free(fleet);
}

static const char *
find_route(const struct sas_fleet_config *config, const char *host,
           const char *target)
{
    const struct sas_route *route =
        SasFleetConfig_FindRoute(config, host, target);
    return route != NULL ? route->name : "";
}

static void
test_longest_prefix_of_the_host_wins(void **state)
{
    (void)state;
    struct sas_fleet_config *config = SasFleetConfig_New(1);
    SasFleetConfig_AddRoute(config, "all", "x.example", "/");
    SasFleetConfig_AddRoute(config, "forms", "x.example", "/forms/");
    SasFleetConfig_AddRoute(config, "old", "x.example", "/forms/old/");
    SasFleetConfig_AddRoute(config, "other", "y.example", "/forms/");
    assert_string_equal(find_route(config, "x.example", "/forms/7"), "forms");
    assert_string_equal(find_route(config, "X.Example:80", "/forms/old/7"),
                        "old");
    assert_string_equal(find_route(config, "x.example", "/forms"), "all");
    assert_string_equal(find_route(config, "x.example", "/?p=/forms/"), "all");
    assert_string_equal(find_route(config, "y.example", "/"), "");
    assert_string_equal(find_route(config, "z.example", "/forms/7"), "");
    assert_string_equal(find_route(config, "x.example", "forms"), "");
    assert_string_equal(find_route(config, "x.example", ""), "");
    /* A prefix that doesn't end with a slash counts by its length too. */
    SasFleetConfig_AddRoute(config, "odd", "x.example", "/forms/ol");
    assert_string_equal(find_route(config, "x.example", "/forms/olive"),
                        "odd");
    assert_string_equal(find_route(config, "X.example", "/forms/old/7"),
                        "old");
    SasFleetConfig_Unref(config);
}

static void
test_routes_above_the_lowest_priority_are_high_priority(void **state)
{
    (void)state;
    struct sas_fleet *fleet = SasFleet_New();
    struct sas_fleet_config *config = SasFleetConfig_New(1);
    struct sas_route *high =
        SasFleetConfig_AddRoute(config, "high", "x.example", "/a/");
    struct sas_route *low =
        SasFleetConfig_AddRoute(config, "low", "x.example", "/b/");
    low->priority = 2;
    assert_true(SasFleet_ApplyConfig(fleet, config, 100));
    assert_true(high->high_priority);
    assert_false(low->high_priority);
    SasFleet_Free(fleet);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_servers_are_added_changed_and_removed),
        cmocka_unit_test(test_restart_under_the_same_id_is_a_new_server),
        cmocka_unit_test(test_old_reference_to_a_reused_slot_is_invalid),
        cmocka_unit_test(test_server_in_an_unknown_zone_is_refused),
        cmocka_unit_test(test_evacuated_zone_gets_no_requests),
        cmocka_unit_test(test_what_a_server_has_said_holds_for_its_process),
        cmocka_unit_test(
            test_an_answer_that_comes_after_its_row_is_gone_counts),
        cmocka_unit_test(test_older_configuration_is_refused),
        cmocka_unit_test(test_longest_prefix_of_the_host_wins),
        cmocka_unit_test(
            test_routes_above_the_lowest_priority_are_high_priority),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
