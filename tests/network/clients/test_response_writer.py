"""Tests of the response writer: the bytes of complete and forwarded responses."""

import pytest

from gateway.network.clients.response_writer import REASON_PHRASES, ResponseWriter


@pytest.mark.parametrize(
    ("arguments", "close", "expected"),
    [
        ((200, b"ok", b"", 0.0), False, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
        (
            (200, b"ok", b"text/plain", 0.0),
            False,
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Type: text/plain\r\n\r\nok",
        ),
        (
            (200, b"", b"", 0.0),
            True,
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
        ),
        (
            (503, b"", b"", 1234.5),
            False,
            b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 1.234\r\n\r\n",
        ),
        (
            (503, b"no", b"t/x", 500.0),
            True,
            b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\nContent-Type: t/x\r\n"
            b"Retry-After: 0.500\r\nConnection: close\r\n\r\nno",
        ),
    ],
)
def test_complete_response_has_only_the_fields_with_a_value(arguments, close, expected):
    assert ResponseWriter().complete_response(*arguments, close=close) == expected


@pytest.mark.parametrize("status", [status for status in REASON_PHRASES if status != 200])
@pytest.mark.parametrize("close", [True, False])
def test_error_response_has_no_body(status, close):
    last = b"Connection: close\r\n\r\n" if close else b"\r\n"
    head = b"HTTP/1.1 %d %s\r\nContent-Length: 0\r\n" % (status, REASON_PHRASES[status])
    assert ResponseWriter().error_response(status, close=close) == head + last


@pytest.mark.parametrize(
    ("length", "chunked", "framing", "part", "end"),
    [
        (3, False, b"Content-Length: 3\r\n", b"abc", b""),
        (None, True, b"Transfer-Encoding: chunked\r\n", b"3\r\nabc\r\n", b"0\r\n\r\n"),
        (None, False, b"", b"abc", b""),
    ],
)
def test_body_of_a_forwarded_response_is_framed_by_length_chunks_or_the_end_of_the_connection(
    length, chunked, framing, part, end
):
    writer = ResponseWriter()
    head = writer.response_head(length, b"t/x", chunked=chunked, close=True)
    assert head == b"HTTP/1.1 200 OK\r\n" + framing + b"Content-Type: t/x\r\nConnection: close\r\n\r\n"
    assert writer.body_part(b"abc") == part
    assert writer.body_end() == end


def test_framing_follows_the_head_of_the_latest_response():
    writer = ResponseWriter()
    writer.response_head(None, b"", chunked=True, close=False)
    assert (
        writer.response_head(1, b"", chunked=False, close=False)
        == b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
    )
    assert (writer.body_part(b"x"), writer.body_end()) == (b"x", b"")
