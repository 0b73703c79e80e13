"""One poisonous request, sent again and again through several nodes, crashes
few backend servers, and none of the innocent ones is quarantined.

Two copies of it may be on their way at one time. Connections are also lost
for innocent reasons, which a later probe finds out.
"""
import ctypes
import itertools
import unittest

from hypothesis import given, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from core_library import BOOL, I64, INT, PROFILE, PTR, U64, declare, load

lib = load()
new = declare(lib, PTR, "SasShim_NewQuarantine")
free = declare(lib, None, "SasShim_Free", PTR)
suspect = declare(lib, None, "SasShim_Suspect", PTR, U64, U64, BOOL, I64)
choose_crash = declare(lib, U64, "SasShim_ChooseCrash", PTR, INT, INT, I64)
clear = declare(lib, None, "SasShim_Clear", PTR, U64, I64)
void = declare(lib, None, "SasQuarantine_Dismiss", PTR, U64, I64)
check = declare(lib, INT, "SasShim_Check", PTR, U64, I64)
begin_trial = declare(lib, BOOL, "SasShim_BeginIsolatedRun", PTR, U64, I64, I64)
merge_all = declare(lib, None, "SasShim_MergeAll", PTR, PTR, I64)
print_table = declare(lib, PTR, "SasShim_PrintQuarantine", PTR, I64)

NODES, SERVERS, POISON, COPIES = 3, 5, 1, 2
ALLOW, ALONE, WAIT, REFUSE = range(4)
TRIAL_MS = 30000
nodes = st.integers(0, NODES - 1)
servers = st.integers(0, SERVERS - 1)
requests = st.sampled_from([1, 1, 2, 3, 4])


class Quarantines(RuleBasedStateMachine):
    in_time = True
    bound = COPIES + 1

    def __init__(self):
        super().__init__()
        self.now, self.crashes = 0, 0
        self.nodes = [new() for _ in range(NODES)]
        self.running = [[] for _ in range(SERVERS)]  # (node, request, alone)
        self.incarnations = [0] * SERVERS
        self.probes = []   # (node, server, incarnation, crash)

    def teardown(self):
        while self.probes:
            self.probe(0)
        for a, b in itertools.permutations(self.nodes, 2):
            merge_all(a, b, self.now)
        for q, request in itertools.product(self.nodes, (2, 3, 4)):
            assert check(q, request, self.now) != REFUSE, "innocent"
        for q in self.nodes:
            free(q)

    def merged(self):
        if self.in_time:
            for a, b in itertools.permutations(self.nodes, 2):
                merge_all(a, b, self.now)

    def crash_name(self, node, server):
        return choose_crash(self.nodes[node], server,
                            self.incarnations[server], self.now)

    def lose(self, server, nodes):
        """These nodes lose their connections to the server."""
        lost = [r for r in self.running[server] if r[0] in nodes]
        self.running[server] = [r for r in self.running[server]
                                if r[0] not in nodes]
        for node, request, alone in lost:
            suspect(self.nodes[node], request, self.crash_name(node, server),
                    alone, self.now)

    @rule(node=nodes, request=requests, server=servers)
    def send(self, node, request, server):
        copies = sum(r[1] == POISON for s in self.running for r in s)
        if request == POISON and copies >= COPIES:
            return
        verdict = check(self.nodes[node], request, self.now)
        place = self.running[server]
        if request != POISON and not self.probes:
            assert verdict != REFUSE, "innocent"
        if verdict == ALLOW and not any(alone for _, _, alone in place):
            place.append((node, request, False))
        if verdict == ALONE and not place:
            assert begin_trial(self.nodes[node], request, TRIAL_MS, self.now)
            place.append((node, request, True))
            self.merged()

    @rule(server=servers)
    def time_passes(self, server):
        """Each request on the server ends: poison by a crash."""
        self.now += 10
        if any(request == POISON for _, request, _ in self.running[server]):
            self.lose(server, range(NODES))
            self.incarnations[server] += 1
            self.crashes += 1
            assert self.crashes <= self.bound, "too many crashes"
            self.merged()
            return
        for node, request, alone in self.running[server]:
            if alone:
                clear(self.nodes[node], request, self.now)
        self.running[server] = []
        self.merged()

    @rule(node=nodes, server=servers)
    def reset(self, node, server):
        if not any(r[0] == node for r in self.running[server]):
            return
        crash = self.crash_name(node, server)
        self.lose(server, [node])
        self.probes.append((node, server, self.incarnations[server], crash))

    @precondition(lambda self: self.probes)
    @rule(pick=st.integers(0, 10))
    def probe(self, pick):
        node, server, incarnation, crash = self.probes.pop(
            pick % len(self.probes))
        if self.incarnations[server] == incarnation:
            void(self.nodes[node], crash, self.now)
        self.merged()

    @rule(a=nodes, b=nodes)
    def gossip(self, a, b):
        merge_all(self.nodes[a], self.nodes[b], self.now)


class LateQuarantines(Quarantines):
    """Nobody need hear of anything: each node learns for itself."""
    in_time = False
    bound = NODES * (COPIES + 1)


events = st.lists(st.tuples(st.integers(1, 3), st.integers(1, 8),
                            st.booleans(), st.booleans(),
                            st.integers(0, 5)), max_size=6)


def table(entries):
    q = new()
    for request, crash, alone, cleared, when in entries:
        suspect(q, request, crash, alone, when)
        if cleared:
            void(q, crash, when)
    return q


def text(*tables):
    """What is in the first table after the others are merged into it."""
    q = new()
    for other in tables:
        merge_all(q, other, 10)
    at = print_table(q, 10)
    lines = sorted(ctypes.string_at(at).splitlines())
    free(at)
    free(q)
    return lines


class TestMerge(unittest.TestCase):
    @settings(PROFILE, max_examples=500)
    @given(events, events, events)
    def test_merge_is_a_join(self, a, b, c):
        a, b, c = table(a), table(b), table(c)
        ab = new()
        merge_all(ab, a, 10)
        merge_all(ab, b, 10)
        bc = new()
        merge_all(bc, b, 10)
        merge_all(bc, c, 10)
        self.assertEqual(text(a, b), text(b, a))
        self.assertEqual(text(ab, c), text(a, bc))
        self.assertEqual(text(a, a), text(a))
        for q in (a, b, c, ab, bc):
            free(q)


SETTINGS = settings(PROFILE, max_examples=500, stateful_step_count=50)
TestQuarantines = Quarantines.TestCase
TestQuarantines.settings = SETTINGS
TestLateQuarantines = LateQuarantines.TestCase
TestLateQuarantines.settings = SETTINGS

if __name__ == "__main__":
    unittest.main()
