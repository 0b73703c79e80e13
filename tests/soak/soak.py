#!/usr/bin/python3
"""Fault soak: the real programs as processes, with faults around them.

    soak.py [--seed N] [--seeds N] [--seconds N] [--vms N] [--planned]
            [--report FILE] [--plot FILE]

Entry VMs are processes; the store and the backend servers are stand-ins on
threads, behind proxies that delay, stall, refuse and reset connections. The
seed decides which faults occur, when, and which overlap. Callers keep using
open connections until the process behind them has ended. The guarantees are
checked on what callers received and servers ran, independently of timing. The
soak ends only processes that it started, by their ids.

Guarantees:
  - a success is the server's complete answer to that request
  - a non-idempotent request runs at most once
  - a request that was refused as not run never ran
  - a service runs only requests that a configuration routes to it
  - versions of the configuration and of the operators' sheet never decrease
    within a process, and an accepted one is in force everywhere at the end
  - a poison request stops being sent after at most 9 crashes
  - a stop without other faults near it interrupts no request
  - without unplanned faults near it, a request gets a complete answer or a
    refusal, or did not run; one behind a closing answer did not run
  - no process exits by itself
  - after the faults all requests are served again

About two of five seeds, and all with --planned, have planned work only:
stops, reloads, configurations, evacuations and leaving servers, overlapping.

Every other seed sets a key for the entry VMs. Restarted ones may have a clock
that is off by up to 5 s, except in planned work.

`--seed N` is the first seed; without it a random one is drawn and printed.
`--seeds` runs as many, one after the other. A run takes --seconds of faults
and the time for recovery.
"""

import argparse
import http.client
import os
import random
import re
import subprocess
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "e2e"))

from entry_harness import (Fleet, block_signals, exchange,  # noqa: E402
                           signal, wait_for)
from cut_links import MODES  # noqa: E402
from callers import (Caller, GRACE_S, KeepAliveCaller,  # noqa: E402
                     LARGE, LONG, NOT_RUN, NewConnectionCaller, POISON,
                     Pipeliner, SlowReader, describe, explain_loss,
                     may_hit_deadline)
from proxy import Proxy  # noqa: E402
from workers import Copy  # noqa: E402

SERVERS = 6
CALLERS = [Caller] * 6 + [Pipeliner] * 3 + \
    [SlowReader] * 2 + [KeepAliveCaller] * 3 + [NewConnectionCaller] * 2
TARGET_HEADER = "x-sassafrassill-target-instance"
LATE_S = 0.5  # after a request's end nothing of it may begin
SERVER_SLACK_S = 0.5  # how late a server may note a request
STOP_CLEAR_S = 4  # without unplanned faults, before and after a stop
# Crashes that a poison request may cause after the third: attempts in flight
# at other entry VMs, and a coordinator that died with its counts.
EXTRA_CRASHES = 6
SHEETS = ["+0,desk,east,west,%d%%,,,", "+0,desk,west,east,%d%%,20 req/s,,",
          "+0,desk,east,west,%d%%,5 concurrent,,"]
SHEET_HEADER = "time,service,from,to,share,cap,drain,limits\n"
TOKEN = "a-token-of-operators"
CLOCK_OFFSETS_MS = (0, 0, -5000, 5000, -300)
IDLE_S = (1.5, 3, 15)  # idle timeouts of the configurations
PLANNED_SHARE = 0.4  # of the seeds


