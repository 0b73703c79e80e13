"""Answers as bytes: broken ones, which are none by RFC 9110 and RFC 9112, and
sound ones of every shape that they allow.

In each, @ID, @SEAL and @SAYS stand for the lines with the request's id and
the server's seal, and for all else that a server may say of itself in a head.
The connection is closed behind an answer, or reset with RESET at its end.
"""

RESET = b"@RESET"
BODY = b"the body of this answer"

_OK = b"HTTP/1.1 200 OK\r\n"
_OWN = b"@ID@SEAL@SAYS"
_LENGTH = b"Content-Length: %d\r\n" % len(BODY)
_CHUNKED = b"Transfer-Encoding: chunked\r\n"
_CHUNKS = b"8\r\n%s\r\n%x\r\n%s\r\n0\r\n" % (BODY[:8], len(BODY) - 8, BODY[8:])


def with_line(line):
    """A status line and framing that are sound, and a line beside them."""
    return _OK + _OWN + line + b"\r\n" + _LENGTH + b"\r\n" + BODY


def with_start(start):
    return start + b"\r\n" + _OWN + _LENGTH + b"\r\n" + BODY


def with_framing(lines, body=BODY, start=_OK):
    return start + _OWN + lines + b"\r\n" + body


def with_chunks(text):
    return with_framing(_CHUNKED, text)


STATUSES = {
    "status %s" % text: with_start(b"HTTP/1.1 %s Answer" % text.encode())
    for text in ("000", "001", "020", "099", "600", "700", "999", "20",
                 "2000", "2x0", "x", "-20", "+20", "", "2 0")
}

START_LINES = {
    "version 0.9": with_start(b"HTTP/0.9 200 OK"),
    "version 2.0": with_start(b"HTTP/2.0 200 OK"),
    "version 2": with_start(b"HTTP/2 200 OK"),
    "version 1.10": with_start(b"HTTP/1.10 200 OK"),
    "version in lower case": with_start(b"http/1.1 200 OK"),
    "another protocol's name": with_start(b"ICY 200 OK"),
    "no version": with_start(b"200 OK"),
    "two blanks before the status": with_start(b"HTTP/1.1  200 OK"),
    "a tab before the status": with_start(b"HTTP/1.1\t200 OK"),
    "an empty line first": b"\r\n" + with_start(b"HTTP/1.1 200 OK"),
    "a blank first": b" " + with_start(b"HTTP/1.1 200 OK"),
    "status of four digits": with_start(b"HTTP/1.1 0200 OK"),
    "status of five digits": with_start(b"HTTP/1.1 00200 OK"),
    "no head": BODY,
    "a request": b"GET / HTTP/1.1\r\n" + _OWN + b"\r\n",
    "NUL in the reason": with_start(b"HTTP/1.1 200 O\0K"),
    "control byte in the reason": with_start(b"HTTP/1.1 200 O\x1bK"),
    "bare CR in the reason": with_start(b"HTTP/1.1 200 O\rK"),
    "another protocol, unasked":
        b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"
        + with_start(b"HTTP/1.1 200 OK"),
    "interim status 000": with_start(b"HTTP/1.1 000 x\r\n\r\nHTTP/1.1 200 OK"),
    "interim field without colon":
        with_start(b"HTTP/1.1 100 x\r\nAbc\r\n\r\nHTTP/1.1 200 OK"),
}

NAMES = {
    "blank in a name": with_line(b"X Y: z"),
    "tab in a name": with_line(b"X\tY: z"),
    "blank before a colon": with_line(b"X-Y : z"),
    "tab before a colon": with_line(b"X-Y\t: z"),
    "blank before the length's colon":
        with_framing(b"Content-Length : 5\r\n"),
    "tab before the length's colon":
        with_framing(b"Content-Length\t: 5\r\n"),
    "blank before the coding's colon":
        with_framing(b"Transfer-Encoding : chunked\r\n", _CHUNKS + b"\r\n"),
    "blank in the length's name": with_framing(b"Content -Length: 5\r\n"),
    "blank before the seal's colon":
        _OK + b"@ID@SEAL@SAYSX-Sassafrassill-Server-Seal : x\r\n" + _LENGTH +
        b"\r\n" + BODY,
    "no name": with_line(b": z"),
    "no colon": with_line(b"X-Y"),
    "blank before the first field":
        _OK + b" X: y\r\n" + _OWN + _LENGTH + b"\r\n" + BODY,
    "parenthesis in a name": with_line(b"X(Y): z"),
    "quote in a name": with_line(b'X"Y: z'),
    "slash in a name": with_line(b"X/Y: z"),
    "byte over 127 in a name": with_line(b"X\xe4Y: z"),
}
NAMES.update({"control byte %02x in a name" % c:
              with_line(b"X%cY: z" % c)
              for c in (0, 1, 7, 8, 11, 12, 13, 27, 31, 127)})
