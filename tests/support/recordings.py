"""Recordings of bytes that must not change between versions."""

import json
import pathlib

from support.client import TestClient
from support.http_messages import http_request

FIXTURES = pathlib.Path(__file__).parents[1] / "fixtures"


def check_recording(name, value):
    """Check the value against the recording of this name."""
    assert value == (FIXTURES / name).read_bytes(), name


def check_json_recording(name, value):
    """Check the same of a value, written as JSON."""
    check_recording(name, json.dumps(value, indent=1).encode() + b"\n")


def modified_request(old, new, **more):
    """Return a request with a part of it replaced."""
    data = http_request("00000000000000e1", **more)
    assert old in data
    return data.replace(old, new)


BOOK_REQUEST = {"path": "/book/7", "key": "k1", "body": b"body"}


async def fetch_raw_response(port, data):
    """Return the bytes of a response, up to the end of the connection or of a head that leaves it open."""
    client = await TestClient().connect(port)
    client.send(data)
    head = await client.reader.readuntil(b"\r\n\r\n")
    rest = await client.reader.read() if b"Connection: close" in head else b""
    client.close()
    return (head + rest).decode()
