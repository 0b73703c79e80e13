/* log_output - writes lines to a descriptor without ever waiting for it.
 *
 * What a pipe or terminal doesn't take at once is kept, up to
 * SasLogOutput_MAX_PENDING bytes; beyond that lines are dropped and counted.
 * A rate bounds the lines of a second; when it is used up to its reserve only
 * urgent lines go through, so that a flood of requests doesn't hide what the
 * process came to believe. The count of dropped lines is written as a line of
 * its own as soon as there is room.
 */
#ifndef SAS_LOG_OUTPUT_H
#define SAS_LOG_OUTPUT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#define SasLogOutput_MAX_PENDING 65536
#define SasLogOutput_RESERVE 0.25 /* of a second's lines, for urgent ones */

struct sas_log_output {
    int fd;
    bool owned; /* closed with the output */
    GString *pending;
    double lines_per_s; /* 0: no bound */
    double tokens;
    int64_t filled_us;
    uint64_t dropped;
};

/* Takes over the descriptor when owned. */
void SasLogOutput_Open(struct sas_log_output *output, int fd, bool owned);
void SasLogOutput_Close(struct sas_log_output *output);
void SasLogOutput_SetRate(struct sas_log_output *output, double lines_per_s,
                          int64_t now_us);

/* Whether a line may be written now; a refused one is counted. */
bool SasLogOutput_Admit(struct sas_log_output *output, bool urgent,
                        int64_t now_us);

/* Writes the line and its end. */
void SasLogOutput_Put(struct sas_log_output *output, const char *line);

/* Lines dropped since the last call. */
uint64_t SasLogOutput_TakeDropped(struct sas_log_output *output);

#endif
