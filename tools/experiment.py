#!/usr/bin/python3
"""Measures goodput and latency of real processes for a matrix of settings.

    tools/experiment.py [--build build] [--csv out.csv] [--seconds 8]
        [--runs 1] [--vary placement=least-load,cone]
        [--vary queue_wait_ms=100,1000] [--load 50,80,95,120]

Each run starts the platform's stand-in, the backend servers of one service
(three regions of 8 servers with 3 slots, 1 ms away), nine entry VMs and the
open-loop load generator, which spreads its requests over the entry VMs by
--skew. Prints one row per run: goodput, latency from the planned arrival,
refusals, the peak load of the busiest region against its slots, and the entry
VMs' CPU time per 1000 good answers. The CPU time includes the warm-up of 2 s,
the answers don't.
"""

import argparse
import csv
import itertools
import os
import re
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests", "e2e"))

SLOTS = 24  # per region
REGIONS = ("montreal", "quebec", "saguenay")
COLUMNS = ["load", "good_per_s", "good_percent", "p50_ms", "p90_ms",
           "p99_ms", "refused", "shed", "peak", "slots", "cpu_ms_per_1000"]


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default=os.path.join(ROOT, "build"))
    parser.add_argument("--csv")
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--mean-ms", type=float, default=20)
    parser.add_argument("--load", default="50,80,95,120")
    parser.add_argument("--skew", default="1",
                        help="weight of the first entry VM of each region")
    parser.add_argument("--standin", default="",
                        help="additional arguments of the backend stand-ins")
    parser.add_argument("--vary", action="append", default=[],
                        help="KEY=VALUE,VALUE: a key of [limits] or "
                        "placement, and the values to run")
    parser.add_argument("--report", default="honest",
                        help="load that backend servers report: "
                        "honest, zero, random")
    parser.add_argument("--regions", type=int, default=3)
    return parser.parse_args()


def read_cpu_ms(deployment):
    ticks = 0
    for node in deployment.nodes.values():
        with open("/proc/%d/stat" % node.process.pid) as file:
            fields = file.read().rsplit(")", 1)[1].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks * 1000 / os.sysconf("SC_CLK_TCK")


def run_load(deployment, arguments, load, seed):
    import harness
    capacity = SLOTS * arguments.regions * 1000 / arguments.mean_ms
    command = [harness.BUILD + "/bin/sas_load", "--rate",
               str(capacity * load / 100), "--duration",
               str(arguments.seconds), "--warmup", "2", "--service",
               "dossiers", "--path", "/x", "--mean-ms",
               str(int(arguments.mean_ms)), "--connections", "300",
               "--seed", str(seed)]
    for name, (region, ports) in deployment.vms.items():
        weight = arguments.skew if name.endswith("-1") else "1"
        command += ["--target", "%s:%d:%s:%s" % (
            deployment.ip, ports[0], weight, deployment.caller_ip(region))]
    before = read_cpu_ms(deployment)
    output = subprocess.run(command, capture_output=True, text=True,
                            check=True).stdout
    return output, read_cpu_ms(deployment) - before


def read_row(output, cpu_ms, deployment, load):
    row = dict.fromkeys(COLUMNS, 0)
    row["load"] = load
    for line in output.splitlines():
        words = line.split()
        if words[:2] == ["all", "good"]:
            row["good_per_s"], row["p50_ms"], row["p90_ms"], \
                row["p99_ms"] = (float(word) for word in words[3:7])
            row["cpu_ms_per_1000"] = round(cpu_ms * 1000 / int(words[2]), 1)
        elif words and words[0] == "refusal":
            row["refused"] += int(re.search(r" (\d+) +[\d.]+ +", line)[1])
        elif words and words[0] == "planned":
            row["good_percent"] = float(re.search(r"good ([\d.]+)",
                                                  line)[1])
    row["shed"] = sum(counts["shed"]
                      for counts in deployment.counts().values())
    row["peak"] = max(deployment.peak("dossiers", region)
                      for region in deployment.regions)
    row["slots"] = SLOTS
    return row


def run_one(arguments, settings, load, seed):
    from harness import Deployment
    limits = {key: value for key, value in settings.items()
              if key != "placement"}
    with Deployment(regions=REGIONS[:arguments.regions], vms=3,
                    services={"dossiers": {"backends": 8, "slots": 3,
                                           "queue": 6}},
                    limits=limits, placement=settings.get("placement"),
                    standin_arguments=["--rtt-ms", "2", "--probe-ms", "6"] +
                    arguments.standin.split()) as deployment:
        deployment.control_backends("*", report=arguments.report)
        output, cpu_ms = run_load(deployment, arguments, load, seed)
        return read_row(output, cpu_ms, deployment, load)


def parse_value(text):
    try:
        return float(text) if "." in text else int(text)
    except ValueError:
        return text


def main():
    arguments = parse_arguments()
    os.environ["SAS_BUILD"] = os.path.abspath(arguments.build)
    keys = [word.split("=")[0] for word in arguments.vary]
    values = [[parse_value(value) for value in word.split("=")[1].split(",")]
              for word in arguments.vary]
    rows = []
    print("  ".join("%12s" % name for name in keys + ["run"] + COLUMNS))
    for combination in itertools.product(*values):
        settings = dict(zip(keys, combination))
        for load in arguments.load.split(","):
            for run in range(arguments.runs):
                row = {**settings, "run": run + 1,
                       **run_one(arguments, settings, float(load),
                                 100 + run)}
                rows.append(row)
                print("  ".join("%12s" % value for value in row.values()),
                      flush=True)
    if arguments.csv:
        with open(arguments.csv, "w", newline="") as file:
            writer = csv.DictWriter(file, keys + ["run"] + COLUMNS)
            writer.writeheader()
            writer.writerows(rows)


if __name__ == "__main__":
    main()
