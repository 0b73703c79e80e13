/* The request rate that a backend server takes from all entry VMs together. */
#include "relay_call.h"

#include "sas/log.h"

/* Any entry VM of the server's region may be told and send; the others send it
 * nothing. Those with a high capacity come first, as they get most requests.
 */
static struct sas_limit_senders
find_senders(const struct sas_relay *relay, int slot)
{
    const struct sas_fleet *fleet = relay->options.fleet;
    int region = SasFleet_GetServerRegion(fleet, slot);
    struct sas_mesh_senders senders = SasMesh_GetSendersByCapacity(
        relay->options.mesh, SasFleet_At(fleet, slot)->hash, region);
    return (struct sas_limit_senders){
        .count = senders.count,
        .rank = senders.rank,
        .has_share = senders.has_share &&
                     SasMesh_IsOwnRegion(relay->options.mesh, region),
    };
}

static void
log_limit(const struct relay_call *call, double per_s)
{
    struct sas_limit_senders senders =
        find_senders(call->relay, call->server.slot);
    SasLog_WriteFields(SasLog_INFO, "server.limit", call->server_id,
                       "{s:f, s:i, s:i, s:b}", "per_s", per_s, "entry_vms",
                       senders.count, "rank", senders.rank, "has_share",
                       senders.has_share);
}

void
SasRelay_NoteLimit(const struct relay_call *call)
{
    struct sas_relay *relay = call->relay;
    struct sas_server_limit *limit =
        &SasRelay_GetSlot(relay, call->server.slot)->limit;
    if (call->limit_per_s >= 0) {
        if (SasServerLimit_Set(limit, call->limit_per_s,
                               SasRelay_Now(relay))) {
            log_limit(call, call->limit_per_s);
        }
        return;
    }
    /* A refusal, or an answer that the server has not made, doesn't end it. */
    bool names_none = call->sealed && !call->names_limit;
    if (names_none && SasServerLimit_Clear(limit)) {
        log_limit(call, -1);
    }
}

int64_t
SasRelay_GetLimitWaitMs(struct sas_relay *relay, int slot, int64_t now_ms)
{
    struct sas_server_limit *limit = &SasRelay_GetSlot(relay, slot)->limit;
    if (!limit->named) {
        return 0;
    }
    struct sas_limit_senders senders = find_senders(relay, slot);
    return SasServerLimit_GetWaitMs(limit, &senders, now_ms);
}
