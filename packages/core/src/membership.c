#include "sas/membership.h"

#include <math.h>
#include <string.h>

/* Interval of gossip rounds by number of members. */
#define SMALL_COUNT 16
#define MIDDLE_COUNT 128
#define SMALL_INTERVAL_MS 250
#define MIDDLE_INTERVAL_MS 500
#define LARGE_INTERVAL_MS 1000
#define FANOUT 1 /* a second ping per round costs more than it gains */

/* Rounds until a member is suspected. An update of a member arrives about once
 * in (members / updates per message) rounds and takes log2(members) relays.
 * With the factor, the oldest age seen among all pairs of 1,500 members stays
 * below that (docs/notes-peer.md). */
#define SUSPECT_ROUNDS 6
#define TAIL_FACTOR 1.5
#define DEAD_FACTOR 2
#define REFUTE_ROUNDS 12
#define PARTITION_ROUNDS 12
#define MIN_DEAD_ROUNDS 32

#define CHANGES_PERCENT 75 /* of a message, at most */

/* A change is sent this times log2(members) times. */
#define SENDS_FACTOR 3
#define DEAD_PICK_INTERVAL 8 /* one round in 8 pings a dead member */
#define MAX_AGE_MS (1000LL * 3600 * 24)
#define MAX_MISSED_HEARTBEATS 400000 /* a day of the smallest intervals */

static int64_t get_interval(int member_count);
static bool is_member(const struct sas_membership *table, int member_id);
static int merge_own(struct sas_membership *table,
                     const struct sas_member_update *update, int64_t now_ms);
static void merge_heartbeat(struct sas_member *member, uint32_t heartbeat,
                            int64_t heartbeat_ms);
static int raise_highest_version(struct sas_membership *table,
                                 uint64_t version);
static uint32_t bound_suspicion(const struct sas_member_update *update);
static uint8_t get_sends(const struct sas_membership *table);
static bool is_suspected(const struct sas_member *member);
static void shuffle_front(GRand *random, int *member_ids, int count,
                          int picked);
static void fill_update(const struct sas_membership *table, int member_id,
                        int64_t now_ms, struct sas_member_update *update);
static int fill_changes(struct sas_membership *table, GRand *random,
                        int64_t now_ms, struct sas_member_update *updates,
                        int max, bool *taken);

/* Table */

void
SasMembership_Init(struct sas_membership *table, int member_count, int own,
                   uint64_t incarnation, int64_t now_ms)
{
    memset(table, 0, sizeof(*table));
    table->members = g_new0(struct sas_member, member_count);
    table->count = member_count;
    table->own = own;
    table->received_ms = now_ms;
    SasMembership_GetTimes(member_count, 0, &table->times);
    table->started_ms = now_ms;
    struct sas_member *self = &table->members[own];
    self->incarnation = incarnation;
    self->heartbeat = 1;
    self->heartbeat_ms = now_ms;
    self->received_ms = now_ms;
    self->retransmits_left = get_sends(table);
}

void
SasMembership_Close(struct sas_membership *table)
{
    g_free(table->members);
    memset(table, 0, sizeof(*table));
}

void
SasMembership_Grow(struct sas_membership *table, int member_count)
{
    if (member_count <= table->count) {
        return;
    }
    table->members =
        g_renew(struct sas_member, table->members, (gsize)member_count);
    memset(&table->members[table->count], 0,
           (size_t)(member_count - table->count) * sizeof(*table->members));
    table->count = member_count;
    SasMembership_GetTimes(member_count, 0, &table->times);
}

void
SasMembership_GetTimes(int member_count, int64_t interval_ms,
                       struct sas_membership_times *times)
{
    if (interval_ms <= 0) {
        interval_ms = get_interval(member_count);
    }
    double members = MAX(member_count, 2);
    double messages = ceil(members / SasMembership_DIGEST_MEMBERS);
    int64_t rounds =
        (int64_t)(SUSPECT_ROUNDS + TAIL_FACTOR * messages * log2(members));
    int64_t dead_rounds = MAX(DEAD_FACTOR * rounds, MIN_DEAD_ROUNDS);
    times->interval_ms = interval_ms;
    times->fanout = FANOUT;
    times->suspect_ms = rounds * interval_ms;
    times->dead_ms = dead_rounds * interval_ms;
    times->refute_ms = REFUTE_ROUNDS * interval_ms;
    times->partition_ms = PARTITION_ROUNDS * interval_ms;
}

