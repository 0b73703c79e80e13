"""Shifts stay under their caps, and regions within their capacity."""

import signal
import subprocess
import threading
import time
import unittest

from harness import BUILD, Deployment, wait_until

SERVICES = {"dossiers": {"backends": 4, "slots": 3, "queue": 50,
                         "mean_ms": 20}}
CAPACITY = 24  # 4 servers with 3 slots, and 3 more requests sent to each
CAP = 40


class Callers:
    """Callers of montreal that use all entry VMs, as callers with old lookups
    do. Counts answers by region and refusals by (reason, outcome)."""

    def __init__(self, d, count=12, target="/s/dossiers/x?ms=10"):
        self.d = d
        self.regions = {}
        self.refusals = {}
        self.lock = threading.Lock()
        self.stopped = False
        self.started = time.monotonic()
        vms = list(d.vms)
        self.threads = [threading.Thread(
            target=self.run, args=(vms[number % len(vms)], target, number))
            for number in range(count)]
        for thread in self.threads:
            thread.start()

    def run(self, vm, target, number):
        source = self.d.caller_ip("montreal", number + 1)
        while not self.stopped:
            try:
                answer = self.d.request(vm, target, source=source)
            except OSError:
                continue
            with self.lock:
                counts = self.regions if answer.status == 200 \
                    else self.refusals
                name = answer.region if answer.status == 200 \
                    else (answer.reason, answer.outcome)
                counts[name] = counts.get(name, 0) + 1

    def count(self, region):
        with self.lock:
            return self.regions.get(region, 0)

    def stop(self):
        self.stopped = True
        for thread in self.threads:
            thread.join()
        self.elapsed = time.monotonic() - self.started


