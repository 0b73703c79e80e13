#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "sas/membership.h"

#define SEATS 9
#define START_MS 100000

static struct sas_membership table;
static GRand *random_numbers;

static int
set_up(void **state)
{
    (void)state;
    SasMembership_Init(&table, SEATS, 0, 50, START_MS);
    random_numbers = g_rand_new_with_seed(7);
    return 0;
}

static int
tear_down(void **state)
{
    (void)state;
    SasMembership_Close(&table);
    g_rand_free(random_numbers);
    return 0;
}

static int
hear(int seat, uint64_t incarnation, uint32_t heartbeat, int64_t age_ms,
     int64_t now_ms)
{
    struct sas_member_news news = {.seat = seat,
                                   .incarnation = incarnation,
                                   .heartbeat = heartbeat,
                                   .age_ms = age_ms};
    return SasMembership_Merge(&table, &news, now_ms);
}

static void
assert_state(int seat, int64_t now_ms, enum sas_member_state expected)
{
    assert_string_equal(SasMembership_GetStateName(
                            SasMembership_GetState(&table, seat, now_ms)),
                        SasMembership_GetStateName(expected));
}

static void
test_states_follow_age(void **state)
{
    (void)state;
    const struct sas_membership_times *times = &table.times;
    assert_state(1, START_MS, SAS_MEMBER_UNKNOWN);
    assert_int_equal(hear(1, 60, 5, 0, START_MS), SAS_CHANGE_MEMBER);
    assert_state(1, START_MS, SAS_MEMBER_LIVE);
    assert_state(1, START_MS + times->suspect_ms, SAS_MEMBER_SUSPECT);
    assert_state(1, START_MS + times->gone_ms, SAS_MEMBER_GONE);
    assert_state(0, START_MS + times->gone_ms, SAS_MEMBER_LIVE);
    assert_state(SEATS, START_MS, SAS_MEMBER_UNKNOWN);
}

/* A process dies. Its last news goes round among the others, each time with
 * an age a little too small, since the message took a while. Callers would
 * be sent to the dead process for good if that made it look younger. */
static void
test_relays_do_not_renew_a_dead_process(void **state)
{
    (void)state;
    struct sas_membership other;
    struct sas_member_news news[SEATS];
    int64_t now_ms = START_MS;
    SasMembership_Init(&other, SEATS, 2, 70, START_MS);
    hear(1, 60, 5, 0, START_MS);
    struct sas_membership *from = &table;
    struct sas_membership *to = &other;
    while (now_ms < START_MS + table.times.gone_ms) {
        int count = SasMembership_FillDigest(from, random_numbers, now_ms,
                                             news, SEATS);
        now_ms += 50;
        for (int i = 0; i < count; i++) {
            SasMembership_Merge(to, &news[i], now_ms);
        }
        struct sas_membership *swap = from;
        from = to;
        to = swap;
    }
    assert_state(1, now_ms, SAS_MEMBER_GONE);
    SasMembership_Close(&other);
}

static void
test_leaving_sticks_for_its_incarnation(void **state)
{
    (void)state;
    struct sas_member_news news = {
        .seat = 1, .incarnation = 60, .heartbeat = 5, .leaving = true};
    hear(1, 60, 4, 0, START_MS);
    assert_int_equal(SasMembership_Merge(&table, &news, START_MS),
                     SAS_CHANGE_MEMBER);
    assert_int_equal(hear(1, 60, 9, 0, START_MS), 0);
    assert_state(1, START_MS, SAS_MEMBER_LEAVING);
    assert_int_equal(hear(1, 61, 1, 0, START_MS), SAS_CHANGE_MEMBER);
    assert_state(1, START_MS, SAS_MEMBER_LIVE);
    assert_int_equal(SasMembership_Merge(&table, &news, START_MS), 0);
    assert_state(1, START_MS, SAS_MEMBER_LIVE);
}

static void
test_silence_raises_doubt_and_the_seat_refutes_it(void **state)
{
    (void)state;
    hear(1, 60, 5, 0, START_MS);
    SasMembership_NoteDirect(&table, 2, 70, START_MS);
    assert_false(SasMembership_MayRetry(&table, 1));
    assert_int_equal(SasMembership_NoteSilence(&table, 1, START_MS + 1), 0);
    assert_true(SasMembership_MayRetry(&table, 1));
    assert_int_equal(SasMembership_NoteSilence(&table, 1, START_MS + 2),
                     SAS_CHANGE_MEMBER);
    assert_state(1, START_MS + 2, SAS_MEMBER_SUSPECT);
    assert_state(1, START_MS + 2 + table.times.refute_ms, SAS_MEMBER_GONE);
    hear(1, 60, 6, 0, START_MS + 3);
    assert_state(1, START_MS + 3, SAS_MEMBER_LIVE);

    struct sas_membership doubted;
    SasMembership_Init(&doubted, SEATS, 1, 60, START_MS);
    struct sas_member_news news = {
        .seat = 1, .incarnation = 60, .heartbeat = 5, .doubt = 8};
    assert_int_equal(SasMembership_Merge(&doubted, &news, START_MS),
                     SAS_CHANGE_MEMBER);
    assert_true(doubted.members[1].heartbeat > 8);
    assert_int_equal(SasMembership_Merge(&doubted, &news, START_MS), 0);
    SasMembership_Close(&doubted);
}

