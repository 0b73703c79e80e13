/* commands - the commands of sassafrassillctl, each one or more admin calls.
 */
#ifndef SAS_CTL_COMMANDS_H
#define SAS_CTL_COMMANDS_H

#include <stdbool.h>

#include "client.h"

/* Exit statuses of sassafrassillctl. */
enum sas_exit {
    SasExit_DONE = 0,
    SasExit_REFUSED = 1,     /* bad sheet, conflict, not found; views differ */
    SasExit_USAGE = 2,       /* options, files or the token are wrong */
    SasExit_UNREACHABLE = 3, /* no usable response; nothing was changed */
    SasExit_UNKNOWN = 4,     /* a write may have taken effect */
    SasExit_TIMEOUT = 5      /* accepted, not in force everywhere in time */
};

struct sas_command_options {
    struct sas_client client;
    bool json;
    char *operation;  /* NULL: a new id */
    char *if_version; /* NULL: whichever version is in force */
    int wait_s;       /* longest wait after a write; negative: don't wait */
    int timeout_s;    /* longest wait of the command wait */
};

/* Runs the command in words ("sheet", "put", "FILE"); returns the exit
 * status. */
enum sas_exit SasCommands_Run(const struct sas_command_options *options,
                              char **words, int word_count);

#endif
