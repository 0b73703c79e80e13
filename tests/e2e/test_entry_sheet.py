"""The operators' sheet in platform mode: entry VMs learn services and servers
at run time, and the sheet is in its own tables of the store."""

import http.client
import os
import subprocess
import sys
import unittest

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, HERE)

from entry_harness import (BUILD, Fleet, exchange, signal,  # noqa: E402
                           time, wait_for)

TOKEN = "a-token-of-operators"
EMPTY_S = 2.8  # after SIGTERM: a process without connections exits
HEADER = "time,service,from,to,share,cap,drain,limits\n"
EVERYTHING_WEST = HEADER + "+0,desk,east,west,100%,,,\n"


def admin(vm, method, path, body=None, token=TOKEN, **headers):
    fields = {"Authorization": "Bearer " + token} if token else {}
    fields.update({k.replace("_", "-"): v for k, v in headers.items()})
    return exchange(vm.address("control"), method, path,
                    body.encode() if body is not None else None, fields)


def get_version(vm):
    return admin(vm, "GET", "/v1/status").json()["version"]


class SheetFleet(Fleet):
    """Two servers in each region, and entry VMs with a token."""

    def __init__(self, vms=("a", "b", "c")):
        super().__init__(vms)
        for vm in self.vms:
            vm.environment = {"SASSAFRASSILL_OPERATOR_TOKEN": TOKEN}
        self.east = [self.add_worker("e%d" % i, slots=30) for i in (1, 2)]
        self.west = [self.add_worker("w%d" % i, zone="c", slots=30)
                     for i in (1, 2)]

    def put(self, text, vm=0, **headers):
        return admin(self.vms[vm], "PUT", "/v1/sheet", text, **headers)

    def wait_in_force(self, version, vms=None):
        wait_for(lambda: all(get_version(vm) == version
                             for vm in vms or self.vms),
                 "version %d in force everywhere" % version)

    def get_region(self, vm, path="/forms/1", key="7"):
        """The region in which a safe request through the entry VM runs."""
        answer = vm.request("GET", path, key=key)
        assert answer.status == 200, answer.status
        return "west" if answer.body.startswith(b"w") else "east"


