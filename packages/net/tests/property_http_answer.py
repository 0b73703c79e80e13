"""What is an answer, and where it ends, however its bytes are split.

Known answers, broken and sound, and sound heads with random bytes changed,
judged by a grammar of RFC 9110 and RFC 9112 that is written here as patterns.
"""
import os
import re
import sys
import unittest

from hypothesis import assume, given, settings, strategies as st

from core_library import I64, INT, PROFILE, PTR, TEXT, declare, load

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "../../../tests/standins"))
from answers import BODY, BROKEN, RESET, SOUND, fill  # noqa: E402

lib = load()
new = declare(lib, PTR, "SasShim_NewAnswer", INT)
free = declare(lib, None, "SasShim_FreeAnswer", PTR)
read = declare(lib, INT, "SasShim_ReadAnswer", PTR, TEXT, I64)
may_end = declare(lib, INT, "SasShim_MayAnswerEnd", PTR)
count_heads = declare(lib, INT, "SasShim_CountHeads", PTR)
get_status = declare(lib, INT, "SasShim_GetStatus", PTR)
get_framing = declare(lib, INT, "SasShim_GetFraming", PTR)
keeps_alive = declare(lib, INT, "SasShim_KeepsAlive", PTR)
get_length = declare(lib, I64, "SasShim_GetLength", PTR)
count_left = declare(lib, I64, "SasShim_CountLeft", PTR)
get_body = declare(lib, TEXT, "SasShim_GetAnswerBody", PTR)
get_fields = declare(lib, TEXT, "SasShim_GetFields", PTR)

MORE, INTERIM, HEAD, PIECE, END, BROKE = range(6)
NO_BODY, LENGTH, CHUNKED, CLOSE = range(4)

VALUE = rb"[\t\x20-\x7e\x80-\xff]*"
TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
FIELD = TOKEN + rb":" + VALUE + rb"\r?\n(?:[ \t]" + VALUE + rb"\r?\n)*"
GRAMMAR = re.compile(rb"HTTP/1\.([0-9]) ([1-5][0-9][0-9])(?: " + VALUE +
                     rb")?\r?\n((?:" + FIELD + rb")*)\r?\n")
LINE = re.compile(rb"(" + TOKEN + rb"):(" + VALUE + rb"(?:\r?\n[ \t]" + VALUE +
                  rb")*)\r?\n")

HEADS = [
    b"HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 23\r\n\r\n",
    b"HTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\nA:\r\n\r\n",
    b"HTTP/1.0 404 \r\nConnection: keep-alive, x\r\nContent-Length:3\r\n\r\n",
    b"HTTP/1.1 299\r\nA: b\r\n c\r\nConnection: close\r\n\r\n",
    b"HTTP/1.1 200 OK\nContent-Length: 5, 5\n\n",
]
# Those that mean something somewhere, and any others.
byte = st.one_of(st.sampled_from([bytes([c]) for c in
                                  b"\r\n \t:;,\0\x01\x7f\x80\xff/.0129HXaz"]),
                 st.integers(0, 255).map(lambda c: bytes([c])))
changes = st.lists(st.tuples(st.integers(0, 200),
                             st.sampled_from(["put", "insert", "cut"]), byte),
                   max_size=3)


class Reader:
    def __init__(self, pieces, to_head=False):
        self.rig = new(to_head)
        self.event = MORE
        for piece in pieces:
            self.event = read(self.rig, piece, len(piece))
            if self.event != MORE:
                break
        self.whole = self.event == END or \
            (self.event == MORE and bool(may_end(self.rig)))
        self.heads = count_heads(self.rig)
        self.status = get_status(self.rig)
        self.framing = get_framing(self.rig)
        self.keeps_alive = bool(keeps_alive(self.rig))
        self.length = get_length(self.rig)
        self.left = count_left(self.rig)
        self.body = get_body(self.rig)
        self.fields = get_fields(self.rig)
        free(self.rig)


