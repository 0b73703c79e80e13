#!/usr/bin/python3
"""Backend servers that say in their answers that they are leaving, or that
they want no requests for a while."""

import argparse
import http.client
import random
import sys
import threading
import unittest

from entry_harness import BOUNDS, Fleet, signal, time, wait_for

ZONES = ("a", "a", "b", "b", "c", "c")
DRAIN_S = BOUNDS["drain-ms"] / 1000
REST_S = 3
ON_ITS_WAY_S = 0.5  # requests that were sent before a rest was known
ALLOWED_IN_REST = 2
MEASURED_S = 2
VM = "x-test-vm"      # header: the entry VM that the request was sent to
SENT = "x-test-sent"  # header: when
SEEDS = (1, 2)
ROUNDS = 8


class NoticeFleet(Fleet):
    """Nine servers of one service. Requests name their entry VM."""

    def __init__(self, vms=ZONES, cuts=False):
        super().__init__(vms=vms, first_start=True, cuts=cuts)
        for i in range(9):
            self.add_worker("d%d" % i, zone="abc"[i % 3]).work_s = 0.02
        self.started_at = {vm.name: 0.0 for vm in self.vms}

    def send(self, vm, key, method="GET"):
        path = "/filings/1" if method == "POST" else "/forms/1"
        return vm.request(method, path, b"x" if method == "POST" else None,
                          key=str(key), deadline_ms=2000,
                          headers={VM: vm.name,
                                   SENT: repr(time.monotonic())})

    def restart(self, vm):
        vm.process.send_signal(signal.SIGKILL)
        vm.process.wait()
        self.started_at[vm.name] = time.monotonic()
        vm.spawn()
        wait_for(vm.is_ready, vm.name + " again")

    def find_heard(self, worker, vm_name):
        """(sent, arrived) of the worker's requests from the entry VM."""
        return [(float(r.headers[SENT]), r.at) for r in list(worker.heard)
                if r.headers.get(VM) == vm_name]

    def find_said(self, worker):
        """Notices that an entry VM has got since its last start."""
        return [n for n in list(worker.said)
                if n.at > self.started_at[n.headers[VM]]]

    def count_after_leaving(self):
        """(entry VM, server, number of requests that were sent later than
        the drain time after the entry VM had been told)."""
        late = []
        for worker in self.workers.values():
            told = {}
            for notice in self.find_said(worker):
                if notice.rest is None:
                    told.setdefault(notice.headers[VM], notice.at)
            for vm_name, at in told.items():
                count = sum(1 for sent, _ in self.find_heard(worker, vm_name)
                            if sent > at + DRAIN_S)
                if count > 0:
                    late.append((vm_name, worker.name, count))
        return late

    def count_in_rests(self):
        """The most requests in a rest by entry VM and server, where there
        are more than are allowed."""
        over = {}
        for worker in self.workers.values():
            for notice in self.find_said(worker):
                if notice.rest is None:
                    continue
                vm_name = notice.headers[VM]
                end = notice.at + float(notice.rest)
                count = sum(1 for _, at in self.find_heard(worker, vm_name)
                            if notice.at + ON_ITS_WAY_S < at < end)
                if count > ALLOWED_IN_REST:
                    pair = (vm_name, worker.name)
                    over[pair] = max(over.get(pair, 0), count)
        return over


class Callers:
    """Threads for each entry VM that send it requests. One that is refused
    comes back once, to any entry VM, when it has been told to."""

    def __init__(self, fleet, per_vm=2):
        self.fleet = fleet
        self.answers = []  # (sent, first try, answer)
        self.stopped = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(vm, i))
                        for vm in fleet.vms for i in range(per_vm)]
        for thread in self.threads:
            thread.start()

    def run(self, vm, number):
        draw = random.Random("%s %d" % (vm.name, number))
        while not self.stopped.wait(0.03):
            key = draw.randrange(60)
            method = "POST" if draw.random() < 0.3 else "GET"
            answer = self.send(vm, key, method, True)
            if answer is not None and answer.status == 503:
                time.sleep(min(float(answer.headers["Retry-After"]), 0.5))
                self.send(draw.choice(self.fleet.vms), key, method, False)

    def send(self, vm, key, method, first):
        sent = time.monotonic()
        try:
            answer = self.fleet.send(vm, key, method)
        except (OSError, http.client.HTTPException):
            return None  # the process was killed
        self.answers.append((sent, first, answer))
        return answer

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def get_served_share(self, begin, end):
        statuses = [answer.status for sent, _, answer in self.answers
                    if begin <= sent < end]
        return statuses.count(200) / len(statuses)


