/* peer - the task that owns the sockets between entry VMs.
 *
 * It listens for calls, keeps one outgoing connection to each peer that it
 * calls, gossips with random peers each round and fetches a configuration from
 * a peer that has a higher version. Everything runs on one libuv loop; handler
 * and callbacks are called on it and must not block.
 *
 * The owner embeds a struct sas_peer_handler as the first member of its own
 * struct. A NULL function refuses the call. Memory that a handler puts into a
 * message belongs to the owner and must stay valid until the next call into
 * the handler; what a handler receives is valid during the call only.
 *
 * A call is answered at most once: by the incarnation of the peer to which it
 * was sent, on the connection on which it was sent, before its timeout. All
 * other answers are dropped and counted. Errors of a call:
 *   SAS_EUNAVAILABLE  no byte of it was sent
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

#define SasPeer_MAX_CALLS 32             /* pending, to one peer */
#define SasPeer_MAX_QUEUED (1024 * 1024) /* unsent bytes of a connection */
#define SasPeer_CONNECTIONS_PER_MEMBER 4 /* accepted from its address */
#define SasPeer_SPARE_CONNECTIONS 64     /* accepted beyond 2 per member */
#define SasPeer_EXTRA_ROUND_FANOUT 3     /* peers in an extra round (rumor) */
#define SasPeer_EXTRA_ROUND_BURST 4      /* extra rounds without a wait */
#define SasPeer_MAX_FETCHES 2            /* pending config fetches */

struct sas_peer;

struct sas_peer_handler {
    /* Sets the own state, config version, budgets, loads and quarantines. */
    void (*fill_gossip)(struct sas_peer_handler *handler,
                        struct sas_rpc_gossip *gossip);
    /* True if it contains something new, which starts an extra round. */
    bool (*on_gossip)(struct sas_peer_handler *handler, int member_id,
                      const struct sas_rpc_gossip *gossip);
    /* Sets the configuration in force if its version is higher than `have`. */
    int (*get_config)(struct sas_peer_handler *handler, uint64_t have,
                      struct sas_rpc_config *config);
    /* True if the configuration was adopted. */
    bool (*on_config)(struct sas_peer_handler *handler, int member_id,
                      const struct sas_rpc_config *config);
    /* Returns the units lent, 0 for none; the lender must have lowered its
     * share before. */
    uint64_t (*on_borrow)(struct sas_peer_handler *handler, int member_id,
                          const struct sas_rpc_borrow *borrow);
    int (*on_return)(struct sas_peer_handler *handler, int member_id,
                     const struct sas_rpc_loan_return *back);
    /* Leaves those rows in the list of which no loan of the member is held
     * here. */
    void (*on_disown)(struct sas_peer_handler *handler, int member_id,
                      struct sas_rpc_disown_list *rows);
    /* True if an entry is new here. */
    bool (*on_quarantines)(struct sas_peer_handler *handler, int member_id,
                           const struct sas_rpc_quarantine *entries,
                           int count);
    bool (*on_leaving)(struct sas_peer_handler *handler, int member_id,
                       const struct sas_rpc_leaving *leaving);
};

struct sas_peer_options {
    int listen_fd; /* bound socket, taken over; -1: bind the model's address */
    GRand *random; /* the owner's; must outlive the peer task */
    int64_t interval_ms;      /* between rounds; 0: by the number of members */
    int64_t call_timeout_ms;  /* gossip and fetches */
    int64_t hello_timeout_ms; /* until a connection is authenticated */
    int64_t idle_timeout_ms;
};

/* One counter for each reason. */
enum sas_peer_counter {
    SAS_PEER_ACCEPTED,
    SAS_PEER_REFUSED_ADDRESS, /* not the address of any member */
    SAS_PEER_REFUSED_LIMIT,   /* too many connections */
    SAS_PEER_BAD_RECORD,      /* too long or too many fragments */
    SAS_PEER_BAD_DIGEST,
    SAS_PEER_BAD_MESSAGE,
    SAS_PEER_BAD_IDENTITY, /* for another receiver, or from another sender */
    SAS_PEER_REPLAYED,     /* xid not higher than the last one */
    SAS_PEER_OLD_INCARNATION,
    SAS_PEER_HELLO_TIMEOUT,
    SAS_PEER_IDLE_CLOSED,
    SAS_PEER_QUEUE_FULL,
    SAS_PEER_SUPERSEDED, /* closed for a newer connection of that member */
    SAS_PEER_CONNECTED,
    SAS_PEER_CONNECT_FAILED,
    SAS_PEER_CONNECTION_LOST,
    SAS_PEER_CONNECTION_SILENT, /* stalled, while a new one works */
    SAS_PEER_CALLS,
    SAS_PEER_CALLS_REFUSED_LIMIT,
    SAS_PEER_CALLS_REFUSED_BACKOFF,
    SAS_PEER_CALLS_UNSENT,
    SAS_PEER_CALLS_LOST, /* connection ended before the answer */
    SAS_PEER_CALLS_TIMEOUT,
    SAS_PEER_ANSWERS,
    SAS_PEER_REPLIES_LATE, /* no call is pending for them */
    SAS_PEER_ANSWERS_REFUSED,
    SAS_PEER_SERVED,
    SAS_PEER_ROUNDS,
    SAS_PEER_EXTRA_ROUNDS,
    SAS_PEER_EXTRA_ROUNDS_HELD, /* left to the next round by the rate limit */
    SAS_PEER_FETCHES,
    SAS_PEER_CONFIGS_TAKEN,
    SAS_PEER_BYTES_IN,
    SAS_PEER_BYTES_OUT,
    SAS_PEER_COUNTER_COUNT
};

