"""Uploads over slow links arrive whole, however long they take."""

import socket
import threading
import time
import unittest

from harness import PATIENCE_S, Deployment

READ_LIMIT_S = 30  # SasCaller_READ_TIMEOUT_MS; no setting changes it
PARTS = READ_LIMIT_S + 6
HEAD = (b"%s /s/dossiers/photo HTTP/1.1\r\nHost: x\r\n"
        b"Content-Length: %d\r\n\r\n")


class SlowUploadsTest(unittest.TestCase):

    def connect(self, d):
        one = socket.create_connection(d.caller_address("montreal-1"))
        one.settimeout(READ_LIMIT_S + PATIENCE_S)
        return one

    def read_answer(self, one):
        answer = b""
        while b"body_hash" not in answer:
            part = one.recv(65536)
            if not part:
                break
            answer += part
        return answer

    def upload(self, d, answers):
        one = self.connect(d)
        try:
            one.sendall(HEAD % (b"POST", PARTS))
            for _ in range(PARTS):
                time.sleep(1)
                one.sendall(b"p")
            answers["slow"] = self.read_answer(one)
        except OSError as error:
            answers["slow"] = repr(error).encode()
        one.close()

    def stay_idle(self, d, answers):
        one = self.connect(d)
        one.sendall(HEAD % (b"GET", 0))
        answers["first"] = self.read_answer(one)
        answers["idle"] = one.recv(1)
        one.close()

    # A crew sends a photo from a cellar, slowly but steadily, for longer
    # than the read time limit. The limit is for senders that have stopped;
    # counted from the request's start it cut off everybody with a slow
    # link. Connections on which nothing comes still end by it.
    def test_the_read_limit_is_for_those_who_stopped(self):
        with Deployment(regions=("montreal",), vms=1,
                        services={"dossiers": {"deadline_ms": 60000}}) as d:
            answers = {}
            threads = [threading.Thread(target=run, args=(d, answers))
                       for run in (self.upload, self.stay_idle)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            self.assertIn(b" 200 ", answers["slow"].split(b"\r\n")[0])
            self.assertIn(b'"body_bytes":%d' % PARTS, answers["slow"])
            self.assertIn(b" 200 ", answers["first"].split(b"\r\n")[0])
            self.assertEqual(answers["idle"], b"")


if __name__ == "__main__":
    unittest.main()
