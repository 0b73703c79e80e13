"""Bad input at any port gets a clear error and affects no other request."""

import errno
import http.client
import io
import random
import socket
import threading
import unittest

from harness import TOKEN, WAIT_LIMIT_S, Deployment, wait_until

BODY_LIMIT = 1000000
READ_LIMIT_S = 30  # SasCaller_READ_TIMEOUT_MS; no setting changes it
HEAD = b"%s %s HTTP/1.1\r\nHost: x\r\n%s\r\n"
AUTHORIZATION = b"Authorization: Bearer " + TOKEN.encode() + b"\r\n"


def head(target, method=b"GET", *lines):
    return HEAD % (method, target, b"".join(line + b"\r\n" for line in lines))


def parse(raw):
    """Parses the first answer: status, headers, body."""

    class Source:
        def makefile(self, *unused):
            return io.BytesIO(raw)

    answer = http.client.HTTPResponse(Source())
    answer.begin()
    return answer.status, answer.headers, answer.read()


class Caller:
    """A normal caller that checks that each answer is complete and its own."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.wrong = []
        self.count = 0
        self.stopped = False
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        while not self.stopped:
            target = "/own/%d?bytes=2000" % self.count
            answer = self.deployment.request("montreal-1",
                                             "/s/dossiers" + target)
            whole = (target * 200)[:2000].encode()
            if answer.status != 200 or answer.body != whole:
                self.wrong.append((target, answer.status, answer.body[:80]))
            self.count += 1

    def stop(self):
        self.stopped = True
        self.thread.join()


class BadInputTest(unittest.TestCase):

    @classmethod
    def setUpClass(cls):
        cls.d = Deployment(
            regions=("montreal", "quebec"), vms=1,
            services={"dossiers": {"once": ["/visits"]}},
            limits={"body_limit_mb": BODY_LIMIT // 10**6,
                    "bodies_limit_mb": 8})
        cls.d.__enter__()
        ports = cls.d.vms["montreal-1"][1]
        cls.ports = dict(zip(("caller", "peer", "admin"),
                             ((cls.d.ip, port) for port in ports)))

    @classmethod
    def tearDownClass(cls):
        cls.d.__exit__(None, None, None)

    def setUp(self):
        self.normal = Caller(self.d)

    def tearDown(self):
        """After each test the normal caller has got only correct answers and
        continues to get them, and the entry VM has not exited."""
        before = self.normal.count
        try:
            wait_until(lambda: self.normal.count > before + 5 or
                       not self.normal.thread.is_alive(),
                       "further answers to the normal caller")
        finally:
            self.normal.stop()
        self.assertEqual(self.normal.wrong, [])
        self.assertGreater(self.normal.count, before + 5)
        self.assertIsNone(self.d.nodes["montreal-1"].process.poll())

    def send(self, data, port="caller", end=True):
        """Sends the data and returns the bytes received until the other end
        closes. end: half-close the connection after the data."""
        source = (self.d.ip if port == "peer" else "127.0.0.1", 0)
        sent = socket.create_connection(self.ports[port],
                                        WAIT_LIMIT_S + READ_LIMIT_S, source)
        received = b""
        try:
            sent.sendall(data)
            if end:
                sent.shutdown(socket.SHUT_WR)
            while True:
                part = sent.recv(65536)
                if not part:
                    break
                received += part
        except OSError as error:
            # The other end closed the connection before all data was sent.
            if error.errno not in (errno.EPIPE, errno.ECONNRESET,
                                   errno.ENOTCONN):
                raise
        finally:
            sent.close()
        return received

    def exchange(self, *request, port="caller", body=b""):
        """Sends one request on a new connection; returns its answer."""
        target, *rest = request
        method, *lines = rest or [b"GET"]
        raw = self.send(head(target, method, b"Connection: close", *lines) +
                        body, port, end=False)
        return parse(raw)

    def count_started(self):
        return sum(row["started"] for row in self.d.counts().values())

    def check_refused(self, answer, status, reason):
        self.assertEqual(answer[0], status, answer)
        self.assertEqual(answer[1]["Sas-Reason"], reason)
        self.assertEqual(answer[1]["Sas-Outcome"], "not-run")

    def check_not_run(self, key):
        self.assertEqual(self.d.count_key(key), 0)

    def counter(self, name, label=""):
        return self.d.counter("montreal-1", name, label)

    # Callers' requests.

    # A request whose connection ends before it is complete does not run,
    # whatever the number of bytes sent.
    def test_truncated_requests_do_not_run(self):
        whole = head(b"/s/dossiers/cut", b"POST", b"Idempotency-Key: cut-1",
                     b"Content-Length: 10") + b"0123456789"
        for size in range(1, len(whole)):
            self.send(whole[:size])
        self.check_not_run("cut-1")

    # A body over the limit is refused by its stated length, or as soon as
    # its chunks exceed the limit; none of it reaches a backend server.
    def test_oversized_bodies_are_refused(self):
        errors = self.counter("sas_http_errors_total", 'port="caller"')
        stated = self.send(head(b"/s/dossiers/x", b"POST",
                                b"Idempotency-Key: big-1",
                                b"Content-Length: %d" % (BODY_LIMIT + 1)),
                           end=False)
        self.assertEqual(parse(stated)[0], 413)
        chunk = b"%x\r\n%s\r\n" % (BODY_LIMIT + 1, b"x" * (BODY_LIMIT + 1))
        chunked = self.send(head(b"/s/dossiers/x", b"POST",
                                 b"Idempotency-Key: big-1",
                                 b"Transfer-Encoding: chunked") + chunk)
        # The reset that follows may discard the answer.
        self.assertIn(chunked[:12], (b"HTTP/1.1 413", b""))
        self.check_not_run("big-1")
        wait_until(lambda: self.counter(
            "sas_http_errors_total", 'port="caller"') >= errors + 2,
            "both to be counted")
        at_limit = self.exchange(b"/s/dossiers/x", b"POST",
                                 b"Content-Length: %d" % BODY_LIMIT,
                                 body=b"y" * BODY_LIMIT)
        self.assertEqual(at_limit[0], 200)

    # Guards against passing on oversized headers: a backend server refuses
    # them by closing its connection, and the outcome would be "unknown".
    def test_header_floods_are_refused(self):
        long_one = self.exchange(b"/s/dossiers/x", b"POST",
                                 b"Idempotency-Key: flood-1",
                                 b"Content-Length: 0",
                                 b"A: " + b"a" * 100000)
        self.check_refused(long_one, 400, "bad-request")
        many = self.send(head(b"/s/dossiers/x", b"POST",
                              b"Idempotency-Key: flood-1",
                              b"Content-Length: 0",
                              *[b"A%d: a" % i for i in range(300)]))
        self.assertEqual(parse(many)[0], 400)
        self.send(b"GET /s/dossiers/x HTTP/1.1\r\nA: " + b"a" * 3000000)
        self.check_not_run("flood-1")

    # Pipelined requests, the slowest first, are answered in order.
    def test_pipelined_requests_are_answered_in_order(self):
        targets = ["/p/%d?ms=%d" % (i, 40 - 4 * i) for i in range(10)]
        raw = self.send(b"".join(
            head(b"/s/dossiers" + target.encode(), b"GET",
                 *([b"Connection: close"] if target == targets[-1] else []))
            for target in targets), end=False)
        at = 0
        for target in targets:
            found = raw.find(b'"target":"%s"' % target.encode(), at)
            self.assertGreaterEqual(found, at, raw[at:at + 300])
            at = found
        self.assertEqual(raw.count(b"HTTP/1.1 200"), len(targets))

    # Guards against running a request without the idempotency key or the
    # deadline that its caller meant.
    def test_wrong_headers_are_refused(self):
        refused = self.counter("sas_refusals_total", 'reason="bad-request"')
        wrong = [b"Sas-Deadline-Ms: soon", b"Sas-Deadline-Ms: -1",
                 b"Sas-Deadline-Ms: 5s", b"Sas-Deadline-Ms: ",
                 b"Idempotency-Key: ", b"Idempotency-Key: a b",
                 b"Idempotency-Key: " + b"k" * 129,
                 b"Idempotency-Key: \xc3\xa9", b"Sas-Caller: ",
                 b"Sas-Caller: " + b"c" * 129]
        for line in wrong:
            answer = self.exchange(b"/s/dossiers/visits/1", b"POST",
                                   b"Content-Length: 0", line)
            self.check_refused(answer, 400, "bad-request")
        self.assertEqual(
            self.counter("sas_refusals_total", 'reason="bad-request"'),
            refused + len(wrong))
        over = self.exchange(b"/s/dossiers/x", b"GET", b"Sas-Deadline-Ms: 0")
        self.check_refused(over, 504, "deadline")
        longest = self.exchange(b"/s/dossiers/x", b"GET",
                                b"Sas-Deadline-Ms: 99999999999999999999")
        self.assertEqual(longest[0], 200)

    # Guards against requests that avoid the duplicate check of a "once" route
    # by another spelling of the path, which many servers normalize.
    def test_a_once_route_matches_every_spelling_of_its_path(self):
        self.normal.stop()
        before = self.count_started()
        for target in (b"/visits/1", b"/./visits/1", b"/x/../visits/1",
                       b"/%76isits/1", b"//visits/1", b"/visits/../visits/1",
                       b"/visits", b"/visits?a=/../b"):
            answer = self.exchange(b"/s/dossiers" + target, b"POST",
                                   b"Content-Length: 0")
            self.check_refused(answer, 400, "key-missing")
        out = self.exchange(b"/s/dossiers/../galerie/x", b"POST",
                            b"Content-Length: 0")
        self.check_refused(out, 400, "bad-request")
        self.assertEqual(self.count_started(), before)
        self.normal = Caller(self.d)

    def test_unknown_services_and_paths_are_refused(self):
        for target in (b"/s/nowhere/x", b"/s/", b"/s", b"/s/" + b"d" * 300,
                       b"/s/%00/x", b"/v1/lookup",
                       b"/v1/lookup?service=nowhere"):
            answer = self.exchange(target)
            self.check_refused(answer, 404, "unknown-service")
        self.assertEqual(self.exchange(b"/nowhere")[0], 404)
        wrong = self.exchange(b"/v1/lookup?service=dossiers&address=here")
        self.check_refused(wrong, 400, "bad-request")

    # Lookups and health are read-only. Unknown methods must not be passed on:
    # the answer of a server does not tell whether they ran.
    def test_wrong_methods_are_refused(self):
        refused = self.counter("sas_refusals_total", 'reason="method"')
        cases = [(b"/v1/lookup?service=dossiers", b"POST"),
                 (b"/v1/health", b"DELETE"), (b"/s/dossiers/x", b"BREW"),
                 (b"/s/dossiers/x", b"TRACE"), (b"/s/dossiers/x", b"get")]
        for target, method in cases:
            answer = self.exchange(target, method, b"Content-Length: 0")
            self.check_refused(answer, 405, "method")
        self.assertEqual(
            self.counter("sas_refusals_total", 'reason="method"'),
            refused + len(cases))
        for method in (b"GET", b"HEAD", b"POST", b"PUT", b"PATCH", b"DELETE",
                       b"OPTIONS"):
            raw = self.send(head(b"/s/dossiers/x", method,
                                 b"Connection: close", b"Content-Length: 0"),
                            end=False)
            self.assertIn(b"HTTP/1.1 200", raw)

    def test_broken_framing_is_refused(self):
        for lines, body in (((b"Content-Length: abc",), b""),
                            ((b"Content-Length: -5",), b""),
                            ((b"Transfer-Encoding: gzip",), b"x"),
                            ((b"Transfer-Encoding: chunked",), b"zz\r\n")):
            raw = self.send(head(b"/s/dossiers/x", b"POST",
                                 b"Idempotency-Key: frame-1", *lines) + body)
            self.assertEqual(parse(raw)[0], 400, raw)
        self.check_not_run("frame-1")

    # Operators' calls.

    def test_admin_port_explains_errors(self):
        sheet = b"time,service,from,to,share,cap,drain,limits\n"
        for method, target, lines, body, status in (
                (b"DELETE", b"/v1/sheet", (), b"", 405),
                (b"POST", b"/v1/status", (), b"", 405),
                (b"GET", b"/v1/drain", (), b"", 405),
                (b"POST", b"/v1/drain", (), b"", 400),
                (b"POST", b"/v1/drain?target=nobody", (), b"", 404),
                (b"PUT", b"/v1/sheet", (b"Sas-Operation: a/b",), sheet, 400),
                (b"PUT", b"/v1/sheet", (b"Sas-Operator: a b",), sheet, 400),
                (b"PUT", b"/v1/sheet", (b"If-Match: new",), sheet, 400),
                (b"PUT", b"/v1/sheet", (), b"\x00\xff\xfe\n", 422),
                (b"PUT", b"/v1/sheet", (), b"", 422),
                (b"PUT", b"/v1/sheet", (), sheet + b"+0,dossiers\n", 422)):
            answer = self.exchange(
                target, method, AUTHORIZATION.strip(), *lines,
                b"Content-Length: %d" % len(body), port="admin", body=body)
            self.assertEqual(answer[0], status, (method, target, lines))
            self.assertIn(b'"reason"', answer[2])
        large = self.send(head(b"/v1/sheet", b"PUT", AUTHORIZATION.strip(),
                               b"Content-Length: 900000000"), "admin",
                          end=False)
        self.assertEqual(parse(large)[0], 413)
        self.assertEqual(self.d.status("montreal-1")["version"], 0)

    # Every port.

    # Random bytes, as from a port scan, with fixed seeds. Every connection is
    # closed.
    def test_random_bytes_harm_nothing(self):
        for port in self.ports:
            for seed in range(40):
                source = random.Random("%s %d" % (port, seed))
                data = source.randbytes(source.randrange(1, 5000))
                if seed % 2:
                    data = head(b"/s/dossiers/x", b"POST",
                                b"Content-Length: 100")[:80] + data
                self.send(data, port)
        for vm in self.d.vms:
            self.assertEqual(self.d.health(vm), 200)

    # Records from a sender without the peer key are counted and dropped, and
    # the peers still consider each other live.
    def test_peer_port_rejects_records_without_the_key(self):
        before = self.count_peer_refusals()
        for size in (0, 4, 60, 200, 4000):
            record = random.Random(size).randbytes(size)
            mark = (0x80000000 | size).to_bytes(4, "big")
            self.send(mark + record, "peer")
        self.send((0xFFFFFFFF).to_bytes(4, "big") + b"x" * 1000, "peer")
        wait_until(lambda: self.count_peer_refusals() > before,
                   "the refusals are counted")
        wait_until(lambda: [peer["state"] for peer in
                            self.d.status("montreal-1")["peers"]] == ["live"],
                   "the peers are live")

    def count_peer_refusals(self):
        return sum(self.counter("sas_peer_events_total",
                                'event="%s"' % event)
                   for event in ("refused_address", "refused_limit",
                                 "bad_record", "bad_digest", "bad_message",
                                 "bad_identity", "hello_timeout"))

    # Guards against senders that stall and hold memory and a connection: the
    # read timeout disconnects them. The test waits for that timeout once.
    def test_stalled_senders_are_disconnected(self):
        ended = {}

        def stall(name, data, port):
            self.send(data, port, end=False)
            ended[name] = True

        cases = {
            "head": (b"GET /s/doss", "caller"),
            "body": (head(b"/s/dossiers/x", b"POST",
                          b"Idempotency-Key: slow-1",
                          b"Content-Length: 50") + b"abc", "caller"),
            "admin": (b"PUT /v1/sheet HTT", "admin"),
            "peer": (b"\x80\x00\x00\x40abc", "peer"),
        }
        threads = [threading.Thread(target=stall, args=(name, *case))
                   for name, case in cases.items()]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(set(ended), set(cases))
        self.check_not_run("slow-1")


if __name__ == "__main__":
    unittest.main()