/* One node's news of a dead seat is old when it finds the silence; another
 * node then hears a heartbeat of between. The doubt must still hold, or at
 * 1,500 seats a death would take as long to be known as the oldest news. */
static void
test_doubt_covers_heartbeats_not_heard_yet(void **state)
{
    (void)state;
    int64_t beats = 4;
    int64_t later_ms = START_MS + beats * table.times.interval_ms;
    hear(1, 60, 5, 0, START_MS);
    SasMembership_NoteDirect(&table, 2, 70, later_ms);
    SasMembership_NoteSilence(&table, 1, later_ms);
    SasMembership_NoteSilence(&table, 1, later_ms);
    hear(1, 60, 5 + (uint32_t)beats, table.times.interval_ms, later_ms);
    assert_state(1, later_ms, SAS_MEMBER_SUSPECT);
    hear(1, 60, 6 + (uint32_t)beats, 0, later_ms);
    assert_state(1, later_ms, SAS_MEMBER_LIVE);
}

static void
test_a_wild_doubt_does_not_use_up_heartbeats(void **state)
{
    (void)state;
    struct sas_member_news news = {
        .seat = 0, .incarnation = 50, .heartbeat = 1, .doubt = UINT32_MAX};
    SasMembership_Merge(&table, &news, START_MS);
    assert_true(table.members[0].heartbeat < 1000000);
}

static void
test_own_hearing_beats_the_doubt_of_others(void **state)
{
    (void)state;
    struct sas_member_news news = {
        .seat = 1, .incarnation = 60, .heartbeat = 5, .doubt = 5};
    SasMembership_Merge(&table, &news, START_MS);
    assert_state(1, START_MS, SAS_MEMBER_SUSPECT);
    SasMembership_NoteDirect(&table, 1, 60, START_MS + 1);
    assert_state(1, START_MS + 1, SAS_MEMBER_LIVE);
}

/* A node loses its network for a while. All others look silent to it. It
 * must know that it is the one, and spread no doubt when the cut heals. */
static void
test_who_hears_nobody_is_cut_off(void **state)
{
    (void)state;
    int64_t later_ms = START_MS + table.times.cut_off_ms;
    hear(1, 60, 5, 0, START_MS);
    assert_false(SasMembership_IsCutOff(&table, later_ms - 1));
    assert_true(SasMembership_IsCutOff(&table, later_ms));
    for (int i = 0; i < 2 * SasMembership_SILENCE_LIMIT; i++) {
        assert_int_equal(SasMembership_NoteSilence(&table, 1, later_ms), 0);
    }
    assert_int_equal(table.members[1].doubt, 0);
    SasMembership_NoteDirect(&table, 2, 70, later_ms);
    assert_false(SasMembership_IsCutOff(&table, later_ms));
}

static void
test_a_second_process_of_our_seat_is_seen(void **state)
{
    (void)state;
    assert_int_equal(hear(0, 49, 1, 0, START_MS), 0);
    assert_int_equal(table.replaced_by, 0);
    hear(0, 51, 1, 0, START_MS);
    assert_int_equal(table.replaced_by, 51);
    assert_int_equal(table.members[0].incarnation, 50);
}

static void
test_a_process_whose_clock_went_back_renews_itself(void **state)
{
    (void)state;
    assert_int_equal(SasMembership_Renew(&table, START_MS), 0);
    hear(0, 51, 1, 0, START_MS);
    assert_int_equal(SasMembership_Renew(&table, START_MS), 52);
    assert_int_equal(table.members[0].incarnation, 52);
    hear(0, 51, 9, 0, START_MS);
    assert_int_equal(SasMembership_Renew(&table, START_MS), 0);
}

static void
test_picks_are_different_and_never_oneself(void **state)
{
    (void)state;
    int seats[SEATS];
    int gone_picks = 0;
    int64_t now_ms = START_MS + table.times.gone_ms;
    for (int seat = 1; seat < SEATS; seat++) {
        hear(seat, 60, 5, seat == 8 ? table.times.gone_ms : 0, now_ms);
    }
    for (int round = 0; round < 400; round++) {
        assert_int_equal(
            SasMembership_PickPeers(&table, random_numbers, now_ms, seats, 3),
            3);
        for (int i = 0; i < 3; i++) {
            assert_int_not_equal(seats[i], 0);
            assert_int_not_equal(seats[i], seats[(i + 1) % 3]);
            gone_picks += seats[i] == 8;
        }
    }
    assert_in_range(gone_picks, 20, 100);
    assert_int_equal(
        SasMembership_PickPeers(&table, random_numbers, now_ms, seats, SEATS),
        SEATS - 1);
}

