/* log - structured log: one JSON object per line, to standard error or a file.
 *
 * Each line holds time (RFC 3339, UTC, milliseconds), level, vm, step, peer
 * and text, in this order; in place of text, SasLog_WriteFields adds fields of
 * its own. Invalid UTF-8 in step, peer and text is repaired. There is one log
 * per process. Before SasLog_Open and after SasLog_Close every write is
 * ignored, so library code may log in tests. Call it from the main thread
 * only.
 *
 * Writes never block on a pipe or terminal. Lines that exceed the rate limit,
 * or that a full disk, a closed pipe or a slow reader leaves no buffer space
 * for, are dropped; the number of dropped lines is logged with the step
 * "log.dropped". The process must ignore SIGPIPE.
 */
#ifndef SAS_LOG_H
#define SAS_LOG_H

#include <stdbool.h>

#include "sas/error.h"

/* The step of the line that ends a request. At the rate limit, lines with
 * this step at INFO and DEBUG are dropped before all others. */
#define SasLog_REQUEST_STEP "request"

enum sas_log_level {
    SasLog_ERROR, /* needs an operator's attention */
    SasLog_WARN,  /* degraded, but still working */
    SasLog_INFO,  /* state changes and ended requests */
    SasLog_DEBUG  /* details of individual requests */
};

/* Opens the log of the process that runs as vm and closes an open one. path:
 * NULL for standard error, "-" for standard output, else a file to append to.
 * Returns -1 with SAS_EINVAL for an unknown level and SAS_EIO for a file that
 * can't be opened; an open log then stays open. */
int SasLog_Open(const char *vm, const char *path, const char *level,
                struct sas_error *error);
void SasLog_Close(void);

/* The level named "error", "warn", "info" or "debug"; -1 for other names. */
int SasLog_FindLevel(const char *name);
const char *SasLog_GetLevelName(enum sas_log_level level);

/* Limits the lines per second, 0 for no limit; a quarter of them is reserved
 * for lines other than SasLog_REQUEST_STEP at INFO and DEBUG. Ignored while
 * the log is closed; SasLog_Open removes the limit. */
void SasLog_SetRateLimit(double lines_per_s);

/* Whether the log is open and writes lines of this level. */
bool SasLog_IsEnabled(enum sas_log_level level);

/* Writes a line with a text if the level is enabled. A NULL step or peer is
 * written as "". */
void SasLog_Write(enum sas_log_level level, const char *step, const char *peer,
                  const char *format, ...)
    __attribute__((format(printf, 4, 5)));

/* Writes a line with named fields in place of the text, by a format of
 * json_pack such as "{s:s, s:i}". step must not be NULL; a NULL peer is
 * written as "". */
void SasLog_WriteFields(enum sas_log_level level, const char *step,
                        const char *peer, const char *format, ...);

/* Writes an error under its own step and peer. */
void SasLog_WriteError(enum sas_log_level level,
                       const struct sas_error *error);

#endif
