#include "sas/path.h"

#include <glib.h>

bool
SasPath_NoteReached(struct sas_path *path, int64_t began_at)
{
    bool restored = path->lost;
    path->lost = false;
    path->unanswered = false;
    path->silent_since = 0;
    path->failed_count = 0;
    if (began_at >= path->failing_since) {
        path->failing_since = 0;
    }
    return restored;
}

void
SasPath_NoteUnanswered(struct sas_path *path)
{
    path->unanswered = true;
}

static void
add_failed(struct sas_path *path, uint64_t server_hash)
{
    for (int i = 0; i < path->failed_count; i++) {
        if (path->failed[i] == server_hash) {
            return;
        }
    }
    if (path->failed_count < SasPath_LOST_SERVERS) {
        path->failed[path->failed_count++] = server_hash;
    }
}

/* The earlier of a begin that is already known (0: none) and another one. */
static int64_t
get_first(int64_t known, int64_t began_at)
{
    return known > 0 ? MIN(known, began_at) : MAX(began_at, 1);
}

bool
SasPath_NoteUnreachable(struct sas_path *path, uint64_t server_hash,
                        int servers, int64_t began_at, int64_t now_ms)
{
    path->failing_since = get_first(path->failing_since, began_at);
    path->silent_since = get_first(path->silent_since, began_at);
    add_failed(path, server_hash);
    bool lost = path->failed_count >= MIN(SasPath_LOST_SERVERS, servers) &&
                SasPath_IsFailing(path, now_ms);
    if (path->lost || !lost) {
        return false;
    }
    path->lost = true;
    return true;
}

bool
SasPath_IsFailing(const struct sas_path *path, int64_t now_ms)
{
    return path->lost || (path->silent_since > 0 &&
                          now_ms - path->silent_since >= SasPath_LOST_MS);
}

bool
SasPath_IsInDoubt(const struct sas_path *path)
{
    return path->lost || path->unanswered || path->failing_since > 0;
}

bool
SasPath_TakeProbe(struct sas_path *path, int64_t now_ms)
{
    if (!SasPath_IsInDoubt(path) ||
        (path->probed_at > 0 && now_ms - path->probed_at < SasPath_PROBE_MS)) {
        return false;
    }
    path->probed_at = MAX(now_ms, 1);
    return true;
}
