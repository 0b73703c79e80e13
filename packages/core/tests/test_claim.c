#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "sas/claim.h"

#define DIGEST "00112233445566778899aabbccddeeff"

static void
start(struct sas_claim *c, const char *token)
{
    assert_int_equal(
        SasClaim_Init(c, "filing-desk", "court-7", "k1", DIGEST, token, NULL),
        0);
    assert_int_equal(SasClaim_Handle(c, SAS_CLAIM_START, NULL, NULL).action,
                     SAS_CLAIM_INSERT);
}

static void
test_hashes_keep_fields_apart(void **state)
{
    (void)state;
    char a[SasClaim_ROW_KEY_SIZE];
    char b[SasClaim_ROW_KEY_SIZE];
    SasClaim_GetRowKey("filing-desk", "ab", "c", a);
    SasClaim_GetRowKey("filing-desk", "a", "bc", b);
    assert_string_not_equal(a, b);
    assert_int_equal(strncmp(a, "claim/filing-desk/", 18), 0);
    char x[SasClaim_HASH_SIZE];
    char y[SasClaim_HASH_SIZE];
    SasClaim_GetDigest("POST", "/f", "a", 1, x);
    SasClaim_GetDigest("POST", "/f", "b", 1, y);
    assert_string_not_equal(x, y);
}

static void
test_row_round_trips_through_json(void **state)
{
    (void)state;
    struct sas_claim c;
    struct sas_claim_row row;
    start(&c, "t1");
    SasClaim_SetAnswer(&c, 201, "Content-Type: text/plain\r\n", "a\0b\xff", 4);
    c.row.state = SAS_CLAIM_DONE;
    g_autofree char *text = SasClaim_EncodeRow(&c.row);
    assert_int_equal(SasClaim_DecodeRow(text, &row, NULL), 0);
    assert_int_equal(row.status, 201);
    assert_string_equal(row.headers, "Content-Type: text/plain\r\n");
    assert_int_equal(row.body_size, 4);
    assert_memory_equal(row.body, "a\0b\xff", 4);
    assert_string_equal(row.token, "t1");
    SasClaim_FreeRow(&row);
    struct sas_error error;
    assert_int_equal(SasClaim_DecodeRow("{\"state\":\"done\"}", &row, &error),
                     -1);
    assert_int_equal(error.code, SAS_EINVAL);
    assert_int_equal(SasClaim_DecodeRow("[", &row, NULL), -1);
    SasClaim_Free(&c);
}

/* Two callers' keys have the same hash. The second caller finds the first
 * one's row and must get neither its answer nor its claim. */
static void
test_hash_collision_does_not_mix_callers(void **state)
{
    (void)state;
    struct sas_claim c;
    struct sas_claim_row row = {.state = SAS_CLAIM_DONE,
                                .token = "t0",
                                .digest = DIGEST,
                                .service = "filing-desk",
                                .caller = "court-8",
                                .key = "k1",
                                .status = 201};
    start(&c, "t1");
    SasClaim_Handle(&c, SAS_CLAIM_INSERT_REFUSED, NULL, NULL);
    struct sas_claim_step next =
        SasClaim_Handle(&c, SAS_CLAIM_ROW_FOUND, &row, "e1");
    assert_int_equal(next.action, SAS_CLAIM_FINISH);
    assert_int_equal(next.answer, SAS_CLAIM_COLLISION);
    SasClaim_Free(&c);
}

/* The caller was told "not run" because the store failed. A late confirmation
 * of the insert must not make the attempt send the request. */
static void
test_released_attempt_never_sends(void **state)
{
    (void)state;
    struct sas_claim c;
    start(&c, "t1");
    SasClaim_Handle(&c, SAS_CLAIM_INSERT_UNCONFIRMED, NULL, NULL);
    struct sas_claim_step next =
        SasClaim_Handle(&c, SAS_CLAIM_ROW_ABSENT, NULL, NULL);
    assert_int_equal(next.action, SAS_CLAIM_INSERT);
    next = SasClaim_Handle(&c, SAS_CLAIM_INSERT_FAILED, NULL, NULL);
    assert_int_equal(next.action, SAS_CLAIM_RELEASE);
    assert_int_equal(next.answer, SAS_CLAIM_NOT_RUN);
    next = SasClaim_Handle(&c, SAS_CLAIM_INSERT_OK, NULL, "e1");
    assert_int_not_equal(next.action, SAS_CLAIM_SEND);
    next = SasClaim_Handle(&c, SAS_CLAIM_RELEASE_OK, NULL, "e2");
    assert_int_equal(next.action, SAS_CLAIM_FINISH);
    assert_int_equal(next.answer, SAS_CLAIM_NO_ANSWER);
    SasClaim_Free(&c);
}

/* The body of a large answer is stored as an object. If that fails, a resend
 * is told that the request ran. */
static void
test_large_body_is_stored_as_object(void **state)
{
    (void)state;
    struct sas_claim c;
    static const char body[SasClaim_MAX_INLINE + 1];
    start(&c, "t1");
    SasClaim_Handle(&c, SAS_CLAIM_INSERT_OK, NULL, "e1");
    SasClaim_Handle(&c, SAS_CLAIM_FIRST_BYTE, NULL, NULL);
    SasClaim_SetAnswer(&c, 200, "", body, SasClaim_MAX_INLINE + 1);
    struct sas_claim_step next =
        SasClaim_Handle(&c, SAS_CLAIM_ANSWER_WHOLE, NULL, NULL);
    assert_int_equal(next.action, SAS_CLAIM_WRITE_OBJECT);
    assert_non_null(c.row.object);
    next = SasClaim_Handle(&c, SAS_CLAIM_OBJECT_FAILED, NULL, NULL);
    assert_int_equal(next.action, SAS_CLAIM_WRITE_DONE);
    assert_string_equal(next.etag, "e1");
    g_autofree char *text = SasClaim_EncodeRow(&c.row);
    struct sas_claim_row row;
    assert_int_equal(SasClaim_DecodeRow(text, &row, NULL), 0);
    assert_true(row.body_lost);
    struct sas_claim resend;
    start(&resend, "t2");
    SasClaim_Handle(&resend, SAS_CLAIM_INSERT_REFUSED, NULL, NULL);
    next = SasClaim_Handle(&resend, SAS_CLAIM_ROW_FOUND, &row, "e2");
    assert_int_equal(next.answer, SAS_CLAIM_RAN);
    assert_string_equal(SasClaim_GetAnswerName(next.answer), "ran");
    SasClaim_FreeRow(&row);
    SasClaim_Free(&resend);
    SasClaim_Free(&c);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_hashes_keep_fields_apart),
        cmocka_unit_test(test_row_round_trips_through_json),
        cmocka_unit_test(test_hash_collision_does_not_mix_callers),
        cmocka_unit_test(test_released_attempt_never_sends),
        cmocka_unit_test(test_large_body_is_stored_as_object),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
