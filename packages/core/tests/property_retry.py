"""Retries are granted only if they are safe and within the budget."""
import ctypes
import unittest

from hypothesis import given, settings, strategies as st

from core_library import BOOL, I64, INT, PROFILE, PTR, declare, load

lib = load()
init = declare(lib, None, "SasRetry_Init", PTR, I64)
note_first = declare(lib, None, "SasRetry_NoteFirst", PTR, I64)
may_retry = declare(lib, INT, "SasRetry_Decide", PTR, INT, BOOL, INT, I64,
                    PTR, INT, PTR, INT, I64)
YES, NO_REPEAT, NO_DEADLINE, NO_TRIES, NO_BACKEND, NO_BUDGET = range(6)
NOT_RUN = 0
SHARE, MINIMUM, WINDOW = 0.1, 3, 10000

servers = st.lists(st.integers(0, 5), max_size=4)
steps = st.lists(st.one_of(
    st.tuples(st.just("first"), st.integers(0, 3000), st.integers(1, 60)),
    st.tuples(st.just("retry"), st.integers(0, 3000), st.booleans(),
              st.integers(0, 2), st.sampled_from([0, 9, 10, 5000]), servers,
              servers)), max_size=60)


def numbers(values):
    return (ctypes.c_int * max(len(values), 1))(*values)


class TestRetry(unittest.TestCase):
    @settings(PROFILE, max_examples=1000)
    @given(steps)
    def test_retries_are_safe_and_within_budget(self, steps):
        memory = ctypes.create_string_buffer(512)
        r = ctypes.addressof(memory)
        init(r, 0)
        now, firsts, retries = 0, [], []
        for kind, pause, *rest in steps:
            now += pause
            if kind == "first":
                for _ in range(rest[0]):
                    note_first(r, now)
                    firsts.append(now)
                continue
            idempotent, outcome, left, tried, candidates = rest
            decision = may_retry(r, 1, idempotent, outcome, left,
                                numbers(tried), len(tried),
                                numbers(candidates), len(candidates), now)
            if decision != YES:
                continue
            retries.append(now)
            assert outcome == NOT_RUN or idempotent
            assert left >= 10 and len(tried) < 3
            assert set(candidates) - set(tried)
            # In half a window at most twice the share of the first attempts
            # that still count, and at least the minimum that is granted.
            recent = [t for t in retries if now - t < WINDOW // 2]
            counted = [t for t in firsts if now - t < 10 * WINDOW]
            assert len(recent) <= 2 * max(SHARE * len(counted), MINIMUM)


if __name__ == "__main__":
    unittest.main()
