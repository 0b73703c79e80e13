#include "sas/traffic.h"

#include <math.h>

double
SasTraffic_GetServiceTimeMs(const struct sas_fleet *fleet, int service)
{
    return SasServiceTime_Get(
        &SasFleet_GetService(fleet, service)->service_time, false);
}

/* Converts service times at the server to milliseconds. */
static int64_t
in_service_times(const struct sas_fleet *fleet, int slot, double count)
{
    int service = SasFleet_At(fleet, slot)->service;
    return (int64_t)(count * SasTraffic_GetServiceTimeMs(fleet, service));
}

void
SasTraffic_NoteSent(struct sas_fleet_server *server, int64_t now_ms)
{
    struct sas_server_traffic *traffic = &server->traffic;
    traffic->in_flight++;
    if (traffic->no_answer_since == 0) {
        traffic->no_answer_since = now_ms;
    }
}

void
SasTraffic_NoteEnded(struct sas_fleet_server *server, bool answered,
                     int64_t now_ms)
{
    struct sas_server_traffic *traffic = &server->traffic;
    traffic->in_flight--;
    if (answered) {
        traffic->no_answer_since = traffic->in_flight > 0 ? now_ms : 0;
    }
}

bool
SasTraffic_IsUnresponsive(const struct sas_fleet *fleet, int slot,
                          int64_t now_ms)
{
    const struct sas_server_traffic *traffic =
        &SasFleet_At(fleet, slot)->traffic;
    return traffic->in_flight > 0 && traffic->no_answer_since > 0 &&
           now_ms - traffic->no_answer_since >=
               in_service_times(fleet, slot, SasTraffic_UNRESPONSIVE);
}

bool
SasTraffic_IsSlow(const struct sas_fleet_server *server)
{
    return server->traffic.slow_runs >= SasTraffic_SLOW_RUNS;
}

static void
note_queue(struct sas_fleet *fleet, int slot, int waiting, int64_t now_ms)
{
    struct sas_server_traffic *traffic = &SasFleet_At(fleet, slot)->traffic;
    if (waiting < SasTraffic_QUEUE) {
        traffic->queue_standing_since = 0;
        return;
    }
    if (traffic->queue_standing_since == 0) {
        traffic->queue_standing_since = now_ms;
    }
    if (now_ms - traffic->queue_standing_since >=
        in_service_times(fleet, slot, SasTraffic_STANDING_AFTER)) {
        traffic->short_queue_until =
            now_ms + in_service_times(fleet, slot, SasTraffic_SHORT_QUEUE);
    }
}

void
SasTraffic_NoteReport(struct sas_fleet *fleet, int slot,
                      const struct sas_traffic_report *report, int64_t now_ms)
{
    if (report->running < 0) {
        return;
    }
    struct sas_server_traffic *traffic = &SasFleet_At(fleet, slot)->traffic;
    traffic->reported_running = report->running;
    traffic->reported_waiting = report->waiting;
    traffic->in_flight_at_report = traffic->in_flight;
    traffic->reported_at = now_ms;
    note_queue(fleet, slot, report->waiting, now_ms);
}

/* Circuit breaker. */

static bool
too_many_ejected(const struct sas_fleet *fleet, int service)
{
    const GArray *slots = SasFleet_GetService(fleet, service)->servers;
    int ejected = 1; /* the next one */
    for (guint i = 0; i < slots->len; i++) {
        int slot = g_array_index(slots, int, i);
        ejected += SasFleet_At(fleet, slot)->traffic.ejected ? 1 : 0;
    }
    return ejected > SasTraffic_MAX_EJECTED_SHARE * slots->len;
}

static enum sas_traffic_change
eject(struct sas_fleet *fleet, int slot, int64_t now_ms)
{
    struct sas_fleet_server *server = SasFleet_At(fleet, slot);
    struct sas_server_traffic *traffic = &server->traffic;
    if (now_ms < MAX(traffic->ejected_until, traffic->peer_ejected_until)) {
        return SAS_TRAFFIC_SAME; /* a request from before the ejection */
    }
    if (!traffic->ejected && too_many_ejected(fleet, server->service)) {
        return SAS_TRAFFIC_SAME;
    }
    traffic->ejection_ms = traffic->ejected ? MIN(traffic->ejection_ms * 2,
                                                  SasTraffic_MAX_EJECTION_MS)
                                            : SasTraffic_EJECTION_MS;
    traffic->refused_connections =
        traffic->ejected && traffic->refused_connections;
    traffic->ejected = true;
    traffic->ejected_until = now_ms + traffic->ejection_ms;
    return SAS_TRAFFIC_EJECTED;
}

