"""The units that all members may use, and do use, stay within the limit.

Several members with their own clocks (within 1%); messages that are lost,
duplicated, delayed and reordered; members that are paused (not called), crash
and restart; and new floors that reach the members one by one.
"""
import unittest

from hypothesis import settings, strategies as st
from hypothesis.stateful import (RuleBasedStateMachine, initialize, invariant,
                                 precondition, rule)

from core_library import BOOL, I64, INT, PROFILE, PTR, U32, U64, declare, load

lib = load()
new = declare(lib, PTR, "SasShim_NewBudget", INT, INT, INT, U32, I64, I64,
              PTR, I64, I64)
free = declare(lib, None, "SasShim_Free", PTR)
peek_usable = declare(lib, I64, "SasShim_PeekAllowance", PTR, I64)
peek_announced = declare(lib, I64, "SasShim_PeekAnnounced", PTR, I64)
peek_next_end = declare(lib, I64, "SasShim_PeekNextEnd", PTR, I64)
find_renewal = declare(lib, U64, "SasShim_FindRenewal", PTR, I64)
loan_lender = declare(lib, INT, "SasShim_GetLoanMember", PTR, U64)
loan_granted = declare(lib, I64, "SasShim_GetLoanGranted", PTR, U64)
set_floors = declare(lib, None, "SasBudget_SetFloors", PTR, PTR, I64, I64)
announced = declare(lib, I64, "SasBudget_GetAnnounced", PTR, I64)
take = declare(lib, INT, "SasBudget_Acquire", PTR, I64, I64, I64)
give = declare(lib, None, "SasBudget_Release", PTR, INT, I64, I64)
take_rate = declare(lib, BOOL, "SasBudget_AcquireRate", PTR, I64, I64)
ask = declare(lib, U64, "SasBudget_Ask", PTR, INT, I64)
lend = declare(lib, I64, "SasBudget_Lend", PTR, INT, U64, I64, I64)
borrowed = declare(lib, BOOL, "SasBudget_Borrowed", PTR, INT, U64, I64, I64)
renew = declare(lib, U32, "SasBudget_Renew", PTR, U64, I64)
extend = declare(lib, BOOL, "SasBudget_Extend", PTR, INT, U64, I64, I64)
renewed = declare(lib, None, "SasBudget_Renewed", PTR, U64, U32, BOOL, I64)
give_back = declare(lib, I64, "SasBudget_Return", PTR, U64, I64)
take_back = declare(lib, None, "SasBudget_AcceptReturn", PTR, INT, U64, I64, I64)
unused = declare(lib, I64, "SasBudget_GetUnused", PTR, I64)
hint = declare(lib, None, "SasBudget_Hint", PTR, INT, I64, I64, I64)
disown = declare(lib, BOOL, "SasBudget_Disown", PTR, INT, I64)
disowned = declare(lib, None, "SasBudget_Disowned", PTR, INT, U32, I64)

MEMBERS = 3
LOAN_MS = 200000  # 1% of it, the clock difference, exceeds the margin
QUANTUM = 100
member_ids = st.integers(0, MEMBERS - 1)
pairs = st.permutations(range(MEMBERS)).map(lambda order: order[:2])
delays = st.sampled_from([0, 0, 0, 1000, 70000, LOAN_MS - 1])
# A floor that moves as a whole between members is the hardest case.
floors = st.one_of(
    st.permutations([10] + [0] * (MEMBERS - 1)),
    st.lists(st.integers(0, 20), min_size=MEMBERS, max_size=MEMBERS))
picks = st.integers(0, 1000)


class Member:
    def __init__(self, rate, offset):
        self.rate, self.offset = rate, offset
        self.budget, self.incarnation = None, 0
        self.epoch, self.announced = 0, {0}
        self.loans = []


