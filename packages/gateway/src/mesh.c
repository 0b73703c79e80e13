#include "mesh.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include <openssl/crypto.h>
#include <rpc/rpc.h>

#include "sas/exchange.h"
#include "sas/generated/mesh.h"
#include "sas/http.h"
#include "sas/log.h"
#include "sas/membership.h"
#include "sas/proto.h"
#include "sas/strength.h"
#include "sas/wall.h"

#define MAX_DATAGRAM 1400
#define OWN_SEAT 0

/* Whoever has heard from an entry VM itself so lately doesn't believe
 * another's doubt of it: a doubt is raised 1.8 s after a question that got no
 * reply, so that one of a dead entry VM is never refused by this. Without it a
 * cut between two zones would make each doubt the other for everybody. */
#define HEARD_MS 1500

/* Clocks of VMs are close to the true time; the users know steps of two
 * seconds. */
#define MAX_SKEW_MS 30000

/* News in a greeting: of this one alone, which a digest begins with. At a
 * start everybody greets everybody; with all news in each greeting 300 entry
 * VMs would send each other 0.2 GB. */
#define OWN_NEWS 1

struct vm {
    struct sas_mesh_facts facts;
    uint64_t name_hash;
    int zone;
    bool withdrawn; /* by the operators' sheet */
    struct sockaddr_storage peer;
    enum sas_member_state told; /* state in the last log line */
};

struct sas_mesh {
    uv_loop_t *loop;
    uv_udp_t socket;
    uv_timer_t rounds;
    uv_timer_t replies; /* runs while questions wait for theirs */
    struct sas_exchanges exchanges;
    int open_handles;
    struct sas_fleet *fleet;
    GRand *random;
    GArray *vms; /* struct vm, by seat */
    struct sas_membership table;
    struct sas_mesh_user *user;
    int64_t sheet_version;     /* the highest heard of */
    struct sas_proto_key *key; /* NULL: none */
};

static void on_round(uv_timer_t *timer);
static void on_replies_due(uv_timer_t *timer);
static void tell_of(struct sas_mesh *mesh, int about);
static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer);
static void on_datagram(uv_udp_t *socket, ssize_t count, const uv_buf_t *data,
                        const struct sockaddr *from, unsigned flags);
static void send_news(struct sas_mesh *mesh, const struct vm *vm, int max,
                      bool wants_reply);
static void send_message(struct sas_mesh *mesh, const struct vm *vm,
                         sas_mesh_message *message);

static int64_t
get_now(const struct sas_mesh *mesh)
{
    return (int64_t)uv_now(mesh->loop);
}

static struct vm *
get_vm(const struct sas_mesh *mesh, int seat)
{
    return &g_array_index(mesh->vms, struct vm, seat);
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
add_seat(struct sas_mesh *mesh, const struct sas_mesh_facts *facts)
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

/* The port that others are to use, also where the kernel chose it. */
static void
read_port(struct sas_mesh *mesh)
{
    struct vm *own = get_vm(mesh, OWN_SEAT);
    struct sockaddr_storage storage;
    int size = sizeof(storage);
    uv_udp_getsockname(&mesh->socket, (struct sockaddr *)&storage, &size);
    own->facts.peer.port =
        ntohs(((const struct sockaddr_in *)&storage)->sin_port);
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
        .strength = SasStrength_Estimate(settings->cores, settings->link_mbps),
    };
    g_strlcpy(own.name, settings->name, sizeof(own.name));
    g_strlcpy(own.zone, settings->zone, sizeof(own.zone));
    int seat = add_seat(mesh, &own);
    SasMembership_Init(&mesh->table, 1, OWN_SEAT, own.incarnation,
                       get_now(mesh));
    uv_udp_init(loop, &mesh->socket);
    uv_timer_init(loop, &mesh->rounds);
    uv_timer_init(loop, &mesh->replies);
    SasExchange_Init(&mesh->exchanges);
    mesh->socket.data = mesh;
    mesh->rounds.data = mesh;
    mesh->replies.data = mesh;
    mesh->open_handles = 3;
    int rc = seat == OWN_SEAT
                 ? uv_udp_bind(&mesh->socket,
                               (struct sockaddr *)&get_vm(mesh, seat)->peer, 0)
                 : UV_EINVAL;
    if (rc != 0) {
        SasError_Set(error, SAS_EIO, "mesh.bind", settings->peer.ip, "%s",
                     uv_strerror(rc));
        SasMesh_Close(mesh);
        return NULL;
    }
    read_port(mesh);
    uv_udp_recv_start(&mesh->socket, on_alloc, on_datagram);
    uint64_t interval_ms = (uint64_t)mesh->table.times.interval_ms;
    uv_timer_start(&mesh->rounds, on_round, interval_ms, interval_ms);
    return mesh;
}

