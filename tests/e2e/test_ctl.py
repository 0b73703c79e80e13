"""sassafrassillctl against running nodes."""

import csv
import json
import subprocess
import unittest

from harness import BUILD, Deployment, wait_until

HEADER = "time,service,from,to,share,cap,drain,limits\n"
SHIFT = "+0,dossiers,montreal,quebec,%d%%,40 req/s,,ramp=60\n"
BAD_ROW = "+5,dossiers,montreal,quebec,20%,5 bananas,,\n"
DONE, REFUSED, USAGE, UNREACHABLE, UNKNOWN, TIMEOUT = range(6)


class Result:
    def __init__(self, done):
        self.status = done.returncode
        self.out = done.stdout
        self.err = done.stderr

    def json(self):
        return json.loads(self.out)


class CtlTest(unittest.TestCase):

    def setUp(self):
        self.d = Deployment(vms=2)
        self.d.__enter__()
        self.addCleanup(self.d.__exit__, None, None, None)

    def ctl(self, *words, vms=("montreal-1", "quebec-1"), token="token"):
        nodes = []
        for vm in vms:
            nodes += ["--node", "%s:%d" % (self.d.ip, self.d.vms[vm][1][2])]
        return Result(subprocess.run(
            [BUILD + "/bin/sassafrassillctl", *nodes, "--token-file",
             self.d.path(token), *words], stdout=subprocess.PIPE,
            stderr=subprocess.PIPE, text=True, timeout=60))

    def write(self, *rows, name="sheet.csv"):
        with open(self.d.path(name), "w") as file:
            file.write(HEADER + "".join(rows))
        return self.d.path(name)

    def put(self, *rows, words=()):
        put = self.ctl("sheet", "put", self.write(*rows), *words)
        self.assertEqual(put.status, DONE, put.err)
        return put

    def test_check_changes_nothing(self):
        good = self.ctl("sheet", "check", self.write(SHIFT % 10))
        self.assertEqual((good.status, good.err), (DONE, ""))
        bad = self.ctl("sheet", "check", self.write(SHIFT % 10, BAD_ROW))
        self.assertEqual(bad.status, REFUSED)
        self.assertIn("row 3, column cap", bad.err)
        self.assertEqual(self.d.status("montreal-1")["version"], 0)
        shown = self.ctl("sheet", "show")
        self.assertEqual(shown.status, REFUSED)
        self.assertIn("no sheet is in force", shown.err)

    # Puts a sheet, waits for it, and reads it from every entry VM.
    def test_put_show_history_status(self):
        rows = SHIFT % 10
        sheet = self.write(rows)
        put = self.ctl("--operator", "amel", "--operation", "morning-1",
                       "--json", "sheet", "put", sheet, "--wait", "30")
        self.assertEqual(put.status, DONE, put.err)
        accepted, waited = [json.loads(line)
                            for line in put.out.splitlines()]
        self.assertEqual(accepted, {"version": 1, "operation": "morning-1"})
        self.assertEqual(waited["in_force"], True)
        for vm in self.d.vms:
            shown = self.ctl("sheet", "show", vms=[vm])
            self.assertEqual((shown.status, shown.out),
                             (DONE, HEADER + rows))
        history = self.ctl("history")
        self.assertEqual(history.status, DONE)
        self.assertRegex(history.out, r"VERSION +ACCEPTED +OPERATOR +OPERATI")
        self.assertRegex(history.out, r"\n1 +20\S+Z +amel +morning-1\n")
        status = self.ctl("status", vms=["quebec-2"])
        self.assertIn("quebec-2: ready, version 1", status.out)
        self.assertRegex(status.out, r"\nmontreal-1 +1 +live +\d+ ms\n")
        self.assertRegex(status.out,
                         r"\ndossiers +montreal +quebec +10% .*40 req/s")
        again = self.ctl("--operation", "morning-1", "sheet", "put", sheet)
        self.assertEqual(again.status, DONE)
        self.assertEqual(self.d.status("montreal-1")["version"], 1)

    # Two operators put a sheet based on the same version; the second gets the
    # winner's operation and operator.
    def test_a_conflict_names_the_winner(self):
        self.put(SHIFT % 10, words=["--operator", "amel", "--operation",
                                    "first"])
        late = self.ctl("sheet", "put", self.write(SHIFT % 20),
                        "--if-version", "0", "--operation", "second")
        self.assertEqual(late.status, REFUSED)
        self.assertIn("version 1 (operation first, operator amel)", late.err)
        self.assertEqual(self.ctl("operation", "first").status, DONE)
        self.assertEqual(self.ctl("operation", "second").status, UNKNOWN)

    def test_drain_accepts_only_existing_names(self):
        self.put(SHIFT % 10)
        drain = self.ctl("drain", "dossiers-montreal-01", "--wait", "30")
        self.assertEqual(drain.status, DONE, drain.err)
        shown = self.ctl("sheet", "show")
        shift, row = csv.reader(shown.out.splitlines()[1:])
        self.assertEqual(",".join(shift) + "\n", SHIFT % 10)
        self.assertEqual(row[1:], [""] * 5 + ["dossiers-montreal-01", ""])
        answers = {self.d.request("montreal-1", "/s/dossiers/x").backend
                   for _ in range(12)}
        self.assertEqual(answers, {"dossiers-montreal-02"})
        vm = self.ctl("drain", "montreal-2")
        self.assertEqual(vm.status, DONE, vm.err)
        unknown = self.ctl("drain", "dossiers-99")
        self.assertEqual(unknown.status, REFUSED)
        self.assertIn("no backend server or entry VM", unknown.err)

    # One entry VM is frozen: the version is accepted, and --wait reports which
    # entry VM does not have it.
    def test_wait_names_a_frozen_node(self):
        self.d.pause("quebec-2")
        try:
            put = self.ctl("sheet", "put", self.write(SHIFT % 10), "--wait",
                           "2")
            self.assertEqual(put.status, TIMEOUT)
            self.assertIn("accepted: version 1", put.out)
            self.assertIn("not in force on 1", put.out)
            self.assertIn("\nquebec-2 ", put.out)
            lagging = self.ctl("wait", "1", "--timeout", "0", "--json")
            self.assertEqual(lagging.status, TIMEOUT)
            self.assertEqual([row["vm"] for row in
                              lagging.json()["lagging"]], ["quebec-2"])
        finally:
            self.d.resume("quebec-2")
        self.assertEqual(self.ctl("wait", "1").status, DONE)

    # Of two nodes the first is dead and the second answers. When all are dead
    # ctl reports that nothing was changed.
    def test_a_dead_node_is_skipped(self):
        self.d.nodes["montreal-1"].stop()
        self.put(SHIFT % 10)
        none = self.ctl("sheet", "put", self.write(SHIFT % 20),
                        vms=["montreal-1"])
        self.assertEqual(none.status, UNREACHABLE)
        self.assertEqual(self.d.status("quebec-1")["version"], 1)

    # The store writes the sheet and its acknowledgement is lost: ctl reports
    # success, and the operation's state can be read.
    def test_a_lost_acknowledgement_is_resolved(self):
        self.d.control_platform(lose_acks=1)
        put = self.put(SHIFT % 10, words=["--operation", "lost-1"])
        self.assertIn("accepted: version 1, operation lost-1", put.out)
        operation = self.ctl("operation", "lost-1", "--json")
        self.assertEqual(operation.json(), {"operation": "lost-1",
                                            "state": "in-force", "version": 1})

    def test_without_the_store_nothing_is_changed(self):
        self.put(SHIFT % 10)
        self.d.control_platform(down=True)
        put = self.ctl("sheet", "put", self.write(SHIFT % 20))
        self.assertEqual(put.status, UNREACHABLE, put.err)
        self.assertEqual(self.ctl("status").status, DONE)
        self.d.control_platform(down=False)
        history = wait_until(self.read_history, "the store is back")
        self.assertEqual([row["version"] for row in history], [1])

    def read_history(self):
        history = self.ctl("history", "--json")
        return history.json()["versions"] if history.status == DONE else None

    def test_wrong_usage_and_tokens(self):
        self.assertEqual(self.ctl("frobnicate").status, USAGE)
        self.assertEqual(self.ctl("sheet", "put", "/nowhere").status, USAGE)
        self.write(name="other")
        with open(self.d.path("other"), "w") as file:
            file.write("another-operators-token\n")
        subprocess.run(["chmod", "600", self.d.path("other")], check=True)
        wrong = self.ctl("status", token="other")
        self.assertEqual(wrong.status, USAGE)
        self.assertIn("did not accept the token", wrong.err)
        self.assertEqual(
            self.d.counter("montreal-1", "sas_admin_unauthorized_total"), 1)

    # --json prints the status and counters of the node.
    def test_json_matches_the_node(self):
        status = self.ctl("status", "--json").json()
        self.assertEqual(status["vm"], "montreal-1")
        counters = self.ctl("counters", "--json").json()
        self.d.request("montreal-1", "/s/dossiers/x")
        after = self.ctl("counters", "--json").json()
        self.assertEqual(after["sas_answers_total"],
                         counters["sas_answers_total"] + 1)
        raw = self.ctl("counters")
        self.assertIn("# HELP sas_answers_total", raw.out)


if __name__ == "__main__":
    unittest.main()
