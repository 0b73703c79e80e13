/* mesh - the group of entry VMs: gossip, failure detection, leaders, lookups.
 *
 * An entry VM sends a join message to each one that the store lists. Every
 * datagram carries its sender's addresses, so that its receiver learns of the
 * sender. Each gossip round then pings one random member, which replies;
 * sas/membership.h derives the members' states from that. Messages are XDR in
 * UDP datagrams; the next round makes up for a lost one.
 */
#ifndef SAS_MESH_H
#define SAS_MESH_H

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

#include "sas/entry.h"
#include "sas/fleet.h"
#include "sas/quarantine.h"

#define SasMesh_MAX_VMS 2048
#define SasMesh_MAX_ADDRESSES 8 /* in one answer to a lookup */

struct sas_mesh;

/* What an entry VM announces of itself. */
struct sas_mesh_facts {
    char name[SasModel_NAME_SIZE];
    char zone[SasModel_NAME_SIZE];
    struct sas_address caller;
    struct sas_address peer;
    uint64_t incarnation; /* start of its process, wall clock, ms */
    double capacity;      /* requests/s */
};

/* Report of an entry VM that a backend server is ejected for left_ms more, or
 * has recovered (0). */
struct sas_mesh_ejection {
    uint64_t server_hash;
    int64_t left_ms;
    /* Why it is ejected; or why it was, and it may have restarted since. */
    bool refused_connections;
    bool grey_failure; /* not ejected, but fails part of its requests */
    int reporter;      /* member that sent the report; set by the receiver */
};

/* Report that a request ran on a backend server when it crashed, or that it
 * has completed since. */
struct sas_mesh_poison_update {
    struct sas_fingerprint fingerprint;
    uint64_t crash; /* of SasQuarantine_HashCrash; ignored if completed */
    bool isolated;  /* no other request was known to run there */
    bool completed;
};

/* Requests that a backend server failed for an entry VM, and those that it
 * answered since that entry VM's previous report. */
struct sas_mesh_failure_report {
    uint64_t server_hash;
    int failed;
    int answered;
};

/* Receives reports of other entry VMs. */
struct sas_mesh_listener {
    void (*on_ejection)(struct sas_mesh_listener *listener,
                        const struct sas_mesh_ejection *ejection);
    void (*on_poison_update)(struct sas_mesh_listener *listener,
                             const struct sas_mesh_poison_update *update);
    /* Only called at the server's prober. */
    void (*on_failure_report)(struct sas_mesh_listener *listener,
                              const struct sas_mesh_failure_report *report);
    /* Member i has another digest of its crash records
     * (SasMesh_SetRecordsDigest), for example since it has just started. */
    void (*on_digest_mismatch)(struct sas_mesh_listener *listener, int i);
    /* The crash record of one request, see SasMesh_SendRecord. */
    void (*on_record)(struct sas_mesh_listener *listener,
                      const struct sas_quarantine_entry *entry);
};

/* Receives versions of the tables that all entry VMs follow. Tables are
 * numbered, with the same numbers everywhere. The announcer has the change
 * and answers requests for it at this address. */
struct sas_mesh_table_listener {
    void (*on_change)(struct sas_mesh_table_listener *listener, int table,
                      int64_t version, const struct sas_address *announcer);
};

/* Opening and closing. Open returns NULL with an error if the own zone is not
 * known or the peer address can't be bound. The listener must be set before
 * the loop runs; the table listener may be missing. */
struct sas_mesh *SasMesh_Open(uv_loop_t *loop, struct sas_fleet *fleet,
                              const struct sas_entry_settings *settings,
                              GRand *random, struct sas_error *error);
void SasMesh_SetListener(struct sas_mesh *mesh,
                         struct sas_mesh_listener *listener);
void SasMesh_SetTableListener(struct sas_mesh *mesh,
                              struct sas_mesh_table_listener *listener);
void SasMesh_Close(struct sas_mesh *mesh);

/* The own entry VM. */
const struct sas_mesh_facts *SasMesh_GetOwn(const struct sas_mesh *mesh);
int SasMesh_GetOwnZone(const struct sas_mesh *mesh);
bool SasMesh_IsOwnRegion(const struct sas_mesh *mesh, int region);
void SasMesh_SetVersion(struct sas_mesh *mesh, int64_t config_version);

/* The version of the operators' sheet: Note announces it to all members, Get
 * returns the highest that any member has announced. */
void SasMesh_NoteSheet(struct sas_mesh *mesh, int64_t version);
int64_t SasMesh_GetSheet(const struct sas_mesh *mesh);

/* This entry VM has a change of a table. Every later message carries the
 * newest version. The leader of a failure domain also announces it at once to
 * the leaders of the next few, in case the store doesn't answer them. */
void SasMesh_NoteChange(struct sas_mesh *mesh, int table, int64_t version);

/* Announces to all members that this process ends soon. */
void SasMesh_Leave(struct sas_mesh *mesh);

/* Adds another entry VM, which the store lists, and sends it a join message
 * at once. */
void SasMesh_AddVm(struct sas_mesh *mesh, const struct sas_mesh_facts *facts);

/* State of member i as this entry VM sees it; 0 is this entry VM. False: there
 * is no such member. */
struct sas_mesh_view {
    const char *name;
    const char *zone;
    const char *state;
    int64_t age_ms; /* since its last heartbeat or message */
};

bool SasMesh_GetView(const struct sas_mesh *mesh, int i,
                     struct sas_mesh_view *view);

/* The operators' sheet withdraws member i: lookups leave it out. */
void SasMesh_SetWithdrawn(struct sas_mesh *mesh, int i, bool withdrawn);

/* Fills in down, by region: true if it had entry VMs and none is live. All
 * false while this entry VM is partitioned. */
