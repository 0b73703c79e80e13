"""Many failures at once, over the real processes.

    test_together.py [--seed N] [--seconds N]

Entry VMs, backend servers and the store fail in an order that the seed
decides, also together and twice, while callers send requests and two
operators put sheets. Everybody records what was answered; history.py then
checks the records. Neither the timing nor the interleaving repeats, but a
violation is one whatever the timing. Without arguments the fixed seeds run.
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
from history import Put, Sending, Sight

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
BLOCKS = 8  # of callers, a region; a share moves whole blocks
MAX_SENDINGS = 25
CALL_TIMEOUT_S = 8  # longer than any deadline and any freeze
CAPS = (5, 10, 20)
PUT_EVERY_S = 1.5
# Faults that a single request brings with it.
REQUEST_FAULTS = ("cut-chunked", "short", "close-framed", "late",
                  "reset-mid", "silent", "hang", "crash")
HEALTHY_STORE = {"down": False, "freeze": False, "delay_ms": 0,
                 "lose_acks": 0, "stale_reads": False}
HEALTHY_SERVER = {"slots": SLOTS, "queue": 50, "slow": 1, "delay_ms": 0,
                  "probe_ms": 0, "report": "honest", "report_late_ms": 0,
                  "leaving": False, "refuse": False}
LOST = (OSError, http.client.HTTPException)


class Callers:
    """Callers of both regions; each keeps old look-ups, and resends what may
    not repeat until it knows or gives up."""

    def __init__(self, d, seed):
        self.d = d
        self.sendings = []
        self.over = False
        self.threads = [threading.Thread(
            target=self.run, args=(number, random.Random("%d/%d" % (
                seed, number)))) for number in range(CALLERS)]
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.over = True
        for thread in self.threads:
            thread.join()

    def run(self, number, rng):
        home = REGIONS[number % 4 == 0]
        block = number // 4 % BLOCKS
        source = self.d.caller_ip(home, block * 256 + number + 1)
        count = 0
        vms = sorted(self.d.vms)
        while not self.over:
            if rng.random() < 0.1:
                vms = self.look_up(rng, source) or vms
            count += 1
            template = make_request(rng, "c%d-%d" % (number, count), home)
            self.send_until_known(rng, template, vms, source)

    def look_up(self, rng, source):
        try:
            answer = self.d.lookup(rng.choice(sorted(self.d.vms)), "dossiers",
                                   source)
            return [row["name"] for row in answer.json()["vms"]]
        except (*LOST, ValueError, KeyError):
            return None

    def send_until_known(self, rng, template, vms, source):
        gives_up = rng.random() < 0.3  # when it is told that it did not run
        for _ in range(MAX_SENDINGS):
            vm = rng.choice(vms)
            sending = self.send(rng, template, vm, source)
            known = sending.is_passed_on() or sending.outcome == "ran"
            if not sending.once or known or self.over or (
                    gives_up and sending.outcome == history.NOT_RUN):
                return
            vms = sorted(self.d.vms)  # a resend goes through any entry VM
            time.sleep(rng.uniform(0.05, 0.3))

    def send(self, rng, template, vm, source):
        sending = Sending(**{**template, "vm": vm})
        # Some go away in mid-request.
        timeout = 0.05 if rng.random() < 0.04 else CALL_TIMEOUT_S
        sending.sent = time.monotonic()
        try:
            answer = self.d.request(
                vm, "/s/dossiers" + sending.target, sending.method,
                sending.body or None, source, timeout,
                Idempotency_Key=sending.key, Sas_Caller="caller")
        except ConnectionRefusedError:
            sending.outcome = history.NOT_RUN  # nothing was sent
        except LOST:
            pass
        else:
            sending.status = answer.status
            sending.outcome = answer.outcome
            sending.reason = answer.reason
            sending.region = answer.region
            sending.replayed = answer.replayed == "1"
            sending.answer = answer.body
        sending.done = time.monotonic()
        self.sendings.append(sending)
        return sending


def make_request(rng, key, home):
    """Each request has a target and a key of its own."""
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
    entry VMs, and put the same operation again until they know."""

    def __init__(self, d, seed):
        self.d = d
        self.puts = []
        self.over = False
        self.put(random.Random(seed), "first", 99, CAPS[-1])
        d.wait_version(1)
        self.threads = [threading.Thread(
            target=self.run, args=(name, random.Random("%d/%s" % (
                seed, name)))) for name in ("planner", "night-shift")]
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.over = True
        for thread in self.threads:
            thread.join()

    def run(self, name, rng):
        count = 0
        cap = CAPS[-1]
        while not self.over:
            # Both put at nearly the same moment. A cap that changes all the
            # time would never be used to the full, so most sheets keep it.
            time.sleep(PUT_EVERY_S - time.monotonic() % PUT_EVERY_S +
                       rng.uniform(0, 0.02))
            count += 1
            cap = rng.choice(CAPS) if rng.random() < 0.2 else cap
            # The number makes each sheet another one.
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
        put = Put(operation, sheet, cap)
        base = self.read_version(rng.choice(sorted(self.d.vms)))
        put.sent = time.monotonic()
        self.puts.append(put)
        while True:
            put.answers.append(self.send(rng.choice(sorted(self.d.vms)), put,
                                         base))
            put.done = time.monotonic()
            status, _ = put.answers[-1]
            if status in (200, 409, 422) or self.over:
                return
            time.sleep(rng.uniform(0.05, 0.3))

    def read_version(self, vm):
        """The version that the operator takes for the one in force."""
        try:
            return {"If_Match": '"%d"' % self.d.status(vm)["version"]}
        except LOST:
            return {}

    def send(self, vm, put, base):
        try:
            answer = self.d.admin(vm, "PUT", "/v1/sheet", put.sheet,
                                  Sas_Operation=put.operation,
                                  Sas_Operator="operator", **base)
        except ConnectionRefusedError:
            return 503, "refused"  # nothing was sent
        except LOST:
            return None, None
        told = answer.json()
        return answer.status, (told["version"] if answer.status == 200
                               else told["reason"])


