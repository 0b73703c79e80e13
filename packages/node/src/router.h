/* router - chooses the region and the backend server of each request, within
 * the budgets for execution slots, links and shifts.
 *
 * Connects the core's decisions (plan, lookup, budget, placement,
 * load_estimate) with the node's tasks. A grant holds units of every budget
 * concerned and is released exactly once. Times are loop milliseconds.
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
    bool isolated;        /* needs a backend server that runs nothing else */
    uint64_t fingerprint; /* picks the server of an isolated run */
    int tried[SasRouter_MAX_TRIED]; /* backend servers to leave out */
    int tried_count;
    int64_t bytes;      /* of the request's body */
    int64_t max_run_ms; /* the request has ended by then in any case */
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
    int mbit_cap;     /* budget handle of a cap in Mbit/s, or none */
    int link;         /* budget handle of the link to the region, or none */
    int64_t charged;  /* milli-Mbit acquired from mbit_cap and link */
    int64_t request_bytes;
};

enum sas_router_decision {
    SAS_ROUTER_GRANTED,
    SAS_ROUTER_WAIT,   /* nothing free; retry after on_capacity */
    SAS_ROUTER_REFUSED /* see *reason */
};

struct sas_router;

/* Called when capacity may have come free; embedded in the owner's struct. */
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

/* Updates. */

/* A version was adopted; NULL: the store has none, no shift is ordered. */
void SasRouter_ApplyConfig(struct sas_router *router,
                           const struct sas_config *config);

/* A backend server's load report, received directly (age 0) or from a peer;
 * incarnation is the hash of the server's, 0 when the report has none. */
void SasRouter_ApplyLoad(struct sas_router *router, int backend,
                         const struct sas_load_report *report,
                         uint64_t incarnation, int64_t age_ms);
void SasRouter_ApplyHealth(struct sas_router *router, int backend,
                           bool reachable);
void SasRouter_NoteShed(struct sas_router *router, int backend);

/* The platform's list, {"vms":[{"name":...,"state":"live"|"leaving"}]}. Entry
 * VMs missing from it count as dead; an empty list is ignored. */
void SasRouter_ApplyVms(struct sas_router *router, const json_t *list);

/* State of an entry VM according to the gossip. */
void SasRouter_ApplyPeer(struct sas_router *router, int vm, bool live,
                         bool leaving);

/* True while the server itself, the platform or the sheet reports the backend
 * server as leaving. */
bool SasRouter_IsLeaving(const struct sas_router *router, int backend);

/* Shares in force, exchanged between peers. Fill writes at most max of them
 * and returns how many. Apply seeds a restarted node once with the shares of
 * the first peer that has any: starting at 0 in the middle of a ramp would
 * send its callers back to their home regions. */
int SasRouter_FillShares(const struct sas_router *router,
                         struct sas_rpc_share *shares, int max);
void SasRouter_ApplyShares(struct sas_router *router,
                           const struct sas_rpc_share *shares, int count);

/* Decisions. */

/* Chooses a backend server and acquires units for one request. Fills *grant
 * when granted, *reason when refused. */
enum sas_router_decision
SasRouter_Acquire(struct sas_router *router,
                  const struct sas_router_query *query,
                  struct sas_router_grant *grant, enum sas_refusal *reason);

/* Returns a grant's units. answer_bytes, the size of the answer's body, feeds
 * the estimate for later requests. */
void SasRouter_Release(struct sas_router *router, int service,
                       const struct sas_router_grant *grant,
                       int64_t answer_bytes);

/* Region and entry VMs for a caller of a service; Lookup returns -1 until the
 * configuration is known. */
struct sas_router_lookup {
    int region;
    int64_t version;
    int lifetime_s; /* TTL of this answer */
    int vms[SasRouter_MAX_LOOKUP_VMS];
    int vm_count;
};

int SasRouter_Lookup(struct sas_router *router, int service,
                     uint32_t caller_ip, struct sas_router_lookup *result);

/* The configuration version in force, 0 while there is none. */
int64_t SasRouter_GetVersion(const struct sas_router *router);

/* True once the store or a peer has told which configuration is in force
 * (perhaps none) and no slots or link budget is recovering from a restart. */
bool SasRouter_IsReady(const struct sas_router *router);

/* {"regions":[...],"shifts":[...],"budgets":[...]} as in docs/API.md. */
json_t *SasRouter_Describe(struct sas_router *router);

#endif
