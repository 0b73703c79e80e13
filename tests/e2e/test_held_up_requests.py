#!/usr/bin/python3
"""Requests in platform mode that a cut link holds up: what was given up must
not run once the link works again."""

import random
import threading
import time
import unittest
import uuid

from entry_harness import (Fleet, ID, Proxy, format_request, signal, socket,
                           wait_for)


class HeldUpFleet(Fleet):
    """A fleet with a proxy before each server, whose links can be held."""

    def __init__(self, servers=1, **options):
        super().__init__(first_start=True, **options)
        self.proxies = []
        for i in range(servers):
            worker = self.add_worker("d%d" % i)
            self.proxies.append(Proxy(worker.port))
            self.add_worker("d%d" % i, port=self.proxies[-1].port)
        self.start()

    def __exit__(self, *error):
        for proxy in self.proxies:
            proxy.stop()
        super().__exit__(*error)

    def hold(self):
        for proxy in self.proxies:
            proxy.mode = "held"

    def release(self):
        """Lets everything through that was held up and not dropped."""
        time.sleep(0.2)  # four polls of the proxies
        for proxy in self.proxies:
            proxy.mode = ""
        time.sleep(0.5)

    def heard(self):
        return [r.id for w in self.workers.values() for r in w.heard]


class HeldUpRequests(unittest.TestCase):
    def test_a_request_that_timed_out_does_not_run_later(self):
        """Guards against a request that runs long after its caller has got
        504, when the cut that has held it up is over."""
        for method, path in (("GET", "/forms/1"), ("POST", "/filings/1")):
            with self.subTest(method=method), HeldUpFleet(vms=("a",)) as fleet:
                vm = fleet.vms[0]
                self.assertEqual(vm.request().status, 200)
                fleet.hold()
                answer = vm.request(method, path, b"", deadline_ms=300)
                self.assertEqual(answer.status, 504)
                fleet.release()
                self.assertNotIn(answer.id, fleet.heard())
                self.assertEqual(vm.request().status, 200)

    def test_a_request_whose_caller_has_left_does_not_run_later(self):
        """Guards against the same where the caller has left."""
        with HeldUpFleet(vms=("a",)) as fleet:
            vm = fleet.vms[0]
            self.assertEqual(vm.request().status, 200)
            fleet.hold()
            with socket.create_connection(vm.address()) as caller:
                caller.sendall(format_request("/filings/1", "left", "POST"))
                time.sleep(0.2)
            wait_for(lambda: vm.find_lines("request", outcome="caller left"),
                     "the caller's leaving")
            fleet.release()
            self.assertNotIn("left", fleet.heard())

    def test_the_rest_of_an_upload_does_not_arrive_later(self):
        """Guards against the rest of an upload that was given up halfway."""
        with HeldUpFleet(vms=("a",)) as fleet:
            vm = fleet.vms[0]
            self.assertEqual(vm.request().status, 200)
            fleet.hold()
            answer = vm.request("POST", "/filings/1", b"x" * 1000000,
                                deadline_ms=300)
            self.assertEqual(answer.status, 504)
            fleet.release()
            self.assertNotIn(answer.id, fleet.heard())

    def test_requests_of_a_killed_process_do_not_run_later(self):
        """Guards against requests that run after the process that has sent
        them was killed: the kernel closes its connections."""
        for number in (signal.SIGKILL, signal.SIGABRT):
            with self.subTest(number=number), HeldUpFleet(vms=("a",)) as fleet:
                vm = fleet.vms[0]
                self.assertEqual(vm.request().status, 200)
                fleet.hold()
                with socket.create_connection(vm.address()) as caller:
                    caller.sendall(format_request("/filings/1", "killed",
                                                  "POST"))
                    time.sleep(0.2)
                    vm.signal(number)
                    vm.process.wait()
                fleet.release()
                self.assertNotIn("killed", fleet.heard())

    def test_requests_through_another_entry_vm_do_not_run_later(self):
        """Guards against the same where the request went through another
        entry VM, whose links to the servers are cut while it has it."""
        with HeldUpFleet(servers=2, vms=("a", "a"), cuts=True) as fleet:
            cut_off = fleet.vms[0]
            fleet.cutter.cut(cut_off, "reset",
                             [proxy.port for proxy in fleet.proxies])
            wait_for(lambda: cut_off.request().status == 200,
                     "served through the other")
            fleet.hold()
            answer = cut_off.request("POST", "/filings/1", b"x",
                                     deadline_ms=300)
            self.assertEqual(answer.status, 504)
            fleet.release()
            self.assertNotIn(answer.id, fleet.heard())


class Caller(threading.Thread):
    """Sends requests one after another, and leaves some of them early. ended:
    the ids of those that were answered or left."""

    def __init__(self, fleet, rng):
        super().__init__()
        self.vms = fleet.vms
        self.rng = random.Random(rng.random())
        self.stopped = False
        self.ended = []
        self.start()

    def stop(self):
        self.stopped = True
        self.join()

    def run(self):
        while not self.stopped:
            request_id = uuid.uuid4().hex
            vm = self.rng.choice(self.vms)
            try:
                if self.rng.random() < 0.3:
                    self.leave(vm, request_id)
                else:
                    vm.request("POST", "/filings/1", b"x", key=request_id,
                               deadline_ms=self.rng.choice((200, 500, 800)),
                               headers={ID: request_id}, timeout=5)
            except OSError:
                pass  # the process was killed
            self.ended.append(request_id)
            time.sleep(self.rng.uniform(0, 0.1))

    def leave(self, vm, request_id):
        with socket.create_connection(vm.address(), 2) as caller:
            caller.sendall(format_request("/filings/1", request_id, "POST"))
            time.sleep(self.rng.uniform(0, 0.3))


class DrawnCuts(unittest.TestCase):
    CALLERS = 8
    CUTS = 3

    def test_drawn_cuts(self):
        """Guards against anything of a request that begins at a server after
        its caller has left or has its answer, in drawn cuts, leaves,
        evacuations, restarts and kills."""
        for seed in (1, 2):
            with self.subTest(seed=seed):
                self.play(seed)

    def play(self, seed):
        rng = random.Random(seed)
        with HeldUpFleet(servers=3, vms=("a", "a", "b")) as fleet:
            for _ in range(self.CUTS):
                self.cut(fleet, rng)
            self.assertGreater(len(fleet.heard()), self.CUTS * self.CALLERS)

    def cut(self, fleet, rng):
        callers = [Caller(fleet, rng) for _ in range(self.CALLERS)]
        time.sleep(rng.uniform(0.1, 0.5))
        for proxy in rng.sample(fleet.proxies, rng.randrange(1, 4)):
            proxy.mode = "held"
        evacuated = rng.random() < 0.5
        if evacuated:
            fleet.store.put("op", "evacuate/a", {})
        time.sleep(rng.uniform(0.2, 1.5))
        self.disturb(rng.choice(fleet.vms), rng)
        time.sleep(rng.uniform(0.1, 0.5))
        for caller in callers:
            caller.stop()
        time.sleep(0.5)  # what was not held up has arrived
        before = set(fleet.heard())
        fleet.release()
        later = set(fleet.heard()) - before
        ended = {i for caller in callers for i in caller.ended}
        self.assertEqual(later & ended, set())
        if evacuated:
            fleet.store.remove("op", "evacuate/a")

    def disturb(self, vm, rng):
        how = rng.choice((None, signal.SIGKILL, signal.SIGTERM))
        if how is not None:
            vm.signal(how)
            vm.process.wait()
            vm.spawn()


if __name__ == "__main__":
    unittest.main()
