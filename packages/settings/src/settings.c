#include "sas/settings.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "loader.h"
#include "sas/log.h"

#define STEP "settings.load"

#define DEFAULT_BODY_LIMIT 32000000
#define DEFAULT_BODIES_LIMIT 256000000
#define DEFAULT_QUEUE_WAIT_MS 250
#define DEFAULT_SERVER_QUEUE 3
#define MAX_SERVER_QUEUE 100
#define DEFAULT_RETRY_SHARE 0.1
/* Exceeds the longest TTL of a lookup answer, 25 s. */
#define DEFAULT_DRAIN_NOTICE_MS 30000
/* Exceeds DEFAULT_DRAIN_NOTICE_MS plus SasLoader_MAX_DEADLINE_MS, 330 s. */
#define DEFAULT_STOP_LIMIT_MS 360000

#define MAX_STOP_MS 3600000
#define MAX_MEGABYTES 1000000
#define MAX_UTC_OFFSET_S (14 * 3600)

static void load_document(struct sas_loader *loader);
static struct sas_toml *parse(struct sas_reader *reader, const char *text);
static void resolve_path(char **path, const char *name);

int
SasSettings_Load(struct sas_settings *settings, const char *path,
                 struct sas_error *error)
{
    g_autofree char *text = NULL;
    g_autoptr(GError) failure = NULL;
    if (!g_file_get_contents(path, &text, NULL, &failure)) {
        SasError_Set(error, SAS_EIO, STEP, "", "%s", failure->message);
        return -1;
    }
    return SasSettings_LoadText(settings, text, path, error);
}

/* Fills in the settings, and the reader with the problems, sorted by line. The
 * caller releases both. */
static void
load(struct sas_settings *settings, const char *text,
     struct sas_reader *reader)
{
    memset(settings, 0, sizeof(*settings));
    struct sas_loader loader = {
        .settings = settings,
        .model = &settings->model,
        .first_lines =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
    };
    SasReader_Init(&loader.reader, &settings->model);
    struct sas_toml *document = parse(&loader.reader, text);
    if (document != NULL) {
        loader.document = document;
        load_document(&loader);
    }
    SasToml_Free(document);
    g_hash_table_destroy(loader.first_lines);
    SasReader_SortProblems(&loader.reader);
    *reader = loader.reader;
}

int
SasSettings_LoadText(struct sas_settings *settings, const char *text,
                     const char *name, struct sas_error *error)
{
    struct sas_reader reader;
    load(settings, text, &reader);
    if (reader.problems->len > 0) {
        const struct sas_problem *first =
            &g_array_index(reader.problems, struct sas_problem, 0);
        SasError_Set(error, SAS_EINVAL, STEP, "", "%s:%d: %s", name,
                     first->line, first->text);
        SasReader_Clear(&reader);
        SasSettings_Unload(settings);
        return -1;
    }
    SasReader_Clear(&reader);
    resolve_path(&settings->peer_key_file, name);
    resolve_path(&settings->admin_token_file, name);
    return 0;
}

void
SasSettings_Unload(struct sas_settings *settings)
{
    SasModel_Free(&settings->model);
    g_free(settings->peer_key_file);
    g_free(settings->admin_token_file);
    g_free(settings->log_level);
    g_free(settings->placement);
    memset(settings, 0, sizeof(*settings));
}

char *
SasSettings_ListProblems(const char *text, const char *name)
{
    struct sas_settings settings;
    struct sas_reader reader;
    load(&settings, text, &reader);
    SasSettings_Unload(&settings);
    GString *list = g_string_new(NULL);
    for (guint i = 0; i < reader.problems->len; i++) {
        const struct sas_problem *problem =
            &g_array_index(reader.problems, struct sas_problem, i);
        g_string_append_printf(list, "%s:%d: %s\n", name, problem->line,
                               problem->text);
    }
    SasReader_Clear(&reader);
    return g_string_free(list, list->len == 0);
}

int
SasSettings_FindVm(const struct sas_settings *settings, const char *name,
                   struct sas_error *error)
{
    int vm = SasModel_FindVm(&settings->model, name);
    if (vm != SasModel_NONE) {
        return vm;
    }
    g_autoptr(GString) names = g_string_new(NULL);
    for (int i = 0; i < settings->model.vm_count; i++) {
        g_string_append_printf(names, "%s%s", i == 0 ? "" : ", ",
                               settings->model.vms[i].name);
    }
    SasError_Set(error, SAS_ENOTFOUND, "settings.vm", "",
                 "no entry VM is named \"%s\"; the settings define: %s", name,
                 names->str);
    return SasModel_NONE;
}

