#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "sas/owner.h"
#include "sas/snapshot.h"
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
        .born_at = 1,
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
    SasSnapshot_Add(SasSteering_GetModel(f->steering), f->fleet);
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
    SasSteering_TakeConfig(f->steering, config);
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
        if (SasSteering_Take(f->steering, &query, now_ms, &grant)) {
            assert_int_equal(grant.to, f->west);
            SasSteering_End(f->steering, &grant, 0, now_ms);
            assert_false(grant.steered);
            count++;
        }
    }
    return count;
}

static void
test_a_share_of_the_objects_goes_where_the_sheet_says(void **state)
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

/* A shift's cap is 10 requests a second and three entry VMs carry it. Each
 * sees callers enough for all of it; together they must stay under it in any
 * second, and use it whole. */
static void
test_entry_vms_together_stay_under_the_cap(void **state)
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

/* One that starts would use its part of a cap while the others still do. */
static void
test_a_newcomer_has_no_part_of_a_cap(void **state)
{
    (void)state;
    struct fixture *f = start();
    struct sas_config *config =
        accept(f, SasSheet_HEADER "\n+0,desk,east,west,100%,10 req/s,,\n");
    struct sas_steering_query query = {
        .service = f->desk, .home = f->east, .vms = 1, .newcomer = true};
    struct sas_steering_grant grant;
    assert_false(SasSteering_Take(f->steering, &query, 1000, &grant));
    query.newcomer = false;
    assert_true(SasSteering_Take(f->steering, &query, 1000, &grant));
    SasConfig_Unref(config);
    stop(f);
}

static void
test_a_cap_of_concurrent_requests_counts_those_that_run(void **state)
{
    (void)state;
    struct fixture *f = start();
    struct sas_config *config =
        accept(f, SasSheet_HEADER "\n+0,desk,east,west,100%,2 concurrent,,\n");
    struct sas_steering_query query = {
        .service = f->desk, .home = f->east, .vms = 1};
    struct sas_steering_grant grants[3];
    assert_true(SasSteering_Take(f->steering, &query, 1000, &grants[0]));
    assert_true(SasSteering_Take(f->steering, &query, 1000, &grants[1]));
    assert_false(SasSteering_Take(f->steering, &query, 1000, &grants[2]));
    SasSteering_End(f->steering, &grants[0], 0, 1001);
    assert_true(SasSteering_Take(f->steering, &query, 1001, &grants[2]));
    SasConfig_Unref(config);
    stop(f);
}

/* Callers' answers would be cut off: planners have taken a server out by the
 * sheet, and it is being switched off. It must get nothing new, and its
 * objects go to others. The next sheet takes it back. */
static void
test_servers_and_vms_that_the_sheet_drains_are_left(void **state)
{
    (void)state;
    struct fixture *f = start();
    SasSnapshot_AddVm(SasSteering_GetModel(f->steering), "vm-1", 0);
    SasSnapshot_AddVm(SasSteering_GetModel(f->steering), "vm-2", 0);
    struct sas_config *config =
        accept(f, SasSheet_HEADER "\n+0,,,,,,e1,\n+0,,,,,,vm-2,\n");
    int slot = SasFleet_FindServer(f->fleet, "e1");
    assert_false(SasFleet_IsOpen(f->fleet, slot));
    assert_true(
        SasFleet_IsOpen(f->fleet, SasFleet_FindServer(f->fleet, "e2")));
    assert_false(SasSteering_IsVmLeaving(f->steering, "vm-1"));
    assert_true(SasSteering_IsVmLeaving(f->steering, "vm-2"));
    SasConfig_Unref(config);
    config = accept(f, SasSheet_HEADER "\n+0,desk,east,west,10%,,,\n");
    assert_true(SasFleet_IsOpen(f->fleet, slot));
    assert_false(SasSteering_IsVmLeaving(f->steering, "vm-2"));
    SasConfig_Unref(config);
    stop(f);
}

/* A region whose entry VMs are all silent gets no share of others' callers. */
static void
test_nothing_goes_to_a_region_that_is_gone(void **state)
{
    (void)state;
    struct fixture *f = start();
    struct sas_config *config =
        accept(f, SasSheet_HEADER "\n+0,desk,east,west,100%,,,\n");
    bool gone[SasModel_MAX_REGIONS] = {false};
    gone[f->west] = true;
    SasSteering_Advance(f->steering, WALL_MS + 1000, 2000, gone);
    assert_int_equal(count_steered(f, 1, 0, 2000), 0);
    SasConfig_Unref(config);
    stop(f);
}

/* Services come at run time; the plan of the sheet in force must have room
 * for them, and their callers stay at home. */
static void
test_a_service_that_comes_later_is_steered_nowhere(void **state)
{
    (void)state;
    struct fixture *f = start();
    struct sas_config *config =
        accept(f, SasSheet_HEADER "\n+0,desk,east,west,100%,,,\n");
    int later = SasFleet_AddService(f->fleet, "vault");
    struct sas_steering_query query = {.service = later, .home = f->east};
    struct sas_steering_grant grant;
    assert_false(SasSteering_Take(f->steering, &query, 1000, &grant));
    SasSnapshot_Add(SasSteering_GetModel(f->steering), f->fleet);
    SasSteering_Advance(f->steering, WALL_MS + 1000, 2000, NULL);
    assert_false(SasSteering_Take(f->steering, &query, 2000, &grant));
    assert_int_equal(count_steered(f, 1, 0, 2000), OBJECTS);
    SasConfig_Unref(config);
    stop(f);
}

/* A server that a stored sheet drains is long gone when a process starts and
 * reads that sheet. It must be taken over all the same: otherwise this entry
 * VM would be without a sheet while the others have one. */
static void
test_a_stored_sheet_that_names_what_is_gone_is_read(void **state)
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
    SasSnapshot_Refresh(model, f->fleet, NULL);
    assert_int_equal(SasModel_FindBackend(model, "e1"), SasModel_NONE);
    struct sas_error error = {0};
    assert_null(SasConfig_Decode(model, text, strlen(text), &error));
    SasSnapshot_AddNames(model, f->fleet, text, strlen(text));
    config = SasConfig_Decode(model, text, strlen(text), &error);
    assert_non_null(config);
    /* It stays as long as the sheet names it, and keeps its place. */
    int place = SasModel_FindBackend(model, "e1");
    SasFleet_RemoveServer(f->fleet, "e2");
    SasSnapshot_Refresh(model, f->fleet, config);
    assert_int_equal(SasModel_FindBackend(model, "e1"), place);
    assert_int_equal(SasModel_FindBackend(model, "e2"), SasModel_NONE);
    SasSnapshot_Refresh(model, f->fleet, NULL);
    assert_int_equal(SasModel_FindBackend(model, "e1"), SasModel_NONE);
    free(text);
    SasConfig_Unref(config);
    stop(f);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(
            test_a_share_of_the_objects_goes_where_the_sheet_says),
        cmocka_unit_test(test_entry_vms_together_stay_under_the_cap),
        cmocka_unit_test(test_a_newcomer_has_no_part_of_a_cap),
        cmocka_unit_test(
            test_a_cap_of_concurrent_requests_counts_those_that_run),
        cmocka_unit_test(test_servers_and_vms_that_the_sheet_drains_are_left),
        cmocka_unit_test(test_nothing_goes_to_a_region_that_is_gone),
        cmocka_unit_test(test_a_service_that_comes_later_is_steered_nowhere),
        cmocka_unit_test(test_a_stored_sheet_that_names_what_is_gone_is_read),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
