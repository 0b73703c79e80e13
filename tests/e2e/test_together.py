"""Many failures at once, against the real processes.

    test_together.py [--seed N] [--seconds N]

Entry VMs, backend servers and the store fail in an order given by the seed,
also at the same time and repeatedly, while callers send requests and two
operators put sheets. All of them record the answers; history.py then checks
the records. Timing and interleaving differ between runs of a seed, but the
checks do not depend on them. Without arguments the fixed seeds run.
"""

import argparse
import heapq
import http.client
import random
import signal
import sys
import threading
import time
import unittest

import history
from harness import Deployment, exchange, wait_until
from history import Attempt, Sample, SheetPut

SEEDS = (1, 2, 33)
SECONDS = 8
REGIONS = ("montreal", "quebec")
SERVERS = 4
SLOTS = 3
SERVER_QUEUE = 3
DEADLINE_MS = 2000
SERVICES = {"dossiers": {"backends": SERVERS, "slots": SLOTS, "queue": 50,
                         "mean_ms": 20, "once": ["/certificates"],
                         "deadline_ms": DEADLINE_MS}}
CALLERS = 64
BLOCKS = 8  # of callers, per region; a share moves whole blocks
MAX_ATTEMPTS = 25
CALL_TIMEOUT_S = 8  # longer than any deadline and any freeze
CAPS = (5, 10, 20)
PUT_EVERY_S = 1.5
# Faults of a single request, named in its query.
REQUEST_FAULTS = ("cut-chunked", "short", "close-framed", "late",
                  "reset-mid", "silent", "hang", "crash")
HEALTHY_STORE = {"down": False, "freeze": False, "delay_ms": 0,
                 "lose_acks": 0, "stale_reads": False}
HEALTHY_SERVER = {"slots": SLOTS, "queue": 50, "slow": 1, "delay_ms": 0,
                  "probe_ms": 0, "report": "honest", "report_late_ms": 0,
                  "leaving": False, "refuse": False}
CALL_ERRORS = (OSError, http.client.HTTPException)


class Callers:
    """Callers of both regions. Each keeps old lookups, and retries requests
    with an idempotency key until it knows the outcome or stops retrying."""

    def __init__(self, d, seed):
        self.d = d
        self.attempts = []
        self.stopped = False
        self.threads = [threading.Thread(
            target=self.run, args=(number, random.Random("%d/%d" % (
                seed, number)))) for number in range(CALLERS)]
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopped = True
        for thread in self.threads:
            thread.join()

    def run(self, number, rng):
        home = REGIONS[number % 4 == 0]
        block = number // 4 % BLOCKS
        source = self.d.caller_ip(home, block * 256 + number + 1)
        count = 0
        vms = sorted(self.d.vms)
        while not self.stopped:
            if rng.random() < 0.1:
                vms = self.look_up(rng, source) or vms
            count += 1
            template = make_request(rng, "c%d-%d" % (number, count), home)
            self.retry_until_known(rng, template, vms, source)

    def look_up(self, rng, source):
        try:
            answer = self.d.lookup(rng.choice(sorted(self.d.vms)), "dossiers",
                                   source)
            return [row["name"] for row in answer.json()["vms"]]
        except (*CALL_ERRORS, ValueError, KeyError):
            return None

    def retry_until_known(self, rng, template, vms, source):
        stops_retrying = rng.random() < 0.3  # after "not-run"
        for _ in range(MAX_ATTEMPTS):
            vm = rng.choice(vms)
            attempt = self.send(rng, template, vm, source)
            known = attempt.is_from_backend() or attempt.outcome == "ran"
            if not attempt.once or known or self.stopped or (
                    stops_retrying and attempt.outcome == history.NOT_RUN):
                return
            vms = sorted(self.d.vms)  # a retry may use any entry VM
            time.sleep(rng.uniform(0.05, 0.3))

    def send(self, rng, template, vm, source):
        attempt = Attempt(**{**template, "vm": vm})
        # Some callers disconnect during the request.
        timeout = 0.05 if rng.random() < 0.04 else CALL_TIMEOUT_S
        attempt.sent = time.monotonic()
        try:
            answer = self.d.request(
                vm, "/s/dossiers" + attempt.target, attempt.method,
                attempt.body or None, source, timeout,
                Idempotency_Key=attempt.key, Sas_Caller="caller")
        except ConnectionRefusedError:
            attempt.outcome = history.NOT_RUN  # nothing was sent
        except CALL_ERRORS:
            pass
        else:
            attempt.status = answer.status
            attempt.outcome = answer.outcome
            attempt.reason = answer.reason
            attempt.region = answer.region
            attempt.replayed = answer.replayed == "1"
            attempt.answer = answer.body
        attempt.done = time.monotonic()
        self.attempts.append(attempt)
        return attempt


