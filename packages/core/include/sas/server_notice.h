/* server_notice - what a backend server has said of itself in its answers to
 * this entry VM: that it is leaving, and that it wants no requests for a
 * while, a pause.
 *
 * Both hold for the process that has said it, whatever its row says: the row
 * may be many seconds older. A server that is leaving stays so. A pause is
 * asked of one entry VM and isn't shared with the others; it lasts as long as
 * any answer has asked for. At its end the server is half-open: it gets one
 * request at a time until an answer asks for no pause, since all entry VMs
 * that were told come back at about the same time.
 *
 * Times are monotonic milliseconds.
 */
#ifndef SAS_SERVER_NOTICE_H
#define SAS_SERVER_NOTICE_H

#include <stdbool.h>
#include <stdint.h>

/* A longer pause is cut to this. */
#define SasServerNotice_MAX_PAUSE_MS (60 * 60 * 1000)

/* A pause of a length that can't be read. */
#define SasServerNotice_DEFAULT_PAUSE_MS 1000

/* Time until a half-open server gets another request if the answer to the last
 * one has not come. */
#define SasServerNotice_PROBE_MS 1000

struct sas_server_notice {
    bool leaving;
    bool paused; /* until an answer after paused_until asks for no pause */
    int64_t paused_until;
    int64_t probed_at; /* last request after paused_until; 0: none */
};

/* Parses the value of a Retry-After field: seconds, which may have a fraction.
 * Returns milliseconds, at most MAX_PAUSE_MS, 0 if none are asked for; -1 if
 * it is no such number, as with a date. */
int64_t SasServerNotice_ParsePause(const char *text);

/* An answer says that the server is leaving. True if none had before. */
bool SasServerNotice_SetLeaving(struct sas_server_notice *notice);

/* An answer asks for a pause, or for none. NotePause returns true if the
 * server was not paused, NoteAnswer if its pause is over with this answer. */
bool SasServerNotice_NotePause(struct sas_server_notice *notice,
                               int64_t pause_ms, int64_t now_ms);
bool SasServerNotice_NoteAnswer(struct sas_server_notice *notice,
                                int64_t now_ms);

/* Time until a request may be sent to a server that isn't leaving; 0: now. */
int64_t SasServerNotice_GetWaitMs(const struct sas_server_notice *notice,
                                  int64_t now_ms);

/* A request is sent to the server. */
void SasServerNotice_NoteSent(struct sas_server_notice *notice,
                              int64_t now_ms);

#endif
