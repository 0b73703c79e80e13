"""A request crashes the workers that begin it, and comes again every 2.7 s.

A worker is back after 2 s under the id that it had, and writes its row with
its next ping, 1.2 s after its start. The request comes before that, goes to
the same workers, and crashes them again. The entry VMs tell crashes apart by
the `born` of the row, which is still that of the first process. So they count
one crash of a worker, however many there are, and go on sending the request.
Other callers' filings for the same object, which run there, are lost.
"""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))), "lib-2"))
from common import TROUBLE, main  # noqa: E402
from entry_harness import Fleet  # noqa: E402
from servers import PoisonRequest, Server  # noqa: E402

ZONES = ("a", "a", "a", "b", "b", "b", "c", "c")  # of the entry VMs
BOUNDS = {"budget-burst": 56}  # the others are the defaults
WORKERS = 9
PERIOD_S = 2.7
ROW_DELAY_S = 1.2      # under heartbeat-ms, 1,500
ROUNDS = 11
FIRST_FILING = 3       # round
FILING_LEAD_S = 0.1    # before the poison request


class Filings:
    """Unsafe requests for the same object, by other callers elsewhere."""

    def __init__(self, vms, record):
        self.vms = vms
        self.record = record
        self.statuses = {}  # by path; 0: no answer
        self.threads = []

    def send(self, number):
        self.threads.append(threading.Thread(target=self.run, args=(number,)))
        self.threads[-1].start()

    def run(self, number):
        vm = self.vms[number % len(self.vms)]
        path = "/filings/%d" % number
        try:
            self.statuses[path] = vm.request(
                "POST", path, b"x", key="poison", deadline_ms=1500,
                timeout=5).status
        except OSError:
            self.statuses[path] = 0
        self.record.write("filing %s at %s: %d", path, vm.name,
                          self.statuses[path])


def play_day(fleet, record, servers):
    fleet.start()
    time.sleep(PoisonRequest.STABLE_WINDOW_S + 0.5)
    region = [vm for vm in fleet.vms if vm.zone in "ab"]
    poison = PoisonRequest(region[:4], record, PoisonRequest.SAFE)
    filings = Filings(region[4:], record)
    for number in range(ROUNDS):
        began = time.monotonic()
        if number >= FIRST_FILING:
            filings.send(number)
        time.sleep(FILING_LEAD_S)
        poison.send()
        time.sleep(max(began + PERIOD_S - time.monotonic(), 0))
    for thread in filings.threads:
        thread.join()
    return poison.judge(servers, filings.statuses)


def play(record):
    with Fleet(vms=ZONES, first_start=True, bounds=BOUNDS) as fleet:
        servers = [Server(fleet, record, i, row_delay_s=ROW_DELAY_S,
                          poison=PoisonRequest.SAFE[1] if TROUBLE else "")
                   for i in range(WORKERS)]
        try:
            return play_day(fleet, record, servers)
        finally:
            for server in servers:
                server.stop()


main(os.path.dirname(os.path.abspath(__file__)), play)
