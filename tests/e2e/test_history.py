"""Tests the checks of history.py.

A consistent history passes all checks; each test breaks it in one place and
expects a violation.
"""

import dataclasses
import unittest

import history
from history import Attempt, Sample, SheetPut

BODY = b"hood 7"
HASH = "%016x" % history.xxhash.XXH64(BODY, len(BODY), 0)
ECHO = ('{"server":"s","method":"POST","target":"/c/1","body_bytes":6,'
        '"body_hash":"%s"}' % HASH).encode()
VMS = ["a", "b"]


def make_attempt(**changes):
    attempt = Attempt(key="k", target="/c/1", method="POST", body=BODY,
                      once=True, home="home", vm="a", sent=1.0, done=2.0,
                      status=200, region="home", answer=ECHO)
    return dataclasses.replace(attempt, **changes)


def make_refusal(outcome, **changes):
    return make_attempt(status=503, outcome=outcome, region=None,
                        answer=b"{}", **changes)


def make_shifted(count, start=10.0, step=0.1):
    return [make_attempt(key="s%d" % i, home="home", region="away",
                         sent=start + i * step, done=start + i * step + 0.01)
            for i in range(count)]


def make_puts(caps=(10,), step=100.0):
    return [SheetPut("op%d" % i, "sheet %d" % i, cap, sent=i * step,
                     done=i * step + 1, answers=[(200, i + 1)])
            for i, cap in enumerate(caps)]


def make_samples(version, at):
    return [Sample(vm, 1, at, at + 0.1, version) for vm in VMS]


