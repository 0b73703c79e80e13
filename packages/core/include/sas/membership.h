/* membership - what an entry VM knows of all seats: gossip and failure
 * detection decisions, and which backend servers are leaving.
 *
 * Each seat has an incarnation (rises with each start of its process) and a
 * heartbeat (rises while that process lives). News of a seat is merged like
 * this, so that order and repetition make no difference: the higher
 * incarnation replaces all; within one incarnation the higher heartbeat
 * counts with its age, at the same heartbeat the greater age, `leaving`
 * sticks, and the highest config version and doubt are kept. An age counts
 * from when that heartbeat was sent; relays add to it and never renew it, so
 * the news of a dead process can't stay young by going round in circles.
 *
 * `doubt` is the heartbeat that a seat should have reached when somebody got
 * no answer from it: what was known, and one for each interval since. News
 * up to that heartbeat does not clear the doubt, however late it arrives;
 * the seat itself refutes it by a higher heartbeat. Doubt makes a failure
 * known everywhere within seconds also where the table is too long to be
 * sent whole.
 *
 * While SasMembership_IsCutOff, ages tell nothing about the others: this
 * node is the one that hears nobody, and it raises no doubt.
 *
 * Times are milliseconds of one monotonic clock, passed in. Functions that
 * change something return a set of enum sas_membership_change; anything but
 * 0 is worth telling others at once.
 */
#ifndef SAS_MEMBERSHIP_H
#define SAS_MEMBERSHIP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define SasMembership_DIGEST_SEATS 64 /* news of seats in one message */
#define SasMembership_SILENCE_LIMIT 2 /* unanswered exchanges that doubt */

enum sas_member_state {
    SAS_MEMBER_UNKNOWN, /* never heard of */
    SAS_MEMBER_LIVE,
    SAS_MEMBER_SUSPECT, /* old news or unanswered; may be alive */
    SAS_MEMBER_GONE,    /* nothing for so long that nobody counts on it */
    SAS_MEMBER_LEAVING
};

enum sas_membership_change {
    SAS_CHANGE_MEMBER = 1, /* new incarnation, leaving or doubt */
    SAS_CHANGE_VERSION = 2 /* the highest config version known rose */
};

/* News of one seat as sent and received. */
struct sas_member_news {
    int seat;
    bool leaving;
    uint64_t incarnation;
    uint64_t config_version;
    uint32_t heartbeat;
    uint32_t doubt; /* 0 is none */
    int64_t age_ms;
};

struct sas_member {
    uint64_t incarnation; /* 0 is never heard of */
    uint64_t config_version;
    int64_t heard_ms;  /* when its heartbeat was sent */
    int64_t direct_ms; /* last message from itself to us */
    int64_t doubt_ms;  /* when the doubt became known here */
    uint32_t heartbeat;
    uint32_t doubt;
    bool leaving;
    uint8_t sends_left; /* how often a change is still to be sent */
    uint8_t silences;   /* unanswered exchanges in a row */
};

/* Times that follow from the number of seats. */
struct sas_membership_times {
    int64_t interval_ms; /* between rounds of gossip */
    int fanout;          /* exchanges started in a round */
    int64_t suspect_ms;  /* age at which a seat is doubted */
    int64_t gone_ms;
    int64_t refute_ms;  /* a doubt this old without a new heartbeat: gone */
    int64_t cut_off_ms; /* nobody heard for so long: this node is cut off */
};

struct sas_membership {
    struct sas_member *members; /* by seat */
    int count;
    int own;
    int64_t direct_ms; /* last message from anybody */
    uint64_t highest_version;
    uint64_t replaced_by; /* another process has our seat: its incarnation */
    struct sas_membership_times times;
};

/* A table of seat_count seats; Close releases it. */
void SasMembership_Init(struct sas_membership *table, int seat_count, int own,
                        uint64_t incarnation, int64_t now_ms);
void SasMembership_Close(struct sas_membership *table);

/* More seats, unknown so far, and the times that go with them. */
void SasMembership_Grow(struct sas_membership *table, int seat_count);

