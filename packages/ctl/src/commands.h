/* commands - what an operator can ask for, each one or more admin calls.
 */
#ifndef SAS_CTL_COMMANDS_H
#define SAS_CTL_COMMANDS_H

#include <stdbool.h>

#include "client.h"

/* Exit statuses of sassafrassillctl. */
enum sas_exit {
    SasExit_DONE = 0,
    SasExit_REFUSED = 1,     /* a bad sheet, a conflict, no such thing */
    SasExit_USAGE = 2,       /* options, files or the token are wrong */
    SasExit_UNREACHABLE = 3, /* no node answered; nothing was changed */
    SasExit_UNKNOWN = 4,     /* it may have taken effect or not */
    SasExit_TIMEOUT = 5      /* accepted, but not everywhere in time */
};

struct sas_command_options {
    struct sas_client client;
    bool json;
    char *operation;  /* NULL: a new one */
    char *if_version; /* NULL: the version in force */
    int wait_s;       /* after a put or a drain; negative: do not wait */
    int timeout_s;    /* of the command wait */
};

/* Runs the command in words ("sheet", "put", "FILE"); the exit status. */
enum sas_exit SasCommands_Run(const struct sas_command_options *options,
                              char **words, int word_count);

#endif
