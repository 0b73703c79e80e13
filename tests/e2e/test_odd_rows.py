#!/usr/bin/python3
"""Rows of backend servers by another writer, in platform mode."""

import json
import socket
import unittest

from entry_harness import Fleet, wait_for

DEEP = 15000  # levels


def make(port, **changes):
    """A row that is sound but for the changes, which are JSON texts."""
    row = {"service": '"desk"', "zone": '"a"', "version": '"v1"',
           "address": '"127.0.0.1:%d"' % port, "slots": "3",
           "state": '"ready"', "cold-left-ms": "0", "seq-no": "1",
           "born": "1", **changes}
    return ("{%s}" % ",".join('"%s":%s' % (name.replace("_", "-"), text)
                              for name, text in row.items())).encode()


def make_odd(port):
    """Name to row. No server is to be used for any of them."""
    rows = {
        "deep list": b"[" * DEEP,
        "deep list, closed": b"[" * DEEP + b"]" * DEEP,
        "deep object": b'{"a":' * DEEP + b"1" + b"}" * DEEP,
        "empty": b"", "null": b"null", "list": b"[]", "NUL": b"\0",
        "no UTF-8": make(port, version='"\xff"').replace(b"\xc3\xbf", b"\xff"),
        "bytes behind": make(port) + b"}",
        "NUL and bytes behind": make(port) + b"\0}", "cut": make(port)[:-1],
        "surrogate": make(port, version='"\\ud800"'),
        "NUL in a text": make(port, service='"desk\\u0000x"'),
        "long text": make(port, state='"%s"' % ("x" * 30000)),
    }
    for name in ("cold-left-ms", "slots", "seq-no", "born"):
        rows["deep " + name] = make(port, **{name: "[" * 3000 + "]" * 3000})
        for number in ("1e400", "-1e400", "9" * 30, "-" + "9" * 30, "9" * 5000,
                       "NaN", "Infinity", '"1"', "null", "true"):
            if (name, number) != ("born", "null"):
                rows["%s %.12s" % (name, number)] = make(port,
                                                         **{name: number})
    for number in ("1e300", "1e18", "9223372036854775807", "1e12"):
        rows["cold-left-ms " + number] = make(port,
                                              **{"cold-left-ms": number})
    for number in ("0", "-1", "1.5", "1e300", "9223372036854775807", "100001"):
        rows["slots " + number] = make(port, slots=number)
    for address in ("127.0.0.1", "127.0.0.1:", ":%d" % port, "127.0.0.1:0",
                    "127.0.0.1:-1", "127.0.0.1:65536", "127.0.0.1:%d" %
                    (port + 65536), "127.0.0.1:%d" % (port + 2 ** 32),
                    "127.0.0.1:" + "9" * 30, "127.0.0.1:%dx" % port,
                    "127.0.0.1: %d" % port, "127.0.0.1:+%d" % port,
                    "127.0.0.1:0x50", "127.0.0.1:%d:%d" % (port, port),
                    "127.0.0:%d" % port, "127.0.0.1.1:%d" % port,
                    "300.0.0.1:%d" % port, "localhost:%d" % port,
                    "0.0.0.0.0.0.0.0.0.0.0.0.0.0.0.0.0.0.0.0.0.0:%d" % port,
                    "127.0.0.1\r\nX: y:%d" % port, "x" * 5000):
        rows["address " + address[:40]] = make(port,
                                               address=json.dumps(address))
    return rows


class OddRows(unittest.TestCase):
    def setUp(self):
        self.unused = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.unused.close)
        self.unused.setblocking(False)
        self.fleet = Fleet(vms=("a", "a"))
        self.addCleanup(self.fleet.__exit__, None, None, None)
        self.servers = [self.fleet.add_worker("sound-%d" % i)
                        for i in range(2)]
        self.fleet.start()
        self.serving = 0
        self.odd = make_odd(self.unused.getsockname()[1])

    # Guards against entry VMs that end, or no longer follow the list of
    # servers, for one row that its own server has not written.
    def test_they_name_no_server_and_the_others_hold(self):
        for name, value in self.odd.items():
            with self.subTest(name):
                self.fleet.store.put("servers", "odd", value)
                self.check()

    def test_ids_that_can_not_be_sent_name_no_server(self):
        sound = make(self.unused.getsockname()[1])
        for key in ("odd\r\nX: y", "odd\n", "o d", "odd\0", "\x7f", "\t"):
            with self.subTest(key):
                self.fleet.store.put("servers", key, sound)
                self.check()

    # The same for entry VMs that find them all when they start.
    def test_they_are_there_at_the_start(self):
        for number, value in enumerate(self.odd.values()):
            self.fleet.store.put("servers", "odd-%d" % number, value)
        for vm in self.fleet.vms:
            vm.stop()
        self.fleet.start()
        for _ in range(4):
            self.check()

    def check(self):
        """The list is followed behind the odd row: one server is added, and
        another one removed. Nothing goes to the odd one."""
        self.serving = 1 - self.serving
        name = "sound-%d" % self.serving
        self.fleet.add_worker(name)
        self.fleet.store.remove("servers", "sound-%d" % (1 - self.serving))
        for vm in self.fleet.vms:
            wait_for(lambda: self.is_served_by(vm, name), name)
            self.assertIsNone(vm.process.poll())
        with self.assertRaises(BlockingIOError):
            self.unused.accept()

    def is_served_by(self, vm, name):
        answers = [vm.request(key=str(number)) for number in range(4)]
        return all(answer.status == 200 and
                   answer.body.startswith(name.encode())
                   for answer in answers)


if __name__ == "__main__":
    unittest.main()
