/* What entry VMs tell each other of backend servers. */
#include "relay_call.h"

#include "sas/log.h"

static bool
is_tester(const struct sas_relay *relay, int slot)
{
    const struct sas_fleet *fleet = relay->options.fleet;
    return SasMesh_IsTester(relay->options.mesh,
                            SasFleet_At(fleet, slot)->hash,
                            SasFleet_GetServerRegion(fleet, slot));
}

/* A server that is back may have started anew, and its entry tells so only
 * with its next heartbeat. Sent to at once by everybody it breaks down again:
 * it is taken for cold until then. */
static void
suspect_cold(struct sas_relay *relay, int slot)
{
    const struct sas_fleet *fleet = relay->options.fleet;
    const struct sas_fleet_service *service =
        SasFleet_GetService(fleet, SasFleet_At(fleet, slot)->service);
    SasRelay_GetSlot(relay, slot)->cold_until_ms =
        SasRelay_Now(relay) + service->cold_ms;
}

void
SasRelay_SuspectCold(struct sas_relay *relay, int slot)
{
    const struct sas_fleet_server *server =
        SasFleet_At(relay->options.fleet, slot);
    if (SasRelay_GetSlot(relay, slot)->cold_until_ms > SasRelay_Now(relay)) {
        return;
    }
    suspect_cold(relay, slot);
    SasLog_WriteFields(SasLog_WARN, "server.cold", server->facts.id,
                       "{s:s, s:i}", "cause", "slow, and nobody can say why",
                       "slow_runs", server->traffic.slow_runs);
}

static void
on_reopened(struct sas_fleet_listener *listener, int zone)
{
    struct sas_relay *relay =
        (struct sas_relay *)((char *)listener -
                             offsetof(struct sas_relay, listener));
    const struct sas_fleet *fleet = relay->options.fleet;
    for (int slot = 0; slot < SasFleet_CountSlots(fleet); slot++) {
        const struct sas_fleet_server *server = SasFleet_At(fleet, slot);
        if (server != NULL && server->zone == zone) {
            suspect_cold(relay, slot);
        }
    }
}

void
SasRelay_TellChange(struct sas_relay *relay, int slot,
                    enum sas_traffic_change change, const char *cause)
{
    if (change == SAS_TRAFFIC_SAME) {
        return;
    }
    struct sas_fleet_server *server = SasFleet_At(relay->options.fleet, slot);
    const struct sas_server_traffic *traffic = &server->traffic;
    bool tripped = change == SAS_TRAFFIC_TRIPPED;
    struct sas_metrics *metrics = relay->options.metrics;
    int counter = SasMetrics_Register(metrics, "sas_servers_tripped_total",
                                      "cause", tripped ? cause : "well again",
                                      "Backend servers given up, by cause");
    SasMetrics_Add(metrics, counter, 1);
    struct sas_mesh_trip_news news = {
        .server_hash = server->hash,
        .left_ms = tripped ? traffic->hold_ms : 0,
        .restarted = !tripped && traffic->was_down,
    };
    if (news.restarted) {
        suspect_cold(relay, slot);
    }
    SasMesh_TellTrip(relay->options.mesh, &news,
                     SasFleet_GetServerRegion(relay->options.fleet, slot));
    if (tripped && !is_tester(relay, slot)) {
        SasTraffic_AwaitWord(relay->options.fleet, slot);
    }
    SasLog_WriteFields(
        SasLog_WARN, tripped ? "server.tripped" : "server.well",
        server->facts.id, "{s:s, s:i, s:i, s:f}", "cause",
        tripped ? cause : "its trial", "for_ms",
        tripped ? (int)traffic->hold_ms : 0, "in_flight", traffic->in_flight,
        "pace_ms",
        SasTraffic_GetPaceMs(relay->options.fleet, server->service));
}

/* The tester passes on what it hears first; the others obey. */
static void
take_trip(struct sas_relay *relay, int slot,
          const struct sas_mesh_trip_news *news)
{
    struct sas_fleet_server *server = SasFleet_At(relay->options.fleet, slot);
    bool tester = is_tester(relay, slot);
    bool was_tripped = server->traffic.tripped;
    if (news->grey) {
        SasTraffic_NoteGrey(server, news->left_ms, SasRelay_Now(relay));
        return;
    }
    SasTraffic_TakeWord(relay->options.fleet, slot, news->left_ms, tester,
                        SasRelay_Now(relay));
    if (news->restarted) {
        suspect_cold(relay, slot);
    }
    if (tester && was_tripped != server->traffic.tripped) {
        SasMesh_TellTrip(relay->options.mesh, news,
                         SasFleet_GetServerRegion(relay->options.fleet, slot));
    }
}

