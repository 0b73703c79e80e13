/* Gossip between entry VMs: rounds, pings and replies, datagrams. */
#include "mesh_internal.h"

#include <string.h>

#include <openssl/crypto.h>
#include <rpc/rpc.h>

#include "sas/http.h"
#include "sas/log.h"
#include "sas/wall_clock.h"

#define MAX_DATAGRAM 1400 /* bytes */

/* Another's suspicion of a member is ignored if the member itself sent a
 * message this recently. A suspicion is raised 1.8 s after the first
 * unanswered ping, so that of a dead member always counts. Without this, a
 * partition between two zones would make each suspect the other's members, and
 * all others would believe them. */
#define RECENT_CONTACT_MS 1500

/* Older or newer messages are dropped as replays. VM clocks are synchronized;
 * steps of 2 s have been seen. */
#define MAX_SKEW_MS 30000

/* Cap for the counts of a failure report. One entry VM sends fewer requests to
 * a server within the window. */
#define MAX_REPORTED 10000u

/* If a round is late by more than this, the process counts as frozen: others
 * take over the share of an entry VM that is unresponsive for longer. */
#define MAX_ROUND_DELAY_MS 1000

/* Least time between two transfers of records to the same member. */
#define RECORDS_INTERVAL_MS 500

/* A joining entry VM sends a message to all members. On average this many of
 * them send it their records. */
#define JOIN_RECORD_SENDERS 8

static void on_round(uv_timer_t *timer);
static void on_reply_timer(uv_timer_t *timer);
static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer);
static void on_datagram(uv_udp_t *socket, ssize_t count, const uv_buf_t *data,
                        const struct sockaddr *from, unsigned flags);
static void broadcast_member(struct sas_mesh *mesh, int member_id);
static void send_message(struct sas_mesh *mesh, const struct vm *vm,
                         sas_mesh_message *message);
static void send_with_records(struct sas_mesh *mesh, const struct vm *vm,
                              sas_mesh_message *message,
                              sas_mesh_trailer *trailer);

/* Opening. */

/* Reads the bound port, which the kernel has chosen if the settings have 0. */
static void
read_port(struct sas_mesh *mesh)
{
    struct vm *own = SasMesh_GetVm(mesh, OWN_ID);
    struct sockaddr_storage storage;
    int size = sizeof(storage);
    uv_udp_getsockname(&mesh->socket, (struct sockaddr *)&storage, &size);
    own->facts.peer.port =
        ntohs(((const struct sockaddr_in *)&storage)->sin_port);
}

int
SasMesh_OpenGossip(struct sas_mesh *mesh, bool own_added,
                   struct sas_error *error)
{
    uv_udp_init(mesh->loop, &mesh->socket);
    uv_timer_init(mesh->loop, &mesh->round_timer);
    uv_timer_init(mesh->loop, &mesh->reply_timer);
    SasPing_Init(&mesh->pings);
    mesh->socket.data = mesh;
    mesh->round_timer.data = mesh;
    mesh->reply_timer.data = mesh;
    mesh->open_handles = 3;
    struct vm *own = own_added ? SasMesh_GetVm(mesh, OWN_ID) : NULL;
    int rc = own != NULL
                 ? uv_udp_bind(&mesh->socket, (struct sockaddr *)&own->peer, 0)
                 : UV_EINVAL;
    if (rc != 0) {
        SasError_Set(error, SAS_EIO, "mesh.bind",
                     own != NULL ? own->facts.peer.ip : "", "%s",
                     uv_strerror(rc));
        return -1;
    }
    read_port(mesh);
    uv_udp_recv_start(&mesh->socket, on_alloc, on_datagram);
    uint64_t interval_ms = (uint64_t)mesh->table.times.interval_ms;
    uv_timer_start(&mesh->round_timer, on_round, interval_ms, interval_ms);
    return 0;
}

/* Gossip rounds. */

static void
log_state_changes(struct sas_mesh *mesh)
{
    for (int member_id = OWN_ID + 1; member_id < (int)mesh->vms->len;
         member_id++) {
        struct vm *vm = SasMesh_GetVm(mesh, member_id);
        int64_t now_ms = SasMesh_Now(mesh);
        enum sas_member_state state =
            SasMembership_GetState(&mesh->table, member_id, now_ms);
        if (state != vm->logged_state) {
            SasLog_Write(
                SasLog_INFO, "mesh.state", vm->facts.name,
                "from=%s to=%s age_ms=%" G_GINT64_FORMAT,
                SasMembership_GetStateName(vm->logged_state),
                SasMembership_GetStateName(state),
                SasMembership_GetAge(&mesh->table, member_id, now_ms));
            vm->logged_state = state;
        }
    }
}

