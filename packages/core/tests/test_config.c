#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include <glib.h>

#include "sas/config.h"
#include "steering_fixture.h"

#define NOW INT64_C(1764680000000)

static struct sas_config *
make_config(int64_t version, const char *rows)
{
    struct sas_sheet sheet;
    struct sas_sheet_error reason;
    g_autofree char *text = g_strconcat(SasSheet_HEADER "\n", rows, NULL);
    assert_int_equal(
        SasSheet_Parse(&sheet, &fixture, text, strlen(text), NOW, 0, &reason),
        0);
    return SasConfig_New(version, "op-1", "amina", NOW, &sheet, text, NULL);
}

static void
assert_same(struct sas_config *a, struct sas_config *b)
{
    char *left = SasConfig_Encode(a, &fixture);
    char *right = SasConfig_Encode(b, &fixture);
    assert_string_equal(left, right);
    free(left);
    free(right);
}

static const char three_rows[] =
    "+0,dossiers,montreal,quebec,33.3333%,50.125 req/s,,ramp=300;warm=60\n"
    "+60,galerie,quebec,saguenay,10%,200 Mbit/s,,headroom=12.5%\n"
    "+90,,,,,,mtl-a-1,\n";

static void
test_encoding_round_trip(void **state)
{
    (void)state;
    struct sas_config *config = make_config(8, three_rows);
    char *text = SasConfig_Encode(config, &fixture);
    struct sas_config *copy =
        SasConfig_Decode(&fixture, text, strlen(text), NULL);
    assert_non_null(copy);
    assert_same(config, copy);
    assert_true(copy->sheet.rows[0].share == config->sheet.rows[0].share);
    assert_true(copy->sheet.rows[0].cap == 50.125);
    assert_int_equal(copy->sheet.rows[2].drain_kind, SAS_DRAIN_VM);
    assert_string_equal(copy->operator_name, "amina");
    SasConfig_Unref(SasConfig_Ref(copy));
    SasConfig_Unref(copy);
    SasConfig_Unref(config);
    free(text);
}

/* Each pair replaces the first text by the second in a valid version, which
 * makes it invalid. */
static const char *const invalid_replacements[][2] = {
    {"\"version\":8", "\"version\":0"},
    {"\"version\":8", "\"version\":8.5"},
    {"\"version\":8", "\"version\":9223372036854775807"},
    {"\"version\":8", "\"version\":8,\"version\":9"},
    {"\"version\":8", "\"version\":8,\"extra\":1"},
    {"\"operation\":\"op-1\"", "\"operation\":\"\""},
    {"\"share\":0.333333", "\"share\":1.5"},
    {"\"share\":0.333333", "\"share\":-0.1"},
    {"\"share\":0.333333", "\"share\":1e999"},
    {"\"cap\":50.125", "\"cap\":-1"},
    {"\"cap_unit\":\"req/s\"", "\"cap_unit\":\"\""},
    {"\"cap_unit\":\"req/s\"", "\"cap_unit\":\"rps\""},
    {"\"ramp_s\":300", "\"ramp_s\":-1"},
    {"\"warm_s\":60", "\"warm_s\":99999999999"},
    {"\"to\":\"quebec\"", "\"to\":\"laval\""},
    {"\"to\":\"quebec\"", "\"to\":\"montreal\""},
    {"\"drain\":\"mtl-a-1\"", "\"drain\":\"mtl-z-1\""},
    {"\"at_ms\":1764680000000", "\"at_ms\":1764680099000"},
    {"\"at_ms\":1764680000000", "\"at_ms\":-5"},
    {"\"at_ms\":1764680000000", "\"at_ms\":true"},
    {"\"sheet\":\"time", "\"sheet\":\"\\u0000time"},
};

static void
test_invalid_versions_are_refused(void **state)
{
    (void)state;
    struct sas_config *config = make_config(8, three_rows);
    char *good = SasConfig_Encode(config, &fixture);
    for (size_t i = 0; i < G_N_ELEMENTS(invalid_replacements); i++) {
        g_auto(GStrv) parts = g_strsplit(good, invalid_replacements[i][0], 2);
        assert_non_null(parts[1]);
        g_autofree char *bad = g_strjoinv(invalid_replacements[i][1], parts);
        struct sas_error error = {0};
        assert_null(SasConfig_Decode(&fixture, bad, strlen(bad), &error));
        assert_int_equal(error.code, SAS_EINVAL);
    }
    for (size_t size = 0; size < strlen(good); size += 7) {
        assert_null(SasConfig_Decode(&fixture, good, size, NULL));
    }
    free(good);
    SasConfig_Unref(config);
}

