#include <glib.h>
#include <locale.h>
#include <stdio.h>
#include <string.h>

#include "commands.h"
#include "sas/secret.h"

#define DEFAULT_NODE "127.0.0.1:8002"
#define DEFAULT_TIMEOUT_S 30
#define MAX_WAIT_S 86400

static const char summary[] =
    "Operates a sassafrassill deployment through the admin API of its nodes.\n"
    "\n"
    "Commands:\n"
    "  sheet check FILE   check whether the sheet would be accepted\n"
    "  sheet put FILE     put the sheet in force\n"
    "  sheet show         print the sheet in force\n"
    "  history            list the versions\n"
    "  status             show one node and the last state of its peers\n"
    "  drain NAME         drain a backend server or an entry VM\n"
    "  operation ID       show the outcome of an operation\n"
    "  wait VERSION       wait until every node has the version in force\n"
    "  counters           print the counters of one node\n"
    "  views              show the views of all nodes and how they differ\n"
    "  owners SERVICE/OBJECT  the same, with the object's backend servers\n"
    "\n"
    "views and owners call the ready address of entry VMs in platform mode.";

static const char description[] =
    "Exit statuses:\n"
    "  0  done\n"
    "  1  refused: bad sheet, conflict or not found; or views differ\n"
    "  2  wrong options, files or token\n"
    "  3  no node answered; nothing was changed\n"
    "  4  the outcome is unknown; retry with the same --operation, or query\n"
    "     it with the command operation\n"
    "  5  timed out waiting; the version itself is accepted\n"
    "\n"
    "Examples:\n"
    "  sassafrassillctl --node 10.0.0.1:8002 --token-file token status\n"
    "  sassafrassillctl --node 10.0.0.1:8002 --node 10.0.0.2:8002 \\\n"
    "      --token-file token sheet put morning.csv --wait 30\n"
    "  sassafrassillctl drain dossiers-07 --json\n";

struct arguments {
    char **nodes;
    char *token_file;
    char *operator_name;
    gboolean json;
    char *operation;
    char *if_version;
    int wait_s;
    int timeout_s;
    char **words;
};

static int
print_usage_error(const char *text)
{
    fprintf(stderr, "sassafrassillctl: %s\n", text);
    return SasExit_USAGE;
}

