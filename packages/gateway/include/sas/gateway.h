/* gateway - an entry VM: callers' requests, lookups, health and metrics, and
 * gossip with the other entry VMs.
 *
 * The fleet is kept up to date by a source (struct sas_source), which the
 * owner opens on the same loop. The gateway is ready once a configuration is
 * in force and the source has listed all servers.
 */
#ifndef SAS_GATEWAY_H
#define SAS_GATEWAY_H

#include <uv.h>

#include "sas/entry.h"
#include "sas/error.h"
#include "sas/fleet.h"
#include "sas/http_server.h"
#include "sas/metrics.h"
#include "sas/steering.h"

struct sas_gateway;
struct sas_mesh;

/* Source of the fleet's servers and configuration; embed it as first
 * member. */
struct sas_source {
    /* Called once the gateway is open; entry VMs may be added from here on. */
    void (*start)(struct sas_source *source, struct sas_gateway *gateway);
    bool (*is_ready)(const struct sas_source *source);
    /* True if a newer configuration exists or may exist, since the store last
     * confirmed the one in force too long ago. NULL: never. */
    bool (*is_behind)(const struct sas_source *source);
    /* Time since the servers' rows were confirmed, milliseconds. INT64_MAX:
     * never, or the servers have not yet had time to write their rows again
     * after an outage of the store or a start. NULL: rows never become
     * stale. */
    int64_t (*get_age_ms)(const struct sas_source *source);
    /* Stops all calls and closes the source's handles on the loop. */
    void (*stop)(struct sas_source *source);
    /* HTTP handler for other entry VMs that request rows. */
    struct sas_http_handler *peers;
};

/* Everything in it is borrowed and must outlive the gateway. */
struct sas_gateway_options {
    uv_loop_t *loop;
    struct sas_fleet *fleet;
    const struct sas_entry_settings *settings;
    const struct sas_entry_wire *wire;
    struct sas_source *source;
    struct sas_steering *steering;
};

/* Open returns NULL with an error if an address can't be bound. Run returns 0
 * after the graceful shutdown that SIGTERM or SIGINT begins, when pending
 * requests have been answered. */
struct sas_gateway *SasGateway_Open(const struct sas_gateway_options *options,
                                    struct sas_error *error);
int SasGateway_Run(struct sas_gateway *gateway);
void SasGateway_Close(struct sas_gateway *gateway);

/* After Run: milliseconds until the rest of the process has to be closed. */
int64_t SasGateway_GetTimeLeft(const struct sas_gateway *gateway);

/* State. GetMesh: the group of entry VMs, for the source and the sheet. */
bool SasGateway_IsReady(const struct sas_gateway *gateway);
struct sas_mesh *SasGateway_GetMesh(const struct sas_gateway *gateway);
struct sas_metrics *SasGateway_GetMetrics(const struct sas_gateway *gateway);

/* Calls reload on SIGHUP and when the file at the path has changed. */
void SasGateway_SetReload(struct sas_gateway *gateway, const char *path,
                          void (*reload)(void *data), void *data);

#endif
