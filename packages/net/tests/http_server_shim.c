/* Functions that the property test of a caller's connection calls through
 * ctypes: an HTTP server, its handler and its loop. The caller is a socket of
 * the test.
 *
 * The time is simulated, only SasShim_AdvanceTime advances it: the library is
 * linked with --wrap, which replaces libuv's clock and timers by those below.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <uv.h>

#include "sas/http_server.h"

#define START_MS 1000000 /* of the simulated clock */
#define SEND_BUFFER 8192 /* bytes; of the server; the kernel doubles it */
#define MAX_CLOSE_ITERATIONS 10000 /* of the loop */

enum state {
    HELD,
    ANSWERED,
    ABANDONED
};

/* What the handler does in on_request. */
enum action {
    ACTION_HOLD,
    ACTION_ANSWER,
    ACTION_DRAIN,
    ACTION_CLOSE
};

struct request {
    struct sas_http_exchange *exchange; /* while it is held */
    char *target;
    char *body;
    enum state state;
    enum sas_http_close_reason end; /* of an abandoned one */
};

struct reaction {
    int action;
    int status;
    int64_t number; /* size of the answer's body; idle_ms of a drain */
};

struct timer {
    uv_timer_t *handle;
    uv_timer_cb on_timer;
    uint64_t due;
    uint64_t repeat;
};

struct rig {
    struct sas_http_handler handler;
    uv_loop_t loop;
    struct sas_http_server *server;
    GArray *requests;     /* struct request, in the order of on_request */
    GArray *reactions;    /* struct reaction, for the next requests */
    GArray *timers;       /* struct timer */
    GArray *closed;       /* struct sas_http_close_stats */
    int unknown_abandons; /* of exchanges that aren't held */
    int after_close;      /* requests dispatched after the server's close */
    uint64_t now;
};

struct rig *SasShim_NewRig(void);
int SasShim_FreeRig(struct rig *rig);
int SasShim_GetPort(const struct rig *rig);
void SasShim_RunLoop(struct rig *rig);
void SasShim_AdvanceTime(struct rig *rig, int64_t ms, int iterations);
void SasShim_SetLimits(struct rig *rig, int64_t header_bytes,
                       int64_t body_bytes, int64_t bodies_bytes,
                       int64_t header_ms, int64_t idle_ms);
void SasShim_Drain(struct rig *rig, int64_t idle_ms);
void SasShim_CloseServer(struct rig *rig);
int SasShim_IsOpen(const struct rig *rig);
void SasShim_Reply(struct rig *rig, int index, int status, int64_t size);
void SasShim_QueueReaction(struct rig *rig, int action, int status,
                           int64_t number);
int SasShim_CountDispatched(const struct rig *rig);
const char *SasShim_GetTarget(const struct rig *rig, int index);
const char *SasShim_GetBody(const struct rig *rig, int index);
int SasShim_GetState(const struct rig *rig, int index);
const char *SasShim_GetEnd(const struct rig *rig, int index);
int SasShim_CountUnknownAbandons(const struct rig *rig);
int SasShim_CountAfterClose(const struct rig *rig);
int SasShim_CountClosed(const struct rig *rig);
const char *SasShim_GetClosedEnd(const struct rig *rig, int index);
int SasShim_CountExchanges(const struct rig *rig);
int SasShim_CountConnections(const struct rig *rig);
int SasShim_CountBusy(const struct rig *rig);
int64_t SasShim_CountUnsent(struct rig *rig);

uint64_t __wrap_uv_now(const uv_loop_t *loop);
int __wrap_uv_timer_start(uv_timer_t *handle, uv_timer_cb on_timer,
                          uint64_t timeout, uint64_t repeat);
int __wrap_uv_timer_stop(uv_timer_t *handle);
void __wrap_uv_close(uv_handle_t *handle, uv_close_cb on_close);
void __real_uv_close(uv_handle_t *handle, uv_close_cb on_close);

/* The clock. */

uint64_t
__wrap_uv_now(const uv_loop_t *loop)
{
    return ((const struct rig *)loop->data)->now;
}

static void
remove_timer(uv_timer_t *handle)
{
    GArray *timers = ((struct rig *)handle->loop->data)->timers;
    for (guint i = 0; i < timers->len; i++) {
        if (g_array_index(timers, struct timer, i).handle == handle) {
            g_array_remove_index(timers, i);
            return;
        }
    }
}

int
__wrap_uv_timer_start(uv_timer_t *handle, uv_timer_cb on_timer,
                      uint64_t timeout, uint64_t repeat)
{
    struct rig *rig = handle->loop->data;
    struct timer timer = {handle, on_timer, rig->now + timeout, repeat};
    remove_timer(handle);
    g_array_append_val(rig->timers, timer);
    return 0;
}

int
__wrap_uv_timer_stop(uv_timer_t *handle)
{
    remove_timer(handle);
    return 0;
}

