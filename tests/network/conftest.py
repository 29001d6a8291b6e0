"""Fixtures for tests of the network code: an endpoint, a gateway and a client on loopback."""

import pytest_asyncio
from support.fakes import FakeWorker, Gate, Script, entry


def scripted_controller(request):
    """Return the controller that the test's `scripted_controller` marker describes."""
    marker = request.node.get_closest_marker("scripted_controller")
    if marker is None:
        return Script()
    options = dict(marker.kwargs)
    factory = options.pop("factory", Script)
    if "endpoint" in options:
        options["worker"] = options.pop("endpoint")
    return factory(**options)


@pytest_asyncio.fixture
async def endpoint():
    """An endpoint, which the gateway lists as w1."""
    async with FakeWorker() as endpoint:
        yield endpoint


@pytest_asyncio.fixture
async def gate(request, endpoint):
    """A gateway whose controller is scripted."""
    async with Gate(scripted_controller(request), known=[entry("w1", endpoint.port)]) as gate:
        yield gate


@pytest_asyncio.fixture
async def client(gate):
    """A connected client of the gateway."""
    return await gate.client()
