"""HTTP messages as bytes, and a reader of them."""

import itertools
import json
from typing import NamedTuple

import httptools

_request_ids = itertools.count(0xAA)


def http_request(request_id=None, path="/look", key=None, body=b"", deadline=10_000, extra=""):
    """Return the bytes of a client's request, with a new id unless one is given."""
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
    """Return the bytes of a response with a Content-Length."""
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode() + body


def json_response(value):
    """Return the bytes of a response whose body is the value as JSON."""
    return http_response(body=json.dumps(value).encode())


class HttpMessage:
    """A message that is being parsed, from either side of a connection."""

    def __init__(self, parser_class):
        self.parser = parser_class(self)
        self.headers = {}
        self.body = b""
        self.url = b""
        self.is_complete = False

    def on_url(self, url):
        """Take a piece of the request's target."""
        self.url += url

    def on_header(self, name, value):
        """Take a header field."""
        self.headers[name.decode().lower()] = value.decode()

    def on_body(self, part):
        """Take a piece of the body."""
        self.body += part

    def on_message_complete(self):
        """Note the end of the message."""
        self.is_complete = True


class Response(NamedTuple):
    """A complete response as a client receives it."""

    status: int
    headers: dict
    body: bytes

    @property
    def status_and_body(self):
        """The two parts that most tests compare."""
        return self.status, self.body


async def read_message(reader, parser_class):
    """Return the next message, or None at the end of the stream.

    It is read byte by byte, so that nothing of the message behind it is consumed.
    """
    message = HttpMessage(parser_class)
    while not message.is_complete:
        data = await reader.read(1)
        if not data:
            return None
        message.parser.feed_data(data)
    return message


async def read_request(reader):
    """Return the next request, or None at the end of the stream."""
    return await read_message(reader, httptools.HttpRequestParser)


async def read_response(reader):
    """Return the next response, or None at the end of the stream."""
    message = await read_message(reader, httptools.HttpResponseParser)
    if message is None:
        return None
    return Response(message.parser.get_status_code(), message.headers, message.body)