/* Guards against falling back to an older version when versions arrive in the
 * wrong order or the store serves an old row. */
static void
test_only_higher_versions_are_adopted(void **state)
{
    (void)state;
    assert_true(SasConfig_MayReplace(0, 1));
    assert_true(SasConfig_MayReplace(7, 9));
    assert_false(SasConfig_MayReplace(9, 8));
    assert_false(SasConfig_MayReplace(9, 9));
}

static void
test_delta_rebuilds_the_next_version(void **state)
{
    (void)state;
    struct sas_config *base = make_config(8, three_rows);
    g_autofree char *rows = g_strconcat("+30,dossiers,quebec,montreal,5%,,,\n",
                                        strchr(three_rows, 10) + 1, NULL);
    struct sas_config *next = make_config(9, rows);
    char *delta = SasConfig_EncodeDelta(base, next, &fixture);
    struct sas_error error = {0};
    struct sas_config *rebuilt =
        SasConfig_ApplyDelta(base, &fixture, delta, strlen(delta), &error);
    assert_non_null(rebuilt);
    assert_same(rebuilt, next);
    SasConfig_Unref(rebuilt);
    SasConfig_Unref(next);
    SasConfig_Unref(base);
    free(delta);
}

/* Guards against a version 9 that no operator ordered, from a delta that is
 * applied to another base than its own. Malformed edits must be refused as
 * well. */
static void
test_delta_on_another_base_is_refused(void **state)
{
    (void)state;
    struct sas_config *base = make_config(8, three_rows);
    struct sas_config *other =
        make_config(8, "+0,dossiers,montreal,quebec,1%,,,\n");
    struct sas_config *next = make_config(9, three_rows);
    char *delta = SasConfig_EncodeDelta(base, next, &fixture);
    struct sas_error error = {0};
    assert_null(
        SasConfig_ApplyDelta(other, &fixture, delta, strlen(delta), &error));
    assert_int_equal(error.code, SAS_ECONFLICT);
    g_auto(GStrv) parts = g_strsplit(delta, "\"rows\":[[0,3]]", 2);
    assert_non_null(parts[1]);
    const char *const edits[] = {
        "\"rows\":[[0,2]]",  "\"rows\":[[0,4]]",
        "\"rows\":[[-1,1]]", "\"rows\":[[0]]",
        "\"rows\":7",        "\"rows\":[[0,9223372036854775807]]"};
    for (size_t i = 0; i < G_N_ELEMENTS(edits); i++) {
        g_autofree char *bad = g_strjoinv(edits[i], parts);
        assert_null(
            SasConfig_ApplyDelta(base, &fixture, bad, strlen(bad), &error));
        assert_int_equal(error.code, SAS_EINVAL);
    }
    free(delta);
    SasConfig_Unref(base);
    SasConfig_Unref(other);
    SasConfig_Unref(next);
}

static void
test_added_drain_keeps_resolved_times(void **state)
{
    (void)state;
    struct sas_config *base = make_config(8, three_rows);
    struct sas_error error = {0};
    int64_t now_ms = NOW + 61123;
    struct sas_config *next = SasConfig_AddDrain(
        base, &fixture, "dossiers-01", 9, "op-2", "amina", now_ms, &error);
    assert_non_null(next);
    assert_int_equal(next->sheet.row_count, 4);
    assert_int_equal(next->sheet.rows[1].at_ms, NOW + 60000);
    assert_int_equal(next->sheet.rows[2].at_ms, now_ms);
    assert_int_equal(next->sheet.rows[2].drain_target, 0);
    assert_int_equal(next->sheet.rows[3].at_ms, NOW + 90000);
    assert_true(g_str_has_prefix(next->sheet_text, base->sheet_text));
    assert_null(SasConfig_AddDrain(base, &fixture, "dossiers-99", 9, "op-2",
                                   "amina", now_ms, &error));
    struct sas_config *first = SasConfig_AddDrain(
        NULL, &fixture, "galerie-01", 1, "op-3", "amina", now_ms, &error);
    assert_non_null(first);
    assert_null(SasConfig_AddDrain(first, &fixture, "galerie-02", 2, "op-4",
                                   "amina", now_ms, &error));
    SasConfig_Unref(first);
    SasConfig_Unref(next);
    SasConfig_Unref(base);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_encoding_round_trip),
        cmocka_unit_test(test_invalid_versions_are_refused),
        cmocka_unit_test(test_only_higher_versions_are_adopted),
        cmocka_unit_test(test_delta_rebuilds_the_next_version),
        cmocka_unit_test(test_delta_on_another_base_is_refused),
        cmocka_unit_test(test_added_drain_keeps_resolved_times),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
