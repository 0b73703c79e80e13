#!/usr/bin/python3
"""Heavy loads in the simulation (tools/emulate.c), with fixed seeds."""

import os
import re
import subprocess
import unittest

EMULATE = os.environ["SAS_EMULATE"]


def run(*arguments):
    """Returns the shares of the last line as a dictionary, and the rows."""
    text = subprocess.run([EMULATE, *arguments], check=True, text=True,
                          capture_output=True).stdout
    shares = {name.strip(): float(number) for name, number in
              re.findall(r"([a-z ]+) (\d\.\d+)", text.splitlines()[-1])}
    rows = [[int(cell) for cell in line.split()]
            for line in text.splitlines()[1:-1]]
    return shares, rows


# The lessons load: long service times, four slots, few objects per region.
LESSONS = ("--slots", "4", "--work", "900", "--goal", "600", "--limit", "1500",
           "--rate", "176", "--objects", "25", "--memory", "28")


class Emulate(unittest.TestCase):
    def test_the_same_seed_gives_the_same_run(self):
        self.assertEqual(run("--seconds", "4"), run("--seconds", "4"))

    def test_owners_beat_least_load_under_heavy_load(self):
        """Least load sends objects to servers that have not cached them; under
        heavy load the longer service times overload the servers."""
        owner, _ = run("--rate", "475")
        least, _ = run("--rate", "475", "--policy", "any")
        self.assertGreater(owner["in time"], least["in time"] + 0.2)

    def test_slow_servers_are_ejected(self):
        """40% of the servers are 12 times slower from second 8 to 16. Their
        requests time out until the servers are ejected; most requests are in
        time again from second 12 on, while the servers are still slow."""
        _, rows = run("--slow-share", "0.4")
        by_second = {row[0]: row for row in rows}
        self.assertGreater(by_second[8][5], 30)  # timed out
        for second in (12, 14):
            asked, in_time = by_second[second][1], by_second[second][2]
            self.assertGreater(in_time, 0.5 * asked)
            self.assertLess(by_second[second][5], 0.05 * asked)

    def test_popular_objects_are_not_refused(self):
        """25 objects over ten servers of a region give one server twice the
        mean load. Without a second server for its objects its requests are
        refused while half of all slots are idle."""
        shares, _ = run(*LESSONS)
        self.assertLess(shares["refused"], 0.02)
        self.assertGreater(shares["in time"], 0.9)

    def test_decisions_do_not_depend_on_the_time_scale(self):
        """Service times of 24 ms and of 2.4 s: a policy with absolute times
        ejects healthy servers where service times are long, and waits too
        long for failing ones where they are short."""
        loads = (("--rate", "348"), ("--rate", "475"), ("--rate", "1400"),
                 ("--slow-share", "0.4"), LESSONS)
        for load in loads:
            unscaled, _ = run(*load)
            for factor in ("0.1", "0.3", "3", "10"):
                shares, _ = run(*load, "--scale", factor)
                for name, share in unscaled.items():
                    with self.subTest(load=load, factor=factor, share=name):
                        self.assertAlmostEqual(shares[name], share,
                                               delta=0.03)

    def test_overload_is_refused_and_does_not_time_out(self):
        shares, _ = run("--rate", "1400")
        self.assertGreater(shares["refused"], 0.2)
        self.assertLess(shares["timed out"], 0.05)


if __name__ == "__main__":
    unittest.main()
