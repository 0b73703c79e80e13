#include "sas/grey.h"

void
SasGrey_Init(struct sas_grey *grey)
{
    SasWindow_Init(&grey->failed, SasGrey_WINDOW_MS);
    SasWindow_Init(&grey->answered, SasGrey_WINDOW_MS);
    SasWindow_Init(&grey->own, SasGrey_OWN_MS);
}

void
SasGrey_NoteAnswered(struct sas_grey *grey, int64_t now_ms)
{
    SasWindow_Add(&grey->own, 1, now_ms);
}

int
SasGrey_TakeAnswered(struct sas_grey *grey, int64_t now_ms)
{
    int answered = (int)SasWindow_Count(&grey->own, now_ms);
    SasWindow_Init(&grey->own, SasGrey_OWN_MS);
    return answered;
}

bool
SasGrey_Add(struct sas_grey *grey, int failed, int answered, int64_t now_ms)
{
    SasWindow_Add(&grey->failed, failed, now_ms);
    SasWindow_Add(&grey->answered, answered, now_ms);
    double sum_failed = SasWindow_Count(&grey->failed, now_ms);
    double sum_answered = SasWindow_Count(&grey->answered, now_ms);
    bool is_grey = sum_failed >= SasGrey_MIN_FAILED &&
                   sum_failed >= SasGrey_SHARE * (sum_failed + sum_answered);
    if (is_grey) {
        SasGrey_Init(grey);
    }
    return is_grey;
}
