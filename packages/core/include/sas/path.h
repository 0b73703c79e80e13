/* path - whether this process reaches the backend servers of a service.
 *
 * A connection that can't be opened means that the server has failed, or that
 * the path to it has. From one place both look the same. So the path counts as
 * lost when several servers can't be reached, for a while, and no server of
 * the service answers meanwhile. An answer, or a probe connection that opens,
 * restores it at once.
 *
 * A request that gets no answer doesn't lose the path: the server may be slow,
 * or only its connection dead. It makes the path doubtful, and probes decide.
 *
 * A lost path says nothing about the servers: another entry VM may reach them.
 * So what fails while the path is in doubt doesn't count against its server
 * until the path is known to work. Where connections fail, only one that opens
 * later shows that: open ones may live on while new ones are refused.
 *
 * Times are monotonic milliseconds. One struct per service and process;
 * initially all zero.
 */
#ifndef SAS_PATH_H
#define SAS_PATH_H

#include <stdbool.h>
#include <stdint.h>

/* Different servers that can't be reached before the path counts as lost; all
 * of them, if the service has fewer. */
#define SasPath_LOST_SERVERS 2

/* Least time without a sign of any server before the path counts as lost. When
 * some servers crash at the same moment, another one answers within it. */
#define SasPath_LOST_MS 300

/* Between two probes of a path that is lost or in doubt. */
#define SasPath_PROBE_MS 500

struct sas_path {
    bool lost;
    bool unanswered;       /* a request got no answer since the last one */
    int64_t failing_since; /* begin of the first connection that failed since
                              one has opened; 0: none has */
    int64_t silent_since;  /* the same since the last answer; 0: none has */
    uint64_t failed[SasPath_LOST_SERVERS]; /* hashes of different servers,
                                              since the last answer */
    int failed_count;
    int64_t probed_at; /* 0: never */
};

/* A server of the service answered on a connection that began to open at
 * began_at, or accepted a probe connection. True if that restores the path. */
bool SasPath_NoteReached(struct sas_path *path, int64_t began_at);

/* A request that was sent got no answer. */
void SasPath_NoteUnanswered(struct sas_path *path);

/* A connection to a server, which began to open at began_at, failed. servers:
 * those that the service has. True if the path is lost with it. */
bool SasPath_NoteUnreachable(struct sas_path *path, uint64_t server_hash,
                             int servers, int64_t began_at, int64_t now_ms);

/* Whether connections fail and no server has answered for SasPath_LOST_MS;
 * also true while the path is lost. */
bool SasPath_IsFailing(const struct sas_path *path, int64_t now_ms);

/* Whether the path may be lost, by what has failed. */
bool SasPath_IsInDoubt(const struct sas_path *path);

/* Whether a probe is due: the path is lost or in doubt. Begins its interval.
 */
bool SasPath_TakeProbe(struct sas_path *path, int64_t now_ms);

#endif
