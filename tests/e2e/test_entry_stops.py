#!/usr/bin/python3
"""A planned stop of an entry VM on the platform: what callers get of it."""

import http.client
import threading
import unittest

from entry_harness import (Fleet, format_request, signal, socket, time,
                           wait_for)

LARGE = 12 << 20  # bytes, more than the sockets between two processes hold
LATE_S = 3.1      # after SIGTERM: callers that keep an old look-up still come
EMPTY_S = 2.8     # after SIGTERM: without connections the process ends
QUIET_S = 4.0     # after SIGTERM: without requests the process ends
END_S = 5.6       # past the moment at which what is left is cut off


class Late(threading.Thread):
    """A request that is sent some time after SIGTERM."""

    def __init__(self, vm, deadline_ms):
        super().__init__()
        self.vm = vm
        self.deadline_ms = deadline_ms
        self.status = None  # None: neither an answer nor a refusal
        self.retry_s = None
        self.start()

    def run(self):
        try:
            answer = self.vm.request(path="/forms/late",
                                     deadline_ms=self.deadline_ms)
            self.status = answer.status
            self.retry_s = float(answer.headers.get("Retry-After", "inf"))
        except (OSError, http.client.HTTPException):
            pass


class EntryStops(unittest.TestCase):
    def stop_with_an_upload(self, fleet):
        """Sends SIGTERM while an upload runs, which keeps the process from
        ending early. When it was sent."""
        vm = fleet.vms[0]
        vault = fleet.workers["v1"]
        vault.held.clear()
        upload = threading.Thread(
            target=lambda: vm.request("POST", "/scans/1", b"x",
                                      deadline_ms=9000))
        upload.start()
        self.addCleanup(upload.join)
        wait_for(lambda: vault.ran, "an upload in progress")
        vm.signal(signal.SIGTERM)
        return time.monotonic()

    # Guards against a request that is taken late in a stop, and cut off with
    # neither an answer nor a refusal when the process ends.
    def test_a_request_taken_late_is_answered_or_refused(self):
        with Fleet(vms=("a",)) as fleet:
            server = fleet.add_worker("d1")
            fleet.add_worker("v1", service="vault")
            fleet.start()
            began = self.stop_with_an_upload(fleet)
            server.held.clear()
            time.sleep(LATE_S)
            late = Late(fleet.vms[0], deadline_ms=6000)
            time.sleep(0.2)
            fleet.workers["v1"].held.set()
            time.sleep(max(0, began + END_S - time.monotonic()))
            server.held.set()
            late.join()
            self.assertIn(late.status, (200, 503))
            if late.status == 503:
                self.assertLess(late.retry_s, 0.01)

    # Guards against a refusal of what still has time: a late request whose own
    # limit ends before the process does.
    def test_a_late_request_with_a_short_limit_is_served(self):
        with Fleet(vms=("a",)) as fleet:
            fleet.add_worker("d1")
            fleet.add_worker("v1", service="vault")
            fleet.start()
            self.stop_with_an_upload(fleet)
            time.sleep(LATE_S)
            late = Late(fleet.vms[0], deadline_ms=1000)
            late.join()
            fleet.workers["v1"].held.set()
            self.assertEqual(late.status, 200)

    # Guards against a connection that just closes at the end of a stop, where
    # its caller could be told.
    def test_what_runs_at_the_end_of_a_stop_gets_an_answer(self):
        with Fleet(vms=("a",)) as fleet:
            server = fleet.add_worker("d1")
            fleet.start()
            vm = fleet.vms[0]
            server.held.clear()
            long = Late(vm, deadline_ms=20000)
            wait_for(lambda: server.ran, "a request in progress")
            vm.signal(signal.SIGTERM)
            long.join()
            self.assertEqual(long.status, 502)
            self.assertEqual(vm.process.wait(30), 0)

    # Guards against a request that is taken, and sent to a server, while the
    # process is already closing its parts; and against a reset for callers
    # that wait at the port of a process that was paused.
    def test_a_request_that_comes_as_the_process_ends_is_answered(self):
        with Fleet(vms=("a",)) as fleet:
            server = fleet.add_worker("d1")
            fleet.start()
            vm = fleet.vms[0]
            server.held.clear()
            vm.signal(signal.SIGTERM)
            wait_for(lambda: vm.find_lines("process.stopping"), "a stop")
            # What comes while it stands still is there at the moment at which
            # it finds that no connection is left.
            vm.signal(signal.SIGSTOP)
            late = Late(vm, deadline_ms=1000)
            time.sleep(EMPTY_S)
            vm.signal(signal.SIGCONT)
            time.sleep(0.5)
            server.held.set()
            late.join()
            self.assertEqual(late.status, 200)
            self.assertEqual(vm.process.wait(30), 0)

    # Guards against an answer that is dropped by the end of the process, or by
    # the limit for idle connections, while its caller still reads it.
    def test_an_answer_that_is_read_slowly_is_whole(self):
        with Fleet(vms=("a",)) as fleet:
            fleet.add_worker("d1").pad = LARGE
            fleet.start()
            vm = fleet.vms[0]
            with socket.socket() as caller:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                caller.connect(vm.address())
                caller.sendall(format_request("/forms/1", "slow"))
                wait_for(lambda: vm.find_lines("request", request="slow"),
                         "an answer on its way")
                vm.signal(signal.SIGTERM)
                time.sleep(QUIET_S)
                caller.settimeout(10)
                answer = http.client.HTTPResponse(caller)
                answer.begin()
                self.assertEqual(answer.status, 200)
                self.assertGreater(len(answer.read()), LARGE)
            self.assertEqual(vm.process.wait(30), 0)

    # Guards against look-ups sent behind one another that a stop cuts off: a
    # closing answer goes out while a later one still runs.
    def test_look_ups_behind_one_another_are_all_answered(self):
        with Fleet(vms=("a",)) as fleet:
            slow = fleet.add_worker("d1")
            quick = fleet.add_worker("v1", service="vault")
            fleet.configure([
                fleet.route("forms", "/forms/", "safe"),
                fleet.route("scans", "/scans/", "safe", "vault")])
            fleet.start()
            vm = fleet.vms[0]
            slow.held.clear()
            with socket.create_connection(vm.address()) as caller:
                caller.settimeout(30)
                caller.sendall(format_request("/forms/1", "p1"))
                wait_for(lambda: slow.ran, "the first")
                vm.signal(signal.SIGTERM)
                wait_for(lambda: vm.find_lines("process.stopping"), "a stop")
                caller.sendall(format_request("/scans/2", "p2"))
                wait_for(lambda: vm.find_lines("request", request="p2"),
                         "an answer to the second")
                quick.held.clear()
                caller.sendall(format_request("/scans/3", "p3"))
                wait_for(lambda: len(quick.ran) == 2, "the third")
                slow.held.set()
                reader = caller.makefile("rb")
                self.assertIn(b" 200 ", reader.readline())
                quick.held.set()
                rest = reader.read()
                self.assertEqual(rest.count(b"HTTP/1.1 200 "), 2)
                self.assertEqual(quick.left, [])


if __name__ == "__main__":
    unittest.main()
