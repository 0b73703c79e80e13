/* One caller's connection to an http_server on one loop, both in the test's
 * own thread: the test says what the caller sends and when the handler
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
#define SWEEP_US 600000 /* longer than two sweeps are apart */
#define LONG_MS 60000
#define LARGE_BODY ((size_t)12 * 1024 * 1024) /* more than sockets hold */

/* Holds exchanges back until the test answers them. */
struct fixture {
    struct sas_http_handler handler;
    uv_loop_t loop;
    struct sas_http_server *server;
    struct sas_http_exchange *held[MAX_HELD];
    int held_count;
    bool refuses_next; /* the next request, as soon as it comes */
    int abandoned;
    int closed; /* connections that the server has told the end of */
    struct sas_http_leftover leftover; /* of the last one */
    uv_tcp_t client;
    uv_connect_t connect;
    uv_write_t write;
    GString *got;
    int end; /* libuv's code for the end of the connection; 0: it lasts */
};

struct fixture_limits {
    size_t body_bytes;
    int64_t header_ms;
    int64_t idle_ms; /* 0: for ever */
    int window;      /* bytes that the caller's socket takes; 0: many */
};

/* A server of its own and a caller that is connected. Stop closes both and
 * checks that nothing is left open. */
struct fixture *start(size_t body_bytes);
struct fixture *start_with(const struct fixture_limits *limits);
void stop(struct fixture *f);

/* Turns the loop for a while. */
void spin(struct fixture *f);

/* Until the connection has ended, for some seconds at most. */
void spin_until_end(struct fixture *f);

/* Into the socket; the server has not read it yet. */
void put(struct fixture *f, const char *text);

/* The same, and turns the loop. */
void say(struct fixture *f, const char *text);

/* Answers a request that is held, and turns the loop. */
void reply(struct fixture *f, int number, const char *body);

/* Of the caller's stream, to read again after uv_read_stop. */
void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer);
void on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *data);

#endif
