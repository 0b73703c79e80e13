#!/usr/bin/python3
"""Throughput of lookups and forwarded requests, relative to baselines.

    tools/measure_throughput.py [--build build] [--seconds 4] [--runs 3]
        [--connections 32]

Closed loop from one load generator: lookups relative to a bare h2o handler,
and requests through an entry VM relative to the same requests sent directly to
a backend server that answers at once. All processes share one machine.
"""

import argparse
import os
import statistics
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests", "e2e"))


def run_load(build, target, path, arguments, service=None):
    command = [build + "/bin/sas_load", "--closed",
               str(arguments.connections), "--target", target, "--path",
               path, "--duration", str(arguments.seconds), "--warmup", "1"]
    if service:
        command += ["--service", service]
    output = subprocess.run(command, capture_output=True, text=True,
                            check=True).stdout
    for line in output.splitlines():
        words = line.split()
        if words[:2] == ["all", "good"]:
            return float(words[3])
    raise SystemExit("no good answers from %s%s\n%s" % (target, path, output))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default=os.path.join(ROOT, "build"))
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--connections", type=int, default=32)
    arguments = parser.parse_args()
    build = os.path.abspath(arguments.build)
    os.environ["SAS_BUILD"] = build
    from harness import Deployment, Process
    rows = []
    with Deployment(regions=("montreal",), vms=1, services={
            "dossiers": {"backends": 1, "slots": 64, "queue": 64}}) as d:
        bare = Process("bare", [build + "/bin/sas_bare_h2o"],
                       d.path("bare.log")).start(read_ports=True)
        bare_port = next(int(words[2]) for words in bare.read_lines("PORT"))
        node = "%s:%d" % d.caller_address("montreal-1")
        backend = "127.0.0.1:%d" % next(iter(d.backends.values()))[2]
        try:
            for _ in range(arguments.runs):
                rows.append([
                    run_load(build, "127.0.0.1:%d" % bare_port, "/",
                             arguments),
                    run_load(build, node, "/v1/lookup?service=dossiers",
                             arguments),
                    run_load(build, backend, "/x?ms=0", arguments),
                    run_load(build, node, "/s/dossiers/x?ms=0", arguments)])
        finally:
            bare.stop()
    print("%10s %10s %10s %10s %14s %16s" % (
        "bare_h2o", "lookup", "direct", "forwarded", "lookup/bare",
        "forwarded/direct"))
    for row in rows:
        print("%10.0f %10.0f %10.0f %10.0f %14.2f %16.2f" % (
            *row, row[1] / row[0], row[3] / row[2]))
    print("median ratios: lookup/bare %.2f, forwarded/direct %.2f" % (
        statistics.median(row[1] / row[0] for row in rows),
        statistics.median(row[3] / row[2] for row in rows)))


if __name__ == "__main__":
    main()
