#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include <glib.h>

#include "sas/lookup.h"
#include "steering_fixture.h"

#define NOW INT64_C(1764680000000)
#define INSIDE 0x0a010203  /* in all three nested blocks */
#define NEXT_TO 0x0a010300 /* in the /16 and the /8 */
#define OUTSIDE 0x01020304 /* in none */
#define BLOCK_COUNT 20000
#define SHARE_BOUND 5 /* standard deviations of a binomial share */

static void
build(struct sas_plan *plan, const struct sas_model *model, const char *rows)
{
    static const struct sas_plan_signal table[6] = {
        {0.5, 0}, {0.5, 0}, {0.5, 0}, {0.5, 0}, {0.5, 0}, {0.5, 0}};
    static const struct sas_plan_signals signals = {table, NULL};
    struct sas_sheet sheet;
    struct sas_sheet_error reason;
    g_autofree char *text = g_strconcat(SasSheet_HEADER "\n", rows, NULL);
    assert_int_equal(
        SasSheet_Parse(&sheet, model, text, strlen(text), NOW, 0, &reason), 0);
    struct sas_config *config =
        SasConfig_New(1, "op", "amina", NOW, &sheet, text, NULL);
    SasPlan_Build(plan, model, config);
    SasPlan_Advance(plan, NOW, 0, &signals);
    SasConfig_Unref(config);
}

static void
test_longest_prefix_determines_home(void **state)
{
    (void)state;
    struct sas_lookup lookup;
    SasLookup_Init(&lookup, &fixture);
    assert_int_equal(SasLookup_FindHomeRegion(&lookup, INSIDE), SAGUENAY);
    assert_int_equal(SasLookup_FindHomeRegion(&lookup, NEXT_TO), QUEBEC);
    assert_int_equal(SasLookup_FindHomeRegion(&lookup, 0x0a0101ff), QUEBEC);
    assert_int_equal(SasLookup_FindHomeRegion(&lookup, 0x0a020000), MONTREAL);
    assert_int_equal(SasLookup_FindHomeRegion(&lookup, 0x0affffff), MONTREAL);
    assert_int_equal(SasLookup_FindHomeRegion(&lookup, 0xc0a8ffff), QUEBEC);
    assert_int_equal(SasLookup_FindHomeRegion(&lookup, 0xc0a90000), MONTREAL);
    assert_int_equal(SasLookup_FindHomeRegion(&lookup, 0xffffffff), MONTREAL);
    assert_int_equal(SasLookup_FindHomeRegion(&lookup, 0), MONTREAL);
    assert_int_equal(SasLookup_FindRegion(&lookup, DOSSIERS, INSIDE),
                     SasModel_NONE);
    SasLookup_Close(&lookup);
}

static void
test_lookup_follows_the_plan(void **state)
{
    (void)state;
    struct sas_lookup lookup;
    struct sas_plan plan = {0};
    SasLookup_Init(&lookup, &fixture);
    build(&plan, &fixture,
          "+0,dossiers,saguenay,quebec,100%,,,\n"
          "+0,dossiers,montreal,quebec,50%,,,\n");
    assert_int_equal(SasLookup_Rebuild(&lookup, &fixture, &plan, DOSSIERS), 4);
    assert_int_equal(SasLookup_Rebuild(&lookup, &fixture, &plan, GALERIE), 4);
    assert_int_equal(SasLookup_Rebuild(&lookup, &fixture, &plan, DOSSIERS), 0);
    assert_int_equal(SasLookup_FindRegion(&lookup, DOSSIERS, INSIDE), QUEBEC);
    assert_int_equal(SasLookup_FindRegion(&lookup, GALERIE, INSIDE), SAGUENAY);
    assert_int_equal(SasLookup_FindRegion(&lookup, DOSSIERS, NEXT_TO), QUEBEC);
    int shifted = 0;
    for (uint32_t i = 0; i < 1000; i++) {
        uint32_t ipv4 = OUTSIDE + i * 256;
        int region = SasLookup_FindRegion(&lookup, DOSSIERS, ipv4);
        assert_int_equal(SasLookup_FindRegion(&lookup, DOSSIERS, ipv4 ^ 0xff),
                         region);
        shifted += region == QUEBEC;
    }
    assert_true(abs(shifted - 500) < SHARE_BOUND * sqrt(1000 * 0.25));
    SasPlan_Free(&plan);
    SasLookup_Close(&lookup);
}

/* A node that has applied three versions in turn must give the same answers as
 * one that started with the last. Otherwise callers would bounce between
 * regions. */
