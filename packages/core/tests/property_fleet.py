"""The fleet while servers are added, removed and added again in any order."""
import unittest

from hypothesis import given, settings, strategies as st

from core_library import BOOL, I64, INT, PROFILE, PTR, declare, load
import ctypes

lib = load()
TEXT = ctypes.c_char_p
new = declare(lib, PTR, "SasFleet_New")
free = declare(lib, None, "SasFleet_Free", PTR)
add_zone = declare(lib, INT, "SasFleet_AddZone", PTR, TEXT, TEXT)
put = declare(lib, INT, "SasShim_PutServer", PTR, TEXT, TEXT, TEXT, INT, I64,
              INT)
remove = declare(lib, BOOL, "SasFleet_RemoveServer", PTR, TEXT)
find = declare(lib, INT, "SasFleet_FindServer", PTR, TEXT)
is_open = declare(lib, BOOL, "SasFleet_AcceptsRequests", PTR, INT)
evacuate = declare(lib, BOOL, "SasFleet_SetEvacuated", PTR, INT, BOOL)
generation = declare(lib, ctypes.c_uint32, "SasShim_GetGeneration", PTR, INT)
get_id = declare(lib, TEXT, "SasShim_GetId", PTR, INT, ctypes.c_uint32)
count_listed = declare(lib, INT, "SasShim_CountListed", PTR, TEXT)

IDS = [b"s%d" % i for i in range(5)]
SERVICES = [b"desk", b"vault"]
ZONES = [b"a", b"b"]

# A put gives all facts of a server; the same born number is the same process.
steps = st.lists(st.one_of(
    st.tuples(st.just("put"), st.sampled_from(IDS),
              st.sampled_from(SERVICES), st.sampled_from(ZONES),
              st.integers(1, 2), st.integers(1, 3), st.booleans()),
    st.tuples(st.just("remove"), st.sampled_from(IDS)),
    st.tuples(st.just("evacuate"), st.integers(0, 1), st.booleans())),
    max_size=60)


class TestFleet(unittest.TestCase):
    @settings(PROFILE, max_examples=500)
    @given(steps)
    def test_references_give_that_start_or_nothing(self, steps):
        fleet = new()
        for zone in ZONES:
            add_zone(fleet, zone, b"region-" + zone)
        known = {}       # id: (service, zone, port, born, draining)
        references = []  # (slot, generation, id, start)
        evacuated = [False, False]
        for kind, *rest in steps:
            if kind == "put":
                name, service, zone, port, born, draining = rest
                slot = put(fleet, name, service, zone, port, born, draining)
                assert slot >= 0
                known[name] = (service, zone, port, born, draining)
                references.append((slot, generation(fleet, slot), name,
                                   known[name][:4]))
            elif kind == "remove":
                assert remove(fleet, rest[0]) == (rest[0] in known)
                known.pop(rest[0], None)
            else:
                evacuate(fleet, rest[0], rest[1])
                evacuated[rest[0]] = rest[1]
            self.check(fleet, known, references, evacuated)
        free(fleet)

    def check(self, fleet, known, references, evacuated):
        for slot, number, name, start in references:
            # A server may return under its id with the same start. An old
            # reference may then be invalid, but must never give another
            # server or a later start.
            found = get_id(fleet, slot, number)
            assert found in (b"", name)
            if found == name:
                assert known[name][:4] == start
        for name in IDS:
            assert (find(fleet, name) >= 0) == (name in known)
        for service in SERVICES:
            listed = sum(1 for facts in known.values() if facts[0] == service)
            assert count_listed(fleet, service) == listed
        for name, (_, zone, _, _, draining) in known.items():
            closed = draining or evacuated[ZONES.index(zone)]
            assert is_open(fleet, find(fleet, name)) == (not closed)


if __name__ == "__main__":
    unittest.main()
