"""Settings of the test run, and fixtures that several folders use."""

import asyncio
import functools
import inspect
import json

import pytest
import pytest_asyncio
import uvloop
from support.configurations import configuration, endpoint_entry
from support.fake_discovery import FakeDiscovery
from support.fake_endpoint import FakeEndpoint
from support.processes import free_port
from support.running_gateway import RunningGateway
from support.scripted_controller import ScriptedController

ASYNC_TEST_TIMEOUT_S = 30.0  # a test on the event loop takes longer only if it hangs


def pytest_asyncio_loop_factories():
    """Run async tests on the event loop that the gateway uses."""
    return {"uvloop": uvloop.new_event_loop}


def with_timeout(test):
    """Return the async test, cancelled where it takes longer than the timeout."""

    @functools.wraps(test)
    async def run(**arguments):
        async with asyncio.timeout(ASYNC_TEST_TIMEOUT_S):
            await test(**arguments)

    return run


def pytest_collection_modifyitems(items):
    """Give each async test a timeout."""
    for item in items:
        if inspect.iscoroutinefunction(getattr(item, "obj", None)):
            item.obj = with_timeout(item.obj)


@pytest_asyncio.fixture
async def endpoint():
    """An endpoint, which gateways know as w1."""
    async with FakeEndpoint() as endpoint:
        yield endpoint


@pytest_asyncio.fixture
async def discovery_service():
    """A discovery service whose calls the test answers."""
    async with FakeDiscovery() as service:
        yield service


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


@pytest.fixture
def port():
    """The port on which a gateway process accepts clients."""
    return free_port()


@pytest.fixture
def config_path(tmp_path, port, discovery_service):
    """The configuration file of a gateway process."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration(discovery_service.port, port)))
    return path
