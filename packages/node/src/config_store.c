#include "config_store.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "sas/log.h"
#include "sas/plan.h"

#define HEAD_KEY "config/head"
#define HISTORY_LENGTH 64
#define MIN_POLL_MS 1000
/* Of all nodes together: a tenth of the store's reads. */
#define TOTAL_POLLS_PER_S 100
#define PUT_TIMEOUT_MS 6000
#define PUT_RETRY_DELAY_MS 200
#define DIGEST_SIZE 17

/* Reads the head row, then the object that it names. */
struct poll {
    struct sas_store_call call; /* first: the store's callback */
    struct sas_config_store *config_store;
    bool running;
    json_t *head;
};

struct list_poll {
    struct sas_store_call call;
    struct sas_config_store *config_store;
    bool running;
};

struct sas_config_store {
    struct sas_config_store_options options;
    struct sas_config *current;
    bool head_known; /* on_config was called, perhaps for "none" */
    struct poll poll;
    struct list_poll list_poll;
    uv_timer_t timer;
    int ticks;
    GList *puts; /* of struct put */
};

enum put_step {
    PUT_READ_HEAD,
    PUT_WRITE_OBJECT,
    PUT_WRITE_HEAD
};

struct put {
    struct sas_store_call call; /* first: the store's callback */
    struct sas_config_store *config_store;
    struct sas_put_listener *listener;
    uv_timer_t retry_timer;
    enum put_step step;
    char *sheet;
    size_t sheet_size;
    struct sas_put request;
    int64_t started_at;
    bool uncertain; /* a head write may have taken effect */
    char operation[SasConfig_NAME_SIZE];
    char operator_name[SasConfig_NAME_SIZE];
    char etag[SasStore_ETAG_SIZE]; /* of the head, "" when absent */
    json_t *head;
    struct sas_config *base; /* version in force when this put was built */
    struct sas_config *config;
    char *object_key;
};

struct history_read {
    struct sas_store_call call;
    struct sas_history_listener *listener;
};

static void on_timer(uv_timer_t *timer);
static void on_head(struct sas_store_call *call,
                    const struct sas_store_result *result);
static void put_on_result(struct sas_store_call *call,
                          const struct sas_store_result *result);
static void read_head(struct put *put);

struct sas_config_store *
SasConfigStore_Open(const struct sas_config_store_options *options)
{
    struct sas_config_store *config_store = g_new0(struct sas_config_store, 1);
    config_store->options = *options;
    config_store->poll.config_store = config_store;
    config_store->list_poll.config_store = config_store;
    uv_timer_init(options->loop, &config_store->timer);
    config_store->timer.data = config_store;
    if (!options->poll_on_demand) {
        uv_timer_start(&config_store->timer, on_timer, 0, 0);
    }
    return config_store;
}

static void
on_timer_closed(uv_handle_t *handle)
{
    g_free(handle->data);
}

static void
free_put(struct put *put)
{
    put->config_store->puts = g_list_remove(put->config_store->puts, put);
    json_decref(put->head);
    SasConfig_Unref(put->base);
    SasConfig_Unref(put->config);
    g_free(put->object_key);
    g_free(put->sheet);
    put->retry_timer.data = put;
    uv_close((uv_handle_t *)&put->retry_timer, on_timer_closed);
}

void
SasConfigStore_Close(struct sas_config_store *config_store)
{
    while (config_store->puts != NULL) {
        free_put(config_store->puts->data);
    }
    json_decref(config_store->poll.head);
    SasConfig_Unref(config_store->current);
    uv_close((uv_handle_t *)&config_store->timer, on_timer_closed);
}

struct sas_config *
SasConfigStore_GetCurrent(struct sas_config_store *config_store)
{
    return config_store->current;
}

bool
SasConfigStore_AdoptIfNewer(struct sas_config_store *config_store,
                            struct sas_config *config)
{
    int64_t number =
        config_store->current != NULL ? config_store->current->version : 0;
    /* Reads of the store may be stale, and peers may lag. A lower version
     * would revert a change that was already accepted. */
    if (!SasConfig_MayReplace(number, config->version)) {
        return false;
    }
    SasConfig_Unref(config_store->current);
    config_store->current = SasConfig_Ref(config);
    config_store->head_known = true;
    SasLog_Write(SasLog_INFO, "config.adopt", NULL,
                 "version %" G_GINT64_FORMAT " of operation %s is in force",
                 config->version, config->operation);
    config_store->options.listener->on_config(config_store->options.listener,
                                              config);
    return true;
}

/* Polling the store. */

