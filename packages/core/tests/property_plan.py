"""Plans: whatever the clocks do and whatever signals come or stay away, a
share in force is never above the ordered one nor above the schedule, rises
no faster than its ramp and only towards a region that is known to have
room; good signals lead it to the ordered share in the end."""

import ctypes
import math
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

import steering_support as sas

EPSILON = 1e-9
OLD_MS = 10000
MAX_STEP_MS = 10000
HOUR = 3600000
MIN_HEADROOM = 0.05
SHIFTS = [(0, 0, 1), (0, 0, 2), (0, 1, 2), (1, 2, 0)]

row = st.tuples(st.sampled_from(SHIFTS), st.integers(0, 200),
                st.sampled_from([0, 10, 20, 50]),
                st.sampled_from([0, 30, 100, 300]),
                st.sampled_from([0, 20]), st.sampled_from([0, 40]))
signal = st.tuples(
    st.sampled_from([math.nan, 0.0, 0.04, 0.1, 0.3, 0.9]),
    st.sampled_from([math.nan, 0.0, 900.0, OLD_MS, OLD_MS + 1.0, 1e9]))
good = (0.9, 0.0)
step = st.tuples(
    st.sampled_from([0, 1, 500, 1000, 1000, 1000, 5000, 60000, HOUR]),
    st.sampled_from([0, 0, 0, 0, 1000, -1000, HOUR, -HOUR, 24 * HOUR]),
    st.one_of(st.just([good] * 6), st.lists(signal, min_size=6, max_size=6)),
    st.sampled_from([(0, 0, 0)] * 5 + [(0, 1, 0), (0, 0, 1), (1, 0, 0)]))


def write_rows(rows):
    return "".join(
        "+%d,%s,%s,%s,%d%%,,,ramp=%d;headroom=%d%%;warm=%d\n" % (
            at, sas.SERVICES[shift[0]], sas.REGIONS[shift[1]],
            sas.REGIONS[shift[2]], share, ramp, headroom, warm)
        for shift, at, share, ramp, headroom, warm in rows)


