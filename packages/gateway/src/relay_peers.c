/* Exchanges reports on backend servers with other entry VMs. */
#include "relay_call.h"

#include <jansson.h>

#include "sas/log.h"

static void report_failures(struct sas_relay *relay, int slot, int failed);

static bool
is_prober(const struct sas_relay *relay, int slot)
{
    const struct sas_fleet *fleet = relay->options.fleet;
    return SasMesh_IsProber(relay->options.mesh,
                            SasFleet_At(fleet, slot)->hash,
                            SasFleet_GetServerRegion(fleet, slot));
}

/* A server that has recovered may be a new process, which its row only shows
 * after the next heartbeat. The load of all entry VMs at once would break it
 * down again. So it counts as cold for the service's cold time, or until its
 * row shows the new process. */
static void
assume_cold(struct sas_relay *relay, int slot)
{
    const struct sas_fleet *fleet = relay->options.fleet;
    const struct sas_fleet_service *service =
        SasFleet_GetService(fleet, SasFleet_At(fleet, slot)->service);
    SasRelay_GetSlot(relay, slot)->cold_until_ms =
        SasRelay_Now(relay) + service->cold_ms;
}

void
SasRelay_AssumeCold(struct sas_relay *relay, int slot)
{
    const struct sas_fleet_server *server =
        SasFleet_At(relay->options.fleet, slot);
    if (SasRelay_GetSlot(relay, slot)->cold_until_ms > SasRelay_Now(relay)) {
        return;
    }
    assume_cold(relay, slot);
    SasLog_WriteFields(SasLog_WARN, "server.cold", server->facts.id,
                       "{s:s, s:i}", "cause", "slow, and nobody can say why",
                       "slow_runs", server->traffic.slow_runs);
}

static void
on_reopened(struct sas_fleet_listener *fleet_listener, int zone)
{
    struct sas_relay *relay =
        (struct sas_relay *)((char *)fleet_listener -
                             offsetof(struct sas_relay, fleet_listener));
    const struct sas_fleet *fleet = relay->options.fleet;
    for (int slot = 0; slot < SasFleet_CountSlots(fleet); slot++) {
        const struct sas_fleet_server *server = SasFleet_At(fleet, slot);
        if (server != NULL && server->zone == zone) {
            assume_cold(relay, slot);
        }
    }
}

static bool
is_path_in_doubt(struct sas_relay *relay, int slot)
{
    return SasRelay_IsPathInDoubt(
        relay, SasFleet_At(relay->options.fleet, slot)->service);
}

/* Tells the other entry VMs of the server. */
static void
send_report(struct sas_relay *relay, int slot,
            const struct sas_mesh_ejection *report)
{
    const struct sas_fleet *fleet = relay->options.fleet;
    struct sas_mesh_ejection ejection = *report;
    ejection.server_hash = SasFleet_At(fleet, slot)->hash;
    SasMesh_ReportEjection(relay->options.mesh, &ejection,
                           SasFleet_GetServerRegion(fleet, slot));
}

/* Tells them that it is ejected for left_ms. */
static void
report_ejection(struct sas_relay *relay, int slot, int64_t left_ms)
{
    struct sas_fleet *fleet = relay->options.fleet;
    struct sas_mesh_ejection ejection = {
        .left_ms = left_ms,
        .refused_connections =
            SasFleet_At(fleet, slot)->traffic.refused_connections,
    };
    send_report(relay, slot, &ejection);
    if (!is_prober(relay, slot)) {
        SasTraffic_AwaitPeerReport(fleet, slot);
    }
}

static void
report_recovery(struct sas_relay *relay, int slot)
{
    struct sas_mesh_ejection ejection = {
        .refused_connections = SasFleet_At(relay->options.fleet, slot)
                                   ->traffic.refused_connections,
    };
    if (ejection.refused_connections) {
        assume_cold(relay, slot);
    }
    send_report(relay, slot, &ejection);
}

static void
log_change(struct sas_relay *relay, int slot, bool ejected, const char *cause)
{
    const struct sas_fleet_server *server =
        SasFleet_At(relay->options.fleet, slot);
    const struct sas_server_traffic *traffic = &server->traffic;
    struct sas_metrics *metrics = relay->options.metrics;
    int counter = SasMetrics_RegisterCounter(
        metrics, "sas_servers_tripped_total", "cause",
        ejected ? cause : "well again", "Backend servers given up, by cause");
    SasMetrics_Add(metrics, counter, 1);
    SasLog_WriteFields(
        SasLog_WARN, ejected ? "server.tripped" : "server.well",
        server->facts.id, "{s:s, s:i, s:i, s:f, s:b}", "cause",
        ejected ? cause : "its trial", "for_ms",
        ejected ? (int)traffic->ejection_ms : 0, "in_flight",
        traffic->in_flight, "pace_ms",
        SasTraffic_GetServiceTimeMs(relay->options.fleet, server->service),
        "path_in_doubt", is_path_in_doubt(relay, slot));
}