static void
notify_refresh(struct sas_config_store *config_store, const char *config,
               size_t size)
{
    struct sas_config_store_listener *listener =
        config_store->options.listener;
    if (listener->on_refresh_model != NULL) {
        listener->on_refresh_model(listener, config, size);
    }
}

static void
on_object(struct sas_store_call *call, const struct sas_store_result *result)
{
    struct poll *poll = (struct poll *)call;
    struct sas_config_store *config_store = poll->config_store;
    poll->running = false;
    g_clear_pointer(&poll->head, json_decref);
    if (result->status != SAS_STORE_OK) {
        return;
    }
    struct sas_error error = {0};
    notify_refresh(config_store, result->value, result->size);
    struct sas_config *config = SasConfig_Decode(
        config_store->options.model, result->value, result->size, &error);
    if (config == NULL) {
        SasLog_WriteError(SasLog_ERROR, &error);
        return;
    }
    SasConfigStore_AdoptIfNewer(config_store, config);
    SasConfig_Unref(config);
}

static void
on_head(struct sas_store_call *call, const struct sas_store_result *result)
{
    struct poll *poll = (struct poll *)call;
    struct sas_config_store *config_store = poll->config_store;
    poll->running = false;
    if (result->status == SAS_STORE_NOT_FOUND) {
        if (!config_store->head_known) {
            config_store->head_known = true;
            config_store->options.listener->on_config(
                config_store->options.listener, NULL);
        }
        return;
    }
    if (result->status != SAS_STORE_OK) {
        SasLog_WriteError(SasLog_WARN, &result->error);
        return;
    }
    json_t *head = json_loadb(result->value, result->size, 0, NULL);
    int64_t version = json_integer_value(json_object_get(head, "version"));
    const char *object = json_string_value(json_object_get(head, "object"));
    int64_t current =
        config_store->current != NULL ? config_store->current->version : 0;
    if (object == NULL || !SasConfig_MayReplace(current, version)) {
        json_decref(head);
        return;
    }
    poll->running = true;
    poll->head = head;
    poll->call.on_result = on_object;
    SasStore_Read(config_store->options.store, SAS_STORE_OBJECT, object,
                  &poll->call);
}

static void
on_vm_list(struct sas_store_call *call, const struct sas_store_result *result)
{
    struct list_poll *poll = (struct list_poll *)call;
    struct sas_config_store_listener *listener =
        poll->config_store->options.listener;
    poll->running = false;
    if (result->status != SAS_STORE_OK) {
        return;
    }
    json_t *list = json_loadb(result->value, result->size, 0, NULL);
    if (json_is_object(list)) {
        listener->on_vms(listener, list);
    }
    json_decref(list);
}

void
SasConfigStore_Poll(struct sas_config_store *config_store)
{
    if (config_store->poll.running) {
        return;
    }
    config_store->poll.running = true;
    config_store->poll.call.on_result = on_head;
    SasStore_Read(config_store->options.store, SAS_STORE_TABLE, HEAD_KEY,
                  &config_store->poll.call);
}

void
SasConfigStore_RefreshModel(struct sas_config_store *config_store)
{
    notify_refresh(config_store, NULL, 0);
}

bool
SasConfigStore_IsIdle(const struct sas_config_store *config_store)
{
    return config_store->puts == NULL;
}

static void
on_timer(uv_timer_t *timer)
{
    struct sas_config_store *config_store = timer->data;
    const struct sas_config_store_options *options = &config_store->options;
    int64_t interval = MAX(MIN_POLL_MS, (int64_t)options->model->vm_count *
                                            1000 / TOTAL_POLLS_PER_S);
    double jitter = g_rand_double_range(options->random, 0.75, 1.25);
    uv_timer_start(timer, on_timer, (uint64_t)((double)interval * jitter), 0);
    SasConfigStore_Poll(config_store);
    if (!config_store->list_poll.running && config_store->ticks++ % 2 == 0) {
        config_store->list_poll.running = true;
        config_store->list_poll.call.on_result = on_vm_list;
        SasStore_ReadVms(options->store, &config_store->list_poll.call);
    }
}

/* Putting a version. */

static void
end_put(struct put *put, struct sas_put_answer *answer)
{
    struct sas_put_listener *listener = put->listener;
    if (answer->operation[0] == '\0') {
        g_strlcpy(answer->operation, put->operation,
                  sizeof(answer->operation));
    }
    free_put(put);
    listener->on_answer(listener, answer);
}

static void
end_put_unresolved(struct put *put)
{
    struct sas_put_answer answer = {
        .result = put->uncertain ? SAS_PUT_UNKNOWN : SAS_PUT_UNAVAILABLE,
    };
    end_put(put, &answer);
}