void
SasMesh_Close(struct sas_mesh *mesh)
{
    if (mesh == NULL) {
        return;
    }
    uv_close((uv_handle_t *)&mesh->socket, on_closed);
    uv_close((uv_handle_t *)&mesh->rounds, on_closed);
    uv_close((uv_handle_t *)&mesh->replies, on_closed);
}

void
SasMesh_SetUser(struct sas_mesh *mesh, struct sas_mesh_user *user)
{
    mesh->user = user;
}

/* The own entry VM. */

const struct sas_mesh_facts *
SasMesh_GetOwn(const struct sas_mesh *mesh)
{
    return &get_vm(mesh, OWN_SEAT)->facts;
}

int
SasMesh_GetOwnZone(const struct sas_mesh *mesh)
{
    return get_vm(mesh, OWN_SEAT)->zone;
}

static int
get_region(const struct sas_mesh *mesh, int seat)
{
    return SasFleet_GetZone(mesh->fleet, get_vm(mesh, seat)->zone)->region;
}

bool
SasMesh_IsOwnRegion(const struct sas_mesh *mesh, int region)
{
    return get_region(mesh, OWN_SEAT) == region;
}

void
SasMesh_SetVersion(struct sas_mesh *mesh, int64_t config_version)
{
    SasMembership_SetVersion(&mesh->table, (uint64_t)config_version);
}

static void
tell_all(struct sas_mesh *mesh)
{
    for (int seat = OWN_SEAT + 1; seat < (int)mesh->vms->len; seat++) {
        send_news(mesh, get_vm(mesh, seat), SAS_MESH_MAX_NEWS, false);
    }
}

void
SasMesh_NoteSheet(struct sas_mesh *mesh, int64_t version)
{
    if (version > mesh->sheet_version) {
        mesh->sheet_version = version;
        tell_all(mesh);
    }
}

int64_t
SasMesh_GetSheet(const struct sas_mesh *mesh)
{
    return mesh->sheet_version;
}

void
SasMesh_SetWithdrawn(struct sas_mesh *mesh, int i, bool withdrawn)
{
    struct vm *vm = get_vm(mesh, i);
    if (vm->withdrawn != withdrawn) {
        vm->withdrawn = withdrawn;
        SasLog_Write(SasLog_INFO, "mesh.withdraw", vm->facts.name,
                     "withdrawn=%d by the sheet", withdrawn);
    }
}

void
SasMesh_Leave(struct sas_mesh *mesh)
{
    SasMembership_SetLeaving(&mesh->table);
    SasMembership_Beat(&mesh->table, get_now(mesh));
    tell_all(mesh);
}

static int
find_seat(const struct sas_mesh *mesh, uint64_t name_hash)
{
    for (int seat = 0; seat < (int)mesh->vms->len; seat++) {
        if (get_vm(mesh, seat)->name_hash == name_hash) {
            return seat;
        }
    }
    return SasModel_NONE;
}

/* The seat of an entry VM, with its newest addresses. */
static int
learn_vm(struct sas_mesh *mesh, const struct sas_mesh_facts *facts)
{
    uint64_t hash = XXH3_64bits(facts->name, strlen(facts->name));
    int seat = find_seat(mesh, hash);
    if (seat == SasModel_NONE) {
        seat = add_seat(mesh, facts);
        if (seat == SasModel_NONE) {
            return seat;
        }
        SasMembership_Grow(&mesh->table, (int)mesh->vms->len);
        SasLog_Write(SasLog_INFO, "mesh.learn", facts->name,
                     "zone=%s address=%s known=%u", facts->zone,
                     facts->caller.ip, mesh->vms->len);
        return seat;
    }
    struct vm *vm = get_vm(mesh, seat);
    if (seat != OWN_SEAT && facts->incarnation > vm->facts.incarnation) {
        vm->facts = *facts;
        SasHttp_GetSockaddr(&facts->peer, &vm->peer);
    }
    return seat;
}

