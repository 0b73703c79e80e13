/* http_head - the header fields of one HTTP/1.1 message.
 *
 * Readers pass names and values in pieces; a struct sas_http_head joins them.
 * Its table of fields is valid from SasHttpHead_Finish until the head is reset
 * or closed.
 */
#ifndef SAS_HTTP_HEAD_H
#define SAS_HTTP_HEAD_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>

#define SasHttp_MAX_HEADERS 1024
#define SasHttp_MAX_HEADER_BYTES 65536

struct sas_http_header {
    const char *name;
    const char *value;
};

struct sas_http_head {
    GString *text;   /* names and values in turn, each NUL-terminated */
    GArray *offsets; /* size_t: start of each name and value in text */
    bool last_was_value;
    struct sas_http_header *fields;
    int count;
};

/* Init allocates an empty head, Reset empties it, Close frees it. */
void SasHttpHead_Init(struct sas_http_head *head);
void SasHttpHead_Reset(struct sas_http_head *head);
void SasHttpHead_Close(struct sas_http_head *head);

/* Appends a piece of a name or a value. -1: the names and values would exceed
 * max_bytes, or there are more than SasHttp_MAX_HEADERS fields. */
int SasHttpHead_AppendName(struct sas_http_head *head, const char *at,
                           size_t length, size_t max_bytes);
int SasHttpHead_AppendValue(struct sas_http_head *head, const char *at,
                            size_t length, size_t max_bytes);

/* Builds the table of fields; call it after the last piece. */
void SasHttpHead_Finish(struct sas_http_head *head);

/* The value of the first field of this name, or NULL; ignores case. */
const char *SasHttp_FindHeader(const struct sas_http_header *headers,
                               int header_count, const char *name);

/* Whether a field of this name has another value. */
bool SasHttp_HasOtherValue(const struct sas_http_header *headers,
                           int header_count, const char *name,
                           const char *value);

/* True for hop-by-hop header fields (RFC 9110, 7.6.1) and for those that frame
 * the body, Content-Length included: a proxy doesn't forward them. */
bool SasHttp_IsHopByHopHeader(const char *name);

#endif
