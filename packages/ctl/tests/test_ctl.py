"""Runs sassafrassillctl against fake nodes with a scripted admin API; checks
its options, tables, JSON and exit statuses."""

import json
import os
import subprocess
import tempfile
import threading
import unittest
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
import socket

CTL = os.environ["SAS_CTL"]
TOKEN = "0123456789abcdef0123"
SHEET = "time,service,from,to,share,cap,drain,limits\n09:00,,,,,,d-07,\n"
DONE, REFUSED, USAGE, UNREACHABLE, UNKNOWN, TIMEOUT = range(6)


class Node:
    """A fake admin port. Each call gets the next scripted answer for its path;
    the last answer repeats. "reset" closes the connection after the request
    was read, without an answer."""

    def __init__(self, **answers):
        self.calls = []
        self.answers = {key: list(value) for key, value in answers.items()}
        node = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def answer(self):
                length = int(self.headers.get("Content-Length", 0))
                body = self.rfile.read(length).decode()
                node.calls.append((self.command, self.path,
                                   dict(self.headers), body))
                path = self.path.split("?")[0].split("/")
                script = node.answers.get(path[2] if len(path) > 2
                                          else path[1])
                if script is None:
                    script = [(404, {"reason": "not-found", "text": "-"})]
                step = script.pop(0) if len(script) > 1 else script[0]
                if step == "reset":
                    self.close_connection = True
                    return
                status, content, *headers = step
                raw = (content if isinstance(content, str)
                       else json.dumps(content)).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(raw)))
                for name, value in headers:
                    self.send_header(name, value)
                self.end_headers()
                self.wfile.write(raw)

            do_GET = do_PUT = do_POST = answer

            def log_message(self, *unused):
                pass

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever,
                         kwargs={"poll_interval": 0.01},
                         daemon=True).start()

    def close(self):
        self.server.shutdown()
        self.server.server_close()


ACCEPTED = (200, {"version": 8, "operation": "op-1"})


def status(version, peers, ready=True):
    return (200, {
        "vm": "mtl-a-1", "ready": ready, "version": version, "time_ms": 0,
        "peers": [{"vm": vm, "version": v, "age_ms": 120, "state": "live"}
                  for vm, v in peers],
        "regions": [{"service": "dossiers", "region": "montreal",
                     "slots": 24, "running": 9, "headroom": 15}],
        "shifts": [{"service": "dossiers", "from": "montreal",
                    "to": "quebec", "ordered_percent": 20,
                    "in_force_percent": 12.5, "cap": "50 req/s",
                    "holding": "headroom"}],
        "budgets": []})


class CtlTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.sheet = self.write("sheet.csv", SHEET)
        self.token = self.write("token", TOKEN + "\n")

    def write(self, name, text):
        path = os.path.join(self.folder.name, name)
        with open(path, "w", opener=lambda p, flags:
                  os.open(p, flags, 0o600)) as file:
            file.write(text)
        return path

    def node(self, **answers):
        node = Node(**answers)
        self.addCleanup(node.close)
        return node

    def dead_address(self):
        """An address that refuses connections: bound but not listening."""
        bound = socket.socket()
        self.addCleanup(bound.close)
        bound.bind(("127.0.0.1", 0))
        return "127.0.0.1:%d" % bound.getsockname()[1]

    def run_ctl(self, nodes, *words):
        options = []
        for node in nodes:
            options += ["--node", getattr(node, "address", node)]
        return subprocess.run(
            [CTL, *options, "--token-file", self.token, *words], text=True,
            capture_output=True, timeout=60)

    def expect(self, code, nodes, *words):
        result = self.run_ctl(nodes, *words)
        self.assertEqual(result.returncode, code,
                         result.stdout + result.stderr)
        return result

    # Options

    def test_help_names_exit_statuses_and_examples(self):
        result = self.expect(DONE, [], "--help")
        self.assertIn("Exit statuses:", result.stdout)
        self.assertIn("Examples:", result.stdout)

    def test_wrong_usage_makes_no_call(self):
        node = self.node(status=[status(8, [])])
        for words in (["fly"], ["sheet"], ["sheet", "put"], ["status", "x"],
                      ["history", "--wait", "1"], ["wait", "soon"],
                      ["drain", "x", "--operation", "a/b"],
                      ["drain", "x", "--if-version", "last"],
                      ["operation", "../x"], ["status", "--operator", "a\nb"],
                      ["status", "--operator", "a" * 65],
                      ["sheet", "put", "/nowhere.csv"], ["--bogus"], []):
            with self.subTest(words=words):
                self.expect(USAGE, [node], *words)
        for address in ("localhost:1", "127.0.0.1", "127.0.0.1:0", ":1",
                        "::1:8002x", "[::1:5"):
            with self.subTest(address=address):
                self.expect(USAGE, [address], "status")
        self.assertEqual(node.calls, [])

    def test_token_file_must_be_private_and_accepted(self):
        node = self.node(status=[(401, {"reason": "unauthorized"})])
        self.expect(USAGE, [node], "status")
        os.chmod(self.token, 0o644)
        result = self.expect(USAGE, [node], "status")
        self.assertIn("everybody may read it", result.stderr)
        self.assertEqual(len(node.calls), 1)

    # Sheets

    def test_put_sends_the_sheet_under_one_operation(self):
        node = self.node(sheet=[ACCEPTED])
        result = self.expect(DONE, [node], "sheet", "put", self.sheet,
                             "--operation", "op-1", "--if-version", "7",
                             "--operator", "Chloe")
        self.assertIn("version 8", result.stdout)
        method, path, headers, body = node.calls[0]
        self.assertEqual((method, path, body), ("PUT", "/v1/sheet", SHEET))
        self.assertEqual(headers["Authorization"], "Bearer " + TOKEN)
        self.assertEqual(headers["Sas-Operation"], "op-1")
        self.assertEqual(headers["Sas-Operator"], "Chloe")
        self.assertEqual(headers["If-Match"], '"7"')

    def test_check_is_a_dry_run_without_operation(self):
        bad = {"reason": "bad-sheet", "row": 3, "column": "cap",
               "text": "no unit"}
        node = self.node(sheet=[(200, {"version": 8}), (422, bad)])
        self.expect(DONE, [node], "sheet", "check", self.sheet)
        result = self.expect(REFUSED, [node], "sheet", "check", self.sheet)
        self.assertIn("row 3, column cap: no unit", result.stderr)
        for _, path, headers, _ in node.calls:
            self.assertEqual(path, "/v1/sheet?dry_run=1")
            self.assertNotIn("Sas-Operation", headers)

    def test_conflict_names_the_accepted_version(self):
        accepted = {"reason": "conflict", "version": 8, "operation": "other",
                    "operator": "Yasmin\x1b[2J"}
        node = self.node(sheet=[(409, accepted)])
        result = self.expect(REFUSED, [node], "sheet", "put", self.sheet)
        self.assertIn("version 8 (operation other, operator Yasmin?[2J)",
                      result.stderr)
        result = self.expect(REFUSED, [node], "sheet", "put", self.sheet,
                             "--json")
        self.assertEqual(json.loads(result.stdout), accepted)

    def test_show_prints_the_sheet_unchanged(self):
        node = self.node(sheet=[(200, SHEET, ("ETag", '"8"'))])
        self.assertEqual(
            self.expect(DONE, [node], "sheet", "show").stdout, SHEET)
        result = self.expect(DONE, [node], "sheet", "show", "--json")
        self.assertEqual(json.loads(result.stdout),
                         {"version": 8, "sheet": SHEET})

    # Failing nodes

    def test_next_node_is_tried(self):
        node = self.node(history=[(200, {"versions": []})],
                         sheet=[ACCEPTED])
        unready = self.node(history=[(503, {"reason": "no-config"})])
        self.expect(DONE, [self.dead_address(), unready, node], "history")
        self.expect(DONE, [self.dead_address(), node], "sheet", "put",
                    self.sheet)
        self.expect(UNREACHABLE, [self.dead_address()], "sheet", "put",
                    self.sheet)
        self.expect(UNREACHABLE, [unready], "history")

    def test_put_is_retried_with_the_same_operation(self):
        """The connection is reset after the node has read the sheet. The put
        must succeed at the next node and not create a second version, so both
        requests need the same operation id."""
        first = self.node(sheet=["reset"])
        second = self.node(sheet=[ACCEPTED])
        self.expect(DONE, [first, second], "sheet", "put", self.sheet)
        operations = [node.calls[0][2]["Sas-Operation"]
                      for node in (first, second)]
        self.assertEqual(operations[0], operations[1])

    def test_refusal_after_a_lost_response_queries_the_operation(self):
        """The first node carries out the operation and its response is lost.
        Then another operator's version is accepted, so the second node refuses
        the retry with a conflict. That doesn't tell the outcome of the
        operation: it must be queried."""
        conflict = (409, {"reason": "conflict", "version": 9,
                          "operation": "other", "operator": "y"})
        for state, code in (("in-force", DONE), ("lost", REFUSED),
                            ("unknown", UNKNOWN)):
            with self.subTest(state=state):
                answer = (200, {"operation": "op-1", "state": state,
                                "version": 8})
                first = self.node(sheet=["reset"], operations=["reset"])
                second = self.node(sheet=[conflict], operations=[answer])
                self.expect(code, [first, second], "sheet", "put", self.sheet,
                            "--operation", "op-1")

    def test_unknown_outcome_names_the_operation(self):
        lost = self.node(sheet=["reset"])
        failing = self.node(sheet=[(503, {"reason": "unknown"})])
        for node in (lost, failing):
            result = self.expect(UNKNOWN, [node], "sheet", "put", self.sheet,
                                 "--operation", "op-9", "--json")
            self.assertIn("operation op-9", result.stderr)
            self.assertEqual(json.loads(result.stdout),
                             {"reason": "unknown", "operation": "op-9"})

    def test_refusal_without_effect_is_not_unknown(self):
        node = self.node(sheet=[(503, {"reason": "stopping"},
                                 ("Sas-Outcome", "not-run")),
                                (503, {"reason": "store-unavailable"})])
        self.expect(UNREACHABLE, [node], "sheet", "put", self.sheet)
        self.expect(UNREACHABLE, [node], "sheet", "put", self.sheet)

    # Other commands

    def test_drain_sends_its_target(self):
        node = self.node(drain=[ACCEPTED, (404, {"reason": "not-found",
                                                 "text": "no such"})])
        self.expect(DONE, [node], "drain", "a&b")
        self.assertEqual(node.calls[0][:2],
                         ("POST", "/v1/drain?target=a%26b"))
        self.expect(REFUSED, [node], "drain", "d-99")

    def test_operation_state_sets_the_exit_status(self):
        for state, code in (("in-force", DONE), ("lost", REFUSED),
                            ("unknown", UNKNOWN)):
            node = self.node(operations=[(200, {"operation": "a",
                                                "state": state})])
            self.expect(code, [node], "operation", "a")

    def test_wait_ends_when_all_nodes_have_the_version(self):
        node = self.node(status=[status(7, [("b", 7)]), status(8, [("b", 7)]),
                                 status(8, [("b", 9)])], sheet=[ACCEPTED])
        self.expect(DONE, [node], "sheet", "put", self.sheet, "--wait", "30")
        self.assertEqual(len(node.calls), 4)

    def test_wait_lists_lagging_nodes(self):
        node = self.node(status=[status(8, [("qc-a-1", 7), ("qc-b-1", 8)])])
        result = self.expect(TIMEOUT, [node], "wait", "8", "--timeout", "0")
        self.assertIn("qc-a-1", result.stdout)
        self.assertNotIn("qc-b-1", result.stdout)
        result = self.expect(TIMEOUT, [node], "wait", "9", "--timeout", "0",
                             "--json")
        lagging = json.loads(result.stdout)["lagging"]
        self.assertEqual([row["vm"] for row in lagging],
                         ["mtl-a-1", "qc-a-1", "qc-b-1"])
        unready = self.node(status=[status(8, [], ready=False)])
        self.expect(TIMEOUT, [unready], "wait", "8", "--timeout", "0")
        self.expect(UNREACHABLE, [self.dead_address()], "wait", "8",
                    "--timeout", "0")

    def test_status_is_a_table_or_json(self):
        node = self.node(status=[status(8, [("qc-a-1", 7)])])
        self.assertEqual(
            self.expect(DONE, [node], "status").stdout,
            "mtl-a-1: ready, version 8\n"
            "peers:\n"
            "VM      VERSION  STATE  HEARD\n"
            "qc-a-1  7        live   120 ms\n"
            "regions:\n"
            "SERVICE   REGION    SLOTS  RUNNING  HEADROOM\n"
            "dossiers  montreal  24     9        15\n"
            "shifts:\n"
            "SERVICE   FROM      TO      ORDERED  IN FORCE  CAP       "
            "HOLDING\n"
            "dossiers  montreal  quebec  20%      12.5%     50 req/s  "
            "headroom\n"
            "budgets: none\n")
        result = self.expect(DONE, [node], "status", "--json")
        self.assertEqual(json.loads(result.stdout)["version"], 8)

    def test_history_and_counters(self):
        row = {"version": 8, "operation": "op-1", "operator": "Chlo\u00e9",
               "accepted_ms": 1764680000000}
        counters = '# HELP x_total h\nx_total{reason="a b"} 3\nup 1\n'
        node = self.node(history=[(200, {"versions": [row]})],
                         metrics=[(200, counters)])
        self.assertIn("8        2025-12-02T12:53:20Z  Chlo\u00e9     op-1",
                      self.expect(DONE, [node], "history").stdout)
        self.assertEqual(self.expect(DONE, [node], "counters").stdout,
                         counters)
        result = self.expect(DONE, [node], "counters", "--json")
        self.assertEqual(json.loads(result.stdout),
                         {'x_total{reason="a b"}': 3, "up": 1})

    def test_response_without_json_is_a_failure(self):
        node = self.node(status=[(200, "<html>")], sheet=[(200, "<html>")])
        self.expect(UNREACHABLE, [node], "status")
        self.expect(UNKNOWN, [node], "sheet", "put", self.sheet)


if __name__ == "__main__":
    unittest.main()
