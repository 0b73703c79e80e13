/* exchange - pings to other entry VMs that wait for an answer.
 *
 * Datagrams get lost, so a ping is sent SasExchange_TRIES times before it
 * counts as timed out. Two timeouts in a row make a member suspected
 * (sas/membership.h): with SasExchange_REPLY_MS that is 1.8 s after the first
 * ping. On links that lose 10% of the packets, six pings in a row stay without
 * an answer in 5 of 100,000 cases.
 *
 * Times are milliseconds of one monotonic clock.
 */
#ifndef SAS_EXCHANGE_H
#define SAS_EXCHANGE_H

#include <stdbool.h>
#include <stdint.h>

/* The round trip between regions takes 40 ms; a VM that has used up its CPU
 * quota stalls for 100 ms. */
#define SasExchange_REPLY_MS 300
#define SasExchange_TRIES 3
#define SasExchange_MAX 16 /* pending pings; further ones aren't tracked */

struct sas_exchange {
    int seat;
    int tries;
    int64_t sent_at;
};

struct sas_exchanges {
    struct sas_exchange rows[SasExchange_MAX];
    int count;
};

void SasExchange_Init(struct sas_exchanges *exchanges);

/* A ping was sent to the member. No effect while an earlier one is pending. */
void SasExchange_Begin(struct sas_exchanges *exchanges, int member_id,
                       int64_t now_ms);

/* A message arrived from the member: its ping is answered. */
void SasExchange_End(struct sas_exchanges *exchanges, int member_id);

/* Gives the next ping without an answer for SasExchange_REPLY_MS; false if
 * there is none. Call it until it returns false. silent: no send was answered,
 * the ping has timed out and is removed. Otherwise send it once more. */
struct sas_exchange_due {
    int seat;
    bool silent;
};

bool SasExchange_Next(struct sas_exchanges *exchanges, int64_t now_ms,
                      struct sas_exchange_due *due);

#endif
