"""Properties of sheets and versions: shares never sum to above 100%, versions
only rise, a delta produces the same version as the full configuration."""

import ctypes
import unittest

from hypothesis import given
from hypothesis import strategies as st

import steering_support as sas

EPSILON = 1e-9
BACKENDS = ["dossiers-0%d" % i for i in range(1, 6)] + ["galerie-01",
                                                         "galerie-02"]

shift = st.builds(
    lambda at, service, ends, share, cap, limits: (
        at, service, ends[0], ends[1], share,
        "+%d,%s,%s,%s,%g%%,%s,,%s\n" % (
            at, sas.SERVICES[service], sas.REGIONS[ends[0]],
            sas.REGIONS[ends[1]], share, cap, limits)),
    st.integers(0, 4), st.integers(0, 1),
    st.tuples(st.integers(0, 2), st.integers(0, 2)).filter(
        lambda ends: ends[0] != ends[1]),
    st.sampled_from([0, 10, 33.3333, 40, 50, 60, 66.6667, 100]),
    st.sampled_from(["", "50 req/s", "1.125 Mbit/s", "3 concurrent"]),
    st.sampled_from(["", "ramp=300", "ramp=60;headroom=12.5%;warm=30"]))
drain = st.builds(lambda at, name: (at, None, None, None, 0,
                                    "+%d,,,,,,%s,\n" % (at, name)),
                  st.integers(0, 4), st.sampled_from(BACKENDS))
rows_of_sheet = st.lists(st.one_of(shift, shift, shift, drain), max_size=12)


def make(rows, number=1):
    error = sas.SheetError()
    text = "".join(row[5] for row in rows).encode()
    return sas.make_config(number, text, sas.NOW, ctypes.byref(error)), error


def find_largest_sum(rows):
    """The largest sum of shares of any (service, from) at any time, in
    percent."""
    largest = 0
    for time in range(5):
        shares = {}
        for row in sorted(rows, key=lambda row: row[0]):
            if row[1] is not None and row[0] <= time:
                shares[row[1:4]] = row[4]
        for service, home, _ in shares:
            largest = max(largest, sum(
                share for key, share in shares.items()
                if key[:2] == (service, home)))
    return largest


def leaves_servers(rows):
    """True when the drains leave a backend server of each service."""
    drained = {row[5].split(",")[6] for row in rows if row[1] is None}
    return not (drained >= set(BACKENDS[:5]) or drained >= set(BACKENDS[5:]))


class ConfigProperties(unittest.TestCase):

    @sas.SETTINGS
    @given(rows_of_sheet)
    def test_refuses_only_excess_shares_and_last_servers(self, rows):
        config, error = make(rows)
        if config is None:
            self.assertIn(error.column, (b"share", b"drain"))
        expected = (find_largest_sum(rows) <= 100 + 1e-6
                    and leaves_servers(rows))
        self.assertEqual(config is not None, expected, error.reason)
        sas.unref_config(config)

    @sas.SETTINGS
    @given(rows_of_sheet)
    def test_rows_are_sorted_stably(self, rows):
        config, _ = make(rows)
        if config is None:
            return
        expected = sorted(range(len(rows)), key=lambda i: rows[i][0])
        self.assertEqual(sas.get_row_count(config), len(rows))
        for index, i in enumerate(expected):
            at_ms = sas.c_i64()
            share = sas.c_double()
            numbers = (sas.c_int * 6)()
            sas.get_row(config, index, at_ms, numbers, share)
            self.assertEqual(at_ms.value, sas.NOW + rows[i][0] * 1000)
            self.assertEqual(numbers[5], i + 2)
            self.assertAlmostEqual(share.value, rows[i][4] / 100, 9)
        sas.unref_config(config)

    @sas.SETTINGS
    @given(st.lists(st.integers(-3, 50), max_size=30))
    def test_only_higher_versions_are_adopted(self, offers):
        """In whatever order versions arrive, a node ends with the highest and
        never goes back to a lower one."""
        current = 0
        for offered in offers:
            if sas.may_replace(current, offered):
                self.assertGreater(offered, current)
                current = offered
        self.assertEqual(current, max(offers + [0]))

    @sas.SETTINGS
    @given(rows_of_sheet, rows_of_sheet, st.data())
    def test_delta_produces_the_full_version(self, old_rows, new_rows, data):
        """The new version shares some rows with the old one, in any order."""
        mixed = data.draw(st.permutations(old_rows + new_rows))
        keep = data.draw(st.integers(0, len(mixed)))
        old, _ = make(old_rows, 1)
        new, _ = make(mixed[:keep], 2)
        if old is None or new is None:
            sas.unref_config(old)
            sas.unref_config(new)
            return
        delta = sas.take_text(sas.encode_delta(old, new))
        whole = sas.take_text(sas.encode(new))
        made = sas.apply_delta(old, delta, len(delta))
        self.assertIsNotNone(made)
        self.assertEqual(sas.take_text(sas.encode(made)), whole)
        decoded = sas.decode(whole, len(whole))
        self.assertEqual(sas.take_text(sas.encode(decoded)), whole)
        wrong, _ = make(mixed[:keep], 1)
        if sas.take_text(sas.encode(old)) != sas.take_text(
                sas.encode(wrong)):
            self.assertIsNone(sas.apply_delta(wrong, delta, len(delta)))
        for config in (old, new, made, decoded, wrong):
            sas.unref_config(config)

    @sas.SETTINGS
    @given(rows_of_sheet, st.data())
    def test_damaged_text_is_refused_or_consistent(self, rows, data):
        """Damaged text is either refused or decodes to a complete version,
        which survives another round trip."""
        config, _ = make(rows)
        if config is None:
            return
        text = bytearray(sas.take_text(sas.encode(config)))
        sas.unref_config(config)
        for _ in range(data.draw(st.integers(1, 4))):
            index = data.draw(st.integers(0, len(text) - 1))
            text[index] = data.draw(st.integers(0, 255))
        damaged = sas.decode(bytes(text), len(text))
        if damaged is None:
            return
        again = sas.take_text(sas.encode(damaged))
        decoded = sas.decode(again, len(again))
        self.assertIsNotNone(decoded)
        self.assertEqual(sas.take_text(sas.encode(decoded)), again)
        sas.unref_config(damaged)
        sas.unref_config(decoded)


if __name__ == "__main__":
    unittest.main()
