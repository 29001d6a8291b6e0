"""Support for scenarios of recordings tests."""

import json
import pathlib

from support.fakes import (
    Client,
    request,
)

FIXTURES = pathlib.Path(__file__).parents[1] / "fixtures"


def check(name, value):
    """The value is what was recorded under this name."""
    assert value == (FIXTURES / name).read_bytes(), name


def check_json(name, value):
    """The same of a value that goes out as JSON."""
    check(name, json.dumps(value, indent=1).encode() + b"\n")


def changed(old, new, **more):
    """A request with a part of its head replaced."""
    data = request("00000000000000e1", **more)
    assert old in data
    return data.replace(old, new)


BOOK = {"path": "/book/7", "key": "k1", "body": b"body"}


async def reply_to(port, data):
    """All bytes that come back, up to the end of the connection or of a head that leaves it open."""
    client = await Client().open(port)
    client.send(data)
    head = await client.reader.readuntil(b"\r\n\r\n")
    rest = await client.reader.read() if b"Connection: close" in head else b""
    client.close()
    return (head + rest).decode()
