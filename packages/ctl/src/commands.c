#include "commands.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "print.h"
#include "views.h"

#define POLL_INTERVAL_MS 200
/* Timeout of each poll at each node, also of the last poll: the remaining wait
 * could be too short for a healthy node to answer. */
#define POLL_TIMEOUT_MS 5000

struct command {
    const char *keywords[2]; /* the second may be NULL */
    bool argument;           /* one more word follows */
    bool writes;             /* takes --operation, --if-version and --wait */
    enum sas_exit (*run)(const struct sas_command_options *options,
                         const char *argument);
};

static enum sas_exit check_sheet(const struct sas_command_options *options,
                                 const char *path);
static enum sas_exit put_sheet(const struct sas_command_options *options,
                               const char *path);
static enum sas_exit show_sheet(const struct sas_command_options *options,
                                const char *unused);
static enum sas_exit show_history(const struct sas_command_options *options,
                                  const char *unused);
static enum sas_exit show_status(const struct sas_command_options *options,
                                 const char *unused);
static enum sas_exit drain(const struct sas_command_options *options,
                           const char *target);
static enum sas_exit show_operation(const struct sas_command_options *options,
                                    const char *operation);
static enum sas_exit
wait_for_version(const struct sas_command_options *options,
                 const char *version);
static enum sas_exit show_counters(const struct sas_command_options *options,
                                   const char *unused);
static enum sas_exit show_views(const struct sas_command_options *options,
                                const char *unused);
static enum sas_exit show_owners(const struct sas_command_options *options,
                                 const char *object);

static const struct command commands[] = {
    {{"sheet", "check"}, true, false, check_sheet},
    {{"sheet", "put"}, true, true, put_sheet},
    {{"sheet", "show"}, false, false, show_sheet},
    {{"history", NULL}, false, false, show_history},
    {{"status", NULL}, false, false, show_status},
    {{"drain", NULL}, true, true, drain},
    {{"operation", NULL}, true, false, show_operation},
    {{"wait", NULL}, true, false, wait_for_version},
    {{"counters", NULL}, false, false, show_counters},
    {{"views", NULL}, false, false, show_views},
    {{"owners", NULL}, true, false, show_owners},
};

static void print_error(const char *format, ...)
    __attribute__((format(printf, 1, 2)));

/* Cleanup functions of AUTO_RESPONSE and AUTO_JSON. */
static void
clear_response(struct sas_http_response *response)
{
    SasHttp_FreeResponse(response);
}

static void
clear_json(json_t **value)
{
    json_decref(*value);
}

#define AUTO_RESPONSE __attribute__((cleanup(clear_response)))
#define AUTO_JSON __attribute__((cleanup(clear_json)))

static const struct command *
find_command(char **words, int word_count)
{
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        const struct command *command = &commands[i];
        int keyword_count = command->keywords[1] == NULL ? 1 : 2;
        if (word_count < keyword_count ||
            strcmp(words[0], command->keywords[0]) != 0) {
            continue;
        }
        if (keyword_count == 1 ||
            strcmp(words[1], command->keywords[1]) == 0) {
            return command;
        }
    }
    return NULL;
}

enum sas_exit
SasCommands_Run(const struct sas_command_options *options, char **words,
                int word_count)
{
    const struct command *command = find_command(words, word_count);
    if (command == NULL) {
        print_error("no such command; see --help");
        return SasExit_USAGE;
    }
    int keyword_count = command->keywords[1] == NULL ? 1 : 2;
    if (word_count != keyword_count + (command->argument ? 1 : 0)) {
        print_error("%s %s; see --help", words[0],
                    command->argument ? "takes one argument"
                                      : "takes no argument");
        return SasExit_USAGE;
    }
    bool write_options = options->operation != NULL ||
                         options->if_version != NULL || options->wait_s >= 0;
    if (write_options && !command->writes) {
        print_error(
            "--operation, --if-version and --wait go with sheet put and "
            "drain only");
        return SasExit_USAGE;
    }
    if (options->operation != NULL && !SasClient_IsName(options->operation)) {
        print_error("--operation must be 1 to %d of A-Z a-z 0-9 . _ -",
                    SasClient_MAX_NAME_LENGTH);
        return SasExit_USAGE;
    }
    return command->run(options,
                        command->argument ? words[keyword_count] : NULL);
}

static void
print_error(const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    g_autofree char *text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    fprintf(stderr, "sassafrassillctl: %s\n", text);
}

