/* mesh_seats - what mesh.c, mesh_order.c and mesh_talk.c share: the table of
 * entry VMs by seat, the own one first. */
#ifndef SAS_MESH_INTERNAL_H
#define SAS_MESH_INTERNAL_H

#include "mesh.h"
#include "sas/exchange.h"
#include "sas/generated/mesh.h"
#include "sas/membership.h"
#include "sas/proto.h"

#define OWN_ID 0

/* News in a greeting: of this one alone, which a digest begins with. At a
 * start everybody greets everybody; with all news in each greeting 300 entry
 * VMs would send each other 0.2 GB. */
#define JOIN_UPDATES 1

struct vm { /* an entry VM */
    struct sas_mesh_facts facts;
    uint64_t name_hash;
    int zone;
    bool withdrawn; /* by the operators' sheet */
    struct sockaddr_storage peer;
    enum sas_member_state logged_state; /* state in the last log line */
    int64_t mismatch_at; /* its records, when last noted; 0: never */
};

struct sas_mesh {
    uv_loop_t *loop;
    uv_udp_t socket;
    uv_timer_t round_timer;
    uv_timer_t reply_timer; /* runs while questions wait for theirs */
    struct sas_exchanges pings;
    int open_handles;
    struct sas_fleet *fleet;
    GRand *random;
    GArray *vms; /* struct vm, by seat */
    struct sas_membership table;
    struct sas_mesh_listener *listener;
    struct sas_mesh_table_listener *table_listener; /* NULL: none */
    u_quad_t changes[SAS_MESH_MAX_TABLES]; /* the own newest, by table */
    int64_t sheet_version;                 /* the highest heard of */
    uint64_t records_digest;
    int64_t resumed_at;        /* its start, or the end of its last pause */
    int64_t last_round_at;     /* the last round of gossip */
    struct sas_proto_key *key; /* NULL: none */
    uint8_t lookup_scopes[SasFleet_MAX_ZONES]; /* as last logged, by zone */
};

/* mesh.c */
int64_t SasMesh_Now(const struct sas_mesh *mesh);
struct vm *SasMesh_GetVm(const struct sas_mesh *mesh, int member_id);
int SasMesh_GetRegion(const struct sas_mesh *mesh, int member_id);
bool SasMesh_IsLive(const struct sas_mesh *mesh, int member_id);
int SasMesh_FindMember(const struct sas_mesh *mesh, uint64_t name_hash);
/* The seat of an entry VM, with its newest addresses; SasModel_NONE where
 * there is no room or its zone is not known. */
int SasMesh_LearnVm(struct sas_mesh *mesh, const struct sas_mesh_facts *facts);

/* mesh_order.c: the first of the live ones in the hash's order, of one region
 * or (NONE) of all; SasModel_NONE where there is none. */
int SasMesh_FindFirst(const struct sas_mesh *mesh, uint64_t hash, int region);
/* The seat that leads a failure domain; NONE where nobody there is live. */
int SasMesh_FindZoneLeader(const struct sas_mesh *mesh, int zone);

/* mesh_talk.c */
/* Opens the socket and begins the rounds; -1 with an error where the address
 * is not to be had, or the own seat (seated) is not. */
int SasMesh_OpenGossip(struct sas_mesh *mesh, bool own_added,
                       struct sas_error *error);
void SasMesh_SendUpdates(struct sas_mesh *mesh, const struct vm *vm, int max,
                         bool wants_reply);
/* All that fits into a message, to everybody. */
void SasMesh_Broadcast(struct sas_mesh *mesh);

#endif