def make_request(rng, key, home):
    """Each request has a unique target and idempotency key."""
    kind = rng.choices(("get", "post", "once"), (50, 10, 40))[0]
    path = "/certificates/" if kind == "once" else "/records/"
    parameters = ["ms=%d" % (rng.randint(100, 800) if rng.random() < 0.1
                             else rng.randint(1, 40))]
    if rng.random() < 0.1:
        parameters.append("bytes=%d" % rng.choice((1, 5000, 200000)))
    if rng.random() < 0.1:
        parameters.append("chunked=1")
    if rng.random() < 0.04:
        parameters.append("fault=" + rng.choice(REQUEST_FAULTS))
    return {"key": key, "home": home, "once": kind == "once",
            "method": "GET" if kind == "get" else "POST",
            "target": path + key + "?" + "&".join(parameters),
            "body": b"" if kind == "get" else key.encode() *
            rng.randint(1, 20)}


class Operators:
    """Two operators that put sheets at the same time, through different
    entry VMs, and retry each operation until they know its outcome."""

    def __init__(self, d, seed):
        self.d = d
        self.puts = []
        self.stopped = False
        self.put(random.Random(seed), "first", 99, CAPS[-1])
        d.wait_version(1)
        self.threads = [threading.Thread(
            target=self.run, args=(name, random.Random("%d/%s" % (
                seed, name)))) for name in ("planner", "night-shift")]
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopped = True
        for thread in self.threads:
            thread.join()

    def run(self, name, rng):
        count = 0
        cap = CAPS[-1]
        while not self.stopped:
            # Both put within 20 ms. Most sheets keep the cap, since one that
            # changes all the time would never be used in full.
            time.sleep(PUT_EVERY_S - time.monotonic() % PUT_EVERY_S +
                       rng.uniform(0, 0.02))
            count += 1
            cap = rng.choice(CAPS) if rng.random() < 0.2 else cap
            # The count makes each sheet unique.
            share = rng.choice((50, 99)) + count * 0.0001
            self.put(rng, "%s-%d" % (name, count), share, cap)

    def put(self, rng, operation, share, cap):
        rows = ["+0,dossiers,montreal,quebec,%.4f%%,%d req/s,," % (share, cap),
                "+0,dossiers,quebec,montreal,%.4f%%,%d req/s,," % (
                    10 + share / 100, cap)]
        if operation.startswith("night"):
            rows.reverse()
        sheet = "time,service,from,to,share,cap,drain,limits\n" + "".join(
            row + "\n" for row in rows)
        put = SheetPut(operation, sheet, cap)
        base = self.read_version(rng.choice(sorted(self.d.vms)))
        put.sent = time.monotonic()
        self.puts.append(put)
        while True:
            put.answers.append(self.send(rng.choice(sorted(self.d.vms)), put,
                                         base))
            put.done = time.monotonic()
            status, _ = put.answers[-1]
            if status in (200, 409, 422) or self.stopped:
                return
            time.sleep(rng.uniform(0.05, 0.3))

    def read_version(self, vm):
        """If-Match with the version that the operator believes in force."""
        try:
            return {"If_Match": '"%d"' % self.d.status(vm)["version"]}
        except CALL_ERRORS:
            return {}

    def send(self, vm, put, base):
        try:
            answer = self.d.admin(vm, "PUT", "/v1/sheet", put.sheet,
                                  Sas_Operation=put.operation,
                                  Sas_Operator="operator", **base)
        except ConnectionRefusedError:
            return 503, "refused"  # nothing was sent
        except CALL_ERRORS:
            return None, None
        answer_json = answer.json()
        return answer.status, (answer_json["version"] if answer.status == 200
                               else answer_json["reason"])