/* The answer to a call; error is NULL on success, else body is NULL. */
typedef void SasPeer_AnswerFn(void *context, const struct sas_error *error,
                              const union sas_proto_body *body);

/* Sets defaults. The caller still has to set random. */
void SasPeer_InitOptions(struct sas_peer_options *options);

/* Starts the task. The incarnation must be higher than that of every earlier
 * process of this member, for example the wall clock at the start. Peers that
 * know a higher one refuse this process, which then finds it in
 * SasPeer_GetMembership(peer)->newer_incarnation: the process was paused and
 * has to stop, or it has just started after the clock went back and may open
 * again with a higher incarnation. The process has to ignore SIGPIPE. After a
 * failure the loop has to run once more, which releases the handles. */
int SasPeer_Open(struct sas_peer **peer, uv_loop_t *loop,
                 const struct sas_model *model, int own_id, const uint8_t *key,
                 size_t key_size, uint64_t incarnation,
                 struct sas_peer_handler *handler,
                 const struct sas_peer_options *options,
                 struct sas_error *error);

/* Ends the task: pending calls fail, `done` runs when its memory is freed. */
void SasPeer_Close(struct sas_peer *peer, void (*done)(void *context),
                   void *context);

/* State. GetNow is the clock of the task and of its membership table; it also
 * runs while the VM is suspended (CLOCK_BOOTTIME). */
int64_t SasPeer_GetNow(void);
const struct sas_membership *
SasPeer_GetMembership(const struct sas_peer *peer);
uint64_t SasPeer_GetCounter(const struct sas_peer *peer,
                            enum sas_peer_counter counter);
const char *SasPeer_GetCounterName(enum sas_peer_counter counter);

/* Calls. 0: the callback will run exactly once; -1: it won't. timeout_ms 0:
 * that of the options. */
int SasPeer_CallGossip(struct sas_peer *peer, int member_id,
                       int64_t timeout_ms, SasPeer_AnswerFn *callback,
                       void *context, struct sas_error *error);
int SasPeer_CallConfig(struct sas_peer *peer, int member_id, uint64_t have,
                       int64_t timeout_ms, SasPeer_AnswerFn *callback,
                       void *context, struct sas_error *error);
int SasPeer_CallBorrow(struct sas_peer *peer, int member_id,
                       const struct sas_rpc_borrow *borrow, int64_t timeout_ms,
                       SasPeer_AnswerFn *callback, void *context,
                       struct sas_error *error);
int SasPeer_CallReturn(struct sas_peer *peer, int member_id,
                       const struct sas_rpc_loan_return *back,
                       int64_t timeout_ms, SasPeer_AnswerFn *callback,
                       void *context, struct sas_error *error);

int SasPeer_CallDisown(struct sas_peer *peer, int member_id,
                       const struct sas_rpc_disown_list *rows,
                       int64_t timeout_ms, SasPeer_AnswerFn *callback,
                       void *context, struct sas_error *error);

/* The own gossip changed, for example by a new configuration: starts an extra
 * round with a few random peers, which pass it on. */
void SasPeer_GossipSoon(struct sas_peer *peer);

/* Sends to a few random peers at once, which pass on what is new to them.
 * SetLeaving also marks the own member as leaving for good. */
void SasPeer_SendQuarantines(struct sas_peer *peer,
                             const struct sas_rpc_quarantine *entries,
                             int count);
void SasPeer_SendLeaving(struct sas_peer *peer,
                         const struct sas_rpc_leaving_backend *backends,
                         int count);
void SasPeer_SetLeaving(struct sas_peer *peer);

#endif
