/* peer_sync - the node's side of the gossip and calls between entry VMs.
 *
 * Connects the peer task (sas/peer.h), which owns the sockets, with the node's
 * configuration, router, budgets and poison guard.
 */
#ifndef SAS_PEER_SYNC_H
#define SAS_PEER_SYNC_H

#include "config_store.h"
#include "poison_guard.h"
#include "sas/peer.h"
#include "router.h"

struct sas_peer_sync;

/* Embedded in the owner's struct. */
struct sas_peer_sync_listener {
    /* Another process has taken over this entry VM; this one must end. */
    void (*on_replaced)(struct sas_peer_sync_listener *listener);
};

struct sas_peer_sync_options {
    uv_loop_t *loop;
    const struct sas_settings *settings;
    int own_vm;
    uint64_t incarnation;
    GRand *random;
    struct sas_router *router;
    struct sas_config_store *config_store;
    struct sas_poison_guard *poison_guard;
    struct sas_lending *lending;
    const struct sas_counters *counters;
    struct sas_peer_sync_listener *listener;
};

struct sas_peer_sync *
SasPeerSync_Open(const struct sas_peer_sync_options *options,
                 struct sas_error *error);
void SasPeerSync_Close(struct sas_peer_sync *sync);

/* Gossip at once instead of with the next round: the configuration in force,
 * the quarantine entries, or that this entry VM is leaving. */
void SasPeerSync_NoteChange(struct sas_peer_sync *sync);
void SasPeerSync_SendQuarantines(struct sas_peer_sync *sync);
void SasPeerSync_SetLeaving(struct sas_peer_sync *sync);

/* Records a load report received from a backend server, for the gossip. */
void SasPeerSync_NoteLoad(struct sas_peer_sync *sync, int backend,
                          const struct sas_load_report *report);

/* Hash that stands for a backend server's incarnation in the gossip; 0 for ""
 * (unknown). */
uint64_t SasPeerSync_HashIncarnation(const char *incarnation);

/* [{"vm":...,"version":...,"age_ms":...,"state":...}] for /v1/status. */
json_t *SasPeerSync_Describe(const struct sas_peer_sync *sync);

#endif
