"""Callers of the soak, and the guarantees that they get during planned work.

    Caller               one request at a time on a persistent connection
    Pipeliner            sends further safe requests before earlier ones are
                         answered
    SlowReader           a Pipeliner whose answers exceed the socket buffers;
                         it reads them late and in small pieces
    KeepAliveCaller      reuses its connection at once, or after an idle time
                         around the idle timeout
    NewConnectionCaller  a new connection for each request, some with long
                         service times, mostly to entry VMs that are stopping,
                         as a caller with an old lookup does

All but the last keep a connection until an answer closes it or it fails.
"""

import collections
import http.client
import random
import socket
import threading
import time
import uuid

from entry_harness import HOST, ID, SEAL

TIMEOUT_S = 6
DEADLINE_MS = 1500
LONG_DEADLINE_MS = 4000
NOT_RUN = (408, 421, 429, 503)
POISON = "/forms/poison"
METHODS = {"/forms/": "GET", "/filings/": "POST", "/scans/": "POST"}
# Safe requests with large answers (bytes) and with long service times (s).
LARGE = {"/forms/large-%d" % n: 300 << 10 for n in range(8)}
LONG = {"/forms/long-%d" % n: 0.5 + 0.4 * n for n in range(6)}
SMALL_WINDOW = 4096
SMALL_SEGMENT = 1400  # larger ones let the sender buffer megabytes
GRACE_S = 6  # time limit of a stop
LAST_EXEMPT_S = 3  # after SIGTERM; later requests must not be interrupted
# The platform's loss-slack-ms, and how late a caller may be.
LOSS_SLACK_S = 0.5


class Attempt:
    """One attempt of a request and its result."""

    def __init__(self, vm, path, body, how):
        self.id = uuid.uuid4().hex
        self.vm = vm
        self.path = path
        self.body = body
        self.how = how
        self.sent_at = time.monotonic()
        self.status = None  # None: no complete answer
        self.body_read = b""
        self.sealed = False
        self.connected = False
        self.pipelined = False  # sent while an earlier one was pending
        self.after_close = False  # pipelined behind a closing answer
        self.truncated = False  # the connection ended in its answer
        self.timed_out = False  # neither answer nor close in TIMEOUT_S
        self.error = None
        self.ended_at = 0

    def format(self):
        lines = ["%s %s HTTP/1.1" % (METHODS[self.prefix()], self.path),
                 "Host: " + HOST, "%s: %s" % (ID, self.id),
                 "X-Sassafrassill-Affinity-Key: " + self.path,
                 "X-Sassafrassill-Deadline-Ms: %d" % (
                     LONG_DEADLINE_MS if self.path in LONG else DEADLINE_MS)]
        if self.body is not None:
            lines.append("Content-Length: %d" % len(self.body))
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + (self.body or b"")

    def prefix(self):
        return self.path[:self.path.index("/", 1) + 1]

    def is_whole(self):
        """True for the server's complete answer to this request."""
        words = self.body_read.split(b" ")
        padded = b"%d" % len(self.body or b"") + b"." * LARGE.get(self.path, 0)
        return self.sealed and len(words) == 3 and \
            words[1] == self.path.encode() and words[2] == padded


class Connection:
    def __init__(self, address, window=None):
        self.pending = collections.deque()
        self.pause_s = 0
        self.read_size = None if window is None else window
        self.socket = socket.socket()
        try:
            if window is not None:
                self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                       window)
                self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG,
                                       SMALL_SEGMENT)
            self.socket.settimeout(TIMEOUT_S)
            self.socket.connect(address)
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            self.socket.close()
            raise
        self.reader = self.socket.makefile("rb", window or -1)

    def close(self):
        self.reader.close()
        self.socket.close()

    def send(self, requests):
        for attempt in requests:
            attempt.connected = True
            attempt.pipelined = bool(self.pending)
            attempt.sent_at = time.monotonic()
            self.pending.append(attempt)
        try:
            self.socket.sendall(b"".join(s.format() for s in requests))
        except OSError:
            pass  # answers may still be readable

    def read_body(self, size):
        body = b""
        while len(body) < size:
            piece = self.reader.read(min(self.read_size or size,
                                         size - len(body)))
            if not piece:
                raise OSError("the connection ended within the answer")
            body += piece
            if self.read_size is not None:
                time.sleep(0.002)
        return body

    def read_answer(self):
        """Reads the answer to the oldest pending attempt. False when it
        closes the connection."""
        attempt = self.pending[0]
        try:
            line = self.reader.readline()
        except TimeoutError:
            attempt.timed_out = True
            raise
        if not line:
            raise OSError("no answer")
        attempt.truncated = True
        status = int(line.split()[1])
        headers = http.client.parse_headers(self.reader)
        attempt.body_read = self.read_body(int(headers["Content-Length"]))
        attempt.truncated = False
        attempt.sealed = SEAL in headers
        attempt.status = status
        attempt.ended_at = time.monotonic()
        self.pending.popleft()
        return headers.get("Connection", "").lower() != "close"


