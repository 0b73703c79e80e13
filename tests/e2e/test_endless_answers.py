#!/usr/bin/python3
"""Servers in trouble in platform mode that send bytes without end, in a head
or a body, until the caller closes."""

import argparse
import sys
import threading
import time
import unittest

from entry_harness import Fleet, wait_for
from workers import ENDLESS

MAX_BYTES = 32 << 20   # of one answer that is read
MAX_GROWTH = 64 << 20  # memory of a process
DEADLINE_MS = 8000     # so long that no answer ends by it in time
KINDS = sorted(ENDLESS) + ["slow " + kind for kind in sorted(ENDLESS)]


class EndlessAnswers(unittest.TestCase):
    def test_they_are_given_up(self):
        """Guards against callers that wait for bytes without end up to their
        time limit: safe requests are served elsewhere, others fail."""
        with Fleet(vms=("a",), first_start=True) as fleet:
            workers = [fleet.add_worker("d%d" % i) for i in range(8)]
            fleet.start()
            vm = fleet.vms[0]
            for kind in KINDS:
                if kind.endswith("long body"):
                    continue  # it has an end
                with self.subTest(kind=kind):
                    self.check_given_up(vm, workers, kind)

    def check_given_up(self, vm, workers, kind):
        for method, path, status in (("GET", "/forms/1", 200),
                                     ("POST", "/filings/1", 502)):
            fault = [kind]
            for worker in workers:
                worker.faults = fault  # the first that is asked takes it
                worker.endless = []
            answer = vm.request(method, path, key=kind + method,
                                deadline_ms=DEADLINE_MS)
            self.assertEqual(answer.status, status)

            def ended():
                return [each for w in workers for each in w.endless]
            wait_for(ended, "the end of the connection")
            self.assertLess(ended()[0].size, MAX_BYTES)
            for i in range(2 * len(workers)):  # none is left out for long
                vm.request(key=str(i))

    def test_many_at_once_keep_the_memory(self):
        """Guards against a process that ends over its limit of memory, as many
        servers send long bodies at once."""
        for kind in ("body in chunks", "long body", "head lines"):
            with self.subTest(kind=kind), \
                    Fleet(vms=("a",), first_start=True) as fleet:
                workers = [fleet.add_worker("d%d" % i, slots=8)
                           for i in range(6)]
                # A sanitizer keeps freed memory back, 256 MB by default.
                fleet.vms[0].environment["ASAN_OPTIONS"] = \
                    "quarantine_size_mb=1"
                fleet.start()
                vm = fleet.vms[0]
                self.assertEqual(vm.request().status, 200)
                before = vm.read_peak()
                for worker in workers:
                    worker.faults = [kind] * 1000
                self.load(vm, 24)
                self.assertLess(vm.read_peak() - before, MAX_GROWTH)
                for worker in workers:
                    worker.faults = []
                wait_for(lambda: vm.request().status == 200, "served again")

    @staticmethod
    def load(vm, callers):
        def call(number):
            for i in range(4):
                vm.request("POST", "/filings/%d" % i, b"",
                           key="%d-%d" % (number, i), deadline_ms=2000)
        threads = [threading.Thread(target=call, args=(i,))
                   for i in range(callers)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def test_a_long_answer_is_whole(self):
        """Guards against sound answers that are taken for endless ones."""
        with Fleet(vms=("a",)) as fleet:
            worker = fleet.add_worker("d1")
            fleet.start()
            worker.pads = {"/forms/long": 8 << 20}
            answer = fleet.vms[0].request(path="/forms/long",
                                          deadline_ms=DEADLINE_MS)
            self.assertEqual(answer.status, 200)
            self.assertEqual(len(answer.body),
                             len(b"d1 /forms/long 0") + (8 << 20))


def measure(kind, seconds=6.0):
    """By hand: three of nine servers fail a third of their answers so, four
    callers at each of six entry VMs. Prints one line."""
    with Fleet(vms=("a", "a", "b", "b", "c", "c"), first_start=True) as fleet:
        workers = [fleet.add_worker("d%d" % i, zone="abc"[i % 3], slots=3)
                   for i in range(9)]
        fleet.start()
        for worker in workers:
            worker.work_s = 0.03
        for worker in workers[:3]:
            worker.faults = [kind, "", ""] * 10000
        before = {vm.name: vm.read_peak() for vm in fleet.vms}
        results = []
        end = time.monotonic() + seconds

        def call(vm, number):
            i = 0
            while time.monotonic() < end:
                i += 1
                began = time.monotonic()
                answer = vm.request(path="/forms/%d" % (i % 40),
                                    key="%d-%d" % (number, i % 40),
                                    deadline_ms=2000)
                results.append((answer.status, time.monotonic() - began))
                time.sleep(0.05)
        threads = [threading.Thread(target=call, args=(vm, n))
                   for vm in fleet.vms for n in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        times = sorted(took for _, took in results)
        endless = [e for w in workers for e in w.endless]
        print("%-28s served %d of %d, p99 %.2f s, max %.2f s; %d endless, "
              "open %.2f s, %.1f MB at most; memory +%.0f MB" % (
                  kind or "sound", sum(s == 200 for s, _ in results),
                  len(results), times[int(len(times) * 0.99)], times[-1],
                  len(endless), max((e.took_s for e in endless), default=0),
                  max((e.size for e in endless), default=0) / 1e6,
                  max((vm.read_peak() - before[vm.name]) / 1e6
                      for vm in fleet.vms)), flush=True)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--measure", action="store_true")
    parser.add_argument("--kind")
    options, rest = parser.parse_known_args()
    if options.measure:
        for each in [options.kind] if options.kind else [""] + KINDS:
            measure(each)
    else:
        unittest.main(argv=[sys.argv[0]] + rest)