class EntrySheet(unittest.TestCase):
    def test_all_entry_vms_apply_the_share_of_the_sheet(self):
        with SheetFleet() as fleet:
            fleet.start()
            first, second, third = fleet.vms
            self.assertEqual(fleet.get_region(first), "east")
            answer = fleet.put(EVERYTHING_WEST, vm=2, Sas_Operation="morning")
            self.assertEqual(answer.status, 200, answer.body)
            self.assertEqual(answer.json(),
                             {"version": 1, "operation": "morning"})
            fleet.wait_in_force(1)
            for vm in (first, second):
                for i in range(10):
                    self.assertEqual(
                        fleet.get_region(vm, "/forms/%d" % i, str(i)), "west")
            self.assertEqual(admin(first, "GET", "/v1/sheet").body.decode(),
                             EVERYTHING_WEST)
            shift, = admin(second, "GET", "/v1/status").json()["shifts"]
            self.assertEqual(shift["in_force_percent"], 100)
            fleet.put(HEADER + "+0,desk,east,west,0%,,,\n")
            fleet.wait_in_force(2)
            self.assertEqual(fleet.get_region(first), "east")

    def test_a_sheet_survives_the_replacement_of_all_entry_vms(self):
        """Entry VMs keep no state: all are restarted, and read the sheet from
        the store."""
        with SheetFleet(("a", "b")) as fleet:
            fleet.start()
            fleet.put(EVERYTHING_WEST)
            for vm in fleet.vms:
                vm.stop()
            fleet.start()
            fleet.wait_in_force(1)
            self.assertEqual(fleet.get_region(fleet.vms[0]), "west")

    def test_a_lost_acknowledgement_makes_one_version(self):
        """Guards against a second version when a put is retried after the
        store's acknowledgement was lost."""
        with SheetFleet(("a",)) as fleet:
            fleet.start()
            fleet.store.lose_acks = 2
            answer = fleet.put(EVERYTHING_WEST, Sas_Operation="once")
            self.assertEqual((answer.status, answer.json().get("version")),
                             (200, 1))
            answer = fleet.put(EVERYTHING_WEST, Sas_Operation="once")
            self.assertEqual((answer.status, answer.json().get("version")),
                             (200, 1))
            rows = admin(fleet.vms[0], "GET",
                         "/v1/history").json()["versions"]
            self.assertEqual([row["operation"] for row in rows], ["once"])

    def test_the_second_of_two_operators_gets_a_conflict(self):
        with SheetFleet(("a", "c")) as fleet:
            fleet.start()
            self.assertEqual(fleet.put(EVERYTHING_WEST, Sas_Operation="one",
                                       If_Match='"0"').status, 200)
            answer = fleet.put(EVERYTHING_WEST, vm=1, Sas_Operation="two",
                               If_Match='"0"')
            self.assertEqual(answer.status, 409)
            self.assertEqual(answer.json()["operation"], "one")

    def test_a_drained_server_gets_no_new_requests(self):
        with SheetFleet(("a", "b")) as fleet:
            fleet.start()
            answer = admin(fleet.vms[0], "POST", "/v1/drain?target=e1")
            self.assertEqual(answer.status, 200, answer.body)
            fleet.wait_in_force(1)
            ran = len(fleet.east[0].ran)
            for vm in fleet.vms:
                for i in range(20):
                    self.assertEqual(
                        vm.request("GET", "/forms/%d" % i,
                                   key=str(i)).status, 200)
            self.assertEqual(len(fleet.east[0].ran), ran)

    def test_a_drained_entry_vm_leaves_the_lookups(self):
        with SheetFleet(("a", "a")) as fleet:
            fleet.start()
            drained = "%s:%d" % fleet.vms[1].address()
            wait_for(lambda: drained in fleet.vms[0].lookup("a"), "both named")
            admin(fleet.vms[0], "POST", "/v1/drain?target=vm-1")
            wait_for(lambda: all(drained not in vm.lookup("a")
                                 for vm in fleet.vms), "one to be left out")
            self.assertEqual(fleet.vms[1].request().status, 200)

    # Guards against a change without an answer when the process ends while the
    # store still handles it.
    def test_a_change_as_the_process_ends_is_answered(self):
        with SheetFleet(vms=("a",)) as fleet:
            fleet.start()
            vm = fleet.vms[0]
            change = http.client.HTTPConnection(*vm.address("control"),
                                                timeout=30)
            self.addCleanup(change.close)
            fields = {"Authorization": "Bearer " + TOKEN}
            change.request("GET", "/v1/status", headers=fields)
            change.getresponse().read()
            vm.signal(signal.SIGTERM)
            wait_for(lambda: vm.find_lines("process.stopping"), "a stop")
            # The process reads the change when it is about to exit.
            vm.signal(signal.SIGSTOP)
            change.request("PUT", "/v1/sheet", EVERYTHING_WEST, fields)
            time.sleep(EMPTY_S)
            vm.signal(signal.SIGCONT)
            self.assertEqual(change.getresponse().status, 200)
            self.assertEqual(vm.process.wait(30), 0)

    def test_bad_calls_change_nothing_and_give_a_reason(self):
        with SheetFleet(("a", "b")) as fleet:
            fleet.vms[1].environment = {}
            fleet.start()
            first, second = fleet.vms
            answer = fleet.put(HEADER + "+0,nothing,east,west,10%,,,\n")
            self.assertEqual(answer.status, 422)
            self.assertEqual((answer.json()["row"], answer.json()["column"]),
                             (2, "service"))
            answer = admin(first, "PUT", "/v1/sheet", EVERYTHING_WEST,
                           token="wrong")
            self.assertEqual(answer.status, 401)
            answer = admin(second, "PUT", "/v1/sheet", EVERYTHING_WEST)
            self.assertEqual((answer.status, answer.json()["reason"]),
                             (403, "read-only"))
            fleet.store.mode = "busy"
            answer = fleet.put(EVERYTHING_WEST)
            self.assertEqual(answer.json()["reason"], "store-unavailable")
            fleet.store.mode = ""
            self.assertEqual(fleet.put(EVERYTHING_WEST).json()["version"], 1)

    def test_a_sheet_larger_than_the_store_takes_is_refused(self):
        with SheetFleet(("a",)) as fleet:
            fleet.start()
            row = "+%d,desk,east,west,%d%%,,,ramp=60\n"
            text = HEADER + "".join(row % (i, i % 100) for i in range(8000))
            answer = fleet.put(text)
            self.assertEqual(answer.status, 422)
            self.assertIn("bytes", answer.json()["text"])
            text = HEADER + "".join(row % (i, i % 100) for i in range(1000))
            self.assertEqual(fleet.put(text).json().get("version"), 1)
            fleet.vms[0].stop()
            fleet.start()
            fleet.wait_in_force(1)
            self.assertEqual(admin(fleet.vms[0], "GET",
                                   "/v1/sheet").body.decode(), text)

    def test_ctl_works_in_platform_mode(self):
        with SheetFleet(("a", "c")) as fleet:
            fleet.start()
            sheet = os.path.join(fleet.folder, "sheet.csv")
            token = os.path.join(fleet.folder, "token")
            with open(sheet, "w") as file:
                file.write(EVERYTHING_WEST)
            with open(token, "w") as file:
                file.write(TOKEN)
            os.chmod(token, 0o600)

            def ctl(*words):
                return subprocess.run(
                    [BUILD + "/bin/sassafrassillctl", "--node",
                     "%s:%d" % fleet.vms[0].address("control"),
                     "--token-file", token, *words],
                    capture_output=True, text=True)
            done = ctl("sheet", "put", sheet)
            self.assertEqual(done.returncode, 0, done.stderr)
            fleet.wait_in_force(1)
            shown = ctl("status")
            self.assertEqual(shown.returncode, 0, shown.stderr)
            self.assertIn("100%", shown.stdout)


if __name__ == "__main__":
    unittest.main()
