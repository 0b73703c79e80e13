#!/usr/bin/python3
"""The heavy loads in the project's own emulator: no network, fixed seeds."""

import os
import re
import subprocess
import unittest

EMULATE = os.environ["SAS_EMULATE"]


def run(*arguments):
    """The shares of the last line, and the rows by second."""
    text = subprocess.run([EMULATE, *arguments], check=True, text=True,
                          capture_output=True).stdout
    shares = {name.strip(): float(number) for name, number in
              re.findall(r"([a-z ]+) (\d\.\d+)", text.splitlines()[-1])}
    rows = [[int(cell) for cell in line.split()]
            for line in text.splitlines()[1:-1]]
    return shares, rows


# Lessons: long work, four slots, each region's callers ask for few objects.
LESSONS = ("--slots", "4", "--work", "900", "--goal", "600", "--limit", "1500",
           "--rate", "176", "--objects", "25", "--memory", "28")


class Emulate(unittest.TestCase):
    def test_the_same_seed_gives_the_same_run(self):
        self.assertEqual(run("--seconds", "4"), run("--seconds", "4"))

    def test_owners_beat_the_least_load_on_a_heavy_day(self):
        """A server that was idle a moment ago looks best, and does not know
        the object: the servers drown in work that owners would not make."""
        owner, _ = run("--rate", "475")
        least, _ = run("--rate", "475", "--policy", "any")
        self.assertGreater(owner["in time"], least["in time"] + 0.2)

    def test_slow_servers_are_given_up_within_two_seconds(self):
        """Two fifths of the servers take twelve times as long for eight
        seconds. Their requests run into their limits until they are shunned;
        then most requests are in time again, while they are still slow."""
        _, rows = run("--slow-share", "0.4")
        by_second = {row[0]: row for row in rows}
        self.assertGreater(by_second[8][5], 30)  # timed out, at first
        for second in (12, 14):
            asked, in_time = by_second[second][1], by_second[second][2]
            self.assertGreater(in_time, 0.5 * asked)
            self.assertLess(by_second[second][5], 0.05 * asked)

    def test_few_objects_in_great_demand_are_not_refused(self):
        """25 objects fall on ten servers of a region, and one of them gets
        twice the mean: its callers are refused while half of all slots are
        idle. Another server gets to know what it doesn't bear."""
        shares, _ = run(*LESSONS)
        self.assertLess(shares["refused"], 0.02)
        self.assertGreater(shares["in time"], 0.9)

    def test_times_multiplied_are_decided_alike(self):
        """Work of 24 ms and of 2.4 s: a policy whose times are absolute gives
        up servers that only work where theirs is long, and lets requests
        hang where it is short."""
        loads = (("--rate", "348"), ("--rate", "475"), ("--rate", "1400"),
                 ("--slow-share", "0.4"), LESSONS)
        for load in loads:
            usual, _ = run(*load)
            for factor in ("0.1", "0.3", "3", "10"):
                shares, _ = run(*load, "--scale", factor)
                for name, share in usual.items():
                    with self.subTest(load=load, factor=factor, share=name):
                        self.assertAlmostEqual(shares[name], share,
                                               delta=0.03)

    def test_more_than_all_servers_bear_is_refused_and_the_rest_in_time(self):
        shares, _ = run("--rate", "1400")
        self.assertGreater(shares["refused"], 0.2)
        self.assertLess(shares["timed out"], 0.05)


if __name__ == "__main__":
    unittest.main()