static void
end_put_done(struct put *put, int64_t version)
{
    struct sas_put_answer answer = {
        .result = SAS_PUT_DONE,
        .version = version,
    };
    end_put(put, &answer);
}

/* Adopts the version that this put built, once the head names its object. The
 * same operation put through another node writes another object, with other
 * resolved times. */
static void
adopt_written(struct put *put)
{
    SasConfigStore_AdoptIfNewer(put->config_store, put->config);
}

static void
end_put_conflict(struct put *put)
{
    struct sas_put_answer answer = {.result = SAS_PUT_CONFLICT};
    const char *operation =
        json_string_value(json_object_get(put->head, "operation"));
    const char *operator_name =
        json_string_value(json_object_get(put->head, "operator"));
    answer.version = json_integer_value(json_object_get(put->head, "version"));
    g_strlcpy(answer.operation, operation != NULL ? operation : "?",
              sizeof(answer.operation));
    g_strlcpy(answer.operator_name, operator_name != NULL ? operator_name : "",
              sizeof(answer.operator_name));
    end_put(put, &answer);
}

static void
end_put_bad_sheet(struct put *put, const struct sas_sheet_error *error)
{
    struct sas_put_answer answer = {
        .result = SAS_PUT_BAD_SHEET,
        .sheet_error = *error,
    };
    end_put(put, &answer);
}

/* The entry of an operation in the head's history, or NULL. */
static const json_t *
find_operation(const json_t *head, const char *operation)
{
    const json_t *history = json_object_get(head, "history");
    size_t index;
    json_t *row;
    json_array_foreach(history, index, row)
    {
        const char *id = json_string_value(json_object_get(row, "operation"));
        if (id != NULL && strcmp(id, operation) == 0) {
            return row;
        }
    }
    return NULL;
}

/* Digest of the sheet or drain order, so that an operation id used again for
 * another request is not answered as done. */
static void
format_request_digest(const struct put *put, char *text, size_t size)
{
    uint64_t digest =
        put->sheet != NULL
            ? XXH3_64bits(put->sheet, put->sheet_size)
            : XXH3_64bits_withSeed(&put->request.drain_target,
                                   sizeof(put->request.drain_target),
                                   (uint64_t)put->request.drain_kind);
    snprintf(text, size, "%016" PRIx64, digest);
}

/* The operation is in the history: this put is a retry or took effect. */
static void
end_put_found(struct put *put, const json_t *row)
{
    char digest[DIGEST_SIZE];
    format_request_digest(put, digest, sizeof(digest));
    const char *stored_digest =
        json_string_value(json_object_get(row, "digest"));
    if (stored_digest == NULL || strcmp(stored_digest, digest) != 0) {
        struct sas_sheet_error error = {0};
        g_strlcpy(error.reason,
                  "the operation id was used for another request",
                  sizeof(error.reason));
        end_put_bad_sheet(put, &error);
        return;
    }
    const char *object =
        json_string_value(json_object_get(put->head, "object"));
    if (object != NULL && put->object_key != NULL &&
        strcmp(object, put->object_key) == 0) {
        adopt_written(put);
    }
    end_put_done(put, json_integer_value(json_object_get(row, "version")));
}

/* Builds the new version from the operator's sheet. */
static struct sas_config *
build_from_sheet(const struct put *put, int64_t number,
                 struct sas_sheet_error *place, struct sas_error *error)
{
    const struct sas_config_store_options *options =
        &put->config_store->options;
    struct sas_sheet sheet = {0};
    int64_t now = options->get_wall_ms();
    if (SasSheet_Parse(&sheet, options->model, put->sheet, put->sheet_size,
                       now, options->utc_offset_s, place) != 0) {
        return NULL;
    }
    g_autofree char *text = g_strndup(put->sheet, put->sheet_size);
    struct sas_config *config = SasConfig_New(
        number, put->operation, put->operator_name, now, &sheet, text, error);
    if (config == NULL) {
        SasSheet_Free(&sheet);
    }
    return config;
}

static struct sas_config *
build_from_drain(const struct put *put, int64_t number,
                 struct sas_error *error)
{
    const struct sas_config_store_options *options =
        &put->config_store->options;
    const struct sas_model *model = options->model;
    int target = put->request.drain_target;
    const char *name = put->request.drain_kind == SAS_DRAIN_VM
                           ? model->vms[target].name
                           : model->backends[target].name;
    return SasConfig_AddDrain(put->base, model, name, number, put->operation,
                              put->operator_name, options->get_wall_ms(),
                              error);
}

