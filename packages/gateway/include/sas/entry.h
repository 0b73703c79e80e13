/* entry - settings of an entry VM, and the header fields and paths that its
 * callers and backend servers use.
 *
 * A platform adapter fills both in from the platform's own formats.
 */
#ifndef SAS_ENTRY_H
#define SAS_ENTRY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "sas/fleet.h"
#include "sas/model.h"

struct sas_proto_key;

/* Service-level bounds that the operators have promised to their callers. */
struct sas_entry_bounds {
    int64_t drain_ms;  /* from a server's drain to its last new request */
    int64_t grace_ms;  /* from SIGTERM to SIGKILL */
    int64_t config_ms; /* until a new configuration is in force */
    int64_t lookup_ttl_ms;
    double retry_share; /* retries per request, within the window */
    double retry_burst; /* further retries of all entry VMs in the window */
    int64_t retry_window_ms;
    double cold_factor; /* times the rate a cold server states, requests/s */
    double cold_slack;  /* requests/s on top of that */
    double shift_share; /* of a region's requests that may move in 2 s */
};

struct sas_entry_place {
    char zone[SasModel_NAME_SIZE];
    char region[SasModel_NAME_SIZE];
};

struct sas_entry_settings {
    char name[SasModel_NAME_SIZE];
    char zone[SasModel_NAME_SIZE];
    struct sas_entry_place places[SasFleet_MAX_ZONES];
    int place_count;
    struct sas_address caller; /* requests */
    struct sas_address ready;  /* health checks and metrics */
    struct sas_address lookup; /* lookups of entry VMs */
    struct sas_address peer;   /* between entry VMs, UDP and TCP */
    struct sas_address admin;  /* operators' API; port 0: none */
    struct sas_address store;
    int64_t memory_bytes;
    int max_descriptors;
    double cores; /* CPU limit, in cores */
    double link_mbps;
    struct sas_proto_key *peer_key; /* shared by all entry VMs; NULL: none */
    int64_t started_at;             /* of this process, wall clock, ms */
    bool first_start; /* the whole system starts for the first time */
    struct sas_entry_bounds bounds;
};

/* The names of header fields and paths on the wire. */
struct sas_entry_wire {
    const char *request_id;  /* of one attempt of a caller */
    const char *deadline_ms; /* remaining time, milliseconds */
    const char *object_key;
    const char *seal;   /* proves that a backend server made the answer */
    const char *target; /* id of the only server that may run the request */
    const char *load;   /* running,waiting,slots */
    const char *limit;  /* requests/s that the server takes from all */
    const char *limit_alias; /* another name of it; NULL: none */
    const char *leaving;     /* 1: the server is about to stop */
    const char *leaving_alias;
    const char *not_run; /* the server has not run the request */
    const char *cold_ms; /* how long a server stays cold */
    const char *ready_path;
    const char *lookup_path;
    const char *lookup_zone; /* query parameters */
    const char *lookup_region;
    const char *lookup_addresses; /* fields of the JSON answer */
    const char *lookup_ttl_s;
};

#endif
