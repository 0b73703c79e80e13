/* settings - the TOML file that describes a whole deployment.
 *
 * The file is the same on all VMs; a process finds its own row by its --vm
 * NAME with SasSettings_FindVm. The whole file is checked before it is used:
 * unknown and missing keys, wrong types, values out of range, undefined
 * references, duplicate names and duplicate addresses. docs/SETTINGS.md
 * describes every key.
 *
 * Messages read "FILE:LINE: KEY: reason".
 */
#ifndef SAS_SETTINGS_H
#define SAS_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "sas/error.h"
#include "sas/model.h"

struct sas_settings {
    char name[SasModel_NAME_SIZE]; /* of the deployment */
    struct sas_model model;
    int64_t utc_offset_s;
    struct sas_address store; /* port 0 with the embedded store */
    bool embedded_store;      /* in memory; for a single entry VM only */
    char *peer_key_file;      /* NULL: none; loopback or a single VM only */
    char *admin_token_file;   /* NULL: none; loopback only */
    char *log_level;
    char *placement;       /* name of the placement policy; "": the default */
    size_t body_limit;     /* bytes of one request's body */
    size_t bodies_limit;   /* bytes of all buffered bodies together */
    int64_t queue_wait_ms; /* longest wait for an execution slot */
    int server_queue;      /* requests sent to a backend server beyond its
                            * execution slots */
    double retry_share;    /* retry budget: retries per recent first attempt */
    int64_t drain_notice_ms; /* graceful shutdown: how long requests are still
                              * accepted after the VM left the lookups */
    int64_t stop_limit_ms;   /* longest graceful shutdown */
};

/* Loads and checks a file. Returns -1 with SAS_EIO if it can't be read, or
 * SAS_EINVAL with the problem on the lowest line; settings then hold nothing
 * to unload. */
int SasSettings_Load(struct sas_settings *settings, const char *path,
                     struct sas_error *error);

/* The same for a text in memory. name is the file name for messages; relative
 * paths in the text are resolved against its directory. */
int SasSettings_LoadText(struct sas_settings *settings, const char *text,
                         const char *name, struct sas_error *error);

void SasSettings_Unload(struct sas_settings *settings);

/* All problems of a text, one per line, or NULL if there are none. Free with
 * g_free. */
char *SasSettings_ListProblems(const char *text, const char *name);

/* The handle of the entry VM of this name, or SasModel_NONE with an error that
 * lists the names of all entry VMs. */
int SasSettings_FindVm(const struct sas_settings *settings, const char *name,
                       struct sas_error *error);

#endif
