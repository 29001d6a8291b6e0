"""Functions that compose HTTP messages as bytes, and that read them from a stream."""

import itertools
import json
from typing import NamedTuple

import httptools

_request_ids = itertools.count(0xAA)  # ids of requests for which the test gives no id


def http_request(request_id=None, path="/look", key=None, body=b"", deadline=10_000, extra=""):
    """Return the bytes of a client's request.

    A request without `request_id` gets an unused id. The method is POST if there is a body or an idempotency
    key `key`, and GET otherwise. `deadline` is in milliseconds, and `extra` contains further header lines,
    each with its line ending.
    """
    request_id = f"{next(_request_ids):016x}" if request_id is None else request_id
    method = "POST" if body or key else "GET"
    length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {request_id}\r\nX-Tier: basic\r\n"
        f"X-Api-Key: 00000000b4d65521\r\nX-Deadline-Ms: {deadline}\r\n"
        f"X-Call-Terms: units=1,spread=2,first=0\r\n{length}"
        + (f"Idempotency-Key: {key}\r\n" if key else "")
        + extra
        + "\r\n"
    ).encode() + body


def http_response(status=200, body=b"done", extra=""):
    """Return the bytes of a response with a Content-Length; `extra` contains further header lines."""
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode() + body


def json_response(value):
    """Return the bytes of a response with status 200 whose body is the value as JSON."""
    return http_response(body=json.dumps(value).encode())


class HttpMessage:
    """A request or a response that is being parsed; the parser calls its `on_` methods."""

    def __init__(self, parser_class):
        self.parser = parser_class(self)
        self.headers = {}
        self.body = b""
        self.url = b""
        self.is_complete = False

    def on_url(self, url):
        """Append a part of the request's target."""
        self.url += url

    def on_header(self, name, value):
        """Store a header field under its name in lower case."""
        self.headers[name.decode().lower()] = value.decode()

    def on_body(self, part):
        """Append a part of the body."""
        self.body += part

    def on_message_complete(self):
        """Mark the message as complete."""
        self.is_complete = True


class Response(NamedTuple):
    """A complete response as a client receives it."""

    status: int
    headers: dict
    body: bytes

    @property
    def status_and_body(self):
        """The status and the body, for tests that compare no header fields."""
        return self.status, self.body


async def read_message(reader, parser_class):
    """Read and return the next message, or None if the stream ends before the message is complete.

    Reads single bytes, because a longer read could consume the start of the following message.
    """
    message = HttpMessage(parser_class)
    while not message.is_complete:
        data = await reader.read(1)
        if not data:
            return None
        message.parser.feed_data(data)
    return message


async def read_request(reader):
    """Read and return the next request, or None if the stream ends before the request is complete."""
    return await read_message(reader, httptools.HttpRequestParser)


async def read_response(reader):
    """Read and return the next response, or None if the stream ends before the response is complete."""
    message = await read_message(reader, httptools.HttpResponseParser)
    if message is None:
        return None
    return Response(message.parser.get_status_code(), message.headers, message.body)
