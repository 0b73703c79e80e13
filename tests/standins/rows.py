"""Stand-in for the platform's row store, as published in its protocol.

A `RowStore` keeps tables of rows with one version counter and serves rows-tx,
rows-get and rows-feed on loopback ports. It runs on threads of the test's own
process. Faults are set by attributes:

    refused     ports on which calls get 503; `open_port` opens one port per
                entry VM
    silenced    ports on which calls get no answer, not even a long poll that
                was already waiting
    mode        "" serves, "busy" answers 503, "silent" never answers,
                "reset" closes without an answer
    delay_s     delay of every call
    lose_acks   number of writes that are applied and whose connection closes
                without an answer; one with a failed precondition counts too
    bytes_per_s limit on the rate of each answer's body; 0: none
    exact       None, or the bytes with which reads are answered; the
                connection closes behind them
    stop_after  answers stall after this many bytes of the body, with the
                connection open; 0: never
    compact()   discards the change log: a feed from an older version gets 410
"""

import base64
import json
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

MAX_PAGE_ROWS = 500
MAX_SILENCE_S = 3600
CHUNKS_PER_S = 20


class Row:
    def __init__(self, table, part, key, value, version):
        self.table = table
        self.part = part
        self.key = key
        self.value = value
        self.version = version

    def to_json(self):
        if self.value is None:
            return {"table": self.table, "part": self.part, "key": self.key,
                    "deleted": True, "ver": self.version}
        return {"table": self.table, "part": self.part, "key": self.key,
                "value": base64.b64encode(self.value).decode(),
                "ver": self.version}


class QuietServer(ThreadingHTTPServer):
    """Prints no errors of connections whose caller was killed by a test."""

    daemon_threads = True

    def handle_error(self, request, client_address):
        pass


class RowStore:
    def __init__(self):
        self.lock = threading.Condition()
        self.rows = {}
        self.version = 1
        self.compacted_to = 0
        self.calls = 0
        self.waits = []  # wait-ms of each rows-feed call
        self.mode = ""
        self.refused = set()
        self.silenced = set()
        self.delay_s = 0
        self.lose_acks = 0
        self.bytes_per_s = 0
        self.stop_after = 0
        self.exact = None
        self.exact_count = 0  # how often it was sent
        self.stopped = False
        self.servers = []

    def open_port(self):
        """Serves the store on one more port and returns the port."""
        server = QuietServer(("127.0.0.1", 0), make_handler(self))
        self.servers.append(server)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return server.server_address[1]

    def stop(self):
        with self.lock:
            self.stopped = True
            self.lock.notify_all()
        for server in self.servers:
            server.shutdown()
            server.server_close()

    # Direct access for the test, in place of the operator and the servers.

    def put(self, table, key, value, part=""):
        data = value if isinstance(value, bytes) else \
            json.dumps(value).encode()
        with self.lock:
            self.version += 1
            self.rows[(table, part, key)] = Row(table, part, key, data,
                                                self.version)
            self.lock.notify_all()
            return self.version

    def remove(self, table, key, part=""):
        with self.lock:
            self.version += 1
            self.rows[(table, part, key)] = Row(table, part, key, None,
                                                self.version)
            self.lock.notify_all()

    def compact(self):
        with self.lock:
            self.compacted_to = self.version
            self.rows = {k: r for k, r in self.rows.items()
                         if r.value is not None}

    def keys(self, table):
        with self.lock:
            return sorted(r.key for r in self.rows.values()
                          if r.table == table and r.value is not None)

    # Calls of the protocol, with the lock held.

    def get(self, query):
        table, part = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("to")
        limit = min(int(query.get("limit", MAX_PAGE_ROWS)), MAX_PAGE_ROWS)
        found = sorted((r for r in self.rows.values()
                        if r.table == table and r.part == part and
                        r.value is not None and r.key >= first and
                        (end is None or r.key < end)), key=lambda r: r.key)
        return {"rows": [r.to_json() for r in found[:limit]],
                "has-more": len(found) > limit, "ver": self.version,
                "now-ms": int(time.monotonic() * 1000)}

    def changes(self, table, after):
        return sorted((r for r in self.rows.values()
                       if r.table == table and r.version > after),
                      key=lambda r: r.version)

    def feed(self, query):
        table, after = query["table"], int(query["after"])
        end = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        while not self.changes(table, after) and not self.stopped and \
                after >= self.compacted_to and time.monotonic() < end:
            self.lock.wait(max(end - time.monotonic(), 0.001))
        if after < self.compacted_to:
            return None
        return {"rows": [r.to_json() for r in self.changes(table, after)],
                "ver": self.version, "now-ms": int(time.monotonic() * 1000)}

    def transact(self, body):
        def find(row):
            return self.rows.get((row["table"], row.get("part", ""),
                                  row["key"]))
        for row in body.get("precondition", []):
            found = find(row)
            version = found.version if found and found.value is not None else 0
            if version != row["ver"]:
                return None
        self.version += 1
        for row in body.get("puts", []):
            key = (row["table"], row.get("part", ""), row["key"])
            self.rows[key] = Row(*key, base64.b64decode(row["value"]),
                                 self.version)
        for row in body.get("remove", []):
            key = (row["table"], row.get("part", ""), row["key"])
            self.rows[key] = Row(*key, None, self.version)
        self.lock.notify_all()
        return {"ver": self.version, "now-ms": int(time.monotonic() * 1000)}


