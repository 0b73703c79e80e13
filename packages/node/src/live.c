#include "live.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "live_sheet.h"
#include "sas/log.h"
#include "sas/platform.h"
#include "sas/proto.h"
#include "sas/secret.h"
#include "sas/wall.h"
#include "signals.h"

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

struct live {
    const char *path;
    struct sas_entry_settings settings;
    const char *token; /* operators'; NULL: none */
    uv_loop_t loop;
    struct sas_fleet *fleet;
    struct sas_steering *steering;
    struct sas_source *source;
    struct sas_gateway *gateway;
    struct sas_store *store;
    struct sas_live_sheet *sheet;
    uv_timer_t limit; /* of what is waited for at the end */
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

/* Settings. */

static int
read_token(struct live *live, struct sas_error *error)
{
    live->token = g_getenv(TOKEN_VARIABLE);
    if (live->token == NULL || live->token[0] == '\0') {
        live->token = NULL;
        return 0;
    }
    if (strlen(live->token) < SasSecret_MIN_SIZE) {
        SasError_Set(error, SAS_EINVAL, "settings", "",
                     TOKEN_VARIABLE ": at least %d characters are needed",
                     SasSecret_MIN_SIZE);
        return -1;
    }
    return 0;
}

static int
read_peer_key(struct live *live, struct sas_error *error)
{
    const char *text = g_getenv(PEER_KEY_VARIABLE);
    if (text == NULL || text[0] == '\0') {
        return 0;
    }
    struct sas_error cause = {0};
    live->settings.peer_key =
        SasProto_NewKey((const uint8_t *)text, strlen(text), &cause);
    if (live->settings.peer_key == NULL) {
        SasError_Set(error, SAS_EINVAL, "settings", "",
                     PEER_KEY_VARIABLE ": %s", cause.text);
        return -1;
    }
    return 0;
}

static int
load(struct live *live, struct sas_error *error)
{
    if (SasPlatform_LoadSettings(&live->settings, live->path, error) != 0) {
        return -1;
    }
    const char *offset = g_getenv(CLOCK_VARIABLE);
    if (offset != NULL) {
        SasWall_SetOffset(g_ascii_strtoll(offset, NULL, 10));
    }
    live->settings.started_at = SasWall_GetMs();
    return read_peer_key(live, error) != 0 ? -1 : read_token(live, error);
}

/* Opening and closing. */

static void
open_fleet(struct live *live)
{
    live->fleet = SasFleet_New();
    for (int i = 0; i < live->settings.place_count; i++) {
        SasFleet_AddZone(live->fleet, live->settings.places[i].zone,
                         live->settings.places[i].region);
    }
    live->steering = SasSteering_New(live->fleet);
}

static int
open_gateway(struct live *live, struct sas_error *error)
{
    live->source = SasPlatform_Open(&live->loop, live->fleet, &live->settings);
    struct sas_gateway_options options = {
        .loop = &live->loop,
        .fleet = live->fleet,
        .settings = &live->settings,
        .wire = SasPlatform_GetWire(),
        .source = live->source,
        .steering = live->steering,
    };
    live->gateway = SasGateway_Open(&options, error);
    if (live->gateway == NULL) {
        return -1;
    }
    SasGateway_SetReload(live->gateway, live->path, reload, live);
    return 0;
}

static int
open_sheet(struct live *live, struct sas_error *error)
{
    live->store = SasPlatform_OpenStore(&live->loop, &live->settings,
                                        SasGateway_GetMetrics(live->gateway));
    struct sas_live_sheet_parts parts = {
        .loop = &live->loop,
        .fleet = live->fleet,
        .gateway = live->gateway,
        .steering = live->steering,
        .store = live->store,
        .max_object = SasPlatform_MAX_OBJECT,
        .settings = &live->settings,
        .token = live->token,
    };
    live->sheet = SasLiveSheet_Open(&parts, error);
    return live->sheet != NULL ? 0 : -1;
}

static void
on_limit(uv_timer_t *timer)
{
    (void)timer; /* it only ends a turn of the loop */
}

/* Callers have had their answers; an operator may still wait for one. */
static void
await_changes(struct live *live)
{
    int64_t left_ms = SasGateway_GetTimeLeft(live->gateway);
    uv_timer_init(&live->loop, &live->limit);
    uv_timer_start(&live->limit, on_limit, (uint64_t)MAX(left_ms, 0), 0);
    while (SasLiveSheet_End(live->sheet) > 0 &&
           SasGateway_GetTimeLeft(live->gateway) > 0) {
        uv_run(&live->loop, UV_RUN_ONCE);
    }
    uv_close((uv_handle_t *)&live->limit, NULL);
}

static void
close_all(struct live *live)
{
    SasLiveSheet_Close(live->sheet);
    SasStore_Close(live->store);
    SasGateway_Close(live->gateway);
    SasPlatform_Close(live->source);
    uv_loop_close(&live->loop);
    SasSteering_Free(live->steering);
    SasFleet_Free(live->fleet);
    SasProto_FreeKey(live->settings.peer_key);
}

static int
run(struct live *live)
{
    struct sas_error error = {0};
    uv_loop_init(&live->loop);
    signal(SIGPIPE, SIG_IGN);
    open_fleet(live);
    if (open_gateway(live, &error) != 0 || open_sheet(live, &error) != 0) {
        SasLog_WriteError(SasLog_ERROR, &error);
        return EXIT_FAILURE;
    }
    SasSignals_Release();
    int status = SasGateway_Run(live->gateway);
    SasSignals_Hold();
    await_changes(live);
    close_all(live);
    return status;
}

int
SasLive_Run(const char *settings_path, bool check)
{
    /* Not on the stack: with an operator's connection open at the end the HTTP
     * library keeps handles, and the loop its memory, until the exit. */
    static struct live live;
    live.path = settings_path;
    struct sas_error error = {0};
    if (load(&live, &error) != 0) {
        fprintf(stderr, "sassafrassilld: %s\n", error.text);
        return EXIT_USAGE;
    }
    if (check) {
        printf("%s: ok\n", settings_path);
        SasProto_FreeKey(live.settings.peer_key);
        return 0;
    }
    if (SasLog_Open(live.settings.name, "-", "info", &error) != 0) {
        fprintf(stderr, "sassafrassilld: %s\n", error.text);
        return EXIT_USAGE;
    }
    SasLog_SetRate(LOG_LINES_PER_S);
    int status = run(&live);
    SasLog_Close();
    return status;
}
