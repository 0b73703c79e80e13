#include "mesh.h"

#include <string.h>
#include <xxhash.h>

#include "mesh_internal.h"
#include "sas/http.h"
#include "sas/log.h"
#include "sas/vm_capacity.h"

/* Failure domains whose leaders a change is announced to at once. Each leader
 * thus gets it from as many others, and learns of it even if most of them are
 * unreachable. */
#define NOTIFIED_ZONES 4

int64_t
SasMesh_Now(const struct sas_mesh *mesh)
{
    return (int64_t)uv_now(mesh->loop);
}

struct vm *
SasMesh_GetVm(const struct sas_mesh *mesh, int member_id)
{
    return &g_array_index(mesh->vms, struct vm, member_id);
}

/* Opening and closing. */

static void
on_closed(uv_handle_t *handle)
{
    struct sas_mesh *mesh = handle->data;
    mesh->open_handles--;
    if (mesh->open_handles == 0) {
        SasMembership_Close(&mesh->table);
        g_array_free(mesh->vms, TRUE);
        g_free(mesh);
    }
}

static int
add_member(struct sas_mesh *mesh, const struct sas_mesh_facts *facts)
{
    struct vm vm = {.facts = *facts};
    vm.zone = SasFleet_FindZone(mesh->fleet, facts->zone);
    vm.name_hash = XXH3_64bits(facts->name, strlen(facts->name));
    if (vm.zone == SasModel_NONE ||
        SasHttp_GetSockaddr(&facts->peer, &vm.peer) != 0 ||
        mesh->vms->len >= SasMesh_MAX_VMS) {
        return SasModel_NONE;
    }
    g_array_append_val(mesh->vms, vm);
    return (int)mesh->vms->len - 1;
}

struct sas_mesh *
SasMesh_Open(uv_loop_t *loop, struct sas_fleet *fleet,
             const struct sas_entry_settings *settings, GRand *random,
             struct sas_error *error)
{
    struct sas_mesh *mesh = g_new0(struct sas_mesh, 1);
    mesh->loop = loop;
    mesh->fleet = fleet;
    mesh->random = random;
    mesh->key = settings->peer_key;
    mesh->vms = g_array_new(FALSE, TRUE, sizeof(struct vm));
    struct sas_mesh_facts own = {
        .caller = settings->caller,
        .peer = settings->peer,
        .incarnation = (uint64_t)settings->started_at,
        .capacity =
            SasVmCapacity_Estimate(settings->cores, settings->link_mbps),
    };
    g_strlcpy(own.name, settings->name, sizeof(own.name));
    g_strlcpy(own.zone, settings->zone, sizeof(own.zone));
    int member_id = add_member(mesh, &own);
    SasMembership_Init(&mesh->table, 1, OWN_ID, own.incarnation,
                       SasMesh_Now(mesh));
    if (settings->first_start) {
        SasMembership_NoteFirstStart(&mesh->table);
    }
    mesh->last_round_at = SasMesh_Now(mesh);
    mesh->resumed_at =
        settings->first_start ? INT64_MIN / 2 : mesh->last_round_at;
    if (SasMesh_OpenGossip(mesh, member_id == OWN_ID, error) != 0) {
        SasMesh_Close(mesh);
        return NULL;
    }
    return mesh;
}

void
SasMesh_Close(struct sas_mesh *mesh)
{
    if (mesh == NULL) {
        return;
    }
    uv_close((uv_handle_t *)&mesh->socket, on_closed);
    uv_close((uv_handle_t *)&mesh->round_timer, on_closed);
    uv_close((uv_handle_t *)&mesh->reply_timer, on_closed);
}

void
SasMesh_SetListener(struct sas_mesh *mesh, struct sas_mesh_listener *listener)
{
    mesh->listener = listener;
}

void
SasMesh_SetTableListener(struct sas_mesh *mesh,
                         struct sas_mesh_table_listener *listener)
{
    mesh->table_listener = listener;
}

/* This entry VM. */

const struct sas_mesh_facts *
SasMesh_GetOwn(const struct sas_mesh *mesh)
{
    return &SasMesh_GetVm(mesh, OWN_ID)->facts;
}

