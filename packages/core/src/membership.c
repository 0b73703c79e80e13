#include "sas/membership.h"

#include <math.h>
#include <string.h>

/* Rounds of gossip by number of seats. */
#define SMALL_SEATS 16
#define MIDDLE_SEATS 128
#define SMALL_INTERVAL_MS 250
#define MIDDLE_INTERVAL_MS 500
#define LARGE_INTERVAL_MS 1000
#define FANOUT 1 /* a second exchange a round costs more than it gives */

/* A seat is heard of about once in (seats / news per message) rounds, and
 * the news takes log2(seats) relays. The factor keeps the oldest age seen
 * among all pairs of 1,500 seats below (docs/notes-peer.md). */
#define SUSPECT_ROUNDS 6
#define TAIL_FACTOR 1.5
#define GONE_FACTOR 2
#define REFUTE_ROUNDS 12
#define CUT_OFF_ROUNDS 12
#define MIN_GONE_ROUNDS 32

#define CHANGES_PERCENT 75 /* of a message, at most */

/* How often a change is sent: this times log2(seats). */
#define SENDS_FACTOR 3
#define GONE_PICK_SHARE 8 /* one pick in so many goes to a seat gone */
#define MAX_AGE_MS (1000LL * 3600 * 24)
#define MAX_MISSED_BEATS 400000 /* a day of small intervals */

static int64_t get_interval(int seat_count);
static bool is_seat(const struct sas_membership *table, int seat);
static int merge_own(struct sas_membership *table,
                     const struct sas_member_news *news, int64_t now_ms);
static void merge_heartbeat(struct sas_member *member, uint32_t heartbeat,
                            int64_t heard_ms);
static int raise_highest(struct sas_membership *table, uint64_t version);
static uint32_t bound_doubt(const struct sas_member_news *news);
static uint8_t get_sends(const struct sas_membership *table);
static bool is_doubted(const struct sas_member *member);
static void shuffle_part(GRand *random, int *seats, int count, int part);
static void fill_news(const struct sas_membership *table, int seat,
                      int64_t now_ms, struct sas_member_news *news);
static int fill_changes(struct sas_membership *table, GRand *random,
                        int64_t now_ms, struct sas_member_news *news, int max,
                        bool *taken);

/* Table */

void
SasMembership_Init(struct sas_membership *table, int seat_count, int own,
                   uint64_t incarnation, int64_t now_ms)
{
    memset(table, 0, sizeof(*table));
    table->members = g_new0(struct sas_member, seat_count);
    table->count = seat_count;
    table->own = own;
    table->direct_ms = now_ms;
    SasMembership_GetTimes(seat_count, 0, &table->times);
    struct sas_member *self = &table->members[own];
    self->incarnation = incarnation;
    self->heartbeat = 1;
    self->heard_ms = now_ms;
    self->direct_ms = now_ms;
    self->sends_left = get_sends(table);
}

void
SasMembership_Close(struct sas_membership *table)
{
    g_free(table->members);
    memset(table, 0, sizeof(*table));
}

void
SasMembership_Grow(struct sas_membership *table, int seat_count)
{
    if (seat_count <= table->count) {
        return;
    }
    table->members =
        g_renew(struct sas_member, table->members, (gsize)seat_count);
    memset(&table->members[table->count], 0,
           (size_t)(seat_count - table->count) * sizeof(*table->members));
    table->count = seat_count;
    SasMembership_GetTimes(seat_count, 0, &table->times);
}

void
SasMembership_GetTimes(int seat_count, int64_t interval_ms,
                       struct sas_membership_times *times)
{
    if (interval_ms <= 0) {
        interval_ms = get_interval(seat_count);
    }
    double seats = MAX(seat_count, 2);
    double parts = ceil(seats / SasMembership_DIGEST_SEATS);
    int64_t rounds =
        (int64_t)(SUSPECT_ROUNDS + TAIL_FACTOR * parts * log2(seats));
    int64_t gone_rounds = MAX(GONE_FACTOR * rounds, MIN_GONE_ROUNDS);
    times->interval_ms = interval_ms;
    times->fanout = FANOUT;
    times->suspect_ms = rounds * interval_ms;
    times->gone_ms = gone_rounds * interval_ms;
    times->refute_ms = REFUTE_ROUNDS * interval_ms;
    times->cut_off_ms = CUT_OFF_ROUNDS * interval_ms;
}

/* Own seat */

void
SasMembership_Beat(struct sas_membership *table, int64_t now_ms)
{
    struct sas_member *self = &table->members[table->own];
    self->heartbeat++;
    self->heard_ms = now_ms;
    self->direct_ms = now_ms;
}

int
SasMembership_SetVersion(struct sas_membership *table, uint64_t version)
{
    struct sas_member *self = &table->members[table->own];
    self->config_version = MAX(self->config_version, version);
    return raise_highest(table, version);
}