def check_answers(test, fleet, answers):
    """No request that must not be repeated ran twice, and none ran that was
    refused as not run."""
    runs = {}
    for worker in fleet.workers.values():
        for request in list(worker.ran):
            key = (request.id, request.method)
            runs[key] = runs.get(key, 0) + 1
    for (request_id, method), count in runs.items():
        if method == "POST":
            test.assertEqual(count, 1, request_id)
    ran = {request_id for request_id, _ in runs}
    for _, _, answer in answers:
        if answer.status in (408, 421, 429, 503):
            test.assertNotIn(answer.id, ran)


class Leaving(unittest.TestCase):
    # Guards against requests to a server that has said it is leaving, until
    # its row says so too: in an outage of the store that takes long.
    def test_who_was_told_sends_a_leaving_server_nothing(self):
        with NoticeFleet() as fleet:
            fleet.start()
            leaving = [fleet.workers[name] for name in ("d0", "d1", "d2")]
            callers = Callers(fleet)
            try:
                time.sleep(1)
                for worker in leaving:
                    worker.leaving = True
                wait_for(lambda: all(worker.said for worker in leaving),
                         "an answer of each")
                time.sleep(DRAIN_S + MEASURED_S)
            finally:
                callers.stop()
            self.assertEqual(fleet.count_after_leaving(), [])
            check_answers(self, fleet, callers.answers)
            self.assertEqual([a.status for _, _, a in callers.answers
                              if a.status != 200], [])

    # Guards against a server that is used again as its row comes back after
    # an outage, still saying that it is ready; and against one that has
    # started again and gets nothing.
    def test_leaving_ends_with_the_process_and_not_with_its_row(self):
        with NoticeFleet(vms=("a",)) as fleet:
            fleet.start()
            vm = fleet.vms[0]
            worker = fleet.workers["d0"]
            worker.leaving = True

            def is_told():
                for key in range(40):
                    fleet.send(vm, key)
                return worker.said
            wait_for(is_told, "an answer of d0")
            fleet.store.remove("servers", "d0")
            wait_for(lambda: vm.find_lines("server.gone", peer="d0"),
                     "the row to vanish")
            known = len(vm.find_lines("server.state", peer="d0"))
            fleet.add_worker("d0")
            wait_for(lambda: len(vm.find_lines("server.state",
                                               peer="d0")) > known,
                     "the row to be back")
            before = len(worker.heard)
            for key in range(200):
                self.assertEqual(fleet.send(vm, key).status, 200)
            self.assertEqual(len(worker.heard), before)
            worker.leaving = False
            fleet.add_worker("d0", born=2)

            def is_used():
                for key in range(40):
                    fleet.send(vm, key)
                return len(worker.heard) > before
            wait_for(is_used, "requests to the new process")

    # Guards against an entry VM that has passed on an answer which another
    # one got for it, and sends requests to that server by itself later.
    def test_an_answer_that_came_through_another_entry_vm_counts_too(self):
        with NoticeFleet(vms=("a", "b"), cuts=True) as fleet:
            fleet.start()
            vm = fleet.vms[0]
            worker = fleet.workers["d0"]
            fleet.cut([vm], "reset")
            wait_for(lambda: fleet.send(vm, 1) and
                     vm.find_lines("path.lost"), "the path to be lost")
            worker.leaving = True

            def is_told():
                return any(fleet.send(vm, key).body.startswith(b"d0")
                           for key in range(40))
            wait_for(is_told, "an answer of d0")
            fleet.heal([vm])
            wait_for(lambda: vm.find_lines("path.back"), "the path")
            before = len(worker.heard)
            for key in range(200):
                self.assertEqual(fleet.send(vm, key).status, 200)
            self.assertEqual(len(worker.heard), before)


