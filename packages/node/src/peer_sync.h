/* peers - what this node tells other entry VMs and takes from them.
 *
 * Glue between the peer task (sas/peer.h), which owns the sockets, and the
 * node's configuration, steering, budgets and quarantine.
 */
#ifndef SAS_PEER_SYNC_H
#define SAS_PEER_SYNC_H

#include "config_store.h"
#include "poison_guard.h"
#include "sas/peer.h"
#include "router.h"

struct sas_peer_sync;

/* Embedded as first member. */
struct sas_peer_sync_listener {
    /* Another process has this seat now; this one must end. */
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

/* Something others should hear at once. */
void SasPeerSync_NoteChange(struct sas_peer_sync *sync);
void SasPeerSync_SendQuarantines(struct sas_peer_sync *sync);
void SasPeerSync_SetLeaving(struct sas_peer_sync *sync);

/* A load report heard from a backend server itself, for the gossip. */
void SasPeerSync_NoteLoad(struct sas_peer_sync *sync, int backend,
                          const struct sas_load_report *report);

/* How a backend server's incarnation is told to peers; 0 for "". */
uint64_t SasPeerSync_HashIncarnation(const char *incarnation);

/* [{"vm":...,"version":...,"age_ms":...,"state":...}] for the status. */
json_t *SasPeerSync_Describe(const struct sas_peer_sync *sync);

#endif