def make_handler(store):
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def log_message(self, *arguments):
            pass

        def answer(self, status, body):
            data = json.dumps(body).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.send_body(data)

        def send_body(self, data):
            if store.stop_after and len(data) > store.stop_after:
                self.wfile.write(data[:store.stop_after])
                while store.stop_after and not store.stopped:
                    time.sleep(0.05)
                self.close_connection = True
                return
            if not store.bytes_per_s:
                self.wfile.write(data)
                return
            size = max(store.bytes_per_s // CHUNKS_PER_S, 1)
            for start in range(0, len(data), size):
                self.wfile.write(data[start:start + size])
                time.sleep(1 / CHUNKS_PER_S)

        def is_silent(self):
            return store.mode == "silent" or \
                self.server.server_address[1] in store.silenced

        def hold_if_silent(self):
            """Holds the call while its port or the store is unresponsive;
            true if that happened: it must get no answer then."""
            if not self.is_silent():
                return False
            end = time.monotonic() + MAX_SILENCE_S
            while self.is_silent() and time.monotonic() < end and \
                    not store.stopped:
                time.sleep(0.05)
            self.close_connection = True
            return True

        def apply_faults(self):
            """Applies the current faults; true if they ended the call."""
            mode = store.mode
            refused = self.server.server_address[1] in store.refused
            if store.delay_s:
                time.sleep(store.delay_s)
            if self.hold_if_silent():
                return True
            if mode == "reset":
                self.close_connection = True
                return True
            if mode == "busy" or refused:
                self.answer(503, {"error": "busy"})
                return True
            return False

        def do_GET(self):
            store.calls += 1
            url = urllib.parse.urlsplit(self.path)
            query = dict(urllib.parse.parse_qsl(url.query,
                                                keep_blank_values=True))
            if url.path == "/rows-feed":
                store.waits.append(int(query.get("wait-ms", 0)))
            if self.apply_faults():
                return
            if url.path not in ("/rows-get", "/rows-feed"):
                self.answer(404, {"error": "no such call"})
                return
            if store.exact is not None:
                self.wfile.write(store.exact)
                self.close_connection = True
                store.exact_count += 1
                return
            call = store.get if url.path == "/rows-get" else store.feed
            with store.lock:
                body = call(query)
            if self.hold_if_silent():
                return
            self.answer(200 if body is not None else 410, body or {})

        def do_POST(self):
            store.calls += 1
            size = int(self.headers.get("Content-Length", 0))
            body = json.loads(self.rfile.read(size))
            if self.apply_faults():
                return
            with store.lock:
                result = store.transact(body)
            if store.lose_acks > 0:
                store.lose_acks -= 1
                self.close_connection = True
                return
            self.answer(200 if result is not None else 412, result or {})

    return Handler