/* Own member */

void
SasMembership_IncrementHeartbeat(struct sas_membership *table, int64_t now_ms)
{
    struct sas_member *self = &table->members[table->own];
    self->heartbeat++;
    self->heartbeat_ms = now_ms;
    self->received_ms = now_ms;
}

int
SasMembership_SetVersion(struct sas_membership *table, uint64_t version)
{
    struct sas_member *self = &table->members[table->own];
    self->config_version = MAX(self->config_version, version);
    return raise_highest_version(table, version);
}

int
SasMembership_SetLeaving(struct sas_membership *table)
{
    struct sas_member *self = &table->members[table->own];
    if (self->leaving) {
        return 0;
    }
    self->leaving = true;
    self->retransmits_left = get_sends(table);
    return SAS_CHANGE_MEMBER;
}

uint64_t
SasMembership_RaiseIncarnation(struct sas_membership *table, int64_t now_ms)
{
    struct sas_member *self = &table->members[table->own];
    if (table->newer_incarnation <= self->incarnation) {
        return 0;
    }
    self->incarnation = table->newer_incarnation + 1;
    self->retransmits_left = get_sends(table);
    SasMembership_IncrementHeartbeat(table, now_ms);
    return self->incarnation;
}

/* Updates */

int
SasMembership_Merge(struct sas_membership *table,
                    const struct sas_member_update *update, int64_t now_ms)
{
    if (!is_member(table, update->member_id) || update->incarnation == 0) {
        return 0;
    }
    if (update->member_id == table->own) {
        return merge_own(table, update, now_ms);
    }
    struct sas_member *member = &table->members[update->member_id];
    int changes = raise_highest_version(table, update->config_version);
    if (update->incarnation < member->incarnation) {
        return changes;
    }
    int64_t heartbeat_ms = now_ms - CLAMP(update->age_ms, 0, MAX_AGE_MS);
    if (update->incarnation > member->incarnation) {
        memset(member, 0, sizeof(*member));
        member->incarnation = update->incarnation;
        member->heartbeat = update->heartbeat;
        member->heartbeat_ms = heartbeat_ms;
        changes |= SAS_CHANGE_MEMBER;
    }
    merge_heartbeat(member, update->heartbeat, heartbeat_ms);
    if (update->leaving && !member->leaving) {
        member->leaving = true;
        changes |= SAS_CHANGE_MEMBER;
    }
    uint32_t suspicion = bound_suspicion(update);
    if (suspicion > member->suspicion) {
        member->suspicion = suspicion;
        member->suspicion_ms = now_ms;
        changes |= is_suspected(member) ? SAS_CHANGE_MEMBER : 0;
    }
    member->config_version =
        MAX(member->config_version, update->config_version);
    if ((changes & SAS_CHANGE_MEMBER) != 0) {
        member->retransmits_left = get_sends(table);
    }
    return changes;
}

void
SasMembership_NoteDirect(struct sas_membership *table, int member_id,
                         uint64_t incarnation, int64_t now_ms)
{
    if (!is_member(table, member_id) || member_id == table->own) {
        return;
    }
    table->received_ms = now_ms;
    struct sas_member *member = &table->members[member_id];
    if (member->incarnation == incarnation) {
        member->received_ms = now_ms;
        member->timeouts = 0;
    }
}

/* Guards against a partitioned node that takes all others for dead: when the
 * partition heals, its suspicions would spread and each member would have to
 * refute them. Without any message, a timeout says nothing of a member. */
int
SasMembership_NoteTimeout(struct sas_membership *table, int member_id,
                          int64_t now_ms)
{
    if (!is_member(table, member_id) || member_id == table->own) {
        return 0;
    }
    struct sas_member *member = &table->members[member_id];
    if (member->timeouts < SasMembership_SUSPECT_TIMEOUTS) {
        member->timeouts++;
    }
    if (member->incarnation == 0 || is_suspected(member) ||
        member->timeouts < SasMembership_SUSPECT_TIMEOUTS ||
        SasMembership_IsPartitioned(table, now_ms)) {
        return 0;
    }
    int64_t missed_heartbeats =
        (now_ms - member->heartbeat_ms) / table->times.interval_ms;
    member->suspicion =
        member->heartbeat +
        (uint32_t)CLAMP(missed_heartbeats, 0, MAX_MISSED_HEARTBEATS);
    member->suspicion_ms = now_ms;
    member->retransmits_left = get_sends(table);
    return SAS_CHANGE_MEMBER;
}

