#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "sas/tag.h"

static struct sas_proto_key *
make_key(const char *text)
{
    struct sas_error error = {0};
    struct sas_proto_key *key =
        SasProto_NewKey((const uint8_t *)text, strlen(text), &error);
    assert_non_null(key);
    return key;
}

static void
test_tag_depends_on_key_nonce_and_bytes(void **state)
{
    (void)state;
    struct sas_proto_key *key = make_key("sixteen-characters");
    struct sas_proto_key *other = make_key("sixteen-characterz");
    char tag[SasTag_SIZE];
    assert_true(SasTag_Compute(key, "0123456789abcdef", "rows", 4, tag));
    assert_true(SasTag_Verify(key, "0123456789abcdef", "rows", 4, tag));
    assert_false(SasTag_Verify(other, "0123456789abcdef", "rows", 4, tag));
    assert_false(SasTag_Verify(key, "0123456789abcdee", "rows", 4, tag));
    assert_false(SasTag_Verify(key, "0123456789abcdef", "rowz", 4, tag));
    assert_false(SasTag_Verify(key, NULL, "rows", 4, tag));
    assert_false(SasTag_Verify(key, "0123456789abcdef", "rows", 4, NULL));
    assert_false(SasTag_Verify(key, "0123456789abcdef", "rows", 4, "ab"));
    tag[0] = tag[0] == 'a' ? 'b' : 'a';
    assert_false(SasTag_Verify(key, "0123456789abcdef", "rows", 4, tag));
    SasProto_FreeKey(key);
    SasProto_FreeKey(other);
}

static void
test_nonces_differ(void **state)
{
    (void)state;
    GRand *random = g_rand_new_with_seed(1);
    char one[SasTag_NONCE_SIZE];
    char two[SasTag_NONCE_SIZE];
    SasTag_GenerateNonce(random, one);
    SasTag_GenerateNonce(random, two);
    assert_int_equal(strlen(one), SasTag_NONCE_SIZE - 1);
    assert_string_not_equal(one, two);
    g_rand_free(random);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_tag_depends_on_key_nonce_and_bytes),
        cmocka_unit_test(test_nonces_differ),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