class Rest(unittest.TestCase):
    def check_rest(self, names, share):
        with NoticeFleet() as fleet:
            fleet.start()
            resting = [fleet.workers[name] for name in names]
            callers = Callers(fleet)
            try:
                time.sleep(1)
                began = time.monotonic()
                for worker in resting:
                    worker.rest = str(REST_S)
                time.sleep(2 * REST_S)
                ended = time.monotonic()
                for worker in resting:
                    worker.rest = None
                wait_for(lambda: all(
                    worker.ran and worker.ran[-1].at > ended
                    for worker in resting), "the servers to be used again")
            finally:
                callers.stop()
            self.assertEqual(fleet.count_in_rests(), {})
            check_answers(self, fleet, callers.answers)
            self.assertGreaterEqual(
                callers.get_served_share(began + ON_ITS_WAY_S, ended), share)

    # Guards against a server that asks for rest and gets more requests than
    # before, since one that refuses all looks idle.
    def test_one_server_at_rest_gets_nothing_and_the_others_serve(self):
        self.check_rest(["d4"], 0.98)

    # Guards against callers that are refused, though six of nine servers are
    # idle: refusals of the three at rest use up all retries.
    def test_a_third_at_rest_costs_callers_next_to_nothing(self):
        self.check_rest(["d0", "d4", "d8"], 0.95)

    # Guards against requests that are sent to servers which have said that
    # they will refuse them, and held up by that.
    def test_with_all_servers_at_rest_requests_are_refused_at_once(self):
        with NoticeFleet(vms=("a",)) as fleet:
            fleet.start()
            vm = fleet.vms[0]
            workers = fleet.workers.values()
            for worker in workers:
                worker.rest = "600"

            def are_told():
                for key in range(40):
                    fleet.send(vm, key)
                return all(worker.said for worker in workers)
            wait_for(are_told, "all to have asked for rest")
            before = sum(len(worker.heard) for worker in workers)
            for key in range(50):
                answer = fleet.send(vm, key)
                self.assertEqual(answer.status, 503)
                self.assertGreater(float(answer.headers["Retry-After"]), 0)
            self.assertEqual(sum(len(w.heard) for w in workers), before)
            self.assertTrue(vm.find_lines("request",
                                          outcome="server resting"))


class DrawnNotices(unittest.TestCase):
    def strike(self, fleet, draw):
        """Draws what a server says from now on, or a restart."""
        worker = draw.choice(list(fleet.workers.values()))
        kind = draw.randrange(5)
        if kind == 0:
            fleet.restart(draw.choice(fleet.vms))
        elif kind == 1:
            fleet.configure()
            time.sleep(draw.choice((0, 0.05)))
            fleet.configure()
        elif kind == 2 and not worker.leaving and sum(
                w.leaving for w in fleet.workers.values()) < 4:
            worker.leaving = True
        elif kind == 3:
            worker.faults = ["shed"] * draw.randrange(5)
        else:
            worker.rest = draw.choice((None, None, "0.1", "2.5", "3"))

    # Guards against any order of what servers say, restarts and versions of
    # the configuration by which a server gets what it has refused.
    def test_drawn_notices(self):
        for seed in SEEDS:
            draw = random.Random(seed)
            with self.subTest(seed=seed), NoticeFleet() as fleet:
                fleet.start()
                callers = Callers(fleet)
                try:
                    for _ in range(ROUNDS):
                        self.strike(fleet, draw)
                        time.sleep(draw.choice((0.05, 0.5, 1.5)))
                    time.sleep(DRAIN_S)
                finally:
                    callers.stop()
                self.assertEqual(fleet.count_after_leaving(), [])
                self.assertEqual(fleet.count_in_rests(), {})
                check_answers(self, fleet, callers.answers)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs=2, metavar=("FROM", "TO"),
                        help="draws with these seeds instead of CI's")
    options, rest = parser.parse_known_args()
    if options.seeds:
        SEEDS = range(options.seeds[0], options.seeds[1] + 1)
    unittest.main(argv=sys.argv[:1] + rest)
