#include "sas/wall_clock.h"

#include <glib.h>

static int64_t clock_offset_ms;

int64_t
SasWallClock_GetMs(void)
{
    return g_get_real_time() / 1000 + clock_offset_ms;
}

void
SasWallClock_SetOffset(int64_t offset_ms)
{
    clock_offset_ms = offset_ms;
}