static void
test_digest_holds_changes_first(void **state)
{
    (void)state;
    struct sas_membership large;
    struct sas_member_news news[4];
    SasMembership_Init(&large, 200, 150, 50, START_MS);
    for (int seat = 0; seat < 200; seat++) {
        struct sas_member_news live = {
            .seat = seat, .incarnation = 60, .heartbeat = 1};
        SasMembership_Merge(&large, &live, START_MS);
        large.members[seat].sends_left = 0;
    }
    struct sas_member_news change = {
        .seat = 77, .incarnation = 60, .heartbeat = 1, .leaving = true};
    SasMembership_Merge(&large, &change, START_MS);
    int sends = large.members[77].sends_left;
    for (int i = 0; i < sends; i++) {
        assert_int_equal(SasMembership_FillDigest(&large, random_numbers,
                                                  START_MS, news, 4),
                         4);
        assert_int_equal(news[0].seat, 150);
        assert_int_equal(news[1].seat, 77);
        assert_true(news[1].leaving);
    }
    assert_int_equal(large.members[77].sends_left, 0);
    SasMembership_Close(&large);
}

static void
test_a_single_seat(void **state)
{
    (void)state;
    struct sas_membership alone;
    int seat;
    SasMembership_Init(&alone, 1, 0, 50, START_MS);
    assert_int_equal(
        SasMembership_PickPeers(&alone, random_numbers, START_MS, &seat, 1),
        0);
    assert_false(SasMembership_IsCutOff(&alone, START_MS + 1000000));
    SasMembership_Close(&alone);
}

/* Backend servers */

static void
test_any_source_suffices(void **state)
{
    (void)state;
    struct sas_departure_table departures;
    SasDeparture_Init(&departures, 3);
    SasDeparture_NoteReport(&departures, 0, 11, false, 100);
    assert_false(SasDeparture_IsLeaving(&departures, 0));
    assert_true(SasDeparture_NoteReport(&departures, 0, 11, true, 200));
    assert_false(SasDeparture_NoteReport(&departures, 0, 11, false, 300));
    assert_true(SasDeparture_IsLeaving(&departures, 0));
    assert_true(SasDeparture_NoteListed(&departures, 1, SAS_DEPARTURE_SHEET));
    SasDeparture_NoteReport(&departures, 1, 12, false, 300);
    assert_true(SasDeparture_IsLeaving(&departures, 1));
    assert_true(
        SasDeparture_NoteListed(&departures, 2, SAS_DEPARTURE_PLATFORM));
    assert_true(SasDeparture_IsLeaving(&departures, 2));
    assert_false(SasDeparture_IsLeaving(&departures, 3));
    SasDeparture_Close(&departures);
}

/* A server says that it is leaving and restarts. A peer's report of before
 * the restart comes in late; it must not mark the new process. */
static void
test_a_restarted_server_begins_anew(void **state)
{
    (void)state;
    struct sas_departure_table departures;
    SasDeparture_Init(&departures, 1);
    SasDeparture_NoteReport(&departures, 0, 11, true, 100);
    SasDeparture_NoteReport(&departures, 0, 22, false, 200);
    assert_false(SasDeparture_IsLeaving(&departures, 0));
    assert_false(SasDeparture_NoteReport(&departures, 0, 11, true, 150));
    assert_false(SasDeparture_IsLeaving(&departures, 0));
    SasDeparture_Close(&departures);
}

int
main(void)
{
#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)
    const struct CMUnitTest tests[] = {
        TEST(test_states_follow_age),
        TEST(test_relays_do_not_renew_a_dead_process),
        TEST(test_leaving_sticks_for_its_incarnation),
        TEST(test_silence_raises_doubt_and_the_seat_refutes_it),
        TEST(test_doubt_covers_heartbeats_not_heard_yet),
        TEST(test_a_wild_doubt_does_not_use_up_heartbeats),
        TEST(test_own_hearing_beats_the_doubt_of_others),
        TEST(test_who_hears_nobody_is_cut_off),
        TEST(test_a_second_process_of_our_seat_is_seen),
        TEST(test_a_process_whose_clock_went_back_renews_itself),
        TEST(test_a_process_whose_clock_went_back_renews_itself),
        TEST(test_picks_are_different_and_never_oneself),
        TEST(test_digest_holds_changes_first),
        TEST(test_a_single_seat),
        TEST(test_any_source_suffices),
        TEST(test_a_restarted_server_begins_anew),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
