"""Steps of tests with a running gateway."""

import asyncio
import types

from support.http_messages import http_request, http_response


async def complete_request(endpoint, client):
    """Let a request be answered, and return the writer of its connection at the endpoint."""
    client.send(http_request())
    _, writer = await endpoint.next_request()
    writer.write(http_response())
    assert (await client.next_response()).status == 200
    return writer


def replace_create_connection(gateway, create_connection):
    """Let the gateway open its connections to endpoints by this function in place of the event loop's."""
    loop = asyncio.get_running_loop()
    gateway.upstreams._loop = types.SimpleNamespace(
        create_task=loop.create_task, call_soon=loop.call_soon, create_connection=create_connection
    )


def hold_connections(gateway):
    """Hold further connections to endpoints back.

    Returns two events: the first is set once a connection is due, the second lets connections be made.
    """
    loop = asyncio.get_running_loop()
    due = asyncio.Event()
    release = asyncio.Event()

    async def connect_later(factory, host, port):
        due.set()
        await release.wait()
        return await loop.create_connection(factory, host, port)

    replace_create_connection(gateway, connect_later)
    return due, release


async def wait_until_connected(gateway, count):
    """Return once the gateway has accepted this many connections."""
    while len(gateway.connections) < count:
        await asyncio.sleep(0)


def sweep_connections_after(gateway, ms):
    """Sweep the connections of clients as if this many ms had passed."""
    gateway.connections.sweep(gateway.clock.now() + ms, gateway.frontend.draining)