/* Pings and their timeouts. A message holds updates of only some members, so
 * the age of updates alone reveals a dead member late: after 12 s with 70
 * entry VMs and a minute with 300. Callers would be sent to it until then. */

static void
ping(struct sas_mesh *mesh, int member_id)
{
    SasPing_Add(&mesh->pings, member_id, SasMesh_Now(mesh));
    SasMesh_SendUpdates(mesh, SasMesh_GetVm(mesh, member_id),
                        SAS_MESH_MAX_UPDATES, true);
    if (!uv_is_active((uv_handle_t *)&mesh->reply_timer)) {
        uv_timer_start(&mesh->reply_timer, on_reply_timer, SasPing_TIMEOUT_MS,
                       SasPing_TIMEOUT_MS);
    }
}

static void
note_timeout(struct sas_mesh *mesh, int member_id)
{
    if (SasMembership_NoteTimeout(&mesh->table, member_id,
                                  SasMesh_Now(mesh)) != 0) {
        SasLog_Write(
            SasLog_INFO, "mesh.doubt",
            SasMesh_GetVm(mesh, member_id)->facts.name,
            "no reply to two pings, age_ms=%" G_GINT64_FORMAT,
            SasMembership_GetAge(&mesh->table, member_id, SasMesh_Now(mesh)));
        broadcast_member(mesh, member_id);
    }
    else if (SasMembership_ShouldRetry(&mesh->table, member_id)) {
        ping(mesh, member_id);
    }
}

static void
on_reply_timer(uv_timer_t *timer)
{
    struct sas_mesh *mesh = timer->data;
    struct sas_ping_due due;
    while (SasPing_NextDue(&mesh->pings, SasMesh_Now(mesh), &due)) {
        if (due.timed_out) {
            note_timeout(mesh, due.member_id);
        }
        else {
            SasMesh_SendUpdates(mesh, SasMesh_GetVm(mesh, due.member_id),
                                SAS_MESH_MAX_UPDATES, true);
        }
    }
    if (mesh->pings.count == 0) {
        uv_timer_stop(timer);
    }
}

/* Detects that the process was frozen: gossip rounds are missing. */
static void
note_freeze(struct sas_mesh *mesh, int64_t now_ms)
{
    int64_t missed_ms =
        now_ms - mesh->last_round_at - mesh->table.times.interval_ms;
    if (missed_ms > MAX_ROUND_DELAY_MS) {
        mesh->resumed_at = now_ms;
        SasLog_Write(SasLog_WARN, "mesh.pause", "",
                     "this process was frozen for %" G_GINT64_FORMAT " ms",
                     missed_ms);
    }
    mesh->last_round_at = now_ms;
}

static void
on_round(uv_timer_t *timer)
{
    struct sas_mesh *mesh = timer->data;
    int64_t now_ms = SasMesh_Now(mesh);
    note_freeze(mesh, now_ms);
    SasMembership_IncrementHeartbeat(&mesh->table, now_ms);
    int member_id = SasModel_NONE;
    if (SasMembership_PickPeers(&mesh->table, mesh->random, now_ms, &member_id,
                                1) == 1) {
        ping(mesh, member_id);
    }
    log_state_changes(mesh);
    uv_timer_set_repeat(timer, (uint64_t)mesh->table.times.interval_ms);
}

void
SasMesh_Broadcast(struct sas_mesh *mesh)
{
    for (int member_id = OWN_ID + 1; member_id < (int)mesh->vms->len;
         member_id++) {
        SasMesh_SendUpdates(mesh, SasMesh_GetVm(mesh, member_id),
                            SAS_MESH_MAX_UPDATES, false);
    }
}

/* Sends to the member that ranks first; to all live members if that is this
 * one or to_all is set. */
