/* http_server_conn - one caller's connection to an HTTP server: its exchanges
 * in order, reading and writing. Private to http_server.c, http_exchange.c and
 * http_server_conn.c.
 */
#ifndef SAS_HTTP_SERVER_CONN_H
#define SAS_HTTP_SERVER_CONN_H

#include <glib.h>
#include <http_parser.h>

#include "read_ahead.h"
#include "sas/http_server.h"

enum connection_state {
    CONNECTION_OPEN,         /* requests are read and dispatched */
    CONNECTION_LAST_REQUEST, /* no more requests are read */
    CONNECTION_LAST_ANSWER,  /* the closing answer is being sent */
    CONNECTION_LINGERING,    /* it is sent; input is discarded until the caller
                                closes or a timeout (LINGER_MS) expires */
    CONNECTION_CLOSED
};

struct sas_http_exchange {
    struct sas_http_server_conn *connection;
    struct sas_http_exchange *next;
    struct sas_http_head head;
    char *method;
    GString *target;
    GString *body;
    int64_t began_at;
    bool keep_alive;
    bool dispatched; /* complete and passed to the handler */
    GString *answer;
    size_t headers_offset; /* in the answer, after its status line */
    void *user;
};

struct sas_http_server_conn {
    uv_tcp_t tcp;
    struct sas_http_server *server;
    struct sas_http_server_conn *previous;
    struct sas_http_server_conn *next;
    http_parser parser;
    struct sas_http_exchange *first; /* oldest whose answer isn't sent */
    struct sas_http_exchange *last;
    struct sas_http_exchange *reading; /* the one being received, or NULL */
    int64_t head_since; /* its head began to be parsed, or parsing resumed */
    int64_t read_at;    /* when the bytes being parsed were read */
    int pending;        /* exchanges from first to last */
    struct sas_read_ahead ahead; /* while too many are pending */
    int64_t active_at;
    size_t last_unsent;  /* unsent bytes at the last check of send progress */
    size_t answer_bytes; /* of answers in memory: ready, or being sent */
    enum connection_state state;
    uv_shutdown_t shutdown;
    bool caller_closed; /* end of stream; acknowledgements may be missing */
    bool parsing;     /* a buffer is being parsed; answers wait for its end */
    bool overflowed;  /* more was sent than is read ahead; it is discarded, and
                         the request at its start refused */
    int error_status; /* for the request that can't be read, or 0 */
};

struct sas_http_server {
    uv_loop_t *loop;
    uv_tcp_t listener;
    uv_timer_t sweep;
    int64_t swept_at;
    int64_t stalled_until; /* connections that came in a stall are accepted */
    uv_idle_t resume; /* active while a connection may parse what it has read
                         ahead */
    struct sas_http_server_limits limits;
    struct sas_http_handler *handler;
    struct sas_http_server_conn *connections;
    int connection_count;
    int exchange_count;
    size_t body_bytes; /* in memory: request bodies, and what was read ahead */
    size_t answer_bytes; /* in memory, of all connections */
    bool draining;
    bool closed;
    int64_t drain_idle_ms;
    int open_handles;
};

/* Whether the process has not run for a while: its sockets may hold requests
 * whose callers have given up long ago, and each would begin before the end
 * behind it is read. */
bool SasHttpServer_HasStalled(const struct sas_http_server *server);

bool SasHttpServer_HasTooManyAnswers(const struct sas_http_server *server);

/* Closes connections if their answers take too much memory, and resumes all
 * others; called by the handle of that name. */
void SasHttpServer_OnResume(uv_idle_t *resume);

/* Accepts a connection from the listener's queue. */
void SasHttpServerConn_Accept(struct sas_http_server *server);

/* Enforces the idle and header timeouts; called periodically. */
void SasHttpServerConn_Sweep(struct sas_http_server_conn *c, int64_t now_ms);

/* Parses what was read ahead, as far as few enough requests are pending. */
void SasHttpServerConn_Resume(struct sas_http_server_conn *c);

/* True if work on it is unfinished, see SasHttpServer_CountBusyConnections. */
bool SasHttpServerConn_IsBusy(const struct sas_http_server_conn *c);

/* Sends the answers that no unanswered exchange precedes. */
void SasHttpServerConn_Flush(struct sas_http_server_conn *c);

/* Closes the connection if the caller has, also behind bytes that wait in the
 * socket. True if it has. */
bool SasHttpServerConn_CloseIfLeft(struct sas_http_server_conn *c);

/* Closes the connection at once and abandons its exchanges. */
void SasHttpServerConn_Close(struct sas_http_server_conn *c,
                             enum sas_http_close_reason end);

/* Answers in memory have become more, or less; negative: less. */
void SasHttpServerConn_NoteAnswerBytes(struct sas_http_server_conn *c,
                                       ssize_t change);

/* Appends a new exchange to a connection; frees the oldest one. */
struct sas_http_exchange *SasHttpExchange_New(struct sas_http_server_conn *c);
void SasHttpExchange_FreeFirst(struct sas_http_server_conn *c);

#endif
