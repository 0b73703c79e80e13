"""Requests with an idempotency key run at most once, and "not-run" is true."""

import contextlib
import signal
import socket
import sys
import threading
import time
import unittest

from harness import ROOT, Deployment, wait_until

sys.path.insert(0, ROOT + "/tests/standins")
from proxy import Proxy  # noqa: E402

LEFT = (b"POST /s/dossiers/certificates/7%s HTTP/1.1\r\nHost: x\r\n"
        b"Sas-Caller: inspector\r\nIdempotency-Key: %s\r\n"
        b"Content-Length: 6\r\n\r\nhood 7")
LARGE_BYTES = 200 << 20
MAX_GROWTH_MB = 64
SILENCE_S = 0.5

SERVICES = {"dossiers": {"backends": 2, "once": ["/certificates"]}}


class AtMostOnceTest(unittest.TestCase):

    @classmethod
    def setUpClass(cls):
        cls.d = Deployment(vms=2, services=SERVICES)
        cls.d.__enter__()

    @classmethod
    def tearDownClass(cls):
        cls.d.__exit__(None, None, None)

    def tearDown(self):
        self.d.control_platform(down=False, freeze=False, delay_ms=0,
                                lose_acks=0, stale_reads=False)

    def issue(self, key, vm="montreal-1", query="", body=b"hood 7",
              **headers):
        return self.d.request(vm, "/s/dossiers/certificates/7" + query,
                              "POST", body, Sas_Caller="inspector",
                              Idempotency_Key=key, **headers)

    # Guards against a second run when a caller that lost the answer retries
    # through another entry VM.
    def test_a_retry_gets_the_first_answer(self):
        first = self.issue("resend-1")
        self.assertEqual(first.status, 200, first.body)
        again = self.issue("resend-1", vm="quebec-2")
        self.assertEqual((again.status, again.body), (200, first.body))
        self.assertEqual(again.replayed, "1")
        self.assertEqual(self.d.count_key("resend-1"), 1)

    def test_a_large_answer_is_replayed_too(self):
        first = self.issue("large-1", query="?bytes=300000")
        again = self.issue("large-1", vm="quebec-1", query="?bytes=300000")
        self.assertEqual(len(first.body), 300000)
        self.assertEqual(again.body, first.body)
        self.assertEqual(self.d.count_key("large-1"), 1)

    def test_the_key_is_required_and_bound_to_one_request(self):
        missing = self.d.request("montreal-1", "/s/dossiers/certificates/7",
                                 "POST", b"x")
        self.assertEqual((missing.status, missing.reason),
                         (400, "key-missing"))
        self.issue("one-1")
        other = self.issue("one-1", body=b"hood 8")
        self.assertEqual((other.status, other.reason), (422, "key-reused"))
        self.assertEqual(self.d.count_key("one-1"), 1)

    # The same request arrives at three entry VMs at the same time.
    def test_concurrent_duplicates_run_once(self):
        for number in range(8):
            key = "both-%d" % number
            answers = []
            threads = [threading.Thread(target=lambda vm=vm: answers.append(
                self.issue(key, vm=vm, query="?ms=30")))
                for vm in ("montreal-1", "montreal-2", "quebec-1")]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            self.assertEqual(self.d.count_key(key), 1)
            self.assertIn(200, [answer.status for answer in answers])
            for answer in answers:
                if answer.status != 200:
                    self.assertEqual(answer.outcome, "unknown")
                    self.assertIsNotNone(answer.headers["Retry-After"])

    # With the store down an entry VM cannot know whether a request ran before,
    # so it refuses the request at once as not run.
    def test_without_the_store_nothing_runs(self):
        self.d.control_platform(down=True)
        answer = self.issue("down-1")
        self.assertEqual((answer.status, answer.outcome), (503, "not-run"))
        self.assertIsNotNone(answer.headers["Retry-After"])
        self.assertEqual(self.d.count_key("down-1"), 0)
        self.d.control_platform(down=False)
        again = wait_until(lambda: (lambda a: a if a.status == 200 else
                                    None)(self.issue("down-1")),
                           "it runs once the store is back")
        self.assertEqual(again.status, 200)
        self.assertEqual(self.d.count_key("down-1"), 1)

    # The store writes the claim, but its acknowledgement is lost; then also
    # the acknowledgements of further writes.
    def test_lost_acknowledgements_make_no_second_run(self):
        for lost in (1, 2, 3):
            key = "ack-%d" % lost
            self.d.control_platform(lose_acks=lost)
            first = self.issue(key)
            self.d.control_platform(lose_acks=0)
            second = wait_until(
                lambda: (lambda a: a if a.status == 200 else None)(
                    self.issue(key, vm="quebec-1")),
                "the retry is answered")
            self.assertEqual(second.status, 200)
            self.assertEqual(self.d.count_key(key), 1)
            if first.status != 200:
                self.assertEqual(first.status, 503)

    # The connection is reset while the backend server runs the request. It
    # must not run again on any retry, and no answer may be "not-run".
    def test_a_lost_answer_stays_unknown(self):
        first = self.issue("lost-1", query="?fault=reset-mid")
        self.assertEqual((first.status, first.outcome), (502, "unknown"))
        again = self.issue("lost-1", vm="quebec-2",
                           query="?fault=reset-mid")
        self.assertEqual(again.outcome, "unknown")
        self.assertEqual(self.d.count_key("lost-1"), 1)

    # A request shed by the backend servers did not run: its claim is released,
    # and a retry may run.
    def test_a_shed_request_may_run_on_a_retry(self):
        self.d.control_backends("*", slots=1, queue=0)
        threads = [threading.Thread(target=lambda vm=vm: self.d.request(
            vm, "/s/dossiers/hang?fault=hang", Sas_Deadline_Ms=1500))
            for vm in ("montreal-1", "quebec-1") for _ in range(2)]
        try:
            for thread in threads:
                thread.start()
            wait_until(lambda: all(row["running"] for row in self.loads()),
                       "all slots are taken")
            answer = self.issue("shed-1")
            self.assertEqual((answer.status, answer.outcome),
                             (503, "not-run"), answer.body)
            self.assertEqual(self.d.count_key("shed-1"), 0)
        finally:
            for thread in threads:
                thread.join()
            self.d.control_backends("*", slots=3, queue=3)
        again = wait_until(lambda: (lambda a: a if a.status == 200 else
                                    None)(self.issue("shed-1")), "it runs")
        self.assertEqual(again.status, 200)
        self.assertEqual(self.d.count_key("shed-1"), 1)

    def loads(self):
        return self.d.loads()

    # The caller disconnects while its request runs. The run completes, and the
    # retry gets the answer.
    def test_a_disconnected_caller_gets_its_answer_on_a_retry(self):
        with self.assertRaises(OSError):
            self.d.request("montreal-1", "/s/dossiers/certificates/9?ms=600",
                           "POST", b"x", timeout=0.2,
                           Idempotency_Key="gone-1", Sas_Caller="inspector")
        again = wait_until(
            lambda: (lambda a: a if a.status == 200 else None)(
                self.d.request("quebec-1",
                               "/s/dossiers/certificates/9?ms=600", "POST",
                               b"x", Idempotency_Key="gone-1",
                               Sas_Caller="inspector")),
            "the answer is replayed")
        self.assertEqual(again.replayed, "1")
        self.assertEqual(self.d.count_key("gone-1"), 1)

    # The entry VM that holds the claim is frozen or killed while the request
    # runs. A retry at another entry VM must not run it again.
    def test_a_dead_or_frozen_holder_keeps_its_claim(self):
        with Deployment(vms=1, services=SERVICES) as d:
            for key, number in (("frozen-1", signal.SIGSTOP),
                                ("dead-1", signal.SIGKILL)):
                def send(vm):
                    return d.request(
                        vm, "/s/dossiers/certificates/1?ms=400", "POST",
                        b"x", Idempotency_Key=key, Sas_Caller="inspector")

                def try_send():
                    try:
                        send("montreal-1")
                    except OSError:
                        pass

                thread = threading.Thread(target=try_send)
                thread.start()
                wait_until(lambda: d.count_key(key) == 1, "it runs")
                d.kill("montreal-1", number)
                again = send("quebec-1")
                self.assertEqual((again.status, again.outcome),
                                 (503, "unknown"))
                self.assertIsNotNone(again.headers["Retry-After"])
                if number == signal.SIGSTOP:
                    d.resume("montreal-1")
                    wait_until(lambda: send("quebec-1").status == 200,
                               "the holder stores the outcome")
                thread.join()
                self.assertEqual(d.count_key(key), 1)


