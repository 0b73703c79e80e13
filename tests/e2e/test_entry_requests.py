#!/usr/bin/python3
"""Requests in platform mode: routes, complete answers and retries."""

import os
import threading
import unittest

from entry_harness import (Fleet, HOST, ID, SEAL, exchange,
                           format_request, signal, socket, time, wait_for)


def read_answers(connection, count):
    """Reads count answers; returns pairs of status and body."""
    reader = connection.makefile("rb")
    answers = []
    for _ in range(count):
        status = int(reader.readline().split()[1])
        size = 0
        while True:
            line = reader.readline().decode().strip()
            if not line:
                break
            name, value = line.split(":", 1)
            if name.lower() == "content-length":
                size = int(value)
        answers.append((status, reader.read(size).decode()))
    return answers


class EntryRequests(unittest.TestCase):
    def test_requests_follow_routes_and_answers_pass_unchanged(self):
        with Fleet(vms=("a",)) as fleet:
            fleet.add_worker("d1")
            fleet.add_worker("v1", service="vault")
            fleet.start()
            vm = fleet.vms[0]
            answer = vm.request(path="/forms/3?x=1")
            self.assertEqual(answer.status, 200)
            self.assertEqual(answer.body, b"d1 /forms/3?x=1 0")
            self.assertEqual(answer.headers[SEAL], "s-d1")
            answer = vm.request("POST", "/scans/2", b"x" * 70000)
            self.assertEqual(answer.body, b"v1 /scans/2 70000")
            self.assertEqual(vm.request(path="/nothing/").status, 404)
            self.assertEqual(vm.request(headers={"Host": "else"}).status, 404)
            sent = fleet.workers["d1"].ran[0].headers
            self.assertEqual(sent["host"], HOST)
            self.assertLessEqual(int(sent["x-sassafrassill-deadline-ms"]),
                                 5000)
            done = vm.find_lines("request", outcome="answered", route="forms")
            self.assertEqual(done[0]["peer"], "d1")

    def test_a_connection_that_never_opened_uses_no_retry(self):
        """Guards against requests that are refused as the retries are used
        up, though no server has got them yet."""
        with Fleet(vms=("a",), bounds={"budget-ratio": 0.0,
                                       "budget-burst": 0}) as fleet, \
                socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))  # bound without listening
            fleet.add_worker("d1")
            for name in ("d2", "d3"):
                fleet.add_worker(name, port=closed.getsockname()[1])
            fleet.start()
            vm = fleet.vms[0]
            statuses = [vm.request(method, path, key=str(i)).status
                        for i in range(10) for method, path in
                        (("GET", "/forms/1"), ("POST", "/filings/1"))]
            self.assertEqual(statuses, [200] * 20)
            self.assertTrue(vm.find_lines("attempt.failed", sent=False))
            self.assertEqual(vm.find_lines("retry"), [])

    def test_without_a_configuration_answers_are_503(self):
        """Guards against a 404, which callers treat as final, by an entry VM
        that has just started and has no configuration."""
        with Fleet(vms=("a",), configured=False) as fleet:
            vm = fleet.vms[0].start()
            wait_for(lambda: vm.find_lines("store.listed"), "a listing")
            answer = vm.request()
            self.assertEqual(answer.status, 503)
            self.assertIn("Retry-After", answer.headers)
            self.assertFalse(vm.is_ready())
            fleet.configure()
            wait_for(vm.is_ready, "ready with a configuration")

    def test_pipelined_requests_run_concurrently(self):
        """Guards against running pipelined requests one after another. The
        first request is held until all three have begun; the answers still
        come in order."""
        with Fleet(vms=("a",)) as fleet:
            worker = fleet.add_worker("d1", slots=8)
            fleet.start()
            worker.held.clear()
            with socket.create_connection(fleet.vms[0].address()) as client:
                for i in range(3):
                    client.sendall(format_request("/forms/%d" % i, "p%d" % i))
                wait_for(lambda: len(worker.ran) == 3, "three requests")
                worker.held.set()
                self.assertEqual(read_answers(client, 3),
                                 [(200, "d1 /forms/%d 0" % i)
                                  for i in range(3)])

    def test_a_late_second_answer_reaches_no_other_caller(self):
        """Guards against delivering another caller's answer: a faulty server
        sends a second answer after a complete one, when the next request on
        that connection waits for its own."""
        with Fleet(vms=("a",)) as fleet:
            worker = fleet.add_worker("d1")
            fleet.start()
            worker.faults = ["late-extra"] * 4
            for i in range(8):
                answer = fleet.vms[0].request(path="/forms/%d" % i)
                if answer.status == 200:
                    self.assertEqual(answer.body,
                                     b"d1 /forms/%d 0" % i)
                else:
                    self.assertEqual(answer.status, 502)
                time.sleep(0.02)

    def test_an_answer_without_a_length_is_whole_only_when_closed(self):
        with Fleet(vms=("a",)) as fleet:
            worker = fleet.add_worker("d1")
            fleet.start()
            worker.faults = ["unframed"]
            answer = fleet.vms[0].request("POST", "/filings/1", b"x")
            self.assertEqual((answer.status, answer.body),
                             (200, b"d1 /filings/1 1"))
            worker.faults = ["half"]
            answer = fleet.vms[0].request("POST", "/filings/2", b"x")
            self.assertEqual(answer.status, 502)
            self.assertNotIn(SEAL, answer.headers)

    def test_many_fields_within_the_limit_on_bytes_are_passed_on(self):
        """Guards against 431 for a request whose head is smaller than the
        configuration allows."""
        with Fleet(vms=("a",), first_start=True) as fleet:
            worker = fleet.add_worker("d1")
            fleet.start()
            fields = {"X-%d" % i: str(i) for i in range(1000)}
            answer = fleet.vms[0].request(headers=fields)
            self.assertEqual(answer.status, 200)
            for name, value in fields.items():
                self.assertEqual(worker.ran[0].headers[name.lower()], value)
            fields = {"X-%d" % i: "x" * 100 for i in range(200)}
            self.assertEqual(fleet.vms[0].request(headers=fields).status, 431)

    def test_an_id_may_be_long(self):
        """Guards against an id that is cut: no answer matches it, and the
        caller gets 504 though its request ran."""
        with Fleet(vms=("a",), first_start=True) as fleet:
            fleet.add_worker("d1")
            fleet.start()
            for size in (63, 64, 1000):
                answer = fleet.vms[0].request(
                    "POST", "/filings/%d" % size, b"", deadline_ms=2000,
                    headers={ID: "x" * size})
                self.assertEqual((answer.status, answer.body),
                                 (200, b"d1 /filings/%d 0" % size))

    def test_only_safe_requests_are_retried(self):
        """Guards against running an unsafe request twice: a server ran it, its
        answer was lost, and another server gets it. A safe one is retried."""
        with Fleet(vms=("a",), first_start=True) as fleet:
            workers = [fleet.add_worker("d1"), fleet.add_worker("d2")]
            fleet.start()
            for worker in workers:
                worker.faults = ["cut"]
            answer = fleet.vms[0].request("POST", "/filings/1", b"x")
            self.assertEqual(answer.status, 502)
            ran = [w.ids().count(answer.id) for w in workers]
            self.assertEqual(sum(ran), 1)
            for worker in workers:
                worker.faults = []
            owner = workers[0] if ran[0] else workers[1]
            owner.faults = ["cut"]
            answer = fleet.vms[0].request("GET", "/forms/1")
            self.assertEqual(answer.status, 200)
            self.assertEqual(sum(w.ids().count(answer.id) for w in workers),
                             2)

    def test_a_refused_request_did_not_run(self):
        """All servers refuse an unsafe request: the answer is 503 with
        Retry-After, and no server has run it."""
        with Fleet(vms=("a",)) as fleet:
            workers = [fleet.add_worker("d1"), fleet.add_worker("d2")]
            fleet.start()
            for worker in workers:
                worker.faults = ["shed"] * 10
            answer = fleet.vms[0].request("POST", "/filings/1", b"x")
            self.assertEqual(answer.status, 503)
            self.assertIn("Retry-After", answer.headers)
            self.assertEqual(workers[0].ids() + workers[1].ids(), [])

    def test_unsafe_requests_avoid_idle_connections_dropped_by_servers(self):
        """Guards against losing unsafe requests on idle connections that the
        server dropped without closing: after the reset their outcome is
        unknown. After the first reset unsafe requests use new connections; a
        safe request is retried at the server that has its object cached."""
        with Fleet(vms=("a",), first_start=True) as fleet:
            worker = fleet.add_worker("d1")
            fleet.start()
            vm = fleet.vms[0]
            worker.forget_s = 0.3
            self.assertEqual(vm.request().status, 200)
            time.sleep(0.5)
            self.assertEqual(vm.request().status, 200)
            for i in range(3):
                time.sleep(0.5)
                answer = vm.request("POST", "/filings/%d" % i, b"x")
                self.assertEqual(answer.status, 200)
            self.assertEqual(vm.find_lines("server.tripped"), [])

    # Guards against sending an unsafe request on a connection that its server
    # has just closed in an orderly way: it does not run, but the answer says
    # that it may have.
    def test_an_unsafe_request_avoids_a_closed_connection(self):
        with Fleet(vms=("a",)) as fleet:
            worker = fleet.add_worker("d1")
            fleet.start()
            vm = fleet.vms[0]
            with socket.create_connection(vm.address()) as caller:
                caller.settimeout(30)
                # The kernel decides which of the two it sees first.
                for n in range(12):
                    self.send_as_the_server_closes(vm, worker, caller, n)

    def send_as_the_server_closes(self, vm, worker, caller, n):
        """The request and the close arrive while the entry VM is paused."""
        caller.sendall(format_request("/forms/1", "l%d" % n))
        self.assertEqual(read_answers(caller, 1)[0][0], 200)
        vm.signal(signal.SIGSTOP)
        os.waitid(os.P_PID, vm.process.pid, os.WSTOPPED)
        caller.sendall(format_request("/filings/2", "f%d" % n, "POST"))
        for connection in list(worker.connections):
            connection.shutdown(socket.SHUT_RDWR)
        wait_for(lambda: not worker.connections, "closed connections")
        vm.signal(signal.SIGCONT)
        self.assertEqual(read_answers(caller, 1)[0][0], 200)
        self.assertEqual(worker.ids()[-1], "f%d" % n)

    def test_a_poison_request_is_quarantined(self):
        """A poison request, retried at all entry VMs, is suspected after two
        crashes, runs isolated on a third server and is then quarantined on
        all entry VMs. Other requests are served."""
        with Fleet(vms=("a", "a", "b")) as fleet:
            workers = [fleet.add_worker("d%d" % i) for i in range(6)]
            fleet.start()
            for worker in workers:
                worker.poison.add("/forms/poison")
            first, second, third = fleet.vms
            wait_for(lambda: first.request("GET", "/forms/poison").status ==
                     503 and first.find_lines("suspect", quarantined=True),
                     "the request to be quarantined")
            crashes = sum(w.crashes for w in workers)
            self.assertLessEqual(crashes, 4)
            wait_for(lambda: all(vm.find_lines("suspect", quarantined=True)
                                 for vm in (second, third)),
                     "the other entry VMs to learn of it")
            for vm in fleet.vms:
                answer = vm.request("GET", "/forms/poison")
                self.assertEqual(answer.status, 503)
                self.assertIn("Retry-After", answer.headers)
            self.assertEqual(sum(w.crashes for w in workers), crashes)
            # A restarted entry VM learns of it without further crashes.
            reports = len(second.find_lines("suspect", quarantined=True))
            second.stop()
            second.start()
            wait_for(lambda: second.is_ready() and len(second.find_lines(
                "suspect", quarantined=True)) > reports,
                "it to learn of it again")
            self.assertEqual(second.request("GET", "/forms/poison").status,
                             503)
            self.assertEqual(sum(w.crashes for w in workers), crashes)
            wait_for(lambda: all(
                vm.request("GET", "/forms/%d" % i).status == 200
                for vm in fleet.vms for i in range(8)), "all others served")

    def test_a_restarted_entry_vm_learns_quarantined_requests(self):
        """Guards against further crashes by a quarantined request through an
        entry VM that restarts while any other one is frozen."""
        with Fleet(vms=("a", "a", "b", "c")) as fleet:
            workers = [fleet.add_worker("d%d" % i) for i in range(8)]
            fleet.start()
            for worker in workers:
                worker.poison.add("/forms/poison")

            def is_refused(vm):
                return vm.find_lines("suspect", quarantined=True)
            wait_for(lambda: fleet.vms[0].request(
                "GET", "/forms/poison").status == 503 and
                all(is_refused(vm) for vm in fleet.vms),
                "the request to be refused everywhere")
            crashes = sum(w.crashes for w in workers)
            for absent, again in zip(fleet.vms,
                                     fleet.vms[1:] + fleet.vms[:1]):
                reports = len(is_refused(again))
                absent.signal(signal.SIGSTOP)
                again.stop()
                again.start()
                wait_for(lambda: len(is_refused(again)) > reports,
                         "%s to learn of it while %s is frozen" % (
                             again.name, absent.name))
                wait_for(again.is_ready, again.name + " to be ready")
                self.assertEqual(again.request(
                    "GET", "/forms/poison").status, 503)
                absent.signal(signal.SIGCONT)
            self.assertEqual(sum(w.crashes for w in workers), crashes)

    def test_unsafe_requests_avoid_a_server_with_grey_failure(self):
        """Guards against losing unsafe requests to a grey failure: a server
        resets two of five requests, answers the others in time, and its
        health check passes. No entry VM sees two failures in a row. Safe
        requests still go there, as they can be retried."""
        with Fleet(vms=("a", "a", "b"), first_start=True) as fleet:
            grey = fleet.add_worker("d1", slots=30)
            fleet.add_worker("d2", slots=30)
            fleet.start()
            grey.faults = ["", "cut", "", "", "cut"] * 200

            def call(method, prefix):
                return [fleet.vms[i % 3].request(
                    method, "/%s/%d" % (prefix, i), key=str(i))
                    for i in range(12)]

            def is_marked_grey():
                call("GET", "forms")
                return any(vm.find_lines("server.grey", peer="d1")
                           for vm in fleet.vms)
            wait_for(is_marked_grey, "the grey failure to be detected")
            self.assertEqual([a.status for a in call("POST", "filings")],
                             [200] * 12)
            self.assertEqual([a.status for a in call("GET", "forms")],
                             [200] * 12)
            grey.faults = []
            before = sum(r.method == "POST" for r in grey.ran)
            wait_for(lambda: call("POST", "filings") and sum(
                r.method == "POST" for r in grey.ran) > before,
                "unsafe requests to return")

    def test_a_safe_request_is_retried_after_a_server_error(self):
        """A safe request that a server answers with an error is retried at
        another server. An unsafe request ran, so its error is the answer, as
        is that of a safe request which all servers fail."""
        with Fleet(vms=("a",), first_start=True) as fleet:
            workers = [fleet.add_worker("d1"), fleet.add_worker("d2")]
            fleet.start()
            vm = fleet.vms[0]
            for worker in workers:
                worker.faults = ["error"]
            answer = vm.request("POST", "/filings/1", b"x")
            self.assertEqual(answer.status, 500)
            self.assertIn(SEAL, answer.headers)
            for worker in workers:
                worker.faults = []
            vm.request("GET", "/forms/1")
            owner = next(w for w in workers if any(
                r.target == "/forms/1" for r in w.ran))
            owner.faults = ["error"]
            self.assertEqual(vm.request("GET", "/forms/1").status, 200)
            for worker in workers:
                worker.faults = ["error"] * 2
            answer = vm.request("GET", "/forms/1")
            self.assertEqual(answer.status, 500)
            self.assertIn(SEAL, answer.headers)

    def test_lost_answers_are_no_crashes(self):
        """Guards against suspecting requests whose answers were lost by a
        server that still accepts connections."""
        with Fleet(vms=("a",)) as fleet:
            workers = [fleet.add_worker("d1"), fleet.add_worker("d2")]
            fleet.start()
            vm = fleet.vms[0]
            for _ in range(3):
                for worker in workers:
                    worker.faults = ["cut"] * 2
                vm.request("GET", "/forms/1")
                for worker in workers:
                    worker.faults = []
                wait_for(lambda: vm.request("GET", "/forms/1").status == 200,
                         "the request to be served")
            self.assertEqual(vm.find_lines("suspect"), [])

    def test_a_success_without_a_seal_is_502(self):
        with Fleet(vms=("a",)) as fleet:
            worker = fleet.add_worker("d1")
            fleet.start()
            worker.faults = ["unsealed"]
            answer = fleet.vms[0].request("POST", "/filings/1", b"x")
            self.assertEqual(answer.status, 502)

    def test_a_reused_address_runs_nothing_of_the_old_service(self):
        """Guards against running a request at a wrong service: its server
        ended, and a server of another service got the address while the old
        row remains."""
        with Fleet(vms=("a",), first_start=True) as fleet:
            other = fleet.add_worker("v1", service="vault")
            fleet.add_worker("d1", port=other.port)
            good = fleet.add_worker("d2")
            fleet.start()
            for i in range(6):
                answer = fleet.vms[0].request("POST", "/filings/%d" % i, b"x",
                                              key=str(i))
                self.assertEqual(answer.status, 200)
                self.assertIn(answer.id, good.ids())
            self.assertEqual(other.ids(), [])

    def test_a_disconnected_caller_cancels_its_request(self):
        with Fleet(vms=("a",)) as fleet:
            worker = fleet.add_worker("d1")
            fleet.start()
            worker.held.clear()
            client = socket.create_connection(fleet.vms[0].address())
            client.sendall(format_request("/forms/1", "gone"))
            wait_for(lambda: worker.ids() == ["gone"], "the request to run")
            client.close()
            wait_for(lambda: worker.left == ["gone"],
                     "the server to see the disconnect")

    def test_a_request_is_answered_at_the_route_timeout(self):
        with Fleet(vms=("a",)) as fleet:
            worker = fleet.add_worker("d1")
            routes = [fleet.route("forms", "/forms/", "safe",
                                  **{"timeout-ms": 300})]
            fleet.configure(routes)
            fleet.start()
            worker.held.clear()
            answer = fleet.vms[0].request(deadline_ms=20000)
            self.assertEqual(answer.status, 504)

    def test_an_early_answer_leaves_no_bytes_for_the_next_request(self):
        """A server refuses a long upload before reading all of it. The rest of
        the body must not be taken for the next request."""
        with Fleet(vms=("a",)) as fleet:
            worker = fleet.add_worker("v1", service="vault")
            fleet.start()
            worker.faults = ["early"]
            vm = fleet.vms[0]
            answer = vm.request("POST", "/scans/1", b"x" * 900000)
            self.assertEqual(answer.status, 400)
            for i in range(3):
                answer = vm.request("POST", "/scans/%d" % i, b"yy")
                self.assertEqual(answer.body, b"v1 /scans/%d 2" % i)

    def test_bad_requests_get_an_error_answer(self):
        with Fleet(vms=("a",)) as fleet:
            fleet.add_worker("v1", service="vault")
            fleet.add_worker("d1")
            fleet.start()
            vm = fleet.vms[0]
            with socket.create_connection(vm.address()) as client:
                client.sendall(b"NONSENSE\r\n\r\n")
                self.assertEqual(read_answers(client, 1)[0][0], 400)
            with socket.create_connection(vm.address()) as client:
                client.sendall(b"GET / HTTP/1.1\r\nX: " + b"x" * 20000)
                self.assertEqual(read_answers(client, 1)[0][0], 431)
            with socket.create_connection(vm.address()) as client:
                client.sendall(b"POST /scans/1 HTTP/1.1\r\nHost: x\r\n"
                               b"Content-Length: 99999999\r\n\r\n")
                self.assertEqual(read_answers(client, 1)[0][0], 413)
            self.assertEqual(vm.request().status, 200)

    def test_both_services_of_a_split_get_their_weight(self):
        with Fleet(vms=("a",)) as fleet:
            fleet.add_worker("d1", slots=30)
            fleet.add_worker("v1", service="vault", slots=30)
            fleet.configure([fleet.route(
                "forms", "/forms/", "safe", None,
                split=[{"service": "desk", "weight": 70},
                       {"service": "vault", "weight": 30}])])
            fleet.start()
            for i in range(200):
                self.assertEqual(
                    fleet.vms[0].request(key=str(i % 5)).status, 200)
            share = len(fleet.workers["v1"].ran) / 200
            self.assertAlmostEqual(share, 0.3, delta=0.08)

    def test_concurrent_callers_get_their_own_answers(self):
        with Fleet(vms=("a", "b")) as fleet:
            for i in range(4):
                fleet.add_worker("d%d" % i, zone="ab"[i % 2], slots=16)
            fleet.start()
            wrong = []

            def call(number):
                vm = fleet.vms[number % 2]
                for i in range(20):
                    path = "/forms/%d-%d" % (number, i)
                    answer = vm.request(path=path, key=str(number))
                    if answer.status != 200 or \
                            answer.body.split()[1].decode() != path:
                        wrong.append((answer.status, answer.body))
            threads = [threading.Thread(target=call, args=(n,))
                       for n in range(8)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            self.assertEqual(wrong, [])


if __name__ == "__main__":
    unittest.main()
