/* steer - which region and which backend server run a request, within the
 * budgets for regions, links, shifts and backend servers.
 *
 * Glue between the core's decisions (plan, lookup, budget, place, measure)
 * and the node's tasks. A grant takes units from every budget concerned;
 * it must be given back exactly once.
 */
#ifndef SAS_STEER_H
#define SAS_STEER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "lending.h"
#include "reasons.h"
#include "sas/config.h"
#include "sas/settings.h"
#include "upstream.h"

#define SasSteer_MAX_TRIED 4
#define SasSteer_MAX_LOOKUP_VMS 9

struct sas_steer_query {
    int service;
    uint32_t caller_ip;   /* IPv4, host byte order */
    bool alone;           /* on a backend server where nothing else runs */
    uint64_t fingerprint; /* chooses that backend server */
    int tried[SasSteer_MAX_TRIED];
    int tried_count;
    int64_t bytes;     /* of the request's body */
    int64_t lasts_ms;  /* it is over by then, whatever comes */
    int64_t waited_ms; /* for a slot, so far */
};

struct sas_steer_grant {
    int region;
    int backend;

    bool alone;
    bool cross_region;
    int slots_pot;   /* of the region's slots budget */
    int cap_pot;     /* of a concurrent cap */
    int cap;         /* budget handle of a concurrent cap, or none */
    int mbit_cap;    /* of a cap in Mbit/s, or none */
    int link;        /* of the link to another region, or none */
    int64_t charged; /* milli-Mbit that were taken from these two */
    int64_t request_bytes;
};

enum sas_steer_answer {
    SAS_STEER_GRANTED,
    SAS_STEER_WAIT,   /* nothing free now; ask again when told */
    SAS_STEER_REFUSED /* see *reason */
};

struct sas_steer;

/* Who is told that capacity may have come free; embedded as first member. */
struct sas_steer_listener {
    void (*on_capacity)(struct sas_steer_listener *listener);
};

struct sas_steer_parts {
    uv_loop_t *loop;
    const struct sas_settings *settings;
    int own_vm;
    GRand *random;
    int64_t (*get_wall_ms)(void);
    struct sas_lending *lending;
};

struct sas_steer *SasSteer_Open(const struct sas_steer_parts *parts,
                                struct sas_error *error);
void SasSteer_Close(struct sas_steer *steer);

/* Set once, before the loop runs. */
void SasSteer_SetListener(struct sas_steer *steer,
                          struct sas_steer_listener *listener);

/* News. */

/* A version was adopted; NULL: there is none yet, nothing is ordered. */
void SasSteer_TakeConfig(struct sas_steer *steer,
                         const struct sas_config *config);

/* A backend server's statement, heard now (age 0) or from a peer; the hash of
 * its incarnation, 0 when it is not stated. */
void SasSteer_TakeLoad(struct sas_steer *steer, int backend,
                       const struct sas_load_report *report,
                       uint64_t incarnation, int64_t age_ms);
void SasSteer_TakeHealth(struct sas_steer *steer, int backend, bool reachable);
void SasSteer_NoteShed(struct sas_steer *steer, int backend);

/* The platform's list, {"vms":[{"name":...,"state":"live"|"leaving"}]}. */
void SasSteer_TakeVms(struct sas_steer *steer, const json_t *list);

/* What the peers say of an entry VM. */
void SasSteer_TakePeer(struct sas_steer *steer, int vm, bool live,
                       bool leaving);

/* True once a backend server is leaving, whoever said so. */
bool SasSteer_IsLeaving(const struct sas_steer *steer, int backend);

/* The shares in force here, for the peers; and theirs: a fresh node takes
 * those of the first peer that has any in place of 0, so that a restart in
 * the middle of a ramp does not send its callers home. Fill returns how
 * many. */
int SasSteer_FillShares(const struct sas_steer *steer,
                        struct sas_rpc_share *shares, int max);
void SasSteer_TakeShares(struct sas_steer *steer,
                         const struct sas_rpc_share *shares, int count);

/* Decisions. */

/* Takes units for one request, or says why not. */
enum sas_steer_answer SasSteer_Acquire(struct sas_steer *steer,
                                       const struct sas_steer_query *query,
                                       struct sas_steer_grant *grant,
                                       enum sas_refusal *reason);

/* Gives a grant back; answer_bytes is what came back, for estimates. */
void SasSteer_Release(struct sas_steer *steer, int service,
                      const struct sas_steer_grant *grant,
                      int64_t answer_bytes);

/* Which entry VMs a caller should use for a service; -1 while there is no
 * configuration in force. */
struct sas_steer_lookup {
    int region;
    int64_t version;
    int lifetime_s;
    int vms[SasSteer_MAX_LOOKUP_VMS];
    int vm_count;
};

int SasSteer_Lookup(struct sas_steer *steer, int service, uint32_t caller_ip,
                    struct sas_steer_lookup *result);

/* The configuration version in force, 0 while there is none. */
int64_t SasSteer_GetVersion(const struct sas_steer *steer);

/* The store or a peer has said what is in force, and the budgets are
 * usable. */
bool SasSteer_IsReady(const struct sas_steer *steer);

/* {"regions":[...],"shifts":[...],"budgets":[...]} as in docs/API.md. */
json_t *SasSteer_Describe(struct sas_steer *steer);

#endif
