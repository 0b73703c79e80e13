/* fleet - the living model: which services, backend servers, routes and
 * entry VMs there are just now.
 *
 * Backend servers and entry VMs come, go and return while requests run.
 * Whoever keeps one across a callback keeps a struct sas_server_ref: slot and
 * generation. A slot is used again; the generation then differs, and
 * SasFleet_GetServer says NULL. Services and zones stay once they are known.
 *
 * All changes come through the functions under "Changes", from whichever
 * source (a platform's table, a peer, settings). Each tells the listeners
 * after it has taken effect. A configuration never goes back to a lower
 * version.
 *
 * Times are milliseconds of one monotonic clock, passed in.
 */
#ifndef SAS_FLEET_H
#define SAS_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "sas/limits.h"
#include "sas/model.h"
#include "sas/pace.h"

#define SasFleet_MAX_ZONES 64
#define SasFleet_ID_SIZE 201 /* a key of the store, and its end */

/* The failure domains and their regions; fixed for a process. */
struct sas_zone {
    char name[SasModel_NAME_SIZE];
    int region;
    bool evacuated; /* nothing new goes to its backend servers */
};

struct sas_server_ref {
    int slot; /* SasModel_NONE: none */
    uint32_t generation;
};

/* What is announced of a backend server. */
struct sas_server_facts {
    char id[SasFleet_ID_SIZE];
    char service[SasFleet_ID_SIZE];
    char zone[SasModel_NAME_SIZE];
    struct sas_address address;
    int slots; /* requests that it runs at the same time */
    bool draining;
    int64_t cold_until_ms; /* 0: warm */
    int64_t born_at; /* start of its process, wall-clock ms; 0: unknown */
};

/* What this process has seen of a backend server; see sas/traffic.h. */
struct sas_server_traffic {
    int in_flight; /* sent by this process and not ended */
    int reported_running;
    int reported_waiting;
    int in_flight_at_report;
    int64_t reported_at;      /* 0: never */
    int64_t unanswered_since; /* the first request after its last answer; 0:
                                 there was none */
    int timeouts;             /* in a row */
    int slow_runs;            /* in a row */
    int64_t queued_since;  /* it has not been seen with a short queue since */
    int64_t brief_until;   /* only a short queue is allowed there until then */
    int failures;          /* in a row */
    bool tripped;          /* shunned, then tried by one request */
    bool was_down;         /* it tripped since it took no connections */
    int64_t grey_until;    /* it fails part of its requests */
    int64_t shunned_until; /* while tripped */
    int64_t hold_ms;       /* how long it was shunned last */
    int64_t warned_until;  /* shunned on another entry VM's word */
    int64_t well_at;       /* its last answer in the usual time */
};

struct sas_fleet_server {
    uint32_t generation;
    bool present;
    bool withdrawn; /* by the operators' sheet */
    int service;
    int zone;
    uint64_t hash; /* of the id, for rendezvous hashing */
    struct sas_server_facts facts;
    struct sas_server_traffic traffic;
};

struct sas_fleet_service {
    char name[SasFleet_ID_SIZE];
    char health_path[SasModel_NAME_SIZE * 2];
    int max_connections;  /* that a server accepts, from all entry VMs */
    double cold_per_s;    /* requests a cold server bears; 0: no limit */
    int64_t cold_ms;      /* how long a server is cold after its start */
    double goal_ms;       /* the longest objective of its routes; 0: none */
    struct sas_pace pace; /* of all its routes */
    GArray *servers;      /* int, slots of its present servers */
};

/* What may be repeated. */
enum sas_route_kind {
    SAS_ROUTE_SAFE,   /* may run more than once */
    SAS_ROUTE_UNSAFE, /* at most once for each attempt of a caller */
    SAS_ROUTE_UPLOAD  /* as unsafe, with a large body */
};

struct sas_route_part { /* of a split */
    int service;
    double weight; /* of all parts together 1 */
};

struct sas_route {
    char *name;
    char *host;
    char *prefix;
    enum sas_route_kind kind;
    int64_t timeout_ms; /* 0: the caller's deadline alone */
    int64_t target_latency_ms;
    int priority; /* 0 is the highest */
    bool urgent;  /* another route is of lower rank; set by ApplyConfig */
    int max_attempts;
    bool sticky;
    GArray *parts;  /* struct sas_route_part, one at least */
    uint64_t homes; /* set of regions; 0: any */
};

struct sas_caller_limits {
    size_t header_bytes;
    size_t body_bytes;
    int64_t header_ms;
    int64_t idle_ms;
};

/* One version of the configuration; never changed once it is applied.
 * Requests in progress hold a reference. */
