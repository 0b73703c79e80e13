/* log_output - non-blocking, rate-limited writes of lines to a descriptor.
 *
 * What a pipe or terminal doesn't accept at once is buffered, up to
 * SasLogOutput_MAX_PENDING bytes; further lines are dropped and counted. The
 * descriptor is set to O_NONBLOCK, which has no effect on regular files.
 *
 * A token bucket of one second's lines limits the rate. Its last
 * SasLogOutput_RESERVE is for high-priority lines only, so that a flood of
 * requests doesn't hide changes of the process's state.
 */
#ifndef SAS_LOG_OUTPUT_H
#define SAS_LOG_OUTPUT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#define SasLogOutput_MAX_PENDING 65536 /* bytes */
#define SasLogOutput_RESERVE 0.25      /* share of a second's lines */

struct sas_log_output {
    int fd;
    bool owned; /* closed with the output */
    GString *pending;
    double lines_per_s; /* 0: no limit */
    double tokens;
    int64_t refilled_us; /* last refill of the tokens */
    uint64_t dropped;
};

/* Starts writing to fd; if owned, SasLogOutput_Close closes it. */
void SasLogOutput_Open(struct sas_log_output *output, int fd, bool owned);
void SasLogOutput_Close(struct sas_log_output *output);

/* Limits the lines per second, 0 for no limit, and fills the bucket. */
void SasLogOutput_SetRate(struct sas_log_output *output, double lines_per_s,
                          int64_t now_us);

/* Takes a token for a line; false, and the line counts as dropped, if there
 * is none that it may use. */
bool SasLogOutput_Admit(struct sas_log_output *output, bool high_priority,
                        int64_t now_us);

/* Writes the line and a line feed, or counts it as dropped if the buffer is
 * full. */
void SasLogOutput_WriteLine(struct sas_log_output *output, const char *line);

/* Returns the number of lines dropped since the last call. */
uint64_t SasLogOutput_ResetDropped(struct sas_log_output *output);

#endif
