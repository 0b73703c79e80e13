/* allowance - limits that all entry VMs keep together, each by its share.
 *
 * Two limits bind all of them: how many repeats a service gets for the
 * requests it got, and how many requests a second a cold backend server
 * bears. Each entry VM holds its own share of the fixed part and its own
 * requests' part of the rest, so the sum stays under the limit without a
 * message between them, whichever of them callers use.
 *
 * Times are monotonic milliseconds.
 */
#ifndef SAS_ALLOWANCE_H
#define SAS_ALLOWANCE_H

#include <stdbool.h>
#include <stdint.h>

#include "sas/window.h"

/* Part of a limit that is given out; the rest covers events that fall into
 * one window here and into another at the server. */
#define SasAllowance_MARGIN 0.85

struct sas_repeat_allowance {
    struct sas_window requests;
    struct sas_window repeats;
    double share;
    double burst;
};

/* Of one service. burst is the whole system's; vms how many share it. */
void SasRepeat_Init(struct sas_repeat_allowance *allowance, double share,
                    double burst, int64_t window_ms);
void SasRepeat_NoteRequest(struct sas_repeat_allowance *allowance,
                           int64_t now_ms);

/* True, and counted, when a request may be sent to a second server. */
bool SasRepeat_Take(struct sas_repeat_allowance *allowance, int vms,
                    int64_t now_ms);

/* How many requests one entry VM may send to a cold server in a second when
 * vms of them do; rank, from 0, is its place among them for this server. The
 * first get one more where the whole can't be divided. */
int SasCold_GetShare(double cold_per_s, double factor, double slack, int vms,
                     int rank);

#endif