bool
SasMembership_ShouldRetry(const struct sas_membership *table, int member_id)
{
    if (!is_member(table, member_id) || member_id == table->own) {
        return false;
    }
    const struct sas_member *member = &table->members[member_id];
    return member->incarnation != 0 && !is_suspected(member) &&
           member->timeouts > 0 &&
           member->timeouts < SasMembership_SUSPECT_TIMEOUTS;
}

/* State of members */

enum sas_member_state
SasMembership_GetState(const struct sas_membership *table, int member_id,
                       int64_t now_ms)
{
    if (!is_member(table, member_id) ||
        table->members[member_id].incarnation == 0) {
        return SAS_MEMBER_UNKNOWN;
    }
    const struct sas_member *member = &table->members[member_id];
    if (member_id == table->own) {
        return member->leaving ? SAS_MEMBER_LEAVING : SAS_MEMBER_LIVE;
    }
    int64_t age_ms = SasMembership_GetAge(table, member_id, now_ms);
    bool suspected =
        is_suspected(member) && member->received_ms <= member->suspicion_ms;
    if (age_ms >= table->times.dead_ms ||
        (suspected &&
         now_ms - member->suspicion_ms >= table->times.refute_ms)) {
        return SAS_MEMBER_DEAD;
    }
    if (member->leaving) {
        return SAS_MEMBER_LEAVING;
    }
    if (suspected || age_ms >= table->times.suspect_ms) {
        return SAS_MEMBER_SUSPECTED;
    }
    return SAS_MEMBER_LIVE;
}

int64_t
SasMembership_GetAge(const struct sas_membership *table, int member_id,
                     int64_t now_ms)
{
    if (!is_member(table, member_id) ||
        table->members[member_id].incarnation == 0) {
        return MAX_AGE_MS;
    }
    if (member_id == table->own) {
        return 0;
    }
    const struct sas_member *member = &table->members[member_id];
    return now_ms - MAX(member->heartbeat_ms, member->received_ms);
}

bool
SasMembership_IsPartitioned(const struct sas_membership *table, int64_t now_ms)
{
    return table->count > 1 &&
           now_ms - table->received_ms >= table->times.partition_ms;
}

/* Shares */

void
SasMembership_NoteListed(struct sas_membership *table)
{
    table->listed = true;
}

void
SasMembership_NoteFirstStart(struct sas_membership *table)
{
    table->first_start = true;
}

bool
SasMembership_MayUseShare(const struct sas_membership *table, int member_id,
                          int64_t now_ms)
{
    bool unknown = table->members[member_id].incarnation == 0;
    int64_t silent_ms = unknown
                            ? now_ms - table->started_ms
                            : SasMembership_GetAge(table, member_id, now_ms);
    return member_id == table->own || silent_ms < SasMembership_SHARE_MS;
}

int
SasMembership_CountSharers(const struct sas_membership *table,
                           int64_t window_ms, int64_t now_ms)
{
    bool recent = now_ms - table->started_ms < window_ms;
    if (!table->listed || (recent && !table->first_start)) {
        return 0;
    }
    int count = 0;
    for (int member_id = 0; member_id < table->count; member_id++) {
        count += SasMembership_MayUseShare(table, member_id, now_ms) ? 1 : 0;
    }
    return count;
}

const char *
SasMembership_GetStateName(enum sas_member_state state)
{
    switch (state) {
    case SAS_MEMBER_UNKNOWN:
        return "unknown";
    case SAS_MEMBER_LIVE:
        return "live";
    case SAS_MEMBER_SUSPECTED:
        return "suspect";
    case SAS_MEMBER_DEAD:
        return "gone";
    case SAS_MEMBER_LEAVING:
        return "leaving";
    }
    return "unknown";
}

/* Gossip */

