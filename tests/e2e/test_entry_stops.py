#!/usr/bin/python3
"""Graceful shutdown of an entry VM in platform mode, as callers see it."""

import collections
import http.client
import threading
import unittest

from entry_harness import (HOST, ID, Fleet, exchange, format_request, signal,
                           socket, time, wait_for)
from workers import PROMISES

LARGE_BYTES = 12 << 20  # more than the socket buffers hold
LATE_PAUSE_S = 0.02    # between two requests of a caller
LATE_S = 3.1      # after SIGTERM: callers with an old lookup still connect
EMPTY_S = 2.8     # after SIGTERM: a process without connections exits
QUIET_S = 4.0     # after SIGTERM: a process without requests exits
TOKEN = "a-token-of-operators"
SHEET = (b"time,service,from,to,share,cap,drain,limits\n"
         b"+0,desk,east,west,10%,,,\n")
DEADLINE_S = 5.6       # after SIGTERM: past the shutdown deadline


class TimedRequest(threading.Thread):
    """A request on a thread of its own, with a deadline."""

    def __init__(self, vm, deadline_ms):
        super().__init__()
        self.vm = vm
        self.deadline_ms = deadline_ms
        self.status = None  # None: no answer
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


class SheetCall(threading.Thread):
    """An operator's change of the sheet, on a thread of its own."""

    def __init__(self, vm):
        super().__init__()
        self.vm = vm
        self.start()

    def run(self):
        try:
            exchange(self.vm.address("control"), "PUT", "/v1/sheet", SHEET,
                     {"Authorization": "Bearer " + TOKEN}, timeout=12)
        except (OSError, http.client.HTTPException):
            pass  # the process ends before the store answers


class LateCaller(threading.Thread):
    """Sends requests of both kinds up to the end of the process, over a kept
    connection or new ones. Notes the status of each; None: no answer."""

    def __init__(self, vm, kept, deadline_ms, path):
        super().__init__()
        self.vm = vm
        self.kept = kept
        self.deadline_ms = deadline_ms
        self.path = path
        self.connection = None
        self.statuses = {}
        self.start()

    def run(self):
        number = 0
        while self.vm.process.poll() is None:
            number += 1
            safe = number % 3 == 0
            name = "%x-%d" % (id(self), number)
            try:
                self.send(name, "GET" if safe else "POST",
                          "/forms/" if safe else self.path)
            except ConnectionRefusedError:
                return
            except (OSError, http.client.HTTPException):
                self.connection.close()
                self.connection = None
            time.sleep(LATE_PAUSE_S)

    def send(self, name, method, path):
        if self.connection is None:
            self.connection = http.client.HTTPConnection(*self.vm.address(),
                                                         timeout=20)
            self.connection.connect()
        self.statuses[name] = None
        fields = {"Host": HOST, ID: name}
        if self.deadline_ms is not None:
            fields["X-Sassafrassill-Deadline-Ms"] = str(self.deadline_ms)
        self.connection.request(method, path + name, headers=fields)
        answer = self.connection.getresponse()
        answer.read()
        self.statuses[name] = answer.status
        if not self.kept or answer.getheader("Connection") == "close":
            self.connection.close()
            self.connection = None


