/* log - one JSON object a line, to standard error or to a file.
 *
 * Each line holds time (RFC 3339, UTC, milliseconds), level, vm, step, peer
 * and text, in this order; text that is not UTF-8 is repaired, not dropped.
 * There is one log in a process. Before SasLog_Open and after SasLog_Close
 * every write is ignored, so library code may log in tests. All calls belong
 * to the main thread.
 *
 * A full disk, a closed pipe or a reader that falls behind loses lines; it
 * never stops the caller. Lost lines are counted in a line with the step
 * "log.dropped".
 */
#ifndef SAS_LOG_H
#define SAS_LOG_H

#include <stdbool.h>

#include "sas/error.h"

/* The step of the line that ends a request. While lines are short, these are
 * left out first. */
#define SasLog_REQUEST "request"

enum sas_log_level {
    SasLog_ERROR, /* a person has to look */
    SasLog_WARN,  /* the system copes, at a price */
    SasLog_INFO,  /* changes of state */
    SasLog_DEBUG  /* single requests */
};

/* Opens the log for the process that runs as vm. A NULL path is standard
 * error, "-" standard output; a file is appended to. An open log is closed
 * first. */
int SasLog_Open(const char *vm, const char *path, const char *level,
                struct sas_error *error);
void SasLog_Close(void);

/* "error", "warn", "info" or "debug" to its level, -1 for other names. */
int SasLog_FindLevel(const char *name);
const char *SasLog_GetLevelName(enum sas_log_level level);

/* At most so many lines a second, 0 for no bound; a quarter of them is kept
 * for what is not the end of a request. */
void SasLog_SetRate(double lines_per_s);

/* Whether lines of this level are written at all. */
bool SasLog_IsEnabled(enum sas_log_level level);

/* Writes a line if the log is open at this level. A NULL step or peer is "".
 */
void SasLog_Write(enum sas_log_level level, const char *step, const char *peer,
                  const char *format, ...)
    __attribute__((format(printf, 4, 5)));

/* A line with named fields in place of a text, by a format of json_pack, for
 * example "{s:s, s:i}". */
void SasLog_WriteFields(enum sas_log_level level, const char *step,
                        const char *peer, const char *format, ...);

/* Writes an error with its own step and peer. */
void SasLog_WriteError(enum sas_log_level level,
                       const struct sas_error *error);

#endif
