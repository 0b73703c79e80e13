#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include <glib.h>

#include "sas/sheet.h"
#include "steering_fixture.h"

#define HEADER "time,service,from,to,share,cap,drain,limits\n"
#define NOW INT64_C(1764680000000) /* 2025-12-02T12:53:20Z */
#define DAY_START INT64_C(1764633600000)
#define MONTREAL_OFFSET (-5 * 3600)

static int
parse(struct sas_sheet *sheet, const char *rows, struct sas_sheet_error *error)
{
    g_autofree char *text = g_strconcat(HEADER, rows, NULL);
    return SasSheet_Parse(sheet, &fixture, text, strlen(text), NOW,
                          MONTREAL_OFFSET, error);
}

static void
test_documented_sheet_is_parsed(void **state)
{
    (void)state;
    struct sas_sheet sheet;
    struct sas_sheet_error error;
    assert_int_equal(
        parse(&sheet,
              "07:30,dossiers,montreal,quebec,20%,50 req/s,,"
              "ramp=300;headroom=15%\r\n"
              "08:00,galerie,montreal,saguenay,10%,200 Mbit/s,,\r\n"
              "09:00,,,,,,dossiers-02,",
              &error),
        0);
    assert_int_equal(sheet.row_count, 3);
    const struct sas_sheet_row *row = &sheet.rows[0];
    assert_int_equal(row->at_ms, DAY_START + (7 * 60 + 30 + 300) * 60000);
    assert_int_equal(row->service, DOSSIERS);
    assert_int_equal(row->from, MONTREAL);
    assert_int_equal(row->to, QUEBEC);
    assert_true(row->share == 0.2);
    assert_true(row->cap == 50);
    assert_int_equal(row->cap_unit, SAS_CAP_REQUESTS);
    assert_int_equal(row->ramp_ms, 300000);
    assert_true(row->headroom == 0.15);
    assert_int_equal(sheet.rows[2].drain_kind, SAS_DRAIN_BACKEND);
    assert_int_equal(sheet.rows[2].drain_target, 1);
    SasSheet_Free(&sheet);
}

static void
test_times_in_all_forms_are_sorted_stably(void **state)
{
    (void)state;
    struct sas_sheet sheet;
    struct sas_sheet_error error;
    assert_int_equal(
        parse(&sheet,
              "+60,dossiers,montreal,quebec,1%,,,\n"
              "2025-12-02T12:53:20Z,dossiers,montreal,quebec,2%,,,\n"
              "2025-12-02T07:53:20-05:00,dossiers,montreal,quebec,3%,,,\n"
              "07:53:20,dossiers,montreal,quebec,4%,,,\n"
              "+0,dossiers,montreal,quebec,5%,,,\n",
              &error),
        0);
    for (int i = 0; i < 4; i++) {
        assert_int_equal(sheet.rows[i].at_ms, NOW);
        assert_int_equal(sheet.rows[i].row, 3 + i);
    }
    assert_int_equal(sheet.rows[4].at_ms, NOW + 60000);
    SasSheet_Free(&sheet);
}

/* It is 21:00 on 1 December in Montreal, which is already 2 December in UTC.
 * 23:00 must be two hours away, not a day and two hours. */
static void
test_clock_time_is_on_the_local_day(void **state)
{
    (void)state;
    struct sas_sheet sheet;
    struct sas_sheet_error error;
    const char *text = HEADER "23:00,dossiers,montreal,quebec,1%,,,\n";
    int64_t now_ms = DAY_START + 2 * 3600000;
    assert_int_equal(SasSheet_Parse(&sheet, &fixture, text, strlen(text),
                                    now_ms, MONTREAL_OFFSET, &error),
                     0);
    assert_int_equal(sheet.rows[0].at_ms, now_ms + 2 * 3600000);
    SasSheet_Free(&sheet);
}

struct bad_sheet {
    const char *rows;
    int row;
    const char *column;
};