static int
check_size(const struct put *put, struct sas_sheet_error *place)
{
    const struct sas_config_store_options *options =
        &put->config_store->options;
    if (options->max_object == 0) {
        return 0;
    }
    char *text = SasConfig_Encode(put->config, options->model);
    size_t size = strlen(text);
    free(text);
    if (size <= options->max_object) {
        return 0;
    }
    snprintf(place->reason, sizeof(place->reason),
             "the version has %zu bytes; the store takes %zu at a time", size,
             options->max_object);
    return -1;
}

/* Builds the version that follows base_version, and checks it. */
static int
build_config(struct put *put, int64_t base_version,
             struct sas_sheet_error *place)
{
    const struct sas_model *model = put->config_store->options.model;
    struct sas_error error = {0};
    int64_t number = base_version + 1;
    SasConfig_Unref(put->config);
    put->config = put->sheet != NULL
                      ? build_from_sheet(put, number, place, &error)
                      : build_from_drain(put, number, &error);
    if (put->config == NULL) {
        if (error.code != SAS_OK) {
            g_strlcpy(place->reason, error.text, sizeof(place->reason));
        }
        return -1;
    }
    if (check_size(put, place) != 0) {
        return -1;
    }
    return SasPlan_CheckCapacity(model, put->config, NULL, place, &error);
}

static char *
encode_head(const struct put *put)
{
    const struct sas_config *config = put->config;
    json_t *history = json_array();
    const json_t *old = json_object_get(put->head, "history");
    size_t count = json_array_size(old);
    size_t first = count >= HISTORY_LENGTH ? count - HISTORY_LENGTH + 1 : 0;
    for (size_t i = first; i < count; i++) {
        json_array_append(history, json_array_get(old, i));
    }
    char digest[DIGEST_SIZE];
    format_request_digest(put, digest, sizeof(digest));
    json_array_append_new(
        history,
        json_pack("{s:I, s:s, s:s, s:I, s:s}", "version",
                  (json_int_t)config->version, "operation", config->operation,
                  "operator", config->operator_name, "accepted_ms",
                  (json_int_t)config->accepted_ms, "digest", digest));
    json_t *head = json_pack(
        "{s:I, s:s, s:s, s:s, s:o}", "version", (json_int_t)config->version,
        "operation", config->operation, "operator", config->operator_name,
        "object", put->object_key, "history", history);
    char *text = json_dumps(head, JSON_COMPACT);
    json_decref(head);
    return text;
}

static void
write_object(struct put *put)
{
    const struct sas_config_store_options *options =
        &put->config_store->options;
    g_free(put->object_key);
    char *text = SasConfig_Encode(put->config, options->model);
    put->object_key = g_strdup_printf(
        "config/%" G_GINT64_FORMAT "-%s-%016" PRIx64, put->config->version,
        put->config->operation, XXH3_64bits(text, strlen(text)));
    put->step = PUT_WRITE_OBJECT;
    SasStore_Write(options->store, SAS_STORE_OBJECT, put->object_key, text,
                   strlen(text), SAS_STORE_IF_ABSENT, NULL, &put->call);
    free(text);
}

static void
write_head(struct put *put)
{
    g_autofree char *text = encode_head(put);
    put->step = PUT_WRITE_HEAD;
    SasStore_Write(put->config_store->options.store, SAS_STORE_TABLE, HEAD_KEY,
                   text, strlen(text),
                   put->etag[0] == '\0' ? SAS_STORE_IF_ABSENT
                                        : SAS_STORE_IF_MATCH,
                   put->etag, &put->call);
}

static void
on_retry_due(uv_timer_t *timer)
{
    read_head(timer->data);
}

static void
read_head_later(struct put *put)
{
    int64_t now = (int64_t)uv_now(put->config_store->options.loop);
    if (now - put->started_at > PUT_TIMEOUT_MS) {
        end_put_unresolved(put);
        return;
    }
    uv_timer_start(&put->retry_timer, on_retry_due, PUT_RETRY_DELAY_MS, 0);
}

static void
read_head(struct put *put)
{
    put->step = PUT_READ_HEAD;
    SasStore_Read(put->config_store->options.store, SAS_STORE_TABLE, HEAD_KEY,
                  &put->call);
}

