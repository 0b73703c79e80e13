/* peers - what this node tells other entry VMs and takes from them.
 *
 * Glue between the peer task (sas/peer.h), which owns the sockets, and the
 * node's configuration, steering, budgets and quarantine.
 */
#ifndef SAS_PEERS_H
#define SAS_PEERS_H

#include "configure.h"
#include "guard.h"
#include "sas/peer.h"
#include "steer.h"

struct sas_peers;

/* Embedded as first member. */
struct sas_peers_listener {
    /* Another process has this seat now; this one must end. */
    void (*on_replaced)(struct sas_peers_listener *listener);
};

struct sas_peers_parts {
    uv_loop_t *loop;
    const struct sas_settings *settings;
    int own_vm;
    uint64_t incarnation;
    GRand *random;
    struct sas_steer *steer;
    struct sas_configure *configure;
    struct sas_guard *guard;
    struct sas_lending *lending;
    const struct sas_counters *counters;
    struct sas_peers_listener *listener;
};

struct sas_peers *SasPeers_Open(const struct sas_peers_parts *parts,
                                struct sas_error *error);
void SasPeers_Close(struct sas_peers *peers);

/* Something others should hear at once. */
void SasPeers_NoteChange(struct sas_peers *peers);
void SasPeers_SendQuarantines(struct sas_peers *peers);
void SasPeers_SetLeaving(struct sas_peers *peers);

/* A load report heard from a backend server itself, for the gossip. */
void SasPeers_NoteLoad(struct sas_peers *peers, int backend,
                       const struct sas_load_report *report);

/* How a backend server's incarnation is told to peers; 0 for "". */
uint64_t SasPeers_HashIncarnation(const char *incarnation);

/* [{"vm":...,"version":...,"age_ms":...,"state":...}] for the status. */
json_t *SasPeers_Describe(const struct sas_peers *peers);

#endif
