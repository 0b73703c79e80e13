/* ping - pings to other entry VMs that wait for an answer.
 *
 * Datagrams get lost, so a ping is sent SasPing_MAX_SENDS times before it
 * counts as timed out. Two timeouts in a row make a member suspected
 * (sas/membership.h): with SasPing_TIMEOUT_MS that is 1.8 s after the first
 * ping. On links that lose 10% of the packets, six pings in a row stay without
 * an answer in 5 of 100,000 cases.
 *
 * Times are milliseconds of one monotonic clock.
 */
#ifndef SAS_PING_H
#define SAS_PING_H

#include <stdbool.h>
#include <stdint.h>

/* The round trip between regions takes 40 ms; a VM that has used up its CPU
 * quota stalls for 100 ms. */
#define SasPing_TIMEOUT_MS 300
#define SasPing_MAX_SENDS 3
#define SasPing_MAX 16 /* pending pings; further ones aren't tracked */

struct sas_ping {
    int member_id;
    int attempts;
    int64_t sent_at;
};

struct sas_pings {
    struct sas_ping rows[SasPing_MAX];
    int count;
};

void SasPing_Init(struct sas_pings *pings);

/* A ping was sent to the member. No effect while an earlier one is pending. */
void SasPing_Add(struct sas_pings *pings, int member_id, int64_t now_ms);

/* A message arrived from the member: its ping is answered. */
void SasPing_Remove(struct sas_pings *pings, int member_id);

/* Gives the next ping without an answer for SasPing_TIMEOUT_MS; false if
 * there is none. Call it until it returns false. timed_out: no send was
 * answered, the ping has timed out and is removed. Otherwise send it once
 * more. */
struct sas_ping_due {
    int member_id;
    bool timed_out;
};

bool SasPing_NextDue(struct sas_pings *pings, int64_t now_ms,
                     struct sas_ping_due *due);

#endif