class Soak:
    def __init__(self, seed, seconds, vms, planned=False):
        self.seed = seed
        self.planned = planned or \
            random.Random("planned %d" % seed).random() < PLANNED_SHARE
        self.seconds = seconds
        self.rng = random.Random(seed)
        zones = "abc"
        self.fleet = Fleet(vms=[zones[i % 3] for i in range(vms)], cuts=True)
        self.proxies = {}
        self.cutter = self.fleet.cutter
        self.attempts = []
        self.finished = False
        self.events = []
        self.stops = []     # (vm, from, to)
        self.stopping = []  # entry VMs that are stopping now
        self.unplanned = []  # (from, to) of unplanned faults
        self.lock = threading.Lock()
        self.exits = []
        self.allowed = {"/forms/": {"desk"}, "/filings/": {"desk"},
                        "/scans/": {"vault"}}
        self.services = {}
        self.generation = 0
        self.poisoned = False
        self.idle_s = 3
        self.crashes = []   # times of crashes by the poison request
        self.operator = threading.Lock()  # held to write a configuration
        self.accepted = []  # versions of accepted sheets

    # The deployment.

    def add_server(self, name, service, zone, **more):
        worker = self.fleet.workers.get(name)
        if worker is None:
            worker = self.fleet.add_worker(name, service, zone)
            worker.work_s = 0.03
            worker.works, worker.pads = LONG, LARGE
            worker.poison.add(POISON)
            worker.on_crash = lambda: self.crashes.append(time.monotonic())
            self.services[name] = service
        if name not in self.proxies:
            self.proxies[name] = Proxy(worker.port)
        self.fleet.add_worker(name, service, zone,
                              port=self.proxies[name].port, **more)

    def start(self):
        for i in range(SERVERS):
            self.add_server("d%d" % i, "desk", "abc"[i % 3])
        for i in range(3):
            self.add_server("v%d" % i, "vault", "abc"[i])
        for vm in self.fleet.vms:
            proxy = self.proxies["store-" + vm.name] = Proxy(vm.store_port)
            vm.store_port = proxy.port
            vm.environment["SASSAFRASSILL_OPERATOR_TOKEN"] = TOKEN
            if self.seed % 2:
                vm.environment["SASSAFRASSILL_PEER_KEY"] = \
                    "key of the soak %d" % self.seed
        self.fleet.configure(idle_s=self.idle_s)
        self.fleet.start()

    def log(self, text):
        self.events.append((time.monotonic(), text))

    # Faults. Each returns when it is over; they run concurrently.

    def disrupt_link(self):
        name = self.rng.choice(sorted(self.proxies))
        mode = self.rng.choice(("delay", "silent", "deaf", "refuse", "reset",
                                "held"))
        self.log("link %s %s" % (name, mode))
        proxy = self.proxies[name]
        if mode == "reset":
            for _ in range(self.rng.randrange(1, 4)):
                proxy.reset()
                time.sleep(0.2)
            return
        proxy.mode = mode
        time.sleep(self.rng.uniform(0.3, 4))
        if mode in ("silent", "deaf"):
            proxy.reset()  # before anything passes that it has received
        proxy.mode = ""

    def cut_links(self):
        """An entry VM loses its links to all servers, or to one service's."""
        vm = self.rng.choice(self.fleet.vms)
        mode = self.rng.choice(MODES)
        service = self.rng.choice((None, "desk", "vault"))
        with self.lock:
            if getattr(vm, "is_cut", False):
                return
            vm.is_cut = True
        self.log("cut %s from %s %s" % (vm.name, service or "all", mode))
        self.cutter.cut(vm, mode, [
            proxy.port for name, proxy in self.proxies.items()
            if self.services.get(name) == service or
            (service is None and name in self.services)])
        time.sleep(self.rng.uniform(0.3, 5))
        self.cutter.heal(vm)
        vm.is_cut = False

    def disrupt_store(self):
        store = self.fleet.store
        what = self.rng.choice(("busy", "silent", "reset", "slow", "compact",
                                "acks", "some", "some"))
        self.log("store " + what)
        if what == "some":
            self.disrupt_store_for_some()
        elif what == "compact":
            store.compact()
        elif what == "acks":
            store.lose_acks = 2
        elif what == "slow":
            store.delay_s = 0.3
            time.sleep(self.rng.uniform(1, 4))
            store.delay_s = 0
        else:
            store.mode = what
            time.sleep(self.rng.uniform(1, 5))
            store.mode = ""

    def disrupt_store_for_some(self):
        """Fails for some entry VMs while the configuration changes."""
        store = self.fleet.store
        affected = self.rng.choice((store.silenced, store.silenced,
                                    store.refused))
        ports = {vm.store_port for vm in self.rng.sample(
            self.fleet.vms, self.rng.randrange(1, len(self.fleet.vms)))}
        affected |= ports
        time.sleep(self.rng.uniform(0, 1))
        self.change_config()
        time.sleep(self.rng.uniform(1, 4))
        affected -= ports

    def pick_vm(self, reserve=True):
        """Picks a running entry VM, or None unless at least two more run.
        With reserve no other fault picks it until vm.reserved is cleared."""
        with self.lock:
            alive = [vm for vm in self.fleet.vms
                     if vm.process.poll() is None and not getattr(
                         vm, "reserved", False)]
            if len(alive) <= 2:
                return None
            vm = self.rng.choice(alive)
            vm.reserved = reserve
            return vm

    def restart_vm(self, vm):
        offset = 0 if self.planned else self.rng.choice(CLOCK_OFFSETS_MS)
        vm.environment["SASSAFRASSILL_CLOCK_OFFSET_MS"] = str(offset)
        if offset:
            self.log("%s starts with a clock off by %d ms" % (vm.name,
                                                              offset))
        # A reload may come at any moment. Before main runs, only signals
        # blocked by the parent keep SIGHUP from killing the process.
        with block_signals(signal.SIGHUP, signal.SIGTERM):
            vm.start()
        vm.signal(signal.SIGHUP)

    def put_sheet(self):
        """Puts a sheet; several may run at once."""
        vm = self.rng.choice(self.fleet.vms)
        row = self.rng.choice(SHEETS) % self.rng.randrange(0, 101, 10)
        try:
            answer = exchange(vm.address("control"), "PUT", "/v1/sheet",
                              (SHEET_HEADER + row + "\n").encode(),
                              {"Authorization": "Bearer " + TOKEN},
                              timeout=8)
        except (OSError, http.client.HTTPException):
            return  # the outcome is unknown
        if answer.status == 200:
            self.accepted.append(answer.json()["version"])
        self.log("sheet %s: %d" % (row, answer.status))

    def poison(self):
        self.log("poison request")
        self.poisoned = True

    def kill_vm(self):
        vm = self.pick_vm()
        if vm is None:
            return
        self.log("kill " + vm.name)
        vm.stop()
        time.sleep(self.rng.uniform(0.1, 2))
        self.restart_vm(vm)
        vm.reserved = False

    def pause_vm(self):
        vm = self.pick_vm()
        if vm is None:
            return
        self.log("pause " + vm.name)
        vm.signal(signal.SIGSTOP)
        time.sleep(self.rng.uniform(0.2, 3))
        vm.signal(signal.SIGCONT)
        vm.reserved = False

    def stop_vm(self):
        vm = self.pick_vm()
        if vm is None:
            return
        began = time.monotonic()
        self.log("stop " + vm.name)
        vm.signal(signal.SIGTERM)
        self.stopping.append(vm)
        if self.rng.random() < 0.3:
            vm.signal(signal.SIGTERM)
        if self.planned and self.rng.random() < 0.3:
            self.hup_while_stopping(vm)
        code = vm.process.wait(30)
        self.stops.append((vm, began, time.monotonic()))
        self.stopping.remove(vm)
        if code != 0:
            self.exits.append((vm.name, code))
        self.restart_vm(vm)
        vm.reserved = False

    def hup_while_stopping(self, vm):
        try:
            vm.process.wait(self.rng.uniform(0, GRACE_S))
        except subprocess.TimeoutExpired:
            self.log("reload %s while it stops" % vm.name)
            vm.signal(signal.SIGHUP)

    def hup_vm(self):
        vm = self.pick_vm(reserve=False)
        if vm is not None:
            self.log("reload " + vm.name)
            vm.signal(signal.SIGHUP)

    def replace_server(self):
        """A server drains or its row is removed at once; it starts again, and
        its address may serve the other service in between."""
        name = self.rng.choice(sorted(self.services))
        service = self.services[name]
        worker = self.fleet.workers[name]
        self.log("replace " + name)
        zone = "abc"[int(name[1]) % 3]
        if self.rng.random() < 0.5:
            worker.leaving = True
            self.add_server(name, service, zone, state="draining",
                            **{"seq-no": 5})
            time.sleep(self.rng.uniform(0.5, 3))
        self.fleet.store.remove("servers", name)
        worker.leaving = False
        with self.lock:
            self.generation += 1
            generation = self.generation
        if self.rng.random() < 0.3:
            # A server of the other service reuses its address.
            time.sleep(2)
            other = "vault" if service == "desk" else "desk"
            worker.name = "r%d" % generation
            self.services[worker.name] = other
            self.fleet.workers[worker.name] = worker
            self.fleet.add_worker(worker.name, other, zone,
                                  port=self.proxies[name].port)
            time.sleep(2)
            self.fleet.store.remove("servers", worker.name)
            worker.name = name
        self.add_server(name, service, zone, born=generation + 1)

    def leave_server(self):
        """A server drains, its row is removed, and it starts again. Its
        answers may say so before its row does."""
        name = self.rng.choice(sorted(self.services))
        self.log("leave " + name)
        service, zone = self.services[name], "abc"[int(name[1]) % 3]
        worker = self.fleet.workers[name]
        worker.leaving = True
        time.sleep(self.rng.choice((0, self.rng.uniform(0, 3))))
        self.add_server(name, service, zone, state="draining",
                        **{"seq-no": 5})
        time.sleep(self.rng.uniform(0.5, 3))
        self.fleet.store.remove("servers", name)
        time.sleep(self.rng.uniform(0, 1))
        worker.leaving = False
        with self.lock:
            self.generation += 1
            born = self.generation + 1
        self.add_server(name, service, zone, born=born)

    def break_answers(self):
        name = self.rng.choice(sorted(self.services))
        what = self.rng.choice(("shed", "busy", "shed close", "shed half",
                                "shed interim", "shed unframed", "denied",
                                "denied error", "cut", "late-extra", "half",
                                "unframed", "unsealed"))
        self.log("%s answers %s" % (name, what))
        worker = self.fleet.workers[name]
        worker.faults.extend([what] * self.rng.randrange(1, 12))
        time.sleep(1)

    def answer_twice(self):
        """Servers refuse a part of their requests, and answers come more than
        once: right away, later, or with a later request."""
        names = self.rng.sample(sorted(self.services),
                                self.rng.randrange(1, 5))
        self.log("twice " + " ".join(names))
        rng = random.Random(self.rng.random())

        def draw_copy(status):
            return None if rng.random() < 0.6 else rng.choice(
                (Copy(), Copy(after=rng.randrange(4)), Copy(times=3),
                 Copy(delay_s=rng.uniform(0, 0.1)),
                 Copy(delay_s=0.01, size=40)))

        for name in names:
            worker = self.fleet.workers[name]
            worker.copies = draw_copy
            worker.faults.extend(["shed", "", "busy", "", ""] * 8)
        time.sleep(self.rng.uniform(0.5, 4))
        for name in names:
            self.fleet.workers[name].copies = lambda status: None

    def rest_servers(self):
        """Servers refuse all requests for a while and ask for rest."""
        names = self.rng.sample(sorted(self.services),
                                self.rng.randrange(1, 4))
        self.log("rest " + " ".join(names))
        for name in names:
            self.fleet.workers[name].rest = self.rng.choice(
                ("0.1", "1", "3", "soon"))
        time.sleep(self.rng.uniform(0.2, 4))
        for name in names:
            self.fleet.workers[name].rest = None

    def slow_server(self):
        worker = self.fleet.workers[self.rng.choice(sorted(self.services))]
        self.log(worker.name + " slow")
        worker.work_s = 1.0
        time.sleep(self.rng.uniform(1, 4))
        worker.work_s = 0.03

    def change_config(self):
        routes = self.fleet.default_routes()
        for number in range(self.rng.randrange(0, 4)):
            routes.append(self.fleet.route("x%d" % number, "/x%d/" % number,
                                           "safe"))
        if self.rng.random() < 0.3:
            routes[0] = self.fleet.route(
                "forms", "/forms/", "safe", None,
                split=[{"service": "desk", "weight": 8},
                       {"service": "vault", "weight": 2}])
            self.allowed["/forms/"].add("vault")
        for _ in range(self.rng.randrange(1, 4)):
            with self.operator:
                self.idle_s = self.rng.choice(IDLE_S)
                self.fleet.configure(routes, idle_s=self.idle_s)
            time.sleep(self.rng.uniform(0, 0.4))
        self.log("config %d" % self.fleet.version)

    def evacuate(self):
        zone = self.rng.choice("abc")
        self.log("evacuate " + zone)
        self.fleet.store.put("op", "evacuate/" + zone, {})
        time.sleep(self.rng.uniform(1, 5))
        self.fleet.store.remove("op", "evacuate/" + zone)

    PLANNED = ("change_config", "hup_vm", "evacuate", "put_sheet",
               "leave_server")
    FAULTS = ("disrupt_link", "disrupt_link", "cut_links", "cut_links",
              "disrupt_store", "kill_vm", "pause_vm", "stop_vm",
              "replace_server", "break_answers", "answer_twice",
              "answer_twice", "slow_server",
              "rest_servers",
              "change_config", "hup_vm", "evacuate", "put_sheet", "put_sheet",
              "poison")
    PLANNED_WORK = ("stop_vm", "stop_vm", "stop_vm", "hup_vm", "change_config",
                    "change_config", "evacuate", "leave_server", "put_sheet")

    def run_fault(self, name):
        began = time.monotonic()
        try:
            getattr(self, name)()
        finally:
            if name not in self.PLANNED and name != "stop_vm":
                self.unplanned.append((began, time.monotonic()))

    def inject_faults(self):
        """Starts 1 to 3 faults every 0.1 to 1.5 s; returns when all are
        over."""
        end = time.monotonic() + self.seconds
        threads = []
        while time.monotonic() < end:
            for _ in range(self.rng.choice((1, 1, 2, 3))):
                name = self.rng.choice(self.PLANNED_WORK if self.planned
                                       else self.FAULTS)
                thread = threading.Thread(target=self.run_fault, args=(name,),
                                          daemon=True)
                thread.start()
                threads.append(thread)
            time.sleep(self.rng.uniform(0.1, 1.5))
        for thread in threads:
            thread.join()

    # Checks.

    def check_answers(self):
        for attempt in self.attempts:
            if attempt.status is None or not 200 <= attempt.status < 300:
                continue
            if not attempt.is_whole():
                yield "%s %s got %r, sealed %s" % (
                    attempt.path, attempt.id, attempt.body_read[:80],
                    attempt.sealed)

    def collect_runs(self):
        """Requests that servers ran, by request id."""
        runs = {}
        for worker in set(self.fleet.workers.values()):
            for request in worker.ran:
                runs.setdefault(request.id, []).append(request)
        return runs

    def check_runs(self):
        runs = self.collect_runs()
        for attempt in self.attempts:
            ran = runs.get(attempt.id, [])
            if attempt.body is not None and len(ran) > 1:
                yield "%s %s ran %d times" % (attempt.path, attempt.id,
                                              len(ran))
            if attempt.body is not None and attempt.status in NOT_RUN and ran:
                yield "%s %s was refused with %d and ran" % (
                    attempt.path, attempt.id, attempt.status)
            for request in ran:
                if request.target != attempt.path or \
                        request.body != (attempt.body or b""):
                    yield "%s %s was changed on its way" % (attempt.path,
                                                            attempt.id)
                # Uses the server id in the request, which the server accepted:
                # one stand-in has several ids, one after the other.
                service = self.services[request.headers[TARGET_HEADER]]
                if service not in self.allowed[attempt.prefix()]:
                    yield "%s %s ran at %s" % (attempt.path, attempt.id,
                                               service)

    def check_late_runs(self):
        """Nothing of a request begins after its caller has left or has its
        answer."""
        runs = self.collect_runs()
        for attempt in self.attempts:
            for request in runs.get(attempt.id, []):
                late_s = request.at - attempt.ended_at
                if attempt.ended_at and late_s > LATE_S + SERVER_SLACK_S:
                    yield "%s %s began %.3f s after its end" % (
                        attempt.path, attempt.id, late_s)

    def check_versions(self):
        """Versions of configurations and of sheets rise in each process."""
        for vm in self.fleet.vms:
            last = {}
            for line in vm.log():
                if line["step"] == "process.start":
                    last = {}
                if line["step"] not in ("config.apply", "config.adopt"):
                    continue
                version = int(re.search(r"version[ =](\d+)",
                                        line["text"]).group(1))
                if version <= last.get(line["step"], 0):
                    yield "%s: %s went from %d to %d" % (
                        vm.name, line["step"], last[line["step"]], version)
                last[line["step"]] = version

    def read_sheets(self):
        def read(vm):
            return exchange(vm.address("control"), "GET", "/v1/status", None,
                            {"Authorization": "Bearer " + TOKEN}).json()
        return {vm.name: read(vm)["version"] for vm in self.fleet.vms}

    def check_sheets(self):
        versions = self.read_sheets()
        if len(set(versions.values())) > 1:
            yield "different sheets in force at the end: %s" % versions
        lost = max(self.accepted, default=0) > max(versions.values())
        if lost or len(set(self.accepted)) < len(self.accepted):
            yield "accepted %s, in force %s" % (self.accepted, versions)

    def check_poison(self):
        if len(self.crashes) > 3 + EXTRA_CRASHES:
            yield "one request crashed servers %d times" % len(self.crashes)

    def is_undisturbed(self, began, ended):
        """True without an unplanned fault within STOP_CLEAR_S."""
        return not any(t0 < ended + STOP_CLEAR_S and t1 > began - STOP_CLEAR_S
                       for t0, t1 in self.unplanned)

    def check_stops(self):
        """Requests interrupted by a stop without an unplanned fault near it.
        Pipelined requests may be left unread; check_losses checks those. The
        shutdown deadline may interrupt only requests of LONG."""
        runs = self.collect_runs()
        for vm, began, ended in self.stops:
            if not self.is_undisturbed(began, ended):
                continue
            if ended > began + GRACE_S:
                yield "%s took %.3f s to stop" % (vm.name, ended - began)
            for attempt in self.attempts:
                if attempt.vm is vm and attempt.connected and \
                        attempt.status is None and not attempt.pipelined and \
                        began - 1 < attempt.sent_at < began + 3 and \
                        attempt.ended_at - attempt.sent_at > 0.05 and \
                        not (attempt.path in LONG and may_hit_deadline(
                            attempt, runs.get(attempt.id, []), self.stops)):
                    yield "%s %s was cut by the stop of %s" % (
                        attempt.path, attempt.id, vm.name)

    def check_losses(self):
        """Without an unplanned fault near it, an attempt has a complete answer
        or a refusal, or no server ran it."""
        runs = self.collect_runs()
        for attempt in self.attempts:
            ran = runs.get(attempt.id, [])
            loss = explain_loss(attempt, ran, self.stops)
            if loss and self.is_undisturbed(attempt.sent_at, attempt.ended_at):
                yield "%s %s" % (describe(attempt, ran, self.stops), loss)

    def check_exits(self):
        for name, code in self.exits:
            yield "%s ended its stop with %d" % (name, code)
        for vm in self.fleet.vms:
            if vm.process.poll() is not None:
                yield "%s ended by itself with %d" % (vm.name,
                                                      vm.process.poll())

    def check(self):
        found = []
        for check in (self.check_answers, self.check_runs,
                      self.check_late_runs,
                      self.check_versions, self.check_sheets,
                      self.check_poison, self.check_stops,
                      self.check_losses, self.check_exits):
            found.extend(check())
        return found

    def find_version(self, vm):
        """Version of the configuration in force, from the log."""
        lines = [line for line in vm.log()
                 if line["step"] in ("process.start", "config.apply")]
        if not lines or lines[-1]["step"] == "process.start":
            return 0
        return int(re.search(r"version=(\d+)", lines[-1]["text"]).group(1))

    def wait_recovered(self):
        wait_for(lambda: all(vm.is_ready() for vm in self.fleet.vms),
                 "all entry VMs ready after the faults")

        def served(vm, path):
            return vm.request(path=path, deadline_ms=2000).status == 200
        wait_for(lambda: all(self.find_version(vm) == self.fleet.version
                             for vm in self.fleet.vms),
                 "the configuration in force everywhere")
        newest = max(self.accepted, default=0)
        wait_for(lambda: min(self.read_sheets().values()) >= newest,
                 "the sheet in force everywhere")
        for vm in self.fleet.vms:
            for path in ("/forms/1", "/forms/2"):
                wait_for(lambda: served(vm, path), "%s to serve" % vm.name)

    def run(self):
        """Runs the seed, and unless all work is planned one undisturbed stop
        at the end. Returns violations as texts."""
        with self.fleet:
            try:
                self.start()
                callers = [kind(self, n) for n, kind in enumerate(CALLERS)]
                self.inject_faults()
                if not self.planned:
                    self.stop_undisturbed()
                self.finished = True
                for caller in callers:
                    caller.join()
                self.wait_recovered()
                found = self.check()
            finally:
                self.finished = True
                for proxy in self.proxies.values():
                    proxy.stop()
            if found:
                self.keep_logs()
            return found

    def stop_undisturbed(self):
        time.sleep(STOP_CLEAR_S + 0.5)
        self.stop_vm()
        time.sleep(STOP_CLEAR_S)

    def keep_logs(self):
        folder = os.path.join("out", "soak-%d" % self.seed)
        os.makedirs(folder, exist_ok=True)
        for vm in self.fleet.vms:
            with open(vm.log_path) as source, \
                    open(os.path.join(folder, vm.name + ".log"), "w") as file:
                file.write(source.read())
        with open(os.path.join(folder, "events"), "w") as file:
            for at, text in self.events:
                file.write("%.3f %s\n" % (at, text))


