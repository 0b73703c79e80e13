"""Graceful shutdown while requests are still arriving and answers are still
being read."""

import http.client
import signal
import socket
import unittest

from harness import TOKEN, Deployment, wait_until

HEAD = ("POST /s/dossiers/%s HTTP/1.1\r\nHost: x\r\n"
        "Content-Length: %d\r\n\r\n")
BODY = b"p" * 200000
ANSWER_BYTES = 200000   # more than a slow caller reads at once
WINDOW_BYTES = 4096     # receive buffer of such a caller
STORE_MS = 600    # store latency: above the drain notice, below the timeouts
                  # of the test
HEADER = "time,service,from,to,share,cap,drain,limits\n"  # no row


def format_get(target):
    return ("GET /s/dossiers%s HTTP/1.1\r\nHost: x\r\n\r\n" % target).encode()


class StoppingTest(unittest.TestCase):

    def begin_upload(self, d, name):
        upload = socket.create_connection(d.caller_address("montreal-1"))
        upload.settimeout(30)
        upload.sendall((HEAD % (name, len(BODY))).encode())
        upload.sendall(BODY[:len(BODY) // 2])
        return upload

    def end_upload(self, upload):
        upload.sendall(BODY[len(BODY) // 2:])
        answer = b""
        while b"body_hash" not in answer:
            part = upload.recv(65536)
            if not part:
                break
            answer += part
        upload.close()
        return answer

    # Guards against exiting during an upload: half of the body has arrived at
    # SIGTERM, and the rest follows when new requests are already refused. h2o
    # passes a request on only with its complete body, so that the rest of the
    # node does not know of this one.
    def test_an_upload_in_progress_completes(self):
        with Deployment(regions=("montreal",), vms=2,
                        limits={"drain_notice_ms": 300}) as d:
            upload = self.begin_upload(d, "photo")
            d.kill("montreal-1", signal.SIGTERM)
            refused = wait_until(lambda: self.is_refused(d),
                                 "new requests are refused")
            self.assertEqual(refused.outcome, "not-run")
            answer = self.end_upload(upload)
            self.assertIn(b" 200 ", answer.split(b"\r\n")[0])
            self.assertIn(b'"body_bytes":%d' % len(BODY), answer)
            self.assertEqual(d.nodes["montreal-1"].wait(), 0)

    def connect_slowly(self, d):
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        caller.settimeout(30)
        caller.connect(d.caller_address("montreal-1"))
        return caller

    def begin_stop(self, d):
        """Sends SIGTERM while a request keeps the process from exiting."""
        wait_until(lambda: d.loads()[0]["running"] +
                   d.loads()[1]["running"] > 0, "a request in progress")
        d.kill("montreal-1", signal.SIGTERM)
        wait_until(lambda: d.health("montreal-1") == 503, "a stop")

    def read_whole(self, caller):
        answer = http.client.HTTPResponse(caller)
        answer.begin()
        return answer.status, len(answer.read())

    # Guards against an answer that is lost to the end of the process while its
    # caller still reads it.
    def test_an_answer_that_is_read_slowly_is_whole(self):
        with Deployment(regions=("montreal",), vms=1) as d:
            caller = self.connect_slowly(d)
            caller.sendall(format_get("/a?ms=600&bytes=%d" % ANSWER_BYTES))
            self.begin_stop(d)
            self.assertEqual(d.nodes["montreal-1"].wait(), 0)
            self.assertEqual(self.read_whole(caller), (200, ANSWER_BYTES))

    # Guards against an answer that is lost when its connection is closed with
    # unread bytes of a further request, which resets it.
    def test_an_answer_with_a_request_behind_it_is_whole(self):
        with Deployment(regions=("montreal",), vms=1) as d:
            caller = self.connect_slowly(d)
            caller.sendall(format_get("/a?ms=600&bytes=%d" % ANSWER_BYTES))
            self.begin_stop(d)
            caller.sendall(format_get("/b"))
            self.assertEqual(d.nodes["montreal-1"].wait(), 0)
            self.assertEqual(self.read_whole(caller), (200, ANSWER_BYTES))

    # Guards against an operator's change without an answer when the process
    # ends while the store still handles it.
    def test_a_change_that_waits_for_the_store_is_answered(self):
        with Deployment(regions=("montreal",), vms=1) as d:
            d.control_platform(delay_ms=STORE_MS)
            change = http.client.HTTPConnection(
                d.ip, d.vms["montreal-1"][1][2], timeout=30)
            self.addCleanup(change.close)
            change.request("PUT", "/v1/sheet", HEADER,
                           {"Authorization": "Bearer " + TOKEN})
            d.status("montreal-1")  # answered: the change has been read
            d.kill("montreal-1", signal.SIGTERM)
            self.assertEqual(change.getresponse().status, 200)
            self.assertEqual(d.nodes["montreal-1"].wait(), 0)

    # Guards against running a request that follows a closing answer on its
    # connection: its own answer could not be sent.
    def test_a_request_behind_a_closing_answer_is_not_run(self):
        with Deployment(regions=("montreal",), vms=1) as d:
            with socket.create_connection(
                    d.caller_address("montreal-1")) as caller:
                caller.settimeout(30)
                caller.sendall(format_get("/a?ms=600&bytes=10") +
                               format_get("/b?bytes=10"))
                self.begin_stop(d)
                answers = caller.makefile("rb").read()
            self.assertEqual(answers.count(b"HTTP/1.1 200 "), 1)
            self.assertEqual(sum(row["started"]
                                 for row in d.counts().values()), 1)
            self.assertEqual(d.nodes["montreal-1"].wait(), 0)

    def is_refused(self, d):
        answer = d.request("montreal-1", "/s/dossiers/late")
        return answer if answer.reason == "stopping" else None


if __name__ == "__main__":
    unittest.main()