static const char *
get_text(const json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));
    return text == NULL ? "" : text;
}

/* A field of a response, safe to print on a terminal; g_free releases it. */
static char *
format_field(const json_t *object, const char *key)
{
    const struct sas_column column = {key, key, SasColumn_PLAIN};
    return SasPrint_FormatCell(json_object_get(object, key), &column);
}

/* The JSON object in the body of a response, or NULL. */
static json_t *
parse_body(const struct sas_http_response *response)
{
    json_t *body = json_loadb(response->body, response->body_size, 0, NULL);
    if (!json_is_object(body)) {
        json_decref(body);
        return NULL;
    }
    return body;
}

/* Prints a failed call to stderr and, with --json, as JSON to stdout. */
static enum sas_exit
report_failed_call(const struct sas_command_options *options,
                   const struct sas_error *error, const char *operation)
{
    bool unknown = error->code == SAS_ETIMEOUT;
    print_error("%s", error->text);
    if (unknown) {
        print_error(
            "retry with --operation %s, which is safe, or query it with: "
            "sassafrassillctl operation %s",
            operation, operation);
    }
    if (options->json) {
        json_t *object =
            json_pack("{s:s}", "reason", unknown ? "unknown" : "unreachable");
        if (operation != NULL) {
            json_object_set_new(object, "operation", json_string(operation));
        }
        SasPrint_Json(object);
        json_decref(object);
    }
    return unknown ? SasExit_UNKNOWN : SasExit_UNREACHABLE;
}

/* Prints the reason of a response other than 200. */
static enum sas_exit
report_refusal(const struct sas_command_options *options,
               const struct sas_http_response *response)
{
    AUTO_JSON json_t *body = parse_body(response);
    if (options->json && body != NULL) {
        SasPrint_Json(body);
    }
    g_autofree char *reason = format_field(body, "reason");
    g_autofree char *text = format_field(body, "text");
    if (response->status == 401) {
        print_error("the node did not accept the token (--token-file)");
        return SasExit_USAGE;
    }
    if (response->status == 409) {
        g_autofree char *version = format_field(body, "version");
        g_autofree char *operation = format_field(body, "operation");
        g_autofree char *operator_name = format_field(body, "operator");
        print_error("conflict: version %s (operation %s, operator %s) was "
                    "accepted first; read it with sheet show, then try again",
                    version, operation, operator_name);
        return SasExit_REFUSED;
    }
    if (response->status == 422) {
        g_autofree char *row = format_field(body, "row");
        g_autofree char *column = format_field(body, "column");
        print_error("refused: row %s, column %s: %s", row, column, text);
        return SasExit_REFUSED;
    }
    print_error("refused: %d %s: %s", response->status, reason, text);
    return SasExit_REFUSED;
}

/* Makes a GET call; SasExit_DONE only with status 200 in *response. */
static enum sas_exit
fetch(const struct sas_command_options *options, const char *target,
      struct sas_http_response *response)
{
    struct sas_error error = {.code = SAS_OK};
    struct sas_call call = {.method = "GET", .target = target};
    if (SasClient_Call(&options->client, &call, response, &error) != 0) {
        return report_failed_call(options, &error, NULL);
    }
    return response->status == 200 ? SasExit_DONE
                                   : report_refusal(options, response);
}

/* Makes a GET call whose response must be a JSON object. */
static enum sas_exit
fetch_json(const struct sas_command_options *options, const char *target,
           json_t **body)
{
    AUTO_RESPONSE struct sas_http_response response = {0};
    enum sas_exit status = fetch(options, target, &response);
    if (status != SasExit_DONE) {
        return status;
    }
    *body = parse_body(&response);
    if (*body == NULL) {
        print_error("the response to %s is not a JSON object", target);
        return SasExit_UNREACHABLE;
    }
    return SasExit_DONE;
}

/* The sheet in a file; NULL after an error was printed. */
static char *
read_sheet(const char *path)
{
    char *text = NULL;
    gsize size = 0;
    g_autoptr(GError) error = NULL;
    if (!g_file_get_contents(path, &text, &size, &error)) {
        print_error("%s", error->message);
        return NULL;
    }
    if (strlen(text) != size) {
        print_error("%s: not a text file", path);
        g_free(text);
        return NULL;
    }
    return text;
}

