"""A planned stop while requests are still arriving."""

import signal
import socket
import unittest

from harness import Deployment, wait_until

HEAD = ("POST /s/dossiers/%s HTTP/1.1\r\nHost: x\r\n"
        "Content-Length: %d\r\n\r\n")
BODY = b"p" * 200000


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

    # A crew sends a photo over a slow link. Half of it has arrived when its
    # entry VM is told to stop, and the rest comes after the time in which
    # the VM still takes new requests. h2o hands a request over only when its
    # body is whole, so nothing else of the node knows of this one: the
    # process would end, and the crew's connection would break.
    def test_an_upload_that_is_still_arriving_is_not_cut_off(self):
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

    def is_refused(self, d):
        answer = d.request("montreal-1", "/s/dossiers/late")
        return answer if answer.reason == "stopping" else None


if __name__ == "__main__":
    unittest.main()
