"""Comparison with recorded bytes in tests/fixtures, which must not change between versions of the gateway."""

import json
import pathlib

from support.client import TestClient
from support.http_messages import http_request

FIXTURES = pathlib.Path(__file__).parents[1] / "fixtures"


def check_recording(name, value):
    """Fail unless the value, in bytes, equals the recording in the file with this name."""
    assert value == (FIXTURES / name).read_bytes(), name


def check_json_recording(name, value):
    """Fail unless the value, written as JSON, equals the recording in the file with this name."""
    check_recording(name, json.dumps(value, indent=1).encode() + b"\n")


def modified_request(old, new, **options):
    """Return the bytes of a request in which the bytes `new` replace `old`, which must occur.

    Further arguments are those of `http_request`.
    """
    data = http_request("00000000000000e1", **options)
    assert old in data
    return data.replace(old, new)


BOOK_REQUEST = {"path": "/book/7", "key": "k1", "body": b"body"}  # arguments of http_request


async def fetch_raw_response(port, data):
    """Send a request on a new connection, and return the text of the response.

    The text ends with the head of the response if the connection stays open, and otherwise at the end of the
    connection.
    """
    client = await TestClient().connect(port)
    client.send(data)
    head = await client.reader.readuntil(b"\r\n\r\n")
    rest = await client.reader.read() if b"Connection: close" in head else b""
    client.close()
    return (head + rest).decode()
