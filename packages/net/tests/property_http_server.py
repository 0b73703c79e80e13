"""Every request that the HTTP server dispatches is answered whole, in order.

One caller's connection with random events: pieces of requests split anywhere,
answers in any order and of any size, a caller that reads slowly or closes, a
drain, changes of the limits, time that passes, the server's close. The checks
look at what the caller receives on its socket.
"""
import select
import socket
import time
import unittest

from hypothesis import settings, strategies as st
from hypothesis.stateful import (RuleBasedStateMachine, initialize, invariant,
                                 precondition, rule)

from core_library import I64, INT, PROFILE, PTR, TEXT, declare, load

lib = load()
new = declare(lib, PTR, "SasShim_NewRig")
free = declare(lib, INT, "SasShim_FreeRig", PTR)
get_port = declare(lib, INT, "SasShim_GetPort", PTR)
run_loop = declare(lib, None, "SasShim_RunLoop", PTR)
advance_time = declare(lib, None, "SasShim_AdvanceTime", PTR, I64, INT)
set_limits = declare(lib, None, "SasShim_SetLimits", PTR, I64, I64, I64, I64,
                     I64)
drain_server = declare(lib, None, "SasShim_Drain", PTR, I64)
close_server = declare(lib, None, "SasShim_CloseServer", PTR)
is_open = declare(lib, INT, "SasShim_IsOpen", PTR)
reply = declare(lib, None, "SasShim_Reply", PTR, INT, INT, I64)
queue_reaction = declare(lib, None, "SasShim_QueueReaction", PTR, INT, INT,
                         I64)
count_dispatched = declare(lib, INT, "SasShim_CountDispatched", PTR)
get_target = declare(lib, TEXT, "SasShim_GetTarget", PTR, INT)
get_body = declare(lib, TEXT, "SasShim_GetBody", PTR, INT)
get_state = declare(lib, INT, "SasShim_GetState", PTR, INT)
get_end = declare(lib, TEXT, "SasShim_GetEnd", PTR, INT)
count_unknown_abandons = declare(lib, INT, "SasShim_CountUnknownAbandons", PTR)
count_after_close = declare(lib, INT, "SasShim_CountAfterClose", PTR)
count_closed = declare(lib, INT, "SasShim_CountClosed", PTR)
get_closed_end = declare(lib, TEXT, "SasShim_GetClosedEnd", PTR, INT)
count_exchanges = declare(lib, INT, "SasShim_CountExchanges", PTR)
count_connections = declare(lib, INT, "SasShim_CountConnections", PTR)
count_busy = declare(lib, INT, "SasShim_CountBusy", PTR)
count_unsent = declare(lib, I64, "SasShim_CountUnsent", PTR)

HELD, ANSWERED, ABANDONED = range(3)
HOLD, ANSWER, DRAIN, CLOSE = range(4)
MAX_PIPELINE = 32  # SasHttpServer_MAX_PIPELINE
RECEIVE_BUFFER = 16384
LARGE = 200000  # bytes; more than both sockets buffer
MAX_ITERATIONS = 500  # of the loop, in which all answers must arrive
# header_bytes, body_bytes, bodies_bytes, header_ms, idle_ms
LIMITS = (1000, 1000, 100000, 60000, 60000)
SMALL_LIMITS = [(40, 1000, 100000, 60000, 60000),
                (1000, 10, 100000, 60000, 60000),
                (1000, 1000, 20, 60000, 60000)]
SHORT_LIMITS = [(1000, 1000, 100000, 200, 60000),
                (1000, 1000, 100000, 60000, 500),
                (1000, 1000, 100000, 60000, 0)]
MALFORMED = [b"NONSENSE\r\n\r\n",
             b"GET /x HTTP/1.1\r\nX: " + 3000 * b"x" + b"\r\n\r\n",
             b"POST /x HTTP/1.1\r\nContent-Length: 5000\r\n\r\n",
             b"POST /x HTTP/1.1\r\nContent-Length: 4\r\n"
             b"Content-Length: 5\r\n\r\nabcd"]

