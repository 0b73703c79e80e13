#!/usr/bin/python3
"""Summarizes the outcomes of requests from the logs of entry VMs.

Usage: read_requests.py [--window SECONDS] [FILE...]   (or standard input)

Reads the JSON lines of any number of entry VMs in any order; text before the
first brace of a line is ignored. Prints

- outcomes by route, with latency quantiles of the answered requests
- outcomes by time window
- for requests that were answered or timed out at the first attempt: how many
  went to a server that was expected to have cached the object, and by how much
  they took longer than expected
- how often objects changed their server, and the server time wasted on
  requests that timed out or were lost
- ejections of backend servers by cause, and dropped log lines
"""

import argparse
import collections
import datetime
import json
import sys

LOST_OUTCOMES = ("timed out", "connection lost", "spoiled answer",
                 "caller left")


def read_lines(files):
    """Returns the log lines as dictionaries, in the order of their time, and
    the number of invalid lines."""
    lines, invalid = [], 0
    for file in files:
        for text in file:
            start = text.find("{")
            if start < 0:
                continue
            try:
                line = json.loads(text[start:])
                line["at"] = datetime.datetime.fromisoformat(
                    line["time"].replace("Z", "+00:00")).timestamp()
            except (ValueError, KeyError, TypeError, AttributeError):
                invalid += 1
                continue
            lines.append(line)
    lines.sort(key=lambda line: line["at"])
    return lines, invalid


def pick_quantile(sorted_values, share):
    return sorted_values[int(share * (len(sorted_values) - 1))]


def describe_times(values):
    if not values:
        return ""
    values = sorted(values)
    return "p50 %d, p90 %d, p99 %d ms" % tuple(
        pick_quantile(values, share) for share in (0.5, 0.9, 0.99))


def describe_counts(counts):
    return ", ".join("%s %d" % pair for pair in counts.most_common())


def print_routes(requests):
    print("by route")
    routes = collections.defaultdict(list)
    for line in requests:
        routes[line.get("route", "")].append(line)
    for route, lines in sorted(routes.items(), key=lambda item:
                               -len(item[1])):
        outcomes = collections.Counter(line["outcome"] for line in lines)
        times = [line["took_ms"] for line in lines
                 if line["outcome"] == "answered"]
        print("  %-20s %6d: %s; %s" % (route or "(none)", len(lines),
                                       describe_counts(outcomes),
                                       describe_times(times)))


def print_windows(requests, window_s):
    print("by window of %g s" % window_s)
    begin = requests[0]["at"]
    windows = collections.defaultdict(collections.Counter)
    for line in requests:
        window = int((line["at"] - begin) / window_s)
        windows[window][line["outcome"]] += 1
    for window, outcomes in sorted(windows.items()):
        print("  %7.1f s: %s" % (window * window_s,
                                 describe_counts(outcomes)))


def print_expectations(requests):
    print("time taken against the expected time")
    sent = [line for line in requests if line.get("tried") == 1 and
            line["outcome"] in ("answered", "timed out") and "work_ms" in line]
    for known in (True, False):
        lines = [line for line in sent if line["known"] == known]
        excess_ms = sorted(
            line["took_ms"] - line["wait_ms"] - line["work_ms"]
            for line in lines)
        if excess_ms:
            print("  object %s to the server: %d, of them timed out %d; "
                  "longer than expected by p50 %d, p90 %d ms" %
                  ("known" if known else "new", len(lines),
                   sum(line["outcome"] == "timed out" for line in lines),
                   pick_quantile(excess_ms, 0.5),
                   pick_quantile(excess_ms, 0.9)))


def print_objects(requests):
    servers = {}
    moved = 0
    for line in requests:
        if line["outcome"] != "answered" or not line.get("object"):
            continue
        key = (line["service"], line["object"], line["vm"])
        moved += servers.get(key, line["peer"]) != line["peer"]
        servers[key] = line["peer"]
    wasted_ms = sum(line["took_ms"] for line in requests
                    if line["outcome"] in LOST_OUTCOMES and line["tried"] > 0)
    print("objects: %d (per entry VM), %d changes of server" %
          (len(servers), moved))
    print("server time wasted on lost requests: at most %.1f s" %
          (wasted_ms / 1000))


def print_servers(lines):
    causes = collections.Counter(line.get("cause", "") for line in lines
                                 if line["step"] == "server.tripped")
    print("servers ejected: %s" % (describe_counts(causes) or "none"))
    dropped = sum(line.get("lines", 0) for line in lines
                  if line["step"] == "log.dropped")
    if dropped:
        print("lines dropped by the entry VMs: %d" % dropped)


def main():
    parser = argparse.ArgumentParser(
        description="Summarizes outcomes of requests from entry VM logs.")
    parser.add_argument("--window", type=float, default=2.0,
                        help="length of a time window in seconds (2)")
    parser.add_argument("files", nargs="*", type=argparse.FileType("r"),
                        default=[sys.stdin])
    options = parser.parse_args()
    if options.window <= 0:
        parser.error("--window must be above 0")
    lines, invalid = read_lines(options.files)
    requests = [line for line in lines if line.get("step") == "request"]
    if invalid:
        print("%d lines are not log lines" % invalid, file=sys.stderr)
    if not requests:
        print("no requests in these logs", file=sys.stderr)
        return 1
    print_routes(requests)
    print_windows(requests, options.window)
    print_expectations(requests)
    print_objects(requests)
    print_servers(lines)
    return 0


if __name__ == "__main__":
    sys.exit(main())