def count_answers(soak):
    counts = {}
    for attempt in soak.attempts:
        what = attempt.status if attempt.status is not None else "cut"
        counts[what] = counts.get(what, 0) + 1
    return {str(k): counts[k] for k in sorted(counts, key=str)}


def summarize(soak, found):
    return ("seed %d%s: %d requests %s, %d faults, %d stops, "
            "%d violations") % (
        soak.seed, ", planned work only" if soak.planned else "",
        len(soak.attempts), count_answers(soak), len(soak.events),
        len(soak.stops), len(found))


REPORT_HEAD = """# Fault soak

Real entry VMs as processes, with faults around them (tests/soak/soak.py). A
row is a seed; a violation is a broken guarantee, independent of timing.

| seed | entry VMs | requests | answers | faults | crashes by one request | sheets accepted | stops | violations |
| --- | --- | --- | --- | --- | --- | --- | --- | --- |
"""


def add_to_report(path, soak, found):
    """Appends a row to a Markdown page; a new page begins with its head."""
    fresh = not os.path.exists(path)
    answers = ", ".join("%s: %d" % pair for pair in
                        count_answers(soak).items())
    with open(path, "a") as file:
        if fresh:
            file.write(REPORT_HEAD)
        file.write("| %d | %d | %d | %s | %d | %d | %d | %d | %s |\n" % (
            soak.seed, len(soak.fleet.vms), len(soak.attempts), answers,
            len(soak.events), len(soak.crashes), len(soak.accepted),
            len(soak.stops), "; ".join(found[:3]) or "none"))


