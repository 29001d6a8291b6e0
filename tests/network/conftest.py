"""Fixtures for tests of the network code: a gateway and a client on loopback."""

import pytest
import pytest_asyncio
from support.configurations import endpoint_entry
from support.running_gateway import RunningGateway
from support.scripted_controller import ScriptedController


@pytest_asyncio.fixture
async def controller(request):
    """The gateway's controller, as the test's `scripted_controller` marker describes it."""
    marker = request.node.get_closest_marker("scripted_controller")
    if marker is None:
        return ScriptedController()
    options = dict(marker.kwargs)
    factory = options.pop("factory", ScriptedController)
    return factory(**options)


@pytest_asyncio.fixture
async def running_gateway(controller, endpoint):
    """A running gateway whose controller is scripted."""
    known = [endpoint_entry("w1", endpoint.port)]
    async with RunningGateway(controller, known=known) as running_gateway:
        yield running_gateway


@pytest.fixture
def gateway(running_gateway):
    """The program's gateway object."""
    return running_gateway.gateway


@pytest_asyncio.fixture
async def client(running_gateway):
    """A connected client of the gateway."""
    return await running_gateway.connect()
