"""Starts a whole deployment as separate processes on loopback.

Runs the stand-ins of the platform and of the backend servers, and one
sassafrassilld per entry VM. Every deployment has its own loopback address,
and the kernel picks the ports. Callers of region N, counted from 0, use
addresses in 127.(10 + N).0.0/16.
"""

import http.client
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
BUILD = os.environ.get("SAS_BUILD", os.path.join(ROOT, "build"))
WAIT_LIMIT_S = 30
TOKEN = "e2e-operators-token"


class Answer:
    """A complete answer. Attributes read "Sas-" headers: answer.reason is
    Sas-Reason, None where absent."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def __getattr__(self, name):
        return self.headers.get("sas-" + name)

    def json(self):
        return json.loads(self.body)


def wait_until(condition, what, limit_s=WAIT_LIMIT_S):
    """Polls until the condition is true and returns its value. Raises
    AssertionError, naming what it waited for, after limit_s."""
    end = time.monotonic() + limit_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise AssertionError("timed out waiting for: " + what)
        time.sleep(0.02)


def read_memory(pid, name):
    """A figure of the process's memory, bytes: VmRSS (now), VmHWM (peak)."""
    with open("/proc/%d/status" % pid) as file:
        for line in file:
            if line.startswith(name + ":"):
                return int(line.split()[1]) << 10
    raise ValueError("no " + name)


def exchange(address, method, path, body=None, headers=None, source=None,
             timeout=WAIT_LIMIT_S):
    connection = http.client.HTTPConnection(
        *address, timeout=timeout,
        source_address=(source, 0) if source else None)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return Answer(answer.status, answer.headers, answer.read())
    finally:
        connection.close()


class Process:
    """A child process. With read_ports its standard output is a pipe on
    which it prints its ports."""

    def __init__(self, name, arguments, log):
        self.name = name
        self.arguments = arguments
        self.log = open(log, "ab")
        self.process = None

    def start(self, read_ports=False):
        self.process = subprocess.Popen(
            self.arguments, stderr=self.log,
            stdout=subprocess.PIPE if read_ports else self.log, text=True)
        return self

    def read_lines(self, last):
        """Yields the words of each line, up to one that begins with last."""
        for line in self.process.stdout:
            words = line.split()
            yield words
            if words[0] == last:
                return
        raise AssertionError(self.name + " ended early")

    def signal(self, number):
        self.process.send_signal(number)

    def wait(self, timeout=WAIT_LIMIT_S):
        return self.process.wait(timeout)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        if self.process is not None and self.process.stdout:
            self.process.stdout.close()
        self.log.close()


