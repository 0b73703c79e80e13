#include "sas/answer_pace.h"

#include <glib.h>

bool
SasAnswerPace_NoteBytes(struct sas_answer_pace *pace, size_t size,
                        bool in_head, int64_t now_ms)
{
    if (pace->begun) {
        pace->active_ms += MIN(now_ms - pace->last_at, SasAnswerPace_GAP_MS);
    }
    pace->begun = true;
    pace->last_at = now_ms;
    pace->bytes += size;
    if (in_head) {
        return pace->active_ms > SasAnswerPace_HEAD_MS;
    }
    int64_t needed_ms =
        (int64_t)pace->bytes * 1000 / SasAnswerPace_MIN_BYTES_PER_S;
    return pace->active_ms > SasAnswerPace_BODY_MS + needed_ms;
}
