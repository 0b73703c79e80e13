#include "sas/path.h"

#include <glib.h>
#include <string.h>

bool
SasPath_NoteReached(struct sas_path *path)
{
    bool restored = path->lost;
    int64_t probed_at = path->probed_at;
    memset(path, 0, sizeof(*path));
    path->probed_at = probed_at;
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

bool
SasPath_NoteUnreachable(struct sas_path *path, uint64_t server_hash,
                        int servers, int64_t began_at, int64_t now_ms)
{
    if (path->failing_since == 0 || began_at < path->failing_since) {
        path->failing_since = MAX(began_at, 1);
    }
    add_failed(path, server_hash);
    bool lost = path->failed_count >= MIN(SasPath_LOST_SERVERS, servers) &&
                now_ms - path->failing_since >= SasPath_LOST_MS;
    if (path->lost || !lost) {
        return false;
    }
    path->lost = true;
    return true;
}

bool
SasPath_IsFailing(const struct sas_path *path, int64_t now_ms)
{
    return path->lost || (path->failing_since > 0 &&
                          now_ms - path->failing_since >= SasPath_LOST_MS);
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
