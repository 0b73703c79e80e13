#!/usr/bin/python3
"""Unsafe requests that servers refuse, and whose answers come more than once,
in platform mode, while links are cut and entry VMs end.

    test_refused_and_run.py [--seed N] [--seeds N] [--seconds N] [--vms N]
                            [--servers N] [--callers N] [--shape NAME]
                            [--copied WHICH] [--burst N] [--calm]

Without options it runs as a test. With them it plays seeds by hand and prints
the counts of each.
"""

import argparse
import http.client
import random
import sys
import threading
import time
import unittest
import uuid

from cut_links import MODES
from entry_harness import Fleet, HOST, ID, SEAL, signal, wait_for
from workers import Copy, PROMISES

REFUSALS = ["shed", "shed", "busy", "shed close", "shed half", "shed interim",
            "shed unframed"]
FAILURES = ["error", "cut", "unsealed", "denied", "denied error"]
REFUSED_SHARE = 0.33
FAILED_SHARE = 0.05
COPIED_SHARE = 0.33
RESET_SHARE = 0.05  # of new connections to servers
SHAPES = {
    "next": lambda rng: Copy(),
    "behind": lambda rng: Copy(delay_s=rng.uniform(0.001, 0.03)),
    "three": lambda rng: Copy(times=3),
    "later": lambda rng: Copy(after=rng.choice((1, 2, 5))),
    "part": lambda rng: Copy(delay_s=rng.uniform(0, 0.01), size=40),
}
COPIED = {  # which answers come more than once
    "all": lambda status: True,
    "refusals": lambda status: status in PROMISES,
    "others": lambda status: status not in PROMISES,
}
DEADLINE_MS = 2000


class Try:
    """One sending of a request to an entry VM."""

    def __init__(self, vm):
        self.vm = vm
        self.sent_at = time.monotonic()
        self.status = None  # None: no whole answer

    def may_have_run(self):
        return self.status not in PROMISES


class Caller(threading.Thread):
    """Sends unsafe and safe requests one after the other until the end, on a
    connection that it keeps or on new ones. What was refused comes back, at
    times at once, with the same id, at another entry VM."""

    def __init__(self, play, number):
        super().__init__()
        self.play = play
        self.rng = random.Random("%s caller %d" % (play.seed, number))
        self.number = number
        self.requests = []  # method, path, id, [Try], last answer
        self.connections = {}

    def run(self):
        while not self.play.is_over():
            method, folder = self.rng.choice(
                [("POST", "filings")] * 3 + [("GET", "forms")])
            path = "/%s/%d-%d" % (folder, self.number, len(self.requests))
            self.send(method, path, uuid.uuid4().hex[:16])
        for connection in self.connections.values():
            connection.close()

    def send(self, method, path, request_id):
        tries = []
        answer = None
        while len(tries) < 4:
            tries.append(Try(self.rng.choice(self.play.fleet.vms)))
            answer = self.send_once(tries[-1], method, path, request_id)
            if tries[-1].may_have_run() or self.rng.random() < 0.5:
                break
        self.requests.append((method, path, request_id, tries, answer))

    def send_once(self, attempt, method, path, request_id):
        vm = attempt.vm
        connection = self.connections.pop(vm, None)
        if connection is None or self.rng.random() < 0.2:
            connection = http.client.HTTPConnection(*vm.address(), timeout=8)
        try:
            connection.request(method, path, b"", {
                "Host": HOST, ID: request_id,
                "X-Sassafrassill-Affinity-Key": str(self.rng.randrange(40)),
                "X-Sassafrassill-Deadline-Ms": str(DEADLINE_MS)})
            answer = connection.getresponse()
            body = answer.read()
        except (OSError, http.client.HTTPException):
            connection.close()
            time.sleep(0.05)
            return None
        attempt.status = answer.status
        self.connections[vm] = connection
        return answer.headers, body


