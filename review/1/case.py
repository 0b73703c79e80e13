"""An unsafe request runs twice after a server's late second answer.

Servers refuse a part of their requests (srv_grey, how shed), and now and then
send an answer twice (garble, how extra late). The second copy of a refusal
arrives when the same request waits on the same connection for its second
attempt.
"""

import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))

from fleet import Clients, Fleet, SEAL, route, trouble  # noqa: E402

LENGTH_S = 90
ROUND_S = 9.0
# No more than the largest doses of the site file: refusals of 0.55 for 8.5 s,
# second answers of 0.03 at 0.6 of the servers for 5 s. With fewer refusals
# than that, the budget of retries lasts longer.
REFUSING_S = 8.5
REFUSED_SHARE = 0.25
GARBLE_S = 5.0
GARBLING_SERVERS = 0.6
GARBLED_SHARE = 0.03

PROMISES = (408, 421, 429, 503)


def disturb(workers):
    chance = random.Random(2)
    garbling = workers[:int(len(workers) * GARBLING_SERVERS)]
    began = time.monotonic()

    def within(seconds):
        return (time.monotonic() - began) % ROUND_S < seconds

    for worker in workers:
        worker.refuse = lambda request: within(REFUSING_S) and \
            chance.random() < REFUSED_SHARE
    for worker in garbling:
        worker.extra = lambda request: within(GARBLE_S) and \
            chance.random() < GARBLED_SHARE


def judge(fleet, clients):
    """Returns how often TWICE was broken; also records breaks of REFUSED."""
    twice = 0
    refused = 0
    for request_id, count in fleet.count_runs().items():
        if count > 1:
            fleet.record.say("TWICE: %s ran %d times", request_id, count)
            twice += 1
        answer = clients.answers.get(request_id)
        if answer is not None and answer.status in PROMISES:
            fleet.record.say("REFUSED: %s was answered %d and has run",
                             request_id, answer.status)
            refused += 1
    good = [a for a in clients.answers.values()
            if a is not None and a.status == 200 and SEAL.lower() in
            a.headers]
    fleet.record.say("%d requests sent, %d answered with success; %d ran "
                     "twice, %d were refused and ran", len(clients.sent),
                     len(good), twice, refused)
    if not good:
        raise RuntimeError("no request was served")
    return twice


def main():
    fleet = Fleet(HERE, ["lhr-a", "khi-a", "pew-a"],
                  [route("filing-submit", "/filings/", "unsafe",
                         "filing-desk")])
    try:
        workers = [fleet.add_worker("i-%04d" % i, "filing-desk", zone)
                   for i, zone in enumerate(("lhr-a", "khi-a", "pew-a") * 3)]
        fleet.start()
        time.sleep(2)
        if trouble():
            disturb(workers)
        clients = Clients(fleet, 80,
                          lambda: ("POST", "/filings/1", b"x" * 300))
        clients.run(LENGTH_S)
        return 1 if judge(fleet, clients) > 0 else 0
    finally:
        fleet.stop()


if __name__ == "__main__":
    try:
        code = main()
    except (RuntimeError, OSError) as error:
        print("the case can't run: %s" % error)
        code = 2
    os._exit(code)
