#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>
#include <glib.h>
#include <glib/gstdio.h>

#include "sas/settings.h"
#include "sas/sheet.h"

/* 2 December 2025, 12:00 UTC. */
#define NOON_MS INT64_C(1764676800000)

/* The smallest valid settings. */
static const char minimal[] = "[store]\n"
                              "embedded = true\n"
                              "[[entry_vm]]\n"
                              "name = \"v1\"\n"
                              "ip = \"127.0.0.1\"\n"
                              "[[service]]\n"
                              "name = \"s1\"\n"
                              "[[backend_server]]\n"
                              "name = \"b1\"\n"
                              "ip = \"127.0.0.1\"\n"
                              "port = 9000\n"
                              "slots = 2\n";

/* Settings with two regions and most keys; assert_refused changes a part. */
static const char full[] = "[deployment]\n"
                           "name = \"d\"\n"
                           "utc_offset = \"-03:30\"\n"
                           "default_home = \"r2\"\n"
                           "[store]\n"
                           "ip = \"10.0.0.9\"\n"
                           "port = 9100\n"
                           "[[region]]\n"
                           "name = \"r1\"\n"
                           "[[region]]\n"
                           "name = \"r2\"\n"
                           "[[failure_domain]]\n"
                           "name = \"r1-a\"\n"
                           "region = \"r1\"\n"
                           "[[failure_domain]]\n"
                           "name = \"r2-a\"\n"
                           "region = \"r2\"\n"
                           "[[link]]\n"
                           "from = \"r1\"\n"
                           "to = \"r2\"\n"
                           "mbit_per_s = 4000\n"
                           "[[entry_vm]]\n"
                           "name = \"v1\"\n"
                           "failure_domain = \"r1-a\"\n"
                           "ip = \"10.0.0.1\"\n"
                           "caller_port = 80\n"
                           "peer_port = 81\n"
                           "admin_port = 82\n"
                           "[[entry_vm]]\n"
                           "name = \"v2\"\n"
                           "failure_domain = \"r2-a\"\n"
                           "ip = \"fd00::0:1\"\n"
                           "[[service]]\n"
                           "name = \"s1\"\n"
                           "deadline_ms = 2500\n"
                           "once = [\"/certificates\", \"/visits\"]\n"
                           "[[backend_server]]\n"
                           "name = \"b1\"\n"
                           "service = \"s1\"\n"
                           "failure_domain = \"r2-a\"\n"
                           "ip = \"10.0.0.2\"\n"
                           "port = 9000\n"
                           "slots = 3\n"
                           "connections = 340\n"
                           "[[block]]\n"
                           "network = \"10.2.0.0/16\"\n"
                           "home = \"r2\"\n"
                           "[[block]]\n"
                           "network = \"10.0.0.0/8\"\n"
                           "home = \"r1\"\n"
                           "[limits]\n"
                           "body_limit_mb = 8\n"
                           "bodies_limit_mb = 16\n"
                           "queue_wait_ms = 7\n"
                           "retry_share = 0.2\n"
                           "drain_notice_ms = 50\n"
                           "stop_limit_ms = 2550\n"
                           "placement = \"cone\"\n"
                           "[security]\n"
                           "peer_key_file = \"peer.key\"\n"
                           "admin_token_file = \"/etc/token\"\n"
                           "[log]\n"
                           "level = \"debug\"\n";

/* Returns the text with the first occurrence of from replaced by to. */
static char *
replace(const char *text, const char *from, const char *to)
{
    const char *match = strstr(text, from);
    assert_non_null(match);
    return g_strdup_printf("%.*s%s%s", (int)(match - text), text, to,
                           match + strlen(from));
}

/* Replaces a part of the full text and expects this message. */
static void
assert_refused(const char *from, const char *to, const char *message)
{
    g_autofree char *text = replace(full, from, to);
    struct sas_settings settings;
    struct sas_error error = {0};
    int result = SasSettings_LoadText(&settings, text, "f.toml", &error);
    if (result != -1 || error.code != SAS_EINVAL) {
        fail_msg("not refused with: %s", message);
    }
    assert_string_equal(error.text, message);
}

