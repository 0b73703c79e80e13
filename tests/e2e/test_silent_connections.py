"""Open connections go silent for good while new ones work."""

import unittest

from harness import Deployment, wait_until


class SilentConnectionsTest(unittest.TestCase):

    # Something between an entry VM and its backend servers forgets all
    # open connections. Requests on them vanish without an error. A crew's
    # look-up, which may repeat, is answered within its deadline; a
    # certificate is sent once at the most.
    def test_requests_that_may_repeat_are_answered(self):
        with Deployment(regions=("montreal",), vms=1,
                        limits={"retry_share": 1.0}) as d:
            for number in range(12):
                d.request("montreal-1", "/s/dossiers/warm/%d" % number)
            d.control_backends("*", silent=True)
            for number in range(6):
                answer = d.request("montreal-1", "/s/dossiers/x/%d" % number,
                                   Sas_Deadline_Ms=8000)
                self.assertEqual(answer.status, 200, answer.body)

    # What may not repeat goes over a connection that was heard from within
    # the last moment, or over a new one; so it is not lost on an old one.
    def test_what_may_not_repeat_takes_a_proved_connection(self):
        with Deployment(regions=("montreal",), vms=1) as d:
            for number in range(12):
                d.request("montreal-1", "/s/dossiers/warm/%d" % number)
            reads = d.store_reads()
            wait_until(lambda: d.store_reads() > reads + 4,
                       "the connections are no longer fresh")
            d.control_backends("*", silent=True)
            answer = d.request("montreal-1", "/s/dossiers/note", "POST",
                               b"once", Idempotency_Key="once-1")
            self.assertEqual(answer.status, 200)
            self.assertEqual(d.count_key("once-1"), 1)

    # The store accepts and never answers, then works again. Requests that
    # need no store are not held up; configuration comes through afterwards.
    def test_a_silent_store_holds_up_no_request(self):
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
