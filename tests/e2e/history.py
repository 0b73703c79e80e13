"""Checks recorded histories of callers, operators and entry VMs.

Every check takes records and returns a list of violations, as text; an empty
list means that the history is consistent. The checks assume nothing about
the order of events beyond the times recorded around each call, so their
results do not depend on how fast the machine is.
"""

import ctypes
import ctypes.util
import json
from dataclasses import dataclass, field

NOT_RUN = "not-run"
IDEMPOTENT_METHODS = ("GET", "HEAD", "PUT", "DELETE", "OPTIONS")

xxhash = ctypes.CDLL(ctypes.util.find_library("xxhash") or "libxxhash.so.0")
xxhash.XXH64.restype = ctypes.c_ulonglong
xxhash.XXH64.argtypes = [ctypes.c_char_p, ctypes.c_size_t,
                         ctypes.c_ulonglong]


@dataclass
class Attempt:
    """One attempt of a request; status is None without a complete answer.

    target is the path as the backend server sees it; home is the caller's
    region; sent and done are times.
    """

    key: str
    target: str
    method: str = "GET"
    body: bytes = b""
    once: bool = False
    home: str = ""
    vm: str = ""
    sent: float = 0.0
    done: float = 0.0
    status: int = None
    outcome: str = None
    reason: str = None
    region: str = None
    replayed: bool = False
    answer: bytes = b""

    def is_from_backend(self):
        """True when a backend server gave the answer, not the system."""
        return self.status is not None and self.outcome is None and (
            self.region is not None or self.replayed)


@dataclass
class SheetPut:
    """One operation that puts a sheet. answers: for each attempt its status
    (None when lost) and the version or the reason in the answer."""

    operation: str
    sheet: str
    cap: float
    sent: float = 0.0
    done: float = 0.0
    answers: list = field(default_factory=list)

    def get_version(self):
        versions = [version for status, version in self.answers
                    if status == 200]
        return versions[0] if versions else None

    def may_be_accepted(self):
        return any(status in (200, None) or reason == "unknown"
                   for status, reason in self.answers)


@dataclass
class Sample:
    """The version and sheet that an entry VM reported. Each process of an
    entry VM has its own incarnation."""

    vm: str
    incarnation: int
    sent: float
    done: float
    version: int
    sheet: str = None


def describe(attempt):
    return "%s %s by %s: status %s, outcome %s, reason %s" % (
        attempt.key, attempt.target, attempt.vm, attempt.status,
        attempt.outcome, attempt.reason)


def group_by_key(attempts):
    groups = {}
    for attempt in attempts:
        groups.setdefault(attempt.key, []).append(attempt)
    return groups


# Answers.

def is_own_answer(attempt):
    size = get_parameter(attempt.target, "bytes")
    if size is not None:
        length = int(size)
        copies = length // len(attempt.target) + 1
        return attempt.answer == (attempt.target * copies)[:length].encode()
    try:
        echo = json.loads(attempt.answer)
    except ValueError:
        return False
    digest = xxhash.XXH64(attempt.body, len(attempt.body), 0)
    return (echo.get("target") == attempt.target and
            echo.get("method") == attempt.method and
            echo.get("body_bytes") == len(attempt.body) and
            echo.get("body_hash") == "%016x" % digest)


def get_parameter(target, name):
    _, _, query = target.partition("?")
    for part in query.split("&"):
        if part.startswith(name + "="):
            return part[len(name) + 1:]
    return None


def check_answers(attempts):
    """Every 200 is complete and answers the request of its caller."""
    return ["not the answer to its request: %s %r" % (describe(one),
                                                      one.answer[:200])
            for one in attempts
            if one.status == 200 and not is_own_answer(one)]


def check_agreement(attempts):
    """All answers to one idempotency key are the same."""
    wrong = []
    for key, group in group_by_key(attempts).items():
        answers = {(one.status, one.answer) for one in group
                   if one.once and one.is_from_backend()}
        if len(answers) > 1:
            wrong.append("answers of %s differ: %s" % (key, answers))
    return wrong


# Runs. journal: key -> how often backend servers started it.

def check_single_runs(attempts, journal):
    """A request of a "once" route is started at most once."""
    keys = {one.key for one in attempts if one.once}
    return ["%s was started %d times" % (key, journal[key])
            for key in sorted(keys) if journal.get(key, 0) > 1]


def check_not_run(attempts, journal):
    """An attempt that was answered "not-run" started nothing.

    The journal counts by key, so all attempts of a key are checked together:
    when all were answered "not-run", nothing was started; otherwise, for
    requests that the system may not retry, the number of starts is at most
    the number of attempts with another outcome.
    """
    wrong = []
    for key, group in group_by_key(attempts).items():
        others = [one for one in group if one.outcome != NOT_RUN]
        started = journal.get(key, 0)
        may_retry = (group[0].method in IDEMPOTENT_METHODS and
                     not group[0].once)
        allowed = None if others and may_retry else len(others)
        if allowed is not None and started > allowed:
            wrong.append("%s was started %d times, at most %d expected: %s" % (
                key, started, allowed,
                "; ".join(describe(one) for one in group)))
    return wrong


