"""Loads the core's shared library for the property tests of config, plan and
lookup, and declares its functions."""

import ctypes
import os
import subprocess
import sys

from hypothesis import settings

SETTINGS = settings(derandomize=True, deadline=None, database=None,
                    max_examples=300)


def restart_under_sanitizer():
    """Restarts Python with ASan's run-time preloaded, which a library built
    with ASan needs."""
    if "address" not in os.environ.get("SAS_SANITIZE", ""):
        return
    if "LD_PRELOAD" in os.environ:
        return
    name = subprocess.run(["cc", "-print-file-name=libasan.so"], check=True,
                          capture_output=True, text=True).stdout.strip()
    environment = dict(os.environ, LD_PRELOAD=os.path.realpath(name),
                       ASAN_OPTIONS="detect_leaks=0")
    os.execve(sys.executable, [sys.executable] + sys.argv, environment)


restart_under_sanitizer()
core = ctypes.CDLL(os.environ["SAS_LIB"])

c_i64 = ctypes.c_int64
c_u64 = ctypes.c_uint64
c_int = ctypes.c_int
c_double = ctypes.c_double
c_void = ctypes.c_void_p
c_char = ctypes.c_char_p
c_size = ctypes.c_size_t


class SheetError(ctypes.Structure):
    _fields_ = [("row", c_int), ("column", ctypes.c_char * 16),
                ("reason", ctypes.c_char * 192)]


class Target(ctypes.Structure):
    _fields_ = [("id", c_u64), ("weight", c_double)]


def declare(name, result, *arguments):
    function = getattr(core, name)
    function.restype = result
    function.argtypes = arguments
    return function


make_config = declare("SasShim_MakeConfig", c_void, c_i64, c_char, c_i64,
                      ctypes.POINTER(SheetError))
unref_config = declare("SasConfig_Unref", None, c_void)
get_row_count = declare("SasShim_GetRowCount", c_int, c_void)
get_row = declare("SasShim_GetRow", None, c_void, c_int,
                  ctypes.POINTER(c_i64), ctypes.POINTER(c_int),
                  ctypes.POINTER(c_double))
encode = declare("SasShim_Encode", c_void, c_void)
decode = declare("SasShim_Decode", c_void, c_char, c_size)
encode_delta = declare("SasShim_EncodeDelta", c_void, c_void, c_void)
apply_delta = declare("SasShim_ApplyDelta", c_void, c_void, c_char, c_size)
may_replace = declare("SasConfig_MayReplace", ctypes.c_bool, c_i64, c_i64)
make_plan = declare("SasShim_MakePlan", c_void)
free_plan = declare("SasShim_FreePlan", None, c_void)
build_plan = declare("SasShim_BuildPlan", c_int, c_void, c_i64, c_char, c_i64)
advance = declare("SasShim_Advance", None, c_void, c_i64, c_i64,
                  ctypes.POINTER(c_double), ctypes.POINTER(c_double),
                  ctypes.POINTER(ctypes.c_uint8))
get_shift = declare("SasShim_GetShift", c_int, c_void, c_int, c_int, c_int,
                    ctypes.POINTER(c_double), ctypes.POINTER(c_double))
get_weights = declare("SasPlan_GetWeights", None, c_void, c_int, c_int,
                      ctypes.POINTER(c_double))
is_draining = declare("SasPlan_IsDraining", ctypes.c_bool, c_void, c_int,
                      c_int)
seed_plan = declare("SasPlan_Seed", ctypes.c_bool, c_void, c_int, c_int,
                    c_int, c_double)
assign = declare("SasLookup_Assign", None, ctypes.POINTER(c_u64), c_int,
                 ctypes.POINTER(Target), c_int,
                 ctypes.POINTER(ctypes.c_uint16))
reassign = declare("SasLookup_Reassign", c_int, ctypes.POINTER(c_u64), c_int,
                   ctypes.POINTER(Target), ctypes.POINTER(Target), c_int,
                   ctypes.POINTER(ctypes.c_uint16))
free_text = declare("free", None, c_void)


def take_text(pointer):
    """Returns the bytes at the pointer and frees it."""
    text = ctypes.string_at(pointer)
    free_text(pointer)
    return text


NOW = 1764680000000
REGIONS = ["montreal", "quebec", "saguenay"]
SERVICES = ["dossiers", "galerie"]