/* The times for a number of seats and an interval, 0 for the usual one; Init
 * sets table->times so. */
void SasMembership_GetTimes(int seat_count, int64_t interval_ms,
                            struct sas_membership_times *times);

/* The own seat: a heartbeat each round, the version in force, leaving. */
void SasMembership_Beat(struct sas_membership *table, int64_t now_ms);
int SasMembership_SetVersion(struct sas_membership *table, uint64_t version);
int SasMembership_SetLeaving(struct sas_membership *table);

/* Goes on as a newer process than the one that replaced_by tells of, where
 * no other can have the seat: the news is of an earlier run, and this one's
 * clock has gone back. The new incarnation, or 0 where none is needed. */
uint64_t SasMembership_Renew(struct sas_membership *table, int64_t now_ms);

/* News from elsewhere, direct or relayed. */
int SasMembership_Merge(struct sas_membership *table,
                        const struct sas_member_news *news, int64_t now_ms);

/* A verified message came from the seat itself. */
void SasMembership_NoteDirect(struct sas_membership *table, int seat,
                              uint64_t incarnation, int64_t now_ms);

/* An exchange with the seat got no answer in time. */
int SasMembership_NoteSilence(struct sas_membership *table, int seat,
                              int64_t now_ms);

/* One exchange failed, and a second one would settle it: it is worth asking
 * that seat again at once. Among many seats chance alone would hardly ever
 * pick the same one twice. */
bool SasMembership_MayRetry(const struct sas_membership *table, int seat);

/* What is known. GetAge is the age of the newest sign of life. */
enum sas_member_state
SasMembership_GetState(const struct sas_membership *table, int seat,
                       int64_t now_ms);
int64_t SasMembership_GetAge(const struct sas_membership *table, int seat,
                             int64_t now_ms);
bool SasMembership_IsCutOff(const struct sas_membership *table,
                            int64_t now_ms);
const char *SasMembership_GetStateName(enum sas_member_state state);

/* Up to `max` different seats for the next exchanges, at random. A seat that
 * is gone gets a small share, so that halves of a cut find back together. */
int SasMembership_PickPeers(const struct sas_membership *table, GRand *random,
                            int64_t now_ms, int *seats, int max);

/* Up to `max` news for a message: the own seat, recent changes that were not
 * sent often enough yet, then a random part of the rest. */
int SasMembership_FillDigest(struct sas_membership *table, GRand *random,
                             int64_t now_ms, struct sas_member_news *news,
                             int max);

/* What is known of one seat, for a message about it alone. */
void SasMembership_GetNews(const struct sas_membership *table, int seat,
                           int64_t now_ms, struct sas_member_news *news);

/* Leaving backend servers. Three sources, any of which suffices. What a
 * source said sticks for that incarnation of the server, and a new
 * incarnation begins without it; the sheet and the platform's list speak of
 * whatever incarnation is running, and have to be noted again at each
 * evaluation. Incarnations are hashes without order: the report measured
 * later is the newer one. */
enum sas_departure_source {
    SAS_DEPARTURE_SHEET = 1,
    SAS_DEPARTURE_PLATFORM = 2,
    SAS_DEPARTURE_SERVER = 4
};

struct sas_departure {
    uint64_t incarnation; /* 0 is not known yet */
    int64_t measured_ms;
    unsigned sources; /* set of enum sas_departure_source */
};

struct sas_departure_table {
    struct sas_departure *backends;
    int count;
};

void SasDeparture_Init(struct sas_departure_table *table, int backend_count);
void SasDeparture_Close(struct sas_departure_table *table);

/* The sheet or the platform's list names the backend server. True if that
 * was not known of this incarnation. */
bool SasDeparture_NoteListed(struct sas_departure_table *table, int backend,
                             enum sas_departure_source source);

/* A report of the server itself, own or from a peer. True if it is news that
 * the server is leaving. */
bool SasDeparture_NoteReport(struct sas_departure_table *table, int backend,
                             uint64_t incarnation, bool leaving,
                             int64_t measured_ms);

bool SasDeparture_IsLeaving(const struct sas_departure_table *table,
                            int backend);

#endif
