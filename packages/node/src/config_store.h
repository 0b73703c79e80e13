/* configure - the task that owns the configuration: the head row and the
 * version objects in the store, and which version this node has adopted.
 *
 * A version is an immutable object; the head row names the one in force and
 * is changed by compare-and-swap only. The head carries the last changes
 * with their operation ids, so that a lost acknowledgement is settled by
 * reading back. A node adopts only higher versions, whoever offers them.
 */
#ifndef SAS_CONFIG_STORE_H
#define SAS_CONFIG_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "sas/config.h"
#include "sas/store.h"

struct sas_config_store;

/* Who is told; embedded as first member. */
struct sas_config_store_listener {
    /* A version was adopted; NULL: the store has none yet. */
    void (*on_config)(struct sas_config_store_listener *listener,
                      struct sas_config *config);
    /* The platform's list came, as JSON. */
    void (*on_vms)(struct sas_config_store_listener *listener,
                   const json_t *list);
    /* Names are about to be resolved against the model: now it may change.
     * config: the version in JSON that is going to be decoded, or NULL. May
     * be NULL where the model never changes. */
    void (*on_refresh_model)(struct sas_config_store_listener *listener,
                             const char *config, size_t size);
};

struct sas_config_store_options {
    uv_loop_t *loop;
    const struct sas_model *model;
    struct sas_store *store;
    struct sas_config_store_listener *listener;
    GRand *random;
    int64_t utc_offset_s;
    int64_t (*get_wall_ms)(void);
    bool poll_on_demand; /* polls only by SasConfigStore_Poll */
    size_t max_object;   /* bytes that the store takes; 0: any */
};

enum sas_put_result {
    SAS_PUT_DONE,
    SAS_PUT_BAD_SHEET,   /* row, column, text */
    SAS_PUT_CONFLICT,    /* version, operation, operator_name: who won */
    SAS_PUT_UNAVAILABLE, /* nothing was changed, the store is not there */
    SAS_PUT_UNKNOWN      /* may have taken effect */
};

struct sas_put_answer {
    enum sas_put_result result;
    int64_t version;
    char operation[SasConfig_NAME_SIZE];
    char operator_name[SasConfig_NAME_SIZE];
    struct sas_sheet_error sheet_error;
};

/* A put in progress; the caller embeds it as first member. */
struct sas_put_listener {
    void (*on_answer)(struct sas_put_listener *listener,
                      const struct sas_put_answer *answer);
};

struct sas_put {
    const char *sheet; /* NULL: the sheet in force and a drain row */
    size_t sheet_size;
    enum sas_drain_kind drain_kind;
    int drain_target;
    const char *operation;
    const char *operator_name;
    int64_t if_version; /* -1: whatever is in force */
    bool dry_run;
};

struct sas_config_store *
SasConfigStore_Open(const struct sas_config_store_options *options);
void SasConfigStore_Close(struct sas_config_store *config_store);

/* The version in force here, or NULL. */
struct sas_config *
SasConfigStore_GetCurrent(struct sas_config_store *config_store);

/* Reads the head of the store now, and what it names if that is newer. */
void SasConfigStore_Poll(struct sas_config_store *config_store);

/* Lets the model come up to date before names are looked up in it. */
void SasConfigStore_RefreshModel(struct sas_config_store *config_store);

/* No put is in progress, so that nothing but the version in force refers to
 * the model by handle. */
bool SasConfigStore_IsIdle(const struct sas_config_store *config_store);

/* Takes over a version if it is higher; true when it was. */
bool SasConfigStore_AdoptIfNewer(struct sas_config_store *config_store,
                                 struct sas_config *config);

/* Puts a new version in force; the answer comes later, exactly once. */
void SasConfigStore_Put(struct sas_config_store *config_store,
                        const struct sas_put *put,
                        struct sas_put_listener *listener);

/* The store's list of changes: {"versions":[...]}, newest last, or NULL
 * when the store can't be read. */
struct sas_history_listener {
    void (*on_history)(struct sas_history_listener *listener,
                       const json_t *history);
};

void SasConfigStore_ReadHistory(struct sas_config_store *config_store,
                                struct sas_history_listener *listener);

#endif
