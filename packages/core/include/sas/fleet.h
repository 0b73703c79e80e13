/* fleet - the services, backend servers, failure domains and routes that exist
 * at the moment.
 *
 * Backend servers are added and removed while requests run. Code that keeps
 * one across a callback keeps a struct sas_server_ref: the slot of the table
 * and its generation. A slot is reused with a higher generation, and
 * SasFleet_GetServer returns NULL for an old reference. Services and zones
 * (failure domains) are never removed.
 *
 * All changes, from a platform's table, a peer or the settings, go through the
 * functions under "Changes". Listeners are called after a change and before a
 * removal. A configuration is never replaced by a lower version.
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
#include "sas/server_notice.h"
#include "sas/service_time.h"

#define SasFleet_MAX_ZONES 64
/* Notices that are kept of servers whose rows are missing. */
#define SasFleet_MAX_ABSENT_NOTICES 1024
#define SasFleet_ID_SIZE 201 /* a key of the store, with the final NUL */

/* The failure domains and their regions; fixed for a process. */
struct sas_zone {
    char name[SasModel_NAME_SIZE];
    int region;
    bool evacuated; /* its backend servers get no new requests */
};

struct sas_server_ref {
    int slot; /* of the fleet's table; SasModel_NONE: none */
    uint32_t generation;
};

/* What is announced of a backend server. */
struct sas_server_facts {
    char id[SasFleet_ID_SIZE];
    char service[SasFleet_ID_SIZE];
    char zone[SasModel_NAME_SIZE];
    struct sas_address address;
    int slots; /* execution slots: requests that it runs at a time */
    bool draining;
    int64_t cold_until_ms; /* 0: warm */
    int64_t started_at; /* start of its process, wall-clock ms; 0: unknown */
};

/* What this process has seen of a backend server; see sas/traffic.h. */
struct sas_server_traffic {
    int in_flight; /* sent by this process, not ended */
    int reported_running;
    int reported_waiting;
    int in_flight_at_report;
    int64_t reported_at;     /* 0: never */
    int64_t no_answer_since; /* no answer since then; 0: nothing sent since */
    int timeouts;            /* in a row */
    int slow_runs;           /* in a row */
    /* queue reported since then; 0: it is short */
    int64_t queue_standing_since;
    int64_t short_queue_until;  /* only a short queue is allowed until then */
    int failures;               /* of connections, in a row */
    bool ejected;               /* ejected, or half-open after ejected_until */
    bool refused_connections;   /* ejected as it refused connections */
    int64_t grey_until;         /* grey failure: fails part of its requests */
    int64_t ejected_until;      /* end of the ejection, while ejected */
    int64_t ejection_ms;        /* length of the last ejection */
    int64_t peer_ejected_until; /* ejected on another entry VM's report */
    int64_t healthy_at;         /* last answer within the usual time */
};

struct sas_fleet_server {
    uint32_t generation;
    bool present;
    bool withdrawn; /* taken out by the operators' sheet */
    int service;
    int zone;
    uint64_t hash;  /* of the id, for rendezvous hashing */
    uint64_t start; /* of its process: id, place, address, start time */
    struct sas_server_notice notice;
    struct sas_server_facts facts;
    struct sas_server_traffic traffic;
};

struct sas_fleet_service {
    char name[SasFleet_ID_SIZE];
    char health_path[SasModel_NAME_SIZE * 2];
    int max_connections; /* that a server accepts, from all entry VMs */
    double cold_per_s;   /* rate that a cold server can handle; 0: no limit */
    int64_t cold_ms;     /* how long a server is cold after its start */
    double objective_ms; /* longest latency objective of its routes; 0: none */
    /* service time over all its routes */
    struct sas_service_time service_time;
    GArray *servers; /* int, table slots of its present servers */
};

/* Whether a request may run more than once. */
enum sas_route_kind {
    SAS_ROUTE_SAFE,   /* may be retried */
    SAS_ROUTE_UNSAFE, /* runs at most once for each attempt of a caller */
    SAS_ROUTE_UPLOAD  /* as SAS_ROUTE_UNSAFE, with a large body */
};

struct sas_route_part { /* of a split */
    int service;
    double weight; /* the weights of a route's parts add up to 1 */
};

struct sas_route {
    char *name;
    char *host;
    char *prefix;
    enum sas_route_kind kind;
    int64_t timeout_ms; /* 0: only the caller's deadline counts */
    int64_t target_latency_ms;
    int priority;       /* 0 is the highest */
    bool high_priority; /* another route has a lower one; set by ApplyConfig */
    int max_attempts;
    bool sticky;
    GArray *parts;            /* struct sas_route_part, at least one */
    uint64_t allowed_regions; /* allowed regions, one bit each; 0: any */
};

struct sas_caller_limits {
    size_t header_bytes;
    size_t body_bytes;
    int64_t header_ms;
    int64_t idle_ms;
};