static struct sas_toml *
parse(struct sas_reader *reader, const char *text)
{
    int line = 1;
    g_autofree char *reason = NULL;
    struct sas_toml *document =
        SasToml_Parse(text, strlen(text), &line, &reason);
    if (document == NULL) {
        SasReader_AddProblem(reader, line, "syntax", NULL, "%s", reason);
    }
    return document;
}

/* Resolves a relative path against the directory of the settings file, not
 * the working directory. */
static void
resolve_path(char **path, const char *name)
{
    if (*path == NULL || g_path_is_absolute(*path)) {
        return;
    }
    g_autofree char *folder = g_path_get_dirname(name);
    char *joined = g_build_filename(folder, *path, NULL);
    g_free(*path);
    *path = joined;
}

static void
check_sections(struct sas_loader *loader)
{
    static const char *const known[] = {
        "deployment", "store",    "region",   "failure_domain",
        "link",       "entry_vm", "service",  "backend_server",
        "block",      "limits",   "security", "log",
    };
    const struct sas_toml *document = loader->document;
    for (int i = 0; i < document->child_count; i++) {
        const struct sas_toml *section = &document->children[i];
        bool found = false;
        for (size_t j = 0; j < G_N_ELEMENTS(known); j++) {
            found = found || strcmp(section->key, known[j]) == 0;
        }
        if (!found) {
            SasReader_AddProblem(&loader->reader, section->line, "",
                                 section->key, "unknown section");
        }
    }
}

/* Converts "+05:00" or "-03:30" to seconds; false if it is not an offset of
 * this form, up to 14 hours. */
static bool
parse_utc_offset(const char *text, int64_t *offset_s)
{
    if (strlen(text) != 6 || strchr("+-", text[0]) == NULL || text[3] != ':') {
        return false;
    }
    for (int i = 1; i < 6; i++) {
        if (i != 3 && !g_ascii_isdigit(text[i])) {
            return false;
        }
    }
    int hours = (text[1] - '0') * 10 + text[2] - '0';
    int minutes = (text[4] - '0') * 10 + text[5] - '0';
    int seconds = hours * 3600 + minutes * 60;
    *offset_s = text[0] == '-' ? -seconds : seconds;
    return minutes < 60 && seconds <= MAX_UTC_OFFSET_S;
}

static void
load_deployment(struct sas_loader *loader)
{
    struct deployment_row {
        char name[SasModel_NAME_SIZE];
        char *utc_offset;
        int default_home;
    };
    static const struct sas_field fields[] = {
        {SasLoader_FIELD(deployment_row, name, NAME)},
        {SasLoader_FIELD(deployment_row, utc_offset, TEXT)},
        {SasLoader_FIELD(deployment_row, default_home, REFERENCE),
         .find = SasModel_FindRegion, .refers_to = "region"},
    };
    const struct sas_toml *table = SasLoader_GetSection(loader, "deployment");
    struct deployment_row row = {.name = "sassafrassill"};
    SasReader_ReadTable(&loader->reader, "deployment", table, fields,
                        G_N_ELEMENTS(fields), &row);
    struct sas_settings *settings = loader->settings;
    g_strlcpy(settings->name, row.name, sizeof(settings->name));
    settings->model.default_home = row.default_home;
    if (row.utc_offset != NULL &&
        !parse_utc_offset(row.utc_offset, &settings->utc_offset_s)) {
        SasReader_AddProblem(
            &loader->reader, SasLoader_GetLine(table, "utc_offset"),
            "deployment", "utc_offset", "not an offset such as -05:00: \"%s\"",
            row.utc_offset);
    }
    g_free(row.utc_offset);
}

