#include "sas/http.h"

#include <glib.h>
#include <string.h>

#define MAX_BODY_BYTES (64u * 1024 * 1024)

struct fetch {
    struct sas_http_listener listener; /* first: the vtable */
    struct sas_http_response *response;
    GString *body;
    struct sas_error *error;
    int result;
};

static void
on_head(struct sas_http_listener *listener, int status,
        const struct sas_http_header *headers, int header_count)
{
    struct fetch *fetch = (struct fetch *)listener;
    fetch->response->status = status;
    fetch->response->headers = g_new0(struct sas_http_header, header_count);
    fetch->response->header_count = header_count;
    for (int i = 0; i < header_count; i++) {
        fetch->response->headers[i].name = g_strdup(headers[i].name);
        fetch->response->headers[i].value = g_strdup(headers[i].value);
    }
}

static void
on_body(struct sas_http_listener *listener, const char *data, size_t size)
{
    struct fetch *fetch = (struct fetch *)listener;
    if (fetch->body->len + size <= MAX_BODY_BYTES) {
        g_string_append_len(fetch->body, data, (gssize)size);
    }
}

static void
on_end(struct sas_http_listener *listener, bool whole, bool reusable)
{
    (void)reusable;
    struct fetch *fetch = (struct fetch *)listener;
    fetch->result = whole && fetch->body->len < MAX_BODY_BYTES ? 0 : -1;
    if (fetch->result != 0) {
        SasError_Set(fetch->error, SAS_EIO, "http.fetch", NULL,
                     "close-delimited answer, or body of 64 MiB or more");
    }
}

static void
on_fail(struct sas_http_listener *listener,
        const struct sas_http_failure *failure)
{
    struct fetch *fetch = (struct fetch *)listener;
    fetch->result = -1;
    if (fetch->error != NULL) {
        *fetch->error = failure->error;
        if (!failure->sent) {
            fetch->error->code = SAS_EUNAVAILABLE;
        }
    }
}

static const struct sas_http_listener_vtable fetch_vtable = {
    .on_head = on_head,
    .on_body = on_body,
    .on_end = on_end,
    .on_fail = on_fail,
};

static void
on_conn_closed(struct sas_http_conn_listener *owner,
               struct sas_http_conn *conn)
{
    (void)owner;
    (void)conn;
}

int
SasHttp_Fetch(const struct sas_address *address,
              const struct sas_http_request *request, int64_t timeout_ms,
              struct sas_http_response *response, struct sas_error *error)
{
    memset(response, 0, sizeof(*response));
    uv_loop_t loop;
    uv_loop_init(&loop);
    struct fetch fetch = {
        .listener.vtable = &fetch_vtable,
        .response = response,
        .body = g_string_new(NULL),
        .error = error,
        .result = -1,
    };
    struct sas_http_conn_listener owner = {.on_closed = on_conn_closed};
    struct sas_http_header headers[SasHttp_MAX_HEADERS];
    struct sas_http_request copy = *request;
    int count = MIN(request->header_count, SasHttp_MAX_HEADERS - 1);
    for (int i = 0; i < count; i++) {
        headers[i] = request->headers[i];
    }
    headers[count].name = "Connection";
    headers[count].value = "close";
    copy.headers = headers;
    copy.header_count = count + 1;
    struct sas_http_conn *conn =
        SasHttp_Connect(&loop, address, timeout_ms, &owner);
    SasHttp_Send(conn, &copy, timeout_ms, &fetch.listener);
    uv_run(&loop, UV_RUN_DEFAULT);
    uv_loop_close(&loop);
    response->body_size = fetch.body->len;
    response->body = g_string_free(fetch.body, FALSE);
    if (fetch.result != 0) {
        SasHttp_FreeResponse(response);
    }
    return fetch.result;
}

const char *
SasHttp_GetHeader(const struct sas_http_response *response, const char *name)
{
    return SasHttp_FindHeader(response->headers, response->header_count, name);
}

void
SasHttp_FreeResponse(struct sas_http_response *response)
{
    for (int i = 0; i < response->header_count; i++) {
        g_free((char *)response->headers[i].name);
        g_free((char *)response->headers[i].value);
    }
    g_free(response->headers);
    g_free(response->body);
    memset(response, 0, sizeof(*response));
}
