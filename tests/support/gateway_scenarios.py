"""Support for scenarios of gateway tests."""

import asyncio

from support.fakes import answer, request


async def exchange(worker, client):
    client.send(request())
    _, writer = await worker.asked()
    writer.write(answer())
    assert (await client.answer())[0] == 200
    return writer


def hold_dials(gate):
    """From now on a connection to a worker comes up when the second event says so; the first: one is due."""
    loop, opened, go = asyncio.get_running_loop(), asyncio.Event(), asyncio.Event()

    async def slow(factory, host, port):
        opened.set()
        await go.wait()
        return await loop.create_connection(factory, host, port)

    gate.gateway.upstreams._loop = type(
        "Loop",
        (),
        {
            "create_task": staticmethod(loop.create_task),
            "create_connection": staticmethod(slow),
            "call_soon": staticmethod(loop.call_soon),
        },
    )
    return opened, go


async def taken(gate, count):
    """Wait until so many connections are known."""
    while len(gate.gateway.connections) < count:
        await asyncio.sleep(0)


def later(gate, ms):
    """Let so much time go by for the connections of clients."""
    gate.gateway.connections.sweep(gate.gateway.clock.now() + ms, gate.gateway.frontend.draining)
