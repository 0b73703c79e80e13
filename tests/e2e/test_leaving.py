"""Leaving servers and graceful shutdown interrupt no request."""

import signal
import threading
import unittest

from harness import Deployment, wait_until

PATIENCE = 30


class Load:
    """Callers that send one request after another until stop()."""

    def __init__(self, deployment, vm, target, count=3):
        self.answers = []
        self.errors = []
        self.stopped = False
        self.threads = [threading.Thread(target=self.run,
                                         args=(deployment, vm, target))
                        for _ in range(count)]
        for thread in self.threads:
            thread.start()

    def run(self, deployment, vm, target):
        while not self.stopped:
            try:
                answer = deployment.request(vm, target)
                self.answers.append((answer.status, answer.backend))
            except OSError as error:
                self.errors.append(error)

    def stop(self):
        self.stopped = True
        for thread in self.threads:
            thread.join()


class LeavingTest(unittest.TestCase):

    def leave(self, d, order):
        """Makes dossiers-montreal-01 leave by order() under load. It must get
        no new requests soon after, and no request may fail."""
        name = "dossiers-montreal-01"
        load = Load(d, "montreal-1", "/s/dossiers/x?ms=5")
        try:
            wait_until(lambda: d.counts()[name]["started"] > 5,
                       "it gets requests")
            order(name)

            def gets_nothing():
                before = len(load.answers)
                started = d.counts()[name]["started"]
                wait_until(lambda: len(load.answers) > before + 30,
                           "further requests")
                return d.counts()[name]["started"] == started

            wait_until(gets_nothing, "it gets nothing new")
            self.assertTrue(gets_nothing())
        finally:
            load.stop()
        self.assertEqual(load.errors, [])
        self.assertEqual({status for status, _ in load.answers}, {200})
        self.assertEqual(d.counts()[name]["cancelled"], 0)

    # The sheet drains the backend server.
    def test_drained_by_the_sheet(self):
        with Deployment(regions=("montreal",), vms=1) as d:
            self.leave(d, lambda name: d.put_sheet(
                "montreal-1", ["+0,,,,,,%s," % name]))

    # The platform's list reports it as leaving.
    def test_leaving_by_the_platforms_list(self):
        with Deployment(regions=("montreal",), vms=1) as d:
            self.leave(d, lambda name: d.set_vms(
                [{"name": name, "state": "leaving"}]))

    # The backend server reports it with its load.
    def test_leaving_by_its_load_report(self):
        with Deployment(regions=("montreal",), vms=1) as d:
            self.leave(d, lambda name: d.control_backends(name,
                                                          leaving=True))

    # The platform's list reports the server as leaving, then as live again. A
    # server that is leaving must not get new requests for that.
    def test_leaving_persists_while_the_list_flaps(self):
        with Deployment(regions=("montreal",), vms=1) as d:
            def flap(name):
                d.set_vms([{"name": name, "state": "leaving"}])
                reads = d.store_reads()
                wait_until(lambda: d.store_reads() > reads + 6, "it is read")
                d.set_vms([{"name": name, "state": "live"}])
            self.leave(d, flap)

    # An operator drains through the admin API; the other row of the sheet
    # stays.
    def test_drain_by_the_admin_api(self):
        with Deployment(vms=1) as d:
            d.put_sheet("montreal-1",
                        ["+0,dossiers,quebec,montreal,50%,,,"])
            self.leave(d, lambda name: d.admin(
                "montreal-1", "POST", "/v1/drain?target=" + name))
            self.assertEqual(
                [row["ordered_percent"]
                 for row in d.status("montreal-1")["shifts"]], [50])

    # SIGTERM to an entry VM while two uploads run: both complete, new callers
    # with an old lookup are still served, and the process exits with 0.
    def test_a_stopping_entry_vm_completes_its_requests(self):
        with Deployment(regions=("montreal",), vms=2,
                        limits={"drain_notice_ms": 1500}) as d:
            results = []

            def upload():
                results.append(d.request(
                    "montreal-1", "/s/dossiers/photo?ms=3000", "POST",
                    b"p" * 2000000))

            threads = [threading.Thread(target=upload) for _ in range(2)]
            for thread in threads:
                thread.start()
            wait_until(lambda: sum(row["started"] for row in
                                   d.counts().values()) >= 2, "they run")
            d.kill("montreal-1", signal.SIGTERM)
            source = d.caller_ip("montreal")
            wait_until(lambda: [vm["name"] for vm in d.lookup(
                "montreal-2", "dossiers", source).json()["vms"]] ==
                ["montreal-2"], "it is out of the other VM's lookups")
            late = d.request("montreal-1", "/s/dossiers/late")
            self.assertEqual(late.status, 200)
            d.kill("montreal-1", signal.SIGTERM)  # has no effect
            for thread in threads:
                thread.join()
            self.assertEqual([answer.status for answer in results],
                             [200, 200])
            self.assertEqual(d.nodes["montreal-1"].wait(), 0)

    # A stop that reaches the shutdown deadline exits with status 3.
    def test_a_stop_ends_at_the_shutdown_deadline(self):
        with Deployment(regions=("montreal",), vms=1,
                        services={"dossiers": {"deadline_ms": 500}},
                        limits={"drain_notice_ms": 100,
                                "stop_limit_ms": 700}) as d:
            thread = threading.Thread(target=self.hang, args=(d,))
            thread.start()
            wait_until(lambda: sum(row["started"] for row in
                                   d.counts().values()) > 0, "it runs")
            d.kill("montreal-1", signal.SIGTERM)
            self.assertEqual(d.nodes["montreal-1"].wait(), 3)
            thread.join()

    def hang(self, d):
        try:
            d.request("montreal-1", "/s/dossiers/x?fault=hang",
                      Sas_Deadline_Ms=60000)
        except OSError:
            pass

    # Guards against requests without an answer at the shutdown deadline, which
    # may be before their own.
    def test_a_request_at_the_shutdown_deadline_is_answered(self):
        with Deployment(regions=("montreal",), vms=1,
                        services={"dossiers": {"deadline_ms": 500}},
                        limits={"drain_notice_ms": 100,
                                "stop_limit_ms": 700}) as d:
            answers = []
            thread = threading.Thread(target=lambda: answers.append(
                d.request("montreal-1", "/s/dossiers/x?fault=hang", "POST",
                          Sas_Deadline_Ms=60000)))
            thread.start()
            wait_until(lambda: sum(row["started"] for row in
                                   d.counts().values()) > 0, "it runs")
            d.kill("montreal-1", signal.SIGTERM)
            self.assertEqual(d.nodes["montreal-1"].wait(), 3)
            thread.join()
            self.assertEqual([(one.status, one.outcome) for one in answers],
                             [(502, "unknown")])


if __name__ == "__main__":
    unittest.main()