# Limits.

def find_caps(puts, samples, vms):
    """When each accepted version may have been in force: (from, until, cap).

    A version begins when its put was sent and ends when every entry VM has
    reported a later one: a process that was frozen continues with the old
    version until it learns of the new one.
    """
    spans = []
    for put in puts:
        version = put.get_version()
        if version is None:
            if put.may_be_accepted():
                spans.append((put.sent, float("inf"), put.cap))
            continue
        ends = [min((one.done for one in samples
                     if one.vm == vm and one.version > version),
                    default=float("inf")) for vm in vms]
        # A restarted process may still report an old version; 0 is none.
        later = [one.done for one in samples if 0 < one.version <= version]
        spans.append((put.sent, max(ends + later), put.cap))
    return spans


def check_cap(attempts, puts, samples, vms, home, target, burst_s=0.1):
    """Requests of callers in home that ran in target stay under the cap.

    An entry VM applies the cap when it forwards a request, between the times
    sent and done. So requests that were both sent and answered within a
    window were forwarded in it, and number at most cap * length + bursts: the
    token bucket of an entry VM holds burst_s of its share, or one request if
    that is more.
    """
    shifted = [one for one in attempts if one.home == home and
               one.region == target and one.is_from_backend() and
               not one.replayed]
    spans = find_caps(puts, samples, vms)
    by_end = sorted(shifted, key=lambda one: one.done)
    wrong = []
    for start in sorted({one.sent for one in shifted}):
        count = 0
        for one in by_end:
            if one.sent < start:
                continue
            count += 1
            cap = max((cap for begin, end, cap in spans
                       if begin <= one.done and end >= start), default=0)
            allowed = (cap * (one.done - start + burst_s) + len(vms)
                       if cap > 0 else 0)
            if count > allowed:
                wrong.append(
                    "%d requests from %s in %s within %.3f s, from %.3f on; "
                    "allowed %.1f" % (count, home, target, one.done - start,
                                      start, allowed))
                break
    return wrong


def check_concurrency(region, peak, capacity, stalls, slots, orphan_s):
    """No region had more requests running and queued than its capacity.

    Only requests on stalled connections may exceed it: the entry VM fails
    such a request at its deadline or retries it elsewhere, while the backend
    server, which is not notified, continues the run. An entry VM that dies
    closes its connections and a frozen one keeps its slots, so neither adds
    requests. stalls: times at which one server's open connections stalled;
    each adds at most the server's slots, for no longer than the longest run,
    orphan_s seconds.
    """
    overlaps = max((sum(1 for other in stalls
                        if 0 <= at - other <= orphan_s)
                    for at in stalls), default=0)
    allowed = capacity + slots * overlaps
    if peak <= allowed:
        return []
    return ["%d requests at a time in %s; allowed %d" % (peak, region,
                                                        allowed)]


# Configuration.

def check_versions_rise(samples):
    """No process reverts to an older version. Samples whose calls overlap
    are not compared, as they may be answered in either order."""
    wrong = []
    seen = {}
    for sample in sorted(samples, key=lambda one: one.done):
        earlier = seen.setdefault((sample.vm, sample.incarnation), [])
        for other in earlier:
            if other.done <= sample.sent and other.version > sample.version:
                wrong.append("%s reverted from version %d to %d" % (
                    sample.vm, other.version, sample.version))
        earlier.append(sample)
    return wrong


def check_versions(puts, versions):
    """The accepted versions are 1 to N, each of one known operation, and
    agree with the answers. versions: pairs of version and operation."""
    wrong = []
    numbers = [number for number, _ in versions]
    if sorted(numbers) != list(range(1, len(numbers) + 1)):
        wrong.append("versions are not 1 to %d: %s" % (len(numbers), numbers))
    for put in puts:
        accepted = [number for number, operation in versions
                    if operation == put.operation]
        reported = {version for status, version in put.answers
                    if status == 200}
        if len(accepted) > 1:
            wrong.append("%s was accepted twice: %s" % (put.operation,
                                                        accepted))
        if reported and reported != set(accepted):
            wrong.append("%s was answered version %s, the history has %s" % (
                put.operation, reported, accepted))
        if accepted and not put.may_be_accepted():
            wrong.append("%s is in force; its operator got %s" % (
                put.operation, put.answers))
    known = {put.operation for put in puts}
    wrong += ["version %d has an unknown operation %s" % row
              for row in versions if row[1] not in known]
    return wrong


def check_sheets(puts, versions, samples):
    """Each reported sheet is the one accepted under its version."""
    sheets = {put.operation: put.sheet for put in puts}
    accepted = {number: sheets.get(operation)
                for number, operation in versions}
    return ["%s reported a wrong sheet as version %d: %r" % (
        one.vm, one.version, one.sheet) for one in samples
            if one.sheet is not None and
            one.sheet != accepted.get(one.version)]


def check_converged(version, at_end):
    """At the end every entry VM has the version in force and serves.
    at_end: entry VM -> its version and the status of a request."""
    return ["%s has version %s and answers %s; version %d is in force" % (
        vm, own, status, version)
        for vm, (own, status) in at_end.items()
        if own != version or status != 200]
