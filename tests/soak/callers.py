"""Callers of the soak, and what is promised to them around planned work.

    Caller      one request at a time on a connection that it keeps
    Pipeliner   sends further look-ups before the earlier ones are answered
    SlowReader  the same, with answers larger than what the sockets hold, which
                it reads late and in small pieces
    Keeper      uses a kept connection again at once, or after resting for up
                to the idle limit and a little more
    Opener      a new connection for each request, some with long work, and
                mostly at entry VMs that stop: it keeps an old look-up

Each other one keeps its connection until an answer closes it or it fails.
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
KINDS = {"/forms/": "GET", "/filings/": "POST", "/scans/": "POST"}
# Look-ups of their own: with large answers, and with long work.
LARGE = {"/forms/large-%d" % n: 300 << 10 for n in range(8)}
LONG = {"/forms/long-%d" % n: 0.5 + 0.4 * n for n in range(6)}
SMALL_WINDOW = 4096
SMALL_SEGMENT = 1400  # a large one makes the sender's buffer megabytes
GRACE_S = 6
LATEST_SENT_S = 3  # after SIGTERM: what is sent later may not be cut at all
LOSS_S = 0.5  # the platform's loss-slack-ms, and what a caller may be late


class Sent:
    """One attempt of a caller and what became of it."""

    def __init__(self, vm, path, body, how):
        self.id = uuid.uuid4().hex
        self.vm = vm
        self.path = path
        self.body = body
        self.how = how
        self.at = time.monotonic()
        self.status = None  # None: the connection ended
        self.got = b""
        self.sealed = False
        self.connected = False
        self.second = False  # sent before the one ahead of it was answered
        self.closed = False  # behind an answer that closes the connection
        self.halfway = False  # the connection ended within its answer
        self.silent = False  # neither an answer nor an end in TIMEOUT_S
        self.error = None
        self.ended_at = 0

    def format(self):
        lines = ["%s %s HTTP/1.1" % (KINDS[self.prefix()], self.path),
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
        """The server's whole answer to this very request."""
        words = self.got.split(b" ")
        rest = b"%d" % len(self.body or b"") + b"." * LARGE.get(self.path, 0)
        return self.sealed and len(words) == 3 and \
            words[1] == self.path.encode() and words[2] == rest


class Connection:
    def __init__(self, address, window=None):
        self.waiting = collections.deque()
        self.pause_s = 0
        self.piece = None if window is None else window
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
        for sent in requests:
            sent.connected = True
            sent.second = bool(self.waiting)
            sent.at = time.monotonic()
            self.waiting.append(sent)
        try:
            self.socket.sendall(b"".join(s.format() for s in requests))
        except OSError:
            pass  # answers may have come before the end

    def read_body(self, size):
        body = b""
        while len(body) < size:
            piece = self.reader.read(min(self.piece or size,
                                         size - len(body)))
            if not piece:
                raise OSError("the answer ended halfway")
            body += piece
            if self.piece is not None:
                time.sleep(0.002)
        return body

    def read_answer(self):
        """To the one that waits longest. False when it ends the
        connection."""
        sent = self.waiting[0]
        try:
            line = self.reader.readline()
        except TimeoutError:
            sent.silent = True
            raise
        if not line:
            raise OSError("no answer")
        sent.halfway = True
        status = int(line.split()[1])
        headers = http.client.parse_headers(self.reader)
        sent.got = self.read_body(int(headers["Content-Length"]))
        sent.halfway = False
        sent.sealed = SEAL in headers
        sent.status = status
        sent.ended_at = time.monotonic()
        self.waiting.popleft()
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

    def draw(self):
        prefix = self.rng.choice(list(KINDS))
        path = prefix + str(self.rng.randrange(40))
        if self.soak.poisoned and self.rng.random() < 0.02:
            prefix, path = "/forms/", POISON
        body = b"x" * self.rng.choice((0, 10, 5000)) \
            if KINDS[prefix] == "POST" else None
        return Sent(self.vm, path, body, self.HOW)

    def rest(self):
        time.sleep(self.rng.uniform(0.01, 0.08))

    def pick_vm(self):
        return self.rng.choice(self.soak.fleet.vms)

    def run(self):
        while not self.soak.over:
            self.step(self.rng.randint(1, self.DEPTH))
            self.rest()
        if self.connection is not None:
            self.step(0)
        self.end(False)

    def step(self, count):
        """Sends so many, where there is room for them, and reads one answer;
        without any to send, all that are left."""
        if self.connection is None:
            self.vm = self.pick_vm()
        waiting = self.connection.waiting if self.connection else ()
        requests = [self.draw()
                    for _ in range(min(count, self.DEPTH - len(waiting)))]
        self.soak.sent.extend(requests)
        open_on, closed = False, False
        try:
            if self.connection is None:
                self.connection = Connection(self.vm.address(), self.WINDOW)
            if requests:
                self.connection.send(requests)
            open_on = self.read(count == 0)
            closed = not open_on
        except (OSError, ValueError, TypeError, IndexError,
                http.client.HTTPException) as error:
            for sent in (self.connection.waiting if self.connection
                         else requests):
                sent.error = error
                sent.ended_at = time.monotonic()
        if not open_on:
            self.end(closed)

    def read(self, every):
        while self.connection.waiting:
            if not self.connection.read_answer():
                return False
            if not every:
                break
        return True

    def end(self, closed):
        """closed: by an answer that says so."""
        if self.connection is None:
            return
        for sent in self.connection.waiting:
            sent.closed = closed
            sent.ended_at = time.monotonic()
        self.connection.close()
        self.connection = None