struct sas_fleet_config {
    int references;
    int64_t version;
    int64_t applied_at;
    GPtrArray *routes;     /* struct sas_route * */
    GHashTable *by_prefix; /* routes by "host prefix" */
    size_t longest_prefix; /* bytes */
    GPtrArray *odd_routes; /* whose prefix doesn't end with a slash */
    struct sas_caller_limits limits;
};

struct sas_fleet;

/* Embed it as first member; functions that are NULL are not called. */
struct sas_fleet_listener {
    /* The server is new, or what is announced of it changed. */
    void (*on_server)(struct sas_fleet_listener *listener, int slot);
    /* It is about to leave its slot. */
    void (*on_server_gone)(struct sas_fleet_listener *listener, int slot);
    void (*on_config)(struct sas_fleet_listener *listener,
                      const struct sas_fleet_config *config);
    /* An evacuated zone has been taken back. */
    void (*on_reopened)(struct sas_fleet_listener *listener, int zone);
};

/* Start and end. */
struct sas_fleet *SasFleet_New(void);
void SasFleet_Free(struct sas_fleet *fleet);
void SasFleet_AddListener(struct sas_fleet *fleet,
                          struct sas_fleet_listener *listener);

/* Places. Add gives the handle, also of a zone that is known already;
 * SasModel_NONE when the table is full. */
int SasFleet_AddZone(struct sas_fleet *fleet, const char *name,
                     const char *region);
int SasFleet_FindZone(const struct sas_fleet *fleet, const char *name);
int SasFleet_FindRegion(const struct sas_fleet *fleet, const char *name);
int SasFleet_CountZones(const struct sas_fleet *fleet);
int SasFleet_CountRegions(const struct sas_fleet *fleet);
const char *SasFleet_GetRegionName(const struct sas_fleet *fleet, int region);
const struct sas_zone *SasFleet_GetZone(const struct sas_fleet *fleet,
                                        int zone);

/* Changes. PutServer: -1 where the zone is not known; a later born_at or
 * another address or service under the same id is a new server in a new
 * generation. RemoveServer: false where there is none. */
int SasFleet_PutServer(struct sas_fleet *fleet,
                       const struct sas_server_facts *facts);
bool SasFleet_RemoveServer(struct sas_fleet *fleet, const char *id);
bool SasFleet_SetEvacuated(struct sas_fleet *fleet, int zone, bool evacuated);
/* An operator's order that the server at the slot gets nothing new. */
void SasFleet_SetWithdrawn(struct sas_fleet *fleet, int slot, bool withdrawn);

/* Takes over the configuration and its only reference. False, and freed,
 * where it isn't newer than the one in force. */
bool SasFleet_ApplyConfig(struct sas_fleet *fleet,
                          struct sas_fleet_config *config, int64_t now_ms);

/* Configurations. */
struct sas_fleet_config *SasFleetConfig_New(int64_t version);
struct sas_route *SasFleetConfig_AddRoute(struct sas_fleet_config *config,
                                          const char *name, const char *host,
                                          const char *prefix);
void SasRoute_AddPart(struct sas_route *route, int service, double weight);
struct sas_fleet_config *SasFleetConfig_Ref(struct sas_fleet_config *config);
void SasFleetConfig_Unref(struct sas_fleet_config *config);

/* The route of the host with the longest prefix that begins the path, or
 * NULL. The path ends at a '?'; the host's port and case don't count. */
const struct sas_route *
SasFleetConfig_FindRoute(const struct sas_fleet_config *config,
                         const char *host, const char *target);

/* The configuration in force, NULL before the first. */
struct sas_fleet_config *SasFleet_GetConfig(const struct sas_fleet *fleet);

/* Services. Add gives the handle, also of one that is known. */
int SasFleet_AddService(struct sas_fleet *fleet, const char *name);
int SasFleet_FindService(const struct sas_fleet *fleet, const char *name);
int SasFleet_CountServices(const struct sas_fleet *fleet);
struct sas_fleet_service *SasFleet_GetService(const struct sas_fleet *fleet,
                                              int service);

/* Backend servers. Slots run from 0 to CountSlots - 1 and may be empty: At
 * gives NULL there. */
int SasFleet_CountSlots(const struct sas_fleet *fleet);
struct sas_fleet_server *SasFleet_At(const struct sas_fleet *fleet, int slot);
struct sas_fleet_server *SasFleet_GetServer(const struct sas_fleet *fleet,
                                            struct sas_server_ref ref);
struct sas_server_ref SasFleet_GetRef(const struct sas_fleet *fleet, int slot);
int SasFleet_FindServer(const struct sas_fleet *fleet, const char *id);
int SasFleet_GetServerRegion(const struct sas_fleet *fleet, int slot);

/* True where new requests may go: present, not draining or withdrawn, its
 * zone not evacuated. */
bool SasFleet_IsOpen(const struct sas_fleet *fleet, int slot);

#endif