int
SasMembership_PickPeers(const struct sas_membership *table, GRand *random,
                        int64_t now_ms, int *member_ids, int max)
{
    g_autofree int *present = g_new(int, table->count);
    g_autofree int *dead = g_new(int, table->count);
    int present_count = 0;
    int dead_count = 0;
    for (int member_id = 0; member_id < table->count; member_id++) {
        if (member_id == table->own) {
            continue;
        }
        if (SasMembership_GetState(table, member_id, now_ms) ==
            SAS_MEMBER_DEAD) {
            dead[dead_count++] = member_id;
        }
        else {
            present[present_count++] = member_id;
        }
    }
    int picked = MIN(max, present_count);
    shuffle_front(random, present, present_count, picked);
    memcpy(member_ids, present, (size_t)picked * sizeof(*member_ids));
    bool pick_dead =
        dead_count > 0 && max > 0 &&
        (picked < max || g_rand_int_range(random, 0, DEAD_PICK_INTERVAL) == 0);
    if (pick_dead) {
        int index = picked < max ? picked++ : max - 1;
        member_ids[index] = dead[g_rand_int_range(random, 0, dead_count)];
    }
    return picked;
}

int
SasMembership_FillDigest(struct sas_membership *table, GRand *random,
                         int64_t now_ms, struct sas_member_update *updates,
                         int max)
{
    if (max <= 0) {
        return 0;
    }
    g_autofree bool *taken = g_new0(bool, table->count);
    fill_update(table, table->own, now_ms, &updates[0]);
    taken[table->own] = true;
    int count = 1 + fill_changes(table, random, now_ms, &updates[1],
                                 max * CHANGES_PERCENT / 100, taken);
    int first = g_rand_int_range(random, 0, table->count);
    for (int i = 0; i < table->count && count < max; i++) {
        int member_id = (first + i) % table->count;
        if (!taken[member_id] && table->members[member_id].incarnation != 0) {
            fill_update(table, member_id, now_ms, &updates[count++]);
        }
    }
    return count;
}

void
SasMembership_GetUpdate(const struct sas_membership *table, int member_id,
                        int64_t now_ms, struct sas_member_update *update)
{
    fill_update(table, member_id, now_ms, update);
}

/* Leaving backend servers */

void
SasLeavingServer_Init(struct sas_leaving_server_table *table,
                      int backend_count)
{
    table->backends = g_new0(struct sas_leaving_server, MAX(backend_count, 1));
    table->count = backend_count;
}

void
SasLeavingServer_Close(struct sas_leaving_server_table *table)
{
    g_free(table->backends);
    memset(table, 0, sizeof(*table));
}

bool
SasLeavingServer_NoteAnnounced(struct sas_leaving_server_table *table,
                               int backend,
                               enum sas_leaving_server_source source)
{
    if (backend < 0 || backend >= table->count) {
        return false;
    }
    struct sas_leaving_server *departure = &table->backends[backend];
    bool is_new = departure->sources == 0;
    departure->sources |= source;
    return is_new;
}

bool
SasLeavingServer_NoteReport(struct sas_leaving_server_table *table,
                            int backend, uint64_t incarnation, bool leaving,
                            int64_t measured_ms)
{
    if (backend < 0 || backend >= table->count || incarnation == 0) {
        return false;
    }
    struct sas_leaving_server *departure = &table->backends[backend];
    if (departure->incarnation == 0) {
        departure->incarnation = incarnation;
        departure->measured_ms = measured_ms;
    }
    if (incarnation != departure->incarnation) {
        if (measured_ms <= departure->measured_ms) {
            return false;
        }
        departure->incarnation = incarnation;
        departure->sources = 0;
    }
    departure->measured_ms = MAX(departure->measured_ms, measured_ms);
    bool is_new = leaving && departure->sources == 0;
    departure->sources |= leaving ? SAS_LEAVING_SERVER_REPORT : 0;
    return is_new;
}

bool
SasLeavingServer_IsLeaving(const struct sas_leaving_server_table *table,
                           int backend)
{
    return backend >= 0 && backend < table->count &&
           table->backends[backend].sources != 0;
}

/* Helpers */

static int64_t
get_interval(int member_count)
{
    if (member_count <= SMALL_COUNT) {
        return SMALL_INTERVAL_MS;
    }
    return member_count <= MIDDLE_COUNT ? MIDDLE_INTERVAL_MS
                                        : LARGE_INTERVAL_MS;
}

static bool
is_member(const struct sas_membership *table, int member_id)
{
    return member_id >= 0 && member_id < table->count;
}

