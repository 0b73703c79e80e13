"""Open connections stall for good while new ones work."""

import unittest

from harness import Deployment, wait_until


class SilentConnectionsTest(unittest.TestCase):

    # The network drops all open connections between an entry VM and its
    # backend servers without a reset. Idempotent requests are answered within
    # their deadline.
    def test_idempotent_requests_are_answered(self):
        with Deployment(regions=("montreal",), vms=1,
                        limits={"retry_share": 1.0}) as d:
            for number in range(12):
                d.request("montreal-1", "/s/dossiers/warm/%d" % number)
            d.control_backends("*", silent=True)
            for number in range(6):
                answer = d.request("montreal-1", "/s/dossiers/x/%d" % number,
                                   Sas_Deadline_Ms=8000)
                self.assertEqual(answer.status, 200, answer.body)

    # Guards against losing a non-idempotent request on a stalled connection:
    # it uses one that received data very recently, or a new one.
    def test_non_idempotent_requests_avoid_idle_connections(self):
        with Deployment(regions=("montreal",), vms=1) as d:
            for number in range(12):
                d.request("montreal-1", "/s/dossiers/warm/%d" % number)
            reads = d.store_reads()
            wait_until(lambda: d.store_reads() > reads + 4,
                       "the connections have been idle")
            d.control_backends("*", silent=True)
            answer = d.request("montreal-1", "/s/dossiers/note", "POST",
                               b"once", Idempotency_Key="once-1")
            self.assertEqual(answer.status, 200)
            self.assertEqual(d.count_key("once-1"), 1)

    # The store accepts calls without answering, and recovers. Requests that do
    # not need the store are not delayed, and later changes arrive.
    def test_an_unresponsive_store_delays_no_request(self):
        with Deployment(regions=("montreal", "quebec"), vms=1) as d:
            d.control_platform(freeze=True)
            for number in range(10):
                answer = d.request("montreal-1", "/s/dossiers/%d" % number)
                self.assertEqual(answer.status, 200)
            d.control_platform(freeze=False)
            put = d.put_sheet("montreal-1",
                              ["+0,dossiers,montreal,quebec,5%,,,"])
            self.assertEqual(put.status, 200)
            d.wait_version(1)


if __name__ == "__main__":
    unittest.main()