def expect_framing(minor, status, fields):
    """The framing and the length of a body, or None if they are broken."""
    def get(name):
        return [value for key, value in fields if key.lower() == name]

    def split(values):
        return [part.strip(b" \t") for value in values
                for part in value.split(b",") if part.strip(b" \t")]
    coding, length = get(b"transfer-encoding"), get(b"content-length")
    if status in (204, 304):
        return NO_BODY, 0
    if coding and length:
        return None
    if coding:
        is_chunked = [c.lower() for c in split(coding)] == [b"chunked"]
        return (CHUNKED, 0) if minor > 0 and is_chunked else None
    if not length:
        return CLOSE, 0
    numbers = split(length)
    if not numbers or any(not re.fullmatch(rb"[0-9]+", n) for n in numbers) or\
            len({int(n) for n in numbers}) > 1 or int(numbers[0]) >= 2 ** 62:
        return None
    return LENGTH, int(numbers[0])


def render(text):
    return fill(text, "id-1", "X-Id", "X-Seal", "d1", [])[0]


class Answers(unittest.TestCase):
    def check_split(self, text, check):
        check(Reader([text]))
        check(Reader([bytes([c]) for c in text]))
        for i in range(1, min(len(text), 400)):
            check(Reader([text[:i], text[i:]]))

    def test_broken_answers_are_never_whole(self):
        for name, text in BROKEN.items():
            if RESET in text:
                continue  # that is for the connection to see
            with self.subTest(name):
                self.check_split(render(text), lambda reader:
                                 self.assertFalse(reader.whole))

    def test_sound_answers_are_whole(self):
        def check(reader):
            self.assertTrue(reader.whole)
            self.assertEqual(reader.body, BODY)
            self.assertEqual(reader.heads, 1)
            self.assertEqual(reader.left, 0)
        for name, text in SOUND.items():
            with self.subTest(name):
                self.check_split(render(text), check)

    def test_bytes_behind_an_answer_are_left(self):
        for name, text in SOUND.items():
            if Reader([render(text)]).event != END:
                continue  # all up to the connection's end is its body
            with self.subTest(name):
                reader = Reader([render(text) + b"HTTP/1.1 000"])
                self.assertEqual((reader.event, reader.left), (END, 12))

    def test_answers_without_a_body_end_with_their_head(self):
        for start, to_head in ((b"HTTP/1.1 200 OK", True),
                               (b"HTTP/1.1 204 No", False),
                               (b"HTTP/1.1 304 Not", False)):
            for line in (b"", b"Content-Length: 5\r\n",
                         b"Transfer-Encoding: chunked\r\n"):
                reader = Reader([start + b"\r\n" + line + b"\r\n"], to_head)
                self.assertEqual((reader.event, reader.body), (END, b""))
                self.assertTrue(reader.keeps_alive)

    def test_a_head_without_end_is_given_up(self):
        for start, unit in ((b"HTTP/1.1 200 OK\r\n", b"X: y\r\n"),
                            (b"HTTP/1.1 200 OK\r\nX: ", b"y" * 100),
                            (b"HTTP/1.1 200 ", b"y" * 100),
                            (render(SOUND["chunks"])[:-2], b"X: y\r\n"),
                            (HEADS[1] + b"5;", b"y" * 100)):
            reader = Reader([start] + [unit] * (100000 // len(unit)))
            self.assertEqual(reader.event, BROKE)

    @settings(PROFILE, max_examples=2000)
    @given(st.sampled_from(HEADS), changes, st.integers(0, 60))
    def test_heads_are_judged_by_the_grammar(self, text, changes, at):
        for position, how, what in changes:
            i = position % len(text)
            text = text[:i] + (b"" if how == "cut" else what) + \
                text[i + (how != "insert"):]
        match = GRAMMAR.match(text)
        reader = Reader([text[:at], text[at:]] if 0 < at < len(text)
                        else [text])
        if match is None:
            self.assertEqual(reader.heads, 0)
            self.assertFalse(reader.whole)
            return
        minor, status = int(match.group(1)), int(match.group(2))
        assume(status // 100 != 1)
        fields = [(name, b" ".join(part.strip(b" \t") for part in
                                   re.split(rb"\r?\n", value)))
                  for name, value in LINE.findall(match.group(3))]
        framing = expect_framing(minor, status, fields)
        if framing is None:
            self.assertEqual((reader.heads, reader.event), (0, BROKE))
            return
        self.assertEqual(reader.heads, 1)
        self.assertEqual(reader.status, status)
        self.assertEqual(reader.fields, b"".join(
            name + b":" + value + b"\n" for name, value in fields))
        self.assertEqual(reader.framing, framing[0])
        if match.end() == len(text):
            self.assertEqual(reader.length, framing[1])


if __name__ == "__main__":
    unittest.main()