class Monitor:
    """Reads the sheet in force from all entry VMs over and over."""

    def __init__(self, d):
        self.d = d
        self.incarnations = {vm: 1 for vm in d.vms}
        self.sights = []
        self.over = False
        self.threads = [threading.Thread(target=self.run, args=(vm,))
                        for vm in d.vms]
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.over = True
        for thread in self.threads:
            thread.join()

    def run(self, vm):
        while not self.over:
            try:
                self.look(vm)
            except LOST:
                pass
            time.sleep(0.1)

    def look(self, vm):
        incarnation = self.incarnations[vm]
        sent = time.monotonic()
        answer = self.d.admin(vm, "GET", "/v1/sheet")
        done = time.monotonic()
        # An answer while the process is being replaced is of either one.
        if answer.status == 200 and incarnation == self.incarnations[vm]:
            self.sights.append(Sight(
                vm, incarnation, sent, done,
                int(answer.headers["ETag"].strip('"')),
                answer.body.decode()))


class Failures:
    """Makes failures come and go. A failure is a pair of methods of the same
    arguments, do_NAME and undo_NAME."""

    KINDS = {"kill": 3, "freeze": 4, "stop": 2, "server_crash": 3,
             "silence": 2, "shed": 2, "slow": 2, "late": 2, "misreport": 2,
             "leave": 2, "region": 1, "store": 6, "list": 3}

    def __init__(self, d, monitor, seed):
        self.d = d
        self.monitor = monitor
        self.rng = random.Random(seed)
        self.down = set()  # entry VMs that were killed or told to stop
        self.silenced = {region: [] for region in REGIONS}
        self.pending = []  # heap of (time, number, name, argument)
        self.number = 0
        self.log = []
        self.ends = []  # of entry VMs that ended as they should not

    def run(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.begin(self.rng.choices(list(self.KINDS),
                                        list(self.KINDS.values()))[0])
            pause = time.monotonic() + self.rng.uniform(0.05, 0.5)
            while time.monotonic() < pause:
                self.undo_until(time.monotonic())
                self.look_for_ends()
                time.sleep(0.02)

    def begin(self, name):
        argument = getattr(self, "pick_" + name, self.pick_server)()
        lasts_s = self.rng.choice((0.3, 1.0, 4.5))
        if argument is None:
            return
        self.log.append("%.2f %s %s for %.1f s" % (
            time.monotonic(), name, argument, lasts_s))
        getattr(self, "do_" + name)(argument)
        self.number += 1
        heapq.heappush(self.pending, (time.monotonic() + lasts_s, self.number,
                                      name, argument))

    def undo_until(self, now):
        while self.pending and self.pending[0][0] <= now:
            _, _, name, argument = heapq.heappop(self.pending)
            self.log.append("%.2f end of %s %s" % (time.monotonic(), name,
                                                   argument))
            getattr(self, "undo_" + name)(argument)

    def look_for_ends(self):
        """Nothing that fails around it may end an entry VM."""
        for vm in sorted(set(self.d.vms) - self.down):
            status = self.d.nodes[vm].process.poll()
            if status is not None:
                self.ends.append("%s ended by itself, status %d" % (vm,
                                                                    status))
                self.down.add(vm)

    def heal(self):
        self.look_for_ends()
        self.undo_until(float("inf"))
        self.d.control_platform(**HEALTHY_STORE)
        self.d.control_backends("*", **HEALTHY_SERVER)
        self.undo_list(None)

    # Entry VMs.

    def pick_vm(self):
        """One that runs, be it frozen already."""
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

    # One that has not stopped by then is replaced all the same. A process
    # that had only just been started may not have known the signal yet.
    def undo_stop(self, vm):
        status = self.d.nodes[vm].process.poll()
        if status not in (None, 0, -signal.SIGTERM):
            self.ends.append("%s stopped with status %d" % (vm, status))
        self.undo_kill(vm)

    # Backend servers.

    def pick_server(self):
        return "dossiers-%s-%02d" % (self.rng.choice(REGIONS),
                                     self.rng.randint(1, SERVERS))

    def do_server_crash(self, server):
        self.d.control_backends(server, crash=self.rng.choice((50, 800)))

    def do_silence(self, server):
        self.silenced[server.split("-")[1]].append(time.monotonic())
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

    # It is replaced by a process of the same name.
    def undo_leave(self, server):
        self.d.control_backends(server, leaving=False, crash=100)

    def pick_region(self):
        return "dossiers-%s-*" % self.rng.choice(REGIONS)

    def do_region(self, pattern):
        self.d.control_backends(pattern, crash=5000)

    def do_nothing(self, argument):
        pass

    undo_server_crash = undo_silence = undo_region = do_nothing

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
        """Some entry VMs absent or leaving, some servers leaving."""
        names = sorted(self.d.vms) + sorted(self.d.backends)
        return [{"name": name, "state": "leaving" if self.rng.random() < 0.2
                 else "live"} for name in names if self.rng.random() < 0.8]

    def do_list(self, rows):
        self.d.set_vms(rows)

    # Servers that the list said leave are replaced, or they would stay out.
    def undo_list(self, rows):
        names = sorted(self.d.vms) + sorted(self.d.backends)
        self.d.set_vms([{"name": name, "state": "live"} for name in names])
        for row in rows or []:
            if row["state"] == "leaving" and row["name"] in self.d.backends:
                self.d.control_backends(row["name"], crash=100)


def read_head(d):
    """The version in force, as the store has it."""
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
    """The version in force there, and the status of a request."""
    try:
        return (d.status(vm)["version"],
                d.request(vm, "/s/dossiers/healed").status)
    except LOST:
        return None, None


def wait_healed(d):
    """Waits until each entry VM is ready, has the version in force and
    serves; the check afterwards names those that never did."""
    version = read_head(d)["version"]
    at_end = {}

    def look():
        at_end.update({vm: read_state(d, vm) for vm in d.vms})
        return (not history.check_healed(version, at_end) and
                all(d.health(vm) == 200 for vm in d.vms))

    try:
        wait_until(look, "all have healed")
    except AssertionError:
        at_end.update({vm: (at_end[vm][0], "not ready") for vm in d.vms
                       if d.health(vm) != 200})
    return version, at_end


class TogetherTest(unittest.TestCase):

    # Crews, inspectors and clerks go on working while everything fails, in
    # any order and together. They would see wrong or mixed answers, filings
    # that ran twice, "not run" that was not true, a region over its limits,
    # or a sheet that is not the accepted one.
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
                failures.heal()
                operators.stop()
                # Callers go on for a while, so that they come to know.
                time.sleep(1.5)
                callers.stop()
                monitor.stop()
            version, at_end = wait_healed(d)
            failures.look_for_ends()
            sendings = callers.sendings
            wrong = self.check(d, sendings, operators.puts, monitor.sights,
                               failures) + \
                history.check_healed(version, at_end) + failures.ends
            self.report(d, seed, seconds, sendings, operators.puts, version,
                        failures)
            if wrong:
                print("\n".join(failures.log))
            self.assertEqual(wrong, [], "seed %d" % seed)

    def check(self, d, sendings, puts, sights, failures):
        journal = read_journal(d)
        versions = read_versions(d)
        wrong = history.check_answers(sendings)
        wrong += history.check_agreement(sendings)
        wrong += history.check_once(sendings, journal)
        wrong += history.check_not_run(sendings, journal)
        for home, target in (REGIONS, REGIONS[::-1]):
            wrong += history.check_cap(sendings, puts, sights, list(d.vms),
                                       home, target)
        for region in REGIONS:
            wrong += history.check_peak(
                region, d.peak("dossiers", region),
                SERVERS * (SLOTS + SERVER_QUEUE), failures.silenced[region],
                SLOTS, DEADLINE_MS / 1000 + 0.5)
        wrong += history.check_versions_rise(sights)
        wrong += history.check_versions(puts, versions)
        wrong += history.check_sheets(puts, versions, sights)
        return wrong

    def report(self, d, seed, seconds, sendings, puts, version, failures):
        answers = {}
        for one in sendings:
            name = (one.status, one.outcome, one.reason)
            answers[name] = answers.get(name, 0) + 1
        print("seed %d, %d s: %d failures, %d sendings, %d puts, version %d" %
              (seed, seconds, failures.number, len(sendings), len(puts),
               version))
        for name, count in sorted(answers.items(), key=str):
            print("  %5d %s" % (count, name))
        shifted = sum(1 for one in sendings
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
