"""Servers that left and were replaced get work again."""

import signal
import unittest

from harness import Deployment, wait_until

NAME = "dossiers-montreal-01"


class ReplacedTest(unittest.TestCase):

    def get_backends(self, d):
        return {d.request("montreal-1", "/s/dossiers/x").backend
                for _ in range(12)}

    def get_vms(self, d, vm="montreal-2"):
        answer = d.lookup(vm, "dossiers", d.caller_ip("montreal"))
        return sorted(row["name"] for row in answer.json()["vms"])

    # A backend server says that it leaves, and its VM is replaced by one of
    # the same name. The new process leaves nowhere. If its predecessor's
    # word stuck to the name, every drain would cost capacity for good.
    def test_a_new_process_of_a_backend_server_gets_work(self):
        with Deployment(regions=("montreal",), vms=1) as d:
            wait_until(lambda: NAME in self.get_backends(d), "it gets work")
            d.control_backends(NAME, leaving=True)
            wait_until(lambda: NAME not in self.get_backends(d),
                       "it gets no work")
            d.control_backends(NAME, leaving=False, crash=200)
            wait_until(lambda: NAME in self.get_backends(d),
                       "the new process gets work")

    # The same by the platform's list, which lags: it goes on saying leaving
    # for a while after the new process has begun.
    def test_a_list_that_lags_holds_up_a_new_process_only_meanwhile(self):
        with Deployment(regions=("montreal",), vms=1) as d:
            wait_until(lambda: NAME in self.get_backends(d), "it gets work")
            d.set_vms([{"name": NAME, "state": "leaving"}])
            wait_until(lambda: NAME not in self.get_backends(d),
                       "it gets no work")
            d.control_backends(NAME, crash=200)
            reads = d.store_reads()
            wait_until(lambda: d.store_reads() > reads + 12,
                       "the list and the new process are read")
            self.assertNotIn(NAME, self.get_backends(d))
            d.set_vms([{"name": NAME, "state": "live"}])
            wait_until(lambda: NAME in self.get_backends(d),
                       "the new process gets work")

    # An entry VM is stopped gracefully and started again, as for each
    # release. Callers have to find it again, or the last VM of a region to
    # be restarted takes all the others' callers.
    def test_a_restarted_entry_vm_is_in_the_look_ups_again(self):
        with Deployment(regions=("montreal",), vms=2,
                        limits={"drain_notice_ms": 300}) as d:
            both = ["montreal-1", "montreal-2"]
            wait_until(lambda: self.get_vms(d) == both, "both are in")
            d.kill("montreal-1", signal.SIGTERM)
            wait_until(lambda: self.get_vms(d) == ["montreal-2"],
                       "the one that stops is out")
            self.assertEqual(d.nodes["montreal-1"].wait(), 0)
            d.restart("montreal-1")
            wait_until(lambda: self.get_vms(d) == both, "both are in again")

    # The sheet drains an entry VM, and a later sheet takes that back.
    def test_a_drain_row_takes_an_entry_vm_out_of_the_look_ups(self):
        with Deployment(regions=("montreal",), vms=2) as d:
            both = ["montreal-1", "montreal-2"]
            wait_until(lambda: self.get_vms(d) == both, "both are in")
            d.put_sheet("montreal-1", ["+0,,,,,,montreal-1,"])
            for vm in both:
                wait_until(lambda: self.get_vms(d, vm) == ["montreal-2"],
                           "it is out of the look-ups of " + vm)
            d.put_sheet("montreal-1", [])
            for vm in both:
                wait_until(lambda: self.get_vms(d, vm) == both,
                           "it is back in those of " + vm)


if __name__ == "__main__":
    unittest.main()
