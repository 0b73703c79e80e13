/* internal - the state of the peer task, shared by its modules.
 *
 * connection.c: a socket with its record marking and session. call.c: pending
 * calls. gossip.c: rounds, extra rounds and config fetches. peer.c: the task
 * and the answers to calls of peers.
 */
#ifndef SAS_PEER_INTERNAL_H
#define SAS_PEER_INTERNAL_H

#include "sas/peer.h"
#include "sas/record.h"

#define SasPeer_HELLO_XID 1 /* the xids of calls are above it */

enum sas_connection_state {
    SAS_CONNECTION_CONNECTING,
    SAS_CONNECTION_HELLO, /* the peer is not authenticated yet */
    SAS_CONNECTION_OPEN,
    SAS_CONNECTION_CLOSED
};

struct sas_connection {
    uv_tcp_t tcp;
    struct sas_peer *peer;
    int member_id; /* SasModel_NONE until an accepted one is authenticated */
    bool outgoing;
    bool verified; /* a call that belongs to this session arrived */
    enum sas_connection_state state;
    struct sas_record_reader reader;
    struct sas_proto_session session;
    uint64_t remote_incarnation;
    uint32_t last_xid; /* highest xid of a call on it */
    int64_t opened_ms;
    int64_t received_ms; /* last record */
    uint64_t received;   /* number of records */
    uint8_t address[16]; /* of the peer */
};

/* Outgoing connections and calls to one member. */
struct sas_peer_link {
    struct sas_connection *current; /* new calls go here */
    struct sas_connection *stalled; /* kept until current is open */
    uint64_t stalled_received;      /* its records when it stalled */
    int64_t retry_ms;               /* no new connection before then */
    int failures;                   /* connects in a row without success */
    GQueue calls;                   /* struct sas_call, by age */
};

struct sas_call {
    uint32_t xid;
    int member_id;
    uint32_t procedure;
    uint8_t *body;
    size_t body_size;
    int64_t deadline_ms;
    struct sas_connection *connection; /* on which it was sent, or NULL */
    uint64_t received; /* records on it before the call was sent */
    SasPeer_AnswerFn *callback;
    void *context;
};

struct sas_peer {
    uv_loop_t *loop;
    const struct sas_model *model;
    struct sas_peer_handler *handler;
    struct sas_peer_options options;
    struct sas_proto_key *key;
    int own_id;
    uint64_t incarnation;
    struct sas_membership membership;
    uint64_t counters[SAS_PEER_COUNTER_COUNT];

    uv_tcp_t listener;
    uv_timer_t tick;
    uv_timer_t round;
    uv_timer_t rumor; /* extra gossip round */
    int open_handles;
    bool closing;
    void (*done)(void *context);
    void *done_context;
    char read_buffer[65536];

    struct sas_peer_link *links; /* by member id */
    GPtrArray *accepted;         /* struct sas_connection */
    GHashTable *calls;           /* xid to struct sas_call */
    uint32_t last_xid;

    uint64_t own_version; /* config version of the last own gossip */
    double rumor_tokens;  /* token bucket of extra rounds */
    int64_t rumor_refill_ms;
    bool rumor_waiting;
    int fetching_from[SasPeer_MAX_FETCHES]; /* SasModel_NONE: unused */
};

/* peer.c */
void SasPeer_Count(struct sas_peer *peer, enum sas_peer_counter counter);
void SasPeer_OnHandleClosed(struct sas_peer *peer);
void SasPeer_OnOpened(struct sas_connection *connection);
void SasPeer_OnCall(struct sas_connection *connection,
                    struct sas_proto_message *message);
void SasPeer_OnConnectionClosed(struct sas_connection *connection);

/* connection.c */
struct sas_connection *SasConnection_Connect(struct sas_peer *peer,
                                             int member_id);
void SasConnection_Accept(struct sas_peer *peer);
/* Counts the reason. The memory is freed when libuv has closed the handle. */
void SasConnection_Close(struct sas_connection *connection,
                         enum sas_peer_counter reason);
/* Sets the identity of the message and sends it. */
int SasConnection_Send(struct sas_connection *connection,
                       struct sas_proto_message *message,
                       struct sas_error *error);
/* Closes it at the timeout of HELLO, or when it is idle for too long; is_used:
 * a call on it is pending. */
void SasConnection_CheckTimeout(struct sas_connection *connection,
                                int64_t now_ms, bool is_used);
int SasConnection_ParseAddress(const struct sas_address *address,
                               struct sockaddr_storage *parsed);

/* call.c */
int SasCall_Start(struct sas_peer *peer, int member_id, uint32_t procedure,
                  const union sas_proto_body *body, int64_t timeout_ms,
                  SasPeer_AnswerFn *callback, void *context,
                  struct sas_error *error);
void SasCall_SendPending(struct sas_peer *peer, int member_id);
void SasCall_HandleReply(struct sas_connection *connection,
                         struct sas_proto_message *message);
void SasCall_FailConnection(struct sas_connection *connection);
void SasCall_CheckDeadlines(struct sas_peer *peer, int64_t now_ms);
void SasCall_FailAll(struct sas_peer *peer);
bool SasCall_HasPending(const struct sas_peer_link *link,
                        const struct sas_connection *connection);

/* gossip.c */
void SasGossip_Start(struct sas_peer *peer);
void SasGossip_Stop(struct sas_peer *peer);
/* Applies a peer's gossip, fetches a higher configuration from that peer and
 * starts an extra round for what is new. */
void SasGossip_Apply(struct sas_peer *peer, int member_id,
                     const struct sas_rpc_gossip *gossip);
/* The own gossip; members holds SasMembership_DIGEST_MEMBERS rows. */
void SasGossip_Fill(struct sas_peer *peer, struct sas_rpc_gossip *gossip,
                    struct sas_rpc_member *members);
void SasGossip_ApplyQuarantines(struct sas_peer *peer, int member_id,
                                const struct sas_rpc_quarantine_list *list);
void SasGossip_ApplyLeaving(struct sas_peer *peer, int member_id,
                            const struct sas_rpc_leaving *leaving);

#endif