static void
test_minimal_file_has_defaults(void **state)
{
    (void)state;
    struct sas_settings settings;
    struct sas_error error = {0};
    assert_int_equal(SasSettings_LoadText(&settings, minimal, "m", &error), 0);
    assert_true(settings.embedded_store);
    assert_string_equal(settings.model.regions[0].name, "local");
    assert_int_equal(settings.model.domain_count, 1);
    assert_int_equal(settings.model.default_home, 0);
    assert_int_equal(settings.model.vms[0].domain, 0);
    assert_int_equal(settings.model.vms[0].caller.port, 8000);
    assert_int_equal(settings.model.vms[0].peer.port, 8001);
    assert_int_equal(settings.model.vms[0].admin.port, 8002);
    assert_int_equal(settings.model.services[0].deadline_ms, 10000);
    assert_int_equal(settings.model.backends[0].service, 0);
    assert_int_equal(settings.model.backends[0].connections, 330);
    assert_int_equal(settings.body_limit, 32000000);
    assert_int_equal(settings.bodies_limit, 256000000);
    assert_int_equal(settings.queue_wait_ms, 250);
    assert_true(settings.retry_share == 0.1);
    assert_int_equal(settings.drain_notice_ms, 30000);
    assert_int_equal(settings.stop_limit_ms, 360000);
    assert_string_equal(settings.placement, "");
    assert_string_equal(settings.log_level, "info");
    assert_null(settings.peer_key_file);
    SasSettings_Unload(&settings);
}

static void
test_every_key_is_read(void **state)
{
    (void)state;
    struct sas_settings settings;
    assert_int_equal(SasSettings_LoadText(&settings, full, "/x/f", NULL), 0);
    const struct sas_model *model = &settings.model;
    assert_string_equal(settings.name, "d");
    assert_int_equal(settings.utc_offset_s, -12600);
    assert_int_equal(model->default_home, 1);
    assert_string_equal(settings.store.ip, "10.0.0.9");
    assert_int_equal(settings.store.port, 9100);
    assert_int_equal(model->domains[1].region, 1);
    assert_true(SasModel_GetLinkCapacity(model, 0, 1) == 4000);
    assert_int_equal(model->vms[0].caller.port, 80);
    assert_int_equal(model->vms[0].peer.port, 81);
    assert_int_equal(model->vms[0].admin.port, 82);
    assert_string_equal(model->vms[1].peer.ip, "fd00::1");
    assert_int_equal(model->services[0].deadline_ms, 2500);
    assert_int_equal(model->services[0].once_route_count, 2);
    assert_string_equal(model->services[0].once_routes[1].prefix, "/visits");
    assert_int_equal(model->backends[0].domain, 1);
    assert_int_equal(model->backends[0].slots, 3);
    assert_int_equal(model->backends[0].connections, 340);
    assert_int_equal(model->block_count, 2);
    assert_int_equal(model->blocks[0].network, 10U << 24);
    assert_int_equal(model->blocks[0].prefix_length, 8);
    assert_int_equal(model->blocks[1].prefix_length, 16);
    assert_int_equal(model->blocks[1].home, 1);
    assert_int_equal(settings.body_limit, 8000000);
    assert_int_equal(settings.bodies_limit, 16000000);
    assert_int_equal(settings.queue_wait_ms, 7);
    assert_true(settings.retry_share == 0.2);
    assert_int_equal(settings.drain_notice_ms, 50);
    assert_int_equal(settings.stop_limit_ms, 2550);
    assert_string_equal(settings.placement, "cone");
    assert_string_equal(settings.peer_key_file, "/x/peer.key");
    assert_string_equal(settings.admin_token_file, "/etc/token");
    assert_string_equal(settings.log_level, "debug");
    SasSettings_Unload(&settings);
}

static void
test_unknown_keys_and_wrong_types_are_refused(void **state)
{
    (void)state;
    assert_refused("utc_offset", "utc_ofset",
                   "f.toml:3: deployment.utc_ofset: unknown key");
    assert_refused("[log]", "[logs]", "f.toml:62: logs: unknown section");
    assert_refused("port = 9100", "port = \"9100\"",
                   "f.toml:7: store.port: must be an integer, is a string");
    assert_refused("port = 9100", "port = 9100.0",
                   "f.toml:7: store.port: must be an integer, is a number");
    assert_refused("[security]", "[[security]]",
                   "f.toml:59: security: must be one table, [security]");
    assert_refused("[[link]]", "[link]",
                   "f.toml:18: link: must be an array of tables, "
                   "[[link]]");
    assert_refused("from = \"r1\"\n", "", "f.toml:18: link.from: missing");
    assert_refused("failure_domain = \"r1-a\"\n", "",
                   "f.toml:22: entry_vm.failure_domain: missing");
    assert_refused("once = [\"/certificates\"", "once = [\"certificates\"",
                   "f.toml:36: service.once: each must be a path that starts "
                   "with / and has no ?, # or space");
}

