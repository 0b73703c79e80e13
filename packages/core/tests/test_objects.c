#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "sas/objects.h"

#define MANY 100000

static struct sas_server_ref
make_ref(int slot, uint32_t generation)
{
    return (struct sas_server_ref){.slot = slot, .generation = generation};
}

static void
test_an_object_is_known_where_it_was_answered(void **state)
{
    (void)state;
    struct sas_objects *objects = SasObjects_New();
    SasObjects_NoteAnswered(objects, 0, 77, make_ref(3, 1));
    SasObjects_NoteAnswered(objects, 0, 77, make_ref(0, 1));
    assert_true(SasObjects_IsKnown(objects, 0, 77, make_ref(3, 1)));
    assert_true(SasObjects_IsKnown(objects, 0, 77, make_ref(0, 1)));
    assert_false(SasObjects_IsKnown(objects, 0, 77, make_ref(2, 1)));
    assert_false(SasObjects_IsKnown(objects, 0, 78, make_ref(3, 1)));
    assert_false(SasObjects_IsKnown(objects, 1, 77, make_ref(3, 1)));
    SasObjects_Free(objects);
}

/* A server crashes and starts again in its place: it remembers nothing, and
 * work that was taken for short is long. */
static void
test_a_server_that_started_anew_knows_nothing(void **state)
{
    (void)state;
    struct sas_objects *objects = SasObjects_New();
    SasObjects_NoteAnswered(objects, 0, 77, make_ref(3, 1));
    assert_false(SasObjects_IsKnown(objects, 0, 77, make_ref(3, 2)));
    SasObjects_Free(objects);
}

/* A request is on its way that will make the object known; others need not
 * make it known a second time. */
static void
test_a_request_that_makes_it_known_is_remembered_until_its_answer(void **state)
{
    (void)state;
    struct sas_objects *objects = SasObjects_New();
    SasObjects_NoteSent(objects, 0, 77, make_ref(3, 1), 5000);
    assert_int_equal(SasObjects_GetSentAt(objects, 0, 77, make_ref(3, 1)),
                     5000);
    assert_int_equal(SasObjects_GetSentAt(objects, 0, 77, make_ref(4, 1)), 0);
    assert_false(SasObjects_IsKnown(objects, 0, 77, make_ref(3, 1)));
    SasObjects_NoteAnswered(objects, 0, 77, make_ref(3, 1));
    assert_int_equal(SasObjects_GetSentAt(objects, 0, 77, make_ref(3, 1)), 0);
    SasObjects_Free(objects);
}

/* Callers that name a new object with each request must not take memory. */
static void
test_the_table_is_bounded_and_keeps_the_latest(void **state)
{
    (void)state;
    struct sas_objects *objects = SasObjects_New();
    for (uint64_t key = 1; key <= MANY; key++) {
        SasObjects_NoteAnswered(objects, 0, key * 0x9e3779b97f4a7c15ULL,
                                make_ref(1, 1));
    }
    int known = 0;
    for (uint64_t key = 1; key <= MANY; key++) {
        known += SasObjects_IsKnown(objects, 0, key * 0x9e3779b97f4a7c15ULL,
                                    make_ref(1, 1));
    }
    assert_true(known <= SasObjects_CAPACITY);
    assert_true(SasObjects_IsKnown(objects, 0, MANY * 0x9e3779b97f4a7c15ULL,
                                   make_ref(1, 1)));
    SasObjects_Free(objects);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_an_object_is_known_where_it_was_answered),
        cmocka_unit_test(test_a_server_that_started_anew_knows_nothing),
        cmocka_unit_test(
            test_a_request_that_makes_it_known_is_remembered_until_its_answer),
        cmocka_unit_test(test_the_table_is_bounded_and_keeps_the_latest),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
