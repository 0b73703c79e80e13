#include <stdio.h>
#include <string.h>

#include "http_server_conn.h"
#include "sas/http.h"

/* The request. */

const char *
SasHttpExchange_GetMethod(const struct sas_http_exchange *e)
{
    return e->method;
}

const char *
SasHttpExchange_GetTarget(const struct sas_http_exchange *e)
{
    return e->target->str;
}

const struct sas_http_header *
SasHttpExchange_GetHeaders(const struct sas_http_exchange *e, int *count)
{
    *count = e->head.count;
    return e->head.fields;
}

const char *
SasHttpExchange_FindHeader(const struct sas_http_exchange *e, const char *name)
{
    return SasHttp_FindHeader(e->head.fields, e->head.count, name);
}

const char *
SasHttpExchange_GetBody(const struct sas_http_exchange *e, size_t *size)
{
    *size = e->body->len;
    return e->body->str;
}

int64_t
SasHttpExchange_GetReceivedAt(const struct sas_http_exchange *e)
{
    return e->began_at;
}

void
SasHttpExchange_SetUser(struct sas_http_exchange *e, void *user)
{
    e->user = user;
}

void *
SasHttpExchange_GetUser(const struct sas_http_exchange *e)
{
    return e->user;
}

static GString *
format_reply(struct sas_http_exchange *e, const struct sas_http_reply *reply)
{
    GString *text = g_string_sized_new(512 + reply->body_size);
    g_string_append_printf(text, "HTTP/1.1 %d %s\r\n", reply->status,
                           SasHttp_GetReasonPhrase(reply->status));
    e->headers_offset = text->len;
    for (int i = 0; i < reply->header_count; i++) {
        g_string_append(text, reply->headers[i].name);
        g_string_append(text, ": ");
        g_string_append(text, reply->headers[i].value);
        g_string_append(text, "\r\n");
    }
    if (reply->status != 204 && reply->status != 304) {
        g_string_append_printf(text, "Content-Length: %zu\r\n",
                               reply->body_size);
    }
    g_string_append(text, "\r\n");
    if (strcmp(e->method, "HEAD") != 0) {
        g_string_append_len(text, reply->body, (gssize)reply->body_size);
    }
    return text;
}

void
SasHttpExchange_Reply(struct sas_http_exchange *e,
                      const struct sas_http_reply *reply)
{
    e->answer = format_reply(e, reply);
    SasHttpServerConn_NoteAnswerBytes(e->connection, (ssize_t)e->answer->len);
    SasHttpServerConn_Flush(e->connection);
}

void
SasHttpExchange_ReplyText(struct sas_http_exchange *e, int status,
                          const char *type, const char *text,
                          const struct sas_http_header *more)
{
    struct sas_http_header headers[2] = {{"Content-Type", type}};
    struct sas_http_reply reply = {
        .status = status,
        .headers = headers,
        .header_count = 1,
        .body = text,
        .body_size = strlen(text),
    };
    if (more != NULL) {
        headers[reply.header_count++] = *more;
    }
    SasHttpExchange_Reply(e, &reply);
}

/* The queue of a connection. */

struct sas_http_exchange *
SasHttpExchange_New(struct sas_http_server_conn *c)
{
    struct sas_http_exchange *e = g_new0(struct sas_http_exchange, 1);
    e->connection = c;
    e->began_at = c->read_at;
    e->target = g_string_new(NULL);
    e->body = g_string_new(NULL);
    SasHttpHead_Init(&e->head);
    if (c->last != NULL) {
        c->last->next = e;
    }
    else {
        c->first = e;
    }
    c->last = e;
    c->pending++;
    c->server->exchange_count++;
    return e;
}

void
SasHttpExchange_FreeFirst(struct sas_http_server_conn *c)
{
    struct sas_http_exchange *e = c->first;
    c->first = e->next;
    if (c->first == NULL) {
        c->last = NULL;
    }
    if (c->reading == e) {
        c->reading = NULL;
    }
    c->pending--;
    c->server->exchange_count--;
    c->server->body_bytes -= e->body->len;
    if (e->answer != NULL) {
        SasHttpServerConn_NoteAnswerBytes(c, -(ssize_t)e->answer->len);
        g_string_free(e->answer, TRUE);
    }
    SasHttpHead_Close(&e->head);
    g_string_free(e->target, TRUE);
    g_string_free(e->body, TRUE);
    g_free(e->method);
    g_free(e);
}
