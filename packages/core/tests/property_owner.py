"""Requests stay in their allowed regions, for any fleet and query."""
import ctypes
import unittest

from hypothesis import given, settings, strategies as st

from core_library import (BOOL, I64, INT, PROFILE, PTR, TEXT, U64, declare,
                          load)

lib = load()
new = declare(lib, PTR, "SasFleet_New")
free = declare(lib, None, "SasFleet_Free", PTR)
add_zone = declare(lib, INT, "SasFleet_AddZone", PTR, TEXT, TEXT)
add_service = declare(lib, INT, "SasFleet_AddService", PTR, TEXT)
put = declare(lib, INT, "SasShim_PutServer", PTR, TEXT, TEXT, TEXT, INT, I64,
              INT)
evacuate = declare(lib, BOOL, "SasFleet_SetEvacuated", PTR, INT, BOOL)
rank = declare(lib, INT, "SasShim_Rank", PTR, ctypes.POINTER(INT),
               ctypes.c_double, U64, U64, ctypes.POINTER(INT))

REGIONS = 3
ZONES = [(b"z%d" % i, i // 2) for i in range(2 * REGIONS)]
ANY = 0
MAX_CANDIDATES = 4

servers = st.lists(st.tuples(st.integers(0, len(ZONES) - 1), st.booleans()),
                   max_size=12)
queries = st.fixed_dictionaries({
    "zone": st.integers(0, len(ZONES) - 1), "near": st.booleans(),
    "ordered": st.booleans(), "to_region": st.integers(0, REGIONS - 1),
    "keep": st.sampled_from([0.0, 0.3, 1.0]), "key": st.integers(0, 2**64 - 1),
    "homes": st.integers(0, 2**REGIONS - 1)})


class TestOwner(unittest.TestCase):
    @settings(PROFILE, max_examples=1000)
    @given(servers, st.lists(st.booleans(), min_size=len(ZONES),
                             max_size=len(ZONES)), queries)
    def test_ranked_servers_are_open_and_in_allowed_regions(
            self, servers, evacuated, query):
        """Neither steering nor a lack of servers leads to other regions."""
        fleet = new()
        for name, region in ZONES:
            add_zone(fleet, name, b"r%d" % region)
        service = add_service(fleet, b"desk")
        open_slots = {}  # slot: zone
        for i, (zone, draining) in enumerate(servers):
            slot = put(fleet, b"s%d" % i, b"desk", ZONES[zone][0], 80 + i, 1,
                       draining)
            if not draining:
                open_slots[slot] = zone
        for zone, away in enumerate(evacuated):
            evacuate(fleet, zone, away)
        numbers = (INT * 5)(service, query["zone"], query["near"],
                            query["ordered"], query["to_region"])
        slots = (INT * MAX_CANDIDATES)()
        count = rank(fleet, numbers, query["keep"], query["key"],
                     query["homes"], slots)
        allowed = {slot for slot, zone in open_slots.items()
                   if not evacuated[zone] and
                   (query["homes"] == ANY or
                    query["homes"] >> ZONES[zone][1] & 1)}
        found = slots[:count]
        assert len(set(found)) == count
        assert set(found) <= allowed
        assert (count > 0) == (len(allowed) > 0)
        free(fleet)


if __name__ == "__main__":
    unittest.main()
