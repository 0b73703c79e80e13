"""Stand-ins for backend servers as the users' platform describes them.

A `Worker` listens on a loopback port, rejects requests without an id (400) or
addressed to another server (421), runs the others in its slots and seals the answers of those.
It runs on threads of the test's own process and records what it ran.
Behaviour is set by attributes:

    work_s       service time of a request, seconds
    works        service times by target, in place of work_s
    pad          bytes appended to each answer's text
    pads         such bytes by target, in place of pad
    forget_s     a connection idle for longer is reset by its next request
    held         threading.Event: running requests wait until it is set
    sheds        a request that finds no free slot is refused, not queued
    leaving      all answers say that the server is leaving
    rest         None, or the Retry-After, a text, of the 503 with which all
                 requests are refused
    poison       targets whose requests crash the server when they start: it
                 resets all connections and accepts none for down_s
    resets       called for each new connection: whether it is reset at once
    copies       called with the status of each answer: None, the number of
                 requests that arrive on the connection, after the next one,
                 before a second copy of the answer is sent, or a Copy
    faults       list of faults; each request for this server consumes the
                 first one:
                 "shed"       503, not executed
                 "busy"       429, not executed
                 "shed close", "shed half", "shed interim", "shed unframed"
                              the same with "Connection: close", reset in the
                              head, behind an interim answer, without a length
                 "cut"        runs, then closes without an answer
                 "late-extra" answers, and 100 ms later sends an unsolicited
                              second answer
                 "half"       an answer without a length, reset in its body
                 "unframed"   an answer without a length, ended by the close
                 "early"      a final answer before the body is read
                 "unsealed"   a success without a seal
                 "error"      a 500 with a seal, after the run
                 "denied", "denied error"
                              a success, or a 500, after the run, which says
                              all the same that it wasn't executed
                 an Exact: the bytes of an answer as they stand there
                 a key of ENDLESS: begins an answer, and sends bytes without
                              end until the caller closes; with "slow " before
                              it 1 kB every 20 ms
"""

import contextlib
import socket
import struct
import threading
import time

from answers import fill

SEAL = "X-Sassafrassill-Server-Seal"
ID = "X-Sassafrassill-Attempt-Id"
PROMISES = (408, 421, 429, 503)  # not run, and never will be

FILL = b"x" * 65536
SLOW_BYTES = 1000
SLOW_S = 0.02
_HEAD = b"HTTP/1.1 200 OK\r\n"
_LINE = b"X-%s: y\r\n" % FILL[:90]
_INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
_CHUNKED = _HEAD + b"ID-LINETransfer-Encoding: chunked\r\n\r\n"
# Bytes without end: how they begin, and what is repeated. ID-LINE stands for
# the line of the request's id.
ENDLESS = {
    "body in chunks": (_CHUNKED, b"%x\r\n%s\r\n" % (900, FILL[:900])),
    "body with a length": (_HEAD + b"ID-LINEContent-Length: %d\r\n\r\n" %
                           2 ** 40, FILL),
    "long body": (_HEAD + b"ID-LINEContent-Length: %d\r\n\r\n" %
                  (15 << 20), FILL),
    "body without a length": (_HEAD + b"ID-LINE\r\n", FILL),
    "chunk extension": (_CHUNKED + b"1;", FILL),
    "trailer": (_CHUNKED + b"0\r\n", _LINE),
    "head line": (_HEAD + b"X: ", FILL),
    "head lines": (_HEAD, _LINE),
    "status line": (b"HTTP/1.1 200 ", FILL),
    "interim answers": (b"", _INTERIM),
    "interim head": (b"HTTP/1.1 100 Continue\r\nX: ", FILL),
    "answers to others": (b"", _HEAD + ID.encode() +
                          b": other\r\nContent-Length: 0\r\n\r\n"),
    "body of another": (_HEAD + ID.encode() + b": other\r\n"
                        b"Transfer-Encoding: chunked\r\n\r\n",
                        b"%x\r\n%s\r\n" % (900, FILL[:900])),
    "no answer": (b"", FILL),
}



