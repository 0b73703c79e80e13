#include "sas/log.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "log_output.h"

#define CATEGORY_NAME "sassafrassill"

/* One log line on its way through log4c to the layout and the appender. */
struct record {
    const char *level;
    const char *step;
    const char *peer;
    json_t *fields; /* NULL: a text instead */
    char *line;     /* set by format_line, freed by write_record */
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
/* log4c's own stream appender would prefix each line with its name. */
static const log4c_appender_type_t appender_type = {
    .name = "sas_file",
    .open = ignore_appender,
    .append = append_line,
    .close = ignore_appender,
};

/* The log of the process; log_category is NULL while it is closed. */
static log4c_category_t *log_category;
static struct sas_log_output log_output;
static char *log_vm;

/* Returns -1 and sets errno if the file can't be opened. */
static int
open_output(const char *path, bool *owned)
{
    *owned = false;
    if (path == NULL) {
        return STDERR_FILENO;
    }
    if (strcmp(path, "-") == 0) {
        return STDOUT_FILENO;
    }
    *owned = true;
    return open(path, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0666);
}

int
SasLog_Open(const char *vm, const char *path, const char *level,
            struct sas_error *error)
{
    int wanted_level = SasLog_FindLevel(level);
    if (wanted_level < 0) {
        SasError_Set(error, SAS_EINVAL, "log.open", "", "unknown level \"%s\"",
                     level);
        return -1;
    }
    bool owned;
    int fd = open_output(path, &owned);
    if (fd < 0) {
        SasError_Set(error, SAS_EIO, "log.open", "", "%s: %s", path,
                     g_strerror(errno));
        return -1;
    }
    SasLog_Close();
    SasLogOutput_Open(&log_output, fd, owned);
    log_vm = g_utf8_make_valid(vm, -1);
    /* No log4c_init: it would read a log4crc file from the working directory,
     * a second source of settings. */
    log4c_layout_t *layout = log4c_layout_get("sas_json");
    log4c_layout_set_type(layout, &layout_type);
    log4c_appender_t *appender = log4c_appender_get("sas_file");
    log4c_appender_set_type(appender, &appender_type);
    log4c_appender_set_layout(appender, layout);
    log_category = log4c_category_get(CATEGORY_NAME);
    log4c_category_set_appender(log_category, appender);
    log4c_category_set_additivity(log_category, 0);
    log4c_category_set_priority(log_category, level_priorities[wanted_level]);
    return 0;
}

void
SasLog_Close(void)
{
    if (log_category == NULL) {
        return;
    }
    log_category = NULL;
    SasLogOutput_Close(&log_output);
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
SasLog_SetRateLimit(double lines_per_s)
{
    if (log_category != NULL) {
        SasLogOutput_SetRate(&log_output, lines_per_s, g_get_monotonic_time());
    }
}

bool
SasLog_IsEnabled(enum sas_log_level level)
{
    return log_category != NULL && log4c_category_is_priority_enabled(
                                       log_category, level_priorities[level]);
}

static void
write_record(enum sas_log_level level, struct record *record, const char *text)
{
    record->level = SasLog_GetLevelName(level);
    log4c_location_info_t location = {.loc_data = record};
    log4c_category_log_locinfo(log_category, &location,
                               level_priorities[level], "%s", text);
    free(record->line);
}

/* Logs the number of dropped lines; called when a line was admitted. */
static void
write_dropped(void)
{
    uint64_t dropped = SasLogOutput_ResetDropped(&log_output);
    if (dropped == 0) {
        return;
    }
    struct record record = {
        .step = "log.dropped",
        .peer = "",
        .fields = json_pack("{s:I}", "lines", (json_int_t)dropped),
    };
    write_record(SasLog_WARN, &record, "");
    json_decref(record.fields);
}

static bool
admit(enum sas_log_level level, const char *step)
{
    bool high_priority =
        level <= SasLog_WARN || strcmp(step, SasLog_REQUEST_STEP) != 0;
    if (!SasLog_IsEnabled(level) ||
        !SasLogOutput_Admit(&log_output, high_priority,
                            g_get_monotonic_time())) {
        return false;
    }
    write_dropped();
    return true;
}

void
SasLog_Write(enum sas_log_level level, const char *step, const char *peer,
             const char *format, ...)
{
    step = step == NULL ? "" : step;
    if (!admit(level, step)) {
        return;
    }
    va_list arguments;
    va_start(arguments, format);
    g_autofree char *text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    struct record record = {.step = step, .peer = peer == NULL ? "" : peer};
    write_record(level, &record, text);
}

void
SasLog_WriteFields(enum sas_log_level level, const char *step,
                   const char *peer, const char *format, ...)
{
    if (!admit(level, step)) {
        return;
    }
    va_list arguments;
    va_start(arguments, format);
    json_t *fields = json_vpack_ex(NULL, 0, format, arguments);
    va_end(arguments);
    struct record record = {
        .step = step,
        .peer = peer == NULL ? "" : peer,
        .fields = fields,
    };
    write_record(level, &record,
                 fields == NULL ? "invalid fields: NULL or not UTF-8" : "");
    json_decref(fields);
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
    json_t *object =
        json_pack("{s:s, s:s, s:s, s:s, s:s}", "time", time, "level",
                  record->level, "vm", log_vm, "step", step, "peer", peer);
    if (record->fields != NULL) {
        json_object_update(object, record->fields);
    }
    else {
        json_object_set_new(object, "text", json_string(text));
    }
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
    SasLogOutput_WriteLine(&log_output, event->evt_rendered_msg);
    return 0;
}

static int
ignore_appender(log4c_appender_t *appender)
{
    (void)appender;
    return 0;
}
