"""Shared by the scripts of this review: paths, a record of what was sent,
answered and run, and the exit status.

The entry VMs are the deploy file's program, target/bin/sassafrassilld, with
settings as the platform writes them (tests/e2e/entry_harness.py). The store
and the workers are the project's own stand-ins.
"""

import os
import signal
import sys
import threading
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
TARGET = os.path.join(ROOT, "target")
PROGRAM = os.path.join(TARGET, "bin", "sassafrassilld")

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

os.environ["SAS_BUILD"] = TARGET
sys.path.insert(0, os.path.join(ROOT, "tests", "e2e"))

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines with the time since the start, in record.txt of the case."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.began

    def write(self, text, *values):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (self.now(), text % values
                                             if values else text))
            self.file.flush()

    def close(self):
        self.file.close()


def main(folder, play):
    """Runs play(record), which returns True if the rule held, and exits."""
    # A script that is ended from outside ends what it has started, too.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit())
    record = Record(folder)
    record.write("TROUBLE=%d", TROUBLE)
    status = COULD_NOT_RUN
    try:
        if not os.path.exists(PROGRAM):
            record.write("there is no target/bin/sassafrassilld")
        else:
            status = HELD if play(record) else BROKEN
    except BaseException:
        record.write("could not run: %s", traceback.format_exc())
    record.write("exit %d: %s", status, {
        HELD: "the rule held", BROKEN: "the rule was broken",
        COULD_NOT_RUN: "the case could not run"}[status])
    record.close()
    sys.stdout.flush()
    os._exit(status)