static enum sas_exit
check_sheet(const struct sas_command_options *options, const char *path)
{
    g_autofree char *sheet = read_sheet(path);
    if (sheet == NULL) {
        return SasExit_USAGE;
    }
    AUTO_RESPONSE struct sas_http_response response = {0};
    struct sas_error error = {.code = SAS_OK};
    struct sas_call call = {
        .method = "PUT", .target = "/v1/sheet?dry_run=1", .body = sheet};
    if (SasClient_Call(&options->client, &call, &response, &error) != 0) {
        return report_failed_call(options, &error, NULL);
    }
    if (response.status != 200) {
        return report_refusal(options, &response);
    }
    AUTO_JSON json_t *body = parse_body(&response);
    if (options->json && body != NULL) {
        SasPrint_Json(body);
    }
    else {
        printf("%s would be accepted\n", path);
    }
    return SasExit_DONE;
}

/* Queries an operation whose outcome is unknown. SasExit_DONE: it is in force,
 * *body has its version; SasExit_REFUSED: another version was accepted
 * instead; else SasExit_UNKNOWN. */
static enum sas_exit
query_operation(const struct sas_command_options *options,
                const char *operation, json_t **body)
{
    g_autofree char *target = g_strconcat("/v1/operations/", operation, NULL);
    AUTO_RESPONSE struct sas_http_response response = {0};
    struct sas_call call = {.method = "GET", .target = target};
    if (SasClient_Call(&options->client, &call, &response, NULL) != 0 ||
        response.status != 200) {
        return SasExit_UNKNOWN;
    }
    *body = parse_body(&response);
    const char *state = get_text(*body, "state");
    if (strcmp(state, "in-force") == 0) {
        return SasExit_DONE;
    }
    return strcmp(state, "lost") == 0 ? SasExit_REFUSED : SasExit_UNKNOWN;
}

/* Prints that the operation is accepted; with --wait, waits for it. */
static enum sas_exit
report_accepted(const struct sas_command_options *options, const json_t *body)
{
    g_autofree char *version = format_field(body, "version");
    if (options->json) {
        SasPrint_Json(body);
    }
    else {
        g_autofree char *operation = format_field(body, "operation");
        printf("accepted: version %s, operation %s\n", version, operation);
    }
    if (options->wait_s < 0) {
        return SasExit_DONE;
    }
    struct sas_command_options wait_options = *options;
    wait_options.timeout_s = options->wait_s;
    return wait_for_version(&wait_options, version);
}

/* Makes a call that creates a version, and reports its outcome. */
static enum sas_exit
write_version(const struct sas_command_options *options, struct sas_call *call)
{
    g_autofree char *operation = options->operation != NULL
                                     ? g_strdup(options->operation)
                                     : g_uuid_string_random();
    g_autofree char *if_match = NULL;
    if (options->if_version != NULL) {
        if_match = g_strdup_printf("\"%s\"", options->if_version);
    }
    call->operation = operation;
    call->if_match = if_match;
    AUTO_RESPONSE struct sas_http_response response = {0};
    AUTO_JSON json_t *body = NULL;
    struct sas_error error = {.code = SAS_OK};
    if (SasClient_Call(&options->client, call, &response, &error) == 0) {
        if (response.status != 200) {
            return report_refusal(options, &response);
        }
        body = parse_body(&response);
        if (body != NULL) {
            return report_accepted(options, body);
        }
        SasError_Set(&error, SAS_ETIMEOUT, "admin.call", "",
                     "the response to operation %s is not a JSON object",
                     operation);
    }
    if (error.code != SAS_ETIMEOUT) {
        return report_failed_call(options, &error, operation);
    }
    enum sas_exit status = query_operation(options, operation, &body);
    if (status == SasExit_DONE) {
        return report_accepted(options, body);
    }
    if (status == SasExit_UNKNOWN) {
        return report_failed_call(options, &error, operation);
    }
    print_error("conflict: operation %s lost against another one", operation);
    if (options->json) {
        SasPrint_Json(body);
    }
    return SasExit_REFUSED;
}

static enum sas_exit
put_sheet(const struct sas_command_options *options, const char *path)
{
    g_autofree char *sheet = read_sheet(path);
    if (sheet == NULL) {
        return SasExit_USAGE;
    }
    struct sas_call call = {
        .method = "PUT", .target = "/v1/sheet", .body = sheet};
    return write_version(options, &call);
}