static void
end_ejection(struct sas_server_traffic *traffic)
{
    traffic->ejected = false;
    traffic->ejected_until = 0;
    traffic->failures = 0;
    traffic->timeouts = 0;
}

static void
recover(struct sas_server_traffic *traffic)
{
    end_ejection(traffic);
    traffic->peer_ejected_until = 0;
}

/* Expected time of a request, queue included, in multiples of its service
 * time. */
static double
get_queue_factor(const struct sas_fleet_server *server, double load_when_sent)
{
    return MAX((load_when_sent + 1) / server->facts.slots, 1);
}

static enum sas_traffic_change
end_probe(struct sas_fleet *fleet, int slot, bool healthy, int64_t now_ms)
{
    if (!healthy) {
        return eject(fleet, slot, now_ms);
    }
    recover(&SasFleet_At(fleet, slot)->traffic);
    return SAS_TRAFFIC_RECOVERED;
}

bool
SasTraffic_FoundSlot(const struct sas_fleet_server *server,
                     double load_when_sent)
{
    return load_when_sent < server->facts.slots;
}

/* Adds a sample of the service time if the request found a free slot. */
static void
note_service_time(struct sas_fleet *fleet,
                  const struct sas_fleet_server *server,
                  const struct sas_attempt_result *result)
{
    if (!result->timed_out &&
        SasTraffic_FoundSlot(server, result->load_when_sent)) {
        SasServiceTime_Note(
            &SasFleet_GetService(fleet, server->service)->service_time,
            result->cached, result->elapsed_ms);
    }
}

enum sas_traffic_change
SasTraffic_NoteResult(struct sas_fleet *fleet, int slot,
                      const struct sas_attempt_result *result, int64_t now_ms)
{
    struct sas_fleet_server *server = SasFleet_At(fleet, slot);
    struct sas_server_traffic *traffic = &server->traffic;
    traffic->failures = 0;
    if (result->failed) {
        return SAS_TRAFFIC_SAME;
    }
    double relative_time = result->elapsed_ms /
                           get_queue_factor(server, result->load_when_sent) /
                           SasTraffic_GetServiceTimeMs(fleet, server->service);
    bool healthy = !result->timed_out && relative_time <= SasTraffic_MAX_PROBE;
    traffic->timeouts = result->timed_out ? traffic->timeouts + 1 : 0;
    if (healthy) {
        traffic->healthy_at = now_ms;
    }
    bool slow =
        !healthy || (result->cached && relative_time > SasTraffic_SLOW_CACHED);
    traffic->slow_runs = slow ? traffic->slow_runs + 1 : 0;
    if (traffic->ejected && now_ms >= traffic->ejected_until) {
        return end_probe(fleet, slot, healthy, now_ms);
    }
    note_service_time(fleet, server, result);
    return traffic->timeouts >= SasTraffic_MAX_TIMEOUTS
               ? eject(fleet, slot, now_ms)
               : SAS_TRAFFIC_SAME;
}

enum sas_traffic_change
SasTraffic_NoteFailure(struct sas_fleet *fleet, int slot, bool reset,
                       int64_t now_ms)
{
    struct sas_server_traffic *traffic = &SasFleet_At(fleet, slot)->traffic;
    int limit = reset ? SasTraffic_MAX_RESETS : SasTraffic_MAX_FAILURES;
    traffic->failures++;
    if (!traffic->ejected && traffic->failures < limit) {
        return SAS_TRAFFIC_SAME;
    }
    enum sas_traffic_change change = eject(fleet, slot, now_ms);
    traffic->refused_connections = traffic->refused_connections || !reset;
    return change;
}

enum sas_traffic_change
SasTraffic_NoteReplaced(struct sas_fleet *fleet, int slot, int64_t now_ms)
{
    struct sas_server_traffic *traffic = &SasFleet_At(fleet, slot)->traffic;
    traffic->ejected = true;
    traffic->ejection_ms = SasTraffic_MAX_EJECTION_MS;
    traffic->ejected_until = now_ms + traffic->ejection_ms;
    return SAS_TRAFFIC_EJECTED;
}

static int64_t
get_probe_result_ms(const struct sas_fleet *fleet, int slot)
{
    return SasTraffic_PROBE_RESULT_MS +
           in_service_times(fleet, slot, SasTraffic_PROBE_RESULT);
}

