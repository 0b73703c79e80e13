#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "sas/cached_objects.h"

#define OBJECTS 100000

static struct sas_server_ref
make_ref(int slot, uint32_t generation)
{
    return (struct sas_server_ref){.slot = slot, .generation = generation};
}

static void
test_object_is_cached_where_it_was_answered(void **state)
{
    (void)state;
    struct sas_cached_objects *objects = SasCachedObjects_New();
    SasCachedObjects_NoteAnswered(objects, 0, 77, make_ref(3, 1));
    SasCachedObjects_NoteAnswered(objects, 0, 77, make_ref(0, 1));
    assert_true(SasCachedObjects_IsCached(objects, 0, 77, make_ref(3, 1)));
    assert_true(SasCachedObjects_IsCached(objects, 0, 77, make_ref(0, 1)));
    assert_false(SasCachedObjects_IsCached(objects, 0, 77, make_ref(2, 1)));
    assert_false(SasCachedObjects_IsCached(objects, 0, 78, make_ref(3, 1)));
    assert_false(SasCachedObjects_IsCached(objects, 1, 77, make_ref(3, 1)));
    SasCachedObjects_Free(objects);
}

/* A server crashes and starts again in the same slot: its cache is empty, and
 * requests that were expected to be fast are slow. */
static void
test_restarted_server_has_nothing_cached(void **state)
{
    (void)state;
    struct sas_cached_objects *objects = SasCachedObjects_New();
    SasCachedObjects_NoteAnswered(objects, 0, 77, make_ref(3, 1));
    assert_false(SasCachedObjects_IsCached(objects, 0, 77, make_ref(3, 2)));
    SasCachedObjects_Free(objects);
}

/* While a request is pending after which the object is cached, others needn't
 * warm a second server. */
static void
test_pending_first_request_is_kept_until_its_answer(void **state)
{
    (void)state;
    struct sas_cached_objects *objects = SasCachedObjects_New();
    SasCachedObjects_NoteLoading(objects, 0, 77, make_ref(3, 1), 5000);
    assert_int_equal(
        SasCachedObjects_GetLoadingSince(objects, 0, 77, make_ref(3, 1)),
        5000);
    assert_int_equal(
        SasCachedObjects_GetLoadingSince(objects, 0, 77, make_ref(4, 1)), 0);
    assert_false(SasCachedObjects_IsCached(objects, 0, 77, make_ref(3, 1)));
    SasCachedObjects_NoteAnswered(objects, 0, 77, make_ref(3, 1));
    assert_int_equal(
        SasCachedObjects_GetLoadingSince(objects, 0, 77, make_ref(3, 1)), 0);
    SasCachedObjects_Free(objects);
}

/* Callers that name a new object in each request must not use up memory. */
static void
test_table_is_bounded_and_keeps_the_latest(void **state)
{
    (void)state;
    struct sas_cached_objects *objects = SasCachedObjects_New();
    for (uint64_t key = 1; key <= OBJECTS; key++) {
        SasCachedObjects_NoteAnswered(objects, 0, key * 0x9e3779b97f4a7c15ULL,
                                      make_ref(1, 1));
    }
    int cached = 0;
    for (uint64_t key = 1; key <= OBJECTS; key++) {
        cached += SasCachedObjects_IsCached(
            objects, 0, key * 0x9e3779b97f4a7c15ULL, make_ref(1, 1));
    }
    assert_true(cached <= SasCachedObjects_CAPACITY);
    assert_true(SasCachedObjects_IsCached(
        objects, 0, OBJECTS * 0x9e3779b97f4a7c15ULL, make_ref(1, 1)));
    SasCachedObjects_Free(objects);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_object_is_cached_where_it_was_answered),
        cmocka_unit_test(test_restarted_server_has_nothing_cached),
        cmocka_unit_test(test_pending_first_request_is_kept_until_its_answer),
        cmocka_unit_test(test_table_is_bounded_and_keeps_the_latest),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