class Play:
    """A fleet whose servers refuse and answer twice for some seconds."""

    def __init__(self, seed, seconds, vms, servers, callers, shape=None,
                 disturbed=True, copied="all", burst=400):
        self.seed = seed
        self.seconds = seconds
        self.rng = random.Random("%s" % seed)
        self.fleet = Fleet(vms=["abc"[i % 3] for i in range(vms)], cuts=True,
                           first_start=True, bounds={"budget-burst": burst})
        self.workers = [self.fleet.add_worker("d%d" % i, zone="abc"[i % 3])
                        for i in range(servers)]
        self.callers = [Caller(self, i) for i in range(callers)]
        self.shape = shape
        self.copied = copied
        self.disturbed = disturbed
        self.ends_at = None
        self.logs = []  # lines of processes that have ended too

    def is_over(self):
        return time.monotonic() >= self.ends_at

    def run(self):
        with self.fleet:
            self.fleet.start()
            for worker in self.workers:
                self.disturb_server(worker)
            self.ends_at = time.monotonic() + self.seconds
            faults = [threading.Thread(target=fault) for fault in (
                self.disturb_links, self.disturb_vms, self.turn_away)]
            threads = self.callers + (faults if self.disturbed else [])
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            self.settle()
            self.logs = [line for vm in self.fleet.vms for line in vm.log()]
        return self

    def disturb_server(self, worker):
        rng = random.Random("%s %s" % (self.seed, worker.name))
        worker.work_s = rng.choice((0.005, 0.02, 0.1))

        def draw_fault():
            drawn = rng.random()
            if drawn < REFUSED_SHARE:
                return rng.choice(REFUSALS if self.disturbed else ["shed"])
            if drawn < REFUSED_SHARE + FAILED_SHARE and self.disturbed:
                return rng.choice(FAILURES)
            return ""

        worker.faults = [draw_fault() for _ in range(20000)]

        def draw_copy(status):
            if rng.random() >= COPIED_SHARE or not COPIED[self.copied](status):
                return None
            return SHAPES[self.shape or rng.choice(sorted(SHAPES))](rng)

        worker.copies = draw_copy
        if self.disturbed:
            worker.resets = lambda: rng.random() < RESET_SHARE

    def pause(self, shortest, longest):
        time.sleep(max(0, min(self.rng.uniform(shortest, longest),
                              self.ends_at - time.monotonic())))

    def disturb_links(self):
        """An entry VM after the other loses its links to all servers, or to
        some."""
        rng = random.Random("%s links" % self.seed)
        while not self.is_over():
            vm = rng.choice(self.fleet.vms)
            some = rng.sample(self.workers, rng.randrange(
                1, len(self.workers)))
            self.fleet.cut([vm], rng.choice(MODES),
                           rng.choice((None, some)))
            self.pause(0.3, 2)
            self.fleet.heal([vm])
            self.pause(0.1, 0.5)

    def disturb_vms(self):
        """An entry VM after the other is stopped, killed or frozen."""
        rng = random.Random("%s vms" % self.seed)
        while not self.is_over():
            self.pause(0.2, 1.5)
            vm = rng.choice(self.fleet.vms)
            how = rng.choice(("stop", "kill", "freeze"))
            if how == "freeze":
                vm.signal(signal.SIGSTOP)
                self.pause(0.1, 1.5)
                vm.signal(signal.SIGCONT)
                continue
            if how == "stop":
                vm.signal(signal.SIGTERM)
                vm.process.wait(30)
            else:
                vm.stop()
            vm.start()
            wait_for(vm.is_ready, vm.name + " ready again")

    def turn_away(self):
        """Servers ask for rest, or drain and start again, while they have
        requests."""
        rng = random.Random("%s servers" % self.seed)
        while not self.is_over():
            worker = rng.choice(self.workers)
            zone = "abc"[self.workers.index(worker) % 3]
            if rng.random() < 0.5:
                worker.rest = rng.choice(("0.1", "0.5"))
                self.pause(0.1, 0.5)
                worker.rest = None
            else:
                self.fleet.add_worker(worker.name, zone=zone,
                                      state="draining", **{"seq-no": 2})
                self.pause(0.1, 1)
                self.fleet.add_worker(worker.name, zone=zone,
                                      born=int(time.time() * 1000))
            self.pause(0, 0.3)

    def settle(self):
        """What was sent may still run."""
        wait_for(lambda: not any(w.running for w in self.workers),
                 "servers done")
        time.sleep(0.3)

    # What happened.

    def find_violations(self):
        runs = {}
        for worker in self.workers:
            for request in worker.ran:
                runs.setdefault(request.id, []).append(request)
        twice, refused, mixed = [], [], []
        for caller in self.callers:
            for method, path, request_id, tries, answer in caller.requests:
                ran = runs.get(request_id, [])
                if method == "POST" and len(ran) > 1:
                    twice.append(request_id)
                if method == "POST" and any(
                        not find_try(tries, r).may_have_run() for r in ran):
                    refused.append(request_id)
                if tries[-1].status == 200 and not is_own(path, answer):
                    mixed.append(request_id)
        return twice, refused, mixed

    def count(self, status):
        return sum(tries[-1].status == status for c in self.callers
                   for _, _, _, tries, _ in c.requests)

    def report(self):
        twice, refused, mixed = self.find_violations()
        print("seed %s: %d requests, %d served, %d refused, %d unserved; "
              "%d refusals, %d copies, %d through another entry VM; "
              "twice %d, refused and run %d, mixed %d"
              % (self.seed, sum(len(c.requests) for c in self.callers),
                 self.count(200), self.count(503),
                 self.count(502) + self.count(504) + self.count(None),
                 len([1 for line in self.logs
                      if line["step"] == "attempt.refused"]),
                 sum(w.copied for w in self.workers),
                 len([1 for line in self.logs if line.get("via")]),
                 len(twice), len(refused), len(mixed)), flush=True)
        return not (twice or refused or mixed)


