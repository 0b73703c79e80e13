"""Entry VMs in platform mode, as separate processes on loopback.

The store and the backend servers are stand-ins on threads of the test; each
entry VM is one sassafrassilld with a settings file as the platform writes it.
Every entry VM has its own loopback address and its own port of the store, so
that the store can refuse a single entry VM.
"""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import uuid

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))

from cut_links import LinkCutter  # noqa: E402
from harness import BUILD, exchange, read_memory, wait_until  # noqa: E402
from proxy import Proxy  # noqa: E402
from rows import RowStore  # noqa: E402
from workers import ID, SEAL, Worker  # noqa: E402

HOST = "forms.example"
ZONES = {"a": "east", "b": "east", "c": "west"}
BOUNDS = {"drain-ms": 2000, "grace-s": 6, "config-ms": 2000, "ttl_max_s": 5,
          "budget-ratio": 0.2, "budget-burst": 58, "budget-window-s": 10,
          "cold-factor": 1.5, "cold-slack": 5, "max-shift": 0.15}

SETTINGS = """node-name = "{name}"
bootstrap = {first_start}
ip = "{ip}"
zone = "{zone}"
region = "{region}"
port-range = [{peer},{peer}]
bounds = {bounds}
[zones]
{zones}
[listen]
front = "{ip}:{caller}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
directory = "{ip}:{lookup}"
[limits]
memory-mb = 260
max-fds = 4100
cpu-share = 0.2
link-mbps = 1000.0
[platform]
address = "127.0.0.1:{store}"
"""


def find_ports(ip, names):
    """A free port for each name. All probe sockets stay open until the last
    port is found, since the kernel may hand out a released port again."""
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in names]
        for probe in probes:
            probe.bind((ip, 0))
        return {name: probe.getsockname()[1]
                for name, probe in zip(names, probes)}


@contextlib.contextmanager
def block_signals(*numbers):
    """Processes started within this context begin with the signals blocked
    and unblock them themselves. Otherwise a signal during dynamic loading,
    before main, would kill the process."""
    before = signal.pthread_sigmask(signal.SIG_BLOCK, numbers)
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)


