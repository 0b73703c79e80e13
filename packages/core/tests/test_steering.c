#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "sas/fleet_model.h"
#include "sas/owner.h"
#include "sas/steering.h"

#define WALL_MS INT64_C(1800000000000)
#define OBJECTS 4000

struct fixture {
    struct sas_fleet *fleet;
    struct sas_steering *steering;
    int desk;
    int east;
    int west;
};

static void
put_server(struct fixture *f, const char *id, const char *zone)
{
    struct sas_server_facts facts = {
        .address = {"127.0.0.1", 9000},
        .slots = 3,
        .started_at = 1,
    };
    g_strlcpy(facts.id, id, sizeof(facts.id));
    g_strlcpy(facts.service, "desk", sizeof(facts.service));
    g_strlcpy(facts.zone, zone, sizeof(facts.zone));
    assert_true(SasFleet_PutServer(f->fleet, &facts) >= 0);
}

static struct fixture *
start(void)
{
    struct fixture *f = g_new0(struct fixture, 1);
    f->fleet = SasFleet_New();
    SasFleet_AddZone(f->fleet, "a", "east");
    SasFleet_AddZone(f->fleet, "b", "west");
    f->east = SasFleet_FindRegion(f->fleet, "east");
    f->west = SasFleet_FindRegion(f->fleet, "west");
    put_server(f, "e1", "a");
    put_server(f, "e2", "a");
    put_server(f, "w1", "b");
    put_server(f, "w2", "b");
    f->desk = SasFleet_FindService(f->fleet, "desk");
    f->steering = SasSteering_New(f->fleet);
    SasFleetModel_Add(SasSteering_GetModel(f->steering), f->fleet);
    return f;
}

static void
stop(struct fixture *f)
{
    SasSteering_Free(f->steering);
    SasFleet_Free(f->fleet);
    g_free(f);
}

static struct sas_config *
accept(struct fixture *f, const char *text)
{
    struct sas_model *model = SasSteering_GetModel(f->steering);
    struct sas_sheet sheet = {0};
    struct sas_sheet_error place = {0};
    struct sas_error error = {0};
    assert_int_equal(
        SasSheet_Parse(&sheet, model, text, strlen(text), WALL_MS, 0, &place),
        0);
    struct sas_config *config =
        SasConfig_New(1, "op", "planner", WALL_MS, &sheet, text, &error);
    assert_non_null(config);
    SasSteering_SetConfig(f->steering, config);
    SasSteering_Advance(f->steering, WALL_MS, 1000, NULL);
    return config;
}

static int
count_steered(struct fixture *f, int vms, int rank, int64_t now_ms)
{
    int count = 0;
    for (int i = 0; i < OBJECTS; i++) {
        char key[16];
        snprintf(key, sizeof(key), "o%d", i);
        struct sas_steering_query query = {
            .service = f->desk,
            .home = f->east,
            .key = SasOwner_HashKey(key),
            .vms = vms,
            .rank = rank,
        };
        struct sas_steering_grant grant;
        if (SasSteering_Acquire(f->steering, &query, now_ms, &grant)) {
            assert_int_equal(grant.to, f->west);
            SasSteering_Release(f->steering, &grant, 0, now_ms);
            assert_false(grant.steered);
            count++;
        }
    }
    return count;
}

static void
test_share_of_objects_is_steered(void **state)
{
    (void)state;
    struct fixture *f = start();
    assert_int_equal(count_steered(f, 1, 0, 1000), 0);
    struct sas_config *config =
        accept(f, SasSheet_HEADER "\n+0,desk,east,west,30%,,,\n");
    int count = count_steered(f, 1, 0, 1000);
    assert_in_range(count, OBJECTS * 27 / 100, OBJECTS * 33 / 100);
    SasConfig_Unref(config);
    stop(f);
}

/* Three entry VMs share a cap of 10 requests/s, each with enough requests for
 * all of it. Together they must use the full cap and not exceed it in any
 * second. */