class Monitor:
    """Polls the sheet in force of all entry VMs."""

    def __init__(self, d):
        self.d = d
        self.incarnations = {vm: 1 for vm in d.vms}
        self.samples = []
        self.stopped = False
        self.threads = [threading.Thread(target=self.run, args=(vm,))
                        for vm in d.vms]
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopped = True
        for thread in self.threads:
            thread.join()

    def run(self, vm):
        while not self.stopped:
            try:
                self.sample(vm)
            except CALL_ERRORS:
                pass
            time.sleep(0.1)

    def look(self, vm):
        incarnation = self.incarnations[vm]
        sent = time.monotonic()
        answer = self.d.admin(vm, "GET", "/v1/sheet")
        done = time.monotonic()
        # During a replacement either process may have answered.
        if answer.status == 200 and incarnation == self.incarnations[vm]:
            self.samples.append(Sample(
                vm, incarnation, sent, done,
                int(answer.headers["ETag"].strip('"')),
                answer.body.decode()))


class Failures:
    """Starts and ends failures. do_NAME starts one and undo_NAME ends it, both
    with the argument of pick_NAME, or of pick_server without that."""

    KINDS = {"kill": 3, "freeze": 4, "stop": 2, "server_crash": 3,
             "stall": 2, "shed": 2, "slow": 2, "late": 2, "misreport": 2,
             "leave": 2, "region": 1, "store": 6, "list": 3}

    def __init__(self, d, monitor, seed):
        self.d = d
        self.monitor = monitor
        self.rng = random.Random(seed)
        self.down = set()  # entry VMs that were killed or told to stop
        self.stalls = {region: [] for region in REGIONS}
        self.pending = []  # heap of (time, number, name, argument)
        self.number = 0
        self.log = []
        self.bad_exits = []  # unexpected exits of entry VMs

    def run(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.begin(self.rng.choices(list(self.KINDS),
                                        list(self.KINDS.values()))[0])
            pause = time.monotonic() + self.rng.uniform(0.05, 0.5)
            while time.monotonic() < pause:
                self.undo_expired(time.monotonic())
                self.find_bad_exits()
                time.sleep(0.02)

    def begin(self, name):
        argument = getattr(self, "pick_" + name, self.pick_server)()
        duration_s = self.rng.choice((0.3, 1.0, 4.5))
        if argument is None:
            return
        self.log.append("%.2f %s %s for %.1f s" % (
            time.monotonic(), name, argument, duration_s))
        getattr(self, "do_" + name)(argument)
        self.number += 1
        heapq.heappush(self.pending, (time.monotonic() + duration_s,
                                      self.number, name, argument))

    def undo_expired(self, now):
        while self.pending and self.pending[0][0] <= now:
            _, _, name, argument = heapq.heappop(self.pending)
            self.log.append("%.2f end of %s %s" % (time.monotonic(), name,
                                                   argument))
            getattr(self, "undo_" + name)(argument)

    def find_bad_exits(self):
        """No failure of another process may end an entry VM."""
        for vm in sorted(set(self.d.vms) - self.down):
            status = self.d.nodes[vm].process.poll()
            if status is not None:
                self.bad_exits.append("%s ended by itself, status %d" % (
                    vm, status))
                self.down.add(vm)

    def repair_all(self):
        self.find_bad_exits()
        self.undo_expired(float("inf"))
        self.d.control_platform(**HEALTHY_STORE)
        self.d.control_backends("*", **HEALTHY_SERVER)
        self.undo_list(None)

    # Entry VMs.

    def pick_vm(self):
        """One that runs; it may be frozen already."""
        up = sorted(set(self.d.vms) - self.down)
        return self.rng.choice(up) if up else None

    pick_kill = pick_freeze = pick_stop = pick_vm

    def do_kill(self, vm):
        self.down.add(vm)
        self.d.kill(vm)

    def undo_kill(self, vm):
        self.d.nodes[vm].stop()
        self.monitor.incarnations[vm] += 1
        self.d.start_node(vm)
        self.down.discard(vm)

    def do_freeze(self, vm):
        self.d.pause(vm)

    def undo_freeze(self, vm):
        self.d.resume(vm)

    def do_stop(self, vm):
        self.down.add(vm)
        self.d.kill(vm, signal.SIGTERM)

    # An entry VM that has not stopped by then is replaced anyway. Status
    # -SIGTERM is valid: the process may not have installed its handler yet.
    def undo_stop(self, vm):
        status = self.d.nodes[vm].process.poll()
        if status not in (None, 0, -signal.SIGTERM):
            self.bad_exits.append("%s stopped with status %d" % (vm, status))
        self.undo_kill(vm)

    # Backend servers.

    def pick_server(self):
        return "dossiers-%s-%02d" % (self.rng.choice(REGIONS),
                                     self.rng.randint(1, SERVERS))

    def do_server_crash(self, server):
        self.d.control_backends(server, crash=self.rng.choice((50, 800)))

    def do_stall(self, server):
        self.stalls[server.split("-")[1]].append(time.monotonic())
        self.d.control_backends(server, silent=True)

    def do_shed(self, server):
        self.d.control_backends(server, slots=1, queue=0)

    def undo_shed(self, server):
        self.d.control_backends(server, slots=SLOTS, queue=50)

    def do_slow(self, server):
        self.d.control_backends(server, slow=20)

    def undo_slow(self, server):
        self.d.control_backends(server, slow=1)

    def do_late(self, server):
        self.d.control_backends(server, delay_ms=80)

    def undo_late(self, server):
        self.d.control_backends(server, delay_ms=0)

    def do_misreport(self, server):
        self.d.control_backends(server, report_late_ms=1500,
                                report=self.rng.choice(("zero", "random",
                                                        "honest")))

    def undo_misreport(self, server):
        self.d.control_backends(server, report="honest", report_late_ms=0)

    def do_leave(self, server):
        self.d.control_backends(server, leaving=True)

    # A new process of the same name replaces it.
    def undo_leave(self, server):
        self.d.control_backends(server, leaving=False, crash=100)

    def pick_region(self):
        return "dossiers-%s-*" % self.rng.choice(REGIONS)

    def do_region(self, pattern):
        self.d.control_backends(pattern, crash=5000)

    def do_nothing(self, argument):
        pass

    undo_server_crash = undo_stall = undo_region = do_nothing

    # The platform.

    def pick_store(self):
        return self.rng.choice((("down", True), ("freeze", True),
                                ("delay_ms", 400), ("lose_acks", 1),
                                ("lose_acks", 4), ("stale_reads", True)))

    def do_store(self, fault):
        self.d.control_platform(**dict([fault]))

    def undo_store(self, fault):
        self.d.control_platform(**{fault[0]: HEALTHY_STORE[fault[0]]})

    def pick_list(self):
        """The platform's list, with some entries missing or leaving."""
        names = sorted(self.d.vms) + sorted(self.d.backends)
        return [{"name": name, "state": "leaving" if self.rng.random() < 0.2
                 else "live"} for name in names if self.rng.random() < 0.8]

    def do_list(self, rows):
        self.d.set_vms(rows)

    # Servers listed as leaving are restarted; otherwise they would get no
    # requests for good.
    def undo_list(self, rows):
        names = sorted(self.d.vms) + sorted(self.d.backends)
        self.d.set_vms([{"name": name, "state": "live"} for name in names])
        for row in rows or []:
            if row["state"] == "leaving" and row["name"] in self.d.backends:
                self.d.control_backends(row["name"], crash=100)


def read_head(d):
    """The configuration head of the store, with the version in force."""
    return exchange(("127.0.0.1", d.store_port), "GET",
                    "/table/config/head").json()


def read_versions(d):
    rows = read_head(d)["history"]
    return [(row["version"], row["operation"]) for row in rows]


def read_journal(d):
    journal = {}
    for keys in d.counts_by_key():
        for key, counts in keys.items():
            journal[key] = journal.get(key, 0) + counts["started"]
    return journal


def read_state(d, vm):
    """The version that an entry VM has, and the status of a request."""
    try:
        return (d.status(vm)["version"],
                d.request(vm, "/s/dossiers/healed").status)
    except CALL_ERRORS:
        return None, None


def wait_converged(d):
    """Waits until each entry VM is ready, has the version in force and
    serves. Does not raise at the time limit: the check on what it returns
    names the entry VMs that did not."""
    version = read_head(d)["version"]
    at_end = {}

    def look():
        at_end.update({vm: read_state(d, vm) for vm in d.vms})
        return (not history.check_converged(version, at_end) and
                all(d.health(vm) == 200 for vm in d.vms))

    try:
        wait_until(look, "all entry VMs converge")
    except AssertionError:
        at_end.update({vm: (at_end[vm][0], "not ready") for vm in d.vms
                       if d.health(vm) != 200})
    return version, at_end


class TogetherTest(unittest.TestCase):

    # Guards against failures that overlap in any order and lead to wrong or
    # mixed-up answers, non-idempotent requests that run twice, a false
    # "not-run", a region over its limits, or a sheet in force that is not the
    # accepted one.
    def run_seed(self, seed, seconds):
        with Deployment(REGIONS, vms=2, services=SERVICES, blocks=BLOCKS,
                        limits={"drain_notice_ms": 300}) as d:
            d.set_vms([{"name": name, "state": "live"}
                       for name in [*d.vms, *d.backends]])
            monitor = Monitor(d)
            operators = Operators(d, seed)
            callers = Callers(d, seed)
            failures = Failures(d, monitor, seed)
            try:
                failures.run(seconds)
            finally:
                failures.repair_all()
                operators.stop()
                # Lets callers learn pending outcomes by retries.
                time.sleep(1.5)
                callers.stop()
                monitor.stop()
            version, at_end = wait_converged(d)
            failures.find_bad_exits()
            attempts = callers.attempts
            wrong = self.check(d, attempts, operators.puts, monitor.samples,
                               failures) + \
                history.check_converged(version, at_end) + failures.bad_exits
            self.report(d, seed, seconds, attempts, operators.puts, version,
                        failures)
            if wrong:
                print("\n".join(failures.log))
            self.assertEqual(wrong, [], "seed %d" % seed)

    def check(self, d, attempts, puts, samples, failures):
        journal = read_journal(d)
        versions = read_versions(d)
        wrong = history.check_answers(attempts)
        wrong += history.check_agreement(attempts)
        wrong += history.check_single_runs(attempts, journal)
        wrong += history.check_not_run(attempts, journal)
        for home, target in (REGIONS, REGIONS[::-1]):
            wrong += history.check_cap(attempts, puts, samples, list(d.vms),
                                       home, target)
        for region in REGIONS:
            wrong += history.check_concurrency(
                region, d.peak("dossiers", region),
                SERVERS * (SLOTS + SERVER_QUEUE), failures.stalls[region],
                SLOTS, DEADLINE_MS / 1000 + 0.5)
        wrong += history.check_versions_rise(samples)
        wrong += history.check_versions(puts, versions)
        wrong += history.check_sheets(puts, versions, samples)
        return wrong

    def report(self, d, seed, seconds, attempts, puts, version, failures):
        answers = {}
        for one in attempts:
            name = (one.status, one.outcome, one.reason)
            answers[name] = answers.get(name, 0) + 1
        print("seed %d, %d s: %d failures, %d attempts, %d puts, version %d" %
              (seed, seconds, failures.number, len(attempts), len(puts),
               version))
        for name, count in sorted(answers.items(), key=str):
            print("  %5d %s" % (count, name))
        shifted = sum(1 for one in attempts
                      if one.region not in (None, one.home))
        print("  %5d in another region" % shifted)
        lost = sum(1 for put in puts if put.answers[-1][0] == 409)
        print("  %5d puts lost a race" % lost)
        for region in REGIONS:
            print("  %5d at a time in %s" % (d.peak("dossiers", region),
                                             region), flush=True)


def add_seed(seed, seconds):
    setattr(TogetherTest, "test_seed_%d" % seed,
            lambda self: self.run_seed(seed, seconds))


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, action="append")
    parser.add_argument("--seconds", type=int, default=SECONDS)
    options, rest = parser.parse_known_args()
    for one_seed in options.seed or SEEDS:
        add_seed(one_seed, options.seconds)
    unittest.main(argv=sys.argv[:1] + rest)
