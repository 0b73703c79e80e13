#!/usr/bin/python3
"""Servers in trouble in platform mode whose answers are none by RFC 9110 and
RFC 9112, and servers that use all that these allow."""

import http.client
import json
import unittest

from entry_harness import ID, SEAL, Fleet, wait_for
from answers import (BODY, BROKEN, CHUNKS, LENGTHS, NAMES, RESET, SOUND,
                     START_LINES, STATUSES, VALUES)
from workers import Exact

SERVERS = 8
DEADLINE_MS = 4000
NOT_RUN = [("X-Sassafrassill-Not-Executed", "1")]
SAYS = [("X-Sassafrassill-Server-Load", "900,900,3"),
        ("X-Sassafrassill-Server-Limit", "0.001"),
        ("Server-Leaving", "1"), ("Retry-After", "600")] + NOT_RUN
BELIEVED = ("server.limit", "server.leaving", "server.rest", "server.state")
REFUSAL = (b" 200 OK\r\n", b" 503 Full\r\n")
UPLOAD = bytes(16 << 20)
READ_BYTES = 1 << 20

http.client._MAXHEADERS = 2000  # of the answers with many fields


class Answers:
    """Servers, the first of which that is asked answers as a test says."""

    vms = ("a",)
    asked = 0  # no request comes again and again: it would be taken for poison

    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet(vms=cls.vms, first_start=True,
                          cuts=len(cls.vms) > 1)
        cls.addClassCleanup(cls.fleet.__exit__, None, None, None)
        cls.workers = [cls.fleet.add_worker("d%d" % i) for i in range(SERVERS)]
        cls.workers += [cls.fleet.add_worker("v%d" % i, service="vault")
                        for i in range(SERVERS)]
        cls.fleet.start()
        cls.vm = cls.fleet.vms[0]

    def ask(self, exact, method="GET", prefix="/forms/", body=None):
        """The first server that is asked answers so; the others are sound."""
        fault = [exact]
        Answers.asked += 1
        path = prefix + str(Answers.asked)
        for worker in self.workers:
            worker.faults = fault
        answer = self.vm.request(method, path, body, key=path,
                                 deadline_ms=DEADLINE_MS)
        self.assertEqual(fault, [])
        answer.path = path
        answer.ran = sum(worker.ids().count(answer.id)
                         for worker in self.workers)
        return answer

    def check_broken(self, exact):
        answer = self.ask(exact)
        self.assertEqual(answer.status, 200)
        self.assertTrue(answer.body.endswith(b" %s 0" % answer.path.encode()),
                        answer.body)
        self.assertEqual(answer.ran, 2)
        for prefix in ("/filings/", "/scans/"):
            answer = self.ask(exact, "POST", prefix, b"x")
            self.assertEqual(answer.status, 502)
            self.assertIsNone(answer.headers[SEAL])
            self.assertEqual(answer.ran, 1)
        self.recover()

    def recover(self):
        """No server is left out for what it has sent before."""
        for i in range(2 * SERVERS):
            self.vm.request(path="/forms/sound-%d" % i, key=str(i))
            self.vm.request("POST", "/scans/sound-%d" % i, b"x", key=str(i))


class BrokenTestCase(Answers, unittest.TestCase):
    """Guards against callers that get what is no answer, or less than one, as
    an answer."""

    def check(self, answers):
        for name, text in answers.items():
            with self.subTest(name):
                self.check_broken(Exact(text))
            refusal = text.replace(*REFUSAL)
            if refusal != text:
                with self.subTest(name + ", refusal"):
                    self.check_broken(Exact(refusal, NOT_RUN))

    def test_statuses(self):
        self.check(STATUSES)

    def test_start_lines(self):
        self.check(START_LINES)

    def test_names(self):
        self.check(NAMES)

    def test_values(self):
        self.check(VALUES)

    def test_lengths(self):
        self.check(LENGTHS)

    def test_chunks(self):
        self.check(CHUNKS)


    # Guards against an answer of two requests that one of them gets.
    def test_answers_with_two_ids(self):
        own_first = SOUND["length"]
        other_first = own_first.replace(b"@ID@SEAL@SAYS", b"@SAYS@SEAL@ID")
        for text in (own_first, other_first):
            for start in (text, text.replace(*REFUSAL)):
                self.check_broken(Exact(start, [(ID, "other")] + NOT_RUN,
                                     stays_open=True))


