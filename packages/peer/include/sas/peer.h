/* peer - the task that owns the sockets between entry VMs.
 *
 * It listens for calls, keeps one connection of its own to each peer that it
 * calls, gossips with a few random peers each round and fetches a higher
 * configuration from whoever offers it. Everything runs on one libuv loop;
 * handler and callbacks are called on it and must not block.
 *
 * The owner embeds a struct sas_peer_handler as the first member of its own
 * struct. Functions that are NULL refuse the call. What a handler puts into
 * a message stays the owner's and must live until the next call into the
 * handler; what it receives is valid during the call only.
 *
 * A call is answered at most once, by that incarnation of the peer to which
 * it went, on the connection on which it went, before its timeout. All other
 * answers are dropped and counted. Errors of a call:
 *   SAS_EUNAVAILABLE  not one byte of it was sent
 *   SAS_ETIMEOUT, SAS_EIO  it may have run; the answer is lost
 *   SAS_EINVAL  the peer refused it: it did not run
 *
 * Times are milliseconds.
 */
#ifndef SAS_PEER_H
#define SAS_PEER_H

#include <glib.h>
#include <uv.h>

#include "sas/error.h"
#include "sas/membership.h"
#include "sas/model.h"
#include "sas/proto.h"

#define SasPeer_MAX_CALLS 32             /* unanswered, to one peer */
#define SasPeer_MAX_QUEUED (1024 * 1024) /* bytes, on one connection */
#define SasPeer_CONNECTIONS_PER_SEAT 4   /* accepted from its address */
#define SasPeer_SPARE_CONNECTIONS 64     /* accepted beyond 2 a seat */
#define SasPeer_RUMOR_FANOUT 3           /* peers told of a change at once */
#define SasPeer_RUMOR_BURST 4            /* rounds of that without a wait */
#define SasPeer_MAX_FETCHES 2            /* configurations asked for */

struct sas_peer;

struct sas_peer_handler {
    /* Own state, config version, budgets, loads, quarantines. */
    void (*fill_gossip)(struct sas_peer_handler *handler,
                        struct sas_rpc_gossip *gossip);
    /* True if it holds something new that others should hear at once. */
    bool (*take_gossip)(struct sas_peer_handler *handler, int seat,
                        const struct sas_rpc_gossip *gossip);
    /* The configuration in force if higher than `have`, or a delta. */
    int (*provide_config)(struct sas_peer_handler *handler, uint64_t have,
                          struct sas_rpc_config *config);
    /* True if it was adopted. */
    bool (*take_config)(struct sas_peer_handler *handler, int seat,
                        const struct sas_rpc_config *config);
    /* Units lent, 0 for none; the lender lowers its share before. */
    uint64_t (*answer_borrow)(struct sas_peer_handler *handler, int seat,
                              const struct sas_rpc_borrow *borrow);
    int (*take_return)(struct sas_peer_handler *handler, int seat,
                       const struct sas_rpc_return *back);
    /* Keeps the rows of which no loan of the seat is held here. */
    void (*answer_disown)(struct sas_peer_handler *handler, int seat,
                          struct sas_rpc_disown_list *rows);
    /* True if an entry is new here. */
    bool (*take_quarantines)(struct sas_peer_handler *handler, int seat,
                             const struct sas_rpc_quarantine *entries,
                             int count);
    bool (*take_leaving)(struct sas_peer_handler *handler, int seat,
                         const struct sas_rpc_leaving *leaving);
};

struct sas_peer_options {
    int listen_fd; /* bound socket, taken over; -1: bind the model's address */
    GRand *random; /* the owner's; must outlive the peer task */
    int64_t interval_ms;      /* between rounds; 0: from the number of seats */
    int64_t call_timeout_ms;  /* gossip and fetches */
    int64_t hello_timeout_ms; /* until a connection is authenticated */
    int64_t idle_timeout_ms;
};

