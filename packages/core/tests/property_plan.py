"""Properties of plans: with any clock jumps and any signals, a share in force
never exceeds the ordered or the scheduled share and rises no faster than its
ramp, and only towards a region with known headroom. With good signals it
reaches the ordered share."""

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
    """A plan and its clocks."""

    def __init__(self, wall, monotonic=0):
        self.plan = sas.make_plan()
        self.wall = wall
        self.monotonic = monotonic
        self.highest_wall = wall
        self.latest = wall  # upper bound of the schedule clock
        self.number = 0

    def close(self):
        sas.free_plan(self.plan)

    def build(self, rows, now=sas.NOW):
        self.number += 1
        return sas.build_plan(self.plan, self.number,
                              write_rows(rows).encode(), now)

    def advance(self, elapsed, jump, signals, down):
        self.monotonic += elapsed
        self.wall += elapsed + jump
        self.highest_wall = max(self.highest_wall, self.wall)
        self.latest = max(self.wall, self.latest + elapsed // 2)
        sas.advance(self.plan, self.wall, self.monotonic,
                    (sas.c_double * 6)(*[s[0] for s in signals]),
                    (sas.c_double * 6)(*[s[1] for s in signals]),
                    (ctypes.c_uint8 * 3)(*down))

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

    def check_step(self, plan, before, elapsed, signals, down):
        for shift in SHIFTS:
            ordered, in_force, _ = plan.get(shift)
            headroom, age = signals[shift[0] * 3 + shift[2]]
            self.assertLessEqual(in_force, ordered + EPSILON)
            self.assertGreaterEqual(in_force, 0)
            if down[shift[2]]:
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
    def test_never_above_ordered_or_without_headroom(self, rows, others,
                                                     steps, change_at):
        plan = Plan(sas.NOW)
        if plan.build(rows) == 0:
            for i, (elapsed, jump, signals, down) in enumerate(steps):
                if i == change_at:
                    plan.build(others)
                before = {shift: plan.get(shift)[1] for shift in SHIFTS}
                plan.advance(elapsed, jump, signals, down)
                self.check_step(plan, before, elapsed, signals, down)
        plan.close()

    @settings(sas.SETTINGS, max_examples=600)
    @given(st.lists(row.filter(lambda row: row[3] > 0), max_size=6),
           st.lists(step, max_size=30), st.integers(0, 29))
    def test_never_faster_than_the_ramp(self, rows, steps, change_at):
        """Also when a new version repeats the rows, and after a long pause
        between two calls."""
        plan = Plan(sas.NOW)
        if plan.build(rows) == 0:
            for i, (elapsed, jump, signals, down) in enumerate(steps):
                if i == change_at:
                    plan.build(rows)
                before = {shift: plan.get(shift)[1] for shift in SHIFTS}
                plan.advance(elapsed, jump, signals, down)
                for shift in SHIFTS:
                    rate = max([r[2] / 100 / (r[3] * 1000) for r in rows
                                if r[0] == shift] + [0])
                    limit = rate * min(elapsed, MAX_STEP_MS)
                    rise = plan.get(shift)[1] - before[shift]
                    self.assertLessEqual(rise, limit + EPSILON)
        plan.close()

    @settings(sas.SETTINGS, max_examples=600)
    @given(st.integers(0, 100), st.sampled_from([30, 100, 300]),
           st.integers(-10, 400), st.lists(step, max_size=30), st.booleans(),
           st.floats(0, 1))
    def test_never_above_the_scheduled_share(self, at, ramp, start, steps,
                                             seeded, seed):
        """A node may start before, during or after a ramp and receive any
        share from its peers."""
        shift = SHIFTS[0]
        plan = Plan(sas.NOW + start * 1000, 777)
        plan.build([(shift, at, 50, ramp, 0, 0)])
        for elapsed, jump, signals, down in [(0, 0, [good] * 6,
                                              (0, 0, 0))] + steps:
            plan.advance(elapsed, jump, signals, down)
            if seeded:
                sas.seed_plan(plan.plan, *shift, seed)
            passed = (plan.latest - sas.NOW) / 1000 - at
            limit = 0.5 * min(1, max(0, passed / ramp))
            self.assertLessEqual(plan.get(shift)[1], limit + EPSILON)
        plan.close()

    @settings(sas.SETTINGS, max_examples=600)
    @given(st.lists(st.integers(5, 50), min_size=1, max_size=4),
           st.lists(step, max_size=30), st.integers(0, 29))
    def test_clock_jumps_undo_no_ramp(self, shares, steps, change_at):
        """With rows that only rise and no region down, no share falls and no
        drain ends, also when a new version repeats the rows."""
        shift = SHIFTS[0]
        rows = [(shift, i * 50, share, 30, 0, 0)
                for i, share in enumerate(sorted(shares))]
        plan = Plan(sas.NOW)
        text = write_rows(rows) + "+40,,,,,,dossiers-01,\n"
        sas.build_plan(plan.plan, 1, text.encode(), sas.NOW)
        share = 0
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
            now_ordered, now_share, _ = plan.get(shift)
            self.assertGreaterEqual(now_share, share)
            self.assertGreaterEqual(now_ordered, ordered)
            share, ordered = now_share, now_ordered
            if plan.wall >= sas.NOW + 40000:
                self.assertTrue(sas.is_draining(plan.plan, 1, 0))
        plan.close()

    @sas.SETTINGS
    @given(st.lists(row, max_size=6), st.lists(step, max_size=10))
    def test_good_signals_lead_to_the_ordered_share(self, rows, steps):
        """Whatever happened before, 30 minutes with good signals and a correct
        wall clock lead each shift to its last row."""
        plan = Plan(sas.NOW)
        if plan.build(rows) == 0:
            for elapsed, jump, signals, down in steps:
                plan.advance(elapsed, jump, signals, down)
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