static void
test_syntax_errors_report_their_line(void **state)
{
    (void)state;
    struct sas_settings settings;
    struct sas_error error = {0};
    assert_int_equal(
        SasSettings_LoadText(&settings, "[a]\nb = = 1\n", "f", &error), -1);
    assert_int_equal(strncmp(error.text, "f:2: syntax: ", 13), 0);
    assert_int_equal(
        SasSettings_LoadText(&settings, "[a]\n[a]\n", "f", &error), -1);
    assert_int_equal(strncmp(error.text, "f:2: syntax: ", 13), 0);
}

static void
test_invalid_values_are_refused(void **state)
{
    (void)state;
    assert_refused("port = 9100", "port = 65536",
                   "f.toml:7: store.port: 65536 is not between 1 and 65535");
    assert_refused("peer_port = 81", "peer_port = 0",
                   "f.toml:27: entry_vm.peer_port: 0 is not between 1 and "
                   "65535");
    assert_refused("slots = 3", "slots = 0",
                   "f.toml:43: backend_server.slots: 0 is not between 1 and "
                   "100000");
    assert_refused("connections = 340", "connections = -1",
                   "f.toml:44: backend_server.connections: -1 is not between "
                   "1 and 1000000");
    assert_refused("connections = 340", "connections = 2",
                   "f.toml:44: backend_server.connections: 2 connections "
                   "can't fill 3 slots");
    assert_refused("mbit_per_s = 4000", "mbit_per_s = 0",
                   "f.toml:21: link.mbit_per_s: 0 is not between 0.001 and "
                   "10000000");
    assert_refused(
        "retry_share = 0.2", "retry_share = nan",
        "f.toml:55: limits.retry_share: nan is not between 0 and 1");
    assert_refused("deadline_ms = 2500", "deadline_ms = 300001",
                   "f.toml:35: service.deadline_ms: 300001 is not between 1 "
                   "and 300000");
    assert_refused(
        "bodies_limit_mb = 16", "bodies_limit_mb = 7",
        "f.toml:53: limits.bodies_limit_mb: less than body_limit_mb");
    assert_refused("stop_limit_ms = 2550", "stop_limit_ms = 2549",
                   "f.toml:57: limits.stop_limit_ms: less than "
                   "drain_notice_ms plus the longest deadline_ms, 2550");
    assert_refused("\"10.0.0.9\"", "\"store.example\"",
                   "f.toml:6: store.ip: not an IP address: \"store.example\"");
    assert_refused("\"10.0.0.1\"", "\"0.0.0.0\"",
                   "f.toml:25: entry_vm.ip: unspecified or multicast "
                   "address: \"0.0.0.0\"");
    assert_refused("\"-03:30\"", "\"-15:00\"",
                   "f.toml:3: deployment.utc_offset: not an offset such as "
                   "-05:00: \"-15:00\"");
    assert_refused("10.2.0.0/16", "10.2.0.1/16",
                   "f.toml:46: block.network: not a network such as "
                   "10.1.0.0/16: \"10.2.0.1/16\"");
    assert_refused("name = \"r1\"", "name = \"r 1\"",
                   "f.toml:9: region.name: not a name (1 to 47 of A-Z a-z "
                   "0-9 . _ -): \"r 1\"");
    assert_refused("\"debug\"", "\"loud\"",
                   "f.toml:63: log.level: not one of error, warn, info, "
                   "debug: \"loud\"");
}

static void
test_undefined_references_are_refused(void **state)
{
    (void)state;
    assert_refused("default_home = \"r2\"", "default_home = \"r3\"",
                   "f.toml:4: deployment.default_home: no region is named "
                   "\"r3\"");
    assert_refused("region = \"r2\"", "region = \"r3\"",
                   "f.toml:17: failure_domain.region: no region is named "
                   "\"r3\"");
    assert_refused("to = \"r2\"", "to = \"r3\"",
                   "f.toml:20: link.to: no region is named \"r3\"");
    assert_refused("failure_domain = \"r1-a\"", "failure_domain = \"x\"",
                   "f.toml:24: entry_vm.failure_domain: no failure domain is "
                   "named \"x\"");
    assert_refused("service = \"s1\"", "service = \"s2\"",
                   "f.toml:39: backend_server.service: no service is named "
                   "\"s2\"");
    assert_refused("home = \"r1\"", "home = \"r3\"",
                   "f.toml:50: block.home: no region is named \"r3\"");
}

