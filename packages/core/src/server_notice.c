#include "sas/server_notice.h"

#include <math.h>

#include <glib.h>

int64_t
SasServerNotice_ParsePause(const char *text)
{
    char *end = NULL;
    double seconds = g_ascii_strtod(text, &end);
    if (end == text || *end != '\0' || isnan(seconds) || seconds < 0) {
        return -1;
    }
    double pause_ms = ceil(seconds * 1000);
    return (int64_t)MIN(pause_ms, SasServerNotice_MAX_PAUSE_MS);
}

bool
SasServerNotice_SetLeaving(struct sas_server_notice *notice)
{
    bool is_new = !notice->leaving;
    notice->leaving = true;
    return is_new;
}

bool
SasServerNotice_NotePause(struct sas_server_notice *notice, int64_t pause_ms,
                          int64_t now_ms)
{
    bool begins = !notice->paused;
    notice->paused = true;
    notice->paused_until = MAX(notice->paused_until, now_ms + pause_ms);
    notice->probed_at = 0;
    return begins;
}

bool
SasServerNotice_NoteAnswer(struct sas_server_notice *notice, int64_t now_ms)
{
    if (!notice->paused || now_ms < notice->paused_until) {
        return false;
    }
    notice->paused = false;
    return true;
}

int64_t
SasServerNotice_GetWaitMs(const struct sas_server_notice *notice,
                          int64_t now_ms)
{
    if (!notice->paused) {
        return 0;
    }
    int64_t free_at = notice->probed_at > 0
                          ? MAX(notice->probed_at + SasServerNotice_PROBE_MS,
                                notice->paused_until)
                          : notice->paused_until;
    return MAX(free_at - now_ms, 0);
}

void
SasServerNotice_NoteSent(struct sas_server_notice *notice, int64_t now_ms)
{
    if (notice->paused) {
        notice->probed_at = now_ms;
    }
}
