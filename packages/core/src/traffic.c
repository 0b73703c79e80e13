#include "sas/traffic.h"

#include <math.h>

#define SMOOTHING 0.15
#define DEFAULT_SERVICE_MS 150.0
#define MIN_ROOM_MS 50
#define MAX_ROOM_MS 1000

/* It moves slowly; sorting for each request would cost more than all
 * other decisions on it. */
#define TYPICAL_EVERY_MS 250

void
SasTraffic_NoteSent(struct sas_fleet_server *server, int64_t now_ms)
{
    if (server->traffic.in_flight == 0) {
        server->traffic.busy_since = now_ms;
    }
    server->traffic.in_flight++;
}

void
SasTraffic_NoteEnded(struct sas_fleet_server *server, int64_t now_ms)
{
    server->traffic.in_flight--;
    server->traffic.busy_since = now_ms;
}

static void
note_queue(struct sas_server_traffic *traffic, int waiting, int64_t now_ms)
{
    if (waiting < SasTraffic_BRIEF_WAITING) {
        traffic->queued_since = 0;
        return;
    }
    if (traffic->queued_since == 0) {
        traffic->queued_since = now_ms;
    }
    if (now_ms - traffic->queued_since >= SasTraffic_STANDING_MS) {
        traffic->brief_until = now_ms + SasTraffic_BRIEF_MS;
    }
}

void
SasTraffic_NoteReport(struct sas_fleet_server *server,
                      const struct sas_traffic_report *report, int64_t now_ms)
{
    if (report->running < 0) {
        return;
    }
    struct sas_server_traffic *traffic = &server->traffic;
    traffic->reported_running = report->running;
    traffic->reported_waiting = report->waiting;
    traffic->in_flight_at_report = traffic->in_flight;
    traffic->reported_at = now_ms;
    note_queue(traffic, report->waiting, now_ms);
}

/* The usual time of a service. */

static int
compare_times(gconstpointer a, gconstpointer b)
{
    double left = *(const double *)a;
    double right = *(const double *)b;
    return (left > right) - (left < right);
}

/* The lower quartile: with the slower half of the servers in trouble it is
 * still the time of healthy ones. */
static double
get_lower_quartile(const struct sas_fleet *fleet, const GArray *slots)
{
    g_autoptr(GArray) times = g_array_new(FALSE, FALSE, sizeof(double));
    for (guint i = 0; i < slots->len; i++) {
        int slot = g_array_index(slots, int, i);
        double service_ms = SasFleet_At(fleet, slot)->traffic.service_ms;
        if (service_ms > 0) {
            g_array_append_val(times, service_ms);
        }
    }
    if (times->len == 0) {
        return 0;
    }
    g_array_sort(times, compare_times);
    return g_array_index(times, double, times->len / 4);
}

double
SasTraffic_GetTypicalMs(struct sas_fleet *fleet, int service, int64_t now_ms)
{
    struct sas_fleet_service *row = SasFleet_GetService(fleet, service);
    if (row->typical_ms <= 0 || now_ms - row->typical_at > TYPICAL_EVERY_MS) {
        row->typical_ms = get_lower_quartile(fleet, row->servers);
        row->typical_at = now_ms;
    }
    return row->typical_ms;
}

/* Tripping. */

static bool
too_many_tripped(const struct sas_fleet *fleet, int service)
{
    const GArray *slots = SasFleet_GetService(fleet, service)->servers;
    int tripped = 1; /* the next one */
    for (guint i = 0; i < slots->len; i++) {
        int slot = g_array_index(slots, int, i);
        tripped += SasFleet_At(fleet, slot)->traffic.tripped ? 1 : 0;
    }
    return tripped > SasTraffic_MAX_TRIPPED * slots->len;
}

