/* wall - the time of day in milliseconds since the Unix epoch.
 *
 * Read the wall clock through SasWall_GetMs, so that tests can give a process
 * a wrong clock: SasWall_SetOffset adds an offset to all later results. The
 * system clock is not changed.
 */
#ifndef SAS_WALL_H
#define SAS_WALL_H

#include <stdint.h>

int64_t SasWall_GetMs(void);
void SasWall_SetOffset(int64_t offset_ms);

#endif
