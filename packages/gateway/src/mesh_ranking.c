/* Ranks entry VMs by rendezvous hashing, and selects leaders and peers. */
#include "mesh_internal.h"

#include <math.h>
#include <xxhash.h>

static uint64_t
score_vm(const struct sas_mesh *mesh, uint64_t server_hash, int member_id)
{
    uint64_t words[2] = {server_hash,
                         SasMesh_GetVm(mesh, member_id)->name_hash};
    return XXH3_64bits(words, sizeof(words));
}

/* Higher for entry VMs with a higher capacity, in proportion on average. */
static double
score_by_capacity(const struct sas_mesh *mesh, uint64_t server_hash,
                  int member_id)
{
    double unit =
        ((double)(score_vm(mesh, server_hash, member_id) >> 11) + 1) /
        9007199254740993.0;
    return SasMesh_GetVm(mesh, member_id)->facts.capacity / -log(unit);
}

static double
score_evenly(const struct sas_mesh *mesh, uint64_t server_hash, int member_id)
{
    return (double)score_vm(mesh, server_hash, member_id);
}

static struct sas_mesh_senders
rank_senders(const struct sas_mesh *mesh, uint64_t server_hash, int region,
             double (*score)(const struct sas_mesh *, uint64_t, int))
{
    int64_t now_ms = SasMesh_Now(mesh);
    struct sas_mesh_senders senders = {
        .has_share = mesh->table.listed &&
                     now_ms - mesh->resumed_at >= SasMembership_JOIN_MS,
    };
    double own = score(mesh, server_hash, OWN_ID);
    for (int member_id = 0; member_id < (int)mesh->vms->len; member_id++) {
        if (SasMesh_GetRegion(mesh, member_id) != region ||
            !SasMembership_MayUseShare(&mesh->table, member_id, now_ms)) {
            continue;
        }
        senders.count++;
        senders.rank += score(mesh, server_hash, member_id) > own ? 1 : 0;
    }
    return senders;
}

struct sas_mesh_senders
SasMesh_GetSenders(const struct sas_mesh *mesh, uint64_t server_hash,
                   int region)
{
    return rank_senders(mesh, server_hash, region, score_evenly);
}

struct sas_mesh_senders
SasMesh_GetSendersByCapacity(const struct sas_mesh *mesh, uint64_t server_hash,
                             int region)
{
    return rank_senders(mesh, server_hash, region, score_by_capacity);
}

/* The first one but that member; SasModel_NONE: of all. */
static int
find_first_but(const struct sas_mesh *mesh, uint64_t hash, int region,
               int except)
{
    int first = SasModel_NONE;
    for (int member_id = OWN_ID; member_id < (int)mesh->vms->len;
         member_id++) {
        bool counts = region == SasModel_NONE ||
                      SasMesh_GetRegion(mesh, member_id) == region;
        if (!counts || member_id == except ||
            !SasMesh_IsLive(mesh, member_id) ||
            SasMesh_HasLostPaths(mesh, member_id)) {
            continue;
        }
        if (first == SasModel_NONE ||
            score_vm(mesh, hash, member_id) > score_vm(mesh, hash, first)) {
            first = member_id;
        }
    }
    return first;
}

int
SasMesh_FindFirst(const struct sas_mesh *mesh, uint64_t hash, int region)
{
    return find_first_but(mesh, hash, region, SasModel_NONE);
}

bool
SasMesh_IsFirst(const struct sas_mesh *mesh, uint64_t hash)
{
    return SasMesh_FindFirst(mesh, hash, SasModel_NONE) == OWN_ID;
}

bool
SasMesh_IsProber(const struct sas_mesh *mesh, uint64_t server_hash, int region)
{
    int first = SasMesh_FindFirst(mesh, server_hash, region);
    return first == OWN_ID || first == SasModel_NONE;
}

bool
SasMesh_AnswersReport(const struct sas_mesh *mesh, uint64_t server_hash,
                      int region, int reporter)
{
    int first = find_first_but(mesh, server_hash, region, reporter);
    if (first == SasModel_NONE) {
        first = find_first_but(mesh, server_hash, SasModel_NONE, reporter);
    }
    return first == OWN_ID;
}

static bool
leads_before(const struct vm *one, const struct vm *other)
{
    if (one->facts.capacity != other->facts.capacity) {
        return one->facts.capacity > other->facts.capacity;
    }
    return one->name_hash < other->name_hash;
}