def reset(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                          struct.pack("ii", 1, 0))
    connection.close()


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.id = headers.get(ID.lower(), "")
        self.at = time.monotonic()
        self.ended_at = None  # end of the run, before the answer is sent


class Notice:
    """What an answer to the request has said: a rest, or leaving."""

    def __init__(self, headers, rest):
        self.at = time.monotonic()
        self.headers = headers
        self.rest = rest  # None: leaving


class Copy:
    """Further copies of an answer: each when `after` requests have arrived
    behind the next one, or delay_s after the answer; size: its first bytes
    only."""

    def __init__(self, after=0, delay_s=None, times=1, size=None):
        self.after = after
        self.delay_s = delay_s
        self.times = times
        self.size = size


class Exact:
    """An answer as in answers.py, after the run. says: what stands for @SAYS,
    pairs of name and value; pause_s: sent byte by byte, with such a pause
    before the last one; before_body: sent when of the request only this many
    bytes of the body have been read, whose rest is read then to the end of the
    connection; until: the connection is reset when this is true, and read
    up to then; stays_open: it is not closed."""

    def __init__(self, text, says=(), pause_s=None, before_body=None,
                 until=lambda: True, stays_open=False):
        self.text = text
        self.says = says
        self.pause_s = pause_s
        self.before_body = before_body
        self.until = until
        self.stays_open = stays_open


class Endless:
    """Bytes without end that the caller has ended."""

    def __init__(self, kind, size, took_s):
        self.kind = kind
        self.size = size
        self.took_s = took_s


