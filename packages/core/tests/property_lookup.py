"""Properties of lookups: all nodes agree whatever changes came before, a
change of weight moves no more keys than necessary, shares match the
weights."""

import ctypes
import math
import unittest

from hypothesis import given
from hypothesis import strategies as st

import steering_support as sas

KEYS = 3000
BOUND = 5  # standard deviations of a share; stated in docs/notes-steering.md

weight = st.sampled_from([0.0, 0.001, 0.1, 0.25, 0.5, 1.0, 3.0])
weights = st.lists(weight, min_size=2, max_size=12).filter(
    lambda values: max(values) > 0)


def make_keys(seed):
    return (sas.c_u64 * KEYS)(*[((seed * KEYS + i) << 16) | 24
                                for i in range(KEYS)])


def make_targets(values, order=None):
    order = order or range(len(values))
    return (sas.Target * len(values))(
        *[sas.Target(1000003 * (i + 1), values[i]) for i in order])


def assign(keys, targets):
    owners = (ctypes.c_uint16 * KEYS)()
    sas.assign(keys, KEYS, targets, len(targets), owners)
    return owners


class LookupProperties(unittest.TestCase):

    @sas.SETTINGS
    @given(st.lists(weights, min_size=2, max_size=4), st.integers(0, 1000))
    def test_assignment_is_independent_of_history(self, steps, seed):
        count = min(len(values) for values in steps)
        steps = [values[:count] for values in steps]
        if any(max(values) == 0 for values in steps):
            return
        keys = make_keys(seed)
        old = make_targets(steps[0])
        owners = assign(keys, old)
        for values in steps[1:]:
            targets = make_targets(values)
            before = list(owners)
            moved = sas.reassign(keys, KEYS, old, targets, count, owners)
            # Not assertEqual: printing a difference of 3,000 items takes
            # minutes.
            self.assertTrue(list(owners) == list(assign(keys, targets)))
            self.assertEqual(moved, sum(a != b for a, b
                                        in zip(before, owners)))
            old = targets

    @sas.SETTINGS
    @given(weights, st.integers(0, 1000), st.data())
    def test_assignment_is_independent_of_target_order(self, values, seed,
                                                       data):
        order = data.draw(st.permutations(range(len(values))))
        keys = make_keys(seed)
        owners = assign(keys, make_targets(values))
        others = assign(keys, make_targets(values, order))
        self.assertTrue(list(owners) == [order[owner] for owner in others])

    @sas.SETTINGS
    @given(weights, st.integers(0, 1000), st.data())
    def test_one_change_moves_no_more_than_necessary(self, values, seed, data):
        """A raised weight only gains keys, a lowered one only loses keys."""
        target = data.draw(st.integers(0, len(values) - 1))
        changed = list(values)
        changed[target] = data.draw(weight)
        if max(changed) == 0:
            return
        keys = make_keys(seed)
        pairs = zip(assign(keys, make_targets(values)),
                    assign(keys, make_targets(changed)))
        for before, after in pairs:
            if before != after:
                gains = changed[target] > values[target]
                self.assertEqual(after if gains else before, target)

    @sas.SETTINGS
    @given(weights, st.integers(0, 1000))
    def test_shares_match_weights(self, values, seed):
        owners = list(assign(make_keys(seed), make_targets(values)))
        for target, value in enumerate(values):
            share = value / sum(values)
            most = BOUND * math.sqrt(share * (1 - share) * KEYS) + 1
            self.assertLessEqual(abs(owners.count(target) - share * KEYS),
                                 most)
            if value == 0:
                self.assertEqual(owners.count(target), 0)


if __name__ == "__main__":
    unittest.main()
