/* settings - the one TOML file that describes a whole deployment.
 *
 * The file is the same on all VMs; a process finds its own row by its --vm
 * NAME with SasSettings_FindVm. It is checked whole before anything opens:
 * unknown and missing keys, wrong types, values out of range, references to
 * nothing, duplicate names and duplicate addresses. docs/SETTINGS.md
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
    bool embedded_store;      /* in memory, for one entry VM alone */
    char *peer_key_file;      /* NULL: none; on loopback only */
    char *admin_token_file;   /* NULL: none; on loopback only */
    char *log_level;
    char *placement;       /* which placement policy; "" is the default */
    size_t body_limit;     /* bytes of one request's body */
    size_t bodies_limit;   /* bytes of all bodies held at the same time */
    int64_t queue_wait_ms; /* the longest wait for a slot */
    int server_queue; /* requests sent to a backend server beyond its slots */
    double retry_share;      /* retries for each recent first try */
    int64_t drain_notice_ms; /* from leaving the look-ups to no new work */
    int64_t stop_limit_ms;   /* the longest graceful stop */
};

/* Loads and checks a file. On failure nothing is left to unload; the error
 * holds the problem that stands first in the file. */
int SasSettings_Load(struct sas_settings *settings, const char *path,
                     struct sas_error *error);

/* The same for a text in memory; name stands for the file in messages, and
 * relative paths in the text start at its folder. */
int SasSettings_LoadText(struct sas_settings *settings, const char *text,
                         const char *name, struct sas_error *error);

void SasSettings_Unload(struct sas_settings *settings);

/* All problems of a text, one a line, or NULL if there are none. Free with
 * g_free. */
char *SasSettings_ListProblems(const char *text, const char *name);

/* The handle of the entry VM that this process is, or SasModel_NONE with an
 * error that names those there are. */
int SasSettings_FindVm(const struct sas_settings *settings, const char *name,
                       struct sas_error *error);

#endif