static void
test_duplicates_are_refused(void **state)
{
    (void)state;
    assert_refused("name = \"v2\"", "name = \"v1\"",
                   "f.toml:30: entry_vm.name: v1 is already used in line 23");
    assert_refused("name = \"b1\"", "name = \"v1\"",
                   "f.toml:38: backend_server.name: v1 is already used in "
                   "line 23");
    assert_refused("name = \"r1\"", "name = \"r2\"",
                   "f.toml:11: region.name: r2 is already used in line 9");
    assert_refused("name = \"r2-a\"", "name = \"r1-a\"",
                   "f.toml:16: failure_domain.name: r1-a is already used in "
                   "line 13");
    assert_refused("[[backend_server]]",
                   "[[service]]\nname = \"s1\"\n[[backend_server]]",
                   "f.toml:38: service.name: s1 is already used in line 34");
    assert_refused("admin_port = 82", "admin_port = 80",
                   "f.toml:28: entry_vm.admin_port: 10.0.0.1 port 80 is "
                   "already used in line 26");
    assert_refused("ip = \"10.0.0.2\"\nport = 9000",
                   "ip = \"10.0.0.9\"\nport = 9100",
                   "f.toml:42: backend_server.port: 10.0.0.9 port 9100 is "
                   "already used in line 7");
    assert_refused("10.2.0.0/16", "10.0.0.0/8",
                   "f.toml:48: block.network: the same network as another "
                   "block");
    assert_refused("to = \"r2\"", "to = \"r1\"",
                   "f.toml:20: link.to: the same region as from");
    assert_refused("[[entry_vm]]",
                   "[[link]]\nfrom = \"r1\"\nto = \"r2\"\n"
                   "mbit_per_s = 1\n[[entry_vm]]",
                   "f.toml:22: link: from r1 to r2 is already used "
                   "in line 18");
}

static void
test_unsafe_combinations_are_refused(void **state)
{
    (void)state;
    assert_refused("peer_key_file = \"peer.key\"\n", "",
                   "f.toml:59: security.peer_key_file: missing; optional on "
                   "loopback only");
    assert_refused(
        "admin_token_file = \"/etc/token\"\n", "",
        "f.toml:59: security.admin_token_file: missing; optional on "
        "loopback only");
    assert_refused("ip = \"10.0.0.9\"\nport = 9100", "",
                   "f.toml:5: store: needs ip and port, or embedded = true");
    assert_refused("ip = \"10.0.0.9\"\nport = 9100", "embedded = true",
                   "f.toml:6: store.embedded: true allows one entry VM "
                   "only, found 2");
    assert_refused("port = 9100", "port = 9100\nembedded = true",
                   "f.toml:8: store.embedded: can't be combined with ip "
                   "or port");
}

static void
test_number_of_tables_is_limited(void **state)
{
    (void)state;
    g_autoptr(GString) text = g_string_new(minimal);
    for (int i = 0; i < SasModel_MAX_REGIONS; i++) {
        g_string_append_printf(text, "[[region]]\nname = \"r%d\"\n", i);
    }
    g_autofree char *fitting = SasSettings_ListProblems(text->str, "f");
    assert_null(strstr(fitting, "more than"));
    g_string_append(text, "[[region]]\nname = \"one-more\"\n");
    g_autofree char *list = SasSettings_ListProblems(text->str, "f");
    assert_non_null(strstr(list, "f:45: region: more than 16 tables\n"));
}

static void
test_all_problems_are_listed_in_order(void **state)
{
    (void)state;
    g_autofree char *first = replace(minimal, "slots = 2", "slots = 0");
    g_autofree char *text = replace(first, "\"v1\"", "7");
    g_autofree char *list = SasSettings_ListProblems(text, "f");
    assert_string_equal(
        list, "f:4: entry_vm.name: must be a string, is an integer\n"
              "f:12: backend_server.slots: 0 is not between 1 and 100000\n");
    assert_null(SasSettings_ListProblems(minimal, "f"));
    g_autofree char *empty = SasSettings_ListProblems("", "f");
    assert_non_null(strstr(empty, "f:1: entry_vm: at least one"));
}

static void
test_vm_is_found_by_name(void **state)
{
    (void)state;
    struct sas_settings settings;
    struct sas_error error = {0};
    assert_int_equal(SasSettings_LoadText(&settings, full, "f", NULL), 0);
    assert_int_equal(SasSettings_FindVm(&settings, "v2", &error), 1);
    assert_int_equal(SasSettings_FindVm(&settings, "v3", &error), -1);
    assert_string_equal(
        error.text,
        "no entry VM is named \"v3\"; the settings define: v1, v2");
    SasSettings_Unload(&settings);
}

