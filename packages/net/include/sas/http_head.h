/* http_head - the header fields of one HTTP/1.1 message.
 *
 * http-parser hands out names and values in pieces; a struct sas_http_head
 * puts them together. Its table of fields is valid from SasHttpHead_Finish
 * until the head is reset or closed.
 */
#ifndef SAS_HTTP_HEAD_H
#define SAS_HTTP_HEAD_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>

#define SasHttp_MAX_HEADERS 100
#define SasHttp_MAX_HEADER_BYTES 65536

struct sas_http_header {
    const char *name;
    const char *value;
};

struct sas_http_head {
    GString *text;   /* names and values, each ended by a NUL */
    GArray *offsets; /* size_t, where each of them starts */
    bool last_was_value;
    struct sas_http_header *fields;
    int count;
};

/* Start and end of a head; Reset makes it empty again. */
void SasHttpHead_Init(struct sas_http_head *head);
void SasHttpHead_Reset(struct sas_http_head *head);
void SasHttpHead_Close(struct sas_http_head *head);

/* A piece of a name or a value. -1: more than max_bytes or too many. */
int SasHttpHead_AppendName(struct sas_http_head *head, const char *at,
                           size_t length, size_t max_bytes);
int SasHttpHead_AppendValue(struct sas_http_head *head, const char *at,
                            size_t length, size_t max_bytes);

/* Builds the table of fields. */
void SasHttpHead_Finish(struct sas_http_head *head);

/* The value of a header, NULL when absent; names ignore case. */
const char *SasHttp_FindHeader(const struct sas_http_header *headers,
                               int header_count, const char *name);

/* True for fields that concern one connection only (RFC 9110, 7.6.1) and
 * for those that say how a body is framed. */
bool SasHttp_IsHopHeader(const char *name);

#endif
