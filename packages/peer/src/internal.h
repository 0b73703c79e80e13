/* internal - the state of the peer task, shared by its modules.
 *
 * connection.c owns a socket with its record marking and session, call.c the
 * calls that wait for an answer, gossip.c what is said when to whom, peer.c
 * the task itself and the answers to calls of others.
 */
#ifndef SAS_PEER_INTERNAL_H
#define SAS_PEER_INTERNAL_H

#include "sas/peer.h"
#include "sas/record.h"

#define SasPeer_HELLO_XID 1 /* the xids of calls are above it */

enum sas_connection_state {
    SAS_CONNECTION_CONNECTING,
    SAS_CONNECTION_HELLO, /* the other side is not authenticated yet */
    SAS_CONNECTION_OPEN,
    SAS_CONNECTION_CLOSED
};

struct sas_connection {
    uv_tcp_t tcp;
    struct sas_peer *peer;
    int seat; /* SasModel_NONE until an accepted one is authenticated */
    bool outgoing;
    bool proven; /* a message that belongs to this session came in */
    enum sas_connection_state state;
    struct sas_record_reader reader;
    struct sas_proto_session session;
    uint64_t remote_incarnation;
    uint32_t last_xid; /* highest xid of a call on it */
    int64_t opened_ms;
    int64_t received_ms; /* last record */
    uint64_t received;   /* records */
    uint8_t address[16]; /* of the other side */
};

/* The way to one peer. */
struct sas_route {
    struct sas_connection *current; /* new calls go here */
    struct sas_connection *doubted; /* silent; kept until current is open */
    uint64_t doubted_received;      /* its records when the doubt came up */
    int64_t retry_ms;               /* no new connection before */
    int failures;
    GQueue calls; /* struct sas_call, by age */
};

struct sas_call {
    uint32_t xid;
    int seat;
    uint32_t procedure;
    uint8_t *body;
    size_t body_size;
    int64_t deadline_ms;
    struct sas_connection *connection; /* on which it went, or NULL */
    uint64_t received;                 /* on that before it was sent */
    SasPeer_AnswerFn *callback;
    void *context;
};

struct sas_peer {
    uv_loop_t *loop;
    const struct sas_model *model;
    struct sas_peer_handler *handler;
    struct sas_peer_options options;
    struct sas_proto_key *key;
    int own_seat;
    uint64_t incarnation;
    struct sas_membership membership;
    uint64_t counters[SAS_PEER_COUNTER_COUNT];

    uv_tcp_t listener;
    uv_timer_t tick;
    uv_timer_t round;
    uv_timer_t rumor;
    int open_handles;
    bool closing;
    void (*done)(void *context);
    void *done_context;
    char read_buffer[65536];

    struct sas_route *routes; /* by seat */
    GPtrArray *accepted;      /* struct sas_connection */
    GHashTable *calls;        /* xid to struct sas_call */
    uint32_t last_xid;

    uint64_t own_version; /* as last filled in */
    double rumor_tokens;
    int64_t rumor_refill_ms;
    bool rumor_waiting;
    int fetch_seats[SasPeer_MAX_FETCHES]; /* SasModel_NONE is free */
};

/* peer.c */
void SasPeer_Count(struct sas_peer *peer, enum sas_peer_counter counter);
void SasPeer_OnHandleClosed(struct sas_peer *peer);
void SasPeer_OnOpened(struct sas_connection *connection);
void SasPeer_OnCall(struct sas_connection *connection,
                    struct sas_proto_message *message);
void SasPeer_OnConnectionClosed(struct sas_connection *connection);

/* connection.c */
struct sas_connection *SasConnection_Connect(struct sas_peer *peer, int seat);
void SasConnection_Accept(struct sas_peer *peer);
/* The counter says why. The memory goes when libuv lets go of the handle. */
void SasConnection_Close(struct sas_connection *connection,
                         enum sas_peer_counter reason);
/* Fills in the identity and sends. */
int SasConnection_Send(struct sas_connection *connection,
                       struct sas_proto_message *message,
                       struct sas_error *error);
void SasConnection_CheckTimeout(struct sas_connection *connection,
                                int64_t now_ms, bool is_used);
int SasConnection_ParseAddress(const struct sas_address *address,
                               struct sockaddr_storage *parsed);

/* call.c */
int SasCall_Start(struct sas_peer *peer, int seat, uint32_t procedure,
                  const union sas_proto_body *body, int64_t timeout_ms,
                  SasPeer_AnswerFn *callback, void *context,
                  struct sas_error *error);
void SasCall_SendWaiting(struct sas_peer *peer, int seat);
void SasCall_TakeReply(struct sas_connection *connection,
                       struct sas_proto_message *message);
void SasCall_FailConnection(struct sas_connection *connection);
void SasCall_CheckDeadlines(struct sas_peer *peer, int64_t now_ms);
void SasCall_FailAll(struct sas_peer *peer);
bool SasCall_IsWaiting(const struct sas_route *route,
                       const struct sas_connection *connection);

/* gossip.c */
void SasGossip_Start(struct sas_peer *peer);
void SasGossip_Stop(struct sas_peer *peer);
/* Merges what a peer said and passes on what is new. */
void SasGossip_Take(struct sas_peer *peer, int seat,
                    const struct sas_rpc_gossip *gossip);
/* The own gossip; seats is room for SasMembership_DIGEST_SEATS. */
void SasGossip_Fill(struct sas_peer *peer, struct sas_rpc_gossip *gossip,
                    struct sas_rpc_seat *seats);
void SasGossip_TakeQuarantines(struct sas_peer *peer, int seat,
                               const struct sas_rpc_quarantine_list *list);
void SasGossip_TakeLeaving(struct sas_peer *peer, int seat,
                           const struct sas_rpc_leaving *leaving);

#endif
