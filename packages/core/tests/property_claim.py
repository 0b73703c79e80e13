"""A request under one key runs at most once, and each answer is true.

Attempts of one key at several entry VMs, against a store whose writes are
refused, lost, applied with their confirmation lost, or applied much later, and
whose reads fail or are stale. An attempt crashes by never being called again
and is paused by being called late.
"""
import base64
import json
import unittest

from hypothesis import settings, strategies as st
from hypothesis.stateful import (RuleBasedStateMachine, precondition,
                                 rule)

from core_library import INT, PROFILE, PTR, TEXT, declare, load
import ctypes

lib = load()
new = declare(lib, PTR, "SasShim_NewClaim", TEXT, TEXT, TEXT, TEXT)
free = declare(lib, None, "SasShim_FreeClaim", PTR)
handle = declare(lib, INT, "SasShim_HandleClaim", PTR, INT, TEXT, TEXT)
get_etag = declare(lib, TEXT, "SasShim_GetClaimEtag", PTR)
encode = declare(lib, PTR, "SasShim_EncodeClaim", PTR)
free_text = declare(lib, None, "SasShim_Free", PTR)
set_answer = declare(lib, None, "SasClaim_SetAnswer", PTR, INT, TEXT, TEXT,
                     ctypes.c_size_t)

(START, INSERT_OK, INSERT_REFUSED, INSERT_LOST, INSERT_FAILED, ROW_FOUND,
 ROW_ABSENT, READ_FAILED, FIRST_BYTE, NOT_SENT, SHED, ANSWER_WHOLE,
 ANSWER_LOST, CALLER_GONE, OBJECT_OK, OBJECT_FAILED, DONE_OK, DONE_REFUSED,
 DONE_LOST, RELEASE_OK, RELEASE_REFUSED, RELEASE_LOST) = range(22)
(WAIT, INSERT, READ, SEND, WRITE_OBJECT, WRITE_DONE, RELEASE,
 FINISH) = range(8)
(NO_ANSWER, NOT_RUN, UNKNOWN, RAN, PASS, REPLAY, OTHER_BODY,
 COLLISION) = range(8)
REPLIES = {INSERT: (INSERT_OK, INSERT_REFUSED, INSERT_LOST),
           WRITE_DONE: (DONE_OK, DONE_REFUSED, DONE_LOST),
           RELEASE: (RELEASE_OK, RELEASE_REFUSED, RELEASE_LOST)}
DIGESTS = [b"0" * 32, b"1" * 32]
picks = st.integers(0, 100)


class Attempt:
    def __init__(self, number, digest):
        self.number, self.digest = number, digest
        self.claim = new(b"caller", b"key", DIGESTS[digest],
                         b"t%d" % number)
        self.action, self.answer, self.ran = None, NO_ANSWER, False
        self.sent = self.done_lost = False


