"""Every caller gets the whole answer to its own request, or sees that it
does not."""

import http.client
import threading
import unittest

from harness import Deployment, wait_until


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

    # A crew would read half a job history as if it were whole. The backend
    # server dies before the end of its answer: before the last chunk, or
    # before the bytes that content-length promised. Nothing has gone out to
    # the caller yet, so the system may ask another backend server, and when
    # all of them break it says so.
    def test_cut_answers_never_look_whole(self):
        for fault in ("cut-chunked", "short"):
            answer = self.get("/history?bytes=3000&fault=" + fault)
            self.assertEqual(answer.status, 502, fault)
            self.assertEqual(answer.reason, "answer-cut")
            self.assertEqual(answer.outcome, "unknown")
            self.assertIsNotNone(answer.headers["Retry-After"])

    # The same with a large answer: its first part is with the caller
    # already, so the connection has to break visibly.
    def test_cut_after_the_first_part_breaks_the_connection(self):
        for fault in ("cut-chunked", "short"):
            with self.assertRaises(http.client.IncompleteRead):
                self.get("/photo?bytes=4000000&fault=" + fault)

    # An answer that only the end of its connection ends may have been cut
    # anywhere; nobody could tell.
    def test_close_framed_answer_is_refused(self):
        answer = self.get("/history?bytes=3000&fault=close-framed")
        self.assertEqual(answer.status, 502)
        self.assertEqual(answer.reason, "answer-unframed")
        self.assertEqual(answer.outcome, "ran")

    # A backend server sends bytes of an earlier answer late. The next
    # caller on that connection would read them as its own answer.
    def test_late_bytes_reach_nobody(self):
        for number in range(20):
            self.get("/late/%d?fault=late&bytes=200" % number)
            answer = self.get("/own/%d" % number)
            self.assertEqual(answer.status, 200)
            self.assertEqual(answer.json()["target"], "/own/%d" % number)

    # All backend servers send late bytes at the same time, so that whichever
    # is asked next, and after it, has them on its kept connection.
    def test_late_bytes_of_all_servers_reach_nobody(self):
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

    # Many callers at a time over the same few backend connections, some of
    # which give up half way: each of the others still gets its own answer.
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

    # A caller goes away; the backend server must not work on for nobody.
    def test_a_caller_that_goes_cancels_its_request(self):
        with self.assertRaises(OSError):
            self.d.request("montreal-1", "/s/dossiers/hang?fault=hang",
                           timeout=0.2)
        wait_until(lambda: sum(row["cancelled"]
                               for row in self.d.counts().values()) > 0,
                   "the backend server sees the cancellation")

    # The deadline that the caller states is kept, and its answer comes then
    # with the truth: it was sent, so nobody knows whether it ran.
    def test_deadline_is_answered_as_unknown(self):
        answer = self.get("/hang?fault=hang", Sas_Deadline_Ms=300)
        self.assertEqual(answer.status, 504)
        self.assertEqual(answer.outcome, "unknown")

    # A backend server without room says so; nothing ran there. With all of
    # them full the caller is told at once that its request was not run.
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

    # The system's own refusals have to be whole by their framing too; a
    # careful client would otherwise take "not run" for a cut answer.
    def test_refusals_state_their_length(self):
        for path in ("/s/nowhere/x", "/v1/lookup?service=nowhere"):
            answer = self.d.request("montreal-1", path)
            self.assertEqual(answer.status, 404)
            self.assertEqual(int(answer.headers["Content-Length"]),
                             len(answer.body))

    # A POST that may repeat by its own rules but not by HTTP's: it is sent,
    # the connection is reset, and it must not be sent again.
    def test_a_post_is_not_repeated(self):
        answer = self.d.request(
            "montreal-1", "/s/dossiers/note?fault=reset-mid", "POST", b"x",
            Idempotency_Key="post-1")
        self.assertEqual(answer.status, 502)
        self.assertEqual(answer.outcome, "unknown")
        self.assertEqual(self.d.count_key("post-1"), 1)


if __name__ == "__main__":
    unittest.main()
