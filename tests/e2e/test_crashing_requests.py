"""Poison requests: requests that crash each backend server that runs them."""

import threading
import unittest

from harness import Deployment, wait_until

SERVICES = {"dossiers": {"backends": 6}}
POISON = "/s/dossiers/report?fault=crash&restart_ms=700&ms=30"


class CrashingRequestsTest(unittest.TestCase):

    def crashes(self, d):
        """Number of crashes, from the backend servers' incarnations."""
        return sum(int(load["incarnation"].rsplit("-", 1)[1]) - 1
                   for load in d.loads())

    def send(self, d, vm, method="GET"):
        return d.request(vm, POISON, method,
                         b"poison" if method == "POST" else None)

    # A caller retries a poison request through all entry VMs, while other
    # requests run on the same backend servers and fail with them. At most 3
    # crashes later all entry VMs refuse the poison request, including one that
    # was replaced, and no other request is quarantined.
    def check(self, method):
        with Deployment(vms=2, services=SERVICES,
                        limits={"retry_share": 0.5}) as d:
            stop = threading.Event()
            answers = []

            def innocent(number):
                vm = list(d.vms)[number % 3]  # not the replaced one
                count = 0
                while not stop.is_set():
                    count += 1
                    answers.append(d.request(
                        vm, "/s/dossiers/innocent/%d-%d?ms=10" %
                        (number, count)))

            threads = [threading.Thread(target=innocent, args=(number,))
                       for number in range(4)]
            for thread in threads:
                thread.start()
            try:
                vms = list(d.vms)
                last = None
                for number in range(12):
                    last = self.send(d, vms[number % len(vms)], method)
                    self.assertNotEqual(last.status, 200)
                    self.assertIsNotNone(last.headers["Retry-After"])
                self.assertEqual(last.reason, "quarantined")
                d.restart("quebec-2")
                for vm in d.vms:
                    wait_until(lambda: self.send(d, vm, method).reason ==
                               "quarantined", vm + " refuses it")
            finally:
                stop.set()
                for thread in threads:
                    thread.join()
            wait_until(lambda: all(load["incarnation"]
                                   for load in d.loads_of_open()),
                       "all backend servers are back")
            self.assertLessEqual(self.crashes(d), 3)
            self.assertEqual([answer.reason for answer in answers
                              if answer.reason == "quarantined"], [])
            succeeded = [a for a in answers if a.status == 200]
            self.assertGreater(len(succeeded), 0.9 * len(answers))

    def test_idempotent_request(self):
        self.check("GET")

    def test_non_idempotent_request(self):
        self.check("POST")

    # Connections are reset during runs of a request, but the backend server's
    # incarnation shows that it did not crash. The request must not be
    # quarantined.
    def test_a_reset_is_no_crash(self):
        with Deployment(vms=1, services=SERVICES) as d:
            target = "/s/dossiers/reset?fault=reset-mid"
            for _ in range(6):
                answer = d.request("montreal-1", target, "POST", b"x")
                self.assertNotEqual(answer.reason, "quarantined")
                wait_until(lambda: d.counter(
                    "montreal-1", "sas_suspicions_voided_total") ==
                    d.counter("montreal-1", "sas_suspected_total"),
                    "the suspicion is dismissed")


if __name__ == "__main__":
    unittest.main()