static void
send_via(struct sas_mesh *mesh, sas_mesh_message *message, int first,
         bool to_all)
{
    if (first != OWN_ID && !to_all) {
        if (first != SasModel_NONE) {
            send_message(mesh, SasMesh_GetVm(mesh, first), message);
        }
        return;
    }
    for (int member_id = OWN_ID + 1; member_id < (int)mesh->vms->len;
         member_id++) {
        if (SasMesh_IsLive(mesh, member_id)) {
            send_message(mesh, SasMesh_GetVm(mesh, member_id), message);
        }
    }
}

void
SasMesh_ReportEjection(struct sas_mesh *mesh,
                       const struct sas_mesh_ejection *ejection, int region)
{
    sas_mesh_wire_ejection row = {
        .server_hash = ejection->server_hash,
        .left_ms = (u_int)ejection->left_ms,
        .refused_connections = ejection->refused_connections,
        .grey = ejection->grey_failure,
    };
    sas_mesh_message message = {
        .ejections = {.ejections_len = 1, .ejections_val = &row},
    };
    send_via(mesh, &message,
             SasMesh_FindFirst(mesh, ejection->server_hash, region), false);
}

void
SasMesh_ReportFailures(struct sas_mesh *mesh,
                       const struct sas_mesh_failure_report *report,
                       int region)
{
    sas_mesh_wire_failure_report row = {
        .server_hash = report->server_hash,
        .failed = (u_int)report->failed,
        .answered = (u_int)report->answered,
    };
    sas_mesh_message message = {
        .failure_reports = {.failure_reports_len = 1,
                            .failure_reports_val = &row},
    };
    int prober = SasMesh_FindFirst(mesh, report->server_hash, region);
    if (prober != SasModel_NONE && prober != OWN_ID) {
        send_message(mesh, SasMesh_GetVm(mesh, prober), &message);
    }
}

/* Points the message to its reports, a copy of the rows that fit. */
static void
fill_poison_reports(sas_mesh_message *message,
                    sas_mesh_wire_poison_report *reports,
                    const struct sas_mesh_poison_update *rows, int count)
{
    count = MIN(count, SAS_MESH_MAX_POISON_REPORTS);
    for (int i = 0; i < count; i++) {
        reports[i].high = rows[i].fingerprint.high;
        reports[i].low = rows[i].fingerprint.low;
        reports[i].crash = rows[i].crash;
        reports[i].isolated = rows[i].isolated;
        reports[i].completed = rows[i].completed;
    }
    message->poison_reports.poison_reports_len = (u_int)count;
    message->poison_reports.poison_reports_val = reports;
}

void
SasMesh_ReportPoison(struct sas_mesh *mesh,
                     const struct sas_mesh_poison_update *rows, int count,
                     bool to_all)
{
    if (count == 0) {
        return;
    }
    sas_mesh_wire_poison_report reports[SAS_MESH_MAX_POISON_REPORTS];
    sas_mesh_message message = {0};
    fill_poison_reports(&message, reports, rows, count);
    int first =
        SasMesh_FindFirst(mesh, rows[0].fingerprint.low, SasModel_NONE);
    send_via(mesh, &message, first, to_all);
}

void
SasMesh_SendRecord(struct sas_mesh *mesh,
                   const struct sas_quarantine_entry *entry, int i)
{
    sas_mesh_wire_crash_record records[SAS_MESH_MAX_POISON_REPORTS];
    int count = MIN(entry->crash_count, SAS_MESH_MAX_POISON_REPORTS);
    for (int j = 0; j < count; j++) {
        records[j].high = entry->fingerprint.high;
        records[j].low = entry->fingerprint.low;
        records[j].crash = entry->crashes[j].id;
        records[j].isolated = entry->crashes[j].isolated;
        records[j].cleared = entry->crashes[j].cleared;
        records[j].age_ms = (u_int)CLAMP(entry->crashed_at, 0, G_MAXINT32);
    }
    sas_mesh_message message = {0};
    sas_mesh_trailer trailer = {
        .crash_records = {.crash_records_len = (u_int)count,
                          .crash_records_val = records},
    };
    send_with_records(mesh, SasMesh_GetVm(mesh, i), &message, &trailer);
}

/* Datagrams. */

