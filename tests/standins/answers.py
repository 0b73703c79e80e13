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

BROKEN = {**STATUSES}

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
    "coding in capitals":
        with_framing(b"TRANSFER-ENCODING: CHUNKED\r\n", _CHUNKS + b"\r\n"),
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
