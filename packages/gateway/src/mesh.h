/* mesh - the entry VMs that there are, and which of them live.
 *
 * Nobody is told of the others: an entry VM says hello to those that its
 * settings or the store name, and each datagram carries its sender's
 * addresses, so that whoever hears it knows it too. After that each round of
 * gossip goes to one of them at random and is answered; sas/membership.h
 * decides from it who lives. Messages are XDR in datagrams: a lost one is
 * made good by the next round.
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
#define SasMesh_MAX_ADDRESSES 8 /* addresses in one answer to a look-up */

struct sas_mesh;

struct sas_mesh_facts {
    char name[SasModel_NAME_SIZE];
    char zone[SasModel_NAME_SIZE];
    struct sas_address caller;
    struct sas_address peer;
    uint64_t incarnation; /* wall-clock ms of its start */
    double capacity;      /* requests a second that it can carry */
};

/* Who hears of backend servers that others have stopped sending to; embed it
 * as first member. left_ms 0: the server is well again. */
struct sas_mesh_ejection {
    uint64_t server_hash;
    int64_t left_ms;
    bool restarted;    /* well again, and had not taken connections */
    bool grey_failure; /* no trip: it fails part of its requests */
};

/* A request that ran on a backend server when it crashed, or (survived) that
 * has run to its end since. */
struct sas_mesh_poison_update {
    struct sas_fingerprint fingerprint;
    uint64_t crash;
    bool isolated;
    bool completed;
};

/* Requests that a backend server failed, and those that it answered since the
 * last such news of the same entry VM. */
struct sas_mesh_failure_report {
    uint64_t server_hash;
    int failed;
    int answered;
};

struct sas_mesh_listener {
    void (*on_ejection)(struct sas_mesh_listener *listener,
                        const struct sas_mesh_ejection *ejection);
    void (*on_poison_update)(struct sas_mesh_listener *listener,
                             const struct sas_mesh_poison_update *update);
    /* Another one's news; this entry VM is the server's tester. */
    void (*on_failure_report)(struct sas_mesh_listener *listener,
                              const struct sas_mesh_failure_report *report);
    /* Entry VM number i has other records (SasMesh_SetRecordsDigest), as one
     * that has just started has none. */
    void (*on_digest_mismatch)(struct sas_mesh_listener *listener, int i);
    /* All that another one knows of one request that crashes servers. */
    void (*on_record)(struct sas_mesh_listener *listener,
                      const struct sas_quarantine_entry *entry);
};

/* Who hears of changes in the tables that all entry VMs follow, a number each
 * that is the same for all; embed it as first member. teller has the change,
 * and answers at this address. */
struct sas_mesh_table_listener {
    void (*on_change)(struct sas_mesh_table_listener *listener, int table,
                      int64_t version, const struct sas_address *announcer);
};

/* Opening and closing. */
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

/* The version of the operators' sheet: Note makes it known to all, Get is the
 * highest that anybody has named. */
void SasMesh_NoteSheet(struct sas_mesh *mesh, int64_t version);
int64_t SasMesh_GetSheet(const struct sas_mesh *mesh);

/* This entry VM has a change of a table. Every message names the newest; where
 * this one leads its failure domain, the leaders of the next few are told at
 * once: they pass it on where the store doesn't. */
void SasMesh_NoteChange(struct sas_mesh *mesh, int table, int64_t version);

/* Tells everybody that this process ends soon. */
void SasMesh_Leave(struct sas_mesh *mesh);

/* Another entry VM, from the store: it is greeted at once. */
void SasMesh_AddVm(struct sas_mesh *mesh, const struct sas_mesh_facts *facts);

/* What is believed of entry VM number i, from 0, the own one first; false:
 * there is none. */
struct sas_mesh_view {
    const char *name;
    const char *zone;
    const char *state;
    int64_t age_ms; /* of its last sign of life */
};

bool SasMesh_GetView(const struct sas_mesh *mesh, int i,
                     struct sas_mesh_view *view);

/* Operators have taken entry VM number i out: look-ups don't name it. */
void SasMesh_SetWithdrawn(struct sas_mesh *mesh, int i, bool withdrawn);

/* Fills in gone, by region: it had entry VMs and none is live. All false
 * while this one hears nobody; it is the one that is cut off then. */
void SasMesh_FindGone(const struct sas_mesh *mesh, bool *down);

/* Live ones, this one included. */
int SasMesh_Count(const struct sas_mesh *mesh);

/* The callers' addresses of the strongest live entry VMs in the zone, or where
 * too little of it is left in its region (region, where zone is NONE), or
 * where too little of that is left anywhere. How many; at most max. */
int SasMesh_Lookup(struct sas_mesh *mesh, int zone, int region,
                   struct sas_address *addresses, int max);

/* Tells of a backend server, see on_trip: the tester all others, anybody else
 * the tester alone (nobody, where the server's region has no entry VM).
 * Hundreds that meet a slow server at the same time and tell everybody would
 * send a datagram for each pair of them. */
void SasMesh_ReportEjection(struct sas_mesh *mesh,
                            const struct sas_mesh_ejection *ejection,
                            int region);

/* Tells the server's tester; nobody where that is this one. */
void SasMesh_ReportFailures(struct sas_mesh *mesh,
                            const struct sas_mesh_failure_report *report,
                            int region);

/* Whether this entry VM is the first of all live ones in the hash's order.
 * TellSuspect goes to that one of the first row's fingerprint (low), or to
 * all. */
bool SasMesh_IsFirst(const struct sas_mesh *mesh, uint64_t hash);
void SasMesh_ReportPoison(struct sas_mesh *mesh,
                          const struct sas_mesh_poison_update *rows, int count,
                          bool to_all);

/* Records: what is known of requests that crash servers. Each message names
 * their digest, and who hears of another one is called (on_differ), now and
 * then for as long as it is. SendRecord goes to number i. */
void SasMesh_SetRecordsDigest(struct sas_mesh *mesh, uint64_t digest);
void SasMesh_SendRecord(struct sas_mesh *mesh,
                        const struct sas_quarantine_entry *entry, int i);

/* Whether this entry VM tries a tripped server again for all others: the first
 * of the live ones of the server's region, in an order of the server's own.
 * Each of them trying by itself would cost a request each. Where the region
 * has lost all its entry VMs, each of the others does. */
bool SasMesh_IsProber(const struct sas_mesh *mesh, uint64_t server_hash,
                      int region);

/* How many entry VMs of a region may be sending to a server of it, and the
 * place of this one among them, for limits that they share. At any moment the
 * parts that are used must not add up to more than the whole, whatever each
 * believes. So one that is leaving, suspect or gone for a short while keeps
 * its part, which it may still be using; and one that has just started, or
 * was frozen, has none (joined is false) until the others have heard of it
 * and what they sent with its part is a second old. */
struct sas_mesh_senders {
    int count;
    int rank;
    bool has_share; /* this one may use its part */
};

struct sas_mesh_senders SasMesh_GetSenders(const struct sas_mesh *mesh,
                                           uint64_t server_hash, int region);

/* Among the live ones of the own failure domain the strongest, of several the
 * first by the hash of its name: all of them agree on it without a message,
 * and where their views differ for a while two ask instead of one. False when
 * it is this one. */
bool SasMesh_FindLeader(const struct sas_mesh *mesh, struct sas_address *peer);
bool SasMesh_PickPeer(struct sas_mesh *mesh, struct sas_address *peer);

#endif
