#!/usr/bin/python3
"""Entry VMs that ask the store for others, all silenced by it at once."""

import unittest

from entry_harness import Fleet, time, wait_for

BOUND_MS = 3000


def find_leaders(fleet):
    """Those that took their rows from the store, one in each zone."""
    def find():
        leaders = [vm for vm in fleet.vms if not vm.find_lines(
            "store.listed", **{"from": "entry VM"})]
        return leaders if len(leaders) == len(
            {vm.zone for vm in fleet.vms}) else None
    return wait_for(find, "one leader in each zone")


class SilentLeaders(unittest.TestCase):
    def silence_leaders(self, fleet):
        """Right after each has begun to wait for a change."""
        fleet.add_worker("d1")
        fleet.start()
        leaders = find_leaders(fleet)
        fleet.configure(version=40)
        for vm in leaders:
            wait_for(lambda: vm.find_lines("config.apply")[-1]["text"]
                     .startswith("version=40 "), "the first change")
        time.sleep(0.5)
        fleet.store.silenced = {vm.store_port for vm in leaders}
        return leaders

    def assert_noticed_in_time(self, leaders, table):
        for vm in leaders:
            line = wait_for(lambda: next(iter(
                vm.find_lines("store.lost", peer=table)), None),
                "the silence to be noticed at " + vm.name)
            self.assertLess(line["age_ms"], BOUND_MS)

    def check(self, table, change, has_it):
        with Fleet(vms=("a", "a", "c", "c"), first_start=True,
                   bounds={"config-ms": BOUND_MS,
                           "drain-ms": BOUND_MS}) as fleet:
            leaders = self.silence_leaders(fleet)
            change(fleet)
            for vm in fleet.vms:
                wait_for(lambda: has_it(vm), "the change at " + vm.name)
            self.assert_noticed_in_time(leaders, table)

    def test_followers_have_a_configuration_when_all_leaders_are_silenced(
            self):
        """Guards against an old configuration that is vouched for longer than
        a new one may take: nobody has it whose datagrams could name it."""
        self.check("op", lambda fleet: fleet.configure(version=50),
                   lambda vm: vm.find_lines("config.apply")[-1]["text"]
                   .startswith("version=50 "))

    def test_followers_hear_who_leaves_when_all_leaders_are_silenced(self):
        """Guards against requests to a server that said that it leaves, the
        same way."""
        self.check("servers", lambda fleet: fleet.add_worker(
            "d1", state="draining", **{"seq-no": 2}),
            lambda vm: any("draining=1" in line["text"] for line in
                           vm.find_lines("server.state", peer="d1")))


if __name__ == "__main__":
    unittest.main()
