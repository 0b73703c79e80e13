#include "sas/wall.h"

#include <glib.h>

static int64_t offset;

int64_t
SasWall_GetMs(void)
{
    return g_get_real_time() / 1000 + offset;
}

void
SasWall_SetOffset(int64_t offset_ms)
{
    offset = offset_ms;
}
