#include "sas/traffic.h"

#include <math.h>

#define SMOOTHING 0.1
#define DEFAULT_SERVICE_MS 150.0
#define MIN_ROOM_MS 50
#define MAX_ROOM_MS 1000

void
SasTraffic_NoteSent(struct sas_fleet_server *server)
{
    server->traffic.in_flight++;
}

void
SasTraffic_NoteEnded(struct sas_fleet_server *server)
{
    server->traffic.in_flight--;
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
}

void
SasTraffic_NoteAnswered(struct sas_fleet_server *server, double elapsed_ms,
                        double load_when_sent)
{
    struct sas_server_traffic *traffic = &server->traffic;
    double rounds = MAX((load_when_sent + 1) / server->facts.slots, 1);
    double service_ms = elapsed_ms / rounds;
    if (traffic->service_ms <= 0) {
        traffic->service_ms = service_ms;
    }
    traffic->service_ms += SMOOTHING * (service_ms - traffic->service_ms);
    traffic->failures = 0;
}

void
SasTraffic_NoteShed(struct sas_fleet_server *server, int64_t now_ms)
{
    server->traffic.shed_at = now_ms;
}

bool
SasTraffic_NoteFailure(struct sas_fleet_server *server, int64_t now_ms)
{
    struct sas_server_traffic *traffic = &server->traffic;
    traffic->failures++;
    if (traffic->failures < SasTraffic_SHUN_FAILURES ||
        traffic->shunned_until_ms > now_ms) {
        return false;
    }
    traffic->shunned_until_ms = now_ms + SasTraffic_SHUN_MS;
    return true;
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
