#include "log_output.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

void
SasLogOutput_Open(struct sas_log_output *output, int fd, bool owned)
{
    memset(output, 0, sizeof(*output));
    output->fd = fd;
    output->owned = owned;
    output->pending = g_string_new(NULL);
    int flags = fcntl(fd, F_GETFL);
    if (flags >= 0) {
        fcntl(fd, F_SETFL, flags | O_NONBLOCK);
    }
}

/* Writes as much of the buffer as the descriptor accepts without blocking. */
static void
flush(struct sas_log_output *output)
{
    while (output->pending->len > 0) {
        ssize_t size =
            write(output->fd, output->pending->str, output->pending->len);
        if (size <= 0) {
            if (size < 0 && errno == EINTR) {
                continue;
            }
            return;
        }
        g_string_erase(output->pending, 0, size);
    }
}

void
SasLogOutput_Close(struct sas_log_output *output)
{
    if (output->pending == NULL) {
        return;
    }
    flush(output);
    g_string_free(output->pending, TRUE);
    if (output->owned) {
        close(output->fd);
    }
    memset(output, 0, sizeof(*output));
}

void
SasLogOutput_SetRate(struct sas_log_output *output, double lines_per_s,
                     int64_t now_us)
{
    output->lines_per_s = lines_per_s;
    output->tokens = lines_per_s;
    output->refilled_us = now_us;
}

bool
SasLogOutput_Admit(struct sas_log_output *output, bool high_priority,
                   int64_t now_us)
{
    if (output->lines_per_s <= 0) {
        return true;
    }
    double refill =
        (double)(now_us - output->refilled_us) / 1e6 * output->lines_per_s;
    output->tokens = MIN(output->tokens + refill, output->lines_per_s);
    output->refilled_us = now_us;
    double reserve =
        high_priority ? 0 : output->lines_per_s * SasLogOutput_RESERVE;
    if (output->tokens < reserve + 1) {
        output->dropped++;
        return false;
    }
    output->tokens -= 1;
    return true;
}

void
SasLogOutput_WriteLine(struct sas_log_output *output, const char *line)
{
    flush(output);
    size_t size = strlen(line);
    if (output->pending->len + size + 1 > SasLogOutput_MAX_PENDING) {
        output->dropped++;
        return;
    }
    g_string_append_len(output->pending, line, (gssize)size);
    g_string_append_c(output->pending, '\n');
    flush(output);
}

uint64_t
SasLogOutput_ResetDropped(struct sas_log_output *output)
{
    uint64_t dropped = output->dropped;
    output->dropped = 0;
    return dropped;
}