static enum sas_exit
drain(const struct sas_command_options *options, const char *name)
{
    g_autofree char *escaped = g_uri_escape_string(name, NULL, FALSE);
    g_autofree char *target = g_strconcat("/v1/drain?target=", escaped, NULL);
    struct sas_call call = {.method = "POST", .target = target};
    return write_version(options, &call);
}

static enum sas_exit
show_sheet(const struct sas_command_options *options, const char *unused)
{
    (void)unused;
    AUTO_RESPONSE struct sas_http_response response = {0};
    enum sas_exit status = fetch(options, "/v1/sheet", &response);
    if (status != SasExit_DONE) {
        return status;
    }
    if (!options->json) {
        fwrite(response.body, 1, response.body_size, stdout);
        return SasExit_DONE;
    }
    const char *etag = SasHttp_GetHeader(&response, "ETag");
    const char *digits = etag == NULL ? "" : etag + strspn(etag, "W/\"");
    g_autofree char *sheet =
        g_utf8_make_valid(response.body, (gssize)response.body_size);
    AUTO_JSON json_t *object = json_pack(
        "{s:I, s:s}", "version", (json_int_t)g_ascii_strtoll(digits, NULL, 10),
        "sheet", sheet);
    SasPrint_Json(object);
    return SasExit_DONE;
}

static enum sas_exit
show_history(const struct sas_command_options *options, const char *unused)
{
    (void)unused;
    static const struct sas_column columns[] = {
        {"VERSION", "version", SasColumn_PLAIN},
        {"ACCEPTED", "accepted_ms", SasColumn_TIME},
        {"OPERATOR", "operator", SasColumn_PLAIN},
        {"OPERATION", "operation", SasColumn_PLAIN},
    };
    AUTO_JSON json_t *body = NULL;
    enum sas_exit status = fetch_json(options, "/v1/history", &body);
    if (status != SasExit_DONE) {
        return status;
    }
    if (options->json) {
        SasPrint_Json(body);
        return SasExit_DONE;
    }
    SasPrint_Table(NULL, json_object_get(body, "versions"), columns,
                   G_N_ELEMENTS(columns));
    return SasExit_DONE;
}

static void
print_status(const json_t *body)
{
    static const struct sas_column peers[] = {
        {"VM", "vm", SasColumn_PLAIN},
        {"VERSION", "version", SasColumn_PLAIN},
        {"STATE", "state", SasColumn_PLAIN},
        {"HEARD", "age_ms", SasColumn_MS},
    };
    static const struct sas_column regions[] = {
        {"SERVICE", "service", SasColumn_PLAIN},
        {"REGION", "region", SasColumn_PLAIN},
        {"SLOTS", "slots", SasColumn_PLAIN},
        {"RUNNING", "running", SasColumn_PLAIN},
        {"HEADROOM", "headroom", SasColumn_PLAIN},
    };
    static const struct sas_column shifts[] = {
        {"SERVICE", "service", SasColumn_PLAIN},
        {"FROM", "from", SasColumn_PLAIN},
        {"TO", "to", SasColumn_PLAIN},
        {"ORDERED", "ordered_percent", SasColumn_PERCENT},
        {"IN FORCE", "in_force_percent", SasColumn_PERCENT},
        {"CAP", "cap", SasColumn_PLAIN},
        {"HOLDING", "holding", SasColumn_PLAIN},
    };
    static const struct sas_column budgets[] = {
        {"NAME", "name", SasColumn_PLAIN},
        {"FLOOR", "floor", SasColumn_PLAIN},
        {"LENT", "lent", SasColumn_PLAIN},
        {"BORROWED", "borrowed", SasColumn_PLAIN},
        {"USED", "used", SasColumn_PLAIN},
    };
    g_autofree char *vm = format_field(body, "vm");
    g_autofree char *version = format_field(body, "version");
    bool ready = json_is_true(json_object_get(body, "ready"));
    printf("%s: %s, version %s\n", vm, ready ? "ready" : "not ready", version);
    SasPrint_Table("peers", json_object_get(body, "peers"), peers,
                   G_N_ELEMENTS(peers));
    SasPrint_Table("regions", json_object_get(body, "regions"), regions,
                   G_N_ELEMENTS(regions));
    SasPrint_Table("shifts", json_object_get(body, "shifts"), shifts,
                   G_N_ELEMENTS(shifts));
    SasPrint_Table("budgets", json_object_get(body, "budgets"), budgets,
                   G_N_ELEMENTS(budgets));
}

