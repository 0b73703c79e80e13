#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <cmocka.h>

#include "sas/carried_ids.h"

#define REQUESTS 2000
#define GAP_MS 25

/* A second attempt on the connection of the first would take the second copy
 * of its answer for its own. */
static void
test_an_id_is_known_for_as_long_as_its_request_may_last(void **state)
{
    (void)state;
    struct sas_carried_ids ids = {0};
    assert_false(SasCarriedIds_Has(&ids, "a", 1000));
    SasCarriedIds_Note(&ids, "a", 1000);
    SasCarriedIds_Note(&ids, "b", 2000);
    assert_true(SasCarriedIds_Has(&ids, "a", 2000));
    assert_true(
        SasCarriedIds_Has(&ids, "a", 1000 + SasCarriedIds_REMEMBER_MS));
    assert_false(
        SasCarriedIds_Has(&ids, "a", 1001 + SasCarriedIds_REMEMBER_MS));
    assert_true(
        SasCarriedIds_Has(&ids, "b", 1001 + SasCarriedIds_REMEMBER_MS));
    assert_false(SasCarriedIds_Has(&ids, "c", 2000));
    SasCarriedIds_Close(&ids);
}

/* Ids that are kept for good would fill the memory of a busy connection. */
static void
test_old_ids_are_forgotten(void **state)
{
    (void)state;
    struct sas_carried_ids ids = {0};
    int64_t now_ms = 1000;
    for (int i = 0; i < REQUESTS; i++, now_ms += GAP_MS) {
        char id[16];
        snprintf(id, sizeof(id), "%d", i);
        assert_false(SasCarriedIds_Has(&ids, id, now_ms));
        SasCarriedIds_Note(&ids, id, now_ms);
        assert_true(SasCarriedIds_Has(&ids, id, now_ms));
        assert_true(ids.entries->len <=
                    SasCarriedIds_REMEMBER_MS / GAP_MS + 1);
    }
    SasCarriedIds_Close(&ids);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(
            test_an_id_is_known_for_as_long_as_its_request_may_last),
        cmocka_unit_test(test_old_ids_are_forgotten),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
