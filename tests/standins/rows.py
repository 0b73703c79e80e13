"""Stand-in for the platform's store of rows, as published in its protocol.

A `RowStore` keeps tables of rows with one counter of versions and serves
rows-tx, rows-get, rows-feed and rows-parts on a loopback port. It runs on
threads of the test's own process. Faults are set by attributes:

    refused     ports whose callers get 503; `open_port` gives each of them
                one of its own
    silenced    ports whose callers get no answer, also to a call that waits
                for changes already
    mode        "" serves, "busy" answers 503, "silent" never answers,
                "reset" closes without an answer
    delay_s     every call waits so long
    lose_acks   so many writes take effect and their connection closes
    bytes_per_s answers of GET go out no faster; 0: at once
    stop_after  answers of GET stop after so many bytes, their connection
                stays open; 0: they are whole
    compact()   forgets all history: a feed from before gets 410
"""

import base64
import json
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

PAGE = 500
SILENT_S = 3600
PIECES_PER_S = 20


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
    """Callers that are killed by a test are no news."""

    daemon_threads = True

    def handle_error(self, request, client_address):
        pass


class RowStore:
    def __init__(self):
        self.lock = threading.Condition()
        self.rows = {}
        self.version = 1
        self.forgotten = 0
        self.calls = 0
        self.waits = []  # wait-ms of each feed
        self.mode = ""
        self.refused = set()
        self.silenced = set()
        self.delay_s = 0
        self.lose_acks = 0
        self.bytes_per_s = 0
        self.stop_after = 0
        self.stopped = False
        self.servers = []

    def open_port(self):
        """One more port on which the store is served."""
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

    # The operator and the servers write directly.

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
            self.forgotten = self.version
            self.rows = {k: r for k, r in self.rows.items()
                         if r.value is not None}

    def keys(self, table):
        with self.lock:
            return sorted(r.key for r in self.rows.values()
                          if r.table == table and r.value is not None)

    # Calls.

    def get(self, query):
        table, part = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("to")
        limit = min(int(query.get("limit", PAGE)), PAGE)
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
                after >= self.forgotten and time.monotonic() < end:
            self.lock.wait(max(end - time.monotonic(), 0.001))
        if after < self.forgotten:
            return None
        return {"rows": [r.to_json() for r in self.changes(table, after)],
                "ver": self.version, "now-ms": int(time.monotonic() * 1000)}

    def transact(self, body):
        def find(row):
            return self.rows.get((row["table"], row.get("part", ""),
                                  row["key"]))
        for row in body.get("precondition", []):
            there = find(row)
            version = there.version if there and there.value is not None else 0
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
            size = max(store.bytes_per_s // PIECES_PER_S, 1)
            for start in range(0, len(data), size):
                self.wfile.write(data[start:start + size])
                time.sleep(1 / PIECES_PER_S)

        def is_silent(self):
            return store.mode == "silent" or \
                self.server.server_address[1] in store.silenced

        def sit_out_silence(self):
            """True when the call fell into it and gets no answer."""
            if not self.is_silent():
                return False
            end = time.monotonic() + SILENT_S
            while self.is_silent() and time.monotonic() < end and \
                    not store.stopped:
                time.sleep(0.05)
            self.close_connection = True
            return True

        def is_faulty(self):
            """True when the fault in force has dealt with the call."""
            mode = store.mode
            refused = self.server.server_address[1] in store.refused
            if store.delay_s:
                time.sleep(store.delay_s)
            if self.sit_out_silence():
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
            if self.is_faulty():
                return
            if url.path not in ("/rows-get", "/rows-feed"):
                self.answer(404, {"error": "no such call"})
                return
            call = store.get if url.path == "/rows-get" else store.feed
            with store.lock:
                body = call(query)
            if self.sit_out_silence():
                return
            self.answer(200 if body is not None else 410, body or {})

        def do_POST(self):
            store.calls += 1
            size = int(self.headers.get("Content-Length", 0))
            body = json.loads(self.rfile.read(size))
            if self.is_faulty():
                return
            with store.lock:
                result = store.transact(body)
            if store.lose_acks > 0:
                store.lose_acks -= 1
                self.close_connection = True
                return
            self.answer(200 if result is not None else 412, result or {})

    return Handler
