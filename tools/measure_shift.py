#!/usr/bin/python3
"""Latency of a shift onto servers with cold caches, by the length of its ramp.

    tools/measure_shift.py [--build build] [--ramps 0,10,20] [--load 45]
        [--cold-s 8] [--cold-factor 4] [--seconds 30]

Two regions, three entry VMs and eight backend servers of three slots each;
callers of both regions load --load percent of their region's slots. Three
seconds into the run the sheet orders 40% of montreal's callers to quebec,
whose servers then run --cold-factor times slower for --cold-s seconds, as with
caches that hold nothing of these callers. A ramp of 0 is one step. Prints for
each ramp (seconds) the refusals and the latency from the planned arrival, of
all callers over the whole run.
"""

import argparse
import os
import subprocess
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests", "e2e"))

BLOCKS = 20
SLOTS = 24
MEAN_MS = 20


def list_targets(deployment):
    targets = []
    for region, ports in deployment.vms.values():
        for block in range(BLOCKS):
            targets += ["--target", "%s:%d:1:%s" % (
                deployment.ip, ports[0],
                deployment.caller_ip(region, (block << 8) + 1))]
    return targets


def measure(arguments, ramp):
    import harness
    with harness.Deployment(
            regions=("montreal", "quebec"), vms=3, blocks=BLOCKS,
            services={"dossiers": {"backends": 8, "slots": 3, "queue": 6}},
            standin_arguments=["--rtt-ms", "2"]) as deployment:
        rate = 2 * SLOTS * 1000 / MEAN_MS * arguments.load / 100
        load = subprocess.Popen(
            [harness.BUILD + "/bin/sas_load", *list_targets(deployment),
             "--rate", str(rate), "--duration", str(arguments.seconds),
             "--service", "dossiers", "--path", "/x", "--mean-ms",
             str(MEAN_MS), "--connections", "20"],
            stdout=subprocess.PIPE, text=True)
        time.sleep(3)
        limits = "ramp=%d" % ramp if ramp else ""
        deployment.put_sheet("montreal-1", [
            "+0,dossiers,montreal,quebec,40%%,,,%s" % limits])
        deployment.control_backends("dossiers-quebec-*",
                                    cold_factor=arguments.cold_factor,
                                    cold_s=arguments.cold_s)
        output = load.communicate()[0]
        shown = [line for line in output.splitlines()
                 if line.split()[:1] in (["all"], ["refusal"], ["planned"])]
        print("ramp %d s" % ramp)
        print("\n".join("    " + line for line in shown), flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default=os.path.join(ROOT, "build"))
    parser.add_argument("--ramps", default="0,10,20")
    parser.add_argument("--load", type=float, default=45)
    parser.add_argument("--cold-s", type=float, default=8)
    parser.add_argument("--cold-factor", type=float, default=4)
    parser.add_argument("--seconds", type=float, default=30)
    arguments = parser.parse_args()
    os.environ["SAS_BUILD"] = os.path.abspath(arguments.build)
    for ramp in arguments.ramps.split(","):
        measure(arguments, int(ramp))


if __name__ == "__main__":
    main()
