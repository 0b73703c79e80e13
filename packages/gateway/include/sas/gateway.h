/* gateway - an entry VM on a living model: callers' requests, look-ups,
 * health and metrics, and the talk with other entry VMs.
 *
 * The model is filled by a source that the owner opens on the same loop; the
 * gateway doesn't know which. It is ready once a configuration is in force
 * and the source says that it has seen all servers.
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

/* Where the model comes from; embed it as first member. */
struct sas_source {
    /* Begins; the gateway is open, so entry VMs may be added. */
    void (*start)(struct sas_source *source, struct sas_gateway *gateway);
    bool (*is_ready)(const struct sas_source *source);
    /* There is a newer configuration than the one here, or there may be: too
     * long ago the store confirmed it. NULL: there is no other. */
    bool (*is_behind)(const struct sas_source *source);
    /* How long ago what is known of the servers was confirmed, milliseconds;
     * INT64_MAX: never, or not yet by the servers themselves after an outage
     * or a start. NULL: it never gets old. */
    int64_t (*get_age_ms)(const struct sas_source *source);
    /* No more calls are made; the loop runs out of its handles. */
    void (*stop)(struct sas_source *source);
    /* Answers other entry VMs that ask what this one knows. */
    struct sas_http_handler *peers;
};

/* All of it stays the caller's and must outlive the gateway. */
struct sas_gateway_options {
    uv_loop_t *loop;
    struct sas_fleet *fleet;
    const struct sas_entry_settings *settings;
    const struct sas_entry_wire *wire;
    struct sas_source *source;
    struct sas_steering *steering;
};

/* Opening and closing: Run ends after SIGTERM or SIGINT, when callers have
 * been served out. 0: a graceful stop; 1: it could not start. */
struct sas_gateway *SasGateway_Open(const struct sas_gateway_options *options,
                                    struct sas_error *error);
int SasGateway_Run(struct sas_gateway *gateway);
void SasGateway_Close(struct sas_gateway *gateway);

/* After Run: milliseconds until the rest of the process has to be closed. */
int64_t SasGateway_GetTimeLeft(const struct sas_gateway *gateway);

/* GetMesh: the other entry VMs, for the source of the model and the sheet. */
bool SasGateway_IsReady(const struct sas_gateway *gateway);
struct sas_mesh *SasGateway_GetMesh(const struct sas_gateway *gateway);
struct sas_metrics *SasGateway_GetMetrics(const struct sas_gateway *gateway);

/* Calls reload on SIGHUP, and when the file at the path has changed. */
void SasGateway_SetReload(struct sas_gateway *gateway, const char *path,
                          void (*reload)(void *data), void *data);

#endif
