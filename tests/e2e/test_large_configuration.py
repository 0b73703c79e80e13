#!/usr/bin/python3
"""A configuration that takes longer to transfer than the response timeout."""

import unittest

from entry_harness import Fleet, wait_for

ROUTES = 2000
BYTES_PER_S = 100000


def is_in_force(vm, version):
    lines = vm.find_lines("config.apply")
    return lines and lines[-1]["text"].startswith("version=%d " % version)


def add_routes(fleet):
    return fleet.default_routes() + [
        fleet.route("more-%d" % i, "/more-%d/" % i, "safe")
        for i in range(ROUTES)]


class LargeConfiguration(unittest.TestCase):
    def test_an_answer_that_makes_progress_does_not_time_out(self):
        """Guards against a large configuration that never arrives over a slow
        link: each call timed out with most of it read, and the next one
        started over."""
        with Fleet(vms=("a",), first_start=True) as fleet:
            fleet.add_worker("d1")
            fleet.start()
            vm = fleet.vms[0]
            fleet.store.bytes_per_s = BYTES_PER_S
            fleet.configure(routes=add_routes(fleet), version=50)
            wait_for(lambda: is_in_force(vm, 50), "the large configuration")
            self.assertEqual(vm.find_lines("store.lost", peer="op"), [])

    def test_a_route_stays_in_its_allowed_region(self):
        """Guards against requests that leave the allowed region of their route
        long after a version set it: the version was too large to arrive
        within the timeout of a call."""
        with Fleet(vms=("a",), first_start=True) as fleet:
            fleet.add_worker("east", zone="a")
            fleet.add_worker("west", zone="c")
            fleet.start()
            vm = fleet.vms[0]
            fleet.store.bytes_per_s = BYTES_PER_S
            routes = add_routes(fleet)
            routes[0]["home-regions"] = ["west"]
            fleet.configure(routes=routes, version=50)
            wait_for(lambda: is_in_force(vm, 50), "the allowed region")
            before = len(fleet.workers["east"].ran)
            for key in range(20):
                self.assertEqual(vm.request(key=str(key)).status, 200)
            self.assertEqual(len(fleet.workers["east"].ran), before)
            self.assertEqual(len(fleet.workers["west"].ran), 20)

    def test_an_answer_that_stalls_times_out(self):
        """Guards against waiting forever for the rest of an answer on a
        stalled connection."""
        with Fleet(vms=("a",), first_start=True) as fleet:
            fleet.add_worker("d1")
            fleet.start()
            vm = fleet.vms[0]
            fleet.store.stop_after = 20000
            fleet.configure(routes=add_routes(fleet), version=50)
            wait_for(lambda: vm.find_lines("store.lost", peer="op"),
                     "the timeout")
            fleet.store.stop_after = 0
            wait_for(lambda: is_in_force(vm, 50), "the large configuration")


if __name__ == "__main__":
    unittest.main()
