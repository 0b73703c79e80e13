#!/usr/bin/python3
"""A graceful shutdown of an entry VM while callers read slowly."""

import contextlib
import http.client
import unittest

from entry_harness import (Fleet, exchange, format_request, signal, socket,
                           time, wait_for)

LARGE_BYTES = 300 << 10
WINDOW_BYTES = 4096
SEGMENT_BYTES = 1400
# About the time that an answer of this size takes at 2.4 Mbit/s.
READS_AFTER_S = 1
SILENT_CALLERS = 4
UNREAD_ANSWERS = 150
MORE_MEMORY = 64 << 20  # bytes


def read_answer(caller):
    answer = http.client.HTTPResponse(caller)
    answer.begin()
    return answer.status, len(answer.read())


def count_given_up(vm):
    """Connections that were closed as their answers took too much memory."""
    text = exchange(vm.address("ready"), "GET", "/metrics").body.decode()
    return int(text.split('sas_connections_ended_total{by="memory"} ')[1]
               .split()[0])


def gets_answer(caller):
    try:
        caller.settimeout(10)
        return caller.makefile("rb").readline().split()[1:2] == [b"200"]
    except OSError:
        return False


class EntrySlowCallers(unittest.TestCase):
    # Guards against a reset that destroys an answer in the kernel's buffers: a
    # further request reaches the socket after the process has closed it.
    def test_a_request_behind_an_answer_that_is_read_slowly(self):
        with Fleet(vms=("a",)) as fleet:
            fleet.add_worker("d1").pad = LARGE_BYTES
            fleet.start()
            vm = fleet.vms[0]
            with socket.socket() as caller:
                caller.settimeout(10)
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                  WINDOW_BYTES)
                caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG,
                                  SEGMENT_BYTES)
                caller.connect(vm.address())
                for number in range(10):  # the send buffer grows with use
                    caller.sendall(format_request("/forms/1",
                                                  "warm-%d" % number))
                    self.assertEqual(read_answer(caller)[0], 200)
                vm.signal(signal.SIGTERM)
                wait_for(lambda: vm.find_lines("process.stopping"), "a stop")
                caller.sendall(format_request("/forms/1", "slow"))
                wait_for(lambda: vm.find_lines("request", request="slow"),
                         "the answer to be sent")
                time.sleep(READS_AFTER_S)
                caller.sendall(format_request("/forms/1", "behind"))
                status, size = read_answer(caller)
                self.assertEqual(status, 200)
                self.assertGreater(size, LARGE_BYTES)
            self.assertEqual(vm.process.wait(30), 0)

    def expect_served(self, vm):
        self.assertEqual(vm.request("POST", "/scans/1", b"x").status, 200)

    @staticmethod
    def send(caller, request_id, closed):
        try:
            caller.sendall(format_request("/forms/large", request_id))
        except OSError:
            closed.add(caller)

    # Guards against memory that callers fill by sending on without reading
    # their answers.
    def test_callers_that_read_nothing_fill_no_memory(self):
        with Fleet(vms=("a",), first_start=True) as fleet:
            worker = fleet.add_worker("d1", slots=60)
            worker.pads = {"/forms/large": LARGE_BYTES}
            fleet.add_worker("v1", "vault")  # for another caller
            vm = fleet.vms[0]
            vm.environment["ASAN_OPTIONS"] = "quarantine_size_mb=1"
            fleet.start()
            before = vm.read_peak()
            with contextlib.ExitStack() as stack:
                callers = []
                closed = set()
                for _ in range(SILENT_CALLERS):
                    caller = stack.enter_context(socket.socket())
                    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                      WINDOW_BYTES)
                    caller.connect(vm.address())
                    callers.append(caller)
                for i in range(UNREAD_ANSWERS):
                    for number, caller in enumerate(callers):
                        self.send(caller, "%d-%d" % (number, i), closed)
                    if i % 10 == 0:
                        self.expect_served(vm)
                count = 0
                while len(worker.ran) > count:  # what goes on has ended
                    count = len(worker.ran)
                    time.sleep(1)
                self.expect_served(vm)
                self.assertLess(vm.read_peak() - before, MORE_MEMORY)
                self.assertLessEqual(len(closed), count_given_up(vm))
                self.assertLess(count_given_up(vm), SILENT_CALLERS)
                # Each that is left gets what it has sent for once it reads.
                served = [c for c in callers if gets_answer(c)]
                self.assertGreaterEqual(
                    len(served), SILENT_CALLERS - count_given_up(vm))


if __name__ == "__main__":
    unittest.main()
