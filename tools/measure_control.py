#!/usr/bin/python3
"""Cost of the control plane per entry VM, by the number of entry VMs.

    tools/measure_control.py [--build build] [--vms 3,9,18,30]
        [--seconds 10] [--changes 5]

Starts the given number of entry VMs (three regions, two backend servers each,
no callers) and prints one row for each number: CPU time per second and bytes
sent to peers per second of one entry VM, the largest resident memory, the
store reads per second of all entry VMs together, and median and maximum of the
time from the acknowledgement of a put until all entry VMs have it in force.
CPU time is that of /proc/PID/stat.
"""

import argparse
import os
import statistics
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests", "e2e"))

REGIONS = ("montreal", "quebec", "saguenay")


def read_cpu_ms(process):
    with open("/proc/%d/stat" % process.process.pid) as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) * 1000 / \
        os.sysconf("SC_CLK_TCK")


def read_all(deployment):
    names = list(deployment.vms)
    cpu = sum(read_cpu_ms(deployment.nodes[name]) for name in names)
    sent = sum(deployment.counter(name, "sas_peer_events_total",
                                  'event="bytes_out"') for name in names)
    return time.monotonic(), cpu, sent, deployment.store_reads()


def measure_spread(deployment, number):
    names = list(deployment.vms)
    put = deployment.put_sheet(
        names[number % len(names)],
        ["+3600,dossiers,montreal,quebec,%d%%,,," % (number + 1)])
    start = time.monotonic()
    version = put.json()["version"]
    deployment.wait_version(version)
    return time.monotonic() - start


def measure(deployment, arguments):
    count = len(deployment.vms)
    before = read_all(deployment)
    time.sleep(arguments.seconds)
    after = read_all(deployment)
    elapsed = after[0] - before[0]
    spreads = [measure_spread(deployment, number)
               for number in range(arguments.changes)]
    memory = max(deployment.memory_mb(name) for name in deployment.vms)
    print("%6d %14.2f %12.0f %10.1f %12.1f %12.2f %12.2f" % (
        count, (after[1] - before[1]) / elapsed / count,
        (after[2] - before[2]) / elapsed / count, memory,
        (after[3] - before[3]) / elapsed, statistics.median(spreads),
        max(spreads)), flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default=os.path.join(ROOT, "build"))
    parser.add_argument("--vms", default="3,9,18,30")
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--changes", type=int, default=5)
    arguments = parser.parse_args()
    os.environ["SAS_BUILD"] = os.path.abspath(arguments.build)
    from harness import Deployment
    print("%6s %14s %12s %10s %12s %12s %12s" % (
        "vms", "cpu_ms_per_s", "sent_B_per_s", "rss_MB", "reads_per_s",
        "spread_s", "worst_s"))
    for vms in arguments.vms.split(","):
        with Deployment(regions=REGIONS, vms=int(vms) // len(REGIONS),
                        services={"dossiers": {"backends": 2}}) as deployment:
            measure(deployment, arguments)


if __name__ == "__main__":
    main()