/* Not heard of before, or started again since. */
static bool
is_newcomer(const struct sas_mesh *mesh, const struct sas_mesh_facts *facts)
{
    int seat = find_seat(mesh, XXH3_64bits(facts->name, strlen(facts->name)));
    return seat == SasModel_NONE ||
           get_vm(mesh, seat)->facts.incarnation < facts->incarnation;
}

void
SasMesh_AddVm(struct sas_mesh *mesh, const struct sas_mesh_facts *facts)
{
    int seat = learn_vm(mesh, facts);
    if (seat > OWN_SEAT) {
        send_news(mesh, get_vm(mesh, seat), OWN_NEWS, true);
    }
}

bool
SasMesh_GetView(const struct sas_mesh *mesh, int i, struct sas_mesh_view *view)
{
    if (i >= (int)mesh->vms->len) {
        return false;
    }
    int64_t now_ms = get_now(mesh);
    view->name = get_vm(mesh, i)->facts.name;
    view->zone = get_vm(mesh, i)->facts.zone;
    view->state = SasMembership_GetStateName(
        SasMembership_GetState(&mesh->table, i, now_ms));
    view->age_ms = SasMembership_GetAge(&mesh->table, i, now_ms);
    return true;
}

/* Live ones. */

static bool
is_live(const struct sas_mesh *mesh, int seat)
{
    return SasMembership_GetState(&mesh->table, seat, get_now(mesh)) ==
           SAS_MEMBER_LIVE;
}

int
SasMesh_Count(const struct sas_mesh *mesh)
{
    int count = 0;
    for (int seat = 0; seat < (int)mesh->vms->len; seat++) {
        count += is_live(mesh, seat) ? 1 : 0;
    }
    return MAX(count, 1);
}

void
SasMesh_FindGone(const struct sas_mesh *mesh, bool *gone)
{
    int regions = SasFleet_CountRegions(mesh->fleet);
    bool cut_off = SasMembership_IsCutOff(&mesh->table, get_now(mesh));
    memset(gone, 0, (size_t)regions * sizeof(*gone));
    for (int seat = 0; seat < (int)mesh->vms->len && !cut_off; seat++) {
        gone[get_region(mesh, seat)] = true;
    }
    for (int seat = 0; seat < (int)mesh->vms->len; seat++) {
        if (is_live(mesh, seat)) {
            gone[get_region(mesh, seat)] = false;
        }
    }
}

static int
collect(const struct sas_mesh *mesh, int zone, int region,
        struct sas_address *addresses, int max)
{
    g_autoptr(GArray) seats = g_array_new(FALSE, FALSE, sizeof(int));
    g_autoptr(GArray) strengths = g_array_new(FALSE, FALSE, sizeof(double));
    for (int seat = 0; seat < (int)mesh->vms->len; seat++) {
        if ((zone == SasModel_NONE || get_vm(mesh, seat)->zone == zone) &&
            (region == SasModel_NONE || get_region(mesh, seat) == region) &&
            !get_vm(mesh, seat)->withdrawn && is_live(mesh, seat)) {
            g_array_append_val(seats, seat);
            g_array_append_val(strengths, get_vm(mesh, seat)->facts.strength);
        }
    }
    int picked[SasMesh_MAX_NAMED];
    int count =
        SasStrength_Pick((const double *)(void *)strengths->data,
                         (int)seats->len, picked, MIN(max, SasMesh_MAX_NAMED));
    for (int i = 0; i < count; i++) {
        int seat = g_array_index(seats, int, picked[i]);
        addresses[i] = get_vm(mesh, seat)->facts.caller;
    }
    return count;
}

int
SasMesh_Find(const struct sas_mesh *mesh, int zone, int region,
             struct sas_address *addresses, int max)
{
    int count = 0;
    if (zone != SasModel_NONE) {
        count = collect(mesh, zone, SasModel_NONE, addresses, max);
    }
    if (count == 0 && region != SasModel_NONE) {
        count = collect(mesh, SasModel_NONE, region, addresses, max);
    }
    if (count == 0) {
        count = collect(mesh, SasModel_NONE, SasModel_NONE, addresses, max);
    }
    return count;
}

static uint64_t
score_vm(const struct sas_mesh *mesh, uint64_t server_hash, int seat)
{
    uint64_t words[2] = {server_hash, get_vm(mesh, seat)->name_hash};
    return XXH3_64bits(words, sizeof(words));
}

