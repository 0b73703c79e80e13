"""Servers go on working for callers that have left.

Some callers send further safe requests before the first one is answered, and
leave before their time limit. Once 32 requests of a connection are pending
the entry VM stops reading it, and doesn't see that the caller has closed it.
"""

import os
import random
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))

from fleet import (Clients, Fleet, format_request, new_id,  # noqa: E402
                   route, trouble)

LENGTH_S = 40
# As in the site file: lesson-read.
WORK_S = 0.88
LIMIT_MS = 4000
SERVERS = 22
SLOTS = 4
# give_up: callers leave within half the objective of 600 ms.
LEAVE_S = 0.25
REQUESTS = 40
PAUSE_S = 2.5

# The rule: more than a few requests arrive, or servers still work on more
# than a quarter of those that would have lasted so long, half a second later.
LATE_S = 0.5
FEW = 5
SHARE = 0.25


class Pipeliner:
    """A caller that sends several requests at once."""

    def __init__(self, fleet, leaves):
        self.fleet = fleet
        self.leaves = leaves
        self.left_at = {}
        self.random = random.Random(3)

    def run(self):
        end = time.monotonic() + LENGTH_S
        while time.monotonic() < end:
            self.send(self.random.choice(self.fleet.vms))
            time.sleep(PAUSE_S)

    def send(self, vm):
        ids = [new_id() for _ in range(REQUESTS)]
        text = b"".join(
            format_request("GET", "/lessons/%d" % i, request_id,
                           self.random.randrange(10000), LIMIT_MS)
            for i, request_id in enumerate(ids))
        self.fleet.record.write("caller sends %d requests, %s to %s, to %s",
                                REQUESTS, ids[0], ids[-1], vm.name)
        with socket.create_connection(vm.address(), 1) as conn:
            conn.sendall(text)
            time.sleep(LEAVE_S if self.leaves else LIMIT_MS / 1000)
        if self.leaves:
            now = time.monotonic()
            self.left_at.update((request_id, now) for request_id in ids)
            self.fleet.record.write("the caller of %s has left", ids[0])


def judge(fleet, left_at):
    arrived_late = 0
    long = 0
    at_work = 0
    for worker in fleet.workers:
        for request_id, began, ended in worker.spans:
            left = left_at.get(request_id)
            if left is None:
                continue
            late = left + LATE_S
            arrived_late += began > late
            if began <= late < began + WORK_S:
                long += 1
                at_work += ended > late
    fleet.record.say("%d requests would have lasted half a second longer "
                     "than their callers; servers were at work on %d then; "
                     "%d requests arrived later than that", long, at_work,
                     arrived_late)
    broken = at_work > SHARE * long or arrived_late > FEW
    if broken:
        fleet.record.say("GONE: broken")
    return broken


def main():
    fleet = Fleet(HERE, ["lhr-a", "khi-a", "pew-a"],
                  [route("lesson-read", "/lessons/", "safe", "lesson-desk",
                         **{"timeout-ms": LIMIT_MS,
                            "target-latency-ms": 600})])
    try:
        zones = ("lhr-a", "khi-a", "pew-a")
        for i in range(SERVERS):
            fleet.add_worker("i-%04d" % i, "lesson-desk", zones[i % 3],
                             slots=SLOTS, work_s=WORK_S)
        fleet.start()
        time.sleep(2)
        pipeliner = Pipeliner(fleet, trouble())
        thread = threading.Thread(target=pipeliner.run)
        thread.start()
        # Other callers stay; they show that the servers serve.
        others = Clients(fleet, 10, lambda: ("GET", "/lessons/x", b""),
                         limit_ms=LIMIT_MS)
        others.run(LENGTH_S)
        thread.join()
        good = [a for a in others.answers.values()
                if a is not None and a.status == 200]
        fleet.record.say("%d of %d requests of other callers were served",
                         len(good), len(others.sent))
        if not good:
            raise RuntimeError("no request was served")
        return 1 if judge(fleet, pipeliner.left_at) else 0
    finally:
        fleet.stop()


if __name__ == "__main__":
    try:
        code = main()
    except (RuntimeError, OSError) as error:
        print("the case can't run: %s" % error)
        code = 2
    os._exit(code)
