#!/usr/bin/python3
"""An entry VM reads freed memory while it stops; shown under sanitizers only.

An operator's call waits for the store, which doesn't answer, when the entry VM
gets SIGTERM. Its watches of the store are freed, and then the loop runs on
for the call; the sweep timer asks a freed watch whether it is listed. With a
build for users nothing is seen of it, so this is no case of the review.

    make build BUILD=build-asan SANITIZE=address,undefined
    SAS_BUILD=$PWD/build-asan /usr/bin/python3 \\
        review/sanitizer/pending_call_at_stop.py

Exits with 1 if the process ended with an error.
"""

import http.client
import os
import sys
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "e2e"))

from entry_harness import Fleet, exchange, signal  # noqa: E402

TOKEN = "a-token-of-operators"
SHEET = (b"time,service,from,to,share,cap,drain,limits\n"
         b"+0,desk,east,west,10%,,,\n")
CALL_INTERVAL_S = 0.45
CALLS = 10
END_LIMIT_S = 20


def put_sheet(vm):
    try:
        exchange(vm.address("control"), "PUT", "/v1/sheet", SHEET,
                 {"Authorization": "Bearer " + TOKEN}, timeout=12)
    except (OSError, http.client.HTTPException):
        pass  # the entry VM ends before the store answers


def main():
    with Fleet(vms=("a", "b")) as fleet:
        fleet.add_worker("d1")
        for vm in fleet.vms:
            vm.environment["SASSAFRASSILL_OPERATOR_TOKEN"] = TOKEN
        fleet.start()
        vm = fleet.vms[0]
        fleet.store.mode = "silent"
        threading.Thread(target=put_sheet, args=(vm,), daemon=True).start()
        time.sleep(0.3)
        vm.signal(signal.SIGTERM)
        for _ in range(CALLS):
            time.sleep(CALL_INTERVAL_S)
            threading.Thread(target=put_sheet, args=(vm,),
                             daemon=True).start()
            if vm.process.poll() is not None:
                break
        code = vm.process.wait(END_LIMIT_S)
        with open(vm.log_path, errors="replace") as log:
            found = [line.strip() for line in log if "SUMMARY" in line]
        print("ended with %d" % code, *found)
        return 1 if code != 0 else 0


if __name__ == "__main__":
    sys.exit(main())
