#!/usr/bin/python3
"""A planned stop of an entry VM, and callers that read slowly."""

import http.client
import unittest

from entry_harness import (Fleet, format_request, signal, socket, time,
                           wait_for)

LARGE = 300 << 10
WINDOW = 4096
SEGMENT = 1400
# A caller takes an answer of this size in about as long at 2.4 Mbit/s.
READS_AFTER_S = 1


def read_answer(caller):
    answer = http.client.HTTPResponse(caller)
    answer.begin()
    return answer.status, len(answer.read())


class EntrySlowCallers(unittest.TestCase):
    # Guards against an answer that is reset on its way: the kernel has it, the
    # caller hasn't, and a further request reaches a socket that was closed.
    def test_a_request_behind_an_answer_that_is_read_slowly(self):
        with Fleet(vms=("a",)) as fleet:
            fleet.add_worker("d1").pad = LARGE
            fleet.start()
            vm = fleet.vms[0]
            with socket.socket() as caller:
                caller.settimeout(10)
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW)
                caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG,
                                  SEGMENT)
                caller.connect(vm.address())
                for number in range(10):  # the sender's buffer grows with use
                    caller.sendall(format_request("/forms/1",
                                                  "warm-%d" % number))
                    self.assertEqual(read_answer(caller)[0], 200)
                vm.signal(signal.SIGTERM)
                wait_for(lambda: vm.find_lines("process.stopping"), "a stop")
                caller.sendall(format_request("/forms/1", "slow"))
                wait_for(lambda: vm.find_lines("request", request="slow"),
                         "an answer on its way")
                time.sleep(READS_AFTER_S)
                caller.sendall(format_request("/forms/1", "behind"))
                status, size = read_answer(caller)
                self.assertEqual(status, 200)
                self.assertGreater(size, LARGE)
            self.assertEqual(vm.process.wait(30), 0)


if __name__ == "__main__":
    unittest.main()
