/* config_store - reads and writes configuration versions in the store and
 * holds the one that this node has adopted.
 *
 * A version is an immutable object. The head row names the version in force
 * and is changed by compare-and-swap only. It carries the last changes with
 * their operation ids, so that reading it back tells whether a write without
 * acknowledgement took effect. A node adopts higher versions only, whether
 * they come from the store or from a peer.
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

/* Embedded in the owner's struct. */
struct sas_config_store_listener {
    /* A version was adopted; NULL: the store has none. */
    void (*on_config)(struct sas_config_store_listener *listener,
                      struct sas_config *config);
    /* The platform's VM list, as JSON. Not called with poll_on_demand. */
    void (*on_vms)(struct sas_config_store_listener *listener,
                   const json_t *list);
    /* Names are about to be resolved against the model, which may be changed
     * now. config: the JSON of the version that will be decoded, or NULL. The
     * callback is NULL where the model never changes. */
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
    bool poll_on_demand; /* only SasConfigStore_Poll polls the store */
    size_t max_object;   /* bytes that the store accepts; 0: no limit */
};

enum sas_put_result {
    SAS_PUT_DONE,
    SAS_PUT_BAD_SHEET,   /* row, column, text */
    SAS_PUT_CONFLICT,    /* version, operation, operator_name in force */
    SAS_PUT_UNAVAILABLE, /* store not reachable, nothing was changed */
    SAS_PUT_UNKNOWN      /* may have taken effect */
};

struct sas_put_answer {
    enum sas_put_result result;
    int64_t version;
    char operation[SasConfig_NAME_SIZE];
    char operator_name[SasConfig_NAME_SIZE];
    struct sas_sheet_error sheet_error;
};

/* Receives the answer to a put; embedded in the owner's struct. */
struct sas_put_listener {
    void (*on_answer)(struct sas_put_listener *listener,
                      const struct sas_put_answer *answer);
};

struct sas_put {
    const char *sheet; /* NULL: adds a drain row to the sheet in force */
    size_t sheet_size;
    enum sas_drain_kind drain_kind;
    int drain_target;
    const char *operation;
    const char *operator_name;
    int64_t if_version; /* only if this one is in force; -1: any */
    bool dry_run;
};

struct sas_config_store *
SasConfigStore_Open(const struct sas_config_store_options *options);
void SasConfigStore_Close(struct sas_config_store *config_store);

/* The version that this node has adopted, or NULL. */
struct sas_config *
SasConfigStore_GetCurrent(struct sas_config_store *config_store);

/* Reads the head row now, and the version it names if that is higher. */
void SasConfigStore_Poll(struct sas_config_store *config_store);

/* Calls on_refresh_model before names are resolved against the model. */
void SasConfigStore_RefreshModel(struct sas_config_store *config_store);

/* True without a put in progress: then only the version in force holds
 * handles into the model. */
bool SasConfigStore_IsIdle(const struct sas_config_store *config_store);

/* Adopts a version if its number is higher than the current one; true when it
 * was adopted. */
bool SasConfigStore_AdoptIfNewer(struct sas_config_store *config_store,
                                 struct sas_config *config);

/* Puts a new version in force; the answer comes later, exactly once. */
void SasConfigStore_Put(struct sas_config_store *config_store,
                        const struct sas_put *put,
                        struct sas_put_listener *listener);

/* Receives the list of changes, {"versions":[...]}, newest last, or NULL when
 * the store can't be read. */
struct sas_history_listener {
    void (*on_history)(struct sas_history_listener *listener,
                       const json_t *history);
};

void SasConfigStore_ReadHistory(struct sas_config_store *config_store,
                                struct sas_history_listener *listener);

#endif
