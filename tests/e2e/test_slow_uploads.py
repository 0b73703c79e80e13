"""Slow uploads arrive completely, however long they take."""

import socket
import threading
import time
import unittest

from harness import WAIT_LIMIT_S, Deployment

READ_LIMIT_S = 30  # SasCaller_READ_TIMEOUT_MS; no setting changes it
PARTS = READ_LIMIT_S + 6
HEAD = (b"%s /s/dossiers/photo HTTP/1.1\r\nHost: x\r\n"
        b"Content-Length: %d\r\n\r\n")


class SlowUploadsTest(unittest.TestCase):

    def connect(self, d):
        connection = socket.create_connection(d.caller_address("montreal-1"))
        connection.settimeout(READ_LIMIT_S + WAIT_LIMIT_S)
        return connection

    def read_answer(self, connection):
        answer = b""
        while b"body_hash" not in answer:
            part = connection.recv(65536)
            if not part:
                break
            answer += part
        return answer

    def upload(self, d, answers):
        connection = self.connect(d)
        try:
            connection.sendall(HEAD % (b"POST", PARTS))
            for _ in range(PARTS):
                time.sleep(1)
                connection.sendall(b"p")
            answers["slow"] = self.read_answer(connection)
        except OSError as error:
            answers["slow"] = repr(error).encode()
        connection.close()

    def stay_idle(self, d, answers):
        connection = self.connect(d)
        connection.sendall(HEAD % (b"GET", 0))
        answers["first"] = self.read_answer(connection)
        answers["idle"] = connection.recv(1)
        connection.close()

    # Guards against a read timeout that counts from the request's start and
    # interrupts slow but steady uploads. It must count from the last byte; it
    # still closes idle connections.
    def test_the_read_timeout_is_only_for_stalled_senders(self):
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