class EntryStops(unittest.TestCase):
    # Guards against requests that come late in a stop, are passed on, and are
    # cut with the process, without an answer.
    def test_no_request_that_is_passed_on_is_cut(self):
        with Fleet(vms=("a",)) as fleet:
            servers = [fleet.add_worker("d%d" % i, slots=40) for i in range(2)]
            servers += [fleet.add_worker("v1", service="vault", slots=40)]
            fleet.start()
            vm = fleet.vms[0]
            for server, work_s in zip(servers, (0.2, 1.5, 3.0)):
                server.work_s = work_s
            callers = [LateCaller(vm, kept, deadline_ms, path)
                       for kept in (False, True)
                       for deadline_ms in (None, 400, 1000, 2500, 8000)
                       for path in ("/filings/", "/scans/")]
            time.sleep(0.5)
            vm.signal(signal.SIGTERM)
            for caller in callers:
                caller.join()
            self.assertEqual(vm.process.wait(30), 0)
            answers = {}
            for caller in callers:
                answers.update(caller.statuses)
            ran = [name for server in servers for name in server.ids()]
            self.assertGreater(len(ran), 100)
            for name in ran:
                self.assertIsNotNone(answers[name], name)
            for name, count in collections.Counter(ran).items():
                if int(name.split("-")[1]) % 3:  # must not run twice
                    self.assertEqual(count, 1)
                    self.assertNotIn(answers[name], PROMISES)

    def stop_with_an_upload(self, fleet):
        """Sends SIGTERM while an upload runs, which keeps the process from
        exiting early. Returns the time of SIGTERM."""
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

    # Guards against a request that is accepted late in a stop and gets neither
    # an answer nor a refusal when the process ends.
    def test_a_late_request_is_answered_or_refused(self):
        with Fleet(vms=("a",)) as fleet:
            server = fleet.add_worker("d1")
            fleet.add_worker("v1", service="vault")
            fleet.start()
            began = self.stop_with_an_upload(fleet)
            server.held.clear()
            time.sleep(LATE_S)
            late = TimedRequest(fleet.vms[0], deadline_ms=6000)
            time.sleep(0.2)
            fleet.workers["v1"].held.set()
            time.sleep(max(0, began + DEADLINE_S - time.monotonic()))
            server.held.set()
            late.join()
            self.assertIn(late.status, (200, 503))
            if late.status == 503:
                self.assertLess(late.retry_s, 0.01)

    # Guards against refusing a late request whose deadline is before the end
    # of the process.
    def test_a_late_request_with_a_short_deadline_is_served(self):
        with Fleet(vms=("a",)) as fleet:
            fleet.add_worker("d1")
            fleet.add_worker("v1", service="vault")
            fleet.start()
            self.stop_with_an_upload(fleet)
            time.sleep(LATE_S)
            late = TimedRequest(fleet.vms[0], deadline_ms=1000)
            late.join()
            fleet.workers["v1"].held.set()
            self.assertEqual(late.status, 200)

    # Guards against closing a connection at the shutdown deadline without an
    # answer to its pending request.
    def test_a_request_at_the_shutdown_deadline_gets_an_answer(self):
        with Fleet(vms=("a",)) as fleet:
            server = fleet.add_worker("d1")
            fleet.start()
            vm = fleet.vms[0]
            server.held.clear()
            long = TimedRequest(vm, deadline_ms=20000)
            wait_for(lambda: server.ran, "a request in progress")
            vm.signal(signal.SIGTERM)
            long.join()
            self.assertEqual(long.status, 502)
            self.assertEqual(vm.process.wait(30), 0)

    # Guards against a request that is accepted and sent to a server while the
    # process is already closing its modules, and against resets of connections
    # in the accept queue of a process that was paused.
    def test_a_request_as_the_process_ends_is_answered(self):
        with Fleet(vms=("a",)) as fleet:
            server = fleet.add_worker("d1")
            fleet.start()
            vm = fleet.vms[0]
            server.held.clear()
            vm.signal(signal.SIGTERM)
            wait_for(lambda: vm.find_lines("process.stopping"), "a stop")
            # A request that arrives while the process is paused is there when
            # the process finds that it has no connections.
            vm.signal(signal.SIGSTOP)
            late = TimedRequest(vm, deadline_ms=1000)
            time.sleep(EMPTY_S)
            vm.signal(signal.SIGCONT)
            time.sleep(0.5)
            server.held.set()
            late.join()
            self.assertEqual(late.status, 200)
            self.assertEqual(vm.process.wait(30), 0)

    # Guards against an answer that is lost to the end of the process, or to
    # the idle timeout, while its caller still reads it.
    def test_an_answer_that_is_read_slowly_is_whole(self):
        with Fleet(vms=("a",)) as fleet:
            fleet.add_worker("d1").pad = LARGE_BYTES
            fleet.start()
            vm = fleet.vms[0]
            with socket.socket() as caller:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                caller.connect(vm.address())
                caller.sendall(format_request("/forms/1", "slow"))
                wait_for(lambda: vm.find_lines("request", request="slow"),
                         "the answer to be sent")
                vm.signal(signal.SIGTERM)
                time.sleep(QUIET_S)
                caller.settimeout(10)
                answer = http.client.HTTPResponse(caller)
                answer.begin()
                self.assertEqual(answer.status, 200)
                self.assertGreater(len(answer.read()), LARGE_BYTES)
            self.assertEqual(vm.process.wait(30), 0)

    # Guards against losing pipelined requests in a stop: a closing answer is
    # sent while a later request still runs.
    def test_pipelined_requests_are_all_answered(self):
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

    # Guards against a stop that reads what it has freed: an operator's call
    # waits for the store, and the process runs on for it. Sanitizers see it.
    def test_a_stop_with_an_operators_call_waiting_ends_well(self):
        with Fleet(vms=("a", "b")) as fleet:
            fleet.add_worker("d1")
            for vm in fleet.vms:
                vm.environment["SASSAFRASSILL_OPERATOR_TOKEN"] = TOKEN
            fleet.start()
            vm = fleet.vms[0]
            fleet.store.mode = "silent"
            calls = [SheetCall(vm)]
            time.sleep(0.3)
            vm.signal(signal.SIGTERM)
            while vm.process.poll() is None:
                calls.append(SheetCall(vm))
                time.sleep(0.45)
            for call in calls:
                call.join()
            self.assertEqual(vm.process.returncode, 0)


if __name__ == "__main__":
    unittest.main()
