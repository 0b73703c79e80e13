#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>
#include <glib.h>

#include <rpc/rpc.h>

#include "sas/generated/mesh.h"

#define MAX_DATAGRAM 1400 /* bytes */

static u_int
encode(char *bytes)
{
    sas_mesh_wire_update updates[2] = {{.name_hash = 7, .heartbeat = 3},
                                       {.name_hash = 8, .leaving = true}};
    sas_mesh_wire_ejection ejection = {.server_hash = 9, .left_ms = 1500};
    sas_mesh_message message = {
        .format = SAS_MESH_FORMAT,
        .sender = {.name = "front-1",
                   .zone = "a",
                   .ip = "10.0.0.1",
                   .caller_port = 80},
        .updates = {.updates_len = 2, .updates_val = updates},
        .ejections = {.ejections_len = 1, .ejections_val = &ejection},
    };
    XDR xdr;
    xdrmem_create(&xdr, bytes, MAX_DATAGRAM, XDR_ENCODE);
    assert_true(xdr_sas_mesh_message(&xdr, &message));
    u_int size = xdr_getpos(&xdr);
    xdr_destroy(&xdr);
    return size;
}

static bool
decode(char *bytes, u_int size, sas_mesh_message *message)
{
    memset(message, 0, sizeof(*message));
    XDR xdr;
    xdrmem_create(&xdr, bytes, size, XDR_DECODE);
    bool decoded = xdr_sas_mesh_message(&xdr, message);
    xdr_destroy(&xdr);
    return decoded;
}

static void
release(sas_mesh_message *message)
{
    xdr_free((xdrproc_t)xdr_sas_mesh_message, (char *)message);
}

static void
test_message_round_trip(void **state)
{
    (void)state;
    char bytes[MAX_DATAGRAM];
    u_int size = encode(bytes);
    sas_mesh_message message;
    assert_true(decode(bytes, size, &message));
    assert_string_equal(message.sender.zone, "a");
    assert_int_equal(message.updates.updates_len, 2);
    assert_true(message.updates.updates_val[1].leaving);
    assert_int_equal(message.ejections.ejections_val[0].left_ms, 1500);
    release(&message);
}

/* Any process may send a datagram to the port. Decoding a truncated or
 * corrupted one must allocate no more than the bounds of the format and never
 * read beyond its end; the test run with sanitizers checks that. */
static void
test_corrupted_messages_stay_within_bounds(void **state)
{
    (void)state;
    GRand *random = g_rand_new_with_seed(20);
    char whole[MAX_DATAGRAM];
    u_int size = encode(whole);
    for (int i = 0; i < 20000; i++) {
        char bytes[MAX_DATAGRAM];
        memcpy(bytes, whole, size);
        u_int length = (u_int)g_rand_int_range(random, 0, (gint32)size + 1);
        int flips = g_rand_int_range(random, 0, 8);
        for (int j = 0; j < flips; j++) {
            bytes[g_rand_int_range(random, 0, (gint32)size)] =
                (char)g_rand_int(random);
        }
        sas_mesh_message message;
        if (decode(bytes, length, &message)) {
            assert_true(message.updates.updates_len <= SAS_MESH_MAX_UPDATES);
            assert_true(message.ejections.ejections_len <=
                        SAS_MESH_MAX_EJECTIONS);
            assert_true(strlen(message.sender.name) <= SAS_MESH_MAX_TEXT);
        }
        release(&message);
    }
    g_rand_free(random);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_message_round_trip),
        cmocka_unit_test(test_corrupted_messages_stay_within_bounds),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
