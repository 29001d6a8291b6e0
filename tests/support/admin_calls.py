"""Calls to the admin endpoint of a running gateway."""

from support.client import TestClient


async def admin_call(running_gateway, data):
    """Send the bytes of a request to the admin endpoint, and return the status and the body of the response.

    Fails unless the admin endpoint then closes the connection.
    """
    client = await TestClient().connect(running_gateway.admin_port)
    status, headers, body = await client.send(data).next_response()
    assert headers["connection"] == "close" and await client.is_closed_by_peer()
    return status, body.decode()


async def read_metrics(running_gateway):
    """Return the values of all metrics by name, without the prefix `edge_balancer_`, but with the labels.

    Fails unless each metric has a `# TYPE` line.
    """
    status, text = await admin_call(running_gateway, b"GET /_vars HTTP/1.1\r\nHost: h\r\n\r\n")
    assert status == 200
    lines = [line for line in text.splitlines() if not line.startswith("#")]
    assert all(f"# TYPE {line.split('{')[0].split()[0]} " in text for line in lines)
    return {name.removeprefix("edge_balancer_"): int(value) for name, value in map(str.split, lines)}