class EntryVm:
    def __init__(self, fleet, name, zone, ip):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.ip = ip
        self.ports = {}
        self.environment = {}
        self.process = None
        self.store_port = fleet.store.open_port()
        self.log_path = os.path.join(fleet.folder, name + ".log")
        self.settings_path = os.path.join(fleet.folder, name + ".toml")

    def start(self):
        if not self.ports:
            self.ports = find_ports(self.ip, ("caller", "ready", "control",
                                              "lookup", "peer"))
        zones = "\n".join('%s = "%s"' % pair for pair in ZONES.items())
        with open(self.settings_path, "w") as file:
            file.write(SETTINGS.format(
                name=self.name, ip=self.ip, zone=self.zone,
                region=ZONES[self.zone], bounds=json.dumps(self.fleet.bounds),
                zones=zones, store=self.store_port,
                first_start=json.dumps(self.fleet.first_start),
                **self.ports))
        return self.spawn()

    def spawn(self):
        """Starts the process with the existing settings file."""
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [os.path.join(BUILD, "bin", "sassafrassilld"),
                 "--platform-settings", self.settings_path],
                stdout=log, stderr=log,
                env=dict(os.environ, **self.environment))
        return self

    def address(self, what="caller"):
        return (self.ip, self.ports[what])

    def is_ready(self):
        try:
            return exchange(self.address("ready"), "GET",
                            "/ready").status == 200
        except OSError:
            return False

    def request(self, method="GET", path="/forms/1", body=None, key="7",
                deadline_ms=5000, headers=None, timeout=30):
        fields = {"Host": HOST, ID: uuid.uuid4().hex,
                  "X-Sassafrassill-Affinity-Key": key,
                  "X-Sassafrassill-Deadline-Ms": str(deadline_ms)}
        fields.update(headers or {})
        answer = exchange(self.address(), method, path, body, fields,
                          timeout=timeout)
        answer.id = fields[ID]
        return answer

    def lookup(self, zone):
        return exchange(self.address("lookup"), "GET",
                        "/resolve?name=%s&region=%s&zone=%s" %
                        (HOST, ZONES[zone], zone)).json()["addresses"]

    def log(self):
        lines = []
        with open(self.log_path, "rb") as file:
            for line in file:
                try:
                    lines.append(json.loads(line))
                except ValueError:
                    pass
        return lines

    def find_lines(self, step, **fields):
        return [line for line in self.log() if line["step"] == step and
                all(line.get(k) == v for k, v in fields.items())]

    def read_peak(self):
        """The most memory that the process has used, bytes."""
        return read_memory(self.process.pid, "VmHWM")

    def signal(self, number):
        self.process.send_signal(number)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Fleet:
    """Entry VMs with a store; add_worker adds backend servers.

    vms: zone of each entry VM; first_start: the whole system starts for the
    first time; bounds: overrides of BOUNDS; cuts: links of entry VMs to
    servers can be cut.
    """

    def __init__(self, vms=("a", "b"), configured=True, first_start=False,
                 bounds=None, cuts=False):
        self.first_start = first_start
        self.bounds = ["%s=%s" % pair
                       for pair in {**BOUNDS, **(bounds or {})}.items()]
        self.directory = tempfile.TemporaryDirectory()
        self.folder = self.directory.name
        self.store = RowStore()
        self.workers = {}
        self.version = 0
        # Each test process has its own addresses, so that another test cannot
        # take the port of an entry VM that is restarting.
        pid = os.getpid()
        network = "127.%d.%d." % (1 + pid // 250 % 250, pid % 250)
        self.vms = [EntryVm(self, "vm-%d" % i, zone, network + str(i + 1))
                    for i, zone in enumerate(vms)]
        self.cutter = LinkCutter(self.folder) if cuts else None
        for vm in self.vms if cuts else ():
            self.cutter.prepare(vm)
        if configured:
            self.configure()

    def __enter__(self):
        return self

    def __exit__(self, *error):
        if error[0] is not None:
            for vm in self.vms:
                if os.path.exists(vm.log_path):
                    print("==", vm.name)
                    with open(vm.log_path) as log:
                        print("".join(log.readlines()[-40:]))
        for vm in self.vms:
            vm.stop()
        for worker in self.workers.values():
            worker.stop()
        self.store.stop()
        if self.cutter is not None:
            self.cutter.close()
        self.directory.cleanup()

    def start(self):
        for vm in self.vms:
            vm.start()
        wait_until(lambda: all(vm.is_ready() for vm in self.vms),
                   "all entry VMs ready")
        return self

    def cut(self, vms, mode, workers=None):
        """Cuts the links of the entry VMs to the servers, by default to all
        of them."""
        workers = workers or list(self.workers.values())
        for vm in vms:
            self.cutter.cut(vm, mode, [worker.port for worker in workers])

    def heal(self, vms):
        for vm in vms:
            self.cutter.heal(vm)

    # Configuration.

    def configure(self, routes=None, version=None, idle_s=15,
                  body_bytes=1 << 20):
        self.version = version if version is not None else self.version + 3
        names = set()
        for route in routes or self.default_routes():
            names.add(route.get("service"))
            names.update(p["service"] for p in route.get("split", []))
        services = [{"name": name, "health-path": "/health",
                     "max-conns": 330, "cold-start-s": 3.0, "cold-per-s": 9.0}
                    for name in sorted(n for n in names if n)]
        return self.store.put("op", "config", {
            "version": self.version,
            "routes": routes or self.default_routes(),
            "services": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": body_bytes,
                       "header-timeout-ms": 3000,
                       "idle-timeout-ms": int(idle_s * 1000)}})

    @staticmethod
    def route(name, prefix, kind, service="desk", **more):
        row = {"name": name, "host": HOST, "prefix": prefix, "kind": kind,
               "timeout-ms": 10000, "target-latency-ms": 250, "priority": 1,
               "max-attempts": 2, "sticky": True, "home-regions": []}
        if service:
            row["service"] = service
        row.update(more)
        return row

    def default_routes(self):
        return [self.route("forms", "/forms/", "safe"),
                self.route("filings", "/filings/", "unsafe"),
                self.route("scans", "/scans/", "upload", "vault")]

    # The servers.

    def add_worker(self, name, service="desk", zone="a", slots=3, port=None,
                   **more):
        worker = self.workers.get(name)
        if worker is None:
            worker = self.workers[name] = Worker(
                name, slots if isinstance(slots, int) else 1)
        row = {"service": service, "zone": zone, "version": "v1",
               "address": "127.0.0.1:%d" % (port or worker.port),
               "slots": slots, "state": "ready", "cold-left-ms": 0,
               "seq-no": 1, "born": 1}
        row.update(more)
        self.store.put("servers", name, row)
        return worker

    def add_worker_row(self, name, port):
        """Adds the row of a server that has no process."""
        self.store.put("servers", name, {
            "service": "other", "zone": "a", "address": "127.0.0.1:%d" % port,
            "version": "v1", "slots": 3, "state": "ready", "cold-left-ms": 0,
            "seq-no": 1, "born": 1})


def format_request(path, request_id, method="GET"):
    """The bytes of a request, for callers that write to a socket."""
    return ("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nContent-Length: 0\r\n"
            "X-Sassafrassill-Deadline-Ms: 8000\r\n\r\n" %
            (method, path, HOST, ID, request_id)).encode()


def wait_for(condition, what, limit_s=30):
    return wait_until(condition, what, limit_s)


__all__ = ["BUILD", "Fleet", "HOST", "ID", "Proxy", "SEAL", "exchange",
           "format_request", "block_signals", "signal", "socket", "time",
           "wait_for"]
