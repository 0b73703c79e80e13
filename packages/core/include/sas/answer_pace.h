/* answer_pace - whether an answer that has begun is still getting anywhere.
 *
 * A faulty server may send bytes without end, in a head or a body, as slowly
 * as it likes. They would hold the request, its connection and its caller to
 * the time limit, and a size limit notices the slow ones too late. So bytes
 * must add up to a whole head within SasAnswerPace_HEAD_MS, and to a body
 * within SasAnswerPace_BODY_MS at SasAnswerPace_MIN_BYTES_PER_S.
 *
 * Only time in which bytes flow counts: of a pause no more than
 * SasAnswerPace_GAP_MS. A server that is silent may be working, and packets
 * that were lost are sent again after a pause; both end in an answer.
 *
 * Times are monotonic milliseconds. Initially all zero.
 */
#ifndef SAS_ANSWER_PACE_H
#define SAS_ANSWER_PACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SasAnswerPace_HEAD_MS 300
#define SasAnswerPace_BODY_MS 500
#define SasAnswerPace_GAP_MS 100

/* Below what a connection of 40 ms that loses 3 in 100 packets carries. */
#define SasAnswerPace_MIN_BYTES_PER_S 200000

struct sas_answer_pace {
    bool begun;
    int64_t last_at;   /* when bytes came last */
    int64_t active_ms; /* time in which bytes have flown */
    size_t bytes;
};

/* Bytes of the answer have come, and it has not ended with them. in_head: its
 * head isn't complete. True if it is to be given up. */
bool SasAnswerPace_NoteBytes(struct sas_answer_pace *pace, size_t size,
                             bool in_head, int64_t now_ms);

#endif
