"""Servers that left and were replaced get requests again."""

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

    # Guards against losing capacity with every drain: a backend server reports
    # that it is leaving, and a new process of the same name, which is not,
    # must get requests.
    def test_a_new_process_of_a_backend_server_gets_requests(self):
        with Deployment(regions=("montreal",), vms=1) as d:
            wait_until(lambda: NAME in self.get_backends(d), "requests to it")
            d.control_backends(NAME, leaving=True)
            wait_until(lambda: NAME not in self.get_backends(d),
                       "no requests to it")
            d.control_backends(NAME, leaving=False, crash=200)
            wait_until(lambda: NAME in self.get_backends(d),
                       "the new process gets requests")

    # The same through the platform's list, which lags: it reports the server
    # as leaving for a while after the new process has started.
    def test_a_new_process_gets_requests_once_the_list_is_current(self):
        with Deployment(regions=("montreal",), vms=1) as d:
            wait_until(lambda: NAME in self.get_backends(d), "requests to it")
            d.set_vms([{"name": NAME, "state": "leaving"}])
            wait_until(lambda: NAME not in self.get_backends(d),
                       "no requests to it")
            d.control_backends(NAME, crash=200)
            reads = d.store_reads()
            wait_until(lambda: d.store_reads() > reads + 12,
                       "the list and the new process are read")
            self.assertNotIn(NAME, self.get_backends(d))
            d.set_vms([{"name": NAME, "state": "live"}])
            wait_until(lambda: NAME in self.get_backends(d),
                       "the new process gets requests")

    # An entry VM is stopped gracefully and restarted, as in each release. It
    # must return to the lookups; otherwise the last VM of a region to be
    # restarted gets the callers of all others.
    def test_a_restarted_entry_vm_returns_to_the_lookups(self):
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

    # A sheet drains an entry VM, and a later sheet cancels the drain.
    def test_a_drain_row_removes_an_entry_vm_from_the_lookups(self):
        with Deployment(regions=("montreal",), vms=2) as d:
            both = ["montreal-1", "montreal-2"]
            wait_until(lambda: self.get_vms(d) == both, "both are in")
            d.put_sheet("montreal-1", ["+0,,,,,,montreal-1,"])
            for vm in both:
                wait_until(lambda: self.get_vms(d, vm) == ["montreal-2"],
                           "it is out of the lookups of " + vm)
            d.put_sheet("montreal-1", [])
            for vm in both:
                wait_until(lambda: self.get_vms(d, vm) == both,
                           "it is back in those of " + vm)


if __name__ == "__main__":
    unittest.main()