class HistoryTest(unittest.TestCase):

    def assert_sound(self, wrong):
        self.assertEqual(wrong, [])

    def assert_found(self, wrong, count=1):
        self.assertEqual(len(wrong), count, wrong)

    def test_an_answer_is_the_callers_own_and_whole(self):
        self.assert_sound(history.check_answers([make_attempt()]))
        self.assert_sound(history.check_answers(
            [make_attempt(target="/c?bytes=20", answer=b"/c?bytes=20/c?bytes=")
             ]))
        for changes in ({"target": "/c/2"}, {"body": b"hood 8"},
                        {"body": b"hood 77"}, {"method": "PUT"},
                        {"answer": ECHO[:-1]}, {"answer": b""},
                        {"target": "/c?bytes=20", "answer": b"/c?bytes=20"},
                        {"target": "/c?bytes=4", "answer": b"/d?b"}):
            self.assert_found(history.check_answers([make_attempt(**changes)]))

    def test_answers_of_a_key_agree(self):
        first = make_attempt()
        replay = make_attempt(region=None, replayed=True)
        unknown = make_refusal("unknown")
        self.assert_sound(history.check_agreement([first, replay, unknown]))
        for changes in ({"answer": b"other"}, {"status": 500}):
            self.assert_found(history.check_agreement(
                [first, dataclasses.replace(replay, **changes)]))

    def test_a_key_is_started_once(self):
        check = history.check_single_runs
        self.assert_sound(check([make_attempt()], {"k": 1}))
        self.assert_found(check([make_attempt()], {"k": 2}))
        self.assert_sound(check([make_attempt(once=False)], {"k": 2}))

    def test_not_run_means_nothing_started(self):
        refused = make_refusal("not-run")
        self.assert_sound(history.check_not_run([refused], {}))
        self.assert_found(history.check_not_run([refused], {"k": 1}))
        self.assert_found(history.check_not_run([refused, refused],
                                                {"k": 1}))
        get = dataclasses.replace(refused, method="GET", once=False)
        self.assert_found(history.check_not_run([get], {"k": 1}))

    def test_not_run_beside_other_answers(self):
        pair = [make_refusal("not-run"), make_refusal("unknown")]
        self.assert_sound(history.check_not_run(pair, {"k": 1}))
        self.assert_found(history.check_not_run(pair, {"k": 2}))
        lost = make_attempt(status=None, region=None)
        self.assert_sound(history.check_not_run([lost], {"k": 1}))
        self.assert_found(history.check_not_run(
            [dataclasses.replace(lost, once=False)], {"k": 2}))
        get = dataclasses.replace(lost, method="GET", once=False)
        self.assert_sound(history.check_not_run([get], {"k": 3}))

    def check_cap(self, attempts, puts, samples=()):
        return history.check_cap(attempts, puts, list(samples), VMS, "home",
                                 "away")

    # The cap is 10 requests/s, with a burst of 3 more.
    def test_shifts_stay_under_the_cap(self):
        self.assert_sound(self.check_cap(make_shifted(100), make_puts()))
        self.assert_sound(self.check_cap(make_shifted(3, step=0),
                                         make_puts()))
        self.assertTrue(self.check_cap(make_shifted(4, step=0), make_puts()))
        self.assertTrue(self.check_cap(make_shifted(100, step=0.09),
                                       make_puts()))
        self.assertTrue(self.check_cap(make_shifted(1), []))

    # A short burst is found although its average over a long window is low.
    def test_every_window_counts(self):
        quiet = make_shifted(2, start=1.0, step=20)
        self.assert_sound(self.check_cap(quiet, make_puts()))
        self.assertTrue(self.check_cap(
            quiet + make_shifted(6, start=12.0, step=0.01), make_puts()))

    # The higher cap counts until every entry VM has reported the lower one.
    def test_the_higher_cap_counts_until_all_have_the_lower(self):
        puts = make_puts((30, 10))
        fast = make_shifted(30, start=110.0, step=0.04)
        self.assert_sound(self.check_cap(fast, puts, make_samples(1, 50)))
        self.assertTrue(self.check_cap(fast, puts, make_samples(2, 105)))
        self.assert_sound(self.check_cap(fast, puts,
                                         make_samples(2, 105)[:1]))
        frozen = Sample("b", 1, 112, 112.1, 1)
        self.assert_sound(self.check_cap(
            fast, puts, make_samples(2, 105) + [frozen]))
        empty = Sample("b", 2, 112, 112.1, 0)
        self.assertTrue(self.check_cap(
            fast, puts, make_samples(2, 105) + [empty]))

    def test_only_stalled_connections_exceed_capacity(self):
        def check(peak, stalls):
            return history.check_concurrency("home", peak, 20, stalls, 3, 2.0)
        self.assert_sound(check(20, []))
        self.assert_found(check(21, []))
        self.assert_sound(check(23, [5.0, 9.0]))
        self.assert_found(check(24, [5.0, 9.0]))
        self.assert_sound(check(26, [5.0, 6.0]))

    def test_versions_only_rise(self):
        first, second = Sample("a", 1, 1, 2, 5), Sample("a", 1, 3, 4, 4)
        self.assert_found(history.check_versions_rise([first, second]))
        for changes in ({"incarnation": 2}, {"vm": "b"}, {"sent": 1.5},
                        {"version": 5}):
            self.assert_sound(history.check_versions_rise(
                [first, dataclasses.replace(second, **changes)]))

    def test_accepted_sheets_are_in_the_history_once(self):
        puts = make_puts((10, 20))
        sound = [(1, "op0"), (2, "op1")]
        self.assert_sound(history.check_versions(puts, sound))
        for versions in (sound[:1], sound + [(3, "op1")],
                         [(1, "op1"), (2, "op0")], [(1, "op0"), (3, "op1")],
                         sound + [(3, "unknown")]):
            self.assertTrue(history.check_versions(puts, versions), versions)

    def test_a_refused_sheet_is_not_in_force(self):
        puts = make_puts((10, 20))
        versions = [(1, "op0"), (2, "op1")]
        for answers, is_sound in (([(409, "conflict")], False),
                                  ([(503, "store-unavailable")], False),
                                  ([(503, "unknown")], True),
                                  ([(None, None), (409, "conflict")], True)):
            puts[1].answers = answers
            self.assertEqual(history.check_versions(puts, versions) == [],
                             is_sound, answers)

    def test_the_accepted_sheet_is_the_one_in_force(self):
        puts = make_puts((10, 20))
        versions = [(1, "op0")]
        sample = Sample("a", 1, 1, 2, 1, "sheet 0")
        self.assert_sound(history.check_sheets(puts, versions, [sample]))
        for changes in ({"sheet": "sheet 1"}, {"version": 2}):
            self.assert_found(history.check_sheets(
                puts, versions, [dataclasses.replace(sample, **changes)]))

    def test_all_entry_vms_converge(self):
        self.assert_sound(history.check_converged(3, {"a": (3, 200)}))
        self.assert_found(history.check_converged(
            3, {"a": (3, 200), "b": (2, 200)}))
        self.assert_found(history.check_converged(
            3, {"a": (None, None), "b": (3, 200)}))
        self.assert_found(history.check_converged(
            3, {"a": (3, 503), "b": (3, 200)}))


if __name__ == "__main__":
    unittest.main()