static void
test_assignment_is_independent_of_history(void **state)
{
    (void)state;
    g_autofree struct sas_block *blocks =
        g_new0(struct sas_block, BLOCK_COUNT);
    for (int i = 0; i < BLOCK_COUNT; i++) {
        blocks[i] = (struct sas_block){(uint32_t)(i + 1) << 8, 24, i % 3};
    }
    struct sas_model model = fixture;
    model.blocks = blocks;
    model.block_count = BLOCK_COUNT;
    static const char *const versions[] = {
        "+0,dossiers,montreal,quebec,30%,,,\n",
        "+0,dossiers,montreal,quebec,40%,,,\n"
        "+0,dossiers,montreal,saguenay,40%,,,\n",
        "+0,dossiers,montreal,saguenay,50%,,,\n"
        "+0,dossiers,quebec,saguenay,10%,,,\n"};
    struct sas_lookup old;
    struct sas_lookup fresh;
    struct sas_plan plan = {0};
    SasLookup_Init(&old, &model);
    SasLookup_Init(&fresh, &model);
    for (size_t i = 0; i < G_N_ELEMENTS(versions); i++) {
        SasPlan_Free(&plan);
        build(&plan, &model, versions[i]);
        SasLookup_Rebuild(&old, &model, &plan, DOSSIERS);
    }
    SasLookup_Rebuild(&fresh, &model, &plan, DOSSIERS);
    for (int i = 0; i < BLOCK_COUNT; i++) {
        assert_int_equal(
            SasLookup_FindRegion(&old, DOSSIERS, blocks[i].network),
            SasLookup_FindRegion(&fresh, DOSSIERS, blocks[i].network));
    }
    SasPlan_Free(&plan);
    SasLookup_Close(&old);
    SasLookup_Close(&fresh);
}

static int
order(const struct sas_vm_status *statuses, int *vms, int max)
{
    struct sas_lookup lookup;
    SasLookup_Init(&lookup, &fixture);
    int count = SasLookup_OrderVms(&lookup, &fixture, QUEBEC, INSIDE, statuses,
                                   vms, max);
    SasLookup_Close(&lookup);
    return count;
}

static void
set_views(struct sas_vm_status *statuses, enum sas_vm_liveness peers,
          enum sas_vm_liveness platform)
{
    for (int i = 0; i < 6; i++) {
        statuses[i] = (struct sas_vm_status){peers, platform, false};
    }
}

static void
test_vms_of_the_region_come_first(void **state)
{
    (void)state;
    struct sas_vm_status statuses[6];
    int vms[6];
    set_views(statuses, SAS_VM_LIVE, SAS_VM_LIVE);
    assert_int_equal(order(statuses, vms, 6), 6);
    assert_int_equal(vms[0] + vms[1], 2 + 3);
    assert_int_equal(order(statuses, vms, 1), 1);
    statuses[2].peers = SAS_VM_DEAD;
    assert_int_equal(order(statuses, vms, 6), 6);
    assert_int_equal(vms[0], 3);
    assert_int_equal(vms[5], 2);
    statuses[2].platform = SAS_VM_DEAD;
    statuses[3].leaving = true;
    assert_int_equal(order(statuses, vms, 6), 4);
    for (int i = 0; i < 4; i++) {
        assert_true(vms[i] != 2 && vms[i] != 3);
    }
}

/* Guards against an answer without a VM, with which a caller can reach
 * nothing, when the platform's list is empty, the node is partitioned, or
 * both. */
static void
test_answer_is_never_empty(void **state)
{
    (void)state;
    struct sas_vm_status statuses[6];
    int vms[6];
    set_views(statuses, SAS_VM_LIVE, SAS_VM_DEAD);
    assert_int_equal(order(statuses, vms, 6), 6);
    set_views(statuses, SAS_VM_DEAD, SAS_VM_LIVE);
    assert_int_equal(order(statuses, vms, 6), 6);
    set_views(statuses, SAS_VM_DEAD, SAS_VM_DEAD);
    statuses[5].leaving = true;
    assert_int_equal(order(statuses, vms, 6), 5);
    set_views(statuses, SAS_VM_LIVE, SAS_VM_LIVE);
    for (int i = 0; i < 6; i++) {
        statuses[i].leaving = true;
    }
    statuses[0].peers = SAS_VM_DEAD;
    assert_int_equal(order(statuses, vms, 6), 5);
}

static void
test_ttl_is_short_during_a_shift(void **state)
{
    (void)state;
    struct sas_plan plan = {0};
    build(&plan, &fixture, "+0,dossiers,montreal,quebec,50%,,,ramp=60\n");
    assert_int_equal(SasLookup_ChooseTtl(&plan, GALERIE, 0, 0.5), 20000);
    assert_int_equal(SasLookup_ChooseTtl(&plan, GALERIE, 0, 0), 15000);
    assert_true(SasLookup_ChooseTtl(&plan, GALERIE, 0, 0.999999) <=
                SasLookup_MAX_TTL_MS);
    assert_int_equal(SasLookup_ChooseTtl(&plan, DOSSIERS, 0, 0.5), 5000);
    SasPlan_Free(&plan);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_longest_prefix_determines_home),
        cmocka_unit_test(test_lookup_follows_the_plan),
        cmocka_unit_test(test_assignment_is_independent_of_history),
        cmocka_unit_test(test_vms_of_the_region_come_first),
        cmocka_unit_test(test_answer_is_never_empty),
        cmocka_unit_test(test_ttl_is_short_during_a_shift),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