int
SasMembership_SetLeaving(struct sas_membership *table)
{
    struct sas_member *self = &table->members[table->own];
    if (self->leaving) {
        return 0;
    }
    self->leaving = true;
    self->sends_left = get_sends(table);
    return SAS_CHANGE_MEMBER;
}

uint64_t
SasMembership_Renew(struct sas_membership *table, int64_t now_ms)
{
    struct sas_member *self = &table->members[table->own];
    if (table->replaced_by <= self->incarnation) {
        return 0;
    }
    self->incarnation = table->replaced_by + 1;
    self->sends_left = get_sends(table);
    SasMembership_Beat(table, now_ms);
    return self->incarnation;
}

/* News */

int
SasMembership_Merge(struct sas_membership *table,
                    const struct sas_member_news *news, int64_t now_ms)
{
    if (!is_seat(table, news->seat) || news->incarnation == 0) {
        return 0;
    }
    if (news->seat == table->own) {
        return merge_own(table, news, now_ms);
    }
    struct sas_member *member = &table->members[news->seat];
    int changes = raise_highest(table, news->config_version);
    if (news->incarnation < member->incarnation) {
        return changes;
    }
    int64_t heard_ms = now_ms - CLAMP(news->age_ms, 0, MAX_AGE_MS);
    if (news->incarnation > member->incarnation) {
        memset(member, 0, sizeof(*member));
        member->incarnation = news->incarnation;
        member->heartbeat = news->heartbeat;
        member->heard_ms = heard_ms;
        changes |= SAS_CHANGE_MEMBER;
    }
    merge_heartbeat(member, news->heartbeat, heard_ms);
    if (news->leaving && !member->leaving) {
        member->leaving = true;
        changes |= SAS_CHANGE_MEMBER;
    }
    uint32_t doubt = bound_doubt(news);
    if (doubt > member->doubt) {
        member->doubt = doubt;
        member->doubt_ms = now_ms;
        changes |= is_doubted(member) ? SAS_CHANGE_MEMBER : 0;
    }
    member->config_version = MAX(member->config_version, news->config_version);
    if ((changes & SAS_CHANGE_MEMBER) != 0) {
        member->sends_left = get_sends(table);
    }
    return changes;
}

void
SasMembership_NoteDirect(struct sas_membership *table, int seat,
                         uint64_t incarnation, int64_t now_ms)
{
    if (!is_seat(table, seat) || seat == table->own) {
        return;
    }
    table->direct_ms = now_ms;
    struct sas_member *member = &table->members[seat];
    if (member->incarnation == incarnation) {
        member->direct_ms = now_ms;
        member->silences = 0;
    }
}

/* Guards against a node that is cut off and takes all others for dead: when
 * the cut heals, its doubts would spread and every seat would have to refute
 * them. While nobody is heard, silence tells only about this node. */
int
SasMembership_NoteSilence(struct sas_membership *table, int seat,
                          int64_t now_ms)
{
    if (!is_seat(table, seat) || seat == table->own) {
        return 0;
    }
    struct sas_member *member = &table->members[seat];
    if (member->silences < SasMembership_SILENCE_LIMIT) {
        member->silences++;
    }
    if (member->incarnation == 0 || is_doubted(member) ||
        member->silences < SasMembership_SILENCE_LIMIT ||
        SasMembership_IsCutOff(table, now_ms)) {
        return 0;
    }
    int64_t missed_beats =
        (now_ms - member->heard_ms) / table->times.interval_ms;
    member->doubt =
        member->heartbeat + (uint32_t)CLAMP(missed_beats, 0, MAX_MISSED_BEATS);
    member->doubt_ms = now_ms;
    member->sends_left = get_sends(table);
    return SAS_CHANGE_MEMBER;
}

bool
SasMembership_MayRetry(const struct sas_membership *table, int seat)
{
    if (!is_seat(table, seat) || seat == table->own) {
        return false;
    }
    const struct sas_member *member = &table->members[seat];
    return member->incarnation != 0 && !is_doubted(member) &&
           member->silences > 0 &&
           member->silences < SasMembership_SILENCE_LIMIT;
}

/* What is known */

enum sas_member_state
SasMembership_GetState(const struct sas_membership *table, int seat,
                       int64_t now_ms)
{
    if (!is_seat(table, seat) || table->members[seat].incarnation == 0) {
        return SAS_MEMBER_UNKNOWN;
    }
    const struct sas_member *member = &table->members[seat];
    if (seat == table->own) {
        return member->leaving ? SAS_MEMBER_LEAVING : SAS_MEMBER_LIVE;
    }
    int64_t age_ms = SasMembership_GetAge(table, seat, now_ms);
    bool doubted = is_doubted(member) && member->direct_ms <= member->doubt_ms;
    if (age_ms >= table->times.gone_ms ||
        (doubted && now_ms - member->doubt_ms >= table->times.refute_ms)) {
        return SAS_MEMBER_GONE;
    }
    if (member->leaving) {
        return SAS_MEMBER_LEAVING;
    }
    if (doubted || age_ms >= table->times.suspect_ms) {
        return SAS_MEMBER_SUSPECT;
    }
    return SAS_MEMBER_LIVE;
}