class Pipeliner(Caller):
    HOW = "pipelined"
    DEPTH = 5

    def draw(self):
        path = "/forms/%d" % self.rng.randrange(40)
        if self.rng.random() < 0.02:
            path = self.rng.choice(sorted(LONG))
        return Sent(self.vm, path, None, self.HOW)


class SlowReader(Pipeliner):
    HOW = "slow"
    DEPTH = 2
    WINDOW = SMALL_WINDOW

    def draw(self):
        path = self.rng.choice(sorted(LARGE))
        return Sent(self.vm, path, None, self.HOW)

    def read(self, every):
        if not every:
            time.sleep(self.rng.uniform(0, 0.3))
        return super().read(every)


class Keeper(Caller):
    HOW = "kept"

    def rest(self):
        """Mostly none; else about as long as a connection is kept."""
        limit_s = self.rng.choice([0] * 30 + [0.5, 1.5, self.soak.idle_s,
                                              self.soak.idle_s])
        if limit_s:
            time.sleep(max(0, limit_s + self.rng.uniform(-0.4, 0.4)))


class Opener(Caller):
    HOW = "fresh"

    def pick_vm(self):
        stopping = list(self.soak.stopping)
        if stopping and self.rng.random() < 0.7:
            return self.rng.choice(stopping)
        return super().pick_vm()

    def draw(self):
        if self.rng.random() > 0.1:
            return super().draw()
        return Sent(self.vm, self.rng.choice(sorted(LONG)), None, self.HOW)

    def rest(self):
        self.end(False)
        time.sleep(self.rng.uniform(0, 0.03))


# What is promised while all that happens is planned.


def is_cut_by_limit(sent, ran, stops):
    """What a stop may cut off: sent early, and its server still at work in
    the last sixth of the time that the process has."""
    def is_late(at, began):
        return at is None or at >= began + GRACE_S * 5 / 6
    return any(vm is sent.vm and sent.at <= began + LATEST_SENT_S and
               is_late(sent.ended_at, began) and sent.ended_at < ended + 1 and
               any(is_late(request.ended_at, began) for request in ran)
               for vm, began, ended in stops)


def explain_loss(sent, ran, stops):
    """What is wrong with the end of an attempt that servers ran so often, or
    None."""
    if sent.closed:
        return "ran behind a closing answer" if ran else None
    if sent.halfway:
        return "has half an answer"
    if sent.silent:
        return "has neither an answer nor an end"
    if sent.status in NOT_RUN and ran:
        return "was refused with %d and ran" % sent.status
    if sent.status is not None or is_cut_by_limit(sent, ran, stops):
        return None
    if ran:
        return "ran and has no answer"
    if sent.connected and not sent.second and \
            sent.ended_at - sent.at > LOSS_S:
        return "was left without an answer"
    return None


def describe(sent, ran, stops):
    """Times in seconds after the last SIGTERM of its entry VM before its
    end."""
    begins = [began for vm, began, _ in stops
              if vm is sent.vm and began <= sent.ended_at]
    zero = max(begins, default=sent.at)
    times = " ".join("%s %.3f" % (what, at - zero) for what, at in
                     [("sent", sent.at), ("ended", sent.ended_at)] +
                     [("worked until", r.ended_at) for r in ran
                      if r.ended_at is not None])
    return "%s %s %s at %s (%s%s%s%s)" % (
        sent.how, sent.path, sent.id, sent.vm.name, times,
        " after SIGTERM" if begins else "",
        ", behind another" if sent.second else "",
        ", %r" % sent.error if sent.error else "")
