#!/usr/bin/python3
"""Demo: 28 seconds of Groupe Hottes Laurentides at its current size.

Usage: demo.py [--build build]

Starts 9 entry VMs and 24 + 12 backend servers in 3 regions as separate
processes on loopback, puts a sheet with sassafrassillctl while callers send
requests, and prints a table of what was ordered against what happened.
Exit status 0: every row of the table held; 1: some row did not hold, or the
time limit was reached; 130: interrupted. Ends within LIMIT_S seconds and stops
all its processes.
"""

import argparse
import collections
import ctypes
import http.client
import itertools
import json
import os
import signal
import subprocess
import sys
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
LIMIT_S = 45
CLEANUP_S = 2

# The load. Each caller sends about one request per INTERVAL_S.
DOSSIERS_CALLERS = 160  # of Montreal
GALERIE_CALLERS = 16
OTHER_CALLERS = 20  # of Quebec City and of Saguenay, each
CALLERS_PER_THREAD = 4
INTERVAL_S = 1.0
NOTE_EVERY = 8  # about every 8th dossiers request posts a note,
VISIT_EVERY = 16  # every other one of them a visit, which is billed
PHOTO_BYTES = 200000
RECORD_BYTES = 3000

# The schedule, in seconds after the sheet was accepted.
SHIFT_AT = 2
RAMP_S = 4
SHIFT_FULL = SHIFT_AT + RAMP_S + 2
SHARE_PERCENT = 30
CAP = 20  # req/s, less than half of the rate of the share without a cap
DRAIN_AT = 8
LEAVING = "dossiers-montreal-03"
DRAIN_GRACE_S = 5
UPLOADS_AT = 10
STOP_AT = 12
END_AT = 28
SHEET = """time,service,from,to,share,cap,drain,limits
+{shift},dossiers,montreal,quebec,{share}%,{cap} req/s,,ramp={ramp}
+{shift},galerie,montreal,saguenay,10%,200 Mbit/s,,ramp=60
+{drain},,,,,,{leaving},
+34,dossiers,montreal,quebec,0%,,,ramp=60
""".format(shift=SHIFT_AT, share=SHARE_PERCENT, cap=CAP, ramp=RAMP_S,
           drain=DRAIN_AT, leaving=LEAVING)

# Longer than the TTL of lookups while a shift is near (SasLookup in the core).
DRAIN_NOTICE_MS = 8000
UPLOADS = 6
UPLOAD_BYTES = 2000000
UPLOAD_PARTS = 20
UPLOAD_PART_S = 0.7  # per part: slow uploads outlast DRAIN_NOTICE_MS
UPLOAD_RUN_MS = 9000  # service time of the fast uploads

# Limits of the table, wide enough for a busy machine.
TIMEOUT_S = 15
CAP_WINDOW_S = 5
CAP_SLACK_S = 1  # a request may wait this long between sending and its slot
SHARE_SLACK = 6  # percent; callers move in blocks
P50_LIMIT_MS = 500
P99_LIMIT_MS = 3000
REFUSED_LIMIT = 0.01

Record = collections.namedtuple(
    "Record", "sent done home service vm status backend region reason "
    "outcome key fault")
Lookup = collections.namedtuple("Lookup", "made home service region")
Row = collections.namedtuple("Row", "what ordered happened held")


class Results:
    """Results of all callers; list appends are atomic across threads."""

    def __init__(self):
        self.records = []
        self.uploads = []
        self.lookups = []
        self.refused_connections = []
        self.ended = threading.Event()


