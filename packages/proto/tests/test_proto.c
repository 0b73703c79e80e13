#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>
#include <glib.h>

#include "samples.h"
#include "sas/record.h"

#define SEED 20261202
#define RANDOM_ROUNDS 4000

static const struct sas_proto_session session = {{1, 2, 3}, {4, 5, 6}};
static struct sas_proto_key *key;

static int
set_up(void **state)
{
    (void)state;
    key = SasProto_NewKey((const uint8_t *)"0123456789abcdef", 16, NULL);
    return key == NULL;
}

static int
tear_down(void **state)
{
    (void)state;
    SasProto_FreeKey(key);
    return 0;
}

/* Encodes the record of a message without its mark. */
static uint8_t *
encode(const struct sas_proto_message *message, size_t *size)
{
    struct sas_error error;
    uint8_t *bytes = SasProto_Encode(key, &session, message, size, &error);
    assert_non_null(bytes);
    *size -= SasRecord_MARK_SIZE;
    memmove(bytes, bytes + SasRecord_MARK_SIZE, *size);
    return bytes;
}

static int
open_record(const uint8_t *bytes, size_t size,
            struct sas_proto_message *message, struct sas_error *error)
{
    return SasProto_Authenticate(key, &session, bytes, size, message, error);
}

/* Puts a body, valid or not, into a message with the header of `like`, then
 * opens and decodes it. */
static int
decode_body(const struct sas_proto_message *like, const uint8_t *body,
            size_t body_size)
{
    struct sas_proto_message message = *like;
    size_t size;
    message.encoded_body = body;
    message.encoded_size = body_size;
    g_autofree uint8_t *bytes = encode(&message, &size);
    struct sas_proto_message got;
    assert_int_equal(open_record(bytes, size, &got, NULL), 0);
    got.procedure = like->procedure;
    int result = SasProto_Decode(&got, NULL);
    if (result == 0) {
        SasProto_FreeBody(&got);
    }
    return result;
}

static void
test_round_trips(void **state)
{
    (void)state;
    for (int i = 0; i < SAMPLE_COUNT; i++) {
        struct sas_proto_message sample = Sample_Get(i);
        size_t size;
        size_t again_size;
        g_autofree uint8_t *bytes = encode(&sample, &size);
        struct sas_proto_message got;
        assert_int_equal(open_record(bytes, size, &got, NULL), 0);
        assert_int_equal(got.xid, sample.xid);
        assert_int_equal(got.is_reply, sample.is_reply);
        assert_int_equal(SasProto_CheckIdentity(&got, &sample.identity, NULL),
                         0);
        got.procedure = sample.procedure;
        assert_int_equal(SasProto_Decode(&got, NULL), 0);
        got.encoded_body = NULL;
        g_autofree uint8_t *again = encode(&got, &again_size);
        assert_int_equal(again_size, size);
        assert_memory_equal(again, bytes, size);
        SasProto_FreeBody(&got);
    }
}

static void
test_gossip_fields(void **state)
{
    (void)state;
    struct sas_proto_message sample = Sample_Get(2);
    size_t size;
    g_autofree uint8_t *bytes = encode(&sample, &size);
    struct sas_proto_message got;
    assert_int_equal(open_record(bytes, size, &got, NULL), 0);
    assert_int_equal(SasProto_Decode(&got, NULL), 0);
    const struct sas_rpc_gossip *gossip = &got.body.gossip;
    assert_int_equal(gossip->budgets.budgets_val[1].id, UINT64_MAX);
    assert_int_equal(gossip->loads.loads_val[0].incarnation, 0x1234567890);
    assert_true(gossip->loads.loads_val[0].leaving);
    assert_int_equal(gossip->members.members_val[1].state, SAS_RPC_LEAVING);
    assert_int_equal(gossip->members.members_val[1].age_ms, 1500);
    SasProto_FreeBody(&got);
}

static void
test_error_reply_has_no_body(void **state)
{
    (void)state;
    struct sas_proto_message error_reply = {
        .xid = 9,
        .is_reply = true,
        .procedure = SAS_RPC_BORROW,
        .status = PROC_UNAVAIL,
    };
    size_t size;
    g_autofree uint8_t *bytes = encode(&error_reply, &size);
    struct sas_proto_message got;
    assert_int_equal(open_record(bytes, size, &got, NULL), 0);
    assert_int_equal(got.status, PROC_UNAVAIL);
    assert_int_equal(got.encoded_size, 0);
    assert_int_equal(SasProto_Decode(&got, NULL), 0);
}

