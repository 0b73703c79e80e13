/* wall - the time of day, in milliseconds since the epoch.
 *
 * One place reads it, so that tests can give a process a clock that is wrong:
 * SasWall_SetOffset shifts all that GetMs says from then on. The clock of the
 * machine stays as it is.
 */
#ifndef SAS_WALL_H
#define SAS_WALL_H

#include <stdint.h>

int64_t SasWall_GetMs(void);
void SasWall_SetOffset(int64_t offset_ms);

#endif
