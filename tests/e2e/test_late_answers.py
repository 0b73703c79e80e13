#!/usr/bin/python3
"""Second copies of servers' answers in platform mode: they come late, and
belong to no request any more."""

import http.client
import random
import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from entry_harness import Fleet, HOST, ID, SEAL, exchange, wait_for
from workers import PROMISES

MAX_IDS = 2048  # of requests on a connection, while they are remembered
REMEMBERED_S = 30


def copy_once(status):
    """A Worker's copies: one of the first answer with the status, as soon as
    the next request arrives."""
    due = [0]
    return lambda answered: due.pop() if answered == status and due else None


class LateAnswers(unittest.TestCase):
    def test_a_second_refusal_is_no_answer_of_the_next_attempt(self):
        """Guards against running an unsafe request twice: the second copy of
        a refusal is taken for the answer of the attempt that follows it on
        the same connection."""
        with Fleet(vms=("a",), first_start=True) as fleet:
            worker = fleet.add_worker("d1")
            fleet.start()
            worker.faults = ["shed"]
            worker.copies = copy_once(503)
            answer = fleet.vms[0].request("POST", "/filings/1", b"x")
            self.assertEqual(worker.ids(), [answer.id])
            self.assertEqual((answer.status, answer.body),
                             (200, b"d1 /filings/1 1"))

    def test_a_refusal_without_an_id_is_no_answer_of_another_request(self):
        """Guards against a refusal of a request without an id, whose second
        copy is taken for the answer of the next request."""
        with Fleet(vms=("a",), first_start=True) as fleet:
            worker = fleet.add_worker("d1")
            fleet.start()
            vm = fleet.vms[0]
            worker.copies = copy_once(400)
            exchange(vm.address(), "POST", "/filings/1", b"x",
                     {"Host": HOST})
            answer = vm.request("POST", "/filings/2", b"x")
            self.assertEqual(worker.ids(), [answer.id])
            self.assertEqual((answer.status, answer.body),
                             (200, b"d1 /filings/2 1"))

    def test_a_refusal_without_an_id_is_no_answer_of_its_like(self):
        """Guards against requests without an id that are answered with each
        other's answers: nothing tells those apart."""
        with Fleet(vms=("a",), first_start=True) as fleet:
            worker = fleet.add_worker("d1")
            fleet.start()
            vm = fleet.vms[0]
            worker.copies = lambda status: 0
            for _ in range(3):
                exchange(vm.address(), "POST", "/filings/1", b"x",
                         {"Host": HOST})
            self.assertEqual(worker.copied, 0)

    def test_a_second_refusal_is_no_answer_to_another_entry_vm(self):
        """Guards against the same where the request goes through another
        entry VM, as the own links to the servers are cut."""
        with Fleet(vms=("a", "a"), cuts=True, first_start=True) as fleet:
            workers = [fleet.add_worker("d%d" % i) for i in range(3)]
            fleet.start()
            cut_off = fleet.vms[0]
            fleet.cut([cut_off], "reset")
            wait_for(lambda: cut_off.request().status == 200,
                     "served through the other")
            for worker in workers:
                worker.faults = ["shed"]
                worker.copies = copy_once(503)
            for i in range(6):
                answer = cut_off.request("POST", "/filings/%d" % i, b"x",
                                         key=str(i))
                ran = sum(w.ids().count(answer.id) for w in workers)
                self.assertEqual((answer.status, ran), (200, 1))

    def test_a_connection_that_carried_many_ids_is_not_used_on(self):
        """Guards against a busy connection whose ids fill the memory, or
        are forgotten while their requests last."""
        with Fleet(vms=("a",), first_start=True) as fleet:
            fleet.add_worker("d1")
            fleet.start()
            vm = fleet.vms[0]
            caller = http.client.HTTPConnection(*vm.address())
            began = time.monotonic()
            for i in range(MAX_IDS + 1):
                caller.request("GET", "/forms/1", headers={
                    "Host": HOST, ID: "%016x" % i})
                self.assertEqual(caller.getresponse().read(), b"d1 /forms/1 0")
            caller.close()
            time.sleep(1)  # the log has room for one more line
            answer = vm.request()
            line, = vm.find_lines("request", request=answer.id)
            # On a machine so slow that the first ids are forgotten meanwhile
            # the connection is not full.
            if time.monotonic() - began < REMEMBERED_S:
                self.assertEqual((line["conn"], line["nth"]), (2, 2))

    def test_the_log_tells_the_attempts_of_a_request_apart(self):
        """Guards against a refusal of which no log line says on which
        connection it came, and whether it named its request."""
        with Fleet(vms=("a",), first_start=True) as fleet:
            worker = fleet.add_worker("d1")
            fleet.start()
            vm = fleet.vms[0]
            worker.faults = ["shed", "", ""]
            worker.copies = copy_once(503)
            first = vm.request("POST", "/filings/1", b"x")
            second = vm.request("POST", "/filings/2", b"x")
            vm.request("POST", "/filings/3", b"x")
            self.assertEqual((first.status, second.status), (200, 200))
            refused, = vm.find_lines("attempt.refused", request=first.id)
            self.assertEqual(
                [refused[k] for k in ("peer", "status", "named", "nth")],
                ["d1", 503, True, 1])
            served, = vm.find_lines("request", request=first.id)
            self.assertNotEqual(served["conn"], refused["conn"])
            # The second copy comes with the next request on its connection.
            fleet.workers["d1"].held.clear()
            with ThreadPoolExecutor(2) as pool:
                both = [pool.submit(vm.request, "POST", "/filings/%d" % i,
                                    b"x") for i in (4, 5)]
                wait_for(lambda: len(worker.ran) == 5, "both run")
                worker.held.set()
                self.assertEqual([b.result().status for b in both],
                                 [200, 200])
            stray, = vm.find_lines("attempt.stray", answer_to=first.id)
            self.assertEqual((stray["conn"], stray["nth"], stray["status"]),
                             (refused["conn"], 2, 503))
            metrics = exchange(vm.address("ready"), "GET",
                               "/metrics").body.decode()
            self.assertIn('sas_server_refusals_total{status="503"} 1',
                          metrics)
            self.assertIn('sas_skipped_answers_total{cause="another id"} 1',
                          metrics)