class LimitsTest(unittest.TestCase):

    def run_shift(self, d, disturb):
        """Shifts all callers of montreal to quebec under a cap; disturb() runs
        faults meanwhile."""
        put = d.put_sheet("montreal-1", [
            "+0,dossiers,montreal,quebec,100%%,%d req/s,," % CAP])
        self.assertEqual(put.status, 200, put.body)
        d.wait_version(1)
        wait_until(lambda: all(
            d.status(vm)["shifts"][0]["in_force_percent"] == 100
            for vm in d.vms), "the shift is in force")
        callers = Callers(d)
        try:
            disturb(d, callers)
        finally:
            callers.stop()
        # The token bucket of each entry VM holds 100 ms of its share, or one
        # request if that is more.
        allowed = CAP * (callers.elapsed + 0.1) + len(d.vms)
        self.assertLessEqual(callers.count("quebec"), allowed)
        self.assertGreater(callers.count("montreal"), 0)
        self.assertLessEqual(d.peak("dossiers", "quebec"), CAPACITY)
        self.assertLessEqual(d.peak("dossiers", "montreal"), CAPACITY)
        return callers

    def wait_shifted(self, callers, count):
        before = callers.count("quebec")
        wait_until(lambda: callers.count("quebec") >= before + count,
                   "%d more shifted requests" % count)

    # More callers than the cap allows use all entry VMs, which their old
    # lookups name. The excess is served in montreal.
    def test_a_shift_stays_under_its_cap(self):
        with Deployment(vms=2, services=SERVICES) as d:
            self.run_shift(d, lambda d, c: self.wait_shifted(c, 120))

    # The store is down during the whole shift.
    def test_the_cap_holds_without_the_store(self):
        with Deployment(vms=2, services=SERVICES) as d:
            def disturb(d, callers):
                d.control_platform(down=True)
                self.wait_shifted(callers, 120)
            self.run_shift(d, disturb)

    # An entry VM with loans is frozen until they have expired and were lent to
    # others, and then resumes.
    def test_a_frozen_borrower_uses_no_expired_loan(self):
        with Deployment(vms=2, services=SERVICES) as d:
            def disturb(d, callers):
                self.wait_shifted(callers, 60)
                d.pause("quebec-2")
                self.wait_shifted(callers, 120)
                d.resume("quebec-2")
                self.wait_shifted(callers, 60)
            self.run_shift(d, disturb)

    # An entry VM dies and is replaced twice; the new process does not know the
    # loans of the old one.
    def test_a_replaced_entry_vm_does_not_raise_the_total(self):
        with Deployment(vms=2, services=SERVICES) as d:
            def disturb(d, callers):
                for _ in range(2):
                    self.wait_shifted(callers, 40)
                    d.restart("quebec-1")
                self.wait_shifted(callers, 40)
            self.run_shift(d, disturb)

    # The cap is lowered under load: the total stays under the higher cap.
    def test_a_new_version_changes_the_cap(self):
        with Deployment(vms=2, services=SERVICES) as d:
            def disturb(d, callers):
                self.wait_shifted(callers, 40)
                put = d.put_sheet("quebec-1", [
                    "+0,dossiers,montreal,quebec,100%,10 req/s,,"])
                self.assertEqual(put.status, 200)
                d.wait_version(2)
                self.wait_shifted(callers, 20)
            self.run_shift(d, disturb)

    # Callers with old lookups request large answers from entry VMs of montreal
    # after a shift to quebec. What exceeds the 20 Mbit/s link between the
    # regions is served in montreal.
    def test_traffic_stays_under_the_link_capacity(self):
        with Deployment(vms=2, services=SERVICES, link_mbit=20) as d:
            d.put_sheet("montreal-1",
                        ["+0,dossiers,montreal,quebec,100%,,,"])
            d.wait_version(1)
            for vm in ("quebec-1", "quebec-2"):
                d.kill(vm)
                del d.vms[vm]
            callers = Callers(d, 8, "/s/dossiers/x?ms=5&bytes=400000")
            try:
                self.wait_shifted(callers, 40)
            finally:
                callers.stop()
            mbit = callers.count("quebec") * 3.2
            # Plus answers in flight when usage is settled, one for each
            # caller, and a quantum of 10 Mbit for each entry VM.
            allowed = 20 * callers.elapsed + 8 * 3.2 + 2 * 10
            self.assertLessEqual(mbit, allowed)
            self.assertGreater(callers.count("montreal"), 0)

    # All backend servers and entry VMs of a region die. The other region takes
    # requests up to its capacity; the rest is refused at once as not run.
    def test_a_region_that_is_down_overloads_no_other(self):
        with Deployment(vms=2, services=SERVICES) as d:
            d.put_sheet("montreal-1",
                        ["+0,dossiers,montreal,quebec,100%,,,"])
            d.wait_version(1)
            callers = Callers(d, 40, "/s/dossiers/x?ms=60")
            try:
                wait_until(lambda: callers.count("quebec") > 50,
                           "requests run in quebec")
                d.standins["dossiers", "quebec"].signal(signal.SIGKILL)
                for vm in ("quebec-1", "quebec-2"):
                    d.kill(vm)
                before = callers.count("montreal")
                wait_until(lambda: callers.count("montreal") > before + 200,
                           "montreal takes over")
            finally:
                callers.stop()
            self.assertLessEqual(d.peak("dossiers", "montreal"), CAPACITY)
            self.assertEqual([name for name in callers.refusals
                              if name[0] in ("queue-timeout", "queue-full",
                                             "no-headroom", "no-backend")
                              and name[1] != "not-run"], [])

    # Three times the capacity for 4 s: the region's capacity is never
    # exceeded, and the entry VMs stay healthy with bounded memory.
    def test_overload_at_three_times_the_capacity(self):
        with Deployment(regions=("montreal",), vms=2,
                        services=SERVICES) as d:
            targets = []
            for name in d.vms:
                targets += ["--target", "%s:%d" % d.caller_address(name)]
            load = subprocess.run(
                [BUILD + "/bin/sas_load", *targets, "--rate", "1800",
                 "--duration", "4", "--service", "dossiers", "--path",
                 "/x?ms=20", "--connections", "400"],
                capture_output=True, text=True, check=True)
            self.assertLessEqual(d.peak("dossiers", "montreal"), CAPACITY)
            started = sum(row["started"] for row in d.counts().values())
            self.assertGreater(started, 0, load.stdout)
            for name in d.vms:
                self.assertEqual(d.health(name), 200)
                self.assertLess(d.memory_mb(name), 256)


if __name__ == "__main__":
    unittest.main()
