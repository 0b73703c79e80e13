/* model - the deployment as tables: regions, failure domains, entry VMs,
 * services, backend servers and links.
 *
 * Everything refers to everything else by its index in its table (a handle);
 * SasModel_NONE stands for "none". The settings package fills the tables;
 * nothing changes them afterwards, so all modules may read them.
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

/* What the traffic from one region to another may use. */
struct sas_link {
    int from;
    int to;
    double mbit_per_s;
};

struct sas_vm { /* an entry VM; its index is its seat */
    char name[SasModel_NAME_SIZE];
    int domain;
    struct sas_address caller; /* callers' requests and look-ups */
    struct sas_address peer;   /* RPC between entry VMs */
    struct sas_address admin;  /* operators */
};

/* A path prefix whose requests may not run twice. */
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
    int slots;       /* requests it runs at the same time */
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

/* Handle by name, or SasModel_NONE. */
int SasModel_FindRegion(const struct sas_model *model, const char *name);
int SasModel_FindDomain(const struct sas_model *model, const char *name);
int SasModel_FindVm(const struct sas_model *model, const char *name);
int SasModel_FindService(const struct sas_model *model, const char *name);
int SasModel_FindBackend(const struct sas_model *model, const char *name);

/* The region that a failure domain, VM or backend server stands in. */
int SasModel_GetVmRegion(const struct sas_model *model, int vm);
int SasModel_GetBackendRegion(const struct sas_model *model, int backend);

/* A service's backend servers in a region. */
int SasModel_CountBackends(const struct sas_model *model, int service,
                           int region);

/* Slots of a service's backend servers in a region, all together. */
int SasModel_CountSlots(const struct sas_model *model, int service,
                        int region);

/* Capacity of the link between two regions in Mbit/s; within a region, and
 * where no link is stated, it is unlimited: INFINITY. */
double SasModel_GetLinkCapacity(const struct sas_model *model, int from,
                                int to);

/* True when requests for this path of the service may not run twice. */
bool SasModel_IsOnceRoute(const struct sas_model *model, int service,
                          const char *path);

#endif
