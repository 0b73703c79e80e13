/* waits - how long the calls may last that bring changes from the store.
 *
 * A change has to be in force everywhere within a bound from the moment at
 * which the store accepted it. One entry VM of a failure domain, its leader,
 * asks the store, and the others ask the leader. A question that waits for
 * changes and one that will never be answered look alike until its time is
 * over; so that time is part of the bound, whoever falls silent:
 *
 *   the store, to the leader       pause, question, silence, hop
 *   the leader, to its followers   vm_question, vm_silence, hop
 *
 * Each sum is at most the bound, whatever the bound is (from
 * SasWaits_LEAST_BOUND_MS on). In the first one all leaders may be silenced at
 * the same moment, so that nobody has the change whose news could help.
 *
 * Times are milliseconds.
 */
#ifndef SAS_WAITS_H
#define SAS_WAITS_H

#include <stdint.h>

/* Smaller bounds leave no time to wait for a change. */
#define SasWaits_LEAST_BOUND_MS 500

struct sas_waits {
    int64_t pause_ms;       /* at most, from an answer to the next question */
    int64_t question_ms;    /* the store waits so long for a change */
    int64_t silence_ms;     /* until its answer has begun, beyond that */
    int64_t vm_question_ms; /* the same at a leader */
    int64_t vm_silence_ms;
    int64_t hop_ms; /* to ask the store instead and take the change over */
};

void SasWaits_Init(struct sas_waits *waits, int64_t bound_ms);

/* After so long since the store's last answer a leader knows that the store
 * is silent, and vouches for its rows no more. */
int64_t SasWaits_GetVouchMs(const struct sas_waits *waits);

/* From a change until it is in force at entry VMs that the store answers, at
 * the latest. */
int64_t SasWaits_GetLongestMs(const struct sas_waits *waits);

#endif
