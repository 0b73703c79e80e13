/* Filters the headers of requests and answers that are passed on. */
#include <string.h>
#include <strings.h>

#include "forward_call.h"

/* Hop-by-hop headers, and those that each hop sets itself. */
static bool
is_hop_by_hop(const char *name)
{
    static const char *const names[] = {
        "connection", "keep-alive",          "proxy-authenticate",
        "te",         "proxy-authorization", "trailer",
        "upgrade",    "transfer-encoding",   "proxy-connection",
        "host",       "content-length",      "expect",
        "sas-load",   "sas-deadline-ms",     "sas-request-id",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (strcasecmp(name, names[i]) == 0) {
            return true;
        }
    }
    return false;
}

/* True when the Connection header lists this one as hop-by-hop. */
static bool
is_named_by_connection(const char *connection, const char *name)
{
    if (connection == NULL) {
        return false;
    }
    g_auto(GStrv) words = g_strsplit(connection, ",", -1);
    for (int i = 0; words[i] != NULL; i++) {
        if (strcasecmp(g_strstrip(words[i]), name) == 0) {
            return true;
        }
    }
    return false;
}

void
SasForwardCall_CopyHeaders(struct sas_forward_call *call,
                           const struct sas_http_header *headers, int count,
                           GArray *out)
{
    const char *connection = SasHttp_FindHeader(headers, count, "connection");
    g_array_set_size(out, 0);
    for (int i = 0; i < count; i++) {
        if (is_hop_by_hop(headers[i].name) ||
            is_named_by_connection(connection, headers[i].name)) {
            continue;
        }
        struct sas_http_header copy = {
            .name = g_string_chunk_insert(call->texts, headers[i].name),
            .value = g_string_chunk_insert(call->texts, headers[i].value),
        };
        g_array_append_val(out, copy);
    }
}
