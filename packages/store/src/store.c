#include "sas/store.h"

void
SasStore_Close(struct sas_store *store)
{
    if (store != NULL) {
        store->vtable->close(store);
    }
}

void
SasStore_Read(struct sas_store *store, enum sas_store_namespace space,
              const char *key, struct sas_store_call *call)
{
    store->vtable->read(store, space, key, call);
}

void
SasStore_Write(struct sas_store *store, enum sas_store_namespace space,
               const char *key, const char *value, size_t size,
               enum sas_store_condition condition, const char *etag,
               struct sas_store_call *call)
{
    store->vtable->write(store, space, key, value, size, condition, etag,
                         call);
}

void
SasStore_ReadVms(struct sas_store *store, struct sas_store_call *call)
{
    store->vtable->read_vms(store, call);
}
