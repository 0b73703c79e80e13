/* store - asynchronous key-value store with conditional writes (compare and
 * set), for table rows and objects.
 *
 * A store is a vtable. This package has two: one in the memory of the process,
 * for trials and tests, and one over HTTP (ETag, If-Match, If-None-Match, RFC
 * 9110); platform/ adds one over the platform's rows. Calls don't block; each
 * result is delivered once, by a callback from the loop.
 *
 * After SAS_STORE_UNKNOWN a write may have taken effect; read the key back to
 * find out.
 */
#ifndef SAS_STORE_H
#define SAS_STORE_H

#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#include "sas/error.h"
#include "sas/model.h"

#define SasStore_ETAG_SIZE 64 /* bytes, with the final NUL */

/* Limits of the store over HTTP. The timeout bounds a request and, separately,
 * the wait in the queue. */
#define SasStore_TIMEOUT_MS 1500
#define SasStore_MAX_CONNECTIONS 16
#define SasStore_MAX_QUEUED 1024 /* calls without a connection */

enum sas_store_status {
    SAS_STORE_OK,
    SAS_STORE_NOT_FOUND,
    SAS_STORE_CONFLICT,    /* the condition did not hold; nothing changed */
    SAS_STORE_UNAVAILABLE, /* not sent; nothing changed */
    SAS_STORE_UNKNOWN      /* sent, but without a complete answer, or with one
                            * of another status than those above */
};

struct sas_store_result {
    enum sas_store_status status;
    const char *value; /* valid during the callback only, NUL-terminated */
    size_t size;
    const char *etag; /* valid during the callback only */
    struct sas_error error;
};

/* A pending call; the caller embeds it as first member of a struct and keeps
 * it until the result or SasStore_Close. */
struct sas_store_call {
    void (*on_result)(struct sas_store_call *call,
                      const struct sas_store_result *result);
};

/* Table rows and objects have separate key namespaces. */
enum sas_store_namespace {
    SAS_STORE_TABLE,
    SAS_STORE_OBJECT
};

/* The condition of a write. */
enum sas_store_condition {
    SAS_STORE_IF_ABSENT, /* only if the key does not exist */
    SAS_STORE_IF_MATCH   /* only if its ETag is the given one */
};

struct sas_store;

struct sas_store_vtable {
    void (*read)(struct sas_store *store, enum sas_store_namespace space,
                 const char *key, struct sas_store_call *call);
    void (*write)(struct sas_store *store, enum sas_store_namespace space,
                  const char *key, const char *value, size_t size,
                  enum sas_store_condition condition, const char *etag,
                  struct sas_store_call *call);
    void (*read_vms)(struct sas_store *store, struct sas_store_call *call);
    void (*close)(struct sas_store *store);
};

struct sas_store {
    const struct sas_store_vtable *vtable;
};

/* Open a store on the loop. Close drops pending calls without a result and
 * frees the store once the loop has closed its handles. */
struct sas_store *SasStore_OpenMemory(uv_loop_t *loop);
struct sas_store *SasStore_OpenHttp(uv_loop_t *loop,
                                    const struct sas_address *address);
void SasStore_Close(struct sas_store *store);

/* Read a key, or write it if the condition holds. value and etag of a write
 * are copied; etag is ignored with SAS_STORE_IF_ABSENT. */
void SasStore_Read(struct sas_store *store, enum sas_store_namespace space,
                   const char *key, struct sas_store_call *call);
void SasStore_Write(struct sas_store *store, enum sas_store_namespace space,
                    const char *key, const char *value, size_t size,
                    enum sas_store_condition condition, const char *etag,
                    struct sas_store_call *call);

/* Reads the platform's list of live and leaving VMs, as JSON. */
void SasStore_ReadVms(struct sas_store *store, struct sas_store_call *call);

#endif