void
__wrap_uv_close(uv_handle_t *handle, uv_close_cb on_close)
{
    if (uv_handle_get_type(handle) == UV_TIMER) {
        remove_timer((uv_timer_t *)handle);
    }
    __real_uv_close(handle, on_close);
}

/* The next timer that expires no later than by, or NULL. */
static struct timer *
find_next_timer(struct rig *rig, uint64_t by)
{
    struct timer *first = NULL;
    for (guint i = 0; i < rig->timers->len; i++) {
        struct timer *timer = &g_array_index(rig->timers, struct timer, i);
        if (timer->due <= by && (first == NULL || timer->due < first->due)) {
            first = timer;
        }
    }
    return first;
}

/* Advances the time and runs the timers that expire; before each of them,
 * and at the end, the loop runs for so many iterations. */
void
SasShim_AdvanceTime(struct rig *rig, int64_t ms, int iterations)
{
    uint64_t until = rig->now + (uint64_t)ms;
    for (;;) {
        for (int i = 0; i < iterations; i++) {
            uv_run(&rig->loop, UV_RUN_NOWAIT);
        }
        struct timer *timer = find_next_timer(rig, until);
        if (timer == NULL) {
            break;
        }
        uv_timer_t *handle = timer->handle;
        uv_timer_cb on_timer = timer->on_timer;
        rig->now = timer->due;
        if (timer->repeat > 0) {
            timer->due += timer->repeat;
        }
        else {
            remove_timer(handle);
        }
        on_timer(handle);
    }
    rig->now = until;
}

/* The handler. */

static struct request *
get_request(const struct rig *rig, int index)
{
    return &g_array_index(rig->requests, struct request, index);
}

void
SasShim_Reply(struct rig *rig, int index, int status, int64_t size)
{
    struct request *request = get_request(rig, index);
    const char *number = request->target + 1;
    g_autofree char *body =
        g_strnfill((gsize)size, (char)('a' + atoi(number) % 26));
    struct sas_http_header header = {"X-Number", number};
    struct sas_http_reply reply = {
        .status = status,
        .headers = &header,
        .header_count = 1,
        .body = body,
        .body_size = (size_t)size,
    };
    struct sas_http_exchange *exchange = request->exchange;
    request->exchange = NULL;
    request->state = ANSWERED;
    SasHttpExchange_Reply(exchange, &reply);
}

static void
react(struct rig *rig, int index, const struct reaction *reaction)
{
    switch (reaction->action) {
    case ACTION_ANSWER:
        SasShim_Reply(rig, index, reaction->status, reaction->number);
        break;
    case ACTION_DRAIN:
        SasShim_Drain(rig, reaction->number);
        break;
    case ACTION_CLOSE:
        SasShim_CloseServer(rig);
        break;
    default:
        break;
    }
}

static void
on_request(struct sas_http_handler *handler, struct sas_http_exchange *e)
{
    struct rig *rig = (struct rig *)handler;
    if (rig->server == NULL) {
        rig->after_close++;
        return;
    }
    size_t size;
    const char *body = SasHttpExchange_GetBody(e, &size);
    struct request request = {
        .exchange = e,
        .target = g_strdup(SasHttpExchange_GetTarget(e)),
        .body = g_strndup(body, size),
        .state = HELD,
    };
    g_array_append_val(rig->requests, request);
    if (rig->reactions->len > 0) {
        struct reaction reaction =
            g_array_index(rig->reactions, struct reaction, 0);
        g_array_remove_index(rig->reactions, 0);
        react(rig, (int)rig->requests->len - 1, &reaction);
    }
}

static void
on_abandoned(struct sas_http_handler *handler, struct sas_http_exchange *e,
             enum sas_http_close_reason end)
{
    struct rig *rig = (struct rig *)handler;
    for (int i = 0; i < (int)rig->requests->len; i++) {
        struct request *request = get_request(rig, i);
        if (request->exchange == e) {
            request->exchange = NULL;
            request->state = ABANDONED;
            request->end = end;
            return;
        }
    }
    rig->unknown_abandons++;
}

static void
on_closed(struct sas_http_handler *handler,
          const struct sas_http_close_stats *close_stats)
{
    g_array_append_val(((struct rig *)handler)->closed, *close_stats);
}

/* The server. */

static void
shrink_send_buffer(uv_handle_t *handle, void *data)
{
    (void)data;
    int size = SEND_BUFFER;
    if (uv_handle_get_type(handle) == UV_TCP) {
        uv_send_buffer_size(handle, &size); /* accepted sockets inherit it */
    }
}

static void
clear_request(void *item)
{
    struct request *request = item;
    g_free(request->target);
    g_free(request->body);
}