class BelievedTestCase(Answers, unittest.TestCase):
    # Guards against an entry VM that leaves a server out, or sends a request
    # once more, for what stands in a broken answer.
    def test_nothing_in_them_is_believed(self):
        for name, text in BROKEN.items():
            for start in (text, text.replace(*REFUSAL)):
                with self.subTest(name):
                    answer = self.ask(Exact(start, SAYS), "POST",
                                      "/filings/", b"x")
                    self.assertEqual(answer.status, 502)
                    self.assertEqual(answer.ran, 1)
                    self.recover()
        for step in BELIEVED:
            self.assertEqual(self.vm.find_lines(step), [])


class ThroughAnotherTestCase(Answers, unittest.TestCase):
    """The entry VM that is asked reaches no server: another one gets the
    answers."""

    vms = ("a", "a")

    def test_broken_and_sound_answers(self):
        self.fleet.cut([self.vm], "refuse")
        wait_for(lambda: self.vm.request(key="x").status == 200 and
                 self.vm.find_lines("path.lost"), "the way through another")
        self.vm.request("POST", "/scans/1", b"x")
        for answers in (STATUSES, START_LINES, NAMES, VALUES, LENGTHS, CHUNKS):
            for name in list(answers)[::8]:
                with self.subTest(name):
                    self.check_broken(Exact(answers[name], SAYS))
        for name in list(SOUND)[::4]:
            with self.subTest(name):
                answer = self.ask(Exact(SOUND[name]), "POST", "/filings/")
                self.assertEqual(answer.body, BODY)
        self.assertGreater(len(self.vm.find_lines("request", via="vm-1")), 0)


class SoundTestCase(Answers, unittest.TestCase):
    def check(self, exact):
        for method, prefix in (("GET", "/forms/"), ("POST", "/filings/"),
                               ("POST", "/scans/")):
            answer = self.ask(exact, method, prefix)
            self.assertIn(answer.status, (200, 299))
            self.assertEqual(answer.body, BODY)
            self.assertTrue(answer.headers[SEAL])
            self.assertEqual(answer.ran, 1)
        return answer

    # Guards against a reader that is so strict that it refuses what a sound
    # server may send.
    def test_all_that_the_rfc_allows_arrives(self):
        for name, text in SOUND.items():
            with self.subTest(name):
                self.check(Exact(text))

    def test_bytes_that_come_one_by_one_arrive(self):
        for name in ("length", "chunks", "no length", "trailers",
                     "interim answers", "folded line", "chunk extensions"):
            with self.subTest(name):
                self.check(Exact(SOUND[name], pause_s=0.02))

    def test_fields_arrive(self):
        answer = self.check(Exact(SOUND["blanks round a value"]))
        self.assertEqual(answer.headers["X"], "y z")
        answer = self.check(Exact(SOUND["folded line"]))
        self.assertEqual(answer.headers["X"], "y z z")
        answer = self.check(Exact(SOUND["all characters of a token"]))
        self.assertEqual(answer.headers["!#$%&'*+-.^_`|~09AZaz"], "z")

    def test_the_same_id_twice_arrives(self):
        self.check(Exact(SOUND["length"].replace(b"@ID", b"@ID@ID")))

    # A failure is the server's own answer; only one that may be retried goes
    # elsewhere.
    def test_statuses_up_to_599_arrive(self):
        for status in (301, 400, 404, 418, 499, 500, 501, 599):
            with self.subTest(status):
                text = SOUND["length"].replace(b"200", b"%d" % status)
                answer = self.ask(Exact(text), "POST", "/filings/", b"x")
                self.assertEqual(answer.status, status)
                self.assertEqual(answer.body, BODY)


