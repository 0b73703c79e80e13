#!/usr/bin/python3
"""Tests of the platform stand-in, over real connections on loopback."""

import http.client
import json
import pathlib
import subprocess
import unittest

PROGRAM = pathlib.Path(__file__).parents[1] / "platform.py"
TIMEOUT_S = 20


class PlatformTest(unittest.TestCase):
    def setUp(self):
        self.process = subprocess.Popen(
            ["/usr/bin/python3", PROGRAM], stdout=subprocess.PIPE, text=True)
        self.port = int(self.process.stdout.readline().split()[1])

    def tearDown(self):
        self.process.terminate()
        self.process.wait()
        self.process.stdout.close()

    def call(self, method, path, body=None, **headers):
        headers = {name.replace("_", "-"): value
                   for name, value in headers.items()}
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.port, timeout=TIMEOUT_S)
        try:
            text = None if body is None else json.dumps(body)
            connection.request(method, path, text, headers)
            answer = connection.getresponse()
            content = answer.read()
            value = json.loads(content) if content else None
            return answer.status, value, answer.getheader("ETag")
        finally:
            connection.close()

    def control(self, **changes):
        status, value, _ = self.call("PUT", "/control", changes)
        self.assertEqual(status, 200)
        return value

    def test_writes_obey_their_conditions(self):
        self.assertEqual(self.call("GET", "/table/a/b")[0], 404)
        status, _, first = self.call("PUT", "/table/a/b", {"n": 1},
                                     If_None_Match="*")
        self.assertEqual(status, 201)
        self.assertEqual(self.call("PUT", "/table/a/b", {"n": 2},
                                   If_None_Match="*")[0], 412)
        status, _, second = self.call("PUT", "/table/a/b", {"n": 3},
                                      If_Match=first)
        self.assertEqual(status, 200)
        self.assertNotEqual(first, second)
        self.assertEqual(self.call("PUT", "/table/a/b", {"n": 4},
                                   If_Match=first)[0], 412)
        self.assertEqual(self.call("GET", "/table/a/b"),
                         (200, {"n": 3}, second))
        self.assertEqual(self.call("PUT", "/table/absent", {},
                                   If_Match=second)[0], 412)

    def test_lost_acknowledgement_takes_effect(self):
        self.control(lose_acks=1)
        with self.assertRaises(ConnectionError):
            self.call("PUT", "/table/k", {"n": 1}, If_None_Match="*")
        self.assertEqual(self.call("GET", "/table/k")[1], {"n": 1})
        self.assertEqual(self.call("PUT", "/table/k", {"n": 2})[0], 200)
        self.assertEqual(self.call("GET", "/control")[1]["lost_acks"], 1)

    def test_stale_reads_answer_the_previous_value(self):
        _, _, first = self.call("PUT", "/objects/k", {"n": 1})
        self.call("PUT", "/objects/k", {"n": 2})
        self.call("PUT", "/objects/new", {"n": 1})
        self.control(stale_reads=True)
        self.assertEqual(self.call("GET", "/objects/k"),
                         (200, {"n": 1}, first))
        self.assertEqual(self.call("GET", "/objects/new")[0], 404)
        self.control(stale_reads=False)
        self.assertEqual(self.call("GET", "/objects/k")[1], {"n": 2})

    def test_down_closes_connections_and_writes_nothing(self):
        self.control(down=True)
        with self.assertRaises(ConnectionError):
            self.call("PUT", "/table/k", {"n": 1})
        with self.assertRaises(ConnectionError):
            self.call("GET", "/vms")
        self.control(down=False)
        self.assertEqual(self.call("GET", "/table/k")[0], 404)

    def test_frozen_request_is_never_served(self):
        self.control(freeze=True)
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.port, timeout=TIMEOUT_S)
        connection.request("PUT", "/table/k", "{}")
        while self.call("GET", "/control")[1]["frozen"] == 0:
            pass
        self.control(freeze=False)
        with self.assertRaises(ConnectionError):
            connection.getresponse()
        connection.close()
        self.assertEqual(self.call("GET", "/table/k")[0], 404)

    def test_vm_list_and_counts(self):
        vms = {"vms": [{"name": "mtl-a-1", "state": "live"}]}
        self.assertEqual(self.call("PUT", "/vms", vms)[0], 200)
        self.assertEqual(self.call("GET", "/vms")[1], vms)
        self.call("PUT", "/table/k", {})
        self.call("GET", "/table/k")
        counts = self.call("GET", "/control")[1]
        self.assertEqual((counts["reads"], counts["writes"]), (1, 1))

    def test_invalid_input_is_refused(self):
        self.assertEqual(self.call("PUT", "/control", {"delay": 1})[0], 400)
        self.assertEqual(self.call("GET", "/table/a%20b")[0], 404)
        self.assertEqual(self.call("GET", "/nothing")[0], 404)


if __name__ == "__main__":
    unittest.main()
