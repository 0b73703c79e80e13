#!/usr/bin/python3
"""An entry VM on the platform: routes, whole answers, what may be repeated."""

import os
import threading
import unittest

from entry_harness import (Fleet, HOST, SEAL, exchange, format_request,
                           signal, socket, time, wait_for)


def read_answers(connection, count):
    """Whole answers of a connection, in the order in which they come."""
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
    def test_requests_go_by_route_and_keep_the_servers_answer(self):
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

    def test_nothing_known_yet_is_503_and_not_ready(self):
        """Callers would take a 404 for good: a machine that has only just
        started knows no configuration yet and must not say that a route is
        not there."""
        with Fleet(vms=("a",), configured=False) as fleet:
            vm = fleet.vms[0].start()
            wait_for(lambda: vm.find_lines("store.listed"), "a listing")
            answer = vm.request()
            self.assertEqual(answer.status, 503)
            self.assertIn("Retry-After", answer.headers)
            self.assertFalse(vm.is_ready())
            fleet.configure()
            wait_for(vm.is_ready, "ready with a configuration")

    def test_pipelined_requests_run_side_by_side_in_order(self):
        """A crew's second look-up would wait behind its slow first one: the
        requests of one connection run one after another. Here the first is
        held until the others have begun, so it never ends unless they run
        beside it; the answers still come in order."""
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
        """One inspector would read another's certificate: a faulty server
        sends one more answer after a whole one, just where the next request
        on that connection waits for its own."""
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

    def test_a_filing_runs_once_and_a_lookup_is_sent_again(self):
        """A court would see two petitions: the server ran the filing and its
        answer was lost, and the system sends it to the next server."""
        with Fleet(vms=("a",)) as fleet:
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

    def test_a_refusal_that_says_not_run_is_true(self):
        """All servers refuse: the caller may send the filing again, since no
        server has begun it and the answer says so."""
        with Fleet(vms=("a",)) as fleet:
            workers = [fleet.add_worker("d1"), fleet.add_worker("d2")]
            fleet.start()
            for worker in workers:
                worker.faults = ["shed"] * 10
            answer = fleet.vms[0].request("POST", "/filings/1", b"x")
            self.assertEqual(answer.status, 503)
            self.assertIn("Retry-After", answer.headers)
            self.assertEqual(workers[0].ids() + workers[1].ids(), [])

    def test_filings_avoid_connections_that_servers_have_forgotten(self):
        """A clerk's filing is lost: its server had dropped the idle connection
        without a word, and the reset leaves open whether the filing ran. The
        first one may be lost so; then filings come on new connections, and a
        look-up is sent once more to the server that knows its object."""
        with Fleet(vms=("a",)) as fleet:
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

    # Guards against a filing that is sent on a connection which its server,
    # going by plan, has just closed: it runs nowhere and its caller is told
    # that it may have run.
    def test_a_filing_avoids_a_connection_that_its_server_has_closed(self):
        with Fleet(vms=("a",)) as fleet:
            worker = fleet.add_worker("d1")
            fleet.start()
            vm = fleet.vms[0]
            with socket.create_connection(vm.address()) as caller:
                caller.settimeout(30)
                # Which of the two it sees first is up to the kernel.
                for n in range(12):
                    self.file_as_the_server_closes(vm, worker, caller, n)

    def file_as_the_server_closes(self, vm, worker, caller, n):
        """Both the filing and the close come while the entry VM stands
        still."""
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

    def test_a_request_that_crashes_servers_is_sent_no_more(self):
        """One look-up crashes each server that begins it, and its caller
        sends it again, to any entry VM. Two servers go down before it is
        suspected; then it runs alone on a third, and after that nowhere, also
        where it has not been sent before. All others are served."""
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
                     "the other entry VMs to know")
            for vm in fleet.vms:
                answer = vm.request("GET", "/forms/poison")
                self.assertEqual(answer.status, 503)
                self.assertIn("Retry-After", answer.headers)
            self.assertEqual(sum(w.crashes for w in workers), crashes)
            # One that starts again is told, and need not find out by itself.
            known = len(second.find_lines("suspect", quarantined=True))
            second.stop()
            second.start()
            wait_for(lambda: second.is_ready() and len(second.find_lines(
                "suspect", quarantined=True)) > known, "it to know again")
            self.assertEqual(second.request("GET", "/forms/poison").status,
                             503)
            self.assertEqual(sum(w.crashes for w in workers), crashes)
            wait_for(lambda: all(
                vm.request("GET", "/forms/%d" % i).status == 200
                for vm in fleet.vms for i in range(8)), "all others served")

    def test_one_that_starts_again_hears_of_refusals_whoever_is_absent(self):
        """Guards against a refused request that crashes servers again by way
        of an entry VM that starts while any other one is frozen."""
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
                known = len(is_refused(again))
                absent.signal(signal.SIGSTOP)
                again.stop()
                again.start()
                wait_for(lambda: len(is_refused(again)) > known,
                         "%s to know while %s is frozen" % (again.name,
                                                            absent.name))
                wait_for(again.is_ready, again.name + " to be ready")
                self.assertEqual(again.request(
                    "GET", "/forms/poison").status, 503)
                absent.signal(signal.SIGCONT)
            self.assertEqual(sum(w.crashes for w in workers), crashes)

    def test_what_may_not_repeat_avoids_a_server_that_fails_in_part(self):
        """A clerk's filings are lost now and then: their server resets two of
        five, answers the others in time, and its health check is good. No
        entry VM meets two failures in a row. Look-ups still go there: they
        are sent once more."""
        with Fleet(vms=("a", "a", "b")) as fleet:
            grey = fleet.add_worker("d1", slots=30)
            fleet.add_worker("d2", slots=30)
            fleet.start()
            grey.faults = ["", "cut", "", "", "cut"] * 200

            def call(method, prefix):
                return [fleet.vms[i % 3].request(
                    method, "/%s/%d" % (prefix, i), key=str(i))
                    for i in range(12)]

            def found_out():
                call("GET", "forms")
                return any(vm.find_lines("server.grey", peer="d1")
                           for vm in fleet.vms)
            wait_for(found_out, "the server to be found out")
            self.assertEqual([a.status for a in call("POST", "filings")],
                             [200] * 12)
            self.assertEqual([a.status for a in call("GET", "forms")],
                             [200] * 12)
            grey.faults = []
            before = sum(r.method == "POST" for r in grey.ran)
            wait_for(lambda: call("POST", "filings") and sum(
                r.method == "POST" for r in grey.ran) > before,
                "it to be trusted again")

    def test_a_look_up_that_a_server_failed_is_asked_of_another(self):
        """A server answers a crew's look-up with an error of its own: another
        one may know better. A filing has run, and its error is the answer; so
        is the look-up's where all servers fail it."""
        with Fleet(vms=("a",)) as fleet:
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

    def test_lost_answers_make_no_suspects(self):
        """A server loses answers and goes on taking connections: the look-ups
        whose answers it lost are as innocent as any."""
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
                         "the look-up to be served")
            self.assertEqual(vm.find_lines("suspect"), [])

    def test_a_success_without_a_seal_is_none(self):
        with Fleet(vms=("a",)) as fleet:
            worker = fleet.add_worker("d1")
            fleet.start()
            worker.faults = ["unsealed"]
            answer = fleet.vms[0].request("POST", "/filings/1", b"x")
            self.assertEqual(answer.status, 502)

    def test_an_address_used_again_runs_nothing_of_the_old_service(self):
        """A filing would run at the photo store: its server ended, and the
        address went to another service while the entry still stands."""
        with Fleet(vms=("a",)) as fleet:
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

    def test_a_caller_that_leaves_takes_its_work_along(self):
        with Fleet(vms=("a",)) as fleet:
            worker = fleet.add_worker("d1")
            fleet.start()
            worker.held.clear()
            client = socket.create_connection(fleet.vms[0].address())
            client.sendall(format_request("/forms/1", "gone"))
            wait_for(lambda: worker.ids() == ["gone"], "the request to run")
            client.close()
            wait_for(lambda: worker.left == ["gone"],
                     "the server to see that the caller left")

    def test_the_final_answer_comes_at_the_routes_time_limit(self):
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
        """A server refuses a long upload before it has read it. What is left
        of the body must not become the next caller's request."""
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

    def test_bad_requests_get_an_answer_and_harm_nobody(self):
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

    def test_both_parts_of_a_split_get_their_weight(self):
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

    def test_many_callers_at_once_all_get_their_own_answer(self):
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
