#!/usr/bin/python3
"""Tests of read_requests.py: its counts, and the lines that it ignores."""

import json
import os
import subprocess
import sys
import unittest

READER = os.path.join(os.path.dirname(__file__), "..", "read_requests.py")


def make_request(second, outcome, **more):
    line = {"time": "2026-05-19T02:00:%06.3fZ" % second, "step": "request",
            "vm": "vm-1", "peer": "s1", "outcome": outcome, "object": "7",
            "route": "forms", "service": "desk", "tried": 1, "took_ms": 100,
            "known": True, "wait_ms": 0, "work_ms": 80}
    line.update(more)
    return line


def run(lines, *arguments):
    return subprocess.run([sys.executable, READER, *arguments], text=True,
                          input="\n".join(lines), capture_output=True)


class ReadRequests(unittest.TestCase):
    def test_outcomes_are_counted_by_route_and_window(self):
        text = run(["  0.1 vm-1 " + json.dumps(line) for line in (
            make_request(3.1, "owner full", tried=0),
            make_request(0.5, "answered"),
            make_request(0.9, "timed out", took_ms=1500, known=False))]).stdout
        self.assertIn("forms                     3: ", text)
        self.assertIn("0.0 s: answered 1, timed out 1", text)
        self.assertIn("2.0 s: owner full 1", text)
        self.assertIn("object new to the server: 1, of them timed out 1",
                      text)
        self.assertIn("wasted on lost requests: at most 1.5 s", text)

    def test_objects_that_change_server_are_counted(self):
        lines = [make_request(i, "answered", peer=peer)
                 for i, peer in enumerate(("s1", "s1", "s2", "s1"))]
        text = run([json.dumps(line) for line in lines]).stdout
        self.assertIn("objects: 1 (per entry VM), 2 changes of server", text)

    def test_ejections_and_dropped_lines_are_counted(self):
        lines = [make_request(1, "answered"),
                 {"time": "2026-05-19T02:00:02.000Z", "step":
                  "server.tripped", "cause": "timed out"},
                 {"time": "2026-05-19T02:00:02.000Z", "step": "log.dropped",
                  "lines": 12}]
        text = run([json.dumps(line) for line in lines]).stdout
        self.assertIn("servers ejected: timed out 1", text)
        self.assertIn("dropped by the entry VMs: 12", text)

    def test_invalid_lines_are_counted_and_ignored(self):
        result = run(["{not json", json.dumps(make_request(1, "answered")),
                      '{"step": "request"}', "plain text"])
        self.assertEqual(result.returncode, 0)
        self.assertIn("2 lines are not log lines", result.stderr)
        empty = run([])
        self.assertEqual(empty.returncode, 1)
        self.assertIn("no requests", empty.stderr)


if __name__ == "__main__":
    unittest.main()
