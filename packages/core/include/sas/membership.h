/* membership - failure detection and gossip decisions of an entry VM, and
 * which backend servers are leaving.
 *
 * The members of the table are entry VMs. Each has an incarnation, which rises
 * with each start of its process, and a heartbeat, which rises while that
 * process runs. Updates of a member are merged so that order and repetition
 * make no difference: a higher incarnation replaces everything; within one
 * incarnation a higher heartbeat replaces heartbeat and age, at the same
 * heartbeat the greater age counts; `leaving` sticks, and the highest config
 * version and suspicion are kept. An age counts from when the heartbeat was
 * sent. Relays add to it and never reset it, so updates of a dead process
 * don't look recent however often they are relayed.
 *
 * A suspicion is the heartbeat that a member should have reached when pings to
 * it timed out: the known one, plus one for each interval since. Updates up to
 * that heartbeat don't clear it, however late they arrive; the member itself
 * refutes it with a higher heartbeat, and a node that gets a message from the
 * member ignores it. Suspicions make a failure known at all members within
 * seconds, also where the table is too large for one message.
 *
 * While this node is partitioned (SasMembership_IsPartitioned), the ages say
 * nothing about the other members, and it raises no suspicion.
 *
 * Times are milliseconds of one monotonic clock, passed in. Functions that
 * change something return a set of enum sas_membership_change; any change is
 * worth an extra gossip round.
 */
#ifndef SAS_MEMBERSHIP_H
#define SAS_MEMBERSHIP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define SasMembership_DIGEST_MEMBERS 64 /* updates in one message */
/* timeouts that raise a suspicion */
#define SasMembership_SUSPECT_TIMEOUTS 2

enum sas_member_state {
    SAS_MEMBER_UNKNOWN, /* no update of it yet */
    SAS_MEMBER_LIVE,
    SAS_MEMBER_SUSPECTED, /* old updates or pings timed out; may be alive */
    SAS_MEMBER_DEAD,      /* dead: too old, or a suspicion was not refuted */
    SAS_MEMBER_LEAVING
};

enum sas_membership_change {
    SAS_CHANGE_MEMBER = 1, /* new incarnation, leaving or suspicion */
    SAS_CHANGE_VERSION = 2 /* the highest config version known rose */
};

/* Update of one member, as sent and received. */
struct sas_member_update {
    int member_id;
    bool leaving;
    uint64_t incarnation;
    uint64_t config_version;
    uint32_t heartbeat;
    uint32_t suspicion; /* 0: none */
    int64_t age_ms;     /* of the heartbeat */
};

struct sas_member {
    uint64_t incarnation; /* 0: unknown */
    uint64_t config_version;
    int64_t heartbeat_ms; /* when its heartbeat was sent */
    int64_t received_ms; /* last message from the member itself to this node */
    int64_t suspicion_ms; /* when the suspicion became known here */
    uint32_t heartbeat;
    uint32_t suspicion; /* 0: none */
    bool leaving;
    /* messages in which a change is still to be sent */
    uint8_t retransmits_left;
    uint8_t timeouts; /* pings without an answer, in a row */
};

/* Times that depend on the number of members. */
struct sas_membership_times {
    int64_t interval_ms;  /* between rounds of gossip */
    int fanout;           /* members pinged in a round */
    int64_t suspect_ms;   /* age from which a member is suspected */
    int64_t dead_ms;      /* age from which it is dead */
    int64_t refute_ms;    /* age of a suspicion from which it is dead */
    int64_t partition_ms; /* no message for this time: partitioned */
};

struct sas_membership {
    struct sas_member *members; /* by member id */
    int count;
    int own;             /* member id of this node */
    int64_t started_ms;  /* of this process */
    bool first_start;    /* there was no process of this member before */
    bool listed;         /* the store has named all members to this node */
    int64_t received_ms; /* last message from any member itself */
    uint64_t highest_version;
    /* incarnation of a newer process of this member */
    uint64_t newer_incarnation;
    struct sas_membership_times times;
};

/* A table of member_count members; Close releases it. */
void SasMembership_Init(struct sas_membership *table, int member_count,
                        int own, uint64_t incarnation, int64_t now_ms);
void SasMembership_Close(struct sas_membership *table);

/* Adds members, unknown so far, and sets the times for the new number. */
void SasMembership_Grow(struct sas_membership *table, int member_count);

/* The times for a number of members and an interval; 0: the default interval,
 * which Init uses for table->times. */
void SasMembership_GetTimes(int member_count, int64_t interval_ms,
                            struct sas_membership_times *times);

/* The own member: a heartbeat each round, the config version in force,
 * leaving. */
void SasMembership_IncrementHeartbeat(struct sas_membership *table,
                                      int64_t now_ms);
int SasMembership_SetVersion(struct sas_membership *table, uint64_t version);
int SasMembership_SetLeaving(struct sas_membership *table);

/* Raises the own incarnation above newer_incarnation. For a member that no
 * other process can be: the higher incarnation is of an earlier run, since
 * when the clock went back. Returns the new incarnation, 0 if none is needed.
 */
