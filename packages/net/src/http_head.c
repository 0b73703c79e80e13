#include "sas/http_head.h"

#include <string.h>
#include <strings.h>

static const char *const hop_by_hop_headers[] = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "content-length",
    "upgrade",
    "proxy-authenticate",
    "proxy-authorization",
};

void
SasHttpHead_Init(struct sas_http_head *head)
{
    memset(head, 0, sizeof(*head));
    head->text = g_string_new(NULL);
    head->offsets = g_array_new(FALSE, FALSE, sizeof(size_t));
}

void
SasHttpHead_Reset(struct sas_http_head *head)
{
    g_string_truncate(head->text, 0);
    g_array_set_size(head->offsets, 0);
    head->last_was_value = false;
    g_clear_pointer(&head->fields, g_free);
    head->count = 0;
}

void
SasHttpHead_Close(struct sas_http_head *head)
{
    if (head->text != NULL) {
        g_string_free(head->text, TRUE);
        g_array_free(head->offsets, TRUE);
    }
    g_free(head->fields);
    memset(head, 0, sizeof(*head));
}

static int
append(struct sas_http_head *head, const char *at, size_t length,
       size_t max_bytes, bool is_value)
{
    if (head->text->len + length > max_bytes ||
        head->offsets->len > 2 * SasHttp_MAX_HEADERS) {
        return -1;
    }
    bool first = head->offsets->len == 0;
    if (first || is_value != head->last_was_value) {
        if (!first) {
            g_string_append_c(head->text, '\0');
        }
        g_array_append_val(head->offsets, head->text->len);
        head->last_was_value = is_value;
    }
    g_string_append_len(head->text, at, (gssize)length);
    return 0;
}

int
SasHttpHead_AppendName(struct sas_http_head *head, const char *at,
                       size_t length, size_t max_bytes)
{
    return append(head, at, length, max_bytes, false);
}

int
SasHttpHead_AppendValue(struct sas_http_head *head, const char *at,
                        size_t length, size_t max_bytes)
{
    return append(head, at, length, max_bytes, true);
}

void
SasHttpHead_Finish(struct sas_http_head *head)
{
    g_free(head->fields);
    head->fields = g_new0(struct sas_http_header, head->offsets->len / 2 + 1);
    head->count = 0;
    for (guint i = 0; i + 1 < head->offsets->len; i += 2) {
        struct sas_http_header *field = &head->fields[head->count++];
        field->name =
            head->text->str + g_array_index(head->offsets, size_t, i);
        field->value =
            head->text->str + g_array_index(head->offsets, size_t, i + 1);
    }
}

const char *
SasHttp_FindHeader(const struct sas_http_header *headers, int header_count,
                   const char *name)
{
    for (int i = 0; i < header_count; i++) {
        if (strcasecmp(headers[i].name, name) == 0) {
            return headers[i].value;
        }
    }
    return NULL;
}

bool
SasHttp_HasOtherValue(const struct sas_http_header *headers, int header_count,
                      const char *name, const char *value)
{
    for (int i = 0; i < header_count; i++) {
        if (strcasecmp(headers[i].name, name) == 0 &&
            strcmp(headers[i].value, value) != 0) {
            return true;
        }
    }
    return false;
}

bool
SasHttp_IsHopByHopHeader(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(hop_by_hop_headers); i++) {
        if (strcasecmp(name, hop_by_hop_headers[i]) == 0) {
            return true;
        }
    }
    return false;
}
