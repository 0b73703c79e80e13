/* steer - which region and which backend server run a request, within the
 * budgets for regions, links, shifts and backend servers.
 *
 * Glue between the core's decisions (plan, lookup, budget, place, measure)
 * and the node's tasks. A grant takes units from every budget concerned;
 * it must be given back exactly once.
 */
#ifndef SAS_ROUTER_H
#define SAS_ROUTER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "lending.h"
#include "refusal.h"
#include "sas/config.h"
#include "sas/settings.h"
#include "upstream.h"

#define SasRouter_MAX_TRIED 4
#define SasRouter_MAX_LOOKUP_VMS 9

struct sas_router_query {
    int service;
    uint32_t caller_ip;   /* IPv4, host byte order */
    bool isolated;        /* on a backend server where nothing else runs */
    uint64_t fingerprint; /* chooses that backend server */
    int tried[SasRouter_MAX_TRIED];
    int tried_count;
    int64_t bytes;      /* of the request's body */
    int64_t max_run_ms; /* it is over by then, whatever comes */
    int64_t waited_ms;  /* for a slot, so far */
};

struct sas_router_grant {
    int region;
    int backend;

    bool isolated;
    bool cross_region;
    int slots_source; /* of the region's slots budget */
    int cap_source;   /* of a concurrent cap */
    int cap;          /* budget handle of a concurrent cap, or none */
    int mbit_cap;     /* of a cap in Mbit/s, or none */
    int link;         /* of the link to another region, or none */
    int64_t charged;  /* milli-Mbit that were taken from these two */
    int64_t request_bytes;
};

enum sas_router_decision {
    SAS_ROUTER_GRANTED,
    SAS_ROUTER_WAIT,   /* nothing free now; ask again when told */
    SAS_ROUTER_REFUSED /* see *reason */
};

struct sas_router;

/* Who is told that capacity may have come free; embedded as first member. */
struct sas_router_listener {
    void (*on_capacity)(struct sas_router_listener *listener);
};

struct sas_router_options {
    uv_loop_t *loop;
    const struct sas_settings *settings;
    int own_vm;
    GRand *random;
    int64_t (*get_wall_ms)(void);
    struct sas_lending *lending;
};

struct sas_router *SasRouter_Open(const struct sas_router_options *options,
                                  struct sas_error *error);
void SasRouter_Close(struct sas_router *router);

/* Set once, before the loop runs. */
void SasRouter_SetListener(struct sas_router *router,
                           struct sas_router_listener *listener);

/* News. */

/* A version was adopted; NULL: there is none yet, nothing is ordered. */
void SasRouter_ApplyConfig(struct sas_router *router,
                           const struct sas_config *config);

/* A backend server's statement, heard now (age 0) or from a peer; the hash of
 * its incarnation, 0 when it is not stated. */
void SasRouter_ApplyLoad(struct sas_router *router, int backend,
                         const struct sas_load_report *report,
                         uint64_t incarnation, int64_t age_ms);
void SasRouter_ApplyHealth(struct sas_router *router, int backend,
                           bool reachable);
void SasRouter_NoteShed(struct sas_router *router, int backend);

/* The platform's list, {"vms":[{"name":...,"state":"live"|"leaving"}]}. */
void SasRouter_ApplyVms(struct sas_router *router, const json_t *list);

/* What the peers say of an entry VM. */
void SasRouter_ApplyPeer(struct sas_router *router, int vm, bool live,
                         bool leaving);

/* True once a backend server is leaving, whoever said so. */
bool SasRouter_IsLeaving(const struct sas_router *router, int backend);

/* The shares in force here, for the peers; and theirs: a fresh node takes
 * those of the first peer that has any in place of 0, so that a restart in
 * the middle of a ramp does not send its callers home. Fill returns how
 * many. */
int SasRouter_FillShares(const struct sas_router *router,
                         struct sas_rpc_share *shares, int max);
void SasRouter_ApplyShares(struct sas_router *router,
                           const struct sas_rpc_share *shares, int count);

/* Decisions. */

/* Takes units for one request, or says why not. */
enum sas_router_decision
SasRouter_Acquire(struct sas_router *router,
                  const struct sas_router_query *query,
                  struct sas_router_grant *grant, enum sas_refusal *reason);

/* Gives a grant back; answer_bytes is what came back, for estimates. */
void SasRouter_Release(struct sas_router *router, int service,
                       const struct sas_router_grant *grant,
                       int64_t answer_bytes);

/* Which entry VMs a caller should use for a service; -1 while there is no
 * configuration in force. */
struct sas_router_lookup {
    int region;
    int64_t version;
    int lifetime_s;
    int vms[SasRouter_MAX_LOOKUP_VMS];
    int vm_count;
};

int SasRouter_Lookup(struct sas_router *router, int service,
                     uint32_t caller_ip, struct sas_router_lookup *result);

/* The configuration version in force, 0 while there is none. */
int64_t SasRouter_GetVersion(const struct sas_router *router);

/* The store or a peer has said what is in force, and the budgets are
 * usable. */
bool SasRouter_IsReady(const struct sas_router *router);

/* {"regions":[...],"shifts":[...],"budgets":[...]} as in docs/API.md. */
json_t *SasRouter_Describe(struct sas_router *router);

#endif