static sas_mesh_wire_update
encode_update(const struct sas_mesh *mesh,
              const struct sas_member_update *update)
{
    sas_mesh_wire_update row = {
        .name_hash = SasMesh_GetVm(mesh, update->member_id)->name_hash,
        .incarnation = update->incarnation,
        .config_version = update->config_version,
        .heartbeat = update->heartbeat,
        .suspicion = update->suspicion,
        .age_ms = (u_int)update->age_ms,
        .leaving = update->leaving,
    };
    return row;
}

static void
fill_updates(struct sas_mesh *mesh, sas_mesh_wire_update *updates, int max,
             u_int *count)
{
    struct sas_member_update digest[SAS_MESH_MAX_UPDATES];
    int filled = SasMembership_FillDigest(&mesh->table, mesh->random,
                                          SasMesh_Now(mesh), digest, max);
    for (int i = 0; i < filled; i++) {
        updates[i] = encode_update(mesh, &digest[i]);
    }
    *count = (u_int)filled;
}

/* Datagrams are signed with the key that all entry VMs share, if there is one.
 * Otherwise anyone who reaches the port could add entry VMs or have servers
 * ejected. */

static const struct sas_proto_session no_session;

static unsigned
sign(const struct sas_mesh *mesh, char *bytes, unsigned size)
{
    if (mesh->key == NULL ||
        !SasProto_ComputeMac(mesh->key, &no_session, (const uint8_t *)bytes,
                             size, (uint8_t *)bytes + size)) {
        return size;
    }
    return size + SasProto_MAC_SIZE;
}

/* Size of the message without its signature; 0 if the signature is wrong. */
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
    bool authentic = SasProto_ComputeMac(mesh->key, &no_session,
                                         (const uint8_t *)bytes, size, mac) &&
                     CRYPTO_memcmp(mac, bytes + size, sizeof(mac)) == 0;
    return authentic ? size : 0;
}

/* Guards against replays, for example of an ejection or of a message that an
 * entry VM is leaving. */
static bool
is_fresh(const struct sas_mesh *mesh, const sas_mesh_message *message)
{
    int64_t age_ms = SasWallClock_GetMs() - (int64_t)message->sent_ms;
    return mesh->key == NULL || ABS(age_ms) <= MAX_SKEW_MS;
}

/* Number of tables up to the last one with a known version. */
static u_int
count_changes(const struct sas_mesh *mesh)
{
    u_int count = SAS_MESH_MAX_TABLES;
    while (count > 0 && mesh->changes[count - 1] == 0) {
        count--;
    }
    return count;
}

/* Nothing is sent of them while there are none. */
static bool
encode_lost_paths(struct sas_mesh *mesh, XDR *xdr)
{
    struct vm *own = SasMesh_GetVm(mesh, OWN_ID);
    if (own->lost_path_count == 0) {
        return true;
    }
    sas_mesh_lost_paths paths = {
        .service_hashes = {.service_hashes_len = (u_int)own->lost_path_count,
                           .service_hashes_val = own->lost_paths},
    };
    return xdr_sas_mesh_lost_paths(xdr, &paths);
}

/* Fills in the sender, signs and sends. */
static void
send_with_records(struct sas_mesh *mesh, const struct vm *vm,
                  sas_mesh_message *message, sas_mesh_trailer *trailer)
{
    const struct sas_mesh_facts *own = SasMesh_GetOwn(mesh);
    message->format = SAS_MESH_FORMAT;
    message->sender.name = (char *)own->name;
    message->sender.zone = (char *)own->zone;
    message->sender.ip = (char *)own->peer.ip;
    message->sender.caller_port = (u_int)own->caller.port;
    message->sender.peer_port = (u_int)own->peer.port;
    message->sender.incarnation = own->incarnation;
    message->sender.capacity = (u_int)own->capacity;
    message->sender.sheet_version = (u_quad_t)mesh->sheet_version;
    message->sender.table_versions.table_versions_len = count_changes(mesh);
    message->sender.table_versions.table_versions_val =
        (u_quad_t *)mesh->changes;
    message->sent_ms = (u_quad_t)SasWallClock_GetMs();
    trailer->records_digest = mesh->records_digest;
    char bytes[MAX_DATAGRAM];
    XDR xdr;
    xdrmem_create(&xdr, bytes, sizeof(bytes) - SasProto_MAC_SIZE, XDR_ENCODE);
    if (xdr_sas_mesh_message(&xdr, message) &&
        xdr_sas_mesh_trailer(&xdr, trailer) && encode_lost_paths(mesh, &xdr)) {
        unsigned size = sign(mesh, bytes, xdr_getpos(&xdr));
        uv_buf_t buffer = uv_buf_init(bytes, size);
        /* If the socket's buffer is full the datagram is lost, as it may be
         * in the network. */
        uv_udp_try_send(&mesh->socket, &buffer, 1,
                        (const struct sockaddr *)&vm->peer);
    }
    xdr_destroy(&xdr);
}

