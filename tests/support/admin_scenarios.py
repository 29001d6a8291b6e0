"""Support for scenarios of admin tests."""

from support.fakes import Client


async def call(gate, data):
    """Status and body of one call at the door; the connection ends after it."""
    caller = await Client().open(gate.door_port)
    status, headers, body = await caller.send(data).answer()
    assert headers["connection"] == "close" and await caller.ends()
    return status, body.decode()


async def figures(gate):
    status, text = await call(gate, b"GET /_vars HTTP/1.1\r\nHost: h\r\n\r\n")
    assert status == 200
    lines = [line for line in text.splitlines() if not line.startswith("#")]
    assert all(f"# TYPE {line.split('{')[0].split()[0]} " in text for line in lines)
    return {name.removeprefix("edge_balancer_"): int(value) for name, value in map(str.split, lines)}