/* An ejection that was made while the path was in doubt is reported once the
 * path works and the server still accepts no connection: one entry VM that
 * reaches no server must not take them from the others. */
void
SasRelay_ReportChange(struct sas_relay *relay, int slot,
                      enum sas_traffic_change change, const char *cause)
{
    if (change == SAS_TRAFFIC_SAME) {
        return;
    }
    log_change(relay, slot, change == SAS_TRAFFIC_EJECTED, cause);
    struct slot_state *state = SasRelay_GetSlot(relay, slot);
    state->reached = false;
    state->refused_here =
        change == SAS_TRAFFIC_EJECTED &&
        SasFleet_At(relay->options.fleet, slot)->traffic.refused_connections;
    if (change != SAS_TRAFFIC_EJECTED) {
        report_recovery(relay, slot);
    }
    else if (is_path_in_doubt(relay, slot)) {
        state->unconfirmed.ejected = true;
    }
    else {
        report_ejection(
            relay, slot,
            SasFleet_At(relay->options.fleet, slot)->traffic.ejection_ms);
    }
}

/* Whether a server accepts a connection, where what another entry VM says of
 * it, or what failed here, doesn't tell. */
struct server_check {
    struct sas_pool_probe probe;
    struct sas_relay *relay;
    struct sas_server_ref server;
    void (*on_end)(struct server_check *check, int slot,
                   bool accepts_connections);
    /* of a report */
    int reporter;
    struct sas_server_traffic before; /* it was applied */
};

static void
on_checked(struct sas_pool_probe *probe, bool accepts_connections)
{
    struct server_check *check = (struct server_check *)probe;
    struct sas_relay *relay = check->relay;
    if (SasFleet_GetServer(relay->options.fleet, check->server) != NULL) {
        check->on_end(check, check->server.slot, accepts_connections);
    }
    g_ptr_array_remove_fast(relay->server_checks, check);
}

static struct server_check *
new_check(struct sas_relay *relay, int slot,
          void (*on_end)(struct server_check *check, int slot,
                         bool accepts_connections))
{
    struct server_check *check = g_new0(struct server_check, 1);
    check->probe.on_probed = on_checked;
    check->relay = relay;
    check->server = SasFleet_GetRef(relay->options.fleet, slot);
    check->on_end = on_end;
    g_ptr_array_add(relay->server_checks, check);
    return check;
}

static void
start_check(struct server_check *check)
{
    SasPool_Probe(check->relay->options.pool, check->server.slot,
                  &check->probe);
}

/* The server of an ejection that was made in doubt, now that the path works:
 * if it accepts connections it was the path that had failed. */
static void
on_ejection_checked(struct server_check *check, int slot,
                    bool accepts_connections)
{
    struct sas_relay *relay = check->relay;
    struct unconfirmed *unconfirmed =
        &SasRelay_GetSlot(relay, slot)->unconfirmed;
    if (!unconfirmed->ejected) {
        return; /* forgotten meanwhile */
    }
    unconfirmed->ejected = false;
    if (accepts_connections) {
        SasRelay_GetSlot(relay, slot)->refused_here = false;
        SasTraffic_ForgetFailures(relay->options.fleet, slot);
        return;
    }
    const struct sas_server_traffic *traffic =
        &SasFleet_At(relay->options.fleet, slot)->traffic;
    int64_t left_ms = traffic->ejected_until - SasRelay_Now(relay);
    if (traffic->ejected && left_ms > 0) {
        report_ejection(relay, slot, left_ms);
    }
}

static void
confirm_server(struct sas_relay *relay, int slot)
{
    struct unconfirmed *unconfirmed =
        &SasRelay_GetSlot(relay, slot)->unconfirmed;
    int failed = unconfirmed->failed;
    unconfirmed->failed = 0;
    if (unconfirmed->ejected) {
        start_check(new_check(relay, slot, on_ejection_checked));
    }
    if (failed > 0) {
        report_failures(relay, slot, failed);
    }
}

void
SasRelay_ConfirmFailures(struct sas_relay *relay, int service)
{
    const GArray *servers =
        SasFleet_GetService(relay->options.fleet, service)->servers;
    for (guint i = 0; i < servers->len; i++) {
        confirm_server(relay, g_array_index(servers, int, i));
    }
}

void
SasRelay_ForgetFailures(struct sas_relay *relay, int service)
{
    const GArray *servers =
        SasFleet_GetService(relay->options.fleet, service)->servers;
    for (guint i = 0; i < servers->len; i++) {
        int slot = g_array_index(servers, int, i);
        struct slot_state *state = SasRelay_GetSlot(relay, slot);
        if (state->unconfirmed.ejected) {
            SasTraffic_ForgetFailures(relay->options.fleet, slot);
        }
        state->unconfirmed = (struct unconfirmed){0};
        state->refused_here = false;
    }
}

