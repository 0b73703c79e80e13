/* Orders in which entry VMs stand for something that has a hash. */
#include "mesh_seats.h"

#include <xxhash.h>

static uint64_t
score_vm(const struct sas_mesh *mesh, uint64_t server_hash, int seat)
{
    uint64_t words[2] = {server_hash, SasMesh_GetVm(mesh, seat)->name_hash};
    return XXH3_64bits(words, sizeof(words));
}

/* One that is gone may be cut off from the others and not from the servers. */
#define RESERVED_MS 10000

/* Others hear of a start or of the end of a pause within a second; what they
 * sent until then counts for one more. */
#define JOIN_MS 2000

static bool
may_send(const struct sas_mesh *mesh, int seat)
{
    int64_t now_ms = SasMesh_Now(mesh);
    enum sas_member_state state =
        SasMembership_GetState(&mesh->table, seat, now_ms);
    bool reserved =
        state == SAS_MEMBER_GONE && !mesh->table.members[seat].leaving &&
        SasMembership_GetAge(&mesh->table, seat, now_ms) < RESERVED_MS;
    return seat == OWN_SEAT || state == SAS_MEMBER_LIVE ||
           state == SAS_MEMBER_LEAVING || state == SAS_MEMBER_SUSPECT ||
           reserved;
}

struct sas_mesh_senders
SasMesh_GetSenders(const struct sas_mesh *mesh, uint64_t server_hash,
                   int region)
{
    struct sas_mesh_senders senders = {
        .joined = SasMesh_Now(mesh) - mesh->woke_at >= JOIN_MS,
    };
    uint64_t own = score_vm(mesh, server_hash, OWN_SEAT);
    for (int seat = 0; seat < (int)mesh->vms->len; seat++) {
        if (SasMesh_GetRegion(mesh, seat) != region || !may_send(mesh, seat)) {
            continue;
        }
        senders.count++;
        senders.rank += score_vm(mesh, server_hash, seat) > own ? 1 : 0;
    }
    return senders;
}

/* The first of the live ones in the hash's order, of one region or (NONE) of
 * all; SasModel_NONE where there is none. */
int
SasMesh_FindFirst(const struct sas_mesh *mesh, uint64_t hash, int region)
{
    int first = SasModel_NONE;
    for (int seat = OWN_SEAT; seat < (int)mesh->vms->len; seat++) {
        bool counts =
            region == SasModel_NONE || SasMesh_GetRegion(mesh, seat) == region;
        if (!counts || !SasMesh_IsLive(mesh, seat)) {
            continue;
        }
        if (first == SasModel_NONE ||
            score_vm(mesh, hash, seat) > score_vm(mesh, hash, first)) {
            first = seat;
        }
    }
    return first;
}

bool
SasMesh_IsFirst(const struct sas_mesh *mesh, uint64_t hash)
{
    return SasMesh_FindFirst(mesh, hash, SasModel_NONE) == OWN_SEAT;
}

bool
SasMesh_IsTester(const struct sas_mesh *mesh, uint64_t server_hash, int region)
{
    int first = SasMesh_FindFirst(mesh, server_hash, region);
    return first == OWN_SEAT || first == SasModel_NONE;
}

static bool
leads_before(const struct vm *one, const struct vm *other)
{
    if (one->facts.strength != other->facts.strength) {
        return one->facts.strength > other->facts.strength;
    }
    return one->name_hash < other->name_hash;
}

int
SasMesh_FindZoneLeader(const struct sas_mesh *mesh, int zone)
{
    int leader = SasModel_NONE;
    for (int seat = OWN_SEAT; seat < (int)mesh->vms->len; seat++) {
        const struct vm *vm = SasMesh_GetVm(mesh, seat);
        if (vm->zone == zone &&
            (leader == SasModel_NONE ||
             leads_before(vm, SasMesh_GetVm(mesh, leader))) &&
            (seat == OWN_SEAT || SasMesh_IsLive(mesh, seat))) {
            leader = seat;
        }
    }
    return leader;
}

bool
SasMesh_FindLeader(const struct sas_mesh *mesh, struct sas_address *peer)
{
    int leader = SasMesh_FindZoneLeader(mesh, SasMesh_GetOwnZone(mesh));
    *peer = SasMesh_GetVm(mesh, leader)->facts.peer;
    return leader != OWN_SEAT;
}

bool
SasMesh_PickPeer(struct sas_mesh *mesh, struct sas_address *peer)
{
    int live = 0;
    for (int seat = OWN_SEAT + 1; seat < (int)mesh->vms->len; seat++) {
        if (!SasMesh_IsLive(mesh, seat)) {
            continue;
        }
        live++;
        if (g_rand_int_range(mesh->random, 0, live) == 0) {
            *peer = SasMesh_GetVm(mesh, seat)->facts.peer;
        }
    }
    return live > 0;
}