static void
test_entry_vms_together_keep_the_cap(void **state)
{
    (void)state;
    int sum = 0;
    for (int rank = 0; rank < 3; rank++) {
        struct fixture *f = start();
        struct sas_config *config =
            accept(f, SasSheet_HEADER "\n+0,desk,east,west,50%,10 req/s,,\n");
        sum += count_steered(f, 3, rank, 1000);
        assert_int_equal(count_steered(f, 3, rank, 1500), 0);
        SasConfig_Unref(config);
        stop(f);
    }
    assert_int_equal(sum, 10);
}

/* Guards against exceeding a cap: the others still use the part of an entry VM
 * that has just joined. */
static void
test_joining_vm_has_no_part_of_a_cap(void **state)
{
    (void)state;
    struct fixture *f = start();
    struct sas_config *config =
        accept(f, SasSheet_HEADER "\n+0,desk,east,west,100%,10 req/s,,\n");
    struct sas_steering_query query = {
        .service = f->desk, .home = f->east, .vms = 1, .joining = true};
    struct sas_steering_grant grant;
    assert_false(SasSteering_Acquire(f->steering, &query, 1000, &grant));
    query.joining = false;
    assert_true(SasSteering_Acquire(f->steering, &query, 1000, &grant));
    SasConfig_Unref(config);
    stop(f);
}

static void
test_concurrency_cap_counts_running_requests(void **state)
{
    (void)state;
    struct fixture *f = start();
    struct sas_config *config =
        accept(f, SasSheet_HEADER "\n+0,desk,east,west,100%,2 concurrent,,\n");
    struct sas_steering_query query = {
        .service = f->desk, .home = f->east, .vms = 1};
    struct sas_steering_grant grants[3];
    assert_true(SasSteering_Acquire(f->steering, &query, 1000, &grants[0]));
    assert_true(SasSteering_Acquire(f->steering, &query, 1000, &grants[1]));
    assert_false(SasSteering_Acquire(f->steering, &query, 1000, &grants[2]));
    SasSteering_Release(f->steering, &grants[0], 0, 1001);
    assert_true(SasSteering_Acquire(f->steering, &query, 1001, &grants[2]));
    SasConfig_Unref(config);
    stop(f);
}

/* A server that the sheet drains is about to be switched off, which would
 * reset its requests. It must get no new ones; its objects go to other
 * servers. The next sheet, without the drain, makes it available again. */
static void
test_drained_servers_and_vms_get_no_new_work(void **state)
{
    (void)state;
    struct fixture *f = start();
    SasFleetModel_AddVm(SasSteering_GetModel(f->steering), "vm-1", 0);
    SasFleetModel_AddVm(SasSteering_GetModel(f->steering), "vm-2", 0);
    struct sas_config *config =
        accept(f, SasSheet_HEADER "\n+0,,,,,,e1,\n+0,,,,,,vm-2,\n");
    int slot = SasFleet_FindServer(f->fleet, "e1");
    assert_false(SasFleet_AcceptsRequests(f->fleet, slot));
    assert_true(SasFleet_AcceptsRequests(f->fleet,
                                         SasFleet_FindServer(f->fleet, "e2")));
    assert_false(SasSteering_IsVmLeaving(f->steering, "vm-1"));
    assert_true(SasSteering_IsVmLeaving(f->steering, "vm-2"));
    SasConfig_Unref(config);
    config = accept(f, SasSheet_HEADER "\n+0,desk,east,west,10%,,,\n");
    assert_true(SasFleet_AcceptsRequests(f->fleet, slot));
    assert_false(SasSteering_IsVmLeaving(f->steering, "vm-2"));
    SasConfig_Unref(config);
    stop(f);
}