class Caller(threading.Thread):
    HOW = "plain"
    DEPTH = 1
    WINDOW = None

    def __init__(self, soak, number):
        super().__init__(daemon=True)
        self.soak = soak
        self.rng = random.Random("%s/%d" % (soak.seed, number))
        self.connection = None
        self.vm = None
        self.start()

    def make_attempt(self):
        prefix = self.rng.choice(list(METHODS))
        path = prefix + str(self.rng.randrange(40))
        if self.soak.poisoned and self.rng.random() < 0.02:
            prefix, path = "/forms/", POISON
        body = b"x" * self.rng.choice((0, 10, 5000)) \
            if METHODS[prefix] == "POST" else None
        return Attempt(self.vm, path, body, self.HOW)

    def pause(self):
        time.sleep(self.rng.uniform(0.01, 0.08))

    def pick_vm(self):
        return self.rng.choice(self.soak.fleet.vms)

    def run(self):
        while not self.soak.finished:
            self.step(self.rng.randint(1, self.DEPTH))
            self.pause()
        if self.connection is not None:
            self.step(0)
        self.disconnect(False)

    def step(self, count):
        """Sends up to count requests, with at most DEPTH pending, and reads
        one answer; with count 0 reads all pending answers."""
        if self.connection is None:
            self.vm = self.pick_vm()
        pending = self.connection.pending if self.connection else ()
        requests = [self.make_attempt()
                    for _ in range(min(count, self.DEPTH - len(pending)))]
        self.soak.attempts.extend(requests)
        stays_open, closed = False, False
        try:
            if self.connection is None:
                self.connection = Connection(self.vm.address(), self.WINDOW)
            if requests:
                self.connection.send(requests)
            stays_open = self.read(count == 0)
            closed = not stays_open
        except (OSError, ValueError, TypeError, IndexError,
                http.client.HTTPException) as error:
            for attempt in (self.connection.pending if self.connection
                            else requests):
                attempt.error = error
                attempt.ended_at = time.monotonic()
        if not stays_open:
            self.disconnect(closed)

    def read(self, read_all):
        while self.connection.pending:
            if not self.connection.read_answer():
                return False
            if not read_all:
                break
        return True

    def disconnect(self, closed):
        """closed: an answer closed the connection."""
        if self.connection is None:
            return
        for attempt in self.connection.pending:
            attempt.after_close = closed
            attempt.ended_at = time.monotonic()
        self.connection.close()
        self.connection = None


class Pipeliner(Caller):
    HOW = "pipelined"
    DEPTH = 5

    def make_attempt(self):
        path = "/forms/%d" % self.rng.randrange(40)
        if self.rng.random() < 0.02:
            path = self.rng.choice(sorted(LONG))
        return Attempt(self.vm, path, None, self.HOW)


class SlowReader(Pipeliner):
    HOW = "slow"
    DEPTH = 2
    WINDOW = SMALL_WINDOW

    def make_attempt(self):
        path = self.rng.choice(sorted(LARGE))
        return Attempt(self.vm, path, None, self.HOW)

    def read(self, read_all):
        if not read_all:
            time.sleep(self.rng.uniform(0, 0.3))
        return super().read(read_all)


class KeepAliveCaller(Caller):
    HOW = "kept"

    def pause(self):
        """Mostly 0; otherwise 0.5 s, 1.5 s or the idle timeout, each within
        0.4 s."""
        limit_s = self.rng.choice([0] * 30 + [0.5, 1.5, self.soak.idle_s,
                                              self.soak.idle_s])
        if limit_s:
            time.sleep(max(0, limit_s + self.rng.uniform(-0.4, 0.4)))


class NewConnectionCaller(Caller):
    HOW = "fresh"

    def pick_vm(self):
        stopping = list(self.soak.stopping)
        if stopping and self.rng.random() < 0.7:
            return self.rng.choice(stopping)
        return super().pick_vm()

    def make_attempt(self):
        if self.rng.random() > 0.1:
            return super().make_attempt()
        return Attempt(self.vm, self.rng.choice(sorted(LONG)), None, self.HOW)

    def pause(self):
        self.disconnect(False)
        time.sleep(self.rng.uniform(0, 0.03))


# Guarantees while all interruptions are planned.


def may_hit_deadline(attempt, ran, stops):
    """True when the shutdown deadline may have interrupted the attempt: it
    was sent at most LAST_EXEMPT_S after SIGTERM, ended at most 1 s after the
    stop, and it and its run lasted into the last sixth of GRACE_S. stops:
    (entry VM, begin, end)."""
    def is_late(at, began):
        return at is None or at >= began + GRACE_S * 5 / 6
    return any(vm is attempt.vm and
               attempt.sent_at <= began + LAST_EXEMPT_S and
               is_late(attempt.ended_at, began) and
               attempt.ended_at < ended + 1 and
               any(is_late(request.ended_at, began) for request in ran)
               for vm, began, ended in stops)


def explain_loss(attempt, ran, stops):
    """The broken guarantee of an attempt, as text, or None. ran: runs of the
    attempt on servers."""
    if attempt.after_close:
        return "ran behind a closing answer" if ran else None
    if attempt.truncated:
        return "has a truncated answer"
    if attempt.timed_out:
        return "has neither an answer nor a close"
    if attempt.status in NOT_RUN and ran:
        return "was refused with %d and ran" % attempt.status
    if attempt.status is not None or may_hit_deadline(attempt, ran, stops):
        return None
    if ran:
        return "ran and has no answer"
    if attempt.connected and not attempt.pipelined and \
            attempt.ended_at - attempt.sent_at > LOSS_SLACK_S:
        return "was left without an answer"
    return None


def describe(attempt, ran, stops):
    """The attempt as text, with times in seconds: since the last SIGTERM to
    its entry VM, or since it was sent when there was none."""
    begins = [began for vm, began, _ in stops
              if vm is attempt.vm and began <= attempt.ended_at]
    zero = max(begins, default=attempt.sent_at)
    times = " ".join("%s %.3f" % (what, at - zero) for what, at in
                     [("sent", attempt.sent_at), ("ended", attempt.ended_at)] +
                     [("worked until", r.ended_at) for r in ran
                      if r.ended_at is not None])
    return "%s %s %s at %s (%s%s%s%s)" % (
        attempt.how, attempt.path, attempt.id, attempt.vm.name, times,
        " after SIGTERM" if begins else "",
        ", behind another" if attempt.pipelined else "",
        ", %r" % attempt.error if attempt.error else "")
