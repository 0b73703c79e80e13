#include "sas/cached_objects.h"

#include <string.h>

#include <glib.h>

#define WAYS 4
#define SETS (SasCachedObjects_CAPACITY / WAYS)

struct holder {
    int32_t slot_plus_one; /* 0: none */
    uint32_t generation;
};

struct object {
    uint64_t key;     /* 0: empty */
    uint32_t used_at; /* for the eviction of the least recently used */
    uint8_t next;     /* index of the holder to be replaced next */
    struct holder holders[SasCachedObjects_HOLDERS];
    struct holder pending_holder; /* got a first request for it */
    int64_t sent_at;              /* of that request, ms */
};

struct sas_cached_objects {
    uint32_t uses; /* clock of used_at */
    struct object sets[SETS][WAYS];
};

struct sas_cached_objects *
SasCachedObjects_New(void)
{
    return g_new0(struct sas_cached_objects, 1);
}

void
SasCachedObjects_Free(struct sas_cached_objects *objects)
{
    g_free(objects);
}

/* Mixes the service into the key; never 0. */
static uint64_t
get_full_key(int service, uint64_t key)
{
    uint64_t full_key =
        key ^ ((uint64_t)(service + 1) * 0x9e3779b97f4a7c15ULL);
    return full_key != 0 ? full_key : 1;
}

static int
find_way(const struct object *set, uint64_t full_key)
{
    for (int i = 0; i < WAYS; i++) {
        if (set[i].key == full_key) {
            return i;
        }
    }
    return SasModel_NONE;
}

/* The object's entry, which may replace the least recently used one. */
static struct object *
find_or_add(struct sas_cached_objects *objects, uint64_t full_key)
{
    struct object *set = objects->sets[full_key % SETS];
    int way = find_way(set, full_key);
    if (way != SasModel_NONE) {
        return &set[way];
    }
    way = 0;
    for (int i = 1; i < WAYS; i++) {
        if (set[i].used_at < set[way].used_at) {
            way = i;
        }
    }
    memset(&set[way], 0, sizeof(set[way]));
    set[way].key = full_key;
    return &set[way];
}

static struct holder
make_holder(struct sas_server_ref server)
{
    return (struct holder){server.slot + 1, server.generation};
}

static bool
is_holder(const struct holder *holder, struct sas_server_ref server)
{
    return holder->slot_plus_one == server.slot + 1 &&
           holder->generation == server.generation;
}

static bool
has_holder(const struct object *object, struct sas_server_ref server)
{
    for (int i = 0; i < SasCachedObjects_HOLDERS; i++) {
        if (is_holder(&object->holders[i], server)) {
            return true;
        }
    }
    return false;
}

void
SasCachedObjects_NoteLoading(struct sas_cached_objects *objects, int service,
                             uint64_t key, struct sas_server_ref server,
                             int64_t now_ms)
{
    struct object *object = find_or_add(objects, get_full_key(service, key));
    object->used_at = ++objects->uses;
    object->pending_holder = make_holder(server);
    object->sent_at = now_ms;
}

void
SasCachedObjects_NoteAnswered(struct sas_cached_objects *objects, int service,
                              uint64_t key, struct sas_server_ref server)
{
    struct object *object = find_or_add(objects, get_full_key(service, key));
    object->used_at = ++objects->uses;
    if (is_holder(&object->pending_holder, server)) {
        object->pending_holder = (struct holder){0};
    }
    if (has_holder(object, server)) {
        return;
    }
    object->holders[object->next] = make_holder(server);
    object->next = (uint8_t)((object->next + 1) % SasCachedObjects_HOLDERS);
}

static const struct object *
find_object(const struct sas_cached_objects *objects, int service,
            uint64_t key)
{
    uint64_t full_key = get_full_key(service, key);
    const struct object *set = objects->sets[full_key % SETS];
    int way = find_way(set, full_key);
    return way != SasModel_NONE ? &set[way] : NULL;
}

bool
SasCachedObjects_IsCached(const struct sas_cached_objects *objects,
                          int service, uint64_t key,
                          struct sas_server_ref server)
{
    const struct object *object = find_object(objects, service, key);
    return object != NULL && has_holder(object, server);
}

int64_t
SasCachedObjects_GetLoadingSince(const struct sas_cached_objects *objects,
                                 int service, uint64_t key,
                                 struct sas_server_ref server)
{
    const struct object *object = find_object(objects, service, key);
    return object != NULL && is_holder(&object->pending_holder, server)
               ? object->sent_at
               : 0;
}
