#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "fleet_support.h"
#include "sas/admit.h"
#include "sas/traffic.h"

#define SERVERS 3

static struct sas_admit_verdict
judge(const int *loads, bool brief, bool urgent)
{
    struct sas_fleet *fleet = new_fleet();
    add_servers(fleet, "forms", "a", SERVERS);
    for (int slot = 0; slot < SERVERS; slot++) {
        SasFleet_At(fleet, slot)->traffic.in_flight = loads[slot];
        SasFleet_At(fleet, slot)->traffic.service_ms = 90;
    }
    SasFleet_At(fleet, 1)->traffic.brief_until = brief ? 2000 : 0;
    const int slots[SERVERS] = {1, 0, 2};
    struct sas_admit_verdict verdict =
        SasAdmit_Judge(fleet, slots, SERVERS, urgent, 1000);
    SasFleet_Free(fleet);
    return verdict;
}

/* Load: a burst. Its requests wait at their owner although others are idle:
 * there each of them would be new and take three times as long. */
static void
test_a_burst_waits_at_the_owner(void **state)
{
    (void)state;
    assert_int_equal(judge((const int[]){0, 0, 0}, false, false).slot, 1);
    assert_int_equal(judge((const int[]){0, 8, 0}, false, false).slot, 1);
}

/* Load: more than the owner bears, for seconds. What can't be in time is
 * refused at once, and told when to come back; the more urgent kind of
 * request is let in a little longer. */
static void
test_more_than_the_owner_bears_is_refused_at_once(void **state)
{
    (void)state;
    struct sas_admit_verdict full =
        judge((const int[]){0, 9, 0}, false, false);
    assert_int_equal(full.slot, SasModel_NONE);
    assert_in_range(full.retry_after_ms, 50, 100);
    assert_int_equal(judge((const int[]){0, 5, 0}, true, false).slot,
                     SasModel_NONE);
    assert_int_equal(judge((const int[]){0, 5, 0}, true, true).slot, 1);
}

static void
test_without_a_server_nothing_is_sent(void **state)
{
    (void)state;
    assert_int_equal(SasAdmit_Judge(NULL, NULL, 0, true, 0).slot,
                     SasModel_NONE);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_a_burst_waits_at_the_owner),
        cmocka_unit_test(test_more_than_the_owner_bears_is_refused_at_once),
        cmocka_unit_test(test_without_a_server_nothing_is_sent),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
