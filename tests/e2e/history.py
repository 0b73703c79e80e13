"""Checks recorded histories of callers, operators and entry VMs.

Every check takes records and returns a list of violations, as text; an empty
list means that the history is consistent. The checks assume nothing about
the order of events but the times that were recorded around each call, so
their verdict does not depend on how fast the machine is.
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
class Sending:
    """One sending of a request; status is None when no whole answer came.

    target is what the backend server sees; home is the caller's region.
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

    def is_passed_on(self):
        """True when the answer is a backend server's own."""
        return self.status is not None and self.outcome is None and (
            self.region is not None or self.replayed)


@dataclass
class Put:
    """One operation on the sheet with all answers to its sendings: pairs of
    a status (None when lost) and the version or the reason told."""

    operation: str
    sheet: str
    cap: float
    sent: float = 0.0
    done: float = 0.0
    answers: list = field(default_factory=list)

    def get_version(self):
        told = [told for status, told in self.answers if status == 200]
        return told[0] if told else None

    def may_be_accepted(self):
        return any(status in (200, None) or told == "unknown"
                   for status, told in self.answers)


@dataclass
class Sight:
    """What one process of an entry VM said at one time."""

    vm: str
    incarnation: int
    sent: float
    done: float
    version: int
    sheet: str = None


def describe(sending):
    return "%s %s by %s: status %s, outcome %s, reason %s" % (
        sending.key, sending.target, sending.vm, sending.status,
        sending.outcome, sending.reason)


def group_by_key(sendings):
    groups = {}
    for sending in sendings:
        groups.setdefault(sending.key, []).append(sending)
    return groups


# Answers.

def is_own_answer(sending):
    size = get_parameter(sending.target, "bytes")
    if size is not None:
        length = int(size)
        copies = length // len(sending.target) + 1
        return sending.answer == (sending.target * copies)[:length].encode()
    try:
        echo = json.loads(sending.answer)
    except ValueError:
        return False
    digest = xxhash.XXH64(sending.body, len(sending.body), 0)
    return (echo.get("target") == sending.target and
            echo.get("method") == sending.method and
            echo.get("body_bytes") == len(sending.body) and
            echo.get("body_hash") == "%016x" % digest)


def get_parameter(target, name):
    _, _, query = target.partition("?")
    for part in query.split("&"):
        if part.startswith(name + "="):
            return part[len(name) + 1:]
    return None


def check_answers(sendings):
    """Every 200 is whole and answers the request that its caller sent."""
    return ["not its own answer: %s %r" % (describe(one), one.answer[:200])
            for one in sendings
            if one.status == 200 and not is_own_answer(one)]


def check_agreement(sendings):
    """All answers to one idempotency key are the same."""
    wrong = []
    for key, group in group_by_key(sendings).items():
        answers = {(one.status, one.answer) for one in group
                   if one.once and one.is_passed_on()}
        if len(answers) > 1:
            wrong.append("answers of %s differ: %s" % (key, answers))
    return wrong


# Runs; journal: key -> how often it was started.

def check_once(sendings, journal):
    keys = {one.key for one in sendings if one.once}
    return ["%s was started %d times" % (key, journal[key])
            for key in sorted(keys) if journal.get(key, 0) > 1]


def check_not_run(sendings, journal):
    """A sending that was told "not run" started nothing.

    The journal counts by key, so a key that was sent several times is judged
    as a whole: when all of its sendings were told "not run", nothing was
    started; otherwise, for methods that the system may not repeat, no more
    was started than there are sendings that were told something else.
    """
    wrong = []
    for key, group in group_by_key(sendings).items():
        others = [one for one in group if one.outcome != NOT_RUN]
        started = journal.get(key, 0)
        may_repeat = (group[0].method in IDEMPOTENT_METHODS and
                      not group[0].once)
        allowed = None if others and may_repeat else len(others)
        if allowed is not None and started > allowed:
            wrong.append("%s was started %d times, at most %d expected: %s" % (
                key, started, allowed,
                "; ".join(describe(one) for one in group)))
    return wrong


# Limits.