/* Without this line a server that is ejected here though nothing failed here
 * can't be told from one that failed. */
static void
log_peer_report(const struct sas_fleet_server *server,
                const struct sas_mesh_ejection *ejection, int64_t now_ms)
{
    const struct sas_server_traffic *traffic = &server->traffic;
    SasLog_WriteFields(
        SasLog_INFO, "server.reported", server->facts.id, "{s:I, s:b, s:I}",
        "for_ms", (json_int_t)ejection->left_ms, "applied",
        SasTraffic_IsEjected(server, now_ms) == (ejection->left_ms > 0),
        "healthy_age_ms",
        (json_int_t)(traffic->healthy_at > 0 ? now_ms - traffic->healthy_at
                                             : -1));
}

/* A report of a recovery, which tells the reporter that it is not the server
 * that has failed. */
static void
answer_report(struct sas_relay *relay, int slot, int reporter)
{
    const struct sas_fleet *fleet = relay->options.fleet;
    if (SasMesh_AnswersReport(
            relay->options.mesh, SasFleet_At(fleet, slot)->hash,
            SasFleet_GetServerRegion(fleet, slot), reporter)) {
        send_report(relay, slot, &(struct sas_mesh_ejection){.left_ms = 0});
    }
}

/* Another entry VM can't reach the server: if it is reached from here, the
 * report is undone, and its recovery is no restart. */
static void
on_report_checked(struct server_check *check, int slot,
                  bool accepts_connections)
{
    struct sas_relay *relay = check->relay;
    if (!accepts_connections) {
        return;
    }
    SasRelay_GetSlot(relay, slot)->reached = true;
    SasTraffic_UndoPeerReport(relay->options.fleet, slot, &check->before);
    SasLog_Write(SasLog_INFO, "server.reached",
                 SasFleet_At(relay->options.fleet, slot)->facts.id,
                 "it accepts a connection; a report is undone");
    answer_report(relay, slot, check->reporter);
}

static void
check_report(struct sas_relay *relay, int slot, int reporter,
             const struct sas_server_traffic *before)
{
    struct server_check *check = new_check(relay, slot, on_report_checked);
    check->probe.without_hold = true;
    check->reporter = reporter;
    check->before = *before;
    start_check(check);
}

/* Others reach the server again, or have reached it all the while. */
static void
on_recovery_checked(struct server_check *check, int slot,
                    bool accepts_connections)
{
    struct sas_relay *relay = check->relay;
    if (accepts_connections) {
        SasRelay_GetSlot(relay, slot)->refused_here = false;
        SasTraffic_ApplyPeerReport(relay->options.fleet, slot, 0, false,
                                   SasRelay_Now(relay));
    }
}

/* Where this process's own connections were refused, they decide. */
static void
apply_recovery(struct sas_relay *relay, int slot,
               const struct sas_mesh_ejection *ejection)
{
    struct slot_state *state = SasRelay_GetSlot(relay, slot);
    struct sas_server_traffic *traffic =
        &SasFleet_At(relay->options.fleet, slot)->traffic;
    if (ejection->refused_connections && !state->reached) {
        assume_cold(relay, slot);
    }
    if (!state->refused_here || !traffic->ejected) {
        SasTraffic_ApplyPeerReport(relay->options.fleet, slot, 0, false,
                                   SasRelay_Now(relay));
        return;
    }
    traffic->refused_connections = ejection->refused_connections;
    start_check(new_check(relay, slot, on_recovery_checked));
}

static void
apply_failure(struct sas_relay *relay, int slot,
              const struct sas_mesh_ejection *ejection)
{
    struct sas_server_traffic before =
        SasFleet_At(relay->options.fleet, slot)->traffic;
    SasTraffic_ApplyPeerReport(relay->options.fleet, slot, ejection->left_ms,
                               is_prober(relay, slot), SasRelay_Now(relay));
    SasRelay_GetSlot(relay, slot)->reached = false;
    if (ejection->refused_connections) {
        check_report(relay, slot, ejection->reporter, &before);
    }
}

/* Applies a peer's report; the prober forwards it to all if it changes the
 * server's state here. */