static enum sas_exit
show_status(const struct sas_command_options *options, const char *unused)
{
    (void)unused;
    AUTO_JSON json_t *body = NULL;
    enum sas_exit status = fetch_json(options, "/v1/status", &body);
    if (status != SasExit_DONE) {
        return status;
    }
    if (options->json) {
        SasPrint_Json(body);
        return SasExit_DONE;
    }
    print_status(body);
    return SasExit_DONE;
}

static enum sas_exit
show_operation(const struct sas_command_options *options,
               const char *operation)
{
    if (!SasClient_IsName(operation)) {
        print_error("not an operation id: \"%s\"", operation);
        return SasExit_USAGE;
    }
    g_autofree char *target = g_strconcat("/v1/operations/", operation, NULL);
    AUTO_JSON json_t *body = NULL;
    enum sas_exit status = fetch_json(options, target, &body);
    if (status != SasExit_DONE) {
        return status;
    }
    if (options->json) {
        SasPrint_Json(body);
    }
    else {
        g_autofree char *state = format_field(body, "state");
        g_autofree char *version = format_field(body, "version");
        printf("%s: %s, version %s\n", operation, state, version);
    }
    const char *state = get_text(body, "state");
    if (strcmp(state, "in-force") == 0) {
        return SasExit_DONE;
    }
    return strcmp(state, "lost") == 0 ? SasExit_REFUSED : SasExit_UNKNOWN;
}

static bool
has_version(const json_t *node, json_int_t version)
{
    return json_integer_value(json_object_get(node, "version")) >= version;
}

/* The nodes in a status response that don't have the version in force yet,
 * including the node that responded. */
static json_t *
list_lagging(const json_t *status, json_int_t version)
{
    json_t *lagging = json_array();
    bool ready = json_is_true(json_object_get(status, "ready"));
    if (!ready || !has_version(status, version)) {
        json_array_append_new(
            lagging,
            json_pack("{s:s, s:O?, s:s}", "vm", get_text(status, "vm"),
                      "version", json_object_get(status, "version"), "state",
                      ready ? "live" : "not ready"));
    }
    size_t i;
    json_t *peer;
    json_array_foreach(json_object_get(status, "peers"), i, peer)
    {
        if (!has_version(peer, version)) {
            json_array_append(lagging, peer);
        }
    }
    return lagging;
}

static void
report_wait(const struct sas_command_options *options, json_int_t version,
            json_t *lagging)
{
    static const struct sas_column columns[] = {
        {"VM", "vm", SasColumn_PLAIN},
        {"VERSION", "version", SasColumn_PLAIN},
        {"STATE", "state", SasColumn_PLAIN},
    };
    size_t count = json_array_size(lagging);
    if (options->json) {
        AUTO_JSON json_t *object =
            json_pack("{s:I, s:b, s:O}", "version", version, "in_force",
                      count == 0, "lagging", lagging);
        SasPrint_Json(object);
        return;
    }
    if (count == 0) {
        printf("version %" JSON_INTEGER_FORMAT " is in force everywhere\n",
               version);
        return;
    }
    printf("version %" JSON_INTEGER_FORMAT " is not in force on %zu\n",
           version, count);
    SasPrint_Table(NULL, lagging, columns, G_N_ELEMENTS(columns));
}

/* The status as JSON; NULL, with *status set, when no node returned it. */
static json_t *
poll_status(const struct sas_command_options *options, enum sas_exit *status)
{
    AUTO_RESPONSE struct sas_http_response response = {0};
    struct sas_call call = {
        .method = "GET",
        .target = "/v1/status",
        .timeout_ms = POLL_TIMEOUT_MS,
    };
    *status = SasExit_UNREACHABLE;
    if (SasClient_Call(&options->client, &call, &response, NULL) != 0) {
        return NULL;
    }
    if (response.status != 200) {
        *status = report_refusal(options, &response);
        return NULL;
    }
    return parse_body(&response);
}

