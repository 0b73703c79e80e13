"""Every caller gets the complete answer to its own request, or a visible
error."""

import http.client
import sys
import threading
import unittest
import urllib.parse

from harness import ROOT, Deployment, wait_until

sys.path.insert(0, ROOT + "/tests/standins")
from answers import BODY, BROKEN, RESET, SOUND  # noqa: E402

LEAVING = b"Sas-Load: running=900,queued=900,slots=3,leaving=1"


class WholeAnswersTest(unittest.TestCase):

    @classmethod
    def setUpClass(cls):
        cls.d = Deployment(regions=("montreal",), vms=1,
                           services={"dossiers": {"backends": 3}})
        cls.d.__enter__()

    @classmethod
    def tearDownClass(cls):
        cls.d.__exit__(None, None, None)

    def get(self, target, **headers):
        return self.d.request("montreal-1", "/s/dossiers" + target,
                              **headers)

    # Guards against truncated answers that look complete: the backend server
    # closes before the last chunk, or before content-length bytes. As nothing
    # has been sent to the caller, the system may retry at another backend
    # server; when all of them truncate, the answer is 502.
    def test_truncated_answers_are_502(self):
        for fault in ("cut-chunked", "short"):
            answer = self.get("/history?bytes=3000&fault=" + fault)
            self.assertEqual(answer.status, 502, fault)
            self.assertEqual(answer.reason, "answer-cut")
            self.assertEqual(answer.outcome, "unknown")
            self.assertIsNotNone(answer.headers["Retry-After"])

    # The same with a large answer, of which the caller already has a part: the
    # connection must break.
    def test_truncated_large_answers_break_the_connection(self):
        for fault in ("cut-chunked", "short"):
            with self.assertRaises(http.client.IncompleteRead):
                self.get("/photo?bytes=4000000&fault=" + fault)

    # An answer that ends with its connection cannot be told from a truncated
    # one.
    def test_close_framed_answer_is_refused(self):
        answer = self.get("/history?bytes=3000&fault=close-framed")
        self.assertEqual(answer.status, 502)
        self.assertEqual(answer.reason, "answer-unframed")
        self.assertEqual(answer.outcome, "ran")

    def get_exact(self, text, number):
        """All servers answer with these bytes, and then close."""
        ends = b"\r\n" if b"\r\n" in text else b"\n"
        text = text.replace(b"@ID", b"").replace(b"@SEAL", b"")
        text = text.replace(b"@SAYS", LEAVING + ends)
        return self.get("/exact/%d?fault=exact&answer=%s" % (
            number, urllib.parse.quote_from_bytes(text, safe="")))

    # Guards against callers that get what is no answer by RFC 9110 and RFC
    # 9112, and against an entry VM that believes the load stated in it: all
    # servers would be leaving.
    def test_what_is_no_answer_is_502(self):
        for number, (name, text) in enumerate(BROKEN.items()):
            if RESET in text:
                continue
            with self.subTest(name):
                answer = self.get_exact(text, number)
                self.assertEqual(answer.status, 502)
                self.assertEqual(answer.outcome, "unknown")
                self.assertEqual(self.get("/sound/%d" % number).status, 200)

    def test_sound_answers_arrive(self):
        for number, (name, text) in enumerate(SOUND.items()):
            if len(text) > 5000:
                continue  # longer than a target
            with self.subTest(name):
                answer = self.get_exact(text.replace(b"@SAYS", b""), number)
                if "no length" in name:
                    self.assertEqual(answer.reason, "answer-unframed")
                    continue
                self.assertIn(answer.status, (200, 299))
                self.assertEqual(answer.body, BODY)

    # Guards against delivering late bytes of an earlier answer to the next
    # caller on that backend connection.
    def test_late_bytes_reach_no_caller(self):
        for number in range(20):
            self.get("/late/%d?fault=late&bytes=200" % number)
            answer = self.get("/own/%d" % number)
            self.assertEqual(answer.status, 200)
            self.assertEqual(answer.json()["target"], "/own/%d" % number)

    # All backend servers send late bytes at the same time, so that any that is
    # used next, or for a retry, has them on its idle connection.
    def test_late_bytes_of_all_servers_reach_no_caller(self):
        threads = [threading.Thread(target=self.get, args=(
            "/late-all/%d?fault=late&ms=100" % number,))
            for number in range(3)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        answer = self.get("/own-of-all")
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.json()["target"], "/own-of-all")

    # Concurrent callers share a few backend connections, and some disconnect
    # early: each of the others gets its own answer.
    def test_answers_are_not_mixed_up(self):
        wrong = []

        def call(number):
            target = "/mix/%d?ms=%d" % (number, number % 7)
            if number % 5 == 0:
                try:
                    self.d.request("montreal-1", "/s/dossiers" + target +
                                   "0", timeout=0.01)
                except OSError:
                    pass
                return
            answer = self.get(target)
            if answer.status != 200 or answer.json()["target"] != target:
                wrong.append((target, answer.status, answer.body))

        threads = [threading.Thread(target=call, args=(number,))
                   for number in range(100)]
        for start in range(0, 100, 8):
            for thread in threads[start:start + 8]:
                thread.start()
            for thread in threads[start:start + 8]:
                thread.join()
        self.assertEqual(wrong, [])

    # When the caller disconnects, its request at the backend server is
    # cancelled.
    def test_a_disconnected_caller_cancels_its_request(self):
        with self.assertRaises(OSError):
            self.d.request("montreal-1", "/s/dossiers/hang?fault=hang",
                           timeout=0.2)
        wait_until(lambda: sum(row["cancelled"]
                               for row in self.d.counts().values()) > 0,
                   "the backend server sees the cancellation")

    # At the caller's deadline a request that was sent to a backend server is
    # answered with outcome "unknown".
    def test_deadline_is_answered_as_unknown(self):
        answer = self.get("/hang?fault=hang", Sas_Deadline_Ms=300)
        self.assertEqual(answer.status, 504)
        self.assertEqual(answer.outcome, "unknown")

    # A full backend server sheds requests without running them. When all are
    # full the request is refused at once as not run.
    def test_shed_requests_were_not_run(self):
        self.d.control_backends("*", slots=1, queue=0)
        before = sum(row["started"] for row in self.d.counts().values())
        threads = [threading.Thread(target=self.hang) for _ in range(3)]
        for thread in threads:
            thread.start()
        try:
            wait_until(lambda: sum(row["started"] for row in
                                   self.d.counts().values()) == before + 3,
                       "every slot is taken")
            answer = self.get("/history", Sas_Request="shed")
            self.assertEqual(answer.status, 503)
            self.assertEqual(answer.outcome, "not-run")
            self.assertIsNotNone(answer.headers["Retry-After"])
            self.assertEqual(sum(row["started"] for row in
                                 self.d.counts().values()), before + 3)
        finally:
            self.d.control_backends("*", slots=3, queue=3)
            for thread in threads:
                thread.join()

    def hang(self):
        self.get("/hang?fault=hang", Sas_Deadline_Ms=2500)

    # Refusals must state their length too; otherwise a client could take
    # "not-run" for a truncated answer.
    def test_refusals_state_their_length(self):
        for path in ("/s/nowhere/x", "/v1/lookup?service=nowhere"):
            answer = self.d.request("montreal-1", path)
            self.assertEqual(answer.status, 404)
            self.assertEqual(int(answer.headers["Content-Length"]),
                             len(answer.body))

    # A POST with a key, on a route that is not "once", must not be retried
    # after a connection reset, as POST is not idempotent in HTTP.
    def test_a_post_is_not_retried(self):
        answer = self.d.request(
            "montreal-1", "/s/dossiers/note?fault=reset-mid", "POST", b"x",
            Idempotency_Key="post-1")
        self.assertEqual(answer.status, 502)
        self.assertEqual(answer.outcome, "unknown")
        self.assertEqual(self.d.count_key("post-1"), 1)


if __name__ == "__main__":
    unittest.main()