static void
test_missing_file_is_an_io_error(void **state)
{
    (void)state;
    struct sas_settings settings;
    struct sas_error error = {0};
    assert_int_equal(SasSettings_Load(&settings, "/nowhere.toml", &error), -1);
    assert_int_equal(error.code, SAS_EIO);
    assert_non_null(strstr(error.text, "/nowhere.toml"));
}

static void
assert_example(const char *file, const char *services[2], const int counts[2],
               int once_routes)
{
    g_autofree char *path = g_build_filename(SAS_EXAMPLES, file, NULL);
    struct sas_settings settings;
    struct sas_error error = {0};
    if (SasSettings_Load(&settings, path, &error) != 0) {
        fail_msg("%s", error.text);
    }
    const struct sas_model *model = &settings.model;
    assert_int_equal(model->region_count, 3);
    assert_int_equal(model->domain_count, 6);
    assert_int_equal(model->link_count, 6);
    assert_int_equal(model->vm_count, 9);
    assert_int_equal(model->backend_count, counts[0] + counts[1]);
    for (int i = 0; i < 2; i++) {
        int service = SasModel_FindService(model, services[i]);
        int slots = 0;
        for (int region = 0; region < model->region_count; region++) {
            slots += SasModel_CountSlots(model, service, region);
        }
        assert_int_equal(slots, 3 * counts[i]);
    }
    assert_int_equal(model->services[0].once_route_count, once_routes);
    SasSettings_Unload(&settings);
}

static void
test_examples_have_expected_sizes(void **state)
{
    (void)state;
    assert_example("hottes.toml", (const char *[]){"dossiers", "galerie"},
                   (const int[]){24, 12}, 2);
    assert_example("qureshi.toml",
                   (const char *[]){"filing-desk", "scan-vault"},
                   (const int[]){22, 12}, 1);
    struct sas_settings settings;
    assert_int_equal(
        SasSettings_Load(&settings, SAS_EXAMPLES "/minimal.toml", NULL), 0);
    SasSettings_Unload(&settings);
}

/* Checks an example sheet against the model of the settings next to it. */
static void
assert_sheet_valid(const char *settings_file, const char *sheet_file, int rows)
{
    g_autofree char *path = g_build_filename(SAS_EXAMPLES, sheet_file, NULL);
    g_autofree char *text = NULL;
    gsize size;
    assert_true(g_file_get_contents(path, &text, &size, NULL));
    g_autofree char *toml =
        g_build_filename(SAS_EXAMPLES, settings_file, NULL);
    struct sas_settings settings;
    assert_int_equal(SasSettings_Load(&settings, toml, NULL), 0);
    struct sas_sheet sheet;
    struct sas_sheet_error error = {0};
    int result = SasSheet_Parse(&sheet, &settings.model, text, size, NOON_MS,
                                settings.utc_offset_s, &error);
    if (result == 0) {
        result = SasSheet_Check(&sheet, &settings.model, &error);
    }
    if (result != 0) {
        fail_msg("%s, row %d, column %s: %s", sheet_file, error.row,
                 error.column, error.reason);
    }
    assert_int_equal(sheet.row_count, rows);
    SasSheet_Free(&sheet);
    SasSettings_Unload(&settings);
}

static void
test_example_sheets_match_their_settings(void **state)
{
    (void)state;
    assert_sheet_valid("hottes.toml", "hottes-morning.csv", 6);
    assert_sheet_valid("qureshi.toml", "qureshi-morning.csv", 6);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_minimal_file_has_defaults),
        cmocka_unit_test(test_every_key_is_read),
        cmocka_unit_test(test_unknown_keys_and_wrong_types_are_refused),
        cmocka_unit_test(test_syntax_errors_report_their_line),
        cmocka_unit_test(test_invalid_values_are_refused),
        cmocka_unit_test(test_undefined_references_are_refused),
        cmocka_unit_test(test_duplicates_are_refused),
        cmocka_unit_test(test_unsafe_combinations_are_refused),
        cmocka_unit_test(test_number_of_tables_is_limited),
        cmocka_unit_test(test_all_problems_are_listed_in_order),
        cmocka_unit_test(test_vm_is_found_by_name),
        cmocka_unit_test(test_missing_file_is_an_io_error),
        cmocka_unit_test(test_examples_have_expected_sizes),
        cmocka_unit_test(test_example_sheets_match_their_settings),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
