/* What a backend server says of itself in its answers: that it is leaving, and
 * that it wants no requests for a while. */
#include "relay_call.h"

#include <string.h>

#include <jansson.h>

#include "sas/log.h"

#define PAUSE_HEADER "Retry-After"

static const char *
find_leaving(const struct sas_entry_wire *wire,
             const struct sas_http_header *headers, int count)
{
    const char *text = SasHttp_FindHeader(headers, count, wire->leaving);
    return text != NULL || wire->leaving_alias == NULL
               ? text
               : SasHttp_FindHeader(headers, count, wire->leaving_alias);
}

static void
read_leaving(struct relay_call *call, const char *text)
{
    call->says_leaving = strcmp(text, "1") == 0;
    if (!call->says_leaving && strcmp(text, "0") != 0) {
        SasLog_Write(SasLog_WARN, "server.leaving", call->server_id,
                     "\"%.40s\" is neither 0 nor 1", text);
    }
}

/* A server that asks for a pause of unknown length has asked for one. */
static void
read_pause(struct relay_call *call, const char *text)
{
    call->pause_ms = SasServerNotice_ParsePause(text);
    if (call->pause_ms < 0) {
        call->pause_ms = SasServerNotice_DEFAULT_PAUSE_MS;
        SasLog_Write(SasLog_WARN, "server.rest", call->server_id,
                     "\"%.40s\" is not a number of seconds", text);
    }
}

void
SasRelay_ReadNotice(struct relay_call *call,
                    const struct sas_http_header *headers, int count)
{
    const char *leaving =
        find_leaving(call->relay->options.wire, headers, count);
    if (leaving != NULL) {
        read_leaving(call, leaving);
    }
    const char *pause = SasHttp_FindHeader(headers, count, PAUSE_HEADER);
    if (pause != NULL && (call->status == 503 || call->status == 429)) {
        read_pause(call, pause);
    }
}

static void
log_pause(const struct relay_call *call, bool begins)
{
    SasLog_WriteFields(SasLog_INFO, "server.rest", call->server_id,
                       "{s:s, s:I}", "request", call->request_id, "for_ms",
                       (json_int_t)(begins ? call->pause_ms : 0));
}

/* The server's row may be missing, here or at the moment. */
static void
log_leaving(const struct relay_call *call)
{
    const struct sas_fleet *fleet = call->relay->options.fleet;
    int slot = SasFleet_FindStart(fleet, call->server_start);
    const struct sas_server_facts *facts =
        slot != SasModel_NONE ? &SasFleet_At(fleet, slot)->facts : NULL;
    SasLog_WriteFields(SasLog_INFO, "server.leaving",
                       facts != NULL ? facts->id : "", "{s:s, s:b, s:b, s:s}",
                       "request", call->request_id, "listed", facts != NULL,
                       "draining", facts != NULL && facts->draining, "via",
                       call->peer.name);
}

void
SasRelay_NoteLeaving(const struct relay_call *call)
{
    if (SasServerNotice_SetLeaving(SasFleet_GetNotice(
            call->relay->options.fleet, call->server_start))) {
        log_leaving(call);
    }
}

static void
note_pause(const struct relay_call *call, int64_t now_ms)
{
    struct sas_relay *relay = call->relay;
    if (call->pause_ms > 0) {
        struct sas_server_notice *notice =
            SasFleet_GetNotice(relay->options.fleet, call->server_start);
        if (SasServerNotice_NotePause(notice, call->pause_ms, now_ms)) {
            log_pause(call, true);
        }
        return;
    }
    struct sas_fleet_server *server =
        SasFleet_GetServer(relay->options.fleet, call->server);
    if (server != NULL &&
        SasServerNotice_NoteAnswer(&server->notice, now_ms)) {
        log_pause(call, false);
    }
}

void
SasRelay_NoteNotice(const struct relay_call *call, int64_t now_ms)
{
    if (call->status == 421) {
        return; /* of the server that has the address now */
    }
    if (call->says_leaving) {
        SasRelay_NoteLeaving(call);
    }
    note_pause(call, now_ms);
}

int64_t
SasRelay_GetPauseLeftMs(const struct relay_call *call, int64_t now_ms)
{
    const struct sas_fleet *fleet = call->relay->options.fleet;
    const GArray *servers = SasFleet_GetService(fleet, call->service)->servers;
    uint64_t allowed = call->route->allowed_regions;
    int64_t least = 0;
    for (guint i = 0; i < servers->len; i++) {
        int slot = g_array_index(servers, int, i);
        int region = SasFleet_GetServerRegion(fleet, slot);
        if (!SasFleet_AcceptsRequests(fleet, slot) ||
            (allowed != 0 && (allowed >> region & 1) == 0)) {
            continue;
        }
        int64_t wait_ms = SasServerNotice_GetWaitMs(
            &SasFleet_At(fleet, slot)->notice, now_ms);
        if (wait_ms > 0 && (least == 0 || wait_ms < least)) {
            least = wait_ms;
        }
    }
    return least;
}