/* A region that is down gets no share of other regions' callers. */
static void
test_down_region_gets_no_requests(void **state)
{
    (void)state;
    struct fixture *f = start();
    struct sas_config *config =
        accept(f, SasSheet_HEADER "\n+0,desk,east,west,100%,,,\n");
    bool down[SasModel_MAX_REGIONS] = {false};
    down[f->west] = true;
    SasSteering_Advance(f->steering, WALL_MS + 1000, 2000, down);
    assert_int_equal(count_steered(f, 1, 0, 2000), 0);
    SasConfig_Unref(config);
    stop(f);
}

/* Services can be added at run time, after the plan was built. They must not
 * be looked up beyond the plan's tables; their callers stay at home. */
static void
test_service_added_later_stays_at_home(void **state)
{
    (void)state;
    struct fixture *f = start();
    struct sas_config *config =
        accept(f, SasSheet_HEADER "\n+0,desk,east,west,100%,,,\n");
    int later = SasFleet_AddService(f->fleet, "vault");
    struct sas_steering_query query = {.service = later, .home = f->east};
    struct sas_steering_grant grant;
    assert_false(SasSteering_Acquire(f->steering, &query, 1000, &grant));
    SasFleetModel_Add(SasSteering_GetModel(f->steering), f->fleet);
    SasSteering_Advance(f->steering, WALL_MS + 1000, 2000, NULL);
    assert_false(SasSteering_Acquire(f->steering, &query, 2000, &grant));
    assert_int_equal(count_steered(f, 1, 0, 2000), OBJECTS);
    SasConfig_Unref(config);
    stop(f);
}

/* A stored sheet drains a server that no longer exists when a process starts
 * and reads the sheet. The sheet must be accepted all the same: otherwise this
 * entry VM would have none while the others do. */
static void
test_stored_sheet_with_removed_server_is_decoded(void **state)
{
    (void)state;
    struct fixture *f = start();
    struct sas_model *model = SasSteering_GetModel(f->steering);
    struct sas_config *config =
        accept(f, SasSheet_HEADER "\n+0,desk,east,west,10%,,,\n+0,,,,,,e1,\n");
    char *text = SasConfig_Encode(config, model);
    SasConfig_Unref(config);
    stop(f);
    f = start();
    SasFleet_RemoveServer(f->fleet, "e1");
    model = SasSteering_GetModel(f->steering);
    SasFleetModel_Refresh(model, f->fleet, NULL);
    assert_int_equal(SasModel_FindBackend(model, "e1"), SasModel_NONE);
    struct sas_error error = {0};
    assert_null(SasConfig_Decode(model, text, strlen(text), &error));
    SasFleetModel_AddNames(model, f->fleet, text, strlen(text));
    config = SasConfig_Decode(model, text, strlen(text), &error);
    assert_non_null(config);
    /* The row stays, at the same index, as long as the sheet names it. */
    int index = SasModel_FindBackend(model, "e1");
    SasFleet_RemoveServer(f->fleet, "e2");
    SasFleetModel_Refresh(model, f->fleet, config);
    assert_int_equal(SasModel_FindBackend(model, "e1"), index);
    assert_int_equal(SasModel_FindBackend(model, "e2"), SasModel_NONE);
    SasFleetModel_Refresh(model, f->fleet, NULL);
    assert_int_equal(SasModel_FindBackend(model, "e1"), SasModel_NONE);
    free(text);
    SasConfig_Unref(config);
    stop(f);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_share_of_objects_is_steered),
        cmocka_unit_test(test_entry_vms_together_keep_the_cap),
        cmocka_unit_test(test_joining_vm_has_no_part_of_a_cap),
        cmocka_unit_test(test_concurrency_cap_counts_running_requests),
        cmocka_unit_test(test_drained_servers_and_vms_get_no_new_work),
        cmocka_unit_test(test_down_region_gets_no_requests),
        cmocka_unit_test(test_service_added_later_stays_at_home),
        cmocka_unit_test(test_stored_sheet_with_removed_server_is_decoded),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