int64_t
SasMembership_GetAge(const struct sas_membership *table, int seat,
                     int64_t now_ms)
{
    if (!is_seat(table, seat) || table->members[seat].incarnation == 0) {
        return MAX_AGE_MS;
    }
    if (seat == table->own) {
        return 0;
    }
    const struct sas_member *member = &table->members[seat];
    return now_ms - MAX(member->heard_ms, member->direct_ms);
}

bool
SasMembership_IsCutOff(const struct sas_membership *table, int64_t now_ms)
{
    return table->count > 1 &&
           now_ms - table->direct_ms >= table->times.cut_off_ms;
}

const char *
SasMembership_GetStateName(enum sas_member_state state)
{
    switch (state) {
    case SAS_MEMBER_UNKNOWN:
        return "unknown";
    case SAS_MEMBER_LIVE:
        return "live";
    case SAS_MEMBER_SUSPECT:
        return "suspect";
    case SAS_MEMBER_GONE:
        return "gone";
    case SAS_MEMBER_LEAVING:
        return "leaving";
    }
    return "unknown";
}

/* Gossip */

int
SasMembership_PickPeers(const struct sas_membership *table, GRand *random,
                        int64_t now_ms, int *seats, int max)
{
    g_autofree int *present = g_new(int, table->count);
    g_autofree int *gone = g_new(int, table->count);
    int present_count = 0;
    int gone_count = 0;
    for (int seat = 0; seat < table->count; seat++) {
        if (seat == table->own) {
            continue;
        }
        if (SasMembership_GetState(table, seat, now_ms) == SAS_MEMBER_GONE) {
            gone[gone_count++] = seat;
        }
        else {
            present[present_count++] = seat;
        }
    }
    int picked = MIN(max, present_count);
    shuffle_part(random, present, present_count, picked);
    memcpy(seats, present, (size_t)picked * sizeof(*seats));
    bool pick_gone =
        gone_count > 0 && max > 0 &&
        (picked < max || g_rand_int_range(random, 0, GONE_PICK_SHARE) == 0);
    if (pick_gone) {
        int place = picked < max ? picked++ : max - 1;
        seats[place] = gone[g_rand_int_range(random, 0, gone_count)];
    }
    return picked;
}

int
SasMembership_FillDigest(struct sas_membership *table, GRand *random,
                         int64_t now_ms, struct sas_member_news *news, int max)
{
    if (max <= 0) {
        return 0;
    }
    g_autofree bool *taken = g_new0(bool, table->count);
    fill_news(table, table->own, now_ms, &news[0]);
    taken[table->own] = true;
    int count = 1 + fill_changes(table, random, now_ms, &news[1],
                                 max * CHANGES_PERCENT / 100, taken);
    int start = g_rand_int_range(random, 0, table->count);
    for (int i = 0; i < table->count && count < max; i++) {
        int seat = (start + i) % table->count;
        if (!taken[seat] && table->members[seat].incarnation != 0) {
            fill_news(table, seat, now_ms, &news[count++]);
        }
    }
    return count;
}

void
SasMembership_GetNews(const struct sas_membership *table, int seat,
                      int64_t now_ms, struct sas_member_news *news)
{
    fill_news(table, seat, now_ms, news);
}

/* Leaving backend servers */

void
SasDeparture_Init(struct sas_departure_table *table, int backend_count)
{
    table->backends = g_new0(struct sas_departure, MAX(backend_count, 1));
    table->count = backend_count;
}

void
SasDeparture_Close(struct sas_departure_table *table)
{
    g_free(table->backends);
    memset(table, 0, sizeof(*table));
}

bool
SasDeparture_NoteListed(struct sas_departure_table *table, int backend,
                        enum sas_departure_source source)
{
    if (backend < 0 || backend >= table->count) {
        return false;
    }
    struct sas_departure *departure = &table->backends[backend];
    bool is_new = departure->sources == 0;
    departure->sources |= source;
    return is_new;
}

bool
SasDeparture_NoteReport(struct sas_departure_table *table, int backend,
                        uint64_t incarnation, bool leaving,
                        int64_t measured_ms)
{
    if (backend < 0 || backend >= table->count || incarnation == 0) {
        return false;
    }
    struct sas_departure *departure = &table->backends[backend];
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
    departure->sources |= leaving ? SAS_DEPARTURE_SERVER : 0;
    return is_new;
}

