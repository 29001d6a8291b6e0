"""Encodes the responses on one client connection as bytes; the caller writes them to the transport."""

from __future__ import annotations

from http import HTTPStatus

# Interim response that asks a client with `Expect: 100-continue` to send the body.
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

# Marks the end of a chunked body.
LAST_CHUNK = b"0\r\n\r\n"

MS_PER_S = 1000

OK = int(HTTPStatus.OK)  # an integer, because a comparison with an enum member is slower

# The reason phrase of each status that the gateway sends to clients.
REASON_PHRASES: dict[int, bytes] = {
    HTTPStatus.OK: b"OK",
    HTTPStatus.BAD_REQUEST: b"Bad Request",
    HTTPStatus.NOT_FOUND: b"Not Found",
    HTTPStatus.METHOD_NOT_ALLOWED: b"Method Not Allowed",
    HTTPStatus.REQUEST_TIMEOUT: b"Request Timeout",
    HTTPStatus.CONFLICT: b"Conflict",
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: b"Content Too Large",
    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: b"Request Header Fields Too Large",
    HTTPStatus.BAD_GATEWAY: b"Bad Gateway",
    HTTPStatus.SERVICE_UNAVAILABLE: b"Service Unavailable",
    HTTPStatus.GATEWAY_TIMEOUT: b"Gateway Timeout",
}


class ResponseWriter:
    """Encodes complete responses, and the head and parts of forwarded responses.

    A forwarded response always has status 200.
    """

    def __init__(self) -> None:
        """Create a writer without a response in progress; `response_head` sets the framing of a body."""
        self._chunked = False  # whether the response being forwarded has a chunked body

    def complete_response(
        self, status: int, body: bytes, content_type: bytes, retry_after_ms: float, *, close: bool
    ) -> bytes:
        """Return the bytes of a complete response.

        Args:
            status: The status, which must be in REASON_PHRASES.
            body: The body, which may be empty.
            content_type: The value of Content-Type; the field is left out if it is empty.
            retry_after_ms: The delay of Retry-After, in milliseconds; the field is left out if it is 0. Must
                be 0 for status 200. The field states the delay in seconds with three decimals.
            close: Whether the response states that the connection closes.
        """
        # A 200 without optional fields is encoded without the work of composing them. Retry-After is not
        # checked, because it is sent only with other statuses.
        if status == OK and not close and not content_type:
            return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        return b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s%s%s\r\n%s" % (
            status,
            REASON_PHRASES[status],
            len(body),
            _content_type_field(content_type),
            b"Retry-After: %.3f\r\n" % (retry_after_ms / MS_PER_S) if retry_after_ms else b"",
            _close_field(close),
            body,
        )

    def error_response(self, status: int, *, close: bool) -> bytes:
        """Return the bytes of a response without a body; `status` must be in REASON_PHRASES."""
        return self.complete_response(status, b"", b"", 0.0, close=close)

    def response_head(self, length: int | None, content_type: bytes, *, chunked: bool, close: bool) -> bytes:
        """Return the head of a forwarded response, whose status is 200, and set the framing of its body.

        Args:
            length: The length of the body in bytes, None if it is unknown.
            content_type: The value of Content-Type; the field is left out if it is empty.
            chunked: Whether the body is sent in chunks. If it is not and `length` is None, the end of the
                connection marks the end of the body.
            close: Whether the response states that the connection closes.
        """
        self._chunked = chunked
        if chunked:
            framing = b"Transfer-Encoding: chunked\r\n"
        elif length is not None:
            framing = b"Content-Length: %d\r\n" % length
        else:
            framing = b""
        return b"HTTP/1.1 200 OK\r\n%s%s%s\r\n" % (
            framing,
            _content_type_field(content_type),
            _close_field(close),
        )

    def body_part(self, data: bytes) -> bytes:
        """Return the next part of the body of a forwarded response, framed as its head states."""
        return b"%x\r\n%s\r\n" % (len(data), data) if self._chunked else data

    def body_end(self) -> bytes:
        """Return the bytes that mark the end of a forwarded response; empty unless its body is chunked."""
        return LAST_CHUNK if self._chunked else b""


def _content_type_field(content_type: bytes) -> bytes:
    return b"Content-Type: %s\r\n" % content_type if content_type else b""


def _close_field(close: bool) -> bytes:
    return b"Connection: close\r\n" if close else b""