int
SasMesh_GetOwnZone(const struct sas_mesh *mesh)
{
    return SasMesh_GetVm(mesh, OWN_ID)->zone;
}

int
SasMesh_GetRegion(const struct sas_mesh *mesh, int member_id)
{
    return SasFleet_GetZone(mesh->fleet, SasMesh_GetVm(mesh, member_id)->zone)
        ->region;
}

bool
SasMesh_IsOwnRegion(const struct sas_mesh *mesh, int region)
{
    return SasMesh_GetRegion(mesh, OWN_ID) == region;
}

void
SasMesh_SetVersion(struct sas_mesh *mesh, int64_t config_version)
{
    SasMembership_SetVersion(&mesh->table, (uint64_t)config_version);
}

void
SasMesh_NoteSheet(struct sas_mesh *mesh, int64_t version)
{
    if (version > mesh->sheet_version) {
        mesh->sheet_version = version;
        SasMesh_Broadcast(mesh);
    }
}

void
SasMesh_SetRecordsDigest(struct sas_mesh *mesh, uint64_t digest)
{
    mesh->records_digest = digest;
}

int64_t
SasMesh_GetSheet(const struct sas_mesh *mesh)
{
    return mesh->sheet_version;
}

void
SasMesh_NoteChange(struct sas_mesh *mesh, int table, int64_t version)
{
    g_assert(table >= 0 && table < SAS_MESH_MAX_TABLES);
    if (version <= (int64_t)mesh->changes[table]) {
        return;
    }
    mesh->changes[table] = (u_quad_t)version;
    int own = SasMesh_GetOwnZone(mesh);
    if (SasMesh_FindZoneLeader(mesh, own) != OWN_ID) {
        return;
    }
    int zones = SasFleet_CountZones(mesh->fleet);
    for (int i = 1; i < zones && i <= NOTIFIED_ZONES; i++) {
        int member_id = SasMesh_FindZoneLeader(mesh, (own + i) % zones);
        if (member_id != SasModel_NONE) {
            SasMesh_SendUpdates(mesh, SasMesh_GetVm(mesh, member_id),
                                JOIN_UPDATES, false);
        }
    }
}

void
SasMesh_SetWithdrawn(struct sas_mesh *mesh, int i, bool withdrawn)
{
    struct vm *vm = SasMesh_GetVm(mesh, i);
    if (vm->withdrawn != withdrawn) {
        vm->withdrawn = withdrawn;
        SasLog_Write(SasLog_INFO, "mesh.withdraw", vm->facts.name,
                     "withdrawn=%d by the sheet", withdrawn);
    }
}

uint64_t
SasMesh_HashService(const char *name)
{
    return XXH3_64bits(name, strlen(name));
}

void
SasMesh_SetLostPaths(struct sas_mesh *mesh, const uint64_t *service_hashes,
                     int count)
{
    SasMesh_ApplyLostPaths(mesh, OWN_ID, service_hashes, count);
    SasMesh_Broadcast(mesh);
}

bool
SasMesh_HasLostPaths(const struct sas_mesh *mesh, int member_id)
{
    const struct vm *vm = SasMesh_GetVm(mesh, member_id);
    return vm->lost_path_count > 0 &&
           SasMesh_Now(mesh) - vm->lost_heard_at <= SasMesh_LOST_PATH_MS;
}

void
SasMesh_ApplyLostPaths(struct sas_mesh *mesh, int member_id,
                       const u_quad_t *service_hashes, int count)
{
    struct vm *vm = SasMesh_GetVm(mesh, member_id);
    if (vm->lost_path_count == 0) {
        vm->lost_since = SasMesh_Now(mesh);
    }
    vm->lost_path_count = MIN(count, SAS_MESH_MAX_LOST_PATHS);
    vm->lost_heard_at = SasMesh_Now(mesh);
    for (int i = 0; i < vm->lost_path_count; i++) {
        vm->lost_paths[i] = service_hashes[i];
    }
}

void
SasMesh_Leave(struct sas_mesh *mesh)
{
    SasMembership_SetLeaving(&mesh->table);
    SasMembership_IncrementHeartbeat(&mesh->table, SasMesh_Now(mesh));
    SasMesh_Broadcast(mesh);
}