class Caller:
    """Looks up entry VMs, caches the answer for its TTL, sends requests."""

    numbers = itertools.count()

    def __init__(self, deployment, results, home, service, network):
        self.deployment = deployment
        self.results = results
        self.home = home
        self.service = service
        self.source = deployment.caller_ip(home, network << 8 | 1)
        own = [vm for vm in deployment.vms if vm.startswith(home)]
        others = [vm for vm in deployment.vms if vm not in own]
        self.all_vms = [(vm, deployment.caller_address(vm))
                        for vm in own + others]
        self.vms = []
        self.expires = 0

    def connect(self, vms):
        """Connects to the first entry VM that accepts. Trying the next one is
        safe: nothing was sent to those that refused."""
        for name, address in vms:
            connection = http.client.HTTPConnection(
                *address, timeout=TIMEOUT_S, source_address=(self.source, 0))
            try:
                connection.connect()
                return name, connection
            except ConnectionRefusedError:
                connection.close()
                self.results.refused_connections.append(name)
        raise ConnectionRefusedError("no entry VM of the lookup accepts")

    def look_up(self):
        now = time.time()
        if now < self.expires:
            return
        _, connection = self.connect(self.vms + self.all_vms)
        try:
            connection.request("GET", "/v1/lookup?service=" + self.service)
            answer = json.loads(connection.getresponse().read())
        finally:
            connection.close()
        self.vms = [(vm["name"], (vm["ip"], vm["port"]))
                    for vm in answer["vms"]]
        self.expires = now + answer["lifetime_s"]
        self.results.lookups.append(
            Lookup(now, self.home, self.service, answer["region"]))

    def ask(self):
        number = next(self.numbers)
        if self.service == "galerie":
            return self.get("/photos/%d?bytes=%d" % (number, PHOTO_BYTES),
                            PHOTO_BYTES)
        if number % VISIT_EVERY == 0:
            return self.post("/visits/%d" % number, "visit-%d" % number)
        if number % NOTE_EVERY == 0:
            return self.post("/notes/%d" % number, "note-%d" % number)
        return self.get("/files/%d?bytes=%d" % (number, RECORD_BYTES),
                        RECORD_BYTES)

    def get(self, target, size):
        complete = (target * (size // len(target) + 1))[:size].encode()
        return self.exchange("GET", target, None, None,
                             lambda body: body == complete)

    def post(self, target, key):
        body = b"the hood of %s was opened" % target.encode()

        def is_own(answer):
            answer = json.loads(answer)
            return (answer["target"], answer["body_hash"]) == (
                target, hash_body(body))

        return self.exchange("POST", target, body, key, is_own)

    def exchange(self, method, target, body, key, is_complete,
                 send=http.client.HTTPConnection.request):
        sent = time.time()
        vm = answer = fault = None
        data = b""
        try:
            self.look_up()
            vm, connection = self.connect(self.vms)
            try:
                headers = {"Idempotency-Key": key} if key else {}
                send(connection, method, "/s/" + self.service + target, body,
                     headers)
                answer = connection.getresponse()
                data = answer.read()
            finally:
                connection.close()
            if answer.status == 200 and not is_complete(data):
                fault = "wrong answer"
        except (OSError, http.client.HTTPException, ValueError) as error:
            fault = "%s: %s" % (type(error).__name__, error)
        get = answer.headers.get if answer else lambda name: None
        return Record(sent, time.time(), self.home, self.service, vm,
                      answer.status if answer else 0, get("Sas-Backend"),
                      get("Sas-Region"), get("Sas-Reason"),
                      get("Sas-Outcome"), key, fault)


def hash_body(body):
    return "%016x" % xxhash.XXH64(body, ctypes.c_size_t(len(body)),
                                  ctypes.c_uint64(0))


def load_xxhash():
    library = ctypes.CDLL("libxxhash.so.0")
    library.XXH64.restype = ctypes.c_uint64
    return library


xxhash = load_xxhash()


def run_callers(callers, results):
    """Runs several callers on one thread, each at its rate."""
    due = [time.time() + INTERVAL_S * index / len(callers)
           for index in range(len(callers))]
    while not results.ended.is_set():
        index = due.index(min(due))
        if results.ended.wait(max(0, due[index] - time.time())):
            return
        results.records.append(callers[index].ask())
        due[index] = max(due[index] + INTERVAL_S, time.time())


def send_slowly(connection, method, path, body, headers):
    connection.putrequest(method, path)
    connection.putheader("Content-Length", str(len(body)))
    for header in headers.items():
        connection.putheader(*header)
    connection.endheaders()
    size = len(body) // UPLOAD_PARTS + 1
    for start in range(0, len(body), size):
        connection.send(body[start:start + size])
        time.sleep(UPLOAD_PART_S)


def upload(caller, number, results):
    """Sends a photo, slowly or at once, and checks the answer's hash."""
    body = bytes((index * 7 + number) & 255 for index in range(256)) * (
        UPLOAD_BYTES // 256)
    slow = number % 2 == 0
    target = "/uploads/%d" % number
    if not slow:
        target += "?ms=%d" % UPLOAD_RUN_MS

    def is_own(answer):
        return json.loads(answer)["body_hash"] == hash_body(body)

    results.uploads.append(caller.exchange(
        "POST", target, body, None, is_own,
        send_slowly if slow else http.client.HTTPConnection.request))


class Demo:
    """One run of the demo."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.results = Results()
        self.threads = []
        self.rows = []
        self.accepted = 0
        self.stopped = None
        self.stop_status = None

    # The sheet.

    def ctl(self, *words):
        d = self.deployment
        nodes = []
        for vm in list(d.vms)[:3]:
            nodes += ["--node", "%s:%d" % (d.ip, d.vms[vm][1][2])]
        done = subprocess.run(
            [d.build + "/bin/sassafrassillctl", *nodes, "--token-file",
             d.path("token"), "--operator", "demo", *words],
            stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
            timeout=LIMIT_S)
        for line in done.stdout.splitlines():
            print("    " + line)
        return done.returncode

    def put_sheet(self):
        path = self.deployment.path("morning.csv")
        with open(path, "w") as file:
            file.write(SHEET)
        print("The sheet:\n" + "".join(
            "    %s\n" % line for line in SHEET.splitlines()), flush=True)
        checked = self.ctl("sheet", "check", path)
        started = time.time()
        put = self.ctl("sheet", "put", path, "--wait", "10")
        history = self.deployment.admin(
            next(iter(self.deployment.vms)), "GET", "/v1/history").json()
        self.accepted = history["versions"][-1]["accepted_ms"] / 1000
        self.add("the sheet is checked and put", "in force on 9 entry VMs",
                 "after %.1f s" % (time.time() - started),
                 checked == 0 and put == 0)

    # The callers.

    def start(self, run, *arguments):
        thread = threading.Thread(target=run, args=arguments, daemon=True)
        self.threads.append(thread)
        thread.start()

    def start_callers(self):
        d = self.deployment
        callers = [Caller(d, self.results, "montreal", "dossiers", network)
                   for network in range(DOSSIERS_CALLERS)]
        callers += [Caller(d, self.results, "montreal", "galerie", network)
                    for network in range(GALERIE_CALLERS)]
        for home in ("quebec", "saguenay"):
            callers += [Caller(d, self.results, home, "dossiers", network)
                        for network in range(OTHER_CALLERS)]
        for start in range(0, len(callers), CALLERS_PER_THREAD):
            self.start(run_callers, callers[start:start + CALLERS_PER_THREAD],
                       self.results)

    def wait_for(self, second, what):
        time.sleep(max(0, self.accepted + second - time.time()))
        print("%4.0f s  %s" % (time.time() - self.accepted, what), flush=True)

    def count_started(self, name):
        return self.deployment.counts()[name]["started"]

    # The schedule.

    def run(self):
        self.put_sheet()
        self.start_callers()
        self.wait_for(SHIFT_AT, "the shift begins")
        self.wait_for(DRAIN_AT, "the drain of " + LEAVING + " begins")
        self.wait_for(UPLOADS_AT, "%d uploads begin" % UPLOADS)
        for number in range(UPLOADS):
            caller = Caller(self.deployment, self.results, "montreal",
                            "galerie", number)
            caller.look_up()
            if self.stopped is None:
                self.stopped = caller.vms[0][0]
            caller.vms.sort(key=lambda vm: vm[0] != self.stopped)
            self.start(upload, caller, number, self.results)
        self.wait_for(STOP_AT, "SIGTERM to " + self.stopped)
        self.deployment.kill(self.stopped, signal.SIGTERM)
        self.wait_for(DRAIN_AT + DRAIN_GRACE_S,
                      "no new requests to " + LEAVING)
        started = self.count_started(LEAVING)
        self.stop_status = self.deployment.nodes[self.stopped].wait(
            self.accepted + END_AT - time.time())
        self.wait_for(0, self.stopped + " has ended with status %d" %
                      self.stop_status)
        self.wait_for(END_AT, "the callers stop")
        self.results.ended.set()
        for thread in self.threads:
            thread.join(TIMEOUT_S)
        self.check_shift()
        self.check_drain(self.count_started(LEAVING) - started)
        self.check_stop()
        self.check_answers()

    # The table.

    def add(self, what, ordered, happened, held):
        self.rows.append(Row(what, ordered, happened, held))

    def check_shift(self):
        lookups = [row for row in self.results.lookups
                   if row.made > self.accepted + SHIFT_FULL and
                   (row.home, row.service) == ("montreal", "dossiers")]
        moved = sum(row.region == "quebec" for row in lookups)
        percent = 100 * moved / max(len(lookups), 1)
        self.add("share of montreal's lookups to quebec",
                 "%d%%" % SHARE_PERCENT, "%.1f%%" % percent,
                 SHARE_PERCENT / 2 <= percent <= SHARE_PERCENT + SHARE_SLACK)
        times = sorted(row.sent for row in self.results.records
                       if (row.home, row.service, row.region) ==
                       ("montreal", "dossiers", "quebec"))
        busiest = max((sum(start <= at < start + CAP_WINDOW_S for at in times)
                       for start in times), default=0)
        self.add("the shift's busiest %d s" % CAP_WINDOW_S,
                 "cap %d req/s" % CAP, "%.1f req/s" % (busiest / CAP_WINDOW_S),
                 0 < busiest <= CAP * (CAP_WINDOW_S + CAP_SLACK_S))
        full = [at for at in times if at > self.accepted + SHIFT_FULL]
        seconds = END_AT - SHIFT_FULL
        self.add("the shift's mean once it is full", "cap %d req/s" % CAP,
                 "%.1f req/s" % (len(full) / seconds),
                 0 < len(full) <= CAP * (seconds + CAP_SLACK_S))

    def check_drain(self, late):
        last = max((row.sent for row in self.results.records
                    if row.backend == LEAVING), default=0)
        self.add("last request to " + LEAVING,
                 "leaves at +%d s" % DRAIN_AT,
                 "at +%.1f s" % (last - self.accepted) if last else "none",
                 last <= self.accepted + DRAIN_AT + DRAIN_GRACE_S)
        self.add("requests it started %d s after that" % DRAIN_GRACE_S, "0",
                 str(late), late == 0)

    def check_stop(self):
        self.add("exit status of " + self.stopped, "0 (graceful)",
                 str(self.stop_status), self.stop_status == 0)
        complete = [row for row in self.results.uploads
                    if row.status == 200 and row.fault is None]
        on_stopped = sum(row.vm == self.stopped
                         for row in self.results.uploads)
        self.add("uploads across its stop, complete by hash",
                 "%d of %d" % (UPLOADS, UPLOADS),
                 "%d of %d" % (len(complete), on_stopped),
                 len(complete) == on_stopped == UPLOADS)
        everything = self.results.records + self.results.uploads
        broken = [row for row in everything
                  if row.vm == self.stopped and row.fault]
        self.add("requests that the stop broke", "0", str(len(broken)),
                 not broken)
        for row in broken[:5]:
            print("        %s after %.1f s" % (row.fault, row.done - row.sent))

    def check_answers(self):
        records = self.results.records
        faults = [row.fault for row in records if row.fault]
        complete = [row for row in records
                    if row.status == 200 and row.fault is None]
        self.add("requests that failed or got another's answer", "0 of %d" %
                 len(records), str(len(faults)), not faults and complete)
        for fault in sorted(set(faults))[:5]:
            print("        " + fault)
        refused = [row for row in records
                   if row.status != 200 and row.fault is None]
        reasons = collections.Counter(
            "%s/%s" % (row.reason, row.outcome) for row in refused)
        self.add("refusals, by reason",
                 "at most %.0f%%" % (100 * REFUSED_LIMIT),
                 ", ".join("%s %d" % pair for pair in
                           reasons.most_common()) or "none",
                 len(refused) <= REFUSED_LIMIT * len(records) and
                 all(row.reason and row.outcome for row in refused))
        keys = [row.key for row in refused
                if row.key and row.outcome == "not-run"]
        ran = sum(self.deployment.count_key(key) for key in keys)
        self.add("refused as \"not run\" but ran",
                 "0 of %d" % len(keys), str(ran), ran == 0)
        visits = {row.key for row in records
                  if row.key and row.key.startswith("visit")}
        twice = self.count_repeated(visits)
        self.add("billed visits that ran twice", "0 of %d" % len(visits),
                 str(twice), twice == 0 and visits)
        times = sorted(row.done - row.sent
                       for row in complete) or [float("inf")]
        for name, share, limit in (("p50", 0.5, P50_LIMIT_MS),
                                   ("p99", 0.99, P99_LIMIT_MS)):
            ms = 1000 * times[int(share * (len(times) - 1))]
            self.add("latency, " + name,
                     "under %d ms" % limit, "%.1f ms" % ms, ms < limit)

    def count_repeated(self, keys):
        started = collections.Counter()
        for counts in self.deployment.counts_by_key():
            started.update({key: row["started"]
                            for key, row in counts.items() if key in keys})
        return sum(count > 1 for count in started.values())

    def print_table(self):
        rows = [Row("what", "ordered", "happened", "")]
        rows += [row._replace(held="held" if row.held else "NOT HELD")
                 for row in self.rows]
        widths = [max(len(row[column]) for row in rows)
                  for column in range(3)]
        print()
        for row in rows:
            cells = [row[column].ljust(widths[column]) for column in range(3)]
            print("  ".join(cells + [row.held]).rstrip())
        print("\n%d requests, %d lookups; %d connections were refused and "
              "went to the next entry VM of the lookup" %
              (len(self.results.records) + len(self.results.uploads),
               len(self.results.lookups),
               len(self.results.refused_connections)))


def stop(number, frame):
    raise KeyboardInterrupt(signal.Signals(number).name)


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--build", default=os.path.join(ROOT, "build"))
    build = os.path.abspath(parser.parse_args().build)
    os.environ.update(SAS_BUILD=build, SAS_KEEP_LOGS="0")
    sys.path.insert(0, os.path.join(ROOT, "tests", "e2e"))
    from harness import Deployment

    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGALRM):
        signal.signal(number, stop)
    signal.alarm(LIMIT_S - CLEANUP_S)
    deployment = Deployment(
        regions=("montreal", "quebec", "saguenay"), vms=3, domains=2,
        blocks=DOSSIERS_CALLERS,
        services={"dossiers": {"backends": 8, "mean_ms": 20,
                               "once": ["/visits"]},
                  "galerie": {"backends": 4, "mean_ms": 40,
                              "deadline_ms": 60000}},
        limits={"drain_notice_ms": DRAIN_NOTICE_MS})
    deployment.build = build
    print("Starting 9 entry VMs, 24 + 12 backend servers, 3 regions ...",
          flush=True)
    demo = Demo(deployment)
    try:
        with deployment:
            demo.run()
    except KeyboardInterrupt as error:
        print("stopped: " + (str(error) or "SIGINT"))
        return 1 if str(error) == "SIGALRM" else 130
    finally:
        demo.results.ended.set()
    demo.print_table()
    held = all(row.held for row in demo.rows)
    print("All rows held." if held else "NOT every row held.")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
