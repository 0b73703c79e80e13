#!/usr/bin/python3
"""The store stops answering the leaders of all zones at the same time."""

import unittest

from entry_harness import Fleet, time, wait_for

BOUND_MS = 3000


def find_leaders(fleet):
    """The leaders, one per zone: entry VMs with rows from the store itself."""
    def find():
        leaders = [vm for vm in fleet.vms if not vm.find_lines(
            "store.listed", **{"from": "entry VM"})]
        return leaders if len(leaders) == len(
            {vm.zone for vm in fleet.vms}) else None
    return wait_for(find, "one leader in each zone")


class SilentLeaders(unittest.TestCase):
    def stall_leaders(self, fleet, zones="abc", after_s=0.5):
        """The store stops answering the leaders of the zones during their long
        polls, some time after its last change."""
        fleet.add_worker("d1")
        fleet.start()
        leaders = [vm for vm in find_leaders(fleet) if vm.zone in zones]
        fleet.configure(version=40)
        for vm in leaders:
            wait_for(lambda: vm.find_lines("config.apply")[-1]["text"]
                     .startswith("version=40 "), "the first change")
        time.sleep(after_s)
        fleet.store.silenced = {vm.store_port for vm in leaders}
        return leaders

    def assert_noticed_in_time(self, leaders, table):
        for vm in leaders:
            line = wait_for(lambda: next(iter(
                vm.find_lines("store.lost", peer=table)), None),
                "the timeout at " + vm.name)
            self.assertLess(line["age_ms"], BOUND_MS)

    def check(self, table, change, has_change):
        with Fleet(vms=("a", "a", "c", "c"), first_start=True,
                   bounds={"config-ms": BOUND_MS,
                           "drain-ms": BOUND_MS}) as fleet:
            leaders = self.stall_leaders(fleet)
            change(fleet)
            for vm in fleet.vms:
                wait_for(lambda: has_change(vm), "the change at " + vm.name)
            self.assert_noticed_in_time(leaders, table)

    def test_followers_get_a_configuration_when_no_leader_has_the_store(
            self):
        """Guards against followers that treat an old configuration as current
        for longer than a change may take: no entry VM has the new version, so
        no datagram names it."""
        self.check("op", lambda fleet: fleet.configure(version=50),
                   lambda vm: vm.find_lines("config.apply")[-1]["text"]
                   .startswith("version=50 "))

    def test_followers_learn_who_leaves_when_no_leader_has_the_store(self):
        """Guards against requests to a leaving server, in the same case."""
        self.check("servers", lambda fleet: fleet.add_worker(
            "d1", state="draining", **{"seq-no": 2}),
            lambda vm: any("draining=1" in line["text"] for line in
                           vm.find_lines("server.state", peer="d1")))

    def test_leaders_that_are_told_of_a_change_notice_in_time(self):
        """Guards against a silent store that is noticed late by a leader that
        polls it anew, told by others that it is behind."""
        with Fleet(vms=("a", "b", "c"), first_start=True,
                   bounds={"config-ms": BOUND_MS,
                           "drain-ms": BOUND_MS}) as fleet:
            leaders = self.stall_leaders(fleet, zones="ac", after_s=1.2)
            fleet.configure(version=50)
            for vm in leaders:
                wait_for(lambda: vm.find_lines("store.behind", peer="op"),
                         "a leader that is told")
            self.assert_noticed_in_time(leaders, "op")


if __name__ == "__main__":
    unittest.main()