int
SasMesh_GetRank(const struct sas_mesh *mesh, uint64_t server_hash, int region)
{
    bool member = get_region(mesh, OWN_SEAT) == region;
    uint64_t own = score_vm(mesh, server_hash, OWN_SEAT);
    int rank = 0;
    for (int seat = OWN_SEAT + 1; seat < (int)mesh->vms->len; seat++) {
        if (get_region(mesh, seat) == region && is_live(mesh, seat) &&
            (!member || score_vm(mesh, server_hash, seat) > own)) {
            rank++;
        }
    }
    return rank;
}

static bool
may_send(const struct sas_mesh *mesh, int seat)
{
    enum sas_member_state state =
        SasMembership_GetState(&mesh->table, seat, get_now(mesh));
    return seat == OWN_SEAT || state == SAS_MEMBER_LIVE ||
           state == SAS_MEMBER_LEAVING || state == SAS_MEMBER_SUSPECT;
}

struct sas_mesh_senders
SasMesh_GetSenders(const struct sas_mesh *mesh, uint64_t server_hash,
                   int region)
{
    struct sas_mesh_senders senders = {0};
    uint64_t own = score_vm(mesh, server_hash, OWN_SEAT);
    for (int seat = 0; seat < (int)mesh->vms->len; seat++) {
        if (get_region(mesh, seat) != region || !may_send(mesh, seat)) {
            continue;
        }
        senders.count++;
        senders.rank += score_vm(mesh, server_hash, seat) > own ? 1 : 0;
    }
    return senders;
}

/* The first of the live ones in the hash's order, of one region or (NONE) of
 * all, without one seat (or NONE); SasModel_NONE where there is none. */
static int
find_first(const struct sas_mesh *mesh, uint64_t hash, int region, int without)
{
    int first = SasModel_NONE;
    for (int seat = OWN_SEAT; seat < (int)mesh->vms->len; seat++) {
        bool counts =
            region == SasModel_NONE || get_region(mesh, seat) == region;
        if (!counts || seat == without || !is_live(mesh, seat)) {
            continue;
        }
        if (first == SasModel_NONE ||
            score_vm(mesh, hash, seat) > score_vm(mesh, hash, first)) {
            first = seat;
        }
    }
    return first;
}

/* To the first one alone; where that is this one, or with to_all, to all. */
static void
send_by_way_of(struct sas_mesh *mesh, sas_mesh_message *message, int first,
               bool to_all)
{
    if (first != OWN_SEAT && !to_all) {
        if (first != SasModel_NONE) {
            send_message(mesh, get_vm(mesh, first), message);
        }
        return;
    }
    for (int seat = OWN_SEAT + 1; seat < (int)mesh->vms->len; seat++) {
        if (is_live(mesh, seat)) {
            send_message(mesh, get_vm(mesh, seat), message);
        }
    }
}

void
SasMesh_TellTrip(struct sas_mesh *mesh, const struct sas_mesh_trip_news *news,
                 int region)
{
    sas_mesh_trip trip = {
        .server_hash = news->server_hash,
        .left_ms = (u_int)news->left_ms,
        .restarted = news->restarted,
    };
    sas_mesh_message message = {
        .trips = {.trips_len = 1, .trips_val = &trip},
    };
    send_by_way_of(mesh, &message,
                   find_first(mesh, news->server_hash, region, SasModel_NONE),
                   false);
}

bool
SasMesh_IsFirst(const struct sas_mesh *mesh, uint64_t hash)
{
    return SasMesh_IsFirstBut(mesh, hash, SasModel_NONE);
}

bool
SasMesh_IsFirstBut(const struct sas_mesh *mesh, uint64_t hash, int i)
{
    return find_first(mesh, hash, SasModel_NONE, i) == OWN_SEAT;
}

/* How many rows fit; they are the message's. */
static void
fill_suspects(sas_mesh_message *message, sas_mesh_suspect *suspects,
              const struct sas_mesh_suspect_news *rows, int count)
{
    count = MIN(count, SAS_MESH_MAX_SUSPECTS);
    for (int i = 0; i < count; i++) {
        suspects[i].high = rows[i].fingerprint.high;
        suspects[i].low = rows[i].fingerprint.low;
        suspects[i].crash = rows[i].crash;
        suspects[i].alone = rows[i].alone;
        suspects[i].survived = rows[i].survived;
    }
    message->suspects.suspects_len = (u_int)count;
    message->suspects.suspects_val = suspects;
}