class Caller(threading.Thread):
    """Sends requests one after another, some without an id; keeps what is
    wrong with their answers."""

    def __init__(self, vm, number, requests, rng):
        super().__init__()
        self.vm = vm
        self.number = number
        self.requests = requests
        self.rng = random.Random(rng.random())
        self.answers = []  # method, path, answer

    def run(self):
        for i in range(self.requests):
            method, folder = self.rng.choice(
                [("POST", "filings")] * 2 + [("GET", "forms")])
            path = "/%s/%d-%d" % (folder, self.number, i)
            if self.rng.random() < 0.1:
                exchange(self.vm.address(), method, path, b"",
                         {"Host": HOST})
                continue
            self.answers.append((method, path, self.vm.request(
                method, path, b"", key=str(self.rng.randrange(9)),
                deadline_ms=2000)))


class DrawnSecondAnswers(unittest.TestCase):
    CALLERS = 6
    REQUESTS = 40

    def test_drawn_second_answers(self):
        """Guards against taking a second copy of any answer, at any later
        point of the connection, for the answer of another request or attempt.
        """
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                self.play(seed)

    def play(self, seed):
        rng = random.Random(seed)
        with Fleet(vms=("a", "b"), first_start=True) as fleet:
            workers = [fleet.add_worker("d%d" % i, slots=6) for i in range(3)]
            fleet.start()
            for worker in workers:
                worker.work_s = 0.01
                worker.faults = [rng.choice(["shed", "busy", "error", "", ""])
                                 for _ in range(10000)]
                worker.copies = lambda status: rng.choice(
                    [None, None, 0, 0, 1, 2, 5])
            callers = [Caller(fleet.vms[i % 2], i, self.REQUESTS, rng)
                       for i in range(self.CALLERS)]
            for caller in callers:
                caller.start()
            for caller in callers:
                caller.join()
            self.check(workers, callers)

    def check(self, workers, callers):
        ran = [i for worker in workers for i in worker.ids()]
        served = 0
        for caller in callers:
            for method, path, answer in caller.answers:
                runs = ran.count(answer.id)
                if method == "POST":
                    self.assertLessEqual(runs, 1, path)
                if method == "POST" and answer.status in PROMISES:
                    self.assertEqual(runs, 0, path)
                if answer.status == 200:
                    name = answer.headers[SEAL][2:]
                    self.assertEqual(answer.body.decode(),
                                     "%s %s 0" % (name, path))
                    served += 1
        self.assertGreater(served, self.CALLERS * self.REQUESTS // 4)
        self.assertGreater(sum(worker.copied for worker in workers), 0)


if __name__ == "__main__":
    unittest.main()