void
SasTraffic_ApplyPeerReport(struct sas_fleet *fleet, int slot, int64_t left_ms,
                           bool prober, int64_t now_ms)
{
    struct sas_server_traffic *traffic = &SasFleet_At(fleet, slot)->traffic;
    if (left_ms == 0) {
        recover(traffic);
        return;
    }
    if (traffic->healthy_at > 0 &&
        now_ms - traffic->healthy_at <
            in_service_times(fleet, slot, SasTraffic_HEALTHY_FOR)) {
        return;
    }
    if (!prober) {
        traffic->peer_ejected_until =
            MAX(traffic->peer_ejected_until,
                now_ms + left_ms + get_probe_result_ms(fleet, slot));
        return;
    }
    if (!traffic->ejected) {
        traffic->ejected = true;
        traffic->ejection_ms = left_ms;
        traffic->ejected_until = now_ms + left_ms;
    }
}

void
SasTraffic_UndoPeerReport(struct sas_fleet *fleet, int slot,
                          const struct sas_server_traffic *before)
{
    struct sas_server_traffic *traffic = &SasFleet_At(fleet, slot)->traffic;
    traffic->peer_ejected_until =
        MIN(traffic->peer_ejected_until, before->peer_ejected_until);
    if (traffic->ejected && !before->ejected) {
        end_ejection(traffic);
    }
}

void
SasTraffic_ForgetFailures(struct sas_fleet *fleet, int slot)
{
    struct sas_server_traffic *traffic = &SasFleet_At(fleet, slot)->traffic;
    end_ejection(traffic);
    traffic->refused_connections = false;
}

void
SasTraffic_AwaitPeerReport(struct sas_fleet *fleet, int slot)
{
    struct sas_server_traffic *traffic = &SasFleet_At(fleet, slot)->traffic;
    traffic->peer_ejected_until =
        MAX(traffic->peer_ejected_until,
            traffic->ejected_until + get_probe_result_ms(fleet, slot));
}

void
SasTraffic_NoteGrey(struct sas_fleet_server *server, int64_t left_ms,
                    int64_t now_ms)
{
    server->traffic.grey_until =
        MAX(server->traffic.grey_until, now_ms + left_ms);
}

bool
SasTraffic_IsGrey(const struct sas_fleet_server *server, int64_t now_ms)
{
    return now_ms < server->traffic.grey_until;
}

bool
SasTraffic_IsEjected(const struct sas_fleet_server *server, int64_t now_ms)
{
    const struct sas_server_traffic *traffic = &server->traffic;
    if (now_ms < traffic->peer_ejected_until) {
        return true;
    }
    if (!traffic->ejected) {
        return false;
    }
    return now_ms < traffic->ejected_until || traffic->in_flight > 0;
}

bool
SasTraffic_IsAvailable(const struct sas_fleet *fleet, int slot, int64_t now_ms)
{
    if (!SasFleet_AcceptsRequests(fleet, slot)) {
        return false;
    }
    const struct sas_fleet_server *server = SasFleet_At(fleet, slot);
    return !SasTraffic_IsEjected(server, now_ms) &&
           SasServerNotice_GetWaitMs(&server->notice, now_ms) == 0;
}

double
SasTraffic_EstimateLoad(const struct sas_fleet *fleet, int slot,
                        int64_t now_ms)
{
    const struct sas_fleet_server *server = SasFleet_At(fleet, slot);
    const struct sas_server_traffic *traffic = &server->traffic;
    if (traffic->reported_at == 0) {
        return traffic->in_flight;
    }
    double others = traffic->reported_running + traffic->reported_waiting -
                    traffic->in_flight_at_report;
    double half_life_ms = SasTraffic_HALF_LIFE *
                          SasTraffic_GetServiceTimeMs(fleet, server->service);
    double age_ms = (double)(now_ms - traffic->reported_at);
    return traffic->in_flight + MAX(others, 0) * exp2(-age_ms / half_life_ms);
}

double
SasTraffic_EstimateWaitMs(const struct sas_fleet *fleet, int slot,
                          int64_t now_ms)
{
    const struct sas_fleet_server *server = SasFleet_At(fleet, slot);
    double slots = MAX(server->facts.slots, 1);
    double ahead = SasTraffic_EstimateLoad(fleet, slot, now_ms) - slots + 1;
    double work_ms =
        SasFleet_GetService(fleet, server->service)->service_time.overall.ms;
    return MAX(ahead, 0) * work_ms / slots;
}

bool
SasTraffic_HasFreeSlots(const struct sas_fleet *fleet, int slot, int spare,
                        int64_t now_ms)
{
    return SasTraffic_EstimateLoad(fleet, slot, now_ms) <
           SasFleet_At(fleet, slot)->facts.slots - spare;
}
