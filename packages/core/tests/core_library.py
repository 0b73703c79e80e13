"""Loads the core's shared library for the property tests."""
import ctypes
import os
import subprocess
import sys

from hypothesis import settings

I64, U64, U32 = ctypes.c_int64, ctypes.c_uint64, ctypes.c_uint32
INT, BOOL, PTR, TEXT = (ctypes.c_int, ctypes.c_bool, ctypes.c_void_p,
                        ctypes.c_char_p)

# Reproducible runs: examples depend only on the test's source; no deadline, no
# example database.
PROFILE = settings(derandomize=True, deadline=None, database=None)


def load():
    """Returns the library. With ASan, first restarts Python with ASan's
    run-time preloaded."""
    if "address" in os.environ.get("SAS_SANITIZE", "") \
            and "LD_PRELOAD" not in os.environ:
        asan = subprocess.check_output(
            ["gcc", "-print-file-name=libasan.so"], text=True).strip()
        os.environ["LD_PRELOAD"] = asan
        os.environ["ASAN_OPTIONS"] = "detect_leaks=0"
        os.execv(sys.executable, [sys.executable] + sys.argv)
    return ctypes.CDLL(os.environ["SAS_LIB"])


def declare(library, result, name, *arguments):
    """Returns the C function `name` with its types declared."""
    function = getattr(library, name)
    function.restype = result
    function.argtypes = arguments
    return function