/* One counter for each reason. */
enum sas_peer_counter {
    SAS_PEER_ACCEPTED,
    SAS_PEER_REFUSED_ADDRESS, /* not the address of any seat */
    SAS_PEER_REFUSED_LIMIT,   /* too many connections */
    SAS_PEER_BAD_RECORD,      /* too long or too many fragments */
    SAS_PEER_BAD_DIGEST,
    SAS_PEER_BAD_MESSAGE,
    SAS_PEER_BAD_IDENTITY, /* for another receiver, or from another sender */
    SAS_PEER_REPLAYED,     /* xid that does not rise */
    SAS_PEER_OLD_INCARNATION,
    SAS_PEER_HELLO_TIMEOUT,
    SAS_PEER_IDLE_CLOSED,
    SAS_PEER_QUEUE_FULL,
    SAS_PEER_SUPERSEDED, /* closed for a newer connection of that seat */
    SAS_PEER_CONNECTED,
    SAS_PEER_CONNECT_FAILED,
    SAS_PEER_CONNECTION_LOST,
    SAS_PEER_CONNECTION_SILENT, /* gave no answer while a new one did */
    SAS_PEER_CALLS,
    SAS_PEER_CALLS_REFUSED_LIMIT,
    SAS_PEER_CALLS_REFUSED_BACKOFF,
    SAS_PEER_CALLS_UNSENT,
    SAS_PEER_CALLS_LOST, /* connection ended before the answer */
    SAS_PEER_CALLS_TIMEOUT,
    SAS_PEER_ANSWERS,
    SAS_PEER_ANSWERS_LATE, /* nobody waits for them any more */
    SAS_PEER_ANSWERS_REFUSED,
    SAS_PEER_SERVED,
    SAS_PEER_ROUNDS,
    SAS_PEER_RUMORS,
    SAS_PEER_RUMORS_HELD, /* put off to keep the rate bounded */
    SAS_PEER_FETCHES,
    SAS_PEER_CONFIGS_TAKEN,
    SAS_PEER_BYTES_IN,
    SAS_PEER_BYTES_OUT,
    SAS_PEER_COUNTER_COUNT
};

/* The answer to a call; error is NULL on success, else body is NULL. */
typedef void SasPeer_AnswerFn(void *context, const struct sas_error *error,
                              const union sas_proto_body *body);

/* Defaults; then change what is to differ. */
void SasPeer_InitOptions(struct sas_peer_options *options);

/* Starts the task. The incarnation must be higher than that of every earlier
 * process of this seat, for example the wall clock at the start. A process
 * that others hold for an older one is refused by them and finds the newer
 * incarnation in SasPeer_GetMembership(peer)->replaced_by: it was paused and
 * has to stop, or it has just started with a clock that went back and may
 * open again above that. The process has to ignore SIGPIPE. After a failure
 * the loop has to run once more, which releases the handles. */
int SasPeer_Open(struct sas_peer **peer, uv_loop_t *loop,
                 const struct sas_model *model, int own_seat,
                 const uint8_t *key, size_t key_size, uint64_t incarnation,
                 struct sas_peer_handler *handler,
                 const struct sas_peer_options *options,
                 struct sas_error *error);

/* Ends it: pending calls fail, `done` runs when the memory is free. */
void SasPeer_Close(struct sas_peer *peer, void (*done)(void *context),
                   void *context);

/* What it knows. GetNow is its clock, which also runs while the VM sleeps;
 * times in the membership table are of this clock. */
int64_t SasPeer_GetNow(void);
const struct sas_membership *
SasPeer_GetMembership(const struct sas_peer *peer);
uint64_t SasPeer_GetCounter(const struct sas_peer *peer,
                            enum sas_peer_counter counter);
const char *SasPeer_GetCounterName(enum sas_peer_counter counter);

/* Calls. 0: the callback will run exactly once; -1: it won't. timeout_ms 0
 * is the option's. */
int SasPeer_AskGossip(struct sas_peer *peer, int seat, int64_t timeout_ms,
                      SasPeer_AnswerFn *callback, void *context,
                      struct sas_error *error);
int SasPeer_AskConfig(struct sas_peer *peer, int seat, uint64_t have,
                      int64_t timeout_ms, SasPeer_AnswerFn *callback,
                      void *context, struct sas_error *error);
int SasPeer_AskBorrow(struct sas_peer *peer, int seat,
                      const struct sas_rpc_borrow *borrow, int64_t timeout_ms,
                      SasPeer_AnswerFn *callback, void *context,
                      struct sas_error *error);
int SasPeer_AskReturn(struct sas_peer *peer, int seat,
                      const struct sas_rpc_return *back, int64_t timeout_ms,
                      SasPeer_AnswerFn *callback, void *context,
                      struct sas_error *error);

int SasPeer_AskDisown(struct sas_peer *peer, int seat,
                      const struct sas_rpc_disown_list *rows,
                      int64_t timeout_ms, SasPeer_AnswerFn *callback,
                      void *context, struct sas_error *error);

/* Something in the own gossip changed (a configuration is in force): tells
 * some peers at once, who pass it on. */
void SasPeer_NoteChange(struct sas_peer *peer);

/* Tells some peers at once, who pass on what is new to them. SetLeaving also
 * marks the own seat for good. */
void SasPeer_SendQuarantines(struct sas_peer *peer,
                             const struct sas_rpc_quarantine *entries,
                             int count);
void SasPeer_SendLeaving(struct sas_peer *peer,
                         const struct sas_rpc_leaving_backend *backends,
                         int count);
void SasPeer_SetLeaving(struct sas_peer *peer);

#endif