kinds = st.tuples(
    st.sampled_from(["GET", "GET", "GET", "HEAD", "length", "chunked"]),
    st.sampled_from([False] * 9 + [True]))  # with Connection: close
answers = st.sampled_from(
    [(200, 3), (200, 3), (200, 0), (204, 0), (200, LARGE)])
reactions = st.one_of(
    st.tuples(st.just(ANSWER), answers), st.tuples(st.just(ANSWER), answers),
    st.just((HOLD, (0, 0))), st.just((DRAIN, (0, 60000))))
picks = st.integers(0, 1000)
fates = st.sampled_from(["lasts", "lasts", "malformed", "leaves", "closed"])


class Request:
    def __init__(self, number, kind, asks_close):
        self.head = kind == "HEAD"
        self.asks_close = asks_close
        self.malformed = False
        self.body = b""
        method = kind if kind in ("GET", "HEAD") else "POST"
        fields = "Connection: close\r\n" if asks_close else ""
        framed = b""
        if kind == "length":
            self.body = framed = b"b" * (number % 30)
            fields += f"Content-Length: {len(framed)}\r\n"
        if kind == "chunked":
            self.body = b"c" * 20
            fields += "Transfer-Encoding: chunked\r\n"
            framed = b"8\r\ncccccccc\r\nc\r\ncccccccccccc\r\n0\r\n\r\n"
        self.bytes = (f"{method} /{number} HTTP/1.1\r\nHost: x\r\n{fields}"
                      "\r\n").encode() + framed


class Malformed(Request):
    def __init__(self, text):
        super().__init__(0, "GET", True)
        self.malformed = True
        self.bytes = text


class Answer:
    def __init__(self, status, number, closes):
        self.status, self.number, self.closes = status, number, closes