def find_caps(puts, sights, vms):
    """When each accepted version may have been in force: (from, until, cap).

    A version begins when its put was sent. It is in force until every entry
    VM was seen with a later one: a process that was frozen goes on with the
    old one until it has heard of the new one.
    """
    spans = []
    for put in puts:
        version = put.get_version()
        if version is None:
            if put.may_be_accepted():
                spans.append((put.sent, float("inf"), put.cap))
            continue
        ends = [min((one.done for one in sights
                     if one.vm == vm and one.version > version),
                    default=float("inf")) for vm in vms]
        # A process that starts later may read an old one; 0 is none at all.
        later = [one.done for one in sights if 0 < one.version <= version]
        spans.append((put.sent, max(ends + later), put.cap))
    return spans


def check_cap(sendings, puts, sights, vms, home, target, burst_s=0.1):
    """Requests of callers at home that ran in target stay under the cap.

    The cap is kept as requests leave, at some time between a request's
    sending and its answer. So those that were both sent and answered within
    a window all left in it, and are at most cap * length + bursts: an entry
    VM's bucket holds burst_s of its share, or one request if that is more.
    """
    shifted = [one for one in sendings if one.home == home and
               one.region == target and one.is_passed_on() and
               not one.replayed]
    spans = find_caps(puts, sights, vms)
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


def check_peak(region, peak, places, silenced, slots, orphan_s):
    """No region had more requests running and waiting than its places.

    A request on a connection that went silent is the one that may overlap:
    the entry VM gives up at its deadline or tries elsewhere, while the
    backend server, which never hears of that, runs it on. An entry VM that
    dies closes its connections and one that is frozen keeps its places, so
    neither adds anything. silenced: times at which one server's open
    connections went silent; each leaves at most the server's slots behind,
    for no longer than the longest run, orphan_s.
    """
    overlaps = max((sum(1 for other in silenced
                        if 0 <= at - other <= orphan_s)
                    for at in silenced), default=0)
    allowed = places + slots * overlaps
    if peak <= allowed:
        return []
    return ["%d requests at a time in %s; allowed %d" % (peak, region,
                                                        allowed)]


# Configuration.

def check_versions_rise(sights):
    """No process goes back to an older version. Two calls that overlap may
    be answered in either order."""
    wrong = []
    seen = {}
    for sight in sorted(sights, key=lambda one: one.done):
        earlier = seen.setdefault((sight.vm, sight.incarnation), [])
        for other in earlier:
            if other.done <= sight.sent and other.version > sight.version:
                wrong.append("%s went from version %d back to %d" % (
                    sight.vm, other.version, sight.version))
        earlier.append(sight)
    return wrong


def check_versions(puts, versions):
    """versions: pairs of a version and its operation, as accepted."""
    wrong = []
    numbers = [number for number, _ in versions]
    if sorted(numbers) != list(range(1, len(numbers) + 1)):
        wrong.append("versions are not 1 to %d: %s" % (len(numbers), numbers))
    for put in puts:
        accepted = [number for number, operation in versions
                    if operation == put.operation]
        told = {told for status, told in put.answers if status == 200}
        if len(accepted) > 1:
            wrong.append("%s is accepted twice: %s" % (put.operation,
                                                       accepted))
        if told and told != set(accepted):
            wrong.append("%s was told version %s, the history says %s" % (
                put.operation, told, accepted))
        if accepted and not put.may_be_accepted():
            wrong.append("%s is in force; its operator was told %s" % (
                put.operation, put.answers))
    known = {put.operation for put in puts}
    wrong += ["version %d has an unknown operation %s" % row
              for row in versions if row[1] not in known]
    return wrong


def check_sheets(puts, versions, sights):
    """A sheet seen in force is the one that was accepted by that number."""
    sheets = {put.operation: put.sheet for put in puts}
    accepted = {number: sheets.get(operation)
                for number, operation in versions}
    return ["%s had another sheet as version %d: %r" % (
        one.vm, one.version, one.sheet) for one in sights
        if one.sheet is not None and
        one.sheet != accepted.get(one.version)]


def check_healed(version, at_end):
    """at_end: entry VM -> its version and the status of a request."""
    return ["%s has version %s and answers %s; version %d is in force" % (
        vm, own, status, version)
        for vm, (own, status) in at_end.items()
        if own != version or status != 200]