class Deployment:
    """A running deployment; use it in a with statement.

    regions: names; vms: entry VMs per region; domains: failure domains per
    region; blocks: caller networks per region, each a /24 within the region's
    /16; services: name -> dict with backends (per region), slots, queue,
    mean_ms, once, deadline_ms.
    """

    def __init__(self, regions=("montreal", "quebec"), vms=2, services=None,
                 limits=None, standin_arguments=(), placement=None,
                 link_mbit=4000, domains=1, blocks=0):
        self.regions = list(regions)
        self.services = services or {"dossiers": {}}
        self.vms_per_region = vms
        self.limits = limits or {}
        self.link_mbit = link_mbit
        self.domains = ["abcdefgh"[number] for number in range(domains)]
        self.blocks = blocks
        self.placement = placement
        self.standin_arguments = list(standin_arguments)
        self.folder = tempfile.TemporaryDirectory(prefix="sas-e2e-")
        pid = os.getpid()
        self.ip = "127.%d.%d.%d" % (100 + (pid >> 16) % 100, pid >> 8 & 255,
                                    pid & 255 or 1)
        self.vms = {}
        self.backends = {}  # name -> (service, region, port)
        self.controls = []  # of the backend stand-ins
        self.standins = {}  # (service, region) -> Process
        self.nodes = {}

    def path(self, name):
        return os.path.join(self.folder.name, name)

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.__exit__(None, None, None)
            raise
        return self

    def __exit__(self, kind, value, trace):
        for process in [*self.nodes.values(), *self.standins.values(),
                        getattr(self, "platform", None)]:
            if process is not None:
                process.stop()
        if kind is not None and os.environ.get("SAS_KEEP_LOGS", "1") == "1":
            for name in sorted(os.listdir(self.folder.name)):
                if name.endswith(".log"):
                    with open(self.path(name), errors="replace") as log:
                        print("== %s\n%s" % (name, log.read()[-3000:]))
        self.folder.cleanup()

    # Starting.

    def start(self):
        self.platform = Process(
            "platform", ["/usr/bin/python3",
                         ROOT + "/tests/standins/platform.py", "--port", "0"],
            self.path("platform.log")).start(read_ports=True)
        for words in self.platform.read_lines("PORT"):
            self.store_port = int(words[1])
        for service, options in self.services.items():
            for region in self.regions:
                self.start_standin(service, region, options)
        self.pick_vms()
        self.write_settings()
        for name in self.vms:
            self.start_node(name)
        for name in self.vms:
            self.wait_ready(name)

    def peak(self, service, region):
        """Highest number of requests running and queued at once there."""
        index = list(self.standins).index((service, region))
        return exchange(("127.0.0.1", self.controls[index]), "GET",
                        "/counts?key=none").json()["peak"]

    def start_standin(self, service, region, options):
        arguments = [
            BUILD + "/bin/sas_backend_standin",
            "--servers", str(options.get("backends", 2)),
            "--slots", str(options.get("slots", 3)),
            "--queue", str(options.get("queue", 3)),
            "--connections", "330", "--name", service + "-" + region,
            "--mean-ms", str(options.get("mean_ms", 5)),
            *self.standin_arguments]
        standin = Process("%s-%s" % (service, region), arguments,
                          self.path("standin-%s-%s.log" % (service, region)))
        standin.start(read_ports=True)
        self.standins[service, region] = standin
        for words in standin.read_lines("CONTROL"):
            if words[0] == "PORT":
                self.backends[words[1]] = (service, region, int(words[2]))
            else:
                self.controls.append(int(words[1]))

    def pick_vms(self):
        reserved = []
        for region in self.regions:
            for number in range(self.vms_per_region):
                ports = []
                for _ in range(3):
                    reserved.append(socket.socket())
                    reserved[-1].bind((self.ip, 0))
                    ports.append(reserved[-1].getsockname()[1])
                name = "%s-%d" % (region, number + 1)
                self.vms[name] = (region, ports)
        for probe in reserved:
            probe.close()

    def pick_domain(self, name, region):
        """Assigns a region's failure domains round-robin, by the number at
        the end of the name."""
        number = int(name.rsplit("-", 1)[1]) - 1
        return region + "-" + self.domains[number % len(self.domains)]

    def write_settings(self):
        lines = ["[deployment]", 'name = "e2e"', 'utc_offset = "+00:00"',
                 "[store]", 'ip = "127.0.0.1"',
                 "port = %d" % self.store_port]
        for name in ("peer.key", "token"):
            os.close(os.open(self.path(name), os.O_CREAT, 0o600))
        with open(self.path("peer.key"), "w") as key:
            key.write("a key of the end-to-end tests, long enough\n")
        with open(self.path("token"), "w") as token:
            token.write(TOKEN + "\n")
        lines += ["[security]", 'peer_key_file = "peer.key"',
                  'admin_token_file = "token"']
        limits = {"drain_notice_ms": 500, **self.limits}
        if self.placement:
            limits["placement"] = self.placement
        lines += ["[limits]"] + ["%s = %s" % (key, json.dumps(value))
                                 for key, value in limits.items()]
        for number, region in enumerate(self.regions):
            lines += ["[[region]]", 'name = "%s"' % region]
            for domain in self.domains:
                lines += ["[[failure_domain]]",
                          'name = "%s-%s"' % (region, domain),
                          'region = "%s"' % region]
            networks = ["127.%d.0.0/16" % (10 + number)]
            networks += ["127.%d.%d.0/24" % (10 + number, block)
                         for block in range(self.blocks)]
            for network in networks:
                lines += ["[[block]]", 'network = "%s"' % network,
                          'home = "%s"' % region]
            for other in self.regions:
                if other != region:
                    lines += ["[[link]]", 'from = "%s"' % region,
                              'to = "%s"' % other,
                              "mbit_per_s = %d" % self.link_mbit]
        for name, (region, ports) in self.vms.items():
            lines += ["[[entry_vm]]", 'name = "%s"' % name,
                      'failure_domain = "%s"' % self.pick_domain(name, region),
                      'ip = "%s"' % self.ip, "caller_port = %d" % ports[0],
                      "peer_port = %d" % ports[1],
                      "admin_port = %d" % ports[2]]
        for service, options in self.services.items():
            lines += ["[[service]]", 'name = "%s"' % service,
                      "deadline_ms = %d" % options.get("deadline_ms", 10000),
                      "once = " + json.dumps(options.get("once", []))]
        for name, (service, region, port) in self.backends.items():
            slots = self.services[service].get("slots", 3)
            lines += ["[[backend_server]]", 'name = "%s"' % name,
                      'service = "%s"' % service,
                      'failure_domain = "%s"' % self.pick_domain(name, region),
                      'ip = "127.0.0.1"', "port = %d" % port,
                      "slots = %d" % slots]
        with open(self.path("settings.toml"), "w") as file:
            file.write("\n".join(lines) + "\n")

    def start_node(self, name):
        self.nodes[name] = Process(
            name, [BUILD + "/bin/sassafrassilld", "--settings",
                   self.path("settings.toml"), "--vm", name],
            self.path(name + ".log")).start()

    def health(self, name):
        try:
            return exchange(self.caller_address(name), "GET",
                            "/v1/health").status
        except OSError:
            return 0

    def wait_ready(self, name):
        wait_until(lambda: self.health(name) == 200, name + " is ready")

    def memory_mb(self, name):
        return read_memory(self.nodes[name].process.pid, "VmRSS") / (1 << 20)

    # Callers.

    def peak_mb(self, name):
        """The most memory that the entry VM's process has used."""
        return read_memory(self.nodes[name].process.pid, "VmHWM") / (1 << 20)

    def caller_address(self, name):
        return self.ip, self.vms[name][1][0]

    def caller_ip(self, region, number=1):
        return "127.%d.%d.%d" % (10 + self.regions.index(region),
                                 number >> 8 & 255, number & 255)

    def request(self, vm, path, method="GET", body=None, source=None,
                timeout=WAIT_LIMIT_S, **headers):
        headers = {key.replace("_", "-"): str(value)
                   for key, value in headers.items()}
        return exchange(self.caller_address(vm), method, path, body, headers,
                        source or self.caller_ip(self.vms[vm][0]), timeout)

    def lookup(self, vm, service, source):
        return exchange(self.caller_address(vm), "GET",
                        "/v1/lookup?service=" + service, source=source)

    # Operators.

    def admin(self, vm, method, path, body=None, token=TOKEN, **headers):
        headers = {key.replace("_", "-"): str(value)
                   for key, value in headers.items()}
        headers["Authorization"] = "Bearer " + token
        return exchange((self.ip, self.vms[vm][1][2]), method, path, body,
                        headers)

    def put_sheet(self, vm, rows, **headers):
        sheet = "time,service,from,to,share,cap,drain,limits\n" + "".join(
            row + "\n" for row in rows)
        return self.admin(vm, "PUT", "/v1/sheet", sheet, **headers)

    def status(self, vm):
        return self.admin(vm, "GET", "/v1/status").json()

    def wait_version(self, version, vms=None):
        for name in vms or self.vms:
            wait_until(lambda: self.status(name)["version"] >= version,
                       "version %d on %s" % (version, name))

    def counter(self, vm, name, label=""):
        text = self.admin(vm, "GET", "/metrics").body.decode()
        for line in text.splitlines():
            if line.startswith(name) and label in line:
                return float(line.split()[-1])
        return 0.0

    # Stand-ins.

    def control_platform(self, **faults):
        return exchange(("127.0.0.1", self.store_port), "PUT", "/control",
                        json.dumps(faults))

    def set_vms(self, rows):
        exchange(("127.0.0.1", self.store_port), "PUT", "/vms",
                 json.dumps({"vms": rows}))

    def store_reads(self):
        return exchange(("127.0.0.1", self.store_port), "GET",
                        "/control").json()["reads"]

    def control_backends(self, pattern, **changes):
        statuses = [exchange(("127.0.0.1", port), "PUT", "/servers/" + pattern,
                             json.dumps(changes)).status
                    for port in self.controls]
        # 404: that process has no server of this name.
        assert set(statuses) <= {200, 404} and 200 in statuses, statuses

    def counts(self):
        """Counts of all backend servers by name."""
        servers = {}
        for port in self.controls:
            servers.update(exchange(("127.0.0.1", port), "GET",
                                    "/counts").json()["servers"])
        return servers

    def loads(self):
        """The load report of each backend server."""
        return [exchange(("127.0.0.1", port), "GET", "/v1/load").json()
                for _, _, port in self.backends.values()]

    def loads_of_open(self):
        """The load reports, once every backend server accepts connections
        again."""
        def read():
            try:
                return self.loads()
            except OSError:
                return None
        return wait_until(read, "every backend server answers")

    def count_key(self, key, what="started"):
        """Sum of one count of this key over all backend servers; by default
        how often its requests were started."""
        total = 0
        for port in self.controls:
            row = exchange(("127.0.0.1", port), "GET", "/counts?key=" +
                           urllib.parse.quote(key)).json()["keys"].get(key)
            total += row[what] if row else 0
        return total

    def counts_by_key(self):
        """Yields key -> counts for each process of backend servers."""
        for port in self.controls:
            yield exchange(("127.0.0.1", port), "GET",
                           "/counts").json()["keys"]

    # Failures.

    def kill(self, name, number=signal.SIGKILL):
        self.nodes[name].signal(number)

    def pause(self, name):
        self.nodes[name].signal(signal.SIGSTOP)

    def resume(self, name):
        self.nodes[name].signal(signal.SIGCONT)

    def restart(self, name):
        self.nodes[name].stop()
        self.start_node(name)
        self.wait_ready(name)