/* SasModel_NONE where this entry VM doesn't know it. */
static int
find_by_hash(const struct sas_fleet *fleet, uint64_t hash)
{
    for (int slot = 0; slot < SasFleet_CountSlots(fleet); slot++) {
        const struct sas_fleet_server *server = SasFleet_At(fleet, slot);
        if (server != NULL && server->hash == hash) {
            return slot;
        }
    }
    return SasModel_NONE;
}

static struct sas_relay *
get_relay(struct sas_mesh_user *user)
{
    return (struct sas_relay *)((char *)user -
                                offsetof(struct sas_relay, peers));
}

static void
on_trip(struct sas_mesh_user *user, const struct sas_mesh_trip_news *news)
{
    struct sas_relay *relay = get_relay(user);
    int slot = find_by_hash(relay->options.fleet, news->server_hash);
    if (slot != SasModel_NONE) {
        take_trip(relay, slot, news);
    }
}

/* Servers that fail part of their requests. */

static void
count_losses(struct sas_relay *relay, int slot, int failed, int answered)
{
    int64_t now_ms = SasRelay_Now(relay);
    struct slot_state *state = SasRelay_GetSlot(relay, slot);
    if (!SasGrey_Add(&state->grey, failed, answered, now_ms)) {
        return;
    }
    struct sas_fleet_server *server = SasFleet_At(relay->options.fleet, slot);
    struct sas_mesh_trip_news news = {
        .server_hash = server->hash,
        .left_ms = SasGrey_HOLD_MS,
        .grey = true,
    };
    SasTraffic_NoteGrey(server, news.left_ms, now_ms);
    SasMesh_TellTrip(relay->options.mesh, &news,
                     SasFleet_GetServerRegion(relay->options.fleet, slot));
    SasLog_WriteFields(SasLog_WARN, "server.grey", server->facts.id,
                       "{s:i, s:s}", "for_ms", (int)news.left_ms, "cause",
                       "fails part of its requests");
}

void
SasRelay_NoteAnswered(struct sas_relay *relay, int slot)
{
    SasGrey_NoteAnswered(&SasRelay_GetSlot(relay, slot)->grey,
                         SasRelay_Now(relay));
}

void
SasRelay_NoteFailed(struct sas_relay *relay, int slot)
{
    struct slot_state *state = SasRelay_GetSlot(relay, slot);
    struct sas_mesh_loss_news news = {
        .server_hash = SasFleet_At(relay->options.fleet, slot)->hash,
        .failed = 1,
        .answered = SasGrey_TakeAnswered(&state->grey, SasRelay_Now(relay)),
    };
    if (is_tester(relay, slot)) {
        count_losses(relay, slot, news.failed, news.answered);
        return;
    }
    SasMesh_TellLoss(relay->options.mesh, &news,
                     SasFleet_GetServerRegion(relay->options.fleet, slot));
}

static void
on_loss(struct sas_mesh_user *user, const struct sas_mesh_loss_news *news)
{
    struct sas_relay *relay = get_relay(user);
    int slot = find_by_hash(relay->options.fleet, news->server_hash);
    if (slot != SasModel_NONE) {
        count_losses(relay, slot, news->failed, news->answered);
    }
}

static void
on_suspect(struct sas_mesh_user *user,
           const struct sas_mesh_suspect_news *news)
{
    SasSuspects_TakeNews(get_relay(user)->suspects, news);
}

static void
on_record(struct sas_mesh_user *user, const struct sas_quarantine_entry *entry)
{
    SasSuspects_TakeRecord(get_relay(user)->suspects, entry);
}

static void
on_differ(struct sas_mesh_user *user, int i)
{
    SasSuspects_TellRecords(get_relay(user)->suspects, i);
}

void
SasRelay_Listen(struct sas_relay *relay)
{
    relay->peers.on_trip = on_trip;
    relay->peers.on_suspect = on_suspect;
    relay->peers.on_record = on_record;
    relay->peers.on_differ = on_differ;
    relay->peers.on_loss = on_loss;
    relay->listener.on_reopened = on_reopened;
    SasFleet_AddListener(relay->options.fleet, &relay->listener);
    SasMesh_SetUser(relay->options.mesh, &relay->peers);
}