static const struct bad_sheet bad_sheets[] = {
    {"25:00,dossiers,montreal,quebec,1%,,,\n", 2, "time"},
    {"2025-02-30T00:00:00Z,dossiers,montreal,quebec,1%,,,\n", 2, "time"},
    {"2025-12-02T12:00:00,dossiers,montreal,quebec,1%,,,\n", 2, "time"},
    {"+1e3,dossiers,montreal,quebec,1%,,,\n", 2, "time"},
    {"+0,dossier,montreal,quebec,1%,,,\n", 2, "service"},
    {"+0,dossiers,laval,quebec,1%,,,\n", 2, "from"},
    {"+0,dossiers,montreal,laval,1%,,,\n", 2, "to"},
    {"+0,dossiers,montreal,montreal,1%,,,\n", 2, "to"},
    {"+0,dossiers,montreal,quebec,101%,,,\n", 2, "share"},
    {"+0,dossiers,montreal,quebec,-1%,,,\n", 2, "share"},
    {"+0,dossiers,montreal,quebec,nan%,,,\n", 2, "share"},
    {"+0,dossiers,montreal,quebec,20,,,\n", 2, "share"},
    {"+0,dossiers,montreal,quebec,1%,50,,\n", 2, "cap"},
    {"+0,dossiers,montreal,quebec,1%,50 req,,\n", 2, "cap"},
    {"+0,dossiers,montreal,quebec,1%,0 req/s,,\n", 2, "cap"},
    {"+0,dossiers,montreal,quebec,1%,inf req/s,,\n", 2, "cap"},
    {"+0,dossiers,montreal,quebec,1%,,,rampe=3\n", 2, "limits"},
    {"+0,dossiers,montreal,quebec,1%,,,ramp\n", 2, "limits"},
    {"+0,dossiers,montreal,quebec,1%,,,ramp=-3\n", 2, "limits"},
    {"+0,dossiers,montreal,quebec,1%,,,ramp=1;ramp=2\n", 2, "limits"},
    {"+0,dossiers,montreal,quebec,1%,,,headroom=101%\n", 2, "limits"},
    {"+0,,,,,,dossiers-99,\n", 2, "drain"},
    {"+0,dossiers,,,,,dossiers-01,\n", 2, "service"},
    {"+0,dossiers,montreal,quebec,1%,,\n", 2, "limits"},
    {"+0,dossiers,montreal,quebec,1%,,,,\n", 2, "limits"},
    {"+0,dossiers,montreal,quebec,\"1%\"x,,,\n", 2, ""},
    {"+0,dossiers,montreal,quebec,60%,,,\n"
     "+9,dossiers,montreal,saguenay,41%,,,\n",
     3, "share"},
    {"+9,dossiers,montreal,saguenay,41%,,,\n"
     "+0,dossiers,montreal,quebec,60%,,,\n",
     2, "share"},
    {"+0,,,,,,galerie-01,\n+0,,,,,,galerie-02,\n", 3, "drain"},
    {"+0,,,,,,mtl-a-1,\n+0,,,,,,mtl-b-1,\n+0,,,,,,qbc-a-1,\n"
     "+0,,,,,,qbc-b-1,\n+0,,,,,,sag-a-1,\n+0,,,,,,sag-b-1,\n",
     7, "drain"},
    {"\xff\xfe,,,,,,,\n", 2, ""},
};

static void
test_bad_sheets_name_row_and_column(void **state)
{
    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(bad_sheets); i++) {
        const struct bad_sheet *bad = &bad_sheets[i];
        struct sas_sheet sheet;
        struct sas_sheet_error error;
        assert_int_equal(parse(&sheet, bad->rows, &error), -1);
        assert_int_equal(error.row, bad->row);
        assert_string_equal(error.column, bad->column);
        assert_true(error.reason[0] != '\0');
        assert_null(sheet.rows);
        assert_int_equal(sheet.row_count, 0);
    }
}

static void
test_shares_of_one_time_are_summed_together(void **state)
{
    (void)state;
    struct sas_sheet sheet;
    struct sas_sheet_error error;
    assert_int_equal(parse(&sheet,
                           "+0,dossiers,montreal,quebec,80%,,,\n"
                           "+0,dossiers,montreal,saguenay,20%,,,\n"
                           "+9,dossiers,montreal,saguenay,80%,,,\n"
                           "+9,dossiers,montreal,quebec,20%,,,\n",
                           &error),
                     0);
    SasSheet_Free(&sheet);
}

static void
test_headers_and_blank_rows(void **state)
{
    (void)state;
    struct sas_sheet sheet;
    struct sas_sheet_error error;
    const char *wrong = "time,service,to,from,share,cap,drain,limits\n";
    assert_int_equal(
        SasSheet_Parse(&sheet, &fixture, wrong, strlen(wrong), NOW, 0, &error),
        -1);
    assert_int_equal(error.row, 1);
    assert_string_equal(error.column, "from");
    assert_int_equal(SasSheet_Parse(&sheet, &fixture, "", 0, NOW, 0, &error),
                     -1);
    const char *with_bom = "\xef\xbb\xbf" HEADER ",,,,,,,\n"
                           "+0,x,montreal,quebec,1%,,,\n";
    assert_int_equal(SasSheet_Parse(&sheet, &fixture, with_bom,
                                    strlen(with_bom), NOW, 0, &error),
                     -1);
    assert_int_equal(error.row, 3);
    assert_string_equal(error.column, "service");
}

static void
test_sizes_are_bounded(void **state)
{
    (void)state;
    struct sas_sheet sheet;
    struct sas_sheet_error error;
    g_autoptr(GString) text = g_string_new("");
    for (int i = 0; i < SasSheet_MAX_ROWS; i++) {
        g_string_append(text, "+0,dossiers,montreal,quebec,1%,,,\n");
    }
    assert_int_equal(parse(&sheet, text->str, &error), 0);
    SasSheet_Free(&sheet);
    g_string_append(text, "+0,dossiers,montreal,quebec,1%,,,\n");
    assert_int_equal(parse(&sheet, text->str, &error), -1);
    assert_int_equal(error.row, SasSheet_MAX_ROWS + 2);
    g_autofree char *large = g_strnfill(SasSheet_MAX_BYTES + 1, ',');
    assert_int_equal(SasSheet_Parse(&sheet, &fixture, large,
                                    SasSheet_MAX_BYTES + 1, NOW, 0, &error),
                     -1);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_documented_sheet_is_parsed),
        cmocka_unit_test(test_times_in_all_forms_are_sorted_stably),
        cmocka_unit_test(test_clock_time_is_on_the_local_day),
        cmocka_unit_test(test_bad_sheets_name_row_and_column),
        cmocka_unit_test(test_shares_of_one_time_are_summed_together),
        cmocka_unit_test(test_headers_and_blank_rows),
        cmocka_unit_test(test_sizes_are_bounded),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