void
SasMesh_TellSuspect(struct sas_mesh *mesh,
                    const struct sas_mesh_suspect_news *rows, int count,
                    bool to_all)
{
    if (count == 0) {
        return;
    }
    sas_mesh_suspect suspects[SAS_MESH_MAX_SUSPECTS];
    sas_mesh_message message = {0};
    fill_suspects(&message, suspects, rows, count);
    int first = find_first(mesh, rows[0].fingerprint.low, SasModel_NONE,
                           SasModel_NONE);
    send_by_way_of(mesh, &message, first, to_all);
}

void
SasMesh_TellSuspectTo(struct sas_mesh *mesh,
                      const struct sas_mesh_suspect_news *rows, int count,
                      int i)
{
    sas_mesh_suspect suspects[SAS_MESH_MAX_SUSPECTS];
    sas_mesh_message message = {0};
    fill_suspects(&message, suspects, rows, count);
    send_message(mesh, get_vm(mesh, i), &message);
}

static bool
leads_before(const struct vm *one, const struct vm *other)
{
    if (one->facts.strength != other->facts.strength) {
        return one->facts.strength > other->facts.strength;
    }
    return one->name_hash < other->name_hash;
}

bool
SasMesh_FindLeader(const struct sas_mesh *mesh, struct sas_address *peer)
{
    int leader = OWN_SEAT;
    for (int seat = OWN_SEAT + 1; seat < (int)mesh->vms->len; seat++) {
        const struct vm *vm = get_vm(mesh, seat);
        if (vm->zone == get_vm(mesh, OWN_SEAT)->zone &&
            leads_before(vm, get_vm(mesh, leader)) && is_live(mesh, seat)) {
            leader = seat;
        }
    }
    *peer = get_vm(mesh, leader)->facts.peer;
    return leader != OWN_SEAT;
}

bool
SasMesh_PickPeer(struct sas_mesh *mesh, struct sas_address *peer)
{
    int live = 0;
    for (int seat = OWN_SEAT + 1; seat < (int)mesh->vms->len; seat++) {
        if (!is_live(mesh, seat)) {
            continue;
        }
        live++;
        if (g_rand_int_range(mesh->random, 0, live) == 0) {
            *peer = get_vm(mesh, seat)->facts.peer;
        }
    }
    return live > 0;
}

/* Rounds. */

static void
log_changes(struct sas_mesh *mesh)
{
    for (int seat = OWN_SEAT + 1; seat < (int)mesh->vms->len; seat++) {
        struct vm *vm = get_vm(mesh, seat);
        int64_t now_ms = get_now(mesh);
        enum sas_member_state state =
            SasMembership_GetState(&mesh->table, seat, now_ms);
        if (state != vm->told) {
            SasLog_Write(SasLog_INFO, "mesh.state", vm->facts.name,
                         "from=%s to=%s age_ms=%" G_GINT64_FORMAT,
                         SasMembership_GetStateName(vm->told),
                         SasMembership_GetStateName(state),
                         SasMembership_GetAge(&mesh->table, seat, now_ms));
            vm->told = state;
        }
    }
}

/* A question, and what becomes of one that gets no reply. The age of news
 * alone tells late of a death where each message holds news of a few of all:
 * 12 s with 70 entry VMs and a minute with 300, in which callers are sent to a
 * dead one. */

static void
ask(struct sas_mesh *mesh, int seat)
{
    SasExchange_Begin(&mesh->exchanges, seat, get_now(mesh));
    send_news(mesh, get_vm(mesh, seat), SAS_MESH_MAX_NEWS, true);
    if (!uv_is_active((uv_handle_t *)&mesh->replies)) {
        uv_timer_start(&mesh->replies, on_replies_due, SasExchange_REPLY_MS,
                       SasExchange_REPLY_MS);
    }
}

static void
note_silence(struct sas_mesh *mesh, int seat)
{
    if (SasMembership_NoteSilence(&mesh->table, seat, get_now(mesh)) != 0) {
        SasLog_Write(SasLog_INFO, "mesh.doubt", get_vm(mesh, seat)->facts.name,
                     "no reply to two questions, age_ms=%" G_GINT64_FORMAT,
                     SasMembership_GetAge(&mesh->table, seat, get_now(mesh)));
        tell_of(mesh, seat);
    }
    else if (SasMembership_MayRetry(&mesh->table, seat)) {
        ask(mesh, seat);
    }
}