static void
test_truncation_at_every_byte(void **state)
{
    (void)state;
    for (int i = 0; i < SAMPLE_COUNT; i++) {
        struct sas_proto_message sample = Sample_Get(i);
        size_t size;
        g_autofree uint8_t *bytes = encode(&sample, &size);
        struct sas_proto_message got;
        for (size_t length = 0; length < size; length++) {
            assert_int_equal(open_record(bytes, length, &got, NULL), -1);
        }
        size_t body_size;
        g_autofree uint8_t *body =
            SasProto_EncodeBody(&sample, &body_size, NULL);
        for (size_t length = 0; length < body_size; length++) {
            assert_int_equal(decode_body(&sample, body, length), -1);
        }
    }
}

static void
test_trailing_bytes_are_refused(void **state)
{
    (void)state;
    struct sas_proto_message sample = Sample_Get(6);
    size_t size;
    g_autofree uint8_t *body = SasProto_EncodeBody(&sample, &size, NULL);
    g_autofree uint8_t *longer = g_malloc0(size + 4);
    memcpy(longer, body, size);
    assert_int_equal(decode_body(&sample, body, size), 0);
    assert_int_equal(decode_body(&sample, longer, size + 4), -1);
}

static void
test_every_bit_flip_is_detected(void **state)
{
    (void)state;
    struct sas_proto_message sample = Sample_Get(6);
    size_t size;
    g_autofree uint8_t *bytes = encode(&sample, &size);
    for (size_t bit = 0; bit < size * 8; bit++) {
        struct sas_proto_message got;
        struct sas_error error;
        bytes[bit / 8] ^= (uint8_t)(1 << bit % 8);
        assert_int_equal(open_record(bytes, size, &got, &error), -1);
        assert_int_equal(error.code, SAS_EAUTH);
        bytes[bit / 8] ^= (uint8_t)(1 << bit % 8);
    }
}

static void
test_wrong_key_or_session(void **state)
{
    (void)state;
    struct sas_proto_message sample = Sample_Get(6);
    struct sas_proto_session other = session;
    struct sas_proto_message got;
    struct sas_error error;
    size_t size;
    g_autofree uint8_t *bytes = encode(&sample, &size);
    struct sas_proto_key *wrong =
        SasProto_NewKey((const uint8_t *)"0123456789abcdeF", 16, NULL);
    assert_int_equal(
        SasProto_Authenticate(wrong, &session, bytes, size, &got, &error), -1);
    assert_int_equal(error.code, SAS_EAUTH);
    SasProto_FreeKey(wrong);
    other.answerer_nonce[15] ^= 1;
    assert_int_equal(
        SasProto_Authenticate(key, &other, bytes, size, &got, &error), -1);
    assert_int_equal(error.code, SAS_EAUTH);
    assert_null(SasProto_NewKey((const uint8_t *)"short", 5, &error));
    assert_null(SasProto_LoadKey("/nonexistent/key", &error));
    assert_int_equal(error.code, SAS_EIO);
}

static void
test_identity_mismatch_is_refused(void **state)
{
    (void)state;
    struct sas_proto_message sample = Sample_Get(6);
    struct sas_rpc_identity expected = sample.identity;
    assert_int_equal(SasProto_CheckIdentity(&sample, &expected, NULL), 0);
    expected.receiver = 2;
    assert_int_equal(SasProto_CheckIdentity(&sample, &expected, NULL), -1);
    expected = sample.identity;
    expected.receiver_incarnation++;
    assert_int_equal(SasProto_CheckIdentity(&sample, &expected, NULL), -1);
    expected = sample.identity;
    expected.sender++;
    assert_int_equal(SasProto_CheckIdentity(&sample, &expected, NULL), -1);
    expected = sample.identity;
    expected.sender_incarnation++;
    assert_int_equal(SasProto_CheckIdentity(&sample, &expected, NULL), -1);
}