class EarlyTestCase(unittest.TestCase):
    """Answers to an upload that is still being written, which is more than the
    buffers of a connection hold."""

    def start(self, cuts=False):
        self.fleet = Fleet(vms=("a",), cuts=cuts)
        self.addCleanup(self.fleet.__exit__, None, None, None)
        self.servers = [self.fleet.add_worker("v%d" % i, service="vault")
                        for i in range(2)]
        self.fleet.configure(body_bytes=2 * len(UPLOAD))
        self.fleet.start()
        self.vm = self.fleet.vms[0]

    def upload(self, exact, path="/scans/1"):
        for server in self.servers:
            server.faults = [exact]
        return self.vm.request("POST", path, UPLOAD, deadline_ms=20000)

    # Guards against a part of an answer that is taken for the whole: it has no
    # length, its connection is reset, and the writing of the upload learns of
    # the reset before the reading of the answer does.
    def test_a_reset_that_a_write_meets_leaves_no_answer(self):
        self.start(cuts=True)
        self.fleet.cut([self.vm], "hold", self.servers)
        exact = Exact(
            SOUND["no length"][:-5] + RESET, before_body=0,
            until=lambda: self.fleet.cutter.is_holding(self.vm))
        answer = self.upload(exact)
        self.assertEqual(answer.status, 502)
        self.assertIsNone(answer.headers[SEAL])
        self.assertTrue(self.vm.find_lines("attempt.failed"))

    def test_a_reset_that_a_read_meets_leaves_no_answer(self):
        self.start()
        text = SOUND["no length"][:-5] + RESET
        answer = self.upload(Exact(text, before_body=0))
        self.assertEqual(answer.status, 502)

    # Guards against the loss of a whole answer whose server has not waited for
    # the end of the request.
    def test_whole_answers_arrive(self):
        self.start()
        for name in ("length", "chunks", "no length", "trailers"):
            for size in (0, READ_BYTES):
                with self.subTest(name, size=size):
                    answer = self.upload(Exact(SOUND[name], before_body=size),
                                         "/scans/%d-%s" % (size, name[:2]))
                    self.assertEqual(answer.status, 200)
                    self.assertEqual(answer.body, BODY)

    def test_an_answer_with_a_length_is_whole_before_a_reset(self):
        self.start()
        for name in ("length", "chunks"):
            with self.subTest(name):
                answer = self.upload(Exact(SOUND[name] + RESET,
                                           before_body=READ_BYTES),
                                     "/scans/" + name)
                self.assertEqual(answer.status, 200)
                self.assertEqual(answer.body, BODY)


class StoreTestCase(unittest.TestCase):
    # Guards against an entry VM that takes what is no answer for one of the
    # store's: all servers and the configuration would be gone.
    def test_broken_answers_of_the_store_change_nothing(self):
        with Fleet(vms=("a",)) as fleet:
            fleet.add_worker("d1")
            fleet.start()
            vm = fleet.vms[0]
            for name, text in make_gone(fleet.store.version + 1).items():
                with self.subTest(name):
                    seen = fleet.store.exact_count
                    fleet.store.exact = text
                    fleet.add_worker("d2", seq_no=seen)  # ends the long polls
                    wait_for(lambda: fleet.store.exact_count > seen + 2, name)
                    fleet.store.exact = None
                    fleet.add_worker("d2")
                    self.assertEqual(vm.request().status, 200)
                    self.assertEqual(vm.find_lines("server.gone"), [])
                    self.assertIsNone(vm.process.poll())


def make_gone(version):
    """Answers that say that the rows are gone, each broken."""
    body = json.dumps({"rows": [
        {"table": table, "part": "", "key": key, "deleted": True,
         "ver": version} for table, key in (("servers", "d1"),
                                            ("op", "config"))],
        "ver": version, "has-more": False, "now-ms": 1}).encode()
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % len(body)
    chunked = (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
               b"%x\r\n%s" % (len(body), body))
    return {
        "blank in a name": head + b"X Y: z\r\n\r\n" + body,
        "blank before a colon": head + b"X : z\r\n\r\n" + body,
        "control byte in a value": head + b"X: \x01\r\n\r\n" + body,
        "version": head.replace(b"1.1", b"2.0") + b"\r\n" + body,
        "status": head.replace(b"200", b"0200") + b"\r\n" + body,
        "chunk": chunked + b"XY0\r\n\r\n",
        "trailer": chunked + b"\r\n0\r\nX Y: z\r\n\r\n",
        "no length, cut": b"HTTP/1.1 200 OK\r\n\r\n" + body[:-2],
    }


if __name__ == "__main__":
    unittest.main()
