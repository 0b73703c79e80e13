#!/usr/bin/python3
"""Entry VMs that the store stops answering, while it serves the others.

What was seen: on two days entry VMs answered 404 for a route that had been
acknowledged seconds ago, and sent to servers that had said that they leave.
The store was silent for some entry VMs alone. The leader of a zone told its
followers "nothing new" until its own long question to the store had run out,
3.8 s later; the followers were in touch with the store and didn't ask it.
The logs of both sides proved it: followers had the news 0.1 s after their
leader's `store.lost`, and no call of theirs reached the store before.
"""

import unittest

from entry_harness import Fleet, time, wait_for


def pair_up(fleet):
    """Leader and follower of the two entry VMs of a zone."""
    def find_follower():
        return next((vm for vm in fleet.vms if all(
            vm.find_lines("store.listed", peer=table,
                          **{"from": "entry VM"})
            for table in ("op", "servers"))), None)
    follower = wait_for(find_follower, "one to follow the other")
    leader = next(vm for vm in fleet.vms
                  if vm is not follower and vm.zone == follower.zone)
    return leader, follower


class StaleRows(unittest.TestCase):
    def assert_before_loss(self, line, vm, table):
        """vm had not given its own question up when the line was written."""
        for lost in vm.find_lines("store.lost", peer=table):
            self.assertLess(line["time"], lost["time"])

    def find_version(self, vm, version):
        return next((line for line in vm.find_lines("config.apply")
                     if "version=%d " % version in line["text"]), None)

    def find_leaving(self, vm, server):
        return next((line for line in vm.find_lines("server.state",
                                                    peer=server)
                     if "draining=1" in line["text"]), None)

    def start_with_silent_leader(self, fleet):
        fleet.add_worker("d1")
        fleet.add_worker("d2")
        fleet.start()
        leader, follower = pair_up(fleet)
        fleet.store.silenced = {leader.store_port}
        return leader, follower

    def test_a_follower_has_a_new_route_while_its_leader_waits_in_vain(self):
        with Fleet(vms=("a", "a", "c"), first_start=True) as fleet:
            leader, follower = self.start_with_silent_leader(fleet)
            fleet.configure(version=50)
            line = wait_for(lambda: self.find_version(follower, 50),
                            "the new version")
            self.assert_before_loss(line, leader, "op")

    def test_a_follower_hears_who_leaves_while_its_leader_waits_in_vain(self):
        with Fleet(vms=("a", "a", "c"), first_start=True) as fleet:
            leader, follower = self.start_with_silent_leader(fleet)
            fleet.add_worker("d1", state="draining", **{"seq-no": 2})
            line = wait_for(lambda: self.find_leaving(follower, "d1"),
                            "the news that it drains")
            self.assert_before_loss(line, leader, "servers")

    def test_one_alone_in_its_zone_hears_from_other_zones(self):
        with Fleet(vms=("a", "b", "c"), first_start=True) as fleet:
            fleet.add_worker("d1")
            fleet.add_worker("d2")
            fleet.start()
            cut_off = fleet.vms[2]
            fleet.store.silenced = {cut_off.store_port}
            fleet.configure(version=50)
            fleet.add_worker("d1", state="draining", **{"seq-no": 2})
            line = wait_for(lambda: self.find_version(cut_off, 50),
                            "the new version")
            self.assert_before_loss(line, cut_off, "op")
            line = wait_for(lambda: self.find_leaving(cut_off, "d1"),
                            "the news that it drains")
            self.assert_before_loss(line, cut_off, "servers")

    def test_a_new_route_is_not_ruled_out_by_one_that_is_behind(self):
        """Guards against a final 404 for a route that others serve already,
        by an entry VM that has heard of the newer configuration and doesn't
        have it."""
        with Fleet(vms=("a", "b", "c"), first_start=True) as fleet:
            fleet.add_worker("d1")
            fleet.start()
            behind = fleet.vms[2]
            fleet.store.silenced = {behind.store_port}
            fleet.configure(fleet.default_routes() + [
                fleet.route("new", "/new/", "safe")])
            statuses = []

            def ask():
                statuses.append(behind.request(path="/new/1").status)
                return statuses[-1] == 200
            wait_for(ask, "the new route")
            self.assertIn(503, statuses)
            self.assertNotIn(404, statuses[statuses.index(503):])

    def test_a_new_route_is_not_ruled_out_in_an_outage(self):
        """Guards against a final 404 by an entry VM whose configuration is
        older than a new one may take, and that nobody can tell of one."""
        with Fleet(vms=("a",), first_start=True) as fleet:
            fleet.add_worker("d1")
            fleet.start()
            vm = fleet.vms[0]
            self.assertEqual(vm.request(path="/new/1").status, 404)
            fleet.store.mode = "silent"
            wait_for(lambda: vm.request(path="/new/1").status == 503,
                     "no verdict on the route")
            self.assertEqual(vm.request().status, 200)
            fleet.store.mode = ""
            wait_for(lambda: vm.request(path="/new/1").status == 404,
                     "the store's own word")

    def test_one_that_starts_again_in_an_outage_takes_rows_from_others(self):
        """Guards against refusals by an entry VM that is restarted while the
        store is away: the others have all rows and would not part with them,
        since in an outage none of them is sure of the newest."""
        with Fleet(vms=("a", "c"), first_start=True) as fleet:
            fleet.add_worker("d1")
            fleet.start()
            fleet.store.mode = "silent"
            fleet.first_start = False
            again = fleet.vms[1]
            for vm in fleet.vms:
                for table in ("op", "servers"):
                    wait_for(lambda: vm.find_lines("store.lost", peer=table),
                             "the outage to be noticed at " + vm.name)
            again.stop()
            again.start()
            wait_for(again.is_ready, "rows from the other zone")
            self.assertEqual(again.request().status, 200)

    def test_one_that_starts_in_an_outage_knows_that_its_rows_are_old(self):
        """Guards against requests that pile up at servers which turned cold
        in the outage, sent by an entry VM that takes others' rows for the
        store's own."""
        with Fleet(vms=("a", "c"), first_start=True) as fleet:
            fleet.add_worker("d1")
            fleet.start()
            fleet.store.mode = "silent"
            fleet.first_start = False
            stays, again = fleet.vms
            for table in ("op", "servers"):
                wait_for(lambda: stays.find_lines("store.lost", peer=table),
                         "the outage to be noticed")
            again.stop()
            again.start()
            wait_for(again.is_ready, "rows from the other zone")
            self.assertEqual(again.request().status, 200)
            self.assertTrue(again.find_lines("servers.doubt", in_doubt=True))
            fleet.store.mode = ""
            wait_for(lambda: again.request().status == 200 and
                     again.find_lines("servers.doubt", in_doubt=False),
                     "the store's own word")

    def test_servers_have_time_to_say_that_they_are_cold(self):
        """Guards against requests that pile up at servers which turned cold
        in an outage of the store: at its return their rows are confirmed, but
        they write again only with their next heartbeat."""
        with Fleet(vms=("a",), first_start=True) as fleet:
            fleet.add_worker("d1")
            fleet.start()
            vm = fleet.vms[0]
            fleet.store.mode = "silent"

            def find(step, **fields):
                vm.request()
                return vm.find_lines(step, **fields)
            wait_for(lambda: find("servers.doubt", in_doubt=True), "a doubt")
            time.sleep(3)  # long enough for rows to lapse
            fleet.store.mode = ""
            wait_for(lambda: vm.find_lines("store.regained", peer="servers"),
                     "the store to answer again")
            back_at = time.monotonic()
            wait_for(lambda: find("servers.doubt", in_doubt=False),
                     "the doubt to end")
            self.assertGreater(time.monotonic() - back_at, 1.5)

    def test_a_late_page_of_the_store_does_not_hide_a_change(self):
        """Guards against requests to a server that has said that it leaves:
        an entry VM that starts asks the store for its rows in pages and has
        all of them from another one sooner. The first page then passed for
        all changes up to its version, also those of rows behind it."""
        with Fleet(vms=("a", "c"), first_start=True) as fleet:
            worker = fleet.add_worker("d1")
            for i in range(700):
                fleet.add_worker_row("s%04d" % i, worker.port)
            fleet.start()
            fleet.first_start = False
            again = fleet.vms[1]
            again.stop()
            fleet.store.delay_s = 1.0
            seen = len(again.find_lines("store.listed", peer="servers"))
            again.start()
            wait_for(lambda: len(again.find_lines(
                "store.listed", peer="servers")) > seen, "rows of the other")
            fleet.add_worker("s0699", service="other", state="draining",
                             port=worker.port)
            wait_for(lambda: self.find_leaving(again, "s0699"),
                     "the news that it drains")

    def test_a_server_that_went_in_an_outage_does_not_come_back(self):
        """Guards against requests to a server that is gone: after an outage
        the first entry VM that the store answers keeps rows that went
        meanwhile for two seconds. Another one, which the store doesn't answer
        yet, took them from it as of a version at which they are gone, and was
        never told again."""
        with Fleet(vms=("a", "c"), first_start=True) as fleet:
            for name in ("d1", "d2"):
                fleet.add_worker(name)
            fleet.start()
            first, second = fleet.vms
            fleet.store.silenced = {vm.store_port for vm in fleet.vms}
            for vm in fleet.vms:
                wait_for(lambda: vm.find_lines("store.lost", peer="servers"),
                         "the outage to be noticed at " + vm.name)
            time.sleep(1)
            fleet.store.remove("servers", "d1")
            fleet.add_worker("d3")
            fleet.store.silenced = {second.store_port}
            for vm in fleet.vms:
                wait_for(lambda: vm.find_lines("server.state", peer="d3"),
                         "the new server at " + vm.name)
            fleet.store.silenced = set()
            for vm in fleet.vms:
                wait_for(lambda: vm.find_lines("server.gone", peer="d1"),
                         "the removal at " + vm.name)


if __name__ == "__main__":
    unittest.main()
