/* http_connection - one caller's connection to an HTTP server: its requests in
 * order, what is read and what is written. For http_server.c, http_exchange.c
 * and http_connection.c alone.
 */
#ifndef SAS_HTTP_CONNECTION_H
#define SAS_HTTP_CONNECTION_H

#include <glib.h>
#include <http_parser.h>

#include "sas/http_server.h"

enum connection_state {
    CONNECTION_OPEN,     /* requests are read and given out */
    CONNECTION_LAST,     /* its last request has been read */
    CONNECTION_ENDING,   /* the answer that closes it is being sent */
    CONNECTION_SETTLING, /* it has been sent; the caller's end is awaited */
    CONNECTION_CLOSED
};

struct sas_http_exchange {
    struct sas_http_connection *connection;
    struct sas_http_exchange *next;
    struct sas_http_head head;
    char *method;
    GString *target;
    GString *body;
    int64_t began_at;
    bool keep_alive;
    bool given; /* the handler has it */
    GString *answer;
    size_t fields_at; /* in the answer, behind its status line */
    void *user;
};

struct sas_http_connection {
    uv_tcp_t tcp;
    struct sas_http_server *server;
    struct sas_http_connection *previous;
    struct sas_http_connection *next;
    http_parser parser;
    struct sas_http_exchange *first; /* oldest request without an answer */
    struct sas_http_exchange *last;
    struct sas_http_exchange *reading; /* the one whose bytes come in */
    int64_t head_since; /* its head comes in, or comes in again */
    int pending;
    int64_t active_at;
    size_t unsent_seen; /* when it last had rested for its limit */
    enum connection_state state;
    uv_shutdown_t shutdown;
    bool caller_done; /* it has ended its side; acknowledgements may lag */
    bool parsing;     /* a buffer: its answers go out when all of it is read */
    bool paused;
    int refused; /* status for the request that could not be read, or 0 */
};

struct sas_http_server {
    uv_loop_t *loop;
    uv_tcp_t listener;
    uv_timer_t sweep;
    struct sas_http_server_limits limits;
    struct sas_http_handler *handler;
    struct sas_http_connection *connections;
    int connection_count;
    int exchange_count;
    size_t held_bytes;
    bool draining;
    bool closed;
    int64_t drain_idle_ms;
    int open_handles;
};

/* Takes a connection that waits at the listener. */
void SasHttpConnection_Accept(struct sas_http_server *server);

/* Ends what has been idle for too long or sends its head too slowly. */
void SasHttpConnection_Sweep(struct sas_http_connection *c, int64_t now_ms);

/* Whether something is still owed on it. */
bool SasHttpConnection_IsBusy(const struct sas_http_connection *c);

/* Sends the answers that are next in order. */
void SasHttpConnection_Flush(struct sas_http_connection *c);

/* Ends the connection at once, with all that is on it. */
void SasHttpConnection_Close(struct sas_http_connection *c,
                             enum sas_http_end end);

/* Exchanges of a connection: a new one behind the others, and the end of the
 * oldest. */
struct sas_http_exchange *SasHttpExchange_New(struct sas_http_connection *c);
void SasHttpExchange_FreeFirst(struct sas_http_connection *c);

#endif
