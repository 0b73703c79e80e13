/* sassafrassilld - the process of an entry VM. */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "live_sheet.h"
#include "node.h"
#include "sas/log.h"
#include "sas/secret.h"
#include "sas/wall.h"
#include "sas/platform.h"
#include "sas/proto.h"

enum {
    EXIT_USAGE = 2
};

/* A line for each request of an ordinary second on a small entry VM; at some
 * 15 us a line the log takes under 1% of its core share. */
#define LOG_LINES_PER_S 200

#define TOKEN_VARIABLE "SASSAFRASSILL_OPERATOR_TOKEN"
#define PEER_KEY_VARIABLE "SASSAFRASSILL_PEER_KEY"

/* For tests of clocks that are wrong: milliseconds that this process's time of
 * day is ahead. */
#define CLOCK_VARIABLE "SASSAFRASSILL_CLOCK_OFFSET_MS"

struct options {
    char *settings;
    char *platform;
    char *vm;
    char *log;
    gboolean check;
};

static int
fail(const char *text)
{
    fprintf(stderr, "sassafrassilld: %s\n", text);
    return EXIT_USAGE;
}

static int
run(const struct options *options)
{
    struct sas_settings settings;
    struct sas_error error = {0};
    if (SasSettings_Load(&settings, options->settings, &error) != 0) {
        return fail(error.text);
    }
    if (options->check) {
        printf("%s: ok\n", options->settings);
        SasSettings_Unload(&settings);
        return 0;
    }
    const char *name = options->vm;
    if (name == NULL && settings.model.vm_count == 1) {
        name = settings.model.vms[0].name;
    }
    if (name == NULL) {
        return fail("--vm NAME is needed: the file has several entry VMs");
    }
    int own_vm = SasSettings_FindVm(&settings, name, &error);
    if (own_vm == SasModel_NONE) {
        return fail(error.text);
    }
    if (SasLog_Open(name, options->log, settings.log_level, &error) != 0) {
        return fail(error.text);
    }
    int status = SasNode_Run(&settings, own_vm);
    SasLog_Close();
    SasSettings_Unload(&settings);
    return status;
}

struct live {
    const char *path;
    struct sas_entry_settings settings;
};

static void
reload(void *data)
{
    struct live *live = data;
    struct sas_entry_settings settings;
    struct sas_error error = {0};
    if (SasPlatform_LoadSettings(&settings, live->path, &error) != 0) {
        SasLog_WriteError(SasLog_ERROR, &error);
        return;
    }
    /* Addresses and places are fixed for a process. */
    live->settings.bounds = settings.bounds;
    SasLog_Write(SasLog_INFO, "settings.apply", live->path,
                 "drain_ms=%" G_GINT64_FORMAT " grace_ms=%" G_GINT64_FORMAT,
                 settings.bounds.drain_ms, settings.bounds.grace_ms);
}

/* The platform keeps no files for a process, so the token comes as a variable
 * of its environment. 0, or -1 where it is too short to be one. */
static int
read_token(const char **token)
{
    *token = g_getenv(TOKEN_VARIABLE);
    if (*token == NULL || (*token)[0] == '\0') {
        *token = NULL;
        return 0;
    }
    return strlen(*token) < SasSecret_MIN_SIZE ? -1 : 0;
}

/* The same for the key that all entry VMs share. */
static int
read_peer_key(struct sas_proto_key **key, struct sas_error *error)
{
    const char *text = g_getenv(PEER_KEY_VARIABLE);
    if (text == NULL || text[0] == '\0') {
        return 0;
    }
    *key = SasProto_NewKey((const uint8_t *)text, strlen(text), error);
    return *key != NULL ? 0 : -1;
}

/* An entry VM on the users' platform: everything beyond its own addresses is
 * learned at run time. */
