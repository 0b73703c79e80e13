/* mesh_internal - shared by mesh.c, mesh_gossip.c, mesh_lookup.c and
 * mesh_ranking.c: the table of entry VMs, by member id. */
#ifndef SAS_MESH_INTERNAL_H
#define SAS_MESH_INTERNAL_H

#include "mesh.h"
#include "sas/generated/mesh.h"
#include "sas/membership.h"
#include "sas/ping.h"
#include "sas/proto.h"

#define OWN_ID 0

/* Updates in a join message: only that of the sender, which is always the
 * first. At a common start all send one to all; with the full digest in each,
 * 300 entry VMs would send 0.2 GB. */
#define JOIN_UPDATES 1

struct vm { /* an entry VM */
    struct sas_mesh_facts facts;
    uint64_t name_hash;
    int zone;
    bool withdrawn; /* by the operators' sheet */
    struct sockaddr_storage peer;
    enum sas_member_state logged_state; /* state in the last log line */
    int64_t mismatch_at; /* last handled mismatch of records; 0: none */
    int64_t avoid_until; /* not sent requests until then */
    /* Services of which it reaches no server, by its last message. */
    u_quad_t lost_paths[SAS_MESH_MAX_LOST_PATHS];
    int lost_path_count;
    int64_t lost_heard_at;
    int64_t lost_since; /* while there are any */
};

struct sas_mesh {
    uv_loop_t *loop;
    uv_udp_t socket;
    uv_timer_t round_timer;
    uv_timer_t reply_timer; /* runs while pings wait for a reply */
    struct sas_pings pings;
    int open_handles;
    struct sas_fleet *fleet;
    GRand *random;
    GArray *vms; /* struct vm, by member id */
    struct sas_membership table;
    struct sas_mesh_listener *listener;
    struct sas_mesh_table_listener *table_listener; /* NULL: none */
    u_quad_t changes[SAS_MESH_MAX_TABLES]; /* own newest version, by table */
    int64_t sheet_version;                 /* highest announced */
    uint64_t records_digest;
    int64_t resumed_at;        /* start of the process, or end of a freeze */
    int64_t last_round_at;     /* last gossip round */
    struct sas_proto_key *key; /* shared by all entry VMs; NULL: none */
    uint8_t lookup_scopes[SasFleet_MAX_ZONES]; /* as last logged, by zone */
};

/* mesh.c */
int64_t SasMesh_Now(const struct sas_mesh *mesh);
struct vm *SasMesh_GetVm(const struct sas_mesh *mesh, int member_id);
int SasMesh_GetRegion(const struct sas_mesh *mesh, int member_id);
bool SasMesh_IsLive(const struct sas_mesh *mesh, int member_id);
int SasMesh_FindMember(const struct sas_mesh *mesh, uint64_t name_hash);
/* Adds an entry VM, or updates it if the facts have a higher incarnation.
 * Returns its member id; SasModel_NONE if the table is full, its zone is not
 * known or its address can't be parsed. */
int SasMesh_LearnVm(struct sas_mesh *mesh, const struct sas_mesh_facts *facts);

/* Updates the lost paths of a member. */
void SasMesh_ApplyLostPaths(struct sas_mesh *mesh, int member_id,
                            const u_quad_t *service_hashes, int count);

/* Whether the member reaches no server of some service, as it has said
 * recently. */
bool SasMesh_HasLostPaths(const struct sas_mesh *mesh, int member_id);

/* mesh_ranking.c */
/* The member that ranks first for the hash by rendezvous hashing, among the
 * live ones of a region or (NONE) of all that have lost no path; SasModel_NONE
 * if there is none. */
int SasMesh_FindFirst(const struct sas_mesh *mesh, uint64_t hash, int region);
/* The leader of a failure domain; NONE if it has no live member. */
int SasMesh_FindZoneLeader(const struct sas_mesh *mesh, int zone);

/* mesh_gossip.c */
/* Opens the socket and starts the gossip rounds; -1 with an error if the
 * address can't be bound or the own entry VM could not be added (own_added).
 */
int SasMesh_OpenGossip(struct sas_mesh *mesh, bool own_added,
                       struct sas_error *error);
/* Sends a message with at most max updates, the own one first. */
void SasMesh_SendUpdates(struct sas_mesh *mesh, const struct vm *vm, int max,
                         bool wants_reply);
/* Sends a message with as many updates as fit to every other member. */
void SasMesh_Broadcast(struct sas_mesh *mesh);

#endif
