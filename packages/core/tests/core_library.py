"""Loads the core's shared library for the property tests."""
import ctypes
import os
import subprocess
import sys

from hypothesis import settings

I64, U64, U32 = ctypes.c_int64, ctypes.c_uint64, ctypes.c_uint32
INT, BOOL, PTR, TEXT = (ctypes.c_int, ctypes.c_bool, ctypes.c_void_p,
                        ctypes.c_char_p)

# The verdict repeats: no clock, no random seed, no example database.
PROFILE = settings(derandomize=True, deadline=None, database=None)


def load():
    """The library; with sanitizers, restarts Python with theirs loaded."""
    if "address" in os.environ.get("SAS_SANITIZE", "") \
            and "LD_PRELOAD" not in os.environ:
        asan = subprocess.check_output(
            ["gcc", "-print-file-name=libasan.so"], text=True).strip()
        os.environ["LD_PRELOAD"] = asan
        os.environ["ASAN_OPTIONS"] = "detect_leaks=0"
        os.execv(sys.executable, [sys.executable] + sys.argv)
    return ctypes.CDLL(os.environ["SAS_LIB"])


def declare(library, result, name, *arguments):
    """The C function NAME with its types."""
    function = getattr(library, name)
    function.restype = result
    function.argtypes = arguments
    return function
