"""An accepted configuration is in force everywhere within seconds and never
reverts."""

import threading
import unittest

from harness import Deployment, wait_until

SHIFT = "+0,dossiers,montreal,quebec,%d%%,,,"


class ConfigurationTest(unittest.TestCase):

    # Two operators put a sheet at the same time through different entry VMs,
    # both based on version 0. One is refused and gets the winner's operation
    # and operator, and its sheet is nowhere in force.
    def test_a_conflict_names_the_winner(self):
        with Deployment(vms=2) as d:
            answers = {}

            def put(vm, share):
                answers[vm] = d.put_sheet(
                    vm, [SHIFT % share], Sas_Operation="op-" + vm,
                    Sas_Operator="user-" + vm, If_Match='"0"')

            threads = [threading.Thread(target=put, args=(vm, share))
                       for vm, share in (("montreal-1", 10),
                                         ("quebec-1", 20))]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            won = [vm for vm, a in answers.items() if a.status == 200]
            lost = [vm for vm, a in answers.items() if a.status == 409]
            self.assertEqual((len(won), len(lost)), (1, 1), answers)
            conflict = answers[lost[0]].json()
            self.assertEqual(conflict["operation"], "op-" + won[0])
            self.assertEqual(conflict["operator"], "user-" + won[0])
            d.wait_version(1)
            sheets = {d.admin(vm, "GET", "/v1/sheet").body for vm in d.vms}
            self.assertEqual(len(sheets), 1)

    # The store writes the change and its acknowledgement is lost. The operator
    # must get the version, and a retry must not create a second one.
    def test_a_lost_acknowledgement_is_resolved_by_reading_back(self):
        with Deployment(vms=1) as d:
            for lost in (1, 2):
                d.control_platform(lose_acks=lost)
                operation = "op-%d" % lost
                put = d.put_sheet("montreal-1", [SHIFT % lost],
                                  Sas_Operation=operation)
                self.assertEqual(put.status, 200, put.body)
                self.assertEqual(put.json()["version"], lost)
                again = d.put_sheet("quebec-1", [SHIFT % lost],
                                    Sas_Operation=operation)
                self.assertEqual(again.json()["version"], lost)
                operation_state = d.admin("quebec-1", "GET",
                                          "/v1/operations/" + operation).json()
                self.assertEqual(operation_state["state"], "in-force")
            d.wait_version(2)

    # Guards against reporting success for a second sheet under a used
    # operation id, while that sheet is not in force.
    def test_an_operation_id_names_one_sheet(self):
        with Deployment(vms=1, regions=("montreal", "quebec")) as d:
            d.put_sheet("montreal-1", [SHIFT % 5], Sas_Operation="op")
            other = d.put_sheet("montreal-1", [SHIFT % 6],
                                Sas_Operation="op")
            self.assertEqual(other.status, 422)

    # The store answers reads with the row before the last write, as a lagging
    # replica would. No node may revert to the older version.
    def test_stale_reads_revert_nothing(self):
        with Deployment(vms=1) as d:
            d.put_sheet("montreal-1", [SHIFT % 10])
            d.put_sheet("montreal-1", [SHIFT % 20])
            d.wait_version(2)
            d.control_platform(stale_reads=True)
            reads = d.store_reads()
            wait_until(lambda: d.store_reads() > reads + 10,
                       "the nodes read the store")
            for vm in d.vms:
                self.assertEqual(d.status(vm)["version"], 2)

    # A node that is replaced while the store is down gets the sheet from its
    # peers, so that it serves by neither an older nor an empty one. Without
    # store and peers it is not ready.
    def test_a_node_that_starts_without_the_store_asks_its_peers(self):
        with Deployment(vms=1) as d:
            d.put_sheet("montreal-1", [SHIFT % 30])
            d.wait_version(1)
            d.control_platform(down=True)
            d.restart("quebec-1")
            self.assertEqual(d.status("quebec-1")["version"], 1)
            for vm in d.vms:
                d.nodes[vm].stop()
            d.start_node("quebec-1")
            wait_until(lambda: d.health("quebec-1") == 503,
                       "the node answers that it is not ready")
            refused = d.request("quebec-1", "/s/dossiers/x")
            self.assertEqual(refused.status, 503)
            self.assertEqual(refused.reason, "no-config")
            self.assertEqual(refused.outcome, "not-run")
            d.control_platform(down=False)
            d.wait_ready("quebec-1")
            self.assertEqual(d.status("quebec-1")["version"], 1)

    # A node that was frozen during a change reaches the new version.
    def test_a_frozen_node_catches_up(self):
        with Deployment(vms=2) as d:
            d.pause("quebec-2")
            put = d.put_sheet("montreal-1", [SHIFT % 30])
            self.assertEqual(put.status, 200)
            d.wait_version(1, ["montreal-1", "montreal-2", "quebec-1"])
            d.resume("quebec-2")
            d.wait_version(1)

    # With the store down a put fails, and the sheet in force stays.
    def test_a_put_without_the_store_changes_nothing(self):
        with Deployment(vms=1) as d:
            d.put_sheet("montreal-1", [SHIFT % 30])
            d.control_platform(down=True)
            put = d.put_sheet("montreal-1", [SHIFT % 40])
            self.assertEqual(put.status, 503)
            d.control_platform(down=False)
            history = d.admin("montreal-1", "GET", "/v1/history").json()
            self.assertEqual([row["version"]
                              for row in history["versions"]], [1])

    # A sheet with one bad row is refused entirely, with the row and column of
    # the error.
    def test_a_bad_sheet_is_refused_entirely(self):
        with Deployment(vms=1) as d:
            put = d.put_sheet("montreal-1", [
                SHIFT % 10, "+5,dossiers,montreal,quebec,20%,5 bananas,,"])
            self.assertEqual(put.status, 422)
            self.assertEqual(put.json()["row"], 3)
            self.assertEqual(put.json()["column"], "cap")
            self.assertEqual(d.status("montreal-1")["version"], 0)
            dry = d.admin("montreal-1", "PUT", "/v1/sheet?dry_run=1",
                          "time,service,from,to,share,cap,drain,limits\n" +
                          SHIFT % 10 + "\n")
            self.assertEqual(dry.status, 200)
            self.assertEqual(d.status("montreal-1")["version"], 0)

    # Calls without the token are refused and counted.
    def test_the_admin_port_requires_its_token(self):
        with Deployment(vms=1, regions=("montreal",)) as d:
            for token in ("", "wrong", "e2e-operators-tokem"):
                refused = d.admin("montreal-1", "GET", "/v1/status",
                                  token=token)
                self.assertEqual(refused.status, 401)
            self.assertEqual(
                d.counter("montreal-1", "sas_admin_unauthorized_total"), 3)


if __name__ == "__main__":
    unittest.main()