class Plan:
    """A plan and the clocks that it is given."""

    def __init__(self, wall, monotonic=0):
        self.plan = sas.make_plan()
        self.wall = wall
        self.monotonic = monotonic
        self.highest_wall = wall
        self.latest = wall  # the schedule's clock is never later
        self.number = 0

    def close(self):
        sas.free_plan(self.plan)

    def build(self, rows, now=sas.NOW):
        self.number += 1
        return sas.build_plan(self.plan, self.number,
                              write_rows(rows).encode(), now)

    def advance(self, elapsed, jump, signals, gone):
        self.monotonic += elapsed
        self.wall += elapsed + jump
        self.highest_wall = max(self.highest_wall, self.wall)
        self.latest = max(self.wall, self.latest + elapsed // 2)
        sas.advance(self.plan, self.wall, self.monotonic,
                    (sas.c_double * 6)(*[s[0] for s in signals]),
                    (sas.c_double * 6)(*[s[1] for s in signals]),
                    (ctypes.c_uint8 * 3)(*gone))

    def get(self, shift):
        ordered = sas.c_double()
        in_force = sas.c_double()
        hold = sas.get_shift(self.plan, *shift, ordered, in_force)
        return ordered.value, in_force.value, hold

    def get_weights(self, service, home):
        weights = (sas.c_double * 3)()
        sas.get_weights(self.plan, service, home, weights)
        return list(weights)


class PlanProperties(unittest.TestCase):

    def check_step(self, plan, before, elapsed, signals, gone):
        for shift in SHIFTS:
            ordered, in_force, _ = plan.get(shift)
            headroom, age = signals[shift[0] * 3 + shift[2]]
            self.assertLessEqual(in_force, ordered + EPSILON)
            self.assertGreaterEqual(in_force, 0)
            if gone[shift[2]]:
                self.assertEqual(in_force, 0)
            if not (age <= OLD_MS and headroom >= MIN_HEADROOM):
                self.assertLessEqual(in_force, before[shift])
        for service in range(2):
            for home in range(3):
                weights = plan.get_weights(service, home)
                self.assertAlmostEqual(sum(weights), 1, 9)
                self.assertGreaterEqual(min(weights), 0)

    @settings(sas.SETTINGS, max_examples=600)
    @given(st.lists(row, max_size=6), st.lists(row, max_size=6),
           st.lists(step, max_size=30), st.integers(0, 29))
    def test_never_above_what_is_ordered_or_known(self, rows, others, steps,
                                                  change_at):
        plan = Plan(sas.NOW)
        if plan.build(rows) == 0:
            for i, (elapsed, jump, signals, gone) in enumerate(steps):
                if i == change_at:
                    plan.build(others)
                before = {shift: plan.get(shift)[1] for shift in SHIFTS}
                plan.advance(elapsed, jump, signals, gone)
                self.check_step(plan, before, elapsed, signals, gone)
        plan.close()

    @settings(sas.SETTINGS, max_examples=600)
    @given(st.lists(row.filter(lambda row: row[3] > 0), max_size=6),
           st.lists(step, max_size=30), st.integers(0, 29))
    def test_never_faster_than_the_ramp(self, rows, steps, change_at):
        """Also when the same rows come again as a new version, and when one
        call stands for a long pause."""
        plan = Plan(sas.NOW)
        if plan.build(rows) == 0:
            for i, (elapsed, jump, signals, gone) in enumerate(steps):
                if i == change_at:
                    plan.build(rows)
                before = {shift: plan.get(shift)[1] for shift in SHIFTS}
                plan.advance(elapsed, jump, signals, gone)
                for shift in SHIFTS:
                    rate = max([r[2] / 100 / (r[3] * 1000) for r in rows
                                if r[0] == shift] + [0])
                    most = rate * min(elapsed, MAX_STEP_MS)
                    rise = plan.get(shift)[1] - before[shift]
                    self.assertLessEqual(rise, most + EPSILON)
        plan.close()

    @settings(sas.SETTINGS, max_examples=600)
    @given(st.integers(0, 100), st.sampled_from([30, 100, 300]),
           st.integers(-10, 400), st.lists(step, max_size=30), st.booleans(),
           st.floats(0, 1))
    def test_never_above_the_schedule(self, at, ramp, start, steps, seeded,
                                      seed):
        """A node may start at any point of a ramp, before or after it, and be
        told anything by its peers."""
        shift = SHIFTS[0]
        plan = Plan(sas.NOW + start * 1000, 777)
        plan.build([(shift, at, 50, ramp, 0, 0)])
        for elapsed, jump, signals, gone in [(0, 0, [good] * 6,
                                              (0, 0, 0))] + steps:
            plan.advance(elapsed, jump, signals, gone)
            if seeded:
                sas.seed_plan(plan.plan, *shift, seed)
            passed = (plan.latest - sas.NOW) / 1000 - at
            most = 0.5 * min(1, max(0, passed / ramp))
            self.assertLessEqual(plan.get(shift)[1], most + EPSILON)
        plan.close()

    @settings(sas.SETTINGS, max_examples=600)
    @given(st.lists(st.integers(5, 50), min_size=1, max_size=4),
           st.lists(step, max_size=30), st.integers(0, 29))
    def test_no_clock_undoes_a_ramp(self, shares, steps, change_at):
        """Rows that only rise: as long as no region is gone, nothing falls,
        and a drain that began goes on; not when a new version repeats the
        rows either."""
        shift = SHIFTS[0]
        rows = [(shift, i * 50, share, 30, 0, 0)
                for i, share in enumerate(sorted(shares))]
        plan = Plan(sas.NOW)
        text = write_rows(rows) + "+40,,,,,,dossiers-01,\n"
        sas.build_plan(plan.plan, 1, text.encode(), sas.NOW)
        level = 0
        ordered = 0
        ahead = False
        draining = False
        for i, (elapsed, jump, signals, _) in enumerate(steps):
            if i == change_at:
                sas.build_plan(plan.plan, 2, text.encode(), sas.NOW)
            plan.advance(elapsed, jump, signals, (0, 0, 0))
            ahead = ahead or jump > 0
            if draining and not ahead:
                self.assertTrue(sas.is_draining(plan.plan, 1, 0))
            draining = sas.is_draining(plan.plan, 1, 0)
            now_ordered, now_level, _ = plan.get(shift)
            self.assertGreaterEqual(now_level, level)
            self.assertGreaterEqual(now_ordered, ordered)
            level, ordered = now_level, now_ordered
            if plan.wall >= sas.NOW + 40000:
                self.assertTrue(sas.is_draining(plan.plan, 1, 0))
        plan.close()

    @sas.SETTINGS
    @given(st.lists(row, max_size=6), st.lists(step, max_size=10))
    def test_good_signals_lead_to_the_ordered_share(self, rows, steps):
        """Whatever happened before, 30 quiet minutes with good signals once
        the wall clock is right again bring the last row of each shift."""
        plan = Plan(sas.NOW)
        if plan.build(rows) == 0:
            for elapsed, jump, signals, gone in steps:
                plan.advance(elapsed, jump, signals, gone)
            plan.wall = plan.highest_wall
            for _ in range(1800):
                plan.advance(1000, 0, [good] * 6, (0, 0, 0))
            for shift in SHIFTS:
                ordered, in_force, hold = plan.get(shift)
                mine = [r for r in rows if r[0] == shift]
                last = max(mine, key=lambda r: r[1])[1] if mine else 0
                shares = [r[2] for r in mine if r[1] == last]
                self.assertEqual(ordered, (shares or [0])[-1] / 100)
                self.assertAlmostEqual(in_force, ordered, 9)
                self.assertLessEqual(hold, 0)
        plan.close()


if __name__ == "__main__":
    unittest.main()