static void
on_replies_due(uv_timer_t *timer)
{
    struct sas_mesh *mesh = timer->data;
    struct sas_exchange_due due;
    while (SasExchange_Next(&mesh->exchanges, get_now(mesh), &due)) {
        if (due.silent) {
            note_silence(mesh, due.seat);
        }
        else {
            send_news(mesh, get_vm(mesh, due.seat), SAS_MESH_MAX_NEWS, true);
        }
    }
    if (mesh->exchanges.count == 0) {
        uv_timer_stop(timer);
    }
}

static void
on_round(uv_timer_t *timer)
{
    struct sas_mesh *mesh = timer->data;
    int64_t now_ms = get_now(mesh);
    SasMembership_Beat(&mesh->table, now_ms);
    int seat = SasModel_NONE;
    if (SasMembership_PickPeers(&mesh->table, mesh->random, now_ms, &seat,
                                1) == 1) {
        ask(mesh, seat);
    }
    log_changes(mesh);
    uv_timer_set_repeat(timer, (uint64_t)mesh->table.times.interval_ms);
}

/* Datagrams. */

static sas_mesh_news
encode_news(const struct sas_mesh *mesh, const struct sas_member_news *news)
{
    sas_mesh_news row = {
        .name_hash = get_vm(mesh, news->seat)->name_hash,
        .incarnation = news->incarnation,
        .config_version = news->config_version,
        .heartbeat = news->heartbeat,
        .doubt = news->doubt,
        .age_ms = (u_int)news->age_ms,
        .leaving = news->leaving,
    };
    return row;
}

static void
fill_news(struct sas_mesh *mesh, sas_mesh_news *news, int max, u_int *count)
{
    struct sas_member_news digest[SAS_MESH_MAX_NEWS];
    int filled = SasMembership_FillDigest(&mesh->table, mesh->random,
                                          get_now(mesh), digest, max);
    for (int i = 0; i < filled; i++) {
        news[i] = encode_news(mesh, &digest[i]);
    }
    *count = (u_int)filled;
}

/* Datagrams are proved by the key that all entry VMs share, where there is
 * one: whoever reaches the port could otherwise name entry VMs and shun
 * servers. */

static const struct sas_proto_session no_session;

static unsigned
sign(const struct sas_mesh *mesh, char *bytes, unsigned size)
{
    if (mesh->key == NULL ||
        !SasProto_Sign(mesh->key, &no_session, (const uint8_t *)bytes, size,
                       (uint8_t *)bytes + size)) {
        return size;
    }
    return size + SasProto_MAC_SIZE;
}

/* The size of the message; 0: it is not one of ours. */
static unsigned
verify(const struct sas_mesh *mesh, const char *bytes, unsigned size)
{
    uint8_t mac[SasProto_MAC_SIZE];
    if (mesh->key == NULL) {
        return size;
    }
    if (size <= sizeof(mac)) {
        return 0;
    }
    size -= (unsigned)sizeof(mac);
    bool known = SasProto_Sign(mesh->key, &no_session, (const uint8_t *)bytes,
                               size, mac) &&
                 CRYPTO_memcmp(mac, bytes + size, sizeof(mac)) == 0;
    return known ? size : 0;
}

/* One that was recorded could be sent again: that a server has tripped, or
 * that this entry VM leaves. */
static bool
is_fresh(const struct sas_mesh *mesh, const sas_mesh_message *message)
{
    int64_t age_ms = SasWall_GetMs() - (int64_t)message->sent_ms;
    return mesh->key == NULL || ABS(age_ms) <= MAX_SKEW_MS;
}

/* Fills in the sender and sends. */
static void
send_message(struct sas_mesh *mesh, const struct vm *vm,
             sas_mesh_message *message)
{
    const struct sas_mesh_facts *own = SasMesh_GetOwn(mesh);
    message->format = SAS_MESH_FORMAT;
    message->sender.name = (char *)own->name;
    message->sender.zone = (char *)own->zone;
    message->sender.ip = (char *)own->peer.ip;
    message->sender.caller_port = (u_int)own->caller.port;
    message->sender.peer_port = (u_int)own->peer.port;
    message->sender.incarnation = own->incarnation;
    message->sender.strength = (u_int)own->strength;
    message->sender.sheet_version = (u_quad_t)mesh->sheet_version;
    message->sent_ms = (u_quad_t)SasWall_GetMs();
    char bytes[MAX_DATAGRAM];
    XDR xdr;
    xdrmem_create(&xdr, bytes, sizeof(bytes) - SasProto_MAC_SIZE, XDR_ENCODE);
    if (xdr_sas_mesh_message(&xdr, message)) {
        unsigned size = sign(mesh, bytes, xdr_getpos(&xdr));
        uv_buf_t buffer = uv_buf_init(bytes, size);
        /* A full socket loses the datagram, as the network may. */
        uv_udp_try_send(&mesh->socket, &buffer, 1,
                        (const struct sockaddr *)&vm->peer);
    }
    xdr_destroy(&xdr);
}

