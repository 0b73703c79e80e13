/* entry - what an entry VM is told at its start, and the words that callers
 * and backend servers use.
 *
 * An adapter fills both in from the format of the platform it runs on.
 */
#ifndef SAS_ENTRY_H
#define SAS_ENTRY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "sas/fleet.h"
#include "sas/model.h"

struct sas_proto_key;

/* What the operators have promised to their callers; each is a bound that
 * the system must keep. */
struct sas_entry_bounds {
    int64_t drain_ms;  /* a leaving server's last new request */
    int64_t grace_ms;  /* from SIGTERM to SIGKILL */
    int64_t config_ms; /* a new configuration is in force */
    int64_t lookup_ttl_ms;
    double retry_share; /* repeats for each request, in the window */
    double retry_burst; /* and so many more, of all entry VMs together */
    int64_t retry_window_ms;
    double cold_factor; /* times what a cold server says it bears a second, */
    double cold_slack;  /* and so many more */
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
    struct sas_address lookup; /* which entry VMs to use */
    struct sas_address peer;   /* between entry VMs, UDP and TCP */
    struct sas_address admin;  /* operators; port 0: none */
    struct sas_address store;
    int64_t memory_bytes;
    int max_descriptors;
    double cores; /* share of a core that it may use */
    double link_mbps;
    struct sas_proto_key *peer_key; /* shared by all entry VMs; NULL: none */
    int64_t started_at;             /* of this process, wall-clock ms */
    bool first_start; /* the whole system starts for the first time */
    struct sas_entry_bounds bounds;
};

/* The names of header fields and paths on the wire. */
struct sas_entry_wire {
    const char *request_id;  /* of one attempt of a caller */
    const char *deadline_ms; /* what is left of the caller's patience */
    const char *object_key;
    const char *seal;    /* a backend server's mark on its answer */
    const char *target;  /* the only server that may run a request */
    const char *load;    /* running,waiting,slots */
    const char *not_run; /* the server has not run the request */
    const char *cold_ms; /* how long a server stays cold */
    const char *ready_path;
    const char *lookup_path;
    const char *lookup_zone; /* query parameters */
    const char *lookup_region;
    const char *lookup_addresses; /* members of the answer */
    const char *lookup_ttl_s;
};

#endif
