#!/bin/sh
# The stand-ins are Python programs, the project's own (tests/standins) and
# those in review/lib: nothing is compiled. Checks that they can be run.
cd "$(dirname "$0")/.." || exit 1
export PYTHONPYCACHEPREFIX="${TMPDIR:-/tmp}/sassafrassill-review-pycache"
exec /usr/bin/python3 -m py_compile tests/standins/rows.py review/lib/*.py review/[0-9]/*.py
