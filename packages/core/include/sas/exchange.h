/* exchange - questions to other entry VMs that wait for a reply.
 *
 * A datagram may be lost, so a question is sent SasExchange_TRIES times before
 * its silence counts. sas/membership.h says what silence means: two in a row
 * raise a doubt. With SasExchange_REPLY_MS that is 1.8 s after the first
 * question; on links that lose a tenth of the packets, six exchanges lost in a
 * row are 5 in 100,000.
 *
 * Times are milliseconds of one monotonic clock.
 */
#ifndef SAS_EXCHANGE_H
#define SAS_EXCHANGE_H

#include <stdbool.h>
#include <stdint.h>

/* The way there and back takes 40 ms between regions; a VM whose share of the
 * processor is used up stands for a tenth of a second. */
#define SasExchange_REPLY_MS 300
#define SasExchange_TRIES 3
#define SasExchange_MAX 16 /* at the same time; further ones are forgotten */

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

/* The first question has been sent to the seat; nothing where one waits. */
void SasExchange_Begin(struct sas_exchanges *exchanges, int seat,
                       int64_t now_ms);

/* Something came from the seat. */
void SasExchange_End(struct sas_exchanges *exchanges, int seat);

/* What is due, one after the other; false: nothing. With silent the seat has
 * not replied to any of the tries and waits no more, else the question is to
 * be sent once more. */
struct sas_exchange_due {
    int seat;
    bool silent;
};

bool SasExchange_Next(struct sas_exchanges *exchanges, int64_t now_ms,
                      struct sas_exchange_due *due);

#endif