/* NULL if the server can't be opened. */
struct rig *
SasShim_NewRig(void)
{
    struct rig *rig = g_new0(struct rig, 1);
    rig->handler.on_request = on_request;
    rig->handler.on_abandoned = on_abandoned;
    rig->handler.on_closed = on_closed;
    rig->now = START_MS;
    rig->requests = g_array_new(FALSE, FALSE, sizeof(struct request));
    g_array_set_clear_func(rig->requests, clear_request);
    rig->reactions = g_array_new(FALSE, FALSE, sizeof(struct reaction));
    rig->timers = g_array_new(FALSE, FALSE, sizeof(struct timer));
    rig->closed =
        g_array_new(FALSE, FALSE, sizeof(struct sas_http_close_stats));
    uv_loop_init(&rig->loop);
    rig->loop.data = rig;
    struct sas_address address = {"127.0.0.1", 0};
    struct sas_http_server_limits limits = {.connections = 4};
    struct sas_error error = {0};
    rig->server = SasHttpServer_Open(&rig->loop, &address, &limits,
                                     &rig->handler, &error);
    uv_walk(&rig->loop, shrink_send_buffer, NULL);
    return rig->server != NULL ? rig : NULL;
}

/* Returns not 0 if a handle was left open. */
int
SasShim_FreeRig(struct rig *rig)
{
    SasShim_CloseServer(rig);
    for (int i = 0; i < MAX_CLOSE_ITERATIONS && uv_loop_alive(&rig->loop);
         i++) {
        uv_run(&rig->loop, UV_RUN_NOWAIT);
    }
    int rc = uv_loop_close(&rig->loop);
    if (rc == 0) {
        g_array_unref(rig->requests);
        g_array_unref(rig->reactions);
        g_array_unref(rig->timers);
        g_array_unref(rig->closed);
        g_free(rig);
    }
    return rc;
}

int
SasShim_GetPort(const struct rig *rig)
{
    return SasHttpServer_GetPort(rig->server);
}

void
SasShim_RunLoop(struct rig *rig)
{
    uv_run(&rig->loop, UV_RUN_NOWAIT);
}

void
SasShim_SetLimits(struct rig *rig, int64_t header_bytes, int64_t body_bytes,
                  int64_t bodies_bytes, int64_t header_ms, int64_t idle_ms)
{
    struct sas_http_server_limits limits = {
        .header_bytes = (size_t)header_bytes,
        .body_bytes = (size_t)body_bytes,
        .bodies_bytes = (size_t)bodies_bytes,
        .header_timeout_ms = header_ms,
        .idle_timeout_ms = idle_ms,
        .connections = 4,
    };
    SasHttpServer_SetLimits(rig->server, &limits);
}

void
SasShim_Drain(struct rig *rig, int64_t idle_ms)
{
    SasHttpServer_Drain(rig->server, idle_ms);
}

void
SasShim_CloseServer(struct rig *rig)
{
    struct sas_http_server *server = rig->server;
    rig->server = NULL;
    SasHttpServer_Close(server);
}

int
SasShim_IsOpen(const struct rig *rig)
{
    return rig->server != NULL;
}

void
SasShim_QueueReaction(struct rig *rig, int action, int status, int64_t number)
{
    struct reaction reaction = {action, status, number};
    g_array_append_val(rig->reactions, reaction);
}

/* Results. */

int
SasShim_CountDispatched(const struct rig *rig)
{
    return (int)rig->requests->len;
}

const char *
SasShim_GetTarget(const struct rig *rig, int index)
{
    return get_request(rig, index)->target;
}

const char *
SasShim_GetBody(const struct rig *rig, int index)
{
    return get_request(rig, index)->body;
}

int
SasShim_GetState(const struct rig *rig, int index)
{
    return (int)get_request(rig, index)->state;
}

const char *
SasShim_GetEnd(const struct rig *rig, int index)
{
    return SasHttp_GetCloseReasonName(get_request(rig, index)->end);
}

int
SasShim_CountUnknownAbandons(const struct rig *rig)
{
    return rig->unknown_abandons;
}

int
SasShim_CountAfterClose(const struct rig *rig)
{
    return rig->after_close;
}

int
SasShim_CountClosed(const struct rig *rig)
{
    return (int)rig->closed->len;
}

const char *
SasShim_GetClosedEnd(const struct rig *rig, int index)
{
    return SasHttp_GetCloseReasonName(
        g_array_index(rig->closed, struct sas_http_close_stats, index).end);
}

int
SasShim_CountExchanges(const struct rig *rig)
{
    return SasHttpServer_CountPending(rig->server);
}

int
SasShim_CountConnections(const struct rig *rig)
{
    return SasHttpServer_CountConnections(rig->server);
}

int
SasShim_CountBusy(const struct rig *rig)
{
    return SasHttpServer_CountBusyConnections(rig->server);
}

static void
add_unsent(uv_handle_t *handle, void *sum)
{
    if (uv_handle_get_type(handle) == UV_TCP && !uv_is_closing(handle)) {
        *(int64_t *)sum += (int64_t)uv_stream_get_write_queue_size(
            (const uv_stream_t *)handle);
    }
}

/* Bytes in libuv's write queues. */
int64_t
SasShim_CountUnsent(struct rig *rig)
{
    int64_t sum = 0;
    uv_walk(&rig->loop, add_unsent, &sum);
    return sum;
}
