#!/usr/bin/python3
"""Tests of the backend stand-in, over real connections on loopback."""

import http.client
import json
import os
import socket
import subprocess
import unittest

TIMEOUT_S = 30


class BackendTest(unittest.TestCase):
    arguments = ["--servers", "2", "--name", "d", "--queue", "1"]

    def setUp(self):
        self.process = subprocess.Popen(
            [os.environ["SAS_BACKEND_STANDIN"], *self.arguments],
            stdout=subprocess.PIPE, text=True)
        self.ports = {}
        for line in self.process.stdout:
            words = line.split()
            if words[0] == "CONTROL":
                self.control_port = int(words[1])
                break
            self.ports[words[1]] = int(words[2])
        self.open_connections = []

    def tearDown(self):
        for connection in self.open_connections:
            connection.close()
        self.process.terminate()
        self.assertEqual(self.process.wait(), 0)
        self.process.stdout.close()

    def connect(self, name="d-01"):
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.ports[name], timeout=TIMEOUT_S)
        self.open_connections.append(connection)
        return connection

    def send(self, target, connection=None, body=None, **headers):
        connection = connection or self.connect()
        headers = {name.replace("_", "-"): value
                   for name, value in headers.items()}
        connection.request("POST" if body else "GET", target, body, headers)
        return connection

    def get(self, target, connection=None, body=None, **headers):
        answer = self.send(target, connection, body, **headers).getresponse()
        return answer, answer.read()

    def control(self, method, path, changes=None):
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.control_port, timeout=TIMEOUT_S)
        body = json.dumps(changes) if changes is not None else None
        connection.request(method, path, body)
        answer = connection.getresponse()
        value = json.loads(answer.read())
        connection.close()
        return answer.status, value

    def change(self, name="d-01", **changes):
        self.assertEqual(
            self.control("PUT", "/servers/" + name, changes)[0], 200)

    def counts(self, name="d-01"):
        return self.control("GET", "/counts")[1]["servers"][name]

    def key(self, key):
        return self.control("GET", "/counts?key=" + key)[1]["keys"].get(key)

    def wait_until(self, condition):
        """Polls until the condition holds; only the test runner's timeout
        ends it otherwise."""
        while not condition():
            pass

    def test_complete_answers_identify_their_request(self):
        connection = self.connect()
        answer, text = self.get("/a?ms=0", connection, b"x" * 300000)
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.getheader("Sas-Load"),
                         "running=0 queued=0 slots=3 leaving=0")
        value = json.loads(text)
        self.assertEqual((value["server"], value["target"],
                          value["body_bytes"]), ("d-01", "/a?ms=0", 300000))
        _, text = self.get("/b?ms=0&bytes=30&chunked=1", connection)
        self.assertEqual(text, (b"/b?ms=0&bytes=30&chunked=1" * 2)[:30])
        self.assertEqual(self.counts()["accepted"], 1)

    def test_slots_queue_and_shedding(self):
        held = [self.send("/?fault=hang") for _ in range(3)]
        self.wait_until(lambda: self.counts()["running"] == 3)
        queued = self.send("/?ms=0", Sas_Request_Id="q")
        self.wait_until(lambda: self.counts()["queued"] == 1)
        answer, _ = self.get("/?ms=0", Sas_Request_Id="s")
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.getheader("Sas-Outcome"), "not-run")
        self.assertEqual(answer.getheader("Sas-Load"),
                         "running=3 queued=1 slots=3 leaving=0")
        self.assertEqual(json.loads(self.get("/v1/load")[1])["queued"], 1)
        held[0].close()
        self.assertEqual(queued.getresponse().status, 200)
        self.assertEqual(self.key("q")["finished"], 1)
        self.assertEqual(self.key("s")["started"], 0)
        self.assertEqual(self.counts()["cancelled"], 1)

    def test_deadline_ends_queued_and_running_requests(self):
        for _ in range(3):
            self.send("/?fault=hang")
        self.wait_until(lambda: self.counts()["running"] == 3)
        answer, _ = self.get("/?ms=0", Sas_Deadline_Ms="20")
        self.assertEqual((answer.status, answer.getheader("Sas-Outcome")),
                         (503, "not-run"))
        answer, _ = self.get("/?ms=60000", self.connect("d-02"),
                             Sas_Deadline_Ms="20")
        self.assertEqual((answer.status, answer.getheader("Sas-Outcome")),
                         (504, None))

    def test_crash_resets_connections_and_restarts(self):
        running = self.send("/?fault=hang", Idempotency_Key="r")
        self.wait_until(lambda: self.counts()["running"] == 1)
        before = json.loads(self.get("/v1/load")[1])["incarnation"]
        with self.assertRaises(ConnectionResetError):
            self.get("/?ms=0&fault=crash&restart_ms=200", Idempotency_Key="c")
        with self.assertRaises(ConnectionResetError):
            running.getresponse()
        with self.assertRaises(ConnectionRefusedError):
            self.get("/?ms=0")
        self.assertEqual(self.key("r")["crashed"], 1)
        self.assertEqual(self.key("c")["crashed"], 1)
        self.wait_until(lambda: self.counts()["incarnation"] == 2)
        after = json.loads(self.get("/v1/load")[1])
        self.assertNotEqual(after["incarnation"], before)
        self.assertEqual(after["running"], 0)

    def test_truncated_answers(self):
        with self.assertRaises(http.client.IncompleteRead):
            self.get("/?ms=0&fault=cut-chunked")
        with self.assertRaises(http.client.IncompleteRead):
            self.get("/?ms=0&fault=short")
        answer, text = self.get("/?ms=0&bytes=9&fault=close-framed")
        self.assertIsNone(answer.getheader("Content-Length"))
        self.assertEqual(len(text), 9)

    def test_reset_before_and_after_the_run(self):
        with self.assertRaises(ConnectionError):
            self.get("/?ms=0&fault=reset-mid", None, b"body",
                     Idempotency_Key="whole")
        self.assertEqual(self.key("whole")["finished"], 1)
        with self.assertRaises(ConnectionError):
            self.get("/?ms=0&fault=reset-mid&when=part", None, b"body",
                     Idempotency_Key="part")
        self.assertIsNone(self.key("part"))

    def test_extra_answer_follows_a_complete_one(self):
        raw = socket.create_connection(("127.0.0.1", self.ports["d-01"]),
                                       TIMEOUT_S)
        raw.sendall(b"GET /?ms=0&bytes=4&fault=late HTTP/1.1\r\n\r\n")
        text = b""
        while not text.endswith(b"late"):
            text += raw.recv(4096)
        self.assertEqual(text.count(b"HTTP/1.1 200"), 2)
        raw.close()

    def test_stalled_connections_do_not_affect_new_ones(self):
        old = self.connect()
        self.get("/?ms=0", old)
        self.change(silent=True)
        self.send("/?ms=0", old, Sas_Request_Id="lost")
        self.send("/?ms=0&fault=silent", Sas_Request_Id="lost")
        self.assertEqual(self.get("/?ms=0")[0].status, 200)
        self.assertIsNone(self.key("lost"))

    def test_refuse_keeps_open_connections(self):
        old = self.connect()
        self.get("/?ms=0", old)
        self.change(refuse=True)
        with self.assertRaises(ConnectionRefusedError):
            self.get("/?ms=0")
        self.assertEqual(self.get("/?ms=0", old)[0].status, 200)
        self.change(refuse=False)
        self.assertEqual(self.get("/?ms=0")[0].status, 200)

    def test_false_load_reports_and_leaving(self):
        self.send("/?fault=hang")
        self.wait_until(lambda: self.counts()["running"] == 1)
        self.change("*", report="zero", leaving=True)
        self.assertEqual(self.get("/?ms=0")[0].getheader("Sas-Load"),
                         "running=0 queued=0 slots=3 leaving=1")
        self.change("*", report="honest", report_late_ms=3600000)
        self.assertEqual(json.loads(self.get("/v1/load")[1])["running"], 0)
        self.assertEqual(
            self.control("PUT", "/servers/*", {"wrong": 1})[0], 400)

    def test_connections_are_limited(self):
        self.change(connections=1)
        self.get("/?ms=0", self.connect())
        with self.assertRaises(ConnectionError):
            self.get("/?ms=0", self.connect())
        self.assertEqual(self.counts()["refused"], 1)

    def test_slow_servers_still_answer(self):
        self.change(delay_ms=2, probe_ms=3, slow=2, cold_s=60, cold_factor=2)
        connection = self.connect()
        for _ in range(3):
            self.assertEqual(self.get("/?ms=2", connection)[0].status, 200)
        self.assertEqual(self.get("/v1/load", connection)[0].status, 200)


if __name__ == "__main__":
    unittest.main()
