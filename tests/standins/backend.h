/* backend - stand-in for many backend servers in one process.
 *
 * Each server listens on its own port of 127.0.0.1, has slots, a short queue
 * and a bound on connections, states its load, and shows the faults that a
 * request's query or the control listener asks for (see backend.c for the
 * list). All of it runs on one libuv loop; nothing is thread-safe.
 *
 * backend_server.c admits, runs and ends requests; backend_http.c reads and
 * writes HTTP; backend_control.c serves counts and settings.
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
#define MAX_JOURNAL 200000

enum report_mode {
    REPORT_HONEST, /* the true load, report_late_ms ago */
    REPORT_ZERO,   /* always idle */
    REPORT_RANDOM  /* any number up to twice the slots */
};

enum service_shape {
    SERVICE_FIXED,
    SERVICE_EXPONENTIAL,
    SERVICE_LOGNORMAL
};

/* What a server is like; all of it may change while it runs. */
struct settings {
    int slots;
    int connections;
    int queue;
    double delay_ms; /* one way */
    double probe_ms; /* more on each probe */
    double slow;     /* factor on service times */
    double cold_s;   /* length of the cold start */
    double cold_factor;
    enum report_mode report;
    double report_late_ms;
    bool leaving;
    bool refuse; /* the port is closed to new connections */
    bool echo;   /* answers name their request by Sas-Request-Id */
};

struct counts {
    int64_t accepted;  /* connections */
    int64_t refused;   /* connections over the bound */
    int64_t probes;    /* GET /v1/load */
    int64_t started;   /* got a slot */
    int64_t finished;  /* ran to their end */
    int64_t cancelled; /* started, then given up: caller gone or deadline */
    int64_t crashed;   /* started, then lost in a crash */
    int64_t dropped;   /* given up before they got a slot */
    int64_t shed;      /* refused with 503 and Sas-Outcome: not-run */
};

struct sample { /* the load from this time on */
    int64_t at_ms;
    int running;
    int queued;
};

struct server {
    struct app *app;
    char *name;
    int port;
    uv_tcp_t *listener; /* bound; listens only while is_open */
    bool is_open;
    uv_timer_t restart_timer;
    int incarnation;
    int64_t born_ms;
    struct settings settings;
    struct counts counts;
    int running;
    GQueue queue;          /* struct request, waiting for a slot */
    GHashTable *connected; /* set of struct connection */
    GHashTable *runners;   /* set of struct request, running */
    struct sample samples[MAX_SAMPLES];
    int64_t sample_count;
};

struct app {
    uv_loop_t loop;
    GRand *random;
    GPtrArray *servers;
    uv_tcp_t *control;
    int64_t started_at; /* names this process in incarnations */
    enum service_shape shape;
    double mean_ms;
    double sigma;
    GHashTable *journal; /* key to struct counts */
    GQueue journal_keys; /* oldest first */
    int64_t journal_lost;
    int peak; /* most requests running and queued on all servers together */
    char read_buffer[READ_SIZE];
    struct counts unnamed; /* requests without a key */
};

enum phase {
    PHASE_READING,
    PHASE_ARRIVING, /* on its way for delay_ms */
    PHASE_QUEUED,
    PHASE_RUNNING,
    PHASE_ANSWERING, /* the answer is on its way for delay_ms */
};

enum ending {
    END_KEEP,  /* the connection stays open */
    END_CLOSE, /* closed after the answer */
    END_RESET, /* reset in place of an answer */
    END_LATE   /* stays open, and more bytes follow later */
};

struct request {
    uv_timer_t timer;
    struct server *server;         /* NULL: a request to the control */
    struct connection *connection; /* NULL once that has closed */
    enum phase phase;
    enum http_method method;
    bool keep_alive;
    bool is_first; /* on its connection */
    GString *target;
    GHashTable *headers; /* lower-case name to value */
    GString *header_name;
    GString *header_value;
    bool has_value; /* header_value belongs to header_name already */
    GString *body;  /* of a request to the control */
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
    struct server *server;   /* NULL: a connection to the control */
    struct request *request; /* being read or served, or NULL */
    GByteArray *pending;     /* read while a request is served */
    int request_count;
    bool is_silent; /* its bytes reach nobody, in either direction */
    bool is_closing;
};

/* backend_server.c */
struct server *Server_Create(struct app *app, const char *name,
                             const struct settings *settings);
void Server_Open(struct server *server);   /* listens; same port again */
void Server_Refuse(struct server *server); /* keeps port and connections */
void Server_Crash(struct server *server, int64_t restart_ms);
void Server_SilenceConnections(struct server *server);
void Server_Admit(struct request *request);  /* a whole request was read */
void Server_Forget(struct request *request); /* its connection has closed */
void Server_DeliverLater(struct request *request, double ms);
void Server_AddLoad(struct server *server, GString *text, bool as_json);
struct counts *Journal_Get(struct app *app, const struct request *request);

/* backend_http.c */
uv_tcp_t *Http_Bind(struct app *app, int *port);
/* A NULL server: the control. */
int Http_Listen(uv_tcp_t *listener, struct server *server);
void Http_CloseConnection(struct connection *connection, bool reset);
void Http_Deliver(struct request *request); /* writes request->answer */
void Http_FreeRequest(struct request *request);
const char *Http_GetHeader(const struct request *request, const char *name);
/* The text of a parameter in the target's query; the caller frees it. */
char *Http_GetParameter(const struct request *request, const char *name);
double Http_GetNumber(const struct request *request, const char *name,
                      double otherwise);
/* Makes request->answer from its parts. */
void Http_SetAnswer(struct request *request, int status, const char *headers,
                    const char *body, gsize length);

/* backend_control.c */
void Control_Serve(struct request *request);

#endif
