#include "client.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "sas/model.h"

#define STEP "admin.call"
#define MAX_PORT 65535
#define NAME_CHARACTERS                                                       \
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-"
#define MAX_CALL_HEADERS 6

/* Outcome of a call at one node. */
enum outcome {
    CONCLUSIVE, /* the response answers the call */
    NO_EFFECT,  /* it failed without effect */
    UNKNOWN     /* it failed and may have taken effect */
};

static enum outcome call_node(const struct sas_client *client,
                              const struct sas_address *node,
                              const struct sas_call *call,
                              struct sas_http_response *response,
                              struct sas_error *error);

int
SasClient_AddNode(struct sas_client *client, const char *text,
                  struct sas_error *error)
{
    struct sas_address address = {.port = 0};
    struct sockaddr_storage unused;
    const char *colon = strrchr(text, ':');
    bool bracketed = text[0] == '[' && colon != NULL && colon[-1] == ']';
    guint64 port = 0;
    bool valid = colon != NULL && g_ascii_string_to_unsigned(
                                      colon + 1, 10, 1, MAX_PORT, &port, NULL);
    if (valid) {
        g_autofree char *ip =
            bracketed ? g_strndup(text + 1, (gsize)(colon - text) - 2)
                      : g_strndup(text, (gsize)(colon - text));
        valid =
            g_strlcpy(address.ip, ip, sizeof(address.ip)) < sizeof(address.ip);
        address.port = (int)port;
        valid = valid && SasHttp_GetSockaddr(&address, &unused) == 0;
    }
    if (!valid) {
        SasError_Set(error, SAS_EINVAL, "options", "",
                     "--node must be IP:PORT or [IP]:PORT, not \"%s\"", text);
        return -1;
    }
    g_array_append_val(client->nodes, address);
    return 0;
}

void
SasClient_Clear(struct sas_client *client)
{
    g_clear_pointer(&client->nodes, g_array_unref);
    g_clear_pointer(&client->operator_name, g_free);
}

bool
SasClient_IsName(const char *text)
{
    size_t length = strspn(text, NAME_CHARACTERS);
    return length > 0 && length <= SasClient_MAX_NAME_LENGTH &&
           text[length] == '\0';
}

/* Prints the failure of one node, also when the next node answers: operators
 * see which nodes to check. */
static void
print_failure(const struct sas_error *error)
{
    fprintf(stderr, "sassafrassillctl: %s: %s\n", error->peer, error->text);
}

int
SasClient_Call(const struct sas_client *client, const struct sas_call *call,
               struct sas_http_response *response, struct sas_error *error)
{
    bool unknown = false;
    for (guint i = 0; i < client->nodes->len; i++) {
        const struct sas_address *node =
            &g_array_index(client->nodes, struct sas_address, i);
        struct sas_error failure = {.code = SAS_OK};
        enum outcome outcome =
            call_node(client, node, call, response, &failure);
        if (outcome == CONCLUSIVE && (!unknown || response->status == 200)) {
            return 0;
        }
        if (outcome == CONCLUSIVE) {
            /* An earlier node may have carried out the operation that this
             * one refuses: a conflict can be with a version that came after
             * it. So the refusal doesn't tell the operation's outcome. */
            SasHttp_FreeResponse(response);
            break;
        }
        unknown = unknown || outcome == UNKNOWN;
        print_failure(&failure);
    }
    if (unknown) {
        SasError_Set(error, SAS_ETIMEOUT, STEP, "",
                     "operation %s may have taken effect or not",
                     call->operation);
        return -1;
    }
    SasError_Set(error, SAS_EUNAVAILABLE, STEP, "", "no node could answer");
    return -1;
}

static int
add_header(struct sas_http_header *headers, int count, const char *name,
           const char *value)
{
    if (value == NULL) {
        return count;
    }
    headers[count].name = name;
    headers[count].value = value;
    return count + 1;
}

/* True when the response of a node states that a write had no effect. */
static bool
reports_no_effect(const struct sas_http_response *response)
{
    const char *outcome = SasHttp_GetHeader(response, "Sas-Outcome");
    if (outcome != NULL) {
        return strcmp(outcome, "not-run") == 0;
    }
    json_t *body = json_loadb(response->body, response->body_size, 0, NULL);
    const char *reason = json_string_value(json_object_get(body, "reason"));
    bool unchanged =
        reason != NULL && strcmp(reason, "store-unavailable") == 0;
    json_decref(body);
    return unchanged;
}

/* The outcome of a call that got a 5xx response. */
static enum outcome
classify_server_error(const struct sas_call *call,
                      const struct sas_http_response *response)
{
    if (call->operation == NULL || reports_no_effect(response)) {
        return NO_EFFECT;
    }
    return UNKNOWN;
}

static enum outcome
call_node(const struct sas_client *client, const struct sas_address *node,
          const struct sas_call *call, struct sas_http_response *response,
          struct sas_error *error)
{
    g_autofree char *peer =
        g_strdup_printf(strchr(node->ip, ':') != NULL ? "[%s]:%d" : "%s:%d",
                        node->ip, node->port);
    g_autofree char *bearer =
        client->token == NULL ? NULL
                              : g_strconcat("Bearer ", client->token, NULL);
    struct sas_http_header headers[MAX_CALL_HEADERS];
    int count = add_header(headers, 0, "Authorization", bearer);
    count = add_header(headers, count, "Sas-Operator", client->operator_name);
    count = add_header(headers, count, "Sas-Operation", call->operation);
    count = add_header(headers, count, "If-Match", call->if_match);
    count = add_header(headers, count, "Content-Type",
                       call->body == NULL ? NULL : "text/csv");
    const struct sas_http_request request = {
        .method = call->method,
        .target = call->target,
        .headers = headers,
        .header_count = count,
        .body = call->body,
        .body_size = call->body == NULL ? 0 : strlen(call->body),
    };
    int64_t timeout_ms =
        call->timeout_ms > 0 ? call->timeout_ms : SasClient_CALL_TIMEOUT_MS;
    if (SasHttp_Fetch(node, &request, timeout_ms, response, error) != 0) {
        g_strlcpy(error->peer, peer, sizeof(error->peer));
        bool sent = error->code != SAS_EUNAVAILABLE;
        return sent && call->operation != NULL ? UNKNOWN : NO_EFFECT;
    }
    if (response->status < 500) {
        return CONCLUSIVE;
    }
    enum outcome outcome = classify_server_error(call, response);
    SasError_Set(error, SAS_EUNAVAILABLE, STEP, peer, "status %d: %.100s",
                 response->status, response->body);
    SasHttp_FreeResponse(response);
    return outcome;
}
