/* server_limit - the request rate that a backend server takes from all entry
 * VMs together, as long as its answers name one.
 *
 * Some entry VMs of the server's region send to it, each its part of the rate:
 * the first by rank, as many as can each hold MIN_HELD requests. Each keeps a
 * token bucket; all together are filled with USED_PART of the limit and hold
 * what it allows in HELD_S seconds, and HELD_REQUESTS more. An entry VM that
 * the server has not told yet sends as before: its first answer tells it.
 *
 * An entry VM that sends nothing gets no answers, and doesn't learn that the
 * limit has ended. So each may send one request without a token now and then,
 * less often the more entry VMs there are.
 *
 * Times are monotonic milliseconds, rates requests per second.
 */
#ifndef SAS_SERVER_LIMIT_H
#define SAS_SERVER_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/* The rest is for requests that arrive in another order than they were sent,
 * and for those of entry VMs that are not told yet. */
#define SasServerLimit_USED_PART 0.85

/* What the buckets of all entry VMs hold. */
#define SasServerLimit_HELD_S 1.0
#define SasServerLimit_HELD_REQUESTS 3.0

/* Fewest requests that the bucket of a sender must hold: with less than one it
 * never sends. */
#define SasServerLimit_MIN_HELD 1.5

/* One request without tokens is sent after MIN_RETRY_MS, and this time for
 * each entry VM of the region and of a higher rank. */
#define SasServerLimit_RETRY_MS_EACH 1000
#define SasServerLimit_MIN_RETRY_MS 10000

struct sas_server_limit {
    bool named;
    double per_s;
    double tokens;
    int64_t filled_at;
    int64_t told_at; /* by the last answer, or by the last retry */
};

/* The entry VMs that may send to the server, and this one among them. */
struct sas_limit_senders {
    int count; /* of the region */
    int rank;  /* of this one, from 0, by an order on which all agree */
    bool has_share;
};

/* An answer of the server names a limit, or (Clear) none. Both return true if
 * the one before did not. */
bool SasServerLimit_Set(struct sas_server_limit *limit, double per_s,
                        int64_t now_ms);
bool SasServerLimit_Clear(struct sas_server_limit *limit);

/* Time until a request may be sent; 0: now. With no limit always 0. */
int64_t SasServerLimit_GetWaitMs(struct sas_server_limit *limit,
                                 const struct sas_limit_senders *senders,
                                 int64_t now_ms);

/* A request is sent to the server. */
void SasServerLimit_NoteSent(struct sas_server_limit *limit, int64_t now_ms);

#endif
