"""A worker as a process of its own, so that a crash ends all that it runs.

worker.py NAME PORT SLOTS WORK_MS POISON CRASH_AFTER_MS COLD_MS

Runs SLOTS requests at a time, each for WORK_MS, and rejects others as not
executed. A request for the path POISON ends the process CRASH_AFTER_MS after
it has begun to run, also if its caller has left by then. While the worker is
cold, for COLD_MS, more than COLD_MOST requests in a second end it too.
Prints a line for each run as it begins and as its answer has been sent:
"begin ID PATH", "end ID PATH".
"""

import os
import socket
import sys
import threading
import time

ID = "x-sassafrassill-attempt-id"
TARGET = "x-sassafrassill-target-instance"
BACKLOG = 128
COLD_MOST = 27  # three times the cold-per-s of a small deployment


class Worker:
    def __init__(self, name, slots, work_ms, poison, crash_after_ms, cold_ms):
        self.name = name
        self.slots = slots
        self.work_s = work_ms / 1000
        self.poison = poison
        self.crash_after_s = crash_after_ms / 1000
        self.cold_until = time.monotonic() + cold_ms / 1000
        self.cold_begins = []
        self.running = 0
        self.lock = threading.Lock()

    def say(self, text):
        os.write(1, (text + "\n").encode())

    def answer(self, connection, headers, status, lines=(), body=b""):
        head = ["HTTP/1.1 " + status, "Content-Length: %d" % len(body),
                "X-Sassafrassill-Attempt-Id: " + headers.get(ID, ""),
                "X-Sassafrassill-Server-Load: %d,0,%d" % (self.running,
                                                          self.slots)]
        connection.sendall("\r\n".join([*head, *lines, "", ""]).encode() +
                           body)

    def take_slot(self):
        with self.lock:
            if self.running >= self.slots:
                return False
            self.running += 1
            return True

    def check_cold(self):
        now = time.monotonic()
        if now > self.cold_until:
            return
        with self.lock:
            self.cold_begins = [at for at in self.cold_begins if at > now - 1]
            self.cold_begins.append(now)
            if len(self.cold_begins) > COLD_MOST:
                os._exit(1)

    def run(self, connection, path, headers):
        self.say("begin %s %s" % (headers[ID], path))
        self.check_cold()
        if path == self.poison:
            time.sleep(self.crash_after_s)
            os._exit(1)
        time.sleep(self.work_s)
        with self.lock:
            self.running -= 1
        self.answer(connection, headers, "200 OK",
                    ["X-Sassafrassill-Server-Seal: s-" + self.name],
                    path.encode())
        self.say("end %s %s" % (headers[ID], path))

    def handle(self, connection, reader):
        line = reader.readline().decode().split()
        if len(line) != 3:
            return False
        headers = {}
        for row in iter(lambda: reader.readline().decode().strip(), ""):
            name, value = row.split(":", 1)
            headers[name.lower()] = value.strip()
        reader.read(int(headers.get("content-length", 0)))
        if headers.get(TARGET) != self.name:
            self.answer(connection, headers, "421 Misdirected Request")
        elif not self.take_slot():
            self.answer(connection, headers, "503 Service Unavailable",
                        ["X-Sassafrassill-Not-Executed: 1"])
        else:
            self.run(connection, line[1], headers)
        return True

    def serve(self, connection):
        with connection, connection.makefile("rb") as reader:
            try:
                while self.handle(connection, reader):
                    pass
            except OSError:
                pass  # the caller has closed the connection


def main():
    name, port, slots, work_ms, poison, crash_after_ms, cold_ms = \
        sys.argv[1:]
    worker = Worker(name, int(slots), int(work_ms), poison,
                    int(crash_after_ms), int(cold_ms))
    listener = socket.create_server(("127.0.0.1", int(port)), backlog=BACKLOG)
    worker.say("ready")
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=worker.serve, args=(connection,),
                         daemon=True).start()


main()