static void
send_message(struct sas_mesh *mesh, const struct vm *vm,
             sas_mesh_message *message)
{
    sas_mesh_trailer trailer = {0};
    send_with_records(mesh, vm, message, &trailer);
}

void
SasMesh_SendUpdates(struct sas_mesh *mesh, const struct vm *vm, int max,
                    bool wants_reply)
{
    sas_mesh_wire_update updates[SAS_MESH_MAX_UPDATES];
    sas_mesh_message message = {
        .wants_reply = wants_reply,
        .updates = {.updates_val = updates},
    };
    fill_updates(mesh, updates, max, &message.updates.updates_len);
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

/* Sends the update of one member to all others at once: only some of the
 * regular messages have room for it. */
static void
broadcast_member(struct sas_mesh *mesh, int member_id)
{
    struct sas_member_update update;
    SasMembership_GetUpdate(&mesh->table, member_id, SasMesh_Now(mesh),
                            &update);
    sas_mesh_wire_update row = encode_update(mesh, &update);
    sas_mesh_message message = {
        .updates = {.updates_len = 1, .updates_val = &row},
    };
    /* Also to the member itself: if it is live, it refutes a suspicion. */
    for (int to = OWN_ID + 1; to < (int)mesh->vms->len; to++) {
        send_message(mesh, SasMesh_GetVm(mesh, to), &message);
    }
}

/* If the clock was set back before a process started, its incarnation is lower
 * than that of the previous process. Its updates are dropped then, and it
 * would count as dead. So it is sent the higher incarnation, and renews its
 * own. */
static void
correct_sender(struct sas_mesh *mesh, const struct sas_mesh_facts *sender,
               const struct vm *member)
{
    struct vm vm = {.name_hash = member->name_hash};
    if (SasHttp_GetSockaddr(&sender->peer, &vm.peer) != 0) {
        return;
    }
    sas_mesh_wire_update row = {
        .name_hash = member->name_hash,
        .incarnation = member->facts.incarnation,
    };
    sas_mesh_message message = {
        .updates = {.updates_len = 1, .updates_val = &row},
    };
    send_message(mesh, &vm, &message);
}

static void
renew_own(struct sas_mesh *mesh)
{
    uint64_t incarnation =
        SasMembership_RaiseIncarnation(&mesh->table, SasMesh_Now(mesh));
    if (incarnation == 0) {
        return;
    }
    struct vm *own = SasMesh_GetVm(mesh, OWN_ID);
    SasLog_Write(SasLog_WARN, "mesh.renew", own->facts.name,
                 "raised above the incarnation of an earlier process: "
                 "incarnation=%" G_GUINT64_FORMAT " was=%" G_GUINT64_FORMAT,
                 incarnation, own->facts.incarnation);
    own->facts.incarnation = incarnation;
    SasMesh_Broadcast(mesh);
}

static void
notify_listener(struct sas_mesh *mesh, int sender,
                const sas_mesh_message *message)
{
    for (u_int i = 0; i < message->ejections.ejections_len; i++) {
        const sas_mesh_wire_ejection *row =
            &message->ejections.ejections_val[i];
        struct sas_mesh_ejection ejection = {
            .server_hash = row->server_hash,
            .left_ms = row->left_ms,
            .refused_connections = row->refused_connections,
            .grey_failure = row->grey,
            .reporter = sender,
        };
        mesh->listener->on_ejection(mesh->listener, &ejection);
    }
    for (u_int i = 0; i < message->poison_reports.poison_reports_len; i++) {
        const sas_mesh_wire_poison_report *row =
            &message->poison_reports.poison_reports_val[i];
        struct sas_mesh_poison_update update = {
            .fingerprint = {row->high, row->low},
            .crash = row->crash,
            .isolated = row->isolated,
            .completed = row->completed,
        };
        mesh->listener->on_poison_update(mesh->listener, &update);
    }
    for (u_int i = 0; i < message->failure_reports.failure_reports_len; i++) {
        const sas_mesh_wire_failure_report *row =
            &message->failure_reports.failure_reports_val[i];
        struct sas_mesh_failure_report report = {
            .server_hash = row->server_hash,
            .failed = (int)MIN(row->failed, MAX_REPORTED),
            .answered = (int)MIN(row->answered, MAX_REPORTED),
        };
        mesh->listener->on_failure_report(mesh->listener, &report);
    }
}

static void
apply_update(struct sas_mesh *mesh, const sas_mesh_wire_update *row)
{
    int64_t now_ms = SasMesh_Now(mesh);
    struct sas_member_update update = {
        .member_id = SasMesh_FindMember(mesh, row->name_hash),
        .leaving = row->leaving,
        .incarnation = row->incarnation,
        .config_version = row->config_version,
        .heartbeat = row->heartbeat,
        .suspicion = row->suspicion,
        .age_ms = row->age_ms,
    };
    if (update.member_id == SasModel_NONE) {
        return;
    }
    if (update.member_id != OWN_ID &&
        now_ms - mesh->table.members[update.member_id].received_ms <
            RECENT_CONTACT_MS) {
        update.suspicion = 0;
    }
    int changes = SasMembership_Merge(&mesh->table, &update, now_ms);
    bool refuted =
        update.member_id == OWN_ID && (changes & SAS_CHANGE_MEMBER) != 0;
    if (refuted) {
        SasLog_Write(SasLog_INFO, "mesh.refute", "",
                     "another entry VM suspected this one");
        broadcast_member(mesh, OWN_ID);
    }
}

static void
apply_updates(struct sas_mesh *mesh, const sas_mesh_message *message)
{
    for (u_int i = 0; i < message->updates.updates_len; i++) {
        apply_update(mesh, &message->updates.updates_val[i]);
    }
}

static void
apply_changes(const struct sas_mesh *mesh, const sas_mesh_vm *sender,
              const struct sas_address *announcer)
{
    if (mesh->table_listener == NULL) {
        return;
    }
    for (u_int i = 0; i < sender->table_versions.table_versions_len; i++) {
        int64_t version =
            (int64_t)sender->table_versions.table_versions_val[i];
        if (version > 0) {
            mesh->table_listener->on_change(mesh->table_listener, (int)i,
                                            version, announcer);
        }
    }
}

/* A message holds the records of one request only. */
static void
apply_records(const struct sas_mesh *mesh, const sas_mesh_trailer *trailer)
{
    int count = (int)MIN(trailer->crash_records.crash_records_len,
                         (u_int)SasQuarantine_MAX_CRASHES);
    if (count == 0) {
        return;
    }
    const sas_mesh_wire_crash_record *rows =
        trailer->crash_records.crash_records_val;
    struct sas_quarantine_entry entry = {
        .fingerprint = {rows[0].high, rows[0].low},
        .crash_count = count,
        .crashed_at = (int64_t)rows[0].age_ms,
    };
    for (int i = 0; i < count; i++) {
        entry.crashes[i].id = rows[i].crash;
        entry.crashes[i].isolated = rows[i].isolated;
        entry.crashes[i].cleared = rows[i].cleared;
    }
    mesh->listener->on_record(mesh->listener, &entry);
}

static bool
is_join(const sas_mesh_message *message)
{
    return message->updates.updates_len <= JOIN_UPDATES;
}

/* Records are sent to a member with another digest until it has the same: the
 * datagram may be lost, and the member that should have sent them may have
 * been unreachable. */
static void
compare_records(struct sas_mesh *mesh, int member_id,
                const sas_mesh_message *message,
                const sas_mesh_trailer *trailer)
{
    struct vm *vm = SasMesh_GetVm(mesh, member_id);
    int64_t now_ms = SasMesh_Now(mesh);
    bool sent_recently =
        vm->mismatch_at > 0 && now_ms - vm->mismatch_at < RECORDS_INTERVAL_MS;
    if (trailer->records_digest == mesh->records_digest || sent_recently) {
        return;
    }
    if (is_join(message) &&
        g_rand_int_range(mesh->random, 0, (gint32)mesh->vms->len) >=
            JOIN_RECORD_SENDERS) {
        return;
    }
    vm->mismatch_at = now_ms;
    mesh->listener->on_digest_mismatch(mesh->listener, member_id);
}

static void
apply_message(struct sas_mesh *mesh, const sas_mesh_message *message,
              const sas_mesh_trailer *trailer,
              const sas_mesh_lost_paths *paths)
{
    struct sas_mesh_facts facts = {
        .caller.port = (int)message->sender.caller_port,
        .peer.port = (int)message->sender.peer_port,
        .incarnation = message->sender.incarnation,
        .capacity = message->sender.capacity,
    };
    g_strlcpy(facts.name, message->sender.name, sizeof(facts.name));
    g_strlcpy(facts.zone, message->sender.zone, sizeof(facts.zone));
    g_strlcpy(facts.caller.ip, message->sender.ip, sizeof(facts.caller.ip));
    g_strlcpy(facts.peer.ip, message->sender.ip, sizeof(facts.peer.ip));
    int member_id = SasMesh_LearnVm(mesh, &facts);
    if (member_id == SasModel_NONE || member_id == OWN_ID) {
        return;
    }
    mesh->sheet_version =
        MAX(mesh->sheet_version, (int64_t)message->sender.sheet_version);
    apply_updates(mesh, message);
    if (facts.incarnation <
        SasMesh_GetVm(mesh, member_id)->facts.incarnation) {
        correct_sender(mesh, &facts, SasMesh_GetVm(mesh, member_id));
    }
    renew_own(mesh);
    SasPing_Remove(&mesh->pings, member_id);
    SasMembership_NoteDirect(&mesh->table, member_id, facts.incarnation,
                             SasMesh_Now(mesh));
    notify_listener(mesh, member_id, message);
    apply_changes(mesh, &message->sender, &facts.peer);
    apply_records(mesh, trailer);
    SasMesh_ApplyLostPaths(mesh, member_id,
                           paths->service_hashes.service_hashes_val,
                           (int)paths->service_hashes.service_hashes_len);
    compare_records(mesh, member_id, message, trailer);
    if (message->wants_reply && is_join(message)) {
        SasMesh_SendUpdates(mesh, SasMesh_GetVm(mesh, member_id), JOIN_UPDATES,
                            false);
    }
    else if (message->wants_reply) {
        SasMesh_SendUpdates(mesh, SasMesh_GetVm(mesh, member_id),
                            SAS_MESH_MAX_UPDATES, false);
    }
}

/* Older versions send no trailer. */
static bool
decode_trailer(XDR *xdr, unsigned size, sas_mesh_trailer *trailer,
               sas_mesh_lost_paths *paths)
{
    return (xdr_getpos(xdr) == size || xdr_sas_mesh_trailer(xdr, trailer)) &&
           (xdr_getpos(xdr) == size || xdr_sas_mesh_lost_paths(xdr, paths));
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
    sas_mesh_trailer trailer = {0};
    sas_mesh_lost_paths paths = {0};
    unsigned size = verify(mesh, data->base, (unsigned)count);
    if (size == 0) {
        SasLog_Write(SasLog_WARN, "mesh.refuse", "",
                     "a datagram of %zd bytes has a wrong signature", count);
        return;
    }
    XDR xdr;
    xdrmem_create(&xdr, data->base, size, XDR_DECODE);
    bool decoded = xdr_sas_mesh_message(&xdr, &message) &&
                   decode_trailer(&xdr, size, &trailer, &paths);
    if (decoded && message.format == SAS_MESH_FORMAT &&
        !is_fresh(mesh, &message)) {
        SasLog_Write(SasLog_WARN, "mesh.refuse", message.sender.name,
                     "a datagram is too old, or a clock is wrong");
    }
    else if (decoded && message.format == SAS_MESH_FORMAT) {
        apply_message(mesh, &message, &trailer, &paths);
    }
    else {
        SasLog_Write(SasLog_WARN, "mesh.decode", "",
                     "a datagram of %zd bytes can't be decoded", count);
    }
    xdr_destroy(&xdr);
    xdr_free((xdrproc_t)xdr_sas_mesh_message, (char *)&message);
    xdr_free((xdrproc_t)xdr_sas_mesh_trailer, (char *)&trailer);
    xdr_free((xdrproc_t)xdr_sas_mesh_lost_paths, (char *)&paths);
}
