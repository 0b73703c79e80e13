/* store - the platform's transactional table and object store.
 *
 * A store is a vtable: an embedded one in memory for a first try and for
 * tests, and one over HTTP (ETag, If-Match, If-None-Match, RFC 9110). All
 * calls return at once; the result comes later on the loop, exactly once.
 *
 * SAS_STORE_UNKNOWN means that a write may have taken effect although no
 * acknowledgement came; only reading back settles it.
 */
#ifndef SAS_STORE_H
#define SAS_STORE_H

#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#include "sas/error.h"
#include "sas/model.h"

#define SasStore_ETAG_SIZE 64
#define SasStore_TIMEOUT_MS 1500
#define SasStore_MAX_CONNECTIONS 16
#define SasStore_MAX_WAITING 1024

enum sas_store_status {
    SAS_STORE_OK,
    SAS_STORE_NOT_FOUND,
    SAS_STORE_CONFLICT,    /* the condition did not hold; nothing changed */
    SAS_STORE_UNAVAILABLE, /* nothing was sent; nothing changed */
    SAS_STORE_UNKNOWN      /* sent, but no whole answer came */
};

struct sas_store_result {
    enum sas_store_status status;
    const char *value; /* valid during the callback only, ends with a NUL */
    size_t size;
    const char *etag;
    struct sas_error error;
};

/* A call in progress; the caller embeds it as first member. */
struct sas_store_call {
    void (*on_result)(struct sas_store_call *call,
                      const struct sas_store_result *result);
};

enum sas_store_space {
    SAS_STORE_TABLE,
    SAS_STORE_OBJECT
};

/* The condition of a write. */
enum sas_store_condition {
    SAS_STORE_ABSENT, /* only if the key does not exist */
    SAS_STORE_MATCH   /* only if its ETag is the given one */
};

struct sas_store;

struct sas_store_vtable {
    void (*read)(struct sas_store *store, enum sas_store_space space,
                 const char *key, struct sas_store_call *call);
    void (*write)(struct sas_store *store, enum sas_store_space space,
                  const char *key, const char *value, size_t size,
                  enum sas_store_condition condition, const char *etag,
                  struct sas_store_call *call);
    void (*read_vms)(struct sas_store *store, struct sas_store_call *call);
    void (*close)(struct sas_store *store);
};

struct sas_store {
    const struct sas_store_vtable *vtable;
};

/* Opening and closing. Close drops calls in progress without a result. */
struct sas_store *SasStore_OpenMemory(uv_loop_t *loop);
struct sas_store *SasStore_OpenHttp(uv_loop_t *loop,
                                    const struct sas_address *address);
void SasStore_Close(struct sas_store *store);

/* Reading and writing. */
void SasStore_Read(struct sas_store *store, enum sas_store_space space,
                   const char *key, struct sas_store_call *call);
void SasStore_Write(struct sas_store *store, enum sas_store_space space,
                    const char *key, const char *value, size_t size,
                    enum sas_store_condition condition, const char *etag,
                    struct sas_store_call *call);

/* The platform's list of live and leaving VMs, as JSON. */
void SasStore_ReadVms(struct sas_store *store, struct sas_store_call *call);

#endif
