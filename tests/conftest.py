"""The event loop and the timeout of async tests, and fixtures that several test packages use."""

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

ASYNC_TEST_TIMEOUT_S = 30.0  # a longer test waits for an event that never comes


def pytest_asyncio_loop_factories():
    """Run async tests on uvloop, the event loop of the gateway."""
    return {"uvloop": uvloop.new_event_loop}


def with_timeout(test):
    """Return an async test that runs the given one, and fails after ASYNC_TEST_TIMEOUT_S."""

    @functools.wraps(test)
    async def run(**arguments):
        async with asyncio.timeout(ASYNC_TEST_TIMEOUT_S):
            await test(**arguments)

    return run


def pytest_collection_modifyitems(items):
    """Wrap each async test so that it fails after ASYNC_TEST_TIMEOUT_S."""
    for item in items:
        if inspect.iscoroutinefunction(getattr(item, "obj", None)):
            item.obj = with_timeout(item.obj)


@pytest_asyncio.fixture
async def endpoint():
    """An endpoint, which is the endpoint w1 of the `running_gateway` fixture."""
    async with FakeEndpoint() as endpoint:
        yield endpoint


@pytest_asyncio.fixture
async def discovery_service():
    """A discovery service for which the test writes the responses."""
    async with FakeDiscovery() as service:
        yield service


@pytest_asyncio.fixture
async def controller(request):
    """The controller of the `running_gateway` fixture.

    The arguments of the test's `scripted_controller` marker are passed to the class that the marker names as
    `factory`, or to ScriptedController.
    """
    marker = request.node.get_closest_marker("scripted_controller")
    if marker is None:
        return ScriptedController()
    options = dict(marker.kwargs)
    factory = options.pop("factory", ScriptedController)
    return factory(**options)


@pytest_asyncio.fixture
async def running_gateway(controller, endpoint):
    """A running gateway with the `controller` fixture and the endpoint w1."""
    known = [endpoint_entry("w1", endpoint.port)]
    async with RunningGateway(controller, known=known) as running_gateway:
        yield running_gateway


@pytest.fixture
def gateway(running_gateway):
    """The Gateway object of the `running_gateway` fixture."""
    return running_gateway.gateway


@pytest_asyncio.fixture
async def client(running_gateway):
    """A client that is connected to the `running_gateway` fixture."""
    return await running_gateway.connect()


@pytest.fixture
def port():
    """The port on which a gateway process with the `config_path` fixture accepts clients."""
    return free_port()


@pytest.fixture
def config_path(tmp_path, port, discovery_service):
    """The path of a configuration file that names the `discovery_service` and `port` fixtures."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration(discovery_service.port, port)))
    return path