NAMES.update({"control byte %02x %s" % (c, where): with_line(line % c)
              for c in (0, 1, 11, 13, 27, 127)
              for where, line in (("before a name", b"%cX: z"),
                                  ("behind a name", b"X%c: z"))})

VALUES = {"control byte %02x %s of a value" % (c, where): with_line(line % c)
          for c in (0, 1, 8, 11, 12, 13, 27, 31, 127)
          for where, line in (("at the start", b"X: %cy"),
                              ("in the middle", b"X: y%cz"),
                              ("at the end", b"X: y%c"))
          if c != 13 or "end" not in where}
VALUES["control byte in a folded line"] = with_line(b"X: y\r\n z\x01")
VALUES["CR and another byte for the end of the head"] = \
    _OK + _OWN + _LENGTH + b"\rX" + BODY

LENGTHS = {
    "length %s" % text: with_framing(b"Content-Length: %s\r\n" % text.encode())
    for text in ("", "x", "23x", "+23", "-1", "0x17", "2 3", "23,24", "23;",
                 "23.0", "18446744073709551616", "99999999999999999999999",
                 "9223372036854775808")
}
LENGTHS.update({
    "two lengths": with_framing(b"Content-Length: 5\r\n" + _LENGTH),
    "folded length": with_framing(b"Content-Length: 2\r\n 3\r\n"),
    "length beside chunks":
        with_framing(_LENGTH + _CHUNKED, _CHUNKS + b"\r\n"),
    "chunks beside length":
        with_framing(_CHUNKED + _LENGTH, _CHUNKS + b"\r\n"),
    "coding in HTTP/1.0": with_framing(_CHUNKED, _CHUNKS + b"\r\n",
                                       b"HTTP/1.0 200 OK\r\n"),
    "length, cut": with_framing(b"Content-Length: 24\r\n"),
    "length, reset": with_framing(b"Content-Length: 24\r\n") + RESET,
    "no length, reset": with_framing(b"") + RESET,
    "head, cut": _OK + b"@ID@SEAL@SAYS" + _LENGTH,
})
LENGTHS.update({
    "coding %s" % text:
        with_framing(b"Transfer-Encoding: %s\r\n" % text.encode(),
                     _CHUNKS + b"\r\n")
    for text in ("", "gzip", "identity", "gzip, chunked", "chunked, gzip",
                 "chunked, chunked", "chunked;x=1", "chunkedx", "xchunked",
                 "chunked chunked", '"chunked"')
})

CHUNKS = {
    "chunk without a size": with_chunks(b"\r\n%s\r\n0\r\n\r\n" % BODY),
    "chunk size x": with_chunks(b"x\r\n%s\r\n0\r\n\r\n" % BODY),
    "chunk size 17x": with_chunks(b"17x\r\n%s\r\n0\r\n\r\n" % BODY),
    "chunk size -17": with_chunks(b"-17\r\n%s\r\n0\r\n\r\n" % BODY),
    "chunk size 0x17": with_chunks(b"0x17\r\n%s\r\n0\r\n\r\n" % BODY),
    "chunk size, blank first": with_chunks(b" 17\r\n%s\r\n0\r\n\r\n" % BODY),
    "chunk size beyond 64 bits":
        with_chunks(b"10000000000000017\r\n%s\r\n0\r\n\r\n" % BODY),
    "chunk size of 64 bits":
        with_chunks(b"ffffffffffffffff\r\n%s\r\n0\r\n\r\n" % BODY),
    "chunk longer than its size":
        with_chunks(b"15\r\n%s\r\n0\r\n\r\n" % BODY),
    "chunk shorter than its size":
        with_chunks(b"19\r\n%s\r\n0\r\n\r\n" % BODY),
    "chunk without CR LF behind it": with_chunks(b"17\r\n%s0\r\n\r\n" % BODY),
    "chunk with two bytes behind it":
        with_chunks(b"17\r\n%sXY0\r\n\r\n" % BODY),
    "chunk with LF behind it": with_chunks(b"17\r\n%s\n0\r\n\r\n" % BODY),
    "chunk size with LF": with_chunks(b"17\n%s\r\n0\r\n\r\n" % BODY),
    "chunk size with CR and another byte":
        with_chunks(b"17\rX%s\r\n0\r\n\r\n" % BODY),
    "chunk extension without semicolon":
        with_chunks(b"17 x\r\n%s\r\n0\r\n\r\n" % BODY),
    "chunk extension with a control byte":
        with_chunks(b"17;x=\x01\r\n%s\r\n0\r\n\r\n" % BODY),
    "chunk extension with LF": with_chunks(b"17;x\n%s\r\n0\r\n\r\n" % BODY),
    "trailer with a blank in its name":
        with_chunks(_CHUNKS + b"X Y: z\r\n\r\n"),
    "trailer without a colon": with_chunks(_CHUNKS + b"XY\r\n\r\n"),
    "trailer with a control byte": with_chunks(_CHUNKS + b"X: \x01\r\n\r\n"),
    "trailer, CR and another byte": with_chunks(_CHUNKS + b"X: y\r\n\rZ"),
    "chunk, cut": with_chunks(b"20\r\n" + BODY),
    "chunks, cut": with_chunks(b"17\r\n%s\r\n" % BODY),
    "last chunk, cut": with_chunks(_CHUNKS),
    "trailers, cut": with_chunks(_CHUNKS + b"X: y\r\n"),
}