static void
load_store(struct sas_loader *loader)
{
    struct store_row {
        char ip[SasModel_IP_SIZE];
        int port;
        bool embedded;
    };
    static const struct sas_field fields[] = {
        {SasLoader_FIELD(store_row, ip, IP)},
        {SasLoader_FIELD(store_row, port, INTEGER), .min = 1,
         .max = SasLoader_MAX_PORT},
        {SasLoader_FIELD(store_row, embedded, BOOLEAN)},
    };
    const struct sas_toml *table = SasLoader_GetSection(loader, "store");
    struct store_row row = {.embedded = false};
    guint problem_count = loader->reader.problems->len;
    SasReader_ReadTable(&loader->reader, "store", table, fields,
                        G_N_ELEMENTS(fields), &row);
    loader->settings->embedded_store = row.embedded;
    g_strlcpy(loader->settings->store.ip, row.ip,
              sizeof(loader->settings->store.ip));
    loader->settings->store.port = row.port;
    SasLoader_CheckUniqueAddress(loader, &loader->settings->store, table,
                                 "store", "port");
    if (loader->reader.problems->len > problem_count) {
        return;
    }
    bool has_address = row.ip[0] != '\0' && row.port != 0;
    if (!row.embedded && !has_address) {
        SasReader_AddProblem(&loader->reader, table->line, "store", NULL,
                             "needs ip and port, or embedded = true");
    }
    if (row.embedded && (row.ip[0] != '\0' || row.port != 0)) {
        SasReader_AddProblem(&loader->reader,
                             SasLoader_GetLine(table, "embedded"), "store",
                             "embedded", "can't be combined with ip or port");
    }
}

/* A request accepted at the end of the drain notice may take its whole
 * deadline; a shorter limit would fail it in a graceful shutdown. */
static void
check_stop_limit(struct sas_loader *loader, const struct sas_toml *table,
                 int64_t drain_notice_ms, int64_t stop_limit_ms)
{
    int64_t deadline_ms = 0;
    for (int i = 0; i < loader->model->service_count; i++) {
        deadline_ms = MAX(deadline_ms, loader->model->services[i].deadline_ms);
    }
    if (stop_limit_ms < drain_notice_ms + deadline_ms) {
        SasReader_AddProblem(&loader->reader,
                             SasLoader_GetLine(table, "stop_limit_ms"),
                             "limits", "stop_limit_ms",
                             "less than drain_notice_ms plus the longest "
                             "deadline_ms, %" PRId64,
                             drain_notice_ms + deadline_ms);
    }
}

static void
load_limits(struct sas_loader *loader)
{
    struct limits_row {
        size_t body_limit_mb;
        size_t bodies_limit_mb;
        int64_t queue_wait_ms;
        int server_queue;
        double retry_share;
        int64_t drain_notice_ms;
        int64_t stop_limit_ms;
        char *placement;
    };
    static const struct sas_field fields[] = {
        {SasLoader_FIELD(limits_row, body_limit_mb, MEGABYTES), .min = 1,
         .max = MAX_MEGABYTES},
        {SasLoader_FIELD(limits_row, bodies_limit_mb, MEGABYTES), .min = 1,
         .max = MAX_MEGABYTES},
        {SasLoader_FIELD(limits_row, queue_wait_ms, MS), .min = 0,
         .max = SasLoader_MAX_DEADLINE_MS},
        {SasLoader_FIELD(limits_row, server_queue, INTEGER), .min = 0,
         .max = MAX_SERVER_QUEUE},
        {SasLoader_FIELD(limits_row, retry_share, REAL), .min = 0, .max = 1},
        {SasLoader_FIELD(limits_row, drain_notice_ms, MS), .min = 0,
         .max = MAX_STOP_MS},
        {SasLoader_FIELD(limits_row, stop_limit_ms, MS), .min = 1,
         .max = MAX_STOP_MS},
        {SasLoader_FIELD(limits_row, placement, TEXT)},
    };
    const struct sas_toml *table = SasLoader_GetSection(loader, "limits");
    struct limits_row row = {
        .body_limit_mb = DEFAULT_BODY_LIMIT,
        .bodies_limit_mb = DEFAULT_BODIES_LIMIT,
        .queue_wait_ms = DEFAULT_QUEUE_WAIT_MS,
        .server_queue = DEFAULT_SERVER_QUEUE,
        .retry_share = DEFAULT_RETRY_SHARE,
        .drain_notice_ms = DEFAULT_DRAIN_NOTICE_MS,
        .stop_limit_ms = DEFAULT_STOP_LIMIT_MS,
        .placement = g_strdup(""),
    };
    SasReader_ReadTable(&loader->reader, "limits", table, fields,
                        G_N_ELEMENTS(fields), &row);
    if (row.bodies_limit_mb < row.body_limit_mb) {
        SasReader_AddProblem(
            &loader->reader, SasLoader_GetLine(table, "bodies_limit_mb"),
            "limits", "bodies_limit_mb", "less than body_limit_mb");
    }
    check_stop_limit(loader, table, row.drain_notice_ms, row.stop_limit_ms);
    struct sas_settings *settings = loader->settings;
    settings->body_limit = row.body_limit_mb;
    settings->bodies_limit = row.bodies_limit_mb;
    settings->queue_wait_ms = row.queue_wait_ms;
    settings->server_queue = row.server_queue;
    settings->retry_share = row.retry_share;
    settings->drain_notice_ms = row.drain_notice_ms;
    settings->stop_limit_ms = row.stop_limit_ms;
    settings->placement = row.placement;
}

