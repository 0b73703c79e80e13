/* model - the deployment as tables: regions, failure domains, entry VMs,
 * services, backend servers and links.
 *
 * Rows refer to each other by their index in a table (a handle); SasModel_NONE
 * stands for "none". In standalone mode the settings package fills the tables
 * once. In platform mode sas/fleet_model.h builds them from the fleet and
 * keeps them up to date.
 */
#ifndef SAS_MODEL_H
#define SAS_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#include "sas/error.h"
#include "sas/limits.h"

struct sas_address {
    char ip[SasModel_IP_SIZE]; /* numeric, IPv4 or IPv6 */
    int port;
};

struct sas_region {
    char name[SasModel_NAME_SIZE];
};

struct sas_domain { /* a failure domain */
    char name[SasModel_NAME_SIZE];
    int region;
};

/* Capacity for the traffic from one region to another. */
struct sas_link {
    int from;
    int to;
    double mbit_per_s;
};

struct sas_vm { /* an entry VM; its index is its member id */
    char name[SasModel_NAME_SIZE];
    int domain;
    struct sas_address caller; /* callers' requests and lookups */
    struct sas_address peer;   /* RPC between entry VMs */
    struct sas_address admin;  /* operators */
};

/* A path prefix whose requests are not idempotent: they must not be executed
 * twice. */
struct sas_once_route {
    char prefix[SasModel_NAME_SIZE * 2];
};

struct sas_service {
    char name[SasModel_NAME_SIZE];
    int64_t deadline_ms; /* when the caller states none */
    struct sas_once_route *once_routes;
    int once_route_count;
};

struct sas_backend { /* a backend server */
    char name[SasModel_NAME_SIZE];
    int service;
    int domain;
    struct sas_address address;
    int slots;       /* execution slots: requests it runs concurrently */
    int connections; /* connections it accepts */
};

/* A block of callers' addresses and the region nearest to it. */
struct sas_block {
    uint32_t network; /* IPv4, host byte order */
    int prefix_length;
    int home; /* region */
};

struct sas_model {
    struct sas_region *regions;
    int region_count;
    struct sas_domain *domains;
    int domain_count;
    struct sas_link *links;
    int link_count;
    struct sas_vm *vms;
    int vm_count;
    struct sas_service *services;
    int service_count;
    struct sas_backend *backends;
    int backend_count;
    struct sas_block *blocks; /* sorted by network, then prefix_length */
    int block_count;
    int default_home; /* region of callers outside every block */
};

/* Releases the tables; the struct itself belongs to the caller. */
void SasModel_Free(struct sas_model *model);

/* Return the handle for a name, or SasModel_NONE. */
int SasModel_FindRegion(const struct sas_model *model, const char *name);
int SasModel_FindDomain(const struct sas_model *model, const char *name);
int SasModel_FindVm(const struct sas_model *model, const char *name);
int SasModel_FindService(const struct sas_model *model, const char *name);
int SasModel_FindBackend(const struct sas_model *model, const char *name);

/* The region of an entry VM or a backend server. */
int SasModel_GetVmRegion(const struct sas_model *model, int vm);
int SasModel_GetBackendRegion(const struct sas_model *model, int backend);

/* Number of a service's backend servers in a region. */
int SasModel_CountBackends(const struct sas_model *model, int service,
                           int region);

/* Total execution slots of a service's backend servers in a region. */
int SasModel_CountSlots(const struct sas_model *model, int service,
                        int region);

/* Capacity of the link between two regions in Mbit/s; INFINITY (unlimited)
 * within a region and where no link is configured. */
double SasModel_GetLinkCapacity(const struct sas_model *model, int from,
                                int to);

/* True when requests for this path of the service must not be executed
 * twice. */
bool SasModel_IsAtMostOnceRoute(const struct sas_model *model, int service,
                                const char *path);

#endif
