#include "platform_mode.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sheet_task.h"
#include "sas/log.h"
#include "sas/platform.h"
#include "sas/proto.h"
#include "sas/secret.h"
#include "sas/wall_clock.h"
#include "signals.h"

enum {
    EXIT_USAGE = 2
};

/* About a line for each request of a small entry VM under ordinary load; at
 * some 15 us a line, logging takes under 1% of its core share. */
#define LOG_LINES_PER_S 200

#define TOKEN_VARIABLE "SASSAFRASSILL_OPERATOR_TOKEN"
#define PEER_KEY_VARIABLE "SASSAFRASSILL_PEER_KEY"

/* For tests of wrong clocks: milliseconds that this process's wall clock is
 * ahead. */
#define CLOCK_VARIABLE "SASSAFRASSILL_CLOCK_OFFSET_MS"

struct platform_mode {
    const char *path;
    struct sas_entry_settings settings;
    const char *token; /* operators' bearer token; NULL: none */
    uv_loop_t loop;
    struct sas_fleet *fleet;
    struct sas_steering *steering;
    struct sas_source *source;
    struct sas_gateway *gateway;
    struct sas_store *store;
    struct sas_sheet_task *sheet_task;
    uv_timer_t deadline_timer; /* of the wait for admin calls */
};

static void
reload(void *data)
{
    struct platform_mode *mode = data;
    struct sas_entry_settings settings;
    struct sas_error error = {0};
    if (SasPlatform_LoadSettings(&settings, mode->path, &error) != 0) {
        SasLog_WriteError(SasLog_ERROR, &error);
        return;
    }
    /* Addresses and places can't change while the process runs. */
    mode->settings.bounds = settings.bounds;
    SasLog_Write(SasLog_INFO, "settings.apply", mode->path,
                 "drain_ms=%" G_GINT64_FORMAT " grace_ms=%" G_GINT64_FORMAT,
                 settings.bounds.drain_ms, settings.bounds.grace_ms);
}

/* Settings. */

static int
read_token(struct platform_mode *mode, struct sas_error *error)
{
    mode->token = g_getenv(TOKEN_VARIABLE);
    if (mode->token == NULL || mode->token[0] == '\0') {
        mode->token = NULL;
        return 0;
    }
    if (strlen(mode->token) < SasSecret_MIN_SIZE) {
        SasError_Set(error, SAS_EINVAL, "settings", "",
                     TOKEN_VARIABLE ": at least %d characters are needed",
                     SasSecret_MIN_SIZE);
        return -1;
    }
    return 0;
}

static int
read_peer_key(struct platform_mode *mode, struct sas_error *error)
{
    const char *text = g_getenv(PEER_KEY_VARIABLE);
    if (text == NULL || text[0] == '\0') {
        return 0;
    }
    struct sas_error cause = {0};
    mode->settings.peer_key =
        SasProto_NewKey((const uint8_t *)text, strlen(text), &cause);
    if (mode->settings.peer_key == NULL) {
        SasError_Set(error, SAS_EINVAL, "settings", "",
                     PEER_KEY_VARIABLE ": %s", cause.text);
        return -1;
    }
    return 0;
}

static int
load(struct platform_mode *mode, struct sas_error *error)
{
    if (SasPlatform_LoadSettings(&mode->settings, mode->path, error) != 0) {
        return -1;
    }
    const char *offset = g_getenv(CLOCK_VARIABLE);
    if (offset != NULL) {
        SasWallClock_SetOffset(g_ascii_strtoll(offset, NULL, 10));
    }
    mode->settings.started_at = SasWallClock_GetMs();
    return read_peer_key(mode, error) != 0 ? -1 : read_token(mode, error);
}

/* Opening and closing. */

static void
open_fleet(struct platform_mode *mode)
{
    mode->fleet = SasFleet_New();
    for (int i = 0; i < mode->settings.place_count; i++) {
        SasFleet_AddZone(mode->fleet, mode->settings.places[i].zone,
                         mode->settings.places[i].region);
    }
    mode->steering = SasSteering_New(mode->fleet);
}

