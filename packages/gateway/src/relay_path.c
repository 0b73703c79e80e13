/* Notes whether this entry VM reaches the servers of a service, and probes its
 * path to them while it is lost or in doubt. */
#include "relay_call.h"

#include <jansson.h>

#include "sas/generated/mesh.h"
#include "sas/log.h"

/* Between two announcements of lost paths: one of them may get lost. */
#define ANNOUNCE_MS 1000

struct path_probe {
    struct sas_pool_probe probe;
    struct sas_relay *relay;
    int service;
    uint64_t server_hash;
    int64_t began_at;
};

static void probe_service(struct sas_relay *relay, int service);

static int
count_servers(const struct sas_relay *relay, int service)
{
    return (int)SasFleet_GetService(relay->options.fleet, service)
        ->servers->len;
}

static void
log_path(struct sas_relay *relay, int service, const char *cause)
{
    const struct sas_path *path = &SasRelay_GetService(relay, service)->path;
    int64_t now_ms = SasRelay_Now(relay);
    SasLog_WriteFields(
        SasLog_WARN, path->lost ? "path.lost" : "path.back",
        SasFleet_GetService(relay->options.fleet, service)->name,
        "{s:s, s:i, s:I}", "cause", cause, "servers",
        count_servers(relay, service), "failing_ms",
        (json_int_t)(path->lost ? now_ms - path->silent_since : 0));
}

bool
SasRelay_IsPathInDoubt(struct sas_relay *relay, int service)
{
    return SasPath_IsInDoubt(&SasRelay_GetService(relay, service)->path);
}

/* Others then send this entry VM no requests that they can't serve. */
static void
announce_lost_paths(struct sas_relay *relay)
{
    uint64_t hashes[SAS_MESH_MAX_LOST_PATHS];
    int count = 0;
    for (guint service = 0; service < relay->services->len; service++) {
        const struct service_state *state = relay->services->pdata[service];
        if (state->path.lost && count < SAS_MESH_MAX_LOST_PATHS) {
            hashes[count++] = SasMesh_HashService(
                SasFleet_GetService(relay->options.fleet, (int)service)->name);
        }
    }
    relay->announced_at = count > 0 ? SasRelay_Now(relay) : 0;
    SasMesh_SetLostPaths(relay->options.mesh, hashes, count);
}

/* The path works again, or is known to have worked all the while. */
static void
end_doubt(struct sas_relay *relay, int service, bool restored,
          const char *cause)
{
    if (restored) {
        log_path(relay, service, cause);
        announce_lost_paths(relay);
        SasRelay_ForgetFailures(relay, service);
    }
    else if (!SasRelay_IsPathInDoubt(relay, service)) {
        SasRelay_ConfirmFailures(relay, service);
    }
}

static void
note_reached(struct sas_relay *relay, int service, int64_t began_at,
             const char *cause)
{
    struct sas_path *path = &SasRelay_GetService(relay, service)->path;
    bool was_in_doubt = SasPath_IsInDoubt(path);
    bool restored = SasPath_NoteReached(path, began_at);
    if (was_in_doubt) {
        end_doubt(relay, service, restored, cause);
    }
}

void
SasRelay_NoteAnswerOn(struct sas_relay *relay, int service, int64_t opened_at)
{
    note_reached(relay, service, opened_at, "an answer");
}

static void
note_unreachable(struct sas_relay *relay, int service, uint64_t server_hash,
                 int64_t began_at)
{
    struct sas_path *path = &SasRelay_GetService(relay, service)->path;
    if (SasPath_NoteUnreachable(path, server_hash,
                                count_servers(relay, service), began_at,
                                SasRelay_Now(relay))) {
        log_path(relay, service, "no connection to several servers");
        announce_lost_paths(relay);
        SasRelay_ForgetFailures(relay, service);
    }
}

void
SasRelay_NoteNoConnection(struct sas_relay *relay, int service,
                          uint64_t server_hash, int64_t began_at)
{
    note_unreachable(relay, service, server_hash, began_at);
    probe_service(relay, service);
}

void
SasRelay_NoteNoAnswer(struct sas_relay *relay, int service,
                      bool connection_lost)
{
    SasPath_NoteUnanswered(&SasRelay_GetService(relay, service)->path);
    if (connection_lost) {
        probe_service(relay, service);
    }
}

static void
on_probed(struct sas_pool_probe *pool_probe, bool accepts_connections)
{
    struct path_probe *probe = (struct path_probe *)pool_probe;
    struct sas_relay *relay = probe->relay;
    if (accepts_connections) {
        note_reached(relay, probe->service, probe->began_at,
                     "a probe connection");
    }
    else {
        note_unreachable(relay, probe->service, probe->server_hash,
                         probe->began_at);
    }
    g_ptr_array_remove_fast(relay->path_probes, probe);
}

static void
probe_server(struct sas_relay *relay, int service, int slot)
{
    struct path_probe *probe = g_new0(struct path_probe, 1);
    probe->probe.on_probed = on_probed;
    probe->relay = relay;
    probe->service = service;
    probe->server_hash = SasFleet_At(relay->options.fleet, slot)->hash;
    probe->began_at = SasRelay_Now(relay);
    g_ptr_array_add(relay->path_probes, probe);
    SasPool_Probe(relay->options.pool, slot, &probe->probe);
}

/* Probes as many servers as lose a path, next to each other from a random one
 * on: some of them may have crashed. */
static void
probe_service(struct sas_relay *relay, int service)
{
    struct sas_path *path = &SasRelay_GetService(relay, service)->path;
    if (!SasPath_TakeProbe(path, SasRelay_Now(relay))) {
        return;
    }
    const GArray *servers =
        SasFleet_GetService(relay->options.fleet, service)->servers;
    if (servers->len == 0) {
        note_reached(relay, service, SasRelay_Now(relay), "no server is left");
        return;
    }
    guint first = (guint)g_rand_int_range(relay->options.random, 0,
                                          (gint32)servers->len);
    guint count = MIN(servers->len, SasPath_LOST_SERVERS);
    for (guint i = 0; i < count; i++) {
        probe_server(relay, service,
                     g_array_index(servers, int, (first + i) % servers->len));
    }
}

void
SasRelay_Sweep(struct sas_relay *relay)
{
    int64_t now_ms = SasRelay_Now(relay);
    if (relay->announced_at > 0 &&
        now_ms - relay->announced_at >= ANNOUNCE_MS) {
        announce_lost_paths(relay);
    }
    for (guint service = 0; service < relay->services->len; service++) {
        probe_service(relay, (int)service);
    }
}