static void
send_news(struct sas_mesh *mesh, const struct vm *vm, int max,
          bool wants_reply)
{
    sas_mesh_news news[SAS_MESH_MAX_NEWS];
    sas_mesh_message message = {
        .wants_reply = wants_reply,
        .news = {.news_val = news},
    };
    fill_news(mesh, news, max, &message.news.news_len);
    send_message(mesh, vm, &message);
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static _Thread_local char bytes[MAX_DATAGRAM + 1];
    (void)handle;
    (void)suggested;
    *buffer = uv_buf_init(bytes, sizeof(bytes));
}

/* Tells everybody of one entry VM, at once: the usual messages hold a part of
 * what is known, and a change goes into some of them only. */
static void
tell_of(struct sas_mesh *mesh, int about)
{
    struct sas_member_news news;
    SasMembership_GetNews(&mesh->table, about, get_now(mesh), &news);
    sas_mesh_news row = encode_news(mesh, &news);
    sas_mesh_message message = {
        .news = {.news_len = 1, .news_val = &row},
    };
    /* To itself as well: it may live, and refutes what it hears. */
    for (int seat = OWN_SEAT + 1; seat < (int)mesh->vms->len; seat++) {
        send_message(mesh, get_vm(mesh, seat), &message);
    }
}

/* A process that started while its clock had gone back is older, by its
 * incarnation, than the one before it: whatever it says is dropped, and it
 * passes for dead. So it is told of the one before it, and renews itself. */
static void
correct_sender(struct sas_mesh *mesh, const struct sas_mesh_facts *sender,
               const struct vm *known)
{
    struct vm vm = {.name_hash = known->name_hash};
    if (SasHttp_GetSockaddr(&sender->peer, &vm.peer) != 0) {
        return;
    }
    sas_mesh_news row = {
        .name_hash = known->name_hash,
        .incarnation = known->facts.incarnation,
    };
    sas_mesh_message message = {
        .news = {.news_len = 1, .news_val = &row},
    };
    send_message(mesh, &vm, &message);
}

static void
renew_own(struct sas_mesh *mesh)
{
    uint64_t incarnation = SasMembership_Renew(&mesh->table, get_now(mesh));
    if (incarnation == 0) {
        return;
    }
    struct vm *own = get_vm(mesh, OWN_SEAT);
    SasLog_Write(SasLog_WARN, "mesh.renew", own->facts.name,
                 "an earlier process of this entry VM looks newer: "
                 "incarnation=%" G_GUINT64_FORMAT " was=%" G_GUINT64_FORMAT,
                 incarnation, own->facts.incarnation);
    own->facts.incarnation = incarnation;
    tell_all(mesh);
}

static void
tell_user(struct sas_mesh *mesh, const sas_mesh_message *message)
{
    for (u_int i = 0; i < message->trips.trips_len; i++) {
        const sas_mesh_trip *trip = &message->trips.trips_val[i];
        struct sas_mesh_trip_news news = {
            .server_hash = trip->server_hash,
            .left_ms = trip->left_ms,
            .restarted = trip->restarted,
        };
        mesh->user->on_trip(mesh->user, &news);
    }
    for (u_int i = 0; i < message->suspects.suspects_len; i++) {
        const sas_mesh_suspect *row = &message->suspects.suspects_val[i];
        struct sas_mesh_suspect_news news = {
            .fingerprint = {row->high, row->low},
            .crash = row->crash,
            .alone = row->alone,
            .survived = row->survived,
        };
        mesh->user->on_suspect(mesh->user, &news);
    }
}