static enum sas_traffic_change
trip(struct sas_fleet *fleet, int slot, int64_t now_ms)
{
    struct sas_fleet_server *server = SasFleet_At(fleet, slot);
    struct sas_server_traffic *traffic = &server->traffic;
    if (now_ms < MAX(traffic->shunned_until, traffic->warned_until)) {
        return SAS_TRAFFIC_SAME; /* what was sent before it is coming back */
    }
    if (!traffic->tripped && too_many_tripped(fleet, server->service)) {
        return SAS_TRAFFIC_SAME;
    }
    traffic->hold_ms = traffic->tripped
                           ? MIN(traffic->hold_ms * 2, SasTraffic_MAX_HOLD_MS)
                           : SasTraffic_HOLD_MS;
    traffic->was_down = traffic->tripped && traffic->was_down;
    traffic->tripped = true;
    traffic->shunned_until = now_ms + traffic->hold_ms;
    return SAS_TRAFFIC_TRIPPED;
}

static void
recover(struct sas_server_traffic *traffic)
{
    traffic->tripped = false;
    traffic->shunned_until = 0;
    traffic->warned_until = 0;
    traffic->failures = 0;
    traffic->timeouts = 0;
}

/* How often the request could have run one after another in the slots. */
static double
count_rounds(const struct sas_fleet_server *server, double load_when_sent)
{
    return MAX((load_when_sent + 1) / server->facts.slots, 1);
}

static enum sas_traffic_change
end_trial(struct sas_fleet *fleet, int slot, bool well, int64_t now_ms)
{
    if (!well) {
        return trip(fleet, slot, now_ms);
    }
    recover(&SasFleet_At(fleet, slot)->traffic);
    return SAS_TRAFFIC_WELL;
}

enum sas_traffic_change
SasTraffic_NoteRun(struct sas_fleet *fleet, int slot,
                   const struct sas_traffic_end *end, int64_t now_ms)
{
    struct sas_fleet_server *server = SasFleet_At(fleet, slot);
    struct sas_server_traffic *traffic = &server->traffic;
    double service_ms =
        end->elapsed_ms / count_rounds(server, end->load_when_sent);
    double typical_ms =
        SasTraffic_GetTypicalMs(fleet, server->service, now_ms);
    double times = typical_ms > 0 ? service_ms / typical_ms : 1;
    traffic->failures = 0;
    if (end->failed) {
        return SAS_TRAFFIC_SAME;
    }
    traffic->timeouts = end->timed_out ? traffic->timeouts + 1 : 0;
    if (!end->timed_out && times <= SasTraffic_TRIAL) {
        traffic->well_at = now_ms;
    }
    if (traffic->tripped && now_ms >= traffic->shunned_until) {
        return end_trial(fleet, slot,
                         !end->timed_out && times <= SasTraffic_TRIAL, now_ms);
    }
    if (traffic->service_ms <= 0) {
        traffic->service_ms = service_ms;
    }
    traffic->service_ms += SMOOTHING * (service_ms - traffic->service_ms);
    return traffic->timeouts >= SasTraffic_TIMEOUTS ? trip(fleet, slot, now_ms)
                                                    : SAS_TRAFFIC_SAME;
}

enum sas_traffic_change
SasTraffic_NoteFailure(struct sas_fleet *fleet, int slot, bool cut,
                       int64_t now_ms)
{
    struct sas_server_traffic *traffic = &SasFleet_At(fleet, slot)->traffic;
    int limit = cut ? SasTraffic_CUTS : SasTraffic_FAILURES;
    traffic->failures++;
    if (!traffic->tripped && traffic->failures < limit) {
        return SAS_TRAFFIC_SAME;
    }
    enum sas_traffic_change change = trip(fleet, slot, now_ms);
    traffic->was_down = traffic->was_down || !cut;
    return change;
}

enum sas_traffic_change
SasTraffic_NoteReplaced(struct sas_fleet *fleet, int slot, int64_t now_ms)
{
    struct sas_server_traffic *traffic = &SasFleet_At(fleet, slot)->traffic;
    traffic->tripped = true;
    traffic->hold_ms = SasTraffic_MAX_HOLD_MS;
    traffic->shunned_until = now_ms + traffic->hold_ms;
    return SAS_TRAFFIC_TRIPPED;
}

