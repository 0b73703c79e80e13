#!/usr/bin/python3
"""Entry VMs in platform mode: rows of the store, outages and recovery."""

import os
import subprocess
import threading
import unittest

from entry_harness import BUILD, Fleet, exchange, signal, time, wait_for


class EntryPlatform(unittest.TestCase):
    def test_lookups_name_the_nearest_entry_vms(self):
        with Fleet(vms=("a", "a", "c")) as fleet:
            fleet.start()
            a0, a1, c0 = fleet.vms
            names = {"%s:%d" % vm.address(): vm for vm in fleet.vms}

            def lookup(vm, zone):
                return {names[x] for x in vm.lookup(zone)}
            for vm in fleet.vms:
                wait_for(lambda: lookup(vm, "a") == {a0, a1}, "both of a")
                wait_for(lambda: lookup(vm, "c") == {c0}, "the one of c")
                # Zone b has no entry VM: its region's are named.
                self.assertEqual(lookup(vm, "b"), {a0, a1})

    def test_a_killed_entry_vm_leaves_the_lookups(self):
        with Fleet(vms=("a", "a", "c")) as fleet:
            fleet.start()
            a0, a1, c0 = fleet.vms
            address = "%s:%d" % a1.address()
            wait_for(lambda: address in c0.lookup("a"), "a1 to be named")
            a1.stop()
            wait_for(lambda: address not in c0.lookup("a"), "a1 to be dropped")
            self.assertEqual(c0.lookup("a"), ["%s:%d" % a0.address()])

    def test_a_draining_server_completes_its_requests(self):
        with Fleet(vms=("a",)) as fleet:
            worker = fleet.add_worker("d1")
            other = fleet.add_worker("d2", zone="c")
            fleet.start()
            vm = fleet.vms[0]
            worker.held.clear()
            answers = []
            thread = threading.Thread(
                target=lambda: answers.append(vm.request(deadline_ms=9000)))
            thread.start()
            wait_for(lambda: len(worker.ran) == 1, "a request in progress")
            fleet.add_worker("d1", state="draining", **{"seq-no": 2})
            wait_for(lambda: vm.find_lines("server.state", peer="d1"),
                     "the update that it drains")
            for i in range(5):
                self.assertEqual(vm.request(key=str(i)).status, 200)
            self.assertEqual(len(other.ran), 5)
            worker.held.set()
            thread.join()
            self.assertEqual(answers[0].status, 200)
            self.assertEqual(len(worker.ran), 1)

    # Guards against failing requests, idempotent or not, when the row of their
    # server is removed while they run.
    def test_a_removed_server_completes_its_requests(self):
        with Fleet(vms=("a",)) as fleet:
            worker = fleet.add_worker("d1")
            fleet.start()
            vm = fleet.vms[0]
            worker.held.clear()
            statuses = []
            requests = [threading.Thread(
                target=lambda m=method, p=path: statuses.append(
                    vm.request(m, p, deadline_ms=9000).status))
                for method, path in (("GET", "/forms/1"),
                                     ("POST", "/filings/1"))]
            for request in requests:
                request.start()
            wait_for(lambda: len(worker.ran) == 2, "both in progress")
            fleet.store.remove("servers", "d1")
            wait_for(lambda: vm.request(path="/forms/2", deadline_ms=200)
                     .status == 503, "no server")
            worker.held.set()
            for request in requests:
                request.join()
            self.assertEqual(statuses, [200, 200])

    def test_an_evacuated_zone_gets_no_requests(self):
        with Fleet(vms=("a",)) as fleet:
            worker = fleet.add_worker("d1", zone="a")
            other = fleet.add_worker("d2", zone="b")
            fleet.store.put("op", "evacuate/a", {})
            fleet.start()
            vm = fleet.vms[0]
            for i in range(8):
                self.assertEqual(vm.request(key=str(i)).status, 200)
            self.assertEqual((len(worker.ran), len(other.ran)), (0, 8))
            fleet.store.remove("op", "evacuate/a")
            wait_for(lambda: vm.find_lines("zone.evacuate"),
                     "the end of the evacuation")

            def served():
                for i in range(8):
                    vm.request(key=str(i))
                return len(worker.ran) > 0
            wait_for(served, "requests in the zone")

    def test_a_configuration_never_reverts(self):
        with Fleet(vms=("a",)) as fleet:
            fleet.add_worker("d1")
            fleet.start()
            vm = fleet.vms[0]
            fleet.configure([fleet.route("new", "/new/", "safe")],
                            version=90)
            wait_for(lambda: vm.request(path="/new/1").status == 200,
                     "version 90")
            fleet.configure(version=40)
            fleet.configure([fleet.route("new", "/new/", "safe"),
                             fleet.route("last", "/last/", "safe")],
                            version=91)
            wait_for(lambda: vm.request(path="/last/1").status == 200,
                     "version 91")
            versions = [int(line["text"].split()[0].split("=")[1])
                        for line in vm.find_lines("config.apply")]
            self.assertEqual(versions, sorted(versions))
            self.assertNotIn(40, versions)

    def test_invalid_rows_are_logged_and_ignored(self):
        """Rows of another writer with fields missing or of a wrong type, an
        unknown state, or bytes that are not JSON: each is logged once, and
        the valid rows apply."""
        with Fleet(vms=("a",)) as fleet:
            good = fleet.add_worker("d1")
            fleet.store.put("servers", "x1", b"\xff\x00 not json")
            fleet.store.put("servers", "x2", b"[1, 2]")
            fleet.add_worker("x3", slots="three")
            fleet.add_worker("x4", state="dreaming")
            fleet.add_worker("x5", zone=7)
            fleet.add_worker("x6", address="nowhere")
            fleet.add_worker("x7", born="yesterday")
            fleet.store.put("op", "junk", b"{")
            fleet.start()
            vm = fleet.vms[0]
            for i in range(6):
                self.assertEqual(vm.request(key=str(i)).status, 200)
            self.assertEqual(len(good.ran), 6)
            named = [line["peer"] for line in vm.find_lines("store.decode")]
            self.assertEqual(sorted(named),
                             ["x1", "x2", "x3", "x4", "x5", "x6", "x7"])
            self.assertTrue(any("slots" in line["text"] for line in
                                vm.find_lines("store.decode", peer="x3")))

    def test_a_bad_configuration_changes_nothing(self):
        with Fleet(vms=("a",)) as fleet:
            fleet.add_worker("d1")
            fleet.start()
            vm = fleet.vms[0]
            fleet.configure([fleet.route("forms", "/forms/", "strange")])
            wait_for(lambda: vm.find_lines("store.decode"), "an error log")
            fleet.store.put("op", "config", b'{"version": 999, "routes"')
            wait_for(lambda: len(vm.find_lines("store.decode")) == 2,
                     "both error logs")
            self.assertEqual(vm.request().status, 200)

    def test_an_entry_vm_refused_by_the_store_gets_rows_from_peers(self):
        """Guards against requests to replaced servers by an entry VM that the
        store refuses, so that it cannot read the change itself."""
        with Fleet(vms=("a", "c")) as fleet:
            fleet.add_worker("d1")
            fleet.start()
            refused = fleet.vms[0]
            wait_for(lambda: len(refused.lookup("c")) == 1 and
                     "%s:%d" % fleet.vms[1].address() in refused.lookup("c"),
                     "the other entry VM")
            fleet.store.refused.add(refused.store_port)
            wait_for(lambda: refused.find_lines("store.lost"), "the refusal")
            fleet.add_worker("d2")
            fleet.store.remove("servers", "d1")
            wait_for(lambda: refused.find_lines("server.gone", peer="d1"),
                     "the update from the other one")
            self.assertEqual(refused.request().body, b"d2 /forms/1 0")

    def test_rows_that_expire_in_an_outage_are_kept_for_two_seconds(self):
        """Guards against refusing all requests after a short outage of the
        store: servers could not renew their rows, which expired and return
        within two seconds."""
        with Fleet(vms=("a",)) as fleet:
            fleet.add_worker("d1")
            fleet.add_worker("d2")
            fleet.start()
            vm = fleet.vms[0]
            fleet.store.mode = "silent"
            wait_for(lambda: vm.find_lines("store.lost", peer="servers"),
                     "the outage to be noticed")
            time.sleep(2)
            fleet.store.remove("servers", "d1")
            fleet.store.remove("servers", "d2")
            fleet.store.mode = ""
            wait_for(lambda: vm.find_lines("store.regained", peer="servers"),
                     "the return")
            self.assertEqual(vm.request().status, 200)
            fleet.add_worker("d1", **{"seq-no": 9})
            wait_for(lambda: vm.find_lines("server.gone", peer="d2"),
                     "the absent server to be dropped")
            self.assertEqual(vm.find_lines("server.gone", peer="d1"), [])

    def test_a_change_after_an_outage_arrives_soon(self):
        """Guards against 404 on a new route for seconds after an outage: an
        entry VM still waits for a long poll that it sent during the outage.
        While the store is unresponsive it sends short polls."""
        with Fleet(vms=("a",)) as fleet:
            fleet.add_worker("d1")
            fleet.start()
            vm = fleet.vms[0]
            fleet.store.mode = "silent"
            wait_for(lambda: vm.find_lines("store.lost", peer="op"),
                     "the outage to be noticed")
            polls = len(fleet.store.waits)
            wait_for(lambda: len(fleet.store.waits) >= polls + 3,
                     "more polls")
            self.assertEqual(set(fleet.store.waits[polls + 1:]), {0})
            fleet.store.mode = ""
            fleet.configure(version=50)
            wait_for(lambda: any("version=50" in line["text"] for line in
                                 vm.find_lines("config.apply")),
                     "the change")

    def test_an_entry_vm_started_in_an_outage_uses_short_polls(self):
        """Guards against serving an old route for seconds after an outage: an
        entry VM restarted during it got its rows from its leader, left the
        leader, which had no store either, and sent the store a long poll."""
        with Fleet(vms=("a", "a")) as fleet:
            fleet.add_worker("d1")
            fleet.start()
            follower = wait_for(lambda: next(
                (vm for vm in fleet.vms if vm.find_lines(
                    "store.listed", peer="op", **{"from": "entry VM"})),
                None), "a follower")
            fleet.store.mode = "silent"
            for vm in fleet.vms:
                wait_for(lambda: vm.find_lines("store.lost", peer="op"),
                         "the outage to be noticed at " + vm.name)
            polls = len(fleet.store.waits)
            follower.stop()
            follower.start()
            wait_for(follower.is_ready, "rows from the leader")
            wait_for(lambda: follower.find_lines(
                "store.unfollow", peer="op", status="busy"),
                "the leader to be left")
            wait_for(lambda: len(fleet.store.waits) >= polls + 8,
                     "more polls")
            self.assertEqual(set(fleet.store.waits[polls:]), {0})

    def test_a_compacted_store_is_listed_again(self):
        with Fleet(vms=("a",)) as fleet:
            fleet.add_worker("d1")
            fleet.start()
            vm = fleet.vms[0]
            fleet.add_worker("d2")
            fleet.store.remove("servers", "d1")
            fleet.store.compact()
            wait_for(lambda: vm.find_lines("server.gone", peer="d1"),
                     "the removal")
            fleet.add_worker("d3")
            wait_for(lambda: vm.find_lines("server.state", peer="d3"),
                     "a later change")

    def test_a_lost_acknowledgement_of_the_own_row_is_retried(self):
        with Fleet(vms=("a", "c")) as fleet:
            fleet.store.lose_acks = 2
            fleet.start()
            a, c = fleet.vms
            wait_for(lambda: len(set(a.lookup("a") + a.lookup("c"))) == 2,
                     "both to know each other")

    def test_more_rows_than_a_page_are_all_listed(self):
        with Fleet(vms=("a",)) as fleet:
            worker = fleet.add_worker("d1")
            for i in range(700):
                fleet.add_worker_row("s%04d" % i, worker.port)
            fleet.start()
            lines = fleet.vms[0].find_lines("store.listed", peer="servers")
            self.assertEqual(lines[0]["rows"], 701)

    def check_one_of_three_polls(self, max_calls, **bounds):
        """max_calls: calls in 4 s, at least those of one entry VM and fewer
        than those of two."""
        with Fleet(vms=("a", "a", "a"), bounds=bounds) as fleet:
            fleet.add_worker("d1")
            fleet.start()

            def count_calls():
                before = fleet.store.calls
                time.sleep(4)
                return fleet.store.calls - before
            wait_for(lambda: count_calls() <= max_calls,
                     "two of three to follow")
            fleet.add_worker("d2")
            fleet.store.remove("servers", "d1")
            for vm in fleet.vms:
                wait_for(lambda: vm.find_lines("server.gone", peer="d1"),
                         "the update at " + vm.name)
                self.assertEqual(vm.request().status, 200)

    def test_one_entry_vm_of_a_zone_polls_the_store(self):
        """Guards against the cost of store calls: 70 entry VMs that each poll
        would use a fifth of the daily budget."""
        # One polls two tables, each every 2.5 s; three would make 10 calls.
        self.check_one_of_three_polls(6, **{"config-ms": 6000,
                                            "drain-ms": 6000})

    def test_one_entry_vm_of_a_zone_polls_with_short_polls(self):
        """The same with polls of 0.85 s."""
        # One makes 8 or 9 calls, two would make 17.
        self.check_one_of_three_polls(11)

    def test_followers_take_over_when_their_leader_dies(self):
        with Fleet(vms=("a", "a", "a")) as fleet:
            fleet.add_worker("d1")
            fleet.start()
            time.sleep(2)
            for victim in fleet.vms[:2]:
                victim.stop()
            fleet.add_worker("d2")
            fleet.store.remove("servers", "d1")
            vm = fleet.vms[2]
            wait_for(lambda: vm.find_lines("server.gone", peer="d1"),
                     "the update")
            self.assertEqual(vm.request().status, 200)

    def test_a_stop_answers_every_request_in_progress(self):
        """Guards against interrupting uploads in a planned restart."""
        with Fleet(vms=("a", "a")) as fleet:
            worker = fleet.add_worker("d1", slots=16)
            fleet.start()
            vm, other = fleet.vms
            worker.work_s = 1.0
            answers = []
            threads = [threading.Thread(target=lambda: answers.append(
                vm.request("POST", "/filings/1", b"x"))) for _ in range(8)]
            for thread in threads:
                thread.start()
            wait_for(lambda: len(worker.ran) == 8, "eight in progress")
            vm.signal(signal.SIGTERM)
            wait_for(lambda: not vm.is_ready(), "not ready")
            wait_for(lambda: "%s:%d" % vm.address() not in other.lookup("a"),
                     "to leave the lookups")
            # A caller with an older lookup is still served.
            self.assertEqual(vm.request().status, 200)
            for thread in threads:
                thread.join()
            self.assertEqual([a.status for a in answers], [200] * 8)
            self.assertEqual(vm.process.wait(30), 0)

    def test_invalid_settings_are_named(self):
        with Fleet(vms=("a",)) as fleet:
            vm = fleet.vms[0].start()
            vm.stop()
            with open(vm.settings_path) as file:
                text = file.read()

            def check_settings(changed):
                path = os.path.join(fleet.folder, "bad.toml")
                with open(path, "w") as file:
                    file.write(changed)
                run = subprocess.run(
                    [os.path.join(BUILD, "bin", "sassafrassilld"),
                     "--check-settings", "--platform-settings", path],
                    capture_output=True, text=True, timeout=30)
                return run.returncode, run.stdout + run.stderr
            self.assertEqual(check_settings(text)[0], 0)
            code, output = check_settings(text.replace("node-name",
                                                       "nodename"))
            self.assertEqual(code, 2)
            self.assertIn("node-name", output)
            code, output = check_settings(text.replace("[platform]",
                                                       "[platform"))
            self.assertEqual(code, 2)
            self.assertIn("bad.toml:", output)
            code, output = check_settings(text.replace("budget-ratio=0.2",
                                                       "budget-ratio=x"))
            self.assertEqual(code, 2)
            self.assertIn("budget-ratio", output)

    def test_ctl_compares_views_of_entry_vms(self):
        with Fleet(vms=("a", "c")) as fleet:
            fleet.add_worker("d1")
            fleet.start()
            a, c = fleet.vms

            def ctl(*words):
                run = subprocess.run(
                    [os.path.join(BUILD, "bin", "sassafrassillctl"),
                     "--node", "%s:%d" % a.address("ready"),
                     "--node", "%s:%d" % c.address("ready")] + list(words),
                    capture_output=True, text=True, timeout=30)
                return run.returncode, run.stdout + run.stderr
            wait_for(lambda: ctl("views")[0] == 0, "the views to agree")
            code, output = ctl("owners", "desk/7")
            self.assertEqual(code, 0, output)
            self.assertEqual(output.count("d1"), 2)
            self.assertEqual(ctl("owners", "desk")[0], 2)
            c.stop()
            wait_for(lambda: a.find_lines("mesh.state", peer=c.name),
                     "the death")
            code, output = ctl("views", "--json")
            self.assertEqual(code, 0)
            self.assertIn('"vm":"vm-0"', output)
            # The callers' port does not serve internal state.
            self.assertEqual(exchange(a.address("lookup"), "GET",
                                      "/v1/view").status, 404)

    def test_a_reload_keeps_serving(self):
        with Fleet(vms=("a",)) as fleet:
            fleet.add_worker("d1")
            fleet.start()
            vm = fleet.vms[0]
            vm.signal(signal.SIGHUP)
            wait_for(lambda: vm.find_lines("process.reload"), "the reload")
            self.assertEqual(vm.request().status, 200)
            metrics = exchange(vm.address("ready"), "GET", "/metrics").body
            self.assertIn(b'sas_requests_total{outcome="answered"} 1', metrics)
            self.assertIn(b'sas_request_duration_ms_count{service="desk"} 1',
                          metrics)
            self.assertIn(b'sas_store_calls_total{status="ok"}', metrics)

    def test_a_changed_settings_file_is_read_without_a_signal(self):
        with Fleet(vms=("a",)) as fleet:
            fleet.add_worker("d1")
            fleet.start()
            vm = fleet.vms[0]
            with open(vm.settings_path) as file:
                text = file.read()
            with open(vm.settings_path, "w") as file:
                file.write(text.replace("grace-s=6", "grace-s=9"))
            wait_for(lambda: any("grace_ms=9000" in line["text"] for line in
                                 vm.find_lines("settings.apply")),
                     "the new bound")
            with open(vm.settings_path, "w") as file:
                file.write("broken")
            wait_for(lambda: vm.find_lines("settings.load"), "an error log")
            self.assertEqual(vm.request().status, 200)

    def test_followers_get_hundreds_of_servers_from_their_leader(self):
        """Guards against a server missing from the pages of rows that the
        leader sends: it would get no requests of the follower."""
        with Fleet(vms=("a", "a", "a")) as fleet:
            for i in range(430):
                fleet.add_worker_row("x%03d" % i, 9000 + i)
            fleet.add_worker("d1")
            first, second, third = fleet.vms
            first.start()
            wait_for(first.is_ready, "the leader to be ready")
            wait_for(lambda: first.find_lines("store.listed",
                                              peer="servers"), "its listing")
            second.start()
            third.start()

            def count(vm):
                view = exchange(vm.address("ready"), "GET",
                                "/v1/view").json()
                return len(view["servers"])
            wait_for(lambda: all(vm.is_ready() and count(vm) == 431
                                 for vm in fleet.vms), "all to know all")
            fleet.store.remove("servers", "x007")
            fleet.add_worker_row("y000", 9999)
            fleet.add_worker_row("y001", 9998)
            wait_for(lambda: all(count(vm) == 432 for vm in fleet.vms),
                     "all to follow")

    def test_entry_vms_with_a_key_ignore_others(
            self):
        """An entry VM that the store refuses gets new rows from its peers. One
        without their key, which anybody could run, gets none and is named in
        no lookup."""
        with Fleet(vms=("a", "a", "c")) as fleet:
            for vm, key in zip(fleet.vms, ("of all entry VMs",
                                           "of all entry VMs",
                                           "of somebody else")):
                vm.environment = {"SASSAFRASSILL_PEER_KEY": key}
            fleet.add_worker("d1")
            fleet.start()
            first, second, keyless = fleet.vms
            wait_for(lambda: len(first.lookup("a")) == 2 and
                     len(second.lookup("a")) == 2, "two that know each other")
            self.assertNotIn("%s:%d" % keyless.address(),
                             first.lookup("c") + second.lookup("c"))
            # If it started first, it greets the others only when it lists them
            # again, seconds later; the store must still answer it then.
            wait_for(lambda: first.find_lines("mesh.refuse"),
                     "the greeting without the key to be refused")
            fleet.store.refused = {second.store_port, keyless.store_port}
            wait_for(lambda: len(keyless.find_lines("store.lost")) == 2,
                     "the one without the key to lose the store")
            fleet.add_worker("d2", service="vault")
            wait_for(lambda: second.request("POST", "/scans/1",
                                            b"x").status == 200,
                     "the one with the key to learn of the server")
            self.assertEqual(keyless.request("POST", "/scans/1",
                                             b"x").status, 503)


if __name__ == "__main__":
    unittest.main()