class Worker:
    def __init__(self, name, slots=3):
        self.name = name
        self.slots = threading.Semaphore(slots)
        self.slot_count = slots
        self.work_s = 0.0
        self.works = {}
        self.pad = 0
        self.pads = {}
        self.forget_s = None
        self.held = threading.Event()
        self.held.set()
        self.faults = []
        self.resets = lambda: False
        self.copies = lambda status: None
        self.late = {}       # connection -> [requests to wait for, bytes]
        self.copied = 0      # second copies that were sent
        self.limit = None  # requests/s that it names in its answers
        self.sheds = False
        self.leaving = False
        self.rest = None
        self.heard = []      # Request, all that were addressed to this server
        self.endless = []    # Endless, those that have ended
        self.said = []       # Notice, with its answers
        self.poison = set()
        self.down_s = 0.5
        self.crashes = 0
        self.on_crash = lambda: None
        self.connections = set()
        self.lock = threading.Lock()
        self.sending = threading.Lock()
        self.ran = []        # Request, in the order of their start
        self.refused = []    # ids of requests addressed to another server
        self.left = []       # ids whose caller disconnected while they ran
        self.running = 0
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.port = self.listener.getsockname()[1]
        self.stopped = False
        threading.Thread(target=self.accept, daemon=True).start()

    def stop(self):
        self.stopped = True
        self.held.set()
        self.listener.close()

    def ids(self):
        with self.lock:
            return [r.id for r in self.ran]

    def accept(self):
        while not self.stopped:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            if self.resets():
                reset(connection)
                continue
            threading.Thread(target=self.serve, args=(connection,),
                             daemon=True).start()

    def read_head(self, reader):
        line = reader.readline()
        if not line:
            return None
        method, target, _ = line.decode().split()
        headers = {}
        while True:
            line = reader.readline().decode().strip()
            if not line:
                return method, target, headers
            name, value = line.split(":", 1)
            headers[name.lower()] = value.strip()

    def crash(self):
        """Resets all connections and accepts none until the restart."""
        self.crashes += 1
        self.on_crash()
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                      struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RD)
                connection.close()
            except OSError:
                pass  # already closed by its own thread

        def restart():
            time.sleep(self.down_s)
            self.listener = socket.create_server(("127.0.0.1", self.port),
                                                 backlog=64)
            self.accept()
        threading.Thread(target=restart, daemon=True).start()

    def serve(self, connection):
        reader = connection.makefile("rb")
        is_reused = False
        with self.lock:
            self.connections.add(connection)
        try:
            while not self.stopped:
                began = time.monotonic()
                head = self.read_head(reader)
                if head is None:
                    return
                if self.forget_s is not None and is_reused and \
                        time.monotonic() - began > self.forget_s:
                    reset(connection)
                    return
                is_reused = True
                if not self.handle(connection, reader, *head):
                    return
        except OSError:
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)
                self.late.pop(connection, None)
            connection.close()

    def send_copies(self, connection):
        """A request has arrived: sends the copies that are due."""
        late = self.late.get(connection, [])
        for copy in list(late):
            copy[0] -= 1
            if copy[0] < 0:
                late.remove(copy)
                self.send_copy(connection, copy[1])

    def send_copy(self, connection, text):
        self.copied += 1
        try:
            with self.sending:
                connection.sendall(text)
        except OSError:
            pass  # the caller has closed the connection

    def keep_copies(self, connection, copy, text):
        if not isinstance(copy, Copy):
            copy = Copy(after=copy)
        text = text[:copy.size]
        for _ in range(copy.times):
            if copy.delay_s is None:
                self.late.setdefault(connection, []).append([copy.after, text])
            else:
                threading.Timer(copy.delay_s, self.send_copy,
                                (connection, text)).start()

    def handle(self, connection, reader, method, target, headers):
        """Serves one request; false if the connection is to be closed."""
        self.send_copies(connection)
        if ID.lower() not in headers:
            reader.read(int(headers.get("content-length", 0)))
            self.answer(connection, 400, b"", headers, not_run=True)
            return True
        if headers.get("x-sassafrassill-target-instance") != self.name:
            reader.read(int(headers.get("content-length", 0)))
            self.refused.append(headers.get(ID.lower(), ""))
            self.answer(connection, 421, b"", headers)
            return True
        fault = ""
        with self.lock:
            if self.faults:
                fault = self.faults.pop(0)
        if isinstance(fault, Exact):
            return self.run_exact(connection, reader, method, target, headers,
                                  fault)
        if fault == "early":
            self.answer(connection, 400, b"too much", headers, sealed=True)
            reader.read(int(headers.get("content-length", 0)))
            return True
        body = reader.read(int(headers.get("content-length", 0)))
        request = Request(method, target, headers, body)
        rest = self.rest
        with self.lock:
            self.heard.append(request)
            if self.sheds and self.running >= self.slot_count:
                fault = "shed"
            refused = fault.split(" ")[0] in ("shed", "busy") or \
                rest is not None
            if not refused:
                self.ran.append(request)
        if refused:
            return self.refuse(connection, headers, fault, rest)
        if target in self.poison:
            self.crash()
            return False
        return self.run(connection, request, fault)

    def refuse(self, connection, headers, fault, rest):
        """False if the connection is to be closed."""
        if fault == "shed interim":
            connection.sendall(_INTERIM)
        if fault == "shed half":
            connection.sendall(b"HTTP/1.1 503 Answer\r\n"
                               b"X-Sassafrassill-Not-Executed: 1\r\n")
            reset(connection)
            return False
        closes = fault in ("shed close", "shed unframed")
        self.answer(connection, 429 if fault == "busy" else 503, b"", headers,
                    not_run=True, rest=rest, closes=closes,
                    unframed=fault == "shed unframed")
        return not closes

    def run(self, connection, request, fault):
        with self.slots:
            self.running += 1
            time.sleep(self.works.get(request.target, self.work_s))
            while not self.held.wait(0.02):
                connection.setblocking(False)
                try:
                    if connection.recv(1, socket.MSG_PEEK) == b"":
                        self.left.append(request.id)
                        return False
                except BlockingIOError:
                    pass
                except ConnectionResetError:
                    self.left.append(request.id)
                    return False
                finally:
                    connection.setblocking(True)
            self.running -= 1
        request.ended_at = time.monotonic()
        body = ("%s %s %d" % (self.name, request.target,
                              len(request.body))).encode()
        body += b"." * self.pads.get(request.target, self.pad)
        if fault == "cut":
            return False
        if fault.replace("slow ", "") in ENDLESS:
            self.send_endless(connection, request, fault)
            return False
        if fault in ("half", "unframed"):
            head = ("HTTP/1.1 200 OK\r\n%s: s-%s\r\n%s: %s\r\n\r\n" %
                    (SEAL, self.name, ID, request.id)).encode()
            if fault == "half":
                connection.sendall(head + body[:3])
                reset(connection)
            else:
                connection.sendall(head + body)
            return False
        self.answer(connection, 500 if "error" in fault else 200, body,
                    request.headers, sealed=fault != "unsealed",
                    not_run=fault.startswith("denied"))
        if fault == "late-extra":
            time.sleep(0.1)
            self.answer(connection, 200, b"of another caller",
                        request.headers, sealed=True)
        return True

    def run_exact(self, connection, reader, method, target, headers, exact):
        size = int(headers.get("content-length", 0))
        if exact.before_body is not None:
            size = min(size, exact.before_body)
        request = Request(method, target, headers, reader.read(size))
        with self.lock:
            self.heard.append(request)
            self.ran.append(request)
        text, resets = fill(exact.text, request.id, ID, SEAL, self.name,
                            exact.says)
        if exact.pause_s is None:
            connection.sendall(text)
        else:
            for i in range(len(text) - 1):
                connection.sendall(text[i:i + 1])
            time.sleep(exact.pause_s)
            connection.sendall(text[-1:])
        if resets:
            connection.setblocking(False)
            while not exact.until():
                with contextlib.suppress(BlockingIOError):
                    connection.recv(65536)
            reset(connection)
        elif exact.before_body is not None:
            connection.shutdown(socket.SHUT_WR)
            while reader.read1(65536):
                pass
        return exact.stays_open

    def send_endless(self, connection, request, kind):
        began = time.monotonic()
        first, unit = ENDLESS[kind.replace("slow ", "")]
        first = first.replace(b"ID-LINE", b"%s: %s\r\n" % (
            ID.encode(), request.id.encode()))
        slow = kind.startswith("slow ")
        unit *= (SLOW_BYTES if slow else len(FILL)) // len(unit) or 1
        unit = unit[:SLOW_BYTES] if slow and len(set(unit)) == 1 else unit
        size = 0
        try:
            connection.sendall(first)
            while not self.stopped:
                connection.sendall(unit)
                size += len(unit)
                time.sleep(SLOW_S if slow else 0)
        except OSError:
            pass  # the caller has closed the connection
        self.endless.append(Endless(kind, size, time.monotonic() - began))

    def answer(self, connection, status, body, headers, sealed=False,
               not_run=False, rest=None, closes=False, unframed=False):
        lines = ["HTTP/1.1 %d Answer" % status,
                 "X-Sassafrassill-Server-Load: %d,0,%d" %
                 (self.running, self.slot_count)]
        if not unframed:
            lines.append("Content-Length: %d" % len(body))
        if closes:
            lines.append("Connection: close")
        if ID.lower() in headers:
            lines.append("%s: %s" % (ID, headers[ID.lower()]))
        if self.limit is not None:
            lines.append("X-Sassafrassill-Server-Limit: %s" % self.limit)
        if self.leaving:
            lines.append("Server-Leaving: 1")
            self.said.append(Notice(headers, None))
        if rest is not None:
            lines.append("Retry-After: %s" % rest)
            self.said.append(Notice(headers, rest))
        if sealed:
            lines.append("%s: s-%s" % (SEAL, self.name))
        if not_run:
            lines.append("X-Sassafrassill-Not-Executed: 1")
        text = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        with self.sending:
            connection.sendall(text)
        copy = self.copies(status)
        if copy is not None:
            self.keep_copies(connection, copy, text)
