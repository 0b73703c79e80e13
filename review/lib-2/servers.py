"""Worker processes with their rows in the store, and a request that crashes
them."""

import os
import subprocess
import threading
import time

from entry_harness import find_ports

PROGRAM = os.path.join(os.path.dirname(os.path.abspath(__file__)),
                       "worker.py")
COLD_MS = 3000


class Server:
    """A worker's process, started again down_s after each crash under the
    same id. It writes its row row_delay_s after its start, and once more when
    it is no longer cold."""

    def __init__(self, fleet, record, number, slots=3, work_ms=300,
                 poison="", crash_after_ms=0, down_s=2.0, row_delay_s=0.0):
        self.fleet = fleet
        self.record = record
        self.name = "i-%d" % number
        self.zone = "abc"[number % 3]
        self.port = find_ports("127.0.0.1", ("worker",))["worker"]
        self.slots = slots
        self.command = ["/usr/bin/python3", PROGRAM, self.name,
                        str(self.port), str(slots), str(work_ms), poison,
                        str(crash_after_ms)]
        self.crash_after_s = crash_after_ms / 1000
        self.down_s = down_s
        self.row_delay_s = row_delay_s
        self.begun = []  # (time, id, path)
        self.ended = set()
        self.starts = 0
        self.cold_starts = []  # times
        self.born = 0
        self.stopped = False
        self.process = None
        threading.Thread(target=self.run, daemon=True).start()

    def write_row(self, cold_ms, born, start):
        """Unless that process has ended."""
        if self.stopped or self.starts != start:
            return
        self.record.write("row of %s: born %d, cold-left-ms %d", self.name,
                          born, cold_ms)
        self.fleet.store.put("servers", self.name, {
            "service": "desk", "zone": self.zone, "version": "v1",
            "address": "127.0.0.1:%d" % self.port, "slots": self.slots,
            "state": "ready", "cold-left-ms": cold_ms, "seq-no": 1,
            "born": born})

    def run(self):
        cold_ms = 0
        while not self.stopped:
            first = len(self.begun)
            self.process = subprocess.Popen(
                [*self.command, str(cold_ms)], stdout=subprocess.PIPE)
            self.follow(cold_ms)
            self.starts += 1
            if self.stopped:
                return
            self.record.write("worker %s has crashed; it ran: %s", self.name,
                              ", ".join(self.unfinished(first)))
            time.sleep(self.down_s)
            cold_ms = COLD_MS

    def follow(self, cold_ms):
        """Reads what the process prints, up to its end."""
        for line in self.process.stdout:
            words = line.decode().split()
            if words[0] == "ready":
                self.announce(cold_ms)
            elif words[0] == "begin":
                self.begun.append((time.monotonic(), words[1], words[2]))
            else:
                self.ended.add(words[1])

    def announce(self, cold_ms):
        born = self.born = int(time.time() * 1000)
        first = cold_ms == 0
        self.record.write("worker %s is there", self.name)
        if not first:
            self.cold_starts.append(time.monotonic())
        if first:
            self.write_row(0, born, self.starts)
            return
        left_ms = cold_ms - int(self.row_delay_s * 1000)
        threading.Timer(self.row_delay_s, self.write_row,
                        (left_ms, born, self.starts)).start()
        threading.Timer(cold_ms / 1000, self.write_row,
                        (0, born, self.starts)).start()

    def unfinished(self, first=0):
        return [path for _, request_id, path in self.begun[first:]
                if request_id not in self.ended]

    def stop(self):
        self.stopped = True
        if self.process is not None:
            self.process.kill()


class Others:
    """Callers of unsafe requests, each sent once: one after the other, with
    pause_s between them."""

    def __init__(self, vms, count, pause_s):
        self.vms = vms
        self.pause_s = pause_s
        self.ended = False
        self.statuses = {}  # by path; 0: no answer
        self.threads = [threading.Thread(target=self.run, args=(i,))
                        for i in range(count)]
        for thread in self.threads:
            thread.start()

    def run(self, number):
        count = 0
        while not self.ended:
            count += 1
            path = "/filings/%d-%d" % (number, count)
            vm = self.vms[number % len(self.vms)]
            try:
                self.statuses[path] = vm.request(
                    "POST", path, b"x", key=path, deadline_ms=1500,
                    timeout=5).status
            except OSError:
                self.statuses[path] = 0
            time.sleep(self.pause_s)

    def end(self):
        self.ended = True
        for thread in self.threads:
            thread.join()


class PoisonRequest:
    """A request that crashes each worker that begins it. It comes with the
    same path, caller and body at one entry VM after the other."""

    UNSAFE = ("POST", "/filings/poison", b"p" * 100)
    SAFE = ("GET", "/forms/poison", None)
    STABLE_WINDOW_S = 3.0  # stable-window-ms
    MAX_RETRIES = 3

    def __init__(self, vms, record, request, leaves_after_s=5):
        self.vms = vms
        self.leaves_after_s = leaves_after_s
        self.record = record
        self.method, self.path, self.body = request
        self.number = 0

    def send(self):
        vm = self.vms[self.number % len(self.vms)]
        self.number += 1
        try:
            answer = vm.request(self.method, self.path, self.body,
                                key="poison", deadline_ms=1500,
                                timeout=self.leaves_after_s)
            self.record.write("poison request %d, id %s, at %s: %d",
                              self.number, answer.id, vm.name, answer.status)
        except OSError as error:
            self.record.write("poison request %d at %s: its caller leaves (%s)",
                              self.number, vm.name, error)

    def judge(self, servers, statuses, started_at=0.0):
        """True if at most MAX_RETRIES reached workers later than the stable
        window after the third crash, sent by machines in touch: their
        processes, started at started_at, had run for that window. A retry is
        a client attempt, with an id of its own, however many workers get
        it."""
        record = self.record
        runs = sorted((at, request_id, server.name) for server in servers
                      for at, request_id, path in server.begun
                      if path == self.path and
                      request_id not in server.ended)
        third = runs[2][0] + servers[0].crash_after_s \
            if len(runs) > 2 else float("inf")
        later = set()
        for at, request_id, name in runs:
            counts = at > third + self.STABLE_WINDOW_S and not (
                started_at <= at < started_at + self.STABLE_WINDOW_S)
            later |= {request_id} if counts else set()
            record.write("begun at %.3f, id %s, crashes worker %s%s",
                         at - record.began, request_id, name,
                         ": a later retry" if counts else "")
        for server in servers:
            for path in server.unfinished():
                if path != self.path:
                    record.write("lost with worker %s: unsafe request %s, "
                                 "answered %s", server.name, path,
                                 statuses.get(path))
        record.write("later retries that reached workers: %d, allowed %d",
                     len(later), self.MAX_RETRIES)
        return len(later) <= self.MAX_RETRIES
