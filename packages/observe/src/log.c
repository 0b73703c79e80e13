#include "sas/log.h"

#include <errno.h>
#include <glib.h>
#include <jansson.h>
#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define CATEGORY_NAME "sassafrassill"

/* What one log call hands through log4c to the layout and the appender. */
struct record {
    const char *level;
    const char *step;
    const char *peer;
    char *line; /* set by the layout, released by the log call */
};

static const char *const level_names[] = {"error", "warn", "info", "debug"};
static const int level_priorities[] = {
    LOG4C_PRIORITY_ERROR,
    LOG4C_PRIORITY_WARN,
    LOG4C_PRIORITY_INFO,
    LOG4C_PRIORITY_DEBUG,
};

static const char *format_line(const log4c_layout_t *layout,
                               const log4c_logging_event_t *event);
static int append_line(log4c_appender_t *appender,
                       const log4c_logging_event_t *event);
static int ignore_appender(log4c_appender_t *appender);

static const log4c_layout_type_t layout_type = {
    .name = "sas_json",
    .format = format_line,
};
/* The stock stream appender puts its own name before each line. */
static const log4c_appender_type_t appender_type = {
    .name = "sas_file",
    .open = ignore_appender,
    .append = append_line,
    .close = ignore_appender,
};

/* The process's log; a NULL category means that it is closed. */
static log4c_category_t *log_category;
static FILE *log_file;
static char *log_vm;

static FILE *
open_file(const char *path)
{
    if (path == NULL) {
        return stderr;
    }
    return strcmp(path, "-") == 0 ? stdout : fopen(path, "ae");
}

int
SasLog_Open(const char *vm, const char *path, const char *level,
            struct sas_error *error)
{
    int wanted = SasLog_FindLevel(level);
    if (wanted < 0) {
        SasError_Set(error, SAS_EINVAL, "log.open", "", "unknown level \"%s\"",
                     level);
        return -1;
    }
    FILE *file = open_file(path);
    if (file == NULL) {
        SasError_Set(error, SAS_EIO, "log.open", "", "%s: %s", path,
                     g_strerror(errno));
        return -1;
    }
    SasLog_Close();
    log_file = file;
    log_vm = g_utf8_make_valid(vm, -1);
    /* log4c_init is left out on purpose: it would read a log4crc file from
     * the working folder, and all settings come from one place. */
    log4c_layout_t *layout = log4c_layout_get("sas_json");
    log4c_layout_set_type(layout, &layout_type);
    log4c_appender_t *appender = log4c_appender_get("sas_file");
    log4c_appender_set_type(appender, &appender_type);
    log4c_appender_set_layout(appender, layout);
    log_category = log4c_category_get(CATEGORY_NAME);
    log4c_category_set_appender(log_category, appender);
    log4c_category_set_additivity(log_category, 0);
    log4c_category_set_priority(log_category, level_priorities[wanted]);
    return 0;
}

void
SasLog_Close(void)
{
    if (log_category == NULL) {
        return;
    }
    log_category = NULL;
    if (log_file != stderr && log_file != stdout) {
        fclose(log_file);
    }
    log_file = NULL;
    g_clear_pointer(&log_vm, g_free);
}

int
SasLog_FindLevel(const char *name)
{
    for (int i = 0; i < (int)G_N_ELEMENTS(level_names); i++) {
        if (strcmp(level_names[i], name) == 0) {
            return i;
        }
    }
    return -1;
}

const char *
SasLog_GetLevelName(enum sas_log_level level)
{
    return level_names[level];
}

void
SasLog_Write(enum sas_log_level level, const char *step, const char *peer,
             const char *format, ...)
{
    if (log_category == NULL || !log4c_category_is_priority_enabled(
                                    log_category, level_priorities[level])) {
        return;
    }
    va_list arguments;
    va_start(arguments, format);
    g_autofree char *text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    struct record record = {
        .level = SasLog_GetLevelName(level),
        .step = step == NULL ? "" : step,
        .peer = peer == NULL ? "" : peer,
    };
    log4c_location_info_t location = {.loc_data = &record};
    log4c_category_log_locinfo(log_category, &location,
                               level_priorities[level], "%s", text);
    free(record.line);
}

void
SasLog_WriteError(enum sas_log_level level, const struct sas_error *error)
{
    SasLog_Write(level, error->step, error->peer, "%s: %s",
                 SasError_GetName(error->code), error->text);
}

static void
format_time(const struct timeval *when, char *text, size_t size)
{
    struct tm parts;
    gmtime_r(&when->tv_sec, &parts);
    size_t length = strftime(text, size, "%Y-%m-%dT%H:%M:%S", &parts);
    snprintf(text + length, size - length, ".%03dZ",
             (int)(when->tv_usec / 1000));
}

static const char *
format_line(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
    (void)layout;
    struct record *record = event->evt_loc->loc_data;
    char time[64];
    format_time(&event->evt_timestamp, time, sizeof(time));
    g_autofree char *step = g_utf8_make_valid(record->step, -1);
    g_autofree char *peer = g_utf8_make_valid(record->peer, -1);
    g_autofree char *text = g_utf8_make_valid(event->evt_msg, -1);
    json_t *object = json_pack("{s:s, s:s, s:s, s:s, s:s, s:s}", "time", time,
                               "level", record->level, "vm", log_vm, "step",
                               step, "peer", peer, "text", text);
    record->line = json_dumps(object, JSON_COMPACT);
    json_decref(object);
    return record->line;
}

static int
append_line(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
    (void)appender;
    if (event->evt_rendered_msg == NULL) {
        return -1;
    }
    flockfile(log_file);
    fputs(event->evt_rendered_msg, log_file);
    fputc('\n', log_file);
    fflush(log_file);
    funlockfile(log_file);
    return 0;
}

static int
ignore_appender(log4c_appender_t *appender)
{
    (void)appender;
    return 0;
}