static enum sas_exit
wait_for_version(const struct sas_command_options *options,
                 const char *version_text)
{
    guint64 version;
    if (!g_ascii_string_to_unsigned(version_text, 10, 1, G_MAXINT64, &version,
                                    NULL)) {
        print_error("not a version: \"%s\"", version_text);
        return SasExit_USAGE;
    }
    int64_t end_us =
        g_get_monotonic_time() + (int64_t)options->timeout_s * G_USEC_PER_SEC;
    AUTO_JSON json_t *lagging = NULL;
    for (;;) {
        enum sas_exit status;
        AUTO_JSON json_t *body = poll_status(options, &status);
        if (body == NULL && status != SasExit_UNREACHABLE) {
            return status;
        }
        if (body != NULL) {
            json_decref(lagging);
            lagging = list_lagging(body, (json_int_t)version);
        }
        bool done = body != NULL && json_array_size(lagging) == 0;
        if (done || g_get_monotonic_time() >= end_us) {
            break;
        }
        g_usleep(POLL_INTERVAL_MS * 1000);
    }
    if (lagging == NULL) {
        print_error(
            "no node answered; where version %s is in force is unknown",
            version_text);
        return SasExit_UNREACHABLE;
    }
    report_wait(options, (json_int_t)version, lagging);
    return json_array_size(lagging) == 0 ? SasExit_DONE : SasExit_TIMEOUT;
}

/* Converts the Prometheus text format to a JSON object, "name{label}" to
 * number. */
static json_t *
parse_counters(const char *text)
{
    json_t *object = json_object();
    g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
    for (char **line = lines; *line != NULL; line++) {
        char *space = strrchr(*line, ' ');
        if ((*line)[0] == '#' || space == NULL) {
            continue;
        }
        *space = '\0';
        double number = g_ascii_strtod(space + 1, NULL);
        json_object_set_new(object, *line, json_real(number));
    }
    return object;
}

static enum sas_exit
show_counters(const struct sas_command_options *options, const char *unused)
{
    (void)unused;
    AUTO_RESPONSE struct sas_http_response response = {0};
    enum sas_exit status = fetch(options, "/metrics", &response);
    if (status != SasExit_DONE) {
        return status;
    }
    if (options->json) {
        AUTO_JSON json_t *object = parse_counters(response.body);
        SasPrint_Json(object);
        return SasExit_DONE;
    }
    fwrite(response.body, 1, response.body_size, stdout);
    return SasExit_DONE;
}

/* The view of one node; NULL on failure. Each node gets its own call, because
 * the views are compared. No token is sent: /v1/view needs none. */
static json_t *
fetch_view(const struct sas_command_options *options, guint node,
           const char *target)
{
    struct sas_client one = {
        .nodes = g_array_new(FALSE, FALSE, sizeof(struct sas_address)),
    };
    g_array_append_val(one.nodes, g_array_index(options->client.nodes,
                                                struct sas_address, node));
    struct sas_call call = {.method = "GET", .target = target};
    AUTO_RESPONSE struct sas_http_response response = {0};
    struct sas_error error = {0};
    json_t *view = NULL;
    if (SasClient_Call(&one, &call, &response, &error) != 0) {
        print_error("%s: %s", error.peer, error.text);
    }
    else if (response.status == 200) {
        view = json_loads(response.body, 0, NULL);
    }
    g_array_free(one.nodes, TRUE);
    return view;
}

static enum sas_exit
compare_views(const struct sas_command_options *options, const char *target)
{
    AUTO_JSON json_t *views = json_array();
    for (guint i = 0; i < options->client.nodes->len; i++) {
        json_t *view = fetch_view(options, i, target);
        if (view != NULL) {
            json_array_append_new(views, view);
        }
    }
    if (json_array_size(views) == 0) {
        return SasExit_UNREACHABLE;
    }
    if (options->json) {
        SasPrint_Json(views);
        return SasExit_DONE;
    }
    return SasViews_Print(views) == 0 ? SasExit_DONE : SasExit_REFUSED;
}

static enum sas_exit
show_views(const struct sas_command_options *options, const char *unused)
{
    (void)unused;
    return compare_views(options, "/v1/view");
}

static enum sas_exit
show_owners(const struct sas_command_options *options, const char *object)
{
    const char *slash = strchr(object, '/');
    if (slash == NULL || slash == object || slash[1] == '\0') {
        print_error("owners takes SERVICE/OBJECT");
        return SasExit_USAGE;
    }
    g_autofree char *service = g_strndup(object, (gsize)(slash - object));
    g_autofree char *name = g_uri_escape_string(slash + 1, NULL, FALSE);
    g_autofree char *target =
        g_strdup_printf("/v1/view?service=%s&object=%s", service, name);
    return compare_views(options, target);
}