/* Chooses the next step of a put by the head row that was just read. */
static void
decide_by_head(struct put *put, const struct sas_store_result *result)
{
    struct sas_config_store *config_store = put->config_store;
    json_decref(put->head);
    put->head = result->status == SAS_STORE_OK
                    ? json_loadb(result->value, result->size, 0, NULL)
                    : NULL;
    g_strlcpy(put->etag, result->status == SAS_STORE_OK ? result->etag : "",
              sizeof(put->etag));
    const json_t *done = find_operation(put->head, put->operation);
    if (done != NULL) {
        end_put_found(put, done);
        return;
    }
    int64_t version =
        json_integer_value(json_object_get(put->head, "version"));
    bool moved = put->config != NULL && version >= put->config->version;
    bool other_base =
        put->request.if_version >= 0 && put->request.if_version != version;
    if (moved || other_base) {
        end_put_conflict(put);
        return;
    }
    if (put->config != NULL) {
        write_object(put); /* retry: the same change on the same base */
        return;
    }
    /* A drain keeps the rows in force, so it waits until this node has adopted
     * the version that the head names. */
    int64_t current =
        config_store->current != NULL ? config_store->current->version : 0;
    if (put->sheet == NULL && current != version) {
        read_head_later(put);
        return;
    }
    SasConfigStore_RefreshModel(config_store);
    put->base = config_store->current != NULL
                    ? SasConfig_Ref(config_store->current)
                    : NULL;
    struct sas_sheet_error error = {0};
    if (build_config(put, version, &error) != 0) {
        end_put_bad_sheet(put, &error);
        return;
    }
    if (put->request.dry_run) {
        end_put_done(put, version);
        return;
    }
    write_object(put);
}

/* Handles the store's answer to one step. A write without acknowledgement
 * counts neither as success nor as failure: the head is read back, and the
 * operation is in its history or is written again with the same condition,
 * which can take effect only once. */
static void
put_on_result(struct sas_store_call *call,
              const struct sas_store_result *result)
{
    struct put *put = (struct put *)call;
    bool unconfirmed = result->status == SAS_STORE_UNKNOWN ||
                       result->status == SAS_STORE_UNAVAILABLE;
    switch (put->step) {
    case PUT_READ_HEAD:
        if (unconfirmed) {
            read_head_later(put);
            return;
        }
        decide_by_head(put, result);
        return;
    case PUT_WRITE_OBJECT:
        /* On a conflict the object exists, written by this operation. */
        if (unconfirmed) {
            read_head_later(put);
            return;
        }
        write_head(put);
        return;
    case PUT_WRITE_HEAD:
        if (result->status == SAS_STORE_OK) {
            adopt_written(put);
            end_put_done(put, put->config->version);
            return;
        }
        put->uncertain |= result->status == SAS_STORE_UNKNOWN;
        read_head_later(put);
        return;
    }
}

void
SasConfigStore_Put(struct sas_config_store *config_store,
                   const struct sas_put *put,
                   struct sas_put_listener *listener)
{
    struct put *state = g_new0(struct put, 1);
    state->call.on_result = put_on_result;
    state->config_store = config_store;
    state->listener = listener;
    state->request = *put;
    state->sheet =
        put->sheet != NULL ? g_strndup(put->sheet, put->sheet_size) : NULL;
    state->sheet_size = put->sheet_size;
    state->started_at = (int64_t)uv_now(config_store->options.loop);
    g_strlcpy(state->operation, put->operation, sizeof(state->operation));
    g_strlcpy(state->operator_name, put->operator_name,
              sizeof(state->operator_name));
    uv_timer_init(config_store->options.loop, &state->retry_timer);
    state->retry_timer.data = state;
    config_store->puts = g_list_prepend(config_store->puts, state);
    read_head(state);
}

/* History. */

static void
history_on_result(struct sas_store_call *call,
                  const struct sas_store_result *result)
{
    struct history_read *read = (struct history_read *)call;
    json_t *answer = NULL;
    if (result->status == SAS_STORE_OK) {
        json_t *head = json_loadb(result->value, result->size, 0, NULL);
        json_t *rows = json_object_get(head, "history");
        answer =
            json_pack("{s:O}", "versions", rows != NULL ? rows : json_null());
        json_decref(head);
    }
    else if (result->status == SAS_STORE_NOT_FOUND) {
        answer = json_pack("{s:[]}", "versions");
    }
    read->listener->on_history(read->listener, answer);
    json_decref(answer);
    g_free(read);
}

void
SasConfigStore_ReadHistory(struct sas_config_store *config_store,
                           struct sas_history_listener *listener)
{
    struct history_read *read = g_new0(struct history_read, 1);
    read->call.on_result = history_on_result;
    read->listener = listener;
    SasStore_Read(config_store->options.store, SAS_STORE_TABLE, HEAD_KEY,
                  &read->call);
}
