#include "sas/waits.h"

#include <glib.h>

/* After an answer with changes more mostly follow: at a start hundreds of
 * servers write their rows one after the other. */
#define PAUSE_MS 250

/* Each turn of waiting is a call, which costs money. */
#define MAX_QUESTION_MS 2500
#define MAX_VM_QUESTION_MS 500

/* An answer takes some 10 ms, between regions 50 ms, and 300 ms from a store
 * that is slow; a lost packet adds 200 ms or more. */
#define MAX_SILENCE_MS 600
#define MAX_VM_SILENCE_MS 400

/* A connection and an answer across regions, at an entry VM that is busy. */
#define MAX_HOP_MS 500

/* Parts of the bound. */
#define SILENCE_PART 0.25
#define VM_SILENCE_PART 0.2
#define HOP_PART 0.2

static int64_t
get_part(int64_t bound_ms, double part, int64_t max_ms)
{
    return MIN((int64_t)(part * (double)bound_ms), max_ms);
}

void
SasWaits_Init(struct sas_waits *waits, int64_t bound_ms)
{
    waits->pause_ms = PAUSE_MS;
    waits->silence_ms = get_part(bound_ms, SILENCE_PART, MAX_SILENCE_MS);
    waits->vm_silence_ms =
        get_part(bound_ms, VM_SILENCE_PART, MAX_VM_SILENCE_MS);
    waits->hop_ms = get_part(bound_ms, HOP_PART, MAX_HOP_MS);
    int64_t left_ms = bound_ms - waits->hop_ms;
    waits->question_ms = CLAMP(left_ms - waits->pause_ms - waits->silence_ms,
                               0, MAX_QUESTION_MS);
    waits->vm_question_ms =
        CLAMP(left_ms - waits->vm_silence_ms, 0, MAX_VM_QUESTION_MS);
}

int64_t
SasWaits_GetVouchMs(const struct sas_waits *waits)
{
    return waits->pause_ms + waits->question_ms + waits->silence_ms;
}

int64_t
SasWaits_GetLongestMs(const struct sas_waits *waits)
{
    int64_t vm_ms = waits->vm_question_ms + waits->vm_silence_ms;
    return MAX(SasWaits_GetVouchMs(waits), vm_ms) + waits->hop_ms;
}