bool
SasDeparture_IsLeaving(const struct sas_departure_table *table, int backend)
{
    return backend >= 0 && backend < table->count &&
           table->backends[backend].sources != 0;
}

/* Helpers */

static int64_t
get_interval(int seat_count)
{
    if (seat_count <= SMALL_SEATS) {
        return SMALL_INTERVAL_MS;
    }
    return seat_count <= MIDDLE_SEATS ? MIDDLE_INTERVAL_MS : LARGE_INTERVAL_MS;
}

static bool
is_seat(const struct sas_membership *table, int seat)
{
    return seat >= 0 && seat < table->count;
}

/* News of the own seat: a doubt is refuted by a higher heartbeat. A higher
 * incarnation means that another process was started for this seat while
 * this one was paused or cut off; the owner has to stop. */
static int
merge_own(struct sas_membership *table, const struct sas_member_news *news,
          int64_t now_ms)
{
    struct sas_member *self = &table->members[table->own];
    if (news->incarnation > self->incarnation) {
        table->replaced_by = MAX(table->replaced_by, news->incarnation);
        return 0;
    }
    uint32_t doubt = bound_doubt(news);
    if (news->incarnation < self->incarnation || doubt < self->heartbeat) {
        return 0;
    }
    self->heartbeat = doubt;
    SasMembership_Beat(table, now_ms);
    self->sends_left = get_sends(table);
    return SAS_CHANGE_MEMBER;
}

/* Guards against a process that is dead but stays young: if a relayed age
 * could renew what is known at the same heartbeat, two nodes that tell each
 * other of it would lose the time of each message. Only a risen heartbeat
 * renews; at the same one the earlier time stands. */
static void
merge_heartbeat(struct sas_member *member, uint32_t heartbeat,
                int64_t heard_ms)
{
    if (heartbeat > member->heartbeat) {
        member->heartbeat = heartbeat;
        member->heard_ms = heard_ms;
    }
    else if (heartbeat == member->heartbeat) {
        member->heard_ms = MIN(member->heard_ms, heard_ms);
    }
}

static int
raise_highest(struct sas_membership *table, uint64_t version)
{
    if (version <= table->highest_version) {
        return 0;
    }
    table->highest_version = version;
    return SAS_CHANGE_VERSION;
}

/* A doubt can't be far ahead of its heartbeat; without this a single wrong
 * message would use up the heartbeats of a seat. */
static uint32_t
bound_doubt(const struct sas_member_news *news)
{
    uint64_t limit = (uint64_t)news->heartbeat + MAX_MISSED_BEATS;
    return (uint32_t)MIN(news->doubt, MIN(limit, UINT32_MAX - 1));
}

static uint8_t
get_sends(const struct sas_membership *table)
{
    return (uint8_t)(SENDS_FACTOR * (1 + g_bit_storage(table->count)));
}

static bool
is_doubted(const struct sas_member *member)
{
    return member->doubt != 0 && member->doubt >= member->heartbeat;
}

/* Moves a random choice to the first `part` places. */
static void
shuffle_part(GRand *random, int *seats, int count, int part)
{
    for (int i = 0; i < part; i++) {
        int other = g_rand_int_range(random, i, count);
        int seat = seats[i];
        seats[i] = seats[other];
        seats[other] = seat;
    }
}

static void
fill_news(const struct sas_membership *table, int seat, int64_t now_ms,
          struct sas_member_news *news)
{
    const struct sas_member *member = &table->members[seat];
    news->seat = seat;
    news->leaving = member->leaving;
    news->incarnation = member->incarnation;
    news->config_version = member->config_version;
    news->heartbeat = member->heartbeat;
    news->doubt = member->doubt;
    news->age_ms = seat == table->own ? 0 : now_ms - member->heard_ms;
}

/* Guards against changes that wait behind others: when a region fails, a
 * third of the table changes at once, far more than a message holds. In the
 * order of seats the last doubts would be told minutes later, so a message
 * takes a random part of the changes. */
static int
fill_changes(struct sas_membership *table, GRand *random, int64_t now_ms,
             struct sas_member_news *news, int max, bool *taken)
{
    g_autofree int *changed = g_new(int, table->count);
    int changed_count = 0;
    for (int seat = 0; seat < table->count; seat++) {
        if (table->members[seat].sends_left > 0 && !taken[seat]) {
            changed[changed_count++] = seat;
        }
    }
    int count = MIN(changed_count, max);
    shuffle_part(random, changed, changed_count, count);
    for (int i = 0; i < count; i++) {
        table->members[changed[i]].sends_left--;
        taken[changed[i]] = true;
        fill_news(table, changed[i], now_ms, &news[i]);
    }
    return count;
}
