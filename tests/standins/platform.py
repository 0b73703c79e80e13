#!/usr/bin/python3
"""Stand-in for the platform's table service, object store and VM list.

Usage: platform.py [--port 0] [--vms FILE]

Listens on 127.0.0.1, prints "PORT n" on standard output and keeps all rows in
memory. The calls are those of docs/API.md, "Platform store":

    GET, PUT /table/KEY and /objects/KEY   ETag, If-Match, If-None-Match: *
    GET, PUT /vms                          PUT replaces the list

PUT /control takes a JSON object with the faults to set:

    {"down": true}         closes connections without an answer
    {"freeze": true}       accepts requests and never answers them
    {"delay_ms": 200}      delays every request before it is served
    {"lose_acks": 3}       applies the next 3 accepted writes and closes their
                           connections without an answer
    {"stale_reads": true}  answers reads with the value before the last write

GET /control answers the current faults and the counts of reads, writes,
conflicts (412), lost acknowledgements and frozen requests. /control and
PUT /vms work under every fault.
"""

import argparse
import json
import re
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

KEY_PATTERN = re.compile(r"/(?:table|objects)/[A-Za-z0-9._/-]+")
MAX_BODY = 64 * 1024 * 1024
FREEZE_POLL_S = 0.05


class Row:
    """A value with its version, and both from before the last write."""

    def __init__(self):
        self.value = None
        self.version = 0
        self.previous_value = None
        self.previous_version = 0

    def write(self, value, version):
        self.previous_value = self.value
        self.previous_version = self.version
        self.value = value
        self.version = version

    def read(self, stale):
        if stale:
            return self.previous_value, self.previous_version
        return self.value, self.version


class Store:
    """Rows, VM list, faults and counts, guarded by one lock."""

    def __init__(self, vms):
        self.lock = threading.Lock()
        self.rows = {}
        self.last_version = 0
        self.vms = vms
        self.faults = {
            "down": False,
            "freeze": False,
            "delay_ms": 0,
            "lose_acks": 0,
            "stale_reads": False,
        }
        self.counts = {"reads": 0, "writes": 0, "conflicts": 0,
                       "lost_acks": 0, "frozen": 0}

    def read(self, key):
        """Returns (value, etag); (None, None) if the row does not exist."""
        with self.lock:
            self.counts["reads"] += 1
            row = self.rows.get(key)
            if row is None:
                return None, None
            value, version = row.read(self.faults["stale_reads"])
            return value, etag_of(version)

    def write(self, key, value, if_match, if_none_match):
        """Returns (status, etag, acknowledged); without the last the write
        took effect and its answer is to be dropped."""
        with self.lock:
            self.counts["writes"] += 1
            row = self.rows.get(key)
            if not condition_holds(row, if_match, if_none_match):
                self.counts["conflicts"] += 1
                return 412, None, True
            status = 201 if row is None else 200
            if row is None:
                row = self.rows[key] = Row()
            self.last_version += 1
            row.write(value, self.last_version)
            acknowledged = self.faults["lose_acks"] <= 0
            if not acknowledged:
                self.faults["lose_acks"] -= 1
                self.counts["lost_acks"] += 1
            return status, etag_of(row.version), acknowledged

    def set_faults(self, changes):
        """Returns the first unknown or mistyped name, or None. Applies all
        changes or none."""
        with self.lock:
            for name, value in changes.items():
                known = self.faults.get(name)
                if known is None or type(value) is not type(known):
                    return name
            self.faults.update(changes)
            return None

    def count(self, name):
        with self.lock:
            self.counts[name] += 1

    def describe(self):
        with self.lock:
            return {**self.faults, **self.counts}


def etag_of(version):
    return f'"{version}"' if version else None


def condition_holds(row, if_match, if_none_match):
    if if_none_match is not None:
        return if_none_match == "*" and row is None
    if if_match is None:
        return True
    if row is None:
        return False
    return if_match == "*" or if_match == etag_of(row.version)


class Handler(BaseHTTPRequestHandler):
    """One connection; the server object holds the store."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def do_GET(self):
        if self.path == "/control":
            self.answer_json(200, self.server.store.describe())
        elif self.apply_faults():
            self.close_connection = True
        elif self.path == "/vms":
            self.answer_json(200, self.server.store.vms)
        elif KEY_PATTERN.fullmatch(self.path):
            self.get_row()
        else:
            self.answer(404)

    def do_PUT(self):
        body = self.read_body()
        if body is None:
            return
        if self.path == "/control":
            self.put_control(body)
        elif self.path == "/vms":
            self.put_vms(body)
        elif self.apply_faults():
            self.close_connection = True
        elif KEY_PATTERN.fullmatch(self.path):
            self.put_row(body)
        else:
            self.answer(404)

    def get_row(self):
        value, etag = self.server.store.read(self.path)
        if value is None:
            self.answer(404)
        else:
            self.answer(200, value, etag)

    def put_row(self, body):
        if self.path.startswith("/table/") and parse_json(body) is None:
            self.answer(400)
            return
        status, etag, acknowledged = self.server.store.write(
            self.path, body, self.headers.get("If-Match"),
            self.headers.get("If-None-Match"))
        if acknowledged:
            self.answer(status, b"", etag)
        else:
            self.close_connection = True

    def put_control(self, body):
        changes = parse_json(body)
        if not isinstance(changes, dict):
            self.answer(400)
            return
        wrong = self.server.store.set_faults(changes)
        if wrong is not None:
            self.answer_json(400, {"wrong": wrong})
            return
        self.answer_json(200, self.server.store.describe())

    def put_vms(self, body):
        vms = parse_json(body)
        if not isinstance(vms, dict) or "vms" not in vms:
            self.answer(400)
            return
        self.server.store.vms = vms
        self.answer(200)

    def apply_faults(self):
        """Delays or freezes this request; true if it must be dropped.

        A frozen request is never served: when the freeze ends, its
        connection is closed.
        """
        faults = self.server.store.faults
        if faults["freeze"]:
            self.server.store.count("frozen")
            while faults["freeze"]:
                time.sleep(FREEZE_POLL_S)
            return True
        if faults["delay_ms"] > 0:
            time.sleep(faults["delay_ms"] / 1000)
        return faults["down"]

    def read_body(self):
        try:
            length = int(self.headers.get("Content-Length", ""))
        except ValueError:
            length = -1
        if not 0 <= length <= MAX_BODY:
            self.close_connection = True
            self.answer(411 if length < 0 else 413)
            return None
        return self.rfile.read(length)

    def answer_json(self, status, value):
        self.answer(status, json.dumps(value).encode())

    def answer(self, status, body=b"", etag=None):
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        if body:
            self.send_header("Content-Type", "application/json")
        if etag:
            self.send_header("ETag", etag)
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()

    def handle(self):
        try:
            super().handle()
        except ConnectionError:
            pass

    def log_message(self, *_):
        pass


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def __init__(self, port, store):
        super().__init__(("127.0.0.1", port), Handler)
        self.store = store


def parse_json(text):
    try:
        return json.loads(text)
    except ValueError:
        return None


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--vms", help="JSON file with the first VM list")
    options = parser.parse_args()
    vms = {"vms": []}
    if options.vms:
        with open(options.vms, encoding="utf-8") as file:
            vms = json.load(file)
    server = Server(options.port, Store(vms))
    print("PORT", server.server_address[1], flush=True)
    try:
        server.serve_forever()
    except KeyboardInterrupt:
        sys.exit(0)


if __name__ == "__main__":
    main()