BROKEN = {**STATUSES, **START_LINES, **NAMES, **VALUES, **LENGTHS, **CHUNKS}

LONG = b"x" * 60000
SOUND = {
    "length": with_framing(_LENGTH),
    "chunks": with_chunks(_CHUNKS + b"\r\n"),
    "no length": with_framing(b""),
    "no length, close": with_framing(b"Connection: close\r\n"),
    "empty reason": with_start(b"HTTP/1.1 200 "),
    "no blank before an empty reason": with_start(b"HTTP/1.1 200"),
    "long reason": with_start(b"HTTP/1.1 200 It is\tall well \xe4"),
    "status 299": with_start(b"HTTP/1.1 299 Well"),
    "version 1.0": with_framing(_LENGTH, start=b"HTTP/1.0 200 OK\r\n"),
    "version 1.0, no length": with_framing(b"", start=b"HTTP/1.0 200 OK\r\n"),
    "version 1.0, kept open":
        with_framing(_LENGTH + b"Connection: keep-alive\r\n",
                     start=b"HTTP/1.0 200 OK\r\n"),
    "version 1.9": with_start(b"HTTP/1.9 200 OK"),
    "lines that end with LF":
        with_framing(_LENGTH).replace(b"\r\n", b"\n"),
    "no blank behind a colon": with_line(b"X:y"),
    "blanks round a value": with_line(b"X: \t y z \t "),
    "empty values": with_line(b"X:\r\nY: \r\nZ:\t"),
    "bytes over 127 in a value": with_line(b"X: \xe4\xff\x80"),
    "colons in a value": with_line(b"X: a:b: c"),
    "all characters of a token":
        with_line(b"!#$%&'*+-.^_`|~09AZaz: z"),
    "folded line": with_line(b"X: y\r\n z\r\n\tz"),
    "long value": with_line(b"X: " + LONG),
    "1000 fields": with_line(b"\r\n".join(b"X-%d: y" % i
                                          for i in range(1000))),
    "length in lower case":
        with_framing(b"content-length:%d\r\n" % len(BODY)),
    "length with zeros first":
        with_framing(b"Content-Length: 000%d\r\n" % len(BODY)),
    "the same length in a list":
        with_framing(b"Content-Length: %d, %d\r\n" % (len(BODY), len(BODY))),
    "the same length twice": with_framing(_LENGTH + _LENGTH),
    "coding in capitals":
        with_framing(b"TRANSFER-ENCODING: CHUNKED\r\n", _CHUNKS + b"\r\n"),
    "coding with empty elements":
        with_framing(b"Transfer-Encoding: , chunked ,\r\n",
                     _CHUNKS + b"\r\n"),
    "chunk sizes in capitals with zeros":
        with_chunks(b"00017\r\n%s\r\n000\r\n\r\n" % BODY),
    "chunk sizes with letters":
        with_chunks(b"A\r\n%s\r\nD\r\n%s\r\n0\r\n\r\n" %
                    (BODY[:10], BODY[10:])),
    "a chunk for each byte":
        with_chunks(b"".join(b"1\r\n%c\r\n" % c for c in BODY) +
                    b"0\r\n\r\n"),
    "chunk extensions":
        with_chunks(b'17;a;b=c ; d = "e;\tf\xe4"\r\n%s\r\n0;x\r\n\r\n' %
                    BODY),
    "trailers": with_chunks(_CHUNKS + b"X: y\r\nZ:\r\n\r\n"),
    "trailer with a length":
        with_chunks(_CHUNKS + b"Content-Length: 5\r\n\r\n"),
    "interim answers":
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nA: b\r\n\r\n"
        b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 199 x\r\n\r\n" +
        with_framing(_LENGTH),
}


def fill(text, request_id, id_name, seal_name, name, says):
    """The bytes to send, and whether the connection is reset behind them."""
    ends = b"\r\n" if b"\r\n" in text else b"\n"
    for mark, lines in ((b"@ID", [(id_name, request_id)]),
                        (b"@SEAL", [(seal_name, "s-" + name)]),
                        (b"@SAYS", says)):
        text = text.replace(mark, b"".join(
            b"%s: %s%s" % (field.encode(), value.encode(), ends)
            for field, value in lines))
    return text.replace(RESET, b""), RESET in text