def plot(soak, path):
    """Plots requests per second by outcome, with the faults, as a PNG. Needs
    gnuplot (Debian: gnuplot-nox)."""
    if not soak.attempts:
        return
    began = soak.attempts[0].sent_at
    names = ("answered", "refused", "failed", "cut")
    seconds = {}
    for attempt in soak.attempts:
        name = "cut" if attempt.status is None else \
            "answered" if attempt.status < 300 else \
            "refused" if attempt.status in NOT_RUN else "failed"
        row = seconds.setdefault(int(attempt.sent_at - began),
                                 dict.fromkeys(names, 0))
        row[name] += 1
    lines = ["set terminal png size 1400,700",
             "set output '%s'" % path, "set key outside",
             "set xlabel 'seconds'", "set ylabel 'requests per second'",
             "set title 'seed %d'" % soak.seed, "$data << EOD"]
    lines += ["%d %s" % (at, " ".join(str(row[n]) for n in names))
              for at, row in sorted(seconds.items())]
    lines.append("EOD")
    for number, (at, text) in enumerate(soak.events):
        lines.append("set label '%s' at %.1f,graph %.2f font ',7'" % (
            text.replace("'", ""), at - began, 0.98 - number % 30 * 0.03))
    lines.append("plot " + ", ".join(
        "$data using 1:%d with lines lw 2 title '%s'" % (i + 2, name)
        for i, name in enumerate(names)))
    subprocess.run(["gnuplot"], input="\n".join(lines), text=True,
                   check=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seed", type=int)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--vms", type=int, default=4)
    parser.add_argument("--planned", action="store_true")
    parser.add_argument("--report")
    parser.add_argument("--plot")
    options = parser.parse_args()
    first = options.seed if options.seed is not None else \
        random.SystemRandom().randrange(1 << 31)
    failed = 0
    for seed in range(first, first + options.seeds):
        soak = Soak(seed, options.seconds, options.vms, options.planned)
        found = soak.run()
        line = summarize(soak, found)
        print(line, flush=True)
        for text in found[:10]:
            print("  " + text, flush=True)
        failed += 1 if found else 0
        if options.plot:
            plot(soak, options.plot)
        if options.report:
            add_to_report(options.report, soak, found)
    print("%d passed, %d failed" % (options.seeds - failed, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