static int
run_live(const struct options *options)
{
    struct live live = {.path = options->platform};
    struct sas_error error = {0};
    if (SasPlatform_LoadSettings(&live.settings, live.path, &error) != 0) {
        return fail(error.text);
    }
    const char *offset = g_getenv(CLOCK_VARIABLE);
    if (offset != NULL) {
        SasWall_SetOffset(g_ascii_strtoll(offset, NULL, 10));
    }
    if (read_peer_key(&live.settings.peer_key, &error) != 0) {
        g_autofree char *text =
            g_strdup_printf("%s: %s", PEER_KEY_VARIABLE, error.text);
        return fail(text);
    }
    const char *token = NULL;
    if (read_token(&token) != 0) {
        return fail(TOKEN_VARIABLE ": at least 16 characters are needed");
    }
    if (options->check) {
        printf("%s: ok\n", live.path);
        return 0;
    }
    live.settings.started_at = SasWall_GetMs();
    if (SasLog_Open(live.settings.name, "-", "info", &error) != 0) {
        return fail(error.text);
    }
    SasLog_SetRate(LOG_LINES_PER_S);
    uv_loop_t loop;
    uv_loop_init(&loop);
    signal(SIGPIPE, SIG_IGN);
    struct sas_fleet *fleet = SasFleet_New();
    for (int i = 0; i < live.settings.place_count; i++) {
        SasFleet_AddZone(fleet, live.settings.places[i].zone,
                         live.settings.places[i].region);
    }
    struct sas_source *source = SasPlatform_Open(&loop, fleet, &live.settings);
    struct sas_steering *steering = SasSteering_New(fleet);
    struct sas_gateway_options gateway_options = {
        .loop = &loop,
        .fleet = fleet,
        .settings = &live.settings,
        .wire = SasPlatform_GetWire(),
        .source = source,
        .steering = steering,
    };
    struct sas_gateway *gateway = SasGateway_Open(&gateway_options, &error);
    if (gateway == NULL) {
        SasLog_WriteError(SasLog_ERROR, &error);
        return EXIT_FAILURE;
    }
    SasGateway_SetReload(gateway, live.path, reload, &live);
    struct sas_live_sheet_parts parts = {
        .loop = &loop,
        .fleet = fleet,
        .gateway = gateway,
        .steering = steering,
        .store = SasPlatform_OpenStore(&loop, &live.settings,
                                       SasGateway_GetMetrics(gateway)),
        .max_object = SasPlatform_MAX_OBJECT,
        .settings = &live.settings,
        .token = token,
    };
    struct sas_live_sheet *sheet = SasLiveSheet_Open(&parts, &error);
    if (sheet == NULL) {
        SasLog_WriteError(SasLog_ERROR, &error);
        return EXIT_FAILURE;
    }
    int status = SasGateway_Run(gateway);
    SasLiveSheet_Close(sheet);
    SasStore_Close(parts.store);
    SasGateway_Close(gateway);
    SasPlatform_Close(source);
    uv_loop_close(&loop);
    SasSteering_Free(steering);
    SasFleet_Free(fleet);
    SasProto_FreeKey(live.settings.peer_key);
    SasLog_Close();
    return status;
}

int
main(int argc, char **argv)
{
    struct options options = {0};
    const GOptionEntry entries[] = {
        {"settings", 's', 0, G_OPTION_ARG_FILENAME, &options.settings,
         "The deployment's settings (TOML)", "FILE"},
        {"platform-settings", 'p', 0, G_OPTION_ARG_FILENAME, &options.platform,
         "Run on the users' platform, by its settings file", "FILE"},
        {"vm", 'v', 0, G_OPTION_ARG_STRING, &options.vm,
         "Which entry VM of the settings this process is", "NAME"},
        {"log", 'l', 0, G_OPTION_ARG_FILENAME, &options.log,
         "Append the log to this file (default: standard error)", "FILE"},
        {"check-settings", 0, 0, G_OPTION_ARG_NONE, &options.check,
         "Check the settings and exit", NULL},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
    };
    GOptionContext *context = g_option_context_new("- steer traffic");
    g_option_context_set_description(
        context, "Exit status: 0 stopped gracefully, 1 could not start, "
                 "2 wrong usage or settings, 3 the stop outlasted its "
                 "limit.\n");
    g_option_context_add_main_entries(context, entries, NULL);
    g_autoptr(GError) reason = NULL;
    bool parsed = g_option_context_parse(context, &argc, &argv, &reason);
    g_option_context_free(context);
    if (!parsed) {
        return fail(reason->message);
    }
    if ((options.settings == NULL) == (options.platform == NULL)) {
        return fail("one of --settings FILE and --platform-settings FILE is "
                    "needed; see --help");
    }
    int status = options.platform != NULL ? run_live(&options) : run(&options);
    g_free(options.platform);
    g_free(options.settings);
    g_free(options.vm);
    g_free(options.log);
    return status;
}