static void
test_lists_are_bounded(void **state)
{
    (void)state;
    struct sas_proto_message message = {.procedure = SAS_RPC_QUARANTINE};
    size_t size;
    struct sas_error error;
    g_autofree struct sas_rpc_quarantine *entries =
        g_new0(struct sas_rpc_quarantine, SAS_RPC_MAX_QUARANTINES + 1);
    message.body.quarantine.entries.entries_val = entries;
    message.body.quarantine.entries.entries_len = SAS_RPC_MAX_QUARANTINES;
    g_autofree uint8_t *body = SasProto_EncodeBody(&message, &size, &error);
    assert_int_equal(decode_body(&message, body, size), 0);
    message.body.quarantine.entries.entries_len++;
    assert_null(SasProto_EncodeBody(&message, &size, &error));
    uint8_t claimed[8] = {0x7f, 0xff, 0xff, 0xff};
    assert_int_equal(decode_body(&message, claimed, sizeof(claimed)), -1);

    struct sas_proto_message config = Sample_Get(5);
    g_autofree char *large = g_malloc0(SAS_RPC_MAX_CONFIG + 1);
    config.body.config.bytes.bytes_val = large;
    config.body.config.bytes.bytes_len = SAS_RPC_MAX_CONFIG + 1;
    assert_null(SasProto_EncodeBody(&config, &size, &error));
    config.body.config.bytes.bytes_len = SAS_RPC_MAX_CONFIG;
    g_autofree uint8_t *bytes = encode(&config, &size);
    assert_non_null(bytes);
    assert_true(size <= SasProto_MAX_RECORD);
}

/* A gossip call whose longest lists are full must fit the limit of an accepted
 * connection, and a HELLO call the limit before HELLO has succeeded. */
static void
test_longest_calls_fit_the_record_limits(void **state)
{
    (void)state;
    struct sas_proto_message call = Sample_Get(2);
    struct sas_rpc_gossip *gossip = &call.body.gossip;
    size_t size;
    g_autofree char *zeros = g_malloc0(65536);
    gossip->budgets.budgets_len = SAS_RPC_MAX_BUDGETS;
    gossip->budgets.budgets_val = (void *)zeros;
    gossip->loads.loads_len = SAS_RPC_MAX_LOADS;
    gossip->loads.loads_val = (void *)zeros;
    gossip->quarantines.quarantines_len = SAS_RPC_MAX_QUARANTINES;
    gossip->quarantines.quarantines_val = (void *)zeros;
    gossip->members.members_len = SAS_RPC_MAX_MEMBERS;
    gossip->members.members_val = (void *)zeros;
    g_autofree uint8_t *bytes = encode(&call, &size);
    assert_non_null(bytes);
    assert_true(size <= SasProto_MAX_CALL_RECORD);
    struct sas_proto_message hello = Sample_Get(0);
    g_autofree uint8_t *hello_bytes = encode(&hello, &size);
    assert_non_null(hello_bytes);
    assert_true(size <= SasProto_MAX_HELLO_RECORD);
}

static void
test_random_bytes(void **state)
{
    (void)state;
    GRand *random = g_rand_new_with_seed(SEED);
    uint8_t bytes[512];
    for (int round = 0; round < RANDOM_ROUNDS; round++) {
        size_t size = (size_t)g_rand_int_range(random, 0, sizeof(bytes));
        for (size_t i = 0; i < size; i++) {
            bool small = g_rand_boolean(random);
            bytes[i] = small ? 0 : (uint8_t)g_rand_int(random);
        }
        struct sas_proto_message got;
        assert_int_equal(open_record(bytes, size, &got, NULL), -1);
        struct sas_proto_message sample =
            Sample_Get(g_rand_int_range(random, 0, SAMPLE_COUNT));
        decode_body(&sample, bytes, size);
    }
    g_rand_free(random);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_round_trips),
        cmocka_unit_test(test_gossip_fields),
        cmocka_unit_test(test_error_reply_has_no_body),
        cmocka_unit_test(test_truncation_at_every_byte),
        cmocka_unit_test(test_trailing_bytes_are_refused),
        cmocka_unit_test(test_every_bit_flip_is_detected),
        cmocka_unit_test(test_wrong_key_or_session),
        cmocka_unit_test(test_identity_mismatch_is_refused),
        cmocka_unit_test(test_lists_are_bounded),
        cmocka_unit_test(test_longest_calls_fit_the_record_limits),
        cmocka_unit_test(test_random_bytes),
    };
    return cmocka_run_group_tests(tests, set_up, tear_down);
}