def find_try(tries, request):
    """The sending that a run belongs to."""
    before = [t for t in tries if t.sent_at <= request.at]
    return before[-1] if before else tries[0]


def is_own(path, answer):
    headers, body = answer
    return body.decode() == "%s %s 0" % (headers[SEAL][2:], path)


class RefusedAndRun(unittest.TestCase):
    def check(self, play):
        self.assertEqual(play.run().find_violations(), ([], [], []))
        self.assertGreater(play.count(200), 0)
        self.assertGreater(sum(w.copied for w in play.workers), 0)

    def test_second_copies_of_refusals_at_each_moment(self):
        """Guards against an unsafe request that runs though its caller was
        told it had not, or runs twice: a refusal's second copy, whenever it
        comes, is taken for the answer of the next attempt."""
        for shape in ("next", "behind", "three", "later"):
            with self.subTest(shape=shape):
                self.check(Play(shape, 3, vms=3, servers=5, callers=12,
                                shape=shape, disturbed=False))

    def test_what_a_run_ends_with_is_no_refusal(self):
        """Guards against an unsafe request that runs once more, as its
        server's success or error says all the same that it wasn't executed.
        """
        for fault, status in (("denied", 200), ("denied error", 500)):
            with Fleet(vms=("a",), first_start=True) as fleet:
                worker = fleet.add_worker("d1")
                fleet.start()
                worker.faults = [fault]
                answer = fleet.vms[0].request("POST", "/filings/1", b"x")
                self.assertEqual((answer.status, answer.body),
                                 (status, b"d1 /filings/1 1"))
                self.assertEqual(worker.ids(), [answer.id])

    def test_drawn_copies_cuts_and_ends(self):
        """Guards against the same where cuts, stops, kills and freezes of
        entry VMs and returning callers come between an attempt, its refusal
        and the next one."""
        for seed in (1, 2):
            with self.subTest(seed=seed):
                self.check(Play(seed, 6, vms=5, servers=9, callers=14))


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--vms", type=int, default=3)
    parser.add_argument("--servers", type=int, default=5)
    parser.add_argument("--callers", type=int, default=18)
    parser.add_argument("--shape", choices=sorted(SHAPES))
    parser.add_argument("--copied", choices=sorted(COPIED), default="all")
    parser.add_argument("--burst", type=int, default=400,
                        help="retries that all entry VMs share at once")
    parser.add_argument("--calm", action="store_true",
                        help="no cuts, no ends, refusals only")
    options = parser.parse_args()
    good = True
    for seed in range(options.seed, options.seed + options.seeds):
        good &= Play(seed, options.seconds, options.vms, options.servers,
                     options.callers, options.shape,
                     not options.calm, options.copied,
                     options.burst).run().report()
    return 0 if good else 1


if __name__ == "__main__":
    if len(sys.argv) > 1 and "--seed" in sys.argv:
        sys.exit(main())
    unittest.main()