static int
open_gateway(struct platform_mode *mode, struct sas_error *error)
{
    mode->source = SasPlatform_Open(&mode->loop, mode->fleet, &mode->settings);
    struct sas_gateway_options options = {
        .loop = &mode->loop,
        .fleet = mode->fleet,
        .settings = &mode->settings,
        .wire = SasPlatform_GetWire(),
        .source = mode->source,
        .steering = mode->steering,
    };
    mode->gateway = SasGateway_Open(&options, error);
    if (mode->gateway == NULL) {
        return -1;
    }
    SasGateway_SetReload(mode->gateway, mode->path, reload, mode);
    return 0;
}

static int
open_sheet(struct platform_mode *mode, struct sas_error *error)
{
    mode->store = SasPlatform_OpenStore(&mode->loop, &mode->settings,
                                        SasGateway_GetMetrics(mode->gateway));
    struct sas_sheet_task_options options = {
        .loop = &mode->loop,
        .fleet = mode->fleet,
        .gateway = mode->gateway,
        .steering = mode->steering,
        .store = mode->store,
        .max_object = SasPlatform_MAX_OBJECT,
        .settings = &mode->settings,
        .token = mode->token,
    };
    mode->sheet_task = SasSheetTask_Open(&options, error);
    return mode->sheet_task != NULL ? 0 : -1;
}

static void
on_deadline(uv_timer_t *timer)
{
    (void)timer; /* only ends the turn of the loop */
}

/* Callers have their answers; waits for the operators' calls that the store
 * has not answered. */
static void
await_admin_calls(struct platform_mode *mode)
{
    int64_t left_ms = SasGateway_GetTimeLeft(mode->gateway);
    uv_timer_init(&mode->loop, &mode->deadline_timer);
    uv_timer_start(&mode->deadline_timer, on_deadline,
                   (uint64_t)MAX(left_ms, 0), 0);
    while (SasSheetTask_End(mode->sheet_task) > 0 &&
           SasGateway_GetTimeLeft(mode->gateway) > 0) {
        uv_run(&mode->loop, UV_RUN_ONCE);
    }
    uv_close((uv_handle_t *)&mode->deadline_timer, NULL);
}

static void
close_all(struct platform_mode *mode)
{
    SasSheetTask_Close(mode->sheet_task);
    SasStore_Close(mode->store);
    SasGateway_Close(mode->gateway);
    SasPlatform_Close(mode->source);
    uv_loop_close(&mode->loop);
    SasSteering_Free(mode->steering);
    SasFleet_Free(mode->fleet);
    SasProto_FreeKey(mode->settings.peer_key);
}

static int
run(struct platform_mode *mode)
{
    struct sas_error error = {0};
    uv_loop_init(&mode->loop);
    signal(SIGPIPE, SIG_IGN);
    open_fleet(mode);
    if (open_gateway(mode, &error) != 0 || open_sheet(mode, &error) != 0) {
        SasLog_WriteError(SasLog_ERROR, &error);
        return EXIT_FAILURE;
    }
    SasSignals_Unblock();
    int status = SasGateway_Run(mode->gateway);
    SasSignals_Block();
    await_admin_calls(mode);
    close_all(mode);
    return status;
}

int
SasPlatformMode_Run(const char *settings_path, bool check)
{
    /* Not on the stack: with an admin connection open at the end, h2o's
     * handles and the loop's memory stay in use until the process exits. */
    static struct platform_mode mode;
    mode.path = settings_path;
    struct sas_error error = {0};
    if (load(&mode, &error) != 0) {
        fprintf(stderr, "sassafrassilld: %s\n", error.text);
        return EXIT_USAGE;
    }
    if (check) {
        printf("%s: ok\n", settings_path);
        SasProto_FreeKey(mode.settings.peer_key);
        return 0;
    }
    if (SasLog_Open(mode.settings.name, "-", "info", &error) != 0) {
        fprintf(stderr, "sassafrassilld: %s\n", error.text);
        return EXIT_USAGE;
    }
    SasLog_SetRateLimit(LOG_LINES_PER_S);
    int status = run(&mode);
    SasLog_Close();
    return status;
}