int
SasMesh_FindMember(const struct sas_mesh *mesh, uint64_t name_hash)
{
    for (int member_id = 0; member_id < (int)mesh->vms->len; member_id++) {
        if (SasMesh_GetVm(mesh, member_id)->name_hash == name_hash) {
            return member_id;
        }
    }
    return SasModel_NONE;
}

int
SasMesh_LearnVm(struct sas_mesh *mesh, const struct sas_mesh_facts *facts)
{
    uint64_t hash = XXH3_64bits(facts->name, strlen(facts->name));
    int member_id = SasMesh_FindMember(mesh, hash);
    if (member_id == SasModel_NONE) {
        member_id = add_member(mesh, facts);
        if (member_id == SasModel_NONE) {
            return member_id;
        }
        SasMembership_Grow(&mesh->table, (int)mesh->vms->len);
        SasLog_Write(SasLog_INFO, "mesh.learn", facts->name,
                     "zone=%s address=%s known=%u", facts->zone,
                     facts->caller.ip, mesh->vms->len);
        return member_id;
    }
    struct vm *vm = SasMesh_GetVm(mesh, member_id);
    if (member_id != OWN_ID && facts->incarnation > vm->facts.incarnation) {
        vm->facts = *facts;
        vm->mismatch_at = 0;
        SasHttp_GetSockaddr(&facts->peer, &vm->peer);
    }
    return member_id;
}

void
SasMesh_AddVm(struct sas_mesh *mesh, const struct sas_mesh_facts *facts)
{
    int member_id = SasMesh_LearnVm(mesh, facts);
    if (member_id > OWN_ID) {
        SasMesh_SendUpdates(mesh, SasMesh_GetVm(mesh, member_id), JOIN_UPDATES,
                            true);
    }
}

bool
SasMesh_GetView(const struct sas_mesh *mesh, int i, struct sas_mesh_view *view)
{
    if (i >= (int)mesh->vms->len) {
        return false;
    }
    int64_t now_ms = SasMesh_Now(mesh);
    view->name = SasMesh_GetVm(mesh, i)->facts.name;
    view->zone = SasMesh_GetVm(mesh, i)->facts.zone;
    view->state = SasMembership_GetStateName(
        SasMembership_GetState(&mesh->table, i, now_ms));
    view->age_ms = SasMembership_GetAge(&mesh->table, i, now_ms);
    return true;
}

/* Live members. */

bool
SasMesh_IsLive(const struct sas_mesh *mesh, int member_id)
{
    return SasMembership_GetState(&mesh->table, member_id,
                                  SasMesh_Now(mesh)) == SAS_MEMBER_LIVE;
}

int
SasMesh_Count(const struct sas_mesh *mesh)
{
    int count = 0;
    for (int member_id = 0; member_id < (int)mesh->vms->len; member_id++) {
        count += SasMesh_IsLive(mesh, member_id) ? 1 : 0;
    }
    return MAX(count, 1);
}

int
SasMesh_CountSharers(const struct sas_mesh *mesh, int64_t window_ms)
{
    return SasMembership_CountSharers(&mesh->table, window_ms,
                                      SasMesh_Now(mesh));
}

void
SasMesh_NoteListed(struct sas_mesh *mesh)
{
    SasMembership_NoteListed(&mesh->table);
}

void
SasMesh_FindDownRegions(const struct sas_mesh *mesh, bool *down)
{
    int regions = SasFleet_CountRegions(mesh->fleet);
    bool partitioned =
        SasMembership_IsPartitioned(&mesh->table, SasMesh_Now(mesh));
    memset(down, 0, (size_t)regions * sizeof(*down));
    for (int member_id = 0; member_id < (int)mesh->vms->len && !partitioned;
         member_id++) {
        down[SasMesh_GetRegion(mesh, member_id)] = true;
    }
    for (int member_id = 0; member_id < (int)mesh->vms->len; member_id++) {
        if (SasMesh_IsLive(mesh, member_id)) {
            down[SasMesh_GetRegion(mesh, member_id)] = false;
        }
    }
}
