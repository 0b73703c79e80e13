#!/usr/bin/python3
"""Callers in platform mode that leave with many requests pending on one
connection: the servers' work for them ends, and nothing more begins."""

import struct
import unittest

from entry_harness import (Fleet, format_request, signal, socket, time,
                           wait_for)

LEAVES_AFTER_S = 0.2


def leave_in_order(caller):
    caller.close()


def leave_by_reset(caller):
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                      struct.pack("ii", 1, 0))
    caller.close()


class CallersLeave(unittest.TestCase):
    def leave(self, count, leave, rest=b"", cut=False):
        """A caller sends count requests and the rest, and leaves while the
        servers hold all that they have got."""
        with Fleet(vms=("a", "a") if cut else ("a",), first_start=True,
                   cuts=cut) as fleet:
            workers = [fleet.add_worker("d%d" % i, slots=30)
                       for i in range(3)]
            fleet.start()
            vm = fleet.vms[0]
            if cut:
                fleet.cut([vm], "reset")
                wait_for(lambda: vm.request().status == 200,
                         "served through the other")
            for worker in workers:
                worker.held.clear()
            caller = socket.create_connection(vm.address())
            caller.sendall(b"".join(format_request("/forms/%d" % i, "r%d" % i)
                                    for i in range(count)) + rest)
            time.sleep(LEAVES_AFTER_S)
            leave(caller)
            wait_for(lambda: vm.find_lines("request", outcome="caller left"),
                     "the caller's leaving", 5)
            self.check(workers)

    def check(self, workers):
        def heard():
            return [r.id for w in workers for r in w.heard
                    if r.id.startswith("r")]

        def left():
            return [i for w in workers for i in w.left]
        before = heard()
        self.assertGreater(len(before), 0)
        wait_for(lambda: sorted(left()) == sorted(before),
                 "the end of the servers' work")
        time.sleep(0.3)
        self.assertEqual(heard(), before)

    def test_servers_work_no_longer_for_callers_that_have_left(self):
        """Guards against servers that work on for a caller that has left: with
        many requests pending its connection was not read."""
        for count in (1, 31, 33, 40, 200, 1000):
            for leave in (leave_in_order, leave_by_reset):
                with self.subTest(count=count, leave=leave.__name__):
                    self.leave(count, leave)

    def test_pieces_of_further_requests_change_nothing(self):
        """Guards against the same behind a request of which a part has come.
        """
        body = format_request("/filings/1", "half", "POST").replace(
            b"Content-Length: 0", b"Content-Length: 500") + b"x" * 250
        for count, rest in ((31, b"GET /forms/1 HT"), (40, body)):
            with self.subTest(count=count):
                self.leave(count, leave_in_order, rest)

    def test_work_through_another_entry_vm_ends_too(self):
        """Guards against the same where the requests went through another
        entry VM."""
        self.leave(40, leave_in_order, cut=True)

    def test_a_process_that_was_frozen_begins_nothing_for_them(self):
        """Guards against requests that begin when a frozen process wakes,
        though their callers have left meanwhile, on kept connections and on
        new ones."""
        with Fleet(vms=("a",), first_start=True) as fleet:
            worker = fleet.add_worker("d1", slots=8)
            fleet.start()
            vm = fleet.vms[0]
            for leave in (leave_in_order, leave_by_reset):
                with self.subTest(leave=leave.__name__):
                    self.freeze(vm, worker, leave)

    def freeze(self, vm, worker, leave):
        kept = [socket.create_connection(vm.address()) for _ in range(3)]
        for caller in kept:
            caller.sendall(format_request("/forms/1", "first"))
            self.assertNotEqual(caller.recv(1000), b"")
        vm.signal(signal.SIGSTOP)
        fresh = [socket.create_connection(vm.address()) for _ in range(3)]
        for caller in kept + fresh:
            caller.sendall(format_request("/forms/1", "left"))
        time.sleep(1)
        for caller in kept + fresh:
            leave(caller)
        vm.signal(signal.SIGCONT)
        self.assertEqual(vm.request().status, 200)
        time.sleep(0.3)
        self.assertNotIn("left", [r.id for r in worker.heard])


if __name__ == "__main__":
    unittest.main()