static void
apply_ejection(struct sas_relay *relay, int slot,
               const struct sas_mesh_ejection *ejection)
{
    struct sas_fleet_server *server = SasFleet_At(relay->options.fleet, slot);
    bool was_ejected = server->traffic.ejected;
    if (ejection->grey_failure) {
        SasTraffic_NoteGrey(server, ejection->left_ms, SasRelay_Now(relay));
        return;
    }
    if (ejection->left_ms > 0) {
        apply_failure(relay, slot, ejection);
    }
    else {
        apply_recovery(relay, slot, ejection);
    }
    log_peer_report(server, ejection, SasRelay_Now(relay));
    if (is_prober(relay, slot) && was_ejected != server->traffic.ejected) {
        send_report(relay, slot, ejection);
    }
}

/* The server's slot; SasModel_NONE if it is not in the fleet. */
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
get_relay(struct sas_mesh_listener *listener)
{
    return (struct sas_relay *)((char *)listener -
                                offsetof(struct sas_relay, mesh_listener));
}

static void
on_ejection(struct sas_mesh_listener *listener,
            const struct sas_mesh_ejection *ejection)
{
    struct sas_relay *relay = get_relay(listener);
    int slot = find_by_hash(relay->options.fleet, ejection->server_hash);
    if (slot != SasModel_NONE) {
        apply_ejection(relay, slot, ejection);
    }
}

/* Grey failures. */

static void
count_failures(struct sas_relay *relay, int slot, int failed, int answered)
{
    int64_t now_ms = SasRelay_Now(relay);
    struct slot_state *state = SasRelay_GetSlot(relay, slot);
    if (!SasGreyFailure_AddReport(&state->grey_failure, failed, answered,
                                  now_ms)) {
        return;
    }
    struct sas_fleet_server *server = SasFleet_At(relay->options.fleet, slot);
    struct sas_mesh_ejection ejection = {
        .left_ms = SasGreyFailure_MARK_MS,
        .grey_failure = true,
    };
    SasTraffic_NoteGrey(server, ejection.left_ms, now_ms);
    send_report(relay, slot, &ejection);
    SasLog_WriteFields(SasLog_WARN, "server.grey", server->facts.id,
                       "{s:i, s:s}", "for_ms", (int)ejection.left_ms, "cause",
                       "fails part of its requests");
}

void
SasRelay_NoteAnswered(struct sas_relay *relay, int slot)
{
    SasGreyFailure_NoteAnswered(&SasRelay_GetSlot(relay, slot)->grey_failure,
                                SasRelay_Now(relay));
}

static void
report_failures(struct sas_relay *relay, int slot, int failed)
{
    struct slot_state *state = SasRelay_GetSlot(relay, slot);
    struct sas_mesh_failure_report report = {
        .server_hash = SasFleet_At(relay->options.fleet, slot)->hash,
        .failed = failed,
        .answered = SasGreyFailure_TakeUnreported(&state->grey_failure,
                                                  SasRelay_Now(relay)),
    };
    if (is_prober(relay, slot)) {
        count_failures(relay, slot, report.failed, report.answered);
        return;
    }
    SasMesh_ReportFailures(
        relay->options.mesh, &report,
        SasFleet_GetServerRegion(relay->options.fleet, slot));
}

void
SasRelay_NoteFailed(struct sas_relay *relay, int slot)
{
    if (is_path_in_doubt(relay, slot)) {
        SasRelay_GetSlot(relay, slot)->unconfirmed.failed++;
        return;
    }
    report_failures(relay, slot, 1);
}

static void
on_failure_report(struct sas_mesh_listener *listener,
                  const struct sas_mesh_failure_report *report)
{
    struct sas_relay *relay = get_relay(listener);
    int slot = find_by_hash(relay->options.fleet, report->server_hash);
    if (slot != SasModel_NONE) {
        count_failures(relay, slot, report->failed, report->answered);
    }
}

static void
on_poison_update(struct sas_mesh_listener *listener,
                 const struct sas_mesh_poison_update *update)
{
    SasPoisonRequests_ApplyUpdate(get_relay(listener)->poison_requests,
                                  update);
}

static void
on_record(struct sas_mesh_listener *listener,
          const struct sas_quarantine_entry *entry)
{
    SasPoisonRequests_ApplyRecord(get_relay(listener)->poison_requests, entry);
}

static void
on_digest_mismatch(struct sas_mesh_listener *listener, int i)
{
    SasPoisonRequests_SendRecords(get_relay(listener)->poison_requests, i);
}

void
SasRelay_Subscribe(struct sas_relay *relay)
{
    relay->mesh_listener.on_ejection = on_ejection;
    relay->mesh_listener.on_poison_update = on_poison_update;
    relay->mesh_listener.on_record = on_record;
    relay->mesh_listener.on_digest_mismatch = on_digest_mismatch;
    relay->mesh_listener.on_failure_report = on_failure_report;
    relay->fleet_listener.on_zone_restored = on_reopened;
    SasFleet_AddListener(relay->options.fleet, &relay->fleet_listener);
    SasMesh_SetListener(relay->options.mesh, &relay->mesh_listener);
}