class Claims(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.attempts, self.delayed = [], []
        self.row, self.etag, self.versions = None, 0, [(None, 0)]
        self.executions, self.first_answer = 0, None
        self.stored = False

    def teardown(self):
        for attempt in self.attempts:
            free(attempt.claim)

    def feed(self, a, event, row=None, etag=None):
        a.done_lost = a.done_lost or event == DONE_LOST
        result = handle(a.claim, event, row, etag)
        assert result >= 0
        action, answer = divmod(result, 100)
        if action != WAIT:
            a.action = action
        if answer != NO_ANSWER:
            assert a.answer == NO_ANSWER, "answered twice"
            a.answer = answer
            self.check_answer(a, row)

    def check_answer(self, a, row):
        if a.answer in (NOT_RUN, OTHER_BODY, COLLISION):
            assert not a.ran, "ran, but answered that it did not"
        if a.answer in (PASS, RAN):
            assert a.ran or self.executions == 1
        if a.answer == PASS:
            assert self.stored or a.done_lost, "answered before it was stored"
        if a.answer == REPLAY:
            body = base64.b64decode(json.loads(row)["body"])
            assert body == self.first_answer, "not the first answer"
        if a.answer == OTHER_BODY:
            assert json.loads(row)["digest"].encode() != DIGESTS[a.digest]
        if self.stored and a.action != RELEASE and a.answer == UNKNOWN:
            assert row is None or json.loads(row)["state"] == "held"

    def write(self, expected, text):
        if expected != (b"" if self.row is None else b"%d" % self.etag):
            return False
        self.row, self.etag = text, self.etag + 1
        self.versions.append((text, self.etag))
        self.stored = self.stored or json.loads(text)["state"] == "done"
        return True

    def acting(self, *actions):
        return [a for a in self.attempts if a.action in actions]

    @precondition(lambda self: len(self.attempts) < 6)
    @rule(digest=st.sampled_from([0, 0, 0, 1]))
    def begin(self, digest):
        a = Attempt(len(self.attempts), digest)
        self.attempts.append(a)
        self.feed(a, START)

    @precondition(lambda self: self.acting(INSERT, WRITE_DONE, RELEASE))
    @rule(pick=picks, how=st.sampled_from(
        ["ok", "ok", "ack-lost", "lost", "late", "down"]))
    def store_writes(self, pick, how):
        acting = self.acting(INSERT, WRITE_DONE, RELEASE)
        self.do_write(acting[pick % len(acting)], how)

    def do_write(self, a, how):
        ok, refused, lost = REPLIES[a.action]
        text_at = encode(a.claim)
        text = ctypes.string_at(text_at)
        free_text(text_at)
        expected = get_etag(a.claim)
        if how == "down":
            self.feed(a, INSERT_FAILED if a.action == INSERT else lost)
        elif how == "ok":
            done = self.write(expected, text)
            self.feed(a, ok if done else refused, None, b"%d" % self.etag)
        else:
            if how == "ack-lost":
                self.write(expected, text)
            elif how == "late":
                self.delayed.append((expected, text))
            self.feed(a, lost)

    @precondition(lambda self: self.delayed)
    @rule(pick=picks)
    def late_write_arrives(self, pick):
        self.write(*self.delayed.pop(pick % len(self.delayed)))

    @precondition(lambda self: self.acting(READ))
    @rule(pick=picks, how=st.sampled_from(["ok", "ok", "stale", "down"]))
    def store_reads(self, pick, how):
        acting = self.acting(READ)
        self.do_read(acting[pick % len(acting)], how, pick)

    @precondition(lambda self: self.acting(INSERT, READ, WRITE_DONE, RELEASE))
    @rule(pick=picks)
    def store_recovers(self, pick):
        """An attempt continues until it doesn't wait for the store."""
        acting = self.acting(INSERT, READ, WRITE_DONE, RELEASE)
        a = acting[pick % len(acting)]
        for _ in range(10):
            if a.action == READ:
                self.do_read(a, "ok", 0)
            elif a.action in REPLIES:
                self.do_write(a, "ok")

    def do_read(self, a, how, pick):
        row, etag = self.row, self.etag
        if how == "stale":
            row, etag = self.versions[pick % len(self.versions)]
        if how == "down":
            self.feed(a, READ_FAILED)
        elif row is None:
            self.feed(a, ROW_ABSENT)
        else:
            self.feed(a, ROW_FOUND, row, b"%d" % etag)

    @precondition(lambda self: self.acting(SEND))
    @rule(pick=picks, how=st.sampled_from(
        ["answer", "answer", "answer-lost", "shed", "not-sent", "pending"]),
        runs=st.booleans())
    def backend_server(self, pick, how, runs):
        acting = self.acting(SEND)
        a = acting[pick % len(acting)]
        if how == "not-sent" and not a.sent:
            self.feed(a, NOT_SENT)
            return
        if not a.sent:
            self.feed(a, FIRST_BYTE)
            a.sent = True
        if how == "shed" and not a.ran:
            a.sent = False
            self.feed(a, SHED)
            return
        if (runs or how == "answer") and not a.ran:
            a.ran = True
            self.executions += 1
            assert self.executions <= 1, "ran twice"
            assert a.answer not in (NOT_RUN, OTHER_BODY, COLLISION)
        if how == "answer":
            body = b"answer of %d" % a.number
            self.first_answer = body
            set_answer(a.claim, 200, b"", body, len(body))
            self.feed(a, ANSWER_WHOLE)
        elif how == "answer-lost":
            self.feed(a, ANSWER_LOST)

    @precondition(lambda self: self.attempts)
    @rule(pick=picks)
    def caller_leaves(self, pick):
        a = self.attempts[pick % len(self.attempts)]
        if a.answer == NO_ANSWER:
            self.feed(a, CALLER_GONE)

    @precondition(lambda self: self.attempts)
    @rule(pick=picks, event=st.sampled_from(
        [INSERT_OK, INSERT_OK, FIRST_BYTE, DONE_OK, RELEASE_OK, SHED]))
    def stray_event(self, pick, event):
        """A late event restarts no attempt that released or finished."""
        a = self.attempts[pick % len(self.attempts)]
        if a.action == FINISH or (a.action in (RELEASE, READ)
                                  and event == INSERT_OK):
            self.feed(a, event, None, b"9")
            assert a.action in (FINISH, RELEASE, READ)

    @rule()
    def resend_after_success(self):
        """Without faults, a resend gets the first answer."""
        if not self.stored:
            return
        a = Attempt(len(self.attempts), 0)
        self.attempts.append(a)
        self.feed(a, START)
        self.feed(a, INSERT_REFUSED)
        self.feed(a, ROW_FOUND, self.row, b"%d" % self.etag)
        same = json.loads(self.row)["digest"].encode() == DIGESTS[0]
        assert a.answer == (REPLAY if same else OTHER_BODY)


TestClaims = Claims.TestCase
TestClaims.settings = settings(PROFILE, max_examples=1500,
                               stateful_step_count=40)

if __name__ == "__main__":
    unittest.main()