/* Update of the own member: refutes a suspicion by a higher heartbeat. A
 * higher incarnation means that another process was started for this member
 * while this one was paused or partitioned; the owner has to stop. */
static int
merge_own(struct sas_membership *table, const struct sas_member_update *update,
          int64_t now_ms)
{
    struct sas_member *self = &table->members[table->own];
    if (update->incarnation > self->incarnation) {
        table->newer_incarnation =
            MAX(table->newer_incarnation, update->incarnation);
        return 0;
    }
    uint32_t suspicion = bound_suspicion(update);
    if (update->incarnation < self->incarnation ||
        suspicion < self->heartbeat) {
        return 0;
    }
    self->heartbeat = suspicion;
    SasMembership_IncrementHeartbeat(table, now_ms);
    self->retransmits_left = get_sends(table);
    return SAS_CHANGE_MEMBER;
}

/* Guards against a dead process that looks recent: if a relayed age could
 * replace the known one at the same heartbeat, two nodes that relay it to each
 * other would not count the transit time of each message. Only a higher
 * heartbeat resets the time; at the same one the earlier time is kept. */
static void
merge_heartbeat(struct sas_member *member, uint32_t heartbeat,
                int64_t heartbeat_ms)
{
    if (heartbeat > member->heartbeat) {
        member->heartbeat = heartbeat;
        member->heartbeat_ms = heartbeat_ms;
    }
    else if (heartbeat == member->heartbeat) {
        member->heartbeat_ms = MIN(member->heartbeat_ms, heartbeat_ms);
    }
}

static int
raise_highest_version(struct sas_membership *table, uint64_t version)
{
    if (version <= table->highest_version) {
        return 0;
    }
    table->highest_version = version;
    return SAS_CHANGE_VERSION;
}

/* Bounds how far a suspicion is ahead of its heartbeat: otherwise a single
 * wrong message could use up the heartbeats of a member. */
static uint32_t
bound_suspicion(const struct sas_member_update *update)
{
    uint64_t limit = (uint64_t)update->heartbeat + MAX_MISSED_HEARTBEATS;
    return (uint32_t)MIN(update->suspicion, MIN(limit, UINT32_MAX - 1));
}

static uint8_t
get_sends(const struct sas_membership *table)
{
    return (uint8_t)(SENDS_FACTOR * (1 + g_bit_storage(table->count)));
}

static bool
is_suspected(const struct sas_member *member)
{
    return member->suspicion != 0 && member->suspicion >= member->heartbeat;
}

/* Moves `picked` random entries to the front. */
static void
shuffle_front(GRand *random, int *member_ids, int count, int picked)
{
    for (int i = 0; i < picked; i++) {
        int other = g_rand_int_range(random, i, count);
        int member_id = member_ids[i];
        member_ids[i] = member_ids[other];
        member_ids[other] = member_id;
    }
}

static void
fill_update(const struct sas_membership *table, int member_id, int64_t now_ms,
            struct sas_member_update *update)
{
    const struct sas_member *member = &table->members[member_id];
    update->member_id = member_id;
    update->leaving = member->leaving;
    update->incarnation = member->incarnation;
    update->config_version = member->config_version;
    update->heartbeat = member->heartbeat;
    update->suspicion = member->suspicion;
    update->age_ms =
        member_id == table->own ? 0 : now_ms - member->heartbeat_ms;
}

/* Adds recent changes in random order. When a region fails, a third of the
 * table changes at once, far more than a message holds; in the order of the
 * table the last suspicions would be sent minutes later. */
static int
fill_changes(struct sas_membership *table, GRand *random, int64_t now_ms,
             struct sas_member_update *updates, int max, bool *taken)
{
    g_autofree int *changed = g_new(int, table->count);
    int changed_count = 0;
    for (int member_id = 0; member_id < table->count; member_id++) {
        if (table->members[member_id].retransmits_left > 0 &&
            !taken[member_id]) {
            changed[changed_count++] = member_id;
        }
    }
    int count = MIN(changed_count, max);
    shuffle_front(random, changed, changed_count, count);
    for (int i = 0; i < count; i++) {
        table->members[changed[i]].retransmits_left--;
        taken[changed[i]] = true;
        fill_update(table, changed[i], now_ms, &updates[i]);
    }
    return count;
}
