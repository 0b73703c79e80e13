/* wall_clock - the time of day in milliseconds since the Unix epoch.
 *
 * Read the wall clock through SasWallClock_GetMs, so that tests can give a
 * process a wrong clock: SasWallClock_SetOffset adds an offset to all later
 * results. The system clock is not changed.
 */
#ifndef SAS_WALL_CLOCK_H
#define SAS_WALL_CLOCK_H

#include <stdint.h>

int64_t SasWallClock_GetMs(void);
void SasWallClock_SetOffset(int64_t offset_ms);

#endif