class ProxiedDeployment(Deployment):
    """A proxy before each backend server."""

    def write_settings(self):
        self.proxies = []
        for name, (service, region, port) in self.backends.items():
            self.proxies.append(Proxy(port))
            self.backends[name] = (service, region, self.proxies[-1].port)
        super().write_settings()

    def __exit__(self, *error):
        super().__exit__(*error)
        for proxy in self.proxies:
            proxy.stop()

    def set_mode(self, mode):
        for proxy in self.proxies:
            proxy.mode = mode


class LeavingCallersTest(unittest.TestCase):
    def setUp(self):
        self.d = ProxiedDeployment(regions=("montreal",), vms=1,
                                   services=SERVICES)
        self.d.__enter__()
        self.addCleanup(self.d.__exit__, None, None, None)

    issue = AtMostOnceTest.issue

    def leave(self, key, query, read_bytes):
        """Issues a certificate, and leaves when so much of the answer is
        read, and all that comes then while the servers are not heard."""
        with socket.create_connection(self.d.caller_address("montreal-1")) \
                as caller:
            caller.sendall(LEFT % (query.encode(), key.encode()))
            while read_bytes > 0:
                read_bytes -= len(caller.recv(65536))
            self.d.set_mode("deaf")
            caller.settimeout(SILENCE_S)
            with contextlib.suppress(TimeoutError):
                while caller.recv(65536):
                    pass
        time.sleep(SILENCE_S)

    def check_alive(self, key):
        self.assertEqual(self.issue(key + "-next").status, 200)
        self.assertIsNone(self.d.nodes["montreal-1"].process.poll())

    # Guards against a process that ends: the caller leaves while an answer
    # that is too large to be stored is sent to it.
    def test_a_caller_leaves_while_a_large_answer_is_sent(self):
        self.leave("left", "?bytes=%d" % LARGE_BYTES, 2 << 20)
        self.d.set_mode("delay")  # so slowly that reading is never paused
        time.sleep(SILENCE_S)
        self.check_alive("left")
        self.assertEqual(self.d.count_key("left"), 1)

    # Guards against a process that runs out of memory: the caller has left,
    # and a server in trouble goes on sending.
    def test_an_answer_without_a_caller_is_not_kept(self):
        before = self.d.peak_mb("montreal-1")
        self.leave("unheard", "?bytes=%d" % LARGE_BYTES, 0)
        self.d.set_mode("")
        time.sleep(SILENCE_S)
        self.check_alive("unheard")
        self.assertEqual(self.d.count_key("unheard"), 1)
        self.assertLess(self.d.peak_mb("montreal-1") - before, MAX_GROWTH_MB)


if __name__ == "__main__":
    unittest.main()
