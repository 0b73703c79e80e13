/* One caller's connection to an http_server, both on one loop in the test's
 * thread. The test controls what the caller sends and when the handler
 * answers.
 */
#ifndef HTTP_FIXTURE_H
#define HTTP_FIXTURE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>

#include "sas/http_server.h"

#define MAX_HELD 64
#define TWO_SWEEPS_US 600000 /* over two intervals of the timeout checks */
#define LONG_MS 60000        /* a timeout that no test reaches */
#define LARGE_BODY ((size_t)12 * 1024 * 1024) /* exceeds socket buffers */

/* Keeps the exchanges of all requests, for the test to answer. */
struct fixture {
    struct sas_http_handler handler;
    uv_loop_t loop;
    struct sas_http_server *server;
    struct sas_http_exchange *held[MAX_HELD];
    int held_count;
    bool refuses_next; /* answer the next request with 503 at once */
    int abandoned;
    int closed;                              /* calls of on_closed */
    struct sas_http_close_stats close_stats; /* of the last call */
    uv_tcp_t client;
    uv_connect_t connect;
    uv_write_t write;
    GString *received;
    int end; /* libuv's code for the end of the connection; 0: open */
};

struct fixture_limits {
    size_t body_bytes;
    int64_t header_ms;
    int64_t idle_ms;      /* 0: no limit */
    size_t answers_bytes; /* 0: no limit */
    int window;           /* receive buffer of the caller, bytes; 0: default */
};

/* Starts a server and connects a caller. Stop closes both and checks that no
 * handle is left open. */
struct fixture *start(size_t body_bytes);
struct fixture *start_with(const struct fixture_limits *limits);
void stop(struct fixture *f);

/* Runs 200 iterations of the loop, 100 us apart. */
void run_loop(struct fixture *f);

/* Runs the loop until the connection has ended, for some seconds at most. */
void run_until_end(struct fixture *f);

/* Writes into the caller's socket; the server hasn't read it yet. */
void write_text(struct fixture *f, const char *text);

/* The same, then runs the loop. */
void write_and_run(struct fixture *f, const char *text);

/* Answers a kept exchange with status 200, then runs the loop. */
void reply(struct fixture *f, int number, const char *body);

/* Callbacks of the caller's stream, to resume reading after uv_read_stop. */
void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer);
void on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *data);

#endif
