#!/usr/bin/python3
"""Tests of the load generator: its table against the servers' counts."""

import csv
import http.client
import json
import os
import pathlib
import subprocess
import tempfile
import unittest


class LoadTest(unittest.TestCase):
    def setUp(self):
        self.process = subprocess.Popen(
            [os.environ["SAS_BACKEND_STANDIN"], "--servers", "2",
             "--slots", "50", "--queue", "1000", "--name", "d"],
            stdout=subprocess.PIPE, text=True)
        self.ports = []
        for line in self.process.stdout:
            words = line.split()
            if words[0] == "CONTROL":
                self.control_port = int(words[1])
                break
            self.ports.append(int(words[2]))

    def tearDown(self):
        self.process.terminate()
        self.process.wait()
        self.process.stdout.close()

    def load(self, *arguments, weights=(1, 1)):
        """Returns {kind: {name: count}} and the number of planned requests."""
        targets = [f"--target=127.0.0.1:{port}:{weight}"
                   for port, weight in zip(self.ports, weights)]
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "out.csv"
            text = subprocess.run(
                [os.environ["SAS_LOAD"], *targets, *arguments,
                 "--csv", path], check=True, text=True,
                stdout=subprocess.PIPE).stdout
            table = {}
            with open(path, encoding="utf-8") as file:
                for row in csv.DictReader(file):
                    table.setdefault(row["kind"], {})[row["name"]] = int(
                        row["count"])
        planned = text.rsplit("planned ", 1)[1].split()[0]
        return table, int(planned)

    def counts(self):
        connection = http.client.HTTPConnection("127.0.0.1",
                                                self.control_port)
        connection.request("GET", "/counts")
        value = json.loads(connection.getresponse().read())
        connection.close()
        return value

    def test_every_planned_request_is_counted_once(self):
        table, planned = self.load("--rate=500", "--duration=0.5",
                                   "--path=/?ms=1", "--check", "--once")
        self.assertGreater(planned, 150)
        self.assertEqual(table, {"all": {"good": planned}})
        counts = self.counts()
        finished = [server["finished"]
                    for server in counts["servers"].values()]
        self.assertEqual(sum(finished), planned)
        self.assertEqual(len(counts["keys"]), planned)

    def test_same_seed_plans_the_same_requests(self):
        arguments = ("--rate=300", "--duration=0.3", "--mean-ms=1",
                     "--seed=5")
        self.assertEqual(self.load(*arguments)[1], self.load(*arguments)[1])

    def test_targets_are_chosen_by_weight(self):
        _, planned = self.load("--rate=500", "--duration=0.5",
                               "--path=/?ms=0", weights=(1, 9))
        first = self.counts()["servers"]["d-01"]["finished"]
        self.assertLess(first, planned / 5)

    def test_faults_are_counted_by_kind(self):
        for fault, text in (("cut-chunked", "cut"), ("short", "cut"),
                            ("reset-mid", "reset"), ("hang", "timeout")):
            table, planned = self.load(
                "--rate=100", "--duration=0.2", "--timeout-ms=200",
                "--path=/?ms=0&fault=" + fault)
            self.assertEqual(table["error"], {text: planned}, fault)

    def test_refusals_are_counted_by_status(self):
        table, planned = self.load("--rate=100", "--duration=0.2",
                                   "--path=/?ms=0&status=404")
        self.assertEqual(table["refusal"], {"404": planned})

    def test_wrong_answers_are_errors(self):
        table, planned = self.load("--rate=100", "--duration=0.2",
                                   "--check", "--path=/?ms=0&bytes=3")
        self.assertEqual(table["error"], {"wrong answer": planned})

    def test_closed_loop_reuses_connections(self):
        table, _ = self.load("--closed=4", "--duration=0.2",
                             "--path=/?ms=0")
        self.assertEqual(list(table), ["all"])
        accepted = [server["accepted"]
                    for server in self.counts()["servers"].values()]
        self.assertLessEqual(sum(accepted), 8)


if __name__ == "__main__":
    unittest.main()