void SasMesh_FindDownRegions(const struct sas_mesh *mesh, bool *down);

/* Number of live members, this one included. */
int SasMesh_Count(const struct sas_mesh *mesh);

/* Number of members that a limit which all share is divided by; 0 while this
 * one has no part of it (SasMembership_CountSharers). window_ms: in which the
 * limit is counted. NoteListed: the store has listed all members, and they
 * have been added. */
int SasMesh_CountSharers(const struct sas_mesh *mesh, int64_t window_ms);
void SasMesh_NoteListed(struct sas_mesh *mesh);

/* Addresses for callers: the zone's live entry VMs, those with the highest
 * capacity. If too little of the zone's capacity is live, or zone is NONE, the
 * region's; if too little of that is live, those of all regions. Returns their
 * number, at most max. */
int SasMesh_Lookup(struct sas_mesh *mesh, int zone, int region,
                   struct sas_address *addresses, int max);

/* Reports an ejected, recovered or partly failing server. The prober reports
 * to all members, any other entry VM only to the prober (to none, if the
 * server's region has no live entry VM). If hundreds of entry VMs that notice
 * a slow server at the same time reported to all, there would be a datagram
 * for each pair of them. */
void SasMesh_ReportEjection(struct sas_mesh *mesh,
                            const struct sas_mesh_ejection *ejection,
                            int region);

/* Reports to the server's prober, if that is another entry VM. */
void SasMesh_ReportFailures(struct sas_mesh *mesh,
                            const struct sas_mesh_failure_report *report,
                            int region);

/* Whether this entry VM ranks first for the hash among all live members, by
 * rendezvous hashing. ReportPoison sends the rows to the one that ranks first
 * for the low part of the first row's fingerprint, or to all. */
bool SasMesh_IsFirst(const struct sas_mesh *mesh, uint64_t hash);
void SasMesh_ReportPoison(struct sas_mesh *mesh,
                          const struct sas_mesh_poison_update *rows, int count,
                          bool to_all);

/* Crash records of suspected poison requests. Every message carries the
 * digest of the sender's records; a receiver with another digest calls
 * on_digest_mismatch, at most every 500 ms for each sender. SendRecord sends
 * one record to member i. */
void SasMesh_SetRecordsDigest(struct sas_mesh *mesh, uint64_t digest);
void SasMesh_SendRecord(struct sas_mesh *mesh,
                        const struct sas_quarantine_entry *entry, int i);

/* Whether this entry VM is the server's prober: it ranks first for the server
 * among the live ones of the server's region that have lost no path to
 * servers. The prober alone sends the probe request to a half-open server; if
 * each entry VM did, each would risk a request. If the region has no live
 * entry VM, every other one is a prober. */
bool SasMesh_IsProber(const struct sas_mesh *mesh, uint64_t server_hash,
                      int region);

/* Whether this entry VM answers that member's report on a server that it can't
 * reach, if the server is reached from here: the server's prober does, or the
 * next one where the member is the prober. */
bool SasMesh_AnswersReport(const struct sas_mesh *mesh, uint64_t server_hash,
                           int region, int reporter);

/* Number of entry VMs of a region that may be sending to one of its servers,
 * and this one's rank among them, from 0, for limits that they share.
 *
 * The shares in use must never add up to more than the limit, even while the
 * members' views differ. So an entry VM counts as long as it may be using its
 * share (SasMembership_MayUseShare). One that has started or was frozen has
 * none for 2 s, until the others know of it and what they sent with its share
 * is a second old; and none until the store has listed all others to it. */
struct sas_mesh_senders {
    int count;
    int rank;
    bool has_share; /* this entry VM may use its share */
};

struct sas_mesh_senders SasMesh_GetSenders(const struct sas_mesh *mesh,
                                           uint64_t server_hash, int region);

/* The same, with those of a high capacity first as a rule. */
struct sas_mesh_senders
SasMesh_GetSendersByCapacity(const struct sas_mesh *mesh, uint64_t server_hash,
                             int region);

/* Services of which this entry VM reaches no server. SetLostPaths announces
 * them to all members, also when they are the same as before: call it at each
 * change and once a second while there are any. Others forget them after
 * SasMesh_LOST_PATH_MS. */
#define SasMesh_LOST_PATH_MS 3000
uint64_t SasMesh_HashService(const char *name);
void SasMesh_SetLostPaths(struct sas_mesh *mesh,
                          const uint64_t *service_hashes, int count);

/* An entry VM that requests of callers can be sent through. */
struct sas_mesh_peer {
    int member_id;
    char name[SasModel_NAME_SIZE];
    struct sas_address address; /* its interface for entry VMs */
    uint64_t incarnation;
};

/* PickPeerFor picks a live member for a request to a service: of the own zone
 * if there is one, else of the own region, else any; more often those of high
 * capacity. One that reaches no server of the service itself isn't picked.
 * allowed_regions: a bit for each region that may get the request; 0: all.
 * False if there is none. AvoidPeer: this member isn't picked until then. */
bool SasMesh_PickPeerFor(struct sas_mesh *mesh, uint64_t service_hash,
                         uint64_t allowed_regions, struct sas_mesh_peer *peer);
void SasMesh_AvoidPeer(struct sas_mesh *mesh, int member_id, int64_t until_ms);

/* The leader of the own failure domain: the live entry VM with the highest
 * capacity, at a tie the one with the lowest hash of its name. Members need no
 * message to agree on it; while their views differ, two of them poll the
 * store. Returns false if this entry VM is the leader.
 *
 * PickPeer picks a random live member; false if there is none. */
bool SasMesh_FindLeader(const struct sas_mesh *mesh, struct sas_address *peer);
bool SasMesh_PickPeer(struct sas_mesh *mesh, struct sas_address *peer);

#endif