enum sas_traffic_change
SasTraffic_CheckSilence(struct sas_fleet *fleet, int slot, int64_t now_ms)
{
    struct sas_fleet_server *server = SasFleet_At(fleet, slot);
    const struct sas_server_traffic *traffic = &server->traffic;
    if (traffic->in_flight < 2 || traffic->tripped ||
        now_ms - traffic->busy_since <= SasTraffic_SILENT_MS) {
        return SAS_TRAFFIC_SAME;
    }
    return trip(fleet, slot, now_ms);
}

void
SasTraffic_TakeWord(struct sas_fleet_server *server, int64_t left_ms,
                    bool tester, int64_t now_ms)
{
    struct sas_server_traffic *traffic = &server->traffic;
    if (left_ms == 0) {
        recover(traffic);
        return;
    }
    if (traffic->well_at > 0 &&
        now_ms - traffic->well_at < SasTraffic_WELL_MS) {
        return;
    }
    if (!tester) {
        traffic->warned_until = MAX(traffic->warned_until,
                                    now_ms + left_ms + SasTraffic_VERDICT_MS);
        return;
    }
    if (!traffic->tripped) {
        traffic->tripped = true;
        traffic->hold_ms = left_ms;
        traffic->shunned_until = now_ms + left_ms;
    }
}

void
SasTraffic_AwaitWord(struct sas_fleet_server *server)
{
    struct sas_server_traffic *traffic = &server->traffic;
    traffic->warned_until = MAX(
        traffic->warned_until, traffic->shunned_until + SasTraffic_VERDICT_MS);
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
SasTraffic_IsShunned(const struct sas_fleet_server *server, int64_t now_ms)
{
    const struct sas_server_traffic *traffic = &server->traffic;
    if (now_ms < traffic->warned_until) {
        return true;
    }
    if (!traffic->tripped) {
        return false;
    }
    return now_ms < traffic->shunned_until || traffic->in_flight > 0;
}

double
SasTraffic_EstimateLoad(const struct sas_fleet_server *server, int64_t now_ms)
{
    const struct sas_server_traffic *traffic = &server->traffic;
    if (traffic->reported_at == 0) {
        return traffic->in_flight;
    }
    double others = traffic->reported_running + traffic->reported_waiting -
                    traffic->in_flight_at_report;
    double age_ms = (double)(now_ms - traffic->reported_at);
    double left = exp2(-age_ms / SasTraffic_HALF_LIFE_MS);
    return traffic->in_flight + MAX(others, 0) * left;
}

int
SasTraffic_GetMaxWaiting(const struct sas_fleet_server *server, bool urgent,
                         int64_t now_ms)
{
    if (now_ms >= server->traffic.brief_until) {
        return SasTraffic_MAX_WAITING;
    }
    return urgent ? SasTraffic_BRIEF_URGENT : SasTraffic_BRIEF_WAITING;
}

bool
SasTraffic_HasRoom(const struct sas_fleet_server *server, int max_waiting,
                   int64_t now_ms)
{
    return SasTraffic_EstimateLoad(server, now_ms) <
           server->facts.slots + max_waiting;
}

int64_t
SasTraffic_EstimateRoomMs(const struct sas_fleet_server *server,
                          int max_waiting, int64_t now_ms)
{
    double service_ms = server->traffic.service_ms > 0
                            ? server->traffic.service_ms
                            : DEFAULT_SERVICE_MS;
    double over = SasTraffic_EstimateLoad(server, now_ms) -
                  server->facts.slots - max_waiting + 1;
    double room_ms = MAX(over, 1) * service_ms / MAX(server->facts.slots, 1);
    return (int64_t)CLAMP(room_ms, MIN_ROOM_MS, MAX_ROOM_MS);
}
