#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "sas/store.h"

struct reply {
    struct sas_store_call call;
    uv_loop_t *loop;
    int count;
    enum sas_store_status status;
    char value[64];
    char etag[SasStore_ETAG_SIZE];
};

static void
save_reply(struct sas_store_call *call, const struct sas_store_result *result)
{
    struct reply *reply = (struct reply *)call;
    reply->count++;
    reply->status = result->status;
    snprintf(reply->value, sizeof(reply->value), "%s", result->value);
    snprintf(reply->etag, sizeof(reply->etag), "%s", result->etag);
    uv_stop(reply->loop);
}

static struct reply
write_row(uv_loop_t *loop, struct sas_store *store, const char *value,
          enum sas_store_condition condition, const char *etag)
{
    struct reply reply = {.call.on_result = save_reply, .loop = loop};
    SasStore_Write(store, SAS_STORE_TABLE, "config/head", value, strlen(value),
                   condition, etag, &reply.call);
    uv_run(loop, UV_RUN_DEFAULT);
    assert_int_equal(reply.count, 1);
    return reply;
}

static void
test_memory_store_checks_write_conditions(void **state)
{
    (void)state;
    uv_loop_t loop;
    uv_loop_init(&loop);
    struct sas_store *store = SasStore_OpenMemory(&loop);
    struct reply first =
        write_row(&loop, store, "one", SAS_STORE_IF_ABSENT, NULL);
    assert_int_equal(first.status, SAS_STORE_OK);
    struct reply again =
        write_row(&loop, store, "two", SAS_STORE_IF_ABSENT, NULL);
    assert_int_equal(again.status, SAS_STORE_CONFLICT);
    struct reply changed =
        write_row(&loop, store, "two", SAS_STORE_IF_MATCH, first.etag);
    assert_int_equal(changed.status, SAS_STORE_OK);
    struct reply late =
        write_row(&loop, store, "three", SAS_STORE_IF_MATCH, first.etag);
    assert_int_equal(late.status, SAS_STORE_CONFLICT);
    struct reply read = {.call.on_result = save_reply, .loop = &loop};
    SasStore_Read(store, SAS_STORE_TABLE, "config/head", &read.call);
    uv_run(&loop, UV_RUN_DEFAULT);
    assert_string_equal(read.value, "two");
    assert_string_equal(read.etag, changed.etag);
    SasStore_Close(store);
    uv_run(&loop, UV_RUN_DEFAULT);
    assert_int_equal(uv_loop_close(&loop), 0);
}

static void
test_refused_connection_is_unavailable(void **state)
{
    (void)state;
    uv_loop_t loop;
    uv_loop_init(&loop);
    /* The port is bound but not listening, so connections are refused. */
    uv_tcp_t bound;
    struct sockaddr_in any;
    int size = sizeof(any);
    uv_ip4_addr("127.0.0.1", 0, &any);
    uv_tcp_init(&loop, &bound);
    uv_tcp_bind(&bound, (struct sockaddr *)&any, 0);
    uv_tcp_getsockname(&bound, (struct sockaddr *)&any, &size);
    struct sas_address address = {"127.0.0.1", ntohs(any.sin_port)};
    struct sas_store *store = SasStore_OpenHttp(&loop, &address);
    struct reply reply =
        write_row(&loop, store, "x", SAS_STORE_IF_ABSENT, NULL);
    assert_int_equal(reply.status, SAS_STORE_UNAVAILABLE);
    SasStore_Close(store);
    uv_close((uv_handle_t *)&bound, NULL);
    uv_run(&loop, UV_RUN_DEFAULT);
    assert_int_equal(uv_loop_close(&loop), 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_memory_store_checks_write_conditions),
        cmocka_unit_test(test_refused_connection_is_unavailable),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