class Budgets(RuleBasedStateMachine):
    kind = 0
    scale = 1

    @initialize(versions=st.lists(floors, min_size=4, max_size=4),
        rates=st.lists(st.sampled_from([990, 1000, 1010]), min_size=MEMBERS,
                       max_size=MEMBERS))
    def begin(self, versions, rates):
        self.now = 0
        self.versions = [[f * self.scale for f in v] for v in versions]
        self.limits = [sum(v) for v in self.versions]
        self.members = [Member(r, 1000 * i) for i, r in enumerate(rates)]
        self.messages, self.running = [], []
        for i in range(MEMBERS):
            self.start(i, 0)
            for j in range(MEMBERS):
                disowned(self.members[i].budget, j, 1, self.clock(i))
        self.burst = max(self.limits) // 10 + MEMBERS * QUANTUM
        self.tokens, self.tokens_at = self.burst, 0

    def teardown(self):
        for member in getattr(self, "members", []):
            free(member.budget)

    def clock(self, i):
        return self.members[i].offset + self.now * self.members[i].rate // 1000

    def floors(self, epoch):
        return (I64 * MEMBERS)(*self.versions[epoch])

    def start(self, i, epoch):
        member = self.members[i]
        member.incarnation += 1
        member.loans = []
        member.budget = new(self.kind, MEMBERS, i, member.incarnation, LOAN_MS,
                          QUANTUM, self.floors(0), 0, self.clock(i))
        for e in range(1, epoch + 1):
            set_floors(member.budget, self.floors(e), e, self.clock(i))
        member.epoch = epoch

    def move(self, ms):
        allowed = self.allowed()
        self.now += ms
        self.tokens = min(self.burst, self.tokens + allowed * ms / 1000)

    def allowed(self):
        """The limit: the largest of the versions from the last one that all
        members have announced to the newest one that a member has."""
        for i, member in enumerate(self.members):
            member.announced.add(peek_announced(member.budget, self.clock(i)))
        low = max(set.intersection(
            *(member.announced for member in self.members)) | {0})
        high = max(member.epoch for member in self.members)
        return max(self.limits[low:high + 1])

    def send(self, *message):
        self.messages = (self.messages + [message])[-30:]

    # Time.

    @rule(ms=st.sampled_from([1, 50, 1000, 70000, LOAN_MS]))
    def wait(self, ms):
        self.move(ms)

    @rule()
    def wait_for_next_end(self):
        ends = []
        for i, member in enumerate(self.members):
            end = peek_next_end(member.budget, self.clock(i))
            if end >= 0:
                ends.append(-((member.offset - end) * 1000 // member.rate))
        later = [e for e in ends if e > self.now]
        if later:
            self.move(min(later) - self.now)

    # Loans: whole exchanges with delays, and single messages.

    @rule(pair=pairs, wanted=st.integers(1, 30), first=delays, second=delays)
    def borrow(self, pair, wanted, first, second):
        if self.send_request(pair, wanted):
            self.deliver_newest(first)
            self.deliver_newest(second)

    @rule(pair=pairs, wanted=st.integers(1, 30))
    def request(self, pair, wanted):
        self.send_request(pair, wanted)

    def send_request(self, pair, wanted):
        i, j = pair
        member = self.members[i]
        loan = ask(member.budget, j, self.clock(i))
        if loan:
            member.loans.append(loan)
            self.send("lend", i, j, loan, wanted * self.scale)
        return loan

    def deliver_newest(self, delay):
        """Delivers the newest message after a delay and keeps a copy."""
        self.move(delay)
        self.deliver(len(self.messages) - 1, True)

    @rule(i=member_ids, pick=picks, first=delays, second=delays,
          again=st.booleans())
    def renew_whole(self, i, pick, first, second, again):
        if not self.send_renewal(i, pick):
            return
        self.deliver_newest(first)
        answer = self.messages[-1]
        self.move(second)
        if again:
            self.send_renewal(i, pick)
        self.messages.append(answer)
        self.deliver_newest(0)

    @rule(kind=st.sampled_from(["lend", "lent", "extend", "extended",
                                "return", "hint", "disown", "disowned"]))
    def deliver_all(self, kind):
        for message in list(self.messages):
            if message[0] == kind:
                self.handle(message)

    @precondition(lambda self: self.messages)
    @rule(pick=picks, keep=st.booleans())
    def deliver(self, pick, keep):
        at = pick % len(self.messages)
        message = self.messages[at]
        if not keep:
            del self.messages[at]
        self.handle(message)

    def handle(self, message):
        kind, i, j = message[:3]
        budget, now = self.members[j].budget, self.clock(j)
        if kind == "lend":
            granted = lend(budget, i, message[3], message[4], now)
            self.send("lent", j, i, message[3], granted)
        elif kind == "lent":
            borrowed(budget, i, message[3], message[4], now)
        elif kind == "extend":
            ok = extend(budget, i, message[3], message[5], now)
            self.send("extended", j, i, message[3], message[4], ok)
        elif kind == "extended":
            renewed(budget, message[3], message[4], message[5], now)
        elif kind == "return":
            take_back(budget, i, message[3], message[4], now)
        elif kind == "hint":
            hint(budget, i, message[3], message[4], now)
        elif kind == "disown":
            ok = disown(budget, i, now)
            if ok:
                self.send("disowned", j, i, message[3])
        elif kind == "disowned":
            disowned(budget, i, message[3], now)

    @rule(i=member_ids, pick=picks)
    def renewal(self, i, pick):
        self.send_renewal(i, pick)

    def send_renewal(self, i, pick):
        member = self.members[i]
        if not member.loans:
            return 0
        loan = member.loans[pick % len(member.loans)]
        lender = loan_lender(member.budget, loan)
        number = renew(member.budget, loan, self.clock(i))
        if number:
            self.send("extend", i, lender, loan, number,
                      loan_granted(member.budget, loan))
        return number

    @rule(i=member_ids, pick=picks)
    def hand_back(self, i, pick):
        member = self.members[i]
        if not member.loans:
            return
        loan = member.loans[pick % len(member.loans)]
        lender = loan_lender(member.budget, loan)
        left = give_back(member.budget, loan, self.clock(i))
        if lender >= 0:
            self.send("return", i, lender, loan, left)

    # Use.

    @rule(i=member_ids, units=st.integers(1, 20),
          lasts=st.sampled_from([10, 30000, LOAN_MS - 10, LOAN_MS * 3]))
    def use(self, i, units, lasts):
        member = self.members[i]
        if self.kind == 1:
            if take_rate(member.budget, units * 100, self.clock(i)):
                self.tokens -= units * 100
                assert self.tokens >= 0, "more than cap * window + burst"
            return
        source = take(member.budget, units, lasts, self.clock(i))
        if source >= 0:
            end = self.now + lasts * 1000 / member.rate
            self.running.append((i, source, units, end))

    @precondition(lambda self: self.running)
    @rule(pick=picks)
    def finish(self, pick):
        i, source, units, _ = self.running.pop(pick % len(self.running))
        give(self.members[i].budget, source, units, self.clock(i))

    # New floors, crashes.

    @rule(i=member_ids, steps=st.sampled_from([1, 1, 1, 2]),
          gossips=st.booleans())
    def adopt(self, i, steps, gossips):
        member = self.members[i]
        member.epoch = min(member.epoch + steps, len(self.versions) - 1)
        set_floors(member.budget, self.floors(member.epoch), member.epoch,
                   self.clock(i))
        for j in range(MEMBERS):
            if gossips and i != j:
                self.gossip((i, j))

    @rule(pair=pairs)
    def gossip(self, pair):
        i, j = pair
        budget, now = self.members[i].budget, self.clock(i)
        self.send("hint", i, j, unused(budget, now), announced(budget, now))
        self.deliver_newest(0)

    @rule(i=member_ids, newer=st.integers(0, 3))
    def crash(self, i, newer):
        self.allowed()
        member = self.members[i]
        free(member.budget)
        self.running = [r for r in self.running if r[0] != i]
        highest = max(s.epoch for s in self.members)
        self.start(i, max(*member.announced, min(newer, highest)))
        for j in range(MEMBERS):
            if j != i:
                self.send("disown", i, j, member.incarnation)
        disowned(member.budget, i, member.incarnation, self.clock(i))

    @invariant()
    def sum_is_within_limit(self):
        if not hasattr(self, "members"):
            return
        limit = self.allowed()
        total = 0
        for i, member in enumerate(self.members):
            used = sum(units for s, _, units, end in self.running
                       if s == i and end > self.now)
            total += max(used, peek_usable(member.budget, self.clock(i)))
        assert total <= limit, f"{total} of {limit} in use"


class RateBudgets(Budgets):
    kind = 1
    scale = 100

    @rule()
    def rush(self):
        """All members acquire what they can for 40 s."""
        for _ in range(800):
            self.now += 50
            self.tokens = min(self.burst, self.tokens + self.allowed() / 20)
            for i, member in enumerate(self.members):
                while take_rate(member.budget, QUANTUM, self.clock(i)):
                    self.tokens -= QUANTUM
            assert self.tokens >= 0, "more than cap * window + burst"


def trace(machine, versions, rates, *steps):
    """Runs one interleaving and lets its loans end; checks after each step."""
    run = machine()
    run.begin(versions=(versions + versions[-1:] * 4)[:4], rates=rates)
    try:
        for name, arguments in steps + (("wait_for_next_end", {}),) * 6:
            getattr(run, name)(**arguments)
            run.sum_is_within_limit()
    finally:
        run.teardown()


def borrow(i, j, wanted):
    return "borrow", dict(pair=(i, j), wanted=wanted, first=0, second=0)


def adopt(i, steps=1, gossips=False):
    return "adopt", dict(i=i, steps=steps, gossips=gossips)


def crash(i, newer=0):
    return "crash", dict(i=i, newer=newer)


def renew_whole(first=0, second=0, again=False):
    return "renew_whole", dict(i=0, pick=0, first=first, second=second,
                               again=again)


def arrive(kind):
    return "deliver_all", dict(kind=kind)


class TestTraces(unittest.TestCase):
    """Interleavings that exceed the limit when one guard is removed and that
    random search seldom finds. Member 1 lends and member 0 borrows, unless
    the floors differ."""
    EVEN = [1000] * MEMBERS

    def run_trace(self, versions, *steps):
        trace(Budgets, versions, self.EVEN, *steps)

    def test_late_answer_to_renewal(self):
        self.run_trace([[0, 10, 0]], borrow(0, 1, 9),
                       renew_whole(second=70000))

    def test_answer_to_older_renewal(self):
        self.run_trace([[0, 10, 0]], borrow(0, 1, 9),
                       renew_whole(second=70000, again=True))

    def test_renewal_at_restarted_lender(self):
        self.run_trace([[0, 10, 0]], borrow(0, 1, 9), crash(1),
                       ("wait", dict(ms=70000)), renew_whole())

    def test_restarted_lender_lends_again(self):
        self.run_trace([[0, 10, 0]], borrow(0, 1, 9), crash(1),
                       borrow(2, 1, 9))

    def test_disowned_for_earlier_incarnation(self):
        self.run_trace([[0, 10, 0]], crash(1), arrive("disown"),
                       arrive("disowned"), borrow(0, 1, 9), crash(1),
                       arrive("disowned"))

    def test_late_grant_of_earlier_incarnation(self):
        self.run_trace([[0, 10, 0]],
                       ("request", dict(pair=(0, 1), wanted=9)),
                       arrive("lend"), crash(1), arrive("disown"),
                       arrive("disowned"), arrive("lent"))

    def test_return_while_some_is_in_use(self):
        self.run_trace([[0, 10, 0]], borrow(0, 1, 9),
                       ("use", dict(i=0, units=3, lasts=30000)),
                       ("hand_back", dict(i=0, pick=0)), arrive("return"))

    def test_request_outlasts_loan(self):
        self.run_trace([[0, 10, 0]], borrow(0, 1, 9),
                       ("use", dict(i=0, units=9, lasts=LOAN_MS * 3)))

    def test_epoch_is_skipped(self):
        self.run_trace([[0, 0, 10], [0, 10, 0], [10, 0, 0]],
                       adopt(2, gossips=True), adopt(1), adopt(0, 2),
                       adopt(2, gossips=True))

    def test_peer_is_epochs_ahead(self):
        self.run_trace([[0, 10, 0], [10, 0, 0], [0, 10, 0]], adopt(0),
                       adopt(1, 2, gossips=True))

    def test_floor_falls_while_in_use(self):
        self.run_trace([[10, 0, 0], [0, 10, 0]],
                       ("use", dict(i=0, units=10, lasts=30000)),
                       adopt(0, gossips=True), adopt(1))

    def test_floor_falls_while_lent(self):
        self.run_trace([[10, 0, 0], [0, 10, 0]], borrow(2, 0, 9),
                       adopt(0, gossips=True), adopt(1))

    def test_floor_falls_to_what_is_lent(self):
        self.run_trace([[20, 0, 0], [18, 2, 0]], borrow(2, 0, 18),
                       adopt(0, gossips=True), adopt(1), crash(0, 1))

    def test_restart_into_lower_floor(self):
        self.run_trace([[10, 0, 0], [0, 10, 0]], borrow(2, 0, 9), adopt(1),
                       crash(0, 1), ("gossip", dict(pair=(0, 1))))

    def test_fast_clocks(self):
        trace(RateBudgets, [[20, 20, 20]], [1010] * MEMBERS, ("rush", {}),
              ("rush", {}))


SETTINGS = settings(PROFILE, max_examples=400, stateful_step_count=40)
TestBudgets = Budgets.TestCase
TestBudgets.settings = SETTINGS
TestRateBudgets = RateBudgets.TestCase
TestRateBudgets.settings = SETTINGS

if __name__ == "__main__":
    unittest.main()
