#include "sas/grey_failure.h"

void
SasGreyFailure_Init(struct sas_grey_failure *grey)
{
    SasWindow_Init(&grey->failed, SasGreyFailure_WINDOW_MS);
    SasWindow_Init(&grey->answered, SasGreyFailure_WINDOW_MS);
    SasWindow_Init(&grey->unreported, SasGreyFailure_REPORT_WINDOW_MS);
}

void
SasGreyFailure_NoteAnswered(struct sas_grey_failure *grey, int64_t now_ms)
{
    SasWindow_Add(&grey->unreported, 1, now_ms);
}

int
SasGreyFailure_TakeUnreported(struct sas_grey_failure *grey, int64_t now_ms)
{
    int answered = (int)SasWindow_Count(&grey->unreported, now_ms);
    SasWindow_Init(&grey->unreported, SasGreyFailure_REPORT_WINDOW_MS);
    return answered;
}

bool
SasGreyFailure_AddReport(struct sas_grey_failure *grey, int failed,
                         int answered, int64_t now_ms)
{
    SasWindow_Add(&grey->failed, failed, now_ms);
    SasWindow_Add(&grey->answered, answered, now_ms);
    double sum_failed = SasWindow_Count(&grey->failed, now_ms);
    double sum_answered = SasWindow_Count(&grey->answered, now_ms);
    bool is_grey = sum_failed >= SasGreyFailure_MIN_FAILED &&
                   sum_failed >= SasGreyFailure_MIN_FAILURE_SHARE *
                                     (sum_failed + sum_answered);
    if (is_grey) {
        SasGreyFailure_Init(grey);
    }
    return is_grey;
}