static void
take_row(struct sas_mesh *mesh, const sas_mesh_news *row)
{
    int64_t now_ms = get_now(mesh);
    struct sas_member_news news = {
        .seat = find_seat(mesh, row->name_hash),
        .leaving = row->leaving,
        .incarnation = row->incarnation,
        .config_version = row->config_version,
        .heartbeat = row->heartbeat,
        .doubt = row->doubt,
        .age_ms = row->age_ms,
    };
    if (news.seat == SasModel_NONE) {
        return;
    }
    if (news.seat != OWN_SEAT &&
        now_ms - mesh->table.members[news.seat].direct_ms < HEARD_MS) {
        news.doubt = 0;
    }
    int changes = SasMembership_Merge(&mesh->table, &news, now_ms);
    bool refuted = news.seat == OWN_SEAT && (changes & SAS_CHANGE_MEMBER) != 0;
    if (refuted) {
        SasLog_Write(SasLog_INFO, "mesh.refute", "",
                     "another entry VM had no reply from this one");
        tell_of(mesh, OWN_SEAT);
    }
}

static void
take_news(struct sas_mesh *mesh, const sas_mesh_message *message)
{
    for (u_int i = 0; i < message->news.news_len; i++) {
        take_row(mesh, &message->news.news_val[i]);
    }
}

static void
take_message(struct sas_mesh *mesh, const sas_mesh_message *message)
{
    struct sas_mesh_facts facts = {
        .caller.port = (int)message->sender.caller_port,
        .peer.port = (int)message->sender.peer_port,
        .incarnation = message->sender.incarnation,
        .strength = message->sender.strength,
    };
    g_strlcpy(facts.name, message->sender.name, sizeof(facts.name));
    g_strlcpy(facts.zone, message->sender.zone, sizeof(facts.zone));
    g_strlcpy(facts.caller.ip, message->sender.ip, sizeof(facts.caller.ip));
    g_strlcpy(facts.peer.ip, message->sender.ip, sizeof(facts.peer.ip));
    bool newcomer = is_newcomer(mesh, &facts);
    int seat = learn_vm(mesh, &facts);
    if (seat == SasModel_NONE || seat == OWN_SEAT) {
        return;
    }
    mesh->sheet_version =
        MAX(mesh->sheet_version, (int64_t)message->sender.sheet_version);
    take_news(mesh, message);
    if (facts.incarnation < get_vm(mesh, seat)->facts.incarnation) {
        correct_sender(mesh, &facts, get_vm(mesh, seat));
    }
    renew_own(mesh);
    SasExchange_End(&mesh->exchanges, seat);
    SasMembership_NoteDirect(&mesh->table, seat, facts.incarnation,
                             get_now(mesh));
    tell_user(mesh, message);
    if (newcomer) {
        mesh->user->on_newcomer(mesh->user, seat);
    }
    if (message->wants_reply && message->news.news_len <= 1) {
        send_news(mesh, get_vm(mesh, seat), OWN_NEWS, false);
    }
    else if (message->wants_reply) {
        send_news(mesh, get_vm(mesh, seat), SAS_MESH_MAX_NEWS, false);
    }
}

static void
on_datagram(uv_udp_t *socket, ssize_t count, const uv_buf_t *data,
            const struct sockaddr *from, unsigned flags)
{
    struct sas_mesh *mesh = socket->data;
    if (count <= 0 || count > MAX_DATAGRAM || from == NULL ||
        (flags & UV_UDP_PARTIAL) != 0) {
        return;
    }
    sas_mesh_message message = {0};
    unsigned size = verify(mesh, data->base, (unsigned)count);
    if (size == 0) {
        SasLog_Write(SasLog_WARN, "mesh.refuse", "",
                     "a datagram of %zd bytes is not signed with our key",
                     count);
        return;
    }
    XDR xdr;
    xdrmem_create(&xdr, data->base, size, XDR_DECODE);
    bool decoded = xdr_sas_mesh_message(&xdr, &message);
    if (decoded && message.format == SAS_MESH_FORMAT &&
        !is_fresh(mesh, &message)) {
        SasLog_Write(SasLog_WARN, "mesh.refuse", message.sender.name,
                     "a datagram was sent too long ago, or a clock is wrong");
    }
    else if (decoded && message.format == SAS_MESH_FORMAT) {
        take_message(mesh, &message);
    }
    else {
        SasLog_Write(SasLog_WARN, "mesh.decode", "",
                     "a datagram of %zd bytes is not a message", count);
    }
    xdr_destroy(&xdr);
    xdr_free((xdrproc_t)xdr_sas_mesh_message, (char *)&message);
}