int
SasMesh_FindZoneLeader(const struct sas_mesh *mesh, int zone)
{
    int leader = SasModel_NONE;
    for (int member_id = OWN_ID; member_id < (int)mesh->vms->len;
         member_id++) {
        const struct vm *vm = SasMesh_GetVm(mesh, member_id);
        if (vm->zone == zone &&
            (leader == SasModel_NONE ||
             leads_before(vm, SasMesh_GetVm(mesh, leader))) &&
            (member_id == OWN_ID || SasMesh_IsLive(mesh, member_id))) {
            leader = member_id;
        }
    }
    return leader;
}

bool
SasMesh_FindLeader(const struct sas_mesh *mesh, struct sas_address *peer)
{
    int leader = SasMesh_FindZoneLeader(mesh, SasMesh_GetOwnZone(mesh));
    *peer = SasMesh_GetVm(mesh, leader)->facts.peer;
    return leader != OWN_ID;
}

bool
SasMesh_PickPeer(struct sas_mesh *mesh, struct sas_address *peer)
{
    int live = 0;
    for (int member_id = OWN_ID + 1; member_id < (int)mesh->vms->len;
         member_id++) {
        if (!SasMesh_IsLive(mesh, member_id)) {
            continue;
        }
        live++;
        if (g_rand_int_range(mesh->random, 0, live) == 0) {
            *peer = SasMesh_GetVm(mesh, member_id)->facts.peer;
        }
    }
    return live > 0;
}

/* 0: the own zone; 1: the own region; 2: others. */
static int
get_distance(const struct sas_mesh *mesh, int member_id)
{
    if (SasMesh_GetVm(mesh, member_id)->zone == SasMesh_GetOwnZone(mesh)) {
        return 0;
    }
    return SasMesh_IsOwnRegion(mesh, SasMesh_GetRegion(mesh, member_id)) ? 1
                                                                         : 2;
}

static bool
has_lost_path(const struct sas_mesh *mesh, int member_id,
              uint64_t service_hash)
{
    const struct vm *vm = SasMesh_GetVm(mesh, member_id);
    bool lost = false;
    for (int i = 0; i < vm->lost_path_count; i++) {
        lost = lost || vm->lost_paths[i] == service_hash;
    }
    return lost && SasMesh_HasLostPaths(mesh, member_id);
}

static bool
may_get_requests(const struct sas_mesh *mesh, int member_id,
                 uint64_t service_hash, uint64_t allowed_regions)
{
    int region = SasMesh_GetRegion(mesh, member_id);
    return (allowed_regions == 0 ||
            (allowed_regions & (UINT64_C(1) << region)) != 0) &&
           SasMesh_IsLive(mesh, member_id) &&
           !has_lost_path(mesh, member_id, service_hash) &&
           SasMesh_Now(mesh) >= SasMesh_GetVm(mesh, member_id)->avoid_until;
}

bool
SasMesh_PickPeerFor(struct sas_mesh *mesh, uint64_t service_hash,
                    uint64_t allowed_regions, struct sas_mesh_peer *peer)
{
    int picked = SasModel_NONE;
    int nearest = G_MAXINT;
    double total = 0; /* of the nearest ones so far */
    for (int member_id = OWN_ID + 1; member_id < (int)mesh->vms->len;
         member_id++) {
        int distance = get_distance(mesh, member_id);
        if (distance > nearest ||
            !may_get_requests(mesh, member_id, service_hash,
                              allowed_regions)) {
            continue;
        }
        if (distance < nearest) {
            nearest = distance;
            total = 0;
        }
        double weight = MAX(SasMesh_GetVm(mesh, member_id)->facts.capacity, 1);
        total += weight;
        if (g_rand_double(mesh->random) * total <= weight) {
            picked = member_id;
        }
    }
    if (picked == SasModel_NONE) {
        return false;
    }
    const struct sas_mesh_facts *facts = &SasMesh_GetVm(mesh, picked)->facts;
    peer->member_id = picked;
    peer->address = facts->peer;
    peer->incarnation = facts->incarnation;
    g_strlcpy(peer->name, facts->name, sizeof(peer->name));
    return true;
}

void
SasMesh_AvoidPeer(struct sas_mesh *mesh, int member_id, int64_t until_ms)
{
    SasMesh_GetVm(mesh, member_id)->avoid_until = until_ms;
}