uint64_t SasMembership_RaiseIncarnation(struct sas_membership *table,
                                        int64_t now_ms);

/* Merges an update, from the member itself or relayed. */
int SasMembership_Merge(struct sas_membership *table,
                        const struct sas_member_update *update,
                        int64_t now_ms);

/* An authenticated message arrived from the member itself. */
void SasMembership_NoteDirect(struct sas_membership *table, int member_id,
                              uint64_t incarnation, int64_t now_ms);

/* A ping to the member timed out. */
int SasMembership_NoteTimeout(struct sas_membership *table, int member_id,
                              int64_t now_ms);

/* Whether to ping the member again at once: one timeout so far, a second one
 * raises the suspicion. Among many members, random picks would hardly ever
 * choose the same one twice in a row. */
bool SasMembership_ShouldRetry(const struct sas_membership *table,
                               int member_id);

/* State of a member. GetAge: time since its newest heartbeat or direct
 * message; 0 for the own member, a day for an unknown one. */
enum sas_member_state
SasMembership_GetState(const struct sas_membership *table, int member_id,
                       int64_t now_ms);
int64_t SasMembership_GetAge(const struct sas_membership *table, int member_id,
                             int64_t now_ms);

/* Shares of a limit that members keep together.
 *
 * The shares in use add up to at most the limit only if each member divides by
 * all that may be using one, whatever it believes of them. A dead member may
 * be partitioned and still send, and so may one that is only known by name:
 * both count for SHARE_MS (MayUseShare).
 *
 * CountSharers returns how many members count, this node included. It returns
 * 0 while this node has no share: until NoteListed, since it may know only
 * some of the members, and for window_ms after its start, since the process
 * before it may have used its share in the same window.
 *
 * NoteListed: the store has named all members to this node. NoteFirstStart:
 * there was no process of this node before.
 *
 * A limit per second needs less than a window: others learn of a start or of
 * the end of a freeze within a second, and what they sent until then counts
 * for another one (JOIN_MS). */
#define SasMembership_SHARE_MS 600000
#define SasMembership_JOIN_MS 2000
bool SasMembership_MayUseShare(const struct sas_membership *table,
                               int member_id, int64_t now_ms);
int SasMembership_CountSharers(const struct sas_membership *table,
                               int64_t window_ms, int64_t now_ms);
void SasMembership_NoteListed(struct sas_membership *table);
void SasMembership_NoteFirstStart(struct sas_membership *table);

/* Whether this node is partitioned: no message from any member for
 * times.partition_ms. */
bool SasMembership_IsPartitioned(const struct sas_membership *table,
                                 int64_t now_ms);

const char *SasMembership_GetStateName(enum sas_member_state state);

/* Up to `max` different members to ping next, at random. A dead member is
 * picked now and then, so that the sides of a healed partition merge again. */
int SasMembership_PickPeers(const struct sas_membership *table, GRand *random,
                            int64_t now_ms, int *member_ids, int max);

/* Up to `max` updates for a message: the own member, then recent changes that
 * were not sent often enough yet, then others from a random start on. */
int SasMembership_FillDigest(struct sas_membership *table, GRand *random,
                             int64_t now_ms, struct sas_member_update *updates,
                             int max);

/* The update of one member, for a message about it alone. */
void SasMembership_GetUpdate(const struct sas_membership *table, int member_id,
                             int64_t now_ms, struct sas_member_update *update);

/* Leaving backend servers. There are three sources; one suffices. A source's
 * mark sticks to that incarnation of the server, a new incarnation starts
 * without marks. The sheet and the platform's list mean the incarnation that
 * runs, so they have to be noted again at each evaluation. Incarnations are
 * hashes without order: the one with the report measured later is newer. */
enum sas_leaving_server_source {
    SAS_LEAVING_SERVER_SHEET = 1,
    SAS_LEAVING_SERVER_PLATFORM = 2,
    SAS_LEAVING_SERVER_REPORT = 4
};

struct sas_leaving_server {
    uint64_t incarnation; /* 0: unknown */
    int64_t measured_ms;  /* of its newest report */
    unsigned sources;     /* set of enum sas_leaving_server_source */
};

struct sas_leaving_server_table {
    struct sas_leaving_server *backends;
    int count;
};

void SasLeavingServer_Init(struct sas_leaving_server_table *table,
                           int backend_count);
void SasLeavingServer_Close(struct sas_leaving_server_table *table);

/* The sheet or the platform's list names the backend server. True if this
 * incarnation was not known to be leaving. */
bool SasLeavingServer_NoteAnnounced(struct sas_leaving_server_table *table,
                                    int backend,
                                    enum sas_leaving_server_source source);

/* A report of the server itself, received here or by a peer. True if it makes
 * the server known to be leaving. */
bool SasLeavingServer_NoteReport(struct sas_leaving_server_table *table,
                                 int backend, uint64_t incarnation,
                                 bool leaving, int64_t measured_ms);

bool SasLeavingServer_IsLeaving(const struct sas_leaving_server_table *table,
                                int backend);

#endif