static gboolean
parse(struct arguments *arguments, int argc, char **argv, GError **error)
{
    const GOptionEntry entries[] = {
        {"node", 'n', 0, G_OPTION_ARG_STRING_ARRAY, &arguments->nodes,
         "admin address of a node; if given more than once, the next one is "
         "tried when one does not answer (" DEFAULT_NODE ")",
         "IP:PORT"},
        {"token-file", 't', 0, G_OPTION_ARG_FILENAME, &arguments->token_file,
         "file with the admin token", "FILE"},
        {"operator", 0, 0, G_OPTION_ARG_STRING, &arguments->operator_name,
         "who gives the order, recorded with it (the login name)", "NAME"},
        {"json", 'j', 0, G_OPTION_ARG_NONE, &arguments->json,
         "print JSON, for scripts", NULL},
        {"operation", 0, 0, G_OPTION_ARG_STRING, &arguments->operation,
         "sheet put, drain: the operation id (a new one); a retry with the "
         "same id is safe",
         "ID"},
        {"if-version", 0, 0, G_OPTION_ARG_STRING, &arguments->if_version,
         "sheet put, drain: only if this version is still in force", "N"},
        {"wait", 0, 0, G_OPTION_ARG_INT, &arguments->wait_s,
         "sheet put, drain: longest wait until it is in force everywhere",
         "SECONDS"},
        {"timeout", 0, 0, G_OPTION_ARG_INT, &arguments->timeout_s,
         "wait: the longest wait (30)", "SECONDS"},
        {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY,
         &arguments->words, NULL, "COMMAND"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    g_autoptr(GOptionContext) context = g_option_context_new(NULL);
    g_option_context_set_summary(context, summary);
    g_option_context_set_description(context, description);
    g_option_context_add_main_entries(context, entries, NULL);
    return g_option_context_parse(context, &argc, &argv, error);
}

static void
clear(struct arguments *arguments)
{
    g_strfreev(arguments->nodes);
    g_strfreev(arguments->words);
    g_free(arguments->token_file);
    g_free(arguments->operator_name);
    g_free(arguments->operation);
    g_free(arguments->if_version);
}

/* The default of --operator: the login name, with '_' for each character that
 * the admin API refuses. */
static char *
get_login_name(void)
{
    char *name = g_strndup(g_get_user_name(), SasClient_MAX_NAME_LENGTH);
    for (char *c = name; *c != '\0'; c++) {
        if (!g_ascii_isalnum(*c) && strchr("._-", *c) == NULL) {
            *c = '_';
        }
    }
    return name;
}

static const char *
check(const struct arguments *arguments)
{
    if (arguments->words == NULL) {
        return "a command is needed; see --help";
    }
    if (arguments->wait_s < -1 || arguments->wait_s > MAX_WAIT_S ||
        arguments->timeout_s < 0 || arguments->timeout_s > MAX_WAIT_S) {
        return "--wait and --timeout are 0 to 86400 seconds";
    }
    if (arguments->operator_name != NULL &&
        !SasClient_IsName(arguments->operator_name)) {
        return "--operator must be 1 to 64 of A-Z a-z 0-9 . _ -";
    }
    if (arguments->if_version != NULL &&
        !g_ascii_string_to_unsigned(arguments->if_version, 10, 0, G_MAXINT64,
                                    NULL, NULL)) {
        return "--if-version must be a version number";
    }
    return NULL;
}

static int
add_nodes(struct sas_client *client, char **nodes, struct sas_error *error)
{
    if (nodes == NULL) {
        return SasClient_AddNode(client, DEFAULT_NODE, error);
    }
    for (int i = 0; nodes[i] != NULL; i++) {
        if (SasClient_AddNode(client, nodes[i], error) != 0) {
            return -1;
        }
    }
    return 0;
}

static int
run(const struct arguments *arguments)
{
    struct sas_error error = {.code = SAS_OK};
    struct sas_command_options options = {
        .client.nodes = g_array_new(FALSE, FALSE, sizeof(struct sas_address)),
        .client.operator_name = arguments->operator_name != NULL
                                    ? g_strdup(arguments->operator_name)
                                    : get_login_name(),
        .json = arguments->json,
        .operation = arguments->operation,
        .if_version = arguments->if_version,
        .wait_s = arguments->wait_s,
        .timeout_s = arguments->timeout_s,
    };
    int status = SasExit_USAGE;
    bool ready = add_nodes(&options.client, arguments->nodes, &error) == 0;
    if (ready && arguments->token_file != NULL) {
        options.client.token = SasSecret_Load(arguments->token_file, &error);
        ready = options.client.token != NULL;
    }
    if (ready) {
        status = SasCommands_Run(&options, arguments->words,
                                 (int)g_strv_length(arguments->words));
    }
    else {
        print_usage_error(error.text);
    }
    SasSecret_Free(options.client.token);
    SasClient_Clear(&options.client);
    return status;
}

int
main(int argc, char **argv)
{
    /* Arguments may be UTF-8; LC_NUMERIC stays "C": decimal points. */
    setlocale(LC_CTYPE, "");
    struct arguments arguments = {.wait_s = -1,
                                  .timeout_s = DEFAULT_TIMEOUT_S};
    g_autoptr(GError) error = NULL;
    int status;
    if (!parse(&arguments, argc, argv, &error)) {
        status = print_usage_error(error->message);
    }
    else {
        const char *problem = check(&arguments);
        status =
            problem != NULL ? print_usage_error(problem) : run(&arguments);
    }
    clear(&arguments);
    return status;
}
