/* backend - stand-in for many backend servers in one process.
 *
 * Each server listens on its own port of 127.0.0.1, has slots, a short queue
 * and a connection limit, reports its load, and injects the faults that a
 * request's query or the control port asks for (listed in backend.c).
 * Everything runs on one libuv loop; nothing is thread-safe.
 *
 * backend_server.c admits, runs and finishes requests; backend_http.c reads
 * and writes HTTP; backend_control.c serves the control port.
 */
#ifndef BACKEND_H
#define BACKEND_H

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>
#include <inttypes.h>
#include <uv.h>
#include <xxhash.h>

#define READ_SIZE 65536
#define MAX_SAMPLES 4096
#define MAX_KEYS 200000 /* the oldest is evicted */

enum report_mode {
    REPORT_HONEST, /* the true load, as of report_late_ms ago */
    REPORT_ZERO,   /* always idle */
    REPORT_RANDOM  /* uniform from 0 to twice the slots */
};

enum service_distribution {
    SERVICE_FIXED,
    SERVICE_EXPONENTIAL,
    SERVICE_LOGNORMAL
};

/* Settings of a server; all of them may change while it runs. */
struct settings {
    int slots;
    int connections;
    int queue;
    double delay_ms;    /* simulated network delay, one way */
    double probe_ms;    /* added to each probe's answer */
    double slow;        /* factor on service times */
    double cold_s;      /* length of the cold start */
    double cold_factor; /* factor on service times during it */
    enum report_mode report;
    double report_late_ms;
    bool leaving;
    bool refuse; /* refuses new connections, keeps the open ones */
    bool echo;   /* answers repeat the request's Sas-Request-Id */
};

struct counts {
    int64_t accepted;  /* connections */
    int64_t refused;   /* connections over the limit */
    int64_t probes;    /* GET /v1/load */
    int64_t started;   /* requests that got a slot */
    int64_t finished;  /* ran to completion */
    int64_t cancelled; /* started; caller disconnected or deadline passed */
    int64_t crashed;   /* started, then lost in a crash */
    int64_t dropped;   /* caller disconnected before they got a slot */
    int64_t shed;      /* refused with 503 and Sas-Outcome: not-run */
};

struct sample { /* the load from at_ms until the next sample */
    int64_t at_ms;
    int running;
    int queued;
};

struct server {
    struct app *app;
    char *name;
    int port;
    uv_tcp_t *listener; /* always bound; listens only while is_open */
    bool is_open;
    uv_timer_t restart_timer;
    int incarnation;
    int64_t started_ms; /* loop time of the last start; 0 after a crash */
    struct settings settings;
    struct counts counts;
    int running;
    GQueue queue;                 /* struct request, waiting for a slot */
    GHashTable *connected;        /* set of struct connection */
    GHashTable *running_requests; /* set of struct request that hold a slot */
    struct sample samples[MAX_SAMPLES]; /* ring */
    int64_t sample_count;               /* ever recorded */
};

struct app {
    uv_loop_t loop;
    GRand *random;
    GPtrArray *servers;
    uv_tcp_t *control;
    int64_t started_at; /* us since 1970; part of the incarnations */
    enum service_distribution distribution;
    double mean_ms;         /* of service times */
    double sigma;           /* of the lognormal distribution */
    GHashTable *key_counts; /* key to struct counts */
    GQueue key_order;       /* oldest first */
    int64_t keys_lost;      /* evicted */
    int peak; /* maximum of running and queued on all servers together */
    char read_buffer[READ_SIZE];
    struct counts unkeyed; /* requests without a key */
};

enum phase {
    PHASE_READING,
    PHASE_ARRIVING, /* network delay before the server gets it */
    PHASE_QUEUED,
    PHASE_RUNNING,
    PHASE_ANSWERING, /* delay before the answer is written */
};

/* What happens to the connection at the end of a request. */
enum ending {
    END_KEEP,  /* it stays open */
    END_CLOSE, /* closed after the answer */
    END_RESET, /* reset instead of an answer */
    END_EXTRA  /* stays open; an unsolicited second answer follows */
};

struct request {
    uv_timer_t timer;
    struct server *server;         /* NULL for the control port */
    struct connection *connection; /* NULL once closed */
    enum phase phase;
    enum http_method method;
    bool keep_alive;
    bool is_first; /* on its connection */
    GString *target;
    GHashTable *headers; /* lower-case name to value */
    GString *header_name;
    GString *header_value;
    bool has_value; /* header_value holds bytes for header_name */
    GString *body;  /* only of requests to the control port */
    XXH64_state_t *body_hash;
    int64_t body_bytes;
    int64_t deadline_at_ms; /* 0: none */
    GString *answer;
    enum ending ending;
};

struct connection {
    uv_tcp_t handle;
    http_parser parser;
    struct app *app;
    struct server *server;   /* NULL for the control port */
    struct request *request; /* being read or served, or NULL */
    GByteArray *pending;     /* received while a request is served */
    int request_count;
    bool is_stalled; /* open, but drops all bytes in both directions */
    bool is_closing;
};

/* backend_server.c */
struct server *Server_Create(struct app *app, const char *name,
                             const struct settings *settings);
/* Listens, after Server_Refuse again on the same port. */
void Server_Open(struct server *server);
/* Refuses new connections; keeps the port and the open connections. */
void Server_Refuse(struct server *server);
/* Resets all connections, fails all requests, restarts after restart_ms. */
void Server_Crash(struct server *server, int64_t restart_ms);
/* All open connections stay open and unresponsive. */
void Server_StallConnections(struct server *server);
/* A complete request was read. */
void Server_Admit(struct request *request);
/* The request's connection has closed: cancels or drops the request. */
void Server_HandleDisconnect(struct request *request);
/* Delivers request->answer after this delay. */
void Server_ScheduleDelivery(struct request *request, double ms);
/* Appends the reported load: a JSON object or a Sas-Load header line. */
void Server_AppendLoad(struct server *server, GString *text, bool as_json);
/* Counts of the request's Idempotency-Key or else Sas-Request-Id. */
struct counts *KeyCounts_Get(struct app *app, const struct request *request);

/* backend_http.c */
/* Binds 127.0.0.1:*port; 0 lets the kernel choose and stores the port. */
uv_tcp_t *Http_Bind(struct app *app, int *port);
/* server: NULL for the control port. 0 or a libuv error. */
int Http_Listen(uv_tcp_t *listener, struct server *server);
void Http_CloseConnection(struct connection *connection, bool reset);
/* Writes request->answer and ends the request by request->ending. */
void Http_Deliver(struct request *request);
void Http_FreeRequest(struct request *request);
/* Value of a header (lower-case name), or NULL. */
const char *Http_GetHeader(const struct request *request, const char *name);
/* Value of a query parameter, not decoded, or NULL; free with g_free. */
char *Http_GetParameter(const struct request *request, const char *name);
double Http_GetNumber(const struct request *request, const char *name,
                      double default_value);
/* Writes status line, headers and body to request->answer. A NULL body with
 * headers leaves out Content-Length: the caller appends a body framed in
 * another way. */
void Http_SetAnswer(struct request *request, int status, const char *headers,
                    const char *body, gsize length);

/* backend_control.c */
void Control_Serve(struct request *request);

#endif