/* One version of the configuration; immutable once it is applied. Requests in
 * progress hold a reference. */
struct sas_fleet_config {
    int references;
    int64_t version;
    int64_t applied_at;
    GPtrArray *routes;           /* struct sas_route * */
    GHashTable *by_prefix;       /* routes whose prefix ends with a slash, by
                                    "host prefix" */
    size_t longest_prefix;       /* bytes, of these */
    GPtrArray *non_slash_routes; /* all other routes */
    struct sas_caller_limits limits;
};

struct sas_fleet;

/* Embed it as the first member; NULL functions are not called. */
struct sas_fleet_listener {
    /* The server is new, or its facts were announced again. */
    void (*on_server)(struct sas_fleet_listener *listener, int slot);
    /* The server is about to be removed; its slot is still valid. */
    void (*on_server_gone)(struct sas_fleet_listener *listener, int slot);
    void (*on_config)(struct sas_fleet_listener *listener,
                      const struct sas_fleet_config *config);
    /* The zone is no longer evacuated. */
    void (*on_zone_restored)(struct sas_fleet_listener *listener, int zone);
};

/* Creation and listeners. */
struct sas_fleet *SasFleet_New(void);
void SasFleet_Free(struct sas_fleet *fleet);
void SasFleet_AddListener(struct sas_fleet *fleet,
                          struct sas_fleet_listener *listener);

/* Failure domains (zones) and regions. Add returns the handle, also of a known
 * zone; SasModel_NONE if the table is full. */
int SasFleet_AddZone(struct sas_fleet *fleet, const char *name,
                     const char *region);
int SasFleet_FindZone(const struct sas_fleet *fleet, const char *name);
int SasFleet_FindRegion(const struct sas_fleet *fleet, const char *name);
int SasFleet_CountZones(const struct sas_fleet *fleet);
int SasFleet_CountRegions(const struct sas_fleet *fleet);
const char *SasFleet_GetRegionName(const struct sas_fleet *fleet, int region);
const struct sas_zone *SasFleet_GetZone(const struct sas_fleet *fleet,
                                        int zone);

/* Changes. PutServer returns the slot, -1 for an unknown zone. Another
 * started_at, address, service or zone under the same id makes a new server
 * with a new generation. RemoveServer: false if there is no such server.
 * SetEvacuated: whether that is a change. */
int SasFleet_PutServer(struct sas_fleet *fleet,
                       const struct sas_server_facts *facts);
bool SasFleet_RemoveServer(struct sas_fleet *fleet, const char *id);
bool SasFleet_SetEvacuated(struct sas_fleet *fleet, int zone, bool evacuated);
/* What the process of this start has said of itself, also while its row is
 * missing: a row that lapsed in an outage comes back. */
struct sas_server_notice *SasFleet_GetNotice(struct sas_fleet *fleet,
                                             uint64_t start);
/* An operator's order: the server at the slot gets no new requests. */
void SasFleet_SetWithdrawn(struct sas_fleet *fleet, int slot, bool withdrawn);

/* Takes ownership of the configuration with its only reference. False, and the
 * configuration is freed, if it isn't newer than the one in force. */
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

/* The route of the host with the longest prefix of the path, or NULL. The path
 * ends at a '?'; the host's port and case are ignored. */
const struct sas_route *
SasFleetConfig_FindRoute(const struct sas_fleet_config *config,
                         const char *host, const char *target);

/* The configuration in force, NULL before the first. */
struct sas_fleet_config *SasFleet_GetConfig(const struct sas_fleet *fleet);

/* Services. Add returns the handle, also of a known service. */
int SasFleet_AddService(struct sas_fleet *fleet, const char *name);
int SasFleet_FindService(const struct sas_fleet *fleet, const char *name);
int SasFleet_CountServices(const struct sas_fleet *fleet);
struct sas_fleet_service *SasFleet_GetService(const struct sas_fleet *fleet,
                                              int service);

/* Backend servers. Slots of the table run from 0 to CountSlots - 1; At returns
 * NULL for an empty one. */
int SasFleet_CountSlots(const struct sas_fleet *fleet);
struct sas_fleet_server *SasFleet_At(const struct sas_fleet *fleet, int slot);
struct sas_fleet_server *SasFleet_GetServer(const struct sas_fleet *fleet,
                                            struct sas_server_ref ref);
struct sas_server_ref SasFleet_GetRef(const struct sas_fleet *fleet, int slot);
int SasFleet_FindServer(const struct sas_fleet *fleet, const char *id);
int SasFleet_FindStart(const struct sas_fleet *fleet, uint64_t start);
int SasFleet_GetServerRegion(const struct sas_fleet *fleet, int slot);

/* Whether the server may get new requests: present, not draining by its row,
 * leaving by its answers or withdrawn, its zone not evacuated. */
bool SasFleet_AcceptsRequests(const struct sas_fleet *fleet, int slot);

#endif
