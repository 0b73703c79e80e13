/* log - one JSON object a line, to standard error or to a file.
 *
 * Each line holds time (RFC 3339, UTC, milliseconds), level, vm, step, peer
 * and text, in this order; text that is not UTF-8 is repaired, not dropped.
 * There is one log in a process. Before SasLog_Open and after SasLog_Close
 * every write is ignored, so library code may log in tests. Open and Close
 * belong to the main thread; writes may come from any thread, and each line
 * reaches the file in one piece.
 *
 * A full disk or a closed pipe loses lines; it never stops the caller.
 */
#ifndef SAS_LOG_H
#define SAS_LOG_H

#include "sas/error.h"

enum sas_log_level {
    SasLog_ERROR, /* a person has to look */
    SasLog_WARN,  /* the system copes, at a price */
    SasLog_INFO,  /* changes of state */
    SasLog_DEBUG  /* single requests */
};

/* Opens the log for the process that runs as vm. A NULL path is standard
 * error, "-" standard output; a file is appended to. An open log is closed first. */
int SasLog_Open(const char *vm, const char *path, const char *level,
                struct sas_error *error);
void SasLog_Close(void);

/* "error", "warn", "info" or "debug" to its level, -1 for other names. */
int SasLog_FindLevel(const char *name);
const char *SasLog_GetLevelName(enum sas_log_level level);

/* Writes a line if the log is open at this level. A NULL step or peer is "".
 */
void SasLog_Write(enum sas_log_level level, const char *step, const char *peer,
                  const char *format, ...)
    __attribute__((format(printf, 4, 5)));

/* Writes an error with its own step and peer. */
void SasLog_WriteError(enum sas_log_level level,
                       const struct sas_error *error);

#endif