class Connections(RuleBasedStateMachine):
    @initialize(fate=fates)
    def begin(self, fate):
        self.fate = fate
        self.rig = new()
        assert self.rig
        set_limits(self.rig, *LIMITS)
        self.idle_ms = LIMITS[-1]
        self.caller = socket.socket()
        self.caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                               RECEIVE_BUFFER)
        self.caller.connect(("127.0.0.1", get_port(self.rig)))
        self.caller.setblocking(False)
        self.caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.requests, self.ends = [], []  # and their end offsets
        self.outbox, self.sent = b"", 0
        self.got, self.answers = b"", []
        self.reading = True
        self.ended = self.was_reset = False  # as the caller sees it
        self.left = False
        self.drains = self.limits_were_small = self.time_passed = False
        self.is_draining, self.answered_draining = False, set()
        # Bytes sent when the server's lingering close may have timed out:
        # they may be answered by a reset.
        self.may_be_closing = self.sent_late = False
        self.dispatched_before = 0  # requests, when may_be_closing was set
        self.whole_when_idle = 0  # whole requests when an idle limit passed
        # Bytes of answers that the caller doesn't read, and for how long.
        self.unsent = self.stalled_ms = 0
        self.is_too_slow = False
        self.checks_passed = True
        run_loop(self.rig)

    # The caller.

    def compose(self, request):
        self.requests.append(request)
        self.outbox += request.bytes
        self.ends.append(self.sent + len(self.outbox))

    def send(self, size):
        while size > 0 and not self.was_reset:
            try:
                count = self.caller.send(self.outbox[:size])
            except BlockingIOError:
                return
            except (ConnectionResetError, BrokenPipeError):
                self.was_reset = True
                return
            self.sent_late |= self.may_be_closing
            self.sent += count
            self.outbox = self.outbox[count:]
            size -= count

    def receive(self, size):
        while size > 0 and not self.ended:
            try:
                piece = self.caller.recv(min(size, 65536))
            except BlockingIOError:
                return
            except ConnectionResetError:
                self.ended = self.was_reset = True
                return
            self.ended = piece == b""
            self.got += piece
            size -= len(piece)
        if self.ended:
            # A reset after the last byte looks like an end of the stream.
            self.was_reset |= self.caller.getsockopt(
                socket.SOL_SOCKET, socket.SO_ERROR) != 0

    def may_speak(self):
        return not (self.left or self.ended or self.was_reset)

    @precondition(may_speak)
    @rule(kinds=st.lists(kinds, max_size=4),
          kept_back=st.sampled_from([0, 0, 0, 0, 1, 2, 5, 20, 40]))
    def send_piece(self, kinds, kept_back):
        for kind in kinds:
            self.compose(Request(len(self.requests), *kind))
        self.send(len(self.outbox) - kept_back)

    @precondition(may_speak)
    @rule(count=st.sampled_from([31, 32, 33, 70]))
    def send_many(self, count):
        for _ in range(count):
            self.compose(Request(len(self.requests), "GET", False))
        self.send(len(self.outbox))

    @precondition(lambda self: self.fate == "malformed" and self.may_speak())
    @rule(text=st.sampled_from(MALFORMED), kept_back=st.integers(0, 3))
    def send_malformed(self, text, kept_back):
        self.fate = ""
        self.compose(Malformed(text))
        self.send(len(self.outbox) - kept_back)

    @rule()
    def stop_reading(self):
        self.reading = False

    @rule()
    def resume_reading(self):
        self.reading = True

    @precondition(lambda self: not self.left)
    @rule(size=st.sampled_from([1, 30, 200, 50000]))
    def read_some(self, size):
        self.receive(size)

    @precondition(lambda self: not self.left)
    @rule(times=st.integers(1, 4), ms=st.sampled_from([300, 40000]))
    def read_slowly(self, times, ms):
        self.reading = False
        for _ in range(times):
            self.receive(50000)
            self.wait(ms, 3)

    @precondition(lambda self: self.fate == "leaves" and not self.left)
    @rule(size=st.sampled_from([0, 30, 50000]))
    def leave(self, size):
        self.receive(size)
        self.left = True
        self.caller.close()

    # The handler.

    def find_held(self):
        return [i for i in range(count_dispatched(self.rig))
                if get_state(self.rig, i) == HELD]

    def answer(self, i, status, size):
        if self.is_draining:
            self.answered_draining.add(i)
        reply(self.rig, i, status, size)

    @rule(pick=picks, answer=answers)
    def answer_one(self, pick, answer):
        held = self.find_held()
        if held:
            self.answer(held[pick % len(held)], *answer)

    @rule(newest_first=st.booleans())
    def answer_all(self, newest_first):
        for i in sorted(self.find_held(), reverse=newest_first):
            self.answer(i, 200, 3)

    @rule(reactions=st.lists(reactions, min_size=1, max_size=3))
    def react_at_once(self, reactions):
        for action, (status, number) in reactions:
            self.drains |= action == DRAIN
            queue_reaction(self.rig, action, status, number)

    @precondition(lambda self: self.fate == "closed")
    @rule()
    def close_in_a_request(self):
        queue_reaction(self.rig, CLOSE, 0, 0)

    # The server.

    def serves(self):
        return is_open(self.rig)

    @precondition(serves)
    @rule(idle_ms=st.sampled_from([500, 60000]))
    def drain(self, idle_ms):
        self.drains = self.is_draining = True
        drain_server(self.rig, idle_ms)

    @precondition(serves)
    @rule(limits=st.sampled_from([LIMITS] + SMALL_LIMITS + SHORT_LIMITS))
    def change_limits(self, limits):
        self.limits_were_small |= limits in SMALL_LIMITS
        self.idle_ms = limits[-1]
        set_limits(self.rig, *limits)

    @precondition(lambda self: self.fate == "closed" and self.serves())
    @rule()
    def close(self):
        close_server(self.rig)

    @rule(count=st.integers(1, 4))
    def run_iterations(self, count):
        for _ in range(count):
            self.run_once()

    def run_once(self):
        run_loop(self.rig)
        if self.reading and not self.left:
            self.receive(10 * LARGE)

    @rule(ms=st.sampled_from([1, 300, 1000, 40000, 70000]),
          iterations=st.sampled_from([0, 3, 3]))
    def wait(self, ms, iterations):
        self.time_passed = True
        self.note_stall(ms)
        was_open, whole = count_closed(self.rig) == 0, self.count_whole_requests()
        advance_time(self.rig, ms, iterations)
        if was_open and count_closed(self.rig) > 0 \
                and get_closed_end(self.rig, 0) == b"idle":
            self.whole_when_idle = whole
        if not self.find_held():
            self.may_be_closing = True
            self.sent_late |= iterations == 0
            self.dispatched_before = count_dispatched(self.rig)

    def note_stall(self, ms):
        """Adds up the time in which no byte of an answer is sent, because the
        caller doesn't read."""
        unsent = count_unsent(self.rig)
        if unsent != self.unsent:
            self.unsent, self.stalled_ms = unsent, 0
        if unsent > 0:
            self.stalled_ms += ms
            self.is_too_slow |= 0 < self.idle_ms < self.stalled_ms

    # What the caller received.

    def parse_answer(self):
        """Removes the next answer from got; None: not whole yet."""
        head, whole, rest = self.got.partition(b"\r\n\r\n")
        if not whole:
            return None
        lines = head.decode().split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines[1:])
        status = int(lines[0].split(" ")[1])
        at = len(self.answers)
        assert at < len(self.requests), "an answer without a request"
        size = int(fields.get("Content-Length", 0))
        if status == 204 or self.requests[at].head:
            size = 0
        if len(rest) < size:
            return None
        self.got = rest[size:]
        number = fields.get("X-Number")
        if number is not None:
            letter = b"%c" % (ord("a") + int(number) % 26)
            assert rest[:size] == letter * size, \
                "the body of another request's answer"
        return Answer(status, number, fields.get("Connection") == "close")

    def parse_answers(self):
        while self.got:
            assert not self.closes(), "bytes after a closing answer"
            answer = self.parse_answer()
            if answer is None:
                return
            self.answers.append(answer)
            self.check_answer(len(self.answers) - 1, answer)

    def check_answer(self, at, answer):
        request = self.requests[at]
        if answer.number is None:
            self.check_refusal(request, answer)
            return
        assert answer.number == str(at), "answers out of order"
        assert get_state(self.rig, at) == ANSWERED, \
            "an answer that isn't the handler's"
        if request.asks_close:
            assert answer.closes, "Connection: close was ignored"
        assert request.asks_close or self.drains or not answer.closes, \
            "a closing answer without a cause"

    def check_refusal(self, request, answer):
        assert answer.closes, "a refusal that doesn't close the connection"
        causes = []
        if request.malformed:
            causes += [400, 413, 431]
        if self.limits_were_small:
            causes += [413, 431, 503]
        if self.time_passed:
            causes += [408]
        assert answer.status in causes, "a refusal without a cause"

    def closes(self):
        return bool(self.answers) and self.answers[-1].closes

    def count_whole_requests(self):
        return sum(end <= self.sent for end in self.ends)

    def may_break(self):
        """Whether the connection may end at any byte."""
        return (self.left or self.is_too_slow or self.sent_late
                or not is_open(self.rig))

    @invariant()
    def check_all(self):
        self.checks_passed = False
        self.parse_answers()
        self.check_dispatched()
        if is_open(self.rig):
            self.check_counts()
        if self.ended:
            self.check_end()
        self.checks_passed = True

    def check_dispatched(self):
        dispatched = count_dispatched(self.rig)
        if dispatched > self.dispatched_before:  # so it wasn't closing
            self.may_be_closing = self.sent_late = False
        assert dispatched <= self.count_whole_requests(), \
            "dispatched before it was whole"
        for i in range(dispatched):
            assert get_target(self.rig, i) == b"/%d" % i, \
                "dispatched out of order"
            assert get_body(self.rig, i) == self.requests[i].body
            if get_state(self.rig, i) == ABANDONED:
                end = get_end(self.rig, i)
                assert (end == b"caller" and self.left) or (
                    end == b"server" and not is_open(self.rig)), \
                    f"request {i} was abandoned ({end.decode()})"
            asked = [r.asks_close for r in self.requests[:i]]
            assert True not in asked, \
                "dispatched after a request with Connection: close"
        assert count_unknown_abandons(self.rig) == 0, "abandoned, but not held"
        assert count_after_close(self.rig) == 0, \
            "dispatched after the server's close"
        if self.closes():
            refused = self.answers[-1].number is None
            assert dispatched == len(self.answers) - refused, \
                "dispatched after a closing answer"

    def check_counts(self):
        """The counts are never below what is pending."""
        held = self.find_held()
        pending = count_dispatched(self.rig) - held[0] if held else 0
        assert count_exchanges(self.rig) >= pending, "pending, but not counted"
        if pending or count_unsent(self.rig) > 0:
            assert count_busy(self.rig) == 1, "pending, but not busy"
        if (self.closes() and not self.ended and not self.may_be_closing
                and not self.may_break()):
            assert count_busy(self.rig) == 1, \
                "the caller hasn't closed, but not busy"

    def check_end(self):
        if (not self.closes() and not self.left
                and len(self.answers) == count_dispatched(self.rig)):
            assert count_dispatched(self.rig) >= self.whole_when_idle, \
                "an idle limit dropped a request that had arrived"
        if self.may_break():
            return
        assert not self.got, "half an answer"
        answered = sum(a.number is not None for a in self.answers)
        assert answered == count_dispatched(self.rig), \
            "the connection ended before an answer"
        if self.closes():
            assert not self.was_reset, "a closing answer was reset"
        else:
            assert self.time_passed, "the connection ended without a cause"

    # At the end all held requests are answered, and every answer must arrive.

    def teardown(self):
        if not hasattr(self, "rig"):
            return
        checks_passed, self.checks_passed = self.checks_passed, False
        try:
            if checks_passed:
                self.finish()
        finally:
            self.caller.close()
            rc = free(self.rig)
        assert rc == 0 or not checks_passed, "a handle was left open"

    def finish(self):
        if not is_open(self.rig):
            assert not self.find_held(), "held after the server's close"
            return
        self.reading = True
        self.run_until(self.is_done)
        self.check_all()
        self.checks_passed = False
        assert self.is_done(), "a request is neither answered nor refused"
        if not self.may_break():
            self.check_last_answer()
        if self.ended:
            self.caller.close()
            self.left = True
        if self.left:
            self.run_until(self.is_closed)
            assert not self.find_held(), "held after the caller's close"
            assert self.is_closed(), "a connection that is never closed"

    def is_done(self):
        for i in self.find_held():
            self.answer(i, 200, 3)
        self.parse_answers()
        return (self.left or self.ended or not is_open(self.rig)
                or not self.closes()
                and len(self.answers) >= self.count_whole_requests())

    def is_closed(self):
        held = self.find_held()
        begun = count_dispatched(self.rig) + (self.sent not in self.ends)
        if held and begun - held[0] >= MAX_PIPELINE:
            self.answer(held[0], 200, 3)  # reading waits for an answer
        if is_open(self.rig):
            advance_time(self.rig, 1000, 1)
        return not is_open(self.rig) or count_connections(self.rig) == 0

    def run_until(self, is_reached):
        for i in range(MAX_ITERATIONS):
            if is_reached():
                return
            self.run_once()
            if i > 100:
                time.sleep(0.001)

    def check_last_answer(self):
        """A last answer sent during a drain closes the connection, unless a
        part of a further request has arrived."""
        last = len(self.answers) - 1
        if last in self.answered_draining and self.sent in self.ends:
            assert self.closes(), "a drain left the connection open"


TestConnections = Connections.TestCase
TestConnections.settings = settings(PROFILE, max_examples=1000,
                                    stateful_step_count=40)

if __name__ == "__main__":
    unittest.main()