static void
load_security(struct sas_loader *loader)
{
    static const struct sas_field fields[] = {
        {SasLoader_FIELD(sas_settings, peer_key_file, TEXT)},
        {SasLoader_FIELD(sas_settings, admin_token_file, TEXT)},
    };
    SasReader_ReadTable(&loader->reader, "security",
                        SasLoader_GetSection(loader, "security"), fields,
                        G_N_ELEMENTS(fields), loader->settings);
}

static void
load_log(struct sas_loader *loader)
{
    struct log_row {
        char *level;
    };
    static const struct sas_field fields[] = {
        {SasLoader_FIELD(log_row, level, TEXT)},
    };
    const struct sas_toml *table = SasLoader_GetSection(loader, "log");
    struct log_row row = {.level = g_strdup("info")};
    SasReader_ReadTable(&loader->reader, "log", table, fields,
                        G_N_ELEMENTS(fields), &row);
    loader->settings->log_level = row.level;
    if (SasLog_FindLevel(row.level) < 0) {
        SasReader_AddProblem(
            &loader->reader, SasLoader_GetLine(table, "level"), "log", "level",
            "not one of error, warn, info, debug: \"%s\"", row.level);
    }
}

static bool
is_loopback(const struct sas_address *address)
{
    return g_str_has_prefix(address->ip, "127.") ||
           strcmp(address->ip, "::1") == 0;
}

/* Adds a problem for each of these sections without a row. */
static void
check_presence(struct sas_loader *loader)
{
    const struct sas_model *model = loader->model;
    const struct {
        const char *section;
        int count;
    } needed[] = {
        {"entry_vm", model->vm_count},
        {"service", model->service_count},
        {"backend_server", model->backend_count},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(needed); i++) {
        if (needed[i].count == 0) {
            SasReader_AddProblem(&loader->reader, 1, needed[i].section, NULL,
                                 "at least one [[%s]] is needed",
                                 needed[i].section);
        }
    }
}

/* The shared key and the token are optional only if all entry VMs listen on
 * loopback: elsewhere any host that reaches the ports could pose as a peer or
 * as an operator. A single entry VM has no peers and needs no key. */
static void
check_security(struct sas_loader *loader)
{
    const struct sas_settings *settings = loader->settings;
    bool loopback = true;
    for (int i = 0; i < settings->model.vm_count; i++) {
        loopback = loopback && is_loopback(&settings->model.vms[i].caller);
    }
    if (loopback) {
        return;
    }
    int line = SasLoader_GetLine(loader->document, "security");
    if (settings->peer_key_file == NULL && settings->model.vm_count > 1) {
        SasReader_AddProblem(&loader->reader, line, "security",
                             "peer_key_file",
                             "missing; optional on loopback only");
    }
    if (settings->admin_token_file == NULL) {
        SasReader_AddProblem(&loader->reader, line, "security",
                             "admin_token_file",
                             "missing; optional on loopback only");
    }
}

/* Each process would have its own embedded store and wouldn't see the claims
 * and configurations of the others. */
static void
check_embedded_store(struct sas_loader *loader)
{
    if (loader->settings->embedded_store && loader->model->vm_count > 1) {
        const struct sas_toml *table = SasLoader_GetSection(loader, "store");
        SasReader_AddProblem(
            &loader->reader, SasLoader_GetLine(table, "embedded"), "store",
            "embedded", "true allows one entry VM only, found %d",
            loader->model->vm_count);
    }
}

static void
load_document(struct sas_loader *loader)
{
    check_sections(loader);
    load_store(loader);
    SasLoader_LoadTables(loader);
    load_deployment(loader);
    load_limits(loader);
    load_security(loader);
    load_log(loader);
    check_presence(loader);
    check_security(loader);
    check_embedded_store(loader);
}
